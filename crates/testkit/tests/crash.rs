//! Requests whose contents end servers, in simulation.

use std::collections::BTreeSet;
use std::time::Duration;

use eelgrassdyke_core::config::RetryPolicy;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_testkit::model::crash::{Fault, Harm, Options, Outcome, Simulation, other_faults};
use test_case::test_case;

/// The platform's `contact_ms`.
const CONTACT_TIME: Duration = Duration::from_secs(3);

fn shape(entries: usize, servers: usize, group_size: usize, slots: u32, rate: f64) -> Options {
    Options {
        entries,
        servers,
        group_size,
        slots,
        rate,
        ..Options::default()
    }
}

fn at(seconds: u64) -> Instant {
    Instant(0) + Duration::from_secs(seconds)
}

fn check_harm_is_contained(outcome: &Outcome) {
    let arrivals = outcome.harmful_arrivals_after(5, CONTACT_TIME);
    let ends = outcome.harmful_ends.len();
    assert!(ends > 0, "no server ended");
    assert!(
        arrivals <= 3,
        "{arrivals} requests with the part reached servers after five had ended; {ends} ended at {:?}, \
         arrivals at {:?}",
        outcome.harmful_ends,
        outcome.harmful_arrivals
    );
    let last_end = outcome.harmful_ends[ends.min(5) - 1];
    let usual = outcome.begun_fraction(at(2), at(12));
    let meanwhile = outcome.begun_fraction(last_end + 2 * CONTACT_TIME, at(60));
    assert!(
        meanwhile >= 0.5 * usual,
        "{meanwhile} of the sound requests began at their first attempt, {usual} before"
    );
}

#[test_case(shape(4, 12, 12, 12, 40.0); "one group")]
#[test_case(shape(4, 12, 1, 12, 40.0); "servers without a group")]
#[test_case(shape(14, 72, 24, 10, 120.0); "three groups")]
#[test_case(shape(53, 129, 129, 6, 150.0); "a large group")]
fn part_that_ends_servers_is_kept_from_further_servers(options: Options) {
    check_harm_is_contained(&Simulation::new(options).run());
}

#[test_case(shape(4, 12, 12, 12, 40.0); "one group")]
#[test_case(shape(4, 12, 1, 12, 40.0); "servers without a group")]
#[test_case(shape(14, 72, 24, 10, 120.0); "three groups")]
fn servers_that_end_for_other_causes_quarantine_no_part(options: Options) {
    let options = Options {
        harmful_period: None,
        faults: other_faults(&options),
        ..options
    };
    let outcome = Simulation::new(options).run();
    assert_eq!(outcome.quarantined_sound_parts(), BTreeSet::new());
}

#[test_case(shape(4, 12, 12, 12, 40.0); "one group")]
#[test_case(shape(4, 12, 1, 12, 40.0); "servers without a group")]
#[test_case(shape(14, 72, 24, 10, 120.0); "three groups")]
fn part_that_ends_servers_is_found_among_servers_that_end_for_other_causes(options: Options) {
    let options = Options {
        faults: other_faults(&options),
        ..options
    };
    let outcome = Simulation::new(options).run();
    let arrivals = outcome.harmful_arrivals_after(5, CONTACT_TIME);
    let ends = outcome.harmful_ends.len();
    assert!(
        arrivals <= 3,
        "{arrivals} arrivals after five ends, {ends} ends"
    );
    assert_eq!(outcome.quarantined_sound_parts(), BTreeSet::new());
}

#[test]
fn quarantine_survives_restarts_of_entries_and_control_and_cuts_between_them() {
    let mut faults = Vec::new();
    for second in 0..12_usize {
        let at = Duration::from_millis(13_000 + 4_000 * second as u64);
        faults.push((at, Fault::RestartEntry(second % 4)));
        faults.push((at, Fault::RestartControl(second % 3)));
    }
    faults.push((
        Duration::from_secs(14),
        Fault::CutControl(Duration::from_secs(6)),
    ));
    let options = Options {
        faults,
        ..Options::default()
    };
    check_harm_is_contained(&Simulation::new(options).run());
}

#[test_case(shape(4, 12, 12, 12, 40.0); "one group")]
#[test_case(shape(4, 12, 1, 12, 40.0); "servers without a group")]
fn first_part_of_harmful_requests_is_served_after_all_evidence_is_lost(options: Options) {
    let options = Options {
        faults: vec![(Duration::from_secs(20), Fault::RestartAll)],
        ..options
    };
    check_harm_is_contained(&Simulation::new(options).run());
}

/// Options in which one request that names no prompt parts ends each server that runs it, and comes again.
fn harmful_request(servers: usize, slots: u32, rate: f64, retry_policy: RetryPolicy) -> Options {
    Options {
        harm: Harm::Request,
        harmful_fraction: 0.3,
        retry_policy,
        ..shape(4, servers, 1, slots, rate)
    }
}

#[test_case(harmful_request(3, 6, 4.0, RetryPolicy::Resumable); "three servers")]
#[test_case(harmful_request(3, 6, 4.0, RetryPolicy::Never); "three servers and a request that may not be repeated")]
#[test_case(harmful_request(12, 12, 20.0, RetryPolicy::Idempotent); "twelve servers")]
fn request_that_ends_servers_is_sent_at_most_three_times_after_the_third_end(options: Options) {
    for seed in 1..=5 {
        let outcome = Simulation::new(Options {
            seed,
            ..options.clone()
        })
        .run();
        let arrivals = outcome.harmful_arrivals_after(3, CONTACT_TIME);
        let ends = outcome.harmful_ends.len();
        assert!(ends > 0, "seed {seed}: no server ended");
        assert!(
            arrivals <= 3,
            "seed {seed}: {arrivals} sends later than contact_ms after the third of {ends} ends, at {:?}",
            outcome.harmful_arrivals
        );
        let usual = outcome.begun_fraction(at(2), at(12));
        let meanwhile = outcome.begun_fraction(at(24), at(60));
        assert!(
            meanwhile >= 0.9 * usual,
            "seed {seed}: {meanwhile} of the sound requests began at their first attempt, {usual} before"
        );
    }
}

#[test_case(harmful_request(3, 6, 4.0, RetryPolicy::Resumable); "three servers")]
#[test_case(harmful_request(12, 12, 20.0, RetryPolicy::Never); "twelve servers")]
fn servers_that_end_for_other_causes_quarantine_no_request(options: Options) {
    for seed in 1..=5 {
        let options = Options {
            harmful_period: None,
            seed,
            ..options.clone()
        };
        let faults = other_faults(&options);
        let outcome = Simulation::new(Options { faults, ..options }).run();
        let quarantined = outcome.quarantined_sound_parts();
        assert!(quarantined.is_empty(), "seed {seed}: {quarantined:?}");
    }
}
