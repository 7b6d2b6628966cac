//! A scripted caller: sends one request and classifies the response.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ::http::{HeaderMap, HeaderName, HeaderValue, Method};
use eelgrassdyke_core::wire::refusal::RunStatus;
use eelgrassdyke_node::http;
use eelgrassdyke_node::http::client::{Connection, Request};
use eelgrassdyke_node::http::pool::Pool;

/// Request of a scripted caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// Address of the entry for callers.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path, with the service's prefix.
    pub path: String,
    /// Bearer token.
    pub token: String,
    /// Idempotency key, if any.
    pub idempotency_key: Option<String>,
    /// Value of the `request-timeout` header, in seconds, if any.
    pub timeout_s: Option<f64>,
    /// Request body.
    pub body: String,
}

/// Outcome of a request as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete response.
    Response {
        /// HTTP status.
        status: u16,
        /// Response body.
        body: String,
    },
    /// A refusal, or a stream that ended with an error event.
    Refusal {
        /// HTTP status.
        status: u16,
        /// Whether the request ran.
        run: RunStatus,
        /// Type of the error, such as `deadline`.
        reason: String,
        /// Response body, including the data of a stream before its error event.
        body: String,
    },
    /// The connection failed before a complete response; whether the request ran is unknown.
    ConnectionFailed(String),
}

/// Latencies of one response, measured from the time at which the request was due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// Time to the first chunk of the body.
    pub first_chunk: Duration,
    /// Time to the end of the response.
    pub total: Duration,
    /// Chunks of the body.
    pub chunks: u64,
}

impl CallOutcome {
    /// HTTP status, or 0 if the connection failed.
    pub fn status(&self) -> u16 {
        match self {
            Self::Response { status, .. } | Self::Refusal { status, .. } => *status,
            Self::ConnectionFailed(_) => 0,
        }
    }
}

/// Sends a request on a new connection and waits for its outcome.
pub async fn send(request: &CallerRequest, due: Instant) -> (CallOutcome, Timing) {
    let mut timing = Timing::default();
    let outcome = match exchange_unpooled(request, due, &mut timing).await {
        Ok(outcome) => outcome,
        Err(error) => CallOutcome::ConnectionFailed(error.to_string()),
    };
    timing.total = due.elapsed();
    (outcome, timing)
}

async fn exchange_unpooled(
    request: &CallerRequest,
    due: Instant,
    timing: &mut Timing,
) -> http::Result<CallOutcome> {
    let mut connection = Connection::open(request.address).await?;
    exchange(&mut connection, request, due, timing).await
}

/// Sends a request on a pooled connection and waits for its outcome.
pub async fn send_pooled(
    pool: &Pool,
    request: &CallerRequest,
    due: Instant,
) -> (CallOutcome, Timing) {
    let mut timing = Timing::default();
    let outcome = match exchange_pooled(pool, request, due, &mut timing).await {
        Ok(outcome) => outcome,
        Err(error) => CallOutcome::ConnectionFailed(error.to_string()),
    };
    timing.total = due.elapsed();
    (outcome, timing)
}

async fn exchange_pooled(
    pool: &Pool,
    request: &CallerRequest,
    due: Instant,
    timing: &mut Timing,
) -> http::Result<CallOutcome> {
    let mut connection = pool.acquire(request.address).await?;
    let outcome = exchange(&mut connection, request, due, timing).await?;
    pool.release(request.address, connection);
    Ok(outcome)
}

async fn exchange(
    connection: &mut Connection,
    request: &CallerRequest,
    due: Instant,
    timing: &mut Timing,
) -> http::Result<CallOutcome> {
    connection.send(http_request(request)).await?;
    let mut response = connection.receive_response().await?;
    let status = response.status.as_u16();
    let run = response
        .headers
        .get("eelgrassdyke-run")
        .and_then(|v| v.to_str().ok());
    let run: Option<RunStatus> = run.and_then(|text| text.parse().ok());
    let mut body = Vec::new();
    while let Some(chunk) = response.next_part().await? {
        if timing.chunks == 0 {
            timing.first_chunk = due.elapsed();
        }
        timing.chunks += 1;
        body.extend_from_slice(&chunk);
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    let run = run.or_else(|| error_event_run(&body));
    Ok(match run {
        Some(run) => CallOutcome::Refusal {
            status,
            run,
            reason: error_type(&body),
            body,
        },
        None => CallOutcome::Response { status, body },
    })
}

fn http_request(request: &CallerRequest) -> Request {
    let mut headers = HeaderMap::new();
    insert_header(
        &mut headers,
        "authorization",
        &format!("Bearer {}", request.token),
    );
    if let Some(key) = &request.idempotency_key {
        insert_header(&mut headers, "idempotency-key", key);
    }
    if let Some(timeout) = request.timeout_s {
        insert_header(&mut headers, "request-timeout", &timeout.to_string());
    }
    Request {
        method: request.method.clone(),
        path: request.path.clone(),
        headers,
        body: request.body.clone().into(),
    }
}

fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Run status in the error event that ends a broken stream, if there is one.
fn error_event_run(body: &str) -> Option<RunStatus> {
    let event = body
        .split("\n\n")
        .find(|event| event.starts_with("event: error"))?;
    let data = event.split_once("data: ")?.1;
    let value: serde_json::Value = serde_json::from_str(data).ok()?;
    value["error"]["run"].as_str()?.parse().ok()
}

/// Type of the error in a refusal's body or in the last event of a stream.
fn error_type(body: &str) -> String {
    let error = body.rsplit("data: ").next().unwrap_or(body);
    let value: serde_json::Value = serde_json::from_str(error.trim()).unwrap_or_default();
    value["error"]["type"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}
