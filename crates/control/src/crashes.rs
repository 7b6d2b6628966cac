//! Relay of the entries' records of crashes and limits, see [`eelgrassdyke_core::crash`] and
//! [`eelgrassdyke_core::limit`].
//!
//! The records are soft state: every control process merges what entries send, passes what is new to it
//! on to its followers and to the other control processes, and tells an entry that has restarted what
//! it lacks. A control process that has restarted learns the records from the entries.
//!
//! What is new is collected for a relay interval, so that a receiver gets at most one message in that
//! time, with each record once, however many servers end and however many entries report it.

use std::collections::BTreeSet;
use std::time::Duration;

use eelgrassdyke_core::crash::{ContentKey, CrashLedger, CrashRecord, FactSync};
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Server, Ticket};
use eelgrassdyke_core::limit::LimitLedger;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::{Message, Sender};

use crate::control::Control;
use crate::io::{OperatorResponse, Output, QuarantineStatus};

/// Time between two messages to a receiver.
const RELAY_INTERVAL: Duration = Duration::from_millis(50);

/// The records of one control process.
#[derive(Clone, Debug, Default)]
pub struct FactRelay {
    ledger: CrashLedger,
    limits: LimitLedger,
    /// What is new for the followers.
    for_followers: Pending,
    /// What is new for the other control processes: entries have sent it.
    for_peers: Pending,
    next_relay: Instant,
}

/// From where records come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// An entry: they are passed on to followers and control processes.
    Entry,
    /// Another control process, which has passed them on to all control processes: they are passed on to
    /// followers only. Otherwise two limits of a server, observed within the time of a message, could
    /// replace each other at control processes for ever.
    Control,
}

/// Records to pass on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Relay {
    /// For the followers.
    pub followers: FactSync,
    /// For the other control processes.
    pub peers: FactSync,
}

/// Records that have not been passed on.
#[derive(Clone, Debug, Default)]
struct Pending {
    crashes: BTreeSet<ContentKey>,
    /// Servers with new limits.
    limits: BTreeSet<Server>,
}

impl Pending {
    fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.limits.is_empty()
    }
}

impl FactRelay {
    /// The ledger.
    pub fn ledger(&self) -> &CrashLedger {
        &self.ledger
    }

    /// Merges records; what is new is passed on with the next [`FactRelay::take_due`].
    pub fn merge(&mut self, now: Instant, sync: &FactSync, source: Source) {
        let crashes = self.ledger.merge_all(now, &sync.records);
        let mut limits = BTreeSet::new();
        for record in &sync.limits {
            if self.limits.merge(now, record) {
                limits.insert(record.server.clone());
            }
        }
        if source == Source::Entry {
            self.for_peers.crashes.extend(crashes.iter().cloned());
            self.for_peers.limits.extend(limits.iter().cloned());
        }
        self.for_followers.crashes.extend(crashes);
        self.for_followers.limits.extend(limits);
    }

    /// The records to pass on, if it is time.
    pub fn take_due(&mut self, now: Instant) -> Option<Relay> {
        if now < self.next_deadline() {
            return None;
        }
        self.next_relay = now + RELAY_INTERVAL;
        let followers = std::mem::take(&mut self.for_followers);
        let peers = std::mem::take(&mut self.for_peers);
        Some(Relay {
            followers: self.sync_of(now, &followers),
            peers: self.sync_of(now, &peers),
        })
    }

    fn sync_of(&self, now: Instant, pending: &Pending) -> FactSync {
        let crashes = pending.crashes.iter();
        let limits = pending.limits.iter();
        FactSync {
            records: crashes
                .filter_map(|key| self.ledger.record(now, key))
                .collect(),
            limits: limits
                .filter_map(|server| self.limits.record(now, server))
                .collect(),
            ..FactSync::default()
        }
    }

    /// When [`FactRelay::take_due`] next returns records.
    pub fn next_deadline(&self) -> Instant {
        match self.for_followers.is_empty() {
            true => Instant::NEVER,
            false => self.next_relay,
        }
    }

    /// The response to the complete ledger of an entry: the records that it lacks.
    pub fn response(&mut self, now: Instant, sync: &FactSync) -> FactSync {
        self.ledger.expire(now);
        self.limits.expire(now);
        let limits_differ = self.limits.digest() != sync.limits_digest;
        FactSync {
            records: self.ledger.records_beyond(now, &sync.records),
            limits: match limits_differ {
                true => self.limits.next_page(now),
                false => Vec::new(),
            },
            is_response: true,
            ..FactSync::default()
        }
    }

    /// The parts that crashes count against.
    pub fn status(&self, now: Instant) -> Vec<QuarantineStatus> {
        let mut parts = Vec::new();
        for record in self.ledger.records(now) {
            let key = (record.service, record.content);
            let quarantine = self.ledger.quarantine(now, &key);
            let mut crashes = record.crashes;
            crashes.retain(|crash| !crash.is_cleared);
            if crashes.is_empty() {
                continue;
            }
            parts.push(QuarantineStatus {
                service: key.0,
                part: key.1,
                crashes,
                left_ms: quarantine.map(|q| q.until.since(now).as_millis() as u64),
            });
        }
        parts
    }

    /// Lifts the quarantine of a part; returns its record, if there is one.
    pub fn lift(&mut self, now: Instant, key: &ContentKey) -> Option<CrashRecord> {
        self.ledger.clear(key);
        self.ledger.record(now, key)
    }
}

impl Control {
    /// Merges records, and responds to an entry that asks for what it lacks.
    pub(crate) fn handle_fact_sync(
        &mut self,
        now: Instant,
        from: &Sender,
        sync: &FactSync,
        out: &mut Vec<Output>,
    ) {
        let is_peer = self.replica.peer_addresses().contains(&from.address);
        let source = match is_peer {
            true => Source::Control,
            false => Source::Entry,
        };
        self.crashes.merge(now, sync, source);
        if sync.is_complete {
            out.push(Output::Send {
                to: from.address,
                message: Message::FactSync(self.crashes.response(now, sync)),
            });
        }
    }

    /// Lifts the quarantine of a part at an operator's request.
    pub(crate) fn lift_quarantine(
        &mut self,
        now: Instant,
        ticket: Ticket,
        key: ContentKey,
        out: &mut Vec<Output>,
    ) {
        let Some(record) = self.crashes.lift(now, &key) else {
            let response = OperatorResponse::Refused {
                problem: format!("no server of {} is known to have ended on {}", key.0, key.1),
                remedy: "see `eelgrassctl quarantine list`".to_owned(),
            };
            out.push(Output::Respond { ticket, response });
            return;
        };
        let event = Event::new(Code::PartCleared, key.1.to_string())
            .with_fact("service", key.0.as_str())
            .with_fact("by", "operator");
        out.push(Output::Event(event));
        let sync = FactSync {
            records: vec![record],
            ..FactSync::default()
        };
        let relay = Relay {
            followers: sync.clone(),
            peers: sync,
        };
        self.relay_facts(now, &relay, out);
        let response = OperatorResponse::Quarantines(self.crashes.status(now));
        out.push(Output::Respond { ticket, response });
    }

    /// Passes on what is new.
    pub(crate) fn relay_due_facts(&mut self, now: Instant, out: &mut Vec<Output>) {
        if let Some(relay) = self.crashes.take_due(now) {
            self.relay_facts(now, &relay, out);
        }
    }

    /// Sends records to the entries that follow this process and to the other control processes.
    fn relay_facts(&mut self, now: Instant, relay: &Relay, out: &mut Vec<Output>) {
        let followers = self.followers.subscribed(now).into_iter();
        let entries = followers.filter(|(_, follower)| follower.poll.wants_directory);
        let entries = entries.map(|(_, follower)| follower.address);
        let peers = self.replica.peer_addresses().into_iter();
        let to_entries = entries.map(|to| (to, &relay.followers));
        for (to, sync) in to_entries.chain(peers.map(|to| (to, &relay.peers))) {
            if sync.is_empty() {
                continue;
            }
            let message = Message::FactSync(sync.clone());
            out.push(Output::Send { to, message });
        }
    }
}
