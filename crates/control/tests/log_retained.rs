//! Guards against a leader that retains large records without bound: hundreds of configurations of a
//! megabyte exceed the memory of a control process, and a replica with an empty disk would receive and
//! apply each of them instead of one smaller snapshot.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_control::log::{HardState, Input, Options, Output, RecoveredState, Replica};
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Body, Members, Message, Payload, Record};

const CLUSTER: u64 = 9;

/// Size of a record with a configuration of about 1,900 mounts.
const RECORD_BYTES: usize = 1_000_000;

/// Size of a snapshot with such a configuration and its recent changes.
const SNAPSHOT_BYTES: usize = 4_000_000;

fn address(number: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8 + 1], 7000))
}

/// A leader of three; the test plays the other two.
struct Leader {
    now: Instant,
    replica: Replica,
    snapshots_taken: u32,
    /// Bodies sent to the replica 2.
    sent: Vec<Body>,
}

impl Leader {
    fn elect() -> Self {
        let voters = (0..3).map(|number| (Id(number), address(number))).collect();
        let members = Members {
            voters,
            ..Members::default()
        };
        let recovered = RecoveredState {
            hard_state: HardState {
                cluster: CLUSTER,
                term: Term(1),
                ..HardState::default()
            },
            records: vec![Record {
                term: Term(0),
                index: Index(1),
                payload: Payload::Members(members),
            }],
            ..RecoveredState::empty(Id(0))
        };
        let now = Instant(10_000_000);
        let options = Options::default();
        let replica = Replica::new(now, address(0), recovered, options, &mut Vec::new());
        let mut leader = Self {
            now: now + Duration::from_secs(2),
            replica,
            snapshots_taken: 0,
            sent: Vec::new(),
        };
        leader.handle(Input::Tick);
        for pre_vote in [true, false] {
            leader.receive(
                1,
                2,
                Body::VoteResponse {
                    pre_vote,
                    granted: true,
                    after_restart: false,
                },
            );
            leader.persist();
        }
        assert!(leader.replica.is_leader());
        leader
    }

    fn handle(&mut self, input: Input) {
        let mut out = Vec::new();
        self.replica.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::RequestSnapshot => {
                    self.snapshots_taken += 1;
                    let data = vec![0; SNAPSHOT_BYTES];
                    self.handle(Input::Snapshot { data });
                }
                Output::Send { to, message } if to == address(2) => self.sent.push(message.body),
                _ => {}
            }
        }
    }

    fn receive(&mut self, from: u64, term: u64, body: Body) {
        let message = Message {
            cluster: CLUSTER,
            from: Id(from),
            to: Id(0),
            term: Term(term),
            body,
        };
        let from = address(from);
        self.handle(Input::Message { from, message });
    }

    fn respond(&mut self, from: u64, matched: bool, index: u64) {
        let index = Index(index);
        let round = 1;
        let body = Body::AppendResponse {
            matched,
            index,
            round,
            knows_settled: true,
        };
        self.receive(from, 2, body);
    }

    fn persist(&mut self) {
        self.handle(Input::Persisted { job: u64::MAX / 2 });
    }

    /// Commits records with the vote of replica 1; returns the last index.
    fn commit(&mut self, records: u64) -> u64 {
        for token in 0..records {
            let command = vec![0; RECORD_BYTES];
            self.handle(Input::Propose { token, command });
            self.persist();
            let last = self.replica.progress(self.now).last_index.0;
            self.respond(1, true, last);
        }
        let progress = self.replica.progress(self.now);
        assert_eq!(progress.applied_index, progress.last_index);
        progress.last_index.0
    }
}

#[test]
fn replica_with_an_empty_disk_gets_a_snapshot_that_is_smaller_than_the_records() {
    let mut leader = Leader::elect();
    leader.commit(40);
    assert!(leader.snapshots_taken > 0);
    // Replica 2 holds the first record only, as after the loss of its disk.
    leader.respond(2, false, 1);
    leader.respond(2, true, 1);
    let is_part = |body: &Body| matches!(body, Body::InstallSnapshot { .. });
    let records = |body: &Body| match body {
        Body::Append { records, .. } => records.len(),
        _ => 0,
    };
    let sent: usize = leader.sent.iter().map(records).sum();
    assert!(
        leader.sent.iter().any(is_part) && sent == 0,
        "{sent} records of {RECORD_BYTES} bytes instead of a snapshot of {SNAPSHOT_BYTES}"
    );
}

#[test]
fn replica_that_lags_by_less_than_a_snapshot_gets_records() {
    let mut leader = Leader::elect();
    let mut last = leader.commit(1);
    while leader.snapshots_taken == 0 {
        last = leader.commit(1);
    }
    leader.sent.clear();
    let held = last - 2;
    leader.respond(2, false, held);
    leader.respond(2, true, held);
    let has_records =
        |body: &Body| matches!(body, Body::Append { records, .. } if !records.is_empty());
    assert!(
        leader.sent.iter().any(has_records),
        "{} messages",
        leader.sent.len()
    );
}
