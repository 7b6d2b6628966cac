//! The budget of further attempts, kept by several entries that know only how many they are.

use std::time::Duration;

use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::Permille;
use eelgrassdyke_entry::direct::{RetryLimit, RetryWindow};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const SPAN: Duration = Duration::from_secs(10);
const SHARE: Permille = Permille(200);
const SLACK: u32 = 90;
const CALLS: u64 = 100_000;

/// Times of the calls and of the further attempts of all entries.
#[derive(Default)]
struct Seen {
    firsts: Vec<Instant>,
    further: Vec<Instant>,
}

/// How many of these sorted times lie in the window that ends at `end`.
fn within(times: &[Instant], end: Instant) -> usize {
    let until = times.partition_point(|at| *at <= end);
    let from = times.partition_point(|at| *at <= end && end.since(*at) >= SPAN);
    until - from
}

impl Seen {
    /// The least distance to the bound over all windows that end with a further attempt.
    fn least_room(&self) -> f64 {
        let mut least = f64::MAX;
        for end in &self.further {
            let bound = SHARE.fraction() * within(&self.firsts, *end) as f64 + f64::from(SLACK);
            least = least.min(bound - within(&self.further, *end) as f64);
        }
        least
    }
}

/// Every attempt fails, so that each entry spends all it may; most calls reach a few of the entries.
#[test_case(1, 4, 0.0; "four entries")]
#[test_case(2, 16, 0.0; "sixteen entries")]
#[test_case(3, 5, 0.001; "entries that start again and forget")]
fn entries_keep_the_budget_together(seed: u64, entries: usize, restart: f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut windows = vec![RetryWindow::default(); entries];
    let mut known = vec![entries as u32; entries];
    let mut started = vec![Instant(0); entries];
    let mut seen = Seen::default();
    let mut now = Instant(0);
    for _ in 0..CALLS {
        // Bursts and pauses.
        let pause = if rng.random_bool(0.001) {
            3000
        } else {
            rng.random_range(0..4)
        };
        now = now + Duration::from_millis(pause);
        let at = rng
            .random_range(0..entries)
            .min(rng.random_range(0..entries));
        if rng.random_bool(restart) {
            windows[at] = RetryWindow::default();
            known[at] = 0;
            started[at] = now;
        } else if rng.random_bool(0.01) {
            known[at] = entries as u32;
        }
        windows[at].record_request(now, SPAN);
        seen.firsts.push(now);
        for _ in 0..2 {
            let bound = RetryLimit {
                window: SPAN,
                retry_share: SHARE,
                retry_slack: SLACK,
                entry_count: known[at],
                uptime: now.since(started[at]),
            };
            if windows[at].try_spend(now, &bound) {
                seen.further.push(now);
            }
        }
    }
    assert!(
        seen.further.len() > CALLS as usize / 10,
        "{}",
        seen.further.len()
    );
    assert!(
        seen.least_room() >= 0.0,
        "{} over the budget",
        -seen.least_room()
    );
}
