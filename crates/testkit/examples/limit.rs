//! Surveys, over many seeds, whether servers that name limits get more requests than these allow.
//!
//! `cargo run --release -p eelgrassdyke-testkit --example limit -- --seeds 50`

use std::time::Duration;

use clap::Parser;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::MilliRequestRate;
use eelgrassdyke_testkit::model::crash::{Options, Simulation, other_faults};
use eelgrassdyke_testkit::model::limit::LimitPeriod;

/// The platform's `contact_ms`.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Options of the survey.
#[derive(Debug, Parser)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// Whether entries use equal parts of the slots, rounded up, instead of exact shares.
    #[arg(long)]
    equal_slots: bool,
}

fn at(seconds: u64) -> Instant {
    Instant(0) + Duration::from_secs(seconds)
}

fn main() {
    let arguments = Arguments::parse();
    for (name, entries, servers, slots, rate, limit) in [
        ("12 servers that take 2.2 a second", 4, 12, 12, 56.0, 2200),
        ("12 servers that take 0.5 a second", 4, 12, 12, 56.0, 500),
        ("72 servers that take 2 a second", 14, 72, 10, 250.0, 2000),
    ] {
        for has_faults in [false, true] {
            let mut violating_seeds = Vec::new();
            let mut used = 0.0;
            for seed in arguments.first..arguments.first + arguments.seeds {
                let period = |server| LimitPeriod {
                    server,
                    limit: MilliRequestRate(limit),
                    from: at(10),
                    until: at(60),
                };
                let mut options = Options {
                    entries,
                    servers,
                    group_size: 1,
                    slots,
                    rate,
                    harmful_period: None,
                    limits: (0..servers).map(period).collect(),
                    entry_weights: (0..entries)
                        .map(|entry| 0.8_f64.powi(entry as i32))
                        .collect(),
                    exact_slots: !arguments.equal_slots,
                    seed,
                    ..Options::default()
                };
                if has_faults {
                    options.faults = other_faults(&options);
                }
                let limits = options.limits.clone();
                let outcome = Simulation::new(options).run();
                if !outcome
                    .limit_violations(&limits, CONTACT_TIME, false)
                    .is_empty()
                {
                    violating_seeds.push(seed);
                }
                let arrivals =
                    (0..servers).map(|server| outcome.arrivals_at(server, at(16), at(60)));
                let allowed = 44.0 * servers as f64 * MilliRequestRate(limit).per_second();
                used += arrivals.sum::<usize>() as f64 / allowed;
            }
            println!(
                "{name}, other faults {has_faults}: more than allowed in seeds {violating_seeds:?}, {:.3} of the \
                 limits used",
                used / arguments.seeds as f64
            );
        }
    }
}
