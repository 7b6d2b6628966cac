//! Bounds the attempts beyond the first of each request, over all entries.
//!
//! The bound holds for any window of the given length: a part of the window's requests, which each
//! entry counts for itself, and a slack, of which each entry takes its part.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::Permille;

/// Part of the slack that is spent at all: entries that have just started don't know of each other.
const SLACK_PART: f64 = 0.7;

/// Entries that are assumed as long as control has not told how many there are.
const ENTRIES_ASSUMED: u32 = 16;

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
    pub fn spend(
        &mut self,
        now: Instant,
        span: Duration,
        share: Permille,
        slack: u32,
        entries: u32,
    ) -> bool {
        self.forget(now, span);
        let entries = match entries {
            0 => ENTRIES_ASSUMED,
            known => known,
        };
        let slack = f64::from(slack) * SLACK_PART / f64::from(entries);
        let bound = share.fraction() * self.firsts.len() as f64 + slack;
        if (self.further.len() + 1) as f64 > bound {
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
