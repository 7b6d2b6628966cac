//! The state machine of the direct path: admission, queueing, dispatch and timers.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrassdyke_core::books::UsageReporter;
use eelgrassdyke_core::config::MountSpec;
use eelgrassdyke_core::crash::Content;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::follow::Follower;
use eelgrassdyke_core::id::{Server, Service, Team, Ticket, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::Bytes;
use eelgrassdyke_core::wire::refusal::{Reason, Refusal, RunStatus};
use eelgrassdyke_core::wire::report::ReportSource;
use eelgrassdyke_core::wire::{Message, Sender};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::body_limit::BodyLimit;
use super::budget::RetryWindow;
use super::cold::ColdWatch;
use super::crash::{CrashWatch, Verdict};
use super::events::QueueEstimate;
use super::flight::{DirectRequest, Stage, contents, retry_after};
use super::io::{AttemptOutcome, AttemptSpec, Call, Input, NotRunReason, Options, Output};
use super::limit::DemandMeter;
use super::line::WaitQueue;
use super::pool::{HealthSignal, ServerPool};
use super::shutdown::CompletionTimes;
use super::slots::shared_demands;
use super::table::MountTable;

/// Fraction of the latency target that a request may wait in the queue; the rest is left to the
/// server.
const QUEUE_WAIT_FRACTION: f64 = 0.6;

/// Maximum queueing time while a service has no server at all: one may be about to announce itself.
const NO_SERVER_WAIT: Duration = Duration::from_millis(200);

/// Interval at which sending queued requests is tried even if no attempt ends: a server that was
/// full or stalled may accept requests again.
const QUEUE_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Range of the random factor by which retry-after times are multiplied.
const RETRY_AFTER_JITTER_FACTOR: std::ops::Range<f64> = 0.6..1.1;

/// Range of the factor by which the quarantines of an entry are longer than those of control.
const QUARANTINE_STRETCH: std::ops::Range<f64> = 1.0..1.5;

/// The direct path of one entry.
pub struct Direct {
    pub(super) options: Options,
    pub(super) follower: Follower,
    pub(super) mounts: MountTable,
    pub(super) pool: ServerPool,
    pub(super) cold: ColdWatch,
    pub(super) body_limit: BodyLimit,
    pub(super) queues: BTreeMap<Service, WaitQueue>,
    pub(super) retry_windows: BTreeMap<Service, RetryWindow>,
    pub(super) demands: BTreeMap<Service, DemandMeter>,
    pub(super) started_at: Instant,
    /// When the queued requests are next tried, even if no attempt ends.
    pub(super) next_queue_retry: Instant,
    pub(super) requests: BTreeMap<Ticket, DirectRequest>,
    pub(super) timers: BTreeSet<(Instant, Ticket)>,
    pub(super) crashes: CrashWatch,
    /// Servers whose limits changed here and have not been sent.
    pub(super) changed_limits: BTreeSet<Server>,
    pub(super) usage: UsageReporter,
    pub(super) rng: ChaCha8Rng,
    pub(super) draining_since: Option<Instant>,
    pub(super) completion_times: CompletionTimes,
}

impl Direct {
    /// A direct path without configuration, servers or requests.
    pub fn new(now: Instant, local: &Sender, options: Options) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let stretch = rng.random_range(QUARANTINE_STRETCH);
        Self {
            crashes: CrashWatch::new(local.incarnation, stretch),
            changed_limits: BTreeSet::new(),
            follower: Follower::new(local, options.control_addresses.clone(), true),
            mounts: MountTable::default(),
            pool: ServerPool::default(),
            cold: ColdWatch::default(),
            body_limit: BodyLimit::default(),
            queues: BTreeMap::new(),
            retry_windows: BTreeMap::new(),
            demands: BTreeMap::new(),
            started_at: now,
            next_queue_retry: Instant::NEVER,
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            usage: UsageReporter::new(local, ReportSource::Entry, &options.control_addresses),
            rng,
            draining_since: None,
            completion_times: CompletionTimes::default(),
            options,
        }
    }

    /// Processes one input at time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        self.update_cold_limits(now, false, out);
        // Progress is recorded before the timers check for attempts without progress.
        if let Input::EventForwarded { ticket, attempt } = input {
            self.handle_event_forwarded(now, ticket, attempt, out);
        }
        if let Input::ResponseWaits { ticket, attempt } = input {
            self.handle_response_waits(now, ticket, attempt);
        }
        self.run_timers(now, out);
        match input {
            Input::Call { ticket, call } => self.handle_call(now, ticket, call, out),
            Input::CallerGone { ticket } => self.handle_caller_gone(now, ticket, out),
            Input::EventForwarded { .. } | Input::ResponseWaits { .. } => {}
            Input::AttemptEnded {
                ticket,
                attempt,
                outcome,
            } => self.handle_attempt_end(now, ticket, attempt, outcome, out),
            Input::ServerSignal {
                server,
                incarnation,
                signal,
            } => self.handle_server_signal(now, &server, incarnation, signal, out),
            Input::ServerChecked {
                server,
                incarnation,
                has_ended,
            } => self.handle_server_check(now, &server, incarnation, has_ended, out),
            Input::Message { from, message } => self.handle_message(now, &from, message, out),
            Input::Tick => {}
            Input::Drain => self.begin_shutdown(now),
        }
        while let Some((to, poll)) = self.follower.next_poll_with(now, || {
            shared_demands(now, &self.pool, &self.demands, self.options.exact_slots)
        }) {
            let message = Message::Poll(poll);
            out.push(Output::Send { to, message });
        }
        self.send_usage_pages(now, out);
        self.send_facts(now, out);
        if now >= self.next_queue_retry {
            self.next_queue_retry = Instant::NEVER;
            self.send_all_queued(now, out);
        }
        self.next_queue_retry = match self.queues.values().all(WaitQueue::is_empty) {
            true => Instant::NEVER,
            false => self.next_queue_retry.min(now + QUEUE_RETRY_INTERVAL),
        };
    }

    /// When the direct path next needs an [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        let next_timer = self.timers.first().map_or(Instant::NEVER, |(at, _)| *at);
        next_timer
            .min(self.follower.next_deadline())
            .min(self.usage.next_deadline())
            .min(self.crashes.next_deadline())
            .min(self.next_queue_retry)
    }

    /// Whether callers may send requests: a quorum has confirmed a configuration, and no shutdown
    /// has begun.
    pub fn is_ready(&self) -> bool {
        self.follower.is_confirmed()
            && self.follower.version() > Version(0)
            && self.draining_since.is_none()
    }

    /// The configuration version in force.
    pub fn version(&self) -> Version {
        self.follower.version()
    }

    /// Maximum size of a request body by the configuration; none without one.
    pub fn body_max(&self, now: Instant) -> Option<Bytes> {
        self.body_limit.get(now)
    }

    /// Number of requests in progress.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether a graceful shutdown is complete.
    pub fn is_done(&self, now: Instant) -> bool {
        self.is_closed(now) && self.requests.is_empty()
    }

    /// Whether the grace period of a shutdown is over, so that a new request might be cut off.
    fn is_closed(&self, now: Instant) -> bool {
        let grace = self.options.drain_grace;
        self.draining_since
            .is_some_and(|since| now.since(since) >= grace)
    }

    fn handle_call(&mut self, now: Instant, ticket: Ticket, call: Call, out: &mut Vec<Output>) {
        let request = match self.admit(now, &call) {
            Ok(request) => request,
            Err(reason) => {
                self.record_rejected_call(now, &call, reason, out);
                let mut refusal = Refusal::not_run(reason);
                if let Some(delay) = self.return_time(now, reason, call.time_left) {
                    refusal = refusal.with_retry_after(delay);
                }
                out.push(Output::Refuse { ticket, refusal });
                return;
            }
        };
        let window = self
            .retry_windows
            .entry(request.service.clone())
            .or_default();
        window.record_request(now, self.options.retry_window);
        self.demands
            .entry(request.service.clone())
            .or_default()
            .record_request(now);
        self.count_received(&request);
        self.crashes.record_request(&request);
        self.send_or_enqueue(now, ticket, request, out);
    }

    /// Determines mount, team, service and deadline of a call, or the reason to refuse it.
    fn admit(&mut self, now: Instant, call: &Call) -> Result<DirectRequest, Reason> {
        if !self.follower.is_confirmed() || self.follower.version() == Version(0) {
            return Err(Reason::NotReady);
        }
        if self.is_closed(now) {
            return Err(Reason::Draining);
        }
        let mount = self.mounts.find_mount(&call.host, &call.path);
        let mount = mount.ok_or(Reason::NoService)?;
        let team = match mount.anonymous || self.follower.document().teams.is_empty() {
            true => None,
            false => {
                let key = call.api_key.as_deref().ok_or(Reason::Unauthenticated)?;
                let team = self
                    .mounts
                    .team_by_key(key)
                    .ok_or(Reason::Unauthenticated)?;
                Some(team.clone())
            }
        };
        let timeout = Duration::from_millis(mount.timeout_ms);
        let time_left = call.time_left.unwrap_or(timeout).min(timeout);
        if time_left.is_zero() {
            return Err(Reason::Deadline);
        }
        self.check_shutdown(now, &mount, time_left)?;
        let caller = team.as_ref().map_or("", Team::as_str);
        Ok(DirectRequest {
            call_id: call.id.clone(),
            contents: contents(call, caller),
            service: self.draw_service(&mount),
            priority: self.mounts.priority(&mount, team.as_ref()),
            mount,
            team,
            received_at: now,
            deadline: now + time_left,
            answer_by: self.shutdown_end(),
            stage: Stage::Queued {
                queue_key: (0, 0),
                refuse_at: now,
            },
            attempts: 0,
            possibly_run_at: Vec::new(),
            excluded_servers: Vec::new(),
            rejected_by: Vec::new(),
            response_started: false,
            retry_unpaid: false,
            sent_as_suspect: false,
        })
    }

    /// Selects a service of a mount at random by weight.
    fn draw_service(&mut self, mount: &MountSpec) -> Service {
        let total: u64 = mount.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut draw = self.rng.random_range(0..total.max(1));
        for part in &mount.split {
            let weight = u64::from(part.weight);
            if draw < weight {
                return part.service.clone();
            }
            draw -= weight;
        }
        // Unreachable for a valid mount, whose weights have a positive sum.
        mount.split[0].service.clone()
    }

    /// Sends a request to a server, or queues it, or refuses it.
    pub(super) fn send_or_enqueue(
        &mut self,
        now: Instant,
        ticket: Ticket,
        request: DirectRequest,
        out: &mut Vec<Output>,
    ) {
        match self.crashes.verdict(now, &request) {
            Verdict::Quarantined(_, quarantine) => {
                self.refuse_quarantined(now, ticket, request, quarantine, out);
                return;
            }
            Verdict::Suspected
                if request.attempts == 0 && self.servers_kept_from_suspect(&request).is_none() =>
            {
                self.refuse_suspected(now, ticket, request, out);
                return;
            }
            Verdict::Suspected | Verdict::Sound => {}
        }
        if !request.response_started && self.pool.is_evacuated(&request.service) {
            self.refuse_evacuated(now, ticket, request, out);
            return;
        }
        if let Some(pause_end) = self.pool.all_paused_until(now, &request.service)
            && !request.response_started
        {
            self.refuse_paused(now, ticket, request, pause_end, out);
            return;
        }
        let queue_is_empty = self.queue(&request.service).is_empty();
        let Some(request) = (match queue_is_empty || request.attempts > 0 {
            true => self.try_send(now, ticket, request, out),
            false => Some(request),
        }) else {
            return;
        };
        let wait_max = match self.pool.has_available_server(now, &request.service) {
            true => request.latency_target().mul_f64(QUEUE_WAIT_FRACTION),
            false => NO_SERVER_WAIT,
        };
        let allotment = self.allotment(now, &request.service);
        let capacity = self.pool.capacity(now, &request.service, &allotment);
        let priority = request.priority;
        let wait = self
            .queue(&request.service)
            .expected_wait(now, priority, &capacity);
        let estimate = QueueEstimate {
            wait,
            wait_max,
            slot_limit: capacity.total_slots(),
        };
        if wait > wait_max && request.attempts == 0 {
            let refusal = Refusal {
                reason: Reason::Overload,
                run_status: RunStatus::No,
                retry_after_ms: Some(self.apply_jitter_ms(retry_after(&request, now, wait))),
            };
            self.refuse(now, ticket, &request, refusal, Some(estimate), out);
            return;
        }
        let ahead = self.queue(&request.service).count_ahead(priority);
        self.record_queued(now, &request, ahead, estimate, out);
        self.enqueue(now, ticket, request, wait_max);
    }

    fn enqueue(
        &mut self,
        now: Instant,
        ticket: Ticket,
        mut request: DirectRequest,
        wait_max: Duration,
    ) {
        // A response that has started can't be refused: its retry goes first and may wait until the
        // deadline.
        let (priority, refuse_at) = match request.response_started {
            true => (0, request.deadline),
            false => (request.priority, now + wait_max),
        };
        let queue_key = self.queue(&request.service).enqueue(priority, ticket);
        request.stage = Stage::Queued {
            queue_key,
            refuse_at,
        };
        self.insert_request(ticket, request);
    }

    /// Sends a request to the best server with a free slot; returns the request if there is none.
    fn try_send(
        &mut self,
        now: Instant,
        ticket: Ticket,
        mut request: DirectRequest,
        out: &mut Vec<Output>,
    ) -> Option<DirectRequest> {
        let allotment = self.allotment(now, &request.service);
        let is_suspect = self.crashes.verdict(now, &request) != Verdict::Sound;
        // Of several entries with suspected content, all risk the same server.
        let affinity = self.crashes.suspected_content(&request);
        let affinity = affinity.filter(|_| is_suspect).map(Content::to_string);
        let excluded_servers = match is_suspect {
            false => Cow::Borrowed(&request.excluded_servers),
            true => match self.servers_kept_from_suspect(&request) {
                Some(servers) => Cow::Owned(servers),
                None => return Some(request),
            },
        };
        self.pool.refill(now, &request.service, || {
            self.follower.share(now, &request.service)
        });
        let choice = self.pool.choose_server(
            now,
            &request.service,
            &allotment,
            &excluded_servers,
            affinity.as_deref(),
            &mut self.rng,
        );
        let Some(choice) = choice else {
            return Some(request);
        };
        if request.retry_unpaid && !self.charge_retry(now, &request) {
            return Some(request);
        }
        request.retry_unpaid = false;
        if request.attempts == 0 {
            self.count_forwarded(now, &request);
        }
        request.attempts += 1;
        request.sent_as_suspect = is_suspect;
        self.pool.record_start(now, &choice.server);
        let spec = AttemptSpec {
            attempt: request.attempts,
            server: choice.server.clone(),
            incarnation: choice.incarnation,
            address: choice.address,
            time_left: request.end().since(now),
            team: request.team.clone(),
            priority: request.priority,
            // A server that repeats its rejection does so with the same id.
            new_connection: !request.mount.retry_policy.allows_retry()
                || request.rejected_by.contains(&choice.server),
            is_stream: request.mount.retry_policy.is_stream(),
        };
        self.record_dispatch(now, &request, &choice, out);
        out.push(Output::StartAttempt { ticket, spec });
        request.stage = Stage::Running {
            server: choice.server,
            incarnation: choice.incarnation,
            started_at: now,
            last_progress: now,
            first_event_at: None,
        };
        self.insert_request(ticket, request);
        None
    }

    /// Sends queued requests of a service, in queue order, while servers have free slots.
    pub(super) fn send_queued(&mut self, now: Instant, service: &Service, out: &mut Vec<Output>) {
        for ticket in self.queue(service).tickets() {
            let Some(request) = self.remove_request(ticket) else {
                continue;
            };
            let stage = request.stage.clone();
            let Stage::Queued { queue_key, .. } = stage else {
                self.insert_request(ticket, request);
                continue;
            };
            self.queue(service).remove(queue_key);
            let Some(mut request) = self.try_send(now, ticket, request, out) else {
                continue;
            };
            let has_exclusions = !request.excluded_servers.is_empty()
                || self.crashes.verdict(now, &request) != Verdict::Sound;
            self.queue(service).requeue(queue_key, ticket);
            request.stage = stage;
            self.insert_request(ticket, request);
            // If no server was excluded for this request, those behind it find no free slot either.
            if !has_exclusions {
                return;
            }
        }
    }

    fn handle_event_forwarded(
        &mut self,
        now: Instant,
        ticket: Ticket,
        attempt: u32,
        out: &mut Vec<Output>,
    ) {
        let Some(mut request) = self.remove_if_current(ticket, attempt) else {
            return;
        };
        if !request.response_started {
            self.count_first_byte(now, &request);
        }
        request.response_started = true;
        if let Stage::Running {
            server,
            last_progress,
            first_event_at,
            ..
        } = &mut request.stage
        {
            *last_progress = now;
            first_event_at.get_or_insert(now);
            self.pool.record_progress(now, server);
        }
        let cleared = self.crashes.record_event(now, &request);
        self.record_cleared_parts(&cleared, out);
        self.insert_request(ticket, request);
    }

    /// Records that a response waits for this process, which says nothing against its server.
    fn handle_response_waits(&mut self, now: Instant, ticket: Ticket, attempt: u32) {
        let Some(mut request) = self.remove_if_current(ticket, attempt) else {
            return;
        };
        if let Stage::Running {
            server,
            last_progress,
            ..
        } = &mut request.stage
        {
            *last_progress = now;
            self.pool.record_progress(now, server);
        }
        self.insert_request(ticket, request);
    }

    /// Processes the end of an attempt.
    fn handle_attempt_end(
        &mut self,
        now: Instant,
        ticket: Ticket,
        attempt: u32,
        outcome: AttemptOutcome,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.remove_if_current(ticket, attempt) else {
            return;
        };
        let service = request.service.clone();
        self.record_crash_evidence(now, &request, outcome, out);
        self.record_outcome(now, &request, outcome, out);
        match outcome {
            AttemptOutcome::Responded(status) => {
                self.handle_response(now, ticket, request, status, out)
            }
            AttemptOutcome::Streamed => {
                self.record_event(now, Code::RequestDelivered, &request, "stream", out);
                self.count_delivered(now, &request);
                self.record_completion_time(now, &request);
                out.push(Output::EndStream { ticket });
            }
            AttemptOutcome::NotRun(reason) => {
                self.handle_not_run(now, ticket, request, reason, out)
            }
            AttemptOutcome::ResponseLost => self.recover(now, ticket, request, out),
        }
        self.send_queued(now, &service, out);
    }

    /// Records the end of an attempt with the server pool and the queue.
    fn record_outcome(
        &mut self,
        now: Instant,
        request: &DirectRequest,
        outcome: AttemptOutcome,
        out: &mut Vec<Output>,
    ) {
        let signal = match outcome {
            AttemptOutcome::Responded(status) if status >= 500 => HealthSignal::Failed,
            AttemptOutcome::Responded(_) | AttemptOutcome::Streamed => HealthSignal::Served,
            AttemptOutcome::NotRun(NotRunReason::Rejected) => HealthSignal::Full,
            AttemptOutcome::NotRun(NotRunReason::OtherServer) => HealthSignal::Moved,
            AttemptOutcome::NotRun(NotRunReason::NotSent) | AttemptOutcome::ResponseLost => {
                HealthSignal::Broken
            }
        };
        self.record_attempt_end(now, request, signal, out);
        if let (HealthSignal::Served, Stage::Running { started_at, .. }) = (signal, &request.stage)
        {
            self.queue(&request.service)
                .record_completion(now, *started_at);
        }
    }

    pub(super) fn record_attempt_end(
        &mut self,
        now: Instant,
        request: &DirectRequest,
        signal: HealthSignal,
        out: &mut Vec<Output>,
    ) {
        let Stage::Running {
            server,
            incarnation,
            ..
        } = &request.stage
        else {
            return;
        };
        if self.pool.record_end(now, server, *incarnation, signal) {
            let event = Event::new(Code::ServerEjected, format!("{signal:?}"));
            out.push(Output::Event(event.server(server)));
        }
    }

    /// Randomises a retry-after time, so that callers refused together don't retry together.
    pub(super) fn apply_jitter(&mut self, delay: Duration) -> Duration {
        delay.mul_f64(self.rng.random_range(RETRY_AFTER_JITTER_FACTOR))
    }

    fn handle_caller_gone(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(request) = self.remove_request(ticket) else {
            return;
        };
        self.record_event(
            now,
            Code::RequestCancelled,
            &request,
            "caller disconnected",
            out,
        );
        self.count_refused(&request, Reason::CallerGone);
        self.release_stage(now, ticket, &request, HealthSignal::Unknown, out);
        let service = request.service.clone();
        self.send_queued(now, &service, out);
    }

    /// Releases what an abandoned request holds: its queue entry or its running attempt.
    pub(super) fn release_stage(
        &mut self,
        now: Instant,
        ticket: Ticket,
        request: &DirectRequest,
        signal: HealthSignal,
        out: &mut Vec<Output>,
    ) {
        match &request.stage {
            Stage::Queued { queue_key, .. } => self.queue(&request.service).remove(*queue_key),
            Stage::Running { .. } => {
                out.push(Output::Cancel { ticket });
                self.record_attempt_end(now, request, signal, out);
            }
        }
    }

    /// Runs each timer that is due once; one that is set to the present again waits for the next input.
    fn run_timers(&mut self, now: Instant, out: &mut Vec<Output>) {
        let due = self.timers.range(..=(now, Ticket(u64::MAX)));
        let due: Vec<_> = due.copied().collect();
        for timer in due {
            // A timer that ran before may have removed or changed this one.
            if !self.timers.remove(&timer) {
                continue;
            }
            let (_, ticket) = timer;
            if let Some(request) = self.remove_request(ticket) {
                self.handle_timer(now, ticket, request, out);
            }
        }
    }

    /// Handles an expired timer: the request was queued too long, its attempt may hang, or its
    /// deadline passed.
    fn handle_timer(
        &mut self,
        now: Instant,
        ticket: Ticket,
        mut request: DirectRequest,
        out: &mut Vec<Output>,
    ) {
        let service = request.service.clone();
        let is_overdue = now >= request.end();
        let cause = match now >= request.deadline {
            true => Reason::Deadline,
            false => Reason::Draining,
        };
        match request.stage.clone() {
            Stage::Queued { queue_key, .. } => {
                self.queue(&service).remove(queue_key);
                let run = request.run_status();
                let reason = match now >= request.answer_by {
                    true => Reason::Draining,
                    false => Reason::Overload,
                };
                self.give_up(now, ticket, request, reason, run, out);
            }
            Stage::Running { .. } if is_overdue => {
                self.release_stage(now, ticket, &request, HealthSignal::Unknown, out);
                self.give_up(now, ticket, request, cause, RunStatus::Unknown, out);
            }
            Stage::Running { server, .. } => {
                let is_hung = self.pool.is_hung(now, &server, request.hang_timeout());
                if is_hung
                    && request.possibly_run_at.len() + 1 < request.mount.max_attempts as usize
                {
                    self.release_stage(now, ticket, &request, HealthSignal::Broken, out);
                    self.recover(now, ticket, request, out);
                } else {
                    if let Stage::Running { last_progress, .. } = &mut request.stage {
                        *last_progress = now;
                    }
                    self.insert_request(ticket, request);
                    return;
                }
            }
        }
        self.send_queued(now, &service, out);
    }

    pub(super) fn queue(&mut self, service: &Service) -> &mut WaitQueue {
        self.queues.entry(service.clone()).or_default()
    }

    pub(super) fn remove_request(&mut self, ticket: Ticket) -> Option<DirectRequest> {
        let request = self.requests.remove(&ticket)?;
        self.timers.remove(&(request.next_deadline(), ticket));
        Some(request)
    }

    /// Removes a request to change it, if `attempt` is its current attempt.
    fn remove_if_current(&mut self, ticket: Ticket, attempt: u32) -> Option<DirectRequest> {
        let request = self.requests.get(&ticket)?;
        (request.attempts == attempt).then(|| self.remove_request(ticket))?
    }

    pub(super) fn insert_request(&mut self, ticket: Ticket, request: DirectRequest) {
        self.timers.insert((request.next_deadline(), ticket));
        self.requests.insert(ticket, request);
    }
}
