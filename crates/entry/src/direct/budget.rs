//! Retry budget: limits the attempts beyond the first of each request, over all entries.
//!
//! The limit holds for any window of the given length. It is a share of the requests within the
//! window, which each entry counts for itself, plus a slack that is divided among the entries. An
//! entry that restarts has no record of the retries of its previous incarnation, so it uses no
//! slack until those are outside every window.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassdyke_core::follow::ENTRY_COUNT_ASSUMED;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::Permille;

/// Fraction of the slack that is used: when an entry is lost, the others divide its part among them
/// while its retries are still inside the window.
const SLACK_FRACTION: f64 = 0.7;

/// The limit on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Length of the window.
    pub window: Duration,
    /// Retries allowed per request.
    pub retry_share: Permille,
    /// Retries allowed beyond that, over all entries.
    pub retry_slack: u32,
    /// Number of entries; 0 while unknown.
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
            reported => reported,
        };
        f64::from(self.retry_slack) * SLACK_FRACTION / f64::from(entry_count)
    }
}

/// First attempts and retries of one service within the window.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    first_attempts: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryWindow {
    /// Records a request, which raises the number of retries allowed within the window.
    pub fn record_request(&mut self, now: Instant, window: Duration) {
        self.prune(now, window);
        self.first_attempts.push_back(now);
    }

    /// Records a retry if the limit allows it.
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
