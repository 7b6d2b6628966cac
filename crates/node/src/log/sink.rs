//! The thread that writes log lines.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use eelgrassdyke_core::event::Code;
use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;

use super::format;

/// Lines that wait at most; at 400 bytes each, below one megabyte.
const WAITING_MAX: usize = 2048;

/// Time for which lines are gathered and then written at once: a thread that woke for each line would
/// cost more than the line.
const GATHER: Duration = Duration::from_millis(50);

/// Bytes that are written at once: a pipe takes them whole (PIPE_BUF of Linux), so that lines of
/// processes that share one are not mixed.
const WRITE_BYTES: usize = 4096;

/// Longest time in which the last lines are written when the process ends.
const LAST_WRITE_MAX: Duration = Duration::from_millis(500);

/// A thread that writes lines; it ends when the sink is dropped.
pub struct Sink {
    lines: Lines,
    thread: Option<JoinHandle<()>>,
}

/// The way into a sink.
#[derive(Clone)]
pub struct Lines {
    /// None asks the thread to end.
    queue: SyncSender<Option<Vec<u8>>>,
    omitted: Arc<AtomicU64>,
}

impl Sink {
    /// Starts the thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (queue, waiting) = sync_channel(WAITING_MAX);
        let omitted = Arc::new(AtomicU64::new(0));
        let lines = Lines {
            queue,
            omitted: omitted.clone(),
        };
        let thread = thread::Builder::new().name("log".to_owned());
        let thread = thread.spawn(move || run(out, &waiting, &omitted))?;
        Ok(Self {
            lines,
            thread: Some(thread),
        })
    }

    /// A way into it.
    pub fn lines(&self) -> Lines {
        self.lines.clone()
    }
}

impl Drop for Sink {
    fn drop(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        let until = Instant::now() + LAST_WRITE_MAX;
        let mut asked = false;
        // A reader that reads no more can't keep the process from ending.
        while !thread.is_finished() && Instant::now() < until {
            asked = asked || self.lines.queue.try_send(None).is_ok();
            thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Lines {
    /// Has a line written, or counts it as left out when too many wait.
    pub fn push(&self, mut line: Vec<u8>) {
        line.push(b'\n');
        if self.queue.try_send(Some(line)).is_err() {
            self.omitted.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl LogWriter for Lines {
    fn write(&self, now: &mut DeferredNow, record: &log::Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(512);
        format(&mut line, now, record)?;
        self.push(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

fn run(mut out: impl Write, waiting: &Receiver<Option<Vec<u8>>>, omitted: &AtomicU64) {
    let mut text = Vec::with_capacity(WRITE_BYTES);
    let mut ends = false;
    while !ends {
        let Ok(Some(first)) = waiting.recv() else {
            return;
        };
        add(&mut out, &mut text, &first);
        thread::sleep(GATHER);
        for line in waiting.try_iter() {
            match line {
                Some(line) => add(&mut out, &mut text, &line),
                None => ends = true,
            }
        }
        let count = omitted.swap(0, Ordering::Relaxed);
        if count > 0 {
            add(&mut out, &mut text, &omission(count));
        }
        put(&mut out, &mut text);
    }
}

/// Adds a line to `text`, which is written before it grows too long.
fn add(out: &mut impl Write, text: &mut Vec<u8>, line: &[u8]) {
    if text.len() + line.len() > WRITE_BYTES {
        put(out, text);
    }
    text.extend_from_slice(line);
}

/// Writes what was gathered. There is no other place to tell of a log that can't be written.
fn put(out: &mut impl Write, text: &mut Vec<u8>) {
    let _ = out.write_all(text).and_then(|()| out.flush());
    text.clear();
}

/// A line that says how many were left out, as their reader did not keep up.
fn omission(count: u64) -> Vec<u8> {
    let mut line = Vec::new();
    let code = Code::LinesOmitted;
    let text = format_args!("{count} lines were left out, as the reader of the log is too slow");
    let record = log::Record::builder()
        .level(log::Level::Warn)
        .target(code.as_str())
        .args(text)
        .build();
    if format(&mut line, &mut DeferredNow::new(), &record).is_ok() {
        line.push(b'\n');
    }
    line
}
