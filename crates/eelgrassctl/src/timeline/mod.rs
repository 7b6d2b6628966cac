//! `timeline`: prints the events of all processes in causal order.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use eelgrassdyke_core::event::EventRecord;
use eelgrassdyke_core::id::{Incarnation, Process};
use eelgrassdyke_node::http::client::Request;
use futures_util::future::join_all;
use serde_json::json;

use crate::client::{Client, sleep_with_jitter};
use crate::command::TimelineArgs;
use crate::errors::{Error, ExitStatus, Result};
use crate::output;
use crate::wait::newest_followers;

pub mod html;
pub mod merge;
pub mod trace;

use merge::{MergedTimeline, TimelineEntry};

/// Position up to which the events of each process have been read: incarnation and event number.
type ReadPositions = BTreeMap<Process, (Incarnation, u64)>;

/// Prints the events of all reachable processes; with `--follow`, keeps printing new ones.
pub async fn print(client: &Client, options: &TimelineArgs, json: bool) -> Result<ExitStatus> {
    let mut positions = ReadPositions::new();
    let missing = loop {
        let (records, missing) = fetch_new_events(client, &positions).await?;
        let timeline = MergedTimeline::from_records(records, &positions);
        advance_positions(&mut positions, &timeline.entries);
        let entries = timeline.filtered(options);
        write_entries(&entries, &missing, options.html.as_deref(), json)?;
        if !options.follow {
            break missing;
        }
        sleep_with_jitter().await;
    };
    for problem in &missing {
        eprintln!("missing: {problem}");
    }
    match missing.is_empty() {
        true => Ok(ExitStatus::Success),
        false => Ok(ExitStatus::Failure),
    }
}

/// Fetches the events after `positions` from every process.
///
/// Also returns an error message for each process that could not be read.
async fn fetch_new_events(
    client: &Client,
    positions: &ReadPositions,
) -> Result<(Vec<EventRecord>, Vec<String>)> {
    let (statuses, errors) = client.require_statuses().await?;
    let mut missing: Vec<String> = errors.iter().map(|(_, error)| error.to_string()).collect();
    let mut addresses: BTreeMap<Process, SocketAddr> = BTreeMap::new();
    let control: Vec<_> = statuses.iter().map(|(_, status)| status.clone()).collect();
    for (process, follower) in newest_followers(&control) {
        addresses.insert(process, follower.address);
    }
    for (address, status) in statuses {
        addresses.insert(status.process, address);
    }
    let reads = addresses.iter().map(|(process, address)| async move {
        let path = match positions.get(process) {
            Some((incarnation, number)) => {
                format!("/v1/timeline?life={incarnation}&after={number}")
            }
            None => "/v1/timeline".to_owned(),
        };
        let records = client.request_json::<Vec<EventRecord>>(*address, Request::get(&path));
        (process, records.await)
    });
    let mut records = Vec::new();
    for (process, result) in join_all(reads).await {
        match result {
            Ok(new) => records.extend(new),
            Err(error) => missing.push(format!("{process}: {error}")),
        }
    }
    Ok((records, missing))
}

/// Advances the position of each process to its last event in `entries`.
fn advance_positions(positions: &mut ReadPositions, entries: &[TimelineEntry]) {
    for entry in entries {
        if let TimelineEntry::Event(record) = entry {
            let position = (record.incarnation, record.number);
            let last = positions.entry(record.process.clone()).or_insert(position);
            *last = position.max(*last);
        }
    }
}

/// Writes the entries to an HTML page at `page`, or prints them.
///
/// `missing` holds an error message for each process that could not be read.
fn write_entries(
    entries: &[TimelineEntry],
    missing: &[String],
    page: Option<&Path>,
    json: bool,
) -> Result<()> {
    match page {
        Some(path) => {
            let page = html::render(entries, missing);
            std::fs::write(path, page).map_err(|error| Error::io(path, error))?;
            output::print_line(format_args!(
                "{} events in {}",
                entries.len(),
                path.display()
            ));
        }
        None if json => print_entries_json(entries)?,
        None => print_entries(entries),
    }
    Ok(())
}

fn print_entries(entries: &[TimelineEntry]) {
    for entry in entries {
        output::print_line(format_args!("{entry}"));
    }
}

fn print_entries_json(entries: &[TimelineEntry]) -> Result<()> {
    for entry in entries {
        match entry {
            TimelineEntry::Event(record) => output::print_json(record)?,
            TimelineEntry::Gap(gap) => output::print_json(&json!({"gap": gap}))?,
        }
    }
    Ok(())
}
