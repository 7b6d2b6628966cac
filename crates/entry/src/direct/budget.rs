//! Bounds the attempts beyond the first of each request, over all entries.
//!
//! The bound holds for any window of the given length: a part of the window's requests, which each
//! entry counts for itself, and a slack, of which each entry takes its part. An entry that starts
//! again has forgotten what the life before it spent, so it takes no slack until that is out of every
//! window.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::Permille;

/// Part of the slack that is spent at all: when an entry is lost, the others share out its part before
/// what it spent is out of the window.
const SLACK_PART: f64 = 0.7;

/// Entries that are assumed as long as control has not told how many there are.
const ENTRIES_ASSUMED: u32 = 16;

/// What further attempts are bounded by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Length of the window.
    pub span: Duration,
    /// Further attempts by request.
    pub share: Permille,
    /// Further attempts allowed beyond that, over all entries.
    pub slack: u32,
    /// Entries there are; 0 when control has not said so yet.
    pub entries: u32,
    /// Time since the entry started.
    pub age: Duration,
}

impl Bound {
    /// This entry's part of the slack.
    fn slack(&self) -> f64 {
        if self.age < self.span {
            return 0.0;
        }
        let entries = match self.entries {
            0 => ENTRIES_ASSUMED,
            known => known,
        };
        f64::from(self.slack) * SLACK_PART / f64::from(entries)
    }
}

/// First attempts and further ones of one service within the window.
#[derive(Clone, Debug, Default)]
pub struct Window {
    firsts: VecDeque<Instant>,
    further: VecDeque<Instant>,
}

impl Window {
    /// Counts a request.
    pub fn count(&mut self, now: Instant, span: Duration) {
        self.forget(now, span);
        self.firsts.push_back(now);
    }

    /// Counts a further attempt, if the bound allows it.
    pub fn spend(&mut self, now: Instant, bound: &Bound) -> bool {
        self.forget(now, bound.span);
        let most = bound.share.fraction() * self.firsts.len() as f64 + bound.slack();
        if (self.further.len() + 1) as f64 > most {
            return false;
        }
        self.further.push_back(now);
        true
    }

    fn forget(&mut self, now: Instant, span: Duration) {
        for times in [&mut self.firsts, &mut self.further] {
            while times.front().is_some_and(|at| now.since(*at) >= span) {
                times.pop_front();
            }
        }
    }
}
