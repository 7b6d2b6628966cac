//! Merges the events of many processes into causal order and marks gaps.
//!
//! Stamps are hybrid logical clocks: an event that a message made known has a lower stamp than any
//! event after the message's receipt, whatever the hosts' clocks say. Sorting by stamp therefore
//! puts causes before effects; events that don't know of each other may stand either way.

use std::collections::BTreeMap;
use std::fmt;

use eelgrassdyke_core::data;
use eelgrassdyke_core::event::{EventRecord, Subject};
use eelgrassdyke_core::id::{Incarnation, Process};
use eelgrassdyke_core::time::HybridTimestamp;

use crate::command::Timeline;

data! {
    /// Events of one life of a process that could not be read.
    #[derive(Eq)]
    pub struct Gap {
        /// The process.
        pub process: Process,
        /// Its life.
        pub incarnation: Incarnation,
        /// Number of the first event that is missing.
        pub first: u64,
        /// Number of the last one.
        pub last: u64,
        /// Stamp of the event after it.
        pub before: HybridTimestamp,
    }

    /// A line of the time line.
    #[derive(Eq)]
    pub enum Entry {
        /// An event.
        Event(EventRecord),
        /// Events that are missing.
        Gap(Gap),
    }
}

/// Merged events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merge {
    /// Events and gaps, in causal order.
    pub entries: Vec<Entry>,
}

impl Merge {
    /// Merges `records`; `marks` holds the life and number last read of each process before.
    pub fn of(
        mut records: Vec<EventRecord>,
        marks: &BTreeMap<Process, (Incarnation, u64)>,
    ) -> Self {
        records.sort_by(|a, b| key(a).cmp(&key(b)));
        records.dedup_by(|a, b| key(a) == key(b));
        let mut last: BTreeMap<(Process, Incarnation), u64> = marks
            .iter()
            .map(|(process, (life, number))| ((process.clone(), *life), *number))
            .collect();
        let mut entries = Vec::new();
        for record in records {
            let life = (record.process.clone(), record.incarnation);
            let before = last.insert(life, record.number).unwrap_or(0);
            if record.number > before + 1 {
                entries.push(Entry::Gap(Gap {
                    process: record.process.clone(),
                    incarnation: record.incarnation,
                    first: before + 1,
                    last: record.number - 1,
                    before: record.stamp,
                }));
            }
            entries.push(Entry::Event(record));
        }
        Self { entries }
    }

    /// The entries that the filters let through; gaps always pass, since anything may hide in them.
    pub fn matching(self, options: &Timeline) -> Vec<Entry> {
        let passes = |entry: &Entry| match entry {
            Entry::Event(record) => matches(&record.event.subject, options),
            Entry::Gap(_) => true,
        };
        self.entries.into_iter().filter(passes).collect()
    }
}

/// Orders by stamp; events of one process never share a stamp.
fn key(record: &EventRecord) -> (HybridTimestamp, &Process, Incarnation, u64) {
    (
        record.stamp,
        &record.process,
        record.incarnation,
        record.number,
    )
}

/// Whether a subject is what every filter that is given asks for.
fn matches(subject: &Subject, options: &Timeline) -> bool {
    fits(&options.request, &subject.request)
        && fits(&options.team, &subject.team)
        && fits(&options.server, &subject.server)
        && fits(&options.group, &subject.group)
        && fits(&options.operation, &subject.operation)
}

fn fits<T: PartialEq>(wanted: &Option<T>, held: &Option<T>) -> bool {
    wanted.is_none() || wanted == held
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let record = match self {
            Self::Event(record) => record,
            Self::Gap(gap) => {
                let (first, last) = (gap.first, gap.last);
                return write!(
                    f,
                    "{} {:<16} ---- gap: events {first} to {last} of life {} are missing",
                    gap.before, gap.process, gap.incarnation
                );
            }
        };
        let event = &record.event;
        let (code, name) = (event.code as u16, event.code.as_str());
        write!(f, "{} {:<16} E{code} {name}", record.stamp, record.process)?;
        let subject = &event.subject;
        write_subject(f, "call", subject.call.as_ref())?;
        write_subject(f, "request", subject.request.as_ref())?;
        write_subject(f, "team", subject.team.as_ref())?;
        write_subject(f, "server", subject.server.as_ref())?;
        write_subject(f, "group", subject.group.as_ref())?;
        write_subject(f, "operation", subject.operation.as_ref())?;
        if !event.detail.is_empty() {
            write!(f, ": {}", event.detail)?;
        }
        for (name, fact) in event.facts.iter() {
            write!(f, " {name}={fact}")?;
        }
        Ok(())
    }
}

fn write_subject(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    value: Option<&impl fmt::Display>,
) -> fmt::Result {
    match value {
        Some(value) => write!(f, " {name}={value}"),
        None => Ok(()),
    }
}
