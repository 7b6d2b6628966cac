//! Bodies of many requests and responses together stay within the memory of a process.

use std::cell::{Cell, RefCell};
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_node::http::budget::{Budget, SMALL_BODY_BYTES};
use eelgrassdyke_node::http::client::{Connection, Request};
use eelgrassdyke_node::http::intake::{Intake, Limits};
use eelgrassdyke_node::http::server::{self, Handler, Options, Port, Responder, Unwritten};
use eelgrassdyke_node::http::write::STALL_MAX;
use eelgrassdyke_node::runtime::block_on;
use futures_util::FutureExt as _;
use futures_util::future::join_all;
use http::{HeaderMap, StatusCode};
use test_case::test_case;

/// Time limit that keeps a failing test from hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

const BUDGET_BYTES: usize = 2 << 20;

/// Limit on one body.
const BODY_BYTES_MAX: usize = 1 << 20;

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

#[test]
fn permits_go_to_the_peers_in_turn() {
    let order = block_on(async {
        let budget = Budget::new(100);
        let first = budget.acquire(peer(1), 100).await;
        let order = Rc::new(RefCell::new(Vec::new()));
        // Three bodies of one server wait before one of another.
        let waiting = [1, 1, 1, 2].map(|number| {
            let (budget, order) = (budget.clone(), order.clone());
            async move {
                let _permit = budget.acquire(peer(number), 80).await;
                order.borrow_mut().push(number);
                monoio::time::sleep(Duration::from_millis(1)).await;
            }
        });
        let release = async {
            monoio::time::sleep(Duration::from_millis(5)).await;
            drop(first);
        };
        futures_util::future::join(join_all(waiting), release).await;
        assert_eq!(budget.used_bytes(), 0);
        order.take()
    });
    assert_eq!(order.unwrap(), [1, 2, 1, 1]);
}

#[test]
fn body_that_no_longer_waits_takes_no_permit() {
    block_on(async {
        let budget = Budget::new(100);
        let first = budget.acquire(peer(1), 100).await;
        assert!(budget.acquire(peer(2), 100).now_or_never().is_none());
        let mut last = Box::pin(budget.acquire(peer(3), 1000));
        assert!(last.as_mut().now_or_never().is_none());
        drop(first);
        // More than the budget has is all of it.
        let last = last.await;
        assert_eq!(budget.used_bytes(), 100);
        drop(last);
        assert_eq!(budget.used_bytes(), 0);
    })
    .unwrap();
}

/// Starts a server on a thread of its own, which ends with the test process.
fn start_server(server: impl FnOnce() -> (Port, Handler) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        block_on(async move {
            listener.set_nonblocking(true).unwrap();
            let listener = monoio::net::TcpListener::from_std(listener).unwrap();
            let (port, handler) = server();
            server::serve_port(listener, port, handler).await;
        })
        .unwrap();
    });
    address
}

/// A port with the memory of the tests.
fn port(options: Options) -> Port {
    let intake = Intake::new(Limits {
        connections_max: 64,
        small_bytes_max: BUDGET_BYTES,
        large_bytes_max: BUDGET_BYTES,
    });
    Port::new(options, intake)
}

/// Accepts connections and answers each request with `start` and then `repeated`, again and again.
fn serve_endless(start: &'static str, repeated: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            std::thread::spawn(move || {
                let mut request = [0; 1024];
                let _ = stream.read(&mut request);
                let block = repeated.repeat(64_000 / repeated.len());
                let _ = stream.write_all(start.as_bytes());
                while stream.write_all(block.as_bytes()).is_ok() {}
            });
        }
    });
    address
}

/// Answers one request; the head and the rest of the response arrive apart if it `pauses`.
fn serve_once(response: &'static str, pauses: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1024];
        let _ = stream.read(&mut request);
        let head_bytes = response.find("\r\n\r\n").unwrap() + 4;
        let (head, body) = response.split_at(head_bytes);
        let _ = stream.write_all(head.as_bytes());
        if pauses {
            std::thread::sleep(Duration::from_millis(50));
        }
        let _ = stream.write_all(body.as_bytes());
        // Until the client closes.
        let _ = stream.read(&mut request);
    });
    address
}

async fn fetch(address: SocketAddr, budget: &Rc<Budget>) -> Option<usize> {
    let mut connection = Connection::open(address).await.ok()?;
    connection.limit_parts(BODY_BYTES_MAX);
    connection.charge_to(budget.clone(), address);
    connection.send(Request::get("/x")).await.ok()?;
    let mut response = connection.receive_response().await.ok()?;
    let body = response.read_to_end().await.ok()?;
    Some(body.len())
}

/// An entry kept 8 MiB of each body that did not end, and ran out of memory.
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "5\r\nabcde\r\n"; "in chunks")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffff\r\n", "x"; "in one chunk")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 900000\r\n\r\n", "x"; "with a length")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "x"; "until the connection closes")]
fn bodies_of_many_responses_wait_for_memory(start: &'static str, repeated: &'static str) {
    let endless = serve_endless(start, repeated);
    let sound = serve_once("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", false);
    let exchanges = async move {
        let budget = Budget::new(BUDGET_BYTES);
        // While others hold all memory, small bodies are read and large ones wait.
        let held = budget.acquire(peer(1), BUDGET_BYTES).await;
        let most = Rc::new(Cell::new(0));
        let ended = Rc::new(Cell::new(0));
        for _ in 0..24 {
            let (budget, ended) = (budget.clone(), ended.clone());
            monoio::spawn(async move {
                fetch(endless, &budget).await;
                ended.set(ended.get() + 1);
            });
        }
        let watching = async {
            while ended.get() < 24 {
                most.set(most.get().max(budget.used_bytes()));
                monoio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        let small = async {
            monoio::time::sleep(Duration::from_millis(300)).await;
            let fetched = fetch(sound, &budget).await;
            let ended_before = ended.get();
            drop(held);
            (fetched, ended_before)
        };
        let both = futures_util::future::join(watching, small);
        let ((), (fetched, ended_before)) = monoio::time::timeout(TEST_TIMEOUT, both)
            .await
            .expect("all end");
        (fetched, ended_before, most.get(), budget.used_bytes())
    };
    let (fetched, ended_before, most, left) = block_on(exchanges).unwrap();
    assert_eq!(fetched, Some(2));
    assert_eq!(ended_before, 0, "a large body was read without a permit");
    assert!(most <= BUDGET_BYTES, "{most} bytes at a time");
    assert_eq!(left, 0);
}

/// The decoder read the size of a chunk from its first byte again whenever more of it arrived.
#[test_case("", "0", 4096; "the size of a chunk")]
#[test_case("5;", "x", 4096; "an extension of a chunk")]
#[test_case("0\r\n", "a: b\r\n", 20_000; "trailers")]
#[test_case("5\r\nabcde\r\n2", "0", 4096; "the size of a later chunk")]
fn framing_that_is_too_long_is_broken_off_at_once(start: &str, repeated: &str, count: usize) {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let response = format!("{head}{start}{}", repeated.repeat(count)).leak();
    for pauses in [false, true] {
        let address = serve_once(response, pauses);
        let exchange = async move {
            let budget = Budget::new(BUDGET_BYTES);
            monoio::time::timeout(Duration::from_secs(5), fetch(address, &budget)).await
        };
        let outcome = block_on(exchange).unwrap();
        assert_eq!(outcome.expect("broken off"), None);
    }
}

/// Chunks of any size, in reads of any size, are followed to their end.
#[test]
fn chunked_bodies_are_read_as_before() {
    for size in [1, 15, 16, 255, 4095, 70_000] {
        let chunk = format!("{size:X};name=value\r\n{}\r\n", "x".repeat(size));
        let response = format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}0\r\n\r\n",
            chunk.replace(";name=value", "").repeat(3)
        );
        let address = serve_once(response.leak(), true);
        let fetched = block_on(async move {
            let budget = Budget::new(BUDGET_BYTES);
            fetch(address, &budget).await
        });
        assert_eq!(fetched.unwrap(), Some(3 * size));
    }
}

/// Callers whose bodies are large wait before they are read, and small ones don't wait for them.
#[test]
fn bodies_of_many_requests_wait_for_memory() {
    let (sender, receiver) = std::sync::mpsc::channel();
    let address = start_server(move || {
        let open = Rc::new(Cell::new(0));
        let handler: Handler = Rc::new(move |request, responder: Responder| {
            let (open, sender) = (open.clone(), sender.clone());
            let length = request.body.len();
            if length > SMALL_BODY_BYTES {
                open.set(open.get() + 1);
            }
            monoio::spawn(async move {
                monoio::time::sleep(Duration::from_millis(20)).await;
                sender.send((length, open.get())).unwrap();
                if length > SMALL_BODY_BYTES {
                    open.set(open.get() - 1);
                }
                responder.respond(StatusCode::OK, HeaderMap::new(), "done");
            });
        });
        let options = Options {
            body_bytes_max: BODY_BYTES_MAX,
            ..Options::default()
        };
        (port(options), handler)
    });
    let mut threads = Vec::new();
    for number in 0..13 {
        let length = if number == 12 { 10 } else { BODY_BYTES_MAX };
        threads.push(std::thread::spawn(move || {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
            let head = format!("POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(&vec![b'x'; length]).unwrap();
            let mut response = [0; 1024];
            let count = stream.read(&mut response).unwrap();
            assert!(response[..count].starts_with(b"HTTP/1.1 200"));
        }));
    }
    for thread in threads {
        thread.join().unwrap();
    }
    let handled: Vec<(usize, usize)> = receiver.try_iter().collect();
    assert_eq!(handled.len(), 13);
    assert!(
        handled
            .iter()
            .all(|(_, open)| *open <= BUDGET_BYTES / BODY_BYTES_MAX),
        "{handled:?}"
    );
    let small = handled.iter().position(|(length, _)| *length == 10);
    assert!(small.is_some_and(|at| at < 12), "the small body came last");
}

/// Answers each request with the length of its body.
fn serve_lengths() -> SocketAddr {
    start_server(move || {
        let handler: Handler = Rc::new(|request, responder: Responder| {
            let length = request.body.len().to_string();
            responder.respond(StatusCode::OK, HeaderMap::new(), length);
        });
        let options = Options {
            body_bytes_max: BODY_BYTES_MAX,
            ..Options::default()
        };
        (port(options), handler)
    })
}

/// A few callers that sent the size of a chunk without end kept an entry from all other requests.
#[test_case("", "0"; "the size of a chunk")]
#[test_case("5;", "x"; "an extension of a chunk")]
#[test_case("0\r\n", "a: b\r\n"; "trailers")]
#[test_case("5\r\nabcde\r\n2", "0"; "the size of a later chunk")]
fn requests_whose_framing_is_too_long_are_refused_at_once(start: &str, repeated: &str) {
    let head = "POST /x HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    let earlier = [
        "",
        "GET /x HTTP/1.1\r\nhost: x\r\n\r\n",
        "POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\n\r\n\r\n",
        "POST /x HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
    ];
    for earlier in earlier {
        let mut stream = TcpStream::connect(serve_lengths()).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        // Less than the limit on a body, so that only the framing is at fault.
        let body = format!("{start}{}", repeated.repeat(60_000 / repeated.len()));
        stream
            .write_all(format!("{earlier}{head}{body}").as_bytes())
            .unwrap();
        let mut responses = Vec::new();
        let mut part = [0; 4096];
        while let Ok(count @ 1..) = stream.read(&mut part) {
            responses.extend_from_slice(&part[..count]);
        }
        let responses = String::from_utf8_lossy(&responses);
        let refused = responses.matches("HTTP/1.1 400").count();
        let answered = responses.matches("HTTP/1.1 200").count();
        assert_eq!(
            (refused, answered),
            (1, usize::from(!earlier.is_empty())),
            "{responses}"
        );
    }
}

/// Requests of all kinds follow each other on one connection, in writes of any size.
#[test]
fn sound_requests_of_one_connection_are_all_read() {
    let chunked = |sizes: &[usize]| {
        let mut text =
            "POST /x HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
        for size in sizes {
            text.push_str(&format!("{size:x}\r\n{}\r\n", "y".repeat(*size)));
        }
        text + "0\r\n\r\n"
    };
    let fixed = |length: usize| {
        let body = "\r\n".repeat(length / 2);
        format!("POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}")
    };
    let requests = [
        (fixed(0), 0),
        (chunked(&[1, 16, 70_000]), 70_017),
        ("GET /x HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(), 0),
        (fixed(40_000), 40_000),
        (chunked(&[]), 0),
        (chunked(&[255; 300]), 255 * 300),
        ("\r\nGET /x HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(), 0),
        (fixed(6), 6),
    ];
    for write_bytes in [7, 1000, 50_000, 1 << 20] {
        let mut stream = TcpStream::connect(serve_lengths()).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        let mut reader = stream.try_clone().unwrap();
        let all: String = requests.iter().map(|(text, _)| text.as_str()).collect();
        let writer = std::thread::spawn(move || {
            for part in all.as_bytes().chunks(write_bytes) {
                stream.write_all(part).unwrap();
            }
            stream
        });
        let expected: Vec<String> = requests
            .iter()
            .map(|(_, length)| length.to_string())
            .collect();
        let mut received = String::new();
        let mut part = [0; 4096];
        let bodies = |text: &str| -> Vec<String> {
            let responses = text.split("HTTP/1.1 200 OK").skip(1);
            let body = |response: &str| response.split_once("\r\n\r\n").map(|(_, b)| b.to_owned());
            responses
                .filter_map(body)
                .filter(|body| !body.is_empty())
                .collect()
        };
        while bodies(&received).len() < expected.len() {
            let count = reader.read(&mut part).unwrap();
            assert!(count > 0, "closed after {received}");
            received.push_str(std::str::from_utf8(&part[..count]).unwrap());
        }
        assert_eq!(bodies(&received), expected, "writes of {write_bytes} bytes");
        drop(writer.join().unwrap());
    }
}

/// A caller that doesn't read its response must not keep the memory from the responses of others.
#[test]
fn response_that_its_caller_does_not_read_is_broken_off() {
    let (sender, receiver) = std::sync::mpsc::channel();
    let address = start_server(move || {
        let budget = Budget::new(BUDGET_BYTES);
        let handler: Handler = Rc::new(move |request, responder: Responder| {
            let (budget, sender) = (budget.clone(), sender.clone());
            monoio::spawn(async move {
                let permit = budget.acquire(request.peer, BUDGET_BYTES).await;
                responder.hold(Some(permit));
                // More than the buffers of the sockets hold.
                responder.respond(StatusCode::OK, HeaderMap::new(), vec![b'x'; 64 << 20]);
                sender.send(()).unwrap();
            });
        });
        (port(Options::default()), handler)
    });
    let request = b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut silent = TcpStream::connect(address).unwrap();
    silent.write_all(request).unwrap();
    receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    let mut reading = TcpStream::connect(address).unwrap();
    reading.write_all(request).unwrap();
    reading.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    // The second response waits for the memory of the first one, and is complete.
    let mut received = 0;
    let mut part = vec![0; 1 << 20];
    while received < 64 << 20 {
        let count = reading.read(&mut part).unwrap();
        assert!(count > 0, "closed after {received} bytes");
        received += count;
    }
    drop(silent);
}

/// The unsent parts of streams had a limit each, but none together.
#[test]
fn streams_that_are_not_read_share_the_memory() {
    const PIECE_BYTES: usize = 16 << 10;
    const CALLERS: usize = 8;
    let (sender, receiver) = std::sync::mpsc::channel();
    let address = start_server(move || {
        let unwritten = Unwritten::new(BUDGET_BYTES);
        let most = Rc::new(Cell::new(0));
        let counter = unwritten.clone();
        let handler: Handler = Rc::new(move |request, responder: Responder| {
            let (most, counter, sender) = (most.clone(), counter.clone(), sender.clone());
            // More than the buffers of the sockets hold; a caller that reads can keep up.
            let pieces = match request.uri.path() {
                "/long" => 2000,
                _ => 20,
            };
            monoio::spawn(async move {
                responder.start_stream(StatusCode::OK, HeaderMap::new());
                for _ in 0..pieces {
                    responder.send_data(vec![b'x'; PIECE_BYTES].into());
                    most.set(most.get().max(counter.unsent_bytes()));
                    monoio::time::sleep(Duration::from_millis(1)).await;
                }
                responder.end_stream();
                monoio::time::sleep(Duration::from_millis(100)).await;
                sender.send((most.get(), counter.unsent_bytes())).unwrap();
            });
        });
        let mut port = port(Options::default());
        port.unwritten = unwritten;
        (port, handler)
    });
    let open = |path: &str| {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).unwrap();
        stream
    };
    let silent: Vec<TcpStream> = (0..CALLERS).map(|_| open("/long")).collect();
    for _ in 0..CALLERS {
        receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    }
    let mut received = Vec::new();
    open("/short").read_to_end(&mut received).unwrap();
    assert!(received.ends_with(b"0\r\n\r\n"), "broken off");
    let (most, left) = receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    let free = CALLERS * (SMALL_BODY_BYTES + PIECE_BYTES);
    assert!(most <= BUDGET_BYTES + free, "{most} bytes at a time");
    drop(silent);
    assert_eq!(left, 0);
}

/// A caller that sent requests and read no response kept its connection for good.
#[test]
fn caller_that_reads_no_response_is_disconnected() {
    const RESPONSES: usize = 400;
    const RESPONSE_BYTES: usize = 60_000;
    let address = start_server(move || {
        let handler: Handler = Rc::new(|_, responder: Responder| {
            responder.respond(StatusCode::OK, HeaderMap::new(), vec![b'x'; RESPONSE_BYTES]);
        });
        (port(Options::default()), handler)
    });
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let requests = "GET /x HTTP/1.1\r\nhost: x\r\n\r\n".repeat(RESPONSES);
    stream.write_all(requests.as_bytes()).unwrap();
    std::thread::sleep(STALL_MAX + Duration::from_secs(1));
    let mut received = 0;
    let mut part = vec![0; 1 << 20];
    while let Ok(count @ 1..) = stream.read(&mut part) {
        received += count;
    }
    assert!(received < RESPONSES * RESPONSE_BYTES, "{received} bytes");
}
