//! Writes the data folder of a replica on a dedicated thread.
//!
//! A sync takes milliseconds, during which the only thread of the runtime must not block. Jobs are
//! queued in a channel; the writer thread writes all queued jobs as one batch with a single sync.
//!
//! After a failed write the in-memory view of the folder is unreliable. The writer then discards
//! all queued jobs and tries to reopen the folder until the disk accepts writes, as a restart of
//! the process would. Otherwise a disk that is full for a few seconds would cost the cluster a
//! voter until an operator restarts the process.

use std::cell::Cell;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use eelgrassdyke_control::log::{Job, RecoveredState};
use eelgrassdyke_control::store::{Disk, Store};
use eelgrassdyke_core::id::Replica;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};

use crate::errors::{Error, Result};
use crate::latency;

/// Name of the file that a process keeps locked while it uses the folder.
const LOCK_FILE: &str = "lock";

/// Maximum number of jobs in a batch.
const BATCH_JOBS_MAX: usize = 1024;

/// Time between attempts to reopen a folder after a disk failure; short compared with the time
/// within which the cluster must tolerate the loss of another replica.
const REOPEN_INTERVAL: Duration = Duration::from_millis(250);

/// An event reported by the writer thread.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskEvent {
    /// All jobs up to this number are durable.
    Persisted(u64),
    /// A write failed; all jobs queued so far are discarded.
    Failed(String),
    /// The disk accepts writes again; holds the state recovered from the folder.
    Reopened(Box<RecoveredState>),
}

/// A locked folder of the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// The file written last, kept open.
    open_file: Option<(String, File)>,
    _lock: File,
}

impl Folder {
    /// Creates the folder if it does not exist and locks it against other processes.
    pub fn open(path: &Path) -> Result<Self> {
        let fail = |error| Error::read(path, error);
        fs::create_dir_all(path).map_err(fail)?;
        if let Some(parent) = path.parent() {
            sync_folder(parent).map_err(fail)?;
        }
        let lock = File::create(path.join(LOCK_FILE)).map_err(fail)?;
        lock.try_lock().map_err(|_| Error::Content {
            path: path.to_owned(),
            problem: "the data folder is locked by another process".to_owned(),
            remedy: "stop that process or configure a separate folder for each process",
        })?;
        Ok(Self {
            path: path.to_owned(),
            open_file: None,
            _lock: lock,
        })
    }

    fn file_for_append(&mut self, name: &str) -> io::Result<&mut File> {
        let current = self.open_file.take().filter(|(open, _)| open == name);
        let current = match current {
            Some(current) => current,
            None => {
                let file = OpenOptions::new().append(true).open(self.path.join(name))?;
                (name.to_owned(), file)
            }
        };
        Ok(&mut self.open_file.insert(current).1)
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
        self.open_file = Some((name.to_owned(), file));
        Ok(())
    }

    fn append(&mut self, name: &str, content: &[u8]) -> io::Result<()> {
        self.file_for_append(name)?.write_all(content)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file_for_append(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_file = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        sync_folder(&self.path)
    }
}

/// A newly opened store and the state recovered from it.
pub type OpenStore<D> = (Store<D>, RecoveredState);

/// Handle to the thread that writes a data folder.
pub struct Writer {
    jobs: mpsc::Sender<(u64, Job)>,
    /// Number of times the folder was reopened; jobs from an earlier generation are discarded.
    generation: Cell<u64>,
}

impl Writer {
    /// Opens a data folder and starts the thread that writes it. If the folder is empty, its replica gets
    /// the identity `first_id`, or else a random one.
    pub fn start(
        path: &Path,
        first_id: Option<Replica>,
    ) -> Result<(Self, RecoveredState, UnboundedReceiver<DiskEvent>)> {
        let path = path.to_owned();
        // A folder that is empty when it is opened again has lost its content.
        let is_open = AtomicBool::new(false);
        Self::spawn(move || {
            let first_id = first_id.filter(|_| !is_open.load(Ordering::Relaxed));
            let opened = open_store(&path, first_id.unwrap_or_else(|| Replica(rand::random())))?;
            is_open.store(true, Ordering::Relaxed);
            Ok(opened)
        })
    }

    /// Opens a folder and starts the thread that writes it; after a disk failure, that thread calls
    /// `open` again.
    pub fn spawn<D: Disk + Send + 'static>(
        open: impl Fn() -> Result<OpenStore<D>> + Send + 'static,
    ) -> Result<(Self, RecoveredState, UnboundedReceiver<DiskEvent>)> {
        let (store, recovered) = open()?;
        let (jobs, queue) = mpsc::channel();
        let (event_sender, events) = unbounded();
        let thread = thread::Builder::new().name("disk".to_owned());
        thread
            .spawn(move || run_writer(store, open, &queue, &event_sender))
            .map_err(Error::Runtime)?;
        let generation = Cell::default();
        Ok((Self { jobs, generation }, recovered, events))
    }

    /// Queues a job.
    pub fn enqueue(&self, job: Job) {
        // Fails only after the thread has ended because its events are no longer received.
        let _ = self.jobs.send((self.generation.get(), job));
    }

    /// Acknowledges [`DiskEvent::Reopened`]: jobs queued from now on are based on the recovered
    /// state.
    pub fn acknowledge_reopen(&self) {
        self.generation.set(self.generation.get() + 1);
    }
}

fn open_store(path: &Path, new_replica: Replica) -> Result<OpenStore<Folder>> {
    let folder = Folder::open(path)?;
    Store::open(folder, new_replica).map_err(|error| Error::Content {
        path: path.to_owned(),
        problem: error.to_string(),
        remedy: "see docs/operators/control.md",
    })
}

fn run_writer<D: Disk>(
    mut store: Store<D>,
    open: impl Fn() -> Result<OpenStore<D>>,
    queue: &mpsc::Receiver<(u64, Job)>,
    event_sender: &UnboundedSender<DiskEvent>,
) {
    let mut generation = 0;
    while let Ok(first) = queue.recv() {
        let mut jobs = vec![first];
        while jobs.len() < BATCH_JOBS_MAX
            && let Ok(job) = queue.try_recv()
        {
            jobs.push(job);
        }
        jobs.retain(|(job_generation, _)| *job_generation == generation);
        let jobs: Vec<Job> = jobs.into_iter().map(|(_, job)| job).collect();
        let Some(last) = jobs.last().map(|job| job.number) else {
            continue;
        };
        let started = Instant::now();
        let result = store.write(&jobs);
        latency::record_disk_write(started.elapsed());
        let Err(error) = result else {
            if event_sender
                .unbounded_send(DiskEvent::Persisted(last))
                .is_err()
            {
                return;
            }
            continue;
        };
        if event_sender
            .unbounded_send(DiskEvent::Failed(error.to_string()))
            .is_err()
        {
            return;
        }
        // Releases the lock of the folder, so that it can be opened again.
        drop(store);
        let Some((reopened, recovered)) = reopen(&open, event_sender) else {
            return;
        };
        store = reopened;
        generation += 1;
        let event = DiskEvent::Reopened(Box::new(recovered));
        if event_sender.unbounded_send(event).is_err() {
            return;
        }
    }
}

/// Retries until the folder opens; none once the events are no longer received.
fn reopen<D: Disk>(
    open: impl Fn() -> Result<OpenStore<D>>,
    event_sender: &UnboundedSender<DiskEvent>,
) -> Option<OpenStore<D>> {
    while !event_sender.is_closed() {
        thread::sleep(REOPEN_INTERVAL);
        // The failure was reported when the write failed, so repeated errors are ignored.
        if let Ok(opened) = open() {
            return Some(opened);
        }
    }
    None
}
