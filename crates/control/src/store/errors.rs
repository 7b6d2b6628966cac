//! Errors of the store.

use std::io;

use thiserror::Error;

/// Result of the store.
pub type Result<T> = std::result::Result<T, Error>;

/// Error on reading or writing a data folder.
#[derive(Debug, Error)]
pub enum Error {
    /// A file is damaged, other than by a torn frame at its end.
    #[error(
        "{file} is damaged at byte {offset}: {problem}; empty the data folder, start the process \
         with `\"start\": \"join\"`, add it as a new replica and remove the old one"
    )]
    Damaged {
        /// The file.
        file: String,
        /// Offset of the damage, in bytes.
        offset: usize,
        /// The damage.
        problem: String,
    },
    /// The disk is full.
    #[error("{file}: the disk is full; free space: a running process then continues by itself")]
    Full {
        /// The file.
        file: String,
    },
    /// The file system failed.
    #[error(
        "{file}: {source}; check the disk: a running process continues once writes succeed; or \
         empty the data folder and add it as a new replica"
    )]
    Io {
        /// The file.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// An earlier write failed; the store accepts no further ones.
    #[error("an earlier write failed; open the folder again")]
    Stopped,
    /// A value can't be encoded.
    #[error(transparent)]
    Encode(#[from] eelgrassdyke_core::wire::Error),
}

impl Error {
    /// Damage in a file.
    pub fn damaged(file: &str, offset: usize, problem: impl Into<String>) -> Self {
        Self::Damaged {
            file: file.to_owned(),
            offset,
            problem: problem.into(),
        }
    }

    /// A failure of the file system, told apart from a full disk.
    pub fn io(file: &str, source: io::Error) -> Self {
        let file = file.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full { file },
            _ => Self::Io { file, source },
        }
    }
}
