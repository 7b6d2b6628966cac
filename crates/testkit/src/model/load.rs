//! The offered load of a simulation, and the outcome of each request.

use std::time::Duration;

use eelgrassdyke_core::config::Share;
use eelgrassdyke_core::time::Instant;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

/// Number of sessions of one team.
const SESSIONS_PER_TEAM: u64 = 40;

/// Range of the number of tokens of a response.
const RESPONSE_TOKENS: std::ops::RangeInclusive<u64> = 40..=160;

/// Demand of one team.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Its configured share.
    pub share: Share,
    /// Mean requests per second; arrivals form a Poisson process.
    pub rate: f64,
}

/// One request and its outcome.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Index of the team.
    pub team: usize,
    /// Time of arrival.
    pub arrived_at: Instant,
    /// The session; its prompts share a prefix.
    pub session: u64,
    /// Tokens of its complete response.
    pub response_tokens: u64,
    /// The request's `max_tokens`.
    pub max_tokens: u64,
    /// Time of its first token.
    pub first_token_at: Option<Instant>,
    /// Time at which its response was complete.
    pub completed_at: Option<Instant>,
    /// Time at which it was refused, failed or timed out.
    pub failed_at: Option<Instant>,
}

/// Generates the requests of all teams over `duration`, in order of arrival.
pub fn generate_requests(
    demands: &[Demand],
    duration: Duration,
    rng: &mut ChaCha8Rng,
) -> Vec<RequestRecord> {
    let mut records = Vec::new();
    for (team, demand) in demands.iter().enumerate() {
        let mut arrival_s = 0.0;
        loop {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            arrival_s -= uniform.ln() / demand.rate.max(f64::EPSILON);
            if arrival_s >= duration.as_secs_f64() {
                break;
            }
            let response_tokens = rng.random_range(RESPONSE_TOKENS);
            records.push(RequestRecord {
                team,
                arrived_at: Instant(0) + Duration::from_secs_f64(arrival_s),
                session: team as u64 * SESSIONS_PER_TEAM + rng.random_range(0..SESSIONS_PER_TEAM),
                response_tokens,
                max_tokens: response_tokens + rng.random_range(0..=response_tokens),
                first_token_at: None,
                completed_at: None,
                failed_at: None,
            });
        }
    }
    records.sort_by_key(|record| record.arrived_at);
    records
}

/// Mean number of tokens of a response.
pub fn mean_response_tokens() -> f64 {
    (RESPONSE_TOKENS.start() + RESPONSE_TOKENS.end()) as f64 / 2.0
}
