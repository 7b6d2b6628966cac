//! A stand-in plain service, for requests such as orders and approvals, not all of them idempotent.
//!
//! It answers every request after a fixed service time and counts the executions of each idempotency
//! key.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_node::http::server::{Request, Responder};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};

use crate::book::SharedExecutionLog;

/// Options of a stand-in plain service.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time that each request takes.
    pub service_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            service_time: Duration::from_millis(5),
        }
    }
}

/// A stand-in plain service.
pub struct Service {
    options: Options,
    log: SharedExecutionLog,
}

/// Serves a stand-in plain service on `listener`; returns the bound address.
pub fn serve(listener: TcpListener, options: Options) -> std::io::Result<SocketAddr> {
    let service = Rc::new(Service {
        options,
        log: SharedExecutionLog::default(),
    });
    let handler = Rc::new(move |request, responder| service.clone().handle(request, responder));
    crate::serve(listener, handler)
}

impl Service {
    fn handle(self: Rc<Self>, request: Request, responder: Responder) {
        match (&request.method, request.uri.path()) {
            (&Method::GET, "/health") => respond(responder, "ok".to_owned()),
            (&Method::GET, "/book") => respond(responder, self.log.to_json()),
            _ => {
                monoio::spawn(self.execute(request, responder));
            }
        }
    }

    async fn execute(self: Rc<Self>, request: Request, responder: Responder) {
        let key = request
            .headers
            .get("idempotency-key")
            .and_then(|value| value.to_str().ok());
        let key = key.unwrap_or_default().to_owned();
        let mut receipt = 0;
        self.log.update(|log| {
            log.started += 1;
            receipt = log.started;
            if !key.is_empty() {
                *log.executions_by_key.entry(key.clone()).or_default() += 1;
            }
        });
        monoio::time::sleep(self.options.service_time).await;
        self.log.update(|log| log.finished += 1);
        let body = serde_json::json!({
            "receipt": receipt,
            "method": request.method.as_str(),
            "path": request.uri.path(),
            "key": key,
        });
        respond(responder, format!("{body}\n"));
    }
}

fn respond(responder: Responder, body: String) {
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    responder.respond(StatusCode::OK, headers, body);
}
