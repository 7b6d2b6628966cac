//! Chooses the server of an attempt.
//!
//! Two candidates are drawn at random and the less loaded one is taken, so that entries which see
//! the same old load reports don't all pick the same server.

use std::collections::BTreeMap;

use eelgrassdyke_core::follow::Seen;
use eelgrassdyke_core::id::{DataCentre, Server, Service};
use eelgrassdyke_core::wire::directory::State;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

/// Added to the load of a server in another data centre, as a part of its slots.
const REMOTE_COST: f64 = 0.25;

/// An entry's view of its own work on the servers.
#[derive(Clone, Debug, Default)]
pub struct Router {
    running: BTreeMap<Server, u32>,
}

impl Router {
    /// Chooses a server of `service` that is up and not in `tried`.
    pub fn choose(
        &self,
        servers: &BTreeMap<Server, Seen>,
        service: &Service,
        home: &DataCentre,
        tried: &[Server],
        rng: &mut ChaCha8Rng,
    ) -> Option<Server> {
        let mut candidates = Vec::new();
        for (name, seen) in servers {
            if seen.row.service != *service || seen.row.state != State::Up {
                continue;
            }
            if tried.contains(name) {
                continue;
            }
            candidates.push(seen);
        }
        if candidates.is_empty() {
            return None;
        }
        let one = candidates[rng.random_range(0..candidates.len())];
        let two = candidates[rng.random_range(0..candidates.len())];
        let better = match self.cost(one, home) <= self.cost(two, home) {
            true => one,
            false => two,
        };
        Some(better.row.server.clone())
    }

    /// Counts an attempt that starts on `server`.
    pub fn started(&mut self, server: &Server) {
        *self.running.entry(server.clone()).or_default() += 1;
    }

    /// Counts an attempt that ended on `server`.
    pub fn ended(&mut self, server: &Server) {
        let Some(count) = self.running.get_mut(server) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.running.remove(server);
        }
    }

    /// Expected load as a part of the server's slots.
    fn cost(&self, seen: &Seen, home: &DataCentre) -> f64 {
        let own = self
            .running
            .get(&seen.row.server)
            .copied()
            .unwrap_or_default();
        let reported = seen.load.running + seen.load.queued;
        let slots = f64::from(seen.row.slots.max(1));
        let remote = match seen.row.data_centre == *home {
            true => 0.0,
            false => REMOTE_COST,
        };
        f64::from(own.max(reported)) / slots + remote
    }
}
