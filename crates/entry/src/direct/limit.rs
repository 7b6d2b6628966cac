//! Requests to servers that take a limited rate, and the demand that the entry reports for its share.

use std::time::Duration;

use eelgrassdyke_core::id::Server;
use eelgrassdyke_core::limit::{Share, unit_offset};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::MilliRequestRate;

/// Interval of requests to a server whose limit allows fewer, or none: without any, the end of the limit
/// would not be noticed.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);

/// Limits above this rate are none: no server takes as many requests.
const LIMIT_MAX: MilliRequestRate = MilliRequestRate(1_000_000_000);

/// Time over which the demand for a service is averaged. Shares change with it, and for some seconds two
/// entries may use different divisions.
const DEMAND_PERIOD: Duration = Duration::from_secs(4);

/// Token bucket for the requests of this entry to one server.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    limit: MilliRequestRate,
    /// See [`unit_offset`].
    offset: f64,
    share: Share,
    /// Units of the limit that this entry may use.
    units: u64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// A limiter without tokens; none if `limit` needs no enforcement.
    pub fn new(now: Instant, server: &Server, limit: MilliRequestRate) -> Option<Self> {
        (limit < LIMIT_MAX).then(|| Self {
            limit,
            offset: unit_offset(server),
            share: Share::WHOLE,
            units: 0,
            tokens: 0.0,
            refilled_at: now,
        })
    }

    /// Replaces the limit; the tokens are kept.
    pub fn set_limit(&mut self, limit: MilliRequestRate) {
        self.limit = limit;
    }

    /// The rate in requests a second at which this entry may send to the server.
    pub fn rate(&self) -> f64 {
        self.units as f64 * self.unit_rate()
    }

    /// Adds the tokens for the time since the last call, up to one for each unit; units that this entry
    /// has just got bring none.
    pub fn refill(&mut self, now: Instant, share: Share) {
        let units = share.count_units(self.total_units(), self.offset);
        let kept_units = self.units.min(units);
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        let added = elapsed_s * kept_units as f64 * self.unit_rate();
        self.tokens = (self.tokens + added).min(units as f64);
        self.units = units;
        self.share = share;
        self.refilled_at = now;
    }

    /// Factor by which the load of the server counts less or more when servers are compared: an entry
    /// with more of its units than of the traffic stands in for others that may not use it.
    pub fn load_factor(&self) -> f64 {
        self.share.width() * self.total_units() as f64 / self.units.max(1) as f64
    }

    /// Whether a request may be sent.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Uses a token for a request that is sent.
    pub fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// The units of the limit in a share.
    pub(super) fn units_in(&self, share: Share) -> std::ops::Range<u64> {
        share.unit_range(self.total_units(), self.offset)
    }

    pub(super) fn total_units(&self) -> u64 {
        (self.limit.0 / 1000).max(1)
    }

    fn unit_rate(&self) -> f64 {
        let rate_min = 1.0 / TRIAL_INTERVAL.as_secs_f64();
        self.limit.per_second().max(rate_min) / self.total_units() as f64
    }
}

/// Smoothed rate of the requests for a service.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    per_second: f64,
    updated_at: Instant,
}

impl DemandMeter {
    /// Records a request.
    pub fn record_request(&mut self, now: Instant) {
        self.per_second = self.rate_at(now) + 1.0 / DEMAND_PERIOD.as_secs_f64();
        self.updated_at = now;
    }

    /// The rate.
    pub fn rate(&self, now: Instant) -> MilliRequestRate {
        MilliRequestRate((self.rate_at(now) * 1000.0) as u64)
    }

    fn rate_at(&self, now: Instant) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64() / DEMAND_PERIOD.as_secs_f64();
        self.per_second * (-elapsed).exp()
    }
}
