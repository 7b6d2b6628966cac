//! Time as a value.
//!
//! Cores never read a clock: the shell hands them an [`Instant`] with every input, and a test hands
//! them whichever instants it likes. Instants of two processes are never compared; a deadline
//! travels as the time that is left. A [`HybridTimestamp`] orders events over all processes.

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
    /// An instant that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Time since `earlier`, or zero when `earlier` lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// Milliseconds since 1970 on the wall clock of one host; never used to decide order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

/// A hybrid logical clock reading: wall milliseconds, then a counter.
///
/// A stamp taken after a message was received is greater than the one the message carried.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct HybridTimestamp {
    /// The greatest wall time heard of.
    pub wall: WallTime,
    /// Distinguishes stamps of one millisecond.
    pub count: u32,
}

impl fmt::Display for HybridTimestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04}", self.wall.0, self.count)
    }
}

/// Issues stamps for one process.
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    last: HybridTimestamp,
}

impl HybridClock {
    /// Issues the next stamp for an event at `wall`.
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

    /// Takes in the stamp of a received message, then issues the next one.
    pub fn receive(&mut self, wall: WallTime, heard: HybridTimestamp) -> HybridTimestamp {
        self.last = self.last.max(heard);
        self.tick(wall)
    }
}
