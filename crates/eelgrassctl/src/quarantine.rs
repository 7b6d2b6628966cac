//! `quarantine`: shows and lifts quarantines of prompt parts.

use std::collections::BTreeMap;

use eelgrassdyke_control::{OperatorResponse, QuarantineStatus};
use eelgrassdyke_node::http::client::Request;
use futures_util::future::join_all;
use serde_json::json;

use crate::client::{Client, unexpected_answer};
use crate::command::QuarantineCommand;
use crate::errors::{Error, ExitStatus, Result};
use crate::{output, table};

/// Executes a command about quarantines.
pub async fn run(client: &Client, command: QuarantineCommand, json: bool) -> Result<ExitStatus> {
    let request = match command {
        QuarantineCommand::List => Request::get("/v1/quarantines"),
        QuarantineCommand::Lift { service, part } => {
            let body = json!({"service": service, "part": part});
            Request::post("/v1/quarantines/lift", body.to_string())
        }
    };
    // Each process may know crashes that others have not heard of yet.
    let addresses = client.control_addresses();
    let requests = addresses
        .iter()
        .map(|to| client.request_json(*to, request.clone()));
    let mut parts = BTreeMap::new();
    let mut has_answer = false;
    let mut last_error = Error::Unreachable("no control process was queried".to_owned());
    for answer in join_all(requests).await {
        match answer {
            Ok(OperatorResponse::Quarantines(statuses)) => {
                has_answer = true;
                for status in statuses {
                    let key = (status.service.clone(), status.part.clone());
                    let known: &mut QuarantineStatus =
                        parts.entry(key).or_insert_with(|| status.clone());
                    if known.crashes.len() < status.crashes.len() {
                        *known = status;
                    }
                }
            }
            Ok(OperatorResponse::Refused { problem, remedy }) => {
                last_error = Error::Refused {
                    process: "control".to_owned(),
                    problem: format!("{problem}; {remedy}"),
                };
            }
            Ok(answer) => last_error = unexpected_answer(&answer),
            Err(error) => last_error = error,
        }
    }
    if !has_answer {
        return Err(last_error);
    }
    let parts: Vec<QuarantineStatus> = parts.into_values().collect();
    match json {
        true => output::print_json(&parts)?,
        false => print_parts(&parts),
    }
    Ok(ExitStatus::Success)
}

fn print_parts(parts: &[QuarantineStatus]) {
    let columns = [
        ("service", false),
        ("part", false),
        ("state", false),
        ("left s", true),
        ("crashes", false),
    ];
    let rows = parts.iter().map(|status| {
        let crashes: Vec<String> = status
            .crashes
            .iter()
            .map(|crash| format!("{} {} s ago", crash.server, crash.age_ms / 1000))
            .collect();
        let (state, left) = match status.left_ms {
            Some(left_ms) => ("quarantined", (left_ms / 1000).to_string()),
            None => ("suspected", String::new()),
        };
        vec![
            status.service.to_string(),
            status.part.to_string(),
            state.to_owned(),
            left,
            crashes.join(", "),
        ]
    });
    table::print(&columns, rows);
}
