//! An open-loop load tool.
//!
//! Requests are sent at random times that don't depend on earlier responses, and latency counts from
//! the time at which a request was due. A stall therefore shows in every request that was due during
//! it, not only in the requests in flight (no coordinated omission).

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdyke_node::http::pool::Pool;
use hdrhistogram::Histogram;
use http::Method;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::caller::{CallOutcome, CallerRequest, Timing, send_pooled};

pub mod page;

/// Highest latency that the histograms record, in microseconds.
const LATENCY_MAX_US: u64 = 600_000_000;

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// An idempotent GET of a plain service.
    Stock,
    /// A POST of a plain service with an idempotency key of its own.
    Charge,
    /// A streamed completion with this many tokens.
    Draft(u64),
}

/// Options of a load run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses that requests are sent to, round robin.
    pub addresses: Vec<SocketAddr>,
    /// Prefix of the path of requests to plain services, such as `/orders`.
    pub path_prefix: String,
    /// Requests per second.
    pub rate: f64,
    /// Duration over which requests become due.
    pub duration: Duration,
    /// Kinds of requests, weighted.
    pub mix: Vec<(RequestKind, u32)>,
    /// Teams, weighted.
    pub teams: Vec<(String, u32)>,
    /// Seed of arrival times, kinds and teams.
    pub seed: u64,
    /// Prefix of idempotency keys, so that two loads never share a key.
    pub key_prefix: String,
}

/// Result of a load run.
#[derive(Clone, Debug)]
pub struct LoadOutcome {
    /// Requests sent.
    pub sent: u64,
    /// Complete responses with a status below 400.
    pub completed: u64,
    /// Refusals, and responses with a status of 400 or above.
    pub refused: u64,
    /// Requests whose connection failed.
    pub failed: u64,
    /// Time to the first chunk of the body, in microseconds.
    pub first_chunk: Histogram<u64>,
    /// Time to the complete response, in microseconds.
    pub total: Histogram<u64>,
    /// Mean time between chunks of a response, in microseconds.
    pub between_chunks: Histogram<u64>,
    /// Time from the start of the load to the last response.
    pub elapsed: Duration,
}

impl Default for LoadOutcome {
    fn default() -> Self {
        let empty = || {
            Histogram::new_with_max(LATENCY_MAX_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are constant and valid")
        };
        Self {
            sent: 0,
            completed: 0,
            refused: 0,
            failed: 0,
            first_chunk: empty(),
            total: empty(),
            between_chunks: empty(),
            elapsed: Duration::ZERO,
        }
    }
}

impl LoadOutcome {
    fn record(&mut self, outcome: &CallOutcome, timing: &Timing) {
        match outcome {
            CallOutcome::Response { status, .. } if *status < 400 => self.completed += 1,
            CallOutcome::Response { .. } | CallOutcome::Refusal { .. } => {
                self.refused += 1;
                return;
            }
            CallOutcome::ConnectionFailed(_) => {
                self.failed += 1;
                return;
            }
        }
        self.first_chunk
            .saturating_record(timing.first_chunk.as_micros() as u64);
        self.total
            .saturating_record(timing.total.as_micros() as u64);
        if timing.chunks > 1 {
            let gaps = u32::try_from(timing.chunks - 1).unwrap_or(u32::MAX);
            record_duration(
                &mut self.between_chunks,
                timing.total.saturating_sub(timing.first_chunk) / gaps,
            );
        }
    }

    /// Complete responses per second.
    pub fn goodput(&self) -> f64 {
        self.completed as f64 / self.elapsed.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

fn record_duration(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record(duration.as_micros() as u64);
}

/// Sends a load and waits until the last request has ended.
pub async fn run(options: &Options) -> LoadOutcome {
    let outcome = Rc::new(RefCell::new(LoadOutcome::default()));
    let in_flight = Rc::new(std::cell::Cell::new(0_u64));
    let pool = Rc::new(Pool::default());
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let started = Instant::now();
    let mut due = Duration::ZERO;
    let mut number = 0_u64;
    loop {
        // Exponential gaps: arrivals form a Poisson process.
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / options.rate);
        if due >= options.duration {
            break;
        }
        number += 1;
        let request = build_request(options, number, &mut rng);
        let wait = due.saturating_sub(started.elapsed());
        if !wait.is_zero() {
            monoio::time::sleep(wait).await;
        }
        let (outcome, in_flight, pool) = (outcome.clone(), in_flight.clone(), pool.clone());
        in_flight.set(in_flight.get() + 1);
        outcome.borrow_mut().sent += 1;
        let due_at = started + due;
        monoio::spawn(async move {
            let (result, timing) = send_pooled(&pool, &request, due_at).await;
            outcome.borrow_mut().record(&result, &timing);
            in_flight.set(in_flight.get() - 1);
        });
    }
    while in_flight.get() > 0 {
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut outcome = outcome.borrow().clone();
    outcome.elapsed = started.elapsed();
    outcome
}

fn build_request(options: &Options, number: u64, rng: &mut ChaCha8Rng) -> CallerRequest {
    let kind = choose_weighted(&options.mix, rng)
        .copied()
        .unwrap_or(RequestKind::Stock);
    let team = choose_weighted(&options.teams, rng)
        .cloned()
        .unwrap_or_default();
    let index = number as usize % options.addresses.len().max(1);
    let (method, path, idempotency_key, body) = match kind {
        RequestKind::Stock => (
            Method::GET,
            format!("{}/stock", options.path_prefix),
            None,
            String::new(),
        ),
        RequestKind::Charge => {
            let key = format!("{}-{number}", options.key_prefix);
            (
                Method::POST,
                format!("{}/charges", options.path_prefix),
                Some(key),
                "{}".to_owned(),
            )
        }
        RequestKind::Draft(tokens) => {
            let body = serde_json::json!({
                "model": "draft", "prompt": format!("summary {}", number % 64),
                "stream": true, "max_tokens": tokens,
            });
            (
                Method::POST,
                "/v1/completions".to_owned(),
                None,
                body.to_string(),
            )
        }
    };
    CallerRequest {
        address: options.addresses[index],
        method,
        path,
        token: format!("{team}-token"),
        idempotency_key,
        timeout_s: None,
        body,
    }
}

/// Chooses an item at random, in proportion to its weight.
fn choose_weighted<'a, T>(items: &'a [(T, u32)], rng: &mut ChaCha8Rng) -> Option<&'a T> {
    let total_weight: u32 = items.iter().map(|(_, weight)| weight).sum();
    if total_weight == 0 {
        return None;
    }
    let mut remaining = rng.random_range(0..total_weight);
    for (item, weight) in items {
        if remaining < *weight {
            return Some(item);
        }
        remaining -= weight;
    }
    None
}
