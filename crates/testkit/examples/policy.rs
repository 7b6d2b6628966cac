//! Compares the request path's load-balancing policy with naive balancers, in simulation.
//!
//! `cargo run --release -p eelgrassdyke-testkit --example policy`

use std::time::Duration;

use eelgrassdyke_core::unit::Permille;
use eelgrassdyke_testkit::model::policy::{
    Policy, SMALL_TEAMS, capacity, demands, goodput, latencies, measure_isolation,
    measure_recovery, measure_retry_rate, measure_shares, simulate, small_team_completion_rate,
    small_team_p95_s,
};
use eelgrassdyke_testkit::model::{Options, ServerChoice, quantile_s};

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
        Policy::Eelgrassdyke,
        Policy::WithoutShares,
        Policy::Naive(ServerChoice::RoundRobin),
        Policy::Naive(ServerChoice::LeastRequests),
    ];
    for policy in policies {
        for load in [0.7, 1.0, 1.5, 3.0] {
            let outcome = simulate(policy, options, &demands(capacity, load));
            let mut first_token = latencies(&outcome, false, |record| record.first_token_at);
            let mut completion = latencies(&outcome, false, |record| record.completed_at);
            let format_quantiles = |latencies: &mut Vec<Duration>| {
                let [p50, p95, p99] =
                    [0.5, 0.95, 0.99].map(|quantile| quantile_s(latencies, quantile));
                format!("{p50:.2}/{p95:.2}/{p99:.2}")
            };
            let (first_token_p95_s, completion_p95_s) = small_team_p95_s(&outcome);
            println!(
                "{:<20} {:>4.1} {:>8.3} {:>20} {:>20} {:>18} {:>6.3} {:>6.3}",
                policy.name(),
                load,
                goodput(&outcome, capacity),
                format_quantiles(&mut first_token),
                format_quantiles(&mut completion),
                format!("{first_token_p95_s:.2}/{completion_p95_s:.2}"),
                small_team_completion_rate(&outcome),
                outcome.cached_tokens as f64 / outcome.prompt_tokens.max(1) as f64,
            );
        }
    }
}

fn main() {
    let options = Options::default();
    compare(&options);
    let [alone, beside] = measure_isolation(&options);
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
    for (team, (declared, received)) in measure_shares(&options).into_iter().enumerate() {
        println!(
            "team {team}: declared {:.1}%, received {:.1}% of the tokens",
            declared * 100.0,
            received * 100.0
        );
    }
    for budget in [100, 1000] {
        let retry_rate = measure_retry_rate(&options, Permille(budget));
        println!(
            "brown-out, budget {}%: {:.1}% retries per first attempt",
            budget / 10,
            retry_rate * 100.0
        );
    }
    println!(
        "a third of the servers die: {:?}",
        measure_recovery(&options)
    );
}
