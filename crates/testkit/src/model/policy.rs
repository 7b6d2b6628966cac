//! The comparisons that a policy run makes, and what they measure.

use std::time::Duration;

use eelgrassdyke_core::config::Share;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::Permille;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::{Choice, Demand, Naive, Options, Outcome, Record, World, draw, quantile, tokens_mean};

/// Length of the offered load.
pub const LENGTH: Duration = Duration::from_secs(30);

/// Start of the measured time, after the engines have filled.
pub const FROM: Instant = Instant(8_000_000);

/// Number of small teams beside the big one.
pub const SMALL_TEAMS: usize = 9;

/// Part of the capacity that each small team asks for.
pub const SMALL_PART: f64 = 0.03;

/// The policies compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The real cores.
    Cores,
    /// The real cores with all callers in one team.
    WithoutShares,
    /// A naive balancer.
    Naive(Choice),
}

impl Policy {
    /// The name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cores => "eelgrassdyke",
            Self::WithoutShares => "first in, first out",
            Self::Naive(Choice::RoundRobin) => "round robin",
            Self::Naive(Choice::LeastRequests) => "least requests",
        }
    }
}

/// Requests a second that the engines serve with full batches.
pub fn capacity(options: &Options) -> f64 {
    let engine = &options.engine;
    let slots = engine.slots as u32;
    let step = engine.step + engine.step_per_answer * slots;
    let batch = f64::from(slots) / (tokens_mean() * step.as_secs_f64());
    batch * options.servers as f64
}

/// A share without a cap.
pub fn share(guaranteed: u64, weight: u32) -> Share {
    Share {
        guaranteed: Permille(guaranteed),
        weight,
        cap: Permille::ONE,
    }
}

/// One big team and nine small ones that together ask for `load` times the capacity.
pub fn demands(capacity: f64, load: f64) -> Vec<Demand> {
    let small = SMALL_TEAMS as f64 * SMALL_PART;
    let mut demands = vec![Demand {
        share: share(300, 1),
        rate: capacity * (load - small).max(0.0),
    }];
    for _ in 0..SMALL_TEAMS {
        demands.push(Demand {
            share: share(50, 1),
            rate: capacity * SMALL_PART,
        });
    }
    demands
}

/// Runs the load of `demands` under a policy.
pub fn run(policy: Policy, options: &Options, demands: &[Demand]) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let records = draw(demands, LENGTH, &mut rng);
    match policy {
        Policy::Cores => World::new(options.clone(), demands).run(records),
        Policy::WithoutShares => {
            let options = Options {
                one_team: true,
                ..options.clone()
            };
            World::new(options, demands).run(records)
        }
        Policy::Naive(choice) => {
            Naive::new(choice, options.servers, options.engine, options.timeout).run(records)
        }
    }
}

/// The requests that came in while measured.
pub fn measured(outcome: &Outcome) -> impl Iterator<Item = &Record> {
    outcome.records.iter().filter(|record| record.since >= FROM)
}

/// Whole answers a second, as a part of the capacity.
pub fn goodput(outcome: &Outcome, capacity: f64) -> f64 {
    let whole = outcome.records.iter().filter_map(|record| record.whole);
    let end = Instant(0) + LENGTH;
    let count = whole.filter(|at| (FROM..end).contains(at)).count();
    count as f64 / end.since(FROM).as_secs_f64() / capacity
}

/// Times from arrival to `end`, of all requests or of the small teams'.
pub fn times(
    outcome: &Outcome,
    small: bool,
    end: impl Fn(&Record) -> Option<Instant>,
) -> Vec<Duration> {
    let chosen = measured(outcome).filter(|record| !small || record.team > 0);
    chosen
        .filter_map(|record| Some(end(record)?.since(record.since)))
        .collect()
}

/// The small teams' p95 of first token and whole answer, in seconds.
pub fn small_p95(outcome: &Outcome) -> (f64, f64) {
    let first = quantile(&mut times(outcome, true, |r| r.first), 0.95);
    let whole = quantile(&mut times(outcome, true, |r| r.whole), 0.95);
    (first, whole)
}

/// Part of the small teams' requests that were answered whole.
pub fn small_delivered(outcome: &Outcome) -> f64 {
    let small: Vec<&Record> = measured(outcome).filter(|r| r.team > 0).collect();
    let whole = small.iter().filter(|r| r.whole.is_some()).count();
    whole as f64 / small.len().max(1) as f64
}

/// Small teams' p95 of first token and whole answer: alone, and beside a big team that asks for
/// three times the capacity.
pub fn isolation(options: &Options) -> [(f64, f64); 2] {
    let capacity = capacity(options);
    let mut alone = demands(capacity, 3.0);
    alone[0].rate = 0.0;
    let alone = run(Policy::Cores, options, &alone);
    let beside = run(Policy::Cores, options, &demands(capacity, 3.0));
    [small_p95(&alone), small_p95(&beside)]
}

/// Parts of the tokens that four teams were declared and received, each asking for all of it.
pub fn shares(options: &Options) -> Vec<(f64, f64)> {
    let capacity = capacity(options);
    let declared = [share(200, 1), share(0, 2), share(100, 3), share(0, 4)];
    let mut demands = Vec::new();
    for share in &declared {
        demands.push(Demand {
            share: share.clone(),
            rate: capacity,
        });
    }
    let outcome = run(Policy::Cores, options, &demands);
    let mut tokens = vec![0_u64; declared.len()];
    let end = Instant(0) + LENGTH;
    for record in &outcome.records {
        if record.whole.is_some_and(|at| (FROM..end).contains(&at)) {
            tokens[record.team] += record.tokens;
        }
    }
    let all = tokens.iter().sum::<u64>().max(1) as f64;
    let guaranteed: f64 = declared.iter().map(|s| s.guaranteed.fraction()).sum();
    let weights: f64 = declared.iter().map(|s| f64::from(s.weight)).sum();
    let mut parts = Vec::new();
    for (share, tokens) in declared.iter().zip(&tokens) {
        let rest = (1.0 - guaranteed) * f64::from(share.weight) / weights;
        parts.push((share.guaranteed.fraction() + rest, *tokens as f64 / all));
    }
    parts
}

/// Dispatches over first tries while engines break off three of ten calls, as a part of them.
pub fn brownout(options: &Options, budget: Permille) -> f64 {
    let options = Options {
        failing: Permille(300),
        retry_budget: budget,
        ..options.clone()
    };
    let outcome = run(Policy::Cores, &options, &demands(capacity(&options), 0.7));
    outcome.attempts as f64 / outcome.records.len() as f64 - 1.0
}

/// What a third of the servers dying at once did.
#[derive(Clone, Copy, Debug)]
pub struct Recovery {
    /// Requests offered.
    pub requests: usize,
    /// Requests without a whole answer.
    pub lost: usize,
    /// Time until the last request came in that waited longer than [`FIRST_TOKEN_TARGET`].
    pub slow_for: Duration,
}

/// Time to the first token beyond which a request counts as slow.
pub const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(630);

/// Kills a third of the servers under a load that the rest can serve.
pub fn recovery(options: &Options) -> Recovery {
    let when = Instant(15_000_000);
    let options = Options {
        kill: Some((options.servers / 3, when)),
        ..options.clone()
    };
    let outcome = run(Policy::Cores, &options, &demands(capacity(&options), 0.5));
    let mut lost = 0;
    let mut last = when;
    for record in &outcome.records {
        lost += usize::from(record.whole.is_none());
        let first = record.first.map(|at| at.since(record.since));
        if record.since >= when && first.is_none_or(|first| first > FIRST_TOKEN_TARGET) {
            last = last.max(record.since);
        }
    }
    Recovery {
        requests: outcome.records.len(),
        lost,
        slow_for: last.since(when),
    }
}
