//! Writes log lines on a dedicated thread.

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

/// Capacity of the queue, in lines; at 400 bytes a line, below one megabyte.
const QUEUED_LINES_MAX: usize = 2048;

/// Time for which lines are collected before they are written together: waking the thread for each
/// line would cost more than the line itself.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum size of a write, in bytes. Writes of up to this size to a pipe are atomic (PIPE_BUF on
/// Linux), so lines of several processes that share a pipe are not interleaved.
const WRITE_BYTES_MAX: usize = 4096;

/// Maximum wait for the queued lines to be written at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// The thread that writes log lines; it ends when the sink is dropped.
pub struct Sink {
    sender: LineSender,
    thread: Option<JoinHandle<()>>,
}

/// Sends lines to a [`Sink`].
#[derive(Clone)]
pub struct LineSender {
    /// Lines for the thread; none tells it to end.
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

    /// A sender for this sink.
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
        // The deadline lets the process end even if the reader of the log has stopped reading.
        while !thread.is_finished() && Instant::now() < deadline {
            requested = requested || self.sender.queue.try_send(None).is_ok();
            thread::sleep(Duration::from_millis(1));
        }
    }
}

impl LineSender {
    /// Queues a line, or counts it as omitted if the queue is full.
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

/// Appends a line to `buffer`, which is written first if the line would exceed the maximum size.
fn append_line(out: &mut impl Write, buffer: &mut Vec<u8>, line: &[u8]) {
    if buffer.len() + line.len() > WRITE_BYTES_MAX {
        write_buffer(out, buffer);
    }
    buffer.extend_from_slice(line);
}

/// Writes the buffer. Errors are ignored: there is nowhere else to report that the log fails.
fn write_buffer(out: &mut impl Write, buffer: &mut Vec<u8>) {
    let _ = out.write_all(buffer).and_then(|()| out.flush());
    buffer.clear();
}

/// A line with the number of lines omitted because the reader was too slow.
fn omission_line(count: u64) -> Vec<u8> {
    let mut line = Vec::new();
    let code = Code::LinesOmitted;
    let text = format_args!("{count} lines were left out: the reader of the log is too slow");
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
