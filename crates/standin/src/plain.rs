//! A stand-in plain service: orders or approvals, some of which may not be repeated.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_node::http::server::{Request, Responder};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};

use crate::book::Shared;

/// How a stand-in service behaves.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time that a call takes.
    pub work: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            work: Duration::from_millis(5),
        }
    }
}

/// A stand-in plain service.
pub struct Service {
    options: Options,
    book: Shared,
}

/// Serves a stand-in plain service on `listener`; gives its address.
pub fn serve(listener: TcpListener, options: Options) -> std::io::Result<SocketAddr> {
    let service = Rc::new(Service {
        options,
        book: Shared::default(),
    });
    let handler = Rc::new(move |request, responder| service.clone().handle(request, responder));
    crate::serve(listener, handler)
}

impl Service {
    fn handle(self: Rc<Self>, request: Request, responder: Responder) {
        match (&request.method, request.uri.path()) {
            (&Method::GET, "/health") => answer(responder, "ok".to_owned()),
            (&Method::GET, "/book") => answer(responder, self.book.json()),
            _ => {
                monoio::spawn(self.run(request, responder));
            }
        }
    }

    async fn run(self: Rc<Self>, request: Request, responder: Responder) {
        let key = request
            .headers
            .get("idempotency-key")
            .and_then(|value| value.to_str().ok());
        let key = key.unwrap_or_default().to_owned();
        let mut number = 0;
        self.book.write(|book| {
            book.begun += 1;
            number = book.begun;
            if !key.is_empty() {
                *book.keys.entry(key.clone()).or_default() += 1;
            }
        });
        monoio::time::sleep(self.options.work).await;
        self.book.write(|book| book.finished += 1);
        let body = serde_json::json!({
            "receipt": number,
            "method": request.method.as_str(),
            "path": request.uri.path(),
            "key": key,
        });
        answer(responder, format!("{body}\n"));
    }
}

fn answer(responder: Responder, body: String) {
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    responder.respond(StatusCode::OK, headers, body);
}
