//! `drain`: asks a process for a graceful shutdown.

use std::net::SocketAddr;

use eelgrassdyke_core::id::Process;
use eelgrassdyke_node::http;
use eelgrassdyke_node::http::client::{Connection, Request};
use monoio::time::Instant;
use serde_json::json;

use crate::client::{Client, pause};
use crate::command::Drain;
use crate::errors::{Code, Error, Result};
use crate::output;
use crate::wait::newest;

/// Asks a process to shut down and, when asked to, waits until it has.
pub async fn drain(client: &Client, options: &Drain, json: bool) -> Result<Code> {
    let deadline = client.deadline();
    let address = find(client, &options.process).await?;
    let _: serde_json::Value = client.read(address, Request::post("/v1/drain", "")).await?;
    let stopped = options.wait && has_stopped(address, deadline).await;
    match json {
        true => output::json(&json!({
            "process": options.process, "address": address, "stopped": stopped,
        }))?,
        false if stopped => output::line(format_args!("{} has stopped", options.process)),
        false => output::line(format_args!("{} drains", options.process)),
    }
    match stopped || !options.wait {
        true => Ok(Code::Done),
        false => Ok(Code::Refused),
    }
}

/// Where a process listens.
pub async fn find(client: &Client, process: &Process) -> Result<SocketAddr> {
    let (statuses, _) = client.some_statuses().await?;
    let control = statuses
        .iter()
        .find(|(_, status)| status.process == *process);
    if let Some((address, _)) = control {
        return Ok(*address);
    }
    let all: Vec<_> = statuses.into_iter().map(|(_, status)| status).collect();
    if let Some(follower) = newest(&all).get(process) {
        return Ok(follower.address);
    }
    Err(Error::Usage(format!(
        "no process is named {process}; see `eelgrassctl status`"
    )))
}

/// Waits until nothing listens at `address` any more; a process that hangs has not stopped.
async fn has_stopped(address: SocketAddr, deadline: Instant) -> bool {
    while Instant::now() < deadline {
        if let Err(http::Error::Io(_)) = Connection::open(address).await {
            return true;
        }
        pause().await;
    }
    false
}
