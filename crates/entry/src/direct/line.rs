//! Requests that wait for a place at a server of one service.
//!
//! Answers the loads that exceed the places for a moment: a burst, a restart. A request waits only as
//! long as its answer can still come within its target; beyond that it is refused at once with the
//! time at which coming back makes sense, so that nobody is held up for nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::id::Ticket;
use eelgrassdyke_core::time::Instant;

/// Time that an answer is assumed to occupy a place before any was seen.
const HOLD_ASSUMED: Duration = Duration::from_millis(500);

/// Weight of the newest answer in the time that answers occupy a place.
const HOLD_WEIGHT: f64 = 0.05;

/// Waiting requests, in the order in which they go.
#[derive(Clone, Debug)]
pub struct Line {
    waiting: BTreeMap<(u8, u64), Ticket>,
    last: u64,
    hold_s: f64,
}

impl Default for Line {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            last: 0,
            hold_s: HOLD_ASSUMED.as_secs_f64(),
        }
    }
}

impl Line {
    /// Adds a request; gives its place in the order.
    pub fn add(&mut self, priority: u8, ticket: Ticket) -> (u8, u64) {
        self.last += 1;
        let key = (priority, self.last);
        self.waiting.insert(key, ticket);
        key
    }

    /// Puts a request back at the place that it had.
    pub fn put_back(&mut self, key: (u8, u64), ticket: Ticket) {
        self.waiting.insert(key, ticket);
    }

    /// Takes a request out.
    pub fn remove(&mut self, key: (u8, u64)) {
        self.waiting.remove(&key);
    }

    /// The requests that go next, in order.
    pub fn tickets(&self) -> Vec<Ticket> {
        self.waiting.values().copied().collect()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Notes for how long an answer occupied its place.
    pub fn note_hold(&mut self, now: Instant, since: Instant) {
        let held = now.since(since).as_secs_f64();
        self.hold_s += (held - self.hold_s) * HOLD_WEIGHT;
    }

    /// How long a new request of this rank would wait for one of `places`.
    pub fn wait(&self, priority: u8, places: u32) -> Duration {
        let ahead = self.waiting.range(..=(priority, u64::MAX)).count() + 1;
        let seconds = ahead as f64 * self.hold_s / f64::from(places.max(1));
        Duration::from_secs_f64(seconds.min(60.0))
    }
}
