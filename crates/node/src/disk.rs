//! The data folder on a real disk, written by a thread of its own.
//!
//! A sync takes milliseconds, during which the runtime's only thread must go on. Jobs wait in a
//! channel; the thread writes all that wait as one and syncs once.
//!
//! After a write failed, nothing that the process believes of the folder can be relied on: the
//! thread drops all jobs and opens the folder anew until the disk takes writes again, as a restart
//! of the process would. Without that, a disk that was full for some seconds would cost the cluster
//! a voter until somebody started the process again.

use std::cell::Cell;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use eelgrassdyke_control::log::{Job, RecoveredState};
use eelgrassdyke_control::store::{Disk, Store};
use eelgrassdyke_core::id::Replica;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};

use crate::errors::{Error, Result};

/// File that a process keeps locked while it uses the folder.
const LOCK: &str = "lock";

/// Jobs that may be written as one.
const JOBS_MAX: usize = 1024;

/// Time between two attempts to open a folder whose disk failed; short beside the time in which a
/// cluster must be able to lose the next replica.
const REOPEN_INTERVAL: Duration = Duration::from_millis(250);

/// What the thread answers.
#[derive(Clone, Debug, PartialEq)]
pub enum Done {
    /// All jobs up to this one are durable.
    Persisted(u64),
    /// A write failed; no job handed over so far is written any more.
    Failed(String),
    /// The disk takes writes again, and this is what the folder holds.
    Reopened(Box<RecoveredState>),
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

/// A folder just opened, and what it holds.
pub type Opened<D> = (Store<D>, RecoveredState);

/// The thread that writes a data folder.
pub struct Writer {
    jobs: mpsc::Sender<(u64, Job)>,
    /// How often the folder was opened anew; jobs decided on before that are void.
    life: Cell<u64>,
}

impl Writer {
    /// Opens a data folder and starts the thread that writes it.
    pub fn start(path: &Path) -> Result<(Self, RecoveredState, UnboundedReceiver<Done>)> {
        let path = path.to_owned();
        Self::spawn(move || open(&path))
    }

    /// Opens a folder and starts the thread that writes it; `open` is called again, on that thread,
    /// after the disk failed.
    pub fn spawn<D: Disk + Send + 'static>(
        open: impl Fn() -> Result<Opened<D>> + Send + 'static,
    ) -> Result<(Self, RecoveredState, UnboundedReceiver<Done>)> {
        let (store, recovered) = open()?;
        let (jobs, queue) = mpsc::channel();
        let (answer, answers) = unbounded();
        let thread = thread::Builder::new().name("disk".to_owned());
        thread
            .spawn(move || run(store, open, &queue, &answer))
            .map_err(Error::Runtime)?;
        let life = Cell::default();
        Ok((Self { jobs, life }, recovered, answers))
    }

    /// Queues a job.
    pub fn write(&self, job: Job) {
        // The thread ends only when nobody hears its answers any more.
        let _ = self.jobs.send((self.life.get(), job));
    }

    /// Takes in [`Done::Reopened`]: jobs from here on are decided on what the folder holds now.
    pub fn renew(&self) {
        self.life.set(self.life.get() + 1);
    }
}

fn open(path: &Path) -> Result<Opened<Folder>> {
    let drawn = Replica(rand::random());
    let folder = Folder::open(path)?;
    Store::open(folder, drawn).map_err(|error| Error::Content {
        path: path.to_owned(),
        problem: error.to_string(),
        remedy: "see docs/operators/control.md",
    })
}

fn run<D: Disk>(
    mut store: Store<D>,
    open: impl Fn() -> Result<Opened<D>>,
    queue: &mpsc::Receiver<(u64, Job)>,
    answer: &UnboundedSender<Done>,
) {
    let mut life = 0;
    while let Ok(first) = queue.recv() {
        let mut jobs = vec![first];
        while jobs.len() < JOBS_MAX
            && let Ok(job) = queue.try_recv()
        {
            jobs.push(job);
        }
        jobs.retain(|(decided, _)| *decided == life);
        let jobs: Vec<Job> = jobs.into_iter().map(|(_, job)| job).collect();
        let Some(last) = jobs.last().map(|job| job.number) else {
            continue;
        };
        let Err(error) = store.write(&jobs) else {
            if answer.unbounded_send(Done::Persisted(last)).is_err() {
                return;
            }
            continue;
        };
        if answer
            .unbounded_send(Done::Failed(error.to_string()))
            .is_err()
        {
            return;
        }
        // The folder is let go first, as it may be opened only once at a time.
        drop(store);
        let Some((reopened, recovered)) = reopen(&open, answer) else {
            return;
        };
        store = reopened;
        life += 1;
        let done = Done::Reopened(Box::new(recovered));
        if answer.unbounded_send(done).is_err() {
            return;
        }
    }
}

/// Opens the folder once its disk takes writes; none when nobody waits for that any more.
fn reopen<D: Disk>(
    open: impl Fn() -> Result<Opened<D>>,
    answer: &UnboundedSender<Done>,
) -> Option<Opened<D>> {
    while !answer.is_closed() {
        thread::sleep(REOPEN_INTERVAL);
        // Why the disk fails has been said; that it still does is no news.
        if let Ok(opened) = open() {
            return Some(opened);
        }
    }
    None
}
