//! Whether the servers of a service make progress.

use std::time::Duration;

use eelgrassdyke_core::time::Instant;

/// Consecutive failures after which a service may count as stalled: with so many, more than one or
/// two servers are at fault.
const STALL_FAILURES: u32 = 3;

/// Time without activity of any server after which a service counts as stalled: longer than the
/// steps of a group with a slow rank, which produce events every 0.3 s.
const STALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval between two requests to a stalled service: each rejected one is charged to the retry
/// budget.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Whether any server of a service makes progress.
#[derive(Clone, Debug, Default)]
pub struct ServiceHealth {
    /// When a server of the service last responded or sent an event.
    last_activity: Instant,
    /// Requests rejected or interrupted since then.
    failures: u32,
    /// When the next request may be sent to a stalled service.
    next_probe: Instant,
}

impl ServiceHealth {
    fn is_stalled(&self, now: Instant) -> bool {
        self.failures >= STALL_FAILURES && now.since(self.last_activity) >= STALL_TIMEOUT
    }

    /// Whether the service is stalled and its next probe is not due.
    pub fn blocks_requests(&self, now: Instant) -> bool {
        self.is_stalled(now) && now < self.next_probe
    }

    /// Records that a request was sent; to a stalled service, it is a probe.
    pub fn record_start(&mut self, now: Instant) {
        if self.is_stalled(now) {
            self.next_probe = now + PROBE_INTERVAL;
        }
    }

    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures == STALL_FAILURES {
            self.next_probe = now + PROBE_INTERVAL;
        }
    }

    pub fn record_activity(&mut self, now: Instant) {
        self.last_activity = now;
        self.failures = 0;
    }
}
