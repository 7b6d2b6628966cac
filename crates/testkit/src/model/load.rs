//! The load that a model run offers, and what came of it.

use std::time::Duration;

use eelgrassdyke_core::config::Share;
use eelgrassdyke_core::time::Instant;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

/// Sessions of one team.
const SESSIONS: u64 = 40;

/// Least and most tokens of an answer.
const TOKENS: std::ops::RangeInclusive<u64> = 40..=160;

/// One team's demand.
#[derive(Clone, Debug)]
pub struct Demand {
    /// What it is entitled to.
    pub share: Share,
    /// Requests a second, at random instants.
    pub rate: f64,
}

/// One request and what came of it.
#[derive(Clone, Debug)]
pub struct Record {
    /// The team, by number.
    pub team: usize,
    /// When it came in.
    pub since: Instant,
    /// Its session.
    pub session: u64,
    /// Tokens of its whole answer.
    pub tokens: u64,
    /// Tokens that the caller allows.
    pub tokens_max: u64,
    /// When its first token came.
    pub first: Option<Instant>,
    /// When its answer was whole.
    pub whole: Option<Instant>,
    /// When it was refused or given up.
    pub refused: Option<Instant>,
}

/// Draws the requests of all teams for `length`, in order of arrival.
pub fn draw(demands: &[Demand], length: Duration, rng: &mut ChaCha8Rng) -> Vec<Record> {
    let mut records = Vec::new();
    for (team, demand) in demands.iter().enumerate() {
        let mut at = 0.0;
        loop {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            at -= uniform.ln() / demand.rate.max(f64::EPSILON);
            if at >= length.as_secs_f64() {
                break;
            }
            let tokens = rng.random_range(TOKENS);
            records.push(Record {
                team,
                since: Instant(0) + Duration::from_secs_f64(at),
                session: team as u64 * SESSIONS + rng.random_range(0..SESSIONS),
                tokens,
                tokens_max: tokens + rng.random_range(0..=tokens),
                first: None,
                whole: None,
                refused: None,
            });
        }
    }
    records.sort_by_key(|record| record.since);
    records
}

/// Mean tokens of an answer.
pub fn tokens_mean() -> f64 {
    (TOKENS.start() + TOKENS.end()) as f64 / 2.0
}
