//! Relay of the entries' records of crashes, see [`eelgrassdyke_core::crash`].
//!
//! The records are soft state: every control process merges what entries send, passes what is new to it
//! on to its followers and to the other control processes, and tells an entry that has restarted what
//! it lacks. A control process that has restarted learns the records from the entries.

use eelgrassdyke_core::crash::{CrashLedger, CrashRecord, CrashSync, PartKey};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::{Message, Sender};

use crate::control::Control;
use crate::io::Output;

/// The records of one control process.
#[derive(Clone, Debug, Default)]
pub struct CrashRelay {
    ledger: CrashLedger,
}

impl CrashRelay {
    /// The ledger.
    pub fn ledger(&self) -> &CrashLedger {
        &self.ledger
    }

    /// Merges records; returns those that changed.
    pub fn merge(&mut self, now: Instant, records: &[CrashRecord]) -> Vec<CrashRecord> {
        let mut changed = Vec::new();
        for record in records {
            if !self.ledger.merge(now, record) {
                continue;
            }
            let key = (record.service.clone(), record.part.clone());
            changed.extend(self.ledger.record(now, &key));
        }
        changed
    }

    /// The response to the complete ledger of an entry: the records that it lacks.
    pub fn response(&mut self, now: Instant, sync: &CrashSync) -> CrashSync {
        self.ledger.expire(now);
        CrashSync {
            records: self.ledger.records_beyond(now, &sync.records),
            is_complete: false,
        }
    }

    /// Lifts the quarantine of a part; returns its record, if there is one.
    pub fn lift(&mut self, now: Instant, key: &PartKey) -> Option<CrashRecord> {
        self.ledger.clear(key);
        self.ledger.record(now, key)
    }
}

impl Control {
    /// Merges records and passes on what is new.
    pub(crate) fn handle_crash_sync(
        &mut self,
        now: Instant,
        from: &Sender,
        sync: &CrashSync,
        out: &mut Vec<Output>,
    ) {
        let changed = self.crashes.merge(now, &sync.records);
        self.relay_crash_records(now, Some(from), changed, out);
        if sync.is_complete {
            out.push(Output::Send {
                to: from.address,
                message: Message::CrashSync(self.crashes.response(now, sync)),
            });
        }
    }

    /// Sends records to the entries that follow this process and to the other control processes.
    pub(crate) fn relay_crash_records(
        &mut self,
        now: Instant,
        from: Option<&Sender>,
        records: Vec<CrashRecord>,
        out: &mut Vec<Output>,
    ) {
        if records.is_empty() {
            return;
        }
        let followers = self.followers.subscribed(now).into_iter();
        let entries = followers.filter(|(_, follower)| follower.poll.wants_directory);
        let mut receivers: Vec<_> = entries.map(|(_, follower)| follower.address).collect();
        receivers.extend(self.replica.peer_addresses());
        receivers.retain(|address| from.is_none_or(|from| from.address != *address));
        for to in receivers {
            let sync = CrashSync {
                records: records.clone(),
                is_complete: false,
            };
            let message = Message::CrashSync(sync);
            out.push(Output::Send { to, message });
        }
    }
}
