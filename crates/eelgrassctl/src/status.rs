//! `status`: the control processes, who follows them, and the back ends.

use std::collections::BTreeMap;

use eelgrassdyke_control::log::ReplicaStatus;
use eelgrassdyke_control::{FollowerStatus, Status};
use eelgrassdyke_core::id::Server;
use eelgrassdyke_core::wire::directory::{ServerInfo, ServerLoad};
use serde_json::json;

use crate::client::Client;
use crate::errors::{Code, Error, Result};
use crate::wait::{LIVE_MS, newest};
use crate::{output, table};

/// Prints what all control processes say together.
pub async fn print(client: &Client, json: bool) -> Result<Code> {
    let (statuses, errors) = client.some_statuses().await?;
    let quorum = statuses
        .iter()
        .any(|(_, status)| status.is_leader && status.is_ready);
    let all: Vec<Status> = statuses.iter().map(|(_, status)| status.clone()).collect();
    let followers = newest(&all);
    let servers = servers(&all);
    if json {
        let unreachable: BTreeMap<String, String> = errors
            .iter()
            .map(|(address, error)| (address.to_string(), error.to_string()))
            .collect();
        let servers: Vec<&(ServerInfo, ServerLoad)> = servers.values().collect();
        output::json(&json!({
            "quorum": quorum, "control": all, "unreachable": unreachable,
            "followers": followers, "servers": servers,
        }))?;
    } else {
        print_control(&statuses, &errors);
        print_followers(&followers);
        print_servers(&servers);
    }
    match quorum {
        true => Ok(Code::Done),
        false => Ok(Code::Refused),
    }
}

/// The back ends, as the control process that leads sees them, else as any does.
fn servers(statuses: &[Status]) -> BTreeMap<Server, (ServerInfo, ServerLoad)> {
    let mut servers = BTreeMap::new();
    let (leaders, others): (Vec<&Status>, Vec<&Status>) =
        statuses.iter().partition(|status| status.is_leader);
    for status in others.into_iter().chain(leaders) {
        for (row, load) in &status.servers {
            servers.insert(row.server.clone(), (row.clone(), *load));
        }
    }
    servers
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
            member(log).to_owned(),
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
            output::line(format_args!("{} has stopped: {problem}", status.process));
        }
    }
    let is_member = |replica| {
        let mut members = statuses.iter().map(|(_, status)| &status.log.members);
        members.any(|held| held.voters.contains_key(replica) || held.learners.contains_key(replica))
    };
    let waiting: BTreeMap<_, _> = statuses
        .iter()
        .flat_map(|(_, status)| &status.log.unattached)
        .filter(|(replica, _)| !is_member(replica))
        .collect();
    for (replica, address) in waiting {
        output::line(format_args!(
            "replica {replica} at {address} waits to be added"
        ));
    }
    for (_, error) in errors {
        output::line(error);
    }
}

/// What a replica is to the cluster, as it sees it.
fn member(log: &ReplicaStatus) -> &'static str {
    if log.members.voters.contains_key(&log.replica) {
        return "voter";
    }
    match log.members.learners.contains_key(&log.replica) {
        true => "learner",
        false => "none",
    }
}

fn print_followers(followers: &BTreeMap<eelgrassdyke_core::id::Process, FollowerStatus>) {
    output::line("");
    let rows = followers.iter().map(|(process, follower)| {
        let state = match follower.poll_age_ms < LIVE_MS {
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
    output::line("");
    let rows = servers.values().map(|(row, load)| {
        vec![
            row.server.to_string(),
            row.service.to_string(),
            row.data_centre.to_string(),
            format!("{:?}", row.state).to_lowercase(),
            row.slots.to_string(),
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
