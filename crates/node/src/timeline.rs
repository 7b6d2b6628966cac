//! The timeline of a process: a ring buffer of timestamped events, which are also logged.

use std::cell::RefCell;
use std::collections::VecDeque;

use eelgrassdyke_core::event::{Code, Event, EventRecord};
use eelgrassdyke_core::id::{Incarnation, Process};
use eelgrassdyke_core::time::{HybridClock, HybridTimestamp};

use crate::clock::Clock;
use crate::log::{self, LineBudget};

/// Records events and issues hybrid timestamps.
pub struct Timeline {
    process: Process,
    incarnation: Incarnation,
    clock: Clock,
    inner: RefCell<Inner>,
}

struct Inner {
    hybrid_clock: HybridClock,
    ring: VecDeque<EventRecord>,
    capacity: usize,
    last_number: u64,
    budget: LineBudget,
}

impl Timeline {
    /// Creates an empty timeline that keeps up to `capacity` events.
    pub fn new(process: Process, incarnation: Incarnation, clock: Clock, capacity: usize) -> Self {
        let inner = Inner {
            hybrid_clock: HybridClock::default(),
            ring: VecDeque::new(),
            capacity,
            last_number: 0,
            budget: LineBudget::default(),
        };
        Self {
            process,
            incarnation,
            clock,
            inner: RefCell::new(inner),
        }
    }

    /// Records an event in the ring and, within the line budget of its code, in the log.
    pub fn record_event(&self, event: Event) {
        metrics::counter!("eelgrassdyke_events_total", "event" => event.code.as_str()).increment(1);
        let mut omitted = Vec::new();
        let mut inner = self.inner.borrow_mut();
        let now = self.clock.now();
        let admitted = inner.budget.admit(now, event.code, &mut omitted);
        if event.code == Code::ProcessStopped {
            inner.budget.end_window(&mut omitted);
        }
        for (code, count) in omitted {
            let event = log::omission_event(code, count);
            self.append(&mut inner, event, true);
        }
        self.append(&mut inner, event, admitted);
    }

    /// Appends an event to the ring and, if `to_log`, to the log.
    fn append(&self, inner: &mut Inner, event: Event, to_log: bool) {
        inner.last_number += 1;
        let record = EventRecord {
            stamp: inner.hybrid_clock.tick(self.clock.wall()),
            process: self.process.clone(),
            incarnation: self.incarnation,
            number: inner.last_number,
            event,
        };
        if to_log {
            log::write(&record);
        }
        inner.ring.push_back(record);
        if inner.ring.len() > inner.capacity {
            inner.ring.pop_front();
        }
    }

    /// Timestamp of a message that is sent now.
    pub fn timestamp(&self) -> HybridTimestamp {
        self.inner.borrow_mut().hybrid_clock.tick(self.clock.wall())
    }

    /// Advances the clock to the timestamp of a received message.
    pub fn receive_timestamp(&self, stamp: HybridTimestamp) {
        self.inner
            .borrow_mut()
            .hybrid_clock
            .receive(self.clock.wall(), stamp);
    }

    /// Events numbered above `after`, oldest first.
    pub fn events_after(&self, after: u64) -> Vec<EventRecord> {
        let inner = self.inner.borrow();
        inner
            .ring
            .iter()
            .filter(|record| record.number > after)
            .cloned()
            .collect()
    }
}
