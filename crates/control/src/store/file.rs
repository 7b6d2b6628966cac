//! What the files hold.

use eelgrassdyke_core::data;
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::wire::log::{Members, Record};
use eelgrassdyke_core::wire::{decode, encode};

use super::errors::{Error, Result};
use super::frame::{self, Reader};
use crate::log::{HardState, RecoveredState, Snapshot};

/// Salt of a log file's first frame, which tells the salt of the others.
const HEAD_SALT: u64 = 0;

data! {
    /// The first frame of a log file.
    #[derive(Eq)]
    pub struct Head {
        /// The replica's identity.
        pub replica: Id,
        /// The snapshot that the log continues from, by its last position.
        pub snapshot: Option<Index>,
    }

    /// One write within a frame.
    #[derive(Eq)]
    pub enum Entry {
        /// The promises from here on.
        #[serde(rename = "Hard")]
        HardState(HardState),
        /// Records; the first replaces what was at its position and all after it.
        Records(Vec<Record>),
    }

    /// The frame of a snapshot file.
    struct Image {
        index: Index,
        term: Term,
        members: Members,
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
    }
}

/// A log file as far as it reads.
#[derive(Debug)]
pub struct Log {
    /// Its first frame.
    pub head: Head,
    /// The promises.
    pub hard: HardState,
    /// The records.
    pub records: Vec<Record>,
    /// Number of the next frame.
    pub next: u64,
    /// Bytes that read.
    pub length: usize,
}

/// The start of a log file.
pub fn write_head(head: &Head) -> Result<Vec<u8>> {
    let mut file = Vec::new();
    frame::write(&mut file, HEAD_SALT, 0, &encode(head)?);
    Ok(file)
}

/// A frame of a log file.
pub fn write_log(replica: Id, number: u64, entries: &[Entry]) -> Result<Vec<u8>> {
    let mut file = Vec::new();
    frame::write(&mut file, replica.0, number, &encode(&entries)?);
    Ok(file)
}

/// Reads a log file; what does not read at its end is left out.
pub fn read_log(name: &str, file: &[u8]) -> Result<Log> {
    let mut reader = Reader::new(file);
    let head = reader.next(HEAD_SALT);
    let head = head.ok_or_else(|| Error::damaged(name, 0, "its head does not read"))?;
    let head: Head = decode(head).map_err(|error| Error::damaged(name, 0, error.to_string()))?;
    let salt = head.replica.0;
    let mut hard = HardState::default();
    let mut records = Vec::new();
    while !reader.is_done() {
        let offset = reader.offset();
        let Some(body) = reader.next(salt) else {
            break;
        };
        let entries: Vec<Entry> =
            decode(body).map_err(|error| Error::damaged(name, offset, error.to_string()))?;
        for entry in entries {
            match entry {
                Entry::HardState(newer) => hard = newer,
                Entry::Records(newer) => {
                    let base = head.snapshot.unwrap_or_default();
                    extend(base, &mut records, newer)
                        .map_err(|problem| Error::damaged(name, offset, problem))?;
                }
            }
        }
    }
    if let Some(later) = reader.find_later(salt) {
        let problem = format!("a frame does not read, but one at byte {later} does");
        return Err(Error::damaged(name, reader.offset(), problem));
    }
    Ok(Log {
        head,
        hard,
        records,
        next: reader.number(),
        length: reader.offset(),
    })
}

/// Puts `newer` records in place of those from the same position on.
fn extend(
    base: Index,
    records: &mut Vec<Record>,
    newer: Vec<Record>,
) -> std::result::Result<(), String> {
    for record in newer {
        let next = base + Index(records.len() as u64 + 1);
        if record.index > next || record.index <= base {
            return Err(format!("record {} where {next} is due", record.index));
        }
        records.truncate((record.index.0 - base.0 - 1) as usize);
        records.push(record);
    }
    Ok(())
}

/// A snapshot file.
pub fn write_snapshot(snapshot: &Snapshot) -> Result<Vec<u8>> {
    let image = Image {
        index: snapshot.index,
        term: snapshot.term,
        members: snapshot.members.clone(),
        data: snapshot.data.to_vec(),
    };
    let mut file = Vec::new();
    frame::write(&mut file, HEAD_SALT, 0, &encode(&image)?);
    Ok(file)
}

/// Reads a snapshot file.
pub fn read_snapshot(name: &str, file: &[u8]) -> Result<Snapshot> {
    let mut reader = Reader::new(file);
    let body = reader.next(HEAD_SALT);
    let body = body.ok_or_else(|| Error::damaged(name, 0, "it does not read"))?;
    let image: Image = decode(body).map_err(|error| Error::damaged(name, 0, error.to_string()))?;
    if !reader.is_done() {
        return Err(Error::damaged(name, reader.offset(), "more follows"));
    }
    Ok(Snapshot {
        index: image.index,
        term: image.term,
        members: image.members,
        data: image.data.into(),
    })
}

impl Log {
    /// What the folder holds, together with the snapshot that the log continues from.
    pub fn recovered(self, snapshot: Option<Snapshot>, cut: u64) -> RecoveredState {
        RecoveredState {
            replica: self.head.replica,
            hard: self.hard,
            snapshot,
            records: self.records,
            truncated_bytes: cut,
        }
    }
}
