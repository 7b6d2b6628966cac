//! What operators ask over HTTP, as JSON.

use eelgrassdyke_control::log::MembershipChange;
use eelgrassdyke_control::state::order::OrderResponse;
use eelgrassdyke_control::{OperatorResponse, Query};
use eelgrassdyke_core::config::{self, Submission, Verdict};
use eelgrassdyke_core::id::{Operation, Server};
use eelgrassdyke_core::jsonc;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};

use crate::http::server::{Request, Responder};
use crate::node::Node;

/// Answers a request below `/v1/`.
pub fn handle(node: &Node, request: Request, responder: Responder) {
    if !is_operator(node, &request.headers) {
        let remedy = "send an operator's token as `Authorization: Bearer TOKEN`";
        fail(
            responder,
            StatusCode::UNAUTHORIZED,
            "no operator has this token",
            remedy,
        );
        return;
    }
    let path = request.uri.path().to_owned();
    match (&request.method, path.as_str()) {
        (&Method::POST, "/v1/config") => submit(node, &request, responder),
        (&Method::POST, "/v1/members") => change_members(node, &request, responder),
        (&Method::POST, "/v1/orders") => order(node, &request, responder),
        (&Method::GET, "/v1/config") => ask(node, Query::Config, responder),
        (&Method::GET, "/v1/status") => ask(node, Query::Status, responder),
        (&Method::GET, "/v1/report") => ask(node, Query::Report, responder),
        (&Method::GET, "/v1/process") => json(responder, StatusCode::OK, &node.report()),
        (&Method::GET, "/v1/timeline") => timeline(node, &request, responder),
        (&Method::POST, "/v1/drain") => {
            node.drain();
            json(
                responder,
                StatusCode::ACCEPTED,
                &serde_json::json!({"draining": true}),
            );
        }
        _ => fail(
            responder,
            StatusCode::NOT_FOUND,
            "no such resource",
            "see docs/OPERATORS.md",
        ),
    }
}

/// Whether a request carries an operator's token.
pub fn is_operator(node: &Node, headers: &HeaderMap) -> bool {
    let bearer = headers
        .get(header::AUTHORIZATION)
        .and_then(|v| v.to_str().ok());
    let token = bearer.and_then(|text| text.strip_prefix("Bearer "));
    token.is_some_and(|token| node.operators().knows(token.trim()))
}

fn submit(node: &Node, request: &Request, responder: Responder) {
    let Some(control) = node.control() else {
        no_control(responder);
        return;
    };
    match read_strictly::<Submission>(&request.body) {
        Ok(submission) => control.submit(submission, responder),
        Err(problem) => unreadable(
            responder,
            &problem,
            "correct it; see docs/operators/config.md",
        ),
    }
}

fn change_members(node: &Node, request: &Request, responder: Responder) {
    let Some(control) = node.control() else {
        no_control(responder);
        return;
    };
    let remedy = "send {\"add\": \"REPLICA\"}, {\"promote\": \"REPLICA\"} or \
                  {\"remove\": \"REPLICA\"}; see docs/operators/control.md";
    match read_strictly::<MembershipChange>(&request.body) {
        Ok(change) => control.change_members(change, responder),
        Err(problem) => unreadable(responder, &problem, remedy),
    }
}

fn unreadable(responder: Responder, problem: &str, remedy: &str) {
    let problem = format!("the body does not read: {problem}");
    fail(responder, StatusCode::BAD_REQUEST, &problem, remedy);
}

/// Reads JSON in which no field may stand twice; the fault names its place.
fn read_strictly<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    let text = std::str::from_utf8(body).map_err(|error| error.to_string())?;
    let tree = jsonc::parse(text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        lines.join("; ")
    })?;
    serde_path_to_error::deserialize(tree.value)
        .map_err(|error| format!("at {}: {}", error.path(), error.inner()))
}

/// An operator's order to an engine.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Names the order.
    pub operation: Operation,
    /// The engine.
    pub server: Server,
    /// What to do.
    pub order: config::EngineOrder,
}

fn order(node: &Node, request: &Request, responder: Responder) {
    let Some(control) = node.control() else {
        no_control(responder);
        return;
    };
    match read_strictly::<Order>(&request.body) {
        Ok(order) => control.order(order, responder),
        Err(problem) => unreadable(
            responder,
            &problem,
            "correct it; see docs/operators/orders.md",
        ),
    }
}

fn ask(node: &Node, query: Query, responder: Responder) {
    match node.control() {
        Some(control) => control.ask(query, responder),
        None => no_control(responder),
    }
}

fn no_control(responder: Responder) {
    let remedy = "ask a process with the control role";
    fail(
        responder,
        StatusCode::NOT_FOUND,
        "this process does not have the control role",
        remedy,
    );
}

fn timeline(node: &Node, request: &Request, responder: Responder) {
    let query = request.uri.query().unwrap_or_default();
    let after = number(query, "after").unwrap_or(0);
    // Numbers begin again with each life, so those of another life say nothing.
    let life = number(query, "life").unwrap_or(node.incarnation().0);
    let records = match life == node.incarnation().0 {
        true => node.timeline().since(after),
        false => node.timeline().since(0),
    };
    json(responder, StatusCode::OK, &records);
}

/// A number in the query of a request.
fn number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(held, _)| *held == name)?;
    value.parse().ok()
}

/// Answers with what control decided.
pub fn answer(responder: Responder, answer: &OperatorResponse) {
    let status = match answer {
        OperatorResponse::Verdict(Verdict::Accepted { .. }) => StatusCode::OK,
        OperatorResponse::Verdict(Verdict::Conflict { .. } | Verdict::Reused) => {
            StatusCode::CONFLICT
        }
        OperatorResponse::Verdict(Verdict::Invalid { .. }) => StatusCode::UNPROCESSABLE_ENTITY,
        OperatorResponse::Order(OrderResponse::Accepted(_)) => StatusCode::ACCEPTED,
        OperatorResponse::Order(OrderResponse::OperationReused) => StatusCode::CONFLICT,
        OperatorResponse::Order(OrderResponse::TooManyOpen) => StatusCode::SERVICE_UNAVAILABLE,
        OperatorResponse::NotLeader { .. } => StatusCode::MISDIRECTED_REQUEST,
        OperatorResponse::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        OperatorResponse::Refused { .. } => StatusCode::SERVICE_UNAVAILABLE,
        OperatorResponse::Config { .. }
        | OperatorResponse::Publication(_)
        | OperatorResponse::NoticeAccepted
        | OperatorResponse::Status(_)
        | OperatorResponse::Report(_)
        | OperatorResponse::Members(_) => StatusCode::OK,
    };
    json(responder, status, answer);
}

fn fail(responder: Responder, status: StatusCode, problem: &str, remedy: &str) {
    let body = serde_json::json!({"error": {"message": problem, "remedy": remedy}});
    json(responder, status, &body);
}

fn json(responder: Responder, status: StatusCode, value: &impl serde::Serialize) {
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    match serde_json::to_vec(value) {
        Ok(mut body) => {
            body.push(b'\n');
            responder.answer(status, headers, body);
        }
        Err(error) => {
            log::error!("an answer does not encode: {error}");
            responder.answer(StatusCode::INTERNAL_SERVER_ERROR, headers, "{}\n");
        }
    }
}
