//! Stand-ins for backend servers: a model engine, a plain service and a rank group.
//!
//! The engine and the plain service speak the protocols of real backend servers. The engine gives
//! each prompt a fixed response. Both keep an execution log, which tests compare with the responses
//! that callers got.
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

/// Largest request body that a stand-in reads, in bytes.
const REQUEST_BYTES_MAX: usize = 16 << 20;

/// Serves `handler` on `listener`, which is made non-blocking; returns the bound address.
pub fn serve(listener: StdListener, handler: Handler) -> std::io::Result<SocketAddr> {
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let listener = TcpListener::from_std(listener)?;
    let options = Options {
        body_bytes_max: REQUEST_BYTES_MAX,
        cancel_on_close: true,
        ..Options::default()
    };
    monoio::spawn(server::serve(listener, options, Rc::clone(&handler)));
    Ok(address)
}
