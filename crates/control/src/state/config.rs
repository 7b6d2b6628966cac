//! The configuration and the operations that changed it.
//!
//! A change states its base version. For a whole document it is compared with the present version,
//! for a patch with the last change of each object in the patch, so that changes of different objects
//! don't conflict. The verdict on each operation is stored, and a resend gets the same verdict. A
//! change whose base is older than the stored operations is refused, so that a resend whose verdict
//! was evicted is never applied again.

use std::collections::{BTreeMap, VecDeque};

use eelgrassdyke_core::config::{
    Change, DigestedDocument, Document, Patch, Publication, Submission, Verdict,
};
use eelgrassdyke_core::data;
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::{Operation, Version};
use eelgrassdyke_core::wire::follow;

use super::validate::{evacuation_fault, validate};

/// Most deltas stored to update followers without a snapshot.
const DELTAS_MAX: usize = 1024;

/// Most objects in all stored deltas together.
const DELTA_OBJECTS_MAX: usize = 16_384;

/// Most operations whose verdict is stored.
const OPERATIONS_MAX: usize = 20_000;

/// Most removed objects whose last change is stored.
const REMOVED_MAX: usize = 20_000;

/// Most objects listed in one conflict.
const CONFLICTS_MAX: usize = 100;

/// Listed in a conflict that concerns the whole document.
const WHOLE_DOCUMENT: &str = "document";

data! {
    /// The configuration, its recent deltas, and the operations that changed it.
    #[derive(Default)]
    #[serde(default)]
    pub struct Config {
        version: Version,
        #[serde(rename = "held")]
        document: DigestedDocument,
        /// The last change of each object.
        #[serde(rename = "touched")]
        last_changes: BTreeMap<String, LastChange>,
        /// Removed objects whose last change is stored, oldest first.
        removed: VecDeque<(Version, String)>,
        deltas: VecDeque<StoredDelta>,
        /// Number of objects in all stored deltas.
        delta_objects: usize,
        operations: BTreeMap<Operation, DecidedOperation>,
        /// Keys of `operations`, oldest first.
        #[serde(rename = "order")]
        operation_order: VecDeque<Operation>,
        /// Changes with a base below this version are refused.
        oldest_base: Version,
        /// Version at which the last evicted operation was decided; none before the first eviction.
        #[serde(rename = "forgotten_at")]
        last_evicted_at: Option<Version>,
        /// Number of the last publication; 0 before the first.
        #[serde(rename = "number")]
        publication_number: u64,
        /// Source text of the last publication.
        #[serde(rename = "source", with = "serde_bytes")]
        publication_source: Vec<u8>,
    }

    /// The last change of an object.
    struct LastChange {
        version: Version,
        operation: Operation,
    }

    /// A delta and the digest of the document after it.
    struct StoredDelta {
        delta: follow::Delta,
        digest: Sha256,
    }

    /// A decided operation: the digest of its submission, its verdict, and the version at which
    /// it was decided.
    struct DecidedOperation {
        #[serde(rename = "submission")]
        submission_digest: Sha256,
        verdict: Verdict,
        #[serde(rename = "at")]
        decided_at: Version,
    }
}

impl Config {
    /// The present version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The present document.
    pub fn document(&self) -> &Document {
        self.document.document()
    }

    /// The digest of the present document.
    pub fn digest(&self) -> Sha256 {
        self.document.digest()
    }

    /// The update for a follower at `version` with `digest`; none if it is up to date.
    pub fn update_since(&self, version: Version, digest: &Sha256) -> Option<follow::ConfigUpdate> {
        // A follower never goes back to an older version, so one that is ahead gets no update.
        if version >= self.version {
            return None;
        }
        let Some(first) = self.delta_index_after(version, digest) else {
            return Some(follow::ConfigUpdate::Snapshot {
                version: self.version,
                document: self.document.document().clone(),
            });
        };
        let newer = self.deltas.iter().skip(first);
        Some(follow::ConfigUpdate::Deltas {
            base: version,
            deltas: newer.map(|stored| stored.delta.clone()).collect(),
            digest: self.document.digest(),
        })
    }

    /// Index of the first delta after `version`, if the deltas continue from there.
    fn delta_index_after(&self, version: Version, digest: &Sha256) -> Option<usize> {
        let oldest = self.deltas.front()?.delta.version;
        let index = version.0.checked_sub(oldest.0)? as usize;
        let stored = self.deltas.get(index)?;
        (stored.digest == *digest).then_some(index + 1)
    }

    /// Decides a submission and applies it if it is accepted.
    pub fn submit(&mut self, submission: &Submission) -> Verdict {
        let digest = submission_digest(submission);
        if let Some(decided) = self.operations.get(&submission.operation) {
            return match decided.submission_digest == digest {
                true => decided.verdict.clone(),
                false => Verdict::Reused,
            };
        }
        let decided_at = self.version;
        let verdict = self.decide(submission);
        let decided = DecidedOperation {
            submission_digest: digest,
            verdict: verdict.clone(),
            decided_at,
        };
        self.record_operation(&submission.operation, decided);
        verdict
    }

    /// Number and source text of the last publication; none before the first.
    pub fn publication(&self) -> Option<(u64, &[u8])> {
        (self.publication_number > 0)
            .then_some((self.publication_number, self.publication_source.as_slice()))
    }

    /// Puts a publication in force if its number is the highest so far.
    ///
    /// An outdated or resent publication is accepted and changes nothing. An invalid one is refused
    /// whatever its number is.
    pub fn publish(&mut self, publication: &Publication) -> Verdict {
        let faults = validate(&publication.document);
        if !faults.is_empty() {
            return Verdict::Invalid { faults };
        }
        let version = self.version;
        if publication.number <= self.publication_number {
            return Verdict::Accepted { version };
        }
        self.publication_number = publication.number;
        self.publication_source.clone_from(&publication.source);
        let patch = diff(self.document.document(), &publication.document);
        if patch.is_empty() {
            return Verdict::Accepted { version };
        }
        self.document.apply(&patch);
        self.version = version.next();
        if let Ok(operation) = format!("publication-{}", publication.number).parse() {
            self.record_change(&operation, patch);
        }
        Verdict::Accepted {
            version: self.version,
        }
    }

    fn decide(&mut self, submission: &Submission) -> Verdict {
        if let Change::Replace(document) = &submission.change
            && let Some(fault) = evacuation_fault(self.document.document(), document)
        {
            return Verdict::Invalid {
                faults: vec![fault],
            };
        }
        let patch = match &submission.change {
            Change::Replace(document) => diff(self.document.document(), document),
            Change::Patch(patch) => patch.clone(),
        };
        let objects = self.conflicts(submission, &patch);
        if let Some(first) = objects.first() {
            let last_change = self.last_changes.get(first);
            return Verdict::Conflict {
                current_version: self.version,
                last_operation: last_change.map(|change| change.operation.clone()),
                objects,
            };
        }
        let undo = self.document.apply(&patch);
        let faults = validate(self.document.document());
        if !faults.is_empty() {
            self.document.apply(&undo);
            return Verdict::Invalid { faults };
        }
        self.version = self.version.next();
        self.record_change(&submission.operation, patch);
        Verdict::Accepted {
            version: self.version,
        }
    }

    /// Objects that changed after the base version of a submission.
    fn conflicts(&self, submission: &Submission, patch: &Patch) -> Vec<String> {
        let base = submission.base;
        if base > self.version || self.is_too_old(base) {
            return vec![WHOLE_DOCUMENT.to_owned()];
        }
        if let Change::Replace(_) = submission.change {
            return match base == self.version {
                true => Vec::new(),
                false => vec![WHOLE_DOCUMENT.to_owned()],
            };
        }
        let changed_since_base = |name: &String| {
            let last_change = self.last_changes.get(name);
            last_change.is_some_and(|change| change.version > base)
        };
        let all = object_names(patch).into_iter();
        all.filter(changed_since_base).take(CONFLICTS_MAX).collect()
    }

    /// Whether a change with this `base` may be a resend of an evicted operation, or may concern an
    /// object whose last change was evicted.
    ///
    /// While the version is the one at which the operation was decided, a resend would get the same
    /// verdict again.
    fn is_too_old(&self, base: Version) -> bool {
        let evicted = self.last_evicted_at;
        let may_be_resend = evicted.is_some_and(|at| base <= at && at < self.version);
        may_be_resend || base < self.oldest_base
    }

    fn record_change(&mut self, operation: &Operation, patch: Patch) {
        let removed = removed_object_names(&patch);
        for name in object_names(&patch) {
            let last_change = LastChange {
                version: self.version,
                operation: operation.clone(),
            };
            self.last_changes.insert(name, last_change);
        }
        for name in removed {
            self.removed.push_back((self.version, name));
        }
        self.trim_removed();
        self.delta_objects += patch.len();
        self.deltas.push_back(StoredDelta {
            delta: follow::Delta {
                version: self.version,
                operation: operation.clone(),
                patch,
            },
            digest: self.document.digest(),
        });
        self.trim_deltas();
    }

    /// Evicts the last changes of the objects that were removed first; changes with an older base are
    /// refused from then on, since their conflicts can no longer be detected.
    fn trim_removed(&mut self) {
        while self.removed.len() > REMOVED_MAX {
            let Some((version, name)) = self.removed.pop_front() else {
                return;
            };
            self.oldest_base = version;
            if self
                .last_changes
                .get(&name)
                .is_some_and(|change| change.version == version)
            {
                self.last_changes.remove(&name);
            }
        }
    }

    /// Removes the oldest deltas over the limits; the newest is always stored.
    fn trim_deltas(&mut self) {
        let exceeds_limits = |config: &Self| {
            config.deltas.len() > DELTAS_MAX || config.delta_objects > DELTA_OBJECTS_MAX
        };
        while self.deltas.len() > 1 && exceeds_limits(self) {
            if let Some(oldest) = self.deltas.pop_front() {
                self.delta_objects -= oldest.delta.patch.len();
            }
        }
    }

    fn record_operation(&mut self, operation: &Operation, decided: DecidedOperation) {
        self.operations.insert(operation.clone(), decided);
        self.operation_order.push_back(operation.clone());
        if self.operation_order.len() <= OPERATIONS_MAX {
            return;
        }
        let oldest = self.operation_order.pop_front();
        if let Some(decided) = oldest.and_then(|oldest| self.operations.remove(&oldest)) {
            self.last_evicted_at = Some(decided.decided_at);
        }
    }
}

fn submission_digest(submission: &Submission) -> Sha256 {
    // The submission was decoded from this encoding, so encoding can't fail.
    Sha256::of(&eelgrassdyke_core::wire::encode(submission).unwrap_or_default())
}

/// Names of the objects that a patch changes, as `kind/name`.
fn object_names(patch: &Patch) -> Vec<String> {
    let mut names = Vec::new();
    names.extend(patch.teams.keys().map(|name| format!("teams/{name}")));
    names.extend(patch.services.keys().map(|name| format!("services/{name}")));
    names.extend(patch.groups.keys().map(|name| format!("groups/{name}")));
    names.extend(patch.mounts.keys().map(|name| format!("mounts/{name}")));
    let data_centres = patch.data_centres.keys();
    names.extend(data_centres.map(|name| format!("data_centres/{name}")));
    names
}

/// Names of the objects that a patch removes.
fn removed_object_names(patch: &Patch) -> Vec<String> {
    let removed = Patch {
        teams: only_removed(&patch.teams),
        services: only_removed(&patch.services),
        groups: only_removed(&patch.groups),
        mounts: only_removed(&patch.mounts),
        data_centres: only_removed(&patch.data_centres),
    };
    object_names(&removed)
}

fn only_removed<K: Ord + Clone, V>(changes: &BTreeMap<K, Option<V>>) -> BTreeMap<K, Option<V>> {
    let removed = changes.iter().filter(|(_, change)| change.is_none());
    removed.map(|(name, _)| (name.clone(), None)).collect()
}

/// The patch that turns `old` into `new`, except for the orders to evacuate data centres.
///
/// These are given and withdrawn one by one. A configuration that was written before an order, or by
/// someone who doesn't know of it, must not end an evacuation.
fn diff(old: &Document, new: &Document) -> Patch {
    Patch {
        teams: changes(&old.teams, &new.teams),
        services: changes(&old.services, &new.services),
        groups: changes(&old.groups, &new.groups),
        mounts: changes(&old.mounts, &new.mounts),
        data_centres: BTreeMap::new(),
    }
}

fn changes<K: Ord + Clone, V: Clone + PartialEq>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
) -> BTreeMap<K, Option<V>> {
    let mut changes = BTreeMap::new();
    for name in old.keys() {
        if !new.contains_key(name) {
            changes.insert(name.clone(), None);
        }
    }
    for (name, object) in new {
        if old.get(name) != Some(object) {
            changes.insert(name.clone(), Some(object.clone()));
        }
    }
    changes
}
