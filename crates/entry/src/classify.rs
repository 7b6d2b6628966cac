//! Finds out what a call asks for.
//!
//! Drafting services are addressed by the `model` of a completions call, plain services by the
//! first segment of the path. Whether a plain call may run more than once is said by its own
//! header, else by the service's first matching route, else by its method.

use std::time::Duration;

use eelgrassdyke_core::config::{Document, ServiceKind, ServiceSpec};
use eelgrassdyke_core::id::{IdempotencyKey, Service};
use eelgrassdyke_core::wire::refusal::Reason;
use serde::Deserialize;

use crate::affinity::blocks;
use crate::io::Call;

/// Paths of the completions format.
const COMPLETIONS: [&str; 2] = ["/v1/completions", "/v1/chat/completions"];

/// Tokens expected of a drafting call that names no bound.
const TOKENS_DEFAULT: u64 = 256;

/// Priority of a call that names none; 0 is lowest, 9 highest.
const PRIORITY_DEFAULT: u8 = 5;

/// Highest priority.
const PRIORITY_MAX: u8 = 9;

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// The service.
    pub service: Service,
    /// Its kind.
    pub kind: ServiceKind,
    /// Path and query as the back end gets them.
    pub path: String,
    /// Whether the answer is streamed token by token.
    pub stream: bool,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Time until the deadline.
    pub timeout: Duration,
    /// 0 (lowest) to 9.
    pub priority: u8,
    /// Tokens expected; 1 for a plain call.
    pub tokens: u64,
    /// Which of the caller's own tries this is, from 1.
    pub attempt: u32,
    /// Blocks of the prompt, for cache affinity.
    pub blocks: Vec<u64>,
}

/// The fields of a completions call that matter here.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Completion {
    model: String,
    stream: bool,
    max_tokens: Option<u64>,
    prompt: serde_json::Value,
    messages: serde_json::Value,
}

impl Completion {
    fn blocks(&self) -> Vec<u64> {
        if let Some(prompt) = self.prompt.as_str() {
            return blocks(prompt.as_bytes());
        }
        let text = format!("{}{}", self.prompt, self.messages);
        blocks(text.as_bytes())
    }
}

/// Finds out what a call asks for.
pub fn classify(document: &Document, call: &Call) -> Result<Class, Reason> {
    let route = call.path.split('?').next().unwrap_or_default();
    if COMPLETIONS.contains(&route) {
        return classify_drafting(document, call);
    }
    classify_plain(document, call)
}

fn classify_drafting(document: &Document, call: &Call) -> Result<Class, Reason> {
    if call.method != "POST" {
        return Err(Reason::Malformed);
    }
    let completion: Completion =
        serde_json::from_slice(&call.body).map_err(|_| Reason::Malformed)?;
    let service: Service = completion.model.parse().map_err(|_| Reason::NoService)?;
    let spec = document.services.get(&service).ok_or(Reason::NoService)?;
    if spec.kind != ServiceKind::Drafting {
        return Err(Reason::NoService);
    }
    Ok(Class {
        kind: spec.kind,
        path: call.path.clone(),
        stream: completion.stream,
        idempotent: header_idempotent(call)?.unwrap_or(true),
        key: key(call)?,
        timeout: timeout(call, spec)?,
        priority: priority(call)?,
        blocks: completion.blocks(),
        tokens: completion.max_tokens.unwrap_or(TOKENS_DEFAULT).max(1),
        attempt: attempt(call)?,
        service,
    })
}

fn classify_plain(document: &Document, call: &Call) -> Result<Class, Reason> {
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
        Some(said) => said,
        None => rule_idempotent(spec, &call.method, &path),
    };
    Ok(Class {
        kind: spec.kind,
        path,
        stream: false,
        idempotent,
        key: key(call)?,
        timeout: timeout(call, spec)?,
        priority: priority(call)?,
        tokens: 1,
        blocks: Vec::new(),
        attempt: attempt(call)?,
        service,
    })
}

/// What the service's routes say, else what the method implies.
fn rule_idempotent(spec: &ServiceSpec, method: &str, path: &str) -> bool {
    for route in &spec.routes {
        let method_fits = route
            .method
            .as_deref()
            .is_none_or(|m| m.eq_ignore_ascii_case(method));
        if method_fits && path.starts_with(&route.path) {
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

fn key(call: &Call) -> Result<Option<IdempotencyKey>, Reason> {
    match call.header("idempotency-key") {
        None => Ok(None),
        Some(text) => text
            .trim_matches('"')
            .parse()
            .map(Some)
            .map_err(|_| Reason::Malformed),
    }
}

/// The deadline that the caller asks for in seconds, at most the service's own.
fn timeout(call: &Call, spec: &ServiceSpec) -> Result<Duration, Reason> {
    let most = Duration::from_millis(spec.timeout_ms);
    let Some(text) = call.header("request-timeout") else {
        return Ok(most);
    };
    let seconds: f64 = text.trim().parse().map_err(|_| Reason::Malformed)?;
    let asked = Duration::try_from_secs_f64(seconds).map_err(|_| Reason::Malformed)?;
    Ok(asked.min(most))
}

/// Which of its own tries the caller says this is.
pub(crate) fn attempt(call: &Call) -> Result<u32, Reason> {
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
