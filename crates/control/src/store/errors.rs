//! Why a data folder can't be read or written.

use std::io;

use thiserror::Error;

/// Result of the store.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a data folder can't be read or written.
#[derive(Debug, Error)]
pub enum Error {
    /// A file is damaged before its end.
    #[error(
        "{file} is damaged at byte {offset}: {problem}; empty the data folder, start the process \
         with `\"start\": \"join\"`, add it as a new replica and remove the old one"
    )]
    Damaged {
        /// The file.
        file: String,
        /// Where, in bytes.
        offset: usize,
        /// What is wrong.
        problem: String,
    },
    /// The disk is full.
    #[error("{file}: the disk is full; free space: a process that runs goes on by itself")]
    Full {
        /// The file.
        file: String,
    },
    /// The file system failed.
    #[error(
        "{file}: {source}; check the disk: a process that runs goes on once it takes writes; or \
         empty the data folder and add it as a new replica"
    )]
    Io {
        /// The file.
        file: String,
        /// What went wrong.
        source: io::Error,
    },
    /// An earlier write failed.
    #[error("an earlier write failed; open the folder again")]
    Stopped,
    /// A value does not encode.
    #[error(transparent)]
    Encode(#[from] eelgrassdyke_core::wire::Error),
}

impl Error {
    /// A file that is damaged before its end.
    pub fn damaged(file: &str, offset: usize, problem: impl Into<String>) -> Self {
        Self::Damaged {
            file: file.to_owned(),
            offset,
            problem: problem.into(),
        }
    }

    /// A failure of the file system.
    pub fn io(file: &str, source: io::Error) -> Self {
        let file = file.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full { file },
            _ => Self::Io { file, source },
        }
    }
}
