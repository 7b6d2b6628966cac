//! `drain`: shuts a process down gracefully.

use std::net::SocketAddr;

use eelgrassdyke_core::id::Process;
use eelgrassdyke_node::http;
use eelgrassdyke_node::http::client::{Connection, Request};
use monoio::time::Instant;
use serde_json::json;

use crate::client::{Client, sleep_with_jitter};
use crate::command::DrainArgs;
use crate::errors::{Error, ExitStatus, Result};
use crate::output;
use crate::wait::newest_followers;

/// Requests the shutdown of a process; with `--wait`, waits until it has stopped.
pub async fn drain(client: &Client, options: &DrainArgs, json: bool) -> Result<ExitStatus> {
    let deadline = client.deadline();
    let address = find_address(client, &options.process).await?;
    let _: serde_json::Value = client
        .request_json(address, Request::post("/v1/drain", ""))
        .await?;
    let stopped = options.wait && wait_until_stopped(address, deadline).await;
    match json {
        true => output::print_json(&json!({
            "process": options.process, "address": address, "stopped": stopped,
        }))?,
        false if stopped => output::print_line(format_args!("{} has stopped", options.process)),
        false => output::print_line(format_args!("{} is draining", options.process)),
    }
    match stopped || !options.wait {
        true => Ok(ExitStatus::Success),
        false => Ok(ExitStatus::Failure),
    }
}

/// The address on which a process listens for peers.
pub async fn find_address(client: &Client, process: &Process) -> Result<SocketAddr> {
    let (statuses, _) = client.require_statuses().await?;
    let control = statuses
        .iter()
        .find(|(_, status)| status.process == *process);
    if let Some((address, _)) = control {
        return Ok(*address);
    }
    let statuses: Vec<_> = statuses.into_iter().map(|(_, status)| status).collect();
    if let Some(follower) = newest_followers(&statuses).get(process) {
        return Ok(follower.address);
    }
    Err(Error::Usage(format!(
        "no process is named {process}; see `eelgrassctl status`"
    )))
}

/// Waits until connections to `address` fail; returns whether they do before the deadline.
///
/// A timeout does not count as stopped, because a hanging process still exists.
async fn wait_until_stopped(address: SocketAddr, deadline: Instant) -> bool {
    while Instant::now() < deadline {
        if let Err(http::Error::Io(_)) = Connection::open(address).await {
            return true;
        }
        sleep_with_jitter().await;
    }
    false
}
