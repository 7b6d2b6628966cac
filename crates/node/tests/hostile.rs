//! Tests of the HTTP server and client with malformed, oversized, slow and truncated messages.
//!
//! Each such request is rejected or its connection closed, without affecting other callers. The
//! server under test runs on its own thread. Client timeouts only keep a failing test from hanging;
//! no assertion depends on them.

use std::cell::RefCell;
use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassdyke_node::http::client::{self, Connection};
use eelgrassdyke_node::http::intake::{Intake, Limits};
use eelgrassdyke_node::http::server::{self, Handler, Options, Port, Request, Responder};
use eelgrassdyke_node::runtime::block_on;
use http::{HeaderMap, Method, StatusCode};
use monoio::net::TcpListener;
use test_case::test_case;

/// Timeout that keeps a failing test from hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum body size of the server, in bytes.
const BODY_BYTES_MAX: usize = 200_000;

/// Idle timeout of the server.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Streams two tokens on `/stream`, the second when `/next` is requested, and begins a stream on `/hold` that doesn't end;
/// responds to other paths with the method and the length of the body.
#[derive(Default)]
struct App {
    stream: RefCell<Option<Responder>>,
    held: RefCell<Vec<Responder>>,
}

impl App {
    fn handle_request(&self, request: Request, responder: Responder) {
        match request.uri.path() {
            "/stream" => {
                responder.start_stream(StatusCode::OK, HeaderMap::new());
                responder.send_data(Bytes::from_static(b"token-0;"));
                *self.stream.borrow_mut() = Some(responder);
            }
            "/hold" => {
                responder.start_stream(StatusCode::OK, HeaderMap::new());
                self.held.borrow_mut().push(responder);
            }
            "/next" => {
                if let Some(stream) = self.stream.borrow_mut().take() {
                    stream.send_data(Bytes::from_static(b"token-1;"));
                    stream.end_stream();
                }
                responder.respond(StatusCode::OK, HeaderMap::new(), "next");
            }
            "/nothing" => responder.respond(StatusCode::NO_CONTENT, HeaderMap::new(), ""),
            "/empty-stream" => {
                responder.start_stream(StatusCode::NO_CONTENT, HeaderMap::new());
                responder.end_stream();
            }
            "/drop" => drop(responder),
            _ => {
                let body = format!("{} {}", request.method, request.body.len());
                responder.respond(StatusCode::OK, HeaderMap::new(), body);
            }
        }
    }
}

/// Starts the server; its thread ends with the test process.
fn start(options: Options) -> SocketAddr {
    start_port(move || {
        let limits = Limits {
            connections_max: 64,
            small_bytes_max: 1 << 20,
            large_bytes_max: 1 << 20,
        };
        Port::new(options, Intake::new(limits))
    })
}

fn start_port(port: impl FnOnce() -> Port + Send + 'static) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let result = block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            let app = Rc::new(App::default());
            let handler: Handler =
                Rc::new(move |request, responder| app.handle_request(request, responder));
            server::serve_port(listener, port(), handler).await;
        });
        result.unwrap();
    });
    receiver.recv().unwrap()
}

fn options() -> Options {
    Options {
        idle_timeout: IDLE_TIMEOUT,
        body_bytes_max: BODY_BYTES_MAX,
        cancel_on_close: false,
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.set_write_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Sends bytes and reads until the server closes the connection; a reset counts as a close.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    // The server may close the connection before everything is sent.
    let _ = stream.write_all(bytes);
    read_to_close(stream)
}

fn read_to_close(mut stream: TcpStream) -> String {
    let mut response = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => response.extend_from_slice(&buffer[..count]),
            Err(error) => {
                assert!(
                    !is_timeout(&error),
                    "the server neither responds nor closes the connection"
                );
                break;
            }
        }
    }
    String::from_utf8_lossy(&response).into_owned()
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock)
}

/// Checks that the server still serves a valid request.
fn assert_still_serving(address: SocketAddr) {
    let response = exchange(
        address,
        b"POST /x HTTP/1.1\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello",
    );
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.ends_with("POST 5"), "{response}");
}

/// Checks that a response is a rejection which states that nothing ran.
fn assert_rejected(response: &str, status: u16) {
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status} ")),
        "{response}"
    );
    assert!(response.contains("eelgrassdyke-run: no\r\n"), "{response}");
    assert!(response.contains("connection: close\r\n"), "{response}");
    assert_eq!(response.matches("HTTP/1.1 4").count(), 1, "{response}");
}

#[test_case("POST / HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 3\r\n\r\nabc", 400; "two equal lengths")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabc", 400; "two lengths")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 3, 4\r\n\r\nabc", 400; "a list of lengths")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", 400; "length and chunks")]
#[test_case("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", 400; "chunked twice")]
#[test_case("POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400; "other encoding")]
#[test_case("POST / HTTP/1.1\r\ntransfer-encoding: identity\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n", 400; "identity hides a body")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: -3\r\n\r\nabc", 400; "negative length")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: +3\r\n\r\nabc", 400; "signed length")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 99999999999999999999999\r\n\r\n", 400; "length beyond numbers")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 200001\r\n\r\nabc", 413; "body over the limit")]
#[test_case("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffffff\r\n", 400; "chunk beyond numbers")]
#[test_case("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nfffffffffffffffe\r\nabc", 400; "chunk at the end of numbers")]
#[test_case("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", 400; "chunk without size")]
#[test_case("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabcdef\r\n", 400; "chunk longer than said")]
#[test_case("GET / HTTP/1.0\r\n\r\n", 400; "old version")]
#[test_case("CONNECT a:1 HTTP/1.1\r\n\r\n", 400; "connect")]
#[test_case("GET / HTTP/1.1\r\nexpect: miracles\r\n\r\n", 417; "unknown expectation")]
#[test_case("GET /\u{1} HTTP/1.1\r\n\r\n", 400; "control character in the path")]
#[test_case("GET / HTTP/1.1\r\nname with blanks: x\r\n\r\n", 400; "blanks in a name")]
#[test_case("GET / HTTP/1.1\r\n: x\r\n\r\n", 400; "no name")]
#[test_case("GET / HTTP/1.1\r\na: b\r\n folded\r\n\r\n", 400; "folded line")]
fn malformed_request_is_rejected(request: &str, status: u16) {
    let address = start(options());
    assert_rejected(&exchange(address, request.as_bytes()), status);
    assert_still_serving(address);
}

#[test]
fn too_many_header_fields_are_rejected() {
    let address = start(options());
    let request = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(97));
    assert_rejected(&exchange(address, request.as_bytes()), 400);
    assert_still_serving(address);
}

#[test_case(33_000; "over the limit")]
#[test_case(70_000; "over what the decoder can hold")]
#[test_case(1_000_000; "far over")]
fn oversized_head_is_rejected(length: usize) {
    let address = start(options());
    for head in [
        format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(length)),
        format!("GET / HTTP/1.1\r\n{}: y\r\n\r\n", "x".repeat(length)),
        format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(length)),
    ] {
        let response = exchange(address, head.as_bytes());
        // A caller that is still sending after the rejection may find the connection reset.
        assert!(
            response.is_empty() || response.starts_with("HTTP/1.1 431 "),
            "{response}"
        );
    }
    assert_still_serving(address);
}

#[test_case("content-length: 150000\r\n\r\n", ""; "fixed body")]
#[test_case("transfer-encoding: chunked\r\n\r\n249F0\r\n", "\r\n0\r\n\r\n"; "chunked body")]
fn oversized_header_name_after_a_body_is_rejected(length: &str, end: &str) {
    // The decoder panics on a name of 64 KiB, and bytes of the name may be read along with the
    // body.
    let address = start(options());
    let name = "x".repeat(70_000);
    let body = "b".repeat(150_000);
    let request = format!(
        "POST /first HTTP/1.1\r\n{length}{body}{end}GET /second HTTP/1.1\r\n{name}: y\r\n\r\n"
    );
    let response = exchange(address, request.as_bytes());
    assert!(!response.contains("GET 0"), "{response}");
    assert_still_serving(address);
}

#[test]
fn every_byte_in_a_header_name_is_served_or_rejected() {
    let address = start(options());
    for byte in 0..=255u8 {
        let mut request = b"GET / HTTP/1.1\r\nconnection: close\r\na".to_vec();
        request.push(byte);
        request.extend_from_slice(b"b: c\r\n\r\n");
        let response = exchange(address, &request);
        let served = response.starts_with("HTTP/1.1 200 ") || response.starts_with("HTTP/1.1 400 ");
        assert!(served, "byte {byte}: {response}");
    }
    assert_still_serving(address);
}

#[test]
fn random_bytes_are_rejected_or_the_connection_closed() {
    use rand::{RngExt as _, SeedableRng as _};

    let address = start(options());
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(11);
    for _ in 0..200 {
        let mut bytes = vec![0u8; rng.random_range(1..2000)];
        bytes.iter_mut().for_each(|byte| *byte = rng.random());
        if rng.random_bool(0.5) {
            bytes.extend_from_slice(b"\r\n\r\n");
        }
        let mut stream = connect(address);
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(Shutdown::Write);
        let response = read_to_close(stream);
        assert!(
            response.is_empty() || response.starts_with("HTTP/1.1 4"),
            "{response}"
        );
    }
    assert_still_serving(address);
}

#[test_case(b""; "says nothing")]
#[test_case(b"GET / HTT"; "half a head")]
#[test_case(b"POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nhalf"; "half a body")]
#[test_case(b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n4\r\nha"; "half a chunk")]
fn stalled_request_times_out(request_start: &[u8]) {
    let address = start(options());
    let response = exchange(address, request_start);
    match request_start.is_empty() {
        true => assert!(response.is_empty(), "{response}"),
        false => assert_rejected(&response, 408),
    }
    assert_still_serving(address);
}

#[test]
fn slow_sender_does_not_block_others() {
    let address = start(options());
    let mut slow = connect(address);
    slow.write_all(b"POST / HTTP/1.1\r\ncontent-").unwrap();
    assert_still_serving(address);
    let _ = slow.write_all(b"length: 2\r\n\r\n");
    assert_still_serving(address);
    // Whether the request is in time depends on the machine: it is served, rejected or closed.
    let _ = slow.write_all(b"ab");
    let _ = slow.shutdown(Shutdown::Write);
    let response = read_to_close(slow);
    let has_outcome = response.contains("POST 2") || response.contains("408");
    assert!(has_outcome || response.is_empty(), "{response}");
}

#[test]
fn half_closed_caller_receives_its_response() {
    let address = start(options());
    let mut stream = connect(address);
    stream
        .write_all(b"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nab")
        .unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    assert!(read_to_close(stream).ends_with("POST 2"));
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let address = start(options());
    let response = exchange(
        address,
        b"POST / HTTP/1.1\r\ncontent-length: 1\r\n\r\naGET / HTTP/1.1\r\n\r\n\
          POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n\
          PUT / HTTP/1.1\r\nconnection: close\r\n\r\n",
    );
    let positions: Vec<_> = ["POST 1", "GET 0", "POST 2", "PUT 0"]
        .iter()
        .map(|part| response.find(part).unwrap())
        .collect();
    assert!(positions.is_sorted(), "{response}");
}

#[test]
fn expect_continue_gets_an_interim_response() {
    let address = start(options());
    let mut stream = connect(address);
    stream
        .write_all(
            b"POST / HTTP/1.1\r\nconnection: close\r\nexpect: 100-continue\r\n\
              content-length: 2\r\n\r\n",
        )
        .unwrap();
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"ab").unwrap();
    assert!(read_to_close(stream).ends_with("POST 2"));
}

#[test]
fn expect_continue_with_an_oversized_body_is_rejected_before_it_is_sent() {
    let address = start(options());
    let request = b"POST / HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 200001\r\n\r\n";
    assert_rejected(&exchange(address, request), 413);
}

#[test]
fn head_request_receives_no_body() {
    let address = start(options());
    let response = exchange(
        address,
        b"HEAD / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\nconnection: close\r\n\r\n",
    );
    assert!(
        response.contains("content-length: 6\r\n\r\nHTTP/1.1 200"),
        "{response}"
    );
    assert!(response.ends_with("GET 0"), "{response}");
}

#[test_case("GET", "/nothing", "HTTP/1.1 204"; "no content")]
#[test_case("GET", "/empty-stream", "HTTP/1.1 204"; "streamed, no content")]
#[test_case("HEAD", "/stream", "HTTP/1.1 200"; "head of a stream")]
fn connection_is_reusable_after_a_response_without_body(method: &str, path: &str, status: &str) {
    let address = start(options());
    let mut stream = connect(address);
    write!(stream, "{method} {path} HTTP/1.1\r\n\r\n").unwrap();
    // Ends the stream, if the request has started one.
    exchange(address, b"GET /next HTTP/1.1\r\nconnection: close\r\n\r\n");
    stream
        .write_all(b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n")
        .unwrap();
    let response = read_to_close(stream);
    assert!(response.starts_with(status), "{response}");
    let (_, rest) = response.split_once("\r\n\r\n").unwrap();
    assert!(rest.starts_with("HTTP/1.1 200"), "{response}");
    assert!(rest.ends_with("GET 0"), "{response}");
}

/// Starts the server with at most two connections.
fn start_with_two_connections() -> SocketAddr {
    let options = Options {
        idle_timeout: TEST_TIMEOUT,
        ..options()
    };
    let intake = || {
        Intake::new(Limits {
            connections_max: 2,
            small_bytes_max: 1 << 20,
            large_bytes_max: 1 << 20,
        })
    };
    start_port(move || Port::new(options, intake()))
}

#[test]
fn connections_beyond_the_limit_are_closed_and_the_others_served() {
    let address = start_with_two_connections();
    let mut streams = [connect(address), connect(address)];
    for stream in &mut streams {
        // The response stays open, so the connections are in use.
        stream.write_all(b"GET /hold HTTP/1.1\r\n\r\n").unwrap();
        let mut response = [0; 12];
        stream.read_exact(&mut response).unwrap();
        assert_eq!(&response, b"HTTP/1.1 200");
    }
    assert_eq!(exchange(address, b"GET / HTTP/1.1\r\n\r\n"), "");
    assert!(streams.iter_mut().all(is_open));
}

/// Whether the server keeps a connection open, after what it has sent so far.
fn is_open(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(IDLE_TIMEOUT)).unwrap();
    let mut part = [0; 4096];
    loop {
        match stream.read(&mut part) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) => return is_timeout(&error),
        }
    }
}

/// Connections that sent nothing kept new ones out.
#[test]
fn longest_idle_connection_is_closed_for_a_new_one() {
    let address = start_with_two_connections();
    let mut streams = [connect(address), connect(address)];
    for stream in &mut streams {
        stream.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
        let mut response = [0; 12];
        stream.read_exact(&mut response).unwrap();
        assert_eq!(&response, b"HTTP/1.1 200");
    }
    assert_still_serving(address);
    assert_eq!(streams.each_mut().map(is_open), [false, true]);
}

/// Clients that only connect don't take the place of those that send requests.
#[test]
fn idle_connection_without_a_request_is_closed_first() {
    let address = start_with_two_connections();
    let mut served = connect(address);
    served.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    let mut response = [0; 12];
    served.read_exact(&mut response).unwrap();
    let mut silent = connect(address);
    std::thread::sleep(Duration::from_millis(50));
    assert_still_serving(address);
    assert_eq!([is_open(&mut served), is_open(&mut silent)], [true, false]);
}

#[test]
fn dropped_responder_closes_the_connection() {
    let address = start(options());
    assert_eq!(exchange(address, b"GET /drop HTTP/1.1\r\n\r\n"), "");
    assert_still_serving(address);
}

#[test]
fn first_token_is_sent_before_the_second_is_produced() {
    let address = start(options());
    let read = block_on(async move {
        let mut stream = Connection::open(address).await.unwrap();
        stream.send(client::Request::get("/stream")).await.unwrap();
        let mut response = stream.receive_response().await.unwrap();
        let first = response.next_part().await.unwrap().unwrap();

        // The second token is produced only now, after the first one was read.
        let mut other = Connection::open(address).await.unwrap();
        other.send(client::Request::get("/next")).await.unwrap();
        let next = other
            .receive_response()
            .await
            .unwrap()
            .read_to_end()
            .await
            .unwrap();
        assert_eq!(next, "next");
        (first, response.read_to_end().await.unwrap())
    });
    assert_eq!(read.unwrap(), ("token-0;".into(), "token-1;".into()));
}

#[test]
fn client_does_not_wait_for_the_body_of_a_head_response() {
    let address = start(options());
    let body = block_on(async move {
        let mut connection = Connection::open(address).await.unwrap();
        let mut request = client::Request::get("/");
        request.method = Method::HEAD;
        connection.send(request).await.unwrap();
        let mut response = connection.receive_response().await.unwrap();
        assert_eq!(response.headers["content-length"], "6");
        assert_eq!(response.read_to_end().await.unwrap(), "");
        connection.send(client::Request::get("/")).await.unwrap();
        connection
            .receive_response()
            .await
            .unwrap()
            .read_to_end()
            .await
            .unwrap()
    });
    assert_eq!(body.unwrap(), "GET 0");
}

/// Starts a server that sends a fixed response on each connection and closes it.
fn serve_fixed_response(response: &'static [u8]) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut request = [0; 1024];
            let _ = stream.read(&mut request);
            let _ = stream.write_all(response);
        }
    });
    address
}

#[test_case(b"HTTP/1.1 200 OK\r\n\r\nall of it", Some("all of it"); "until the close")]
#[test_case(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab", Some("ab"); "interim response")]
#[test_case(b"HTTP/1.1 204 No Content\r\n\r\n", Some(""); "no content")]
#[test_case(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ncut", None; "cut body")]
#[test_case(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\ncut\r\n", None; "cut chunks")]
#[test_case(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\ncutt", None; "two lengths")]
#[test_case(b"HTTP/1.1 101 Switching Protocols\r\n\r\n", None; "other protocol")]
#[test_case(b"HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nab", None; "status 000")]
#[test_case(b"HTTP/1.1 600 OK\r\ncontent-length: 2\r\n\r\nab", None; "status 600")]
#[test_case(b"rubbish\r\n\r\n", None; "rubbish")]
#[test_case(b"", None; "nothing")]
fn response_is_read_completely_or_fails(response: &'static [u8], body: Option<&str>) {
    let address = serve_fixed_response(response);
    let read = block_on(async move {
        let mut connection = Connection::open(address).await?;
        connection.send(client::Request::get("/")).await?;
        connection.receive_response().await?.read_to_end().await
    });
    let read = read.unwrap().ok();
    let body = body.map(|body| Bytes::copy_from_slice(body.as_bytes()));
    assert_eq!(read, body);
}
