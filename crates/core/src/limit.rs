//! Rates of requests that servers take from all entries together, and how entries share them.
//!
//! A server in need names in its responses the rate that it takes. One response shows that to one entry;
//! a [`LimitLedger`] holds what the entries and control processes tell each other about it. Of several
//! reports about one incarnation of a server the latest observation counts, whatever the order in which
//! they arrive.
//!
//! Each service's traffic is divided among the entries by demand: a [`Share`] is an entry's part of the
//! interval from 0 to 1, which the shares of all entries cover without overlap. The limit of a server is
//! divided into units of about one request a second, placed evenly on that interval, and an entry may use
//! the units that fall into its share. A limit of less than a request a second is one unit, which one
//! entry uses. All entries come to the same result without agreeing on each server.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::data;
use crate::digest::Sha256;
use crate::id::{Incarnation, Server, Service};
use crate::time::Instant;
use crate::unit::MilliRequestRate;

/// Time after its last observation at which a limit is forgotten.
const RETENTION: Duration = Duration::from_secs(600);

/// The same for the end of a limit, which only has to outlive reports that are under way.
const WITHDRAWN_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of limits; more than the servers of the largest deployment.
const LIMITS_MAX: usize = 4096;

/// Maximum number of records in one message.
const PAGE_RECORDS: usize = 1024;

/// Part of a service's demand that is divided evenly among the entries, so that one without requests may
/// send its first ones.
const EVEN_FRACTION: f64 = 0.05;

/// Width of the narrowest share in distances of two units; above 1 as the ends of shares are rounded.
const UNIT_WIDTH_FACTOR: f64 = 1.02;

data! {
    /// What a server said about the rate of requests that it takes.
    #[derive(Eq)]
    #[serde(into = "PackedLimitRecord", from = "PackedLimitRecord")]
    pub struct LimitRecord {
        /// The server.
        pub server: Server,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// The rate that it takes from all entries; none if it names no limit.
        pub limit: Option<MilliRequestRate>,
        /// Time since the response, in milliseconds.
        pub age_ms: u64,
    }

    /// Requests for a service that one entry receives.
    #[derive(Eq)]
    pub struct ServiceDemand {
        /// The service.
        pub service: Service,
        /// Their recent rate.
        pub rate: MilliRequestRate,
        /// Units of the service's slots, of which each entry is to have at least one; zero if slots are
        /// not divided by shares.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub units: u64,
    }

    /// An entry's share of the traffic to the servers of a service.
    #[derive(Eq)]
    pub struct ServiceShare {
        /// The service.
        pub service: Service,
        /// The share.
        pub share: Share,
    }

    /// A part of the interval from 0 to 1.
    #[derive(Copy, Eq)]
    pub struct Share {
        /// Its start, in millionths.
        pub start: u32,
        /// Its end, in millionths.
        pub end: u32,
    }
}

fn is_zero(units: &u64) -> bool {
    *units == 0
}

/// A [`LimitRecord`] without field names, to save space.
type PackedLimitRecord = (Server, u64, Option<u64>, u64);

impl From<LimitRecord> for PackedLimitRecord {
    fn from(record: LimitRecord) -> Self {
        let limit = record.limit.map(|limit| limit.0);
        (record.server, record.incarnation.0, limit, record.age_ms)
    }
}

impl From<PackedLimitRecord> for LimitRecord {
    fn from((server, incarnation, limit, age_ms): PackedLimitRecord) -> Self {
        Self {
            server,
            incarnation: Incarnation(incarnation),
            limit: limit.map(MilliRequestRate),
            age_ms,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LimitState {
    incarnation: Incarnation,
    limit: Option<MilliRequestRate>,
    observed_at: Instant,
}

/// The limits of servers.
#[derive(Clone, Debug, Default)]
pub struct LimitLedger {
    servers: BTreeMap<Server, LimitState>,
    /// The server after which the next page of records begins.
    page_start: Option<Server>,
}

impl LimitLedger {
    /// The limit of an incarnation of a server, if it names one.
    pub fn limit(&self, server: &Server, incarnation: Incarnation) -> Option<MilliRequestRate> {
        let state = self.servers.get(server)?;
        (state.incarnation == incarnation).then_some(state.limit)?
    }

    /// Whether any server names a limit.
    pub fn has_limits(&self) -> bool {
        self.servers.values().any(|state| state.limit.is_some())
    }

    /// Merges a record; returns whether it held news.
    pub fn merge(&mut self, now: Instant, record: &LimitRecord) -> bool {
        let reported = LimitState {
            incarnation: record.incarnation,
            limit: record.limit,
            observed_at: now - Duration::from_millis(record.age_ms),
        };
        let held = self.servers.get(&record.server).copied();
        let order = |state: &LimitState| (state.incarnation, state.observed_at);
        if held.is_some_and(|held| order(&held) >= order(&reported)) {
            return false;
        }
        let same = held.filter(|held| held.incarnation == reported.incarnation);
        if same.map_or(reported.limit.is_none(), |held| {
            held.limit == reported.limit
        }) {
            if let Some(state) = self.servers.get_mut(&record.server) {
                *state = reported;
            }
            return false;
        }
        if held.is_none() && self.servers.len() >= LIMITS_MAX {
            return false;
        }
        self.servers.insert(record.server.clone(), reported);
        true
    }

    /// The record of a server.
    pub fn record(&self, now: Instant, server: &Server) -> Option<LimitRecord> {
        let state = self.servers.get(server)?;
        Some(LimitRecord {
            server: server.clone(),
            incarnation: state.incarnation,
            limit: state.limit,
            age_ms: now.since(state.observed_at).as_millis() as u64,
        })
    }

    /// The next page of records; successive calls return all of them in turn.
    pub fn next_page(&mut self, now: Instant) -> Vec<LimitRecord> {
        let start = self.page_start.take();
        let servers = self.servers.keys();
        let rest = servers.filter(|server| start.as_ref().is_none_or(|start| *server > start));
        let page: Vec<Server> = rest.take(PAGE_RECORDS).cloned().collect();
        if page.len() == PAGE_RECORDS {
            self.page_start = page.last().cloned();
        }
        let records = page.iter().filter_map(|server| self.record(now, server));
        records.collect()
    }

    /// A number that is the same for ledgers with the same limits.
    pub fn digest(&self) -> u64 {
        let mut text = String::new();
        for (server, state) in &self.servers {
            if let Some(limit) = state.limit {
                text.push_str(&format!("{server} {} {limit}\n", state.incarnation));
            }
        }
        match text.is_empty() {
            true => 0,
            false => Sha256::of(text.as_bytes()).first_128_bits().0,
        }
    }

    /// Drops the records that are too old to matter; returns their servers.
    pub fn expire(&mut self, now: Instant) -> Vec<Server> {
        let is_old = |state: &LimitState| {
            let retention = match state.limit {
                Some(_) => RETENTION,
                None => WITHDRAWN_RETENTION,
            };
            now.since(state.observed_at) >= retention
        };
        let old = self.servers.extract_if(.., |_, state| is_old(state));
        old.map(|(server, _)| server).collect()
    }
}

impl Share {
    /// The whole interval.
    pub const WHOLE: Self = Self {
        start: 0,
        end: 1_000_000,
    };

    /// The share of one of `count` entries, the one at `index`, whose demands are `demands`; an unknown
    /// demand counts like the mean of the known ones.
    pub fn divide(demands: &[Option<MilliRequestRate>], index: usize) -> Self {
        Self::divide_units(demands, index, 0)
    }

    /// The same, with shares wide enough that of `units`, spread evenly over the interval, each entry
    /// has at least one; zero for no such bound. If there are too few, all shares are equal.
    pub fn divide_units(demands: &[Option<MilliRequestRate>], index: usize, units: u64) -> Self {
        let even_fraction = match units {
            0 => EVEN_FRACTION,
            units => {
                let fraction = demands.len() as f64 / units as f64 * UNIT_WIDTH_FACTOR;
                fraction.clamp(EVEN_FRACTION, 1.0)
            }
        };
        let known: Vec<f64> = (demands.iter().flatten())
            .map(|rate| rate.per_second())
            .collect();
        let count = demands.len().max(1) as f64;
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        let weight = |demand: &Option<MilliRequestRate>| {
            let rate = demand.map_or(mean, |rate| rate.per_second());
            match mean > 0.0 {
                true => (1.0 - even_fraction) * rate / (mean * count) + even_fraction / count,
                false => 1.0 / count,
            }
        };
        let end_of = |count: usize| {
            let sum: f64 = demands.iter().take(count).map(weight).sum();
            (sum.min(1.0) * 1e6).round() as u32
        };
        Self {
            start: end_of(index),
            end: end_of(index + 1),
        }
    }

    /// The part in the middle of this share that is at most one of `count` equal shares wide.
    pub fn narrowed(self, count: u32) -> Self {
        let width = Self::WHOLE.end / count.max(1);
        let excess = (self.end - self.start).saturating_sub(width);
        Self {
            start: self.start + excess / 2,
            end: self.end - excess.div_ceil(2),
        }
    }

    /// An equal share of one of `count` entries that don't know of each other, placed by name.
    pub fn placed_by_name(name: &str, count: u32) -> Self {
        let width = Self::WHOLE.end / count.max(1);
        let room = u64::from(Self::WHOLE.end - width) + 1;
        let start = (Sha256::of(name.as_bytes()).first_128_bits().0 % room) as u32;
        Self {
            start,
            end: start + width,
        }
    }

    /// Its length as a fraction of the interval.
    pub fn width(self) -> f64 {
        f64::from(self.end - self.start) / f64::from(Self::WHOLE.end)
    }

    /// How many of `units` that are spread evenly over the interval fall into this share. `offset`, from
    /// 0 to 1, moves them by that many units.
    pub fn count_units(self, units: u64, offset: f64) -> u64 {
        let owned = self.unit_range(units, offset);
        owned.end - owned.start
    }

    /// The indices of those units.
    pub fn unit_range(self, units: u64, offset: f64) -> std::ops::Range<u64> {
        // The unit of index j is at (j + offset) / units.
        let before = |position: u32| {
            let position = f64::from(position) / f64::from(Self::WHOLE.end);
            let index = position * units as f64 - offset;
            (index.ceil().max(0.0) as u64).min(units)
        };
        before(self.start)..before(self.end)
    }
}

/// Where the units of a server are on the interval, see [`Share::count_units`]. It differs between servers,
/// so that a small share has units of some of them.
pub fn unit_offset(server: &Server) -> f64 {
    let hash = Sha256::of(server.as_str().as_bytes()).first_128_bits().0;
    (hash % 1_000_000) as f64 / 1e6
}
