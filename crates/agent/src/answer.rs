//! Passes the back end's answers on to the entries.

use eelgrassdyke_core::event::Code;
use eelgrassdyke_core::id::Ticket;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::claim::ClaimOutcome;
use eelgrassdyke_core::wire::dispatch::{Frame, ResponseHead};
use eelgrassdyke_core::wire::refusal::{Reason, Refusal};
use eelgrassdyke_core::wire::report::UsageCounts;

use crate::agent::Agent;
use crate::io::{Output, Reply};

/// Largest event held while it is not whole, in bytes.
const EVENT_BYTES_MAX: usize = 1 << 20;

impl Agent {
    /// Takes in a part of the back end's answer.
    pub(crate) fn take_reply(
        &mut self,
        now: Instant,
        ticket: Ticket,
        reply: Reply,
        out: &mut Vec<Output>,
    ) {
        let started = self.works.get(&ticket).is_some_and(|w| w.started.is_some());
        if !started {
            return;
        }
        match reply {
            Reply::Head(head) => self.take_head(ticket, head, out),
            Reply::Data(data) => self.take_data(now, ticket, &data, out),
            Reply::End => self.finish(now, ticket, out),
            Reply::Failed { sent, detail } => self.fail(now, ticket, sent, detail, out),
        }
    }

    fn take_head(&mut self, ticket: Ticket, head: ResponseHead, out: &mut Vec<Output>) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };
        let kind = head.headers.iter().find(|(name, _)| name == "content-type");
        work.streams = kind.is_some_and(|(_, value)| value.starts_with("text/event-stream"));
        work.head = Some(head.clone());
        let frame = Frame::Head(head);
        out.push(Output::Frame { ticket, frame });
    }

    fn take_data(&mut self, now: Instant, ticket: Ticket, data: &[u8], out: &mut Vec<Output>) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };
        if !work.streams {
            work.first.get_or_insert(now);
            work.keep(data);
            let frame = Frame::Data(data.to_vec());
            out.push(Output::Frame { ticket, frame });
            return;
        }
        let events = work.splitter.push(data);
        let oversized = work.splitter.held_bytes() > EVENT_BYTES_MAX;
        if work.first.is_none() && !events.is_empty() {
            work.first = Some(now);
            let micros = now.since(work.since).as_micros() as u64;
            let dispatch = &work.dispatch;
            let row = self.books.counts_mut(&dispatch.team, &dispatch.service);
            UsageCounts::observe(&mut row.first_byte_us, micros);
        }
        for event in events {
            work.events += 1;
            if work.left > 0 {
                work.left -= 1;
                self.backlog -= 1;
            }
            if work.dispatch.claim.is_some() {
                work.keep(&event);
            }
            let frame = Frame::Data(event);
            out.push(Output::Frame { ticket, frame });
        }
        if oversized {
            out.push(Output::Abort { ticket });
            let detail = "an event is too large".to_owned();
            self.fail(now, ticket, true, detail, out);
        }
    }

    /// Ends an attempt whose answer is whole, or was cut.
    fn finish(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(work) = self.works.get(&ticket) else {
            return;
        };
        let cut = match work.streams {
            true => !work.splitter.is_done(),
            false => work.head.is_none(),
        };
        if cut {
            let detail = "the answer ended before it was whole".to_owned();
            self.fail(now, ticket, true, detail, out);
            return;
        }
        let usage = work.usage();
        let started = work.started.as_ref().map_or(work.since, |(at, _)| *at);
        let queued_us = started.since(work.since).as_micros() as u64;
        let whole_us = now.since(work.since).as_micros() as u64;
        if let Some((name, _)) = work.claim() {
            self.keys.finish(&name, work.outcome());
        }
        if let Some(reading) = work.reading(now, usage.tokens) {
            self.pace.observe(&reading);
        }
        let team = work.dispatch.team.clone();
        let row = self.books.counts_mut(&team, &work.dispatch.service);
        row.delivered += 1;
        row.tokens += usage.tokens;
        UsageCounts::observe(&mut row.total_us, whole_us);
        self.end(now, ticket, None, out);
        let frame = Frame::End {
            tokens: usage.tokens,
            queued_us,
            load: self.load(),
            credit: self.credit(&team),
            cached_tokens: usage.cached,
        };
        out.push(Output::Frame { ticket, frame });
    }

    /// Ends an attempt that the back end broke off.
    pub(crate) fn fail(
        &mut self,
        now: Instant,
        ticket: Ticket,
        sent: bool,
        detail: String,
        out: &mut Vec<Output>,
    ) {
        let Some(work) = self.works.get(&ticket) else {
            return;
        };
        out.push(self.event(Code::BackendFailed, work, &detail));
        if let Some((name, claim)) = work.claim() {
            match sent {
                true => self.keys.finish(&name, ClaimOutcome::ResponseLost),
                false => self.keys.release(&name, claim),
            }
        }
        let tokens = work.events;
        let team = work.dispatch.team.clone();
        self.end(now, ticket, Some(Reason::ServerFailed), out);
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

    /// Frees the slot of a started attempt.
    pub(crate) fn end(
        &mut self,
        _now: Instant,
        ticket: Ticket,
        failure: Option<Reason>,
        out: &mut Vec<Output>,
    ) {
        let Some(work) = self.works.remove(&ticket) else {
            return;
        };
        self.close_entry(&work);
        self.running = self.running.saturating_sub(1);
        self.backlog = self.backlog.saturating_sub(work.left);
        self.limits.remove(&(work.limit(), ticket));
        if let Some((_, turn)) = &work.started {
            // A failed attempt has cost what it generated.
            let cost = match failure {
                None => work.usage().tokens,
                Some(_) => work.events,
            };
            self.queue.finish(turn, cost);
        }
        if let Some(reason) = failure {
            let row = self
                .books
                .counts_mut(&work.dispatch.team, &work.dispatch.service);
            *row.refused.entry(reason).or_default() += 1;
        }
        let detail = failure.map_or("whole", Reason::as_str);
        out.push(self.event(Code::AttemptEnded, &work, detail));
    }
}
