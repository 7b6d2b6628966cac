//! What becomes of a request whose attempt brought no answer: another attempt, a wait, or a refusal.

use std::time::Duration;

use eelgrassdyke_core::event::Code;
use eelgrassdyke_core::id::Ticket;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::refusal::{Reason, Refusal, RunStatus};

use super::budget::Bound;
use super::events::Waits;
use super::flight::{COME_BACK_MIN, Flight, Stage, come_back};
use super::io::{Output, Proof};
use super::path::Direct;

/// Attempts at one request, whatever their kind: proof that one did not run costs time as well.
const ATTEMPTS_MAX: u32 = 6;

impl Direct {
    /// Passes an answer on, or tries another server if it is a failure that may be repeated.
    pub(super) fn take_answer(
        &mut self,
        now: Instant,
        ticket: Ticket,
        mut flight: Flight,
        status: u16,
        out: &mut Vec<Output>,
    ) {
        if flight.begun {
            // A stream goes on only with more of the stream.
            let detail = format!("status {status} instead of the rest of a stream");
            self.note(now, Code::BackendFailed, &flight, &detail, out);
            self.recover(now, ticket, flight, out);
            return;
        }
        if status >= 500 && flight.mount.retry_policy.allows_retry() {
            flight.mark_ran();
            if self.may_repeat(now, &flight) {
                self.repeat(now, ticket, flight, "server failed", out);
                return;
            }
        }
        let detail = format!("status {status}");
        self.note(now, Code::RequestDelivered, &flight, &detail, out);
        self.count_delivered(now, &flight);
        out.push(Output::Deliver { ticket });
    }

    /// Sends a request again that has not run, or refuses it.
    pub(super) fn take_proof(
        &mut self,
        now: Instant,
        ticket: Ticket,
        mut flight: Flight,
        proof: Proof,
        out: &mut Vec<Output>,
    ) {
        if let (Proof::NotSent | Proof::OtherServer, Stage::Running { server, .. }) =
            (proof, &flight.stage)
        {
            flight.passed_over.push(server.clone());
        }
        let again = (flight.begun || flight.attempts < ATTEMPTS_MAX) && now < flight.deadline;
        // What never left costs the servers nothing.
        if again && (proof == Proof::NotSent || self.draw(now, &mut flight)) {
            self.repeat(now, ticket, flight, "not run", out);
            return;
        }
        let run = flight.run();
        self.give_up(now, ticket, flight, Reason::Overload, run, out);
    }

    /// Deals with an attempt that may have run and brought no answer.
    pub(super) fn recover(
        &mut self,
        now: Instant,
        ticket: Ticket,
        mut flight: Flight,
        out: &mut Vec<Output>,
    ) {
        flight.mark_ran();
        let can = self.is_allowed(now, &flight) && flight.mount.retry_policy.allows_retry();
        if can && self.draw(now, &mut flight) {
            self.repeat(now, ticket, flight, "broken off", out);
            return;
        }
        self.give_up(
            now,
            ticket,
            flight,
            Reason::ServerFailed,
            RunStatus::Unknown,
            out,
        );
    }

    /// Whether a request that may have run may go to another server; spends the budget.
    pub(super) fn may_repeat(&mut self, now: Instant, flight: &Flight) -> bool {
        self.is_allowed(now, flight) && self.spend(now, flight)
    }

    /// Whether a request that may have run may go to another server as far as its mount and its time
    /// go.
    fn is_allowed(&self, now: Instant, flight: &Flight) -> bool {
        let left = now < flight.deadline && (flight.begun || flight.attempts < ATTEMPTS_MAX);
        left && flight.ran_at.len() < flight.mount.max_attempts as usize
    }

    /// Draws on the budget for another attempt; an answer that has begun waits until it can.
    fn draw(&mut self, now: Instant, flight: &mut Flight) -> bool {
        let drawn = self.spend(now, flight);
        flight.owes = flight.begun && !drawn;
        drawn || flight.begun
    }

    pub(super) fn spend(&mut self, now: Instant, flight: &Flight) -> bool {
        let bound = Bound {
            span: self.options.retry_window,
            share: self.options.retry_share,
            slack: self.options.retry_slack,
            entries: self.follower.entry_count(),
            age: now.since(self.started),
        };
        let window = self.windows.entry(flight.service.clone()).or_default();
        window.spend(now, &bound)
    }

    pub(super) fn repeat(
        &mut self,
        now: Instant,
        ticket: Ticket,
        flight: Flight,
        reason: &str,
        out: &mut Vec<Output>,
    ) {
        let code = match flight.begun {
            true => Code::RequestResumed,
            false => Code::RequestRetried,
        };
        self.note(now, code, &flight, reason, out);
        self.place(now, ticket, flight, out);
    }

    /// Ends a request without an answer.
    pub(super) fn give_up(
        &mut self,
        now: Instant,
        ticket: Ticket,
        flight: Flight,
        reason: Reason,
        run: RunStatus,
        out: &mut Vec<Output>,
    ) {
        if flight.begun {
            self.count_refused(&flight, reason);
            let detail = format!("stream broken off: {reason}");
            self.note(now, Code::RequestRefused, &flight, &detail, out);
            out.push(Output::Abort { ticket });
            return;
        }
        let comes_back = now < flight.deadline && run == RunStatus::No;
        let after = comes_back.then(|| come_back(&flight, now, COME_BACK_MIN));
        let refusal = Refusal {
            reason,
            run,
            retry_after_ms: after.map(|after| self.spread_ms(after)),
        };
        self.refuse(now, ticket, &flight, refusal, None, out);
    }

    /// Refuses a request; `waits` says why, if it was for want of places.
    pub(super) fn refuse(
        &mut self,
        now: Instant,
        ticket: Ticket,
        flight: &Flight,
        refusal: Refusal,
        waits: Option<Waits>,
        out: &mut Vec<Output>,
    ) {
        self.note_refusal(now, flight, &refusal, waits, out);
        self.count_refused(flight, refusal.reason);
        out.push(Output::Refuse { ticket, refusal });
    }

    pub(super) fn spread_ms(&mut self, span: Duration) -> u64 {
        self.spread(span).as_millis() as u64
    }
}
