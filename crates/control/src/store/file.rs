//! Content of the log file and of the snapshot file.

use eelgrassdyke_core::data;
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::wire::log::{Members, Record};
use eelgrassdyke_core::wire::{decode, encode};

use super::errors::{Error, Result};
use super::frame::{self, Reader};
use crate::log::{HardState, RecoveredState, Snapshot};

/// Salt of the first frame of a file; the other frames of a log file use the replica's identity.
const HEADER_SALT: u64 = 0;

data! {
    /// The first frame of a log file.
    #[derive(Eq)]
    pub struct LogHeader {
        /// The replica's identity.
        pub replica: Id,
        /// Last index of the snapshot that the log continues from.
        pub snapshot: Option<Index>,
    }

    /// A write within a frame.
    #[derive(Eq)]
    pub enum FrameEntry {
        /// Hard state; replaces earlier ones.
        #[serde(rename = "Hard")]
        HardState(HardState),
        /// Records; they replace all records from the index of the first on.
        Records(Vec<Record>),
    }

    /// Body of a snapshot file's only frame.
    struct SnapshotImage {
        index: Index,
        term: Term,
        members: Members,
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
    }
}

/// Content of a log file up to its last valid frame.
#[derive(Debug)]
pub struct LogFile {
    /// Its first frame.
    pub header: LogHeader,
    /// The hard state.
    pub hard_state: HardState,
    /// The records.
    pub records: Vec<Record>,
    /// Sequence number of the next frame.
    pub next_frame: u64,
    /// Length of the valid part, in bytes.
    pub valid_bytes: usize,
}

/// Encodes the first frame of a log file.
pub fn encode_header(header: &LogHeader) -> Result<Vec<u8>> {
    let mut file = Vec::new();
    frame::write(&mut file, HEADER_SALT, 0, &encode(header)?);
    Ok(file)
}

/// Encodes a frame of a log file.
pub fn encode_log_frame(replica: Id, number: u64, entries: &[FrameEntry]) -> Result<Vec<u8>> {
    let mut file = Vec::new();
    frame::write(&mut file, replica.0, number, &encode(&entries)?);
    Ok(file)
}

/// Reads a log file and leaves out a torn frame at its end.
pub fn read_log(name: &str, file: &[u8]) -> Result<LogFile> {
    let mut reader = Reader::new(file);
    let header = reader.read_next(HEADER_SALT);
    let header = header.ok_or_else(|| Error::damaged(name, 0, "invalid header frame"))?;
    let header: LogHeader =
        decode(header).map_err(|error| Error::damaged(name, 0, error.to_string()))?;
    let salt = header.replica.0;
    let mut hard_state = HardState::default();
    let mut records = Vec::new();
    while !reader.is_done() {
        let offset = reader.offset();
        let Some(body) = reader.read_next(salt) else {
            break;
        };
        let entries: Vec<FrameEntry> =
            decode(body).map_err(|error| Error::damaged(name, offset, error.to_string()))?;
        for entry in entries {
            match entry {
                FrameEntry::HardState(newer) => hard_state = newer,
                FrameEntry::Records(newer) => {
                    let base = header.snapshot.unwrap_or_default();
                    replace_records(base, &mut records, newer)
                        .map_err(|problem| Error::damaged(name, offset, problem))?;
                }
            }
        }
    }
    if let Some(valid_at) = reader.find_valid_frame(salt) {
        let problem = format!("invalid frame, but the one at byte {valid_at} is valid");
        return Err(Error::damaged(name, reader.offset(), problem));
    }
    Ok(LogFile {
        header,
        hard_state,
        records,
        next_frame: reader.number(),
        valid_bytes: reader.offset(),
    })
}

/// Replaces the records from the index of the first `newer` one on.
fn replace_records(
    base: Index,
    records: &mut Vec<Record>,
    newer: Vec<Record>,
) -> std::result::Result<(), String> {
    for record in newer {
        let next = base + Index(records.len() as u64 + 1);
        if record.index > next || record.index <= base {
            return Err(format!("record {} where {next} is expected", record.index));
        }
        records.truncate((record.index.0 - base.0 - 1) as usize);
        records.push(record);
    }
    Ok(())
}

/// Encodes a snapshot file.
pub fn encode_snapshot(snapshot: &Snapshot) -> Result<Vec<u8>> {
    let image = SnapshotImage {
        index: snapshot.index,
        term: snapshot.term,
        members: snapshot.members.clone(),
        data: snapshot.data.to_vec(),
    };
    let mut file = Vec::new();
    frame::write(&mut file, HEADER_SALT, 0, &encode(&image)?);
    Ok(file)
}

/// Reads a snapshot file.
pub fn read_snapshot(name: &str, file: &[u8]) -> Result<Snapshot> {
    let mut reader = Reader::new(file);
    let body = reader.read_next(HEADER_SALT);
    let body = body.ok_or_else(|| Error::damaged(name, 0, "invalid snapshot frame"))?;
    let image: SnapshotImage =
        decode(body).map_err(|error| Error::damaged(name, 0, error.to_string()))?;
    if !reader.is_done() {
        return Err(Error::damaged(
            name,
            reader.offset(),
            "data after the snapshot frame",
        ));
    }
    Ok(Snapshot {
        index: image.index,
        term: image.term,
        members: image.members,
        data: image.data.into(),
    })
}

impl LogFile {
    /// The recovered state, together with the snapshot that the log continues from.
    pub fn into_recovered_state(
        self,
        snapshot: Option<Snapshot>,
        truncated_bytes: u64,
    ) -> RecoveredState {
        RecoveredState {
            replica: self.header.replica,
            hard_state: self.hard_state,
            snapshot,
            records: self.records,
            truncated_bytes,
        }
    }
}
