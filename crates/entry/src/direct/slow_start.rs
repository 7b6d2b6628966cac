//! Gradual return of a server that had few requests to its full part of the load.
//!
//! All entries see such a server as the least utilised one at the same moment, and without a slow start
//! each would send its next requests there.

use std::time::Duration;

use eelgrassdyke_core::time::Instant;

/// Length of a slow start.
const PERIOD: Duration = Duration::from_secs(3);

/// Factor of the utilisation at the beginning.
const INITIAL_FACTOR: f64 = 2.0;

/// A slow start of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStart {
    started_at: Instant,
}

impl SlowStart {
    /// A slow start that begins at `started_at`.
    pub fn new(started_at: Instant) -> Self {
        Self { started_at }
    }

    /// Factor by which the utilisation of the server counts more: 2 at the beginning, falling evenly to 1.
    pub fn factor(&self, now: Instant) -> f64 {
        let elapsed = now.since(self.started_at).as_secs_f64() / PERIOD.as_secs_f64();
        (INITIAL_FACTOR - elapsed).max(1.0)
    }
}
