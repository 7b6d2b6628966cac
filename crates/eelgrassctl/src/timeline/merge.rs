//! Merges the events of several processes into causal order and marks gaps.
//!
//! Events carry timestamps of hybrid logical clocks: an event that happened before a message was sent
//! has a lower timestamp than any event after its receipt, even if the hosts' clocks differ. Sorting by
//! timestamp therefore puts causes before effects; concurrent events may appear in either order.

use std::collections::BTreeMap;
use std::fmt;

use eelgrassdyke_core::data;
use eelgrassdyke_core::event::{EventRecord, Subject};
use eelgrassdyke_core::id::{Incarnation, Process};
use eelgrassdyke_core::time::HybridTimestamp;

use crate::command::TimelineArgs;

data! {
    /// A range of events of one incarnation of a process that are missing.
    #[derive(Eq)]
    pub struct Gap {
        /// The process.
        pub process: Process,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// Number of the first missing event.
        pub first: u64,
        /// Number of the last missing event.
        pub last: u64,
        /// Timestamp of the first event after the gap.
        #[serde(rename = "before")]
        pub next_stamp: HybridTimestamp,
    }

    /// An entry of the timeline.
    #[derive(Eq)]
    pub enum TimelineEntry {
        /// An event.
        Event(EventRecord),
        /// A range of missing events.
        Gap(Gap),
    }
}

/// The events of several processes, merged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedTimeline {
    /// Events and gaps, in causal order.
    pub entries: Vec<TimelineEntry>,
}

impl MergedTimeline {
    /// Merges `records`, without duplicates.
    ///
    /// `positions` holds the incarnation and number of the last event of each process that was read
    /// earlier; events up to it do not count as missing.
    pub fn from_records(
        mut records: Vec<EventRecord>,
        positions: &BTreeMap<Process, (Incarnation, u64)>,
    ) -> Self {
        records.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
        records.dedup_by(|a, b| sort_key(a) == sort_key(b));
        let mut last_numbers: BTreeMap<(Process, Incarnation), u64> = positions
            .iter()
            .map(|(process, (incarnation, number))| ((process.clone(), *incarnation), *number))
            .collect();
        let mut entries = Vec::new();
        for record in records {
            let source = (record.process.clone(), record.incarnation);
            let previous = last_numbers.insert(source, record.number).unwrap_or(0);
            if record.number > previous + 1 {
                entries.push(TimelineEntry::Gap(Gap {
                    process: record.process.clone(),
                    incarnation: record.incarnation,
                    first: previous + 1,
                    last: record.number - 1,
                    next_stamp: record.stamp,
                }));
            }
            entries.push(TimelineEntry::Event(record));
        }
        Self { entries }
    }

    /// The entries that match the filters; gaps always match, since the missing events might.
    pub fn filtered(self, options: &TimelineArgs) -> Vec<TimelineEntry> {
        let is_match = |entry: &TimelineEntry| match entry {
            TimelineEntry::Event(record) => matches_filters(&record.event.subject, options),
            TimelineEntry::Gap(_) => true,
        };
        self.entries.into_iter().filter(is_match).collect()
    }
}

/// Sort key: the timestamp, then the source. Events of one process never share a timestamp.
fn sort_key(record: &EventRecord) -> (HybridTimestamp, &Process, Incarnation, u64) {
    (
        record.stamp,
        &record.process,
        record.incarnation,
        record.number,
    )
}

/// Whether a subject matches every filter that is set.
fn matches_filters(subject: &Subject, options: &TimelineArgs) -> bool {
    matches_filter(&options.request, &subject.request)
        && matches_filter(&options.team, &subject.team)
        && matches_filter(&options.server, &subject.server)
        && matches_filter(&options.group, &subject.group)
        && matches_filter(&options.operation, &subject.operation)
}

fn matches_filter<T: PartialEq>(filter: &Option<T>, value: &Option<T>) -> bool {
    filter.is_none() || filter == value
}

impl fmt::Display for TimelineEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let record = match self {
            Self::Event(record) => record,
            Self::Gap(gap) => {
                let (first, last) = (gap.first, gap.last);
                return write!(
                    f,
                    "{} {:<16} ---- gap: events {first} to {last} of incarnation {} are missing",
                    gap.next_stamp, gap.process, gap.incarnation
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
