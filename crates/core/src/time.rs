//! Clock types.
//!
//! The protocol cores never read a clock: the shell (the I/O layer) passes an [`Instant`] with every
//! input, and tests pass simulated ones. Instants of different processes are never compared; a
//! deadline is sent as the remaining time. A [`HybridTimestamp`] orders events over all processes.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds on the monotonic clock of one process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Instant(pub u64);

impl Instant {
    /// The latest instant, used as a deadline that never expires.
    pub const NEVER: Self = Self(u64::MAX);

    /// Time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// Milliseconds since the Unix epoch on the wall clock of one host; never used for ordering.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

/// A timestamp of a hybrid logical clock: wall time in milliseconds, then a counter.
///
/// A timestamp issued after the receipt of a message is greater than the one in the message.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct HybridTimestamp {
    /// The greatest wall time seen.
    pub wall: WallTime,
    /// Orders timestamps with the same wall time.
    pub count: u32,
}

impl fmt::Display for HybridTimestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04}", self.wall.0, self.count)
    }
}

/// The hybrid logical clock of one process.
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    last: HybridTimestamp,
}

impl HybridClock {
    /// Issues the timestamp of a local event at `wall`.
    pub fn tick(&mut self, wall: WallTime) -> HybridTimestamp {
        self.last = match wall > self.last.wall {
            true => HybridTimestamp { wall, count: 0 },
            false => HybridTimestamp {
                wall: self.last.wall,
                count: self.last.count.saturating_add(1),
            },
        };
        self.last
    }

    /// Merges the timestamp of a received message, then issues the next one.
    pub fn receive(&mut self, wall: WallTime, received: HybridTimestamp) -> HybridTimestamp {
        self.last = self.last.max(received);
        self.tick(wall)
    }
}
