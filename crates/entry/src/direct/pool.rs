//! The servers of each service and where the next request goes.
//!
//! Each entry knows its own requests at a server and the number of entries, and keeps to its part of
//! the server's places. Servers that fail are left out for a while, longer each time, unless that
//! would leave out too many.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::follow::ServerStatus;
use eelgrassdyke_core::id::{Incarnation, Server, Service};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::directory::ServerState;
use eelgrassdyke_core::wire::rank::SlowEngine;
use rand::{Rng, RngExt as _};

/// Places that all entries together fill of each place that a server has: callers are spread
/// unevenly over the entries, and what is sent too much waits at the server for a moment.
const FILL: f64 = 1.3;

/// Shortest time for which a failing server is left out.
const OUT_MIN: Duration = Duration::from_millis(500);

/// Longest such time.
const OUT_MAX: Duration = Duration::from_secs(5);

/// Time for which a server that rejected a request as full gets no other.
const FULL: Duration = Duration::from_millis(100);

/// Failures in a row after which a service counts as stalled: more than a server or two are at fault.
const STALL_FAILURES: u32 = 3;

/// Time without a sign of life of any server after which a service counts as stalled: longer than the
/// steps of a group with a slow rank, which pass something on each 0.3 s.
const STALL_QUIET: Duration = Duration::from_millis(600);

/// Time between two requests to a stalled service: each one that is rejected costs the budget of further
/// attempts.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which an engine counts as closed after control last said so; control says it again each
/// second, and may itself be lost.
const CLOSED_MAX: Duration = Duration::from_millis(2500);

/// Part of a service's servers that may be left out.
const OUT_PART: f64 = 0.5;

/// Part of a service's servers that may be spared because they are slow.
const SLOW_PART: f64 = 0.34;

/// Weight of the newest attempt in a server's failure rate.
const RATE_WEIGHT: f64 = 0.1;

/// Places by which a server that fails every request counts as fuller than it is.
const FAILURE_PLACES: f64 = 8.0;

/// How an attempt ended, for the choice of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The server answered.
    Served,
    /// The server answered with a failure of its own.
    Failed,
    /// The server was full.
    Full,
    /// Nothing could be sent, or the answer broke off.
    Broken,
    /// The address belongs to another server.
    Moved,
    /// Nothing is known: the caller left, or time ran out.
    Unknown,
}

/// The servers known.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    servers: BTreeMap<Server, Standing>,
    pulses: BTreeMap<Service, Pulse>,
}

/// Whether the servers of a service do anything at all.
#[derive(Clone, Debug, Default)]
struct Pulse {
    /// When one of them last answered or sent an event.
    alive: Instant,
    /// Requests rejected or broken off since.
    failures: u32,
    /// When a stalled service is tried next.
    next_probe: Instant,
}

impl Pulse {
    fn is_stalled(&self, now: Instant) -> bool {
        self.failures >= STALL_FAILURES && now.since(self.alive) >= STALL_QUIET
    }

    fn note_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures == STALL_FAILURES {
            self.next_probe = now + PROBE_INTERVAL;
        }
    }

    fn revive(&mut self, now: Instant) {
        self.alive = now;
        self.failures = 0;
    }
}

/// One server.
#[derive(Clone, Debug)]
struct Standing {
    service: Service,
    address: SocketAddr,
    incarnation: Incarnation,
    state: ServerState,
    slots: u32,
    /// Requests of this entry at the server.
    running: u32,
    /// Failures since the last success.
    failures: u32,
    /// Smoothed part of the attempts that failed.
    rate: f64,
    out_until: Instant,
    full_until: Instant,
    /// When it last answered or sent an event.
    alive: Instant,
    /// Whether it is slower than published: what it works on holds up its whole group.
    slow: bool,
    /// Until when its group counts as not open.
    closed_until: Instant,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The server.
    pub server: Server,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Requests of this entry at the server, without this one.
    pub running: u32,
    /// Places at the server for this entry.
    pub places: u32,
}

impl Standing {
    fn is_out(&self, now: Instant) -> bool {
        now < self.out_until
    }

    /// How full the server is, by what this entry knows.
    fn fullness(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        (f64::from(self.running) + self.rate * FAILURE_PLACES) / slots
    }

    /// Places at the server for this entry.
    fn places(&self, entries: u32) -> u32 {
        let part = f64::from(self.slots) * FILL / f64::from(entries.max(1));
        part.ceil().max(1.0) as u32
    }
}

impl Pool {
    /// Takes in what the directory says of a server; none when it is gone.
    pub fn learn(&mut self, now: Instant, name: &Server, seen: Option<&ServerStatus>) {
        let Some(row) = seen.map(|seen| &seen.info) else {
            self.servers.remove(name);
            return;
        };
        let held = self.servers.get_mut(name);
        match held.filter(|held| held.incarnation == row.incarnation) {
            Some(held) => {
                held.state = row.state;
                held.slots = row.slots;
                held.address = row.address;
            }
            None => {
                let standing = Standing {
                    service: row.service.clone(),
                    address: row.address,
                    incarnation: row.incarnation,
                    state: row.state,
                    slots: row.slots,
                    running: 0,
                    failures: 0,
                    rate: 0.0,
                    out_until: Instant(0),
                    full_until: Instant(0),
                    alive: now,
                    slow: false,
                    closed_until: Instant(0),
                };
                self.servers.insert(name.clone(), standing);
            }
        }
    }

    /// Takes in which engines are slow now, and which are closed.
    pub fn note_slow(&mut self, now: Instant, slow: &[SlowEngine]) {
        for standing in self.servers.values_mut() {
            let told = slow.iter().find(|told| told.address == standing.address);
            let closed = told.is_some_and(|told| told.group_closed);
            standing.slow = told.is_some() && !closed;
            standing.closed_until = match closed {
                true => now + CLOSED_MAX,
                false => now,
            };
        }
    }

    /// Whether a server is spared because it is slow.
    pub fn is_spared(&self, now: Instant, server: &Server) -> bool {
        let Some(standing) = self.servers.get(server) else {
            return false;
        };
        let up = self.up(now, &standing.service).count();
        let slow = self
            .up(now, &standing.service)
            .filter(|(_, s)| s.slow)
            .count();
        standing.slow && slow as f64 <= up as f64 * SLOW_PART
    }

    /// Names of the servers known.
    pub fn names(&self) -> Vec<Server> {
        self.servers.keys().cloned().collect()
    }

    /// Whether a service has a server that takes new work.
    pub fn is_served(&self, now: Instant, service: &Service) -> bool {
        self.up(now, service).next().is_some()
    }

    /// Places of a service for this entry.
    pub fn places(&self, now: Instant, service: &Service, entries: u32) -> u32 {
        let places = self
            .up(now, service)
            .map(|(_, standing)| standing.places(entries));
        places.sum()
    }

    /// The server for the next request of a service, none while all places are taken.
    ///
    /// `passed_over` are servers that a request must not go to again.
    pub fn choose(
        &self,
        now: Instant,
        service: &Service,
        entries: u32,
        passed_over: &[Server],
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let pulse = self.pulses.get(service);
        if pulse.is_some_and(|pulse| pulse.is_stalled(now) && now < pulse.next_probe) {
            return None;
        }
        let up: Vec<_> = self.up(now, service).collect();
        let out = up.iter().filter(|(_, s)| s.is_out(now)).count();
        let heeds_out = (out as f64) <= up.len() as f64 * OUT_PART;
        let slow = up.iter().filter(|(_, s)| s.slow).count();
        let heeds_slow = (slow as f64) <= up.len() as f64 * SLOW_PART;
        let mut best: Option<(f64, Choice)> = None;
        for (name, standing) in up {
            let left_out = heeds_out && standing.is_out(now) || heeds_slow && standing.slow;
            let full = now < standing.full_until || standing.running >= standing.places(entries);
            if left_out || full || passed_over.contains(name) {
                continue;
            }
            // A random part of a place keeps entries from all choosing the same server.
            let spread = rng.random_range(0.0..1.0) / f64::from(standing.slots.max(1));
            let score = standing.fullness() + spread;
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                let choice = Choice {
                    server: name.clone(),
                    incarnation: standing.incarnation,
                    address: standing.address,
                    running: standing.running,
                    places: standing.places(entries),
                };
                best = Some((score, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Notes that a request was sent.
    pub fn began(&mut self, now: Instant, server: &Server) {
        let Some(standing) = self.servers.get_mut(server) else {
            return;
        };
        standing.running += 1;
        let pulse = self.pulses.entry(standing.service.clone()).or_default();
        if pulse.is_stalled(now) {
            pulse.next_probe = now + PROBE_INTERVAL;
        }
    }

    /// Notes that a server is at work on what it was sent.
    pub fn progressed(&mut self, now: Instant, server: &Server) {
        let Some(standing) = self.servers.get_mut(server) else {
            return;
        };
        standing.alive = now;
        if let Some(pulse) = self.pulses.get_mut(&standing.service) {
            pulse.revive(now);
        }
    }

    /// Whether a server has been silent while others of its service were not.
    pub fn hangs(&self, now: Instant, server: &Server, patience: Duration) -> bool {
        let Some(standing) = self.servers.get(server) else {
            return true;
        };
        let silent = |s: &Standing| now.since(s.alive) >= patience;
        let mut others = self
            .up(now, &standing.service)
            .filter(|(name, _)| *name != server);
        silent(standing) && others.any(|(_, other)| !silent(other))
    }

    /// Notes how an attempt ended; gives whether the server was left out because of it.
    pub fn ended(
        &mut self,
        now: Instant,
        server: &Server,
        incarnation: Incarnation,
        verdict: Verdict,
    ) -> bool {
        let Some(standing) = self.servers.get_mut(server) else {
            return false;
        };
        if standing.incarnation != incarnation {
            return false;
        }
        standing.running = standing.running.saturating_sub(1);
        let failed = f64::from(u8::from(matches!(
            verdict,
            Verdict::Failed | Verdict::Broken
        )));
        match verdict {
            Verdict::Served | Verdict::Failed | Verdict::Broken => {
                standing.rate += (failed - standing.rate) * RATE_WEIGHT;
            }
            Verdict::Full | Verdict::Moved | Verdict::Unknown => {}
        }
        let pulse = self.pulses.entry(standing.service.clone()).or_default();
        match verdict {
            Verdict::Served | Verdict::Failed => pulse.revive(now),
            Verdict::Full | Verdict::Broken => pulse.note_failure(now),
            Verdict::Moved | Verdict::Unknown => {}
        }
        match verdict {
            Verdict::Served => {
                standing.failures = 0;
                standing.alive = now;
            }
            Verdict::Failed => standing.alive = now,
            Verdict::Full => standing.full_until = now + FULL,
            Verdict::Broken | Verdict::Moved => {
                standing.failures += 1;
                let doubled = OUT_MIN * 2_u32.saturating_pow((standing.failures - 1).min(8));
                standing.out_until = now + doubled.min(OUT_MAX);
                return true;
            }
            Verdict::Unknown => {}
        }
        false
    }

    fn up<'a>(
        &'a self,
        now: Instant,
        service: &'a Service,
    ) -> impl Iterator<Item = (&'a Server, &'a Standing)> {
        let takes_work = move |standing: &Standing| {
            standing.state == ServerState::Up && now >= standing.closed_until
        };
        let all = self.servers.iter();
        all.filter(move |(_, standing)| standing.service == *service && takes_work(standing))
    }
}
