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
const SERVICE_TIME_INITIAL: Duration = Duration::from_millis(500);

/// Weight of the newest answer in the time that answers occupy a place.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Time over which the places that became free are counted.
const COMPLETION_WINDOW: Duration = Duration::from_millis(500);

/// Waiting requests, in the order in which they go.
#[derive(Clone, Debug)]
pub struct WaitQueue {
    waiting: BTreeMap<(u8, u64), Ticket>,
    last_sequence: u64,
    service_time_s: f64,
    /// When answers ended lately.
    completions: VecDeque<Instant>,
}

impl Default for WaitQueue {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            last_sequence: 0,
            service_time_s: SERVICE_TIME_INITIAL.as_secs_f64(),
            completions: VecDeque::new(),
        }
    }
}

impl WaitQueue {
    /// Adds a request; gives its place in the order.
    pub fn enqueue(&mut self, priority: u8, ticket: Ticket) -> (u8, u64) {
        self.last_sequence += 1;
        let queue_key = (priority, self.last_sequence);
        self.waiting.insert(queue_key, ticket);
        queue_key
    }

    /// Puts a request back at the place that it had.
    pub fn requeue(&mut self, queue_key: (u8, u64), ticket: Ticket) {
        self.waiting.insert(queue_key, ticket);
    }

    /// Takes a request out.
    pub fn remove(&mut self, queue_key: (u8, u64)) {
        self.waiting.remove(&queue_key);
    }

    /// The requests that go next, in order.
    pub fn tickets(&self) -> Vec<Ticket> {
        self.waiting.values().copied().collect()
    }

    /// How many wait that go before a new request of this rank.
    pub fn count_ahead(&self, priority: u8) -> usize {
        self.waiting.range(..=(priority, u64::MAX)).count()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Notes that an answer that occupied a place since `since` is over.
    pub fn record_completion(&mut self, now: Instant, started_at: Instant) {
        let service_time_s = now.since(started_at).as_secs_f64();
        self.service_time_s += (service_time_s - self.service_time_s) * SERVICE_TIME_WEIGHT;
        self.completions.push_back(now);
        self.prune(now);
    }

    /// How long a new request of this rank would wait for one of `places`.
    ///
    /// While requests wait, the places that became free lately say more than how long answers
    /// usually take: servers that stall let nobody in.
    pub fn expected_wait(&mut self, now: Instant, priority: u8, slot_limit: u32) -> Duration {
        self.prune(now);
        let position = self.count_ahead(priority) + 1;
        let usual_rate = f64::from(slot_limit.max(1)) / self.service_time_s.max(1e-3);
        let rate = match self.waiting.is_empty() {
            true => usual_rate,
            false => usual_rate
                .min((self.completions.len() + 1) as f64 / COMPLETION_WINDOW.as_secs_f64()),
        };
        Duration::from_secs_f64((position as f64 / rate).min(60.0))
    }

    fn prune(&mut self, now: Instant) {
        while self
            .completions
            .front()
            .is_some_and(|at| now.since(*at) >= COMPLETION_WINDOW)
        {
            self.completions.pop_front();
        }
    }
}
