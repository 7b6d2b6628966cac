//! The agent's state machine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrassdyke_core::books::UsageReporter;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::follow::{Follower, poll_number_base};
use eelgrassdyke_core::id::{Process, Server, Ticket, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::claim::{KeyStatus, ProbeResponse};
use eelgrassdyke_core::wire::directory::{Heartbeat, ServerInfo, ServerLoad, ServerState};
use eelgrassdyke_core::wire::report::ReportSource;
use eelgrassdyke_core::wire::{Message, Sender};

use crate::io::{Input, Options, Output};
use crate::keys::KeyTable;
use crate::orders::{ORDER_TICKET, OrderExecutor};
use crate::pace::ServiceTimeEstimator;
use crate::queue::FairQueue;
use crate::work::Attempt;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of consecutive health checks that must fail before the server counts as down.
const HEALTH_CHECK_FAILURES_MAX: u32 = 2;

/// The state machine of the agent role.
pub struct Agent {
    pub(crate) options: Options,
    pub(crate) local: Sender,
    pub(crate) follower: Follower,
    orders: OrderExecutor,
    pub(crate) keys: KeyTable,
    pub(crate) queue: FairQueue,
    pub(crate) estimator: ServiceTimeEstimator,
    /// Queued and running attempts.
    pub(crate) attempts: BTreeMap<Ticket, Attempt>,
    /// Running attempts, by the instant at which they are aborted.
    pub(crate) abort_deadlines: BTreeSet<(Instant, Ticket)>,
    /// Number of queued and running attempts, by entry.
    pub(crate) open_by_entry: BTreeMap<Process, u32>,
    pub(crate) running: u32,
    /// Expected tokens of running attempts that have not been generated yet.
    pub(crate) running_backlog_tokens: u64,
    pub(crate) usage_reporter: UsageReporter,
    heartbeat_sequence: u64,
    next_heartbeat_at: Instant,
    /// Number of consecutive failed health checks.
    health_check_failures: u32,
    is_draining: bool,
}

impl Agent {
    /// Creates an agent whose server counts as down until it passes a health check.
    pub fn new(local: Sender, options: Options) -> Self {
        Self {
            follower: Follower::new(&local, options.control_addresses.clone(), false),
            orders: OrderExecutor::new(
                options.server.clone(),
                options.control_addresses.clone(),
                poll_number_base(&local),
            ),
            keys: KeyTable::new(options.key_capacity),
            queue: FairQueue::new(options.queue_capacity, options.slots),
            estimator: ServiceTimeEstimator::new(options.slots, options.token_rate),
            attempts: BTreeMap::new(),
            abort_deadlines: BTreeSet::new(),
            open_by_entry: BTreeMap::new(),
            running: 0,
            running_backlog_tokens: 0,
            usage_reporter: UsageReporter::new(
                &local,
                ReportSource::Agent,
                &options.control_addresses,
            ),
            heartbeat_sequence: 0,
            next_heartbeat_at: Instant(0),
            health_check_failures: HEALTH_CHECK_FAILURES_MAX,
            is_draining: false,
            local,
            options,
        }
    }

    /// Handles an input at instant `now` and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Dispatch { ticket, dispatch } => {
                self.handle_dispatch(now, ticket, *dispatch, out);
            }
            Input::DispatchCancelled { ticket } => self.handle_cancellation(now, ticket, out),
            Input::Response {
                ticket: ORDER_TICKET,
                part,
            } => self.orders.handle_response(part, out),
            Input::Response { ticket, part } => self.handle_response(now, ticket, part, out),
            Input::HealthCheckResult(passed) => self.handle_health_check(now, passed, out),
            Input::Message { from, message } => self.handle_message(now, &from, message, out),
            Input::Tick => {}
            Input::Drain => self.drain(now, out),
        }
        self.orders.tick(now, out);
        self.expire_attempts(now, out);
        self.start_queued(now, out);
        self.send_polls_and_heartbeats(now, out);
        self.send_report_pages(now, out);
    }

    /// When the agent next needs an [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        let next_abort = self.abort_deadlines.first();
        let next_abort = next_abort.map_or(Instant::NEVER, |(at, _)| *at);
        self.queue
            .next_deadline()
            .min(next_abort)
            .min(self.next_heartbeat_at)
            .min(self.usage_reporter.next_deadline())
            .min(self.orders.next_deadline())
            .min(self.follower.next_deadline())
    }

    /// Name of the server.
    pub fn server(&self) -> &Server {
        &self.options.server
    }

    /// Whether the agent accepts new dispatches.
    pub fn is_ready(&self) -> bool {
        self.state() == ServerState::Up
    }

    /// Version of the applied configuration.
    pub fn config_version(&self) -> Version {
        self.follower.version()
    }

    /// Time since the last update from control, or since the start if there was none.
    pub fn control_silence(&self, now: Instant) -> Duration {
        self.follower
            .time_since_update(now)
            .unwrap_or(now.since(Instant(0)))
    }

    /// Number of queued and running attempts.
    pub fn open_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Whether a graceful shutdown has begun and every attempt has ended.
    pub fn is_drained(&self) -> bool {
        self.is_draining && self.attempts.is_empty()
    }

    /// Whether all usage counts have been replicated to control.
    pub fn is_usage_replicated(&self) -> bool {
        self.usage_reporter.is_replicated()
    }

    /// State of the server in the directory.
    ///
    /// It is up only while the server is healthy and a quorum has confirmed the configuration in
    /// this incarnation.
    pub(crate) fn state(&self) -> ServerState {
        let is_healthy = self.health_check_failures < HEALTH_CHECK_FAILURES_MAX;
        let can_serve = is_healthy && self.follower.is_confirmed();
        match self.is_draining {
            true if self.attempts.is_empty() => ServerState::Left,
            true => ServerState::Draining,
            false if can_serve => ServerState::Up,
            false => ServerState::Draining,
        }
    }

    fn handle_health_check(&mut self, now: Instant, passed: bool, out: &mut Vec<Output>) {
        let before = self.state();
        self.health_check_failures = match passed {
            true => 0,
            false => self.health_check_failures.saturating_add(1),
        };
        self.announce_state_change(now, before, "health", out);
    }

    /// Records a change of the server's state and makes the next heartbeat due at once.
    fn announce_state_change(
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
        self.next_heartbeat_at = now;
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
                let before = self.state();
                if self
                    .follower
                    .apply(now, &from.process, update)
                    .config_changed
                {
                    let detail = format!("version {}", self.follower.version());
                    out.push(Output::Event(Event::new(Code::ConfigApplied, detail)));
                    self.update_shares();
                }
                self.announce_state_change(now, before, "configuration", out);
            }
            Message::Probe(probe) => {
                let status = match probe.incarnation == self.local.incarnation {
                    true => self.keys.probe(&probe.team_key, probe.claim),
                    false => KeyStatus::Unknown,
                };
                let response = Message::ProbeResponse(ProbeResponse {
                    request: probe.request,
                    team_key: probe.team_key,
                    claim: probe.claim,
                    status,
                });
                out.push(Output::Send {
                    to: from.address,
                    message: response,
                });
            }
            Message::EngineOrder(message) => {
                self.orders.handle_message(now, from.address, message, out);
            }
            Message::ReportAck(ack) => self.usage_reporter.record_ack(from, &ack),
            _ => {}
        }
    }

    /// Applies the shares of the current configuration to the teams in the queue.
    fn update_shares(&mut self) {
        let teams = &self.follower.document().teams;
        let service = &self.options.service;
        self.queue.update_shares(|team| {
            let share = teams.get(team).and_then(|spec| spec.shares.get(service));
            share.cloned().unwrap_or_default()
        });
    }

    fn drain(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.is_draining {
            return;
        }
        self.is_draining = true;
        self.next_heartbeat_at = now;
        let event = Event::new(Code::ServerDraining, "shutdown");
        out.push(Output::Event(event.server(&self.options.server)));
    }

    /// Polls control and, when due, sends a heartbeat to every control process and requests a
    /// health check.
    fn send_polls_and_heartbeats(&mut self, now: Instant, out: &mut Vec<Output>) {
        while let Some((to, poll)) = self.follower.next_poll(now) {
            out.push(Output::Send {
                to,
                message: Message::Poll(poll),
            });
        }
        if now < self.next_heartbeat_at {
            return;
        }
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
        self.heartbeat_sequence += 1;
        let heartbeat = Heartbeat {
            info: self.server_info(),
            sequence: self.heartbeat_sequence,
            load: self.load(),
        };
        for to in &self.options.control_addresses {
            out.push(Output::Send {
                to: *to,
                message: Message::Heartbeat(heartbeat.clone()),
            });
        }
        out.push(Output::CheckHealth);
    }

    fn send_report_pages(&mut self, now: Instant, out: &mut Vec<Output>) {
        let is_final = self.is_drained();
        for (to, page) in self.usage_reporter.due_pages(now, is_final) {
            let message = Message::ReportPage(page);
            out.push(Output::Send { to, message });
        }
    }

    fn server_info(&self) -> ServerInfo {
        ServerInfo {
            server: self.options.server.clone(),
            service: self.options.service.clone(),
            agent: self.local.process.clone(),
            incarnation: self.local.incarnation,
            address: self.local.address,
            host: self.options.host.clone(),
            data_centre: self.options.data_centre.clone(),
            state: self.state(),
            slots: self.options.slots,
            token_rate: self.options.token_rate,
            is_cold: false,
            applied_orders: self.orders.applied_orders().to_vec(),
        }
    }

    /// Current load of the server.
    pub fn load(&self) -> ServerLoad {
        ServerLoad {
            running: self.running,
            queued: self.queue.len() as u32,
            backlog_tokens: self.queue.cost() + self.running_backlog_tokens,
            first_token_us: self.estimator.first_token_us(),
            token_us: self.estimator.token_us(),
        }
    }

    pub(crate) fn event(&self, code: Code, attempt: &Attempt, detail: &str) -> Output {
        let dispatch = &attempt.dispatch;
        Output::Event(
            Event::new(code, detail)
                .request(&dispatch.attempt.request)
                .team(&dispatch.team)
                .server(&self.options.server),
        )
    }
}
