//! The usage report, combined from the usage counters of all processes.
//!
//! Counters are cumulative over one incarnation of a process. Pages of one incarnation merge by
//! maximum, so that a duplicate page has no effect; incarnations are added up. For an incarnation that
//! died without a final page, two numbers of requests are reported as uncertain: those that were open
//! in its last page, and an estimate of those received after it. The estimate is the number received
//! between two earlier pages, doubled, since the last page may be lost with its process.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::books::PAGE_INTERVAL;
use eelgrassdyke_core::data;
use eelgrassdyke_core::id::{Incarnation, Process, Service, Team};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::report::{
    PAGE_ROWS_MAX, ReportPage, ReportSource, UsageCounts, UsageRow,
};

/// Page intervals before the death of a process within which a team must have sent requests for the
/// estimate to assume further ones.
const RECENT_PAGES: u32 = 3;

/// Page intervals that a dying process may leave unreported: the current one, and one whose page is
/// lost.
const UNREPORTED_PAGES: u64 = 2;

/// Time without a page after which an incarnation without a final page counts as dead.
const DEAD_AFTER: Duration = Duration::from_secs(15);

/// An incarnation of a process, in one of its roles.
type Source = (Process, Incarnation, ReportSource);

data! {
    /// The usage of one service by one team.
    #[derive(Eq)]
    pub struct UsageLine {
        /// The team.
        pub team: Team,
        /// The service.
        pub service: Service,
        /// Counts of the entries.
        pub delivered: UsageCounts,
        /// Counts of the agents.
        pub ran: UsageCounts,
        /// Requests that were open in the last page of dead processes, and an estimate of those
        /// received after it.
        pub uncertain: u64,
    }
}

/// The counts of one incarnation for one team and service.
#[derive(Clone, Debug, Default)]
struct RowUsage {
    counts: UsageCounts,
    /// Recent maximum of requests received between two pages.
    max_per_page: u64,
    /// Arrival of the last page that showed new requests.
    last_received_at: Instant,
}

impl RowUsage {
    /// Updates the counts from a page that arrived `pages` intervals after the previous one. `pages`
    /// is none for the first page that this process receives of an incarnation: it may cover any
    /// time and so yields no rate.
    fn update(&mut self, now: Instant, counts: &UsageCounts, pages: Option<f64>) {
        let before = self.counts.received;
        self.counts.merge_max(counts);
        let new_requests = self.counts.received - before;
        let Some(pages) = pages.filter(|_| new_requests > 0) else {
            return;
        };
        let per_page = (new_requests as f64 / pages.max(1.0)).ceil() as u64;
        // Older maxima decay, since they say little about the present rate.
        self.max_per_page = per_page.max(self.max_per_page / 2);
        self.last_received_at = now;
    }

    /// Estimate of the requests received after the last page, which arrived at `last_page_at`.
    fn estimate_unreported(&self, last_page_at: Instant) -> u64 {
        match last_page_at.since(self.last_received_at) <= PAGE_INTERVAL * RECENT_PAGES {
            true => self.max_per_page * UNREPORTED_PAGES,
            false => 0,
        }
    }
}

/// The usage counters of one incarnation.
#[derive(Clone, Debug, Default)]
struct IncarnationUsage {
    rows: BTreeMap<(Team, Service), RowUsage>,
    revision: u64,
    has_final_page: bool,
    last_page_at: Instant,
}

/// Usage counters of all processes.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    by_source: BTreeMap<Source, IncarnationUsage>,
}

impl UsageLedger {
    /// Records a page.
    pub fn record_page(&mut self, now: Instant, page: &ReportPage) {
        let source = (page.process.clone(), page.incarnation, page.source);
        let usage = self.by_source.entry(source).or_default();
        let elapsed_pages =
            now.since(usage.last_page_at).as_secs_f64() / PAGE_INTERVAL.as_secs_f64();
        let pages = (!usage.rows.is_empty()).then_some(elapsed_pages);
        usage.last_page_at = now;
        usage.has_final_page |= page.is_final;
        usage.revision = usage.revision.max(page.revision);
        for row in &page.rows {
            let key = (row.team.clone(), row.service.clone());
            let row_usage = usage.rows.entry(key).or_default();
            row_usage.update(now, &row.counts, pages);
        }
    }

    /// All counters as pages for another control process.
    ///
    /// Only the last page of an incarnation is marked as final.
    pub fn pages(&self) -> Vec<ReportPage> {
        let mut pages = Vec::new();
        for ((process, incarnation, source), usage) in &self.by_source {
            let rows: Vec<UsageRow> = usage
                .rows
                .iter()
                .map(|((team, service), row_usage)| UsageRow {
                    team: team.clone(),
                    service: service.clone(),
                    counts: row_usage.counts.clone(),
                })
                .collect();
            let count = rows.len().div_ceil(PAGE_ROWS_MAX);
            for (position, rows) in rows.chunks(PAGE_ROWS_MAX).enumerate() {
                pages.push(ReportPage {
                    process: process.clone(),
                    incarnation: *incarnation,
                    source: *source,
                    after_revision: 0,
                    revision: usage.revision,
                    rows: rows.to_vec(),
                    is_final: usage.has_final_page && position + 1 == count,
                });
            }
        }
        pages
    }

    /// The usage report, one line for each team and service.
    pub fn lines(&self, now: Instant) -> Vec<UsageLine> {
        let mut lines: BTreeMap<(Team, Service), UsageLine> = BTreeMap::new();
        for ((_, _, source), usage) in &self.by_source {
            let is_dead = !usage.has_final_page && now.since(usage.last_page_at) >= DEAD_AFTER;
            for ((team, service), row_usage) in &usage.rows {
                let counts = &row_usage.counts;
                let key = (team.clone(), service.clone());
                let line = lines.entry(key).or_insert_with(|| UsageLine {
                    team: team.clone(),
                    service: service.clone(),
                    delivered: UsageCounts::default(),
                    ran: UsageCounts::default(),
                    uncertain: 0,
                });
                match source {
                    ReportSource::Entry => line.delivered.add(counts),
                    ReportSource::Agent => line.ran.add(counts),
                }
                if is_dead && *source == ReportSource::Entry {
                    line.uncertain +=
                        counts.open + row_usage.estimate_unreported(usage.last_page_at);
                }
            }
        }
        lines.into_values().collect()
    }
}
