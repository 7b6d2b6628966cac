//! The configuration: conflicts, resends, limits, validation, and followers compared with full copies.

use std::collections::BTreeMap;
use std::sync::Arc;

use eelgrassdyke_control::state::config::Config;
use eelgrassdyke_control::state::validate::validate;
use eelgrassdyke_core::config::{
    Change, DigestedDocument, Document, Patch, Submission, TeamSpec, Verdict,
};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::follow::Follower;
use eelgrassdyke_core::id::{Incarnation, Team, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::follow::{ConfigUpdate, Update};
use eelgrassdyke_core::wire::{Sender, decode, encode};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

fn team(token: u64) -> TeamSpec {
    TeamSpec {
        tokens: vec![Sha256::of(&token.to_le_bytes())],
        shares: BTreeMap::new(),
        priority: None,
    }
}

fn sender() -> Sender {
    Sender {
        process: "agent-1".parse().unwrap(),
        incarnation: Incarnation(1),
        address: "127.0.0.1:2".parse().unwrap(),
    }
}

fn team_name(number: u64) -> Team {
    format!("team-{number}").parse().unwrap()
}

fn put_team(number: u64, token: u64) -> Patch {
    Patch {
        teams: BTreeMap::from([(team_name(number), Some(team(token)))]),
        ..Patch::default()
    }
}

fn remove_team(number: u64) -> Patch {
    Patch {
        teams: BTreeMap::from([(team_name(number), None)]),
        ..Patch::default()
    }
}

fn submission(operation: &str, base: u64, change: Change) -> Submission {
    Submission {
        operation: operation.parse().unwrap(),
        base: Version(base),
        change,
        author: "operator".to_owned(),
    }
}

fn patch_submission(operation: &str, base: u64, patch: Patch) -> Submission {
    submission(operation, base, Change::Patch(patch))
}

fn accepted(version: u64) -> Verdict {
    Verdict::Accepted {
        version: Version(version),
    }
}

fn is_conflict(verdict: &Verdict, object: &str) -> bool {
    matches!(verdict, Verdict::Conflict { objects, .. } if objects == &[object.to_owned()])
}

fn document(text: &str) -> Document {
    serde_json::from_str(text).unwrap()
}

#[test]
fn second_change_with_the_same_base_conflicts() {
    let mut config = Config::default();
    assert_eq!(
        config.submit(&patch_submission("a", 0, put_team(1, 1))),
        accepted(1)
    );
    assert!(is_conflict(
        &config.submit(&patch_submission("b", 0, put_team(1, 2))),
        "teams/team-1"
    ));
    // Changes of another object don't conflict; the version is compared for whole documents only.
    assert_eq!(
        config.submit(&patch_submission("c", 0, put_team(2, 2))),
        accepted(2)
    );
    let replace_document =
        |operation, base| submission(operation, base, Change::Replace(Document::default()));
    assert!(is_conflict(
        &config.submit(&replace_document("d", 1)),
        "document"
    ));
    assert_eq!(config.submit(&replace_document("e", 2)), accepted(3));
    assert!(is_conflict(
        &config.submit(&replace_document("f", 2)),
        "document"
    ));
    assert!(is_conflict(
        &config.submit(&patch_submission("g", 9, put_team(1, 1))),
        "document"
    ));
    assert!(is_conflict(
        &config.submit(&patch_submission("h", 2, put_team(1, 1))),
        "teams/team-1"
    ));
}

#[test]
fn resend_gets_the_first_verdict_even_after_a_snapshot() {
    let mut config = Config::default();
    let submissions = [
        patch_submission("a", 0, put_team(1, 1)),
        patch_submission("b", 0, put_team(1, 2)),
        patch_submission("c", 1, put_team(2, 1)),
        patch_submission("d", 1, remove_team(1)),
    ];
    let verdicts: Vec<Verdict> = submissions.iter().map(|s| config.submit(s)).collect();
    assert!(
        matches!(verdicts[2], Verdict::Invalid { .. }),
        "the token is a duplicate"
    );
    let mut config: Config = decode(&encode(&config).unwrap()).unwrap();
    let before = config.clone();
    for (submission, verdict) in submissions.iter().zip(&verdicts) {
        assert_eq!(config.submit(submission), *verdict);
    }
    assert_eq!(config, before);
    assert_eq!(
        config.submit(&patch_submission("a", 0, put_team(7, 7))),
        Verdict::Reused
    );
}

#[test]
fn refused_change_has_no_effect() {
    let mut config = Config::default();
    config.submit(&patch_submission("a", 0, put_team(1, 1)));
    let (document, digest) = (config.document().clone(), config.digest());
    let mut change = put_team(2, 1);
    change.teams.extend(put_team(3, 3).teams);
    change.teams.extend(remove_team(1).teams);
    change.teams.extend(put_team(4, 3).teams);
    assert!(matches!(
        config.submit(&patch_submission("b", 1, change)),
        Verdict::Invalid { .. }
    ));
    assert_eq!((config.document(), config.digest()), (&document, digest));
    assert_eq!(config.version(), Version(1));
}

#[test]
fn resend_whose_verdict_was_evicted_is_not_applied_again() {
    let mut config = Config::default();
    config.submit(&patch_submission("a", 0, put_team(1, 1)));

    // Invalid now, since the token is in use, and valid once team 1 is removed.
    let evicted = patch_submission("lost", 1, put_team(2, 1));
    assert!(matches!(config.submit(&evicted), Verdict::Invalid { .. }));
    for number in 0..20_001 {
        let invalid = patch_submission(&format!("filler-{number}"), 1, put_team(3, 1));
        assert!(matches!(config.submit(&invalid), Verdict::Invalid { .. }));
    }

    // While the version is unchanged, the verdict is the same and other submissions are accepted.
    assert!(matches!(config.submit(&evicted), Verdict::Invalid { .. }));
    assert_eq!(
        config.submit(&patch_submission("free", 1, remove_team(1))),
        accepted(2)
    );
    let evicted = patch_submission("lost-too", 1, put_team(2, 1));
    assert!(is_conflict(&config.submit(&evicted), "document"));
    assert_eq!(
        config.submit(&patch_submission("fresh", 2, put_team(2, 1))),
        accepted(3)
    );
}

#[test]
fn follower_converges_to_the_same_document_and_never_regresses() {
    for seed in 0..30 {
        check_random_history(seed);
    }
}

/// Runs a random history with two replicas, one of which lags, and a follower whose updates are
/// delayed, duplicated or lost.
fn check_random_history(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut leader = Config::default();
    let mut lagging = Config::default();
    // The document of each version.
    let mut documents = vec![Document::default()];
    let mut follower = Follower::new(&sender(), vec!["127.0.0.1:1".parse().unwrap()], false);
    let from = "control".parse().unwrap();
    let mut in_flight: Vec<Update> = Vec::new();
    let mut last = Version(0);
    for round in 0..rng.random_range(50..1500) {
        let number = rng.random_range(0..10);
        let change = match rng.random_bool(0.2) {
            true => remove_team(number),
            false => put_team(number, round),
        };
        let base = leader.version().0;
        leader.submit(&patch_submission(&format!("op-{round}"), base, change));
        documents.push(leader.document().clone());
        if rng.random_bool(0.1) {
            lagging = leader.clone();
        }
        if rng.random_bool(0.7) {
            continue;
        }
        let now = Instant(round * 10_000_000);
        let Some((_, poll)) = follower.next_poll(now) else {
            continue;
        };
        let replica = if rng.random_bool(0.5) {
            &leader
        } else {
            &lagging
        };
        let update = Update {
            committed_version: replica.version(),
            confirmed: true,
            poll_number: poll.poll_number,
            config: replica.update_since(poll.version, &poll.digest),
            directory: None,
            control_addresses: Vec::new(),
            has_quorum: true,
            leader: None,
            slow_engines: Vec::new(),
            entry_count: 1,
            shares: Vec::new(),
            coordinators: Default::default(),
        };
        in_flight.push(update);
        for _ in 0..rng.random_range(0..3) {
            let at = rng.random_range(0..in_flight.len());
            let mut update = in_flight[at].clone();
            if rng.random_bool(0.05) {
                corrupt(&mut update);
            }
            follower.apply(now, &from, update);
            assert!(follower.version() >= last, "seed {seed}");
            last = follower.version();
            assert_eq!(
                follower.document(),
                &documents[last.0 as usize],
                "seed {seed}"
            );
        }
    }

    // Finally, updates from the leader bring the follower up to date.
    for round in 0..2 {
        let now = Instant(1 << 60) + std::time::Duration::from_secs(10 * round);
        let (_, poll) = follower.next_poll(now).unwrap();
        let update = Update {
            committed_version: leader.version(),
            confirmed: true,
            poll_number: poll.poll_number,
            config: leader.update_since(poll.version, &poll.digest),
            directory: None,
            control_addresses: Vec::new(),
            has_quorum: true,
            leader: None,
            slow_engines: Vec::new(),
            entry_count: 1,
            shares: Vec::new(),
            coordinators: Default::default(),
        };
        follower.apply(now, &from, update);
    }
    assert_eq!(follower.version(), leader.version());
    let recomputed = DigestedDocument::from(Arc::new(leader.document().clone()));
    assert_eq!(leader.digest(), recomputed.digest());
}

/// Replaces the first delta of an update, so that the digest no longer matches.
fn corrupt(update: &mut Update) {
    let Some(ConfigUpdate::Deltas { deltas, .. }) = &mut update.config else {
        return;
    };
    if let Some(first) = deltas.first_mut() {
        first.patch = put_team(99, 99);
    }
}

const VALID: &str = r#"{
    "teams": {"a": {"tokens": [], "shares": {"draft": {"guaranteed": 600}}}},
    "services": {"draft": {"kind": "drafting"}, "orders": {"kind": "plain"}},
    "groups": {"g": {"service": "draft", "ranks": {"0": "s-0", "1": "s-1"}, "experts": 4,
        "layers": 2, "slots": 2, "expert_bytes": 10, "store_rate": 5, "skew_weight": 1,
        "move_weight": 1}}
}"#;

#[test_case(r#""guaranteed": 600"#, r#""guaranteed": 1001"#, &["teams.a.shares.draft", "services.draft"])]
#[test_case(r#""guaranteed": 600"#, r#""weight": 0"#, &["teams.a.shares.draft"])]
#[test_case(r#""shares": {"draft""#, r#""shares": {"none""#, &["teams.a.shares.none"])]
#[test_case(r#""kind": "plain""#, r#""kind": "plain", "timeout_ms": 0"#, &["services.orders.timeout_ms"])]
#[test_case(r#""kind": "plain""#, r#""kind": "plain", "body_max": 99999999"#, &["services.orders.body_max"])]
#[test_case(r#""kind": "plain""#, r#""kind": "plain", "retry_budget": 1001"#, &["services.orders.retry_budget"])]
#[test_case(r#""kind": "plain""#, r#""kind": "plain", "routes": [{"path": "x", "idempotent": true}]"#, &["services.orders.routes.0.path"])]
#[test_case(r#""orders": {"kind""#, r#""or/ders": {"kind""#, &["services.or/ders"])]
#[test_case(r#""service": "draft""#, r#""service": "orders""#, &["groups.g.service"])]
#[test_case(r#""1": "s-1""#, r#""2": "s-1""#, &["groups.g.ranks"])]
#[test_case(r#""1": "s-1""#, r#""1": "s-0""#, &["groups.g.ranks.1"])]
#[test_case(r#""slots": 2"#, r#""slots": 1"#, &["groups.g.slots"])]
#[test_case(r#""layers": 2"#, r#""layers": 0"#, &["groups.g.layers"])]
#[test_case(r#""skew_weight": 1"#, r#""skew_weight": 0, "frozen": true"#, &[])]
fn every_fault_is_listed_with_its_path(valid: &str, faulty: &str, paths: &[&str]) {
    assert_eq!(validate(&document(VALID)), Vec::new());
    assert!(VALID.contains(valid));
    let faults = validate(&document(&VALID.replace(valid, faulty)));
    let found: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    assert_eq!(found, paths);
    assert!(faults.iter().all(|fault| !fault.remedy.is_empty()));
}

#[test]
fn duplicate_token_is_a_fault_and_all_faults_are_listed() {
    let token = Sha256::of(b"t");
    let text = VALID.replace(
        "\"tokens\": []",
        &format!("\"tokens\": [\"{token}\", \"{token}\"]"),
    );
    let text = text.replace(r#""slots": 2"#, r#""slots": 1"#);
    let mut faulty = document(&text);
    let copy = faulty.teams.values().next().unwrap().clone();
    faulty.teams.insert("b".parse().unwrap(), copy);
    let faults = validate(&faulty);
    let paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    let tokens = ["teams.a.tokens.1", "teams.b.tokens.0", "teams.b.tokens.1"];
    assert_eq!(paths[..3], tokens);
    assert_eq!(paths[3..], ["services.draft", "groups.g.slots"]);
}
