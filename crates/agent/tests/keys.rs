//! A claimed key runs at most once in one agent life.

use eelgrassdyke_agent::{Admission, Keys};
use eelgrassdyke_core::wire::claim::{ClaimOutcome, KeyStatus, TeamKey};
use test_case::test_case;

fn name() -> TeamKey {
    TeamKey {
        team: "hobart".parse().unwrap(),
        key: "order-1".parse().unwrap(),
    }
}

#[test]
fn a_key_is_admitted_once() {
    let mut keys = Keys::new(10);
    assert_eq!(keys.admit(&name(), 1), Admission::Granted);
    assert_eq!(keys.admit(&name(), 1), Admission::Taken);
    assert_eq!(keys.probe(&name(), 1), KeyStatus::Running);
    keys.finish(&name(), ClaimOutcome::ResponseLost);
    assert_eq!(keys.admit(&name(), 2), Admission::Taken);
    assert_eq!(
        keys.probe(&name(), 1),
        KeyStatus::Done(ClaimOutcome::ResponseLost)
    );
}

#[test]
fn a_key_that_never_arrived_is_sealed_against_its_late_dispatch() {
    let mut keys = Keys::new(10);
    assert_eq!(keys.probe(&name(), 1), KeyStatus::Sealed);
    assert_eq!(keys.admit(&name(), 1), Admission::Sealed);
    assert_eq!(keys.admit(&name(), 2), Admission::Granted);
}

#[test]
fn a_released_key_may_run_under_a_later_claim_only() {
    let mut keys = Keys::new(10);
    assert_eq!(keys.admit(&name(), 1), Admission::Granted);
    keys.release(&name(), 1);
    assert_eq!(keys.admit(&name(), 1), Admission::Sealed);
    assert_eq!(keys.admit(&name(), 2), Admission::Granted);
}

#[test_case("order-"; "without a date")]
#[test_case("00000000-0001-7000-8000-00000000000"; "of one date")]
fn a_forgotten_key_is_never_said_not_to_have_run(prefix: &str) {
    let mut keys = Keys::new(2);
    let name = |number: u32| TeamKey {
        team: "hobart".parse().unwrap(),
        key: format!("{prefix}{number}").parse().unwrap(),
    };
    for number in 0..4 {
        assert_eq!(keys.admit(&name(number), 1), Admission::Granted);
        keys.finish(&name(number), ClaimOutcome::ResponseLost);
        if number < 2 {
            assert_eq!(keys.probe(&name(9), 1), KeyStatus::Sealed);
            continue;
        }
        assert_eq!(keys.probe(&name(0), 1), KeyStatus::WrongIncarnation);
        assert_eq!(keys.probe(&name(8), 1), KeyStatus::WrongIncarnation);
        break;
    }
    assert_eq!(keys.admit(&name(9), 1), Admission::Sealed);
}

#[test]
fn a_seal_is_never_forgotten_and_none_is_promised_beyond_the_bound() {
    let mut keys = Keys::new(2);
    let name = |number: u32| TeamKey {
        team: "hobart".parse().unwrap(),
        key: format!("order-{number}").parse().unwrap(),
    };
    assert_eq!(keys.probe(&name(0), 1), KeyStatus::Sealed);
    assert_eq!(keys.probe(&name(1), 1), KeyStatus::Sealed);
    assert_eq!(keys.probe(&name(2), 1), KeyStatus::WrongIncarnation);
    for number in 10..20 {
        keys.admit(&name(number), 1);
        keys.release(&name(number), 1);
    }
    assert_eq!(keys.admit(&name(0), 1), Admission::Sealed);
    assert_eq!(keys.admit(&name(1), 1), Admission::Sealed);
}
