//! Tests of the disk writer: a disk that rejects writes for a while must not stop a replica for
//! good, and an emptied one is a new replica.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use eelgrassdyke_control::log::{HardState, Job, Snapshot, Write};
use eelgrassdyke_control::store::{Disk, Store};
use eelgrassdyke_core::id::{Index, Replica, Term};
use eelgrassdyke_core::wire::log::Members;
use eelgrassdyke_node::disk::{DiskEvent, Folder, Writer};
use eelgrassdyke_node::errors::Error;
use eelgrassdyke_node::runtime::block_on;
use futures_util::StreamExt as _;

/// A real folder that can simulate a full disk.
struct FullDisk {
    folder: Folder,
    full: Arc<AtomicBool>,
}

impl FullDisk {
    fn check(&self) -> io::Result<()> {
        match self.full.load(Ordering::Relaxed) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

impl Disk for FullDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        self.folder.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.folder.read(name)
    }

    fn create(&mut self, name: &str, content: &[u8]) -> io::Result<()> {
        self.check()?;
        self.folder.create(name, content)
    }

    fn append(&mut self, name: &str, content: &[u8]) -> io::Result<()> {
        self.check()?;
        self.folder.append(name, content)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.folder.sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.folder.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.folder.remove(name)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.folder.sync_folder()
    }
}

fn persist_term(number: u64, term: u64) -> Job {
    let hard = HardState {
        term: Term(term),
        ..HardState::default()
    };
    Job {
        number,
        writes: vec![Write::HardState(hard)],
    }
}

#[test]
fn folder_is_reopened_when_the_disk_accepts_writes_again() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("reopened");
    let _ = std::fs::remove_dir_all(&path);
    let full = Arc::new(AtomicBool::new(false));
    let (folder_path, is_full) = (path.clone(), full.clone());
    let open = move || {
        let folder = Folder::open(&folder_path)?;
        let full = is_full.clone();
        Store::open(FullDisk { folder, full }, Replica(7)).map_err(|error| Error::Content {
            path: folder_path.clone(),
            problem: error.to_string(),
            remedy: "none",
        })
    };
    let (writer, recovered, mut events) = Writer::spawn(open).expect("the folder opens");
    assert_eq!(recovered.replica, Replica(7));
    let mut next = || {
        block_on(events.next())
            .expect("the runtime starts")
            .expect("the writer thread is running")
    };

    writer.enqueue(persist_term(1, 1));
    assert_eq!(next(), DiskEvent::Persisted(1));
    full.store(true, Ordering::Relaxed);
    writer.enqueue(persist_term(2, 2));
    assert!(matches!(next(), DiskEvent::Failed(_)));
    // Queued before the failure is acknowledged, so it must be discarded.
    writer.enqueue(persist_term(3, 3));
    full.store(false, Ordering::Relaxed);
    let DiskEvent::Reopened(recovered) = next() else {
        panic!("the disk accepts writes, but the folder was not reopened");
    };
    assert_eq!(
        (recovered.replica, recovered.hard_state.term),
        (Replica(7), Term(1))
    );
    writer.acknowledge_reopen();
    writer.enqueue(persist_term(1, 9));
    assert_eq!(next(), DiskEvent::Persisted(1));

    drop(writer);
    assert!(
        block_on(events.next())
            .expect("the runtime starts")
            .is_none()
    );
    let folder = Folder::open(&path).expect("the folder is unlocked");
    let (_, recovered) = Store::open(folder, Replica(8)).expect("the store is readable");
    assert_eq!(recovered.hard_state.term, Term(9));
}

#[test]
fn identity_of_the_first_start_is_not_used_again_for_a_folder_that_was_emptied() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("emptied");
    let _ = std::fs::remove_dir_all(&path);
    let (writer, recovered, mut events) =
        Writer::start(&path, Some(Replica(7))).expect("the folder opens");
    assert_eq!(recovered.replica, Replica(7));
    let mut next = || {
        block_on(events.next())
            .expect("the runtime starts")
            .expect("the writer thread is running")
    };

    writer.enqueue(persist_term(1, 1));
    assert_eq!(next(), DiskEvent::Persisted(1));
    std::fs::remove_dir_all(&path).expect("the folder is removed");
    // A snapshot needs new files in the folder.
    let snapshot = Write::Snapshot {
        snapshot: Snapshot {
            index: Index(1),
            term: Term(1),
            members: Members::default(),
            data: Arc::default(),
        },
        hard_state: HardState::default(),
        records: Vec::new(),
    };
    let writes = vec![snapshot];
    writer.enqueue(Job { number: 2, writes });
    assert!(matches!(next(), DiskEvent::Failed(_)));
    let DiskEvent::Reopened(recovered) = next() else {
        panic!("the folder was not reopened");
    };
    assert_ne!(recovered.replica, Replica(7));
}
