//! How many lines of each kind are logged.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::event::Code;
use eelgrassdyke_core::time::Instant;

/// Time over which lines are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Lines of one kind within a span; at 400 bytes each, ten kinds at once stay below half a megabyte a
/// second.
const LINES_MAX: u64 = 100;

/// Bounds the lines of each kind and counts those that are left out.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    begun: Instant,
    kinds: BTreeMap<Code, u64>,
}

impl Budget {
    /// Whether a line of this kind is logged at `now`.
    ///
    /// The first line after a span adds to `omitted` how many of each kind were left out in it.
    pub fn admit(&mut self, now: Instant, code: Code, omitted: &mut Vec<(Code, u64)>) -> bool {
        if now.since(self.begun) >= SPAN {
            self.begun = now;
            self.end_span(omitted);
        }
        let lines = self.kinds.entry(code).or_default();
        *lines += 1;
        *lines <= LINES_MAX
    }

    /// Ends the span; adds to `omitted` how many of each kind were left out in it.
    pub fn end_span(&mut self, omitted: &mut Vec<(Code, u64)>) {
        for (code, lines) in std::mem::take(&mut self.kinds) {
            let over = lines.saturating_sub(LINES_MAX);
            if over > 0 {
                omitted.push((code, over));
            }
        }
    }
}
