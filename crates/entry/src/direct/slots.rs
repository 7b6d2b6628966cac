//! The slots of servers that this entry may use.
//!
//! All entries together may have [`SLOT_OVERCOMMIT`] times as many requests at a server as it has slots.
//! Without exact shares each entry uses an equal part of that, rounded up, so that many entries together
//! may send far more. With exact shares these slots are units on the interval of
//! [shares](eelgrassdyke_core::limit), as the units of a limit are, and an entry uses the units in its
//! share.

use std::collections::BTreeMap;

use eelgrassdyke_core::id::{Server, Service};
use eelgrassdyke_core::limit::{ServiceDemand, Share};
use eelgrassdyke_core::time::Instant;

use super::limit::DemandMeter;
use super::path::Direct;
use super::pool::{PooledServer, ServerPool};

/// Requests that all entries together may send per slot of a server: callers are spread unevenly
/// over the entries, and the excess waits briefly at the server.
const SLOT_OVERCOMMIT: f64 = 1.3;

/// Units of a service per entry up to which entries use equal parts: with so few, shares that follow the
/// demand would leave some entries without any.
const UNITS_PER_ENTRY_MIN: u64 = 2;

/// Positions in the interval of shares per entry, for the choice of the server at which an entry without
/// units uses a slot. Shares are never narrower than that, so two entries have different positions.
const POSITIONS_PER_ENTRY: u64 = 20;

/// What this entry may use of the slots of a service.
#[derive(Clone, Copy, Debug)]
pub struct Allotment {
    entry_count: u32,
    /// The entry's share, where shares of slots are exact.
    share: Option<Share>,
}

impl Allotment {
    /// An equal part of each server's slots, rounded up.
    pub fn equal(entry_count: u32) -> Self {
        Self {
            entry_count: entry_count.max(1),
            share: None,
        }
    }

    /// The units in a share.
    pub fn exact(entry_count: u32, share: Share) -> Self {
        Self {
            entry_count: entry_count.max(1),
            share: Some(share),
        }
    }

    /// The number of slots that this entry may use at each of `servers`, all those of one service.
    pub(super) fn slot_limits(&self, servers: &[(&Server, &PooledServer)]) -> Vec<u32> {
        let equal = servers.iter().map(|(_, server)| self.equal_part(server));
        let Some(share) = self.share else {
            return equal.collect();
        };
        let total: u64 = servers.iter().map(|(_, server)| units(server)).sum();
        if total <= UNITS_PER_ENTRY_MIN * u64::from(self.entry_count) {
            return equal.collect();
        }
        let mut limits: Vec<u32> = (servers.iter())
            .map(|(_, server)| exact_part(server, share))
            .collect();
        // Servers that want no requests now, or have few slots, leave a narrow share without units.
        let unlimited = servers.iter().enumerate();
        let unlimited: Vec<usize> = unlimited
            .filter(|(_, (_, server))| server.limiter.is_none())
            .map(|(index, _)| index)
            .collect();
        if limits.iter().all(|limit| *limit == 0) && !unlimited.is_empty() {
            let positions = POSITIONS_PER_ENTRY * u64::from(self.entry_count);
            let position = u64::from(share.start) * positions / u64::from(Share::WHOLE.end);
            limits[unlimited[position as usize % unlimited.len()]] = 1;
        }
        limits
    }

    /// Factor by which the load of a server without a limit counts less or more when servers are
    /// compared: an entry with more of its units than of the traffic stands in for others.
    pub(super) fn load_factor(&self, server: &PooledServer, slot_limit: u32) -> f64 {
        match self.share {
            None => 1.0,
            Some(share) => share.width() * units(server) as f64 / f64::from(slot_limit.max(1)),
        }
    }

    fn equal_part(&self, server: &PooledServer) -> u32 {
        let part = f64::from(server.slots) * SLOT_OVERCOMMIT / f64::from(self.entry_count);
        part.ceil().max(1.0) as u32
    }
}

/// Requests that all entries together may have at a server.
fn units(server: &PooledServer) -> u64 {
    ((f64::from(server.slots) * SLOT_OVERCOMMIT).round() as u64).max(1)
}

/// The units of a server that fall into a share.
fn exact_part(server: &PooledServer, share: Share) -> u32 {
    let units = units(server);
    let named = server.limiter.as_ref();
    let part = match named.and_then(|limiter| limiter.named_units(share)) {
        // Few entries have units of the limit; they divide all slots, or the limit would not be used.
        Some((owned, total)) if total < units => {
            let before = |index: u64| units * index / total;
            before(owned.end) - before(owned.start)
        }
        Some(_) | None => share.count_units(units, server.unit_offset),
    };
    u32::try_from(part).unwrap_or(u32::MAX)
}

impl ServerPool {
    /// Spreads the units of the servers of each service evenly over the interval of shares; to be called
    /// after the directory has changed. All entries with the same directory come to the same result.
    pub fn place_units(&mut self) {
        let mut counts: BTreeMap<Service, usize> = BTreeMap::new();
        for server in self.servers.values() {
            *counts.entry(server.service.clone()).or_default() += 1;
        }
        let mut positions: BTreeMap<Service, usize> = BTreeMap::new();
        for server in self.servers.values_mut() {
            let position = positions.entry(server.service.clone()).or_default();
            server.unit_offset = (*position as f64 + 0.5) / counts[&server.service] as f64;
            *position += 1;
        }
    }

    /// The units of the slots of all servers, by service.
    fn units_by_service(&self) -> BTreeMap<Service, u64> {
        let mut totals = BTreeMap::new();
        for server in self.servers.values() {
            *totals.entry(server.service.clone()).or_default() += units(server);
        }
        totals
    }

    /// The number of slots that this entry may use at each server of a service that wants requests.
    pub fn slot_limits(
        &self,
        now: Instant,
        service: &Service,
        allotment: &Allotment,
    ) -> BTreeMap<Server, u32> {
        let servers: Vec<_> = self.available_servers(now, service).collect();
        let limits = allotment.slot_limits(&servers);
        let names = servers.iter().map(|(name, _)| (*name).clone());
        names.zip(limits).collect()
    }
}

impl Direct {
    /// What this entry may use of the slots of a service.
    pub(super) fn allotment(&self, now: Instant, service: &Service) -> Allotment {
        let entry_count = self.follower.entry_count();
        match self.options.exact_slots {
            true => Allotment::exact(entry_count, self.follower.share(now, service)),
            false => Allotment::equal(entry_count),
        }
    }
}

/// The demand for the services of which entries use shares: those with limited servers, and with exact
/// shares of slots all.
pub(super) fn shared_demands(
    now: Instant,
    pool: &ServerPool,
    demands: &BTreeMap<Service, DemandMeter>,
    exact_slots: bool,
) -> Vec<ServiceDemand> {
    let services = match exact_slots {
        true => pool.units_by_service(),
        false => {
            let services = pool.limited_services().into_iter();
            services.map(|service| (service, 0)).collect()
        }
    };
    let demands = services.into_iter().map(|(service, units)| {
        let meter = demands.get(&service);
        ServiceDemand {
            rate: meter.map(|meter| meter.rate(now)).unwrap_or_default(),
            service,
            units,
        }
    });
    demands.collect()
}
