//! Runs one process from its settings until a signal asks it to stop.

use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use eelgrassdyke_core::settings::Settings;
use flexi_logger::{Cleanup, Criterion, FileSpec, Naming};
use metrics_exporter_prometheus::PrometheusBuilder;

use crate::Node;
use crate::adapter::Adapter;

/// Size at which a log file is closed and the next one begun, in bytes.
const LOG_BYTES_MAX: u64 = 64 << 20;

/// Closed log files that are kept.
const LOG_FILES_MAX: usize = 7;

/// Time between two looks at received signals.
const SIGNAL_POLL: Duration = Duration::from_millis(50);

/// Result of running a process.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Runs the roles that `settings` name until a signal asks the process to stop; an adapter lets it
/// serve a platform with a protocol of its own.
pub fn run(settings: Settings, adapter: Option<Rc<dyn Adapter>>) -> Result<ExitCode> {
    let _logger = start_log(&settings)?;
    for fault in settings.check_files().warnings {
        log::warn!("settings: {fault}");
    }
    let metrics = PrometheusBuilder::new().install_recorder()?;
    let signals = Arc::new(AtomicUsize::new(0));
    count_signals(signals.clone())?;
    let shutdown = crate::runtime::block_on(async {
        let node = match adapter {
            Some(adapter) => Node::start_on_platform(settings, Some(metrics), adapter)?,
            None => Node::start(settings, Some(metrics))?,
        };
        while signals.load(Ordering::Relaxed) == 0 && !node.is_draining() {
            monoio::time::sleep(SIGNAL_POLL).await;
        }
        let begun = signals.load(Ordering::Relaxed);
        node.drain();
        let hurry = || signals.load(Ordering::Relaxed) > begun;
        Ok::<_, crate::errors::Error>(node.drained(hurry).await)
    })??;
    match shutdown.cut {
        0 => Ok(ExitCode::SUCCESS),
        _ => Ok(ExitCode::from(3)),
    }
}

/// Counts the signals that ask the process to stop.
fn count_signals(count: Arc<AtomicUsize>) -> Result<()> {
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    std::thread::spawn(move || {
        for signal in signals.forever() {
            // What a process needs of its settings it takes in at its start.
            if signal != SIGHUP {
                count.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    Ok(())
}

/// Starts the log that the settings ask for.
fn start_log(settings: &Settings) -> Result<flexi_logger::LoggerHandle> {
    let logger = flexi_logger::Logger::try_with_str(&settings.log.level)?;
    let logger = match &settings.log.folder {
        None => logger.log_to_stderr(),
        Some(folder) => logger
            .log_to_file(
                FileSpec::default()
                    .directory(folder)
                    .basename(settings.process.as_str()),
            )
            .rotate(
                Criterion::Size(LOG_BYTES_MAX),
                Naming::Numbers,
                Cleanup::KeepLogFiles(LOG_FILES_MAX),
            )
            .append(),
    };
    Ok(logger.format(flexi_logger::detailed_format).start()?)
}
