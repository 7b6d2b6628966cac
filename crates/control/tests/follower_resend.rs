//! Guards against a configuration that is sent again while it is still under way, and against one that
//! is not sent again after it was lost.

mod cluster;
mod log_net;

use cluster::{CLIENT, Cluster, poll_request, sender};
use eelgrassdyke_control::{Input, OperatorResponse};
use eelgrassdyke_core::config::{Document, Publication};
use eelgrassdyke_core::id::Incarnation;
use eelgrassdyke_core::wire::Message;
use log_net::address;

fn cluster_with_config() -> Cluster {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    let mut document = Document::default();
    let service = serde_json::from_str(r#"{"kind": "plain"}"#).unwrap();
    document.services.insert("orders".parse().unwrap(), service);
    let response = cluster.request(leader, |ticket| Input::Publish {
        ticket,
        publication: Publication {
            number: 1,
            document: document.clone(),
            source: b"1".to_vec(),
        },
    });
    assert!(
        matches!(response, Some(OperatorResponse::Verdict { .. })),
        "{response:?}"
    );
    cluster.run(1000);
    cluster
}

/// Polls with a follower's incarnation and returns how many of the updates hold the configuration.
fn poll(cluster: &mut Cluster, incarnation: u64) -> usize {
    cluster.received.clear();
    let mut from = sender(CLIENT);
    from.incarnation = Incarnation(incarnation);
    let message = Message::Poll(poll_request());
    cluster.messages.push_back((from, address(0), message));
    cluster.run(300);
    let has_config =
        |message: &&Message| matches!(message, Message::Update(update) if update.config.is_some());
    cluster.received.iter().filter(has_config).count()
}

#[test]
fn configuration_under_way_is_not_sent_again() {
    let mut cluster = cluster_with_config();
    assert_eq!(poll(&mut cluster, 1), 1);
    assert_eq!(poll(&mut cluster, 1), 0);
    assert!(!cluster.received.is_empty(), "the poll is answered");
}

#[test]
fn process_without_a_quorum_sends_no_configuration_to_followers_that_want_confirmation() {
    let mut cluster = cluster_with_config();
    for other in 1..3 {
        cluster.kill(other);
    }
    cluster.run(5000);
    assert_eq!(poll(&mut cluster, 1), 0);
    assert!(!cluster.received.is_empty(), "the poll is answered");
}

#[test]
fn lost_configuration_is_sent_again() {
    let mut cluster = cluster_with_config();
    assert_eq!(poll(&mut cluster, 1), 1);
    cluster.run(2000);
    assert_eq!(poll(&mut cluster, 1), 1);
}

#[test]
fn restarted_follower_gets_the_configuration_at_once() {
    let mut cluster = cluster_with_config();
    assert_eq!(poll(&mut cluster, 1), 1);
    assert_eq!(poll(&mut cluster, 2), 1);
}
