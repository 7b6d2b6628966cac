//! The targets of the request path's policy, on the model.

use eelgrassdyke_core::unit::Permille;
use eelgrassdyke_testkit::model::Options;
use eelgrassdyke_testkit::model::policy::{
    Policy, brownout, capacity, demands, goodput, isolation, recovery, run, shares,
};

#[test]
fn goodput_holds_at_three_times_the_capacity() {
    let options = Options::default();
    let capacity = capacity(&options);
    let at = |load| {
        let outcome = run(Policy::Cores, &options, &demands(capacity, load));
        goodput(&outcome, capacity)
    };
    let (full, over) = (at(1.0), at(3.0));
    assert!(over >= 0.95 * full, "{over} against {full}");
}

#[test]
fn a_big_team_does_not_slow_small_ones_whole_answers() {
    let [alone, beside] = isolation(&Options::default());
    assert!(beside.1 <= 1.25 * alone.1, "{beside:?} against {alone:?}");
}

#[test]
fn teams_receive_what_was_declared() {
    for (declared, received) in shares(&Options::default()) {
        let gap = (declared - received).abs();
        assert!(gap <= 0.03, "declared {declared}, received {received}");
    }
}

#[test]
fn retries_in_a_brown_out_stay_within_their_budget() {
    let excess = brownout(&Options::default(), Permille(100));
    assert!(excess <= 0.1, "{excess} over first tries");
}

#[test]
fn no_request_is_lost_when_a_third_of_the_servers_die() {
    let recovery = recovery(&Options::default());
    assert_eq!(recovery.lost, 0, "{recovery:?}");
}
