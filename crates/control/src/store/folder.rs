//! Opens a data folder and writes to it.

use std::io;

use eelgrassdyke_core::id::{Index, Replica as Id};

use super::disk::Disk;
use super::errors::{Error, Result};
use super::file::{self, Entry, Head};
use crate::log::{Job, RecoveredState, Snapshot, Write};

/// Ending of a file that is not complete yet.
const NEW: &str = ".new";

/// Name by which errors call the folder itself.
const FOLDER: &str = "the data folder";

/// A data folder.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    replica: Id,
    /// Number of the log file.
    log: u64,
    snapshot: Option<Index>,
    next: u64,
    failed: bool,
}

fn log_name(number: u64) -> String {
    format!("log-{number:016x}")
}

fn snapshot_name(index: Index) -> String {
    format!("snapshot-{:016x}", index.0)
}

impl<D: Disk> Store<D> {
    /// Opens a folder; an empty one becomes that of a new replica with the identity `drawn`.
    pub fn open(disk: D, drawn: Id) -> Result<(Self, RecoveredState)> {
        let names = disk.list().map_err(|error| Error::io(FOLDER, error))?;
        let numbers = names.iter().filter_map(|name| name.strip_prefix("log-"));
        let log = numbers
            .filter_map(|hex| u64::from_str_radix(hex, 16).ok())
            .max();
        let Some(log) = log else {
            return Self::found(disk, &names, drawn);
        };
        let name = log_name(log);
        let content = disk.read(&name).map_err(|error| Error::io(&name, error))?;
        let read = file::read_log(&name, &content)?;
        let snapshot = match read.head.snapshot {
            Some(index) => Some(read_snapshot(&disk, index)?),
            None => None,
        };
        let cut = (content.len() - read.length) as u64;
        let mut store = Self {
            disk,
            replica: read.head.replica,
            log,
            snapshot: read.head.snapshot,
            next: read.next,
            failed: false,
        };
        store.clean(&names)?;
        // What was read may never have been synced, or a sync of it may have failed, so only what
        // is written and synced anew counts.
        let entries = [
            Entry::HardState(read.hard.clone()),
            Entry::Records(read.records.clone()),
        ];
        store.rotate(read.head.snapshot, &entries)?;
        Ok((store, read.recovered(snapshot, cut)))
    }

    /// Makes the first log file of a new replica.
    fn found(disk: D, names: &[String], drawn: Id) -> Result<(Self, RecoveredState)> {
        if let Some(name) = names.iter().find(|name| name.starts_with("snapshot-")) {
            let remedy = "the folder holds a snapshot, but no log";
            return Err(Error::damaged(name, 0, remedy));
        }
        let mut store = Self {
            disk,
            replica: drawn,
            log: 0,
            snapshot: None,
            next: 0,
            failed: false,
        };
        store.clean(names)?;
        store.rotate(None, &[])?;
        Ok((store, RecoveredState::empty(drawn)))
    }

    /// Makes jobs durable, in order. After an error nothing more is written.
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
                Write::HardState(hard) => entries.push(Entry::HardState(hard.clone())),
                Write::Records(records) => entries.push(Entry::Records(records.clone())),
                Write::Snapshot {
                    snapshot,
                    hard,
                    records,
                } => {
                    // The new log file holds everything that is still needed of these.
                    entries.clear();
                    self.write_snapshot(snapshot)?;
                    let start = [
                        Entry::HardState(hard.clone()),
                        Entry::Records(records.clone()),
                    ];
                    self.rotate(Some(snapshot.index), &start)?;
                }
            }
        }
        if entries.is_empty() {
            return Ok(());
        }
        let frame = file::write_log(self.replica, self.next, &entries)?;
        let name = log_name(self.log);
        self.attempt(&name, |disk| disk.append(&name, &frame))?;
        self.attempt(&name, |disk| disk.sync(&name))?;
        self.next += 1;
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        let content = file::write_snapshot(snapshot)?;
        self.put(&snapshot_name(snapshot.index), &content)
    }

    /// Starts the next log file and removes what came before it.
    fn rotate(&mut self, snapshot: Option<Index>, entries: &[Entry]) -> Result<()> {
        let head = Head {
            replica: self.replica,
            snapshot,
        };
        let mut content = file::write_head(&head)?;
        let mut next = 1;
        if !entries.is_empty() {
            content.extend(file::write_log(self.replica, next, entries)?);
            next += 1;
        }
        let old = (self.log, self.snapshot);
        self.put(&log_name(self.log + 1), &content)?;
        self.log += 1;
        self.next = next;
        self.snapshot = snapshot;
        if old.0 > 0 {
            let name = log_name(old.0);
            self.attempt(&name, |disk| disk.remove(&name))?;
        }
        if let Some(index) = old.1
            && old.1 != snapshot
        {
            let name = snapshot_name(index);
            self.attempt(&name, |disk| disk.remove(&name))?;
        }
        Ok(())
    }

    /// Puts a whole file in place, so that it is there whole or not at all.
    fn put(&mut self, name: &str, content: &[u8]) -> Result<()> {
        let new = format!("{name}{NEW}");
        self.attempt(&new, |disk| disk.create(&new, content))?;
        self.attempt(&new, |disk| disk.sync(&new))?;
        self.attempt(name, |disk| disk.rename(&new, name))?;
        self.attempt(FOLDER, Disk::sync_folder)
    }

    /// Removes what a crash left behind.
    fn clean(&mut self, names: &[String]) -> Result<()> {
        let log = log_name(self.log);
        let snapshot = self.snapshot.map(snapshot_name);
        for name in names {
            let ours = name.starts_with("log-") || name.starts_with("snapshot-");
            if ours && *name != log && Some(name) != snapshot.as_ref() {
                self.attempt(name, |disk| disk.remove(name))?;
            }
        }
        Ok(())
    }

    fn attempt(&mut self, name: &str, step: impl FnOnce(&mut D) -> io::Result<()>) -> Result<()> {
        step(&mut self.disk).map_err(|error| Error::io(name, error))
    }
}

fn read_snapshot<D: Disk>(disk: &D, index: Index) -> Result<Snapshot> {
    let name = snapshot_name(index);
    let content = disk.read(&name).map_err(|error| Error::io(&name, error))?;
    file::read_snapshot(&name, &content)
}
