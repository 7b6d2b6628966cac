//! Tests of a process with the entry, control and agent roles: streamed responses are forwarded
//! token by token, and unauthenticated requests are limited in size.
//!
//! The engine produces its second token only when the test tells it to, after the caller has read
//! the first. No assertion depends on timing.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::settings::Settings;
use eelgrassdyke_node::Node;
use eelgrassdyke_node::http::client::{self, Connection, Response};
use eelgrassdyke_node::http::pool::Pool;
use eelgrassdyke_node::http::server::{self, Options, Request, Responder};
use eelgrassdyke_node::node::Ports;
use eelgrassdyke_node::runtime::block_on;
use http::{HeaderMap, HeaderValue, StatusCode};
use monoio::net::TcpListener;
use serde_json::json;

/// Timeout that keeps a failing test from hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

const OPERATOR_TOKEN: &str = "trial-token";

/// More than the buffers of two sockets hold while nothing is read.
const LARGE_BYTES: usize = 6 << 20;
const EVENT_BYTES: usize = 64 << 10;

/// Longer than a process waits for control to acknowledge its usage counters.
const UNREAD_TIME: Duration = Duration::from_secs(4);

/// An engine that streams one token and waits for [`Engine::finish`].
#[derive(Default)]
struct Engine {
    stream: RefCell<Option<Responder>>,
}

impl Engine {
    fn handle_request(&self, request: Request, responder: Responder) {
        if request.uri.path() != "/v1/completions" {
            responder.respond(StatusCode::OK, HeaderMap::new(), "");
            return;
        }
        let mut headers = HeaderMap::new();
        let content_type = HeaderValue::from_static("text/event-stream");
        headers.insert("content-type", content_type);
        responder.start_stream(StatusCode::OK, headers);
        if is_large(&request) {
            monoio::spawn(send_large_response(responder));
            return;
        }
        responder.send_data(event("first"));
        *self.stream.borrow_mut() = Some(responder);
    }

    /// Streams the second token and completes the response.
    fn finish(&self) {
        let stream = self.stream.borrow_mut().take().unwrap();
        stream.send_data(event("second"));
        stream.send_data(Bytes::from_static(b"data: [DONE]\n\n"));
        stream.end_stream();
    }
}

fn is_large(request: &Request) -> bool {
    let body: serde_json::Value = serde_json::from_slice(&request.body).unwrap();
    body["prompt"] == "large"
}

/// Sends the events one by one, since a process queues only a part of a stream.
async fn send_large_response(responder: Responder) {
    for _ in 0..LARGE_BYTES / EVENT_BYTES {
        responder.send_data(event(&"x".repeat(EVENT_BYTES)));
        monoio::time::sleep(Duration::from_millis(2)).await;
    }
    responder.send_data(Bytes::from_static(b"data: [DONE]\n\n"));
    responder.end_stream();
}

fn event(text: &str) -> Bytes {
    let event = json!({"choices": [{"index": 0, "text": text}]});
    format!("data: {event}\n\n").into()
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Starts a process with all three roles for the backend server at `backend`; returns the addresses
/// for peers and for callers, and the process.
fn start(folder: &Path, backend: SocketAddr) -> (SocketAddr, SocketAddr, Rc<Node>) {
    let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).unwrap();
    write("peer-secret", "secret-of-this-trial");
    write(
        "operators",
        &Sha256::of(OPERATOR_TOKEN.as_bytes()).to_string(),
    );
    let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let ports = Ports::bind(free_port, Some(free_port)).unwrap();
    let (control, callers) = (
        ports.peer_address().unwrap(),
        ports.caller_address().unwrap().unwrap(),
    );
    let settings = json!({
        "process": "all-1", "host": "trial", "data_centre": "hobart", "region": "tasmania",
        "listen": control, "control": [control],
        "peer_secret_file": folder.join("peer-secret"),
        "operator_tokens_file": folder.join("operators"),
        "entry_role": {"listen": callers},
        "control_role": {"data": folder.join("data"), "start": {"found": [control]}},
        "agent_role": {
            "server": "engine-1", "service": "draft", "backend": backend,
            "slots": 4, "token_rate": 100,
        },
    });
    let settings = Settings::parse(&settings.to_string(), Path::new("trial")).unwrap();
    let node = Node::start_with_ports(ports, settings, None, None).unwrap();
    (control, callers, node)
}

fn post(path: &str, body: serde_json::Value) -> client::Request {
    let mut request = client::Request::post(path, body.to_string());
    let bearer = HeaderValue::from_str(&format!("Bearer {OPERATOR_TOKEN}")).unwrap();
    request.headers.insert("authorization", bearer);
    request
}

/// Repeats a request until it succeeds, because the system is still starting; sends it once more
/// and returns that response.
async fn retry_until_ok<'a>(
    connection: &'a mut Option<Connection>,
    address: SocketAddr,
    request: client::Request,
) -> Response<'a> {
    loop {
        let mut opened = Connection::open(address).await.unwrap();
        opened.send(request.clone()).await.unwrap();
        let status = opened.receive_response().await.unwrap().status;
        if status == StatusCode::OK {
            break;
        }
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    let opened = connection.insert(Connection::open(address).await.unwrap());
    opened.send(request).await.unwrap();
    opened.receive_response().await.unwrap()
}

#[test]
fn unauthenticated_bodies_on_the_peer_port_are_limited() {
    let folder = tempfile::tempdir().unwrap();
    let statuses = block_on(async {
        let (_listener, backend) = listen();
        let (control, _, _) = start(folder.path(), backend);
        let pool = Pool::default();
        let mut statuses = Vec::new();
        for path in ["/peer/mail", "/v1/config"] {
            let large = client::Request::post(path, vec![b' '; 20_000]);
            statuses.push(
                pool.call(control, large, TEST_TIMEOUT)
                    .await
                    .unwrap()
                    .0
                    .as_u16(),
            );
        }
        let mut authenticated = post("/v1/config", json!({}));
        authenticated.body = vec![b' '; 2 << 20].into();
        statuses.push(
            pool.call(control, authenticated, TEST_TIMEOUT)
                .await
                .unwrap()
                .0
                .as_u16(),
        );
        statuses
    });
    assert_eq!(statuses.unwrap(), [413, 413, 400]);
}

#[test]
fn first_token_arrives_before_the_second_is_produced() {
    let folder = tempfile::tempdir().unwrap();
    let exchange = async {
        let engine = Rc::new(Engine::default());
        let (listener, backend) = listen();
        let handled_by = engine.clone();
        let handler =
            Rc::new(move |request, responder| handled_by.handle_request(request, responder));
        monoio::spawn(server::serve(listener, Options::default(), handler));
        let (control, callers, _node) = start(folder.path(), backend);

        put_config(control).await;

        let draft = json!({"model": "draft", "prompt": "x", "stream": true, "max_tokens": 2});
        let mut connection = None;
        let mut response =
            retry_until_ok(&mut connection, callers, post("/v1/completions", draft)).await;
        let first = response.next_part().await.unwrap().unwrap();
        engine.finish();
        (first, response.read_to_end().await.unwrap())
    };
    let (first, rest) = block_on(async { monoio::time::timeout(TEST_TIMEOUT, exchange).await })
        .unwrap()
        .expect("the first token is not forwarded before the second");
    let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
    assert!(text(&first).contains("first"), "{first:?}");
    assert!(!text(&first).contains("second"), "{first:?}");
    assert!(text(&rest).contains("second"), "{rest:?}");
    assert!(text(&rest).ends_with("data: [DONE]\n\n"), "{rest:?}");
}

/// Puts a configuration with one team and one service.
async fn put_config(control: SocketAddr) {
    let digest = Sha256::of(OPERATOR_TOKEN.as_bytes()).to_string();
    let document = json!({
        "teams": {"hobart": {"tokens": [digest]}},
        "services": {"draft": {"kind": "drafting"}},
    });
    let submission = json!({
        "operation": "trial-1", "base": 0, "author": "trial", "change": {"whole": document},
    });
    let mut connection = None;
    retry_until_ok(&mut connection, control, post("/v1/config", submission)).await;
}

/// The caller reads nothing until long after the process has had no request in progress.
#[test]
fn response_that_is_read_slowly_is_written_before_a_shutdown_ends() {
    let folder = tempfile::tempdir().unwrap();
    let exchange = async {
        let engine = Rc::new(Engine::default());
        let (listener, backend) = listen();
        let handler = Rc::new(move |request, responder| engine.handle_request(request, responder));
        monoio::spawn(server::serve(listener, Options::default(), handler));
        let (control, callers, node) = start(folder.path(), backend);
        put_config(control).await;
        let draft = json!({
            "model": "draft", "prompt": "large", "stream": true, "max_tokens": 1000,
        });
        let mut connection = None;
        let mut response =
            retry_until_ok(&mut connection, callers, post("/v1/completions", draft)).await;
        node.drain();
        let ended = Rc::new(Cell::new(None));
        let (result, waiting) = (ended.clone(), node.clone());
        monoio::spawn(async move { result.set(Some(waiting.wait_drained(|| false).await)) });
        while node.status().open > 0 {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        monoio::time::sleep(UNREAD_TIME).await;
        assert_eq!(ended.get(), None, "most of the response is not written");
        let body = response.read_to_end().await.unwrap();
        while ended.get().is_none() {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        (body.len(), ended.get().unwrap())
    };
    let (length, shutdown) =
        block_on(async { monoio::time::timeout(TEST_TIMEOUT, exchange).await })
            .unwrap()
            .expect("the response is written and the process ends");
    assert!(length > LARGE_BYTES, "{length}");
    assert_eq!((shutdown.aborted, shutdown.cut_off), (0, 0));
}
