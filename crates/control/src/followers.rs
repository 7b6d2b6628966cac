//! Who follows this control process, and what each has in force.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::id::Process;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Sender;
use eelgrassdyke_core::wire::follow::{DirectoryRevision, PollRequest};

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
    pub follow: PollRequest,
    /// When it last asked.
    pub heard: Instant,
}

/// Time between two messages about entries to the other control processes.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// Followers by process.
#[derive(Clone, Debug, Default)]
pub struct Followers {
    by_process: BTreeMap<Process, Follower>,
    /// Entries that follow other control processes, and when they were last told of.
    elsewhere: BTreeMap<Process, Instant>,
    next_tell: Instant,
}

impl Followers {
    /// Takes in a question.
    pub fn hear(&mut self, now: Instant, from: &Sender, follow: PollRequest) {
        let follower = Follower {
            address: from.address,
            follow,
            heard: now,
        };
        self.by_process.insert(from.process.clone(), follower);
    }

    /// Notes which directory a follower has been sent.
    pub fn note_directory(&mut self, process: &Process, revision: DirectoryRevision) {
        if let Some(follower) = self.by_process.get_mut(process) {
            follower.follow.directory_revision = Some(revision);
        }
    }

    /// Takes in which entries follow another control process.
    pub fn hear_entries(&mut self, now: Instant, entries: Vec<Process>) {
        for entry in entries {
            self.elsewhere.insert(entry, now);
        }
    }

    /// The entries to tell the other control processes of, once in a while.
    pub fn entries_to_tell(&mut self, now: Instant) -> Option<Vec<Process>> {
        if now < self.next_tell {
            return None;
        }
        self.next_tell = now + TELL_INTERVAL;
        let entries: Vec<Process> = self.entries(now).cloned().collect();
        (!entries.is_empty()).then_some(entries)
    }

    /// Entries that follow any control process.
    pub fn count_entries(&self, now: Instant) -> u32 {
        let live = |at: &Instant| now.since(*at) < SUBSCRIPTION;
        let elsewhere = self.elsewhere.iter().filter(|(_, at)| live(at));
        let mut all: BTreeSet<&Process> = elsewhere.map(|(process, _)| process).collect();
        all.extend(self.entries(now));
        all.len() as u32
    }

    /// Entries that follow this control process.
    fn entries(&self, now: Instant) -> impl Iterator<Item = &Process> {
        let live =
            move |f: &Follower| f.follow.wants_directory && now.since(f.heard) < SUBSCRIPTION;
        let all = self.by_process.iter();
        all.filter(move |(_, follower)| live(follower))
            .map(|(process, _)| process)
    }

    /// Drops those not heard for long.
    pub fn expire(&mut self, now: Instant) {
        self.elsewhere.retain(|_, at| now.since(*at) < FORGET);
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
