//! Callers that are refused during the start or the shutdown of an entry return only once: those that
//! return too early are refused for good, and those that return together meet full servers.

use std::time::Duration;

use eelgrassdyke_entry::direct::{Cause, return_time};
use test_case::test_case;

const TIME_LEFT: Duration = Duration::from_secs(8);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Delays of callers that are refused for the same cause, in order.
fn delays(cause: Cause, time_left: Option<Duration>) -> Vec<Duration> {
    let draws = (0..=100).map(|percent| f64::from(percent) / 100.0);
    draws
        .map(|draw| return_time(cause, time_left, draw))
        .collect()
}

/// Control processes that have all restarted elect a leader within 2 s even if one has lost its disk.
#[test_case(0)]
#[test_case(300)]
#[test_case(1900)]
#[test_case(5000)]
fn callers_refused_during_a_start_return_after_it_and_not_together(age_ms: u64) {
    let age = millis(age_ms);
    let delays = delays(Cause::Start(age), Some(TIME_LEFT));
    let (first, last) = (delays[0], delays[100]);
    assert!(age + first >= millis(2000), "{first:?}");
    assert!(first >= millis(500), "{first:?}");
    assert!(last - first >= millis(300), "{first:?} to {last:?}");
    // A caller honours at most a third of the time that it has left.
    assert!(last <= TIME_LEFT / 3, "{last:?}");
    let distinct = delays.windows(2).all(|pair| pair[0] < pair[1]);
    assert!(distinct, "{delays:?}");
}

#[test]
fn callers_with_little_time_return_within_it() {
    let delays = delays(Cause::Start(millis(100)), Some(millis(1000)));
    assert!(delays.iter().all(|delay| *delay == millis(300)));
}

/// Another entry serves them at once, and a wait would make their responses late.
#[test]
fn callers_refused_during_a_shutdown_return_almost_at_once() {
    for time_left in [None, Some(TIME_LEFT)] {
        let delays = delays(Cause::Shutdown, time_left);
        assert!(delays.iter().all(|delay| *delay <= millis(150)));
        assert!(delays[100] > delays[0]);
    }
}
