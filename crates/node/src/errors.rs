//! Why a process can't start or go on.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// Result of the shell.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a process can't start or go on.
#[derive(Debug, Error)]
pub enum Error {
    /// A file named in the settings can't be read.
    #[error("{path}: {source}; check the path in the settings and the file's rights")]
    Read {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: io::Error,
    },
    /// A file named in the settings holds something else than expected.
    #[error("{path}: {problem}; {remedy}")]
    Content {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        problem: String,
        /// What to do about it.
        remedy: &'static str,
    },
    /// A port can't be taken.
    #[error("{address}: {source}; choose a free address or stop what listens there")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        source: io::Error,
    },
    /// The runtime can't start.
    #[error("the runtime can't start: {0}; raise the limit of open files")]
    Runtime(#[source] io::Error),
}

impl Error {
    /// A file that can't be read.
    pub fn read(path: &Path, source: io::Error) -> Self {
        Self::Read {
            path: path.to_owned(),
            source,
        }
    }

    /// A port that can't be taken.
    pub fn bind(address: SocketAddr, source: io::Error) -> Self {
        Self::Bind { address, source }
    }
}
