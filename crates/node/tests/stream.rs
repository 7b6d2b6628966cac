//! A drafting answer passes the whole path token by token; strangers can't fill the memory.
//!
//! A process with every role serves an engine that makes its second token only when it is told to,
//! after the caller has read the first. No verdict depends on time.

use std::cell::RefCell;
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

/// Longest wait for anything that should come; only keeps a failing test from hanging.
const HANG: Duration = Duration::from_secs(30);

const TOKEN: &str = "trial-token";

/// An engine that streams one token and waits for [`Engine::go_on`].
#[derive(Default)]
struct Engine {
    stream: RefCell<Option<Responder>>,
}

impl Engine {
    fn answer(&self, request: Request, responder: Responder) {
        if request.uri.path() != "/v1/completions" {
            responder.respond(StatusCode::OK, HeaderMap::new(), "");
            return;
        }
        let mut headers = HeaderMap::new();
        let kind = HeaderValue::from_static("text/event-stream");
        headers.insert("content-type", kind);
        responder.start_stream(StatusCode::OK, headers);
        responder.send_data(event("first"));
        *self.stream.borrow_mut() = Some(responder);
    }

    /// Makes the second token and ends the answer.
    fn go_on(&self) {
        let stream = self.stream.borrow_mut().take().unwrap();
        stream.send_data(event("second"));
        stream.send_data(Bytes::from_static(b"data: [DONE]\n\n"));
        stream.end_stream();
    }
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

/// Starts a process with every role beside the back end at `backend`; gives both its ports.
fn start(folder: &Path, backend: SocketAddr) -> (SocketAddr, SocketAddr) {
    let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).unwrap();
    write("peer-secret", "secret-of-this-trial");
    write("operators", &Sha256::of(TOKEN.as_bytes()).to_string());
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let ports = Ports::bind(free, Some(free)).unwrap();
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
    Node::start_with_ports(ports, settings, None).unwrap();
    (control, callers)
}

fn post(path: &str, body: serde_json::Value) -> client::Request {
    let mut request = client::Request::post(path, body.to_string());
    let bearer = HeaderValue::from_str(&format!("Bearer {TOKEN}")).unwrap();
    request.headers.insert("authorization", bearer);
    request
}

/// Repeats a call until it succeeds: the system comes up meanwhile.
async fn insist<'a>(
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
fn a_stranger_may_send_little_to_the_port_of_peers_and_operators() {
    let folder = tempfile::tempdir().unwrap();
    let statuses = block_on(async {
        let (_listener, backend) = listen();
        let (control, _) = start(folder.path(), backend);
        let pool = Pool::default();
        let mut statuses = Vec::new();
        for path in ["/peer/mail", "/v1/config"] {
            let large = client::Request::post(path, vec![b' '; 20_000]);
            statuses.push(pool.call(control, large, HANG).await.unwrap().0.as_u16());
        }
        let mut known = post("/v1/config", json!({}));
        known.body = vec![b' '; 2 << 20].into();
        statuses.push(pool.call(control, known, HANG).await.unwrap().0.as_u16());
        statuses
    });
    assert_eq!(statuses.unwrap(), [413, 413, 400]);
}

#[test]
fn the_first_token_arrives_before_the_second_is_made() {
    let folder = tempfile::tempdir().unwrap();
    let trial = async {
        let engine = Rc::new(Engine::default());
        let (listener, backend) = listen();
        let app = engine.clone();
        let handler = Rc::new(move |request, responder| app.answer(request, responder));
        monoio::spawn(server::serve(listener, Options::default(), handler));
        let (control, callers) = start(folder.path(), backend);

        let digest = Sha256::of(TOKEN.as_bytes()).to_string();
        let document = json!({
            "teams": {"hobart": {"tokens": [digest]}},
            "services": {"draft": {"kind": "drafting"}},
        });
        let submission = json!({
            "operation": "trial-1", "base": 0, "author": "trial", "change": {"whole": document},
        });
        let mut held = None;
        insist(&mut held, control, post("/v1/config", submission)).await;

        let draft = json!({"model": "draft", "prompt": "x", "stream": true, "max_tokens": 2});
        let mut held = None;
        let mut answer = insist(&mut held, callers, post("/v1/completions", draft)).await;
        let first = answer.next_part().await.unwrap().unwrap();
        engine.go_on();
        (first, answer.read_to_end().await.unwrap())
    };
    let (first, rest) = block_on(async { monoio::time::timeout(HANG, trial).await })
        .unwrap()
        .expect("the first token is held back");
    let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
    assert!(text(&first).contains("first"), "{first:?}");
    assert!(!text(&first).contains("second"), "{first:?}");
    assert!(text(&rest).contains("second"), "{rest:?}");
    assert!(text(&rest).ends_with("data: [DONE]\n\n"), "{rest:?}");
}
