//! Relays the server's responses to the entries and ends attempts.

use eelgrassdyke_core::event::Code;
use eelgrassdyke_core::id::Ticket;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::claim::ClaimOutcome;
use eelgrassdyke_core::wire::dispatch::{Frame, ResponseHead};
use eelgrassdyke_core::wire::refusal::{Reason, Refusal};
use eelgrassdyke_core::wire::report::UsageCounts;

use crate::agent::Agent;
use crate::io::{Output, ResponsePart};

/// Maximum number of bytes buffered of an incomplete event.
const EVENT_BYTES_MAX: usize = 1 << 20;

impl Agent {
    /// Handles a part of the server's response to a running attempt.
    pub(crate) fn handle_response(
        &mut self,
        now: Instant,
        ticket: Ticket,
        part: ResponsePart,
        out: &mut Vec<Output>,
    ) {
        let is_started = self
            .attempts
            .get(&ticket)
            .is_some_and(|attempt| attempt.started.is_some());
        if !is_started {
            return;
        }
        match part {
            ResponsePart::Head(head) => self.relay_head(ticket, head, out),
            ResponsePart::Data(data) => self.relay_data(now, ticket, &data, out),
            ResponsePart::End => self.end_response(now, ticket, out),
            ResponsePart::Failed { sent, detail } => {
                self.fail_attempt(now, ticket, sent, detail, out);
            }
        }
    }

    fn relay_head(&mut self, ticket: Ticket, head: ResponseHead, out: &mut Vec<Output>) {
        let Some(attempt) = self.attempts.get_mut(&ticket) else {
            return;
        };
        let content_type = head.headers.iter().find(|(name, _)| name == "content-type");
        attempt.is_stream =
            content_type.is_some_and(|(_, value)| value.starts_with("text/event-stream"));
        attempt.head = Some(head.clone());
        let frame = Frame::Head(head);
        out.push(Output::Frame { ticket, frame });
    }

    fn relay_data(&mut self, now: Instant, ticket: Ticket, data: &[u8], out: &mut Vec<Output>) {
        let Some(attempt) = self.attempts.get_mut(&ticket) else {
            return;
        };
        if !attempt.is_stream {
            attempt.first_token_at.get_or_insert(now);
            attempt.buffer_body(data);
            let frame = Frame::Data(data.to_vec());
            out.push(Output::Frame { ticket, frame });
            return;
        }
        let events = attempt.splitter.push(data);
        let is_oversized = attempt.splitter.buffered_bytes() > EVENT_BYTES_MAX;
        if attempt.first_token_at.is_none() && !events.is_empty() {
            attempt.first_token_at = Some(now);
            let micros = now.since(attempt.arrived_at).as_micros() as u64;
            let dispatch = &attempt.dispatch;
            let counts = self
                .usage_reporter
                .counts_mut(&dispatch.team, &dispatch.service);
            UsageCounts::observe(&mut counts.first_byte_us, micros);
        }
        for event in events {
            attempt.event_count += 1;
            if attempt.remaining_tokens > 0 {
                attempt.remaining_tokens -= 1;
                self.running_backlog_tokens -= 1;
            }
            if attempt.dispatch.claim.is_some() {
                attempt.buffer_body(&event);
            }
            let frame = Frame::Data(event);
            out.push(Output::Frame { ticket, frame });
        }
        if is_oversized {
            out.push(Output::Abort { ticket });
            let detail = format!("stream event exceeds {EVENT_BYTES_MAX} bytes");
            self.fail_attempt(now, ticket, true, detail, out);
        }
    }

    /// Ends an attempt at the end of its response, which may be truncated.
    fn end_response(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(attempt) = self.attempts.get(&ticket) else {
            return;
        };
        let is_truncated = match attempt.is_stream {
            true => !attempt.splitter.is_done(),
            false => attempt.head.is_none(),
        };
        if is_truncated {
            let detail = "response ended before it was complete".to_owned();
            self.fail_attempt(now, ticket, true, detail, out);
            return;
        }
        let usage = attempt.usage();
        let started_at = attempt
            .started
            .as_ref()
            .map_or(attempt.arrived_at, |(at, _)| *at);
        let queued_us = started_at.since(attempt.arrived_at).as_micros() as u64;
        let total_us = now.since(attempt.arrived_at).as_micros() as u64;
        if let Some((team_key, _)) = attempt.claim() {
            self.keys.finish(&team_key, attempt.claim_outcome());
        }
        if let Some(sample) = attempt.sample(now, usage.generated) {
            self.estimator.observe(&sample);
        }
        let team = attempt.dispatch.team.clone();
        let counts = self
            .usage_reporter
            .counts_mut(&team, &attempt.dispatch.service);
        counts.delivered += 1;
        counts.tokens += usage.generated;
        UsageCounts::observe(&mut counts.total_us, total_us);
        self.remove_started(now, ticket, None, out);
        let frame = Frame::End {
            tokens: usage.generated,
            queued_us,
            load: self.load(),
            credit: self.credit(&team),
            cached_tokens: usage.cached,
        };
        out.push(Output::Frame { ticket, frame });
    }

    /// Ends an attempt that failed on the server; `sent` tells whether it may have run.
    pub(crate) fn fail_attempt(
        &mut self,
        now: Instant,
        ticket: Ticket,
        sent: bool,
        detail: String,
        out: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.attempts.get(&ticket) else {
            return;
        };
        out.push(self.event(Code::BackendFailed, attempt, &detail));
        if let Some((team_key, claim)) = attempt.claim() {
            match sent {
                true => self.keys.finish(&team_key, ClaimOutcome::ResponseLost),
                false => self.keys.release(&team_key, claim),
            }
        }
        let tokens = attempt.event_count;
        let team = attempt.dispatch.team.clone();
        self.remove_started(now, ticket, Some(Reason::ServerFailed), out);
        let frame = match sent {
            true => Frame::Failed { tokens, detail },
            false => Frame::Refused {
                refusal: Refusal::not_run(Reason::ServerFailed),
                load: self.load(),
                credit: self.credit(&team),
            },
        };
        out.push(Output::Frame { ticket, frame });
    }

    /// Removes a started attempt and frees its slot.
    pub(crate) fn remove_started(
        &mut self,
        _now: Instant,
        ticket: Ticket,
        failure: Option<Reason>,
        out: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.attempts.remove(&ticket) else {
            return;
        };
        self.decrement_open_by_entry(&attempt);
        self.running = self.running.saturating_sub(1);
        self.running_backlog_tokens = self
            .running_backlog_tokens
            .saturating_sub(attempt.remaining_tokens);
        self.abort_deadlines.remove(&(attempt.abort_at(), ticket));
        if let Some((_, dequeued)) = &attempt.started {
            // A failed attempt is charged for the tokens that it generated.
            let cost = match failure {
                None => attempt.usage().generated,
                Some(_) => attempt.event_count,
            };
            self.queue.finish(dequeued, cost);
        }
        if let Some(reason) = failure {
            let counts = self
                .usage_reporter
                .counts_mut(&attempt.dispatch.team, &attempt.dispatch.service);
            *counts.refused.entry(reason).or_default() += 1;
        }
        let detail = failure.map_or("whole", Reason::as_str);
        out.push(self.event(Code::AttemptEnded, &attempt, detail));
    }
}
