//! The state machine of the direct path.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrassdyke_core::books::UsageReporter;
use eelgrassdyke_core::config::MountSpec;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::follow::Follower;
use eelgrassdyke_core::id::{Service, Ticket, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::refusal::{Reason, Refusal, RunStatus};
use eelgrassdyke_core::wire::report::ReportSource;
use eelgrassdyke_core::wire::{Message, Sender};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::budget::Window;
use super::events::Waits;
use super::flight::{Flight, Stage, come_back};
use super::io::{Call, Input, Options, Order, Outcome, Output, Proof};
use super::line::Line;
use super::pool::{Pool, Verdict};
use super::table::Table;

/// Part of the target that a request may wait for a place; the rest is the server's.
const WAIT_PART: f64 = 0.6;

/// Time that a request waits when its service has no server at all: one may be about to announce
/// itself.
const NO_SERVER_WAIT: Duration = Duration::from_millis(200);

/// Time in which an entry that has just started learns its configuration, or its successor does.
const START_TIME: Duration = Duration::from_millis(1000);

/// Time between two looks at whether what waits can go: servers that were full or stalled are tried
/// again without any news.
const TRY_INTERVAL: Duration = Duration::from_millis(50);

/// Spread of the times at which callers return, as parts of the time meant.
const SPREAD: std::ops::Range<f64> = 0.6..1.1;

/// The direct path of one entry.
pub struct Direct {
    pub(super) options: Options,
    pub(super) follower: Follower,
    pub(super) table: Table,
    pub(super) pool: Pool,
    pub(super) lines: BTreeMap<Service, Line>,
    pub(super) windows: BTreeMap<Service, Window>,
    pub(super) started: Instant,
    /// When what waits is tried again, though no attempt ended.
    pub(super) next_try: Instant,
    pub(super) flights: BTreeMap<Ticket, Flight>,
    pub(super) timers: BTreeSet<(Instant, Ticket)>,
    pub(super) books: UsageReporter,
    pub(super) rng: ChaCha8Rng,
    pub(super) draining_since: Option<Instant>,
}

impl Direct {
    /// A path that has taken in nothing yet.
    pub fn new(now: Instant, me: &Sender, options: Options) -> Self {
        Self {
            follower: Follower::new(me, options.control.clone(), true),
            table: Table::default(),
            pool: Pool::default(),
            lines: BTreeMap::new(),
            windows: BTreeMap::new(),
            started: now,
            next_try: Instant::NEVER,
            flights: BTreeMap::new(),
            timers: BTreeSet::new(),
            books: UsageReporter::new(me, ReportSource::Entry, &options.control),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            draining_since: None,
            options,
        }
    }

    /// Takes in what happened at `now` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        // What was passed on counts before its absence is looked for.
        if let Input::Passed { ticket, attempt } = input {
            self.take_passed(now, ticket, attempt);
        }
        self.run_timers(now, out);
        match input {
            Input::Call { ticket, call } => self.take_call(now, ticket, call, out),
            Input::Gone { ticket } => self.drop_caller(now, ticket, out),
            Input::Passed { .. } => {}
            Input::Ended {
                ticket,
                attempt,
                outcome,
            } => self.take_end(now, ticket, attempt, outcome, out),
            Input::Mail { from, message } => self.take_mail(now, &from, message, out),
            Input::Tick => {}
            Input::Drain => {
                self.draining_since.get_or_insert(now);
            }
        }
        while let Some((to, follow)) = self.follower.next_poll(now) {
            let message = Message::Poll(follow);
            out.push(Output::Mail { to, message });
        }
        self.send_books(now, out);
        if now >= self.next_try {
            self.next_try = Instant::NEVER;
            self.advance_all(now, out);
        }
        self.next_try = match self.lines.values().all(Line::is_empty) {
            true => Instant::NEVER,
            false => self.next_try.min(now + TRY_INTERVAL),
        };
    }

    /// When the path next needs [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        let timer = self.timers.first().map_or(Instant::NEVER, |(at, _)| *at);
        timer
            .min(self.follower.next_deadline())
            .min(self.books.next_deadline())
            .min(self.next_try)
    }

    /// Whether callers are welcome: a quorum confirmed the configuration, and no shutdown began.
    pub fn is_ready(&self) -> bool {
        self.follower.is_confirmed()
            && self.follower.version() > Version(0)
            && self.draining_since.is_none()
    }

    /// The configuration version in force.
    pub fn version(&self) -> Version {
        self.follower.version()
    }

    /// Requests in progress.
    pub fn open_requests(&self) -> usize {
        self.flights.len()
    }

    /// Whether a graceful shutdown has nothing left to wait for.
    pub fn is_done(&self, now: Instant) -> bool {
        self.is_closed(now) && self.flights.is_empty()
    }

    /// Whether a shutdown has gone so far that what is taken now might be cut off.
    fn is_closed(&self, now: Instant) -> bool {
        let grace = self.options.drain_grace;
        self.draining_since
            .is_some_and(|since| now.since(since) >= grace)
    }

    fn take_call(&mut self, now: Instant, ticket: Ticket, call: Call, out: &mut Vec<Output>) {
        let flight = match self.admit(now, &call) {
            Ok(flight) => flight,
            Err(reason) => {
                self.note_unadmitted(now, &call, reason, out);
                let mut refusal = Refusal::not_run(reason);
                if matches!(reason, Reason::NotReady | Reason::Draining) {
                    refusal = refusal.with_retry_after(self.spread(START_TIME));
                }
                out.push(Output::Refuse { ticket, refusal });
                return;
            }
        };
        let window = self.windows.entry(flight.service.clone()).or_default();
        window.count(now, self.options.retry_window);
        self.count_asked(&flight);
        self.place(now, ticket, flight, out);
    }

    /// Finds the mount, the team and the service of a call.
    fn admit(&mut self, now: Instant, call: &Call) -> Result<Flight, Reason> {
        if !self.follower.is_confirmed() || self.follower.version() == Version(0) {
            return Err(Reason::NotReady);
        }
        if self.is_closed(now) {
            return Err(Reason::Draining);
        }
        let mount = self.table.mount(&call.host, &call.path);
        let mount = mount.ok_or(Reason::NoService)?;
        let team = match mount.anonymous || self.follower.document().teams.is_empty() {
            true => None,
            false => {
                let key = call.key.as_deref().ok_or(Reason::Unauthenticated)?;
                let team = self.table.team(key).ok_or(Reason::Unauthenticated)?;
                Some(team.clone())
            }
        };
        let timeout = Duration::from_millis(mount.timeout_ms);
        let left = call.time_left.unwrap_or(timeout).min(timeout);
        if left.is_zero() {
            return Err(Reason::Deadline);
        }
        Ok(Flight {
            id: call.id.clone(),
            service: self.draw_service(&mount),
            priority: self.table.priority(&mount, team.as_ref()),
            mount,
            team,
            taken: now,
            deadline: now + left,
            stage: Stage::Waiting {
                key: (0, 0),
                until: now,
            },
            attempts: 0,
            ran_at: Vec::new(),
            passed_over: Vec::new(),
            begun: false,
            owes: false,
        })
    }

    /// Draws one of the services of a mount by their weights.
    fn draw_service(&mut self, mount: &MountSpec) -> Service {
        let total: u32 = mount.split.iter().map(|part| part.weight).sum();
        let mut draw = self.rng.random_range(0..total.max(1));
        for part in &mount.split {
            if draw < part.weight {
                return part.service.clone();
            }
            draw -= part.weight;
        }
        // A valid mount names a service with a weight, so the draw ends before.
        mount.split[0].service.clone()
    }

    /// Sends a request to a server, or has it wait for a place, or refuses it.
    pub(super) fn place(
        &mut self,
        now: Instant,
        ticket: Ticket,
        flight: Flight,
        out: &mut Vec<Output>,
    ) {
        let nobody_waits = self.line(&flight.service).is_empty();
        let Some(flight) = (match nobody_waits || flight.attempts > 0 {
            true => self.send(now, ticket, flight, out),
            false => Some(flight),
        }) else {
            return;
        };
        let target = Duration::from_millis(flight.mount.latency_target_ms);
        let limit = match self.pool.is_served(now, &flight.service) {
            true => target.mul_f64(WAIT_PART),
            false => NO_SERVER_WAIT,
        };
        let places = self
            .pool
            .places(now, &flight.service, self.follower.entry_count());
        let priority = flight.priority;
        let wait = self.line(&flight.service).wait(now, priority, places);
        let waits = Waits {
            expected: wait,
            most: limit,
            places,
        };
        if wait > limit && flight.attempts == 0 {
            let refusal = Refusal {
                reason: Reason::Overload,
                run: RunStatus::No,
                retry_after_ms: Some(self.spread_ms(come_back(&flight, now, wait))),
            };
            self.refuse(now, ticket, &flight, refusal, Some(waits), out);
            return;
        }
        let ahead = self.line(&flight.service).ahead(priority);
        self.note_queued(now, &flight, ahead, waits, out);
        self.enqueue(now, ticket, flight, limit);
    }

    fn enqueue(&mut self, now: Instant, ticket: Ticket, mut flight: Flight, limit: Duration) {
        // The rest of an answer that has begun can't be refused: it goes first, and waits while it may.
        let (priority, until) = match flight.begun {
            true => (0, flight.deadline),
            false => (flight.priority, now + limit),
        };
        let key = self.line(&flight.service).add(priority, ticket);
        flight.stage = Stage::Waiting { key, until };
        self.land(ticket, flight);
    }

    /// Sends a request to the best server with a free place; gives it back when there is none.
    fn send(
        &mut self,
        now: Instant,
        ticket: Ticket,
        mut flight: Flight,
        out: &mut Vec<Output>,
    ) -> Option<Flight> {
        let entries = self.follower.entry_count();
        let (service, passed_over) = (&flight.service, &flight.passed_over);
        let choice = self
            .pool
            .choose(now, service, entries, passed_over, &mut self.rng);
        let Some(choice) = choice else {
            return Some(flight);
        };
        if flight.owes && !self.spend(now, &flight) {
            return Some(flight);
        }
        flight.owes = false;
        if flight.attempts == 0 {
            self.count_sent(now, &flight);
        }
        flight.attempts += 1;
        self.pool.began(now, &choice.server);
        let order = Order {
            attempt: flight.attempts,
            server: choice.server.clone(),
            incarnation: choice.incarnation,
            address: choice.address,
            left: flight.deadline.since(now),
            team: flight.team.clone(),
            priority: flight.priority,
            fresh: !flight.mount.retry_policy.allows_retry(),
            streams: flight.mount.retry_policy.is_stream(),
        };
        self.note_dispatch(now, &flight, &choice, out);
        out.push(Output::Send { ticket, order });
        flight.stage = Stage::Running {
            server: choice.server,
            incarnation: choice.incarnation,
            since: now,
            alive: now,
        };
        self.land(ticket, flight);
        None
    }

    /// Sends what waits for a service as long as there are places.
    pub(super) fn advance(&mut self, now: Instant, service: &Service, out: &mut Vec<Output>) {
        for ticket in self.line(service).tickets() {
            let Some(flight) = self.lift(ticket) else {
                continue;
            };
            let stage = flight.stage.clone();
            let Stage::Waiting { key, .. } = stage else {
                self.land(ticket, flight);
                continue;
            };
            self.line(service).remove(key);
            let Some(mut flight) = self.send(now, ticket, flight, out) else {
                continue;
            };
            let stuck = !flight.passed_over.is_empty();
            self.line(service).put_back(key, ticket);
            flight.stage = stage;
            self.land(ticket, flight);
            // Others may go to servers that this one must not go to again.
            if !stuck {
                return;
            }
        }
    }

    fn take_passed(&mut self, now: Instant, ticket: Ticket, attempt: u32) {
        let Some(mut flight) = self.lift_attempt(ticket, attempt) else {
            return;
        };
        if !flight.begun {
            self.count_first(now, &flight);
        }
        flight.begun = true;
        if let Stage::Running { server, alive, .. } = &mut flight.stage {
            *alive = now;
            self.pool.progressed(now, server);
        }
        self.land(ticket, flight);
    }

    /// Takes in how an attempt ended.
    fn take_end(
        &mut self,
        now: Instant,
        ticket: Ticket,
        attempt: u32,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        let Some(flight) = self.lift_attempt(ticket, attempt) else {
            return;
        };
        let service = flight.service.clone();
        self.end_attempt(now, &flight, outcome, out);
        match outcome {
            Outcome::Answered(status) => self.take_answer(now, ticket, flight, status, out),
            Outcome::Streamed => {
                self.note(now, Code::RequestDelivered, &flight, "stream", out);
                self.count_delivered(now, &flight);
                out.push(Output::End { ticket });
            }
            Outcome::NotRun(proof) => self.take_proof(now, ticket, flight, proof, out),
            Outcome::Lost => self.recover(now, ticket, flight, out),
        }
        self.advance(now, &service, out);
    }

    /// Notes the end of an attempt with the server and the line.
    fn end_attempt(
        &mut self,
        now: Instant,
        flight: &Flight,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        let verdict = match outcome {
            Outcome::Answered(status) if status >= 500 => Verdict::Failed,
            Outcome::Answered(_) | Outcome::Streamed => Verdict::Served,
            Outcome::NotRun(Proof::Rejected) => Verdict::Full,
            Outcome::NotRun(Proof::OtherServer) => Verdict::Moved,
            Outcome::NotRun(Proof::NotSent) | Outcome::Lost => Verdict::Broken,
        };
        self.settle(now, flight, verdict, out);
        if let (Verdict::Served, Stage::Running { since, .. }) = (verdict, &flight.stage) {
            self.line(&flight.service).note_end(now, *since);
        }
    }

    pub(super) fn settle(
        &mut self,
        now: Instant,
        flight: &Flight,
        verdict: Verdict,
        out: &mut Vec<Output>,
    ) {
        let Stage::Running {
            server,
            incarnation,
            ..
        } = &flight.stage
        else {
            return;
        };
        if self.pool.ended(now, server, *incarnation, verdict) {
            let event = Event::new(Code::ServerEjected, format!("{verdict:?}"));
            out.push(Output::Event(event.server(server)));
        }
    }

    /// A time around `span`, so that callers who are refused together don't return together.
    pub(super) fn spread(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.random_range(SPREAD))
    }

    fn drop_caller(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(flight) = self.lift(ticket) else {
            return;
        };
        self.note(now, Code::RequestCancelled, &flight, "caller left", out);
        self.count_refused(&flight, Reason::CallerGone);
        self.break_off(now, ticket, &flight, Verdict::Unknown, out);
        let service = flight.service.clone();
        self.advance(now, &service, out);
    }

    /// Breaks off what a request that is given up has under way.
    pub(super) fn break_off(
        &mut self,
        now: Instant,
        ticket: Ticket,
        flight: &Flight,
        verdict: Verdict,
        out: &mut Vec<Output>,
    ) {
        match &flight.stage {
            Stage::Waiting { key, .. } => self.line(&flight.service).remove(*key),
            Stage::Running { .. } => {
                out.push(Output::Cancel { ticket });
                self.settle(now, flight, verdict, out);
            }
        }
    }

    fn run_timers(&mut self, now: Instant, out: &mut Vec<Output>) {
        while let Some((at, ticket)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            match self.lift(ticket) {
                Some(flight) => self.wake(now, ticket, flight, out),
                None => {
                    self.timers.remove(&(at, ticket));
                }
            }
        }
    }

    /// Deals with a request whose time has come: it waited too long, hangs, or is out of time.
    fn wake(&mut self, now: Instant, ticket: Ticket, mut flight: Flight, out: &mut Vec<Output>) {
        let service = flight.service.clone();
        let overdue = now >= flight.deadline;
        match flight.stage.clone() {
            Stage::Waiting { key, .. } => {
                self.line(&service).remove(key);
                let run = flight.run();
                self.give_up(now, ticket, flight, Reason::Overload, run, out);
            }
            Stage::Running { .. } if overdue => {
                self.break_off(now, ticket, &flight, Verdict::Unknown, out);
                self.give_up(
                    now,
                    ticket,
                    flight,
                    Reason::Deadline,
                    RunStatus::Unknown,
                    out,
                );
            }
            Stage::Running { server, .. } => {
                let hangs = self.pool.hangs(now, &server, flight.patience());
                if hangs && flight.ran_at.len() + 1 < flight.mount.max_attempts as usize {
                    self.break_off(now, ticket, &flight, Verdict::Broken, out);
                    self.recover(now, ticket, flight, out);
                } else {
                    if let Stage::Running { alive, .. } = &mut flight.stage {
                        *alive = now;
                    }
                    self.land(ticket, flight);
                    return;
                }
            }
        }
        self.advance(now, &service, out);
    }

    pub(super) fn line(&mut self, service: &Service) -> &mut Line {
        self.lines.entry(service.clone()).or_default()
    }

    pub(super) fn lift(&mut self, ticket: Ticket) -> Option<Flight> {
        let flight = self.flights.remove(&ticket)?;
        self.timers.remove(&(flight.wakes_at(), ticket));
        Some(flight)
    }

    /// Lifts a request while this is its present attempt.
    fn lift_attempt(&mut self, ticket: Ticket, attempt: u32) -> Option<Flight> {
        let flight = self.flights.get(&ticket)?;
        (flight.attempts == attempt).then(|| self.lift(ticket))?
    }

    pub(super) fn land(&mut self, ticket: Ticket, flight: Flight) {
        self.timers.insert((flight.wakes_at(), ticket));
        self.flights.insert(ticket, flight);
    }
}
