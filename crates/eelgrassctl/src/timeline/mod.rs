//! `timeline`: the events of all processes in causal order.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use eelgrassdyke_core::event::EventRecord;
use eelgrassdyke_core::id::{Incarnation, Process};
use eelgrassdyke_node::http::client::Request;
use futures_util::future::join_all;
use serde_json::json;

use crate::client::{Client, pause};
use crate::command::Timeline;
use crate::errors::{Code, Error, Result};
use crate::output;
use crate::wait::newest;

pub mod html;
pub mod merge;
pub mod trace;

use merge::{Entry, Merge};

/// What was last read of each process: its life and the number of its last event.
type Marks = BTreeMap<Process, (Incarnation, u64)>;

/// Prints the events of all processes that can be reached.
pub async fn print(client: &Client, options: &Timeline, json: bool) -> Result<Code> {
    let mut marks = Marks::new();
    let missing = loop {
        let (records, missing) = gather(client, &marks).await?;
        let merge = Merge::of(records, &marks);
        advance(&mut marks, &merge.entries);
        let entries = merge.matching(options);
        show(&entries, &missing, options.html.as_deref(), json)?;
        if !options.follow {
            break missing;
        }
        pause().await;
    };
    for problem in &missing {
        eprintln!("missing: {problem}");
    }
    match missing.is_empty() {
        true => Ok(Code::Done),
        false => Ok(Code::Refused),
    }
}

/// Reads what is newer than `marks` from every process; tells which could not be read.
async fn gather(client: &Client, marks: &Marks) -> Result<(Vec<EventRecord>, Vec<String>)> {
    let (statuses, errors) = client.some_statuses().await?;
    let mut missing: Vec<String> = errors.iter().map(|(_, error)| error.to_string()).collect();
    let mut addresses: BTreeMap<Process, SocketAddr> = BTreeMap::new();
    let all: Vec<_> = statuses.iter().map(|(_, status)| status.clone()).collect();
    for (process, follower) in newest(&all) {
        addresses.insert(process, follower.address);
    }
    for (address, status) in statuses {
        addresses.insert(status.process, address);
    }
    let reads = addresses.iter().map(|(process, address)| async move {
        let path = match marks.get(process) {
            Some((life, number)) => format!("/v1/timeline?life={life}&after={number}"),
            None => "/v1/timeline".to_owned(),
        };
        let records = client.read::<Vec<EventRecord>>(*address, Request::get(&path));
        (process, records.await)
    });
    let mut records = Vec::new();
    for (process, read) in join_all(reads).await {
        match read {
            Ok(read) => records.extend(read),
            Err(error) => missing.push(format!("{process}: {error}")),
        }
    }
    Ok((records, missing))
}

/// Notes the last event of each process.
fn advance(marks: &mut Marks, entries: &[Entry]) {
    for entry in entries {
        if let Entry::Event(record) = entry {
            let mark = (record.incarnation, record.number);
            let held = marks.entry(record.process.clone()).or_insert(mark);
            *held = mark.max(*held);
        }
    }
}

/// Writes entries to a page, or prints them; `missing` names the processes that could not be read.
fn show(entries: &[Entry], missing: &[String], page: Option<&Path>, json: bool) -> Result<()> {
    match page {
        Some(path) => {
            let page = html::render(entries, missing);
            std::fs::write(path, page).map_err(|error| Error::file(path, error))?;
            output::line(format_args!(
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

fn print_entries(entries: &[Entry]) {
    for entry in entries {
        output::line(format_args!("{entry}"));
    }
}

fn print_entries_json(entries: &[Entry]) -> Result<()> {
    for entry in entries {
        match entry {
            Entry::Event(record) => output::json(record)?,
            Entry::Gap(gap) => output::json(&json!({"gap": gap}))?,
        }
    }
    Ok(())
}
