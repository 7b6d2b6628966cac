//! The books of one process: what it counted for each team and service.
//!
//! Only rows that changed since the last page that control kept are sent, so that an idle team
//! costs nothing; a page that is lost is covered by the next one.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::{Incarnation, Process, Service, Team};
use crate::wire::report::{Counts, Kept, Page, Row, Side};

/// Rows in one page at most.
const PAGE_ROWS_MAX: usize = 512;

type Account = (Team, Service);

/// Counters of one life of a process.
#[derive(Clone, Debug)]
pub struct Books {
    process: Process,
    incarnation: Incarnation,
    side: Side,
    sequence: u64,
    rows: BTreeMap<Account, Counts>,
    changed: BTreeSet<Account>,
    sent: BTreeMap<u64, Vec<Account>>,
}

impl Books {
    /// Empty books.
    pub fn new(process: Process, incarnation: Incarnation, side: Side) -> Self {
        Self {
            process,
            incarnation,
            side,
            sequence: 0,
            rows: BTreeMap::new(),
            changed: BTreeSet::new(),
            sent: BTreeMap::new(),
        }
    }

    /// The counters of one team on one service, to be changed.
    pub fn row(&mut self, team: &Team, service: &Service) -> &mut Counts {
        let account = (team.clone(), service.clone());
        self.changed.insert(account.clone());
        self.rows.entry(account).or_default()
    }

    /// The page of what changed, if anything did; an unanswered page is covered again.
    pub fn page(&mut self, closed: bool) -> Option<Page> {
        for accounts in std::mem::take(&mut self.sent).into_values() {
            self.changed.extend(accounts);
        }
        if self.changed.is_empty() && !closed {
            return None;
        }
        self.sequence += 1;
        let mut accounts = Vec::new();
        let mut rows = Vec::new();
        for _ in 0..PAGE_ROWS_MAX {
            let Some(account) = self.changed.pop_first() else {
                break;
            };
            let counts = self.rows.get(&account).cloned().unwrap_or_default();
            rows.push(Row {
                team: account.0.clone(),
                service: account.1.clone(),
                counts,
            });
            accounts.push(account);
        }
        self.sent.insert(self.sequence, accounts);
        Some(Page {
            process: self.process.clone(),
            incarnation: self.incarnation,
            side: self.side,
            sequence: self.sequence,
            rows,
            closed: closed && self.changed.is_empty(),
        })
    }

    /// Notes that control holds a page.
    pub fn kept(&mut self, kept: &Kept) {
        if kept.incarnation == self.incarnation {
            self.sent.remove(&kept.sequence);
        }
    }

    /// Whether control holds everything counted so far.
    pub fn is_settled(&self) -> bool {
        self.changed.is_empty() && self.sent.is_empty()
    }
}
