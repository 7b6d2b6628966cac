//! The fields of the settings, and what their values must keep to.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::jsonc::{Fault, Tree};
use crate::unit::{Permille, TokenRate};

use super::section::{Reader, Section};
use super::{
    AgentSettings, ClusterStart, ControlSettings, DirectSettings, EntrySettings, LimitSettings,
    LogSettings, RankSettings, Settings, WatchSettings,
};

/// Names of the log levels.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Time between two announcements of a back end unless the settings say otherwise.
const HEARTBEAT_MS: u64 = 750;

const SECONDS: &str = "give a number of seconds";

const NAME: &str = "give a name of letters, digits and . _ : / -";
const ADDRESS: &str = "give an address as \"IP:PORT\"";
const ADDRESSES: &str = "give a list of addresses, each as \"IP:PORT\"";
const FILE: &str = "give the path of a file, from the folder of the settings";
const FOLDER: &str = "give the path of a folder, from the folder of the settings";
const COUNT: &str = "give a whole number of at least 1";
const MILLISECONDS: &str = "give a whole number of milliseconds";

/// The settings in `tree`, or every fault found in them.
pub fn settings(tree: &Tree) -> Result<Settings, Vec<Fault>> {
    let reader = Reader::new(tree);
    let settings = reader.root().and_then(|section| read_settings(&section));
    let faults = reader.finish();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

fn read_settings(section: &Section<'_>) -> Option<Settings> {
    let process = section.required("process", NAME);
    let host = section.required("host", NAME);
    let data_centre = section.required("data_centre", NAME);
    let region = section.required("region", NAME);
    let listen = section.required("listen", ADDRESS);
    let advertise = section.optional("advertise", ADDRESS);
    let metrics = section.optional("metrics", ADDRESS);
    let control: Option<Vec<SocketAddr>> = section.required("control", ADDRESSES);
    let trusts = section.or("trusted_network", false, "give true or false");
    let (peer_secret_file, operator_tokens_file) = match trusts {
        Some(true) => (
            section.optional("peer_secret_file", FILE),
            section.optional("operator_tokens_file", FILE),
        ),
        _ => (
            section.required("peer_secret_file", FILE),
            section.required("operator_tokens_file", FILE),
        ),
    };
    let has_secrets = peer_secret_file.is_some() && operator_tokens_file.is_some();
    let log = section.section("log");
    let limits = section.section("limits");
    let entry = section.section("entry_role");
    let control_role = section.section("control_role");
    let agent = section.section("agent_role");
    let watch = section.section("watch_role");
    section.finish();

    check_listen(section, listen, advertise);
    check_list(section, "control", control.as_deref());
    let has_role = entry.is_some() || control_role.is_some() || agent.is_some() || watch.is_some();
    if !has_role {
        let remedy = "add entry_role, control_role, agent_role or watch_role";
        section.fault_here(&"the process has no role", remedy);
    }

    if !has_secrets && trusts != Some(true) {
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
    let callers = entry_role.iter().flatten().map(|entry| entry.listen).next();
    if let (Some(Some(agent)), Some(callers)) = (&agent_role, callers)
        && agent.backend == callers
    {
        let remedy = "give the address of the back end";
        section.fault("agent_role", &"backend is entry_role's own port", remedy);
    }
    Some(Settings {
        process: process?,
        host: host?,
        data_centre: data_centre?,
        region: region?,
        listen: listen?,
        advertise,
        metrics,
        control: control?,
        peer_secret_file,
        operator_tokens_file,
        log: log?,
        limits: limits?,
        entry_role: all(entry_role)?,
        control_role: all(control_role)?,
        agent_role: all(agent_role)?,
        watch_role: all(watch_role)?,
    })
}

/// Turns a role that is there but at fault into none at all.
fn all<T>(role: Option<Option<T>>) -> Option<Option<T>> {
    match role {
        None => Some(None),
        Some(role) => role.map(Some),
    }
}

/// Other processes must be able to reach the address that they are told.
fn check_listen(section: &Section<'_>, listen: Option<SocketAddr>, advertise: Option<SocketAddr>) {
    if let Some(advertise) = advertise {
        check_reachable(section, "advertise", advertise);
        return;
    }
    if listen.is_some_and(|address| address.ip().is_unspecified()) {
        let remedy = "listen on the host's own address, or add advertise with it";
        section.fault(
            "listen",
            &"others can't reach an unspecified address",
            remedy,
        );
    }
}

fn check_reachable(section: &Section<'_>, name: &'static str, address: SocketAddr) {
    if !is_reachable(address) {
        let remedy = "give the address and port that are connected to";
        section.fault(
            name,
            &"an unspecified address or port can't be reached",
            remedy,
        );
    }
}

fn is_reachable(address: SocketAddr) -> bool {
    !address.ip().is_unspecified() && address.port() != 0
}

/// A list of control processes names each once, by an address that can be reached.
fn check_list(section: &Section<'_>, name: &'static str, list: Option<&[SocketAddr]>) {
    let Some(list) = list else {
        return;
    };
    if list.is_empty() {
        let remedy = "name at least one control process";
        section.fault(name, &"the list is empty", remedy);
    }
    let mut seen = BTreeSet::new();
    for (at, address) in list.iter().enumerate() {
        if !is_reachable(*address) {
            let remedy = "give the address and port that are connected to";
            let problem = "an unspecified address or port can't be reached";
            section.fault_item(name, at, &problem, remedy);
        }
        if !seen.insert(address) {
            section.fault_item(
                name,
                at,
                &"the address stands twice",
                "remove one of the two",
            );
        }
    }
}

fn read_log(section: &Section<'_>) -> Option<LogSettings> {
    let default = LogSettings::default();
    let level: Option<String> = section.or("level", default.level, "give a level as text");
    let folder = section.optional("folder", FOLDER);
    let ring = section.or("ring", default.event_capacity, COUNT);
    section.finish();
    if level
        .as_ref()
        .is_some_and(|level| !LEVELS.contains(&level.as_str()))
    {
        let remedy = format!("give one of {}", LEVELS.join(", "));
        section.fault("level", &"not a log level", &remedy);
    }
    check_positive(section, "ring", ring.map(|ring| ring as u64));
    Some(LogSettings {
        level: level?,
        folder,
        event_capacity: ring?,
    })
}

fn read_limits(section: &Section<'_>) -> Option<LimitSettings> {
    let default = LimitSettings::default();
    let connections = section.or("connections", default.connections, COUNT);
    let idle_ms = section.or("idle_ms", default.idle_ms, MILLISECONDS);
    let drain_ms = section.or("drain_ms", default.drain_ms, MILLISECONDS);
    section.finish();
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
    })
}

fn check_positive(section: &Section<'_>, name: &'static str, value: Option<u64>) {
    if value == Some(0) {
        section.fault(name, &"nothing could be served", COUNT);
    }
}

fn read_entry(section: &Section<'_>, peers: Option<SocketAddr>) -> Option<EntrySettings> {
    let listen: Option<SocketAddr> = section.required("listen", ADDRESS);
    let remedy = "give true or false";
    let serve_without_control = section.or("serve_without_control", true, remedy);
    let direct = section.section("direct");
    section.finish();
    let direct = direct.map(|section| read_direct(&section));
    if listen.is_some_and(|address| address.port() != 0) && listen == peers {
        let remedy = "give callers a port of their own";
        section.fault("listen", &"the port that takes peers' messages", remedy);
    }
    Some(EntrySettings {
        listen: listen?,
        serve_without_control: serve_without_control?,
        direct: all(direct)?,
    })
}

fn read_direct(section: &Section<'_>) -> Option<DirectSettings> {
    let health: Option<SocketAddr> = section.required("health", ADDRESS);
    let retry_share: Option<f64> = section.required("retry_share", "give a part of 1, such as 0.2");
    let retry_slack: Option<f64> = section.required("retry_slack", "give a number of attempts");
    let retry_window_ms = milliseconds(section.required("retry_window_s", SECONDS));
    let grace_ms = milliseconds(section.required("grace_s", SECONDS));
    section.finish();
    check_positive(section, "retry_window_s", retry_window_ms);
    Some(DirectSettings {
        health: health?,
        retry_share: Permille((retry_share?.clamp(0.0, 1.0) * 1000.0) as u64),
        retry_slack: retry_slack?.max(0.0) as u32,
        retry_window_ms: retry_window_ms?,
        grace_ms: grace_ms?,
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
    let data = section.required("data", FOLDER);
    let remedy = "give \"join\", {\"found\": [\"IP:PORT\", ...]} or {\"seeds\": [...]}";
    let start: Option<ClusterStart> = section.required("start", remedy);
    let keeps_members = section.or("keeps_members", false, "give true or false");
    let heartbeat_ms = section.or("heartbeat_ms", HEARTBEAT_MS, MILLISECONDS);
    section.finish();
    check_positive(section, "heartbeat_ms", heartbeat_ms);
    if let Some(ClusterStart::Found(found)) = &start {
        let mine = [listen, advertise];
        let others_only = !found.iter().any(|address| mine.contains(&Some(*address)));
        if others_only && listen.is_some_and(|address| address.port() != 0) {
            let remedy = "add this process's own address to start.found";
            section.fault("start", &"the founders leave this process out", remedy);
        }
        if let Some(start) = section.section("start") {
            check_list(&start, "found", Some(found));
        }
    }
    Some(ControlSettings {
        data: data?,
        start: start?,
        manages_members: keeps_members?,
        heartbeat_ms: heartbeat_ms?,
    })
}

fn read_agent(section: &Section<'_>, peers: Option<SocketAddr>) -> Option<AgentSettings> {
    let server = section.required("server", NAME);
    let service = section.required("service", NAME);
    let backend: Option<SocketAddr> = section.required("backend", ADDRESS);
    let slots: Option<u32> = section.required("slots", COUNT);
    let remedy = "give tokens a second as a whole number; 0 for a plain service";
    let token_rate = section.or("token_rate", TokenRate(0), remedy);
    let rank = section.section("rank").map(|section| read_seat(&section));
    section.finish();
    if let Some(backend) = backend {
        check_reachable(section, "backend", backend);
        if Some(backend) == peers {
            let remedy = "give the address of the back end";
            section.fault("backend", &"the agent's own port", remedy);
        }
    }
    check_positive(section, "slots", slots.map(u64::from));
    Some(AgentSettings {
        server: server?,
        service: service?,
        backend: backend?,
        slots: slots?,
        token_rate: token_rate?,
        rank: all(rank)?,
    })
}

fn read_watch(section: &Section<'_>) -> Option<WatchSettings> {
    let engine: Option<SocketAddr> = section.required("engine", ADDRESS);
    let service = section.required("service", NAME);
    section.finish();
    if let Some(engine) = engine {
        check_reachable(section, "engine", engine);
    }
    Some(WatchSettings {
        engine: engine?,
        service: service?,
    })
}

fn read_seat(section: &Section<'_>) -> Option<RankSettings> {
    let group = section.required("group", NAME);
    let rank = section.required("rank", "give a whole number from 0");
    section.finish();
    Some(RankSettings {
        group: group?,
        rank: rank?,
    })
}
