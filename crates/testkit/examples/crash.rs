//! Surveys, over many seeds, what entries do about prompt parts and requests that servers end on.
//!
//! `cargo run --release -p eelgrassdyke-testkit --example crash -- --seeds 50`

use std::time::Duration;

use clap::Parser;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_testkit::model::crash::{Harm, Options, Outcome, Simulation, other_faults};

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
    /// Prints the events about crashes and quarantines.
    #[arg(long)]
    events: bool,
}

/// Results of the simulations of one shape and kind.
#[derive(Debug, Default)]
struct Totals {
    most_ends: usize,
    seeds_over_the_bound: Vec<u64>,
    seeds_with_sound_quarantined: Vec<u64>,
    begun: f64,
}

fn main() {
    let arguments = Arguments::parse();
    let shape = |entries, servers, group_size, slots, rate| Options {
        entries,
        servers,
        group_size,
        slots,
        rate,
        ..Options::default()
    };
    let harmful_request = |servers, slots, rate| Options {
        harm: Harm::Request,
        harmful_fraction: 0.3,
        ..shape(4, servers, 1, slots, rate)
    };
    for (name, shape) in [
        ("request at 3 servers", harmful_request(3, 6, 4.0)),
        ("request at 12 servers", harmful_request(12, 12, 20.0)),
        ("one group of 12", shape(4, 12, 12, 12, 40.0)),
        ("12 servers without a group", shape(4, 12, 1, 12, 40.0)),
        ("three groups of 24", shape(14, 72, 24, 10, 120.0)),
    ] {
        for (kind, has_part, has_other_faults) in [
            ("harmful content", true, false),
            ("other causes", false, true),
            ("both", true, true),
        ] {
            let ends_max = match shape.harm {
                Harm::Part => 5,
                Harm::Request => 3,
            };
            let mut totals = Totals::default();
            for seed in arguments.first..arguments.first + arguments.seeds {
                let mut options = Options {
                    seed,
                    ..shape.clone()
                };
                if has_other_faults {
                    options.faults = other_faults(&options);
                }
                if !has_part {
                    options.harmful_period = None;
                }
                let outcome = Simulation::new(options).run();
                if arguments.events {
                    print_events(&outcome);
                }
                totals.add(seed, &outcome, ends_max);
            }
            println!(
                "{name}, {kind}: at most {} ends, more than 3 arrivals after {ends_max} in seeds {:?}, \
                 sound content quarantined in seeds {:?}, {:.3} of the sound ones began at once",
                totals.most_ends,
                totals.seeds_over_the_bound,
                totals.seeds_with_sound_quarantined,
                totals.begun / arguments.seeds as f64,
            );
        }
    }
}

impl Totals {
    fn add(&mut self, seed: u64, outcome: &Outcome, ends_max: usize) {
        self.most_ends = self.most_ends.max(outcome.harmful_ends.len());
        if outcome.harmful_arrivals_after(ends_max, CONTACT_TIME) > 3 {
            self.seeds_over_the_bound.push(seed);
        }
        if !outcome.quarantined_sound_parts().is_empty() {
            self.seeds_with_sound_quarantined.push(seed);
        }
        let second = |seconds| Instant(0) + Duration::from_secs(seconds);
        self.begun += outcome.begun_fraction(second(2), second(60));
    }
}

fn print_events(outcome: &Outcome) {
    for (at, entry, event) in &outcome.crash_events {
        let since_start = at.since(Instant(0));
        println!(
            "{since_start:?} entry-{entry} {} {event:?}",
            event.code.as_str()
        );
    }
}
