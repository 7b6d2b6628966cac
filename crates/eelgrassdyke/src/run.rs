//! Runs and checks processes.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use eelgrassdyke_core::settings::Settings;
use eelgrassdyke_node::Node;
use flexi_logger::{Cleanup, Criterion, FileSpec, Naming};
use metrics_exporter_prometheus::PrometheusBuilder;

/// Size at which a log file is closed and the next one begun, in bytes.
const LOG_BYTES_MAX: u64 = 64 << 20;

/// Closed log files that are kept.
const LOG_FILES_MAX: usize = 7;

/// Result of a command.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Time between two looks at received signals.
const SIGNAL_POLL: Duration = Duration::from_millis(20);

/// Runs the roles that a settings file names until a signal asks it to stop.
pub fn run(path: &Path) -> Result<ExitCode> {
    let settings = Settings::read(path)?;
    let _logger = start_log(&settings)?;
    for fault in settings.check_files().warnings {
        log::warn!("{}: {fault}", path.display());
    }
    let metrics = PrometheusBuilder::new().install_recorder()?;
    let signals = Arc::new(AtomicUsize::new(0));
    count_signals(signals.clone())?;
    let shutdown = eelgrassdyke_node::runtime::block_on(async {
        let node = Node::start(settings, Some(metrics))?;
        while signals.load(Ordering::Relaxed) == 0 && !node.is_draining() {
            monoio::time::sleep(SIGNAL_POLL).await;
        }
        let begun = signals.load(Ordering::Relaxed);
        node.drain();
        let hurry = || signals.load(Ordering::Relaxed) > begun;
        Ok::<_, eelgrassdyke_node::errors::Error>(node.drained(hurry).await)
    })??;
    match shutdown.cut {
        0 => Ok(ExitCode::SUCCESS),
        _ => Ok(ExitCode::from(3)),
    }
}

/// Counts the signals that ask the process to stop.
fn count_signals(count: Arc<AtomicUsize>) -> Result<()> {
    use signal_hook::consts::{SIGINT, SIGTERM};

    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])?;
    std::thread::spawn(move || {
        for _ in signals.forever() {
            count.fetch_add(1, Ordering::Relaxed);
        }
    });
    Ok(())
}

/// Checks a settings file and the files that it names, and prints everything found.
pub fn check(path: &Path) -> Result<ExitCode> {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            println!("{error}");
            return Ok(ExitCode::FAILURE);
        }
    };
    let files = settings.check_files();
    for fault in &files.errors {
        println!("{}: {fault}", path.display());
    }
    for fault in &files.warnings {
        println!("{}: warning: {fault}", path.display());
    }
    if !files.errors.is_empty() {
        return Ok(ExitCode::FAILURE);
    }
    println!(
        "{}: good settings for process {}",
        path.display(),
        settings.process
    );
    Ok(ExitCode::SUCCESS)
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
