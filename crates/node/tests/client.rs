//! The HTTP client, against a server that writes bytes as given: responses without length and chunks.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

use eelgrassdyke_node::http::client::{Connection, Request};
use eelgrassdyke_node::runtime::block_on;

/// Accepts one connection, reads the start of a request, writes `parts` one after the other and closes
/// the connection, which resets it if part of the request is unread.
fn serve(parts: Vec<Vec<u8>>) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1024];
        let length = stream.read(&mut request).unwrap();
        assert!(length > 0);
        for part in parts {
            stream.write_all(&part).unwrap();
        }
    });
    (address, server)
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
        let (address, server) = serve(parts);
        assert!(read_response(address, Request::get("/x")).as_ref() == Some(&body));
        server.join().unwrap();
    }
}

#[test]
fn response_without_length_is_broken_off_by_a_reset() {
    let (address, server) = serve(vec![HEAD.to_vec(), b"data: 1\n\n".to_vec()]);
    let request = Request::post("/x", vec![b'x'; 100_000]);
    assert_eq!(read_response(address, request), None);
    server.join().unwrap();
}
