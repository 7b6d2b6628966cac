//! Servers of the pool that take a limited rate of requests.

use std::collections::{BTreeMap, BTreeSet};

use eelgrassdyke_core::id::{Server, Service};
use eelgrassdyke_core::limit::{LimitLedger, LimitRecord, Share};
use eelgrassdyke_core::time::Instant;

use super::{PooledServer, ServerPool};
use crate::direct::cold::{ColdChange, ColdRate};
use crate::direct::limit::RateLimiter;
use crate::direct::slow_start::SlowStart;

impl PooledServer {
    /// Changes the limits of the server; a limiter without any is dropped.
    fn change_limiter(
        &mut self,
        now: Instant,
        name: &Server,
        change: impl FnOnce(&mut RateLimiter),
    ) {
        let limiter = self.limiter.take();
        let mut limiter = limiter.unwrap_or_else(|| RateLimiter::new(now, name));
        change(&mut limiter);
        self.limiter = limiter.has_limits().then_some(limiter);
    }
}

impl ServerPool {
    /// Records what a server said about the rate of requests that it takes; returns whether that is new.
    pub fn record_limit(&mut self, now: Instant, record: &LimitRecord) -> bool {
        let is_news = self.limits.merge(now, record);
        self.apply_limit(now, &record.server);
        is_news
    }

    /// Puts the limit that a server names in force, or ends it.
    pub(super) fn apply_limit(&mut self, now: Instant, name: &Server) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let limit = self.limits.limit(name, server.incarnation);
        server.change_limiter(now, name, |limiter| limiter.set_limit(limit));
    }

    /// Puts the cold rates of services in force: at the cold servers, or at all of them if `assumes_cold`.
    /// Returns the servers that the directory newly reports as cold, or no longer as cold.
    pub fn apply_cold_rates(
        &mut self,
        now: Instant,
        rates: &BTreeMap<Service, ColdRate>,
        assumes_cold: bool,
    ) -> Vec<ColdChange> {
        let mut changes = Vec::new();
        for (name, server) in &mut self.servers {
            let cold_rate = rates.get(&server.service).copied();
            let rate = cold_rate.filter(|_| server.is_cold || assumes_cold);
            // A server that is known to be cold may have got requests within the last second, also from an
            // earlier incarnation of this entry.
            let tokens = match server.is_cold {
                true => 0.0,
                false => 1.0,
            };
            server.change_limiter(now, name, |limiter| {
                limiter.set_cold_rate(now, rate, tokens)
            });
            let known_rate = cold_rate.filter(|_| server.is_cold);
            if known_rate.is_some() == server.is_limited_as_cold {
                continue;
            }
            server.is_limited_as_cold = known_rate.is_some();
            if !server.is_limited_as_cold {
                server.slow_start = Some(SlowStart::new(now));
            }
            changes.push(ColdChange {
                server: name.clone(),
                rate: known_rate,
            });
        }
        changes
    }

    /// Number of servers that the directory reports as cold and whose service has a cold rate.
    pub fn count_cold_servers(&self) -> usize {
        let servers = self.servers.values();
        servers.filter(|server| server.is_limited_as_cold).count()
    }

    /// Drops the records of limits that are too old to matter, and ends the limits.
    pub fn expire_limits(&mut self, now: Instant) {
        for name in self.limits.expire(now) {
            self.apply_limit(now, &name);
        }
    }

    /// Whether a server takes a limited rate of requests.
    pub fn is_limited(&self, name: &Server) -> bool {
        let server = self.servers.get(name);
        server.is_some_and(|server| server.limiter.is_some())
    }

    /// The limits of servers.
    pub fn limits(&mut self) -> &mut LimitLedger {
        &mut self.limits
    }

    /// The services of servers that take a limited rate of requests.
    pub fn limited_services(&self) -> BTreeSet<Service> {
        let servers = self.servers.values();
        let limited = servers.filter(|server| server.limiter.is_some());
        limited.map(|server| server.service.clone()).collect()
    }

    /// Adds the tokens for requests to limited servers of a service, of which this entry has `share`.
    pub fn refill(&mut self, now: Instant, service: &Service, share: impl FnOnce() -> Share) {
        let servers = self.servers.values_mut();
        let mut limiters = servers
            .filter(|server| server.service == *service)
            .filter_map(|server| server.limiter.as_mut())
            .peekable();
        if limiters.peek().is_none() {
            return;
        }
        let share = share();
        for limiter in limiters {
            limiter.refill(now, share);
        }
    }
}
