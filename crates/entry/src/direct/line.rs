//! The queue of one service: requests that wait for a free slot at a server.
//!
//! The queue absorbs load that exceeds the slots for a short time, as in a burst or a restart. A
//! request is queued only while its response can still meet its latency target; otherwise it is
//! refused at once with a useful retry-after time, so that no caller waits in vain.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use eelgrassdyke_core::id::Ticket;
use eelgrassdyke_core::time::Instant;

/// Service time that is assumed until responses have been measured.
const SERVICE_TIME_INITIAL: Duration = Duration::from_millis(500);

/// Weight of the newest response in the smoothed service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Period over which completions are counted.
const COMPLETION_WINDOW: Duration = Duration::from_millis(500);

/// What the servers of a service can do for this entry.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    /// Whether there is any server.
    pub has_servers: bool,
    /// Slots at servers that take any rate of requests.
    pub slots: u32,
    /// Slots at each of the others, and the requests a second that it takes.
    pub limited: Vec<(u32, f64)>,
}

impl Capacity {
    /// Slots at all servers.
    pub fn total_slots(&self) -> u32 {
        let limited = self.limited.iter().map(|(slots, _)| *slots);
        limited.fold(self.slots, u32::saturating_add)
    }

    /// Requests a second that servers complete if each occupies a slot for `service_time_s`.
    fn completion_rate(&self, service_time_s: f64) -> f64 {
        if !self.has_servers {
            // A server may be about to announce itself.
            return 1.0 / service_time_s;
        }
        let limited = self.limited.iter();
        let limited = limited.map(|(slots, rate)| rate.min(f64::from(*slots) / service_time_s));
        f64::from(self.slots) / service_time_s + limited.sum::<f64>()
    }
}

/// Queued requests in dispatch order.
#[derive(Clone, Debug)]
pub struct WaitQueue {
    waiting: BTreeMap<(u8, u64), Ticket>,
    last_sequence: u64,
    service_time_s: f64,
    /// When the responses within the last `COMPLETION_WINDOW` completed.
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
    /// Adds a request; returns its key, which orders the queue by priority, then by arrival.
    pub fn enqueue(&mut self, priority: u8, ticket: Ticket) -> (u8, u64) {
        self.last_sequence += 1;
        let queue_key = (priority, self.last_sequence);
        self.waiting.insert(queue_key, ticket);
        queue_key
    }

    /// Adds a removed request again, under its earlier key.
    pub fn requeue(&mut self, queue_key: (u8, u64), ticket: Ticket) {
        self.waiting.insert(queue_key, ticket);
    }

    /// Removes a request.
    pub fn remove(&mut self, queue_key: (u8, u64)) {
        self.waiting.remove(&queue_key);
    }

    /// The queued requests in dispatch order.
    pub fn tickets(&self) -> Vec<Ticket> {
        self.waiting.values().copied().collect()
    }

    /// Number of requests ahead of a new one of this priority.
    pub fn count_ahead(&self, priority: u8) -> usize {
        self.waiting.range(..=(priority, u64::MAX)).count()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records the completion of a response that occupied a slot since `started_at`.
    pub fn record_completion(&mut self, now: Instant, started_at: Instant) {
        let service_time_s = now.since(started_at).as_secs_f64();
        self.service_time_s += (service_time_s - self.service_time_s) * SERVICE_TIME_WEIGHT;
        self.completions.push_back(now);
        self.prune(now);
    }

    /// Expected queueing time of a new request of this priority.
    ///
    /// While requests are queued, the recent rate of completions is more reliable than the mean
    /// service time: stalled servers free no slots.
    pub fn expected_wait(&mut self, now: Instant, priority: u8, capacity: &Capacity) -> Duration {
        self.prune(now);
        let position = self.count_ahead(priority) + 1;
        let usual_rate = capacity.completion_rate(self.service_time_s.max(1e-3));
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
