//! `trace`: prints the events of one request from the log files of all processes, in causal order.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Read as _;
use std::path::Path;

use eelgrassdyke_core::event::{Code as EventCode, EventRecord, Subject};
use eelgrassdyke_core::id::Server;

use super::merge::{MergedTimeline, TimelineEntry};
use super::write_entries;
use crate::command::TraceArgs;
use crate::errors::{Error, ExitStatus, Result};

/// Interval at which a process reports log lines that it omitted.
const OMISSION_REPORT_INTERVAL_MS: u64 = 1000;

/// File name that stands for standard input.
const STDIN_PATH: &str = "-";

/// Prints the events of a request; exit code 1 if the logs contain none.
pub fn print(options: &TraceArgs, json: bool) -> Result<ExitStatus> {
    let mut records = Vec::new();
    for file in &options.files {
        records.extend(parse_events(&read_log_text(file)?));
    }
    let entries = select_entries(records, &options.id, options.context_s.saturating_mul(1000));
    let found = entries.iter().any(|entry| match entry {
        TimelineEntry::Event(record) => is_about_request(&record.event.subject, &options.id),
        TimelineEntry::Gap(_) => false,
    });
    write_entries(&entries, &[], options.html.as_deref(), json)?;
    if found {
        return Ok(ExitStatus::Success);
    }
    eprintln!(
        "no event of request {}; give the identifier sent by the caller or assigned by the entry, and \
         the logs of all processes for that time",
        options.id
    );
    Ok(ExitStatus::Failure)
}

fn read_log_text(path: &Path) -> Result<String> {
    let io_error = |error| Error::io(path, error);
    if path == Path::new(STDIN_PATH) {
        let mut text = String::new();
        std::io::stdin()
            .read_to_string(&mut text)
            .map_err(io_error)?;
        return Ok(text);
    }
    std::fs::read_to_string(path).map_err(io_error)
}

/// Parses the events of a log.
///
/// Prefixes added by log collectors and lines that are not events are skipped.
pub fn parse_events(log: &str) -> Vec<EventRecord> {
    let objects = log
        .lines()
        .filter_map(|line| Some(&line[line.find('{')?..]));
    objects
        .filter_map(|object| serde_json::from_str(object).ok())
        .collect()
}

/// Selects the events of a request and their context in causal order.
///
/// The context reaches from `context_ms` before the request to `context_ms` after it: events that
/// concern no request and either one of the request's servers or no server, and gaps. Processes report
/// omitted lines late, so these reports and gaps are included for at least
/// `OMISSION_REPORT_INTERVAL_MS` after the request.
pub fn select_entries(records: Vec<EventRecord>, id: &str, context_ms: u64) -> Vec<TimelineEntry> {
    let request_records = || {
        records
            .iter()
            .filter(|record| is_about_request(&record.event.subject, id))
    };
    let Some(first_ms) = request_records().map(|record| record.stamp.wall.0).min() else {
        return Vec::new();
    };
    let last_ms = request_records()
        .map(|record| record.stamp.wall.0)
        .max()
        .unwrap_or(first_ms);
    let servers: BTreeSet<Server> = request_records()
        .filter_map(|record| record.event.subject.server.clone())
        .collect();
    let context = first_ms.saturating_sub(context_ms)..=last_ms.saturating_add(context_ms);
    let omission_context =
        *context.start()..=last_ms.saturating_add(context_ms.max(OMISSION_REPORT_INTERVAL_MS));
    let timeline = MergedTimeline::from_records(records, &BTreeMap::new());
    let is_selected = |entry: &TimelineEntry| match entry {
        TimelineEntry::Gap(gap) => omission_context.contains(&gap.next_stamp.wall.0),
        TimelineEntry::Event(record) if record.event.code == EventCode::LinesOmitted => {
            omission_context.contains(&record.stamp.wall.0)
        }
        TimelineEntry::Event(record) => {
            let subject = &record.event.subject;
            let in_context = context_ms > 0 && context.contains(&record.stamp.wall.0);
            is_about_request(subject, id) || in_context && is_context(subject, &servers)
        }
    };
    timeline.entries.into_iter().filter(is_selected).collect()
}

/// Whether `id` is the caller's or the entry's identifier of the event's request.
fn is_about_request(subject: &Subject, id: &str) -> bool {
    let is_call = subject.call.as_deref() == Some(id);
    is_call
        || subject
            .request
            .as_ref()
            .is_some_and(|request| request.to_string() == id)
}

/// Whether an event concerns no request, and one of `servers` or no server.
fn is_context(subject: &Subject, servers: &BTreeSet<Server>) -> bool {
    if subject.call.is_some() || subject.request.is_some() {
        return false;
    }
    subject
        .server
        .as_ref()
        .is_none_or(|server| servers.contains(server))
}
