//! Servers of the pool that take a limited rate of requests.

use std::collections::BTreeSet;

use eelgrassdyke_core::id::{Server, Service};
use eelgrassdyke_core::limit::{LimitLedger, LimitRecord, Share};
use eelgrassdyke_core::time::Instant;

use super::ServerPool;
use crate::direct::limit::RateLimiter;

impl ServerPool {
    /// Records what a server said about the rate of requests that it takes; returns whether that is new.
    pub fn record_limit(&mut self, now: Instant, record: &LimitRecord) -> bool {
        let is_news = self.limits.merge(now, record);
        self.apply_limit(now, &record.server);
        is_news
    }

    /// Puts the limit of a server in force, or ends it.
    pub(super) fn apply_limit(&mut self, now: Instant, name: &Server) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let limit = self.limits.limit(name, server.incarnation);
        match (limit, &mut server.limiter) {
            (Some(limit), Some(limiter)) => limiter.set_limit(limit),
            (limit, limiter) => {
                *limiter = limit.and_then(|limit| RateLimiter::new(now, name, limit))
            }
        }
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
        server.is_some_and(|server| self.limits.limit(name, server.incarnation).is_some())
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
