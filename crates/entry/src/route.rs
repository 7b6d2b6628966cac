//! Selection of the server for an attempt.
//!
//! Servers are indexed by service, so the cost of a selection doesn't depend on their number. It
//! compares three candidates: a random server of the entry's own data centre, a random server of
//! all, and the server that probably has the longest prefix of the prompt in its cache. Random
//! sampling keeps entries with the same outdated load reports from all selecting the same server. A
//! server is ejected for a limited time after several consecutive failures, and returns with a slow
//! start.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::follow::ServerStatus;
use eelgrassdyke_core::id::{DataCentre, Incarnation, Server, Service, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::directory::{ServerLoad, ServerState};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use crate::affinity::PrefixAffinity;
use crate::evacuation::Evacuation;

/// Cost added to a server in another data centre, as a fraction of its slots.
const REMOTE_COST: f64 = 0.1;

/// Cost subtracted from a server that has the whole prompt cached, as a fraction of its slots.
const CACHE_HIT_DISCOUNT: f64 = 0.5;

/// Age at which a load report has half its weight.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);

/// Duration of the slow start of a server that is new or returns from ejection.
const SLOW_START: Duration = Duration::from_secs(10);

/// Fraction of its normal load that a server gets at the beginning of its slow start.
const SLOW_START_MIN: f64 = 0.1;

/// Consecutive failures after which a server is ejected.
const FAILURES_MAX: u32 = 3;

/// Duration of the first ejection; it doubles with each further one.
const EJECTION_BASE: Duration = Duration::from_secs(5);

/// Maximum number of doublings of the ejection time.
const EJECTION_DOUBLINGS_MAX: u32 = 4;

/// At most one in this many servers of a service, rounded up, may be ejected at once.
const EJECTED_DIVISOR: usize = 3;

/// Number of random samples that may hit ineligible servers before all servers are scanned.
const SAMPLES_MAX: u32 = 8;

/// Weight of a new sample in the smoothed time between tokens of a service.
const TOKEN_TIME_SMOOTHING: f64 = 0.02;

/// What the end of an attempt shows about the health of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The server responded.
    Responded,
    /// The server failed or became unreachable.
    Failed,
    /// Nothing: the attempt was cancelled or refused.
    Unknown,
}

/// The criteria of a selection.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The requested service.
    pub service: &'a Service,
    /// Servers on which the request has failed.
    pub failed_servers: &'a [Server],
    /// Block hashes of the prompt.
    pub prompt_blocks: &'a [u64],
}

/// The servers of one service that are up.
#[derive(Clone, Debug, Default)]
struct ServicePool {
    servers: Vec<Server>,
    local_servers: Vec<Server>,
    ejected_count: usize,
    /// Smoothed time between tokens.
    mean_token_us: f64,
}

/// State of one server as seen by this entry.
#[derive(Clone, Debug)]
struct TrackedServer {
    service: Service,
    incarnation: Incarnation,
    is_local: bool,
    slots: f64,
    load: ServerLoad,
    load_measured_at: Instant,
    /// Number of running attempts of this entry.
    own_running: u32,
    /// Number of attempts of this entry started since the last load report.
    started_since_load: u32,
    /// When the slow start began.
    ramp_start: Instant,
    consecutive_failures: u32,
    /// Number of ejections since the last response.
    ejections: u32,
    ejected_until: Option<Instant>,
}

/// An entry's view of the servers.
#[derive(Clone, Debug, Default)]
pub struct Router {
    pools: BTreeMap<Service, ServicePool>,
    servers: BTreeMap<Server, TrackedServer>,
    affinity: PrefixAffinity,
    evacuation: Evacuation,
    events: Vec<Event>,
}

impl Router {
    /// Puts a new set of evacuated data centres in force; returns the events of the change. The caller
    /// then applies the directory entries of all servers again.
    pub fn set_evacuation(&mut self, evacuation: Evacuation, version: Version) -> Vec<Event> {
        let changes = evacuation.changes_since(&self.evacuation, version);
        self.evacuation = evacuation;
        changes
    }

    /// Applies the directory entry of a server; removes the server if it has none, is not up or is in
    /// an evacuated data centre.
    pub fn update_server(
        &mut self,
        now: Instant,
        server: &Server,
        status: Option<&ServerStatus>,
        data_centre: &DataCentre,
    ) {
        let available = status.filter(|status| {
            let info = &status.info;
            info.state == ServerState::Up && !self.evacuation.covers(&info.data_centre)
        });
        let Some(status) = available else {
            self.remove_server(server);
            return;
        };
        let info = &status.info;
        let tracked = self.servers.get_mut(server);
        let unchanged = tracked.filter(|tracked| {
            tracked.incarnation == info.incarnation && tracked.service == info.service
        });
        if let Some(tracked) = unchanged {
            tracked.slots = f64::from(info.slots.max(1));
            self.record_load(server, status.load, status.load_measured_at);
            return;
        }
        self.remove_server(server);
        let pool = self.pools.entry(info.service.clone()).or_default();
        let is_local = info.data_centre == *data_centre;
        pool.servers.push(server.clone());
        if is_local {
            pool.local_servers.push(server.clone());
        }
        let tracked = TrackedServer {
            service: info.service.clone(),
            incarnation: info.incarnation,
            is_local,
            slots: f64::from(info.slots.max(1)),
            load: status.load,
            load_measured_at: status.load_measured_at,
            own_running: 0,
            started_since_load: 0,
            ramp_start: now,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: None,
        };
        self.servers.insert(server.clone(), tracked);
    }

    /// Names of the servers that are up.
    pub fn server_names(&self) -> Vec<Server> {
        self.servers.keys().cloned().collect()
    }

    /// Applies a load report, unless a newer one is known.
    pub fn record_load(&mut self, server: &Server, load: ServerLoad, measured_at: Instant) {
        let Some(tracked) = self.servers.get_mut(server) else {
            return;
        };
        if measured_at < tracked.load_measured_at
            || (measured_at == tracked.load_measured_at && load == tracked.load)
        {
            return;
        }
        tracked.load = load;
        tracked.load_measured_at = measured_at;
        tracked.started_since_load = 0;
        if let (Some(pool), 1..) = (self.pools.get_mut(&tracked.service), load.token_us) {
            let token_us = load.token_us as f64;
            match pool.mean_token_us > 0.0 {
                true => {
                    pool.mean_token_us += (token_us - pool.mean_token_us) * TOKEN_TIME_SMOOTHING
                }
                false => pool.mean_token_us = token_us,
            }
        }
    }

    /// Selects a server that is up and on which the request has not failed.
    pub fn choose_server(
        &mut self,
        now: Instant,
        query: RouteQuery<'_>,
        rng: &mut ChaCha8Rng,
    ) -> Option<Server> {
        let mut best: Option<(f64, Server)> = None;
        for prefer_local in [true, false] {
            let Some(server) = self.sample_server(now, query, prefer_local, rng) else {
                continue;
            };
            let cost = self.cost(now, &server);
            if best.as_ref().is_none_or(|(best_cost, _)| cost < *best_cost) {
                best = Some((cost, server));
            }
        }
        let Some((server, cached_fraction)) = self.affinity.longest_match(now, query.prompt_blocks)
        else {
            return best.map(|(_, server)| server);
        };
        let server = server.clone();
        if self.check_eligible(now, &server, query) {
            let cost = self.cost(now, &server) - CACHE_HIT_DISCOUNT * cached_fraction;
            if best.as_ref().is_none_or(|(best_cost, _)| cost < *best_cost) {
                return Some(server);
            }
        }
        best.map(|(_, server)| server)
    }

    /// Number of servers of a service that are up.
    pub fn server_count(&self, service: &Service) -> usize {
        self.pools.get(service).map_or(0, |pool| pool.servers.len())
    }

    /// Records the start of an attempt on `server`.
    pub fn record_start(&mut self, now: Instant, server: &Server, prompt_blocks: &[u64]) {
        if let Some(tracked) = self.servers.get_mut(server) {
            tracked.own_running += 1;
            tracked.started_since_load += 1;
        }
        self.affinity.record(now, prompt_blocks, server);
    }

    /// Records the end of an attempt on `server`.
    pub fn record_end(&mut self, now: Instant, server: &Server, result: AttemptResult) {
        let Some(tracked) = self.servers.get_mut(server) else {
            return;
        };
        tracked.own_running = tracked.own_running.saturating_sub(1);
        match result {
            AttemptResult::Unknown => {}
            AttemptResult::Responded => {
                tracked.consecutive_failures = 0;
                tracked.ejections = 0;
            }
            AttemptResult::Failed => {
                tracked.consecutive_failures += 1;
                if tracked.consecutive_failures >= FAILURES_MAX {
                    self.eject(now, server);
                }
            }
        }
    }

    /// Records how many tokens of a prompt a server had in its cache; if none, the prompt loses its
    /// affinity to the server.
    pub fn record_cached_tokens(
        &mut self,
        server: &Server,
        prompt_blocks: &[u64],
        cached_tokens: u64,
    ) {
        if cached_tokens == 0 {
            self.affinity.invalidate(prompt_blocks, server);
        }
    }

    /// Returns and clears the recorded ejection events.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    fn remove_server(&mut self, server: &Server) {
        let Some(tracked) = self.servers.remove(server) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&tracked.service) else {
            return;
        };
        pool.servers.retain(|name| name != server);
        pool.local_servers.retain(|name| name != server);
        pool.ejected_count -= usize::from(tracked.ejected_until.is_some());
        if pool.servers.is_empty() {
            self.pools.remove(&tracked.service);
        }
    }

    /// Samples an eligible server, from the entry's own data centre if `prefer_local` is set and
    /// the service has servers there.
    fn sample_server(
        &mut self,
        now: Instant,
        query: RouteQuery<'_>,
        prefer_local: bool,
        rng: &mut ChaCha8Rng,
    ) -> Option<Server> {
        for _ in 0..SAMPLES_MAX {
            let pool = self.pools.get(query.service)?;
            let candidates = match prefer_local && !pool.local_servers.is_empty() {
                true => &pool.local_servers,
                false => &pool.servers,
            };
            let server = candidates[rng.random_range(0..candidates.len())].clone();
            if self.check_eligible(now, &server, query) {
                return Some(server);
            }
        }
        self.scan_servers(now, query, rng)
    }

    /// Returns the first eligible server from a random start, or else an ejected one.
    fn scan_servers(
        &mut self,
        now: Instant,
        query: RouteQuery<'_>,
        rng: &mut ChaCha8Rng,
    ) -> Option<Server> {
        let servers = self.pools.get(query.service)?.servers.clone();
        let start = rng.random_range(0..servers.len());
        let mut ejected = None;
        for offset in 0..servers.len() {
            let server = &servers[(start + offset) % servers.len()];
            if self.check_eligible(now, server, query) {
                return Some(server.clone());
            }
            if !query.failed_servers.contains(server) {
                ejected.get_or_insert_with(|| server.clone());
            }
        }
        ejected
    }

    /// Whether a server may be selected; ends its ejection if the ejection time is over.
    fn check_eligible(&mut self, now: Instant, server: &Server, query: RouteQuery<'_>) -> bool {
        let Some(tracked) = self.servers.get_mut(server) else {
            return false;
        };
        if tracked.service != *query.service || query.failed_servers.contains(server) {
            return false;
        }
        let Some(ejected_until) = tracked.ejected_until else {
            return true;
        };
        if now < ejected_until {
            return false;
        }
        tracked.ejected_until = None;
        tracked.consecutive_failures = 0;
        tracked.ramp_start = now;
        if let Some(pool) = self.pools.get_mut(&tracked.service) {
            pool.ejected_count -= 1;
        }
        let event = Event::new(Code::ServerReturned, "ejection ended");
        self.events.push(event.server(server));
        true
    }

    fn eject(&mut self, now: Instant, server: &Server) {
        let Some(tracked) = self.servers.get_mut(server) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&tracked.service) else {
            return;
        };
        // A fault that hits most servers has a common cause, so the number of ejections is limited.
        let ejected_max = pool.servers.len().div_ceil(EJECTED_DIVISOR);
        let is_only_server = pool.servers.len() < 2;
        if tracked.ejected_until.is_some() || pool.ejected_count >= ejected_max || is_only_server {
            return;
        }
        let doublings = tracked.ejections.min(EJECTION_DOUBLINGS_MAX);
        let ejection = EJECTION_BASE * 2_u32.pow(doublings);
        tracked.ejections += 1;
        tracked.ejected_until = Some(now + ejection);
        pool.ejected_count += 1;
        let detail = format!("{} consecutive failures", tracked.consecutive_failures);
        let event = Event::new(Code::ServerEjected, detail);
        self.events.push(event.server(server));
    }

    /// Expected load relative to the server's slots, weighted by slowness, slow start and distance.
    fn cost(&self, now: Instant, server: &Server) -> f64 {
        let Some(tracked) = self.servers.get(server) else {
            return f64::MAX;
        };
        let load_age_s = now.since(tracked.load_measured_at).as_secs_f64();
        let load_weight = 0.5_f64.powf(load_age_s / REPORT_HALF_LIFE.as_secs_f64());
        let reported = f64::from(tracked.load.running + tracked.load.queued);
        let expected = reported * load_weight + f64::from(tracked.started_since_load);
        let expected_load = expected.max(f64::from(tracked.own_running)) + 1.0;
        let mean_token_us = self
            .pools
            .get(&tracked.service)
            .map_or(0.0, |pool| pool.mean_token_us);
        let slowness = match mean_token_us > 0.0 && tracked.load.token_us > 0 {
            true => (tracked.load.token_us as f64 / mean_token_us).max(1.0),
            false => 1.0,
        };
        let ramp_progress = now.since(tracked.ramp_start).as_secs_f64() / SLOW_START.as_secs_f64();
        let ramp = ramp_progress.clamp(SLOW_START_MIN, 1.0);
        let remote_cost = match tracked.is_local {
            true => 0.0,
            false => REMOTE_COST,
        };
        expected_load / tracked.slots * slowness / ramp + remote_cost
    }
}
