//! `order`: orders to engines.

use eelgrassdyke_control::OperatorResponse;
use eelgrassdyke_control::state::order::{OrderResponse, OrderStatus};
use eelgrassdyke_core::config;
use eelgrassdyke_core::wire::fence::OrderOutcome;
use eelgrassdyke_node::http::client::Request;
use serde_json::json;

use crate::client::{Client, pause, unexpected};
use crate::command::{Order, What};
use crate::config::fresh_operation;
use crate::errors::{Code, Error, Result};
use crate::output;

/// Gives an order and prints how it stands; with `wait`, once it has ended.
pub async fn give(client: &Client, options: &Order, json: bool) -> Result<Code> {
    let operation = options.operation.clone().unwrap_or_else(fresh_operation);
    // Told first, so that the order can be given again when the answer is lost.
    eprintln!("operation {operation}");
    let order = match &options.what {
        What::Load { model } => config::EngineOrder::Load(model.clone()),
        What::Unload { model } => config::EngineOrder::Unload(model.clone()),
        What::Role { name } => config::EngineOrder::Role(name.clone()),
    };
    let body = json!({"operation": operation, "server": options.server, "order": order});
    let request = Request::post("/v1/orders", body.to_string());
    let deadline = client.deadline();
    loop {
        let standing = match client.decide(&request).await? {
            OperatorResponse::Order(OrderResponse::Accepted(standing)) => standing,
            OperatorResponse::Order(OrderResponse::OperationReused) => {
                return Err(refused("the operation was used for another order"));
            }
            OperatorResponse::Order(OrderResponse::TooManyOpen) => {
                return Err(refused("too many orders are open"));
            }
            answer => return Err(unexpected(&answer)),
        };
        let open = matches!(standing.outcome, None | Some(OrderOutcome::Running));
        if !options.wait || !open || monoio::time::Instant::now() >= deadline {
            return print(&standing, options.wait, json);
        }
        pause().await;
    }
}

fn refused(problem: &str) -> Error {
    Error::Refused {
        process: "control".to_owned(),
        problem: format!("{problem}; give the order under a new operation, or later"),
    }
}

fn print(standing: &OrderStatus, waited: bool, json: bool) -> Result<Code> {
    match json {
        true => output::json(standing)?,
        false => output::line(format_args!(
            "{} {:?} to {}: {}",
            standing.operation,
            standing.order,
            standing.server,
            standing
                .outcome
                .as_ref()
                .map_or("open".to_owned(), |outcome| format!("{outcome:?}")),
        )),
    }
    Ok(match &standing.outcome {
        Some(OrderOutcome::Done) => Code::Done,
        Some(OrderOutcome::Fenced | OrderOutcome::Failed(_)) => Code::Refused,
        None | Some(OrderOutcome::Running) if waited => Code::Refused,
        None | Some(OrderOutcome::Running) => Code::Done,
    })
}
