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
    /// Records of crashes that have not been passed on.
    pending_crashes: BTreeSet<ContentKey>,
    /// Servers whose limits have not been passed on.
    pending_limits: BTreeSet<Server>,
    next_relay: Instant,
}

impl FactRelay {
    /// The ledger.
    pub fn ledger(&self) -> &CrashLedger {
        &self.ledger
    }

    /// Merges records; what is new is passed on with the next [`FactRelay::take_due`].
    pub fn merge(&mut self, now: Instant, sync: &FactSync) {
        let mut news = self.ledger.merge_all(now, &sync.records);
        self.pending_crashes.append(&mut news);
        for record in &sync.limits {
            if self.limits.merge(now, record) {
                self.pending_limits.insert(record.server.clone());
            }
        }
    }

    /// The records to pass on, if it is time.
    pub fn take_due(&mut self, now: Instant) -> Option<FactSync> {
        if now < self.next_deadline() {
            return None;
        }
        self.next_relay = now + RELAY_INTERVAL;
        let crashes = std::mem::take(&mut self.pending_crashes);
        let limits = std::mem::take(&mut self.pending_limits);
        Some(FactSync {
            records: (crashes.iter())
                .filter_map(|key| self.ledger.record(now, key))
                .collect(),
            limits: (limits.iter())
                .filter_map(|server| self.limits.record(now, server))
                .collect(),
            ..FactSync::default()
        })
    }

    /// When [`FactRelay::take_due`] next returns records.
    pub fn next_deadline(&self) -> Instant {
        match self.pending_crashes.is_empty() && self.pending_limits.is_empty() {
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
        self.crashes.merge(now, sync);
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
        self.relay_facts(now, sync, out);
        let response = OperatorResponse::Quarantines(self.crashes.status(now));
        out.push(Output::Respond { ticket, response });
    }

    /// Passes on what is new.
    pub(crate) fn relay_due_facts(&mut self, now: Instant, out: &mut Vec<Output>) {
        if let Some(sync) = self.crashes.take_due(now) {
            self.relay_facts(now, sync, out);
        }
    }

    /// Sends records to the entries that follow this process and to the other control processes.
    fn relay_facts(&mut self, now: Instant, sync: FactSync, out: &mut Vec<Output>) {
        if sync.is_empty() {
            return;
        }
        let followers = self.followers.subscribed(now).into_iter();
        let entries = followers.filter(|(_, follower)| follower.poll.wants_directory);
        let mut receivers: Vec<_> = entries.map(|(_, follower)| follower.address).collect();
        receivers.extend(self.replica.peer_addresses());
        for to in receivers {
            let message = Message::FactSync(sync.clone());
            out.push(Output::Send { to, message });
        }
    }
}
