//! Measures the policy of the request path against naive balancers, in one run.
//!
//! `cargo run --release -p eelgrassdyke-testkit --example policy`

use std::time::Duration;

use eelgrassdyke_core::unit::Permille;
use eelgrassdyke_testkit::model::policy::{
    Policy, SMALL_TEAMS, brownout, capacity, demands, goodput, isolation, recovery, run, shares,
    small_delivered, small_p95, times,
};
use eelgrassdyke_testkit::model::{Choice, Options, quantile};

fn compare(options: &Options) {
    let capacity = capacity(options);
    println!("capacity {capacity:.1} requests/s; one big team, {SMALL_TEAMS} small ones");
    println!(
        "{:<20} {:>4} {:>8} {:>20} {:>20} {:>18} {:>6} {:>6}",
        "policy",
        "load",
        "goodput",
        "first p50/95/99 s",
        "whole p50/95/99 s",
        "small p95 f/w s",
        "small",
        "hits"
    );
    let policies = [
        Policy::Cores,
        Policy::WithoutShares,
        Policy::Naive(Choice::RoundRobin),
        Policy::Naive(Choice::LeastRequests),
    ];
    for policy in policies {
        for load in [0.7, 1.0, 1.5, 3.0] {
            let outcome = run(policy, options, &demands(capacity, load));
            let mut first = times(&outcome, false, |r| r.first);
            let mut whole = times(&outcome, false, |r| r.whole);
            let three = |times: &mut Vec<Duration>| {
                let [a, b, c] = [0.5, 0.95, 0.99].map(|part| quantile(times, part));
                format!("{a:.2}/{b:.2}/{c:.2}")
            };
            let (small_first, small_whole) = small_p95(&outcome);
            println!(
                "{:<20} {:>4.1} {:>8.3} {:>20} {:>20} {:>18} {:>6.3} {:>6.3}",
                policy.name(),
                load,
                goodput(&outcome, capacity),
                three(&mut first),
                three(&mut whole),
                format!("{small_first:.2}/{small_whole:.2}"),
                small_delivered(&outcome),
                outcome.cached_tokens as f64 / outcome.prompt_tokens.max(1) as f64,
            );
        }
    }
}

fn main() {
    let options = Options::default();
    compare(&options);
    let [alone, beside] = isolation(&options);
    println!(
        "\nsmall teams' p95 alone and beside a big team at 3.0: first token {:.3} and {:.3} s \
         ({:.2}), whole {:.3} and {:.3} s ({:.2})",
        alone.0,
        beside.0,
        beside.0 / alone.0,
        alone.1,
        beside.1,
        beside.1 / alone.1
    );
    for (team, (declared, received)) in shares(&options).into_iter().enumerate() {
        println!(
            "team {team}: declared {:.1}%, received {:.1}% of the tokens",
            declared * 100.0,
            received * 100.0
        );
    }
    for budget in [100, 1000] {
        let excess = brownout(&options, Permille(budget));
        println!(
            "brown-out, budget {}%: {:.1}% dispatches over first tries",
            budget / 10,
            excess * 100.0
        );
    }
    println!("a third of the servers die: {:?}", recovery(&options));
}
