//! Changes of a document, and the digest that is maintained with them.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Document, Patch};
use crate::digest::{DigestSum, Sha256};

impl Document {
    /// Puts each `Some` of `patch` and removes each `None`; returns the inverse patch.
    pub fn apply(&mut self, patch: &Patch) -> Patch {
        self.merge(patch, &mut DigestSum::default())
    }

    /// Applies `patch` and updates `sum`, the sum of the digests of all objects.
    fn merge(&mut self, patch: &Patch, sum: &mut DigestSum) -> Patch {
        Patch {
            teams: merge("teams", &mut self.teams, &patch.teams, sum),
            services: merge("services", &mut self.services, &patch.services, sum),
            groups: merge("groups", &mut self.groups, &patch.groups, sum),
            mounts: merge("mounts", &mut self.mounts, &patch.mounts, sum),
            data_centres: merge(
                "data_centres",
                &mut self.data_centres,
                &patch.data_centres,
                sum,
            ),
        }
    }
}

impl Patch {
    /// Number of objects to put or remove.
    pub fn len(&self) -> usize {
        self.teams.len()
            + self.services.len()
            + self.groups.len()
            + self.mounts.len()
            + self.data_centres.len()
    }

    /// Whether the patch changes nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A document with an incrementally maintained digest.
///
/// An update of the digest costs as much as the change, not as the document. The document is shared,
/// so that a snapshot for a follower needs no copy; it is copied on write while a snapshot exists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Arc<Document>", into = "Arc<Document>")]
pub struct DigestedDocument {
    document: Arc<Document>,
    sum: DigestSum,
}

impl DigestedDocument {
    /// The document.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// The document's digest.
    pub fn digest(&self) -> Sha256 {
        self.sum.digest()
    }

    /// Puts each `Some` of `patch` and removes each `None`; returns the inverse patch.
    pub fn apply(&mut self, patch: &Patch) -> Patch {
        let document = Arc::make_mut(&mut self.document);
        document.merge(patch, &mut self.sum)
    }
}

impl From<Arc<Document>> for DigestedDocument {
    fn from(document: Arc<Document>) -> Self {
        let mut sum = DigestSum::default();
        add_all("teams", &document.teams, &mut sum);
        add_all("services", &document.services, &mut sum);
        add_all("groups", &document.groups, &mut sum);
        add_all("mounts", &document.mounts, &mut sum);
        add_all("data_centres", &document.data_centres, &mut sum);
        Self { document, sum }
    }
}

impl From<DigestedDocument> for Arc<Document> {
    fn from(digested: DigestedDocument) -> Self {
        digested.document
    }
}

fn add_all<K: Display, V: Serialize>(kind: &str, objects: &BTreeMap<K, V>, sum: &mut DigestSum) {
    for (name, object) in objects {
        sum.add(&object_digest(kind, name, object));
    }
}

/// Puts each `Some` of `changes` into `objects` and removes each `None`; returns the previous objects.
fn merge<K, V>(
    kind: &str,
    objects: &mut BTreeMap<K, V>,
    changes: &BTreeMap<K, Option<V>>,
    sum: &mut DigestSum,
) -> BTreeMap<K, Option<V>>
where
    K: Ord + Clone + Display,
    V: Clone + Serialize,
{
    let mut previous = BTreeMap::new();
    for (name, change) in changes {
        let old = match change {
            Some(object) => objects.insert(name.clone(), object.clone()),
            None => objects.remove(name),
        };
        if let Some(object) = &old {
            sum.remove(&object_digest(kind, name, object));
        }
        if let Some(object) = change {
            sum.add(&object_digest(kind, name, object));
        }
        previous.insert(name.clone(), old);
    }
    previous
}

/// The digest of one object's canonical form.
fn object_digest(kind: &str, name: &impl Display, object: &impl Serialize) -> Sha256 {
    let mut text = format!("{kind}/{name}\n").into_bytes();
    // Ordered maps make the serialised form canonical, and none of the types can fail to serialise.
    text.extend(serde_json::to_vec(object).unwrap_or_default());
    Sha256::of(&text)
}
