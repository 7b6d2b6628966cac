//! The slow engines, as announced by the coordinators of the groups.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::id::Process;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::rank::SlowEngine;

/// Time for which an announcement holds if its sender sends no further one.
const ANNOUNCEMENT_AGE_MAX: Duration = Duration::from_secs(2);

/// The last announcement of each coordinator.
#[derive(Clone, Debug, Default)]
pub struct SlowEngines {
    by_sender: BTreeMap<Process, (Instant, Vec<SlowEngine>)>,
}

impl SlowEngines {
    /// Records an announcement, which replaces the last one of the same sender.
    pub fn record(&mut self, now: Instant, sender: &Process, engines: Vec<SlowEngine>) {
        self.by_sender.insert(sender.clone(), (now, engines));
    }

    /// Whether the last announcement of a sender names any engine.
    pub fn has_announced(&self, sender: &Process) -> bool {
        let announced = self.by_sender.get(sender);
        announced.is_some_and(|(_, engines)| !engines.is_empty())
    }

    /// All engines in announcements that still hold, sorted by address. If two coordinators announced the
    /// same engine, because its group was reassigned, the later announcement counts.
    pub fn merged(&mut self, now: Instant) -> Vec<SlowEngine> {
        self.by_sender
            .retain(|_, (at, _)| now.since(*at) < ANNOUNCEMENT_AGE_MAX);
        let mut by_address: BTreeMap<SocketAddr, (Instant, &SlowEngine)> = BTreeMap::new();
        for (at, engines) in self.by_sender.values() {
            for engine in engines {
                let known = by_address.get(&engine.address);
                if known.is_none_or(|(known_at, _)| at > known_at) {
                    by_address.insert(engine.address, (*at, engine));
                }
            }
        }
        let engines = by_address.into_values();
        engines.map(|(_, engine)| engine.clone()).collect()
    }
}
