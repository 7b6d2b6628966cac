//! Servers that name the rate of requests that they take, in simulation.

use std::time::Duration;

use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::MilliRequestRate;
use eelgrassdyke_testkit::model::crash::{Fault, Options, Simulation};
use eelgrassdyke_testkit::model::limit::LimitPeriod;
use test_case::test_case;

/// The platform's `contact_ms`.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Fraction of what limits allow that is to be used while more is asked for.
const USED_FRACTION_MIN: f64 = 0.9;

fn at(seconds: u64) -> Instant {
    Instant(0) + Duration::from_secs(seconds)
}

fn shape(entries: usize, servers: usize, slots: u32, rate: f64) -> Options {
    Options {
        entries,
        servers,
        group_size: servers,
        slots,
        rate,
        harmful_period: None,
        length: Duration::from_secs(50),
        ..Options::default()
    }
}

/// Options in which the first `count` servers name `limit` from 10 s to 36 s.
fn limited(options: Options, count: usize, limit: u64) -> Options {
    let period = |server| LimitPeriod {
        server,
        limit: MilliRequestRate(limit),
        from: at(10),
        until: at(36),
    };
    Options {
        limits: (0..count).map(period).collect(),
        ..options
    }
}

/// The same with exact shares of the slots.
fn exact(options: Options) -> Options {
    Options {
        exact_slots: true,
        ..options
    }
}

#[test_case(limited(shape(4, 12, 12, 56.0), 1, 2200); "one server")]
#[test_case(limited(shape(4, 12, 12, 56.0), 12, 2200); "all servers")]
#[test_case(limited(shape(4, 12, 12, 56.0), 6, 0); "servers that take nothing")]
#[test_case(limited(shape(14, 72, 10, 250.0), 50, 500); "fewer requests a second than entries")]
#[test_case(limited(shape(53, 129, 6, 310.0), 129, 500); "far fewer requests a second than entries")]
#[test_case(limited(shape(53, 11, 12, 60.0), 11, 30_000); "a limit above the traffic")]
#[test_case(exact(limited(shape(4, 12, 12, 56.0), 12, 2200)); "exact shares of slots")]
#[test_case(exact(limited(shape(14, 72, 10, 250.0), 72, 2000)); "exact shares of slots at many servers")]
fn server_that_names_a_limit_gets_no_more_than_that(options: Options) {
    for seed in 1..=5 {
        let options = Options {
            seed,
            ..options.clone()
        };
        let outcome = Simulation::new(options.clone()).run();
        let violations = outcome.limit_violations(&options.limits, CONTACT_TIME, true);
        assert_eq!(violations.len(), 0, "seed {seed}: {:?}", violations.first());
        let period = options.limits[0];
        let usual = outcome.arrivals_at(period.server, at(4), at(10));
        let after = outcome.arrivals_at(period.server, at(42), at(48));
        assert!(
            after as f64 >= 0.5 * usual as f64,
            "seed {seed}: {after} requests after the limit, {usual} before"
        );
    }
}

#[test]
fn limits_hold_while_entries_restart_and_control_is_cut() {
    for seed in 1..=10 {
        let mut options = limited(shape(4, 12, 12, 56.0), 12, 2200);
        options.seed = seed;
        for step in 0..8 {
            let time = Duration::from_millis(14_000 + 2500 * step);
            options
                .faults
                .push((time, Fault::RestartEntry(step as usize % 4)));
        }
        let cut = Fault::CutControl(Duration::from_secs(5));
        options.faults.push((Duration::from_secs(22), cut));
        options
            .faults
            .push((Duration::from_secs(31), Fault::RestartControl(0)));
        let outcome = Simulation::new(options.clone()).run();
        let violations = outcome.limit_violations(&options.limits, CONTACT_TIME, false);
        assert_eq!(violations.len(), 0, "seed {seed}: {:?}", violations.first());
    }
}

#[test_case(1500, 1.0; "even traffic")]
#[test_case(1500, 0.5; "uneven traffic")]
#[test_case(4000, 0.5; "uneven traffic that is just above the limits")]
fn what_limits_allow_is_used(limit: u64, ratio: f64) {
    for seed in 1..=5 {
        let mut options = limited(shape(4, 12, 12, 56.0), 12, limit);
        options.entry_weights = (0..4).map(|entry| f64::powi(ratio, entry)).collect();
        options.seed = seed;
        let outcome = Simulation::new(options.clone()).run();
        let arrivals: usize = (0..12)
            .map(|server| outcome.arrivals_at(server, at(16), at(36)))
            .sum();
        let allowed = 12.0 * 20.0 * MilliRequestRate(limit).per_second();
        let used = arrivals as f64 / allowed;
        assert!(
            used >= USED_FRACTION_MIN,
            "seed {seed}: {used} of the limits were used"
        );
        assert!(used <= 1.1, "seed {seed}: {used} of the limits were used");
    }
}

/// Each of the few entries with units of a server used only an equal part of its slots, one, so that half
/// of what the limits allow was not used.
#[test]
fn what_limits_allow_is_used_where_there_are_as_many_entries_as_slots() {
    for seed in 1..=3 {
        let mut options = exact(limited(shape(14, 72, 10, 250.0), 72, 2000));
        options.group_size = 1;
        options.entry_weights = (0..14).map(|entry| 0.8_f64.powi(entry)).collect();
        options.seed = seed;
        let outcome = Simulation::new(options).run();
        let arrivals = (0..72).map(|server| outcome.arrivals_at(server, at(16), at(36)));
        let used = arrivals.sum::<usize>() as f64 / (72.0 * 20.0 * 2.0);
        assert!(
            used >= USED_FRACTION_MIN,
            "seed {seed}: {used} of the limits were used"
        );
    }
}
