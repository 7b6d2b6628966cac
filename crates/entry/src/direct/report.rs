//! Usage counters of the direct path: requests received, delivered and refused per team.
//!
//! Calls on anonymous mounts have no team and are not counted. Tokens are not counted: one event of
//! a stream may contain any number of them.

use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Message;
use eelgrassdyke_core::wire::refusal::Reason;
use eelgrassdyke_core::wire::report::UsageCounts;

use super::flight::DirectRequest;
use super::io::Output;
use super::path::Direct;

impl Direct {
    /// Whether every control process has acknowledged all usage counters.
    pub fn is_usage_replicated(&self) -> bool {
        self.usage.is_replicated()
    }

    /// Sends the usage report pages that are due.
    pub(super) fn send_usage_pages(&mut self, now: Instant, out: &mut Vec<Output>) {
        let closed = self.is_done(now);
        for (to, page) in self.usage.due_pages(now, closed) {
            let message = Message::ReportPage(page);
            out.push(Output::Send { to, message });
        }
    }

    fn counts(&mut self, request: &DirectRequest) -> Option<&mut UsageCounts> {
        let team = request.team.as_ref()?;
        Some(self.usage.counts_mut(team, &request.service))
    }

    /// Counts a received request.
    pub(super) fn count_received(&mut self, request: &DirectRequest) {
        if let Some(counts) = self.counts(request) {
            counts.received += 1;
        }
    }

    /// Counts the first dispatch of a request.
    pub(super) fn count_forwarded(&mut self, now: Instant, request: &DirectRequest) {
        if let Some(counts) = self.counts(request) {
            counts.forwarded += 1;
            counts.queued_us += now.since(request.received_at).as_micros() as u64;
        }
    }

    /// Records the latency of the first event of a stream.
    pub(super) fn count_first_byte(&mut self, now: Instant, request: &DirectRequest) {
        if let Some(counts) = self.counts(request) {
            let elapsed_us = now.since(request.received_at).as_micros() as u64;
            UsageCounts::observe(&mut counts.first_byte_us, elapsed_us);
        }
    }

    /// Counts a delivered response.
    pub(super) fn count_delivered(&mut self, now: Instant, request: &DirectRequest) {
        let Some(counts) = self.counts(request) else {
            return;
        };
        let elapsed_us = now.since(request.received_at).as_micros() as u64;
        counts.delivered += 1;
        UsageCounts::observe(&mut counts.total_us, elapsed_us);
        if !request.response_started {
            UsageCounts::observe(&mut counts.first_byte_us, elapsed_us);
        }
    }

    /// Counts a request that ended without a complete response.
    pub(super) fn count_refused(&mut self, request: &DirectRequest, reason: Reason) {
        if let Some(counts) = self.counts(request) {
            *counts.refused.entry(reason).or_default() += 1;
        }
    }
}
