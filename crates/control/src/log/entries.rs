//! The part of the log that is held in memory: the records after a base index, and the memberships
//! that they set.

use std::collections::VecDeque;

use eelgrassdyke_core::id::{Index, Term};
use eelgrassdyke_core::wire::log::{Members, Payload, Record};

/// Approximate size of a record without its command, in memory and on the wire.
const RECORD_OVERHEAD_BYTES: usize = 48;

/// Records after a base index, with the membership at each index.
#[derive(Clone, Debug)]
pub struct MemoryLog {
    base: (Index, Term),
    records: VecDeque<Record>,
    /// Memberships by the index from which they are in effect, oldest first.
    members: Vec<(Index, Members)>,
}

/// Approximate size of a record, in bytes.
pub fn record_bytes(record: &Record) -> usize {
    match &record.payload {
        Payload::Command(command) => command.len() + RECORD_OVERHEAD_BYTES,
        _ => RECORD_OVERHEAD_BYTES,
    }
}

impl MemoryLog {
    /// An empty log after `base`, with `members` in effect there.
    pub fn new(base: (Index, Term), members: Members) -> Self {
        Self {
            base,
            records: VecDeque::new(),
            members: vec![(base.0, members)],
        }
    }

    /// The index before the first record held.
    pub fn base_index(&self) -> Index {
        self.base.0
    }

    /// The last index.
    pub fn last_index(&self) -> Index {
        self.base.0 + Index(self.records.len() as u64)
    }

    /// Term of the last record.
    pub fn last_term(&self) -> Term {
        self.records
            .back()
            .map_or(self.base.1, |record| record.term)
    }

    /// Term of the record at `index`; `None` if it is not held.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|record| record.term)
    }

    /// The record at `index`.
    pub fn get(&self, index: Index) -> Option<&Record> {
        if index <= self.base.0 {
            return None;
        }
        let offset = (index.0 - self.base.0.0 - 1) as usize;
        self.records.get(offset)
    }

    /// Records from `first` on, of at most `bytes_max` bytes together but at least one record.
    pub fn batch(&self, first: Index, bytes_max: usize) -> Vec<Record> {
        let mut records = Vec::new();
        let mut bytes = 0;
        let mut index = first;
        while let Some(record) = self.get(index) {
            bytes += record_bytes(record);
            if bytes > bytes_max && !records.is_empty() {
                break;
            }
            records.push(record.clone());
            index = index.next();
        }
        records
    }

    /// All records from `first` on.
    pub fn records_from(&self, first: Index) -> Vec<Record> {
        self.batch(first, usize::MAX)
    }

    /// The lowest index from which on the records up to `last` number at most `records_max` and take
    /// at most `bytes_max` together.
    pub fn retained_after(&self, last: Index, records_max: u64, bytes_max: usize) -> Index {
        let lowest = self.base.0.max(last - Index(records_max));
        let mut bytes = 0;
        let mut index = last;
        while index > lowest
            && let Some(record) = self.get(index)
        {
            bytes += record_bytes(record);
            if bytes > bytes_max {
                break;
            }
            index = index - Index(1);
        }
        index
    }

    /// Appends the next record.
    pub fn append(&mut self, record: Record) {
        debug_assert_eq!(record.index, self.last_index().next());
        if let Payload::Members(members) = &record.payload {
            self.members.push((record.index, members.clone()));
        }
        self.records.push_back(record);
    }

    /// Removes the records from `index` on.
    pub fn truncate_from(&mut self, index: Index) {
        let count = index.0.saturating_sub(self.base.0.0 + 1) as usize;
        self.records.truncate(count);
        self.members
            .retain(|(at, _)| *at < index || *at <= self.base.0);
    }

    /// Removes the records up to `index`, which becomes the base.
    pub fn compact_to(&mut self, index: Index) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let members = self.members_at(index).clone();
        let count = (index.0 - self.base.0.0) as usize;
        self.records.drain(..count);
        self.base = (index, term);
        self.members.retain(|(at, _)| *at > index);
        self.members.insert(0, (index, members));
    }

    /// Members by the latest membership record, committed or not.
    pub fn members(&self) -> &Members {
        // The list always holds the membership at the base.
        &self.members[self.members.len() - 1].1
    }

    /// Index of the latest membership record.
    pub fn members_index(&self) -> Index {
        self.members[self.members.len() - 1].0
    }

    /// Members as of `index`.
    pub fn members_at(&self, index: Index) -> &Members {
        let in_effect = self.members.iter().rev().find(|(at, _)| *at <= index);
        &in_effect.unwrap_or(&self.members[0]).1
    }
}
