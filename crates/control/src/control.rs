//! The state machine of the control role: combines the replicated log, the replicated state and the
//! soft state.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Process, Server, Version};
use eelgrassdyke_core::time::{Instant, WallTime};
use eelgrassdyke_core::wire::claim::ClaimRequest;
use eelgrassdyke_core::wire::fence;
use eelgrassdyke_core::wire::follow::{ConfigUpdate, PollRequest, Update};
use eelgrassdyke_core::wire::log::{Payload, Record};
use eelgrassdyke_core::wire::report::{ReportAck, ReportPage};
use eelgrassdyke_core::wire::{self, Message, Sender, rank};

use crate::confirm::Confirmations;
use crate::coordination::Coordination;
use crate::crashes::FactRelay;
use crate::departures::Departures;
use crate::directory::Directory;
use crate::evacuation;
use crate::fence::OrderSender;
use crate::followers::{Follower, Followers};
use crate::groups::Groups;
use crate::io::{FollowerStatus, Input, OperatorResponse, Options, Output, Query, Status};
use crate::log::{self, RecoveredState, Replica};
use crate::proposals::{Proposals, Waiter};
use crate::reads::PublicationReads;
use crate::report::UsageLedger;
use crate::state::{Action, Command, State};

/// Time between two checks of leases, followers and orders.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two pushes of the directory; a later sweep sends a push that was held back.
const DIRECTORY_PUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Most orders in the status.
const STATUS_ORDERS_MAX: usize = 100;

/// The reason for an update to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateReason {
    /// The configuration, the directory, the leader or the slow engines changed.
    Push,
    /// The follower polled.
    Poll,
    /// The follower polled, and a quorum has confirmed the committed version since.
    ConfirmedPoll,
}

/// The state machine of the control role.
pub struct Control {
    options: Options,
    pub(crate) local: Sender,
    pub(crate) replica: Replica,
    proposals: Proposals,
    pub(crate) confirmations: Confirmations,
    pub(crate) reads: PublicationReads,
    pub(crate) state: State,
    pub(crate) directory: Directory,
    pub(crate) followers: Followers,
    pub(crate) groups: Groups,
    /// Present if the leader assigns groups to control processes.
    pub(crate) coordination: Option<Coordination>,
    /// Engines that are slow or whose group is closed, according to the leader.
    pub(crate) slow_engines: Vec<rank::SlowEngine>,
    pub(crate) next_slow_engines_update: Instant,
    pub(crate) crashes: FactRelay,
    pub(crate) departures: Departures,
    ledger: UsageLedger,
    /// Whether the usage counters of the other control processes have been requested.
    resync_requested: bool,
    order_sender: OrderSender,
    /// Whether the process is about to stop.
    is_leaving: bool,
    /// Version, directory revision and leader of the last push.
    last_push: (Version, u64, Option<SocketAddr>),
    pub(crate) next_push: Instant,
    next_sweep: Instant,
}

impl Control {
    /// A control process that continues from the contents of its data folder.
    pub fn new(
        now: Instant,
        local: Sender,
        options: Options,
        recovered: RecoveredState,
        out: &mut Vec<Output>,
    ) -> Self {
        let mut log_outputs = Vec::new();
        let replica = Replica::new(
            now,
            local.address,
            recovered,
            options.log.clone(),
            &mut log_outputs,
        );
        let mut control = Self {
            directory: Directory::new(local.process.clone(), local.incarnation)
                .with_lease(options.server_lease),
            replica,
            proposals: Proposals::default(),
            confirmations: Confirmations::new(local.incarnation),
            reads: PublicationReads::default(),
            state: State::default(),
            followers: Followers::default(),
            groups: Groups::new(options.engines_check_fencing),
            coordination: (options.spreads_groups).then(|| Coordination::new(local.clone())),
            slow_engines: Vec::new(),
            next_slow_engines_update: now,
            crashes: FactRelay::default(),
            departures: Departures::new(options.server_lease),
            ledger: UsageLedger::default(),
            resync_requested: false,
            order_sender: OrderSender::default(),
            is_leaving: false,
            last_push: (Version(0), 0, None),
            next_push: now,
            next_sweep: now,
            local,
            options,
        };
        control.handle_log_outputs(now, log_outputs, out);
        control
    }

    /// Handles an input at `now` and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Message { from, message } => self.handle_message(now, &from, message, out),
            Input::Submit { ticket, submission } => self.submit(now, ticket, submission, out),
            Input::Query { ticket, query } => {
                let response = self.query(now, query);
                out.push(Output::Respond { ticket, response });
            }
            Input::LiftQuarantine {
                ticket,
                service,
                part,
            } => self.lift_quarantine(now, ticket, (service, part), out),
            Input::Publish {
                ticket,
                publication,
            } => self.publish(now, ticket, publication, out),
            Input::Evacuate { ticket, order } => self.evacuate(now, ticket, order, out),
            Input::ReadPublication { ticket } => self.read_publication(now, ticket, out),
            Input::Announce { ticket, notice } => self.announce(now, ticket, notice, out),
            Input::Order {
                ticket,
                operation,
                server,
                order,
            } => {
                let action = Action::Order {
                    operation,
                    server,
                    order,
                };
                self.propose(now, action, Waiter::Order { ticket }, out);
                self.order_sender.make_due();
            }
            Input::ChangeMembers { ticket, change } => {
                let token = self.proposals.add(Waiter::MemberChange { ticket });
                self.step_log(now, log::Input::ChangeMembers { token, change }, out);
            }
            Input::Persisted { job } => self.step_log(now, log::Input::Persisted { job }, out),
            Input::DiskFailed { problem } => {
                self.step_log(now, log::Input::DiskFailed { problem }, out);
            }
            Input::DiskReopened { recovered } => self.restart(now, *recovered, out),
            Input::RankOrderResult(result) => {
                self.handle_rank_order_result(now, result, out);
            }
            Input::Leave => {
                self.is_leaving = true;
                self.step_log(now, log::Input::Leave, out);
            }
            Input::Tick => self.step_log(now, log::Input::Tick, out),
        }
        self.update_groups(now, out);
        self.send_confirmed_updates(now, out);
        self.complete_reads(now, out);
        self.relay_due_facts(now, out);
        self.complete_departures(now, out);
        self.sweep(now, out);
        self.push_changes(now, out);
    }

    /// When control next needs [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        self.next_sweep
            .min(self.replica.next_deadline())
            .min(self.reads.next_deadline())
            .min(self.groups.next_deadline())
            .min(self.crashes.next_deadline())
            .min(self.departures.next_deadline())
            .min(self.next_coordination_deadline())
    }

    /// Whether this replica has contact with a quorum and has applied everything that was committed
    /// before it started.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.replica.has_quorum(now) && self.replica.has_caught_up()
    }

    /// Whether the process may stop without costing the cluster a voter that another replica could replace.
    pub fn may_stop(&self, now: Instant) -> bool {
        self.replica.may_stop(now)
    }

    /// The records of servers that ended, and the quarantines that follow from them.
    pub fn crashes(&self) -> &FactRelay {
        &self.crashes
    }

    /// Whether this replica leads with a quorum, or has recent contact with a leader.
    pub fn has_quorum(&self, now: Instant) -> bool {
        self.replica.has_quorum(now)
    }

    /// How far the replica of the log has got.
    pub fn log_progress(&self, now: Instant) -> log::Progress {
        self.replica.progress(now)
    }

    /// The version of the configuration that is applied.
    pub fn version(&self) -> Version {
        self.state.config.version()
    }

    /// The wall-clock time at `now`.
    fn wall_time(&self, now: Instant) -> WallTime {
        WallTime(self.options.wall_time_origin.0 + now.0 / 1000)
    }

    /// Dispatches a message by its kind; kinds that control never receives are ignored.
    fn handle_message(
        &mut self,
        now: Instant,
        from: &Sender,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Log(message) => {
                let from = from.address;
                self.step_log(now, log::Input::Message { from, message }, out);
            }
            Message::Heartbeat(heartbeat) => out.extend(
                self.directory
                    .record_heartbeat(now, heartbeat)
                    .map(Output::Event),
            ),
            Message::Poll(poll) => self.handle_poll(now, from, poll, out),
            Message::ClaimRequest(request) => self.handle_claim_request(now, from, request, out),
            Message::EngineOrder(message) => self.handle_order_message(now, from, message, out),
            Message::ReportPage(page) => self.handle_report_page(now, from, &page, out),
            Message::ReportResync => {
                self.send_report_pages(from, out);
                self.send_departures(from, out);
            }
            Message::ServerLeft(server) => self.handle_server_left(now, from, &server, out),
            Message::Rank(message) => self.handle_rank_message(now, from, *message, out),
            Message::ServerLeftNoted(server) => self.handle_departure_noted(from, &server, out),
            Message::FactSync(sync) => self.handle_fact_sync(now, from, &sync, out),
            Message::ActiveEntries(entries) => self.followers.record_remote_entries(now, entries),
            Message::EntryDemands(demands) => self.followers.record_remote_demands(now, demands),
            _ => {}
        }
    }

    /// Records and acknowledges a page of usage counters.
    fn handle_report_page(
        &mut self,
        now: Instant,
        from: &Sender,
        page: &ReportPage,
        out: &mut Vec<Output>,
    ) {
        self.ledger.record_page(now, page);
        let ack = ReportAck {
            incarnation: page.incarnation,
            source: page.source,
            after_revision: page.after_revision,
            revision: page.revision,
        };
        out.push(Output::Send {
            to: from.address,
            message: Message::ReportAck(ack),
        });
    }

    /// Sends all usage counters to a control process that has started.
    fn send_report_pages(&self, from: &Sender, out: &mut Vec<Output>) {
        for page in self.ledger.pages() {
            out.push(Output::Send {
                to: from.address,
                message: Message::ReportPage(page),
            });
        }
    }

    /// Requests the usage counters of the other control processes, once after the start.
    fn request_report_resync(&mut self, out: &mut Vec<Output>) {
        if self.resync_requested {
            return;
        }
        self.resync_requested = true;
        for to in &self.options.control_addresses {
            if *to == self.local.address {
                continue;
            }
            let message = Message::ReportResync;
            out.push(Output::Send { to: *to, message });
        }
    }

    /// Responds to an agent that queries the term, or proposes the outcome of an order.
    fn handle_order_message(
        &mut self,
        now: Instant,
        from: &Sender,
        message: fence::Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            fence::Message::ConfirmTerm {
                query_number,
                server,
            } => {
                let members = self.replica.members();
                if !members.has_vote(self.replica.id()) {
                    return;
                }
                let (replica, term) = (self.replica.id(), self.replica.term());
                let orders = &self.state.orders;
                let message = crate::fence::term_response(
                    query_number,
                    &server,
                    replica,
                    term,
                    members.electorate().count(),
                    orders,
                );
                out.push(Output::Send {
                    to: from.address,
                    message,
                });
            }
            fence::Message::OrderResult {
                operation, result, ..
            } if result != fence::OrderOutcome::Running && self.replica.is_leader() => {
                let current_orders = self.state.orders.next_by_server();
                if current_orders
                    .iter()
                    .all(|status| status.operation != operation)
                {
                    return;
                }
                let action = Action::OrderEnded {
                    operation,
                    outcome: result,
                };
                self.propose(now, action, Waiter::NoRequest, out);
                self.order_sender.make_due();
            }
            _ => {}
        }
    }

    /// Sends agents the orders that are due, while this replica holds the leader's lease.
    fn send_orders(&mut self, now: Instant, out: &mut Vec<Output>) {
        if !self.replica.is_leader() || !self.replica.holds_lease(now) {
            return;
        }
        let (term, directory) = (self.replica.term(), &self.directory);
        let address_of = |server: &Server| directory.info(server).map(|info| info.address);
        let messages = self
            .order_sender
            .due_messages(now, term, &self.state.orders, address_of);
        for (to, message) in messages {
            if let Message::EngineOrder(fence::Message::Order {
                operation, server, ..
            }) = &message
            {
                let event = Event::new(Code::OrderGiven, format!("term {term}"));
                out.push(Output::Event(event.operation(operation).server(server)));
            }
            out.push(Output::Send { to, message });
        }
    }

    /// Proposes an entry's claim request.
    fn handle_claim_request(
        &mut self,
        now: Instant,
        from: &Sender,
        request: ClaimRequest,
        out: &mut Vec<Output>,
    ) {
        let waiter = Waiter::Claim {
            address: from.address,
            request: request.request.clone(),
            team_key: request.team_key.clone(),
        };
        self.propose(now, Action::Claim(request), waiter, out);
    }

    /// Proposes a command to the log; it takes effect once it is committed.
    pub(crate) fn propose(
        &mut self,
        now: Instant,
        action: Action,
        waiter: Waiter,
        out: &mut Vec<Output>,
    ) {
        let proposed_at = self.wall_time(now);
        let token = self.proposals.add(waiter);
        match wire::encode(&Command {
            proposed_at,
            action,
        }) {
            Ok(command) => self.step_log(now, log::Input::Propose { token, command }, out),
            Err(error) => {
                let detail = format!("command not proposed: can't encode it: {error}");
                out.push(Output::Event(Event::new(Code::InputRefused, detail)));
                self.proposals.respond_unknown(token, out);
            }
        }
    }

    /// Hands an input to the log replica and handles its outputs.
    pub(crate) fn step_log(&mut self, now: Instant, input: log::Input, out: &mut Vec<Output>) {
        let mut outputs = Vec::new();
        self.replica.handle(now, input, &mut outputs);
        self.handle_log_outputs(now, outputs, out);
    }

    fn handle_log_outputs(
        &mut self,
        now: Instant,
        outputs: Vec<log::Output>,
        out: &mut Vec<Output>,
    ) {
        let mut snapshot_requested = false;
        let mut apply_error = None;
        for output in outputs {
            match output {
                log::Output::Send { to, message } => out.push(Output::Send {
                    to,
                    message: Message::Log(message),
                }),
                log::Output::Persist(job) => out.push(Output::Persist(job)),
                log::Output::Apply { record, token } => {
                    if apply_error.is_none() {
                        let result = self.apply(&record, token, out);
                        apply_error = result.err().map(|error| (record.index, error));
                    }
                    if let (Some(token), true) = (token, apply_error.is_some()) {
                        self.proposals.respond_unknown(token, out);
                    }
                }
                log::Output::RestoreSnapshot(snapshot) => self.restore(now, &snapshot.data, out),
                log::Output::RequestSnapshot => snapshot_requested = true,
                log::Output::Refused { token, refusal } => {
                    let leader = self.replica.leader_address();
                    self.proposals.refuse(token, refusal, leader, out);
                }
                log::Output::OutcomeUnknown { token } => self.proposals.respond_unknown(token, out),
                log::Output::ReadIndexConfirmed {
                    query_number,
                    index,
                } => {
                    self.confirmations.record_confirmation(query_number, index);
                    self.reads.record_confirmation(query_number, index);
                }
                log::Output::Event(event) => out.push(Output::Event(event)),
            }
        }
        if let Some((index, error)) = apply_error {
            let problem = error.to_string();
            self.step_log(now, log::Input::ApplyFailed { index, problem }, out);
            return;
        }
        // The snapshot is taken after the loop, when all handed-out records are applied.
        if snapshot_requested {
            match wire::encode(&self.state) {
                Ok(data) => self.step_log(now, log::Input::Snapshot { data }, out),
                Err(error) => {
                    let problem = format!("can't encode the state for a snapshot: {error}");
                    self.stop_log(now, problem, out);
                }
            }
        }
    }

    /// Applies a committed record and responds to the request that waits for it; fails if this build
    /// doesn't know its command.
    fn apply(
        &mut self,
        record: &Record,
        token: Option<u64>,
        out: &mut Vec<Output>,
    ) -> wire::Result<()> {
        let command = match &record.payload {
            Payload::NoOp => return Ok(()),
            Payload::Members(members) => {
                if let Some(token) = token {
                    self.proposals.complete_member_change(token, members, out);
                }
                return Ok(());
            }
            Payload::Command(command) => command,
        };
        let command = wire::decode::<Command>(command)?;
        let result = self.state.apply(&command);
        if self.replica.is_leader() {
            let events = evacuation::events(&command.action, &result);
            out.extend(events.into_iter().map(Output::Event));
        }
        if let Some(token) = token {
            self.proposals.complete(token, result, self.version(), out);
        }
        Ok(())
    }

    /// Replaces the state by that of a snapshot.
    fn restore(&mut self, now: Instant, data: &[u8], out: &mut Vec<Output>) {
        match wire::decode(data) {
            Ok(state) => self.state = state,
            Err(error) => {
                let problem = format!("can't decode the state of a snapshot: {error}");
                self.stop_log(now, problem, out);
            }
        }
    }

    /// Continues from the contents of the data folder, as a restarted process would, but keeps the
    /// incarnation and the soft state.
    fn restart(&mut self, now: Instant, recovered: RecoveredState, out: &mut Vec<Output>) {
        let (address, options) = (self.local.address, self.options.log.clone());
        let mut log_outputs = Vec::new();
        self.replica = Replica::new(now, address, recovered, options, &mut log_outputs);
        self.state = State::default();
        out.push(Output::Event(Event::new(
            Code::DiskReopened,
            format!("continues as replica {}", self.replica.id()),
        )));
        self.handle_log_outputs(now, log_outputs, out);
        if self.is_leaving {
            self.step_log(now, log::Input::Leave, out);
        }
    }

    /// Stops the log replica, since this process can no longer encode or decode the state.
    fn stop_log(&mut self, now: Instant, problem: String, out: &mut Vec<Output>) {
        self.step_log(now, log::Input::DiskFailed { problem }, out);
    }

    /// Records a poll and responds to it, after confirmation by a quorum if the follower wants that.
    fn handle_poll(
        &mut self,
        now: Instant,
        from: &Sender,
        poll: PollRequest,
        out: &mut Vec<Output>,
    ) {
        let needs_confirmation = poll.wants_confirmation && self.replica.has_quorum(now);
        let follower = self.followers.record_poll(now, from, poll);
        if !needs_confirmation {
            self.send_update(now, &from.process, &follower, UpdateReason::Poll, out);
            return;
        }
        let query_number = self.confirmations.add(from.process.clone(), follower);
        self.step_log(now, log::Input::ReadIndex { query_number }, out);
    }

    /// Responds to the polls that a quorum has confirmed.
    fn send_confirmed_updates(&mut self, now: Instant, out: &mut Vec<Output>) {
        for (process, follower) in self
            .confirmations
            .take_applied(self.replica.applied_index())
        {
            self.send_update(now, &process, &follower, UpdateReason::ConfirmedPoll, out);
        }
    }

    /// Sends a follower everything newer than it holds.
    pub(crate) fn send_update(
        &mut self,
        now: Instant,
        process: &Process,
        follower: &Follower,
        reason: UpdateReason,
        out: &mut Vec<Output>,
    ) {
        let poll = &follower.poll;
        let with_loads = reason != UpdateReason::Push;
        let newer_config = || self.state.config.update_since(poll.version, &poll.digest);
        let mut config = poll.wants_config.then(newer_config).flatten();
        // A follower serves nothing before a quorum has confirmed the version.
        let awaits_confirmation = poll.wants_confirmation && reason != UpdateReason::ConfirmedPoll;
        if let Some(ConfigUpdate::Snapshot { version, .. }) = config
            && (awaits_confirmation
                || !self
                    .followers
                    .try_begin_snapshot(now, process, follower, version))
        {
            config = None;
        }
        let directory = poll.wants_directory.then(|| {
            self.directory
                .update_since(now, poll.directory_revision.as_ref(), with_loads)
        });
        if let Some(directory) = &directory {
            self.followers
                .record_sent_directory(process, directory.revision.clone());
        }
        let shares = match poll.wants_directory && self.replica.has_quorum(now) {
            true => self.followers.shares(now, process),
            false => Vec::new(),
        };
        let update = Update {
            committed_version: self.version(),
            confirmed: reason == UpdateReason::ConfirmedPoll,
            poll_number: poll.poll_number,
            config,
            directory,
            control_addresses: self.replica.member_addresses(),
            has_quorum: self.replica.has_quorum(now),
            leader: self.replica.leader_address(),
            slow_engines: self.slow_engines.clone(),
            entry_count: self.followers.count_entries(now),
            shares,
            coordinators: self.coordinators_for(poll),
        };
        out.push(Output::Send {
            to: follower.address,
            message: Message::Update(update),
        });
    }

    fn query(&self, now: Instant, query: Query) -> OperatorResponse {
        match query {
            Query::Config => OperatorResponse::Config {
                version: self.version(),
                document: self.state.config.document().clone(),
            },
            Query::Status => OperatorResponse::Status(self.status(now)),
            Query::Report => OperatorResponse::Report(self.ledger.lines(now)),
            Query::Quarantines => OperatorResponse::Quarantines(self.crashes.status(now)),
        }
    }

    fn status(&self, now: Instant) -> Status {
        let mut followers = std::collections::BTreeMap::new();
        for (process, follower) in self.followers.iter() {
            let status = FollowerStatus {
                address: follower.address,
                version: follower.poll.version,
                poll_age_ms: now.since(follower.polled_at).as_millis() as u64,
            };
            followers.insert(process.clone(), status);
        }
        Status {
            process: self.local.process.clone(),
            is_leader: self.replica.is_leader(),
            leader: self.replica.leader_address(),
            term: self.replica.term(),
            is_ready: self.is_ready(now),
            log: self.replica.status(now),
            version: self.version(),
            followers,
            orders: self.state.orders.recent(STATUS_ORDERS_MAX),
            evacuated: self.evacuated_data_centres(),
            servers: self.directory.servers(),
        }
    }

    /// Does the periodic work: resync, orders, expiry of followers and leases.
    fn sweep(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.request_report_resync(out);
        self.send_orders(now, out);
        self.followers.expire(now);
        self.announce_entries(now, out);
        out.extend(self.directory.expire(now).into_iter().map(Output::Event));
    }

    /// Announces the entries that follow this process, and the demand at them, to the other control
    /// processes, whose followers receive the number of all entries and their shares.
    fn announce_entries(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Some(entries) = self.followers.entries_to_announce(now) else {
            return;
        };
        let demands = self.followers.local_demands(now);
        for to in self.replica.peer_addresses() {
            let message = Message::ActiveEntries(entries.clone());
            out.push(Output::Send { to, message });
            if !demands.is_empty() {
                let message = Message::EntryDemands(demands.clone());
                out.push(Output::Send { to, message });
            }
        }
    }

    /// Pushes changes to the followers: a new configuration or leader immediately, a new directory at
    /// most every [`DIRECTORY_PUSH_INTERVAL`].
    fn push_changes(&mut self, now: Instant, out: &mut Vec<Output>) {
        let leader = self.replica.leader_address().or(self.last_push.2);
        let current = (self.version(), self.directory.revision(), leader);
        if current == self.last_push {
            return;
        }
        let config_changed = current.0 != self.last_push.0;
        let leader_changed = current.2 != self.last_push.2;
        if !config_changed && !leader_changed && now < self.next_push {
            return;
        }
        self.last_push = current;
        self.next_push = now + DIRECTORY_PUSH_INTERVAL;
        for (process, follower) in self.followers.subscribed(now) {
            let gets_config = config_changed && follower.poll.wants_config;
            if gets_config || leader_changed || follower.poll.wants_directory {
                self.send_update(now, &process, &follower, UpdateReason::Push, out);
            }
        }
    }
}
