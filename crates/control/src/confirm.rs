//! Followers that wait until a quorum has confirmed what they are told.

use std::collections::BTreeMap;

use eelgrassdyke_core::id::{Index, Process};

use crate::followers::Follower;

/// Followers that may wait at once.
const WAITING_MAX: usize = 4096;

/// Questions to the log, each on behalf of one follower.
#[derive(Clone, Debug, Default)]
pub struct Confirmations {
    last: u64,
    asked: BTreeMap<u64, (Process, Follower)>,
    /// Confirmed positions that are not applied yet.
    confirmed: Vec<(Index, Process, Follower)>,
}

impl Confirmations {
    /// Notes that a follower waits; gives the number of the question to ask the log.
    pub fn ask(&mut self, process: Process, follower: Follower) -> u64 {
        // A follower that asks again gave up its earlier question.
        self.asked.retain(|_, (other, _)| *other != process);
        if self.asked.len() >= WAITING_MAX {
            self.asked.pop_first();
        }
        let question = self.draw();
        self.asked.insert(question, (process, follower));
        question
    }

    /// The number of a new question to the log.
    pub fn draw(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Notes that a quorum confirmed `index` after the question was asked.
    pub fn confirm(&mut self, question: u64, index: Index) {
        if let Some((process, follower)) = self.asked.remove(&question) {
            self.confirmed.retain(|(_, other, _)| *other != process);
            self.confirmed.push((index, process, follower));
        }
    }

    /// The followers whose confirmed position is applied now.
    pub fn ready(&mut self, applied: Index) -> Vec<(Process, Follower)> {
        let all = std::mem::take(&mut self.confirmed);
        let (ready, waiting) = all.into_iter().partition(|(index, ..)| *index <= applied);
        self.confirmed = waiting;
        let ready: Vec<(Index, Process, Follower)> = ready;
        ready
            .into_iter()
            .map(|(_, process, follower)| (process, follower))
            .collect()
    }
}
