//! A stand-in model engine: completions format, server-sent events, resumption.
//!
//! Each prompt has one answer, whichever engine gives it, so that a stream resumed elsewhere can be
//! compared byte by byte with an unbroken one.

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassdyke_node::http::server::{Request, Responder};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use serde::Deserialize;

use crate::book::Shared;

/// Words that answers are made of.
const WORDS: [&str; 12] = [
    "refill", "serum", "balm", "salon", "reorder", "lavender", "cedar", "bottle", "gentle",
    "rinse", "label", "stock",
];

/// The event that ends a stream.
const DONE: &str = "data: [DONE]\n\n";

/// How a stand-in engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time from the start of a call to its first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub token: Duration,
    /// Tokens of an answer when the call names no bound.
    pub tokens: u64,
    /// Whether an order with a lower fence than an earlier one is refused.
    pub checks_fence: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(40),
            token: Duration::from_millis(20),
            tokens: 16,
            checks_fence: false,
        }
    }
}

/// A stand-in engine.
pub struct Engine {
    options: Options,
    book: Shared,
    /// The highest fence seen: term and sequence.
    fence: Cell<(u64, u64)>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Completion {
    model: String,
    prompt: serde_json::Value,
    messages: serde_json::Value,
    stream: bool,
    max_tokens: Option<u64>,
}

/// The whole streamed answer to a completions call with this prompt, as every engine gives it.
pub fn expected_stream(model: &str, prompt: &str, tokens: u64) -> String {
    let completion = Completion {
        prompt: prompt.into(),
        ..Completion::default()
    };
    let seed = seed(&completion);
    let mut stream = String::new();
    for at in 0..tokens {
        stream.push_str(&String::from_utf8_lossy(&event(model, seed, at)));
    }
    stream.push_str(DONE);
    stream
}

/// Serves a stand-in engine on `listener`; gives its address.
pub fn serve(listener: TcpListener, options: Options) -> std::io::Result<SocketAddr> {
    let engine = Rc::new(Engine {
        options,
        book: Shared::default(),
        fence: Cell::default(),
    });
    let handler = Rc::new(move |request, responder| engine.clone().handle(request, responder));
    crate::serve(listener, handler)
}

impl Engine {
    fn handle(self: Rc<Self>, request: Request, responder: Responder) {
        match (&request.method, request.uri.path()) {
            (&Method::GET, "/health") => answer(responder, StatusCode::OK, "ok".to_owned()),
            (&Method::GET, "/book") => answer(responder, StatusCode::OK, self.book.json()),
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                monoio::spawn(self.complete(request, responder));
            }
            (&Method::POST, "/v1/orders") => self.take_order(&request, responder),
            _ => answer(responder, StatusCode::NOT_FOUND, "{}".to_owned()),
        }
    }

    /// Carries out an order, unless this engine checks fences and this one is old.
    fn take_order(&self, request: &Request, responder: Responder) {
        let order: serde_json::Value = match serde_json::from_slice(&request.body) {
            Ok(order) => order,
            Err(_) => return answer(responder, StatusCode::BAD_REQUEST, "{}".to_owned()),
        };
        let fence = request.headers.get("x-eelgrassdyke-fence");
        let fence = fence.and_then(|value| value.to_str().ok()).unwrap_or("0.0");
        let (term, sequence) = fence.split_once('.').unwrap_or((fence, "0"));
        let number = (term.parse().unwrap_or(0), sequence.parse().unwrap_or(0));
        if self.options.checks_fence && number < self.fence.get() {
            self.book.write(|book| book.fenced += 1);
            return answer(responder, StatusCode::CONFLICT, "{}".to_owned());
        }
        self.fence.set(number.max(self.fence.get()));
        let told = (order["order"].to_string(), fence.to_owned());
        self.book.write(|book| book.orders.push(told));
        answer(responder, StatusCode::OK, "{}".to_owned());
    }

    async fn complete(self: Rc<Self>, request: Request, responder: Responder) {
        let Ok(completion) = serde_json::from_slice::<Completion>(&request.body) else {
            answer(responder, StatusCode::BAD_REQUEST, "{}".to_owned());
            return;
        };
        let gone = Rc::new(Cell::new(false));
        let flag = gone.clone();
        responder.on_disconnect(move || flag.set(true));
        self.book.write(|book| book.begun += 1);
        let seed = seed(&completion);
        let tokens = completion.max_tokens.unwrap_or(self.options.tokens);
        let after = resume_after(&request.headers);
        monoio::time::sleep(self.options.first_token).await;
        if completion.stream {
            responder.start_stream(StatusCode::OK, event_stream());
        }
        for at in after..tokens {
            if at > after {
                monoio::time::sleep(self.options.token).await;
            }
            if gone.get() {
                self.book.write(|book| book.cancelled += 1);
                return;
            }
            self.book.write(|book| book.tokens += 1);
            if completion.stream {
                responder.send_data(event(&completion.model, seed, at));
            }
        }
        self.book.write(|book| book.finished += 1);
        if completion.stream {
            responder.send_data(Bytes::from_static(DONE.as_bytes()));
            responder.end_stream();
            return;
        }
        answer(
            responder,
            StatusCode::OK,
            whole(&completion.model, seed, tokens),
        );
    }
}

/// The text of the token at position `at` of the answer with `seed`.
fn word(seed: u64, at: u64) -> &'static str {
    let mixed = (seed ^ at.wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    WORDS[(mixed >> 33) as usize % WORDS.len()]
}

fn seed(completion: &Completion) -> u64 {
    let text = format!("{}{}", completion.prompt, completion.messages);
    let mut seed = 0xCBF2_9CE4_8422_2325_u64;
    for byte in text.bytes() {
        seed = (seed ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3);
    }
    seed
}

fn resume_after(headers: &HeaderMap) -> u64 {
    let value = headers
        .get("x-eelgrassdyke-resume-after")
        .and_then(|v| v.to_str().ok());
    value.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn event(model: &str, seed: u64, at: u64) -> Bytes {
    let data = serde_json::json!({
        "model": model,
        "choices": [{"index": 0, "text": format!("{} ", word(seed, at))}],
    });
    format!("data: {data}\n\n").into()
}

fn whole(model: &str, seed: u64, tokens: u64) -> String {
    let words: Vec<&str> = (0..tokens).map(|at| word(seed, at)).collect();
    let answer = serde_json::json!({
        "model": model,
        "choices": [{"index": 0, "text": words.join(" ")}],
        "usage": {"completion_tokens": tokens},
    });
    answer.to_string()
}

fn event_stream() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers
}

fn answer(responder: Responder, status: StatusCode, body: String) {
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    responder.respond(status, headers, body);
}
