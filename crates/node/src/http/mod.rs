//! HTTP/1.1 server and client, based on `monoio-http`.
//!
//! The library decodes heads and the bodies of responses, and encodes responses of known length. Six modules add to
//! it: [`guard`] limits the size of what a peer may send, because the decoder does not; [`body`] decodes the bodies of
//! requests; [`budget`] limits the memory of all bodies together and [`intake`] what all connections of a port hold;
//! [`mod@write`] writes each part of a streamed response at once, because the encoder buffers them;
//! and [`pool`] reuses client connections.

use std::io;

use http::StatusCode;
use thiserror::Error;

pub mod body;
pub mod budget;
pub mod chunks;
pub mod client;
pub mod events;
pub mod guard;
pub mod intake;
pub mod pool;
mod respond;
pub mod server;
pub mod write;

/// Maximum size of a request head, in bytes.
pub const HEAD_BYTES_MAX: usize = 32 << 10;

/// Result of an HTTP exchange.
pub type Result<T> = std::result::Result<T, Error>;

/// An error in an HTTP exchange.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection failed.
    #[error(
        "the connection failed ({0}); check that the peer is running and that its address is correct"
    )]
    Io(#[from] io::Error),
    /// The peer violated HTTP/1.1.
    #[error("the peer violated HTTP/1.1 ({0}); check which program listens at that address")]
    Protocol(String),
    /// The peer closed the connection before its response was complete.
    #[error("the peer closed the connection before its response was complete; see its log")]
    Closed,
    /// The exchange timed out.
    #[error("the peer did not respond within {0:?}; check whether it is overloaded")]
    Timeout(std::time::Duration),
}

impl Error {
    /// Wraps an error of the decoder or encoder; as [`Error::Io`] if an I/O error caused it.
    fn protocol(error: impl std::error::Error + 'static) -> Self {
        let mut cause: Option<&(dyn std::error::Error + 'static)> = Some(&error);
        while let Some(error) = cause {
            if let Some(io_error) = error.downcast_ref::<io::Error>() {
                return Self::Io(io::Error::new(io_error.kind(), io_error.to_string()));
            }
            cause = error.source();
        }
        Self::Protocol(error.to_string())
    }
}

/// Whether a response with this status never has a body.
fn has_no_body(status: StatusCode) -> bool {
    status.is_informational() || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}
