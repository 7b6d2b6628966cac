//! Decoding of untrusted bytes: malformed input is refused and never causes a panic.

use eelgrassdyke_core::config::Submission;
use eelgrassdyke_core::id::Incarnation;
use eelgrassdyke_core::jsonc;
use eelgrassdyke_core::time::HybridTimestamp;
use eelgrassdyke_core::wire::claim::{Probe, TeamKey};
use eelgrassdyke_core::wire::dispatch::{Dispatch, Frame};
use eelgrassdyke_core::wire::follow::PollRequest;
use eelgrassdyke_core::wire::{self, Batch, Message, Sender, Timestamped};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner() -> TestRunner {
    let config = Config {
        cases: 3000,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]))
}

/// Decodes the bytes as each type that a peer can send.
fn decode_all(bytes: &[u8]) {
    let _ = wire::decode::<Batch>(bytes);
    let _ = Batch::decode_known(bytes);
    let _ = wire::decode::<Timestamped<Dispatch>>(bytes);
    let _ = wire::decode::<Timestamped<Vec<Frame>>>(bytes);
}

fn batch() -> Batch {
    let team_key = TeamKey {
        team: "hobart".parse().unwrap(),
        key: "order-1".parse().unwrap(),
    };
    let probe = Probe {
        request: "entry-1/2/3".parse().unwrap(),
        team_key,
        incarnation: Incarnation(4),
        claim: 5,
    };
    let poll = PollRequest {
        version: Default::default(),
        digest: eelgrassdyke_core::digest::Sha256::of(b""),
        directory_revision: None,
        wants_directory: true,
        wants_config: true,
        wants_confirmation: true,
        poll_number: 1,
        demands: Vec::new(),
    };
    Batch {
        from: Sender {
            process: "entry-1".parse().unwrap(),
            incarnation: Incarnation(2),
            address: "127.0.0.1:1".parse().unwrap(),
        },
        stamp: HybridTimestamp::default(),
        messages: vec![Message::Probe(probe), Message::Poll(poll)],
    }
}

#[test]
fn batch_round_trips() {
    let batch = batch();
    let bytes = wire::encode(&batch).unwrap();
    assert_eq!(wire::decode::<Batch>(&bytes).unwrap(), batch);
}

#[test]
fn arbitrary_messages_never_panic() {
    let bytes = proptest::collection::vec(any::<u8>(), 0..512);
    let outcome = runner().run(&bytes, |bytes| {
        decode_all(&bytes);
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn mutated_messages_never_panic() {
    let valid = wire::encode(&batch()).unwrap();
    let edit = (0..valid.len(), any::<u8>());
    let cut = 0..=valid.len();
    let edits = (proptest::collection::vec(edit, 1..6), cut);
    let outcome = runner().run(&edits, |(edits, cut)| {
        let mut bytes = valid.clone();
        for (index, byte) in edits {
            bytes[index] = byte;
        }
        decode_all(&bytes);
        decode_all(&bytes[..cut]);
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn deep_nesting_is_refused() {
    // Nested MessagePack lists of one item, and JSON lists and objects, far deeper than any message.
    decode_all(&[0x91; 200_000]);
    assert!(jsonc::parse(&"[".repeat(200_000)).is_err());
    assert!(jsonc::parse(&"{\"a\":".repeat(200_000)).is_err());
}

#[test]
fn mutated_submissions_never_panic() {
    let valid = r#"{ "operation": "op-1", "base": 4, "author": "me", "change": { "patch": {
        "teams": { "hobart": { "tokens": [], "shares": { "draft": { "weight": 2 } } } },
        "services": { "draft": null } } } }"#;
    let edit = (0..valid.len(), 0..6usize, "[ -~]{0,3}");
    let edits = proptest::collection::vec(edit, 1..4);
    let outcome = runner().run(&edits, |edits| {
        let mut bytes = valid.as_bytes().to_vec();
        for (start, removed, inserted) in edits {
            let start = start.min(bytes.len());
            let end = (start + removed).min(bytes.len());
            bytes.splice(start..end, inserted.bytes());
        }
        match jsonc::parse(&String::from_utf8_lossy(&bytes)) {
            Ok(tree) => drop(serde_json::from_value::<Submission>(tree.value)),
            Err(faults) => prop_assert!(!faults.is_empty()),
        }
        Ok(())
    });
    outcome.unwrap();
}

/// A batch of which `extra` names kinds that this build doesn't know, between two known messages.
#[derive(serde::Serialize)]
struct NewerBatch {
    priority: u8,
    from: Sender,
    stamp: HybridTimestamp,
    messages: (Message, NewerMessage, NewerMessage, Message),
}

#[derive(serde::Serialize)]
enum NewerMessage {
    Unit,
    Fields {
        poll: PollRequest,
        addresses: Vec<std::net::SocketAddr>,
    },
}

// An upgrade fails if a newer build's message costs a peer of this build the others of its batch,
// votes and heartbeats among them.
#[test]
fn unknown_kinds_of_messages_are_skipped_and_the_others_kept() {
    let known = batch();
    let [Message::Probe(probe), Message::Poll(poll)] = &known.messages[..] else {
        unreachable!("two messages");
    };
    let newer = NewerBatch {
        priority: 3,
        from: known.from.clone(),
        stamp: known.stamp,
        messages: (
            Message::Probe(probe.clone()),
            NewerMessage::Fields {
                poll: poll.clone(),
                addresses: vec!["[::1]:7".parse().unwrap()],
            },
            NewerMessage::Unit,
            Message::Poll(poll.clone()),
        ),
    };
    let bytes = wire::encode(&newer).unwrap();
    let decoded = Batch::decode_known(&bytes).unwrap();
    assert_eq!(decoded.batch, known);
    assert_eq!(decoded.skipped, 2);
    assert!(decoded.first_error.is_some());
    for end in 0..bytes.len() {
        assert!(Batch::decode_known(&bytes[..end]).is_err(), "{end}");
    }
}

#[test]
fn known_batch_is_decoded_completely() {
    let batch = batch();
    let decoded = Batch::decode_known(&wire::encode(&batch).unwrap()).unwrap();
    assert_eq!(decoded.batch, batch);
    assert_eq!(decoded.skipped, 0);
}
