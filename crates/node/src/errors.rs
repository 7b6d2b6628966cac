//! Errors that prevent a process from starting or running.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// Result of an operation of a process.
pub type Result<T> = std::result::Result<T, Error>;

/// An error that prevents a process from starting or running.
#[derive(Debug, Error)]
pub enum Error {
    /// A file named in the settings can't be read.
    #[error("{path}: {source}; check the path in the settings and the permissions of the file")]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file named in the settings has invalid content.
    #[error("{path}: {problem}; {remedy}")]
    Content {
        /// The file.
        path: PathBuf,
        /// What is invalid.
        problem: String,
        /// How to correct it.
        remedy: &'static str,
    },
    /// A port can't be bound.
    #[error("{address}: {source}; choose a free address or stop the process that listens there")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The runtime can't start.
    #[error("the runtime can't start: {0}; raise the limit on open files")]
    Runtime(#[source] io::Error),
}

impl Error {
    /// An error for a file that can't be read.
    pub fn read(path: &Path, source: io::Error) -> Self {
        Self::Read {
            path: path.to_owned(),
            source,
        }
    }

    /// An error for a port that can't be bound.
    pub fn bind(address: SocketAddr, source: io::Error) -> Self {
        Self::Bind { address, source }
    }
}
