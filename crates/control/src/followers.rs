//! The followers of this control process, with the versions that each holds.
//!
//! A follower is a process that polls for the configuration, the directory or the leader. Entries are
//! the followers that want the directory.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::{Incarnation, Process, Service, Version};
use eelgrassdyke_core::limit::{ServiceDemand, ServiceShare, Share};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::MilliRequestRate;
use eelgrassdyke_core::wire::Sender;
use eelgrassdyke_core::wire::follow::{DirectoryRevision, PollRequest};

/// Time after its last poll for which changes are pushed to a follower.
pub const SUBSCRIPTION_PERIOD: Duration = Duration::from_secs(3);

/// Time after its last poll at which a follower is removed.
const RETENTION: Duration = Duration::from_secs(60);

/// Time for which a snapshot may still be under way after it was sent: the time-out of a batch.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// One follower.
#[derive(Clone, Debug)]
pub struct Follower {
    /// Incarnation of the follower.
    pub incarnation: Incarnation,
    /// Address of the follower.
    pub address: SocketAddr,
    /// Its last poll, with the revision of the last directory sent to it.
    pub poll: PollRequest,
    /// When the poll arrived.
    pub polled_at: Instant,
}

/// Time between two messages that announce local entries to the other control processes.
const ENTRIES_INTERVAL: Duration = Duration::from_secs(1);

/// The last snapshot of the configuration sent to a follower, and what the follower held by its poll.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SentSnapshot {
    incarnation: Incarnation,
    held: (Version, Sha256),
    version: Version,
}

/// Followers by process.
#[derive(Clone, Debug, Default)]
pub struct Followers {
    by_process: BTreeMap<Process, Follower>,
    /// With the time at which each was sent.
    sent_snapshots: BTreeMap<Process, (SentSnapshot, Instant)>,
    /// Entries that follow other control processes, with the time of the last message about each.
    remote_entries: BTreeMap<Process, Instant>,
    /// The demand at those entries, for services with limited servers.
    remote_demands: BTreeMap<Process, (Instant, Vec<ServiceDemand>)>,
    next_entries_message: Instant,
}

impl Followers {
    /// Records a poll and returns the follower that sent it.
    pub fn record_poll(&mut self, now: Instant, from: &Sender, poll: PollRequest) -> Follower {
        let follower = Follower {
            incarnation: from.incarnation,
            address: from.address,
            poll,
            polled_at: now,
        };
        self.by_process
            .insert(from.process.clone(), follower.clone());
        follower
    }

    /// Records the directory revision that was sent to a follower.
    pub fn record_sent_directory(&mut self, process: &Process, revision: DirectoryRevision) {
        if let Some(follower) = self.by_process.get_mut(process) {
            follower.poll.directory_revision = Some(revision);
        }
    }

    /// Records that a snapshot of `version` is sent to a follower. Returns false, and records nothing, while one
    /// that was sent to it when it held the same as now may still arrive.
    pub fn try_begin_snapshot(
        &mut self,
        now: Instant,
        process: &Process,
        follower: &Follower,
        version: Version,
    ) -> bool {
        let snapshot = SentSnapshot {
            incarnation: follower.incarnation,
            held: (follower.poll.version, follower.poll.digest),
            version,
        };
        if let Some((sent, sent_at)) = self.sent_snapshots.get(process)
            && *sent == snapshot
            && now.since(*sent_at) < DELIVERY_TIMEOUT
        {
            return false;
        }
        self.sent_snapshots.insert(process.clone(), (snapshot, now));
        true
    }

    /// Records entries that follow another control process.
    pub fn record_remote_entries(&mut self, now: Instant, entries: Vec<Process>) {
        for entry in entries {
            self.remote_entries.insert(entry, now);
        }
    }

    /// Records the demand at entries that follow another control process.
    pub fn record_remote_demands(
        &mut self,
        now: Instant,
        demands: Vec<(Process, Vec<ServiceDemand>)>,
    ) {
        for (entry, demands) in demands {
            self.remote_demands.insert(entry, (now, demands));
        }
    }

    /// The demand at the local entries that named one.
    pub fn local_demands(&self, now: Instant) -> Vec<(Process, Vec<ServiceDemand>)> {
        let entries = self.local_entries(now);
        let demands = entries.map(|process| (process, &self.by_process[process].poll.demands));
        let named = demands.filter(|(_, demands)| !demands.is_empty());
        named
            .map(|(process, demands)| (process.clone(), demands.clone()))
            .collect()
    }

    /// The shares of an entry of the services that it named a demand for.
    pub fn shares(&self, now: Instant, process: &Process) -> Vec<ServiceShare> {
        let Some(follower) = self.by_process.get(process) else {
            return Vec::new();
        };
        if follower.poll.demands.is_empty() {
            return Vec::new();
        }
        let entries = self.entries(now);
        let Some(index) = entries.iter().position(|entry| *entry == process) else {
            return Vec::new();
        };
        let mut shares = Vec::new();
        for ServiceDemand { service, units, .. } in &follower.poll.demands {
            let rates: Vec<_> = (entries.iter())
                .map(|entry| self.demand(now, entry, service))
                .collect();
            shares.push(ServiceShare {
                service: service.clone(),
                share: Share::divide_units(&rates, index, *units),
            });
        }
        shares
    }

    /// The demand for a service at an entry, if it named one recently.
    fn demand(&self, now: Instant, entry: &Process, service: &Service) -> Option<MilliRequestRate> {
        let is_recent = |at: Instant| now.since(at) < SUBSCRIPTION_PERIOD;
        let local = self.by_process.get(entry);
        let local = local.filter(|f| f.poll.wants_directory && is_recent(f.polled_at));
        let remote = self
            .remote_demands
            .get(entry)
            .filter(|(at, _)| is_recent(*at));
        let demands = match (local, remote) {
            (Some(follower), _) => &follower.poll.demands,
            (None, Some((_, demands))) => demands,
            (None, None) => return None,
        };
        let found = demands.iter().find(|demand| demand.service == *service)?;
        Some(found.rate)
    }

    /// The local entries, when it is time to announce them to the other control processes.
    pub fn entries_to_announce(&mut self, now: Instant) -> Option<Vec<Process>> {
        if now < self.next_entries_message {
            return None;
        }
        self.next_entries_message = now + ENTRIES_INTERVAL;
        let entries: Vec<Process> = self.local_entries(now).cloned().collect();
        (!entries.is_empty()).then_some(entries)
    }

    /// Number of entries that follow any control process.
    pub fn count_entries(&self, now: Instant) -> u32 {
        self.entries(now).len() as u32
    }

    /// The entries that follow any control process, by name.
    fn entries(&self, now: Instant) -> BTreeSet<&Process> {
        let is_recent = |at: &Instant| now.since(*at) < SUBSCRIPTION_PERIOD;
        let remote_entries = self.remote_entries.iter().filter(|(_, at)| is_recent(at));
        let mut all: BTreeSet<&Process> = remote_entries.map(|(process, _)| process).collect();
        all.extend(self.local_entries(now));
        all
    }

    /// Entries that follow this control process.
    fn local_entries(&self, now: Instant) -> impl Iterator<Item = &Process> {
        let is_recent = move |follower: &Follower| {
            follower.poll.wants_directory && now.since(follower.polled_at) < SUBSCRIPTION_PERIOD
        };
        let all = self.by_process.iter();
        all.filter(move |(_, follower)| is_recent(follower))
            .map(|(process, _)| process)
    }

    /// Removes followers and entries whose last poll or message is too old.
    pub fn expire(&mut self, now: Instant) {
        self.remote_entries
            .retain(|_, at| now.since(*at) < RETENTION);
        self.remote_demands
            .retain(|_, (at, _)| now.since(*at) < RETENTION);
        self.by_process
            .retain(|_, follower| now.since(follower.polled_at) < RETENTION);
        self.sent_snapshots
            .retain(|_, (_, sent_at)| now.since(*sent_at) < DELIVERY_TIMEOUT);
    }

    /// Followers to which changes are pushed.
    pub fn subscribed(&self, now: Instant) -> Vec<(Process, Follower)> {
        let is_recent = |follower: &Follower| now.since(follower.polled_at) < SUBSCRIPTION_PERIOD;
        let all = self
            .by_process
            .iter()
            .filter(|(_, follower)| is_recent(follower));
        all.map(|(process, follower)| (process.clone(), follower.clone()))
            .collect()
    }

    /// All followers.
    pub fn iter(&self) -> impl Iterator<Item = (&Process, &Follower)> {
        self.by_process.iter()
    }
}
