//! The configuration and the operations that changed it.
//!
//! A change names the version that it was made from. Whole documents compare it with the present
//! version, patches with the version of each object that they touch, so that operators who work on
//! different objects don't collide. The answer to each operation is remembered, and a resend gets
//! it again.

use std::collections::{BTreeMap, VecDeque};

use eelgrassdyke_core::config::{Change, Document, Patch, Submission, Verdict};
use eelgrassdyke_core::data;
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::{Operation, Version};
use eelgrassdyke_core::wire::follow;

use super::validate::validate;

/// Changes kept to bring followers up to date without a snapshot.
const DELTAS_MAX: usize = 1024;

/// Operations remembered.
const OPERATIONS_MAX: usize = 20_000;

data! {
    /// The configuration, its history as far as kept, and the operations that made it.
    #[derive(Default)]
    #[serde(default)]
    pub struct Config {
        version: Version,
        document: Document,
        touched: BTreeMap<String, Touch>,
        deltas: VecDeque<follow::Delta>,
        operations: BTreeMap<Operation, Answered>,
        order: VecDeque<Operation>,
    }

    /// Who last changed an object.
    struct Touch {
        version: Version,
        operation: Operation,
    }

    /// An operation and its answer.
    struct Answered {
        submission: Sha256,
        verdict: Verdict,
    }
}

impl Config {
    /// The present version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The present document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// What a follower that holds `version` with `digest` lacks.
    pub fn since(&self, version: Version, digest: &Sha256) -> Option<follow::Config> {
        let present = self.document.digest();
        if version == self.version && *digest == present {
            return None;
        }
        let oldest = self.deltas.front().map(|delta| delta.version);
        let reaches = oldest.is_some_and(|oldest| version.next() >= oldest);
        if version >= self.version || version == Version(0) || !reaches {
            let document = self.document.clone();
            return Some(follow::Config::Snapshot {
                version: self.version,
                document,
            });
        }
        let newer = self.deltas.iter().filter(|delta| delta.version > version);
        let changes = newer.cloned().collect();
        Some(follow::Config::Deltas {
            from: version,
            changes,
            digest: present,
        })
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
        let verdict = self.decide(submission);
        self.remember(submission, digest, verdict.clone());
        verdict
    }

    fn decide(&mut self, submission: &Submission) -> Verdict {
        let patch = match &submission.change {
            Change::Whole(document) => difference(&self.document, document),
            Change::Patch(patch) => patch.clone(),
        };
        let objects = self.conflicts(submission, &patch);
        if !objects.is_empty() {
            let holder = self
                .touched
                .get(&objects[0])
                .map(|touch| touch.operation.clone());
            return Verdict::Conflict {
                present: self.version,
                objects,
                holder,
            };
        }
        let mut document = self.document.clone();
        document.apply(&patch);
        let faults = validate(&document);
        if !faults.is_empty() {
            return Verdict::Invalid { faults };
        }
        self.document = document;
        self.version = self.version.next();
        self.record(&submission.operation, patch);
        Verdict::Accepted {
            version: self.version,
        }
    }

    /// Objects that changed after the version that a submission was made from.
    fn conflicts(&self, submission: &Submission, patch: &Patch) -> Vec<String> {
        if let Change::Whole(_) = submission.change {
            if submission.base == self.version {
                return Vec::new();
            }
            return vec!["document".to_owned()];
        }
        let newer = |name: &String| {
            let touch = self.touched.get(name);
            touch.is_some_and(|touch| touch.version > submission.base)
        };
        if submission.base > self.version {
            return vec!["document".to_owned()];
        }
        names(patch).into_iter().filter(newer).collect()
    }

    fn record(&mut self, operation: &Operation, patch: Patch) {
        for name in names(&patch) {
            let touch = Touch {
                version: self.version,
                operation: operation.clone(),
            };
            self.touched.insert(name, touch);
        }
        let operation = operation.clone();
        self.deltas.push_back(follow::Delta {
            version: self.version,
            operation,
            patch,
        });
        if self.deltas.len() > DELTAS_MAX {
            self.deltas.pop_front();
        }
    }

    fn remember(&mut self, submission: &Submission, digest: Sha256, verdict: Verdict) {
        let operation = submission.operation.clone();
        self.operations.insert(
            operation.clone(),
            Answered {
                submission: digest,
                verdict,
            },
        );
        self.order.push_back(operation);
        if self.order.len() <= OPERATIONS_MAX {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.operations.remove(&oldest);
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
    names
}

/// The patch that turns `old` into `new`.
fn difference(old: &Document, new: &Document) -> Patch {
    Patch {
        teams: changes(&old.teams, &new.teams),
        services: changes(&old.services, &new.services),
        groups: changes(&old.groups, &new.groups),
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
