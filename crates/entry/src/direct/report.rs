//! The books of the direct path: what each team asked, got and was refused.
//!
//! Calls on anonymous mounts have no team and stand in no book. Tokens are not counted: an event of a
//! stream may hold any number of them.

use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Message;
use eelgrassdyke_core::wire::refusal::Reason;
use eelgrassdyke_core::wire::report::UsageCounts;

use super::flight::Flight;
use super::io::Output;
use super::path::Direct;

impl Direct {
    /// Whether control holds everything that the books say.
    pub fn is_settled(&self) -> bool {
        self.books.is_replicated()
    }

    /// Sends the pages that are due.
    pub(super) fn send_books(&mut self, now: Instant, out: &mut Vec<Output>) {
        let closed = self.is_done(now);
        for (to, page) in self.books.due_pages(now, closed) {
            let message = Message::ReportPage(page);
            out.push(Output::Mail { to, message });
        }
    }

    fn row(&mut self, flight: &Flight) -> Option<&mut UsageCounts> {
        let team = flight.team.as_ref()?;
        Some(self.books.counts_mut(team, &flight.service))
    }

    /// Counts a request that was taken in.
    pub(super) fn count_asked(&mut self, flight: &Flight) {
        if let Some(row) = self.row(flight) {
            row.received += 1;
        }
    }

    /// Counts a request that goes to a server for the first time.
    pub(super) fn count_sent(&mut self, now: Instant, flight: &Flight) {
        if let Some(row) = self.row(flight) {
            row.forwarded += 1;
            row.queued_us += now.since(flight.taken).as_micros() as u64;
        }
    }

    /// Counts the first event of a stream.
    pub(super) fn count_first(&mut self, now: Instant, flight: &Flight) {
        if let Some(row) = self.row(flight) {
            let micros = now.since(flight.taken).as_micros() as u64;
            UsageCounts::observe(&mut row.first_byte_us, micros);
        }
    }

    /// Counts a whole answer.
    pub(super) fn count_delivered(&mut self, now: Instant, flight: &Flight) {
        let Some(row) = self.row(flight) else {
            return;
        };
        let micros = now.since(flight.taken).as_micros() as u64;
        row.delivered += 1;
        UsageCounts::observe(&mut row.total_us, micros);
        if !flight.begun {
            UsageCounts::observe(&mut row.first_byte_us, micros);
        }
    }

    /// Counts a request that ended without a whole answer.
    pub(super) fn count_refused(&mut self, flight: &Flight, reason: Reason) {
        if let Some(row) = self.row(flight) {
            *row.refused.entry(reason).or_default() += 1;
        }
    }
}
