//! The key table runs a claimed key at most once in one incarnation of the agent.

use eelgrassdyke_agent::{Admission, KeyTable};
use eelgrassdyke_core::wire::claim::{ClaimOutcome, KeyStatus, TeamKey};
use test_case::test_case;

fn team_key() -> TeamKey {
    TeamKey {
        team: "hobart".parse().unwrap(),
        key: "order-1".parse().unwrap(),
    }
}

#[test]
fn a_key_is_admitted_once() {
    let mut keys = KeyTable::new(10);
    assert_eq!(keys.admit(&team_key(), 1), Admission::Granted);
    assert_eq!(keys.admit(&team_key(), 1), Admission::Duplicate);
    assert_eq!(keys.probe(&team_key(), 1), KeyStatus::Running);
    keys.finish(&team_key(), ClaimOutcome::ResponseLost);
    assert_eq!(keys.admit(&team_key(), 2), Admission::Duplicate);
    assert_eq!(
        keys.probe(&team_key(), 1),
        KeyStatus::Done(ClaimOutcome::ResponseLost)
    );
}

#[test]
fn a_probe_seals_a_key_whose_dispatch_has_not_arrived() {
    let mut keys = KeyTable::new(10);
    assert_eq!(keys.probe(&team_key(), 1), KeyStatus::Sealed);
    assert_eq!(keys.admit(&team_key(), 1), Admission::Sealed);
    assert_eq!(keys.admit(&team_key(), 2), Admission::Granted);
}

#[test]
fn a_released_key_runs_only_under_a_later_claim() {
    let mut keys = KeyTable::new(10);
    assert_eq!(keys.admit(&team_key(), 1), Admission::Granted);
    keys.release(&team_key(), 1);
    assert_eq!(keys.admit(&team_key(), 1), Admission::Sealed);
    assert_eq!(keys.admit(&team_key(), 2), Admission::Granted);
}

#[test_case("order-"; "without a date")]
#[test_case("00000000-0001-7000-8000-00000000000"; "of one date")]
fn an_evicted_key_is_never_reported_as_not_run(prefix: &str) {
    let mut keys = KeyTable::new(2);
    let team_key = |number: u32| TeamKey {
        team: "hobart".parse().unwrap(),
        key: format!("{prefix}{number}").parse().unwrap(),
    };
    for number in 0..4 {
        assert_eq!(keys.admit(&team_key(number), 1), Admission::Granted);
        keys.finish(&team_key(number), ClaimOutcome::ResponseLost);
        if number < 2 {
            assert_eq!(keys.probe(&team_key(9), 1), KeyStatus::Sealed);
            continue;
        }
        assert_eq!(keys.probe(&team_key(0), 1), KeyStatus::Unknown);
        assert_eq!(keys.probe(&team_key(8), 1), KeyStatus::Unknown);
        break;
    }
    assert_eq!(keys.admit(&team_key(9), 1), Admission::Sealed);
}

#[test]
fn sealed_keys_are_never_evicted_and_their_number_is_bounded() {
    let mut keys = KeyTable::new(2);
    let team_key = |number: u32| TeamKey {
        team: "hobart".parse().unwrap(),
        key: format!("order-{number}").parse().unwrap(),
    };
    assert_eq!(keys.probe(&team_key(0), 1), KeyStatus::Sealed);
    assert_eq!(keys.probe(&team_key(1), 1), KeyStatus::Sealed);
    assert_eq!(keys.probe(&team_key(2), 1), KeyStatus::Unknown);
    for number in 10..20 {
        keys.admit(&team_key(number), 1);
        keys.release(&team_key(number), 1);
    }
    assert_eq!(keys.admit(&team_key(0), 1), Admission::Sealed);
    assert_eq!(keys.admit(&team_key(1), 1), Admission::Sealed);
}
