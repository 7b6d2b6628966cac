//! The log of a process: one line of JSON per event or message.
//!
//! A dedicated thread writes the lines to standard output or to files in a folder. Logging only
//! puts a line into a bounded queue, so if the reader of standard output stops reading, lines are
//! lost, but the process neither blocks nor uses more memory. Before that, a [`LineBudget`] limits
//! the lines of each event code. Both count the omitted lines and log the number.

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

/// Size at which a log file is rotated, in bytes.
const LOG_BYTES_MAX: u64 = 64 << 20;

/// Number of rotated log files to keep.
const LOG_FILES_MAX: usize = 7;

/// Target of log records that hold an event: its name, a tab, and the event as JSON.
const EVENT_TARGET: &str = "event";

/// A line for a message that is not an event.
#[derive(Serialize)]
struct MessageLine<'a> {
    time: &'a str,
    level: &'a str,
    target: &'a str,
    message: &'a str,
}

/// Fields that precede the event record in its line.
#[derive(Serialize)]
struct EventHeader<'a> {
    time: &'a str,
    level: &'a str,
    name: &'a str,
}

/// Starts logging as configured, until the returned handle is dropped.
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

/// Handle to the log of a process. Dropping it writes the queued lines, unless the reader is too
/// slow.
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
        Err(error) => log::error!("can't serialise an event: {error}"),
    }
}

/// Log level of an event.
fn event_level(code: Code) -> log::Level {
    match code {
        Code::PeerUnreachable
        | Code::MessagesDropped
        | Code::LinesOmitted
        | Code::ProcessStalled
        | Code::LeaderLost
        | Code::QuorumLost
        | Code::DiskSlow
        | Code::ElectionFailed
        | Code::ApplyHalted
        | Code::ConfigReadRefused
        | Code::ServerLost
        | Code::OrderFenced
        | Code::OrderFailed
        | Code::ServerEjected
        | Code::BackendFailed
        | Code::SwitchStalled
        | Code::GroupUnassigned
        | Code::ConfigStale => log::Level::Warn,
        Code::DiskFailed => log::Level::Error,
        _ => log::Level::Info,
    }
}

/// Formats a record as JSON, without a line break.
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
        // Merges the two JSON objects.
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

/// The event that reports the number of omitted lines with an event code.
pub fn omission_event(code: Code, count: u64) -> Event {
    Event::new(Code::LinesOmitted, "")
        .with_fact("kind", code.as_str())
        .with_fact("lines", count)
}
