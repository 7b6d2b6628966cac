//! Single mechanisms of the log: votes, commits, read queries, membership and formation. Most tests
//! drive one replica and play its peers.

mod log_net;

use std::time::Duration;

use eelgrassdyke_control::log::{
    HardState, Input, MembershipChange, Options, Output, RecoveredState, Refusal, Replica, Write,
};
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Body, FormationStage, Members, Message, Payload, Record};
use log_net::{Cluster, MANY_FAULTS, Outcome, address};
use rand::RngExt as _;

const CLUSTER: u64 = 9;

/// One replica of a cluster, of three if nothing else is said; the test plays its peers.
struct ReplicaHarness {
    now: Instant,
    replica: Replica,
}

fn members() -> Members {
    let mut members = Members::default();
    for number in 0..3 {
        members.voters.insert(Id(number), address(number as usize));
    }
    members
}

fn record(term: u64, index: u64, payload: Payload) -> Record {
    Record {
        term: Term(term),
        index: Index(index),
        payload,
    }
}

fn recovered(term: u64, vote: Option<Id>, later_records: Vec<Record>) -> RecoveredState {
    recovered_with(members(), term, vote, later_records)
}

fn recovered_with(
    members: Members,
    term: u64,
    vote: Option<Id>,
    later_records: Vec<Record>,
) -> RecoveredState {
    let mut records = vec![record(0, 1, Payload::Members(members))];
    records.extend(later_records);
    RecoveredState {
        hard_state: HardState {
            cluster: CLUSTER,
            term: Term(term),
            vote,
            promise: None,
        },
        records,
        ..RecoveredState::empty(Id(0))
    }
}

impl ReplicaHarness {
    /// Starts at 10 s on the clock.
    fn start(recovered: RecoveredState) -> Self {
        let now = Instant(10_000_000);
        let mut out = Vec::new();
        let replica = Replica::new(now, address(0), recovered, Options::default(), &mut out);
        Self { now, replica }
    }

    fn wait(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    fn handle_input(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.replica.handle(self.now, input, &mut out);
        out
    }

    fn receive(&mut self, from: u64, term: u64, body: Body) -> Vec<Output> {
        let message = Message {
            cluster: CLUSTER,
            from: Id(from),
            to: Id(0),
            term: Term(term),
            body,
        };
        let from = address(from as usize);
        self.handle_input(Input::Message { from, message })
    }

    /// Reports all writes so far as durable.
    fn complete_writes(&mut self) -> Vec<Output> {
        self.handle_input(Input::Persisted { job: u64::MAX / 2 })
    }

    /// Wins an election with the vote of replica 1. The writes up to the vote for itself are durable,
    /// those after it are not.
    fn win_election(&mut self) -> Vec<Output> {
        self.wait(2000);
        self.handle_input(Input::Tick);
        let term = self.replica.term().0 + 1;
        self.receive(1, term, vote_response(true));
        self.complete_writes();
        let out = self.receive(1, term, vote_response(false));
        assert!(self.replica.is_leader());
        out
    }

    fn acknowledge(&mut self, from: u64, index: u64, round: u64) -> Vec<Output> {
        let term = self.replica.term().0;
        self.receive(from, term, append_response(index, round))
    }
}

fn vote_request(pre_vote: bool, last_index: u64, last_term: u64) -> Body {
    Body::RequestVote {
        pre_vote,
        last_index: Index(last_index),
        last_term: Term(last_term),
        after_restart: false,
        knows_settled: true,
    }
}

fn vote_response(pre_vote: bool) -> Body {
    Body::VoteResponse {
        pre_vote,
        granted: true,
        after_restart: false,
    }
}

fn append_response(index: u64, round: u64) -> Body {
    Body::AppendResponse {
        matched: true,
        index: Index(index),
        round,
        knows_settled: true,
    }
}

fn append_request(previous: (u64, u64), records: Vec<Record>, commit: u64) -> Body {
    Body::Append {
        previous_index: Index(previous.0),
        previous_term: Term(previous.1),
        records,
        commit_index: Index(commit),
        round: 1,
    }
}

fn sent_messages(out: &[Output]) -> Vec<&Message> {
    let messages = out.iter().filter_map(|output| match output {
        Output::Send { message, .. } => Some(message),
        _ => None,
    });
    messages.collect()
}

fn applied_indexes(out: &[Output]) -> Vec<u64> {
    let records = out.iter().filter_map(|output| match output {
        Output::Apply { record, .. } => Some(record.index.0),
        _ => None,
    });
    records.collect()
}

fn grants_vote(out: &[Output]) -> bool {
    let granted = |m: &&Message| matches!(m.body, Body::VoteResponse { granted: true, .. });
    sent_messages(out).iter().any(granted)
}

fn greatest_round(out: &[Output]) -> u64 {
    let rounds = sent_messages(out).into_iter().filter_map(|m| match m.body {
        Body::Append { round, .. } => Some(round),
        _ => None,
    });
    rounds.max().unwrap_or(0)
}

#[test]
fn vote_is_granted_after_it_is_durable_and_once_per_term() {
    let mut harness = ReplicaHarness::start(recovered(3, None, Vec::new()));
    harness.wait(1500);
    let out = harness.receive(1, 5, vote_request(false, 1, 0));
    assert!(
        !grants_vote(&out),
        "the vote is granted before it is durable"
    );
    let hard_state = out.iter().find_map(|output| match output {
        Output::Persist(job) => job.writes.iter().rev().find_map(|write| match write {
            Write::HardState(hard_state) => Some(hard_state.clone()),
            _ => None,
        }),
        _ => None,
    });
    let hard_state = hard_state.expect("the vote is written");
    assert_eq!((hard_state.term, hard_state.vote), (Term(5), Some(Id(1))));
    assert!(grants_vote(&harness.complete_writes()));

    // After a restart it grants the vote of the term to the same candidate only.
    let mut harness = ReplicaHarness::start(recovered(5, hard_state.vote, Vec::new()));
    harness.wait(1500);
    assert!(!grants_vote(&harness.receive(
        2,
        5,
        vote_request(false, 1, 0)
    )));
    assert!(grants_vote(&harness.receive(
        1,
        5,
        vote_request(false, 1, 0)
    )));
}

#[test]
fn candidate_with_an_outdated_log_gets_no_vote() {
    let records = vec![record(2, 2, Payload::NoOp)];
    let mut harness = ReplicaHarness::start(recovered(3, None, records));
    harness.wait(1500);
    for pre_vote in [true, false] {
        assert!(!grants_vote(&harness.receive(
            1,
            9,
            vote_request(pre_vote, 1, 0)
        )));
        assert!(!grants_vote(&harness.receive(
            1,
            9,
            vote_request(pre_vote, 7, 1)
        )));
    }
}

#[test]
fn no_vote_is_granted_while_a_leader_may_hold_its_lease() {
    let mut harness = ReplicaHarness::start(recovered(3, None, Vec::new()));
    // It may have had contact with a leader just before the restart.
    harness.wait(900);
    assert!(sent_messages(&harness.receive(1, 4, vote_request(false, 1, 0))).is_empty());
    assert_eq!(harness.replica.term(), Term(3));
    harness.wait(200);
    harness.receive(2, 4, append_request((1, 0), Vec::new(), 1));
    harness.wait(900);
    for pre_vote in [true, false] {
        assert!(sent_messages(&harness.receive(1, 5, vote_request(pre_vote, 1, 0))).is_empty());
    }
    harness.wait(200);
    harness.receive(1, 5, vote_request(false, 1, 0));
    assert!(grants_vote(&harness.complete_writes()));
}

/// A leader that was starved must not take its own pause for silence of the others.
#[test]
fn leader_handles_responses_that_arrived_during_its_pause_before_it_steps_down() {
    let mut harness = ReplicaHarness::start(recovered(3, None, Vec::new()));
    let round = greatest_round(&harness.win_election());
    harness.complete_writes();
    harness.acknowledge(1, 2, round);
    harness.wait(2500);
    let round = greatest_round(&harness.handle_input(Input::Tick));
    assert!(harness.replica.is_leader());
    harness.wait(50);
    harness.acknowledge(1, 2, round);
    for _ in 0..8 {
        harness.wait(200);
        harness.handle_input(Input::Tick);
        assert!(harness.replica.is_leader());
    }
    for _ in 0..4 {
        harness.wait(200);
        harness.handle_input(Input::Tick);
    }
    assert!(!harness.replica.is_leader(), "nobody responds");
}

#[test]
fn pre_vote_changes_no_term() {
    let mut harness = ReplicaHarness::start(recovered(3, None, Vec::new()));
    for _ in 0..10 {
        harness.wait(2000);
        let out = harness.handle_input(Input::Tick);
        assert_eq!(sent_messages(&out).len(), 2);
        assert_eq!(harness.replica.term(), Term(3));
    }
    // Granting a pre-vote changes no term either.
    assert!(grants_vote(&harness.receive(
        1,
        9,
        vote_request(true, 1, 0)
    )));
    assert_eq!(harness.replica.term(), Term(3));
}

#[test]
fn record_of_an_earlier_term_commits_with_one_of_the_current_term() {
    let records = vec![record(2, 2, Payload::NoOp)];
    let mut harness = ReplicaHarness::start(recovered(3, None, records));
    harness.win_election();
    assert!(applied_indexes(&harness.complete_writes()).is_empty());
    // A majority holds record 2, but a leader of term 3 elsewhere could still replace it.
    assert!(applied_indexes(&harness.acknowledge(1, 2, 0)).is_empty());
    assert_eq!(applied_indexes(&harness.acknowledge(1, 3, 0)), [1, 2, 3]);
}

#[test]
fn response_of_an_earlier_term_is_ignored() {
    let mut harness = ReplicaHarness::start(recovered(3, None, Vec::new()));
    harness.win_election();
    harness.complete_writes();
    assert!(applied_indexes(&harness.receive(1, 3, append_response(2, 1))).is_empty());
    assert_eq!(applied_indexes(&harness.acknowledge(1, 2, 1)), [1, 2]);
}

#[test]
fn leader_counts_its_own_records_after_they_are_durable() {
    let mut harness = ReplicaHarness::start(recovered(3, None, Vec::new()));
    harness.win_election();
    assert!(applied_indexes(&harness.acknowledge(1, 2, 0)).is_empty());
    assert_eq!(applied_indexes(&harness.complete_writes()), [1, 2]);
}

#[test]
fn read_index_waits_for_a_round_started_after_the_query() {
    let mut harness = ReplicaHarness::start(recovered(3, None, Vec::new()));
    let early_round = greatest_round(&harness.win_election());
    harness.complete_writes();
    // Before a record of its term is committed, the leader doesn't know the commit index.
    let unconfirmed = |out: &[Output]| {
        !out.iter()
            .any(|o| matches!(o, Output::ReadIndexConfirmed { .. }))
    };
    assert!(unconfirmed(
        &harness.handle_input(Input::ReadIndex { query_number: 1 })
    ));
    let out = harness.acknowledge(1, 2, early_round);
    let first_round = greatest_round(&out);
    assert!(unconfirmed(&out) && first_round > early_round);
    assert!(unconfirmed(
        &harness.handle_input(Input::ReadIndex { query_number: 2 })
    ));
    // A delayed response to the earlier round confirms nothing.
    assert!(unconfirmed(&harness.acknowledge(2, 2, early_round)));
    let index = Index(2);
    let confirmed = |out: &[Output], query_number| {
        out.contains(&Output::ReadIndexConfirmed {
            query_number,
            index,
        })
    };
    // The second query arrived after the start of the round that confirms the first one.
    let out = harness.acknowledge(2, 2, first_round);
    assert!(confirmed(&out, 1) && !confirmed(&out, 2));
    let second_round = greatest_round(&out);
    assert!(second_round > first_round);
    assert!(confirmed(&harness.acknowledge(2, 2, second_round), 2));
}

#[test]
fn members_change_one_at_a_time_after_a_commit_in_the_current_term() {
    let refused = |out: &[Output]| {
        let of_change = |r: &Refusal| matches!(r, Refusal::MembershipChange { .. });
        out.iter()
            .any(|o| matches!(o, Output::Refused { refusal, .. } if of_change(refusal)))
    };
    let remove = |id| Input::ChangeMembers {
        token: id,
        change: MembershipChange::Remove(Id(id)),
    };
    let mut harness = ReplicaHarness::start(recovered(3, None, Vec::new()));
    harness.win_election();
    harness.complete_writes();
    assert!(
        refused(&harness.handle_input(remove(2))),
        "no record of the term is committed"
    );
    harness.acknowledge(1, 2, 0);
    assert!(!refused(&harness.handle_input(remove(2))));
    assert!(
        refused(&harness.handle_input(remove(1))),
        "a change is in progress"
    );
    // The vote of the removed replica no longer counts for the record that removes it.
    harness.complete_writes();
    assert!(applied_indexes(&harness.acknowledge(2, 3, 0)).is_empty());
    assert_eq!(applied_indexes(&harness.acknowledge(1, 3, 0)), [3]);
}

#[test]
fn installing_a_snapshot_keeps_acknowledged_later_records() {
    let mut harness = ReplicaHarness::start(recovered(3, None, Vec::new()));
    let records = (2..6).map(|index| record(4, index, Payload::NoOp));
    harness.receive(1, 4, append_request((1, 0), records.collect(), 1));
    harness.complete_writes();
    let install = Body::InstallSnapshot {
        last_index: Index(3),
        last_term: Term(4),
        members: members(),
        offset: 0,
        data: vec![1],
        done: true,
        round: 2,
    };
    assert_eq!(applied_indexes(&harness.receive(1, 4, install)), [2, 3]);
    let out = harness.receive(1, 4, append_request((5, 4), Vec::new(), 3));
    let expected = Body::AppendResponse {
        matched: true,
        index: Index(5),
        round: 1,
        knows_settled: true,
    };
    assert_eq!(sent_messages(&out)[0].body, expected);
}

/// A losing candidate still holds records of the old leader. The commit index of the new leader
/// must not commit them before they are verified against its log.
#[test]
fn losing_candidate_commits_no_records_of_the_old_leader() {
    let mut harness = ReplicaHarness::start(recovered(3, None, Vec::new()));
    harness.receive(
        1,
        3,
        append_request((1, 0), vec![record(3, 2, Payload::NoOp)], 1),
    );
    harness.complete_writes();
    harness.wait(2500);
    harness.handle_input(Input::Tick);
    harness.receive(2, 4, vote_response(true));
    assert_eq!(harness.replica.term(), Term(4), "it starts an election");
    // Replica 2 won that term without record 2 and committed two records of its own.
    assert!(
        applied_indexes(&harness.receive(2, 4, append_request((1, 0), Vec::new(), 3))).is_empty()
    );
}

#[test]
fn messages_from_a_copied_data_folder_are_ignored() {
    let mut harness = ReplicaHarness::start(recovered(3, None, Vec::new()));
    harness.wait(1500);
    let message = Message {
        cluster: CLUSTER,
        from: Id(1),
        to: Id(0),
        term: Term(4),
        body: vote_request(false, 1, 0),
    };
    let from = address(7);
    let out = harness.handle_input(Input::Message { from, message });
    assert!(sent_messages(&out).is_empty());
    assert_eq!(harness.replica.term(), Term(3));
}

#[test]
fn disk_failure_stops_the_replica() {
    let mut harness = ReplicaHarness::start(recovered(3, None, Vec::new()));
    harness.win_election();
    harness.handle_input(Input::Propose {
        token: 1,
        command: vec![1],
    });
    let problem = "full".to_owned();
    let out = harness.handle_input(Input::DiskFailed { problem });
    assert!(out.contains(&Output::OutcomeUnknown { token: 1 }));
    harness.wait(5000);
    assert!(harness.handle_input(Input::Tick).is_empty());
    assert!(harness.complete_writes().is_empty());
    assert!(!harness.replica.is_leader());
}

fn formed_cluster(seed: u64, hosts: usize) -> Cluster {
    let mut cluster = Cluster::new(seed, hosts, 0);
    cluster.run_until(Duration::from_secs(30), |cluster| {
        cluster.leader().is_some()
    });
    cluster.run(Duration::from_secs(1));
    cluster
}

fn term(cluster: &Cluster, host: usize) -> Term {
    let process = cluster.hosts[host].process.as_ref();
    process
        .map(|process| process.replica.term())
        .unwrap_or_default()
}

#[test]
fn partitioned_or_removed_replica_does_not_depose_the_leader() {
    let mut cluster = formed_cluster(1, 3);
    let leader = cluster.leader().expect("a leader");
    let (term_before, other) = (term(&cluster, leader), (leader + 1) % 3);
    cluster.hosts[other].partitioned = true;
    cluster.run(Duration::from_secs(30));
    cluster.hosts[other].partitioned = false;
    cluster.run(Duration::from_secs(5));
    assert_eq!(
        (cluster.leader(), term(&cluster, leader)),
        (Some(leader), term_before)
    );

    let id = cluster.id(other).expect("a running process");
    let token = cluster.propose_change(leader, MembershipChange::Remove(id));
    cluster.run(Duration::from_secs(30));
    assert!(matches!(
        cluster.change_outcomes[&token],
        Outcome::Acknowledged(_)
    ));
    assert_eq!(
        (cluster.leader(), term(&cluster, leader)),
        (Some(leader), term_before)
    );
}

#[test]
fn partitioned_leader_steps_down_and_accepts_nothing() {
    let mut cluster = formed_cluster(2, 3);
    let old = cluster.leader().expect("a leader");
    cluster.hosts[old].partitioned = true;
    let token = cluster.propose(old);
    cluster.run(Duration::from_secs(5));
    let process = cluster.hosts[old]
        .process
        .as_ref()
        .expect("a running process");
    assert!(!process.replica.is_leader() && !process.replica.has_quorum(cluster.now));
    assert_eq!(cluster.outcomes[&token], Outcome::Unknown);
    let token = cluster.propose(old);
    assert_eq!(cluster.outcomes[&token], Outcome::Refused);
    cluster.converge_and_check();
}

#[test]
fn leader_resumed_after_a_freeze_confirms_no_reads() {
    let mut cluster = formed_cluster(3, 3);
    let old = cluster.leader().expect("a leader");
    cluster.hosts[old].frozen = true;
    cluster.run_until(Duration::from_secs(10), |cluster| {
        cluster.leader() != Some(old)
    });
    let leader = cluster.leader().expect("another leader");
    cluster.run(Duration::from_secs(1));
    let token = cluster.propose(leader);
    cluster.run(Duration::from_secs(1));
    assert!(matches!(cluster.outcomes[&token], Outcome::Acknowledged(_)));
    // The query waits in the frozen process; a stale read index would fail the simulation's check.
    let confirmed = cluster.confirmed_reads;
    cluster.query_read_index(old);
    cluster.hosts[old].frozen = false;
    cluster.run(Duration::from_secs(3));
    let process = cluster.hosts[old]
        .process
        .as_ref()
        .expect("a running process");
    assert!(!process.replica.is_leader());
    assert_eq!(cluster.confirmed_reads, confirmed);
    cluster.converge_and_check();
}

/// Founders crash and lose their disks before, during and after the formation.
#[test]
fn founders_form_at_most_one_cluster() {
    let mut formed = 0;
    for seed in 0..300 {
        let mut cluster = Cluster::new(seed, 3, 0);
        if seed % 2 == 0 {
            cluster.faults = MANY_FAULTS;
        }
        for _ in 0..cluster.rng.random_range(1..4) {
            let span = cluster.rng.random_range(1..1500);
            cluster.run(Duration::from_millis(span));
            let host = cluster.rng.random_range(0..3);
            match cluster.rng.random() {
                true => cluster.lose_disk(host),
                false => cluster.crash(host, true),
            }
        }
        cluster.faults = log_net::NO_FAULTS;
        cluster.run(Duration::from_secs(15));
        let mut clusters = std::collections::BTreeSet::new();
        for host in &cluster.hosts {
            let Some(process) = &host.process else {
                continue;
            };
            let status = process.replica.status(cluster.now);
            if process.replica.has_quorum(cluster.now) {
                clusters.insert(status.cluster);
            }
        }
        assert!(clusters.len() <= 1, "seed {seed}: {clusters:?}");
        formed += clusters.len();
    }
    assert!(formed > 100, "only {formed} clusters formed");
}

/// Six voters that are settled.
fn six_voters() -> Members {
    let voters = (0..6).map(|number| (Id(number), address(number as usize)));
    Members {
        voters: voters.collect(),
        settled: true,
        ..Members::default()
    }
}

fn six_replicas() -> ReplicaHarness {
    ReplicaHarness::start(recovered_with(six_voters(), 3, None, Vec::new()))
}

/// Identity that the process of a host has after the loss of its disk.
fn successor(number: u64) -> Id {
    Id(number + 100)
}

impl ReplicaHarness {
    /// Sends a `Hello` of a process with an empty folder; returns the challenge in the response.
    fn announce(&mut self, number: u64, answer: u64) -> u64 {
        let from = address(number as usize);
        let message = Message {
            cluster: 0,
            from: successor(number),
            to: Id::default(),
            term: Term(0),
            body: Body::Hello {
                address: from,
                founders: Vec::new(),
                stage: FormationStage::Unformed,
                challenge: 0,
                answer,
            },
        };
        let out = self.handle_input(Input::Message { from, message });
        let mut challenges = sent_messages(&out)
            .into_iter()
            .filter_map(|m| match m.body {
                Body::Hello { challenge, .. } => Some(challenge),
                _ => None,
            });
        challenges.next().expect("a response")
    }

    /// Shows that the disk of a host is lost.
    fn lose_disk(&mut self, number: u64) {
        let challenge = self.announce(number, 0);
        self.announce(number, challenge);
    }

    fn begin_pre_vote(&mut self) {
        self.wait(2000);
        self.handle_input(Input::Tick);
    }

    /// Requests votes, after the pre-votes of the given replicas.
    fn begin_election(&mut self, pre_votes: &[u64]) {
        self.begin_pre_vote();
        let term = self.replica.term().0 + 1;
        for from in pre_votes {
            self.receive(*from, term, vote_response(true));
        }
        self.complete_writes();
    }

    fn receive_votes(&mut self, from: &[u64]) {
        for from in from {
            let term = self.replica.term().0;
            self.receive(*from, term, vote_response(false));
        }
    }
}

#[test]
fn half_of_six_voters_elect_a_leader_only_beside_two_lost_disks() {
    for (lost, elects) in [(&[][..], false), (&[2], false), (&[2, 3], true)] {
        let mut harness = six_replicas();
        for number in lost {
            harness.lose_disk(*number);
        }
        harness.begin_election(&[1, 4, 5]);
        harness.receive_votes(&[4, 5]);
        assert_eq!(harness.replica.is_leader(), elects, "{lost:?} are lost");
    }
}

/// Beside members that aren't settled, earlier voters may still decide.
#[test]
fn half_of_voters_that_are_not_settled_elect_no_leader() {
    let members = Members {
        settled: false,
        ..six_voters()
    };
    let mut harness = ReplicaHarness::start(recovered_with(members, 3, None, Vec::new()));
    harness.lose_disk(2);
    harness.lose_disk(3);
    harness.begin_election(&[1, 4, 5]);
    harness.receive_votes(&[4, 5]);
    assert!(!harness.replica.is_leader());
}

/// The vote of a lost disk may still be on its way, and the two halves of the voters elect one leader each.
#[test]
fn vote_of_a_lost_disk_counts_for_no_half() {
    let mut harness = six_replicas();
    harness.lose_disk(2);
    harness.lose_disk(3);
    harness.begin_election(&[1, 4, 5]);
    harness.receive_votes(&[2, 3]);
    assert!(!harness.replica.is_leader());
}

/// Votes that were cast before the losses were known may be those of replicas that were lost meanwhile.
#[test]
fn losses_that_become_known_after_the_votes_were_requested_count_for_the_next_term() {
    let mut harness = six_replicas();
    harness.begin_election(&[1, 4, 5]);
    harness.lose_disk(2);
    harness.lose_disk(3);
    harness.receive_votes(&[4, 5]);
    assert!(!harness.replica.is_leader());
    harness.begin_election(&[4, 5]);
    harness.receive_votes(&[4, 5]);
    assert!(harness.replica.is_leader());
}

/// A `Hello` may be late: from an identity that the host had before the one that votes.
#[test]
fn identity_that_answers_no_challenge_or_an_earlier_one_shows_no_loss() {
    let mut harness = six_replicas();
    for number in [2, 3] {
        harness.announce(number, 0);
        harness.announce(number, 12345);
    }
    harness.begin_election(&[4, 5]);
    harness.receive_votes(&[4, 5]);
    assert!(!harness.replica.is_leader());
    // The challenges of the time before the members changed.
    let earlier: Vec<u64> = [2, 3].map(|number| harness.announce(number, 0)).to_vec();
    let mut members = six_voters();
    members.learners.insert(Id(7), address(7));
    let records = vec![record(4, 2, Payload::Members(members))];
    harness.receive(1, 9, append_request((1, 0), records, 1));
    harness.complete_writes();
    for (number, challenge) in [2, 3].into_iter().zip(earlier) {
        harness.announce(number, challenge);
    }
    harness.wait(2000);
    harness.begin_election(&[4, 5]);
    harness.receive_votes(&[4, 5]);
    assert!(!harness.replica.is_leader());
}

/// A replica that acknowledged a record may have lost its disk before the losses of others were known.
#[test]
fn half_of_six_voters_commit_only_by_answers_since_the_losses_were_known() {
    let mut harness = six_replicas();
    harness.begin_election(&[1, 4, 5]);
    harness.receive_votes(&[1, 4, 5]);
    harness.complete_writes();
    assert!(harness.replica.is_leader());
    harness.wait(200);
    let round = greatest_round(&harness.handle_input(Input::Tick));
    harness.acknowledge(4, 2, round);
    harness.acknowledge(5, 2, round);
    harness.wait(100);
    harness.lose_disk(2);
    harness.lose_disk(3);
    assert!(applied_indexes(&harness.acknowledge(5, 2, round)).is_empty());
    harness.wait(200);
    let round = greatest_round(&harness.handle_input(Input::Tick));
    assert!(applied_indexes(&harness.acknowledge(4, 2, round)).is_empty());
    assert_eq!(applied_indexes(&harness.acknowledge(5, 2, round)), [1, 2]);
}

/// The voters before a removal and those after it may have quorums without a voter in common.
#[test]
fn removal_from_six_voters_takes_a_quorum_of_both_sets() {
    let mut harness = six_replicas();
    harness.begin_election(&[1, 2, 3]);
    harness.receive_votes(&[1, 2, 3]);
    harness.complete_writes();
    for from in [1, 2, 3] {
        harness.acknowledge(from, 2, 0);
    }
    harness.handle_input(Input::ChangeMembers {
        token: 1,
        change: MembershipChange::Remove(Id(5)),
    });
    assert!(harness.replica.members().is_changing());
    harness.complete_writes();
    // Three of five, but also three of six.
    for from in [1, 2] {
        assert!(applied_indexes(&harness.acknowledge(from, 3, 0)).is_empty());
    }
    // Four of six, and the one that is removed still counts for that set.
    let out = harness.acknowledge(5, 3, 0);
    assert_eq!(applied_indexes(&out), [3]);
    assert!(!harness.replica.members().is_changing());
    assert_eq!(harness.replica.members().voters.len(), 5);
}

/// A candidate that knows of a removal may be elected by votes of lost disks that arrive late.
#[test]
fn candidate_with_a_removal_in_progress_needs_the_votes_of_both_sets() {
    let mut members = six_voters();
    members.outgoing = members.voters.clone();
    members.voters.remove(&Id(5));
    let mut harness = ReplicaHarness::start(recovered_with(members, 3, None, Vec::new()));
    harness.begin_election(&[1, 2, 3]);
    harness.receive_votes(&[1, 2]);
    assert!(!harness.replica.is_leader());
    harness.receive_votes(&[5]);
    assert!(harness.replica.is_leader());
}

/// A leader of an earlier build would remove a voter with the agreement of the remaining ones alone.
#[test]
fn settled_voter_grants_no_vote_to_an_earlier_build() {
    for knows_settled in [false, true] {
        let mut harness = six_replicas();
        let mut request = vote_request(false, 1, 0);
        if let Body::RequestVote {
            knows_settled: k, ..
        } = &mut request
        {
            *k = knows_settled;
        }
        harness.wait(2000);
        harness.receive(1, 4, request);
        let out = harness.complete_writes();
        assert_eq!(grants_vote(&out), knows_settled);
    }
}
