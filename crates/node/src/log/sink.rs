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

use super::format_line;

/// LineSender that wait at most; at 400 bytes each, below one megabyte.
const QUEUED_LINES_MAX: usize = 2048;

/// Time for which lines are gathered and then written at once: a thread that woke for each line would
/// cost more than the line.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Bytes that are written at once: a pipe takes them whole (PIPE_BUF of Linux), so that lines of
/// processes that share one are not mixed.
const WRITE_BYTES_MAX: usize = 4096;

/// Longest time in which the last lines are written when the process is_closing.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// A thread that writes lines; it is_closing when the sink is dropped.
pub struct Sink {
    sender: LineSender,
    thread: Option<JoinHandle<()>>,
}

/// The way into a sink.
#[derive(Clone)]
pub struct LineSender {
    /// None asks the thread to end.
    queue: SyncSender<Option<Vec<u8>>>,
    omitted: Arc<AtomicU64>,
}

impl Sink {
    /// Starts the thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUED_LINES_MAX);
        let omitted = Arc::new(AtomicU64::new(0));
        let line_sender = LineSender {
            queue: sender,
            omitted: omitted.clone(),
        };
        let thread = thread::Builder::new().name("log".to_owned());
        let thread = thread.spawn(move || run_writer(out, &receiver, &omitted))?;
        Ok(Self {
            sender: line_sender,
            thread: Some(thread),
        })
    }

    /// A way into it.
    pub fn sender(&self) -> LineSender {
        self.sender.clone()
    }
}

impl Drop for Sink {
    fn drop(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut requested = false;
        // A reader that reads no more can't keep the process from ending.
        while !thread.is_finished() && Instant::now() < deadline {
            requested = requested || self.sender.queue.try_send(None).is_ok();
            thread::sleep(Duration::from_millis(1));
        }
    }
}

impl LineSender {
    /// Has a line written, or counts it as left out when too many wait.
    pub fn push(&self, mut line: Vec<u8>) {
        line.push(b'\n');
        if self.queue.try_send(Some(line)).is_err() {
            self.omitted.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl LogWriter for LineSender {
    fn write(&self, now: &mut DeferredNow, record: &log::Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(512);
        format_line(&mut line, now, record)?;
        self.push(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

fn run_writer(mut out: impl Write, queue: &Receiver<Option<Vec<u8>>>, omitted: &AtomicU64) {
    let mut buffer = Vec::with_capacity(WRITE_BYTES_MAX);
    let mut is_closing = false;
    while !is_closing {
        let Ok(Some(first)) = queue.recv() else {
            return;
        };
        append_line(&mut out, &mut buffer, &first);
        thread::sleep(BATCH_INTERVAL);
        for line in queue.try_iter() {
            match line {
                Some(line) => append_line(&mut out, &mut buffer, &line),
                None => is_closing = true,
            }
        }
        let count = omitted.swap(0, Ordering::Relaxed);
        if count > 0 {
            append_line(&mut out, &mut buffer, &omission_line(count));
        }
        write_buffer(&mut out, &mut buffer);
    }
}

/// Adds a line to `text`, which is written before it grows too long.
fn append_line(out: &mut impl Write, buffer: &mut Vec<u8>, line: &[u8]) {
    if buffer.len() + line.len() > WRITE_BYTES_MAX {
        write_buffer(out, buffer);
    }
    buffer.extend_from_slice(line);
}

/// Writes what was gathered. There is no other place to tell of a log that can't be written.
fn write_buffer(out: &mut impl Write, buffer: &mut Vec<u8>) {
    let _ = out.write_all(buffer).and_then(|()| out.flush());
    buffer.clear();
}

/// A line that says how many were left out, as their reader did not keep up.
fn omission_line(count: u64) -> Vec<u8> {
    let mut line = Vec::new();
    let code = Code::LinesOmitted;
    let text = format_args!("{count} lines were left out, as the reader of the log is too slow");
    let record = log::Record::builder()
        .level(log::Level::Warn)
        .target(code.as_str())
        .args(text)
        .build();
    if format_line(&mut line, &mut DeferredNow::new(), &record).is_ok() {
        line.push(b'\n');
    }
    line
}
