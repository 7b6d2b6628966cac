//! Books: what each process counted for each team.
//!
//! Counters are cumulative over one life of a process and merge by maximum, so that a page that
//! arrives twice counts once. Only rows that changed are sent.

use crate::data;
use crate::id::{Incarnation, Process, Service, Team};
use crate::wire::refusal::Reason;

data! {
    /// Which side of the double entry a page is.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum ReportSource {
        /// What an entry took in, delivered and refused.
        #[serde(rename = "delivered")]
        Entry,
        /// What an agent passed on to its back end.
        #[serde(rename = "ran")]
        Agent,
    }

    /// Rows that changed since the last kept page.
    #[derive(Eq)]
    pub struct ReportPage {
        /// The process that counted.
        pub process: Process,
        /// Its life.
        pub incarnation: Incarnation,
        /// Entry or agent.
        #[serde(rename = "side")]
        pub source: ReportSource,
        /// Revision of the books after which the page begins.
        #[serde(rename = "after")]
        pub after_revision: u64,
        /// Revision that a holder of everything up to `after` reaches with this page.
        #[serde(rename = "sequence")]
        pub revision: u64,
        /// The rows.
        pub rows: Vec<UsageRow>,
        /// Whether the life ends with this page, its books complete.
        #[serde(rename = "closed")]
        pub is_final: bool,
    }

    /// Control holds a page of this life.
    #[derive(Eq)]
    pub struct ReportAck {
        /// The life.
        pub incarnation: Incarnation,
        /// Entry or agent.
        #[serde(rename = "side")]
        pub source: ReportSource,
        /// Where the page began.
        #[serde(rename = "after")]
        pub after_revision: u64,
        /// Where it ended.
        #[serde(rename = "sequence")]
        pub revision: u64,
    }

    /// Counters of one team on one service.
    #[derive(Eq)]
    pub struct UsageRow {
        /// The team.
        pub team: Team,
        /// The service.
        pub service: Service,
        /// The counters.
        pub counts: UsageCounts,
    }

    /// Cumulative counters.
    #[derive(Default, Eq)]
    #[serde(default)]
    pub struct UsageCounts {
        /// Requests taken in (entry) or dispatched to (agent).
        #[serde(rename = "asked")]
        pub received: u64,
        /// Requests passed on to a back end.
        #[serde(rename = "run")]
        pub forwarded: u64,
        /// Whole answers delivered.
        pub delivered: u64,
        /// Refusals and failures, by reason.
        pub refused: std::collections::BTreeMap<Reason, u64>,
        /// Answers that came late or unasked and were dropped.
        pub dropped: u64,
        /// Tokens generated (agent) or delivered (entry).
        pub tokens: u64,
        /// Time in queues, in microseconds.
        pub queued_us: u64,
        /// Time to the first token or byte: counts by bucket of [`LATENCY_BUCKETS_US`].
        #[serde(rename = "first_us")]
        pub first_byte_us: Vec<u64>,
        /// Time to the whole answer: counts by bucket of [`LATENCY_BUCKETS_US`].
        #[serde(rename = "whole_us")]
        pub total_us: Vec<u64>,
        /// Requests taken in and not yet answered.
        pub open: u64,
    }
}

/// Rows in one page at most.
pub const PAGE_ROWS_MAX: usize = 512;

/// Upper bounds of the latency buckets, in microseconds; one more bucket holds the rest.
///
/// Each bound is a quarter above the one before, from 1 ms to over 60 s.
pub const LATENCY_BUCKETS_US: [u64; 50] = buckets();

const fn buckets() -> [u64; 50] {
    let mut bounds = [1000; 50];
    let mut at = 1;
    while at < bounds.len() {
        bounds[at] = bounds[at - 1] * 5 / 4;
        at += 1;
    }
    bounds
}

impl UsageCounts {
    /// Takes, counter by counter, the greater of both: the later reading of one life.
    pub fn merge_max(&mut self, other: &Self) {
        self.received = self.received.max(other.received);
        self.forwarded = self.forwarded.max(other.forwarded);
        self.delivered = self.delivered.max(other.delivered);
        self.dropped = self.dropped.max(other.dropped);
        self.tokens = self.tokens.max(other.tokens);
        self.queued_us = self.queued_us.max(other.queued_us);
        // The open requests follow from the rest, so that a late page can't bring old ones back.
        for (reason, count) in &other.refused {
            let held = self.refused.entry(*reason).or_default();
            *held = (*held).max(*count);
        }
        merge_buckets(&mut self.first_byte_us, &other.first_byte_us, u64::max);
        merge_buckets(&mut self.total_us, &other.total_us, u64::max);
        let closed = self.delivered + self.refused.values().sum::<u64>();
        self.open = self.received.saturating_sub(closed);
    }

    /// Adds the counters of another life or process.
    pub fn add(&mut self, other: &Self) {
        self.received += other.received;
        self.forwarded += other.forwarded;
        self.delivered += other.delivered;
        self.dropped += other.dropped;
        self.tokens += other.tokens;
        self.queued_us += other.queued_us;
        self.open += other.open;
        for (reason, count) in &other.refused {
            *self.refused.entry(*reason).or_default() += count;
        }
        merge_buckets(&mut self.first_byte_us, &other.first_byte_us, |a, b| a + b);
        merge_buckets(&mut self.total_us, &other.total_us, |a, b| a + b);
    }

    /// Counts one reading of `micros` in `buckets`.
    pub fn observe(buckets: &mut Vec<u64>, micros: u64) {
        let at = LATENCY_BUCKETS_US.partition_point(|bound| *bound < micros);
        if buckets.len() <= at {
            buckets.resize(at + 1, 0);
        }
        buckets[at] += 1;
    }
}

/// Combines two bucket rows, the shorter one padded with zeros.
fn merge_buckets(into: &mut Vec<u64>, from: &[u64], combine: fn(u64, u64) -> u64) {
    if into.len() < from.len() {
        into.resize(from.len(), 0);
    }
    for (held, count) in into.iter_mut().zip(from) {
        *held = combine(*held, *count);
    }
}
