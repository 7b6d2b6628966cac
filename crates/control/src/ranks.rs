//! Rank groups: passes reports to the leader, sends orders to ranks, and distributes the slow engines.

use std::time::Duration;

use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::{Message, rank};

use crate::control::{Control, UpdateReason};
use crate::groups;
use crate::io::Output;

/// Time between two updates of the slow engines.
const SLOW_ENGINES_INTERVAL: Duration = Duration::from_millis(250);

impl Control {
    /// Handles a message about a rank of a group, or forwards it to the leader.
    pub(crate) fn handle_rank_message(
        &mut self,
        now: Instant,
        message: rank::Message,
        out: &mut Vec<Output>,
    ) {
        let outputs = match message {
            rank::Message::Report {
                report,
                relayed,
                from,
            } => {
                if !self.replica.is_leader() {
                    let leader = self.replica.leader_address().filter(|_| !relayed);
                    if let Some(to) = leader {
                        let message = rank::Message::Report {
                            report,
                            relayed: true,
                            from,
                        };
                        let message = Message::Rank(Box::new(message));
                        out.push(Output::Send { to, message });
                    }
                    return;
                }
                self.groups
                    .handle_report(now, from, report, self.state.config.document())
            }
            rank::Message::OrderResult(result) => self.groups.handle_order_result(now, result),
            rank::Message::SlowEngines(slow) => {
                self.set_slow_engines(now, slow, out);
                return;
            }
            rank::Message::Order(_) => return,
        };
        self.emit_group_outputs(outputs, out);
    }

    /// Continues the switches of rank groups while this replica holds the leader's lease.
    pub(crate) fn update_groups(&mut self, now: Instant, out: &mut Vec<Output>) {
        let leads = self.replica.is_leader() && self.replica.holds_lease(now);
        let term = leads.then(|| self.replica.term());
        let mut outputs = self.groups.set_term(now, term);
        if now >= self.groups.next_deadline() {
            outputs.extend(self.groups.tick(now, self.state.config.document()));
        }
        self.emit_group_outputs(outputs, out);
        if term.is_some() && now >= self.next_slow_engines_update {
            self.next_slow_engines_update = now + SLOW_ENGINES_INTERVAL;
            let slow = self.groups.slow_engines(now);
            self.announce_slow_engines(now, slow, out);
        }
    }

    /// Sends the slow engines to the other control processes.
    fn announce_slow_engines(
        &mut self,
        now: Instant,
        slow: Vec<rank::SlowEngine>,
        out: &mut Vec<Output>,
    ) {
        if slow.is_empty() && self.slow_engines.is_empty() {
            return;
        }
        for to in self.replica.peer_addresses() {
            let message = rank::Message::SlowEngines(slow.clone());
            let message = Message::Rank(Box::new(message));
            out.push(Output::Send { to, message });
        }
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
                groups::Output::OrderToAgent(to, order) => Output::Send {
                    to,
                    message: Message::Rank(Box::new(rank::Message::Order(order))),
                },
                groups::Output::OrderToEngine(engine, order) => Output::RankOrder { engine, order },
                groups::Output::Event(event) => Output::Event(event),
            });
        }
    }
}
