//! The data folder of a replica.
//!
//! A log file holds the replica's identity, its hard state and the records after the latest
//! snapshot; a snapshot file holds the state before them. The writes of a call are appended as one
//! frame, which is durable once the file is synced. A new file is written under a temporary name,
//! synced and renamed, and is durable once the folder is synced. A torn frame at the end of the log
//! was never acknowledged, so it is truncated. Any other damage is an error, because a replica that
//! loses acknowledged records could undo a committed change.

mod disk;
mod errors;
mod file;
mod folder;
mod frame;

pub use disk::Disk;
pub use errors::{Error, Result};
pub use file::{FrameEntry, LogFile, LogHeader, read_log, read_snapshot};
pub use folder::Store;
