//! The thread that writes a data folder, on a disk that refuses writes for a while.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use eelgrassdyke_control::log::{HardState, Job, Write};
use eelgrassdyke_control::store::{Disk, Store};
use eelgrassdyke_core::id::{Replica, Term};
use eelgrassdyke_node::disk::{Done, Folder, Writer};
use eelgrassdyke_node::errors::Error;
use eelgrassdyke_node::runtime::block_on;
use futures_util::StreamExt as _;

/// A real folder on a disk that can be made full.
struct Refusing {
    folder: Folder,
    full: Arc<AtomicBool>,
}

impl Refusing {
    fn check(&self) -> io::Result<()> {
        match self.full.load(Ordering::Relaxed) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

impl Disk for Refusing {
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

fn promise(number: u64, term: u64) -> Job {
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
fn a_folder_is_opened_again_when_its_disk_takes_writes() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("reopened");
    let _ = std::fs::remove_dir_all(&path);
    let full = Arc::new(AtomicBool::new(false));
    let (at, filled) = (path.clone(), full.clone());
    let open = move || {
        let folder = Folder::open(&at)?;
        let full = filled.clone();
        Store::open(Refusing { folder, full }, Replica(7)).map_err(|error| Error::Content {
            path: at.clone(),
            problem: error.to_string(),
            remedy: "none",
        })
    };
    let (writer, recovered, mut done) = Writer::spawn(open).expect("the folder opens");
    assert_eq!(recovered.replica, Replica(7));
    let mut next = || {
        block_on(done.next())
            .expect("it starts")
            .expect("the thread runs")
    };

    writer.write(promise(1, 1));
    assert_eq!(next(), Done::Persisted(1));
    full.store(true, Ordering::Relaxed);
    writer.write(promise(2, 2));
    assert!(matches!(next(), Done::Failed(_)));
    // Decided before the failure was heard of.
    writer.write(promise(3, 3));
    full.store(false, Ordering::Relaxed);
    let Done::Reopened(recovered) = next() else {
        panic!("the disk takes writes, but the folder is not opened");
    };
    assert_eq!(
        (recovered.replica, recovered.hard_state.term),
        (Replica(7), Term(1))
    );
    writer.renew();
    writer.write(promise(1, 9));
    assert_eq!(next(), Done::Persisted(1));

    drop(writer);
    assert!(block_on(done.next()).expect("it starts").is_none());
    let folder = Folder::open(&path).expect("nobody holds the folder");
    let (_, recovered) = Store::open(folder, Replica(8)).expect("it reads");
    assert_eq!(recovered.hard_state.term, Term(9));
}
