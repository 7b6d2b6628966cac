//! An open-loop load tool.
//!
//! Requests become due at times drawn beforehand, whether or not earlier ones have been answered, and
//! latency counts from the moment a request was due. A server that stalls thus shows in every request
//! that was due meanwhile, and not only in the ones it held up.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdyke_node::http::pool::Pool;
use hdrhistogram::Histogram;
use http::Method;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::caller::{Ask, Told, ask_pooled};

pub mod page;

/// Longest span that the histograms tell apart, in microseconds.
const SPAN_MAX_US: u64 = 600_000_000;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// What a load asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A plain call that may be repeated.
    Stock,
    /// A charge under a key of its own.
    Charge,
    /// A streamed draft of this many tokens.
    Draft(u64),
}

/// A load.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where requests go, in turn.
    pub doors: Vec<SocketAddr>,
    /// What is put before the path of a plain call, such as `/orders`.
    pub prefix: String,
    /// Requests a second.
    pub rate: f64,
    /// How long requests become due.
    pub length: Duration,
    /// Kinds of requests with their weights.
    pub mix: Vec<(Kind, u32)>,
    /// Teams with their weights.
    pub teams: Vec<(String, u32)>,
    /// Seed of arrivals and kinds.
    pub seed: u64,
    /// Put before each key, so that two loads never share one.
    pub run: String,
}

/// What came of a load.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Refusals.
    pub refused: u64,
    /// Broken connections.
    pub broken: u64,
    /// Time to the first part of the body, in microseconds.
    pub first: Histogram<u64>,
    /// Time to the whole answer, in microseconds.
    pub whole: Histogram<u64>,
    /// Time from the first to the last part, by part, in microseconds.
    pub between: Histogram<u64>,
    /// Time from the first request due to the last answer.
    pub took: Duration,
}

impl Default for Outcome {
    fn default() -> Self {
        let empty = || {
            Histogram::new_with_max(SPAN_MAX_US, DIGITS).expect("the bounds are constant and valid")
        };
        Self {
            sent: 0,
            answered: 0,
            refused: 0,
            broken: 0,
            first: empty(),
            whole: empty(),
            between: empty(),
            took: Duration::ZERO,
        }
    }
}

impl Outcome {
    fn note(&mut self, told: &Told, timing: &crate::caller::Timing) {
        match told {
            Told::Answer { status, .. } if *status < 400 => self.answered += 1,
            Told::Answer { .. } | Told::Refusal { .. } => {
                self.refused += 1;
                return;
            }
            Told::Nothing(_) => {
                self.broken += 1;
                return;
            }
        }
        self.first
            .saturating_record(timing.first.as_micros() as u64);
        self.whole
            .saturating_record(timing.whole.as_micros() as u64);
        if timing.parts > 1 {
            let gaps = u32::try_from(timing.parts - 1).unwrap_or(u32::MAX);
            record(
                &mut self.between,
                timing.whole.saturating_sub(timing.first) / gaps,
            );
        }
    }

    /// Whole answers a second.
    pub fn goodput(&self) -> f64 {
        self.answered as f64 / self.took.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

fn record(histogram: &mut Histogram<u64>, span: Duration) {
    histogram.saturating_record(span.as_micros() as u64);
}

/// Sends a load and waits for all that comes of it.
pub async fn run(options: &Options) -> Outcome {
    let outcome = Rc::new(RefCell::new(Outcome::default()));
    let open = Rc::new(std::cell::Cell::new(0_u64));
    let pool = Rc::new(Pool::default());
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let begun = Instant::now();
    let mut due = Duration::ZERO;
    let mut number = 0_u64;
    loop {
        // Exponential gaps: arrivals know nothing of one another.
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / options.rate);
        if due >= options.length {
            break;
        }
        number += 1;
        let request = request(options, number, &mut rng);
        let wait = due.saturating_sub(begun.elapsed());
        if !wait.is_zero() {
            monoio::time::sleep(wait).await;
        }
        let (outcome, open, pool) = (outcome.clone(), open.clone(), pool.clone());
        open.set(open.get() + 1);
        outcome.borrow_mut().sent += 1;
        let due_at = begun + due;
        monoio::spawn(async move {
            let (told, timing) = ask_pooled(&pool, &request, due_at).await;
            outcome.borrow_mut().note(&told, &timing);
            open.set(open.get() - 1);
        });
    }
    while open.get() > 0 {
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut outcome = outcome.borrow().clone();
    outcome.took = begun.elapsed();
    outcome
}

fn request(options: &Options, number: u64, rng: &mut ChaCha8Rng) -> Ask {
    let kind = pick(&options.mix, rng).copied().unwrap_or(Kind::Stock);
    let team = pick(&options.teams, rng).cloned().unwrap_or_default();
    let at = number as usize % options.doors.len().max(1);
    let (method, path, key, body) = match kind {
        Kind::Stock => (
            Method::GET,
            format!("{}/stock", options.prefix),
            None,
            String::new(),
        ),
        Kind::Charge => {
            let key = format!("{}-{number}", options.run);
            (
                Method::POST,
                format!("{}/charges", options.prefix),
                Some(key),
                "{}".to_owned(),
            )
        }
        Kind::Draft(tokens) => {
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
    Ask {
        entry: options.doors[at],
        method,
        path,
        token: format!("{team}-token"),
        key,
        timeout: None,
        body,
    }
}

/// Draws an item by weight.
fn pick<'a, T>(items: &'a [(T, u32)], rng: &mut ChaCha8Rng) -> Option<&'a T> {
    let total: u32 = items.iter().map(|(_, weight)| weight).sum();
    if total == 0 {
        return None;
    }
    let mut drawn = rng.random_range(0..total);
    for (item, weight) in items {
        if drawn < *weight {
            return Some(item);
        }
        drawn -= weight;
    }
    None
}
