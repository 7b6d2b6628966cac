//! Responses of servers that never end: the client reads a bounded number of bytes and closes the
//! connection.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

use eelgrassdyke_node::http::client::{Connection, Request};
use eelgrassdyke_node::runtime::block_on;
use futures_util::future::join_all;
use test_case::test_case;

/// Limit on a part of a body that the tests set.
const PART_BYTES_MAX: usize = 1 << 20;

/// Bytes that socket buffers may hold beyond those that the client has read.
const SOCKET_BYTES_MAX: usize = 16 << 20;

/// Bytes after which the server gives up.
const SENT_BYTES_MAX: usize = 256 << 20;

/// Accepts one connection and, after the start of a request, writes `start` and then `repeated` until the
/// connection is closed; returns the number of bytes.
fn serve_endless(start: &[u8], repeated: &[u8]) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (start, repeated) = (start.to_vec(), repeated.repeat(64_000 / repeated.len()));
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1024];
        assert!(stream.read(&mut request).unwrap() > 0);
        let mut sent = 0;
        let mut part = start;
        while sent < SENT_BYTES_MAX && stream.write_all(&part).is_ok() {
            sent += part.len();
            part.clone_from(&repeated);
        }
        sent
    });
    (address, server)
}

/// Most parts that are read of a response.
const PARTS_MAX: usize = 1000;

/// Reads a response part by part; returns whether it broke off.
async fn breaks_off(address: SocketAddr) -> bool {
    let mut connection = Connection::open(address).await.unwrap();
    connection.limit_parts(PART_BYTES_MAX);
    connection.send(Request::get("/x")).await.unwrap();
    let Ok(mut response) = connection.receive_response().await else {
        return true;
    };
    for _ in 0..PARTS_MAX {
        match response.next_part().await {
            Ok(Some(part)) => assert!(part.len() <= PART_BYTES_MAX),
            Ok(None) => return false,
            Err(_) => return true,
        }
    }
    false
}

#[test_case("", "x"; "bytes that are no head")]
#[test_case("HTTP/1.1 200 OK\r\n", "x"; "a header name")]
#[test_case("HTTP/1.1 200 OK\r\nname: ", "x"; "a header value")]
#[test_case("HTTP/1.1 200 OK\r\n", "a: b\r\n"; "header fields")]
#[test_case("", "HTTP/1.1 100 Continue\r\n\r\n"; "interim responses")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", "x"; "a body with a length")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffffff\r\n", "x"; "a chunk")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0"; "the size of a chunk")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;", "x"; "an extension of a chunk")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"; "trailers")]
fn response_without_end_is_broken_off(start: &str, repeated: &str) {
    let (address, server) = serve_endless(start.as_bytes(), repeated.as_bytes());
    assert!(block_on(breaks_off(address)).unwrap());
    let sent = server.join().unwrap();
    assert!(
        sent <= PART_BYTES_MAX + SOCKET_BYTES_MAX,
        "the server sent {sent} bytes"
    );
}

#[test_case("HTTP/1.1 200 OK\r\n\r\n", "x"; "until the connection closes")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "5\r\nabcde\r\n"; "in chunks")]
fn body_without_end_is_read_in_small_parts(start: &str, repeated: &str) {
    let (address, server) = serve_endless(start.as_bytes(), repeated.as_bytes());
    assert!(!block_on(breaks_off(address)).unwrap());
    // Dropping the connection stops the server.
    assert!(server.join().unwrap() < SENT_BYTES_MAX);
}

#[test]
fn responses_without_end_of_several_servers_are_broken_off_together() {
    let starts = ["", "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n"];
    let servers: Vec<_> = (0..16)
        .map(|index| serve_endless(starts[index % 2].as_bytes(), b"x"))
        .collect();
    let exchanges = join_all(servers.iter().map(|(address, _)| breaks_off(*address)));
    let broken_off = block_on(exchanges).unwrap();
    assert!(broken_off.into_iter().all(|breaks_off| breaks_off));
    for (_, server) in servers {
        assert!(server.join().unwrap() <= PART_BYTES_MAX + SOCKET_BYTES_MAX);
    }
}

#[test]
fn body_without_end_is_not_read_as_a_whole() {
    let start = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let (address, server) = serve_endless(start, b"5\r\nabcde\r\n");
    let body = async {
        let mut connection = Connection::open(address).await.unwrap();
        connection.limit_parts(PART_BYTES_MAX);
        connection.send(Request::get("/x")).await.unwrap();
        let mut response = connection.receive_response().await.unwrap();
        response.read_to_end().await.ok()
    };
    assert_eq!(block_on(body).unwrap(), None);
    assert!(server.join().unwrap() < SENT_BYTES_MAX);
}
