//! A stand-in model engine: completions format, server-sent events, resumption.
//!
//! The response depends on the prompt alone, so all engines give the same one, and a stream resumed
//! on another engine can be compared byte by byte with an uninterrupted one.

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassdyke_node::http::server::{Request, Responder};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use serde::Deserialize;

use crate::book::SharedExecutionLog;

/// Texts of the generated tokens.
const WORDS: [&str; 12] = [
    "refill", "serum", "balm", "salon", "reorder", "lavender", "cedar", "bottle", "gentle",
    "rinse", "label", "stock",
];

/// The event that ends a stream.
const DONE: &str = "data: [DONE]\n\n";

/// Options of a stand-in engine.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time from the start of a request to its first token.
    pub first_token_delay: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Tokens of a response when the request has no `max_tokens`.
    pub default_max_tokens: u64,
    /// Whether orders with a lower fencing token than an earlier one are refused.
    pub checks_fence: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            first_token_delay: Duration::from_millis(40),
            token_interval: Duration::from_millis(20),
            default_max_tokens: 16,
            checks_fence: false,
        }
    }
}

/// A stand-in engine.
pub struct Engine {
    options: Options,
    log: SharedExecutionLog,
    /// Highest fencing token received: term and sequence.
    highest_fence: Cell<(u64, u64)>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CompletionRequest {
    model: String,
    prompt: serde_json::Value,
    messages: serde_json::Value,
    stream: bool,
    max_tokens: Option<u64>,
}

/// The complete event stream that every engine sends for a completions request with this prompt.
pub fn expected_stream(model: &str, prompt: &str, tokens: u64) -> String {
    let completion = CompletionRequest {
        prompt: prompt.into(),
        ..CompletionRequest::default()
    };
    let seed = prompt_hash(&completion);
    let mut stream = String::new();
    for position in 0..tokens {
        stream.push_str(&String::from_utf8_lossy(&token_event(
            model, seed, position,
        )));
    }
    stream.push_str(DONE);
    stream
}

/// Serves a stand-in engine on `listener`; returns the bound address.
pub fn serve(listener: TcpListener, options: Options) -> std::io::Result<SocketAddr> {
    let engine = Rc::new(Engine {
        options,
        log: SharedExecutionLog::default(),
        highest_fence: Cell::default(),
    });
    let handler = Rc::new(move |request, responder| engine.clone().handle(request, responder));
    crate::serve(listener, handler)
}

impl Engine {
    fn handle(self: Rc<Self>, request: Request, responder: Responder) {
        match (&request.method, request.uri.path()) {
            (&Method::GET, "/health") => respond(responder, StatusCode::OK, "ok".to_owned()),
            (&Method::GET, "/book") => respond(responder, StatusCode::OK, self.log.to_json()),
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                monoio::spawn(self.complete(request, responder));
            }
            (&Method::POST, "/v1/orders") => self.handle_order(&request, responder),
            _ => respond(responder, StatusCode::NOT_FOUND, "{}".to_owned()),
        }
    }

    /// Executes an order, unless the engine checks fencing tokens and the order's is stale.
    fn handle_order(&self, request: &Request, responder: Responder) {
        let order: serde_json::Value = match serde_json::from_slice(&request.body) {
            Ok(order) => order,
            Err(_) => return respond(responder, StatusCode::BAD_REQUEST, "{}".to_owned()),
        };
        let fence = request.headers.get("x-eelgrassdyke-fence");
        let fence = fence.and_then(|value| value.to_str().ok()).unwrap_or("0.0");
        let (term, sequence) = fence.split_once('.').unwrap_or((fence, "0"));
        let fence_number = (term.parse().unwrap_or(0), sequence.parse().unwrap_or(0));
        if self.options.checks_fence && fence_number < self.highest_fence.get() {
            self.log.update(|log| log.fenced += 1);
            return respond(responder, StatusCode::CONFLICT, "{}".to_owned());
        }
        self.highest_fence
            .set(fence_number.max(self.highest_fence.get()));
        let executed = (order["order"].to_string(), fence.to_owned());
        self.log.update(|log| log.orders.push(executed));
        respond(responder, StatusCode::OK, "{}".to_owned());
    }

    async fn complete(self: Rc<Self>, request: Request, responder: Responder) {
        let Ok(completion) = serde_json::from_slice::<CompletionRequest>(&request.body) else {
            respond(responder, StatusCode::BAD_REQUEST, "{}".to_owned());
            return;
        };
        let is_disconnected = Rc::new(Cell::new(false));
        let flag = is_disconnected.clone();
        responder.on_disconnect(move || flag.set(true));
        self.log.update(|log| log.started += 1);
        let seed = prompt_hash(&completion);
        let tokens = completion
            .max_tokens
            .unwrap_or(self.options.default_max_tokens);
        let resume_after = resume_after(&request.headers);
        monoio::time::sleep(self.options.first_token_delay).await;
        if completion.stream {
            responder.start_stream(StatusCode::OK, event_stream_headers());
        }
        for position in resume_after..tokens {
            if position > resume_after {
                monoio::time::sleep(self.options.token_interval).await;
            }
            if is_disconnected.get() {
                self.log.update(|log| log.cancelled += 1);
                return;
            }
            self.log.update(|log| log.tokens += 1);
            if completion.stream {
                responder.send_data(token_event(&completion.model, seed, position));
            }
        }
        self.log.update(|log| log.finished += 1);
        if completion.stream {
            responder.send_data(Bytes::from_static(DONE.as_bytes()));
            responder.end_stream();
            return;
        }
        respond(
            responder,
            StatusCode::OK,
            completion_body(&completion.model, seed, tokens),
        );
    }
}

/// Text of the token at `position` of the response selected by `seed`.
fn token_text(seed: u64, position: u64) -> &'static str {
    let mixed =
        (seed ^ position.wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    WORDS[(mixed >> 33) as usize % WORDS.len()]
}

/// FNV-1a hash of the prompt and messages, which selects the tokens of the response.
fn prompt_hash(completion: &CompletionRequest) -> u64 {
    let text = format!("{}{}", completion.prompt, completion.messages);
    let mut hash = 0xCBF2_9CE4_8422_2325_u64;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3);
    }
    hash
}

/// Number of tokens that the caller already has and the engine skips.
fn resume_after(headers: &HeaderMap) -> u64 {
    let value = headers
        .get("x-eelgrassdyke-resume-after")
        .and_then(|v| v.to_str().ok());
    value.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn token_event(model: &str, seed: u64, position: u64) -> Bytes {
    let data = serde_json::json!({
        "model": model,
        "choices": [{"index": 0, "text": format!("{} ", token_text(seed, position))}],
    });
    format!("data: {data}\n\n").into()
}

fn completion_body(model: &str, seed: u64, tokens: u64) -> String {
    let words: Vec<&str> = (0..tokens)
        .map(|position| token_text(seed, position))
        .collect();
    let completion = serde_json::json!({
        "model": model,
        "choices": [{"index": 0, "text": words.join(" ")}],
        "usage": {"completion_tokens": tokens},
    });
    completion.to_string()
}

fn event_stream_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers
}

fn respond(responder: Responder, status: StatusCode, body: String) {
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    responder.respond(status, headers, body);
}
