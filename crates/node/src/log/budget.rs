//! How many lines of each kind are logged.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::event::Code;
use eelgrassdyke_core::time::Instant;

/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines of one kind within a span; at 400 bytes each, ten kinds at once stay below half a megabyte a
/// second.
const WINDOW_LINES_MAX: u64 = 100;

/// Bounds the lines of each kind and counts those that are left out.
#[derive(Clone, Debug, Default)]
pub struct LineBudget {
    window_start: Instant,
    counts: BTreeMap<Code, u64>,
}

impl LineBudget {
    /// Whether a line of this kind is logged at `now`.
    ///
    /// The first line after a span adds to `omitted` how many of each kind were left out in it.
    pub fn admit(&mut self, now: Instant, code: Code, omitted: &mut Vec<(Code, u64)>) -> bool {
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.end_window(omitted);
        }
        let lines = self.counts.entry(code).or_default();
        *lines += 1;
        *lines <= WINDOW_LINES_MAX
    }

    /// Ends the span; adds to `omitted` how many of each kind were left out in it.
    pub fn end_window(&mut self, omitted: &mut Vec<(Code, u64)>) {
        for (code, lines) in std::mem::take(&mut self.counts) {
            let excess = lines.saturating_sub(WINDOW_LINES_MAX);
            if excess > 0 {
                omitted.push((code, excess));
            }
        }
    }
}
