//! The selection of a server for a request.

use std::net::SocketAddr;

use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::{Incarnation, Server, Service};
use eelgrassdyke_core::time::Instant;
use rand::{Rng, RngExt as _};

use super::limit::RateLimiter;
use super::pool::{SLOW_FRACTION_MAX, ServerPool};
use super::slots::Allotment;

/// Maximum fraction of the servers of a service that may be ejected.
const EJECTED_FRACTION_MAX: f64 = 0.5;

/// The server selected for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerChoice {
    /// The server.
    pub server: Server,
    /// Incarnation of the server.
    pub incarnation: Incarnation,
    /// Address for requests.
    pub address: SocketAddr,
    /// Requests of this entry at the server, excluding the new one.
    pub running: u32,
    /// Number of slots that this entry may use at the server.
    pub slot_limit: u32,
}

impl ServerPool {
    /// Selects the server for the next request of a service; none if no server has a free slot.
    ///
    /// `excluded_servers` must not be selected. With an `affinity`, all entries prefer the same server,
    /// another one for each text.
    pub fn choose_server(
        &self,
        now: Instant,
        service: &Service,
        allotment: &Allotment,
        excluded_servers: &[Server],
        affinity: Option<&str>,
        rng: &mut impl Rng,
    ) -> Option<ServerChoice> {
        let health = self.health_by_service.get(service);
        if health.is_some_and(|health| health.blocks_requests(now)) {
            return None;
        }
        let available: Vec<_> = self.available_servers(now, service).collect();
        let slot_limits = allotment.slot_limits(&available);
        let ejected_count = available.iter().filter(|(_, s)| s.is_ejected(now)).count();
        let skips_ejected = (ejected_count as f64) <= available.len() as f64 * EJECTED_FRACTION_MAX;
        let slow_count = available.iter().filter(|(_, s)| s.is_slow).count();
        let skips_slow = (slow_count as f64) <= available.len() as f64 * SLOW_FRACTION_MAX;
        let mut best: Option<(f64, ServerChoice)> = None;
        for ((name, server), slot_limit) in available.into_iter().zip(slot_limits) {
            let is_skipped =
                skips_ejected && server.is_ejected(now) || skips_slow && server.is_slow;
            let has_token = server.limiter.as_ref().is_none_or(RateLimiter::has_token);
            let is_full = now < server.full_until || server.running >= slot_limit || !has_token;
            if is_skipped || is_full || excluded_servers.contains(name) {
                continue;
            }
            // A random fraction of a slot keeps entries from all selecting the same server.
            let jitter = rng.random_range(0.0..1.0) / f64::from(server.slots.max(1));
            let score = match affinity {
                None => {
                    let factor = match &server.limiter {
                        Some(limiter) => limiter.load_factor(),
                        None => allotment.load_factor(server, slot_limit),
                    };
                    let slow_start = server.slow_start.map_or(1.0, |start| start.factor(now));
                    (server.utilisation() + jitter) * factor * slow_start
                }
                Some(text) => rendezvous_score(text, name),
            };
            if best
                .as_ref()
                .is_none_or(|(best_score, _)| score < *best_score)
            {
                let choice = ServerChoice {
                    server: name.clone(),
                    incarnation: server.incarnation,
                    address: server.address,
                    running: server.running,
                    slot_limit,
                };
                best = Some((score, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }
}

/// Score of a server in rendezvous hashing, from 0 to 1.
fn rendezvous_score(text: &str, server: &Server) -> f64 {
    let hash = Sha256::of(format!("{text} {server}").as_bytes());
    hash.first_128_bits().0 as f64 / u64::MAX as f64
}
