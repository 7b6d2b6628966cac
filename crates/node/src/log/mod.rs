//! The log of a process: a line of JSON for each event and each message.
//!
//! Lines go to standard output, or to files in a folder, through a thread of their own: whoever logs
//! only puts a line into a bounded queue, so a reader that stops reading costs lines, never time or
//! memory. A [`LineBudget`] bounds the lines of each kind before that. Both count what they leave out, and
//! a line says how much that was.

use std::io::{self, Write};

use eelgrassdyke_core::event::{Code, Event, EventRecord};
use eelgrassdyke_core::settings::Settings;
use flexi_logger::{
    Cleanup, Criterion, DeferredNow, FileSpec, Logger, LoggerHandle, Naming, writers::FileLogWriter,
};
use serde::Serialize;

mod budget;
mod sink;

pub use budget::LineBudget;
pub use sink::Sink;

/// Size at which a log file is closed and the next one begun, in bytes.
const LOG_BYTES_MAX: u64 = 64 << 20;

/// Closed log files that are kept.
const LOG_FILES_MAX: usize = 7;

/// Target of records whose text is an event in JSON.
const EVENT_TARGET: &str = "event";

/// A message that is no event, as a line.
#[derive(Serialize)]
struct MessageLine<'a> {
    time: &'a str,
    level: &'a str,
    target: &'a str,
    message: &'a str,
}

/// What a line of an event says beside the record itself.
#[derive(Serialize)]
struct EventHeader<'a> {
    time: &'a str,
    level: &'a str,
    name: &'a str,
}

/// Starts the log that the settings ask for; it ends when the handle is dropped.
pub fn start(settings: &Settings) -> Result<Log, Box<dyn std::error::Error>> {
    let out: Box<dyn Write + Send> = match &settings.log.folder {
        None => Box::new(io::stdout()),
        Some(folder) => {
            let file = FileSpec::default()
                .directory(folder)
                .basename(settings.process.as_str());
            let (writer, _) = FileLogWriter::builder(file)
                .rotate(
                    Criterion::Size(LOG_BYTES_MAX),
                    Naming::Numbers,
                    Cleanup::KeepLogFiles(LOG_FILES_MAX),
                )
                .append()
                .try_build_with_handle()?;
            Box::new(writer)
        }
    };
    let sink = Sink::start(out)?;
    let writer = sink.sender();
    let logger = Logger::try_with_str(&settings.log.level)?
        .log_to_writer(Box::new(writer))
        .start()?;
    Ok(Log {
        _logger: logger,
        _sink: sink,
    })
}

/// The running log of a process; what was logged before it is dropped is written, if its reader reads.
pub struct Log {
    _logger: LoggerHandle,
    _sink: Sink,
}

/// Logs an event.
pub fn write(record: &EventRecord) {
    let level = event_level(record.event.code);
    if level > log::max_level() {
        return;
    }
    match serde_json::to_string(record) {
        Ok(text) => {
            log::log!(target: EVENT_TARGET, level, "{}\t{text}", record.event.code.as_str());
        }
        Err(error) => log::error!("an event can't be written: {error}"),
    }
}

/// How urgent an event is for those who operate the system.
fn event_level(code: Code) -> log::Level {
    match code {
        Code::PeerUnreachable
        | Code::LinesOmitted
        | Code::QuorumLost
        | Code::ServerLost
        | Code::OrderFenced
        | Code::OrderFailed
        | Code::ServerEjected
        | Code::BackendFailed
        | Code::SwitchStalled
        | Code::ConfigStale => log::Level::Warn,
        Code::DiskFailed => log::Level::Error,
        _ => log::Level::Info,
    }
}

/// Formats a record as a line of JSON, without the end of the line.
fn format_line(
    line: &mut Vec<u8>,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> io::Result<()> {
    let time = now.format_rfc3339();
    let level = record.level().as_str();
    let text = record.args().to_string();
    if record.target() == EVENT_TARGET
        && let Some((name, event)) = text.split_once('\t')
    {
        let header = EventHeader {
            time: &time,
            level,
            name,
        };
        serde_json::to_writer(&mut *line, &header)?;
        // The two objects become one.
        line.pop();
        line.push(b',');
        return line.write_all(&event.as_bytes()[1..]);
    }
    let line_content = MessageLine {
        time: &time,
        level,
        target: record.target(),
        message: &text,
    };
    Ok(serde_json::to_writer(line, &line_content)?)
}

/// The line that says how many lines of a kind were left out.
pub fn omission_event(code: Code, count: u64) -> Event {
    Event::new(Code::LinesOmitted, "")
        .with_fact("kind", code.as_str())
        .with_fact("lines", count)
}
