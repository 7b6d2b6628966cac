//! Requests whose bytes waited while the host was frozen, until after the peer had given up.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use eelgrassdyke_node::http::server::{self, Handler, Options};
use eelgrassdyke_node::runtime::block_on;
use http::{HeaderMap, StatusCode};
use test_case::test_case;

const REQUEST: &[u8] = b"POST /order HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";

/// Time limit that keeps a failing test from hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Serves the connections of `listener` on a thread of its own; sends whether the peer of each request
/// had closed its sending side.
fn serve(listener: TcpListener, options: Options) -> mpsc::Receiver<bool> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let result = block_on(async move {
            listener.set_nonblocking(true).unwrap();
            let listener = monoio::net::TcpListener::from_std(listener).unwrap();
            let handler: Handler = Rc::new(move |_, responder: server::Responder| {
                sender.send(responder.is_peer_closed()).unwrap();
                responder.respond(StatusCode::OK, HeaderMap::new(), "done");
            });
            server::serve(listener, options, handler).await;
        });
        result.unwrap();
    });
    receiver
}

/// What a peer does after it has sent its request, before the server handles it.
#[derive(Clone, Copy, PartialEq)]
enum Peer {
    Waits,
    HalfCloses,
    Closes,
}

/// An order without a version must not be carried out after its sender has given up, since it may have
/// been withdrawn. The bytes are in the socket before the server accepts the connection, as when its
/// host was frozen.
#[test_case(Peer::Waits, false)]
#[test_case(Peer::HalfCloses, true)]
#[test_case(Peer::Closes, true)]
fn handler_learns_whether_the_peer_has_closed(peer: Peer, is_closed: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    stream.write_all(REQUEST).unwrap();
    let kept = match peer {
        Peer::Waits => Some(stream),
        Peer::HalfCloses => {
            stream.shutdown(Shutdown::Write).unwrap();
            Some(stream)
        }
        Peer::Closes => {
            drop(stream);
            None
        }
    };
    let closed = serve(listener, Options::default());
    assert_eq!(closed.recv_timeout(TEST_TIMEOUT), Ok(is_closed));
    drop(kept);
}

/// A second request on the same connection is handed over after the first response; it must not count
/// as closed because the connection was idle, nor as open because the first request was.
#[test]
fn each_request_of_a_connection_is_checked_anew() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let closed = serve(listener, Options::default());
    for _ in 0..2 {
        stream.write_all(REQUEST).unwrap();
        assert_eq!(closed.recv_timeout(TEST_TIMEOUT), Ok(false));
        let mut response = [0; 1024];
        let length = stream.read(&mut response).unwrap();
        assert!(response[..length].ends_with(b"done"));
    }
    let pipelined = [REQUEST, REQUEST].concat();
    stream.write_all(&pipelined).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let checks: Vec<_> = (0..2)
        .map(|_| closed.recv_timeout(TEST_TIMEOUT).unwrap())
        .collect();
    assert!(checks[1], "the last request is followed by the end");
}

/// A peer that half-closes its connection still reads a response that is ready at once, whatever the
/// port does about requests that take longer.
#[test_case(false)]
#[test_case(true)]
fn response_that_is_ready_is_sent_to_a_half_closed_peer(cancel_on_close: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(REQUEST).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let options = Options {
        cancel_on_close,
        ..Options::default()
    };
    let _closed = serve(listener, options);
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.ends_with("done"), "{response}");
}
