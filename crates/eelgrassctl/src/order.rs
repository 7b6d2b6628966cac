//! `order`: sends orders to engines.

use eelgrassdyke_control::OperatorResponse;
use eelgrassdyke_control::state::order::{OrderResponse, OrderStatus};
use eelgrassdyke_core::config;
use eelgrassdyke_core::wire::fence::OrderOutcome;
use eelgrassdyke_node::http::client::Request;
use serde_json::json;

use crate::client::{Client, sleep_with_jitter, unexpected_answer};
use crate::command::{EngineAction, OrderArgs};
use crate::config::generate_operation_id;
use crate::errors::{Error, ExitStatus, Result};
use crate::output;

/// Submits an order and prints its status; with `--wait`, after it has ended.
pub async fn submit(client: &Client, options: &OrderArgs, json: bool) -> Result<ExitStatus> {
    let operation = options
        .operation
        .clone()
        .unwrap_or_else(generate_operation_id);
    // Printed before sending, so that the order can be resent if the response is lost.
    eprintln!("operation {operation}");
    let order = match &options.action {
        EngineAction::Load { model } => config::EngineOrder::Load(model.clone()),
        EngineAction::Unload { model } => config::EngineOrder::Unload(model.clone()),
        EngineAction::Role { name } => config::EngineOrder::Role(name.clone()),
    };
    let body = json!({"operation": operation, "server": options.server, "order": order});
    let request = Request::post("/v1/orders", body.to_string());
    let deadline = client.deadline();
    loop {
        let status = match client.submit_to_leader(&request).await? {
            OperatorResponse::Order(OrderResponse::Accepted(status)) => status,
            OperatorResponse::Order(OrderResponse::OperationReused) => {
                return Err(refusal("the operation was used for another order"));
            }
            OperatorResponse::Order(OrderResponse::TooManyOpen) => {
                return Err(refusal("too many orders are open"));
            }
            answer => return Err(unexpected_answer(&answer)),
        };
        let is_open = matches!(status.outcome, None | Some(OrderOutcome::Running));
        if !options.wait || !is_open || monoio::time::Instant::now() >= deadline {
            return print_status(&status, options.wait, json);
        }
        sleep_with_jitter().await;
    }
}

fn refusal(problem: &str) -> Error {
    Error::Refused {
        process: "control".to_owned(),
        problem: format!("{problem}; submit the order with a new operation, or later"),
    }
}

fn print_status(status: &OrderStatus, waited: bool, json: bool) -> Result<ExitStatus> {
    match json {
        true => output::print_json(status)?,
        false => output::print_line(format_args!(
            "{} {:?} to {}: {}",
            status.operation,
            status.order,
            status.server,
            status
                .outcome
                .as_ref()
                .map_or("open".to_owned(), |outcome| format!("{outcome:?}")),
        )),
    }
    Ok(match &status.outcome {
        Some(OrderOutcome::Done) => ExitStatus::Success,
        Some(OrderOutcome::Fenced | OrderOutcome::Failed(_)) => ExitStatus::Failure,
        None | Some(OrderOutcome::Running) if waited => ExitStatus::Failure,
        None | Some(OrderOutcome::Running) => ExitStatus::Success,
    })
}
