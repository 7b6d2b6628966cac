//! Control's state machine: it joins the log, the state and the soft state.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::config::Submission;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Process, Server, Ticket, Version};
use eelgrassdyke_core::time::{Instant, WallTime};
use eelgrassdyke_core::wire::claim::ClaimRequest;
use eelgrassdyke_core::wire::fence;
use eelgrassdyke_core::wire::follow::{PollRequest, Update};
use eelgrassdyke_core::wire::log::{Payload, Record};
use eelgrassdyke_core::wire::report::{ReportAck, ReportPage};
use eelgrassdyke_core::wire::{self, Message, Sender, rank};

use crate::confirm::Confirmations;
use crate::directory::Directory;
use crate::fence::Giver;
use crate::followers::{Follower, Followers};
use crate::groups::Groups;
use crate::io::{Answer, FollowerStatus, Input, Options, Output, Query, Status};
use crate::log::{self, RecoveredState, Replica};
use crate::proposals::{Proposals, Waiting};
use crate::reads::Reads;
use crate::report::Ledger;
use crate::state::{Action, Command, State};

/// Time between two looks at leases and followers.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Least time between two pushes of the directory; the next sweep makes up for one that waits.
const PUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Orders that the status shows at most.
const ORDERS_SHOWN: usize = 100;

/// Why a follower is sent an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Occasion {
    /// Something changed.
    Push,
    /// It asked.
    Answer,
    /// It asked, and a quorum has confirmed what it is told.
    Confirmed,
}

/// The state machine of the control role.
pub struct Control {
    options: Options,
    me: Sender,
    pub(crate) replica: Replica,
    proposals: Proposals,
    pub(crate) confirmations: Confirmations,
    pub(crate) reads: Reads,
    pub(crate) state: State,
    pub(crate) directory: Directory,
    pub(crate) followers: Followers,
    pub(crate) groups: Groups,
    /// Engines that are slow now, as the leader says.
    pub(crate) slow: Vec<rank::SlowEngine>,
    pub(crate) next_slow: Instant,
    ledger: Ledger,
    asked_books: bool,
    giver: Giver,
    pushed: (Version, u64, Option<SocketAddr>),
    pub(crate) next_push: Instant,
    next_sweep: Instant,
}

impl Control {
    /// A control process that continues from what its data folder holds.
    pub fn new(
        now: Instant,
        me: Sender,
        options: Options,
        recovered: RecoveredState,
        out: &mut Vec<Output>,
    ) -> Self {
        let mut begun = Vec::new();
        let replica = Replica::new(now, me.address, recovered, options.log.clone(), &mut begun);
        let mut control = Self {
            directory: Directory::new(me.process.clone(), me.incarnation).with_lease(options.lease),
            replica,
            proposals: Proposals::default(),
            confirmations: Confirmations::default(),
            reads: Reads::default(),
            state: State::default(),
            followers: Followers::default(),
            groups: Groups::default(),
            slow: Vec::new(),
            next_slow: now,
            ledger: Ledger::default(),
            asked_books: false,
            giver: Giver::default(),
            pushed: (Version(0), 0, None),
            next_push: now,
            next_sweep: now,
            me,
            options,
        };
        control.carry_out(now, begun, out);
        control
    }

    /// Takes in what happened at `now` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Mail { from, message } => self.take_mail(now, &from, message, out),
            Input::Submit { ticket, submission } => self.submit(now, ticket, submission, out),
            Input::Query { ticket, query } => {
                let answer = self.query(now, query);
                out.push(Output::Answer { ticket, answer });
            }
            Input::Publish {
                ticket,
                publication,
            } => self.publish(now, ticket, publication, out),
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
                self.propose(now, action, Waiting::Order { ticket }, out);
                self.giver.hurry();
            }
            Input::Members { ticket, change } => {
                let token = self.proposals.add(Waiting::Member { ticket });
                self.drive(now, log::Input::ChangeMembers { token, change }, out);
            }
            Input::Persisted { job } => self.drive(now, log::Input::Persisted { job }, out),
            Input::DiskFailed { problem } => {
                self.drive(now, log::Input::DiskFailed { problem }, out);
            }
            Input::DiskReopened { recovered } => self.start_again(now, *recovered, out),
            Input::Ordered(done) => {
                let outputs = self.groups.done(now, done);
                self.carry_out_groups(outputs, out);
            }
            Input::Tick => self.drive(now, log::Input::Tick, out),
        }
        self.tend_groups(now, out);
        self.confirm_followers(now, out);
        self.answer_reads(now, out);
        self.sweep(now, out);
        self.push_changes(now, out);
    }

    /// When control next needs [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        self.next_sweep
            .min(self.replica.next_deadline())
            .min(self.reads.next_deadline())
            .min(self.groups.next_deadline())
    }

    /// Whether this replica can reach a quorum and has applied, since it started, all that was
    /// accepted before.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.replica.has_quorum(now) && self.replica.has_caught_up()
    }

    /// Whether this replica leads or heard a leader lately, at `now`.
    pub fn has_quorum(&self, now: Instant) -> bool {
        self.replica.has_quorum(now)
    }

    /// Version of the configuration applied.
    pub fn version(&self) -> Version {
        self.state.config.version()
    }

    fn wall(&self, now: Instant) -> WallTime {
        WallTime(self.options.wall_at_zero.0 + now.0 / 1000)
    }

    fn take_mail(&mut self, now: Instant, from: &Sender, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Log(message) => {
                let from = from.address;
                self.drive(now, log::Input::Message { from, message }, out);
            }
            Message::Heartbeat(beat) => {
                out.extend(self.directory.hear(now, beat).map(Output::Event))
            }
            Message::Poll(follow) => self.take_follow(now, from, follow, out),
            Message::ClaimRequest(ask) => self.take_claim(now, from, ask, out),
            Message::EngineOrder(message) => self.take_fence(now, from, message, out),
            Message::ReportPage(page) => self.take_page(now, from, &page, out),
            Message::ReportResync => self.send_books(from, out),
            Message::ServerLeft(server) => {
                out.extend(self.directory.dismiss(now, &server).map(Output::Event));
            }
            Message::Rank(message) => self.take_rank(now, *message, out),
            Message::ActiveEntries(entries) => self.followers.hear_entries(now, entries),
            _ => {}
        }
    }

    fn take_page(&mut self, now: Instant, from: &Sender, page: &ReportPage, out: &mut Vec<Output>) {
        self.ledger.hear(now, page);
        let kept = ReportAck {
            incarnation: page.incarnation,
            source: page.source,
            after_revision: page.after_revision,
            revision: page.revision,
        };
        out.push(Output::Send {
            to: from.address,
            message: Message::ReportAck(kept),
        });
    }

    /// Sends all books held to a control process that has started.
    fn send_books(&self, from: &Sender, out: &mut Vec<Output>) {
        for page in self.ledger.pages() {
            out.push(Output::Send {
                to: from.address,
                message: Message::ReportPage(page),
            });
        }
    }

    /// Asks the other control processes once for the books that they hold.
    fn ask_books(&mut self, out: &mut Vec<Output>) {
        if self.asked_books {
            return;
        }
        self.asked_books = true;
        for to in &self.options.control {
            if *to == self.me.address {
                continue;
            }
            let message = Message::ReportResync;
            out.push(Output::Send { to: *to, message });
        }
    }

    /// Answers an agent that asks for the term, or takes in how an order went.
    fn take_fence(
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
                let voters = &self.replica.members().voters;
                if !voters.contains_key(&self.replica.id()) {
                    return;
                }
                let (replica, term) = (self.replica.id(), self.replica.term());
                let orders = &self.state.orders;
                let message = crate::fence::answer(
                    query_number,
                    &server,
                    replica,
                    term,
                    voters.len(),
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
                let open = self.state.orders.due();
                if open.iter().all(|standing| standing.operation != operation) {
                    return;
                }
                let action = Action::OrderEnded {
                    operation,
                    outcome: result,
                };
                self.propose(now, action, Waiting::Nobody, out);
                self.giver.hurry();
            }
            _ => {}
        }
    }

    /// Gives agents the orders that are due, while this replica surely leads.
    fn give_orders(&mut self, now: Instant, out: &mut Vec<Output>) {
        if !self.replica.is_leader() || !self.replica.holds_lease(now) {
            return;
        }
        let (term, directory) = (self.replica.term(), &self.directory);
        let address_of = |server: &Server| directory.row(server).map(|row| row.address);
        let given = self.giver.give(now, term, &self.state.orders, address_of);
        for (to, message) in given {
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

    fn submit(
        &mut self,
        now: Instant,
        ticket: Ticket,
        submission: Submission,
        out: &mut Vec<Output>,
    ) {
        let operation = submission.operation.clone();
        let waiting = Waiting::Operator { ticket, operation };
        self.propose(now, Action::Submit(submission), waiting, out);
    }

    fn take_claim(
        &mut self,
        now: Instant,
        from: &Sender,
        ask: ClaimRequest,
        out: &mut Vec<Output>,
    ) {
        let waiting = Waiting::Entry {
            address: from.address,
            request: ask.request.clone(),
            name: ask.team_key.clone(),
        };
        self.propose(now, Action::Claim(ask), waiting, out);
    }

    /// Passes a command to the log; it takes effect once a quorum holds it.
    pub(crate) fn propose(
        &mut self,
        now: Instant,
        action: Action,
        waiting: Waiting,
        out: &mut Vec<Output>,
    ) {
        let at = self.wall(now);
        let token = self.proposals.add(waiting);
        match wire::encode(&Command { at, action }) {
            Ok(command) => self.drive(now, log::Input::Propose { token, command }, out),
            Err(error) => {
                let detail = error.to_string();
                out.push(Output::Event(Event::new(Code::InputRefused, detail)));
                self.proposals.lose(token, out);
            }
        }
    }

    /// Hands an input to the log and carries out what it decides.
    pub(crate) fn drive(&mut self, now: Instant, input: log::Input, out: &mut Vec<Output>) {
        let mut decided = Vec::new();
        self.replica.handle(now, input, &mut decided);
        self.carry_out(now, decided, out);
    }

    fn carry_out(&mut self, now: Instant, decided: Vec<log::Output>, out: &mut Vec<Output>) {
        let mut snapshot_wanted = false;
        for output in decided {
            match output {
                log::Output::Send { to, message } => out.push(Output::Send {
                    to,
                    message: Message::Log(message),
                }),
                log::Output::Persist(job) => out.push(Output::Persist(job)),
                log::Output::Apply { record, token } => self.apply(&record, token, out),
                log::Output::RestoreSnapshot(snapshot) => self.restore(now, &snapshot.data, out),
                log::Output::RequestSnapshot => snapshot_wanted = true,
                log::Output::Refused { token, refusal } => {
                    let leader = self.replica.leader_address();
                    self.proposals.refuse(token, refusal, leader, out);
                }
                log::Output::OutcomeUnknown { token } => self.proposals.lose(token, out),
                log::Output::ReadIndexConfirmed {
                    query_number: question,
                    index,
                } => {
                    self.confirmations.confirm(question, index);
                    self.reads.confirm(question, index);
                }
                log::Output::Event(event) => out.push(Output::Event(event)),
            }
        }
        // Only now does the state hold everything that the log handed out.
        if snapshot_wanted {
            match wire::encode(&self.state) {
                Ok(data) => self.drive(now, log::Input::Snapshot { data }, out),
                Err(error) => self.fail(now, error.to_string(), out),
            }
        }
    }

    /// Applies a committed record and answers who waits for it.
    fn apply(&mut self, record: &Record, token: Option<u64>, out: &mut Vec<Output>) {
        let command = match &record.payload {
            Payload::NoOp => return,
            Payload::Members(members) => {
                if let Some(token) = token {
                    self.proposals.settle_members(token, members, out);
                }
                return;
            }
            Payload::Command(command) => command,
        };
        match wire::decode::<Command>(command) {
            Ok(command) => {
                let effect = self.state.apply(&command);
                if let Some(token) = token {
                    self.proposals.settle(token, effect, self.version(), out);
                }
            }
            // Every replica skips it alike.
            Err(error) => {
                let detail = format!("record {}: {error}", record.index);
                out.push(Output::Event(Event::new(Code::InputRefused, detail)));
            }
        }
    }

    fn restore(&mut self, now: Instant, data: &[u8], out: &mut Vec<Output>) {
        match wire::decode(data) {
            Ok(state) => self.state = state,
            Err(error) => self.fail(now, error.to_string(), out),
        }
    }

    /// Continues from what the data folder holds, as a restarted process would; what others know
    /// of this process goes on.
    fn start_again(&mut self, now: Instant, recovered: RecoveredState, out: &mut Vec<Output>) {
        let (address, options) = (self.me.address, self.options.log.clone());
        let mut begun = Vec::new();
        self.replica = Replica::new(now, address, recovered, options, &mut begun);
        self.state = State::default();
        out.push(Output::Event(Event::new(
            Code::DiskReopened,
            format!("continues as replica {}", self.replica.id()),
        )));
        self.carry_out(now, begun, out);
    }

    /// Stops the log, since this replica can no longer keep the state.
    fn fail(&mut self, now: Instant, problem: String, out: &mut Vec<Output>) {
        self.drive(now, log::Input::DiskFailed { problem }, out);
    }

    fn take_follow(
        &mut self,
        now: Instant,
        from: &Sender,
        follow: PollRequest,
        out: &mut Vec<Output>,
    ) {
        self.followers.hear(now, from, follow.clone());
        let confirm = follow.wants_confirmation && self.replica.has_quorum(now);
        let follower = Follower {
            address: from.address,
            follow,
            heard: now,
        };
        if !confirm {
            self.update(now, &from.process, &follower, Occasion::Answer, out);
            return;
        }
        let question = self.confirmations.ask(from.process.clone(), follower);
        self.drive(
            now,
            log::Input::ReadIndex {
                query_number: question,
            },
            out,
        );
    }

    /// Answers the followers whose question a quorum has confirmed.
    fn confirm_followers(&mut self, now: Instant, out: &mut Vec<Output>) {
        for (process, follower) in self.confirmations.ready(self.replica.applied_index()) {
            self.update(now, &process, &follower, Occasion::Confirmed, out);
        }
    }

    /// Sends a follower what it lacks.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        process: &Process,
        follower: &Follower,
        occasion: Occasion,
        out: &mut Vec<Output>,
    ) {
        let follow = &follower.follow;
        let answers = occasion != Occasion::Push;
        let lacks = || self.state.config.since(follow.version, &follow.digest);
        let config = follow.wants_config.then(lacks).flatten();
        let directory = follow.wants_directory.then(|| {
            self.directory
                .since(now, follow.directory_revision.as_ref(), answers)
        });
        if let Some(directory) = &directory {
            self.followers
                .note_directory(process, directory.revision.clone());
        }
        let update = Update {
            committed_version: self.version(),
            confirmed: occasion == Occasion::Confirmed,
            poll_number: follow.poll_number,
            config,
            directory,
            control: self.replica.member_addresses(),
            has_quorum: self.replica.has_quorum(now),
            leader: self.replica.leader_address(),
            slow_engines: self.slow.clone(),
            entry_count: self.followers.count_entries(now),
        };
        out.push(Output::Send {
            to: follower.address,
            message: Message::Update(update),
        });
    }

    fn query(&self, now: Instant, query: Query) -> Answer {
        match query {
            Query::Config => Answer::Config {
                version: self.version(),
                document: self.state.config.document().clone(),
            },
            Query::Status => Answer::Status(self.status(now)),
            Query::Report => Answer::Report(self.ledger.lines(now)),
        }
    }

    fn status(&self, now: Instant) -> Status {
        let mut followers = std::collections::BTreeMap::new();
        for (process, follower) in self.followers.iter() {
            let status = FollowerStatus {
                address: follower.address,
                version: follower.follow.version,
                heard_ms: now.since(follower.heard).as_millis() as u64,
            };
            followers.insert(process.clone(), status);
        }
        Status {
            process: self.me.process.clone(),
            leads: self.replica.is_leader(),
            leader: self.replica.leader_address(),
            term: self.replica.term(),
            quorum: self.is_ready(now),
            log: self.replica.status(now),
            version: self.version(),
            followers,
            orders: self.state.orders.recent(ORDERS_SHOWN),
            servers: self.directory.servers(),
        }
    }

    fn sweep(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.ask_books(out);
        self.give_orders(now, out);
        self.followers.expire(now);
        self.tell_entries(now, out);
        out.extend(self.directory.expire(now).into_iter().map(Output::Event));
    }

    /// Tells the other control processes which entries follow this one.
    fn tell_entries(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Some(entries) = self.followers.entries_to_tell(now) else {
            return;
        };
        for to in self.replica.peer_addresses() {
            let message = Message::ActiveEntries(entries.clone());
            out.push(Output::Send { to, message });
        }
    }

    /// Pushes a new configuration and a new leader at once, and a new directory once in a while, to
    /// everybody who follows.
    fn push_changes(&mut self, now: Instant, out: &mut Vec<Output>) {
        let leader = self.replica.leader_address().or(self.pushed.2);
        let present = (self.version(), self.directory.revision(), leader);
        if present == self.pushed {
            return;
        }
        let config_changed = present.0 != self.pushed.0;
        let leader_changed = present.2 != self.pushed.2;
        if !config_changed && !leader_changed && now < self.next_push {
            return;
        }
        self.pushed = present;
        self.next_push = now + PUSH_INTERVAL;
        for (process, follower) in self.followers.subscribed(now) {
            let concerned = config_changed && follower.follow.wants_config;
            if concerned || leader_changed || follower.follow.wants_directory {
                self.update(now, &process, &follower, Occasion::Push, out);
            }
        }
    }
}
