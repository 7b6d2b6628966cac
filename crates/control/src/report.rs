//! Who got what: the books of all processes, put together.
//!
//! Counters are cumulative over one life of a process. Pages of one life merge by maximum, so that a
//! page that arrives twice counts once; lives add up. What a life that never closed its books had
//! open shows as uncertain.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::data;
use eelgrassdyke_core::id::{Incarnation, Process, Service, Team};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::report::{Counts, Page, Side};

/// Silence after which a life that did not close its books counts as dead.
const DEAD: Duration = Duration::from_secs(10);

type Life = (Process, Incarnation, Side);

data! {
    /// What one team got of one service.
    #[derive(Eq)]
    pub struct Line {
        /// The team.
        pub team: Team,
        /// The service.
        pub service: Service,
        /// What entries counted.
        pub delivered: Counts,
        /// What agents counted.
        pub ran: Counts,
        /// Requests that dead processes had on their books when last heard.
        pub uncertain: u64,
    }
}

#[derive(Clone, Debug, Default)]
struct Held {
    rows: BTreeMap<(Team, Service), Counts>,
    sequence: u64,
    closed: bool,
    heard: Instant,
}

/// Books by life of a process.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    lives: BTreeMap<Life, Held>,
}

impl Ledger {
    /// Takes in a page.
    pub fn hear(&mut self, now: Instant, page: &Page) {
        let life = (page.process.clone(), page.incarnation, page.side);
        let held = self.lives.entry(life).or_default();
        held.heard = now;
        held.closed |= page.closed;
        held.sequence = held.sequence.max(page.sequence);
        for row in &page.rows {
            let account = (row.team.clone(), row.service.clone());
            held.rows.entry(account).or_default().merge_max(&row.counts);
        }
    }

    /// The report, a line for each team and service.
    pub fn lines(&self, now: Instant) -> Vec<Line> {
        let mut lines: BTreeMap<(Team, Service), Line> = BTreeMap::new();
        for ((_, _, side), held) in &self.lives {
            let dead = !held.closed && now.since(held.heard) >= DEAD;
            for ((team, service), counts) in &held.rows {
                let account = (team.clone(), service.clone());
                let line = lines.entry(account).or_insert_with(|| Line {
                    team: team.clone(),
                    service: service.clone(),
                    delivered: Counts::default(),
                    ran: Counts::default(),
                    uncertain: 0,
                });
                match side {
                    Side::Delivered => line.delivered.add(counts),
                    Side::Ran => line.ran.add(counts),
                }
                if dead && *side == Side::Delivered {
                    line.uncertain += counts.open;
                }
            }
        }
        lines.into_values().collect()
    }
}
