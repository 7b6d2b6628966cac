//! The limit of the configuration on the bodies of callers' requests.
//!
//! While a change spreads, callers may still act on the version before it. A lower limit therefore applies only
//! [`RELAXED_TIME`] after it came.

use std::time::Duration;

use eelgrassdyke_core::config::Document;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::Bytes;

/// Time for which the limit of an earlier version is accepted; longer than a change takes to be in force everywhere.
const RELAXED_TIME: Duration = Duration::from_secs(30);

/// The limit in force and the highest one shortly before.
#[derive(Debug, Default)]
pub struct BodyLimit {
    current: Option<Bytes>,
    earlier: Option<(Bytes, Instant)>,
}

impl BodyLimit {
    /// Applies a configuration: the largest body that one of its services accepts from callers.
    pub fn apply(&mut self, now: Instant, document: &Document) {
        let limits = document.services.values().map(|service| service.body_max);
        let limit = limits.max();
        if limit == self.current {
            return;
        }
        let before = self.get(now);
        self.earlier = before.map(|before| (before, now + RELAXED_TIME));
        self.current = limit;
    }

    /// Maximum size of a body; none without a service.
    pub fn get(&self, now: Instant) -> Option<Bytes> {
        let earlier = self.earlier.filter(|(_, until)| now < *until);
        self.current.max(earlier.map(|(limit, _)| limit))
    }
}
