//! The time line of one process: a bounded ring of stamped events, and the log.

use std::cell::RefCell;
use std::collections::VecDeque;

use eelgrassdyke_core::event::{Code, Event, Record};
use eelgrassdyke_core::id::{Incarnation, Process};
use eelgrassdyke_core::time::{Hybrid, Stamp};

use crate::clock::Clock;

/// Notes events and stamps messages.
pub struct TimeLine {
    process: Process,
    incarnation: Incarnation,
    clock: Clock,
    inner: RefCell<Inner>,
}

struct Inner {
    hybrid: Hybrid,
    ring: VecDeque<Record>,
    most: usize,
    number: u64,
}

impl TimeLine {
    /// An empty time line that keeps at most `most` events.
    pub fn new(process: Process, incarnation: Incarnation, clock: Clock, most: usize) -> Self {
        let inner = Inner {
            hybrid: Hybrid::default(),
            ring: VecDeque::new(),
            most,
            number: 0,
        };
        Self {
            process,
            incarnation,
            clock,
            inner: RefCell::new(inner),
        }
    }

    /// Notes an event, in the ring and in the log.
    pub fn note(&self, event: Event) {
        write_log(&self.process, &event);
        metrics::counter!("eelgrassdyke_events_total", "event" => event.code.as_str()).increment(1);
        let mut inner = self.inner.borrow_mut();
        inner.number += 1;
        let record = Record {
            stamp: inner.hybrid.tick(self.clock.wall()),
            process: self.process.clone(),
            incarnation: self.incarnation,
            number: inner.number,
            event,
        };
        inner.ring.push_back(record);
        if inner.ring.len() > inner.most {
            inner.ring.pop_front();
        }
    }

    /// A stamp for a message that is sent now.
    pub fn stamp(&self) -> Stamp {
        self.inner.borrow_mut().hybrid.tick(self.clock.wall())
    }

    /// Takes in the stamp of a received message.
    pub fn hear(&self, stamp: Stamp) {
        self.inner
            .borrow_mut()
            .hybrid
            .receive(self.clock.wall(), stamp);
    }

    /// Events numbered above `after`, oldest first.
    pub fn since(&self, after: u64) -> Vec<Record> {
        let inner = self.inner.borrow();
        inner
            .ring
            .iter()
            .filter(|record| record.number > after)
            .cloned()
            .collect()
    }
}

/// Writes an event to the log as one line: number, name, subject, detail.
fn write_log(process: &Process, event: &Event) {
    let level = level(event.code);
    if level > log::max_level() {
        return;
    }
    let mut line = format!("{} E{} {}", process, event.code as u16, event.code.as_str());
    let subject = &event.subject;
    append(&mut line, "request", subject.request.as_ref());
    append(&mut line, "team", subject.team.as_ref());
    append(&mut line, "server", subject.server.as_ref());
    append(&mut line, "group", subject.group.as_ref());
    append(&mut line, "operation", subject.operation.as_ref());
    if !event.detail.is_empty() {
        line.push_str(": ");
        line.push_str(&event.detail);
    }
    log::log!(level, "{line}");
}

fn append(line: &mut String, name: &str, value: Option<&impl std::fmt::Display>) {
    if let Some(value) = value {
        line.push_str(&format!(" {name}={value}"));
    }
}

/// What happens with each request is for debugging; failures are warnings.
fn level(code: Code) -> log::Level {
    match code {
        Code::PeerUnreachable
        | Code::QuorumLost
        | Code::ServerLost
        | Code::OrderFenced
        | Code::OrderFailed
        | Code::ServerEjected
        | Code::BackendFailed
        | Code::SwitchStalled
        | Code::ConfigStale => log::Level::Warn,
        Code::DiskFailed => log::Level::Error,
        _ if (300..320).contains(&(code as u16)) => log::Level::Debug,
        _ if (400..404).contains(&(code as u16)) => log::Level::Debug,
        _ => log::Level::Info,
    }
}
