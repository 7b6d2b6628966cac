//! The data folder on a real disk, written by a thread of its own.
//!
//! A sync takes milliseconds, during which the runtime's only thread must go on. Jobs wait in a
//! channel; the thread writes all that wait as one and syncs once.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;

use eelgrassdyke_control::log::{Job, Recovered};
use eelgrassdyke_control::store::{Disk, Store};
use eelgrassdyke_core::id::Replica;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};

use crate::errors::{Error, Result};

/// File that a process keeps locked while it uses the folder.
const LOCK: &str = "lock";

/// Jobs that may be written as one.
const JOBS_MAX: usize = 1024;

/// What the thread answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Done {
    /// All jobs up to this one are durable.
    Persisted(u64),
    /// A write failed; nothing more is written.
    Failed(String),
}

/// A folder of the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// The file last appended to, kept open.
    open: Option<(String, File)>,
    _lock: File,
}

impl Folder {
    /// Makes the folder if need be and keeps other processes out of it.
    pub fn open(path: &Path) -> Result<Self> {
        let fail = |error| Error::read(path, error);
        fs::create_dir_all(path).map_err(fail)?;
        if let Some(parent) = path.parent() {
            sync_folder(parent).map_err(fail)?;
        }
        let lock = File::create(path.join(LOCK)).map_err(fail)?;
        lock.try_lock().map_err(|_| Error::Content {
            path: path.to_owned(),
            problem: "another process uses this data folder".to_owned(),
            remedy: "stop it, or give each process a folder of its own",
        })?;
        Ok(Self {
            path: path.to_owned(),
            open: None,
            _lock: lock,
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let held = self.open.take().filter(|(open, _)| open == name);
        let held = match held {
            Some(held) => held,
            None => {
                let file = OpenOptions::new().append(true).open(self.path.join(name))?;
                (name.to_owned(), file)
            }
        };
        Ok(&mut self.open.insert(held).1)
    }
}

fn sync_folder(path: &Path) -> io::Result<()> {
    let here = Path::new(".");
    let path = if path.as_os_str().is_empty() {
        here
    } else {
        path
    };
    File::open(path)?.sync_all()
}

impl Disk for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string());
        }
        names.sort_unstable();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str, content: &[u8]) -> io::Result<()> {
        let mut file = File::create(self.path.join(name))?;
        file.write_all(content)?;
        self.open = Some((name.to_owned(), file));
        Ok(())
    }

    fn append(&mut self, name: &str, content: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(content)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        sync_folder(&self.path)
    }
}

/// The thread that writes a data folder.
pub struct Writer {
    jobs: mpsc::Sender<Job>,
}

impl Writer {
    /// Opens a data folder and starts the thread that writes it.
    pub fn start(path: &Path) -> Result<(Self, Recovered, UnboundedReceiver<Done>)> {
        let drawn = Replica(rand::random());
        let folder = Folder::open(path)?;
        let (store, recovered) = Store::open(folder, drawn).map_err(|error| Error::Content {
            path: path.to_owned(),
            problem: error.to_string(),
            remedy: "see docs/operators/control.md",
        })?;
        let (jobs, queue) = mpsc::channel();
        let (answer, answers) = unbounded();
        let thread = thread::Builder::new().name("disk".to_owned());
        thread
            .spawn(move || run(store, &queue, &answer))
            .map_err(Error::Runtime)?;
        Ok((Self { jobs }, recovered, answers))
    }

    /// Queues a job.
    pub fn write(&self, job: Job) {
        // The thread ends only after it has said that the disk failed.
        let _ = self.jobs.send(job);
    }
}

fn run(mut store: Store<Folder>, queue: &mpsc::Receiver<Job>, answer: &UnboundedSender<Done>) {
    while let Ok(first) = queue.recv() {
        let mut jobs = vec![first];
        while jobs.len() < JOBS_MAX
            && let Ok(job) = queue.try_recv()
        {
            jobs.push(job);
        }
        let last = jobs.last().map_or(0, |job| job.number);
        let done = match store.write(&jobs) {
            Ok(()) => Done::Persisted(last),
            Err(error) => Done::Failed(error.to_string()),
        };
        let failed = matches!(done, Done::Failed(_));
        if answer.unbounded_send(done).is_err() || failed {
            return;
        }
    }
}
