//! Runs a process until a signal stops it.

use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::settings::Settings;
use metrics_exporter_prometheus::PrometheusBuilder;

use crate::Node;
use crate::adapter::Adapter;

/// Interval of the checks for received signals.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Result of running a process.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Runs the roles in the settings at `path` until a signal stops the process; with an adapter, it
/// serves a platform that has a protocol of its own.
pub fn run(path: &Path, adapter: Option<Rc<dyn Adapter>>) -> Result<ExitCode> {
    let settings = Settings::read(path)?;
    let _log = crate::log::start(&settings)?;
    for fault in settings.check_files().warnings {
        ::log::warn!("settings: {fault}");
    }
    let metrics = crate::latency::set_buckets(PrometheusBuilder::new())?.install_recorder()?;
    let signals = Signals::install()?;
    let shutdown = crate::runtime::block_on(async {
        let node = Node::start(settings.clone(), Some(metrics), adapter)?;
        while signals.stop_count() == 0 && !node.is_draining() {
            if signals.take_reload() {
                node.timeline()
                    .record_event(compare_settings(&settings, path));
            }
            monoio::time::sleep(SIGNAL_POLL_INTERVAL).await;
        }
        let initial_stops = signals.stop_count();
        node.drain();
        let is_interrupted = || signals.stop_count() > initial_stops;
        Ok::<_, crate::errors::Error>(node.wait_drained(is_interrupted).await)
    })??;
    match shutdown.aborted + shutdown.cut_off {
        0 => Ok(ExitCode::SUCCESS),
        _ => Ok(ExitCode::from(3)),
    }
}

/// Signals received so far.
#[derive(Clone, Default)]
struct Signals {
    stop_count: Arc<AtomicUsize>,
    reload_requested: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the signal handlers.
    fn install() -> Result<Self> {
        use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

        let received = Self::default();
        let writer = received.clone();
        let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])?;
        std::thread::spawn(move || {
            for signal in signals.forever() {
                match signal {
                    SIGHUP => writer.reload_requested.store(true, Ordering::Relaxed),
                    _ => {
                        writer.stop_count.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
        });
        Ok(received)
    }

    /// Number of stop signals received.
    fn stop_count(&self) -> usize {
        self.stop_count.load(Ordering::Relaxed)
    }

    /// Whether SIGHUP was received since the last call.
    fn take_reload(&self) -> bool {
        self.reload_requested.swap(false, Ordering::Relaxed)
    }
}

/// Reports how the settings file differs from the settings in use. Changes take effect at the next
/// start; until then the process learns the addresses of the control processes from control.
fn compare_settings(running: &Settings, path: &Path) -> Event {
    let on_disk = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            return Event::new(Code::SettingsRead, "refused").with_fact("error", error.to_string());
        }
    };
    let fields = |settings: &Settings| serde_json::to_value(settings).unwrap_or_default();
    let (before, after) = (fields(running), fields(&on_disk));
    let names = before.as_object().into_iter().flatten();
    let changed: Vec<&str> = names
        .filter(|(name, value)| after.get(name) != Some(value))
        .map(|(name, _)| name.as_str())
        .collect();
    let detail = match changed.is_empty() {
        true => "unchanged",
        false => "in force at the next start",
    };
    Event::new(Code::SettingsRead, detail).with_fact("changed", changed.join(" "))
}
