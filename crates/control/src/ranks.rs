//! Rank groups: passes reports to the coordinator, sends orders to ranks, and distributes the slow
//! engines.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::follow::PollRequest;
use eelgrassdyke_core::wire::rank::{Assignments, EngineReport, RankOrderResult};
use eelgrassdyke_core::wire::{Message, Sender, rank};

use crate::control::{Control, UpdateReason};
use crate::coordination::{self, LogRole};
use crate::groups::{self, Authority};
use crate::io::Output;

/// Time between two updates of the slow engines.
const SLOW_ENGINES_INTERVAL: Duration = Duration::from_millis(250);

impl Control {
    /// Handles a message about a rank of a group, or forwards it to the group's coordinator.
    pub(crate) fn handle_rank_message(
        &mut self,
        now: Instant,
        from: &Sender,
        message: rank::Message,
        out: &mut Vec<Output>,
    ) {
        // A process that was suspended finds its leases expired before it acts on the message.
        self.step_coordination(now, out);
        let mut outputs = Vec::new();
        match message {
            rank::Message::Report {
                report,
                relayed,
                from,
            } => {
                if !self.accepts_report(now, &report, out) {
                    self.relay_report(report, relayed, from, out);
                    return;
                }
                let document = self.state.config.document();
                let outputs = self.groups.handle_report(now, from, report, document);
                self.emit_group_outputs(outputs, out);
            }
            rank::Message::OrderResult(result) => self.handle_rank_order_result(now, result, out),
            rank::Message::SlowEngines(slow) => self.record_slow_engines(now, from, slow, out),
            rank::Message::CoordinatorPoll(poll) => {
                if let Some(coordination) = &mut self.coordination {
                    coordination.handle_poll(now, from, &poll, &mut outputs);
                }
            }
            rank::Message::CoordinatorGrant(grant) => {
                if let Some(coordination) = &mut self.coordination {
                    coordination.handle_grant(now, from, grant, &mut outputs);
                }
            }
            rank::Message::Order(_) => {}
        }
        self.emit_coordination_outputs(now, outputs, out);
    }

    /// Handles the result of an order of this process.
    pub(crate) fn handle_rank_order_result(
        &mut self,
        now: Instant,
        result: RankOrderResult,
        out: &mut Vec<Output>,
    ) {
        self.step_coordination(now, out);
        let outputs = self.groups.handle_order_result(now, result);
        self.emit_group_outputs(outputs, out);
        let mut outputs = Vec::new();
        if let Some(coordination) = &mut self.coordination {
            let fenced = self.groups.fenced();
            coordination.give_up_fenced(now, &fenced, &mut outputs);
        }
        self.emit_coordination_outputs(now, outputs, out);
    }

    /// Whether this process coordinates the group of a report.
    fn accepts_report(
        &mut self,
        now: Instant,
        report: &EngineReport,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(coordination) = &mut self.coordination else {
            return self.replica.is_leader();
        };
        let mut outputs = Vec::new();
        coordination.record_report(now, &report.group, report.group_size, &mut outputs);
        let is_coordinator = coordination.holds(now, &report.group);
        self.emit_coordination_outputs(now, outputs, out);
        self.update_authority(now, out);
        is_coordinator
    }

    /// Relays a report that was not relayed before, to the coordinator of its group if it is known and to
    /// the leader if it is not.
    fn relay_report(
        &self,
        report: EngineReport,
        relayed: bool,
        from: SocketAddr,
        out: &mut Vec<Output>,
    ) {
        let to = match &self.coordination {
            Some(coordination) => coordination.relay_address(&report.group),
            None => self.replica.leader_address(),
        };
        let Some(to) = to.filter(|_| !relayed) else {
            return;
        };
        let message = rank::Message::Report {
            report,
            relayed: true,
            from,
        };
        let message = Message::Rank(Box::new(message));
        out.push(Output::Send { to, message });
    }

    /// Brings leases and assignments up to date.
    fn step_coordination(&mut self, now: Instant, out: &mut Vec<Output>) {
        let is_leader = self.replica.is_leader();
        let role = LogRole {
            leader: match is_leader {
                true => Some(self.local.address),
                false => self.replica.leader_address(),
            },
            leads_in: is_leader.then(|| self.replica.term()),
            holds_lease: is_leader && self.replica.holds_lease(now),
        };
        let Some(coordination) = &mut self.coordination else {
            return;
        };
        let mut outputs = Vec::new();
        coordination.step(now, role, &mut outputs);
        self.emit_coordination_outputs(now, outputs, out);
        self.update_authority(now, out);
    }

    /// Tells the rank groups which of them this process coordinates.
    fn update_authority(&mut self, now: Instant, out: &mut Vec<Output>) {
        let leads = self.replica.is_leader() && self.replica.holds_lease(now);
        let authority = match &self.coordination {
            Some(coordination) => Authority::Leases(coordination.terms(now)),
            None if leads => Authority::All(self.replica.term()),
            None => Authority::None,
        };
        let outputs = self.groups.set_authority(now, authority);
        self.emit_group_outputs(outputs, out);
    }

    /// The coordinators for the update to a follower: only watch processes, which don't want the
    /// configuration, need them.
    pub(crate) fn coordinators_for(&self, poll: &PollRequest) -> Assignments {
        match &self.coordination {
            Some(coordination) if !poll.wants_config => coordination.assignments().clone(),
            _ => Assignments::default(),
        }
    }

    /// When leases and assignments next need attention.
    pub(crate) fn next_coordination_deadline(&self) -> Instant {
        let coordination = self.coordination.as_ref();
        coordination.map_or(Instant::NEVER, |coordination| coordination.next_deadline())
    }

    /// Passes on the outputs of the assignments and leases.
    fn emit_coordination_outputs(
        &mut self,
        now: Instant,
        outputs: Vec<coordination::Output>,
        out: &mut Vec<Output>,
    ) {
        for output in outputs {
            match output {
                coordination::Output::Send(to, message) => out.push(Output::Send {
                    to,
                    message: Message::Rank(Box::new(message)),
                }),
                coordination::Output::Event(event) => out.push(Output::Event(event)),
                coordination::Output::PushAssignments => {
                    for (process, follower) in self.followers.subscribed(now) {
                        if !follower.poll.wants_config {
                            self.send_update(now, &process, &follower, UpdateReason::Push, out);
                        }
                    }
                }
            }
        }
    }

    /// Continues the switches of the groups that this process coordinates.
    pub(crate) fn update_groups(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.step_coordination(now, out);
        self.update_authority(now, out);
        if now >= self.groups.next_deadline() {
            let outputs = self.groups.tick(now, self.state.config.document());
            self.emit_group_outputs(outputs, out);
        }
        if now < self.next_slow_engines_update {
            return;
        }
        let leads = self.replica.is_leader() && self.replica.holds_lease(now);
        if leads || self.coordination.is_some() {
            self.next_slow_engines_update = now + SLOW_ENGINES_INTERVAL;
            let slow = self.groups.slow_engines(now);
            self.announce_slow_engines(now, slow, out);
        }
    }

    /// Sends the slow engines of this process's groups to the other control processes, at each interval
    /// while there are any and once more after that.
    fn announce_slow_engines(
        &mut self,
        now: Instant,
        slow: Vec<rank::SlowEngine>,
        out: &mut Vec<Output>,
    ) {
        let merged = match &mut self.coordination {
            Some(coordination) => {
                let announced = coordination.slow_engines.has_announced(&self.local.process);
                let is_needed = !slow.is_empty() || announced;
                if is_needed {
                    coordination
                        .slow_engines
                        .record(now, &self.local.process, slow.clone());
                }
                let merged = coordination.slow_engines.merged(now);
                if !is_needed {
                    self.set_slow_engines(now, merged, out);
                    return;
                }
                merged
            }
            None if slow.is_empty() && self.slow_engines.is_empty() => return,
            None => slow.clone(),
        };
        for to in self.replica.peer_addresses() {
            let message = rank::Message::SlowEngines(slow.clone());
            let message = Message::Rank(Box::new(message));
            out.push(Output::Send { to, message });
        }
        self.set_slow_engines(now, merged, out);
    }

    /// Records the slow engines that another control process announced.
    fn record_slow_engines(
        &mut self,
        now: Instant,
        from: &Sender,
        slow: Vec<rank::SlowEngine>,
        out: &mut Vec<Output>,
    ) {
        let slow = match &mut self.coordination {
            Some(coordination) => {
                coordination.slow_engines.record(now, &from.process, slow);
                coordination.slow_engines.merged(now)
            }
            None => slow,
        };
        self.set_slow_engines(now, slow, out);
    }

    /// Stores the slow engines and pushes them to the followers if they changed.
    fn set_slow_engines(
        &mut self,
        now: Instant,
        slow: Vec<rank::SlowEngine>,
        out: &mut Vec<Output>,
    ) {
        if self.slow_engines == slow {
            return;
        }
        self.slow_engines = slow;
        for (process, follower) in self.followers.subscribed(now) {
            if follower.poll.wants_directory {
                self.send_update(now, &process, &follower, UpdateReason::Push, out);
            }
        }
    }

    /// Passes on the outputs of the rank groups.
    pub(crate) fn emit_group_outputs(&self, outputs: Vec<groups::Output>, out: &mut Vec<Output>) {
        for output in outputs {
            out.push(match output {
                groups::Output::OrderToWatch(to, order) => Output::Send {
                    to,
                    message: Message::Rank(Box::new(rank::Message::Order(order))),
                },
                groups::Output::OrderToEngine(engine, order) => Output::RankOrder { engine, order },
                groups::Output::Event(event) => Output::Event(event),
            });
        }
    }
}
