//! Who follows this control process, and what each has in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::id::Process;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Sender;
use eelgrassdyke_core::wire::follow::{Follow, Revision};

/// Time after its last question in which a follower gets changes pushed.
pub const SUBSCRIPTION: Duration = Duration::from_secs(3);

/// Time after its last question at which a follower is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// One follower.
#[derive(Clone, Debug)]
pub struct Follower {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its last question.
    pub follow: Follow,
    /// When it last asked.
    pub heard: Instant,
}

/// Followers by process.
#[derive(Clone, Debug, Default)]
pub struct Followers {
    by_process: BTreeMap<Process, Follower>,
}

impl Followers {
    /// Takes in a question.
    pub fn hear(&mut self, now: Instant, from: &Sender, follow: Follow) {
        let follower = Follower {
            address: from.address,
            follow,
            heard: now,
        };
        self.by_process.insert(from.process.clone(), follower);
    }

    /// Notes which directory a follower has been sent.
    pub fn note_directory(&mut self, process: &Process, revision: Revision) {
        if let Some(follower) = self.by_process.get_mut(process) {
            follower.follow.directory = Some(revision);
        }
    }

    /// Drops those not heard for long.
    pub fn expire(&mut self, now: Instant) {
        self.by_process
            .retain(|_, follower| now.since(follower.heard) < FORGET);
    }

    /// Followers that get changes pushed.
    pub fn subscribed(&self, now: Instant) -> Vec<(Process, Follower)> {
        let live = |f: &Follower| now.since(f.heard) < SUBSCRIPTION;
        let all = self
            .by_process
            .iter()
            .filter(|(_, follower)| live(follower));
        all.map(|(process, follower)| (process.clone(), follower.clone()))
            .collect()
    }

    /// All followers.
    pub fn iter(&self) -> impl Iterator<Item = (&Process, &Follower)> {
        self.by_process.iter()
    }
}
