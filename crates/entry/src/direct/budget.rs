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
const SLACK_FRACTION: f64 = 0.7;

/// Entries that are assumed as long as control has not told how many there are.
const ENTRY_COUNT_ASSUMED: u32 = 16;

/// What further attempts are bounded by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Length of the window.
    pub window: Duration,
    /// Further attempts by request.
    pub retry_share: Permille,
    /// Further attempts allowed beyond that, over all entries.
    pub retry_slack: u32,
    /// Entries there are; 0 when control has not said so yet.
    pub entry_count: u32,
    /// Time since the entry started.
    pub uptime: Duration,
}

impl RetryLimit {
    /// This entry's part of the slack.
    fn slack_share(&self) -> f64 {
        if self.uptime < self.window {
            return 0.0;
        }
        let entry_count = match self.entry_count {
            0 => ENTRY_COUNT_ASSUMED,
            known => known,
        };
        f64::from(self.retry_slack) * SLACK_FRACTION / f64::from(entry_count)
    }
}

/// First attempts and further ones of one service within the window.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    first_attempts: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryWindow {
    /// Counts a request.
    pub fn record_request(&mut self, now: Instant, window: Duration) {
        self.prune(now, window);
        self.first_attempts.push_back(now);
    }

    /// Counts a further attempt, if the bound allows it.
    pub fn try_spend(&mut self, now: Instant, limit: &RetryLimit) -> bool {
        self.prune(now, limit.window);
        let retries_max =
            limit.retry_share.fraction() * self.first_attempts.len() as f64 + limit.slack_share();
        if (self.retries.len() + 1) as f64 > retries_max {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn prune(&mut self, now: Instant, window: Duration) {
        for times in [&mut self.first_attempts, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) >= window) {
                times.pop_front();
            }
        }
    }
}
