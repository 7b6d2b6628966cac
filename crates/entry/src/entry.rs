//! The entry's state machine: intake, time, and the way out.
//!
//! Requests of a claimed key are led by [`crate::once`], attempts by [`crate::attempt`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrassdyke_core::books::UsageReporter;
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::follow::Follower;
use eelgrassdyke_core::id::{RequestId, Server, Service, Team, Ticket, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::dispatch::ResponseHead;
use eelgrassdyke_core::wire::follow::DirectoryUpdate;
use eelgrassdyke_core::wire::refusal::{Reason, Refusal, RunStatus};
use eelgrassdyke_core::wire::report::{ReportSource, UsageCounts};
use eelgrassdyke_core::wire::{Message, Sender};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::authenticate::Tokens;
use crate::classify::{Class, attempt, classify};
use crate::credit::Credits;
use crate::flight::{Flight, Stage};
use crate::io::{Call, Input, Options, Output};
use crate::retry::Budget;
use crate::route::Router;

/// When a caller that was refused for a passing reason may come back.
const COME_BACK: Duration = Duration::from_secs(1);

/// Least spread of the instants at which refused callers come back, in milliseconds.
const SPREAD_MS: u64 = 500;

/// Requests whose team and service are remembered, to account for answers that come late.
const ACCOUNTS_MAX: usize = 4096;

/// The state machine of the entry role.
pub struct Entry {
    pub(crate) options: Options,
    pub(crate) me: Sender,
    pub(crate) follower: Follower,
    pub(crate) tokens: Tokens,
    pub(crate) router: Router,
    pub(crate) credits: Credits,
    pub(crate) budgets: BTreeMap<Service, Budget>,
    pub(crate) flights: BTreeMap<u64, Flight>,
    pub(crate) tickets: BTreeMap<Ticket, u64>,
    pub(crate) timers: BTreeSet<(Instant, u64)>,
    pub(crate) books: UsageReporter,
    pub(crate) rng: ChaCha8Rng,
    /// Accounts of the latest requests, for answers that come late.
    pub(crate) accounts: BTreeMap<u64, (Team, Service)>,
    /// Position in `options.control` of the replica that last led.
    pub(crate) leader: usize,
    next_number: u64,
    /// When a graceful shutdown began.
    draining_since: Option<Instant>,
    /// Whether new requests are refused, after the grace time of a shutdown.
    closed: bool,
}

impl Entry {
    /// An entry that has taken in nothing yet.
    pub fn new(me: Sender, options: Options) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let first = rng.random_range(0..options.control.len().max(1));
        Self {
            follower: Follower::new(&me, options.control.clone(), true),
            books: UsageReporter::new(&me, ReportSource::Entry, &options.control),
            me,
            tokens: Tokens::default(),
            router: Router::default(),
            credits: Credits::default(),
            budgets: BTreeMap::new(),
            flights: BTreeMap::new(),
            tickets: BTreeMap::new(),
            timers: BTreeSet::new(),
            rng,
            accounts: BTreeMap::new(),
            leader: first,
            next_number: 1,
            draining_since: None,
            closed: false,
            options,
        }
    }

    /// Takes in what happened at `now` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        // What is overdue is given up first, so that no answer is passed on after its deadline.
        self.run_timers(now, out);
        match input {
            Input::Call { ticket, call } => self.take_call(now, ticket, call, out),
            Input::Gone { ticket } => self.drop_caller(now, ticket, out),
            Input::Frame { attempt, frame } => self.take_frame(now, &attempt, frame, out),
            Input::Failed { attempt, sent } => self.fail_attempt(now, &attempt, sent, out),
            Input::Mail { from, message } => self.take_mail(now, &from, message, out),
            Input::Tick => {}
            Input::Drain => {
                self.draining_since.get_or_insert(now);
            }
        }
        self.closed = now >= self.closes_at();
        self.run_timers(now, out);
        for event in self.router.take_events() {
            out.push(Output::Event(event));
        }
        self.follow(now, out);
        self.report(now, out);
    }

    /// When the entry next needs [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        let flight = self.timers.first().map_or(Instant::NEVER, |(at, _)| *at);
        let closes = match self.closed {
            true => Instant::NEVER,
            false => self.closes_at(),
        };
        flight
            .min(closes)
            .min(self.follower.next_deadline())
            .min(self.books.next_deadline())
    }

    /// When a shutdown's grace time ends, in which the platform learns to send no more.
    fn closes_at(&self) -> Instant {
        let since = self.draining_since;
        since.map_or(Instant::NEVER, |since| since + self.options.drain_grace)
    }

    /// Whether the entry may serve: it holds a configuration that a quorum confirmed.
    pub fn is_ready(&self) -> bool {
        self.follower.is_confirmed() && self.draining_since.is_none()
    }

    /// The configuration version in force.
    pub fn version(&self) -> Version {
        self.follower.version()
    }

    /// Time since control was last heard, or since the start before the first time.
    pub fn control_silence(&self, now: Instant) -> Duration {
        self.follower
            .time_since_update(now)
            .unwrap_or(now.since(Instant(0)))
    }

    /// Requests taken in and not yet done with.
    pub fn open_requests(&self) -> usize {
        self.flights.len()
    }

    /// Whether a graceful shutdown has nothing left to wait for.
    pub fn is_done(&self) -> bool {
        self.closed && self.flights.is_empty()
    }

    /// Whether control holds everything that the books say.
    pub fn is_settled(&self) -> bool {
        self.books.is_replicated()
    }

    fn take_call(&mut self, now: Instant, ticket: Ticket, call: Call, out: &mut Vec<Output>) {
        if let Err(mut refusal) = self.admit_process(now) {
            // An earlier try under the key may have run.
            if call.header("idempotency-key").is_some() && !matches!(attempt(&call), Ok(1)) {
                refusal.run = RunStatus::Unknown;
            }
            let refusal = self.spread(refusal);
            out.push(Output::Refuse { ticket, refusal });
            return;
        }
        let Some(team) = self.tokens.team(&call).cloned() else {
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
        let number = self.next_number;
        self.next_number += 1;
        let request = RequestId {
            entry: self.me.process.clone(),
            incarnation: self.me.incarnation,
            number,
        };
        out.push(Output::Event(
            Event::new(Code::RequestTaken, class.service.as_str())
                .request(&request)
                .team(&team),
        ));
        self.books.counts_mut(&team, &class.service).received += 1;
        // An earlier call of a caller that says it sends again may have run.
        let ran = match class.attempt > 1 {
            true => RunStatus::Unknown,
            false => RunStatus::No,
        };
        let flight = Flight {
            request,
            ticket: Some(ticket),
            team,
            digest: call_digest(&call, &class),
            deadline: now + class.timeout,
            class,
            call,
            since: now,
            stage: Stage::Queued,
            ask_again: Instant::NEVER,
            claiming_since: now,
            ran,
            attempts: 0,
            tried: Vec::new(),
            head: None,
            body: Vec::new(),
            passed: 0,
            passed_bytes: 0,
            begun: false,
            done: false,
        };
        self.tickets.insert(ticket, number);
        let account = (flight.team.clone(), flight.class.service.clone());
        self.accounts.insert(number, account);
        if self.accounts.len() > ACCOUNTS_MAX {
            self.accounts.pop_first();
        }
        self.launch(now, flight, out);
    }

    /// Whether this process takes requests at all.
    fn admit_process(&self, now: Instant) -> Result<(), Refusal> {
        if now >= self.closes_at() || !self.follower.is_confirmed() {
            return Err(Refusal::not_run(Reason::NotReady).with_retry_after(COME_BACK));
        }
        let silence = self
            .follower
            .time_since_update(now)
            .unwrap_or(Duration::MAX);
        if silence > self.options.freshness && !self.options.serve_without_control {
            return Err(Refusal::not_run(Reason::NotReady).with_retry_after(COME_BACK));
        }
        Ok(())
    }

    /// Starts a flight: claims its key, or dispatches it.
    fn launch(&mut self, now: Instant, flight: Flight, out: &mut Vec<Output>) {
        if !self.account_try(&flight.class) {
            let refusal = Refusal::not_run(Reason::Overload).with_retry_after(COME_BACK);
            self.refuse(now, flight, refusal, out);
            return;
        }
        let servers = self.router.servers(&flight.class.service);
        let tokens = flight.class.tokens;
        if !self.credits.admits(now, &flight.account(), servers, tokens) {
            let refusal = Refusal::not_run(Reason::ShareExceeded).with_retry_after(COME_BACK);
            self.refuse(now, flight, refusal, out);
            return;
        }
        if flight.class.idempotent {
            self.dispatch(now, flight, None, out);
            return;
        }
        if flight.class.key.is_none() {
            self.refuse(now, flight, Refusal::not_run(Reason::NoKey), out);
            return;
        }
        self.claim(now, flight, None, out);
    }

    /// Earns a part of a retry for a first try, or spends one for a caller's own retry.
    ///
    /// A retry under a key is always let through: its outcome may be kept already.
    fn account_try(&mut self, class: &Class) -> bool {
        let Some(spec) = self.follower.document().services.get(&class.service) else {
            return true;
        };
        let share = spec.retry_budget;
        let budget = self
            .budgets
            .entry(class.service.clone())
            .or_insert_with(|| Budget::new(share));
        budget.set_share(share);
        if class.attempt <= 1 {
            budget.earn();
            return true;
        }
        budget.spend() || !class.idempotent
    }

    fn drop_caller(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(number) = self.tickets.remove(&ticket) else {
            return;
        };
        let Some(mut flight) = self.lift(number) else {
            return;
        };
        flight.ticket = None;
        out.push(Output::Event(
            Event::new(Code::RequestCancelled, "")
                .request(&flight.request)
                .team(&flight.team),
        ));
        self.count_refusal(&flight, Reason::CallerGone);

        match flight.class.idempotent {
            true => self.cancel(now, &flight, out),
            false => self.linger(now, flight, out),
        }
    }

    fn take_mail(&mut self, now: Instant, from: &Sender, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Update(update) => {
                let named = update.directory.as_ref().map(named);
                let change = self.follower.apply(now, &from.process, update);
                if change.config_changed {
                    self.apply_config(out);
                }
                if let (true, Some(named)) = (change.directory_changed, named) {
                    self.apply_directory(now, named);
                }
            }
            Message::ClaimResponse(answer) => self.take_claimed(now, answer, out),
            Message::ProbeResponse(answer) => self.take_probed(now, answer, out),
            Message::ReportAck(kept) => self.books.record_ack(from, &kept),
            _ => {}
        }
    }

    fn apply_config(&mut self, out: &mut Vec<Output>) {
        self.tokens = Tokens::new(self.follower.document());
        let detail = format!("version {}", self.follower.version());
        out.push(Output::Event(Event::new(Code::ConfigApplied, detail)));
    }

    /// Tells the router of the servers that a directory names, or of all.
    fn apply_directory(&mut self, now: Instant, named: Option<Vec<Server>>) {
        let servers = self.follower.servers();
        let named = named.unwrap_or_else(|| {
            let mut all = self.router.names();
            all.extend(servers.keys().cloned());
            all
        });
        for server in named {
            let seen = servers.get(&server);
            let home = &self.options.data_centre;
            self.router.learn(now, &server, seen, home);
        }
    }

    fn run_timers(&mut self, now: Instant, out: &mut Vec<Output>) {
        while let Some((at, number)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            let Some(flight) = self.lift(number) else {
                self.timers.remove(&(at, number));
                continue;
            };
            self.wake(now, flight, out);
        }
    }

    /// Gives a flight whose time has come its answer, or asks its question again.
    fn wake(&mut self, now: Instant, flight: Flight, out: &mut Vec<Output>) {
        if flight.ticket.is_some() && now >= flight.deadline {
            self.expire(now, flight, out);
            return;
        }
        self.ask_again(now, flight, out);
    }

    fn follow(&mut self, now: Instant, out: &mut Vec<Output>) {
        while let Some((to, follow)) = self.follower.next_poll(now) {
            out.push(Output::Send {
                to,
                message: Message::Poll(follow),
            });
        }
    }

    fn report(&mut self, now: Instant, out: &mut Vec<Output>) {
        let closed = self.is_done();
        for (to, page) in self.books.due_pages(now, closed) {
            let message = Message::ReportPage(page);
            out.push(Output::Send { to, message });
        }
    }

    /// Takes a flight out of the books of timers, to be changed.
    pub(crate) fn lift(&mut self, number: u64) -> Option<Flight> {
        let flight = self.flights.remove(&number)?;
        self.timers.remove(&(flight.next_deadline(), number));
        Some(flight)
    }

    /// Puts a flight back and sets its timer.
    pub(crate) fn land(&mut self, flight: Flight) {
        let number = flight.request.number;
        self.timers.insert((flight.next_deadline(), number));
        self.flights.insert(number, flight);
    }

    /// The caller of a flight that still waits, who now gets a final answer.
    pub(crate) fn take_ticket(&mut self, flight: &mut Flight) -> Option<Ticket> {
        let ticket = flight.ticket.take()?;
        self.tickets.remove(&ticket);
        Some(ticket)
    }

    /// Refuses a flight for good.
    pub(crate) fn refuse(
        &mut self,
        _now: Instant,
        mut flight: Flight,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        self.refuse_caller(&mut flight, refusal, out);
    }

    /// Gives the waiting caller a refusal; the flight itself may go on.
    pub(crate) fn refuse_caller(
        &mut self,
        flight: &mut Flight,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        let Some(ticket) = self.take_ticket(flight) else {
            return;
        };
        let refusal = flight.refusal(refusal);
        let refusal = self.spread(refusal);
        self.count_refusal(flight, refusal.reason);
        let detail = format!("{} run={}", refusal.reason, refusal.run);
        out.push(Output::Event(
            Event::new(Code::RequestRefused, detail)
                .request(&flight.request)
                .team(&flight.team),
        ));
        if !flight.begun {
            out.push(Output::Refuse { ticket, refusal });
            return;
        }

        // The stream has begun, so the refusal is its last event.
        let data = error_event(&refusal);
        out.push(Output::Data { ticket, data });
        out.push(Output::End { ticket });
    }

    /// Delivers a whole answer.
    pub(crate) fn deliver(
        &mut self,
        now: Instant,
        flight: &mut Flight,
        head: ResponseHead,
        body: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        let Some(ticket) = self.take_ticket(flight) else {
            return;
        };
        self.count_delivery(now, flight);
        out.push(Output::Answer { ticket, head, body });
        out.push(delivered_event(flight));
    }

    /// Ends a streamed answer that is whole.
    pub(crate) fn finish_stream(
        &mut self,
        now: Instant,
        flight: &mut Flight,
        out: &mut Vec<Output>,
    ) {
        let Some(ticket) = self.take_ticket(flight) else {
            return;
        };
        self.count_delivery(now, flight);
        out.push(Output::End { ticket });
        out.push(delivered_event(flight));
    }

    fn count_refusal(&mut self, flight: &Flight, reason: Reason) {
        let row = self.books.counts_mut(&flight.team, &flight.class.service);
        *row.refused.entry(reason).or_default() += 1;
    }

    fn count_delivery(&mut self, now: Instant, flight: &Flight) {
        let micros = now.since(flight.since).as_micros() as u64;
        let row = self.books.counts_mut(&flight.team, &flight.class.service);
        row.delivered += 1;
        UsageCounts::observe(&mut row.total_us, micros);
        if !flight.begun {
            UsageCounts::observe(&mut row.first_byte_us, micros);
        }
    }

    /// Gives up on a request whose deadline has come.
    fn expire(&mut self, now: Instant, mut flight: Flight, out: &mut Vec<Output>) {
        let run = match &flight.stage {
            Stage::Queued | Stage::Claiming { .. } => RunStatus::No,
            Stage::Probing { .. } | Stage::Running { .. } => RunStatus::Unknown,
        };
        let refusal = Refusal {
            reason: Reason::Deadline,
            run,
            retry_after_ms: None,
        };
        self.refuse_caller(&mut flight, refusal.with_retry_after(COME_BACK), out);
        match flight.class.idempotent {
            true => self.cancel(now, &flight, out),
            false => self.linger(now, flight, out),
        }
    }

    /// Spreads when refused callers come back, so that they don't all come at once.
    fn spread(&mut self, refusal: Refusal) -> Refusal {
        let Some(wait_ms) = refusal.retry_after_ms else {
            return refusal;
        };
        let most = wait_ms / 2 + SPREAD_MS;
        let later = self.rng.random_range(0..=most);
        Refusal {
            retry_after_ms: Some(wait_ms.saturating_add(later)),
            ..refusal
        }
    }
}

/// The servers that a directory has news of; none when it is everything.
fn named(directory: &DirectoryUpdate) -> Option<Vec<Server>> {
    directory.base_revision?;
    let mut named: Vec<Server> = directory.removed.clone();
    for (row, _) in &directory.servers {
        named.push(row.server.clone());
    }
    for reading in &directory.loads {
        named.push(reading.server.clone());
    }
    Some(named)
}

/// Digest of what makes two calls under one key the same call.
fn call_digest(call: &Call, class: &Class) -> Sha256 {
    let mut text = format!("{} {} {}\n", class.service, call.method, class.path).into_bytes();
    text.extend_from_slice(&call.body);
    Sha256::of(&text)
}

/// The last event of a stream that can't be made whole.
fn error_event(refusal: &Refusal) -> Vec<u8> {
    let error = serde_json::json!({
        "error": {
            "type": refusal.reason.as_str(),
            "run": refusal.run.as_str(),
            "message": refusal.reason.remedy(),
        }
    });
    format!("event: error\ndata: {error}\n\n").into_bytes()
}

fn delivered_event(flight: &Flight) -> Output {
    let event = Event::new(Code::RequestDelivered, "");
    Output::Event(event.request(&flight.request).team(&flight.team))
}
