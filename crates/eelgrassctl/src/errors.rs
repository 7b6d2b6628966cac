//! Exit codes, and why a command failed.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use thiserror::Error;

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// What a command came to, as scripts see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// Done, and in force where that was asked for.
    Done = 0,
    /// Refused, in conflict, different, or not yet in force.
    Refused = 1,
    /// The command line or a file is wrong; nothing was sent.
    Usage = 2,
    /// Nobody answered, or what became of the change is not known.
    Unknown = 3,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Error {
    /// A file can't be read or written.
    #[error("{path}: {source}; check the path and the file's rights")]
    File {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: std::io::Error,
    },
    /// A file holds something else than expected.
    #[error("{path}: {problem}")]
    Content {
        /// The file.
        path: PathBuf,
        /// What is wrong, and what to do about it.
        problem: String,
    },
    /// The command line lacks something or contradicts itself.
    #[error("{0}")]
    Usage(String),
    /// A process refused.
    #[error("{process} refused: {problem}")]
    Refused {
        /// Who refused, by address.
        process: String,
        /// Why, and what to do about it.
        problem: String,
    },
    /// A process did not answer, or does not know.
    #[error("{0}; see --control, and whether the processes run")]
    Unreachable(String),
    /// An answer doesn't read.
    #[error("an answer does not read ({0}); run the same release on both sides")]
    Unreadable(String),
    /// The runtime can't start.
    #[error("{0}")]
    Runtime(String),
}

impl Error {
    /// A file that can't be read or written.
    pub fn file(path: &Path, source: std::io::Error) -> Self {
        Self::File {
            path: path.to_owned(),
            source,
        }
    }

    /// A file that holds something else than expected.
    pub fn content(path: &Path, problem: impl Into<String>) -> Self {
        Self::Content {
            path: path.to_owned(),
            problem: problem.into(),
        }
    }

    /// An answer that doesn't read.
    pub fn unreadable(error: impl std::fmt::Display) -> Self {
        Self::Unreadable(error.to_string())
    }

    /// A runtime that doesn't start.
    pub fn runtime(error: impl std::fmt::Display) -> Self {
        Self::Runtime(error.to_string())
    }

    /// The exit code that tells scripts of this error.
    pub fn code(&self) -> Code {
        match self {
            Self::File { .. } | Self::Content { .. } | Self::Usage(_) => Code::Usage,
            Self::Refused { .. } => Code::Refused,
            Self::Unreachable(_) | Self::Unreadable(_) | Self::Runtime(_) => Code::Unknown,
        }
    }
}
