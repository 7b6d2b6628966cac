//! Usage reports: counters of each process by team and service.
//!
//! Counters are cumulative over one incarnation of a process and merge by maximum, so that a
//! duplicate page has no effect. Only rows that changed are sent.

use crate::data;
use crate::id::{Incarnation, Process, Service, Team};
use crate::wire::refusal::Reason;

data! {
    /// Kind of the reporting process. Entries and agents count the same requests separately, as in
    /// double-entry bookkeeping.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum ReportSource {
        /// An entry: requests received, delivered and refused.
        #[serde(rename = "delivered")]
        Entry,
        /// An agent: requests forwarded to its server.
        #[serde(rename = "ran")]
        Agent,
    }

    /// Rows that changed since the last acknowledged page.
    #[derive(Eq)]
    pub struct ReportPage {
        /// The reporting process.
        pub process: Process,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// Kind of the process.
        #[serde(rename = "side")]
        pub source: ReportSource,
        /// Revision of the counters after which the page starts.
        #[serde(rename = "after")]
        pub after_revision: u64,
        /// Revision that a receiver with all rows up to `after_revision` has after this page.
        #[serde(rename = "sequence")]
        pub revision: u64,
        /// The rows.
        pub rows: Vec<UsageRow>,
        /// Whether this is the last page of the incarnation.
        #[serde(rename = "closed")]
        pub is_final: bool,
    }

    /// Acknowledgement of a page by control.
    #[derive(Eq)]
    pub struct ReportAck {
        /// The incarnation of the reporting process.
        pub incarnation: Incarnation,
        /// Kind of the process.
        #[serde(rename = "side")]
        pub source: ReportSource,
        /// `after_revision` of the page.
        #[serde(rename = "after")]
        pub after_revision: u64,
        /// `revision` of the page.
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
        /// Requests received from callers (entry) or dispatched to the agent (agent).
        #[serde(rename = "asked")]
        pub received: u64,
        /// Requests forwarded to a server.
        #[serde(rename = "run")]
        pub forwarded: u64,
        /// Complete responses delivered.
        pub delivered: u64,
        /// Refusals and failures, by reason.
        pub refused: std::collections::BTreeMap<Reason, u64>,
        /// Responses dropped because they were late or unsolicited.
        pub dropped: u64,
        /// Tokens generated (agent) or delivered (entry).
        pub tokens: u64,
        /// Time in queues, in microseconds.
        pub queued_us: u64,
        /// Time to the first token or byte: number of requests by bucket of [`LATENCY_BUCKETS_US`].
        #[serde(rename = "first_us")]
        pub first_byte_us: Vec<u64>,
        /// Time to the complete response: number of requests by bucket of [`LATENCY_BUCKETS_US`].
        #[serde(rename = "whole_us")]
        pub total_us: Vec<u64>,
        /// Requests received and not yet completed.
        pub open: u64,
    }
}

/// Maximum number of rows in one page.
pub const PAGE_ROWS_MAX: usize = 512;

/// Upper bounds of the latency buckets, in microseconds; one more bucket holds the rest.
///
/// Each bound is 25 % above the previous one, from 1 ms to over 60 s.
pub const LATENCY_BUCKETS_US: [u64; 50] = buckets();

const fn buckets() -> [u64; 50] {
    let mut bounds = [1000; 50];
    let mut index = 1;
    while index < bounds.len() {
        bounds[index] = bounds[index - 1] * 5 / 4;
        index += 1;
    }
    bounds
}

impl UsageCounts {
    /// Merges with another reading of the same incarnation: takes the maximum of each counter.
    pub fn merge_max(&mut self, other: &Self) {
        self.received = self.received.max(other.received);
        self.forwarded = self.forwarded.max(other.forwarded);
        self.delivered = self.delivered.max(other.delivered);
        self.dropped = self.dropped.max(other.dropped);
        self.tokens = self.tokens.max(other.tokens);
        self.queued_us = self.queued_us.max(other.queued_us);
        // The open requests are derived from the other counters, as a delayed page holds a stale count.
        for (reason, count) in &other.refused {
            let held = self.refused.entry(*reason).or_default();
            *held = (*held).max(*count);
        }
        merge_buckets(&mut self.first_byte_us, &other.first_byte_us, u64::max);
        merge_buckets(&mut self.total_us, &other.total_us, u64::max);
        let completed = self.delivered + self.refused.values().sum::<u64>();
        self.open = self.received.saturating_sub(completed);
    }

    /// Adds the counters of another incarnation or process.
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

    /// Counts a latency of `micros` microseconds in `buckets`.
    pub fn observe(buckets: &mut Vec<u64>, micros: u64) {
        let bucket = LATENCY_BUCKETS_US.partition_point(|bound| *bound < micros);
        if buckets.len() <= bucket {
            buckets.resize(bucket + 1, 0);
        }
        buckets[bucket] += 1;
    }
}

/// Combines two lists of bucket counts; the shorter one is padded with zeros.
fn merge_buckets(into: &mut Vec<u64>, from: &[u64], combine: fn(u64, u64) -> u64) {
    if into.len() < from.len() {
        into.resize(from.len(), 0);
    }
    for (held, count) in into.iter_mut().zip(from) {
        *held = combine(*held, *count);
    }
}
