//! What the connections of a port may hold together, and which of them are closed for others.

use std::cell::RefCell;
use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use eelgrassdyke_core::settings::LimitSettings;
use eelgrassdyke_node::http::budget::Budget;
use eelgrassdyke_node::http::intake::{Intake, Limits};
use eelgrassdyke_node::http::server::{
    self, BodyTerms, Handler, MEMORY_WAIT_MAX, Options, Port, Responder,
};
use eelgrassdyke_node::runtime::block_on;
use eelgrassdyke_node::shares::{self, Shares};
use futures_util::FutureExt as _;
use http::{HeaderMap, StatusCode};
use monoio::net::TcpListener;
use test_case::test_case;

/// Time limit that keeps a failing test from hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Memory of large requests, enough for one of them.
const LARGE_BYTES: usize = 1 << 20;

/// Memory of small requests, enough for two heads of more than 4 KiB.
const SMALL_BYTES: usize = 128 << 10;

/// Time limit of a request, so long that it decides no test.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A server that answers with the length of the body, but `/hold` only when the test ends; also sends the bytes
/// that requests held after each one.
fn start() -> (SocketAddr, mpsc::Receiver<usize>) {
    start_with(IDLE_TIMEOUT)
}

/// The same with a limit on the time for which bodies wait for memory.
fn start_with(wait_max: Duration) -> (SocketAddr, mpsc::Receiver<usize>) {
    let (sender, receiver) = mpsc::channel();
    let (used_sender, used) = mpsc::channel();
    std::thread::spawn(move || {
        let result = block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            let intake = Intake::new(Limits {
                connections_max: 64,
                small_bytes_max: SMALL_BYTES,
                large_bytes_max: LARGE_BYTES,
            });
            let held = RefCell::new(Vec::new());
            let used_bytes = intake.clone();
            let handler: Handler = Rc::new(move |request, responder: Responder| {
                if request.uri.path() == "/hold" {
                    held.borrow_mut().push(responder);
                } else {
                    let length = request.body.len().to_string();
                    responder.respond(StatusCode::OK, HeaderMap::new(), length);
                }
                let (intake, used_sender) = (used_bytes.clone(), used_sender.clone());
                monoio::spawn(async move {
                    monoio::time::sleep(Duration::from_millis(50)).await;
                    let _ = used_sender.send(intake.used_bytes());
                });
            });
            let options = Options {
                idle_timeout: IDLE_TIMEOUT,
                body_bytes_max: LARGE_BYTES,
                ..Options::default()
            };
            let mut port = Port::new(options, intake);
            port.body_policy = Rc::new(move |_: &HeaderMap| BodyTerms {
                bytes_max: LARGE_BYTES,
                wait_max,
            });
            server::serve_port(listener, port, handler).await;
        });
        result.unwrap();
    });
    (receiver.recv().unwrap(), used)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

fn head(path: &str, length: usize) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n").into_bytes()
}

/// Sends a whole request with a body of this length.
fn send(stream: &mut TcpStream, path: &str, length: usize) {
    stream.write_all(&head(path, length)).unwrap();
    let _ = stream.write_all(&vec![b'x'; length]);
}

/// The first bytes of a response.
fn response(stream: &mut TcpStream) -> String {
    let mut part = [0; 4096];
    let count = stream.read(&mut part).unwrap();
    String::from_utf8_lossy(&part[..count]).into_owned()
}

/// A body that had stopped kept all others from the memory until its time limit.
#[test_case(&head("/x", LARGE_BYTES), &[b'x'; 100_000]; "with a length")]
#[test_case(b"POST /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", &chunks(); "in chunks")]
fn stalled_request_is_closed_for_one_that_waits(head: &[u8], body: &[u8]) {
    let (address, _used) = start();
    let mut stalled = connect(address);
    stalled.write_all(&[head, body].concat()).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    let mut waiting = connect(address);
    send(&mut waiting, "/x", 600_000);
    assert!(response(&mut waiting).starts_with("HTTP/1.1 200"));
    let refusal = response(&mut stalled);
    assert!(refusal.starts_with("HTTP/1.1 408"), "{refusal}");
    assert!(refusal.contains("eelgrassdyke-run: no"), "{refusal}");
}

/// Chunks that take more than half of the memory and end within another chunk.
fn chunks() -> Vec<u8> {
    [
        b"80000\r\n".as_slice(),
        &[b'x'; 0x80000],
        b"\r\n80000\r\nxx",
    ]
    .concat()
}

#[test]
fn request_that_makes_progress_is_not_closed() {
    let (address, _used) = start();
    let mut slow = connect(address);
    slow.write_all(&head("/x", 900_000)).unwrap();
    let sender = std::thread::spawn(move || {
        for _ in 0..9 {
            slow.write_all(&[b'x'; 100_000]).unwrap();
            std::thread::sleep(Duration::from_millis(40));
        }
        response(&mut slow)
    });
    std::thread::sleep(Duration::from_millis(20));
    let mut waiting = connect(address);
    send(&mut waiting, "/x", 900_000);
    assert!(response(&mut waiting).starts_with("HTTP/1.1 200"));
    assert!(sender.join().unwrap().starts_with("HTTP/1.1 200"));
}

/// What waits for memory in vain is told that it has not run, and when to return.
#[test]
fn request_without_memory_is_refused_and_the_running_one_is_kept() {
    let (address, _used) = start_with(MEMORY_WAIT_MAX);
    let mut running = connect(address);
    send(&mut running, "/hold", LARGE_BYTES);
    std::thread::sleep(Duration::from_millis(200));
    let mut waiting = connect(address);
    send(&mut waiting, "/x", LARGE_BYTES);
    let refusal = response(&mut waiting);
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(refusal.contains("retry-after: 1"), "{refusal}");
    assert!(refusal.contains("eelgrassdyke-run: no"), "{refusal}");
    // Small requests don't wait for the memory of large ones.
    let mut small = connect(address);
    send(&mut small, "/x", 60_000);
    assert!(response(&mut small).starts_with("HTTP/1.1 200"));
    running.set_nonblocking(true).unwrap();
    let kept = running.read(&mut [0]).unwrap_err();
    assert_eq!(kept.kind(), ErrorKind::WouldBlock);
}

/// Heads that don't end held memory that was not counted.
#[test]
fn large_heads_share_the_memory_of_small_requests() {
    let (address, _used) = start();
    let unended = [b"GET /x HTTP/1.1\r\nx: ".as_slice(), &[b'x'; 10_000]].concat();
    let mut stalled: Vec<TcpStream> = (0..2).map(|_| connect(address)).collect();
    for stream in &mut stalled {
        stream.write_all(&unended).unwrap();
    }
    std::thread::sleep(Duration::from_millis(100));
    let mut third = connect(address);
    third
        .write_all(&[&unended, b"\r\n\r\n".as_slice()].concat())
        .unwrap();
    assert!(response(&mut third).starts_with("HTTP/1.1 200"));
    assert!(response(&mut stalled[0]).starts_with("HTTP/1.1 408"));
}

/// Connections whose request is being answered can't be closed for others, so what they send ahead must not take their
/// memory.
#[test]
fn head_that_is_sent_ahead_waits_for_the_answer() {
    let (address, _used) = start();
    let ahead = [
        b"GET /hold HTTP/1.1\r\nhost: x\r\n\r\nGET /x HTTP/1.1\r\nx: ".as_slice(),
        &[b'x'; 10_000],
    ]
    .concat();
    let mut answering: Vec<TcpStream> = (0..3).map(|_| connect(address)).collect();
    for stream in &mut answering {
        stream.write_all(&ahead).unwrap();
    }
    std::thread::sleep(Duration::from_millis(100));
    let mut other = connect(address);
    let large_head = [b"GET /x HTTP/1.1\r\nx: ".as_slice(), &[b'x'; 10_000]].concat();
    other
        .write_all(&[&large_head, b"\r\n\r\n".as_slice()].concat())
        .unwrap();
    assert!(response(&mut other).starts_with("HTTP/1.1 200"));
    for stream in &mut answering {
        stream.set_nonblocking(true).unwrap();
        let kept = stream.read(&mut [0]).unwrap_err();
        assert_eq!(kept.kind(), ErrorKind::WouldBlock);
    }
}

/// A large head that was sent ahead is read after the answer.
#[test]
fn large_heads_follow_each_other() {
    let (address, _used) = start();
    let large_head = [
        b"GET /x HTTP/1.1\r\nx: ".as_slice(),
        &[b'x'; 10_000],
        b"\r\n\r\n",
    ]
    .concat();
    let mut stream = connect(address);
    stream.write_all(&large_head.repeat(5)).unwrap();
    let mut answers = String::new();
    while answers.matches("HTTP/1.1 200").count() < 5 {
        answers += &response(&mut stream);
    }
}

/// Nothing is left of requests that were answered, refused or broken off.
#[test]
fn memory_of_requests_is_returned() {
    let (address, used) = start();
    for length in [10, 4000, 5000, 60_000, 70_000, LARGE_BYTES] {
        let mut stream = connect(address);
        send(&mut stream, "/x", length);
        assert!(response(&mut stream).starts_with("HTTP/1.1 200"));
        let chunk = [format!("{length:x}\r\n").into_bytes(), vec![b'x'; length]].concat();
        let chunked = b"POST /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
        stream
            .write_all(&[chunked.as_slice(), &chunk, b"\r\n0\r\n\r\n"].concat())
            .unwrap();
        assert!(response(&mut stream).starts_with("HTTP/1.1 200"));
        let mut broken_off = connect(address);
        broken_off.write_all(&head("/x", length)).unwrap();
        broken_off.write_all(&vec![b'x'; length / 2]).unwrap();
        drop(broken_off);
        assert_eq!(used.recv_timeout(TEST_TIMEOUT), Ok(0));
        assert_eq!(used.recv_timeout(TEST_TIMEOUT), Ok(0));
    }
}

/// Bodies that waited and were given up stayed in the queue as long as the memory was used.
#[test]
fn smaller_bodies_come_first_and_those_given_up_leave_the_queue() {
    block_on(async {
        let peer = SocketAddr::from(([10, 0, 0, 1], 1));
        let budget = Budget::new(100);
        let first = budget.acquire(peer, 60).await;
        let mut large = Box::pin(budget.acquire(peer, 90));
        assert!(large.as_mut().now_or_never().is_none());
        // Fits beside the first one, though a larger one waits.
        let small = budget.acquire(peer, 30).now_or_never().expect("granted");
        for _ in 0..1000 {
            assert!(budget.acquire(peer, 20).now_or_never().is_none());
        }
        assert_eq!(budget.waiting(), 1);
        drop((first, small));
        drop(large.await);
        assert_eq!((budget.waiting(), budget.used_bytes()), (0, 0));
    })
    .unwrap();
}

/// All ports of a process together leave memory and descriptors to the rest of it.
#[test_case(32, 256; "small")]
#[test_case(260, 4100; "usual")]
#[test_case(4096, 65_536; "large")]
fn shares_of_all_ports_fit_into_the_process(memory_mb: u64, descriptors: usize) {
    let shares = Shares::new(&LimitSettings {
        memory_mb,
        descriptors: Some(descriptors),
        connections: usize::MAX,
        ..LimitSettings::default()
    });
    use shares::Port::{Main, Pages, Peers};
    let limits = [Main, Peers, Pages, Pages].map(|port| shares.limits(port));
    let memory = |limits: &Limits| limits.small_bytes_max + limits.large_bytes_max;
    let permits: usize = limits.iter().map(memory).sum();
    let connections: usize = limits.iter().map(|limits| limits.connections_max).sum();
    let responses = shares.responses().bytes_max() + shares.unsent_bytes_max();
    let total = permits + responses + connections * (64 << 10);
    assert!(total <= (memory_mb as usize) << 20, "{total}");
    assert!(connections <= descriptors * 3 / 4, "{connections}");
}
