//! The books of one process: what it counted for each team and service.
//!
//! Every control process is to hold them, so that the loss of one loses no report. Each change of a
//! row gets a revision, and a control process is sent, in order of revision, what changed after the
//! revision that it holds; so an idle team costs nothing and a lost page is covered by the next one.
//! A control process that comes back as a new life is sent everything again.

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

/// Time after which a control process that lacks nothing is sent a page without rows, so that it
/// knows the process to live.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

type Account = (Team, Service);

/// What one control process holds of the books.
#[derive(Clone, Debug, Default)]
struct Holder {
    life: Option<Incarnation>,
    kept: u64,
    last_page: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
struct Line {
    revision: u64,
    counts: UsageCounts,
}

/// Counters of one life of a process.
#[derive(Clone, Debug)]
pub struct UsageReporter {
    process: Process,
    incarnation: Incarnation,
    side: ReportSource,
    revision: u64,
    closed: bool,
    lines: BTreeMap<Account, Line>,
    order: BTreeMap<u64, Account>,
    holders: BTreeMap<SocketAddr, Holder>,
    next_page: Instant,
}

impl UsageReporter {
    /// Empty books, to be held by the control processes at `control`.
    pub fn new(me: &Sender, side: ReportSource, control: &[SocketAddr]) -> Self {
        let holders = control.iter().map(|address| (*address, Holder::default()));
        Self {
            process: me.process.clone(),
            incarnation: me.incarnation,
            side,
            revision: 0,
            closed: false,
            lines: BTreeMap::new(),
            order: BTreeMap::new(),
            holders: holders.collect(),
            next_page: Instant(0),
        }
    }

    /// The counters of one team on one service, to be changed.
    pub fn counts_mut(&mut self, team: &Team, service: &Service) -> &mut UsageCounts {
        let account = (team.clone(), service.clone());
        self.revision += 1;
        let line = self.lines.entry(account.clone()).or_default();
        self.order.remove(&line.revision);
        self.order.insert(self.revision, account);
        line.revision = self.revision;
        &mut line.counts
    }

    /// When [`UsageReporter::due_pages`] next has something to give.
    pub fn next_deadline(&self) -> Instant {
        self.next_page
    }

    /// The pages that are due, each with the control process it goes to; `closed` says that nothing
    /// will be counted any more.
    pub fn due_pages(&mut self, now: Instant, closed: bool) -> Vec<(SocketAddr, ReportPage)> {
        let closes = closed && !self.closed;
        if now < self.next_page && !closes {
            return Vec::new();
        }
        self.next_page = now + PAGE_INTERVAL;
        if closes {
            // Closing is a change of its own, which must be kept too.
            self.closed = true;
            self.revision += 1;
        }
        let addresses: Vec<SocketAddr> = self.holders.keys().copied().collect();
        let mut pages = Vec::new();
        for address in addresses {
            if let Some(page) = self.page(now, address) {
                pages.push((address, page));
            }
        }
        pages
    }

    /// The page that is due to one control process.
    fn page(&mut self, now: Instant, address: SocketAddr) -> Option<ReportPage> {
        let holder = self.holders.get_mut(&address)?;
        let quiet = holder.last_page.map_or(Duration::MAX, |at| now.since(at));
        if holder.kept >= self.revision && quiet < IDLE_INTERVAL {
            return None;
        }
        holder.last_page = Some(now);
        let mut rows = Vec::new();
        let mut sequence = self.revision;
        for (revision, account) in self.order.range(holder.kept + 1..) {
            if rows.len() == PAGE_ROWS_MAX {
                break;
            }
            let Some(line) = self.lines.get(account) else {
                continue;
            };
            let (team, service) = account.clone();
            rows.push(UsageRow {
                team,
                service,
                counts: line.counts.clone(),
            });
            sequence = *revision;
        }
        if rows.len() < PAGE_ROWS_MAX {
            sequence = self.revision;
        }
        Some(ReportPage {
            process: self.process.clone(),
            incarnation: self.incarnation,
            source: self.side,
            after_revision: holder.kept,
            revision: sequence,
            rows,
            is_final: self.closed && sequence == self.revision,
        })
    }

    /// Takes in where the control processes are now: a new one lacks everything.
    pub fn set_control_addresses(&mut self, control: &[SocketAddr]) {
        self.holders.retain(|address, _| control.contains(address));
        for address in control {
            self.holders.entry(*address).or_default();
        }
    }

    /// Notes that a control process holds the books up to a page.
    pub fn record_ack(&mut self, from: &Sender, kept: &ReportAck) {
        if kept.incarnation != self.incarnation || kept.source != self.side {
            return;
        }
        let Some(holder) = self.holders.get_mut(&from.address) else {
            return;
        };
        let before = holder.life.replace(from.incarnation);
        if before.is_some_and(|life| life != from.incarnation) {
            // Another life holds only what this one page brought. Which of the two is the later one
            // can't be told, as lives are numbered by a clock that may jump.
            holder.kept = 0;
            return;
        }
        // A second copy of a page that an earlier life held the beginning of proves nothing.
        if kept.after_revision <= holder.kept {
            holder.kept = holder.kept.max(kept.revision.min(self.revision));
        }
    }

    /// Whether a majority of the control processes holds everything counted so far.
    pub fn is_replicated(&self) -> bool {
        let whole = self
            .holders
            .values()
            .filter(|holder| holder.kept >= self.revision);
        whole.count() * 2 > self.holders.len() || self.holders.is_empty()
    }
}
