//! `status`: prints the control processes, their followers and the backend servers.

use std::collections::BTreeMap;

use eelgrassdyke_control::log::ReplicaStatus;
use eelgrassdyke_control::{FollowerStatus, Status};
use eelgrassdyke_core::id::{DataCentre, Server};
use eelgrassdyke_core::wire::directory::{ServerInfo, ServerLoad};
use serde_json::json;

use crate::client::Client;
use crate::errors::{Error, ExitStatus, Result};
use crate::wait::{LIVENESS_TIMEOUT_MS, newest_followers};
use crate::{output, table};

/// Prints the combined statuses of all control processes.
pub async fn print(client: &Client, json: bool) -> Result<ExitStatus> {
    let (statuses, errors) = client.require_statuses().await?;
    let quorum = statuses
        .iter()
        .any(|(_, status)| status.is_leader && status.is_ready);
    let all: Vec<Status> = statuses.iter().map(|(_, status)| status.clone()).collect();
    let followers = newest_followers(&all);
    let servers = merge_servers(&all);
    let evacuated = newest_evacuated(&all);
    if json {
        let unreachable: BTreeMap<String, String> = errors
            .iter()
            .map(|(address, error)| (address.to_string(), error.to_string()))
            .collect();
        let servers: Vec<&(ServerInfo, ServerLoad)> = servers.values().collect();
        output::print_json(&json!({
            "quorum": quorum, "control": all, "unreachable": unreachable,
            "followers": followers, "evacuated": evacuated, "servers": servers,
        }))?;
    } else {
        print_control(&statuses, &errors);
        print_followers(&followers);
        print_evacuated(&evacuated);
        print_servers(&servers);
    }
    match quorum {
        true => Ok(ExitStatus::Success),
        false => Ok(ExitStatus::Failure),
    }
}

/// The backend servers known to any control process; the leader's view takes precedence.
pub fn merge_servers(statuses: &[Status]) -> BTreeMap<Server, (ServerInfo, ServerLoad)> {
    let mut servers = BTreeMap::new();
    let (leaders, others): (Vec<&Status>, Vec<&Status>) =
        statuses.iter().partition(|status| status.is_leader);
    for status in others.into_iter().chain(leaders) {
        for (info, load) in &status.servers {
            servers.insert(info.server.clone(), (info.clone(), *load));
        }
    }
    servers
}

/// The evacuated data centres according to the control process with the newest configuration.
fn newest_evacuated(statuses: &[Status]) -> Vec<DataCentre> {
    let newest = statuses.iter().max_by_key(|status| status.version);
    newest.map_or(Vec::new(), |status| status.evacuated.clone())
}

fn print_evacuated(evacuated: &[DataCentre]) {
    for data_centre in evacuated {
        output::print_line(format_args!(
            "{data_centre} is evacuated: its servers get no requests until `eelgrassctl restore {data_centre}`"
        ));
    }
}

fn print_control(
    statuses: &[(std::net::SocketAddr, Status)],
    errors: &[(std::net::SocketAddr, Error)],
) {
    let rows = statuses.iter().map(|(address, status)| {
        let log = &status.log;
        let role = match (status.is_leader, status.is_ready) {
            (true, true) => "leader",
            (false, true) => "follower",
            (_, false) => "no quorum",
        };
        vec![
            status.process.to_string(),
            address.to_string(),
            role.to_owned(),
            log.replica.to_string(),
            membership(log).to_owned(),
            status.term.to_string(),
            log.commit_index.to_string(),
            status.version.to_string(),
        ]
    });
    let columns = [
        ("control", false),
        ("address", false),
        ("role", false),
        ("replica", false),
        ("member", false),
        ("term", true),
        ("commit", true),
        ("version", true),
    ];
    table::print(&columns, rows);
    for (_, status) in statuses {
        if let Some(problem) = &status.log.stop_reason {
            output::print_line(format_args!("{} has stopped: {problem}", status.process));
        }
    }
    let is_member = |replica| {
        let mut members = statuses.iter().map(|(_, status)| &status.log.members);
        members.any(|members| {
            members.voters.contains_key(replica) || members.learners.contains_key(replica)
        })
    };
    let waiting: BTreeMap<_, _> = statuses
        .iter()
        .flat_map(|(_, status)| &status.log.unattached)
        .filter(|(replica, _)| !is_member(replica))
        .collect();
    for (replica, address) in waiting {
        output::print_line(format_args!(
            "replica {replica} at {address} is waiting to be added"
        ));
    }
    for (_, error) in errors {
        output::print_line(error);
    }
}

/// The membership of a replica, according to its own log.
fn membership(log: &ReplicaStatus) -> &'static str {
    if log.members.voters.contains_key(&log.replica) {
        return "voter";
    }
    match log.members.learners.contains_key(&log.replica) {
        true => "learner",
        false => "none",
    }
}

fn print_followers(followers: &BTreeMap<eelgrassdyke_core::id::Process, FollowerStatus>) {
    output::print_line("");
    let rows = followers.iter().map(|(process, follower)| {
        let state = match follower.poll_age_ms < LIVENESS_TIMEOUT_MS {
            true => "live",
            false => "silent",
        };
        vec![
            process.to_string(),
            follower.address.to_string(),
            state.to_owned(),
            follower.version.to_string(),
            follower.poll_age_ms.to_string(),
        ]
    });
    let columns = [
        ("process", false),
        ("address", false),
        ("state", false),
        ("version", true),
        ("heard ms", true),
    ];
    table::print(&columns, rows);
}

fn print_servers(servers: &BTreeMap<Server, (ServerInfo, ServerLoad)>) {
    output::print_line("");
    let rows = servers.values().map(|(info, load)| {
        vec![
            info.server.to_string(),
            info.service.to_string(),
            info.data_centre.to_string(),
            format!("{:?}", info.state).to_lowercase(),
            info.slots.to_string(),
            load.running.to_string(),
            load.queued.to_string(),
        ]
    });
    let columns = [
        ("server", false),
        ("service", false),
        ("data centre", false),
        ("state", false),
        ("slots", true),
        ("running", true),
        ("queued", true),
    ];
    table::print(&columns, rows);
}
