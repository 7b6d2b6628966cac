//! Handling of responses and failed attempts: delivery, retry, queueing or refusal.

use std::time::Duration;

use eelgrassdyke_core::event::Code;
use eelgrassdyke_core::id::Ticket;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::refusal::{Reason, Refusal, RunStatus};
use rand::RngExt as _;

use super::budget::RetryLimit;
use super::events::QueueEstimate;
use super::flight::{DirectRequest, RETRY_AFTER_MIN, Stage, retry_after};
use super::io::{NotRunReason, Output};
use super::path::Direct;

/// Maximum number of attempts per request, including those that did not run, because they take time
/// as well.
const ATTEMPTS_MAX: u32 = 6;

/// Range of the random factor by which the time until a server wants requests again is multiplied for
/// the callers that it is told to.
const PAUSE_JITTER_FACTOR: std::ops::Range<f64> = 1.0..1.2;

/// Maximum number of servers that may end while they run one request.
const REQUEST_CRASHES_MAX: usize = 2;

impl Direct {
    /// Forwards a response, or retries at another server if it is an error that may be retried.
    pub(super) fn handle_response(
        &mut self,
        now: Instant,
        ticket: Ticket,
        mut request: DirectRequest,
        status: u16,
        out: &mut Vec<Output>,
    ) {
        if request.response_started {
            // Only a stream can continue a stream that has started.
            let detail = format!("got status {status} instead of the rest of the stream");
            self.record_event(now, Code::BackendFailed, &request, &detail, out);
            self.recover(now, ticket, request, out);
            return;
        }
        if status >= 500 && request.mount.retry_policy.allows_retry() {
            request.mark_possibly_run();
            if self.try_charge_retry(now, &request) {
                self.retry(now, ticket, request, "server failed", out);
                return;
            }
        }
        let detail = format!("status {status}");
        self.record_event(now, Code::RequestDelivered, &request, &detail, out);
        self.count_delivered(now, &request);
        self.record_completion_time(now, &request);
        out.push(Output::Deliver { ticket });
    }

    /// Resends a request that has not run, or refuses it.
    pub(super) fn handle_not_run(
        &mut self,
        now: Instant,
        ticket: Ticket,
        mut request: DirectRequest,
        reason: NotRunReason,
        out: &mut Vec<Output>,
    ) {
        if let (NotRunReason::NotSent | NotRunReason::OtherServer, Stage::Running { server, .. }) =
            (reason, &request.stage)
        {
            request.excluded_servers.push(server.clone());
        }
        if let (NotRunReason::Rejected, Stage::Running { server, .. }) = (reason, &request.stage)
            && !request.rejected_by.contains(server)
        {
            request.rejected_by.push(server.clone());
        }
        let may_resend =
            (request.response_started || request.attempts < ATTEMPTS_MAX) && now < request.deadline;
        // An attempt that was never sent put no load on servers, so its retry is not charged.
        if may_resend
            && (reason == NotRunReason::NotSent || self.charge_retry_or_defer(now, &mut request))
        {
            self.retry(now, ticket, request, "not run", out);
            return;
        }
        let run = request.run_status();
        self.give_up(now, ticket, request, Reason::Overload, run, out);
    }

    /// Recovers from an attempt that may have run and gave no response: retries or ends the
    /// request.
    pub(super) fn recover(
        &mut self,
        now: Instant,
        ticket: Ticket,
        mut request: DirectRequest,
        out: &mut Vec<Output>,
    ) {
        request.mark_possibly_run();
        let allowed = self.may_retry(now, &request) && request.mount.retry_policy.allows_retry();
        if allowed && self.charge_retry_or_defer(now, &mut request) {
            self.retry(now, ticket, request, "broken off", out);
            return;
        }
        self.give_up(
            now,
            ticket,
            request,
            Reason::ServerFailed,
            RunStatus::Unknown,
            out,
        );
    }

    /// Charges the budget for a retry of a request that may have run; returns whether it may be
    /// made.
    pub(super) fn try_charge_retry(&mut self, now: Instant, request: &DirectRequest) -> bool {
        self.may_retry(now, request) && self.charge_retry(now, request)
    }

    /// Whether mount and deadline allow another attempt of a request that may have run.
    fn may_retry(&self, now: Instant, request: &DirectRequest) -> bool {
        let within_limits =
            now < request.deadline && (request.response_started || request.attempts < ATTEMPTS_MAX);
        within_limits
            && request.possibly_run_at.len() < request.mount.max_attempts as usize
            && self.crashes.count_ended(request) < REQUEST_CRASHES_MAX
    }

    /// Charges the budget for a retry; returns whether the request may be retried or queued. A
    /// response that has started can't be refused, so its charge is deferred until the budget
    /// allows it.
    fn charge_retry_or_defer(&mut self, now: Instant, request: &mut DirectRequest) -> bool {
        let paid = self.charge_retry(now, request);
        request.retry_unpaid = request.response_started && !paid;
        paid || request.response_started
    }

    /// Charges the budget for a retry; returns whether the budget allows it.
    pub(super) fn charge_retry(&mut self, now: Instant, request: &DirectRequest) -> bool {
        let limit = RetryLimit {
            window: self.options.retry_window,
            retry_share: self.options.retry_share,
            retry_slack: self.options.retry_slack,
            entry_count: self.follower.entry_count(),
            uptime: now.since(self.started_at),
        };
        let window = self
            .retry_windows
            .entry(request.service.clone())
            .or_default();
        window.try_spend(now, &limit)
    }

    pub(super) fn retry(
        &mut self,
        now: Instant,
        ticket: Ticket,
        request: DirectRequest,
        reason: &str,
        out: &mut Vec<Output>,
    ) {
        let code = match request.response_started {
            true => Code::RequestResumed,
            false => Code::RequestRetried,
        };
        self.record_event(now, code, &request, reason, out);
        self.send_or_enqueue(now, ticket, request, out);
    }

    /// Ends a request without a response.
    pub(super) fn give_up(
        &mut self,
        now: Instant,
        ticket: Ticket,
        request: DirectRequest,
        reason: Reason,
        run: RunStatus,
        out: &mut Vec<Output>,
    ) {
        if request.response_started {
            self.count_refused(&request, reason);
            let detail = format!("stream broken off: {reason}");
            self.record_event(now, Code::RequestRefused, &request, &detail, out);
            out.push(Output::Abort { ticket });
            return;
        }
        let may_retry_later = now < request.deadline && run == RunStatus::No;
        let delay = may_retry_later.then(|| retry_after(&request, now, RETRY_AFTER_MIN));
        let refusal = Refusal {
            reason,
            run_status: run,
            retry_after_ms: delay.map(|delay| self.apply_jitter_ms(delay)),
        };
        self.refuse(now, ticket, &request, refusal, None, out);
    }

    /// Refuses a request while all servers of its service want no requests; the first one wants some
    /// again at `pause_end`.
    pub(super) fn refuse_paused(
        &mut self,
        now: Instant,
        ticket: Ticket,
        request: DirectRequest,
        pause_end: Instant,
        out: &mut Vec<Output>,
    ) {
        let run_status = request.run_status();
        let delay = pause_end
            .since(now)
            .mul_f64(self.rng.random_range(PAUSE_JITTER_FACTOR));
        let refusal = Refusal {
            reason: Reason::Overload,
            run_status,
            retry_after_ms: (run_status == RunStatus::No).then_some(delay.as_millis() as u64),
        };
        self.refuse(now, ticket, &request, refusal, None, out);
    }

    /// Refuses a request; `estimate` is set if no slot was available in time.
    pub(super) fn refuse(
        &mut self,
        now: Instant,
        ticket: Ticket,
        request: &DirectRequest,
        refusal: Refusal,
        estimate: Option<QueueEstimate>,
        out: &mut Vec<Output>,
    ) {
        self.record_refusal(now, request, &refusal, estimate, out);
        self.count_refused(request, refusal.reason);
        out.push(Output::Refuse { ticket, refusal });
    }

    pub(super) fn apply_jitter_ms(&mut self, delay: Duration) -> u64 {
        self.apply_jitter(delay).as_millis() as u64
    }
}
