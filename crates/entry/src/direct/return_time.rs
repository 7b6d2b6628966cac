//! When callers return that are refused though the service itself may have room: during the start and the
//! shutdown of an entry.
//!
//! A caller that returns too early is refused again, and most callers return only once. While a whole
//! deployment starts, all callers of the outage return within a short time; their return is spread, because
//! they come in addition to the usual load. A caller that is refused by an entry in shutdown finds another
//! entry and need not wait.

use std::time::Duration;

use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::refusal::Reason;
use rand::RngExt as _;

use super::flight::retry_after_max;
use super::path::Direct;

/// Time from its start within which an entry has its configuration confirmed, also if all control processes
/// have restarted and one of them has lost its disk: then they elect a leader after the usual timeout.
const START_TIME: Duration = Duration::from_millis(2000);

/// Minimum delay of the return of a caller that was refused during a start.
const START_DELAY_MIN: Duration = Duration::from_millis(500);

/// Span over which the callers return that were refused during a start.
const START_SPREAD: Duration = Duration::from_millis(1000);

/// Minimum delay of the return of a caller that was refused during a shutdown.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(50);

/// Span over which the callers return that were refused during a shutdown.
const SHUTDOWN_SPREAD: Duration = Duration::from_millis(100);

/// Why a caller is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The entry started this long ago and has no confirmed configuration.
    Start(Duration),
    /// The entry shuts down.
    Shutdown,
}

/// Time after which a caller should return that waits for `time_left`, if it states it; `draw` is a random
/// number from 0 to 1.
pub fn return_time(cause: Cause, time_left: Option<Duration>, draw: f64) -> Duration {
    let limit = time_left.map_or(Duration::MAX, retry_after_max);
    let (first, spread) = match cause {
        Cause::Start(age) => {
            let rest = START_TIME.saturating_sub(age);
            (rest.max(START_DELAY_MIN), START_SPREAD)
        }
        Cause::Shutdown => (SHUTDOWN_DELAY, SHUTDOWN_SPREAD),
    };
    let first = first.min(limit);
    first + spread.min(limit - first).mul_f64(draw)
}

impl Direct {
    /// Time after which a caller should return that is refused for `reason` before its request is admitted;
    /// none if it would be refused again.
    pub(super) fn return_time(
        &mut self,
        now: Instant,
        reason: Reason,
        time_left: Option<Duration>,
    ) -> Option<Duration> {
        let cause = match reason {
            Reason::NotReady => Cause::Start(now.since(self.started_at)),
            Reason::Draining => Cause::Shutdown,
            _ => return None,
        };
        Some(return_time(cause, time_left, self.rng.random()))
    }
}
