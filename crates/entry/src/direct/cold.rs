//! Rates at which this entry may send to cold servers.
//!
//! A bound says how many requests a cold server may get in any second from all entries together. Entries
//! don't tell each other what they send: each has an equal part of a rate that is so low that the bound
//! holds even if every entry sends its one saved-up request within the same second. The parts are equal,
//! unlike those of limits that servers name, because shares that follow the demand overlap while they
//! change, and an entry without contact to control keeps an old one.
//!
//! An entry that gets no updates does not know which servers have become cold, and treats all of them as
//! cold where the service has a cold rate.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::follow::ENTRY_COUNT_ASSUMED;
use eelgrassdyke_core::id::{Server, Service, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::{MilliRequestRate, Permille};

use super::io::Output;
use super::path::Direct;

/// Time without an update after which every server may be cold: the response to a poll, one second
/// apart, is missing at least once.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);

/// Half of the time for which the highest number of entries is remembered: entries that lose contact are
/// no longer counted, but go on sending.
const ENTRY_COUNT_PERIOD: Duration = Duration::from_secs(300);

/// Time after the start of an entry in which control may not have counted all entries, as after a loss of
/// power: they poll every second, and control processes inform each other once a second.
const COUNTING_TIME: Duration = Duration::from_secs(3);

/// Fraction of the bound that must be left for the common rate where every entry may save up a request.
const EQUAL_RATE_FRACTION_MIN: f64 = 0.25;

/// The requests that a cold server may get in any second: the cold rate of its service times `overage`,
/// and `slack` requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdBound {
    /// Factor of the cold rate, in thousandths.
    pub overage: Permille,
    /// Number of requests beyond that.
    pub slack: u32,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self {
            overage: Permille::ONE,
            slack: 0,
        }
    }
}

/// The rate at which an entry may send to a cold server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ColdRate {
    /// Every entry may send at this rate, in requests a second.
    Equal(f64),
    /// The entries that have units of this common rate may send, as with limits that servers name.
    Units(MilliRequestRate),
}

impl ColdBound {
    /// Maximum number of requests in any second.
    pub fn requests(self, cold_rate: MilliRequestRate) -> f64 {
        cold_rate.per_second() * self.overage.fraction() + f64::from(self.slack)
    }

    /// The rate of one of `entry_count` entries. All of them may send one saved-up request and the common
    /// rate within one second. Where that would leave little of the rate, as with more entries than the
    /// bound allows requests, only as many entries send as units fit into half of the bound.
    pub fn entry_rate(self, cold_rate: MilliRequestRate, entry_count: u32) -> ColdRate {
        let entry_count = f64::from(entry_count.max(1));
        let bound = self.requests(cold_rate);
        let common_rate = cold_rate.per_second().min(bound - entry_count);
        let common_rate_min = (bound * EQUAL_RATE_FRACTION_MIN).min(cold_rate.per_second());
        if common_rate >= common_rate_min {
            return ColdRate::Equal(common_rate / entry_count);
        }
        let half = MilliRequestRate((bound / 2.0 * 1000.0) as u64);
        ColdRate::Units(half.min(cold_rate))
    }
}

/// The highest number of entries that control has counted recently.
#[derive(Clone, Copy, Debug, Default)]
struct EntryCount {
    current: u32,
    previous: u32,
    period_start: Instant,
}

impl EntryCount {
    /// Records a count; returns the highest one.
    fn record(&mut self, now: Instant, count: u32) -> u32 {
        if now.since(self.period_start) >= ENTRY_COUNT_PERIOD {
            self.previous = std::mem::take(&mut self.current);
            self.period_start = now;
        }
        self.current = self.current.max(count);
        self.current.max(self.previous)
    }
}

/// What the cold rates of this entry depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Basis {
    version: Version,
    entry_count: u32,
    has_contact: bool,
}

/// The state from which the cold rates in force were computed.
#[derive(Clone, Debug, Default)]
pub struct ColdWatch {
    entry_count: EntryCount,
    basis: Option<Basis>,
    /// Whether the absence of contact was recorded.
    assumes_cold: bool,
}

/// A server that became cold or warm, with the rate of this entry to it while it is cold.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdChange {
    /// The server.
    pub server: Server,
    /// The rate; none if it is no longer cold.
    pub rate: Option<ColdRate>,
}

impl Direct {
    /// Number of servers that the directory reports as cold and whose requests are limited for it.
    pub fn count_cold_servers(&self) -> usize {
        self.pool.count_cold_servers()
    }

    /// Whether requests to all servers with a cold rate are limited, for lack of contact with control.
    pub fn assumes_cold_servers(&self) -> bool {
        self.cold.assumes_cold
    }

    /// Brings the limits of cold servers up to date with the directory, the configuration, the number of
    /// entries and the contact with control.
    pub(super) fn update_cold_limits(
        &mut self,
        now: Instant,
        directory_changed: bool,
        out: &mut Vec<Output>,
    ) {
        let mut entry_count = (self.cold.entry_count).record(now, self.follower.entry_count());
        if now.since(self.started_at) < COUNTING_TIME {
            entry_count = entry_count.max(ENTRY_COUNT_ASSUMED);
        }
        let silence = self.follower.time_since_update(now);
        let basis = Basis {
            version: self.follower.version(),
            entry_count,
            has_contact: silence.is_none_or(|silence| silence < CONTACT_TIMEOUT),
        };
        if !directory_changed && self.cold.basis == Some(basis) {
            return;
        }
        self.cold.basis = Some(basis);
        let rates = self.cold_rates(basis.entry_count);
        let changes = self.pool.apply_cold_rates(now, &rates, !basis.has_contact);
        for change in changes {
            out.push(Output::Event(change.event(basis.entry_count)));
        }
        let assumes_cold = !basis.has_contact && !rates.is_empty();
        if assumes_cold != self.cold.assumes_cold {
            self.cold.assumes_cold = assumes_cold;
            let detail = match assumes_cold {
                true => "no contact with control",
                false => "contact with control",
            };
            let event = Event::new(Code::ColdAssumed, detail)
                .with_fact("silence_ms", silence.unwrap_or_default())
                .with_fact("entries", u64::from(basis.entry_count));
            out.push(Output::Event(event));
        }
    }

    fn cold_rates(&self, entry_count: u32) -> BTreeMap<Service, ColdRate> {
        let bound = self.options.cold_bound;
        let mut rates = BTreeMap::new();
        for (service, spec) in &self.follower.document().services {
            let Some(cold_rate) = spec.direct.as_ref().and_then(|direct| direct.cold_rate) else {
                continue;
            };
            rates.insert(service.clone(), bound.entry_rate(cold_rate, entry_count));
        }
        rates
    }
}

impl ColdChange {
    fn event(&self, entry_count: u32) -> Event {
        let event = match self.rate {
            None => Event::new(Code::ServerCold, "warm"),
            Some(ColdRate::Equal(rate)) => Event::new(Code::ServerCold, "cold")
                .with_fact("entry_milli_per_s", (rate * 1000.0) as u64)
                .with_fact("entries", u64::from(entry_count)),
            Some(ColdRate::Units(limit)) => Event::new(Code::ServerCold, "cold")
                .with_fact("limit_milli_per_s", limit.0)
                .with_fact("entries", u64::from(entry_count)),
        };
        event.server(&self.server)
    }
}
