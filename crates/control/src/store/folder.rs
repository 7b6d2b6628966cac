//! Recovery of a data folder, and writes to it.

use std::io;

use eelgrassdyke_core::id::{Index, Replica as Id};

use super::disk::Disk;
use super::errors::{Error, Result};
use super::file::{self, FrameEntry, LogHeader};
use crate::log::{Job, RecoveredState, Snapshot, Write};

/// Suffix of a file until it is complete.
const NEW_SUFFIX: &str = ".new";

/// Name of the folder in errors.
const FOLDER_NAME: &str = "the data folder";

/// A data folder that is open for writing.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    replica: Id,
    /// Number of the log file; each rotation uses the next one.
    log_number: u64,
    /// Last index of the snapshot.
    snapshot_index: Option<Index>,
    /// Sequence number of the next frame.
    next_frame: u64,
    failed: bool,
}

fn log_name(number: u64) -> String {
    format!("log-{number:016x}")
}

fn snapshot_name(index: Index) -> String {
    format!("snapshot-{:016x}", index.0)
}

impl<D: Disk> Store<D> {
    /// Opens a folder; an empty one is initialised for a new replica with the identity `new_id`.
    pub fn open(disk: D, new_id: Id) -> Result<(Self, RecoveredState)> {
        let names = disk.list().map_err(|error| Error::io(FOLDER_NAME, error))?;
        let numbers = names.iter().filter_map(|name| name.strip_prefix("log-"));
        let log_number = numbers
            .filter_map(|hex| u64::from_str_radix(hex, 16).ok())
            .max();
        let Some(log_number) = log_number else {
            return Self::create(disk, &names, new_id);
        };
        let name = log_name(log_number);
        let content = disk.read(&name).map_err(|error| Error::io(&name, error))?;
        let log_file = file::read_log(&name, &content)?;
        let snapshot = match log_file.header.snapshot {
            Some(index) => Some(read_snapshot(&disk, index)?),
            None => None,
        };
        let truncated_bytes = (content.len() - log_file.valid_bytes) as u64;
        let mut store = Self {
            disk,
            replica: log_file.header.replica,
            log_number,
            snapshot_index: log_file.header.snapshot,
            next_frame: log_file.next_frame,
            failed: false,
        };
        store.remove_stale_files(&names)?;
        // The content may never have been synced, or its sync may have failed, so it is written and
        // synced again before anything relies on it.
        let entries = [
            FrameEntry::HardState(log_file.hard_state.clone()),
            FrameEntry::Records(log_file.records.clone()),
        ];
        store.rotate(log_file.header.snapshot, &entries)?;
        Ok((
            store,
            log_file.into_recovered_state(snapshot, truncated_bytes),
        ))
    }

    /// Creates the first log file of a new replica.
    fn create(disk: D, names: &[String], new_id: Id) -> Result<(Self, RecoveredState)> {
        if let Some(name) = names.iter().find(|name| name.starts_with("snapshot-")) {
            let problem = "the folder holds a snapshot, but no log";
            return Err(Error::damaged(name, 0, problem));
        }
        let mut store = Self {
            disk,
            replica: new_id,
            log_number: 0,
            snapshot_index: None,
            next_frame: 0,
            failed: false,
        };
        store.remove_stale_files(names)?;
        store.rotate(None, &[])?;
        Ok((store, RecoveredState::empty(new_id)))
    }

    /// Makes jobs durable, in order. After an error all further writes fail.
    pub fn write(&mut self, jobs: &[Job]) -> Result<()> {
        if self.failed {
            return Err(Error::Stopped);
        }
        let result = self.write_all(jobs);
        self.failed = result.is_err();
        result
    }

    fn write_all(&mut self, jobs: &[Job]) -> Result<()> {
        let mut entries = Vec::new();
        for write in jobs.iter().flat_map(|job| &job.writes) {
            match write {
                Write::HardState(hard_state) => {
                    entries.push(FrameEntry::HardState(hard_state.clone()));
                }
                Write::Records(records) => entries.push(FrameEntry::Records(records.clone())),
                Write::Snapshot {
                    snapshot,
                    hard_state,
                    records,
                } => {
                    // The new log file replaces these entries.
                    entries.clear();
                    self.write_snapshot(snapshot)?;
                    let first_entries = [
                        FrameEntry::HardState(hard_state.clone()),
                        FrameEntry::Records(records.clone()),
                    ];
                    self.rotate(Some(snapshot.index), &first_entries)?;
                }
            }
        }
        if entries.is_empty() {
            return Ok(());
        }
        let frame = file::encode_log_frame(self.replica, self.next_frame, &entries)?;
        let name = log_name(self.log_number);
        self.on_disk(&name, |disk| disk.append(&name, &frame))?;
        self.on_disk(&name, |disk| disk.sync(&name))?;
        self.next_frame += 1;
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        let content = file::encode_snapshot(snapshot)?;
        self.write_file(&snapshot_name(snapshot.index), &content)
    }

    /// Starts the next log file, then removes the previous one and its snapshot.
    fn rotate(&mut self, snapshot_index: Option<Index>, entries: &[FrameEntry]) -> Result<()> {
        let header = LogHeader {
            replica: self.replica,
            snapshot: snapshot_index,
        };
        let mut content = file::encode_header(&header)?;
        let mut next_frame = 1;
        if !entries.is_empty() {
            content.extend(file::encode_log_frame(self.replica, next_frame, entries)?);
            next_frame += 1;
        }
        let (old_log, old_snapshot) = (self.log_number, self.snapshot_index);
        self.write_file(&log_name(self.log_number + 1), &content)?;
        self.log_number += 1;
        self.next_frame = next_frame;
        self.snapshot_index = snapshot_index;
        if old_log > 0 {
            let name = log_name(old_log);
            self.on_disk(&name, |disk| disk.remove(&name))?;
        }
        if let Some(index) = old_snapshot
            && old_snapshot != snapshot_index
        {
            let name = snapshot_name(index);
            self.on_disk(&name, |disk| disk.remove(&name))?;
        }
        Ok(())
    }

    /// Writes a file atomically: after a crash it is either complete or absent.
    fn write_file(&mut self, name: &str, content: &[u8]) -> Result<()> {
        let new = format!("{name}{NEW_SUFFIX}");
        self.on_disk(&new, |disk| disk.create(&new, content))?;
        self.on_disk(&new, |disk| disk.sync(&new))?;
        self.on_disk(name, |disk| disk.rename(&new, name))?;
        self.on_disk(FOLDER_NAME, Disk::sync_folder)
    }

    /// Removes files that a crash left behind.
    fn remove_stale_files(&mut self, names: &[String]) -> Result<()> {
        let log_file = log_name(self.log_number);
        let snapshot = self.snapshot_index.map(snapshot_name);
        for name in names {
            let of_store = name.starts_with("log-") || name.starts_with("snapshot-");
            if of_store && *name != log_file && Some(name) != snapshot.as_ref() {
                self.on_disk(name, |disk| disk.remove(name))?;
            }
        }
        Ok(())
    }

    fn on_disk(
        &mut self,
        name: &str,
        operation: impl FnOnce(&mut D) -> io::Result<()>,
    ) -> Result<()> {
        operation(&mut self.disk).map_err(|error| Error::io(name, error))
    }
}

fn read_snapshot<D: Disk>(disk: &D, index: Index) -> Result<Snapshot> {
    let name = snapshot_name(index);
    let content = disk.read(&name).map_err(|error| Error::io(&name, error))?;
    file::read_snapshot(&name, &content)
}
