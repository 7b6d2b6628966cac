//! The servers of each service and their state.
//!
//! Each entry knows its own requests at a server and the number of entries, and uses only its share
//! of the server's slots and of the rate of requests that it takes, if that is limited. Failing servers are ejected for a limited time that doubles with each
//! consecutive failure; if too many are ejected, they are selected nevertheless.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::follow::ServerStatus;
use eelgrassdyke_core::id::{DataCentre, Incarnation, Server, Service};
use eelgrassdyke_core::limit::LimitLedger;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::directory::ServerState;
use eelgrassdyke_core::wire::rank::SlowEngine;

use super::health::ServiceHealth;
use super::limit::RateLimiter;
use super::line::Capacity;
use super::slots::Allotment;
use super::slow_start::SlowStart;
use crate::evacuation::Evacuation;

mod limited;

/// Shortest ejection of a failing server.
const EJECTION_MIN: Duration = Duration::from_millis(500);

/// Longest ejection of a failing server.
const EJECTION_MAX: Duration = Duration::from_secs(5);

/// Time for which a server that rejected a request as full gets no other.
const FULL_BACKOFF: Duration = Duration::from_millis(100);

/// Time for which a group counts as closed after control last reported it; control repeats the
/// report every second, and may itself fail.
const GROUP_CLOSED_TTL: Duration = Duration::from_millis(2500);

/// Most servers that are remembered as leaving.
const LEAVING_MAX: usize = 256;

/// Maximum fraction of the servers of a service that may be avoided because they are slow.
pub(super) const SLOW_FRACTION_MAX: f64 = 0.34;

/// Weight of the newest attempt in the smoothed failure rate of a server.
const FAILURE_RATE_WEIGHT: f64 = 0.1;

/// Number of busy slots added to a server that fails every request, when servers are compared.
const FAILURE_PENALTY_SLOTS: f64 = 8.0;

/// What the end of an attempt shows about the health of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// The server responded.
    Served,
    /// The server responded with an internal error.
    Failed,
    /// The server rejected the request because it was full.
    Full,
    /// Nothing could be sent, or the response was interrupted.
    Broken,
    /// The address belongs to another server.
    Moved,
    /// Nothing: the caller left, or the deadline passed.
    Unknown,
}

/// The servers of the directory and the health of their services.
#[derive(Clone, Debug, Default)]
pub struct ServerPool {
    pub(super) servers: BTreeMap<Server, PooledServer>,
    /// Servers that said that they leave, oldest first; they may be missing in the directory for a while.
    leaving: VecDeque<(Server, Incarnation)>,
    /// Limits of servers; they may be missing in the directory for a while.
    limits: LimitLedger,
    /// Data centres whose servers get no requests.
    pub(super) evacuation: Evacuation,
    pub(super) health_by_service: BTreeMap<Service, ServiceHealth>,
}

/// State of one server.
#[derive(Clone, Debug)]
pub(super) struct PooledServer {
    pub(super) service: Service,
    pub(super) data_centre: DataCentre,
    pub(super) address: SocketAddr,
    pub(super) incarnation: Incarnation,
    pub(super) state: ServerState,
    pub(super) slots: u32,
    /// Requests of this entry at the server.
    pub(super) running: u32,
    /// Failures since the last success.
    pub(super) consecutive_failures: u32,
    /// Smoothed fraction of attempts that failed.
    pub(super) failure_rate: f64,
    pub(super) ejected_until: Instant,
    pub(super) full_until: Instant,
    /// Whether the server said in a response that it leaves.
    pub(super) is_leaving: bool,
    /// Whether the server's data centre is evacuated.
    pub(super) is_evacuated: bool,
    /// Until when the server wants no requests.
    pub(super) paused_until: Instant,
    /// Whether the directory reports the server as cold.
    is_cold: bool,
    /// Whether requests are limited because of that.
    is_limited_as_cold: bool,
    /// Limits the requests to the server, if it takes a limited rate.
    pub(super) limiter: Option<RateLimiter>,
    /// The gradual return after a time with few requests or none.
    pub(super) slow_start: Option<SlowStart>,
    /// Where the units of its slots are, see [`ServerPool::place_units`].
    pub(super) unit_offset: f64,
    /// When the server last responded or sent an event.
    pub(super) last_activity: Instant,
    /// Whether control reports the server as slow: its share of the work delays its whole group.
    pub(super) is_slow: bool,
    /// Until when the server's group counts as closed.
    pub(super) group_closed_until: Instant,
}

impl PooledServer {
    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        now < self.ejected_until
    }

    /// Utilisation of the server by this entry's requests, raised by its failure rate.
    pub(super) fn utilisation(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        (f64::from(self.running) + self.failure_rate * FAILURE_PENALTY_SLOTS) / slots
    }
}

impl ServerPool {
    /// Applies the directory entry of a server; removes the server if it has none.
    pub fn update_server(&mut self, now: Instant, name: &Server, status: Option<&ServerStatus>) {
        let Some(info) = status.map(|status| &status.info) else {
            self.servers.remove(name);
            return;
        };
        let is_evacuated = self.evacuation.covers(&info.data_centre);
        let pooled = self.servers.get_mut(name);
        match pooled.filter(|pooled| pooled.incarnation == info.incarnation) {
            Some(pooled) => {
                pooled.state = info.state;
                pooled.slots = info.slots;
                pooled.address = info.address;
                pooled.data_centre = info.data_centre.clone();
                pooled.set_evacuated(now, is_evacuated);
                pooled.is_cold = info.is_cold;
            }
            None => {
                let server = PooledServer {
                    service: info.service.clone(),
                    data_centre: info.data_centre.clone(),
                    address: info.address,
                    incarnation: info.incarnation,
                    state: info.state,
                    slots: info.slots,
                    running: 0,
                    consecutive_failures: 0,
                    failure_rate: 0.0,
                    ejected_until: Instant(0),
                    full_until: Instant(0),
                    is_leaving: self.leaving.contains(&(name.clone(), info.incarnation)),
                    is_evacuated,
                    paused_until: Instant(0),
                    is_cold: info.is_cold,
                    is_limited_as_cold: false,
                    limiter: None,
                    slow_start: None,
                    unit_offset: 0.5,
                    last_activity: now,
                    is_slow: false,
                    group_closed_until: Instant(0),
                };
                self.servers.insert(name.clone(), server);
                self.apply_limit(now, name);
            }
        }
    }

    /// Applies control's report of slow engines and closed groups.
    pub fn update_slow_engines(&mut self, now: Instant, slow_engines: &[SlowEngine]) {
        for server in self.servers.values_mut() {
            let engine = slow_engines
                .iter()
                .find(|engine| engine.address == server.address);
            let group_closed = engine.is_some_and(|engine| engine.group_closed);
            server.is_slow = engine.is_some() && !group_closed;
            server.group_closed_until = match group_closed {
                true => now + GROUP_CLOSED_TTL,
                false => now,
            };
        }
    }

    /// Whether new requests avoid a server because it is slow; none is avoided if too many are
    /// slow.
    pub fn is_avoided_as_slow(&self, now: Instant, name: &Server) -> bool {
        let Some(server) = self.servers.get(name) else {
            return false;
        };
        let available_count = self.available_servers(now, &server.service).count();
        let slow_count = self
            .available_servers(now, &server.service)
            .filter(|(_, s)| s.is_slow)
            .count();
        server.is_slow
            && available_count > 0
            && slow_count as f64 <= available_count as f64 * SLOW_FRACTION_MAX
    }

    /// Address of a server that runs requests now: it has not announced that it leaves, its data centre is
    /// not evacuated, its group is not closed, and no other incarnation has replaced it.
    pub fn active_address(
        &self,
        now: Instant,
        name: &Server,
        incarnation: Incarnation,
    ) -> Option<SocketAddr> {
        let server = self.servers.get(name)?;
        let is_active = server.incarnation == incarnation
            && server.state == ServerState::Up
            && !server.is_leaving
            && !server.is_evacuated
            && now >= server.group_closed_until;
        is_active.then_some(server.address)
    }

    /// Records that an incarnation of a server leaves; returns whether that is new.
    pub fn record_leaving(&mut self, name: &Server, incarnation: Incarnation) -> bool {
        let id = (name.clone(), incarnation);
        if self.leaving.contains(&id) {
            return false;
        }
        self.leaving.push_back(id);
        if self.leaving.len() > LEAVING_MAX {
            self.leaving.pop_front();
        }
        let server = self.servers.get_mut(name);
        if let Some(server) = server.filter(|server| server.incarnation == incarnation) {
            server.is_leaving = true;
        }
        true
    }

    /// Records that a server wants no requests for a time; returns whether it is in the pool.
    pub fn record_pause(
        &mut self,
        now: Instant,
        name: &Server,
        incarnation: Incarnation,
        pause: Duration,
    ) -> bool {
        let server = self.servers.get_mut(name);
        let Some(server) = server.filter(|server| server.incarnation == incarnation) else {
            return false;
        };
        server.paused_until = server.paused_until.max(now + pause);
        true
    }

    /// When the first server of a service wants requests again; none if one wants some now, or none is
    /// paused.
    pub fn all_paused_until(&self, now: Instant, service: &Service) -> Option<Instant> {
        let active = self.servers.values().filter(|server| {
            server.service == *service
                && server.state == ServerState::Up
                && !server.is_leaving
                && !server.is_evacuated
        });
        let pause_end = active.map(|server| server.paused_until).min()?;
        (now < pause_end).then_some(pause_end)
    }

    /// Names of the servers in the pool.
    pub fn server_names(&self) -> Vec<Server> {
        self.servers.keys().cloned().collect()
    }

    /// Whether a service has a server that accepts new requests.
    pub fn has_available_server(&self, now: Instant, service: &Service) -> bool {
        self.available_servers(now, service).next().is_some()
    }

    /// The capacity of the servers of a service that this entry may use.
    pub fn capacity(&self, now: Instant, service: &Service, allotment: &Allotment) -> Capacity {
        let servers: Vec<_> = self.available_servers(now, service).collect();
        let slot_limits = allotment.slot_limits(&servers);
        let mut capacity = Capacity::default();
        for ((_, server), slots) in servers.into_iter().zip(slot_limits) {
            capacity.has_servers = true;
            match &server.limiter {
                None => capacity.slots = capacity.slots.saturating_add(slots),
                Some(limiter) => capacity.limited.push((slots, limiter.rate())),
            }
        }
        capacity
    }

    /// Records that a request was sent.
    pub fn record_start(&mut self, now: Instant, name: &Server) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.running += 1;
        if let Some(limiter) = &mut server.limiter {
            limiter.take_token();
        }
        let health = self
            .health_by_service
            .entry(server.service.clone())
            .or_default();
        health.record_start(now);
    }

    /// Records progress of a request at a server.
    pub fn record_progress(&mut self, now: Instant, name: &Server) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.last_activity = now;
        if let Some(health) = self.health_by_service.get_mut(&server.service) {
            health.record_activity(now);
        }
    }

    /// Whether a server made no progress for `hang_timeout` while another one of its service did; a
    /// removed server counts as hung.
    pub fn is_hung(&self, now: Instant, name: &Server, hang_timeout: Duration) -> bool {
        let Some(server) = self.servers.get(name) else {
            return true;
        };
        let is_silent = |server: &PooledServer| now.since(server.last_activity) >= hang_timeout;
        let mut others = self
            .available_servers(now, &server.service)
            .filter(|(other, _)| *other != name);
        is_silent(server) && others.any(|(_, other)| !is_silent(other))
    }

    /// Records the end of an attempt; returns whether the server was ejected because of it.
    pub fn record_end(
        &mut self,
        now: Instant,
        name: &Server,
        incarnation: Incarnation,
        signal: HealthSignal,
    ) -> bool {
        let Some(server) = self.servers.get_mut(name) else {
            return false;
        };
        if server.incarnation != incarnation {
            return false;
        }
        server.running = server.running.saturating_sub(1);
        let failed = f64::from(u8::from(matches!(
            signal,
            HealthSignal::Failed | HealthSignal::Broken
        )));
        match signal {
            HealthSignal::Served | HealthSignal::Failed | HealthSignal::Broken => {
                server.failure_rate += (failed - server.failure_rate) * FAILURE_RATE_WEIGHT;
            }
            HealthSignal::Full | HealthSignal::Moved | HealthSignal::Unknown => {}
        }
        let health = self
            .health_by_service
            .entry(server.service.clone())
            .or_default();
        match signal {
            HealthSignal::Served | HealthSignal::Failed => health.record_activity(now),
            HealthSignal::Full | HealthSignal::Broken => health.record_failure(now),
            HealthSignal::Moved | HealthSignal::Unknown => {}
        }
        match signal {
            HealthSignal::Served => {
                server.consecutive_failures = 0;
                server.last_activity = now;
            }
            HealthSignal::Failed => server.last_activity = now,
            HealthSignal::Full => server.full_until = now + FULL_BACKOFF,
            HealthSignal::Broken | HealthSignal::Moved => {
                server.consecutive_failures += 1;
                let ejection =
                    EJECTION_MIN * 2_u32.saturating_pow((server.consecutive_failures - 1).min(8));
                server.ejected_until = now + ejection.min(EJECTION_MAX);
                return true;
            }
            HealthSignal::Unknown => {}
        }
        false
    }

    /// The servers of a service that are up and want requests, and whose data centre is not evacuated and
    /// group not closed.
    pub(super) fn available_servers<'a>(
        &'a self,
        now: Instant,
        service: &'a Service,
    ) -> impl Iterator<Item = (&'a Server, &'a PooledServer)> {
        let accepts_work = move |server: &PooledServer| {
            server.state == ServerState::Up
                && !server.is_leaving
                && !server.is_evacuated
                && now >= server.group_closed_until
                && now >= server.paused_until
        };
        let all = self.servers.iter();
        all.filter(move |(_, server)| server.service == *service && accepts_work(server))
    }
}
