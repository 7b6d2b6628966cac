//! Control processes of two builds: records of a newer build that a replica doesn't know.

mod cluster;
mod log_net;

use std::collections::BTreeMap;

use cluster::Cluster;
use eelgrassdyke_control::OperatorResponse;
use eelgrassdyke_core::config::{Change, Patch, Submission, TeamSpec, Verdict};
use eelgrassdyke_core::event::Code;
use eelgrassdyke_core::id::Version;
use eelgrassdyke_core::wire::Message;
use eelgrassdyke_core::wire::log::{Body, Payload};
use test_case::test_case;

/// Operations whose name begins with this are unknown to the processes of the earlier build.
const NEWER: &[u8] = b"newer";

fn submission(operation: &str, base: u64) -> Submission {
    let mut patch = Patch::default();
    let spec = TeamSpec {
        tokens: Vec::new(),
        shares: BTreeMap::new(),
        priority: Some(base as u8),
    };
    patch.teams.insert("salons".parse().unwrap(), Some(spec));
    Submission {
        operation: operation.parse().unwrap(),
        base: Version(base),
        change: Change::Patch(patch),
        author: "operator".to_owned(),
    }
}

fn accepted(version: u64) -> Option<OperatorResponse> {
    let version = Version(version);
    Some(OperatorResponse::Verdict(Verdict::Accepted { version }))
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|window| window == part)
}

/// Replaces the name of the action, of the same length, in the commands of the newer build.
fn rename_action(message: &mut Message, from: &[u8], to: &[u8]) {
    let Message::Log(message) = message else {
        return;
    };
    let Body::Append { records, .. } = &mut message.body else {
        return;
    };
    for record in records {
        let Payload::Command(command) = &mut record.payload else {
            continue;
        };
        let at = command.windows(from.len()).position(|bytes| bytes == from);
        if let (Some(at), true) = (at, contains(command, NEWER)) {
            command[at..at + from.len()].copy_from_slice(to);
        }
    }
}

/// Process 0 runs the newer build. The others run the earlier one, to which the action is an unknown variant.
fn rewrite(receiver: usize, message: &mut Message) {
    match receiver {
        0 => rename_action(message, b"Newest", b"Submit"),
        _ => rename_action(message, b"Submit", b"Newest"),
    }
}

/// Three processes of which the one with number 0, of the newer build, leads.
fn cluster() -> Cluster {
    let mut cluster = Cluster::new();
    while cluster.leader() != 0 {
        let leader = cluster.leader();
        cluster.partitioned[leader] = true;
        cluster.run(4000);
        cluster.partitioned[leader] = false;
        cluster.run(4000);
    }
    cluster.rewrite = Some(rewrite);
    cluster
}

fn halts(cluster: &Cluster) -> usize {
    let events = cluster.events.iter();
    events
        .filter(|event| event.code == Code::ApplyHalted)
        .count()
}

// A replica that skipped a record of a newer build would have another state than the others, and would
// answer with an older configuration than was accepted once it led.
#[test]
fn replica_applies_nothing_beyond_a_record_that_it_does_not_know() {
    let mut cluster = cluster();
    assert_eq!(cluster.submit(0, &submission("known", 0)), accepted(1));
    assert_eq!(cluster.submit(0, &submission("newer", 1)), accepted(2));
    for base in 2..30 {
        let operation = format!("later-{base}");
        assert_eq!(
            cluster.submit(0, &submission(&operation, base)),
            accepted(base + 1)
        );
    }
    assert_eq!(halts(&cluster), 2);
    let commit_index = cluster.status(0).log.commit_index;
    for number in 1..3 {
        let status = cluster.status(number);
        assert_eq!(status.version, Version(1), "process {number}");
        assert!(!status.is_ready, "process {number}");
        assert_eq!(
            status.log.commit_index, commit_index,
            "it goes on storing records"
        );
    }
    assert_eq!(cluster.status(0).version, Version(30));
}

// The processes of the earlier build must not lose what they have stored, nor lead with it in place of
// the newer one, when that restarts and even if their logs are the more recent ones.
#[test_case(500; "back at once")]
#[test_case(60_000; "away for long")]
fn newer_build_leads_again_with_all_records(away_ms: u64) {
    let mut cluster = cluster();
    assert_eq!(cluster.submit(0, &submission("known", 0)), accepted(1));
    assert_eq!(cluster.submit(0, &submission("newer", 1)), accepted(2));
    assert_eq!(cluster.submit(0, &submission("later", 2)), accepted(3));
    cluster.kill(0);
    cluster.run(away_ms);
    for number in 1..3 {
        let response = cluster.submit(number, &submission("refused", 1));
        assert!(
            !matches!(response, Some(OperatorResponse::Verdict(_))),
            "{response:?}"
        );
    }
    cluster.start(0);
    cluster.run(30_000);
    assert_eq!(cluster.leader(), 0);
    assert_eq!(cluster.submit(0, &submission("next", 3)), accepted(4));
    for number in 1..3 {
        assert_eq!(cluster.status(number).version, Version(1));
    }
}
