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
use eelgrassdyke_core::wire::report::{Counts, PAGE_ROWS_MAX, Page, Row, Side};

/// Silence after which a life that did not close its books counts as dead.
const DEAD: Duration = Duration::from_secs(15);

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

    /// Everything held, as pages that another control process can take in.
    ///
    /// A page says that its life is closed only where it is the last one.
    pub fn pages(&self) -> Vec<Page> {
        let mut pages = Vec::new();
        for ((process, incarnation, side), held) in &self.lives {
            let rows: Vec<Row> = held
                .rows
                .iter()
                .map(|((team, service), counts)| Row {
                    team: team.clone(),
                    service: service.clone(),
                    counts: counts.clone(),
                })
                .collect();
            let count = rows.len().div_ceil(PAGE_ROWS_MAX);
            for (at, rows) in rows.chunks(PAGE_ROWS_MAX).enumerate() {
                pages.push(Page {
                    process: process.clone(),
                    incarnation: *incarnation,
                    side: *side,
                    after: 0,
                    sequence: held.sequence,
                    rows: rows.to_vec(),
                    closed: held.closed && at + 1 == count,
                });
            }
        }
        pages
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
