//! Cold servers in simulation: the bound on their requests, what becomes of the requests that are held
//! back, and the return of servers that turn warm.

use std::collections::BTreeSet;
use std::time::Duration;

use eelgrassdyke_entry::direct::ColdBound;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

use world::{ColdPeriod, Outcome, Shape, World, at};

mod world;

/// Time after which an entry that has lost contact no longer takes a server for warm.
const CONTACT_TIME: Duration = Duration::from_secs(2);

/// Number of runs over which requests are averaged.
const SEEDS: u64 = 10;

/// Checks a shape with several seeds: the bound at each cold server from `reaction` on.
fn check_bound(shape: &Shape, reaction: Duration) {
    for seed in 1..=3 {
        let shape = Shape {
            seed,
            ..shape.clone()
        };
        let outcome = World::new(shape.clone()).run();
        let most = outcome.most_while_cold(&shape, reaction);
        assert!(
            most as f64 <= shape.allowed(),
            "seed {seed}: {most} requests in a second at a cold server, {} allowed",
            shape.allowed()
        );
        assert!(most > 0, "seed {seed}: cold servers got nothing");
    }
}

/// Without a limit the entries together send a cold server its part of the load, and of a burst three
/// times as much.
#[test_case(1)]
#[test_case(4)]
#[test_case(12)]
#[test_case(20)]
fn bursts_do_not_exceed_the_bound_of_cold_servers(entries: usize) {
    let mut shape = Shape::new(entries).cold(0..2, 4000, 24_000);
    shape.bursts = vec![(at(8000), at(11_000)), (at(15_000), at(16_000))];
    check_bound(&shape, Duration::ZERO);
    // A bound without overage or slack lowers the rate.
    shape.bound = ColdBound::default();
    check_bound(&shape, Duration::ZERO);
}

/// An entry that restarts knows neither what its earlier incarnation has sent nor a full count of entries.
#[test_case(1)]
#[test_case(4)]
#[test_case(12)]
#[test_case(20)]
fn restarts_in_turn_do_not_exceed_the_bound(entries: usize) {
    let mut shape = Shape::new(entries).cold(0..6, 4000, 24_000);
    shape.bursts = vec![(at(8000), at(20_000))];
    let restarts = 0..40;
    shape.restarts = restarts
        .map(|i| (at(5000 + 450 * i), i as usize % entries))
        .collect();
    check_bound(&shape, Duration::ZERO);
}

/// Entries without contact learn of no server that becomes cold, control no longer counts them, and the
/// others would take their parts.
#[test_case(4, 2)]
#[test_case(12, 6)]
#[test_case(12, 11)]
#[test_case(20, 10)]
fn entries_without_contact_keep_the_bound(entries: usize, cut_off: usize) {
    let mut shape = Shape::new(entries)
        .cold(0..2, 5000, 24_000)
        .cold(3..6, 12_000, 22_000);
    shape.cuts = (0..cut_off).map(|e| (e, at(6000), at(23_000))).collect();
    shape.bursts = vec![(at(9000), at(20_000))];
    check_bound(&shape, CONTACT_TIME);
}

/// Servers become cold again at any moment, one after the other and all at once.
#[test_case(1)]
#[test_case(4)]
#[test_case(12)]
#[test_case(20)]
fn servers_that_become_cold_at_any_moment_keep_the_bound(entries: usize) {
    let mut shape = Shape::new(entries).cold(0..6, 21_300, 26_000);
    let mut rng = ChaCha8Rng::seed_from_u64(entries as u64);
    for server in 0..6 {
        let mut from = rng.random_range(2000..5000);
        while from < 17_000 {
            let until = from + rng.random_range(1500..4000);
            shape = shape.cold(server..server + 1, from, until);
            from = until + rng.random_range(300..3000);
        }
    }
    shape.bursts = vec![(at(7000), at(10_000)), (at(22_000), at(24_000))];
    check_bound(&shape, Duration::ZERO);
}

/// Retries and resumed streams are sent by other code than first attempts.
#[test_case(1)]
#[test_case(12)]
fn retries_and_resumptions_count(entries: usize) {
    let mut shape = Shape::new(entries).cold(0..6, 4000, 24_000);
    shape.broken_fraction = 0.3;
    shape.bound = ColdBound::default();
    shape.bursts = vec![(at(8000), at(12_000))];
    let outcome = World::new(shape.clone()).run();
    let retries = outcome.arrivals.iter().flatten();
    assert!(retries.filter(|(_, is_first)| !is_first).count() > 100);
    check_bound(&shape, Duration::ZERO);
}

/// With more entries than the bound allows requests, not every entry may save one up.
#[test]
fn bound_below_the_number_of_entries_holds() {
    let mut shape = Shape::new(20).cold(0..6, 4000, 24_000);
    shape.cold_rate = Some(8.0);
    shape.bursts = vec![(at(8000), at(12_000))];
    assert!(shape.allowed() < 20.0);
    check_bound(&shape, Duration::ZERO);
}

/// A service whose servers are all cold must use what they tolerate; what is beyond is sent within the
/// time that a request may wait, or refused as not run, with a time to return.
#[test_case(1)]
#[test_case(4)]
#[test_case(12)]
#[test_case(20)]
fn load_that_is_held_back_is_served_or_refused_in_time(entries: usize) {
    let mut shape = Shape::new(entries).cold(0..6, 4000, 28_000);
    shape.bursts = vec![(at(8000), at(11_000))];
    let outcome = World::new(shape.clone()).run();
    let longest = outcome.decided_after.iter().max().copied().unwrap();
    assert!(
        longest <= shape.latency_target,
        "{longest:?} until a decision"
    );
    assert_eq!(outcome.unclear_refusals, 0);
    assert!(outcome.refused > 0);
    let served = (0..6).map(|server| {
        let times = outcome.arrivals[server].iter().map(|(time, _)| *time);
        times.filter(|t| *t >= at(8000) && *t < at(28_000)).count()
    });
    let rate = served.sum::<usize>() as f64 / 6.0 / 20.0;
    // With 20 entries the rate is not lowered: 34 + 20 is less than 56.
    assert!(
        rate >= 0.8 * 34.0,
        "{rate} requests a second at each server"
    );
}

/// Entries without contact still send their parts, although control counts them no longer and reports one
/// entry only, which has enough requests to use the whole rate.
#[test]
fn entry_that_remains_alone_leaves_the_others_their_parts() {
    let mut shape = Shape::new(12).cold(0..2, 5000, 24_000);
    shape.cuts = (0..11).map(|e| (e, at(6000), at(23_000))).collect();
    shape.busy_entry = Some((11, 0.4));
    shape.bursts = vec![(at(9000), at(20_000))];
    check_bound(&shape, CONTACT_TIME);
}

/// A server that turns warm has far fewer requests than the others, and every entry would send it all new
/// ones until it has as many. With requests of two seconds that is twice the usual rate for a second.
#[test_case(1)]
#[test_case(4)]
#[test_case(12)]
fn server_that_turns_warm_gets_no_burst(entries: usize) {
    let mut shape = Shape::new(entries).cold(0..1, 4000, 16_000);
    shape.slots = 40;
    shape.usual_rate = 16.0;
    shape.service_time_ms = 1500..2500;
    shape.latency_target = Duration::from_secs(3);
    shape.cold_rate = Some(4.0);
    shape.bound.slack = 12;
    let (mut first, mut later) = (0, 0);
    for seed in 1..=SEEDS {
        shape.seed = seed;
        let outcome = World::new(shape.clone()).run();
        first += outcome.most_in_a_second(0, at(16_000), at(17_000));
        later += outcome.most_in_a_second(0, at(22_000), at(23_000));
    }
    let usual = shape.usual_rate * SEEDS as f64;
    assert!(
        first as f64 <= 1.5 * usual,
        "{first} requests, {usual} usual"
    );
    assert!(
        later as f64 >= 0.8 * usual,
        "{later} requests, {usual} usual"
    );
}

/// Where the configuration names no cold rate, cold servers are served as before.
#[test]
fn without_a_cold_rate_nothing_is_limited() {
    let mut shape = Shape::new(4).cold(0..6, 4000, 14_000);
    shape.cuts = vec![(0, at(6000), at(12_000))];
    shape.length = Duration::from_secs(15);
    let as_without = |cold_rate, periods: Vec<ColdPeriod>| {
        let mut shape = shape.clone();
        shape.cold_rate = cold_rate;
        // The updates at the start and the end of the periods stay.
        shape.cold_periods = periods;
        World::new(shape).run()
    };
    let unlimited = as_without(None, shape.cold_periods.clone());
    let per_server = |outcome: &Outcome| -> BTreeSet<usize> {
        let arrivals = outcome.arrivals.iter();
        arrivals.map(Vec::len).collect()
    };
    let mut never_cold = shape.cold_periods.clone();
    never_cold
        .iter_mut()
        .for_each(|period| period.from = period.until);
    let warm = as_without(None, never_cold);
    assert_eq!(unlimited.refused, 0);
    assert_eq!(warm.refused, 0);
    assert_eq!(per_server(&unlimited), per_server(&warm));
}
