//! Polls that wait until a quorum has confirmed the committed version.

use std::collections::BTreeMap;

use eelgrassdyke_core::id::{Incarnation, Index, Process};

use crate::followers::Follower;

/// Bits of a query number below the incarnation, which is a time in microseconds.
const INCARNATION_SHIFT: u32 = 12;

/// Most followers that may wait at once.
const PENDING_MAX: usize = 4096;

/// Queries to the log, each on behalf of one follower.
#[derive(Clone, Debug, Default)]
pub struct Confirmations {
    last_query_number: u64,
    /// Followers whose query is not confirmed yet, by query number.
    pending: BTreeMap<u64, (Process, Follower)>,
    /// Followers whose query is confirmed, with the index that has to be applied first.
    confirmed: Vec<(Index, Process, Follower)>,
}

impl Confirmations {
    /// Starts the query numbers of an incarnation. Those of different incarnations differ, so that a late response
    /// to an earlier one confirms no query of this one.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            last_query_number: incarnation.0 << INCARNATION_SHIFT,
            ..Self::default()
        }
    }

    /// Adds a follower and returns the number of the query to hand to the log.
    pub fn add(&mut self, process: Process, follower: Follower) -> u64 {
        // A follower that polls again no longer waits for its earlier poll.
        self.pending.retain(|_, (other, _)| *other != process);
        if self.pending.len() >= PENDING_MAX {
            self.pending.pop_first();
        }
        let query_number = self.next_query_number();
        self.pending.insert(query_number, (process, follower));
        query_number
    }

    /// The number of a new query to the log.
    pub fn next_query_number(&mut self) -> u64 {
        self.last_query_number += 1;
        self.last_query_number
    }

    /// Records that a quorum confirmed `index` as committed after the query was made.
    pub fn record_confirmation(&mut self, query_number: u64, index: Index) {
        if let Some((process, follower)) = self.pending.remove(&query_number) {
            self.confirmed.retain(|(_, other, _)| *other != process);
            self.confirmed.push((index, process, follower));
        }
    }

    /// Removes and returns the followers whose confirmed index is applied.
    pub fn take_applied(&mut self, applied: Index) -> Vec<(Process, Follower)> {
        let all = std::mem::take(&mut self.confirmed);
        let (released, waiting) = all.into_iter().partition(|(index, ..)| *index <= applied);
        self.confirmed = waiting;
        let released: Vec<(Index, Process, Follower)> = released;
        released
            .into_iter()
            .map(|(_, process, follower)| (process, follower))
            .collect()
    }
}
