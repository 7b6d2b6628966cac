//! A claimed key runs at most once in one agent life.

use eelgrassdyke_agent::{Admission, Keys};
use eelgrassdyke_core::wire::claim::{Name, Outcome, Status};

fn name() -> Name {
    Name {
        team: "hobart".parse().unwrap(),
        key: "order-1".parse().unwrap(),
    }
}

#[test]
fn a_key_is_admitted_once() {
    let mut keys = Keys::new(10);
    assert_eq!(keys.admit(&name(), 1), Admission::Granted);
    assert_eq!(keys.admit(&name(), 1), Admission::Taken);
    assert_eq!(keys.probe(&name(), 1), Status::Running);
    keys.finish(&name(), Outcome::Lost);
    assert_eq!(keys.admit(&name(), 2), Admission::Taken);
    assert_eq!(keys.probe(&name(), 1), Status::Done(Outcome::Lost));
}

#[test]
fn a_key_that_never_arrived_is_sealed_against_its_late_dispatch() {
    let mut keys = Keys::new(10);
    assert_eq!(keys.probe(&name(), 1), Status::Sealed);
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
