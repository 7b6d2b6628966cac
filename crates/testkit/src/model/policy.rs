//! The experiments that compare load-balancing policies, and their metrics.

use std::time::Duration;

use eelgrassdyke_core::config::Share;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::Permille;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::{
    Demand, NaiveBalancer, Options, RequestRecord, ServerChoice, Simulation, SimulationOutcome,
    generate_requests, mean_response_tokens, quantile_s,
};

/// Duration of the offered load.
pub const LOAD_DURATION: Duration = Duration::from_secs(30);

/// Start of the measurement, after the batches of the engines have filled.
pub const MEASURED_FROM: Instant = Instant(8_000_000);

/// Number of small teams; there is one big team.
pub const SMALL_TEAMS: usize = 9;

/// Demand of each small team, as a fraction of the capacity.
pub const SMALL_TEAM_LOAD: f64 = 0.03;

/// The policies compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The real entries and agents.
    Eelgrassdyke,
    /// The real entries and agents, with all callers in one team.
    WithoutShares,
    /// A naive balancer.
    Naive(ServerChoice),
}

impl Policy {
    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Eelgrassdyke => "eelgrassdyke",
            Self::WithoutShares => "first in, first out",
            Self::Naive(ServerChoice::RoundRobin) => "round robin",
            Self::Naive(ServerChoice::LeastRequests) => "least requests",
        }
    }
}

/// Requests per second that the engines complete with full batches.
pub fn capacity(options: &Options) -> f64 {
    let engine = &options.engine;
    let slots = engine.slots as u32;
    let step = engine.step_base + engine.step_per_sequence * slots;
    let per_server = f64::from(slots) / (mean_response_tokens() * step.as_secs_f64());
    per_server * options.servers as f64
}

/// A share without a cap; the guarantee is in thousandths.
pub fn uncapped_share(guaranteed: u64, weight: u32) -> Share {
    Share {
        guaranteed: Permille(guaranteed),
        weight,
        cap: Permille::ONE,
    }
}

/// Demands of one big team and [`SMALL_TEAMS`] small ones, in total `load` times the capacity.
pub fn demands(capacity: f64, load: f64) -> Vec<Demand> {
    let small_teams_load = SMALL_TEAMS as f64 * SMALL_TEAM_LOAD;
    let mut demands = vec![Demand {
        share: uncapped_share(300, 1),
        rate: capacity * (load - small_teams_load).max(0.0),
    }];
    for _ in 0..SMALL_TEAMS {
        demands.push(Demand {
            share: uncapped_share(50, 1),
            rate: capacity * SMALL_TEAM_LOAD,
        });
    }
    demands
}

/// Simulates the load of `demands` under a policy.
pub fn simulate(policy: Policy, options: &Options, demands: &[Demand]) -> SimulationOutcome {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let records = generate_requests(demands, LOAD_DURATION, &mut rng);
    match policy {
        Policy::Eelgrassdyke => Simulation::new(options.clone(), demands).run(records),
        Policy::WithoutShares => {
            let options = Options {
                single_team: true,
                ..options.clone()
            };
            Simulation::new(options, demands).run(records)
        }
        Policy::Naive(choice) => {
            NaiveBalancer::new(choice, options.servers, options.engine, options.timeout)
                .run(records)
        }
    }
}

/// The requests that arrived during the measurement.
pub fn measured_requests(outcome: &SimulationOutcome) -> impl Iterator<Item = &RequestRecord> {
    outcome
        .records
        .iter()
        .filter(|record| record.arrived_at >= MEASURED_FROM)
}

/// Completed requests per second, as a fraction of the capacity.
pub fn goodput(outcome: &SimulationOutcome, capacity: f64) -> f64 {
    let completions = outcome
        .records
        .iter()
        .filter_map(|record| record.completed_at);
    let end = Instant(0) + LOAD_DURATION;
    let count = completions
        .filter(|at| (MEASURED_FROM..end).contains(at))
        .count();
    count as f64 / end.since(MEASURED_FROM).as_secs_f64() / capacity
}

/// Times from arrival to `end` of the measured requests, of all teams or only the small ones.
pub fn latencies(
    outcome: &SimulationOutcome,
    small_teams_only: bool,
    end: impl Fn(&RequestRecord) -> Option<Instant>,
) -> Vec<Duration> {
    let records = measured_requests(outcome).filter(|record| !small_teams_only || record.team > 0);
    records
        .filter_map(|record| Some(end(record)?.since(record.arrived_at)))
        .collect()
}

/// 95th percentile of the small teams' time to first token and time to completion, in seconds.
pub fn small_team_p95_s(outcome: &SimulationOutcome) -> (f64, f64) {
    let first_token_s = quantile_s(
        &mut latencies(outcome, true, |record| record.first_token_at),
        0.95,
    );
    let completion_s = quantile_s(
        &mut latencies(outcome, true, |record| record.completed_at),
        0.95,
    );
    (first_token_s, completion_s)
}

/// Fraction of the small teams' requests that were completed.
pub fn small_team_completion_rate(outcome: &SimulationOutcome) -> f64 {
    let records: Vec<&RequestRecord> = measured_requests(outcome)
        .filter(|record| record.team > 0)
        .collect();
    let completed = records
        .iter()
        .filter(|record| record.completed_at.is_some())
        .count();
    completed as f64 / records.len().max(1) as f64
}

/// [`small_team_p95_s`] without the big team, and with a total demand of three times the capacity.
pub fn measure_isolation(options: &Options) -> [(f64, f64); 2] {
    let capacity = capacity(options);
    let mut alone = demands(capacity, 3.0);
    alone[0].rate = 0.0;
    let alone = simulate(Policy::Eelgrassdyke, options, &alone);
    let beside = simulate(Policy::Eelgrassdyke, options, &demands(capacity, 3.0));
    [small_team_p95_s(&alone), small_team_p95_s(&beside)]
}

/// Declared and received fractions of the tokens of four teams, each with a demand equal to the
/// capacity.
pub fn measure_shares(options: &Options) -> Vec<(f64, f64)> {
    let capacity = capacity(options);
    let declared = [
        uncapped_share(200, 1),
        uncapped_share(0, 2),
        uncapped_share(100, 3),
        uncapped_share(0, 4),
    ];
    let mut demands = Vec::new();
    for share in &declared {
        demands.push(Demand {
            share: share.clone(),
            rate: capacity,
        });
    }
    let outcome = simulate(Policy::Eelgrassdyke, options, &demands);
    let mut tokens = vec![0_u64; declared.len()];
    let end = Instant(0) + LOAD_DURATION;
    for record in &outcome.records {
        if record
            .completed_at
            .is_some_and(|at| (MEASURED_FROM..end).contains(&at))
        {
            tokens[record.team] += record.response_tokens;
        }
    }
    let total_tokens = tokens.iter().sum::<u64>().max(1) as f64;
    let total_guaranteed: f64 = declared
        .iter()
        .map(|share| share.guaranteed.fraction())
        .sum();
    let total_weight: f64 = declared.iter().map(|share| f64::from(share.weight)).sum();
    let mut fractions = Vec::new();
    for (share, tokens) in declared.iter().zip(&tokens) {
        let weighted = (1.0 - total_guaranteed) * f64::from(share.weight) / total_weight;
        fractions.push((
            share.guaranteed.fraction() + weighted,
            *tokens as f64 / total_tokens,
        ));
    }
    fractions
}

/// Retries as a fraction of first attempts while engines abort three of ten calls.
pub fn measure_retry_rate(options: &Options, retry_budget: Permille) -> f64 {
    let options = Options {
        failure_rate: Permille(300),
        retry_budget,
        ..options.clone()
    };
    let outcome = simulate(
        Policy::Eelgrassdyke,
        &options,
        &demands(capacity(&options), 0.7),
    );
    outcome.attempts as f64 / outcome.records.len() as f64 - 1.0
}

/// Effect of the simultaneous failure of a third of the servers.
#[derive(Clone, Copy, Debug)]
pub struct Recovery {
    /// Requests offered.
    pub requests: usize,
    /// Requests that were not completed.
    pub lost: usize,
    /// Time from the failure to the last arrival of a request whose first token took longer than
    /// [`FIRST_TOKEN_TARGET`] or never came.
    pub slow_for: Duration,
}

/// Time to the first token beyond which a request counts as slow.
pub const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(630);

/// Kills a third of the servers under a load that the others can serve.
pub fn measure_recovery(options: &Options) -> Recovery {
    let killed_at = Instant(15_000_000);
    let options = Options {
        kill_servers: Some((options.servers / 3, killed_at)),
        ..options.clone()
    };
    let outcome = simulate(
        Policy::Eelgrassdyke,
        &options,
        &demands(capacity(&options), 0.5),
    );
    let mut lost = 0;
    let mut last_slow = killed_at;
    for record in &outcome.records {
        lost += usize::from(record.completed_at.is_none());
        let first_token = record.first_token_at.map(|at| at.since(record.arrived_at));
        if record.arrived_at >= killed_at
            && first_token.is_none_or(|time| time > FIRST_TOKEN_TARGET)
        {
            last_slow = last_slow.max(record.arrived_at);
        }
    }
    Recovery {
        requests: outcome.records.len(),
        lost,
        slow_for: last_slow.since(killed_at),
    }
}
