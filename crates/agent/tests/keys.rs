//! A claimed key runs at most once in one agent life.

use std::time::Duration;

use eelgrassdyke_agent::{Admission, Keys};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::claim::{Name, Outcome, Status};

const NOW: Instant = Instant(0);
const WINDOW: Duration = Duration::from_secs(3600);

fn name() -> Name {
    named(1)
}

fn named(number: u32) -> Name {
    Name {
        team: "hobart".parse().unwrap(),
        key: format!("order-{number}").parse().unwrap(),
    }
}

#[test]
fn a_key_is_admitted_once() {
    let mut keys = Keys::new(10, WINDOW);
    assert_eq!(keys.admit(NOW, &name(), 1), Admission::Granted);
    assert_eq!(keys.admit(NOW, &name(), 1), Admission::Taken);
    assert_eq!(keys.probe(NOW, &name(), 1), Status::Running);
    keys.finish(NOW, &name(), Outcome::Lost);
    assert_eq!(keys.admit(NOW, &name(), 2), Admission::Taken);
    assert_eq!(keys.probe(NOW, &name(), 1), Status::Done(Outcome::Lost));
}

#[test]
fn a_key_that_never_arrived_is_sealed_against_its_late_dispatch() {
    let mut keys = Keys::new(10, WINDOW);
    assert_eq!(keys.probe(NOW, &name(), 1), Status::Sealed);
    assert_eq!(keys.admit(NOW, &name(), 1), Admission::Sealed);
    assert_eq!(keys.admit(NOW, &name(), 2), Admission::Granted);
}

#[test]
fn a_released_key_may_run_under_a_later_claim_only() {
    let mut keys = Keys::new(10, WINDOW);
    assert_eq!(keys.admit(NOW, &name(), 1), Admission::Granted);
    keys.release(NOW, &name(), 1);
    assert_eq!(keys.admit(NOW, &name(), 1), Admission::Sealed);
    assert_eq!(keys.admit(NOW, &name(), 2), Admission::Granted);
}

#[test]
fn a_key_whose_outcome_is_forgotten_neither_runs_again_nor_is_said_not_to_have_run() {
    let mut keys = Keys::new(2, WINDOW);
    for number in 1..=3 {
        assert_eq!(keys.admit(NOW, &named(number), 1), Admission::Granted);
        keys.finish(NOW, &named(number), Outcome::Lost);
    }
    assert_eq!(keys.probe(NOW, &named(1), 1), Status::Gone);
    assert_eq!(keys.admit(NOW, &named(1), 2), Admission::Taken);
    assert!(!keys.seal(NOW, &named(1), 2));
}

#[test]
fn no_key_is_admitted_that_could_not_be_remembered() {
    let mut keys = Keys::new(1, WINDOW);
    for number in 1..=11 {
        assert_eq!(keys.admit(NOW, &named(number), 1), Admission::Granted);
        keys.finish(NOW, &named(number), Outcome::Lost);
    }
    assert_eq!(keys.admit(NOW, &named(12), 1), Admission::Full);
    assert_eq!(keys.probe(NOW, &named(12), 1), Status::Gone);
    assert_eq!(keys.admit(NOW + WINDOW, &named(12), 1), Admission::Granted);
}
