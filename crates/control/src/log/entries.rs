//! The part of the log that is held in memory.

use std::collections::VecDeque;

use eelgrassdyke_core::id::{Index, Term};
use eelgrassdyke_core::wire::log::{Members, Payload, Record};

/// Bytes of a record beside its command, in memory and on the wire.
const RECORD_OVERHEAD_BYTES: usize = 48;

/// Records after a base position, and the members that follow from them.
#[derive(Clone, Debug)]
pub struct Entries {
    base: (Index, Term),
    records: VecDeque<Record>,
    /// Members by the position from which they hold, oldest first.
    members: Vec<(Index, Members)>,
}

/// Bytes that a record takes, about.
pub fn size(record: &Record) -> usize {
    match &record.payload {
        Payload::Command(command) => command.len() + RECORD_OVERHEAD_BYTES,
        _ => RECORD_OVERHEAD_BYTES,
    }
}

impl Entries {
    /// A log that continues from `base` with `members`.
    pub fn new(base: (Index, Term), members: Members) -> Self {
        Self {
            base,
            records: VecDeque::new(),
            members: vec![(base.0, members)],
        }
    }

    /// The position before the first record held.
    pub fn base(&self) -> Index {
        self.base.0
    }

    /// The last position.
    pub fn last(&self) -> Index {
        self.base.0 + Index(self.records.len() as u64)
    }

    /// Term of the last record.
    pub fn last_term(&self) -> Term {
        self.records
            .back()
            .map_or(self.base.1, |record| record.term)
    }

    /// Term of the record at `index`; none when it is not held.
    pub fn term(&self, index: Index) -> Option<Term> {
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
        let at = (index.0 - self.base.0.0 - 1) as usize;
        self.records.get(at)
    }

    /// Records from `first` on, up to `bytes_max` but at least one.
    pub fn batch(&self, first: Index, bytes_max: usize) -> Vec<Record> {
        let mut records = Vec::new();
        let mut bytes = 0;
        let mut index = first;
        while let Some(record) = self.get(index) {
            bytes += size(record);
            if bytes > bytes_max && !records.is_empty() {
                break;
            }
            records.push(record.clone());
            index = index.next();
        }
        records
    }

    /// Every record from `first` on.
    pub fn from(&self, first: Index) -> Vec<Record> {
        self.batch(first, usize::MAX)
    }

    /// Appends the next record.
    pub fn push(&mut self, record: Record) {
        debug_assert_eq!(record.index, self.last().next());
        if let Payload::Members(members) = &record.payload {
            self.members.push((record.index, members.clone()));
        }
        self.records.push_back(record);
    }

    /// Drops the records from `index` on.
    pub fn cut(&mut self, index: Index) {
        let keep = index.0.saturating_sub(self.base.0.0 + 1) as usize;
        self.records.truncate(keep);
        self.members
            .retain(|(at, _)| *at < index || *at <= self.base.0);
    }

    /// Drops the records up to `index`.
    pub fn trim(&mut self, index: Index) {
        let Some(term) = self.term(index) else {
            return;
        };
        let members = self.members_at(index).clone();
        let count = (index.0 - self.base.0.0) as usize;
        self.records.drain(..count);
        self.base = (index, term);
        self.members.retain(|(at, _)| *at > index);
        self.members.insert(0, (index, members));
    }

    /// The members by the newest record, committed or not.
    pub fn members(&self) -> &Members {
        // The list always holds the base.
        &self.members[self.members.len() - 1].1
    }

    /// The position of the record that set the present members.
    pub fn members_index(&self) -> Index {
        self.members[self.members.len() - 1].0
    }

    /// The members as of `index`.
    pub fn members_at(&self, index: Index) -> &Members {
        let before = self.members.iter().rev().find(|(at, _)| *at <= index);
        &before.unwrap_or(&self.members[0]).1
    }
}
