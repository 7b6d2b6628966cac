//! `trace`: what the logs of all processes say about one request, in causal order.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Read as _;
use std::path::Path;

use eelgrassdyke_core::event::{Code as Kind, EventRecord, Subject};
use eelgrassdyke_core::id::Server;

use super::merge::{Entry, Merge};
use super::show;
use crate::command::Trace;
use crate::errors::{Code, Error, Result};

/// Time after which a process says that it left lines out.
const OMISSION_MS: u64 = 1000;

/// Name by which standard input is read.
const STANDARD_INPUT: &str = "-";

/// Prints what the logs say about a request; exit code 1 when they say nothing.
pub fn print(options: &Trace, json: bool) -> Result<Code> {
    let mut records = Vec::new();
    for file in &options.files {
        records.extend(read(&text_of(file)?));
    }
    let entries = select(records, &options.id, options.context.saturating_mul(1000));
    let found = entries.iter().any(|entry| match entry {
        Entry::Event(record) => concerns(&record.event.subject, &options.id),
        Entry::Gap(_) => false,
    });
    show(&entries, &[], options.html.as_deref(), json)?;
    if found {
        return Ok(Code::Done);
    }
    eprintln!(
        "no line is about {}; give the id that the caller sent, or an entry's own, and the logs of \
         all processes of that time",
        options.id
    );
    Ok(Code::Refused)
}

fn text_of(path: &Path) -> Result<String> {
    let fail = |error| Error::file(path, error);
    if path == Path::new(STANDARD_INPUT) {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(fail)?;
        return Ok(text);
    }
    std::fs::read_to_string(path).map_err(fail)
}

/// The events of a log; what a collector puts before a line is skipped, and so are other lines.
pub fn read(log: &str) -> Vec<EventRecord> {
    let objects = log
        .lines()
        .filter_map(|line| Some(&line[line.find('{')?..]));
    objects
        .filter_map(|object| serde_json::from_str(object).ok())
        .collect()
}

/// The events about a request, and those that may explain them: of its servers, of no request at all,
/// and gaps, from `context_ms` before it to as long after it.
pub fn select(records: Vec<EventRecord>, id: &str, context_ms: u64) -> Vec<Entry> {
    let own = || records.iter().filter(|r| concerns(&r.event.subject, id));
    let Some(first) = own().map(|record| record.stamp.wall.0).min() else {
        return Vec::new();
    };
    let last = own()
        .map(|record| record.stamp.wall.0)
        .max()
        .unwrap_or(first);
    let servers: BTreeSet<Server> = own()
        .filter_map(|record| record.event.subject.server.clone())
        .collect();
    let span = first.saturating_sub(context_ms)..=last.saturating_add(context_ms);
    let omission = *span.start()..=last.saturating_add(context_ms.max(OMISSION_MS));
    let merge = Merge::of(records, &BTreeMap::new());
    let wanted = |entry: &Entry| match entry {
        Entry::Gap(gap) => omission.contains(&gap.before.wall.0),
        Entry::Event(record) if record.event.code == Kind::LinesOmitted => {
            omission.contains(&record.stamp.wall.0)
        }
        Entry::Event(record) => {
            let subject = &record.event.subject;
            let near = context_ms > 0 && span.contains(&record.stamp.wall.0);
            concerns(subject, id) || near && explains(subject, &servers)
        }
    };
    merge.entries.into_iter().filter(wanted).collect()
}

/// Whether an event is about the request that a caller, or an entry, calls `id`.
fn concerns(subject: &Subject, id: &str) -> bool {
    let called = subject.call.as_deref() == Some(id);
    called
        || subject
            .request
            .as_ref()
            .is_some_and(|request| request.to_string() == id)
}

/// Whether an event is about one of these servers, or about a process as such.
fn explains(subject: &Subject, servers: &BTreeSet<Server>) -> bool {
    if subject.call.is_some() || subject.request.is_some() {
        return false;
    }
    subject
        .server
        .as_ref()
        .is_none_or(|server| servers.contains(server))
}
