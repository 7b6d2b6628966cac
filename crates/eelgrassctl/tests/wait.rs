//! Which processes count as having a version in force.

use eelgrassctl::wait::Force;
use eelgrassdyke_control::Status;
use eelgrassdyke_core::id::Version;
use serde_json::{Value, json};

/// A control process's status with followers as (name, version, silence in milliseconds).
fn status(process: &str, version: u64, followers: &[(&str, u64, u64)], agents: &[&str]) -> Status {
    let mut listed = serde_json::Map::new();
    for (name, version, heard_ms) in followers {
        let follower = json!({"address": "127.0.0.1:1", "version": version, "heard_ms": heard_ms});
        listed.insert((*name).to_owned(), follower);
    }
    let row = |agent: &&str| {
        json!([{
            "server": format!("server-of-{agent}"), "service": "draft", "agent": agent,
            "incarnation": 1, "address": "127.0.0.1:1", "host": "h", "data_centre": "d",
            "state": "up", "slots": 1, "token_rate": 0, "holds": [],
        }, {"running": 0, "queued": 0, "backlog_tokens": 0, "first_token_us": 0, "token_us": 0}])
    };
    let servers: Vec<Value> = agents.iter().map(row).collect();
    let status = json!({
        "process": process, "leads": true, "leader": null, "term": 1, "quorum": true,
        "log": {
            "replica": "00000000000000aa", "cluster": 1, "commit": 1, "last": 1, "snapshot": 0,
            "members": {"voters": {}, "learners": {}}, "matched": {}, "waiting": {}, "stopped": null,
        },
        "version": version, "followers": listed, "servers": servers,
    });
    serde_json::from_value(status).unwrap()
}

fn names<T: ToString>(held: impl IntoIterator<Item = T>) -> Vec<String> {
    held.into_iter().map(|name| name.to_string()).collect()
}

#[test]
fn a_follower_counts_as_it_was_heard_last() {
    let old = status("c1", 2, &[("e1", 1, 3000), ("e2", 2, 100)], &[]);
    let new = status("c2", 2, &[("e1", 2, 200), ("e2", 1, 2000)], &[]);
    let force = Force::of(&[old, new], Version(2));
    assert_eq!(names(&force.have), ["c1", "c2", "e1", "e2"]);
    assert!(force.is_complete());
}

#[test]
fn a_live_process_without_the_version_is_waited_for() {
    let held = status("c1", 2, &[("e1", 1, 100), ("e2", 2, 100)], &[]);
    let force = Force::of(&[held, status("c2", 1, &[], &[])], Version(2));
    assert!(!force.is_complete());
    assert_eq!(names(force.lack.keys()), ["c2", "e1"]);
}

#[test]
fn a_silent_process_is_listed_and_not_waited_for() {
    let held = status("c1", 2, &[("e1", 1, 9000), ("e2", 2, 9000)], &[]);
    let force = Force::of(&[held], Version(2));
    assert!(force.is_complete());
    assert_eq!(names(force.silent.keys()), ["e1"]);
}

#[test]
fn an_agent_that_only_the_directory_knows_is_waited_for() {
    let held = status("c1", 2, &[("a1", 2, 100)], &["a1", "a2"]);
    let force = Force::of(&[held], Version(2));
    assert!(!force.is_complete());
    assert_eq!(names(force.lack.keys()), ["a2"]);
}

#[test]
fn without_an_answer_nothing_is_in_force() {
    assert!(!Force::of(&[], Version(1)).is_complete());
}
