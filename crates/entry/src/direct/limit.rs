//! Requests to servers that take a limited rate, and the demand that the entry reports for its share.

use std::time::Duration;

use eelgrassdyke_core::id::Server;
use eelgrassdyke_core::limit::{Share, unit_offset};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::MilliRequestRate;

use super::cold::ColdRate;

/// Interval of requests to a server whose limit allows fewer, or none: without any, the end of the limit
/// would not be noticed.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);

/// Limits above this rate are none: no server takes as many requests.
const LIMIT_MAX: MilliRequestRate = MilliRequestRate(1_000_000_000);

/// Time over which the demand for a service is averaged. Shares change with it, and for some seconds two
/// entries may use different divisions.
const DEMAND_PERIOD: Duration = Duration::from_secs(4);

/// A common rate of all entries in units, of which this entry may use those in its share.
#[derive(Clone, Debug)]
struct UnitRate {
    limit: MilliRequestRate,
    /// Units that this entry may use.
    units: u64,
}

impl UnitRate {
    fn new(limit: MilliRequestRate) -> Self {
        Self { limit, units: 0 }
    }

    /// The rate in requests a second at which this entry may send.
    fn rate(&self) -> f64 {
        self.units as f64 * self.unit_rate()
    }

    /// Replaces the units by those in `share`; returns the rate of the units that are kept.
    fn update_units(&mut self, share: Share, offset: f64) -> f64 {
        let units = share.count_units(self.total_units(), offset);
        let kept_units = self.units.min(units);
        self.units = units;
        kept_units as f64 * self.unit_rate()
    }

    fn total_units(&self) -> u64 {
        (self.limit.0 / 1000).max(1)
    }

    fn unit_rate(&self) -> f64 {
        let rate_min = 1.0 / TRIAL_INTERVAL.as_secs_f64();
        self.limit.per_second().max(rate_min) / self.total_units() as f64
    }
}

/// The limit of a cold server.
#[derive(Clone, Debug)]
enum ColdLimit {
    /// The rate of this entry, in requests a second.
    Equal(f64),
    /// Its part of a common rate.
    Units(UnitRate),
}

/// Token bucket for the requests of this entry to one server. The lower one of two rates applies: that of
/// the limit which the server names, and that of cold servers.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    /// See [`unit_offset`].
    offset: f64,
    named: Option<UnitRate>,
    cold: Option<ColdLimit>,
    share: Share,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// A limiter without limits and tokens.
    pub fn new(now: Instant, server: &Server) -> Self {
        Self {
            offset: unit_offset(server),
            named: None,
            cold: None,
            share: Share::WHOLE,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Replaces the limit that the server names; the tokens are kept.
    pub fn set_limit(&mut self, limit: Option<MilliRequestRate>) {
        match (limit.filter(|limit| *limit < LIMIT_MAX), &mut self.named) {
            (Some(limit), Some(named)) => named.limit = limit,
            (limit, named) => *named = limit.map(UnitRate::new),
        }
    }

    /// Replaces the rate for a cold server. When a limit begins, the entry has `tokens` at most.
    pub fn set_cold_rate(&mut self, now: Instant, rate: Option<ColdRate>, tokens: f64) {
        if rate.is_some() && self.cold.is_none() {
            self.tokens = match self.named {
                Some(_) => self.tokens.min(tokens),
                None => tokens,
            };
            self.refilled_at = now;
        }
        match (rate, &mut self.cold) {
            (Some(ColdRate::Units(limit)), Some(ColdLimit::Units(cold))) => cold.limit = limit,
            (rate, cold) => {
                *cold = rate.map(|rate| match rate {
                    ColdRate::Equal(rate) => ColdLimit::Equal(rate),
                    ColdRate::Units(limit) => ColdLimit::Units(UnitRate::new(limit)),
                });
            }
        }
    }

    /// Whether any limit holds.
    pub fn has_limits(&self) -> bool {
        self.named.is_some() || self.cold.is_some()
    }

    /// The rate in requests a second at which this entry may send to the server.
    pub fn rate(&self) -> f64 {
        let named = self.named.as_ref().map_or(f64::INFINITY, UnitRate::rate);
        let cold = match &self.cold {
            None => f64::INFINITY,
            Some(ColdLimit::Equal(rate)) => *rate,
            Some(ColdLimit::Units(cold)) => cold.rate(),
        };
        named.min(cold)
    }

    /// Adds the tokens for the time since the last call; units that this entry has just got bring none. It
    /// may save up one token for each unit of a named limit, and one for a cold server.
    pub fn refill(&mut self, now: Instant, share: Share) {
        let mut rate = f64::INFINITY;
        let mut tokens_max = f64::INFINITY;
        if let Some(named) = &mut self.named {
            rate = named.update_units(share, self.offset);
            tokens_max = named.units as f64;
        }
        match &mut self.cold {
            None => {}
            Some(ColdLimit::Equal(cold_rate)) => {
                rate = rate.min(*cold_rate);
                tokens_max = tokens_max.min(1.0);
            }
            Some(ColdLimit::Units(cold)) => {
                rate = rate.min(cold.update_units(share, self.offset));
                tokens_max = tokens_max.min(cold.units.min(1) as f64);
            }
        }
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * rate).min(tokens_max);
        self.share = share;
        self.refilled_at = now;
    }

    /// Factor by which the load of the server counts less or more when servers are compared: an entry
    /// with more of its units than of the traffic stands in for others that may not use it.
    pub fn load_factor(&self) -> f64 {
        let units = match (&self.named, &self.cold) {
            (Some(named), _) => named,
            (None, Some(ColdLimit::Units(cold))) => cold,
            (None, _) => return 1.0,
        };
        self.share.width() * units.total_units() as f64 / units.units.max(1) as f64
    }

    /// Whether a request may be sent.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Uses a token for a request that is sent.
    pub fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// The units in a share of the limit that the server names, and the number of all its units.
    pub(super) fn named_units(&self, share: Share) -> Option<(std::ops::Range<u64>, u64)> {
        let total = self.named.as_ref()?.total_units();
        Some((share.unit_range(total, self.offset), total))
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
