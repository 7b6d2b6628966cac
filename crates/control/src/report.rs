//! Who got what: the books of all processes, put together.
//!
//! Counters are cumulative over one life of a process. Pages of one life merge by maximum, so that a
//! page that arrives twice counts once; lives add up. What a life that never closed its books had
//! open shows as uncertain, and so does what it may have taken in after its last page: what it took in
//! between two pages before, doubled, as a page may be lost with its process.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::books::PAGE_INTERVAL;
use eelgrassdyke_core::data;
use eelgrassdyke_core::id::{Incarnation, Process, Service, Team};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::report::{
    PAGE_ROWS_MAX, ReportPage, ReportSource, UsageCounts, UsageRow,
};

/// Intervals of pages within which a team must have asked for its requests to count as under way when
/// the process died.
const RECENT_PAGES: u32 = 3;

/// Intervals that a dying process may leave unreported: the one it is in, and one whose page is lost.
const UNREPORTED_PAGES: u64 = 2;

/// Silence after which a life that did not close its books counts as dead.
const DEAD: Duration = Duration::from_secs(15);

type Life = (Process, Incarnation, ReportSource);

data! {
    /// What one team got of one service.
    #[derive(Eq)]
    pub struct Line {
        /// The team.
        pub team: Team,
        /// The service.
        pub service: Service,
        /// What entries counted.
        pub delivered: UsageCounts,
        /// What agents counted.
        pub ran: UsageCounts,
        /// Requests that dead processes had on their books when last heard, and those that they may have
        /// taken in since.
        pub uncertain: u64,
    }
}

/// What one life counted for one team and service.
#[derive(Clone, Debug, Default)]
struct Account {
    counts: UsageCounts,
    /// Most requests taken in between two pages lately.
    burst: u64,
    /// When it last took in any.
    asked_at: Instant,
}

impl Account {
    /// Takes in a reading, `pages` intervals after the page before it; none when it is the first that
    /// this process hears of the life, which may hold any time and tells no rate.
    fn hear(&mut self, now: Instant, counts: &UsageCounts, pages: Option<f64>) {
        let before = self.counts.received;
        self.counts.merge_max(counts);
        let more = self.counts.received - before;
        let Some(pages) = pages.filter(|_| more > 0) else {
            return;
        };
        let by_page = (more as f64 / pages.max(1.0)).ceil() as u64;
        // What was long ago says little of the rate now.
        self.burst = by_page.max(self.burst / 2);
        self.asked_at = now;
    }

    /// Requests that a life last heard at `heard` may have taken in after that.
    fn unreported(&self, heard: Instant) -> u64 {
        match heard.since(self.asked_at) <= PAGE_INTERVAL * RECENT_PAGES {
            true => self.burst * UNREPORTED_PAGES,
            false => 0,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Held {
    rows: BTreeMap<(Team, Service), Account>,
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
    pub fn hear(&mut self, now: Instant, page: &ReportPage) {
        let life = (page.process.clone(), page.incarnation, page.source);
        let held = self.lives.entry(life).or_default();
        let since = now.since(held.heard).as_secs_f64() / PAGE_INTERVAL.as_secs_f64();
        let pages = (!held.rows.is_empty()).then_some(since);
        held.heard = now;
        held.closed |= page.is_final;
        held.sequence = held.sequence.max(page.revision);
        for row in &page.rows {
            let key = (row.team.clone(), row.service.clone());
            let account = held.rows.entry(key).or_default();
            account.hear(now, &row.counts, pages);
        }
    }

    /// Everything held, as pages that another control process can take in.
    ///
    /// A page says that its life is closed only where it is the last one.
    pub fn pages(&self) -> Vec<ReportPage> {
        let mut pages = Vec::new();
        for ((process, incarnation, side), held) in &self.lives {
            let rows: Vec<UsageRow> = held
                .rows
                .iter()
                .map(|((team, service), account)| UsageRow {
                    team: team.clone(),
                    service: service.clone(),
                    counts: account.counts.clone(),
                })
                .collect();
            let count = rows.len().div_ceil(PAGE_ROWS_MAX);
            for (at, rows) in rows.chunks(PAGE_ROWS_MAX).enumerate() {
                pages.push(ReportPage {
                    process: process.clone(),
                    incarnation: *incarnation,
                    source: *side,
                    after_revision: 0,
                    revision: held.sequence,
                    rows: rows.to_vec(),
                    is_final: held.closed && at + 1 == count,
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
            for ((team, service), account) in &held.rows {
                let counts = &account.counts;
                let key = (team.clone(), service.clone());
                let line = lines.entry(key).or_insert_with(|| Line {
                    team: team.clone(),
                    service: service.clone(),
                    delivered: UsageCounts::default(),
                    ran: UsageCounts::default(),
                    uncertain: 0,
                });
                match side {
                    ReportSource::Entry => line.delivered.add(counts),
                    ReportSource::Agent => line.ran.add(counts),
                }
                if dead && *side == ReportSource::Entry {
                    line.uncertain += counts.open + account.unreported(held.heard);
                }
            }
        }
        lines.into_values().collect()
    }
}
