//! Prints what ways of planning expert maps are worth in the simulated group.
//!
//! `cargo run --release -p eelgrassdyke-testkit --example maps`

use std::time::Duration;

use eelgrassdyke_testkit::model::group::{Policy, SLOW_COPIES, Shape, simulate};

const RUN_TIME: Duration = Duration::from_secs(45);

const SEEDS: u64 = 3;

fn main() {
    let fast_copies = Shape {
        layers: 4,
        experts: 72,
        slots: 8,
        copies_per_switch: 3,
        copy_time: Duration::from_millis(35),
        ..SLOW_COPIES
    };
    let many_ranks = Shape {
        ranks: 129,
        layers: 1,
        experts: 258,
        slots: 3,
        copies_per_switch: 2,
        copy_time: Duration::from_millis(3),
        exponent: 0.5,
        requests: 700,
        ..SLOW_COPIES
    };
    println!(
        "mean step time relative to evenly loaded ranks; switches; turns answered within 1.3 of the best map"
    );
    for (name, shape) in [
        ("slow copies", SLOW_COPIES),
        ("fast copies", fast_copies),
        ("many ranks", many_ranks),
    ] {
        for policy in [Policy::Initial, Policy::FixedThreshold, Policy::ByCopyTime] {
            let (mut time, mut switches, mut answered, mut turns) = (0.0, 0, 0, 0);
            for seed in 0..SEEDS {
                let outcome = simulate(shape, policy, seed, RUN_TIME);
                time += outcome.mean_step_time / SEEDS as f64;
                switches += outcome.switches;
                answered += outcome.recoveries.iter().flatten().count();
                turns += outcome.recoveries.len();
            }
            println!("{name:12} {policy:?}: {time:.3}; {switches}; {answered} of {turns}");
        }
    }
}
