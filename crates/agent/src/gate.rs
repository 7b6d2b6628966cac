//! Admission control: admits or refuses dispatches, queues them, and forwards them to the server.

use std::time::Duration;

use eelgrassdyke_core::config::Share;
use eelgrassdyke_core::event::Code;
use eelgrassdyke_core::id::{Team, Ticket};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::directory::ServerState;
use eelgrassdyke_core::wire::dispatch::{Credit, Dispatch, Frame};
use eelgrassdyke_core::wire::refusal::{Reason, Refusal};

use crate::agent::Agent;
use crate::io::Output;
use crate::keys::Admission;
use crate::queue::DequeuedItem;
use crate::work::Attempt;

/// Minimum time after which a refusal by a full or draining agent lets the entry retry.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);

/// Queueing time that credits allow for in addition to the service time.
const CREDIT_QUEUE_TIME: Duration = Duration::from_secs(1);

impl Agent {
    /// Queues a dispatch or refuses it.
    pub(crate) fn handle_dispatch(
        &mut self,
        now: Instant,
        ticket: Ticket,
        dispatch: Dispatch,
        out: &mut Vec<Output>,
    ) {
        let attempt = Attempt::new(now, dispatch);
        let dispatch = &attempt.dispatch;
        let share = self.share(&dispatch.team);
        self.usage_reporter
            .counts_mut(&dispatch.team, &dispatch.service)
            .received += 1;
        if let Err(refusal) = self.admit(now, &attempt, &share) {
            self.refuse(ticket, &attempt, refusal, out);
            return;
        }
        out.push(self.event(Code::AttemptQueued, &attempt, ""));
        let entry = dispatch.attempt.request.entry.clone();
        *self.open_by_entry.entry(entry).or_default() += 1;
        let item = attempt.queue_item(ticket);
        self.attempts.insert(ticket, attempt);
        if let Some(shed) = self.queue.push(item, share) {
            let wait = self.estimator.backlog_time(self.queue.cost());
            let refusal =
                Refusal::not_run(Reason::ShareExceeded).with_retry_after(wait.max(RETRY_AFTER_MIN));
            self.refuse_dequeued(shed.ticket, refusal, out);
        }
    }

    /// The share of a team in this service, by the current configuration.
    pub(crate) fn share(&self, team: &Team) -> Share {
        let spec = self.follower.document().teams.get(team);
        let share = spec.and_then(|spec| spec.shares.get(&self.options.service));
        share.cloned().unwrap_or_default()
    }

    /// Decides whether a dispatch may be queued; if so, admits its idempotency key.
    fn admit(&mut self, now: Instant, attempt: &Attempt, share: &Share) -> Result<(), Refusal> {
        let dispatch = &attempt.dispatch;
        let is_other_server = dispatch.server != self.options.server;
        if is_other_server || dispatch.incarnation != self.local.incarnation {
            return Err(Refusal::not_run(Reason::WrongIncarnation));
        }
        // The key is checked first: a duplicate of a running dispatch must not be refused as not
        // run.
        let claim = attempt.claim();
        if let Some((team_key, claim)) = &claim {
            match self.keys.admit(team_key, *claim) {
                Admission::Granted => {}
                Admission::Sealed => return Err(Refusal::not_run(Reason::KeySealed)),
                Admission::Duplicate => return Err(Refusal::may_have_run(Reason::StillRunning)),
            }
        }
        let result = match self.state() {
            ServerState::Up => self.check_deadline(now, attempt, share),
            _ => Err(Refusal::not_run(Reason::Draining).with_retry_after(RETRY_AFTER_MIN)),
        };
        if let (Err(_), Some((team_key, claim))) = (&result, &claim) {
            self.keys.release(team_key, *claim);
        }
        result
    }

    /// Refuses an attempt that can't meet its deadline behind the attempts queued now.
    fn check_deadline(
        &self,
        now: Instant,
        attempt: &Attempt,
        share: &Share,
    ) -> Result<(), Refusal> {
        let service_time = self.estimator.service_time(attempt.expected_cost());
        if now + service_time > attempt.deadline {
            return Err(Refusal::not_run(Reason::Deadline));
        }
        if self.running < self.options.slots && self.queue.is_empty() {
            return Ok(());
        }
        let dispatch = &attempt.dispatch;
        let cost_ahead = self
            .queue
            .cost_ahead(&dispatch.team, share, dispatch.priority);
        let estimated_end = now + self.estimator.backlog_time(cost_ahead) + service_time;
        if estimated_end <= attempt.deadline {
            return Ok(());
        }
        // If only a part of the queue is served first, the team waits for its own backlog and so
        // exceeds its share; otherwise the server is overloaded.
        let reason = match cost_ahead < self.queue.cost() {
            true => Reason::ShareExceeded,
            false => Reason::Overload,
        };
        let wait = estimated_end.since(attempt.deadline).max(RETRY_AFTER_MIN);
        Err(Refusal::not_run(reason).with_retry_after(wait))
    }

    /// Sends a refusal and counts it.
    pub(crate) fn refuse(
        &mut self,
        ticket: Ticket,
        attempt: &Attempt,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        let dispatch = &attempt.dispatch;
        let counts = self
            .usage_reporter
            .counts_mut(&dispatch.team, &dispatch.service);
        *counts.refused.entry(refusal.reason).or_default() += 1;
        out.push(self.event(Code::AttemptRefused, attempt, refusal.reason.as_str()));
        let frame = Frame::Refused {
            refusal,
            load: self.load(),
            credit: self.credit(&dispatch.team),
        };
        out.push(Output::Frame { ticket, frame });
    }

    /// Credit of one entry for a team; unlimited while nothing is queued.
    pub(crate) fn credit(&self, team: &Team) -> Credit {
        let (Some(throughput), false) = (self.estimator.throughput(), self.queue.is_empty()) else {
            return Credit::default();
        };
        let fraction = self.queue.entitlement(team, &self.share(team));
        let time = self.estimator.average_service_time() + CREDIT_QUEUE_TIME;
        let entry_count = self.open_by_entry.len().max(1) as f64;
        let tokens = fraction * throughput * time.as_secs_f64() / entry_count;
        Credit {
            tokens: Some(tokens.max(1.0) as u64),
        }
    }

    /// Refuses queued attempts at their deadline, and aborts running attempts some time after it.
    pub(crate) fn expire_attempts(&mut self, now: Instant, out: &mut Vec<Output>) {
        for item in self.queue.remove_expired(now) {
            let refusal = Refusal::not_run(Reason::Deadline);
            self.refuse_dequeued(item.ticket, refusal, out);
        }
        while let Some((abort_at, ticket)) = self.abort_deadlines.first().copied() {
            if abort_at > now {
                return;
            }
            self.abort_deadlines.remove(&(abort_at, ticket));
            out.push(Output::Abort { ticket });
            let detail =
                "server did not complete the response within the grace period; call aborted"
                    .to_owned();
            self.fail_attempt(now, ticket, true, detail, out);
        }
    }

    /// Refuses an attempt that was removed from the queue before it ran, and releases its key.
    pub(crate) fn refuse_dequeued(
        &mut self,
        ticket: Ticket,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.attempts.remove(&ticket) else {
            return;
        };
        self.decrement_open_by_entry(&attempt);
        if let Some((team_key, claim)) = attempt.claim() {
            self.keys.release(&team_key, claim);
        }
        self.refuse(ticket, &attempt, refusal, out);
    }

    /// Forwards queued attempts while slots are free.
    pub(crate) fn start_queued(&mut self, now: Instant, out: &mut Vec<Output>) {
        while self.running < self.options.slots {
            let Some(dequeued) = self.queue.pop() else {
                return;
            };
            let ticket = dequeued.item.ticket;

            // An attempt that can no longer meet its deadline would only waste server time.
            let service_time = self.estimator.service_time(dequeued.item.cost);
            if now + service_time > dequeued.item.deadline {
                self.queue.finish(&dequeued, 0);
                let wait = self.estimator.backlog_time(self.queue.cost());
                let refusal =
                    Refusal::not_run(Reason::Deadline).with_retry_after(wait.max(RETRY_AFTER_MIN));
                self.refuse_dequeued(ticket, refusal, out);
                continue;
            }
            self.start_attempt(now, ticket, dequeued, out);
        }
    }

    fn start_attempt(
        &mut self,
        now: Instant,
        ticket: Ticket,
        dequeued: DequeuedItem,
        out: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&ticket) else {
            self.queue.finish(&dequeued, 0);
            return;
        };
        attempt.remaining_tokens = dequeued.item.cost;
        attempt.started = Some((now, dequeued));
        self.running += 1;
        self.running_backlog_tokens += attempt.remaining_tokens;
        self.abort_deadlines.insert((attempt.abort_at(), ticket));
        let call = attempt.backend_call();
        let time_left = attempt.deadline.since(now);
        let queued_us = now.since(attempt.arrived_at).as_micros() as u64;
        let dispatch = &attempt.dispatch;
        let counts = self
            .usage_reporter
            .counts_mut(&dispatch.team, &dispatch.service);
        counts.forwarded += 1;
        counts.queued_us += queued_us;
        out.push(self.event(Code::AttemptStarted, &self.attempts[&ticket], ""));
        out.push(Output::Forward {
            ticket,
            call,
            time_left,
        });
    }

    /// Handles an entry that closed its exchange.
    ///
    /// A queued attempt is refused. A running one is aborted only if it may run again; an attempt
    /// under a claim may not, so it runs to its end.
    pub(crate) fn handle_cancellation(
        &mut self,
        now: Instant,
        ticket: Ticket,
        out: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.attempts.get(&ticket) else {
            return;
        };
        let is_claimed = attempt.dispatch.claim.is_some();
        if self.queue.remove(ticket).is_some() {
            let refusal = Refusal::not_run(Reason::CallerGone);
            self.refuse_dequeued(ticket, refusal, out);
            return;
        }
        if is_claimed {
            return;
        }
        out.push(Output::Abort { ticket });
        self.remove_started(now, ticket, Some(Reason::CallerGone), out);
    }

    /// Decrements the number of open attempts of the attempt's entry.
    pub(crate) fn decrement_open_by_entry(&mut self, attempt: &Attempt) {
        let entry = &attempt.dispatch.attempt.request.entry;
        let Some(open) = self.open_by_entry.get_mut(entry) else {
            return;
        };
        *open -= 1;
        if *open == 0 {
            self.open_by_entry.remove(entry);
        }
    }
}
