//! The data folder of a replica.
//!
//! One log file holds the replica's identity, its promises and the records after the newest
//! snapshot; a snapshot file holds the state before them. Every job is one frame and counts once
//! the file is synced. A new file is written under another name, synced, renamed, and counts once
//! the folder is synced. A frame that was torn off by a crash at the end of the log was never
//! acknowledged, so it is cut; anything else that does not read is refused, because a replica that
//! forgets what it acknowledged could undo an accepted change.

mod disk;
mod errors;
mod file;
mod folder;
mod frame;

pub use disk::Disk;
pub use errors::{Error, Result};
pub use file::{Entry, Head, Log, read_log, read_snapshot};
pub use folder::Store;
