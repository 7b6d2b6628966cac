//! Control's side of rank groups: reports in, orders out, and which engines are slow.

use std::time::Duration;

use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::{Message, rank};

use crate::control::{Control, Occasion};
use crate::groups;
use crate::io::Output;

/// Time between two looks at which engines are slow.
const SLOW_INTERVAL: Duration = Duration::from_millis(250);

impl Control {
    /// Takes in what a rank of a group says, or passes it on to the leader.
    pub(crate) fn take_rank(
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
                    .hear(now, from, report, self.state.config.document())
            }
            rank::Message::OrderResult(done) => self.groups.done(now, done),
            rank::Message::SlowEngines(slow) => {
                self.take_slow(now, slow, out);
                return;
            }
            rank::Message::Order(_) => return,
        };
        self.carry_out_groups(outputs, out);
    }

    /// Goes on with the switches of rank groups, as long as this replica surely leads.
    pub(crate) fn tend_groups(&mut self, now: Instant, out: &mut Vec<Output>) {
        let leads = self.replica.is_leader() && self.replica.holds_lease(now);
        let term = leads.then(|| self.replica.term());
        let mut outputs = self.groups.lead(now, term);
        if now >= self.groups.next_deadline() {
            outputs.extend(self.groups.tick(now, self.state.config.document()));
        }
        self.carry_out_groups(outputs, out);
        if term.is_some() && now >= self.next_slow {
            self.next_slow = now + SLOW_INTERVAL;
            let slow = self.groups.slow(now);
            self.tell_slow(now, slow, out);
        }
    }

    /// Tells the other control processes which engines are slow, whenever that changes and once in a
    /// while.
    fn tell_slow(&mut self, now: Instant, slow: Vec<rank::SlowEngine>, out: &mut Vec<Output>) {
        if slow.is_empty() && self.slow.is_empty() {
            return;
        }
        for to in self.replica.peer_addresses() {
            let message = rank::Message::SlowEngines(slow.clone());
            let message = Message::Rank(Box::new(message));
            out.push(Output::Send { to, message });
        }
        self.take_slow(now, slow, out);
    }

    /// Takes in which engines are slow now and tells the followers at once.
    fn take_slow(&mut self, now: Instant, slow: Vec<rank::SlowEngine>, out: &mut Vec<Output>) {
        if self.slow == slow {
            return;
        }
        self.slow = slow;
        for (process, follower) in self.followers.subscribed(now) {
            if follower.follow.wants_directory {
                self.update(now, &process, &follower, Occasion::Push, out);
            }
        }
    }

    pub(crate) fn carry_out_groups(&self, outputs: Vec<groups::Output>, out: &mut Vec<Output>) {
        for output in outputs {
            out.push(match output {
                groups::Output::Order(to, order) => Output::Send {
                    to,
                    message: Message::Rank(Box::new(rank::Message::Order(order))),
                },
                groups::Output::Direct(engine, order) => Output::Order { engine, order },
                groups::Output::Event(event) => Output::Event(event),
            });
        }
    }
}
