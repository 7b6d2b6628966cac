//! The entry state machine: admission, timers, control messages and responses to callers.
//!
//! [`crate::attempt`] handles attempts, [`crate::once`] the claims of idempotency keys.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrassdyke_core::books::UsageReporter;
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::follow::Follower;
use eelgrassdyke_core::id::{RequestId, Service, Team, Ticket, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::dispatch::ResponseHead;
use eelgrassdyke_core::wire::refusal::{Reason, Refusal, RunStatus};
use eelgrassdyke_core::wire::report::{ReportSource, UsageCounts};
use eelgrassdyke_core::wire::{Message, Sender};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::authenticate::TokenIndex;
use crate::classify::{RequestClass, caller_attempt, classify};
use crate::credit::Credits;
use crate::flight::{OpenRequest, Stage};
use crate::io::{Call, Input, Options, Output};
use crate::retry::RetryBudget;
use crate::route::Router;
use crate::updates::changed_servers;

/// Minimum delay before a caller retries after a transient refusal.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A retry-after time is extended by a random delay of at most half its length plus this.
const RETRY_JITTER_BASE_MS: u64 = 500;

/// Number of recent requests whose account is kept, so that their late responses can be counted.
const ACCOUNTS_KEPT_MAX: usize = 4096;

/// The state machine of the entry role.
pub struct Entry {
    pub(crate) options: Options,
    pub(crate) local: Sender,
    pub(crate) follower: Follower,
    pub(crate) token_index: TokenIndex,
    pub(crate) router: Router,
    pub(crate) credits: Credits,
    pub(crate) retry_budgets: BTreeMap<Service, RetryBudget>,
    pub(crate) requests: BTreeMap<u64, OpenRequest>,
    pub(crate) number_by_ticket: BTreeMap<Ticket, u64>,
    pub(crate) timers: BTreeSet<(Instant, u64)>,
    pub(crate) usage: UsageReporter,
    pub(crate) rng: ChaCha8Rng,
    /// Accounts of recent requests by request number, so that late responses can be counted.
    pub(crate) account_by_number: BTreeMap<u64, (Team, Service)>,
    /// Index into `options.control_addresses` of the presumed leader.
    pub(crate) leader_index: usize,
    next_request_number: u64,
    /// When the graceful shutdown began.
    draining_since: Option<Instant>,
    /// Whether the grace period of a shutdown is over and new requests are refused.
    closed: bool,
}

impl Entry {
    /// An entry without configuration, directory or requests.
    pub fn new(local: Sender, options: Options) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let leader_index = rng.random_range(0..options.control_addresses.len().max(1));
        Self {
            follower: Follower::new(&local, options.control_addresses.clone(), true),
            usage: UsageReporter::new(&local, ReportSource::Entry, &options.control_addresses),
            local,
            token_index: TokenIndex::default(),
            router: Router::default(),
            credits: Credits::default(),
            retry_budgets: BTreeMap::new(),
            requests: BTreeMap::new(),
            number_by_ticket: BTreeMap::new(),
            timers: BTreeSet::new(),
            rng,
            account_by_number: BTreeMap::new(),
            leader_index,
            next_request_number: 1,
            draining_since: None,
            closed: false,
            options,
        }
    }

    /// Processes one input at time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        // Expired requests are finished first, so that no response is forwarded after its deadline.
        self.run_timers(now, out);
        match input {
            Input::Call { ticket, call } => self.handle_call(now, ticket, call, out),
            Input::CallerGone { ticket } => self.handle_caller_gone(now, ticket, out),
            Input::Frame { attempt, frame } => self.handle_frame(now, &attempt, frame, out),
            Input::ExchangeFailed { attempt, sent } => {
                self.handle_exchange_failure(now, &attempt, sent, out)
            }
            Input::Message { from, message } => self.handle_message(now, &from, message, out),
            Input::Tick => {}
            Input::Drain => {
                self.draining_since.get_or_insert(now);
            }
        }
        self.closed = now >= self.drain_grace_end();
        self.run_timers(now, out);
        for event in self.router.take_events() {
            out.push(Output::Event(event));
        }
        self.send_polls(now, out);
        self.send_usage_pages(now, out);
    }

    /// When the entry next needs an [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        let next_timer = self.timers.first().map_or(Instant::NEVER, |(at, _)| *at);
        let grace_end = match self.closed {
            true => Instant::NEVER,
            false => self.drain_grace_end(),
        };
        next_timer
            .min(grace_end)
            .min(self.follower.next_deadline())
            .min(self.usage.next_deadline())
    }

    /// End of the grace period of a shutdown, in which the platform notices that the entry is not
    /// ready and stops sending requests.
    fn drain_grace_end(&self) -> Instant {
        let since = self.draining_since;
        since.map_or(Instant::NEVER, |since| since + self.options.drain_grace)
    }

    /// Whether the entry may serve: a quorum has confirmed its configuration, and it is not
    /// shutting down.
    pub fn is_ready(&self) -> bool {
        self.follower.is_confirmed() && self.draining_since.is_none()
    }

    /// The configuration version in force.
    pub fn version(&self) -> Version {
        self.follower.version()
    }

    /// Time since the last control update, or since time zero before the first one.
    pub fn control_silence(&self, now: Instant) -> Duration {
        self.follower
            .time_since_update(now)
            .unwrap_or(now.since(Instant(0)))
    }

    /// Number of open requests.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether a graceful shutdown is complete.
    pub fn is_done(&self) -> bool {
        self.closed && self.requests.is_empty()
    }

    /// Whether every control process has acknowledged all usage counters.
    pub fn is_usage_replicated(&self) -> bool {
        self.usage.is_replicated()
    }

    fn handle_call(&mut self, now: Instant, ticket: Ticket, call: Call, out: &mut Vec<Output>) {
        if let Err(mut refusal) = self.check_ready(now) {
            // An earlier attempt of the caller under the same key may have run.
            if call.header("idempotency-key").is_some() && !matches!(caller_attempt(&call), Ok(1)) {
                refusal.run_status = RunStatus::Unknown;
            }
            let refusal = self.add_retry_jitter(refusal);
            out.push(Output::Refuse { ticket, refusal });
            return;
        }
        let Some(team) = self.token_index.authenticate(&call).cloned() else {
            let refusal = Refusal::not_run(Reason::Unauthenticated);
            out.push(Output::Refuse { ticket, refusal });
            return;
        };
        let class = match classify(self.follower.document(), &call) {
            Ok(class) => class,
            Err(reason) => {
                out.push(Output::Refuse {
                    ticket,
                    refusal: Refusal::not_run(reason),
                });
                return;
            }
        };
        let number = self.next_request_number;
        self.next_request_number += 1;
        let id = RequestId {
            entry: self.local.process.clone(),
            incarnation: self.local.incarnation,
            number,
        };
        out.push(Output::Event(
            Event::new(Code::RequestTaken, class.service.as_str())
                .request(&id)
                .team(&team),
        ));
        self.usage.counts_mut(&team, &class.service).received += 1;
        // An earlier attempt of a caller that declares a retry may have run.
        let run_status = match class.caller_attempt > 1 {
            true => RunStatus::Unknown,
            false => RunStatus::No,
        };
        let request = OpenRequest {
            id,
            ticket: Some(ticket),
            team,
            digest: call_digest(&call, &class),
            deadline: now + class.timeout,
            class,
            call,
            received_at: now,
            stage: Stage::Received,
            next_retry: Instant::NEVER,
            claim_started_at: now,
            run_status,
            attempts: 0,
            failed_servers: Vec::new(),
            head: None,
            body: Vec::new(),
            events_forwarded: 0,
            bytes_forwarded: 0,
            response_started: false,
            stream_complete: false,
        };
        self.number_by_ticket.insert(ticket, number);
        let account = (request.team.clone(), request.class.service.clone());
        self.account_by_number.insert(number, account);
        if self.account_by_number.len() > ACCOUNTS_KEPT_MAX {
            self.account_by_number.pop_first();
        }
        self.start_request(now, request, out);
    }

    /// Refuses requests while the entry is closed or has no confirmed configuration, or, unless it
    /// may serve without control, while its configuration is stale.
    fn check_ready(&self, now: Instant) -> Result<(), Refusal> {
        if now >= self.drain_grace_end() || !self.follower.is_confirmed() {
            return Err(Refusal::not_run(Reason::NotReady).with_retry_after(RETRY_AFTER));
        }
        let silence = self
            .follower
            .time_since_update(now)
            .unwrap_or(Duration::MAX);
        if silence > self.options.stale_after && !self.options.serve_without_control {
            return Err(Refusal::not_run(Reason::NotReady).with_retry_after(RETRY_AFTER));
        }
        Ok(())
    }

    /// Admits a request, then claims its idempotency key or dispatches it.
    fn start_request(&mut self, now: Instant, request: OpenRequest, out: &mut Vec<Output>) {
        if !self.charge_retry_budget(&request.class) {
            let refusal = Refusal::not_run(Reason::Overload).with_retry_after(RETRY_AFTER);
            self.refuse(now, request, refusal, out);
            return;
        }
        let server_count = self.router.server_count(&request.class.service);
        let tokens = request.class.expected_tokens;
        if !self
            .credits
            .admits(now, &request.account(), server_count, tokens)
        {
            let refusal = Refusal::not_run(Reason::ShareExceeded).with_retry_after(RETRY_AFTER);
            self.refuse(now, request, refusal, out);
            return;
        }
        if request.class.idempotent {
            self.dispatch_request(now, request, None, out);
            return;
        }
        if request.class.idempotency_key.is_none() {
            self.refuse(now, request, Refusal::not_run(Reason::NoKey), out);
            return;
        }
        self.claim_key(now, request, None, out);
    }

    /// Credits the retry budget for a first attempt, or charges it for a caller's own retry.
    ///
    /// A retry of a non-idempotent request is always admitted: the outcome of its key may be stored
    /// already.
    fn charge_retry_budget(&mut self, class: &RequestClass) -> bool {
        let Some(spec) = self.follower.document().services.get(&class.service) else {
            return true;
        };
        let share = spec.retry_budget;
        let budget = self
            .retry_budgets
            .entry(class.service.clone())
            .or_insert_with(|| RetryBudget::new(share));
        budget.set_share(share);
        if class.caller_attempt <= 1 {
            budget.earn();
            return true;
        }
        budget.try_spend() || !class.idempotent
    }

    fn handle_caller_gone(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(number) = self.number_by_ticket.remove(&ticket) else {
            return;
        };
        let Some(mut request) = self.remove_request(number) else {
            return;
        };
        request.ticket = None;
        out.push(Output::Event(
            Event::new(Code::RequestCancelled, "")
                .request(&request.id)
                .team(&request.team),
        ));
        self.count_refusal(&request, Reason::CallerGone);

        match request.class.idempotent {
            true => self.cancel_attempt(now, &request, out),
            false => self.follow_detached(now, request, out),
        }
    }

    fn handle_message(
        &mut self,
        now: Instant,
        from: &Sender,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Update(update) => {
                let changed = update.directory.as_ref().map(changed_servers);
                let effect = self.follower.apply(now, &from.process, update);
                if effect.config_changed {
                    self.apply_config(now, out);
                }
                if let (true, Some(changed)) = (effect.directory_changed, changed) {
                    self.apply_directory(now, changed);
                }
            }
            Message::ClaimResponse(response) => self.handle_claim_response(now, response, out),
            Message::ProbeResponse(response) => self.handle_probe_response(now, response, out),
            Message::ReportAck(ack) => self.usage.record_ack(from, &ack),
            _ => {}
        }
    }

    /// Runs each timer that is due once; one that is set to the present again waits for the next input.
    fn run_timers(&mut self, now: Instant, out: &mut Vec<Output>) {
        let due: Vec<_> = self.timers.range(..=(now, u64::MAX)).copied().collect();
        for timer in due {
            // A timer that ran before may have removed or changed this one.
            if !self.timers.remove(&timer) {
                continue;
            }
            let (_, number) = timer;
            if let Some(request) = self.remove_request(number) {
                self.handle_timer(now, request, out);
            }
        }
    }

    /// Handles an expired timer: refuses the request after its deadline, else resends its pending
    /// message.
    fn handle_timer(&mut self, now: Instant, request: OpenRequest, out: &mut Vec<Output>) {
        if request.ticket.is_some() && now >= request.deadline {
            self.expire(now, request, out);
            return;
        }
        self.retry_or_drop(now, request, out);
    }

    fn send_polls(&mut self, now: Instant, out: &mut Vec<Output>) {
        while let Some((to, poll)) = self.follower.next_poll(now) {
            out.push(Output::Send {
                to,
                message: Message::Poll(poll),
            });
        }
    }

    fn send_usage_pages(&mut self, now: Instant, out: &mut Vec<Output>) {
        let closed = self.is_done();
        for (to, page) in self.usage.due_pages(now, closed) {
            let message = Message::ReportPage(page);
            out.push(Output::Send { to, message });
        }
    }

    /// Removes a request and its timer; a request that stays open is inserted again after the
    /// change.
    pub(crate) fn remove_request(&mut self, number: u64) -> Option<OpenRequest> {
        let request = self.requests.remove(&number)?;
        self.timers.remove(&(request.next_deadline(), number));
        Some(request)
    }

    /// Inserts a request and sets its timer.
    pub(crate) fn insert_request(&mut self, request: OpenRequest) {
        let number = request.id.number;
        self.timers.insert((request.next_deadline(), number));
        self.requests.insert(number, request);
    }

    /// Detaches the waiting caller of a request, which then gets its final response.
    pub(crate) fn detach_caller(&mut self, request: &mut OpenRequest) -> Option<Ticket> {
        let ticket = request.ticket.take()?;
        self.number_by_ticket.remove(&ticket);
        Some(ticket)
    }

    /// Refuses a request and drops it.
    pub(crate) fn refuse(
        &mut self,
        _now: Instant,
        mut request: OpenRequest,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        self.refuse_caller(&mut request, refusal, out);
    }

    /// Sends a refusal to the waiting caller, if any; the request itself may continue.
    pub(crate) fn refuse_caller(
        &mut self,
        request: &mut OpenRequest,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        let Some(ticket) = self.detach_caller(request) else {
            return;
        };
        let refusal = request.merge_run_status(refusal);
        let refusal = self.add_retry_jitter(refusal);
        self.count_refusal(request, refusal.reason);
        let detail = format!("{} run={}", refusal.reason, refusal.run_status);
        out.push(Output::Event(
            Event::new(Code::RequestRefused, detail)
                .request(&request.id)
                .team(&request.team),
        ));
        if !request.response_started {
            out.push(Output::Refuse { ticket, refusal });
            return;
        }

        // The response has started, so the refusal is sent as the last event of the stream.
        let data = error_event(&refusal);
        out.push(Output::StreamData { ticket, data });
        out.push(Output::EndStream { ticket });
    }

    /// Sends a complete response to the caller.
    pub(crate) fn deliver(
        &mut self,
        now: Instant,
        request: &mut OpenRequest,
        head: ResponseHead,
        body: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        let Some(ticket) = self.detach_caller(request) else {
            return;
        };
        self.count_delivery(now, request);
        out.push(Output::Respond { ticket, head, body });
        out.push(delivered_event(request));
    }

    /// Completes a streamed response.
    pub(crate) fn finish_stream(
        &mut self,
        now: Instant,
        request: &mut OpenRequest,
        out: &mut Vec<Output>,
    ) {
        let Some(ticket) = self.detach_caller(request) else {
            return;
        };
        self.count_delivery(now, request);
        out.push(Output::EndStream { ticket });
        out.push(delivered_event(request));
    }

    fn count_refusal(&mut self, request: &OpenRequest, reason: Reason) {
        let counts = self.usage.counts_mut(&request.team, &request.class.service);
        *counts.refused.entry(reason).or_default() += 1;
    }

    fn count_delivery(&mut self, now: Instant, request: &OpenRequest) {
        let elapsed_us = now.since(request.received_at).as_micros() as u64;
        let counts = self.usage.counts_mut(&request.team, &request.class.service);
        counts.delivered += 1;
        UsageCounts::observe(&mut counts.total_us, elapsed_us);
        if !request.response_started {
            UsageCounts::observe(&mut counts.first_byte_us, elapsed_us);
        }
    }

    /// Refuses a request whose deadline has passed.
    fn expire(&mut self, now: Instant, mut request: OpenRequest, out: &mut Vec<Output>) {
        let run = match &request.stage {
            Stage::Received | Stage::Claiming { .. } => RunStatus::No,
            Stage::Probing { .. } | Stage::Running { .. } => RunStatus::Unknown,
        };
        let refusal = Refusal {
            reason: Reason::Deadline,
            run_status: run,
            retry_after_ms: None,
        };
        self.refuse_caller(&mut request, refusal.with_retry_after(RETRY_AFTER), out);
        match request.class.idempotent {
            true => self.cancel_attempt(now, &request, out),
            false => self.follow_detached(now, request, out),
        }
    }

    /// Adds a random delay to a retry-after time, so that refused callers don't all retry at once.
    fn add_retry_jitter(&mut self, refusal: Refusal) -> Refusal {
        let Some(wait_ms) = refusal.retry_after_ms else {
            return refusal;
        };
        let jitter_max_ms = wait_ms / 2 + RETRY_JITTER_BASE_MS;
        let jitter_ms = self.rng.random_range(0..=jitter_max_ms);
        Refusal {
            retry_after_ms: Some(wait_ms.saturating_add(jitter_ms)),
            ..refusal
        }
    }
}

/// Digest of the fields that must be equal in two calls with the same idempotency key.
fn call_digest(call: &Call, class: &RequestClass) -> Sha256 {
    let mut text = format!("{} {} {}\n", class.service, call.method, class.path).into_bytes();
    text.extend_from_slice(&call.body);
    Sha256::of(&text)
}

/// The error event that ends an incomplete stream.
fn error_event(refusal: &Refusal) -> Vec<u8> {
    let error = serde_json::json!({
        "error": {
            "type": refusal.reason.as_str(),
            "run": refusal.run_status.as_str(),
            "message": refusal.reason.remedy(),
        }
    });
    format!("event: error\ndata: {error}\n\n").into_bytes()
}

fn delivered_event(request: &OpenRequest) -> Output {
    let event = Event::new(Code::RequestDelivered, "");
    Output::Event(event.request(&request.id).team(&request.team))
}
