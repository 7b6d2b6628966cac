//! The time line of one process: a bounded ring of stamped events, and the log.

use std::cell::RefCell;
use std::collections::VecDeque;

use eelgrassdyke_core::event::{Code, Event, EventRecord};
use eelgrassdyke_core::id::{Incarnation, Process};
use eelgrassdyke_core::time::{HybridClock, HybridTimestamp};

use crate::clock::Clock;
use crate::log::{self, Budget};

/// Notes events and stamps messages.
pub struct TimeLine {
    process: Process,
    incarnation: Incarnation,
    clock: Clock,
    inner: RefCell<Inner>,
}

struct Inner {
    hybrid: HybridClock,
    ring: VecDeque<EventRecord>,
    most: usize,
    number: u64,
    budget: Budget,
}

impl TimeLine {
    /// An empty time line that keeps at most `most` events.
    pub fn new(process: Process, incarnation: Incarnation, clock: Clock, most: usize) -> Self {
        let inner = Inner {
            hybrid: HybridClock::default(),
            ring: VecDeque::new(),
            most,
            number: 0,
            budget: Budget::default(),
        };
        Self {
            process,
            incarnation,
            clock,
            inner: RefCell::new(inner),
        }
    }

    /// Notes an event, in the ring and, within the budget of its kind, in the log.
    pub fn note(&self, event: Event) {
        metrics::counter!("eelgrassdyke_events_total", "event" => event.code.as_str()).increment(1);
        let mut omitted = Vec::new();
        let mut inner = self.inner.borrow_mut();
        let now = self.clock.now();
        let admitted = inner.budget.admit(now, event.code, &mut omitted);
        if event.code == Code::ProcessStopped {
            inner.budget.end_span(&mut omitted);
        }
        for (code, count) in omitted {
            let event = log::omitted(code, count);
            self.keep(&mut inner, event, true);
        }
        self.keep(&mut inner, event, admitted);
    }

    /// Puts an event into the ring, and into the log if it is `logged`.
    fn keep(&self, inner: &mut Inner, event: Event, logged: bool) {
        inner.number += 1;
        let record = EventRecord {
            stamp: inner.hybrid.tick(self.clock.wall()),
            process: self.process.clone(),
            incarnation: self.incarnation,
            number: inner.number,
            event,
        };
        if logged {
            log::write(&record);
        }
        inner.ring.push_back(record);
        if inner.ring.len() > inner.most {
            inner.ring.pop_front();
        }
    }

    /// A stamp for a message that is sent now.
    pub fn stamp(&self) -> HybridTimestamp {
        self.inner.borrow_mut().hybrid.tick(self.clock.wall())
    }

    /// Takes in the stamp of a received message.
    pub fn hear(&self, stamp: HybridTimestamp) {
        self.inner
            .borrow_mut()
            .hybrid
            .receive(self.clock.wall(), stamp);
    }

    /// Events numbered above `after`, oldest first.
    pub fn since(&self, after: u64) -> Vec<EventRecord> {
        let inner = self.inner.borrow();
        inner
            .ring
            .iter()
            .filter(|record| record.number > after)
            .cloned()
            .collect()
    }
}
