//! The clock of a process.
//!
//! `monoio` has no clock that tests can pause, so time is passed as a value everywhere else; only
//! this module reads the system clocks.

use std::time::{Instant as StdInstant, SystemTime, UNIX_EPOCH};

use eelgrassdyke_core::id::Incarnation;
use eelgrassdyke_core::time::{Instant, WallTime};

/// Reads the monotonic clock of this process and the wall clock of its host.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: StdInstant,
    wall_at_start: WallTime,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: StdInstant::now(),
            wall_at_start: WallTime(wall_micros() / 1000),
        }
    }
}

impl Clock {
    /// Time on the monotonic clock.
    pub fn now(&self) -> Instant {
        Instant(self.start.elapsed().as_micros() as u64)
    }

    /// Time on the wall clock, which may jump forwards and backwards.
    pub fn wall(&self) -> WallTime {
        WallTime(wall_micros() / 1000)
    }

    /// Time on the wall clock when the monotonic clock was at zero.
    pub fn wall_at_start(&self) -> WallTime {
        self.wall_at_start
    }

    /// The incarnation of a process that starts now: wall-clock time in microseconds.
    pub fn new_incarnation() -> Incarnation {
        Incarnation(wall_micros())
    }
}

fn wall_micros() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_micros() as u64
}
