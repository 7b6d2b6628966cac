//! HTTP/1.1 in and out, over `monoio-http`.
//!
//! The library decodes heads and bodies and encodes fixed answers. Three things stand around it:
//! [`guard`] bounds what a peer may send, because the decoder does not; [`mod@write`] frames streamed
//! answers part by part, because the encoder gathers them; and [`pool`] keeps client connections.

use std::io;

use http::StatusCode;
use thiserror::Error;

pub mod client;
pub mod events;
pub mod guard;
pub mod pool;
pub mod server;
pub mod write;

/// Largest request head, in bytes.
pub const HEAD_BYTES_MAX: usize = 32 << 10;

/// Result of an HTTP exchange.
pub type Result<T> = std::result::Result<T, Error>;

/// Why an HTTP exchange failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection failed.
    #[error("the connection failed ({0}); check that the peer runs and that its address is right")]
    Io(#[from] io::Error),
    /// The peer sent something that is not HTTP/1.1.
    #[error("the peer sent no proper HTTP/1.1 ({0}); check what listens at that address")]
    Protocol(String),
    /// The peer closed the connection before its answer was whole.
    #[error("the peer closed the connection early; see its log")]
    Closed,
    /// The peer took too long.
    #[error("the peer took longer than {0:?}; see whether it is overloaded")]
    Timeout(std::time::Duration),
}

impl Error {
    /// Wraps a decoder's or encoder's error; what the connection itself failed with comes first.
    fn protocol(error: impl std::error::Error + 'static) -> Self {
        let mut cause: Option<&(dyn std::error::Error + 'static)> = Some(&error);
        while let Some(at) = cause {
            if let Some(failed) = at.downcast_ref::<io::Error>() {
                return Self::Io(io::Error::new(failed.kind(), failed.to_string()));
            }
            cause = at.source();
        }
        Self::Protocol(error.to_string())
    }
}

/// Whether an answer with this status never has a body.
fn has_no_body(status: StatusCode) -> bool {
    status.is_informational() || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}
