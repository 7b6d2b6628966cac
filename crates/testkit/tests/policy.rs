//! Targets of the request path's load-balancing policy, checked in simulation.

use eelgrassdyke_core::unit::Permille;
use eelgrassdyke_testkit::model::Options;
use eelgrassdyke_testkit::model::policy::{
    Policy, capacity, demands, goodput, measure_isolation, measure_recovery, measure_retry_rate,
    measure_shares, simulate,
};

#[test]
fn goodput_holds_at_three_times_the_capacity() {
    let options = Options::default();
    let capacity = capacity(&options);
    let goodput_at = |load| {
        let outcome = simulate(Policy::Eelgrassdyke, &options, &demands(capacity, load));
        goodput(&outcome, capacity)
    };
    let (full_load, overload) = (goodput_at(1.0), goodput_at(3.0));
    assert!(
        overload >= 0.95 * full_load,
        "goodput {overload} at a load of 3.0, {full_load} at 1.0"
    );
}

#[test]
fn a_big_team_does_not_delay_responses_of_small_teams() {
    let [alone, beside] = measure_isolation(&Options::default());
    assert!(
        beside.1 <= 1.25 * alone.1,
        "{beside:?} beside the big team, {alone:?} without it"
    );
}

#[test]
fn teams_receive_their_declared_shares() {
    for (declared, received) in measure_shares(&Options::default()) {
        let gap = (declared - received).abs();
        assert!(gap <= 0.03, "declared {declared}, received {received}");
    }
}

#[test]
fn retries_stay_within_the_budget_while_engines_abort_calls() {
    let retry_rate = measure_retry_rate(&Options::default(), Permille(100));
    assert!(retry_rate <= 0.1, "{retry_rate} retries per first attempt");
}

#[test]
fn no_request_is_lost_when_a_third_of_the_servers_die() {
    let recovery = measure_recovery(&Options::default());
    assert_eq!(recovery.lost, 0, "{recovery:?}");
}
