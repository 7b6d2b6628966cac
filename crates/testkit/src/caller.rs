//! A scripted caller that keeps its own book.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ::http::{HeaderMap, HeaderName, HeaderValue, Method};
use eelgrassdyke_core::wire::refusal::RunStatus;
use eelgrassdyke_node::http;
use eelgrassdyke_node::http::client::{Connection, Request};
use eelgrassdyke_node::http::pool::Pool;

/// A request of a scripted caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The entry's address for callers.
    pub entry: SocketAddr,
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The bearer token.
    pub token: String,
    /// The idempotency key, if any.
    pub key: Option<String>,
    /// The deadline, in seconds, if any.
    pub timeout: Option<f64>,
    /// The body.
    pub body: String,
}

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// A whole answer.
    Answer {
        /// The status.
        status: u16,
        /// The body.
        body: String,
    },
    /// A refusal, or a stream that ended with an error event.
    Refusal {
        /// The status.
        status: u16,
        /// Whether the request ran.
        run: RunStatus,
        /// The reason.
        reason: String,
        /// What came of the body before.
        body: String,
    },
    /// The connection broke: nothing certain was told.
    Nothing(String),
}

/// When parts of an answer came, from the moment the request was due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// The first part of the body.
    pub first: Duration,
    /// The end of the answer.
    pub whole: Duration,
    /// Parts of the body.
    pub parts: u64,
}

impl Told {
    /// The status, or 0 when nothing was told.
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer { status, .. } | Self::Refusal { status, .. } => *status,
            Self::Nothing(_) => 0,
        }
    }
}

/// Sends a request on a connection of its own and gives what was told.
pub async fn ask(ask: &Ask, due: Instant) -> (Told, Timing) {
    let mut timing = Timing::default();
    let told = match alone(ask, due, &mut timing).await {
        Ok(told) => told,
        Err(error) => Told::Nothing(error.to_string()),
    };
    timing.whole = due.elapsed();
    (told, timing)
}

async fn alone(ask: &Ask, due: Instant, timing: &mut Timing) -> http::Result<Told> {
    let mut connection = Connection::open(ask.entry).await?;
    exchange(&mut connection, ask, due, timing).await
}

/// Sends a request on a connection of a pool and gives what was told.
pub async fn ask_pooled(pool: &Pool, ask: &Ask, due: Instant) -> (Told, Timing) {
    let mut timing = Timing::default();
    let told = match pooled(pool, ask, due, &mut timing).await {
        Ok(told) => told,
        Err(error) => Told::Nothing(error.to_string()),
    };
    timing.whole = due.elapsed();
    (told, timing)
}

async fn pooled(pool: &Pool, ask: &Ask, due: Instant, timing: &mut Timing) -> http::Result<Told> {
    let mut connection = pool.acquire(ask.entry).await?;
    let told = exchange(&mut connection, ask, due, timing).await?;
    pool.release(ask.entry, connection);
    Ok(told)
}

async fn exchange(
    connection: &mut Connection,
    ask: &Ask,
    due: Instant,
    timing: &mut Timing,
) -> http::Result<Told> {
    connection.send(request(ask)).await?;
    let mut answer = connection.receive_response().await?;
    let status = answer.status.as_u16();
    let run = answer
        .headers
        .get("eelgrassdyke-run")
        .and_then(|v| v.to_str().ok());
    let run: Option<RunStatus> = run.and_then(|text| text.parse().ok());
    let mut body = Vec::new();
    while let Some(part) = answer.next_part().await? {
        if timing.parts == 0 {
            timing.first = due.elapsed();
        }
        timing.parts += 1;
        body.extend_from_slice(&part);
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    let refused = run.or_else(|| error_event(&body));
    Ok(match refused {
        Some(run) => Told::Refusal {
            status,
            run,
            reason: reason(&body),
            body,
        },
        None => Told::Answer { status, body },
    })
}

fn request(ask: &Ask) -> Request {
    let mut headers = HeaderMap::new();
    insert(
        &mut headers,
        "authorization",
        &format!("Bearer {}", ask.token),
    );
    if let Some(key) = &ask.key {
        insert(&mut headers, "idempotency-key", key);
    }
    if let Some(timeout) = ask.timeout {
        insert(&mut headers, "request-timeout", &timeout.to_string());
    }
    Request {
        method: ask.method.clone(),
        path: ask.path.clone(),
        headers,
        body: ask.body.clone().into(),
    }
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// What the error event says that ends a broken stream.
fn error_event(body: &str) -> Option<RunStatus> {
    let event = body
        .split("\n\n")
        .find(|event| event.starts_with("event: error"))?;
    let data = event.split_once("data: ")?.1;
    let value: serde_json::Value = serde_json::from_str(data).ok()?;
    value["error"]["run"].as_str()?.parse().ok()
}

fn reason(body: &str) -> String {
    let json = body.rsplit("data: ").next().unwrap_or(body);
    let value: serde_json::Value = serde_json::from_str(json.trim()).unwrap_or_default();
    value["error"]["type"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}
