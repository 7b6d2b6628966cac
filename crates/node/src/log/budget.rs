//! Rate limit for log lines, by event code.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::event::Code;
use eelgrassdyke_core::time::Instant;

/// Length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of lines per event code and window; at 400 bytes a line, ten codes at once stay
/// below half a megabyte per second.
const WINDOW_LINES_MAX: u64 = 100;

/// Limits the lines of each event code and counts the omitted ones.
#[derive(Clone, Debug, Default)]
pub struct LineBudget {
    window_start: Instant,
    counts: BTreeMap<Code, u64>,
}

impl LineBudget {
    /// Whether to log a line with this event code at `now`.
    ///
    /// The first line after the end of a window appends the number of lines that were omitted in
    /// the window to `omitted`, by event code.
    pub fn admit(&mut self, now: Instant, code: Code, omitted: &mut Vec<(Code, u64)>) -> bool {
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.end_window(omitted);
        }
        let lines = self.counts.entry(code).or_default();
        *lines += 1;
        *lines <= WINDOW_LINES_MAX
    }

    /// Ends the window; appends the number of lines omitted in it to `omitted`, by event code.
    pub fn end_window(&mut self, omitted: &mut Vec<(Code, u64)>) {
        for (code, lines) in std::mem::take(&mut self.counts) {
            let excess = lines.saturating_sub(WINDOW_LINES_MAX);
            if excess > 0 {
                omitted.push((code, excess));
            }
        }
    }
}
