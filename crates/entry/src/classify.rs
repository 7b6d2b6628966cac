//! Classification of a call: service, idempotency, deadline and priority.
//!
//! Drafting services are addressed by the `model` of a completions call, plain services by the
//! first segment of the path. Whether a plain call is idempotent is determined by its header, else
//! by the first matching route of the service, else by its method.

use std::time::Duration;

use eelgrassdyke_core::config::{Document, ServiceKind, ServiceSpec};
use eelgrassdyke_core::id::{IdempotencyKey, Service};
use eelgrassdyke_core::wire::refusal::Reason;
use serde::Deserialize;

use crate::affinity::prompt_blocks;
use crate::io::Call;

/// Paths of the completions API.
const COMPLETION_PATHS: [&str; 2] = ["/v1/completions", "/v1/chat/completions"];

/// Expected tokens of a drafting call without `max_tokens`.
const EXPECTED_TOKENS_DEFAULT: u64 = 256;

/// Priority of a call without a priority header; 0 is lowest, 9 highest.
const PRIORITY_DEFAULT: u8 = 5;

/// Highest priority.
const PRIORITY_MAX: u8 = 9;

/// A classified call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// The requested service.
    pub service: Service,
    /// The kind of the service.
    pub kind: ServiceKind,
    /// Path and query as forwarded to the server.
    pub path: String,
    /// Whether the response is streamed token by token.
    pub stream: bool,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Time until the deadline.
    pub timeout: Duration,
    /// Priority from 0 (lowest) to 9.
    pub priority: u8,
    /// Expected number of tokens; 1 for a plain call.
    pub expected_tokens: u64,
    /// Number of this attempt among the caller's own retries, from 1.
    pub caller_attempt: u32,
    /// Block hashes of the prompt, for prefix affinity.
    pub prompt_blocks: Vec<u64>,
}

/// The relevant fields of a completions request.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CompletionRequest {
    model: String,
    stream: bool,
    max_tokens: Option<u64>,
    prompt: serde_json::Value,
    messages: serde_json::Value,
}

impl CompletionRequest {
    fn prompt_blocks(&self) -> Vec<u64> {
        if let Some(prompt) = self.prompt.as_str() {
            return prompt_blocks(prompt.as_bytes());
        }
        let text = format!("{}{}", self.prompt, self.messages);
        prompt_blocks(text.as_bytes())
    }
}

/// Determines the class of a call, or the reason to refuse it.
pub fn classify(document: &Document, call: &Call) -> Result<RequestClass, Reason> {
    let path = call.path.split('?').next().unwrap_or_default();
    if COMPLETION_PATHS.contains(&path) {
        return classify_drafting(document, call);
    }
    classify_plain(document, call)
}

fn classify_drafting(document: &Document, call: &Call) -> Result<RequestClass, Reason> {
    if call.method != "POST" {
        return Err(Reason::Malformed);
    }
    let completion: CompletionRequest =
        serde_json::from_slice(&call.body).map_err(|_| Reason::Malformed)?;
    let service: Service = completion.model.parse().map_err(|_| Reason::NoService)?;
    let spec = document.services.get(&service).ok_or(Reason::NoService)?;
    if spec.kind != ServiceKind::Drafting {
        return Err(Reason::NoService);
    }
    Ok(RequestClass {
        kind: spec.kind,
        path: call.path.clone(),
        stream: completion.stream,
        idempotent: header_idempotent(call)?.unwrap_or(true),
        idempotency_key: idempotency_key(call)?,
        timeout: timeout(call, spec)?,
        priority: priority(call)?,
        prompt_blocks: completion.prompt_blocks(),
        expected_tokens: completion
            .max_tokens
            .unwrap_or(EXPECTED_TOKENS_DEFAULT)
            .max(1),
        caller_attempt: caller_attempt(call)?,
        service,
    })
}

fn classify_plain(document: &Document, call: &Call) -> Result<RequestClass, Reason> {
    let rest = call.path.strip_prefix('/').ok_or(Reason::Malformed)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let service: Service = name.parse().map_err(|_| Reason::NoService)?;
    let spec = document.services.get(&service).ok_or(Reason::NoService)?;
    if spec.kind != ServiceKind::Plain {
        return Err(Reason::NoService);
    }
    let path = match path.starts_with('/') {
        true => path.to_owned(),
        false => format!("/{path}"),
    };
    let idempotent = match header_idempotent(call)? {
        Some(idempotent) => idempotent,
        None => route_idempotent(spec, &call.method, &path),
    };
    Ok(RequestClass {
        kind: spec.kind,
        path,
        stream: false,
        idempotent,
        idempotency_key: idempotency_key(call)?,
        timeout: timeout(call, spec)?,
        priority: priority(call)?,
        expected_tokens: 1,
        prompt_blocks: Vec::new(),
        caller_attempt: caller_attempt(call)?,
        service,
    })
}

/// Idempotency by the service's routes, else by the method.
fn route_idempotent(spec: &ServiceSpec, method: &str, path: &str) -> bool {
    for route in &spec.routes {
        let method_matches = route
            .method
            .as_deref()
            .is_none_or(|route_method| route_method.eq_ignore_ascii_case(method));
        if method_matches && path.starts_with(&route.path) {
            return route.idempotent;
        }
    }
    matches!(method, "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS")
}

fn header_idempotent(call: &Call) -> Result<Option<bool>, Reason> {
    match call.header("x-eelgrassdyke-idempotent") {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(Reason::Malformed),
    }
}

fn idempotency_key(call: &Call) -> Result<Option<IdempotencyKey>, Reason> {
    match call.header("idempotency-key") {
        None => Ok(None),
        Some(text) => text
            .trim_matches('"')
            .parse()
            .map(Some)
            .map_err(|_| Reason::Malformed),
    }
}

/// The timeout requested by the caller in seconds, limited by that of the service.
fn timeout(call: &Call, spec: &ServiceSpec) -> Result<Duration, Reason> {
    let service_timeout = Duration::from_millis(spec.timeout_ms);
    let Some(text) = call.header("request-timeout") else {
        return Ok(service_timeout);
    };
    let seconds: f64 = text.trim().parse().map_err(|_| Reason::Malformed)?;
    let requested_timeout = Duration::try_from_secs_f64(seconds).map_err(|_| Reason::Malformed)?;
    Ok(requested_timeout.min(service_timeout))
}

/// Number of this attempt among the caller's own retries, from 1.
pub(crate) fn caller_attempt(call: &Call) -> Result<u32, Reason> {
    match call.header("x-eelgrassdyke-attempt") {
        None => Ok(1),
        Some(text) => text.trim().parse().map_err(|_| Reason::Malformed),
    }
}

fn priority(call: &Call) -> Result<u8, Reason> {
    let Some(text) = call.header("x-eelgrassdyke-priority") else {
        return Ok(PRIORITY_DEFAULT);
    };
    let priority: u8 = text.trim().parse().map_err(|_| Reason::Malformed)?;
    match priority <= PRIORITY_MAX {
        true => Ok(priority),
        false => Err(Reason::Malformed),
    }
}
