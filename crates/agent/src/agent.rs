//! The agent's state machine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrassdyke_core::books::UsageReporter;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::follow::{Follower, first_poll_number};
use eelgrassdyke_core::id::{Process, Server, Ticket, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::claim::{KeyStatus, ProbeResponse};
use eelgrassdyke_core::wire::directory::{Heartbeat, ServerInfo, ServerLoad, ServerState};
use eelgrassdyke_core::wire::report::ReportSource;
use eelgrassdyke_core::wire::{Message, Sender};

use crate::io::{Input, Options, Output};
use crate::keys::Keys;
use crate::orders::{ORDER_TICKET, Orders};
use crate::pace::Pace;
use crate::queue::Queue;
use crate::work::Work;

/// Time between two announcements.
const BEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Health checks in a row that must fail before the back end counts as down.
const FAILURES_MAX: u32 = 2;

/// The state machine of the agent role.
pub struct Agent {
    pub(crate) options: Options,
    pub(crate) me: Sender,
    pub(crate) follower: Follower,
    orders: Orders,
    pub(crate) keys: Keys,
    pub(crate) queue: Queue,
    pub(crate) pace: Pace,
    pub(crate) works: BTreeMap<Ticket, Work>,
    /// Started attempts by the instant at which they are aborted.
    pub(crate) limits: BTreeSet<(Instant, Ticket)>,
    /// Open attempts by entry.
    pub(crate) entries: BTreeMap<Process, u32>,
    pub(crate) running: u32,
    /// Tokens expected of started attempts that have not come yet.
    pub(crate) backlog: u64,
    pub(crate) books: UsageReporter,
    beat: u64,
    next_beat: Instant,
    failures: u32,
    draining: bool,
}

impl Agent {
    /// An agent that has taken in nothing yet.
    pub fn new(me: Sender, options: Options) -> Self {
        Self {
            follower: Follower::new(&me, options.control.clone(), false),
            orders: Orders::new(
                options.server.clone(),
                options.control.clone(),
                first_poll_number(&me),
            ),
            keys: Keys::new(options.keys),
            queue: Queue::new(options.queue, options.slots),
            pace: Pace::new(options.slots, options.token_rate),
            works: BTreeMap::new(),
            limits: BTreeSet::new(),
            entries: BTreeMap::new(),
            running: 0,
            backlog: 0,
            books: UsageReporter::new(&me, ReportSource::Agent, &options.control),
            beat: 0,
            next_beat: Instant(0),
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
            Input::Reply {
                ticket: ORDER_TICKET,
                reply,
            } => self.orders.take_reply(reply, out),
            Input::Reply { ticket, reply } => self.take_reply(now, ticket, reply, out),
            Input::Health(passed) => self.take_health(now, passed, out),
            Input::Mail { from, message } => self.take_mail(now, &from, message, out),
            Input::Tick => {}
            Input::Drain => self.drain(now, out),
        }
        self.orders.tick(now, out);
        self.expire(now, out);
        self.start_queued(now, out);
        self.announce(now, out);
        self.report(now, out);
    }

    /// When the agent next needs [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        let limit = self.limits.first().map_or(Instant::NEVER, |(at, _)| *at);
        self.queue
            .next_deadline()
            .min(limit)
            .min(self.next_beat)
            .min(self.books.next_deadline())
            .min(self.orders.next_deadline())
            .min(self.follower.next_deadline())
    }

    /// The back end's name.
    pub fn server(&self) -> &Server {
        &self.options.server
    }

    /// Whether the agent takes new work.
    pub fn is_ready(&self) -> bool {
        self.state() == ServerState::Up
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
        self.books.is_replicated()
    }

    /// Whether new work is taken: from a healthy back end, under a configuration that a quorum has
    /// confirmed since this life began.
    pub(crate) fn state(&self) -> ServerState {
        let serves = self.failures < FAILURES_MAX && self.follower.is_confirmed();
        match self.draining {
            true if self.works.is_empty() => ServerState::Left,
            true => ServerState::Draining,
            false if serves => ServerState::Up,
            false => ServerState::Draining,
        }
    }

    fn take_health(&mut self, now: Instant, passed: bool, out: &mut Vec<Output>) {
        let before = self.state();
        self.failures = match passed {
            true => 0,
            false => self.failures.saturating_add(1),
        };
        self.announce_change(now, before, "health", out);
    }

    /// Announces at once that the back end takes new work, or takes none any more.
    fn announce_change(
        &mut self,
        now: Instant,
        before: ServerState,
        cause: &str,
        out: &mut Vec<Output>,
    ) {
        if self.state() == before {
            return;
        }
        let code = match self.state() {
            ServerState::Up => Code::ServerUp,
            _ => Code::ServerDraining,
        };
        out.push(Output::Event(
            Event::new(code, cause).server(&self.options.server),
        ));
        self.next_beat = now;
    }

    fn take_mail(&mut self, now: Instant, from: &Sender, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Update(update) => {
                let before = self.state();
                if self
                    .follower
                    .apply(now, &from.process, update)
                    .config_changed
                {
                    let detail = format!("version {}", self.follower.version());
                    out.push(Output::Event(Event::new(Code::ConfigApplied, detail)));
                    self.reshare();
                }
                self.announce_change(now, before, "configuration", out);
            }
            Message::Probe(probe) => {
                let status = match probe.incarnation == self.me.incarnation {
                    true => self.keys.probe(&probe.team_key, probe.claim),
                    false => KeyStatus::WrongIncarnation,
                };
                let message = Message::ProbeResponse(ProbeResponse {
                    request: probe.request,
                    team_key: probe.team_key,
                    claim: probe.claim,
                    status,
                });
                out.push(Output::Send {
                    to: from.address,
                    message,
                });
            }
            Message::EngineOrder(message) => self.orders.hear(now, from.address, message, out),
            Message::ReportAck(kept) => self.books.record_ack(from, &kept),
            _ => {}
        }
    }

    /// Puts the shares of the configuration in force for the teams that are queued.
    fn reshare(&mut self) {
        let teams = &self.follower.document().teams;
        let service = &self.options.service;
        self.queue.reshare(|team| {
            let share = teams.get(team).and_then(|spec| spec.shares.get(service));
            share.cloned().unwrap_or_default()
        });
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
        while let Some((to, follow)) = self.follower.next_poll(now) {
            out.push(Output::Send {
                to,
                message: Message::Poll(follow),
            });
        }
        if now < self.next_beat {
            return;
        }
        self.next_beat = now + BEAT_INTERVAL;
        self.beat += 1;
        let beat = Heartbeat {
            info: self.row(),
            sequence: self.beat,
            load: self.load(),
        };
        for to in &self.options.control {
            out.push(Output::Send {
                to: *to,
                message: Message::Heartbeat(beat.clone()),
            });
        }
        out.push(Output::CheckHealth);
    }

    fn report(&mut self, now: Instant, out: &mut Vec<Output>) {
        let closed = self.is_done();
        for (to, page) in self.books.due_pages(now, closed) {
            let message = Message::ReportPage(page);
            out.push(Output::Send { to, message });
        }
    }

    fn row(&self) -> ServerInfo {
        ServerInfo {
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
            applied_orders: self.orders.holds().to_vec(),
        }
    }

    /// The back end's present load.
    pub fn load(&self) -> ServerLoad {
        ServerLoad {
            running: self.running,
            queued: self.queue.len() as u32,
            backlog_tokens: self.queue.cost() + self.backlog,
            first_token_us: self.pace.first_us(),
            token_us: self.pace.token_us(),
        }
    }

    pub(crate) fn event(&self, code: Code, work: &Work, detail: &str) -> Output {
        let dispatch = &work.dispatch;
        Output::Event(
            Event::new(code, detail)
                .request(&dispatch.attempt.request)
                .team(&dispatch.team)
                .server(&self.options.server),
        )
    }
}
