//! Tests of the retry budget when several entries apply it, each knowing only the number of
//! entries.

use std::time::Duration;

use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::Permille;
use eelgrassdyke_entry::direct::{RetryLimit, RetryWindow};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const WINDOW: Duration = Duration::from_secs(10);
const SHARE: Permille = Permille(200);
const SLACK: u32 = 90;
const CALLS: u64 = 100_000;

/// Times of the first attempts and retries of all entries.
#[derive(Default)]
struct AttemptTimes {
    first_attempts: Vec<Instant>,
    retries: Vec<Instant>,
}

/// Counts the sorted times in the window that ends at `end`.
fn count_in_window(times: &[Instant], end: Instant) -> usize {
    let until = times.partition_point(|at| *at <= end);
    let from = times.partition_point(|at| *at <= end && end.since(*at) >= WINDOW);
    until - from
}

impl AttemptTimes {
    /// The smallest distance to the limit over all windows that end with a retry.
    fn min_headroom(&self) -> f64 {
        let mut headroom_min = f64::MAX;
        for end in &self.retries {
            let limit = SHARE.fraction() * count_in_window(&self.first_attempts, *end) as f64
                + f64::from(SLACK);
            headroom_min = headroom_min.min(limit - count_in_window(&self.retries, *end) as f64);
        }
        headroom_min
    }
}

/// Every attempt fails, so each entry uses its whole budget. Calls are distributed unevenly over
/// the entries.
#[test_case(1, 4, 0.0; "four entries")]
#[test_case(2, 16, 0.0; "sixteen entries")]
#[test_case(3, 5, 0.001; "entries that restart")]
fn entries_together_stay_within_the_retry_budget(
    seed: u64,
    entry_count: usize,
    restart_probability: f64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut windows = vec![RetryWindow::default(); entry_count];
    let mut reported_entry_counts = vec![entry_count as u32; entry_count];
    let mut started_at = vec![Instant(0); entry_count];
    let mut attempts = AttemptTimes::default();
    let mut now = Instant(0);
    for _ in 0..CALLS {
        // Bursts and pauses.
        let pause_ms = if rng.random_bool(0.001) {
            3000
        } else {
            rng.random_range(0..4)
        };
        now = now + Duration::from_millis(pause_ms);
        let index = rng
            .random_range(0..entry_count)
            .min(rng.random_range(0..entry_count));
        if rng.random_bool(restart_probability) {
            windows[index] = RetryWindow::default();
            reported_entry_counts[index] = 0;
            started_at[index] = now;
        } else if rng.random_bool(0.01) {
            reported_entry_counts[index] = entry_count as u32;
        }
        windows[index].record_request(now, WINDOW);
        attempts.first_attempts.push(now);
        for _ in 0..2 {
            let limit = RetryLimit {
                window: WINDOW,
                retry_share: SHARE,
                retry_slack: SLACK,
                entry_count: reported_entry_counts[index],
                uptime: now.since(started_at[index]),
            };
            if windows[index].try_spend(now, &limit) {
                attempts.retries.push(now);
            }
        }
    }
    assert!(
        attempts.retries.len() > CALLS as usize / 10,
        "only {} retries",
        attempts.retries.len()
    );
    assert!(
        attempts.min_headroom() >= 0.0,
        "{} retries above the limit",
        -attempts.min_headroom()
    );
}
