//! The agent's state machine.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::books::Books;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::follow::Follower;
use eelgrassdyke_core::id::{Server, Ticket, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::claim::{Name, Outcome, Probed, Status};
use eelgrassdyke_core::wire::directory::{Beat, Load, Row, State};
use eelgrassdyke_core::wire::dispatch::{Dispatch, Frame, Head};
use eelgrassdyke_core::wire::refusal::{Reason, Refusal};
use eelgrassdyke_core::wire::report::{Counts, Side};
use eelgrassdyke_core::wire::{Message, Sender};

use crate::events::Splitter;
use crate::io::{Input, Options, Output, Reply};
use crate::keys::{Admission, Keys};
use crate::queue::{Item, Queue};

/// Time between two announcements.
const BEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two pages of the books.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Largest answer whose outcome is kept, in bytes.
const OUTCOME_BYTES_MAX: usize = 16 << 10;

/// Largest event held while it is not whole, in bytes.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// Health checks in a row that must fail before the back end counts as down.
const FAILURES_MAX: u32 = 2;

/// When an entry may come back to a full or draining agent.
const COME_BACK: Duration = Duration::from_millis(500);

/// One attempt between its arrival and its end.
#[derive(Clone, Debug)]
struct Work {
    dispatch: Dispatch,
    since: Instant,
    started: Option<Instant>,
    deadline: Instant,
    entry_gone: bool,
    head: Option<Head>,
    body: Vec<u8>,
    splitter: Splitter,
    streams: bool,
    events: u64,
}

impl Work {
    fn name(&self) -> Option<Name> {
        let claim = self.dispatch.claim.as_ref()?;
        Some(Name {
            team: self.dispatch.team.clone(),
            key: claim.key.clone(),
        })
    }
}

/// The state machine of the agent role.
pub struct Agent {
    options: Options,
    me: Sender,
    follower: Follower,
    keys: Keys,
    queue: Queue,
    works: BTreeMap<Ticket, Work>,
    running: u32,
    load: Load,
    books: Books,
    beat: u64,
    next_beat: Instant,
    next_report: Instant,
    failures: u32,
    draining: bool,
}

impl Agent {
    /// An agent that has taken in nothing yet.
    pub fn new(me: Sender, options: Options) -> Self {
        let first = me.address.port() as usize;
        Self {
            follower: Follower::new(options.control.clone(), false, first),
            keys: Keys::new(options.keys),
            queue: Queue::default(),
            works: BTreeMap::new(),
            running: 0,
            load: Load::default(),
            books: Books::new(me.process.clone(), me.incarnation, Side::Ran),
            beat: 0,
            next_beat: Instant(0),
            next_report: Instant(0),
            // The back end counts as down until its first health check passes.
            failures: FAILURES_MAX,
            draining: false,
            me,
            options,
        }
    }

    /// Takes in what happened at `now` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Dispatch { ticket, dispatch } => {
                self.take_dispatch(now, ticket, *dispatch, out);
            }
            Input::Gone { ticket } => self.drop_entry(now, ticket, out),
            Input::Reply { ticket, reply } => self.take_reply(now, ticket, reply, out),
            Input::Health(passed) => self.take_health(now, passed, out),
            Input::Mail { from, message } => self.take_mail(now, &from, message, out),
            Input::Tick => {}
            Input::Drain => self.drain(now, out),
        }
        self.expire(now, out);
        self.start_queued(now, out);
        self.announce(now, out);
        self.report(now, out);
    }

    /// When the agent next needs [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        let queue = self.queue.next_deadline();
        queue
            .min(self.next_beat)
            .min(self.next_report)
            .min(self.follower.next_deadline())
    }

    /// The back end's name.
    pub fn server(&self) -> &Server {
        &self.options.server
    }

    /// Whether the agent takes new work.
    pub fn is_ready(&self) -> bool {
        self.state() == State::Up
    }

    /// The configuration version in force.
    pub fn version(&self) -> Version {
        self.follower.version()
    }

    /// Attempts queued or running.
    pub fn open_attempts(&self) -> usize {
        self.works.len()
    }

    /// Whether a graceful shutdown has nothing left to wait for.
    pub fn is_done(&self) -> bool {
        self.draining && self.works.is_empty()
    }

    /// Whether control holds everything that the books say.
    pub fn is_settled(&self) -> bool {
        self.books.is_settled()
    }

    fn state(&self) -> State {
        match (self.draining, self.failures < FAILURES_MAX) {
            (true, _) if self.works.is_empty() => State::Left,
            (true, _) => State::Draining,
            (false, true) => State::Up,
            (false, false) => State::Draining,
        }
    }

    fn take_dispatch(
        &mut self,
        now: Instant,
        ticket: Ticket,
        dispatch: Dispatch,
        out: &mut Vec<Output>,
    ) {
        let work = Work {
            since: now,
            started: None,
            deadline: now + Duration::from_micros(dispatch.left_us),
            entry_gone: false,
            head: None,
            body: Vec::new(),
            splitter: Splitter::default(),
            streams: false,
            events: 0,
            dispatch,
        };
        self.books
            .row(&work.dispatch.team, &work.dispatch.service)
            .asked += 1;
        if let Err(refusal) = self.admit(&work) {
            self.refuse(ticket, &work, refusal, out);
            return;
        }
        self.queue.push(Item {
            ticket,
            team: work.dispatch.team.clone(),
            priority: work.dispatch.priority,
            tokens: work.dispatch.tokens,
            since: now,
            deadline: work.deadline,
        });
        self.works.insert(ticket, work);
    }

    /// Whether a dispatch may be queued; admits its key if it has one.
    fn admit(&mut self, work: &Work) -> Result<(), Refusal> {
        let dispatch = &work.dispatch;
        let other = dispatch.server != self.options.server;
        if other || dispatch.incarnation != self.me.incarnation {
            return Err(Refusal::not_run(Reason::Incarnation));
        }
        // A second copy of a dispatch that runs must not be refused as not run.
        let key = work.name().zip(dispatch.claim.as_ref());
        if let Some((name, claim)) = &key {
            match self.keys.admit(name, claim.number) {
                Admission::Granted => {}
                Admission::Sealed => return Err(Refusal::not_run(Reason::Sealed)),
                Admission::Taken => return Err(Refusal::maybe_run(Reason::StillRunning)),
            }
        }
        let refused = match self.state() {
            State::Up if self.queue.len() < self.options.queue => return Ok(()),
            State::Up => Reason::Overload,
            _ => Reason::Draining,
        };
        if let Some((name, claim)) = &key {
            self.keys.release(name, claim.number);
        }
        Err(Refusal::not_run(refused).after(COME_BACK))
    }

    fn refuse(&mut self, ticket: Ticket, work: &Work, refusal: Refusal, out: &mut Vec<Output>) {
        let dispatch = &work.dispatch;
        let row = self.books.row(&dispatch.team, &dispatch.service);
        *row.refused.entry(refusal.reason).or_default() += 1;
        out.push(self.event(Code::AttemptRefused, work, refusal.reason.as_str()));
        let frame = Frame::Refused {
            refusal,
            load: self.load(),
        };
        out.push(Output::Frame { ticket, frame });
    }

    /// Refuses what waited until its deadline.
    fn expire(&mut self, now: Instant, out: &mut Vec<Output>) {
        for item in self.queue.expired(now) {
            self.drop_queued(item.ticket, Refusal::not_run(Reason::Deadline), out);
        }
    }

    /// Refuses a queued attempt; its key never ran.
    fn drop_queued(&mut self, ticket: Ticket, refusal: Refusal, out: &mut Vec<Output>) {
        let Some(work) = self.works.remove(&ticket) else {
            return;
        };
        if let (Some(name), Some(claim)) = (work.name(), &work.dispatch.claim) {
            self.keys.release(&name, claim.number);
        }
        self.refuse(ticket, &work, refusal, out);
    }

    fn start_queued(&mut self, now: Instant, out: &mut Vec<Output>) {
        while self.running < self.options.slots {
            let Some(item) = self.queue.pop() else {
                return;
            };
            let Some(work) = self.works.get_mut(&item.ticket) else {
                continue;
            };
            work.started = Some(now);
            self.running += 1;
            let call = backend_call(&work.dispatch);
            let left = work.deadline.since(now);
            let (team, service) = (work.dispatch.team.clone(), work.dispatch.service.clone());
            let queued = now.since(work.since).as_micros() as u64;
            let row = self.books.row(&team, &service);
            row.run += 1;
            row.queued_us += queued;
            out.push(self.event(Code::AttemptStarted, &self.works[&item.ticket], ""));
            out.push(Output::Run {
                ticket: item.ticket,
                call,
                left,
            });
        }
    }

    /// Deals with an entry that broke off: what may run again is aborted.
    fn drop_entry(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };
        work.entry_gone = true;
        let claimed = work.dispatch.claim.is_some();
        if self.queue.remove(ticket).is_some() {
            self.drop_queued(ticket, Refusal::not_run(Reason::CallerGone), out);
            return;
        }
        if claimed {
            return;
        }
        out.push(Output::Abort { ticket });
        self.end(now, ticket, Some(Reason::CallerGone), out);
    }

    fn take_reply(&mut self, now: Instant, ticket: Ticket, reply: Reply, out: &mut Vec<Output>) {
        if !self.works.contains_key(&ticket) {
            return;
        }
        match reply {
            Reply::Head(head) => self.take_head(ticket, head, out),
            Reply::Data(data) => self.take_data(now, ticket, &data, out),
            Reply::End => self.finish(now, ticket, out),
            Reply::Failed { sent, detail } => self.fail(now, ticket, sent, detail, out),
        }
    }

    fn take_head(&mut self, ticket: Ticket, head: Head, out: &mut Vec<Output>) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };
        let kind = head.headers.iter().find(|(name, _)| name == "content-type");
        work.streams = kind.is_some_and(|(_, value)| value.starts_with("text/event-stream"));
        work.head = Some(head.clone());
        out.push(Output::Frame {
            ticket,
            frame: Frame::Head(head),
        });
    }

    fn take_data(&mut self, now: Instant, ticket: Ticket, data: &[u8], out: &mut Vec<Output>) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };
        if !work.streams {
            if work.dispatch.claim.is_some() && work.body.len() <= OUTCOME_BYTES_MAX {
                work.body.extend_from_slice(data);
            }
            let frame = Frame::Data(data.to_vec());
            out.push(Output::Frame { ticket, frame });
            return;
        }
        let events = work.splitter.push(data);
        let first = work.events == 0 && !events.is_empty();
        work.events += events.len() as u64;
        let oversized = work.splitter.held_bytes() > EVENT_BYTES_MAX;
        if first {
            let micros = now.since(work.since).as_micros() as u64;
            let (team, service) = (work.dispatch.team.clone(), work.dispatch.service.clone());
            Counts::observe(&mut self.books.row(&team, &service).first_us, micros);
        }
        for event in events {
            out.push(Output::Frame {
                ticket,
                frame: Frame::Data(event),
            });
        }
        if oversized {
            out.push(Output::Abort { ticket });
            self.fail(now, ticket, true, "an event is too large".to_owned(), out);
        }
    }

    /// Ends an attempt whose answer is whole, or was cut.
    fn finish(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(work) = self.works.get(&ticket) else {
            return;
        };
        if work.streams && !work.splitter.is_done() {
            self.fail(
                now,
                ticket,
                true,
                "the stream ended without [DONE]".to_owned(),
                out,
            );
            return;
        }
        let tokens = match work.streams {
            true => work.events.saturating_sub(1),
            false => work.dispatch.tokens,
        };
        let started = work.started.unwrap_or(work.since);
        let queued_us = started.since(work.since).as_micros() as u64;
        let whole = now.since(work.since).as_micros() as u64;
        if let Some(name) = work.name() {
            let outcome = outcome(work);
            self.keys.finish(&name, outcome);
        }
        let (team, service) = (work.dispatch.team.clone(), work.dispatch.service.clone());
        let row = self.books.row(&team, &service);
        row.delivered += 1;
        row.tokens += tokens;
        Counts::observe(&mut row.whole_us, whole);
        self.end(now, ticket, None, out);
        let frame = Frame::End {
            tokens,
            queued_us,
            load: self.load(),
        };
        out.push(Output::Frame { ticket, frame });
    }

    fn fail(
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
        if let (Some(name), Some(claim)) = (work.name(), &work.dispatch.claim) {
            match sent {
                true => self.keys.finish(&name, Outcome::Lost),
                false => self.keys.release(&name, claim.number),
            }
        }
        let tokens = work.events;
        self.end(now, ticket, Some(Reason::ServerFailed), out);
        let frame = match sent {
            true => Frame::Broken { tokens, detail },
            false => Frame::Refused {
                refusal: Refusal::not_run(Reason::ServerFailed),
                load: self.load(),
            },
        };
        out.push(Output::Frame { ticket, frame });
    }

    /// Frees the slot of a started attempt.
    fn end(
        &mut self,
        _now: Instant,
        ticket: Ticket,
        failure: Option<Reason>,
        out: &mut Vec<Output>,
    ) {
        let Some(work) = self.works.remove(&ticket) else {
            return;
        };
        self.running = self.running.saturating_sub(1);
        if let Some(reason) = failure {
            let row = self.books.row(&work.dispatch.team, &work.dispatch.service);
            *row.refused.entry(reason).or_default() += 1;
        }
        let detail = failure.map_or("whole", Reason::as_str);
        out.push(self.event(Code::AttemptEnded, &work, detail));
    }

    fn take_health(&mut self, now: Instant, passed: bool, out: &mut Vec<Output>) {
        let before = self.state();
        self.failures = match passed {
            true => 0,
            false => self.failures.saturating_add(1),
        };
        if self.state() == before {
            return;
        }
        let code = match self.state() {
            State::Up => Code::ServerUp,
            _ => Code::ServerDraining,
        };
        out.push(Output::Event(
            Event::new(code, "health").server(&self.options.server),
        ));
        self.next_beat = now;
    }

    fn take_mail(&mut self, now: Instant, from: &Sender, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Update(update) => {
                if self.follower.apply(now, &from.process, update).config {
                    let detail = format!("version {}", self.follower.version());
                    out.push(Output::Event(Event::new(Code::ConfigApplied, detail)));
                }
            }
            Message::Probe(probe) => {
                let status = match probe.incarnation == self.me.incarnation {
                    true => self.keys.probe(&probe.name, probe.claim),
                    false => Status::Gone,
                };
                let message = Message::Probed(Probed {
                    request: probe.request,
                    name: probe.name,
                    claim: probe.claim,
                    status,
                });
                out.push(Output::Send {
                    to: from.address,
                    message,
                });
            }
            Message::ReportKept(kept) => self.books.kept(&kept),
            _ => {}
        }
    }

    fn drain(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.next_beat = now;
        let event = Event::new(Code::ServerDraining, "shutdown");
        out.push(Output::Event(event.server(&self.options.server)));
    }

    /// Announces the back end to every control process.
    fn announce(&mut self, now: Instant, out: &mut Vec<Output>) {
        if let Some((to, follow)) = self.follower.ask(now) {
            out.push(Output::Send {
                to,
                message: Message::Follow(follow),
            });
        }
        if now < self.next_beat {
            return;
        }
        self.next_beat = now + BEAT_INTERVAL;
        self.beat += 1;
        let beat = Beat {
            row: self.row(),
            sequence: self.beat,
            load: self.load(),
        };
        for to in &self.options.control {
            out.push(Output::Send {
                to: *to,
                message: Message::Beat(beat.clone()),
            });
        }
        out.push(Output::CheckHealth);
    }

    fn report(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
        let closed = self.is_done();
        let Some(page) = self.books.page(closed) else {
            return;
        };
        for to in &self.options.control {
            out.push(Output::Send {
                to: *to,
                message: Message::Report(page.clone()),
            });
        }
    }

    fn row(&self) -> Row {
        Row {
            server: self.options.server.clone(),
            service: self.options.service.clone(),
            agent: self.me.process.clone(),
            incarnation: self.me.incarnation,
            address: self.me.address,
            host: self.options.host.clone(),
            data_centre: self.options.data_centre.clone(),
            state: self.state(),
            slots: self.options.slots,
            token_rate: self.options.token_rate,
            holds: Vec::new(),
        }
    }

    fn load(&self) -> Load {
        Load {
            running: self.running,
            queued: self.queue.len() as u32,
            backlog_tokens: self.queue.tokens(),
            ..self.load
        }
    }

    fn event(&self, code: Code, work: &Work, detail: &str) -> Output {
        let dispatch = &work.dispatch;
        Output::Event(
            Event::new(code, detail)
                .request(&dispatch.attempt.request)
                .team(&dispatch.team)
                .server(&self.options.server),
        )
    }
}

/// The call as the back end gets it.
fn backend_call(dispatch: &Dispatch) -> eelgrassdyke_core::wire::dispatch::Call {
    let mut call = dispatch.call.clone();
    call.headers.push((
        "x-eelgrassdyke-priority".to_owned(),
        dispatch.priority.to_string(),
    ));
    if dispatch.resume_after > 0 {
        let after = dispatch.resume_after.to_string();
        call.headers
            .push(("x-eelgrassdyke-resume-after".to_owned(), after));
    }
    call
}

/// The outcome of a claimed attempt whose answer is whole.
fn outcome(work: &Work) -> Outcome {
    match &work.head {
        Some(head) if work.body.len() <= OUTCOME_BYTES_MAX => Outcome::Answered {
            head: head.clone(),
            body: work.body.clone(),
        },
        _ => Outcome::Lost,
    }
}
