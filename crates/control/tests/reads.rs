//! Reads of the configuration by operators, and the events from which an engineer on call learns why one was
//! refused.

mod cluster;
mod log_net;

use cluster::Cluster;
use eelgrassdyke_control::{Input, OperatorResponse};
use eelgrassdyke_core::config::{Document, Publication};
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::Ticket;

/// Time within which a read is answered or refused.
const READ_TIME_MS: u64 = 1000;

/// Publishes a configuration at the leader and returns the number of the leader.
fn publish(cluster: &mut Cluster) -> usize {
    let leader = cluster.leader();
    let publication = Publication {
        number: 1,
        document: Document::default(),
        source: b"{}".to_vec(),
    };
    let response = cluster.request(leader, |ticket| Input::Publish {
        ticket,
        publication: publication.clone(),
    });
    assert!(
        matches!(response, Some(OperatorResponse::Verdict(_))),
        "{response:?}"
    );
    leader
}

/// Reads the configuration at a control process; returns the response and the events with `code`.
fn read(
    cluster: &mut Cluster,
    number: usize,
    code: Code,
) -> (Option<OperatorResponse>, Vec<Event>) {
    cluster.events.clear();
    cluster.request(number, |ticket| Input::ReadPublication { ticket });
    cluster.run(READ_TIME_MS);
    let ticket = Ticket(cluster.last_ticket);
    let response = cluster.responses.get(&ticket).cloned();
    let events = cluster.events.iter().filter(|event| event.code == code);
    let events = events.cloned().collect();
    (response, events)
}

fn fact(event: &Event, name: &str) -> Option<String> {
    let mut facts = event.facts.iter();
    let (_, value) = facts.find(|(fact, _)| *fact == name)?;
    Some(value.to_string())
}

#[test]
fn a_read_is_logged_with_the_state_of_the_replica() {
    let mut cluster = Cluster::new();
    let leader = publish(&mut cluster);
    let (response, events) = read(&mut cluster, leader, Code::ConfigRead);
    assert!(matches!(
        response,
        Some(OperatorResponse::Publication(Some(_)))
    ));
    assert_eq!(events.len(), 1, "{:?}", cluster.events);
    assert_eq!(fact(&events[0], "role").as_deref(), Some("leader"));
}

/// Operators see 503 in all three cases; without the reason the engineer on call can't tell a missing
/// leader from a leader that commits nothing.
#[test]
fn a_refused_read_is_logged_with_its_reason() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    let (_, events) = read(&mut cluster, leader, Code::ConfigReadRefused);
    assert_eq!(events[0].detail, "no configuration is held");

    publish(&mut cluster);
    let follower = (leader + 1) % 3;
    cluster.partitioned[follower] = true;
    let (response, events) = read(&mut cluster, follower, Code::ConfigReadRefused);
    assert!(matches!(response, Some(OperatorResponse::Refused { .. })));
    assert_eq!(
        events[0].detail,
        "no quorum confirmed the committed index in time"
    );
    assert!(fact(&events[0], "commit_index").is_some());

    cluster.run(3000);
    let (response, events) = read(&mut cluster, follower, Code::ConfigReadRefused);
    assert!(matches!(response, Some(OperatorResponse::Refused { .. })));
    assert_eq!(
        events[0].detail,
        "no recent contact with a leader or a quorum"
    );
    assert_eq!(fact(&events[0], "waited_ms").as_deref(), Some("0"));
}

#[test]
fn an_election_that_ends_without_a_majority_is_logged_with_its_votes() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    let follower = (leader + 1) % 3;
    cluster.partitioned[follower] = true;
    cluster.events.clear();
    cluster.run(6000);
    let failed = cluster
        .events
        .iter()
        .find(|e| e.code == Code::ElectionFailed);
    let failed = failed.expect("an event of the failed pre-vote");
    assert_eq!(fact(failed, "votes").as_deref(), Some("1"));
    assert_eq!(fact(failed, "voters").as_deref(), Some("3"));
}

/// A lost query or response costs a fraction of the time for which operators wait, not all of it.
#[test]
fn a_read_whose_query_is_lost_is_answered_within_its_time() {
    let mut cluster = Cluster::new();
    let leader = publish(&mut cluster);
    let follower = (leader + 1) % 3;
    cluster.run(500);
    cluster.last_ticket += 1;
    let ticket = Ticket(cluster.last_ticket);
    cluster.partitioned[follower] = true;
    cluster.handle_input(follower, Input::ReadPublication { ticket });
    cluster.run(100);
    cluster.partitioned[follower] = false;
    cluster.run(READ_TIME_MS);
    let response = cluster.responses.get(&ticket);
    assert!(
        matches!(response, Some(OperatorResponse::Publication(Some(_)))),
        "{response:?}"
    );
}
