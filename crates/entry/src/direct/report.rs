//! The books of the direct path: what each team asked, got and was refused.
//!
//! Calls on anonymous mounts have no team and stand in no book. Tokens are not counted: an event of a
//! stream may hold any number of them.

use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Message;
use eelgrassdyke_core::wire::refusal::Reason;
use eelgrassdyke_core::wire::report::UsageCounts;

use super::flight::DirectRequest;
use super::io::Output;
use super::path::Direct;

impl Direct {
    /// Whether control holds everything that the books say.
    pub fn is_usage_replicated(&self) -> bool {
        self.usage.is_replicated()
    }

    /// Sends the pages that are due.
    pub(super) fn send_usage_pages(&mut self, now: Instant, out: &mut Vec<Output>) {
        let closed = self.is_done(now);
        for (to, page) in self.usage.due_pages(now, closed) {
            let message = Message::ReportPage(page);
            out.push(Output::SendMessage { to, message });
        }
    }

    fn counts(&mut self, request: &DirectRequest) -> Option<&mut UsageCounts> {
        let team = request.team.as_ref()?;
        Some(self.usage.counts_mut(team, &request.service))
    }

    /// Counts a request that was taken in.
    pub(super) fn count_received(&mut self, request: &DirectRequest) {
        if let Some(counts) = self.counts(request) {
            counts.received += 1;
        }
    }

    /// Counts a request that goes to a server for the first time.
    pub(super) fn count_forwarded(&mut self, now: Instant, request: &DirectRequest) {
        if let Some(counts) = self.counts(request) {
            counts.forwarded += 1;
            counts.queued_us += now.since(request.received_at).as_micros() as u64;
        }
    }

    /// Counts the first event of a stream.
    pub(super) fn count_first_byte(&mut self, now: Instant, request: &DirectRequest) {
        if let Some(counts) = self.counts(request) {
            let elapsed_us = now.since(request.received_at).as_micros() as u64;
            UsageCounts::observe(&mut counts.first_byte_us, elapsed_us);
        }
    }

    /// Counts a whole answer.
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

    /// Counts a request that ended without a whole answer.
    pub(super) fn count_refused(&mut self, request: &DirectRequest, reason: Reason) {
        if let Some(counts) = self.counts(request) {
            *counts.refused.entry(reason).or_default() += 1;
        }
    }
}
