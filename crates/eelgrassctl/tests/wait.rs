//! Classification of processes by whether a version is in force in them.

use eelgrassctl::wait::RolloutStatus;
use eelgrassdyke_control::Status;
use eelgrassdyke_core::id::Version;
use serde_json::{Value, json};

/// The status of a control process; a follower is (name, version, milliseconds since the last poll).
fn status(process: &str, version: u64, followers: &[(&str, u64, u64)], agents: &[&str]) -> Status {
    let mut follower_map = serde_json::Map::new();
    for (name, version, heard_ms) in followers {
        let follower = json!({"address": "127.0.0.1:1", "version": version, "heard_ms": heard_ms});
        follower_map.insert((*name).to_owned(), follower);
    }
    let server = |agent: &&str| {
        json!([{
            "server": format!("server-of-{agent}"), "service": "draft", "agent": agent,
            "incarnation": 1, "address": "127.0.0.1:1", "host": "h", "data_centre": "d",
            "state": "up", "slots": 1, "token_rate": 0, "holds": [],
        }, {"running": 0, "queued": 0, "backlog_tokens": 0, "first_token_us": 0, "token_us": 0}])
    };
    let servers: Vec<Value> = agents.iter().map(server).collect();
    let status = json!({
        "process": process, "leads": true, "leader": null, "term": 1, "quorum": true,
        "log": {
            "replica": "00000000000000aa", "cluster": 1, "commit": 1, "last": 1, "snapshot": 0,
            "members": {"voters": {}, "learners": {}}, "matched": {}, "waiting": {}, "stopped": null,
        },
        "version": version, "followers": follower_map, "servers": servers, "orders": [],
    });
    serde_json::from_value(status).unwrap()
}

fn names<T: ToString>(processes: impl IntoIterator<Item = T>) -> Vec<String> {
    processes.into_iter().map(|name| name.to_string()).collect()
}

#[test]
fn the_most_recent_poll_of_a_follower_counts() {
    let first = status("c1", 2, &[("e1", 1, 3000), ("e2", 2, 100)], &[]);
    let second = status("c2", 2, &[("e1", 2, 200), ("e2", 1, 2000)], &[]);
    let rollout = RolloutStatus::from_statuses(&[first, second], Version(2));
    assert_eq!(names(&rollout.updated), ["c1", "c2", "e1", "e2"]);
    assert!(rollout.is_complete());
}

#[test]
fn a_live_process_with_an_older_version_is_outdated() {
    let control = status("c1", 2, &[("e1", 1, 100), ("e2", 2, 100)], &[]);
    let rollout = RolloutStatus::from_statuses(&[control, status("c2", 1, &[], &[])], Version(2));
    assert!(!rollout.is_complete());
    assert_eq!(names(rollout.outdated.keys()), ["c2", "e1"]);
}

#[test]
fn a_silent_process_is_listed_but_does_not_block_completion() {
    let control = status("c1", 2, &[("e1", 1, 9000), ("e2", 2, 9000)], &[]);
    let rollout = RolloutStatus::from_statuses(&[control], Version(2));
    assert!(rollout.is_complete());
    assert_eq!(names(rollout.silent.keys()), ["e1"]);
}

#[test]
fn an_agent_only_in_the_directory_is_outdated() {
    let control = status("c1", 2, &[("a1", 2, 100)], &["a1", "a2"]);
    let rollout = RolloutStatus::from_statuses(&[control], Version(2));
    assert!(!rollout.is_complete());
    assert_eq!(names(rollout.outdated.keys()), ["a2"]);
}

#[test]
fn without_any_status_the_rollout_is_incomplete() {
    assert!(!RolloutStatus::from_statuses(&[], Version(1)).is_complete());
}
