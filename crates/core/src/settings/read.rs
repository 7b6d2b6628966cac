//! Reads the fields of the settings and validates their values.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::jsonc::{Fault, Tree};
use crate::unit::{Permille, TokenRate};

use super::section::{Section, SettingsReader};
use super::{
    AgentSettings, ClusterStart, ControlSettings, DirectSettings, EntrySettings, LimitSettings,
    LogSettings, RankSettings, Settings, WatchSettings,
};

/// Names of the log levels.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Default heartbeat interval of servers.
const DEFAULT_HEARTBEAT_MS: u64 = 750;

const SECONDS_REMEDY: &str = "give a number of seconds";

const NAME_REMEDY: &str = "give a name of letters, digits and . _ : / -";
const ADDRESS_REMEDY: &str = "give an address as \"IP:PORT\"";
const ADDRESSES_REMEDY: &str = "give a list of addresses, each as \"IP:PORT\"";
const FILE_REMEDY: &str = "give the path of a file, from the folder of the settings";
const FOLDER_REMEDY: &str = "give the path of a folder, from the folder of the settings";
const COUNT_REMEDY: &str = "give a whole number of at least 1";
const MILLISECONDS_REMEDY: &str = "give a whole number of milliseconds";

/// Reads the settings in `tree`; the error lists all faults.
pub fn from_tree(tree: &Tree) -> Result<Settings, Vec<Fault>> {
    let reader = SettingsReader::new(tree);
    let settings = reader.root().and_then(|section| read_settings(&section));
    let faults = reader.into_faults();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

fn read_settings(section: &Section<'_>) -> Option<Settings> {
    let process = section.required("process", NAME_REMEDY);
    let host = section.required("host", NAME_REMEDY);
    let data_centre = section.required("data_centre", NAME_REMEDY);
    let region = section.required("region", NAME_REMEDY);
    let listen = section.required("listen", ADDRESS_REMEDY);
    let advertise = section.optional("advertise", ADDRESS_REMEDY);
    let metrics = section.optional("metrics", ADDRESS_REMEDY);
    let control: Option<Vec<SocketAddr>> = section.required("control", ADDRESSES_REMEDY);
    let trusted_network = section.value_or("trusted_network", false, "give true or false");
    let (peer_secret_file, operator_tokens_file) = match trusted_network {
        Some(true) => (
            section.optional("peer_secret_file", FILE_REMEDY),
            section.optional("operator_tokens_file", FILE_REMEDY),
        ),
        _ => (
            section.required("peer_secret_file", FILE_REMEDY),
            section.required("operator_tokens_file", FILE_REMEDY),
        ),
    };
    let has_secrets = peer_secret_file.is_some() && operator_tokens_file.is_some();
    let log = section.subsection("log");
    let limits = section.subsection("limits");
    let entry = section.subsection("entry_role");
    let control_role = section.subsection("control_role");
    let agent = section.subsection("agent_role");
    let watch = section.subsection("watch_role");
    section.report_unknown_fields();

    check_listen(section, listen, advertise);
    check_control_list(section, "control", control.as_deref());
    let has_role = entry.is_some() || control_role.is_some() || agent.is_some() || watch.is_some();
    if !has_role {
        let remedy = "add entry_role, control_role, agent_role or watch_role";
        section.report_section_fault(&"the process has no role", remedy);
    }

    if !has_secrets && trusted_network != Some(true) {
        return None;
    }
    let log = log.map_or_else(
        || Some(LogSettings::default()),
        |section| read_log(&section),
    );
    let limits = limits.map_or_else(
        || Some(LimitSettings::default()),
        |section| read_limits(&section),
    );
    let entry_role = entry.map(|section| read_entry(&section, listen));
    let control_role = control_role.map(|section| read_control(&section, listen, advertise));
    let agent_role = agent.map(|section| read_agent(&section, listen));
    let watch_role = watch.map(|section| read_watch(&section));
    let entry_listen = entry_role.iter().flatten().map(|entry| entry.listen).next();
    if let (Some(Some(agent)), Some(entry_listen)) = (&agent_role, entry_listen)
        && agent.backend == entry_listen
    {
        let remedy = "give the address of the backend server";
        section.report_fault(
            "agent_role",
            &"backend is the listening address of entry_role",
            remedy,
        );
    }
    Some(Settings {
        process: process?,
        host: host?,
        data_centre: data_centre?,
        region: region?,
        listen: listen?,
        advertise,
        metrics,
        control_addresses: control?,
        peer_secret_file,
        operator_tokens_file,
        log: log?,
        limits: limits?,
        entry_role: valid_if_present(entry_role)?,
        control_role: valid_if_present(control_role)?,
        agent_role: valid_if_present(agent_role)?,
        watch_role: valid_if_present(watch_role)?,
    })
}

/// None for a section that is present but invalid; `Some(None)` for an absent one.
fn valid_if_present<T>(section: Option<Option<T>>) -> Option<Option<T>> {
    match section {
        None => Some(None),
        Some(value) => value.map(Some),
    }
}

/// Checks that other processes can reach the announced address.
fn check_listen(section: &Section<'_>, listen: Option<SocketAddr>, advertise: Option<SocketAddr>) {
    if let Some(advertise) = advertise {
        check_reachable(section, "advertise", advertise);
        return;
    }
    if listen.is_some_and(|address| address.ip().is_unspecified()) {
        let remedy = "listen on an address of the host, or set advertise to one";
        section.report_fault(
            "listen",
            &"other processes can't reach an unspecified address",
            remedy,
        );
    }
}

fn check_reachable(section: &Section<'_>, name: &'static str, address: SocketAddr) {
    if !is_reachable(address) {
        let remedy = "give the address and port to connect to";
        section.report_fault(
            name,
            &"an unspecified address or port can't be reached",
            remedy,
        );
    }
}

fn is_reachable(address: SocketAddr) -> bool {
    !address.ip().is_unspecified() && address.port() != 0
}

/// Checks that a list of control processes is not empty and has distinct, reachable addresses.
fn check_control_list(section: &Section<'_>, name: &'static str, list: Option<&[SocketAddr]>) {
    let Some(list) = list else {
        return;
    };
    if list.is_empty() {
        let remedy = "give at least one control process";
        section.report_fault(name, &"the list is empty", remedy);
    }
    let mut seen = BTreeSet::new();
    for (index, address) in list.iter().enumerate() {
        if !is_reachable(*address) {
            let remedy = "give the address and port to connect to";
            let problem = "an unspecified address or port can't be reached";
            section.report_item_fault(name, index, &problem, remedy);
        }
        if !seen.insert(address) {
            section.report_item_fault(
                name,
                index,
                &"the address is listed twice",
                "remove one of the two",
            );
        }
    }
}

fn read_log(section: &Section<'_>) -> Option<LogSettings> {
    let default = LogSettings::default();
    let level: Option<String> = section.value_or("level", default.level, "give a level as text");
    let folder = section.optional("folder", FOLDER_REMEDY);
    let event_capacity = section.value_or("ring", default.event_capacity, COUNT_REMEDY);
    section.report_unknown_fields();
    if level
        .as_ref()
        .is_some_and(|level| !LEVELS.contains(&level.as_str()))
    {
        let remedy = format!("give one of {}", LEVELS.join(", "));
        section.report_fault("level", &"not a log level", &remedy);
    }
    check_positive(section, "ring", event_capacity.map(|count| count as u64));
    Some(LogSettings {
        level: level?,
        folder,
        event_capacity: event_capacity?,
    })
}

fn read_limits(section: &Section<'_>) -> Option<LimitSettings> {
    let default = LimitSettings::default();
    let connections = section.value_or("connections", default.connections, COUNT_REMEDY);
    let idle_ms = section.value_or("idle_ms", default.idle_ms, MILLISECONDS_REMEDY);
    let drain_ms = section.value_or("drain_ms", default.drain_ms, MILLISECONDS_REMEDY);
    let memory_mb = section.value_or("memory_mb", default.memory_mb, COUNT_REMEDY);
    let descriptors = section.optional("descriptors", COUNT_REMEDY);
    section.report_unknown_fields();
    check_positive(section, "memory_mb", memory_mb);
    check_positive(
        section,
        "descriptors",
        descriptors.map(|count: usize| count as u64),
    );
    check_positive(
        section,
        "connections",
        connections.map(|count| count as u64),
    );
    check_positive(section, "idle_ms", idle_ms);
    Some(LimitSettings {
        connections: connections?,
        idle_ms: idle_ms?,
        drain_ms: drain_ms?,
        memory_mb: memory_mb?,
        descriptors,
    })
}

fn check_positive(section: &Section<'_>, name: &'static str, value: Option<u64>) {
    if value == Some(0) {
        section.report_fault(name, &"must not be zero", COUNT_REMEDY);
    }
}

fn read_entry(section: &Section<'_>, process_listen: Option<SocketAddr>) -> Option<EntrySettings> {
    let listen: Option<SocketAddr> = section.required("listen", ADDRESS_REMEDY);
    let remedy = "give true or false";
    let serve_without_control = section.value_or("serve_without_control", true, remedy);
    let direct = section.subsection("direct");
    section.report_unknown_fields();
    let direct = direct.map(|section| read_direct(&section));
    if listen.is_some_and(|address| address.port() != 0) && listen == process_listen {
        let remedy = "give a separate port for callers";
        section.report_fault(
            "listen",
            &"the same address as listen of the process",
            remedy,
        );
    }
    Some(EntrySettings {
        listen: listen?,
        serve_without_control: serve_without_control?,
        direct: valid_if_present(direct)?,
    })
}

fn read_direct(section: &Section<'_>) -> Option<DirectSettings> {
    let health: Option<SocketAddr> = section.required("health", ADDRESS_REMEDY);
    let retry_share: Option<f64> = section.required("retry_share", "give a fraction, such as 0.2");
    let retry_slack: Option<f64> = section.required("retry_slack", "give a number of attempts");
    let retry_window_ms = milliseconds(section.required("retry_window_s", SECONDS_REMEDY));
    let grace_ms = milliseconds(section.required("grace_s", SECONDS_REMEDY));
    let remedy = "give a factor of the cold rate, such as 1.5";
    let cold_overage: Option<f64> = section.value_or("cold_overage", 1.0, remedy);
    let cold_slack: Option<f64> = section.value_or("cold_slack", 0.0, "give a number of requests");
    let exact_slots = section.value_or("exact_slots", false, "give true or false");
    section.report_unknown_fields();
    if cold_overage.is_some_and(|overage| overage <= 0.0) {
        section.report_fault("cold_overage", &"must be positive", remedy);
    }
    check_positive(section, "retry_window_s", retry_window_ms);
    Some(DirectSettings {
        health: health?,
        retry_share: Permille((retry_share?.clamp(0.0, 1.0) * 1000.0) as u64),
        retry_slack: retry_slack?.max(0.0) as u32,
        retry_window_ms: retry_window_ms?,
        grace_ms: grace_ms?,
        cold_overage: Permille((cold_overage? * 1000.0).round() as u64),
        cold_slack: cold_slack?.max(0.0) as u32,
        exact_slots: exact_slots?,
    })
}

fn milliseconds(seconds: Option<f64>) -> Option<u64> {
    seconds.map(|seconds| (seconds * 1000.0) as u64)
}

fn read_control(
    section: &Section<'_>,
    listen: Option<SocketAddr>,
    advertise: Option<SocketAddr>,
) -> Option<ControlSettings> {
    let data = section.required("data", FOLDER_REMEDY);
    let remedy =
        "give \"join\", \"first_start\", {\"found\": [\"IP:PORT\", ...]} or {\"seeds\": [...]}";
    let start: Option<ClusterStart> = section.required("start", remedy);
    let manages_members = section.value_or("keeps_members", false, "give true or false");
    let catch_up_ms = milliseconds(section.optional("catch_up_s", SECONDS_REMEDY));
    let grace_ms = milliseconds(section.optional("grace_s", SECONDS_REMEDY));
    let spare_voter = section.value_or("spare_voter", false, "give true or false");
    let elects_after_restart =
        section.value_or("elects_after_restart", false, "give true or false");
    let heartbeat_ms = section.value_or("heartbeat_ms", DEFAULT_HEARTBEAT_MS, MILLISECONDS_REMEDY);
    let spreads_groups = section.value_or("spreads_groups", false, "give true or false");
    let engines_check_fencing =
        section.value_or("engines_check_fencing", true, "give true or false");
    section.report_unknown_fields();
    check_positive(section, "heartbeat_ms", heartbeat_ms);
    check_positive(section, "catch_up_s", catch_up_ms);
    check_positive(section, "grace_s", grace_ms);
    if let Some(ClusterStart::Bootstrap(founders)) = &start {
        let own_addresses = [listen, advertise];
        let omits_self = !founders
            .iter()
            .any(|address| own_addresses.contains(&Some(*address)));
        if omits_self && listen.is_some_and(|address| address.port() != 0) {
            let remedy = "add the address of this process to start.found";
            section.report_fault("start", &"the founders don't include this process", remedy);
        }
        if let Some(start) = section.subsection("start") {
            check_control_list(&start, "found", Some(founders));
        }
    }
    Some(ControlSettings {
        data: data?,
        start: start?,
        manages_members: manages_members?,
        catch_up_ms,
        spare_voter: spare_voter?,
        grace_ms,
        elects_after_restart: elects_after_restart?,
        heartbeat_ms: heartbeat_ms?,
        spreads_groups: spreads_groups?,
        engines_check_fencing: engines_check_fencing?,
    })
}

fn read_agent(section: &Section<'_>, process_listen: Option<SocketAddr>) -> Option<AgentSettings> {
    let server = section.required("server", NAME_REMEDY);
    let service = section.required("service", NAME_REMEDY);
    let backend: Option<SocketAddr> = section.required("backend", ADDRESS_REMEDY);
    let slots: Option<u32> = section.required("slots", COUNT_REMEDY);
    let remedy = "give tokens per second as a whole number; 0 for a plain service";
    let token_rate = section.value_or("token_rate", TokenRate(0), remedy);
    let rank = section
        .subsection("rank")
        .map(|section| read_rank(&section));
    section.report_unknown_fields();
    if let Some(backend) = backend {
        check_reachable(section, "backend", backend);
        if Some(backend) == process_listen {
            let remedy = "give the address of the backend server";
            section.report_fault(
                "backend",
                &"the listening address of the agent process",
                remedy,
            );
        }
    }
    check_positive(section, "slots", slots.map(u64::from));
    Some(AgentSettings {
        server: server?,
        service: service?,
        backend: backend?,
        slots: slots?,
        token_rate: token_rate?,
        rank: valid_if_present(rank)?,
    })
}

fn read_watch(section: &Section<'_>) -> Option<WatchSettings> {
    let engine: Option<SocketAddr> = section.required("engine", ADDRESS_REMEDY);
    let service = section.required("service", NAME_REMEDY);
    section.report_unknown_fields();
    if let Some(engine) = engine {
        check_reachable(section, "engine", engine);
    }
    Some(WatchSettings {
        engine: engine?,
        service: service?,
    })
}

fn read_rank(section: &Section<'_>) -> Option<RankSettings> {
    let group = section.required("group", NAME_REMEDY);
    let rank = section.required("rank", "give a whole number from 0");
    section.report_unknown_fields();
    Some(RankSettings {
        group: group?,
        rank: rank?,
    })
}
