//! The HTTP client, against a server that writes bytes as given: responses without length and chunks.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

use eelgrassdyke_node::http::client::{Connection, Request};
use eelgrassdyke_node::http::pool::Pool;
use eelgrassdyke_node::runtime::block_on;
use test_case::test_case;

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Close,
    /// Part of the request has arrived and is not read.
    Reset,
}

/// Accepts one connection, reads the start of a request, writes `parts` one after the other and ends the
/// connection.
fn serve(parts: Vec<Vec<u8>>, ending: Ending) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 16];
        let length = stream.read(&mut request).unwrap();
        assert!(length > 0);
        for part in parts {
            stream.write_all(&part).unwrap();
        }
        match ending {
            // Waits until bytes are there that nobody reads.
            Ending::Reset => assert!(stream.peek(&mut request).unwrap() > 0),
            Ending::Close => read_head(&mut stream, &request[..length]),
        }
    });
    (address, server)
}

/// Reads the rest of the head of a request without a body.
fn read_head(stream: &mut TcpStream, start: &[u8]) {
    let mut head = start.to_vec();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
}

/// Reads the body of one response to its end; none if the connection broke off.
fn read_response(address: SocketAddr, request: Request) -> Option<Vec<u8>> {
    let exchange = async {
        let mut connection = Connection::open(address).await.unwrap();
        connection.send(request).await.ok()?;
        let mut response = connection.receive_response().await.ok()?;
        assert!(!response.keeps_alive());
        let body = response.read_to_end().await.ok()?;
        Some(body.to_vec())
    };
    block_on(exchange).unwrap()
}

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

#[test]
fn response_without_length_ends_with_its_connection() {
    let body = vec![b'x'; 100_000];
    let together = vec![[HEAD, &body].concat()];
    let apart = vec![HEAD.to_vec(), body[..1].to_vec(), body[1..].to_vec()];
    for parts in [together, apart] {
        let (address, server) = serve(parts, Ending::Close);
        assert!(read_response(address, Request::get("/x")).as_ref() == Some(&body));
        server.join().unwrap();
    }
}

#[test]
fn response_without_length_is_broken_off_by_a_reset() {
    let parts = vec![HEAD.to_vec(), b"data: 1\n\n".to_vec()];
    let (address, server) = serve(parts, Ending::Reset);
    let request = Request::post("/x", vec![b'x'; 100_000]);
    assert_eq!(read_response(address, request), None);
    server.join().unwrap();
}

const WITH_LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\nresponse-seal: s\r\ncontent-length: 4\r\n\r\nbody";
const EMPTY: &[u8] = b"HTTP/1.1 200 OK\r\nresponse-seal: s\r\ncontent-length: 0\r\n\r\n";
const CHUNKED: &[u8] =
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
const STREAM: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

/// Guards against a response that its server cut off, in the head or later, and that counts as complete: after
/// every byte, on a new connection and on a kept one.
#[test_case(WITH_LENGTH, Ending::Close)]
#[test_case(WITH_LENGTH, Ending::Reset)]
#[test_case(EMPTY, Ending::Close)]
#[test_case(EMPTY, Ending::Reset)]
#[test_case(CHUNKED, Ending::Close)]
#[test_case(CHUNKED, Ending::Reset)]
#[test_case(STREAM, Ending::Close; "only the head, without a length")]
fn response_that_is_cut_off_is_not_complete(response: &'static [u8], ending: Ending) {
    for length in 0..response.len() {
        for is_kept in [false, true] {
            let (cut, start) = response[..length].split_at(length / 2);
            let parts = vec![cut.to_vec(), start.to_vec()];
            let (address, server) = match is_kept {
                true => serve_after_a_response(parts, ending),
                false => serve(parts, ending),
            };
            let got = read_second_response(address, is_kept);
            assert_eq!(got, None, "{length} bytes, kept connection: {is_kept}");
            server.join().unwrap();
        }
    }
}

/// The same on a connection on which another response precedes it.
fn serve_after_a_response(parts: Vec<Vec<u8>>, ending: Ending) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_head(&mut stream, &[]);
        stream.write_all(WITH_LENGTH).unwrap();
        match ending {
            Ending::Close => read_head(&mut stream, &[]),
            Ending::Reset => stream.read_exact(&mut [0; 16]).unwrap(),
        }
        for part in parts {
            stream.write_all(&part).unwrap();
        }
        if ending == Ending::Reset {
            assert!(stream.peek(&mut [0]).unwrap() > 0);
        }
    });
    (address, server)
}

/// Sends a request, after another one that gets a whole response if `is_kept`; none if the connection broke
/// off.
fn read_second_response(address: SocketAddr, is_kept: bool) -> Option<Vec<u8>> {
    let exchange = async {
        let mut connection = Connection::open(address).await.unwrap();
        if is_kept {
            connection.send(Request::get("/first")).await.unwrap();
            let mut response = connection.receive_response().await.unwrap();
            assert_eq!(&response.read_to_end().await.unwrap()[..], b"body");
        }
        connection.send(Request::get("/second")).await.ok()?;
        let mut response = connection.receive_response().await.ok()?;
        Some(response.read_to_end().await.ok()?.to_vec())
    };
    block_on(exchange).unwrap()
}

/// Connections to servers that are gone are neither wanted nor returned again. They stayed open until the process
/// had no descriptor left.
#[test]
fn idle_connections_are_closed_without_further_calls() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1024];
        assert!(stream.read(&mut request).unwrap() > 0);
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: timeout=1\r\n\r\nok";
        stream.write_all(response).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        stream.read(&mut request).unwrap()
    });
    block_on(async move {
        let pool = Rc::new(Pool::default());
        let closing = pool.clone();
        monoio::spawn(async move { closing.close_expired().await });
        let request = Request::get("/x");
        assert!(
            pool.call(address, request, Duration::from_secs(1))
                .await
                .is_ok()
        );
        let mut is_closed = false;
        for _ in 0..40 {
            monoio::time::sleep(Duration::from_millis(100)).await;
            is_closed = server.is_finished();
            if is_closed {
                break;
            }
        }
        assert!(is_closed, "the connection was not closed");
        assert_eq!(server.join().unwrap(), 0);
    })
    .unwrap();
}
