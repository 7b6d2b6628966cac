//! The configuration and the operations that changed it.
//!
//! A change names the version that it was made from. Whole documents compare it with the present
//! version, patches with the version of each object that they touch, so that operators who work on
//! different objects don't collide. The answer to each operation is remembered, and a resend gets
//! it again. A change made from a version older than that memory reaches back is refused, so that a
//! resend whose answer was forgotten is never applied as new.

use std::collections::{BTreeMap, VecDeque};

use eelgrassdyke_core::config::{
    Change, DigestedDocument, Document, Patch, Publication, Submission, Verdict,
};
use eelgrassdyke_core::data;
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::{Operation, Version};
use eelgrassdyke_core::wire::follow;

use super::validate::validate;

/// Changes kept to bring followers up to date without a snapshot.
const DELTAS_MAX: usize = 1024;

/// Objects in all changes kept.
const DELTA_OBJECTS_MAX: usize = 16_384;

/// Operations remembered.
const OPERATIONS_MAX: usize = 20_000;

/// Removed objects whose last change is remembered.
const REMOVED_MAX: usize = 20_000;

/// Objects that a conflict names at most.
const CONFLICTS_MAX: usize = 100;

/// What a conflict names when the whole document is in the way.
const WHOLE: &str = "document";

data! {
    /// The configuration, its history as far as kept, and the operations that made it.
    #[derive(Default)]
    #[serde(default)]
    pub struct Config {
        version: Version,
        held: DigestedDocument,
        touched: BTreeMap<String, Touch>,
        removed: VecDeque<(Version, String)>,
        deltas: VecDeque<Kept>,
        delta_objects: usize,
        operations: BTreeMap<Operation, Answered>,
        order: VecDeque<Operation>,
        /// Changes made from a version below this one are refused.
        oldest_base: Version,
        /// Version at which the last forgotten operation was decided; none before the first.
        forgotten_at: Option<Version>,
        /// The operator's number of the last publication; zero before the first.
        number: u64,
        /// The text of the last publication.
        #[serde(with = "serde_bytes")]
        source: Vec<u8>,
    }

    /// Who last changed an object.
    struct Touch {
        version: Version,
        operation: Operation,
    }

    /// A change and the digest of the document after it.
    struct Kept {
        delta: follow::Delta,
        digest: Sha256,
    }

    /// An operation, its answer and the version at which it was given.
    struct Answered {
        submission: Sha256,
        verdict: Verdict,
        at: Version,
    }
}

impl Config {
    /// The present version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The present document.
    pub fn document(&self) -> &Document {
        self.held.document()
    }

    /// The digest of the present document.
    pub fn digest(&self) -> Sha256 {
        self.held.digest()
    }

    /// What a follower that holds `version` with `digest` lacks.
    pub fn since(&self, version: Version, digest: &Sha256) -> Option<follow::ConfigUpdate> {
        // Nothing steps back, so a follower that is as far, or farther, gets nothing.
        if version >= self.version {
            return None;
        }
        let Some(first) = self.position_after(version, digest) else {
            return Some(follow::ConfigUpdate::Snapshot {
                version: self.version,
                document: self.held.document().clone(),
            });
        };
        let newer = self.deltas.iter().skip(first);
        Some(follow::ConfigUpdate::Deltas {
            base: version,
            deltas: newer.map(|kept| kept.delta.clone()).collect(),
            digest: self.held.digest(),
        })
    }

    /// Position of the first change after `version`, if a follower can go on from there.
    fn position_after(&self, version: Version, digest: &Sha256) -> Option<usize> {
        let oldest = self.deltas.front()?.delta.version;
        let held = version.0.checked_sub(oldest.0)? as usize;
        let kept = self.deltas.get(held)?;
        (kept.digest == *digest).then_some(held + 1)
    }

    /// Decides a submission and applies it when it is accepted.
    pub fn submit(&mut self, submission: &Submission) -> Verdict {
        let digest = submission_digest(submission);
        if let Some(answered) = self.operations.get(&submission.operation) {
            return match answered.submission == digest {
                true => answered.verdict.clone(),
                false => Verdict::Reused,
            };
        }
        let at = self.version;
        let verdict = self.decide(submission);
        let answered = Answered {
            submission: digest,
            verdict: verdict.clone(),
            at,
        };
        self.remember(&submission.operation, answered);
        verdict
    }

    /// Number and text of the last publication; none before the first.
    pub fn published(&self) -> Option<(u64, &[u8])> {
        (self.number > 0).then_some((self.number, self.source.as_slice()))
    }

    /// Puts a publication in force if its number is the highest so far.
    ///
    /// One that is overtaken, or sent again, is accepted and changes nothing. An invalid one is
    /// refused whatever its number is.
    pub fn publish(&mut self, publication: &Publication) -> Verdict {
        let faults = validate(&publication.document);
        if !faults.is_empty() {
            return Verdict::Invalid { faults };
        }
        let version = self.version;
        if publication.number <= self.number {
            return Verdict::Accepted { version };
        }
        self.number = publication.number;
        self.source.clone_from(&publication.source);
        let patch = difference(self.held.document(), &publication.document);
        if patch.is_empty() {
            return Verdict::Accepted { version };
        }
        self.held.apply(&patch);
        self.version = version.next();
        if let Ok(operation) = format!("publication-{}", publication.number).parse() {
            self.record(&operation, patch);
        }
        Verdict::Accepted {
            version: self.version,
        }
    }

    fn decide(&mut self, submission: &Submission) -> Verdict {
        let patch = match &submission.change {
            Change::Whole(document) => difference(self.held.document(), document),
            Change::Patch(patch) => patch.clone(),
        };
        let objects = self.conflicts(submission, &patch);
        if let Some(first) = objects.first() {
            let touch = self.touched.get(first);
            return Verdict::Conflict {
                current_version: self.version,
                last_operation: touch.map(|touch| touch.operation.clone()),
                objects,
            };
        }
        let undo = self.held.apply(&patch);
        let faults = validate(self.held.document());
        if !faults.is_empty() {
            self.held.apply(&undo);
            return Verdict::Invalid { faults };
        }
        self.version = self.version.next();
        self.record(&submission.operation, patch);
        Verdict::Accepted {
            version: self.version,
        }
    }

    /// Objects that changed after the version that a submission was made from.
    fn conflicts(&self, submission: &Submission, patch: &Patch) -> Vec<String> {
        let base = submission.base;
        if base > self.version || self.is_too_old(base) {
            return vec![WHOLE.to_owned()];
        }
        if let Change::Whole(_) = submission.change {
            return match base == self.version {
                true => Vec::new(),
                false => vec![WHOLE.to_owned()],
            };
        }
        let newer = |name: &String| {
            let touch = self.touched.get(name);
            touch.is_some_and(|touch| touch.version > base)
        };
        let names = names(patch).into_iter();
        names.filter(newer).take(CONFLICTS_MAX).collect()
    }

    /// Whether a change made from `base` may be the resend of a forgotten operation, or may touch
    /// an object whose last change was forgotten.
    ///
    /// At the version where the operation was decided, it would be decided the same way again.
    fn is_too_old(&self, base: Version) -> bool {
        let forgotten = self.forgotten_at;
        let resent = forgotten.is_some_and(|at| base <= at && at < self.version);
        resent || base < self.oldest_base
    }

    fn record(&mut self, operation: &Operation, patch: Patch) {
        let removed = removed_names(&patch);
        for name in names(&patch) {
            let touch = Touch {
                version: self.version,
                operation: operation.clone(),
            };
            self.touched.insert(name, touch);
        }
        for name in removed {
            self.removed.push_back((self.version, name));
        }
        self.forget_removed();
        self.delta_objects += patch.len();
        self.deltas.push_back(Kept {
            delta: follow::Delta {
                version: self.version,
                operation: operation.clone(),
                patch,
            },
            digest: self.held.digest(),
        });
        self.forget_deltas();
    }

    fn forget_removed(&mut self) {
        while self.removed.len() > REMOVED_MAX {
            let Some((version, name)) = self.removed.pop_front() else {
                return;
            };
            self.oldest_base = version;
            if self
                .touched
                .get(&name)
                .is_some_and(|touch| touch.version == version)
            {
                self.touched.remove(&name);
            }
        }
    }

    /// Keeps the last change in any case.
    fn forget_deltas(&mut self) {
        let full = |config: &Self| {
            config.deltas.len() > DELTAS_MAX || config.delta_objects > DELTA_OBJECTS_MAX
        };
        while self.deltas.len() > 1 && full(self) {
            if let Some(oldest) = self.deltas.pop_front() {
                self.delta_objects -= oldest.delta.patch.len();
            }
        }
    }

    fn remember(&mut self, operation: &Operation, answered: Answered) {
        self.operations.insert(operation.clone(), answered);
        self.order.push_back(operation.clone());
        if self.order.len() <= OPERATIONS_MAX {
            return;
        }
        let oldest = self.order.pop_front();
        if let Some(answered) = oldest.and_then(|oldest| self.operations.remove(&oldest)) {
            self.forgotten_at = Some(answered.at);
        }
    }
}

fn submission_digest(submission: &Submission) -> Sha256 {
    // The submission was decoded from such bytes, so it encodes.
    Sha256::of(&eelgrassdyke_core::wire::encode(submission).unwrap_or_default())
}

/// Names of the objects that a patch touches, as `kind/name`.
fn names(patch: &Patch) -> Vec<String> {
    let mut names = Vec::new();
    names.extend(patch.teams.keys().map(|name| format!("teams/{name}")));
    names.extend(patch.services.keys().map(|name| format!("services/{name}")));
    names.extend(patch.groups.keys().map(|name| format!("groups/{name}")));
    names.extend(patch.mounts.keys().map(|name| format!("mounts/{name}")));
    names
}

/// Names of the objects that a patch removes.
fn removed_names(patch: &Patch) -> Vec<String> {
    let kept = Patch {
        teams: only_removed(&patch.teams),
        services: only_removed(&patch.services),
        groups: only_removed(&patch.groups),
        mounts: only_removed(&patch.mounts),
    };
    names(&kept)
}

fn only_removed<K: Ord + Clone, V>(changes: &BTreeMap<K, Option<V>>) -> BTreeMap<K, Option<V>> {
    let removed = changes.iter().filter(|(_, change)| change.is_none());
    removed.map(|(name, _)| (name.clone(), None)).collect()
}

/// The patch that turns `old` into `new`.
fn difference(old: &Document, new: &Document) -> Patch {
    Patch {
        teams: changes(&old.teams, &new.teams),
        services: changes(&old.services, &new.services),
        groups: changes(&old.groups, &new.groups),
        mounts: changes(&old.mounts, &new.mounts),
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
