//! Exit statuses and errors of commands.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use thiserror::Error;

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Exit status of a command, for scripts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded; with `--wait`, the change is in force.
    Success = 0,
    /// The request was refused or in conflict, the file differs (`diff`), or the change is not yet in
    /// force.
    Failure = 1,
    /// The command line or a file is invalid; nothing was sent.
    UsageError = 2,
    /// No process answered, or the outcome of the change is unknown.
    OutcomeUnknown = 3,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// An error that ends a command.
#[derive(Debug, Error)]
pub enum Error {
    /// A file cannot be read or written.
    #[error("{path}: {source}; check the path and the file's permissions")]
    Io {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The content of a file is invalid.
    #[error("{path}: {problem}")]
    InvalidFile {
        /// The file.
        path: PathBuf,
        /// The problem and its remedy.
        problem: String,
    },
    /// The command line is incomplete or contradictory.
    #[error("{0}")]
    Usage(String),
    /// A process refused the request.
    #[error("{process} refused: {problem}")]
    Refused {
        /// Address of the process that refused, or its role.
        process: String,
        /// The reason and its remedy.
        problem: String,
    },
    /// No process answered, or none knows the outcome.
    #[error("{0}; check --control and that the control processes are running")]
    Unreachable(String),
    /// A response cannot be decoded.
    #[error(
        "invalid response ({0}); run the same release of eelgrassctl and the control processes"
    )]
    InvalidResponse(String),
    /// The async runtime cannot start.
    #[error("{0}")]
    Runtime(String),
}

impl Error {
    /// Wraps an I/O error with the path of the file.
    pub fn io(path: &Path, source: std::io::Error) -> Self {
        Self::Io {
            path: path.to_owned(),
            source,
        }
    }

    /// Reports invalid content of a file.
    pub fn invalid_file(path: &Path, problem: impl Into<String>) -> Self {
        Self::InvalidFile {
            path: path.to_owned(),
            problem: problem.into(),
        }
    }

    /// Reports a response that cannot be decoded.
    pub fn invalid_response(error: impl std::fmt::Display) -> Self {
        Self::InvalidResponse(error.to_string())
    }

    /// Reports a runtime that cannot start.
    pub fn runtime(error: impl std::fmt::Display) -> Self {
        Self::Runtime(error.to_string())
    }

    /// The exit status for this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Io { .. } | Self::InvalidFile { .. } | Self::Usage(_) => ExitStatus::UsageError,
            Self::Refused { .. } => ExitStatus::Failure,
            Self::Unreachable(_) | Self::InvalidResponse(_) | Self::Runtime(_) => {
                ExitStatus::OutcomeUnknown
            }
        }
    }
}
