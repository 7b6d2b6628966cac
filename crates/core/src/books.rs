//! Usage counters of one process, by team and service, and their replication to control.
//!
//! The counters are replicated to every control process, so that the failure of one loses no report.
//! Each change of a row gets a revision. Each control process is sent the rows that changed after the
//! revision that it has acknowledged, in order of revision: idle teams cost nothing, and the next page
//! repeats the rows of a lost one. A control process that restarts is sent all rows again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{Incarnation, Process, Service, Team};
use crate::time::Instant;
use crate::wire::Sender;
use crate::wire::report::{
    PAGE_ROWS_MAX, ReportAck, ReportPage, ReportSource, UsageCounts, UsageRow,
};

/// Time between two pages to one control process.
pub const PAGE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an up-to-date control process is sent a page without rows, as a heartbeat.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

type CounterKey = (Team, Service);

/// Replication state of one control process.
#[derive(Clone, Debug, Default)]
struct Target {
    incarnation: Option<Incarnation>,
    /// Highest revision that it has acknowledged.
    acked_revision: u64,
    last_page_at: Option<Instant>,
}

/// Counters of one team on one service.
#[derive(Clone, Debug, Default)]
struct CounterRow {
    /// Revision of the last change.
    revision: u64,
    counts: UsageCounts,
}

/// The usage counters of one incarnation of a process, and how far each control process has them.
#[derive(Clone, Debug)]
pub struct UsageReporter {
    process: Process,
    incarnation: Incarnation,
    source: ReportSource,
    revision: u64,
    /// Whether the counters will not change any more.
    is_final: bool,
    rows_by_key: BTreeMap<CounterKey, CounterRow>,
    keys_by_revision: BTreeMap<u64, CounterKey>,
    targets: BTreeMap<SocketAddr, Target>,
    next_page_at: Instant,
}

impl UsageReporter {
    /// A reporter with no counts, which replicates to the control processes at `control_addresses`.
    pub fn new(local: &Sender, source: ReportSource, control_addresses: &[SocketAddr]) -> Self {
        let targets = control_addresses
            .iter()
            .map(|address| (*address, Target::default()));
        Self {
            process: local.process.clone(),
            incarnation: local.incarnation,
            source,
            revision: 0,
            is_final: false,
            rows_by_key: BTreeMap::new(),
            keys_by_revision: BTreeMap::new(),
            targets: targets.collect(),
            next_page_at: Instant(0),
        }
    }

    /// The counters of one team on one service, for a change; records a new revision of them.
    pub fn counts_mut(&mut self, team: &Team, service: &Service) -> &mut UsageCounts {
        let key = (team.clone(), service.clone());
        self.revision += 1;
        let row = self.rows_by_key.entry(key.clone()).or_default();
        self.keys_by_revision.remove(&row.revision);
        self.keys_by_revision.insert(self.revision, key);
        row.revision = self.revision;
        &mut row.counts
    }

    /// When [`UsageReporter::due_pages`] next returns pages.
    pub fn next_deadline(&self) -> Instant {
        self.next_page_at
    }

    /// The pages that are due, each with the address of its control process; `is_final` states that
    /// the counters are final.
    pub fn due_pages(&mut self, now: Instant, is_final: bool) -> Vec<(SocketAddr, ReportPage)> {
        let becomes_final = is_final && !self.is_final;
        if now < self.next_page_at && !becomes_final {
            return Vec::new();
        }
        self.next_page_at = now + PAGE_INTERVAL;
        if becomes_final {
            // Gets its own revision, so that control acknowledges the final state too.
            self.is_final = true;
            self.revision += 1;
        }
        let addresses: Vec<SocketAddr> = self.targets.keys().copied().collect();
        let mut pages = Vec::new();
        for address in addresses {
            if let Some(page) = self.page(now, address) {
                pages.push((address, page));
            }
        }
        pages
    }

    /// The page that is due for one control process.
    fn page(&mut self, now: Instant, address: SocketAddr) -> Option<ReportPage> {
        let target = self.targets.get_mut(&address)?;
        let idle = target
            .last_page_at
            .map_or(Duration::MAX, |at| now.since(at));
        if target.acked_revision >= self.revision && idle < IDLE_INTERVAL {
            return None;
        }
        target.last_page_at = Some(now);
        let mut rows = Vec::new();
        let mut last_revision = self.revision;
        for (revision, key) in self.keys_by_revision.range(target.acked_revision + 1..) {
            if rows.len() == PAGE_ROWS_MAX {
                break;
            }
            let Some(row) = self.rows_by_key.get(key) else {
                continue;
            };
            let (team, service) = key.clone();
            rows.push(UsageRow {
                team,
                service,
                counts: row.counts.clone(),
            });
            last_revision = *revision;
        }
        if rows.len() < PAGE_ROWS_MAX {
            last_revision = self.revision;
        }
        Some(ReportPage {
            process: self.process.clone(),
            incarnation: self.incarnation,
            source: self.source,
            after_revision: target.acked_revision,
            revision: last_revision,
            rows,
            is_final: self.is_final && last_revision == self.revision,
        })
    }

    /// Sets the addresses of the control processes; a new one is sent all rows.
    pub fn set_control_addresses(&mut self, control_addresses: &[SocketAddr]) {
        self.targets
            .retain(|address, _| control_addresses.contains(address));
        for address in control_addresses {
            self.targets.entry(*address).or_default();
        }
    }

    /// Records that a control process has acknowledged a page.
    pub fn record_ack(&mut self, from: &Sender, ack: &ReportAck) {
        if ack.incarnation != self.incarnation || ack.source != self.source {
            return;
        }
        let Some(target) = self.targets.get_mut(&from.address) else {
            return;
        };
        let previous = target.incarnation.replace(from.incarnation);
        if previous.is_some_and(|incarnation| incarnation != from.incarnation) {
            // The acknowledging incarnation holds only this one page. Whether it is the later one is
            // unknown, as incarnations are numbered by a clock that may jump; so all rows are sent
            // again.
            target.acked_revision = 0;
            return;
        }
        // A delayed acknowledgement of a page that starts above the acknowledged revision proves
        // nothing: only an earlier incarnation held the rows before it.
        if ack.after_revision <= target.acked_revision {
            target.acked_revision = target.acked_revision.max(ack.revision.min(self.revision));
        }
    }

    /// Whether a majority of the control processes has acknowledged all counts.
    pub fn is_replicated(&self) -> bool {
        let up_to_date = self
            .targets
            .values()
            .filter(|target| target.acked_revision >= self.revision);
        up_to_date.count() * 2 > self.targets.len() || self.targets.is_empty()
    }
}
