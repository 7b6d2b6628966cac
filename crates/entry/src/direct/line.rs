//! Requests that wait for a place at a server of one service.
//!
//! Answers the loads that exceed the places for a moment: a burst, a restart. A request waits only as
//! long as its answer can still come within its target; beyond that it is refused at once with the
//! time at which coming back makes sense, so that nobody is held up for nothing.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use eelgrassdyke_core::id::Ticket;
use eelgrassdyke_core::time::Instant;

/// Time that an answer is assumed to occupy a place before any was seen.
const HOLD_ASSUMED: Duration = Duration::from_millis(500);

/// Weight of the newest answer in the time that answers occupy a place.
const HOLD_WEIGHT: f64 = 0.05;

/// Time over which the places that became free are counted.
const ENDS_SPAN: Duration = Duration::from_millis(500);

/// Waiting requests, in the order in which they go.
#[derive(Clone, Debug)]
pub struct Line {
    waiting: BTreeMap<(u8, u64), Ticket>,
    last: u64,
    hold_s: f64,
    /// When answers ended lately.
    ends: VecDeque<Instant>,
}

impl Default for Line {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            last: 0,
            hold_s: HOLD_ASSUMED.as_secs_f64(),
            ends: VecDeque::new(),
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

    /// How many wait that go before a new request of this rank.
    pub fn ahead(&self, priority: u8) -> usize {
        self.waiting.range(..=(priority, u64::MAX)).count()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Notes that an answer that occupied a place since `since` is over.
    pub fn note_end(&mut self, now: Instant, since: Instant) {
        let held = now.since(since).as_secs_f64();
        self.hold_s += (held - self.hold_s) * HOLD_WEIGHT;
        self.ends.push_back(now);
        self.forget(now);
    }

    /// How long a new request of this rank would wait for one of `places`.
    ///
    /// While requests wait, the places that became free lately say more than how long answers
    /// usually take: servers that stall let nobody in.
    pub fn wait(&mut self, now: Instant, priority: u8, places: u32) -> Duration {
        self.forget(now);
        let ahead = self.ahead(priority) + 1;
        let usual = f64::from(places.max(1)) / self.hold_s.max(1e-3);
        let rate = match self.waiting.is_empty() {
            true => usual,
            false => usual.min((self.ends.len() + 1) as f64 / ENDS_SPAN.as_secs_f64()),
        };
        Duration::from_secs_f64((ahead as f64 / rate).min(60.0))
    }

    fn forget(&mut self, now: Instant) {
        while self
            .ends
            .front()
            .is_some_and(|at| now.since(*at) >= ENDS_SPAN)
        {
            self.ends.pop_front();
        }
    }
}
