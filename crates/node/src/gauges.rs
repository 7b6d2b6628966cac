//! Gauges of the metrics endpoint, read from the roles on each scrape.

use eelgrassdyke_agent::Agent;
use eelgrassdyke_control::log::Activity;
use eelgrassdyke_core::id::Version;
use eelgrassdyke_entry::Entry;
use metrics::gauge;

use crate::node::Node;

/// Sets all gauges to the current values of the roles of `node`.
pub fn update(node: &Node) {
    let now = node.now();
    crate::latency::register_histograms();
    gauge!("eelgrassdyke_ready").set(bool_value(node.is_ready()));
    if let Some(entry) = node.entry() {
        let open = entry.read(Entry::open_requests);
        gauge!("eelgrassdyke_requests_open").set(open as f64);
        set_version("entry", entry.read(Entry::version));
        set_control_silence("entry", entry.read(|entry| entry.control_silence(now)));
    }
    if node.entry().is_some() || node.direct().is_some() {
        // Without servers that are called directly none is limited as cold.
        let (cold, assumes_cold) = node.direct().map_or((0, false), |direct| {
            direct.read(|direct| (direct.count_cold_servers(), direct.assumes_cold_servers()))
        });
        gauge!("eelgrassdyke_cold_servers").set(cold as f64);
        gauge!("eelgrassdyke_cold_servers_assumed").set(bool_value(assumes_cold));
    }
    if let Some(agent) = node.agent() {
        let load = agent.read(Agent::load);
        gauge!("eelgrassdyke_attempts_running").set(load.running);
        gauge!("eelgrassdyke_attempts_queued").set(load.queued);
        gauge!("eelgrassdyke_backlog_tokens").set(load.backlog_tokens as f64);
        set_version("agent", agent.read(Agent::config_version));
        set_control_silence("agent", agent.read(|agent| agent.control_silence(now)));
    }
    if let Some(control) = node.control() {
        set_version("control", control.read(|control| control.version()));
        let quorum = control.read(|control| control.has_quorum(now));
        gauge!("eelgrassdyke_quorum").set(bool_value(quorum));
        let progress = control.read(|control| control.log_progress(now));
        gauge!("eelgrassdyke_log_leader").set(bool_value(progress.activity == Activity::Leader));
        gauge!("eelgrassdyke_log_term").set(progress.term.0 as f64);
        gauge!("eelgrassdyke_log_contact_age_seconds").set(progress.contact_age.as_secs_f64());
        gauge!("eelgrassdyke_log_write_age_seconds").set(progress.write_age.as_secs_f64());
        for (state, index) in [
            ("committed", progress.commit_index),
            ("applied", progress.applied_index),
            ("durable", progress.durable_index),
            ("last", progress.last_index),
        ] {
            gauge!("eelgrassdyke_log_index", "state" => state).set(index.0 as f64);
        }
        let quarantines =
            control.read(|control| control.crashes().ledger().quarantines(now).count());
        gauge!("eelgrassdyke_quarantined_parts").set(quarantines as f64);
        let evacuated = control.read(|control| control.evacuated_data_centres().len());
        gauge!("eelgrassdyke_evacuated_data_centres").set(evacuated as f64);
    }
}

fn set_version(role: &'static str, version: Version) {
    gauge!("eelgrassdyke_config_version", "role" => role).set(version.0 as f64);
}

/// Sets the time since the last contact with control; without any contact, since the process
/// started.
fn set_control_silence(role: &'static str, silence: std::time::Duration) {
    gauge!("eelgrassdyke_control_silence_seconds", "role" => role).set(silence.as_secs_f64());
}

fn bool_value(value: bool) -> f64 {
    f64::from(u8::from(value))
}
