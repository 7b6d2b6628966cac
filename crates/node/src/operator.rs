//! HTTP API for operators, in JSON.

use eelgrassdyke_control::log::MembershipChange;
use eelgrassdyke_control::state::order::OrderResponse;
use eelgrassdyke_control::{OperatorResponse, Query};
use eelgrassdyke_core::config::{self, Submission, Verdict};
use eelgrassdyke_core::crash::Content;
use eelgrassdyke_core::id::{Operation, Server, Service};
use eelgrassdyke_core::jsonc;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};

use crate::http::server::{Request, Responder};
use crate::node::Node;

/// Handles a request below `/v1/`.
pub fn handle(node: &Node, request: Request, responder: Responder) {
    if !is_operator(node, &request.headers) {
        let remedy = "send an operator's token as `Authorization: Bearer TOKEN`";
        respond_error(
            responder,
            StatusCode::UNAUTHORIZED,
            "the operator token is missing or invalid",
            remedy,
        );
        return;
    }
    let path = request.uri.path().to_owned();
    match (&request.method, path.as_str()) {
        (&Method::POST, "/v1/config") => submit_config(node, &request, responder),
        (&Method::POST, "/v1/members") => change_members(node, &request, responder),
        (&Method::POST, "/v1/orders") => submit_order(node, &request, responder),
        (&Method::GET, "/v1/config") => query_control(node, Query::Config, responder),
        (&Method::GET, "/v1/status") => query_control(node, Query::Status, responder),
        (&Method::GET, "/v1/report") => query_control(node, Query::Report, responder),
        (&Method::GET, "/v1/quarantines") => query_control(node, Query::Quarantines, responder),
        (&Method::POST, "/v1/quarantines/lift") => lift_quarantine(node, &request, responder),
        (&Method::GET, "/v1/process") => respond_json(responder, StatusCode::OK, &node.status()),
        (&Method::GET, "/v1/timeline") => read_timeline(node, &request, responder),
        (&Method::POST, "/v1/drain") => {
            node.drain();
            respond_json(
                responder,
                StatusCode::ACCEPTED,
                &serde_json::json!({"draining": true}),
            );
        }
        _ => respond_error(
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
    token.is_some_and(|token| node.operator_tokens().contains(token.trim()))
}

fn submit_config(node: &Node, request: &Request, responder: Responder) {
    let Some(control) = node.control() else {
        respond_no_control(responder);
        return;
    };
    match parse_strictly::<Submission>(&request.body) {
        Ok(submission) => control.submit(submission, responder),
        Err(problem) => reject_body(
            responder,
            &problem,
            "correct the body; see docs/operators/config.md",
        ),
    }
}

fn change_members(node: &Node, request: &Request, responder: Responder) {
    let Some(control) = node.control() else {
        respond_no_control(responder);
        return;
    };
    let remedy = "send {\"add\": \"REPLICA\"}, {\"promote\": \"REPLICA\"} or \
                  {\"remove\": \"REPLICA\"}; see docs/operators/control.md";
    match parse_strictly::<MembershipChange>(&request.body) {
        Ok(change) => control.change_members(change, responder),
        Err(problem) => reject_body(responder, &problem, remedy),
    }
}

fn reject_body(responder: Responder, problem: &str, remedy: &str) {
    let problem = format!("the body is not valid: {problem}");
    respond_error(responder, StatusCode::BAD_REQUEST, &problem, remedy);
}

/// Parses JSON and rejects duplicate fields; an error states its position.
fn parse_strictly<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, String> {
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
pub struct OrderRequest {
    /// Identifies the order, so that it can be resent.
    pub operation: Operation,
    /// The engine.
    pub server: Server,
    /// The action.
    pub order: config::EngineOrder,
}

fn submit_order(node: &Node, request: &Request, responder: Responder) {
    let Some(control) = node.control() else {
        respond_no_control(responder);
        return;
    };
    match parse_strictly::<OrderRequest>(&request.body) {
        Ok(order) => control.submit_order(order, responder),
        Err(problem) => reject_body(
            responder,
            &problem,
            "correct the body; see docs/operators/orders.md",
        ),
    }
}

/// An operator's request to lift the quarantine of a prompt part.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LiftRequest {
    /// The service.
    pub service: Service,
    /// The part.
    pub part: Content,
}

fn lift_quarantine(node: &Node, request: &Request, responder: Responder) {
    let Some(control) = node.control() else {
        respond_no_control(responder);
        return;
    };
    match parse_strictly::<LiftRequest>(&request.body) {
        Ok(lift) => control.lift_quarantine(lift, responder),
        Err(problem) => reject_body(
            responder,
            &problem,
            "send {\"service\": NAME, \"part\": ID}; see docs/OPERATIONS.md",
        ),
    }
}

fn query_control(node: &Node, query: Query, responder: Responder) {
    match node.control() {
        Some(control) => control.query(query, responder),
        None => respond_no_control(responder),
    }
}

fn respond_no_control(responder: Responder) {
    let remedy = "send the request to a process with the control role";
    respond_error(
        responder,
        StatusCode::NOT_FOUND,
        "this process does not have the control role",
        remedy,
    );
}

fn read_timeline(node: &Node, request: &Request, responder: Responder) {
    let query = request.uri.query().unwrap_or_default();
    let after = query_number(query, "after").unwrap_or(0);
    // Event numbers restart with each incarnation, so a number from another one is ignored.
    let incarnation = query_number(query, "life").unwrap_or(node.incarnation().0);
    let records = match incarnation == node.incarnation().0 {
        true => node.timeline().events_after(after),
        false => node.timeline().events_after(0),
    };
    respond_json(responder, StatusCode::OK, &records);
}

/// The value of a numeric parameter in the query string.
fn query_number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}

/// Sends an answer of control as the response.
pub fn respond_answer(responder: Responder, answer: &OperatorResponse) {
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
        | OperatorResponse::Quarantines(_)
        | OperatorResponse::Members(_) => StatusCode::OK,
    };
    respond_json(responder, status, answer);
}

fn respond_error(responder: Responder, status: StatusCode, problem: &str, remedy: &str) {
    let body = serde_json::json!({"error": {"message": problem, "remedy": remedy}});
    respond_json(responder, status, &body);
}

fn respond_json(responder: Responder, status: StatusCode, value: &impl serde::Serialize) {
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    match serde_json::to_vec(value) {
        Ok(mut body) => {
            body.push(b'\n');
            responder.respond(status, headers, body);
        }
        Err(error) => {
            log::error!("can't serialise a response: {error}");
            responder.respond(StatusCode::INTERNAL_SERVER_ERROR, headers, "{}\n");
        }
    }
}
