//! Complete control processes on fake disks: requests of operators and entries across leader
//! changes, restarts, snapshots and disk failures, and followers that request a confirmed version.

mod cluster;
mod log_net;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use cluster::{CLIENT, Cluster, poll_request, sender};
use eelgrassdyke_control::{Input, OperatorResponse, QuarantineStatus, Query};
use eelgrassdyke_core::config::{Change, Patch, Submission, TeamSpec, Verdict};
use eelgrassdyke_core::crash::{Crash, CrashRecord, FactSync};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::{Incarnation, Ticket, Version};
use eelgrassdyke_core::wire::claim::{ClaimAction, ClaimRequest, ClaimResult, Holder, TeamKey};
use eelgrassdyke_core::wire::follow::Update;
use eelgrassdyke_core::wire::{Message, Sender};
use log_net::address;
use test_case::test_case;

fn new_submission(operation: &str, base: u64) -> Submission {
    let mut patch = Patch::default();
    let spec = TeamSpec {
        tokens: vec![Sha256::of(operation.as_bytes())],
        shares: BTreeMap::new(),
        priority: None,
    };
    patch.teams.insert("salons".parse().unwrap(), Some(spec));
    Submission {
        operation: operation.parse().unwrap(),
        base: Version(base),
        change: Change::Patch(patch),
        author: "operator".to_owned(),
    }
}

fn accepted_verdict(version: u64) -> Option<OperatorResponse> {
    let version = Version(version);
    Some(OperatorResponse::Verdict(Verdict::Accepted { version }))
}

#[test]
fn one_of_two_submissions_with_the_same_base_is_accepted() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    for (ticket, operation) in [(1001, "a"), (1002, "b")] {
        let (ticket, submission) = (Ticket(ticket), new_submission(operation, 0));
        cluster.handle_input(leader, Input::Submit { ticket, submission });
    }
    let has_response = [1001, 1002].map(|ticket| cluster.responses.contains_key(&Ticket(ticket)));
    assert_eq!(
        has_response, [false; 2],
        "a submission gets a response before a quorum holds it"
    );
    cluster.run(100);
    assert_eq!(
        cluster.responses.get(&Ticket(1001)).cloned(),
        accepted_verdict(1)
    );
    let other = &cluster.responses[&Ticket(1002)];
    assert!(
        matches!(other, OperatorResponse::Verdict(Verdict::Conflict { .. })),
        "{other:?}"
    );
}

/// The verdict of an operation survives a leader change, a snapshot and a restart of all processes.
#[test]
fn resent_operation_gets_the_first_verdict() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    let first = new_submission("first", 0);
    assert_eq!(cluster.submit(leader, &first), accepted_verdict(1));
    cluster.kill(leader);
    cluster.run(4000);
    let next = cluster.leader();
    assert_eq!(cluster.submit(next, &first), accepted_verdict(1));
    cluster.start(leader);
    for version in 1..30 {
        let operation = format!("more-{version}");
        assert_eq!(
            cluster.submit(next, &new_submission(&operation, version)),
            accepted_verdict(version + 1)
        );
    }
    assert!(cluster.status(next).log.snapshot_index.0 > 20);
    for number in 0..3 {
        cluster.kill(number);
    }
    for number in 0..3 {
        cluster.start(number);
    }
    cluster.run(6000);
    let leader = cluster.leader();
    assert_eq!(cluster.submit(leader, &first), accepted_verdict(1));
    cluster.run(1000);
    for number in 0..3 {
        assert_eq!(cluster.status(number).version, Version(30));
    }
}

#[test]
fn follower_names_the_leader() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    let other = (leader + 1) % 3;
    let leader_address = Some(address(leader));
    let response = cluster.submit(other, &new_submission("a", 0));
    assert_eq!(
        response,
        Some(OperatorResponse::NotLeader {
            leader: leader_address
        })
    );
    cluster.send_from_client(other, Message::ClaimRequest(claim_request()));
    let Some(Message::ClaimResponse(response)) = cluster.received.pop() else {
        panic!("no response to the claim");
    };
    assert_eq!(
        response.result,
        ClaimResult::NotLeader {
            leader: leader_address
        }
    );
    cluster.send_from_client(leader, Message::ClaimRequest(claim_request()));
    let Some(Message::ClaimResponse(response)) = cluster.received.pop() else {
        panic!("no response to the claim");
    };
    assert!(
        matches!(response.result, ClaimResult::Granted { .. }),
        "{response:?}"
    );
}

fn claim_request() -> ClaimRequest {
    ClaimRequest {
        request: "entry-1/1/1".parse().unwrap(),
        team_key: TeamKey {
            team: "salons".parse().unwrap(),
            key: "order-1".parse().unwrap(),
        },
        action: ClaimAction::Claim {
            call_digest: Sha256::of(b"charge"),
            holder: Holder {
                server: "orders-1".parse().unwrap(),
                incarnation: Incarnation(1),
                address: address(CLIENT),
            },
            replaces: None,
        },
    }
}

/// A submission has an unknown outcome if its leader is partitioned before a quorum holds it. The
/// operator can resend it.
#[test]
fn submission_in_flight_at_the_loss_of_leadership_has_an_unknown_outcome() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    cluster.partitioned[leader] = true;
    let ticket = Ticket(1001);
    let submission = new_submission("a", 0);
    cluster.handle_input(leader, Input::Submit { ticket, submission });
    cluster.run(5000);
    assert_eq!(
        cluster.responses.get(&ticket),
        Some(&OperatorResponse::OutcomeUnknown)
    );
    let status = cluster.status(leader);
    assert!(!status.is_ready && !status.is_leader);
    assert_eq!(
        cluster.submit(leader, &new_submission("b", 0)),
        Some(OperatorResponse::NotLeader { leader: None })
    );
    let next = cluster.leader();
    assert_eq!(
        cluster.submit(next, &new_submission("a", 0)),
        accepted_verdict(1)
    );
}

/// A version is confirmed only by a quorum, whether the leader or a follower is polled.
#[test_case(0)]
#[test_case(1)]
fn version_is_confirmed_by_a_quorum(offset: usize) {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    let polled = (leader + offset) % 3;
    assert_eq!(
        cluster.submit(leader, &new_submission("a", 0)),
        accepted_verdict(1)
    );
    let updates = cluster.poll(polled);
    assert!(updates.iter().any(|update| update.confirmed), "{updates:?}");
    for update in updates.iter().filter(|update| update.confirmed) {
        assert_eq!(update.committed_version, Version(1));
    }

    // A partitioned replica confirms nothing, even while it still assumes contact with a quorum.
    cluster.partitioned[polled] = true;
    for _ in 0..8 {
        let updates = cluster.poll_partitioned(polled);
        assert!(updates.iter().all(|update| !update.confirmed));
    }
}

impl Cluster {
    /// Polls a replica that is partitioned from the other replicas but not from the client.
    fn poll_partitioned(&mut self, number: usize) -> Vec<Update> {
        let input = Input::Message {
            from: sender(CLIENT),
            message: Message::Poll(poll_request()),
        };
        self.handle_input(number, input);
        let to_client = |(_, to, _): &(Sender, SocketAddr, Message)| *to == address(CLIENT);
        let messages = std::mem::take(&mut self.messages);
        let (responses, rest): (VecDeque<_>, VecDeque<_>) =
            messages.into_iter().partition(to_client);
        self.messages = rest;
        self.run(500);
        let updates = responses
            .into_iter()
            .filter_map(|(_, _, message)| match message {
                Message::Update(update) => Some(update),
                _ => None,
            });
        updates.collect()
    }
}

#[test]
fn restarted_replica_is_not_ready_before_it_has_caught_up() {
    let mut cluster = Cluster::new();
    let other = (cluster.leader() + 1) % 3;
    for number in 1..=9 {
        if number == 5 {
            cluster.kill(other);
        }
        let leader = cluster.leader();
        let submission = new_submission(&format!("op-{number}"), number - 1);
        assert_eq!(
            cluster.submit(leader, &submission),
            accepted_verdict(number)
        );
    }
    cluster.start(other);
    for _ in 0..1000 {
        cluster.run(5);
        let (control, _) = cluster.processes[other].as_ref().unwrap();
        if control.is_ready(cluster.now) {
            assert_eq!(control.version(), Version(9));
            return;
        }
        assert!(!cluster.status(other).is_ready);
    }
    panic!("the replica never became ready");
}

/// After its disk has recovered, a replica counts for the quorum again, so that another may fail.
#[test_case(0; "the leader's disk")]
#[test_case(1; "a follower's disk")]
fn replica_resumes_after_its_disk_has_recovered(offset: usize) {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    let (full, lost) = ((leader + offset) % 3, (leader + 2) % 3);
    cluster.disks[full].fail_after(1, std::io::ErrorKind::StorageFull);
    cluster.submit(leader, &new_submission("one", 0));
    cluster.run(3000);
    assert!(
        !cluster.status(full).is_ready,
        "a replica with a full disk reports a quorum"
    );
    let leader = cluster.leader();
    let (operation, base) = ("two", u64::from(offset == 1));
    let response = cluster.submit(leader, &new_submission(operation, base));
    assert!(
        matches!(response, Some(OperatorResponse::Verdict { .. })),
        "{response:?}"
    );

    cluster.recover_disk(full);
    cluster.run(2000);
    cluster.kill(lost);
    cluster.run(5000);
    let leader = cluster.leader();
    let response = cluster.submit(leader, &new_submission("three", base + 1));
    assert!(
        matches!(response, Some(OperatorResponse::Verdict { .. })),
        "{response:?}"
    );
    let other = 3 - leader - lost;
    cluster.run(500);
    assert_eq!(
        cluster.status(other).version,
        cluster.status(leader).version
    );
}

fn crash_record(server: &str) -> CrashRecord {
    CrashRecord {
        service: "draft".parse().unwrap(),
        content: "harmful".parse().unwrap(),
        is_common: false,
        requests: 1,
        crashes: vec![Crash {
            server: server.parse().unwrap(),
            incarnation: Incarnation(1),
            age_ms: 0,
            is_cleared: false,
            found_us: 0,
        }],
    }
}

impl Cluster {
    /// Sends crash records from the client; returns those that it receives.
    fn sync_crashes(
        &mut self,
        to: usize,
        records: Vec<CrashRecord>,
        is_complete: bool,
    ) -> Vec<CrashRecord> {
        self.received.clear();
        let sync = FactSync {
            records,
            is_complete,
            ..FactSync::default()
        };
        self.send_from_client(to, Message::FactSync(sync));
        let received = self.received.drain(..).filter_map(|message| match message {
            Message::FactSync(sync) => Some(sync.records),
            _ => None,
        });
        received.flatten().collect()
    }

    fn quarantines(&mut self, number: usize) -> Vec<QuarantineStatus> {
        let query = Query::Quarantines;
        match self.request(number, |ticket| Input::Query { ticket, query }) {
            Some(OperatorResponse::Quarantines(parts)) => parts,
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn crash_records_reach_all_control_processes_and_entries_that_restarted() {
    let mut cluster = Cluster::new();
    cluster.sync_crashes(0, vec![crash_record("server-1")], false);
    cluster.sync_crashes(1, vec![crash_record("server-2")], false);
    for number in 0..3 {
        let parts = cluster.quarantines(number);
        assert_eq!(parts.len(), 1);
        assert_eq!(parts[0].crashes.len(), 2);
        assert!(parts[0].left_ms.is_some(), "no quarantine at {number}");
    }
    // An entry that has restarted sends an empty ledger.
    let received = cluster.sync_crashes(2, Vec::new(), true);
    assert_eq!(received[0].crashes.len(), 2);
    // A control process that has restarted learns the records from an entry.
    cluster.kill(0);
    cluster.start(0);
    cluster.run(3000);
    assert!(cluster.quarantines(0).is_empty());
    assert!(cluster.sync_crashes(0, received, true).is_empty());
    assert!(cluster.quarantines(0)[0].left_ms.is_some());
}

#[test]
fn operator_lifts_a_quarantine_at_all_processes() {
    let mut cluster = Cluster::new();
    let records = [crash_record("server-1"), crash_record("server-2")];
    for record in records.clone() {
        cluster.sync_crashes(0, vec![record], false);
    }
    let lift = |part: &str, ticket| Input::LiftQuarantine {
        ticket,
        service: "draft".parse().unwrap(),
        part: part.parse().unwrap(),
    };
    let unknown = cluster.request(1, |ticket| lift("another", ticket));
    assert!(matches!(unknown, Some(OperatorResponse::Refused { .. })));
    let lifted = cluster.request(1, |ticket| lift("harmful", ticket));
    assert_eq!(lifted, Some(OperatorResponse::Quarantines(Vec::new())));
    for number in 0..3 {
        assert!(cluster.quarantines(number).is_empty());
    }
    // An entry that has not heard of it learns it, and its older records change nothing.
    let received = cluster.sync_crashes(2, records.to_vec(), true);
    assert!(received[0].crashes.iter().all(|crash| crash.is_cleared));
    assert!(cluster.quarantines(2).is_empty());
}
