//! Chooses the server of an attempt.
//!
//! Servers are indexed by service, so that a choice looks at three of them however many there are:
//! one drawn from the entry's own data centre, one drawn from all, and the one that probably holds
//! the prompt's beginning in its cache. The random draws keep entries that see the same old load
//! reports from all picking the same server. A server that fails several attempts in a row gets no
//! more for a while; one that comes back starts slowly.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::follow::ServerStatus;
use eelgrassdyke_core::id::{DataCentre, Incarnation, Server, Service};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::directory::{ServerLoad, ServerState};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use crate::affinity::Affinity;

/// Added to the cost of a server in another data centre, as a part of its slots.
const REMOTE_COST: f64 = 0.1;

/// Taken off the cost of a server that holds the whole prompt, as a part of its slots.
const CACHED_GAIN: f64 = 0.5;

/// Age at which a load report counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);

/// Time in which a server that came back reaches its full part.
const SLOW_START: Duration = Duration::from_secs(10);

/// Part that a server gets when it has just come back.
const SLOW_START_LEAST: f64 = 0.1;

/// Failed attempts in a row that eject a server.
const FAILURES_MAX: u32 = 3;

/// Length of a first ejection; each further one lasts twice as long.
const EJECTION: Duration = Duration::from_secs(5);

/// Doublings of an ejection at most.
const EJECTION_DOUBLINGS_MAX: u32 = 4;

/// Servers of a service that may be ejected at once, as a divisor of all.
const EJECTED_DIVISOR: usize = 3;

/// Draws that may meet a server which can't be taken, before all are looked at.
const DRAWS_MAX: u32 = 8;

/// Weight of a new reading in a service's time between tokens.
const TOKEN_TIME_SMOOTHING: f64 = 0.02;

/// What an attempt tells about its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The server answered.
    Answered,
    /// The server failed or went away.
    Failed,
    /// Nothing.
    Unknown,
}

/// What a choice is made for.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a Service,
    /// Servers that failed the request.
    pub tried: &'a [Server],
    /// The blocks of the prompt.
    pub blocks: &'a [u64],
}

/// The servers of one service that are up.
#[derive(Clone, Debug, Default)]
struct Pool {
    all: Vec<Server>,
    local: Vec<Server>,
    ejected: usize,
    token_us: f64,
}

/// One server as this entry sees it.
#[derive(Clone, Debug)]
struct Peer {
    service: Service,
    incarnation: Incarnation,
    local: bool,
    slots: f64,
    load: ServerLoad,
    load_at: Instant,
    /// Own attempts in progress.
    own: u32,
    /// Own attempts started since the load was reported.
    started: u32,
    since: Instant,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

/// An entry's view of the servers.
#[derive(Clone, Debug, Default)]
pub struct Router {
    pools: BTreeMap<Service, Pool>,
    peers: BTreeMap<Server, Peer>,
    affinity: Affinity,
    events: Vec<Event>,
}

impl Router {
    /// Takes over the directory's word on one server.
    pub fn learn(
        &mut self,
        now: Instant,
        server: &Server,
        seen: Option<&ServerStatus>,
        home: &DataCentre,
    ) {
        let up = seen.filter(|seen| seen.info.state == ServerState::Up);
        let Some(seen) = up else {
            self.forget(server);
            return;
        };
        let row = &seen.info;
        let held = self.peers.get_mut(server);
        let same = held.filter(|p| p.incarnation == row.incarnation && p.service == row.service);
        if let Some(peer) = same {
            peer.slots = f64::from(row.slots.max(1));
            self.report(server, seen.load, seen.load_measured_at);
            return;
        }
        self.forget(server);
        let pool = self.pools.entry(row.service.clone()).or_default();
        let local = row.data_centre == *home;
        pool.all.push(server.clone());
        if local {
            pool.local.push(server.clone());
        }
        let peer = Peer {
            service: row.service.clone(),
            incarnation: row.incarnation,
            local,
            slots: f64::from(row.slots.max(1)),
            load: seen.load,
            load_at: seen.load_measured_at,
            own: 0,
            started: 0,
            since: now,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        };
        self.peers.insert(server.clone(), peer);
    }

    /// The servers known to be up.
    pub fn names(&self) -> Vec<Server> {
        self.peers.keys().cloned().collect()
    }

    /// Takes in a load report, unless a newer one is held.
    pub fn report(&mut self, server: &Server, load: ServerLoad, at: Instant) {
        let Some(peer) = self.peers.get_mut(server) else {
            return;
        };
        if at < peer.load_at || (at == peer.load_at && load == peer.load) {
            return;
        }
        peer.load = load;
        peer.load_at = at;
        peer.started = 0;
        if let (Some(pool), 1..) = (self.pools.get_mut(&peer.service), load.token_us) {
            let token_us = load.token_us as f64;
            match pool.token_us > 0.0 {
                true => pool.token_us += (token_us - pool.token_us) * TOKEN_TIME_SMOOTHING,
                false => pool.token_us = token_us,
            }
        }
    }

    /// Chooses a server that is up and was not tried.
    pub fn choose(
        &mut self,
        now: Instant,
        query: Query<'_>,
        rng: &mut ChaCha8Rng,
    ) -> Option<Server> {
        let mut best: Option<(f64, Server)> = None;
        for local in [true, false] {
            let Some(server) = self.draw(now, query, local, rng) else {
                continue;
            };
            let cost = self.cost(now, &server);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, server));
            }
        }
        let Some((server, part)) = self.affinity.find(now, query.blocks) else {
            return best.map(|(_, server)| server);
        };
        let server = server.clone();
        if self.fits(now, &server, query) {
            let cost = self.cost(now, &server) - CACHED_GAIN * part;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                return Some(server);
            }
        }
        best.map(|(_, server)| server)
    }

    /// Servers of a service that are up.
    pub fn servers(&self, service: &Service) -> usize {
        self.pools.get(service).map_or(0, |pool| pool.all.len())
    }

    /// Counts an attempt that starts on `server`.
    pub fn started(&mut self, now: Instant, server: &Server, blocks: &[u64]) {
        if let Some(peer) = self.peers.get_mut(server) {
            peer.own += 1;
            peer.started += 1;
        }
        self.affinity.note(now, blocks, server);
    }

    /// Counts an attempt that ended on `server`.
    pub fn ended(&mut self, now: Instant, server: &Server, verdict: Verdict) {
        let Some(peer) = self.peers.get_mut(server) else {
            return;
        };
        peer.own = peer.own.saturating_sub(1);
        match verdict {
            Verdict::Unknown => {}
            Verdict::Answered => {
                peer.failures = 0;
                peer.ejections = 0;
            }
            Verdict::Failed => {
                peer.failures += 1;
                if peer.failures >= FAILURES_MAX {
                    self.eject(now, server);
                }
            }
        }
    }

    /// Takes in what an answer says of the cache.
    pub fn verify(&mut self, server: &Server, blocks: &[u64], cached: u64) {
        if cached == 0 {
            self.affinity.correct(blocks, server);
        }
    }

    /// What happened to servers since the last time.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    fn forget(&mut self, server: &Server) {
        let Some(peer) = self.peers.remove(server) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&peer.service) else {
            return;
        };
        pool.all.retain(|name| name != server);
        pool.local.retain(|name| name != server);
        pool.ejected -= usize::from(peer.ejected_until.is_some());
        if pool.all.is_empty() {
            self.pools.remove(&peer.service);
        }
    }

    /// Draws a server at random, from the own data centre if asked for and possible.
    fn draw(
        &mut self,
        now: Instant,
        query: Query<'_>,
        local: bool,
        rng: &mut ChaCha8Rng,
    ) -> Option<Server> {
        for _ in 0..DRAWS_MAX {
            let pool = self.pools.get(query.service)?;
            let drawn = match local && !pool.local.is_empty() {
                true => &pool.local,
                false => &pool.all,
            };
            let server = drawn[rng.random_range(0..drawn.len())].clone();
            if self.fits(now, &server, query) {
                return Some(server);
            }
        }
        self.look(now, query, rng)
    }

    /// Takes the first server from a random place that fits, else one that is ejected.
    fn look(&mut self, now: Instant, query: Query<'_>, rng: &mut ChaCha8Rng) -> Option<Server> {
        let all = self.pools.get(query.service)?.all.clone();
        let first = rng.random_range(0..all.len());
        let mut ejected = None;
        for at in 0..all.len() {
            let server = &all[(first + at) % all.len()];
            if self.fits(now, server, query) {
                return Some(server.clone());
            }
            if !query.tried.contains(server) {
                ejected.get_or_insert_with(|| server.clone());
            }
        }
        ejected
    }

    /// Whether a server may be chosen; ends an ejection that has lasted long enough.
    fn fits(&mut self, now: Instant, server: &Server, query: Query<'_>) -> bool {
        let Some(peer) = self.peers.get_mut(server) else {
            return false;
        };
        if peer.service != *query.service || query.tried.contains(server) {
            return false;
        }
        let Some(until) = peer.ejected_until else {
            return true;
        };
        if now < until {
            return false;
        }
        peer.ejected_until = None;
        peer.failures = 0;
        peer.since = now;
        if let Some(pool) = self.pools.get_mut(&peer.service) {
            pool.ejected -= 1;
        }
        let event = Event::new(Code::ServerReturned, "ejection over");
        self.events.push(event.server(server));
        true
    }

    fn eject(&mut self, now: Instant, server: &Server) {
        let Some(peer) = self.peers.get_mut(server) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&peer.service) else {
            return;
        };
        // The ceiling: a fault that hits most servers is not theirs.
        let most = pool.all.len().div_ceil(EJECTED_DIVISOR);
        let alone = pool.all.len() < 2;
        if peer.ejected_until.is_some() || pool.ejected >= most || alone {
            return;
        }
        let doublings = peer.ejections.min(EJECTION_DOUBLINGS_MAX);
        let length = EJECTION * 2_u32.pow(doublings);
        peer.ejections += 1;
        peer.ejected_until = Some(now + length);
        pool.ejected += 1;
        let detail = format!("{} failures in a row", peer.failures);
        let event = Event::new(Code::ServerEjected, detail);
        self.events.push(event.server(server));
    }

    /// Expected load as a part of the server's slots, weighed by what else speaks against it.
    fn cost(&self, now: Instant, server: &Server) -> f64 {
        let Some(peer) = self.peers.get(server) else {
            return f64::MAX;
        };
        let age = now.since(peer.load_at).as_secs_f64();
        let trust = 0.5_f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
        let reported = f64::from(peer.load.running + peer.load.queued);
        let expected = reported * trust + f64::from(peer.started);
        let open = expected.max(f64::from(peer.own)) + 1.0;
        let pool_us = self.pools.get(&peer.service).map_or(0.0, |p| p.token_us);
        let slowness = match pool_us > 0.0 && peer.load.token_us > 0 {
            true => (peer.load.token_us as f64 / pool_us).max(1.0),
            false => 1.0,
        };
        let up = now.since(peer.since).as_secs_f64() / SLOW_START.as_secs_f64();
        let ramp = up.clamp(SLOW_START_LEAST, 1.0);
        let remote = match peer.local {
            true => 0.0,
            false => REMOTE_COST,
        };
        open / peer.slots * slowness / ramp + remote
    }
}
