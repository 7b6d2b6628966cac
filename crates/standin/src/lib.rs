//! Stand-ins for what the system serves: a model engine and a plain service.
//!
//! They speak the published protocols as the real ones do, give each prompt always the same answer,
//! and keep a book of what they ran, which tests compare with what callers were told.
#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod book;
pub mod engine;
pub mod group;
pub mod plain;

use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;

use eelgrassdyke_node::http::server::{self, Handler, Options};
use monoio::net::TcpListener;

/// Largest call that a stand-in reads, in bytes.
const CALL_BYTES_MAX: usize = 16 << 20;

/// Serves `handler` on `listener`, which must not block; gives the address.
pub fn serve(listener: StdListener, handler: Handler) -> std::io::Result<SocketAddr> {
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let listener = TcpListener::from_std(listener)?;
    let options = Options {
        body_bytes_max: CALL_BYTES_MAX,
        cancel_on_close: true,
        ..Options::default()
    };
    monoio::spawn(server::serve(listener, options, Rc::clone(&handler)));
    Ok(address)
}
