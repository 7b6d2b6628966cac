//! Orders to evacuate a data centre: durable, decided by the log in one order, and safe to resend.

mod cluster;
mod log_net;

use std::collections::BTreeMap;
use std::sync::Arc;

use cluster::Cluster;
use eelgrassdyke_control::{EvacuationOrder, Input, OperatorResponse, Query};
use eelgrassdyke_core::config::{
    Change, DataCentreSpec, DigestedDocument, Document, Patch, Publication, Submission, TeamSpec,
    Verdict,
};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::event::{Code, Event, Fact};
use eelgrassdyke_core::id::{DataCentre, Ticket, Version};
use eelgrassdyke_core::wire::follow::ConfigUpdate;
use log_net::address;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use test_case::test_case;

fn data_centre(name: &str) -> DataCentre {
    name.parse().unwrap()
}

fn order(name: &str, evacuated: bool) -> EvacuationOrder {
    EvacuationOrder {
        data_centre: data_centre(name),
        evacuated,
        author: "10.0.0.7".to_owned(),
    }
}

fn evacuate(
    cluster: &mut Cluster,
    number: usize,
    name: &str,
    evacuated: bool,
) -> Option<OperatorResponse> {
    cluster.request(number, |ticket| Input::Evacuate {
        ticket,
        order: order(name, evacuated),
    })
}

/// Hands an order to a process without waiting for its result.
fn start_order(cluster: &mut Cluster, number: usize, ticket: u64, name: &str, evacuated: bool) {
    let input = Input::Evacuate {
        ticket: Ticket(ticket),
        order: order(name, evacuated),
    };
    cluster.handle_input(number, input);
}

fn is_accepted(response: Option<&OperatorResponse>) -> bool {
    matches!(
        response,
        Some(OperatorResponse::Verdict(Verdict::Accepted { .. }))
    )
}

fn evacuated(cluster: &mut Cluster, number: usize) -> Vec<String> {
    let status = cluster.status(number);
    status.evacuated.iter().map(ToString::to_string).collect()
}

fn document(cluster: &mut Cluster, number: usize) -> Document {
    let query = Query::Config;
    match cluster.request(number, |ticket| Input::Query { ticket, query }) {
        Some(OperatorResponse::Config { document, .. }) => document,
        other => panic!("{other:?}"),
    }
}

fn team_patch(token: u64) -> Patch {
    let spec = TeamSpec {
        tokens: vec![Sha256::of(&token.to_le_bytes())],
        shares: BTreeMap::new(),
        priority: None,
    };
    Patch {
        teams: BTreeMap::from([("salons".parse().unwrap(), Some(spec))]),
        ..Patch::default()
    }
}

fn submission(operation: &str, base: Version, change: Change) -> Submission {
    Submission {
        operation: operation.parse().unwrap(),
        base,
        change,
        author: "operator".to_owned(),
    }
}

/// Restarts all processes; nothing but their disks is left.
fn restart_all(cluster: &mut Cluster) {
    for number in 0..3 {
        cluster.kill(number);
    }
    for number in 0..3 {
        cluster.start(number);
    }
    cluster.run(6000);
}

/// All hosts lose power after the acknowledgement; the order must be in the log, or, after further
/// changes, in the snapshot that replaced it.
#[test_case(0; "order in the log")]
#[test_case(30; "order in a snapshot")]
fn order_survives_the_loss_of_all_processes(later_changes: u64) {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    let response = evacuate(&mut cluster, leader, "hobart", true);
    assert!(is_accepted(response.as_ref()), "{response:?}");
    for number in 0..later_changes {
        let base = cluster.status(leader).version;
        let change = Change::Patch(team_patch(number));
        let submission = submission(&format!("more-{number}"), base, change);
        assert!(is_accepted(cluster.submit(leader, &submission).as_ref()));
    }
    let snapshot = cluster.status(leader).log.snapshot_index;
    assert_eq!(snapshot.0 > 20, later_changes > 0);
    restart_all(&mut cluster);
    for number in 0..3 {
        assert_eq!(evacuated(&mut cluster, number), ["hobart"]);
    }
    let updates = cluster.poll(0);
    let document = updates.iter().find_map(|update| match &update.config {
        Some(ConfigUpdate::Snapshot { document, .. }) => Some(document.clone()),
        _ => None,
    });
    let spec = document.unwrap().data_centres[&data_centre("hobart")];
    assert!(spec.evacuated, "a follower must learn of the order");

    let leader = cluster.leader();
    assert!(is_accepted(
        evacuate(&mut cluster, leader, "hobart", false).as_ref()
    ));
    restart_all(&mut cluster);
    assert_eq!(evacuated(&mut cluster, 0), Vec::<String>::new());
}

/// The proposal of a copy of a start is committed after the order that withdrew it, because both were
/// handed to the leader before either was committed. It must not begin the evacuation again.
#[test]
fn copy_of_a_withdrawn_start_that_is_committed_late_changes_nothing() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    assert!(is_accepted(
        evacuate(&mut cluster, leader, "hobart", true).as_ref()
    ));
    start_order(&mut cluster, leader, 1001, "hobart", false);
    start_order(&mut cluster, leader, 1002, "hobart", true);
    cluster.run(200);
    assert!(is_accepted(cluster.responses.get(&Ticket(1001))));
    assert_eq!(
        cluster.responses.get(&Ticket(1002)),
        Some(&OperatorResponse::OutcomeUnknown)
    );
    // Followers learn of the commit with the next heartbeat.
    cluster.run(1000);
    for number in 0..3 {
        assert_eq!(evacuated(&mut cluster, number), Vec::<String>::new());
    }
}

/// A removed object has no entry any more; its last change must still be known, or the late copy of a
/// start would be accepted.
#[test]
fn end_of_an_evacuation_conflicts_with_an_older_start() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    start_order(&mut cluster, leader, 1001, "hobart", false);
    start_order(&mut cluster, leader, 1002, "hobart", true);
    cluster.run(200);
    assert!(is_accepted(cluster.responses.get(&Ticket(1001))));
    assert_eq!(
        cluster.responses.get(&Ticket(1002)),
        Some(&OperatorResponse::OutcomeUnknown)
    );
    assert_eq!(evacuated(&mut cluster, leader), Vec::<String>::new());
}

/// Two operators give opposite orders at the same moment: the log orders them, one is acknowledged, and
/// the other is told to send its order again, which then holds.
#[test_case(true)]
#[test_case(false)]
fn of_two_operators_the_log_decides(first: bool) {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    start_order(&mut cluster, leader, 1001, "hobart", first);
    start_order(&mut cluster, leader, 1002, "hobart", !first);
    cluster.run(200);
    assert!(is_accepted(cluster.responses.get(&Ticket(1001))));
    assert!(!is_accepted(cluster.responses.get(&Ticket(1002))));
    assert_eq!(evacuated(&mut cluster, leader).is_empty(), !first);
    let again = evacuate(&mut cluster, leader, "hobart", !first);
    assert!(is_accepted(again.as_ref()), "{again:?}");
    cluster.run(1000);
    for number in 0..3 {
        assert_eq!(evacuated(&mut cluster, number).is_empty(), first);
    }
}

/// Operators of different data centres must not hinder each other.
#[test]
fn orders_about_different_data_centres_do_not_conflict() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    start_order(&mut cluster, leader, 1001, "hobart", true);
    start_order(&mut cluster, leader, 1002, "launceston", true);
    cluster.run(200);
    for ticket in [1001, 1002] {
        assert!(is_accepted(cluster.responses.get(&Ticket(ticket))));
    }
    assert_eq!(evacuated(&mut cluster, leader), ["hobart", "launceston"]);
}

/// The acknowledgement is lost, with the leader or without it; the operator sends the order again and
/// needs an acknowledgement.
#[test_case(false; "same leader")]
#[test_case(true; "leader killed")]
fn resent_order_is_acknowledged_again(kills_leader: bool) {
    let mut cluster = Cluster::new();
    let mut leader = cluster.leader();
    assert!(is_accepted(
        evacuate(&mut cluster, leader, "hobart", true).as_ref()
    ));
    if kills_leader {
        cluster.kill(leader);
        cluster.run(4000);
        leader = cluster.leader();
    }
    for _ in 0..3 {
        let response = evacuate(&mut cluster, leader, "hobart", true);
        assert!(is_accepted(response.as_ref()), "{response:?}");
        assert_eq!(evacuated(&mut cluster, leader), ["hobart"]);
    }
    for _ in 0..3 {
        let response = evacuate(&mut cluster, leader, "hobart", false);
        assert!(is_accepted(response.as_ref()), "{response:?}");
    }
}

/// A process that is restarted numbers its tickets from 1 again. If an order were identified by the
/// ticket alone, it would get the verdict on an earlier one.
#[test]
fn order_after_a_restart_is_not_taken_for_an_earlier_one() {
    let mut cluster = Cluster::new();
    for is_evacuated in [true, false, true, false] {
        let leader = cluster.leader();
        cluster.responses.clear();
        start_order(&mut cluster, leader, 1, "hobart", is_evacuated);
        cluster.run(200);
        assert!(is_accepted(cluster.responses.get(&Ticket(1))));
        assert_eq!(evacuated(&mut cluster, leader).is_empty(), !is_evacuated);
        restart_all(&mut cluster);
    }
}

#[test]
fn order_to_a_process_that_does_not_lead_names_the_leader() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    let response = evacuate(&mut cluster, (leader + 1) % 3, "hobart", true);
    let leader = Some(address(leader));
    assert_eq!(response, Some(OperatorResponse::NotLeader { leader }));
}

/// A leader that is cut off takes an order, which the others never see; meanwhile they accept and
/// withdraw the same order. When the link returns, the old proposal must be gone.
#[test]
fn leader_without_a_quorum_acknowledges_nothing() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    cluster.partitioned[leader] = true;
    start_order(&mut cluster, leader, 1001, "hobart", true);
    cluster.run(4000);
    assert!(!is_accepted(cluster.responses.get(&Ticket(1001))));
    let other = (0..3)
        .filter(|number| *number != leader)
        .find(|number| cluster.status(*number).is_leader)
        .expect("the majority elects a leader");
    for is_evacuated in [true, false] {
        let response = evacuate(&mut cluster, other, "hobart", is_evacuated);
        assert!(is_accepted(response.as_ref()), "{response:?}");
    }
    cluster.partitioned[leader] = false;
    cluster.run(4000);
    assert!(!is_accepted(cluster.responses.get(&Ticket(1001))));
    for number in 0..3 {
        assert_eq!(evacuated(&mut cluster, number), Vec::<String>::new());
    }
}

/// The platform's configuration doesn't know of data centres; a new one must not end an evacuation.
#[test]
fn publication_keeps_the_evacuation() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    evacuate(&mut cluster, leader, "hobart", true);
    for number in [1, 2] {
        let mut document = Document::default();
        document.apply(&team_patch(number));
        let publication = Publication {
            number,
            document,
            source: number.to_string().into_bytes(),
        };
        let response = cluster.request(leader, |ticket| Input::Publish {
            ticket,
            publication: publication.clone(),
        });
        assert!(is_accepted(response.as_ref()), "{response:?}");
        assert_eq!(evacuated(&mut cluster, leader), ["hobart"]);
    }
    assert_eq!(document(&mut cluster, leader).teams.len(), 1);
}

/// A whole document is often written before an order, or kept in a repository that doesn't know of it.
#[test]
fn whole_document_keeps_the_evacuation_and_can_not_change_it() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    evacuate(&mut cluster, leader, "hobart", true);
    let mut whole = Document::default();
    whole.apply(&team_patch(1));
    let base = cluster.status(leader).version;
    let replacement = submission("whole-1", base, Change::Replace(whole.clone()));
    assert!(is_accepted(cluster.submit(leader, &replacement).as_ref()));
    assert_eq!(evacuated(&mut cluster, leader), ["hobart"]);

    // A copy of the document in force, with the evacuation, is accepted.
    let current = document(&mut cluster, leader);
    let base = cluster.status(leader).version;
    let replacement = submission("whole-2", base, Change::Replace(current));
    assert!(is_accepted(cluster.submit(leader, &replacement).as_ref()));

    let spec = DataCentreSpec { evacuated: true };
    whole.data_centres.insert(data_centre("launceston"), spec);
    let base = cluster.status(leader).version;
    let replacement = submission("whole-3", base, Change::Replace(whole));
    let response = cluster.submit(leader, &replacement);
    let Some(OperatorResponse::Verdict(Verdict::Invalid { faults })) = response else {
        panic!("{response:?}");
    };
    assert_eq!(faults[0].path, "data_centres");
    assert_eq!(evacuated(&mut cluster, leader), ["hobart"]);
}

/// A data centre that gets requests has no entry, so that equal documents have equal digests.
#[test]
fn entry_of_a_data_centre_that_is_not_evacuated_is_refused() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    let spec = DataCentreSpec { evacuated: false };
    let patch = Patch {
        data_centres: BTreeMap::from([(data_centre("hobart"), Some(spec))]),
        ..Patch::default()
    };
    let submission = submission("entry", Version(0), Change::Patch(patch));
    let response = cluster.submit(leader, &submission);
    let Some(OperatorResponse::Verdict(Verdict::Invalid { faults })) = response else {
        panic!("{response:?}");
    };
    assert_eq!(faults[0].path, "data_centres.hobart.evacuated");
}

/// The timeline must show who gave which order, once for each accepted one.
#[test]
fn each_accepted_order_has_one_event() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    evacuate(&mut cluster, leader, "hobart", true);
    evacuate(&mut cluster, (leader + 1) % 3, "hobart", false);
    evacuate(&mut cluster, leader, "hobart", false);
    let events: Vec<&Event> = cluster
        .events
        .iter()
        .filter(|event| event.code == Code::EvacuationOrdered)
        .collect();
    let details: Vec<&str> = events.iter().map(|event| event.detail.as_str()).collect();
    assert_eq!(details, ["evacuate", "restore"]);
    for event in events {
        let facts: BTreeMap<&str, &Fact> = event.facts.iter().collect();
        assert_eq!(facts["data_centre"], &Fact::Text("hobart".to_owned()));
        assert_eq!(facts["author"], &Fact::Text("10.0.0.7".to_owned()));
    }
}

/// Processes of earlier builds refuse unknown fields, and digests of existing documents must not change.
#[test]
fn empty_section_is_not_written() {
    let document = serde_json::to_value(Document::default()).unwrap();
    assert_eq!(document, json!({"teams": {}, "services": {}, "groups": {}}));
    let patch = serde_json::to_value(Patch::default()).unwrap();
    assert_eq!(patch, json!({"teams": {}, "services": {}, "groups": {}}));
    let mut evacuated = Document::default();
    let spec = DataCentreSpec { evacuated: true };
    evacuated.data_centres.insert(data_centre("hobart"), spec);
    assert_eq!(
        serde_json::to_value(evacuated).unwrap()["data_centres"],
        json!({"hobart": {"evacuated": true}})
    );
}

/// A follower applies deltas and compares the digest with that of control.
#[test]
fn digest_follows_each_change_of_an_evacuation() {
    let mut digested = DigestedDocument::default();
    let empty = digested.digest();
    for is_evacuated in [true, true, false, false] {
        let spec = is_evacuated.then_some(DataCentreSpec { evacuated: true });
        let patch = Patch {
            data_centres: BTreeMap::from([(data_centre("hobart"), spec)]),
            ..Patch::default()
        };
        digested.apply(&patch);
        let document: Arc<Document> = digested.document().clone();
        assert_eq!(digested.digest(), DigestedDocument::from(document).digest());
        assert_eq!(digested.digest() == empty, !is_evacuated);
    }
}

/// An operator sends each order until it is acknowledged, to any process, while processes are cut off
/// and killed. An earlier order whose outcome stayed unknown must not take effect after a later one was
/// acknowledged.
#[test]
fn last_acknowledged_order_holds_in_random_histories() {
    for seed in 1..=12 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cluster = Cluster::new();
        let mut is_evacuated = false;
        let mut unacknowledged = 0;
        for round in 0..25 {
            is_evacuated = rng.random_range(0..2) == 0;
            let mut tries = 0;
            loop {
                tries += 1;
                if rng.random_range(0..4) == 0 {
                    disturb(&mut cluster, &mut rng);
                }
                let number = rng.random_range(0..3);
                if cluster.processes[number].is_some() {
                    let response = evacuate(&mut cluster, number, "hobart", is_evacuated);
                    if is_accepted(response.as_ref()) {
                        break;
                    }
                    unacknowledged += 1;
                }
                cluster.run(rng.random_range(5..500));
                if tries % 20 == 0 {
                    heal(&mut cluster);
                }
                assert!(
                    tries < 200,
                    "seed {seed}, round {round}: no acknowledgement"
                );
            }
        }
        heal(&mut cluster);
        for number in 0..3 {
            let expected: &[&str] = if is_evacuated { &["hobart"] } else { &[] };
            assert_eq!(evacuated(&mut cluster, number), expected, "seed {seed}");
        }
        assert!(
            unacknowledged > 10,
            "seed {seed}: the history has no faults"
        );
    }
}

/// Cuts a process off, reconnects it, kills it or starts it.
fn disturb(cluster: &mut Cluster, rng: &mut ChaCha8Rng) {
    let number = rng.random_range(0..3);
    match (rng.random_range(0..3), cluster.processes[number].is_some()) {
        (0, _) => cluster.partitioned[number] ^= true,
        (_, false) => cluster.start(number),
        (_, true) => cluster.kill(number),
    }
}

fn heal(cluster: &mut Cluster) {
    cluster.partitioned = vec![false; 3];
    for number in 0..3 {
        if cluster.processes[number].is_none() {
            cluster.start(number);
        }
    }
    cluster.run(6000);
}
