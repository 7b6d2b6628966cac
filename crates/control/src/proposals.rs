//! Proposals on their way through the log, and who waits for what comes of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eelgrassdyke_core::config::Verdict;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Operation, RequestId, Ticket, Version};
use eelgrassdyke_core::wire::Message;
use eelgrassdyke_core::wire::claim::{self, ClaimResult, TeamKey};
use eelgrassdyke_core::wire::log::Members;

use crate::io::{Answer, Output};
use crate::log::Refusal;
use crate::state::Effect;

/// Who waits for a proposal.
#[derive(Clone, Debug)]
pub enum Waiting {
    /// An operator who submitted a change of the configuration.
    Operator {
        /// The operator.
        ticket: Ticket,
        /// The change.
        operation: Operation,
    },
    /// An operator who changes the members.
    Member {
        /// The operator.
        ticket: Ticket,
    },
    /// An operator who gives an engine an order.
    Order {
        /// The operator.
        ticket: Ticket,
    },
    /// Nobody.
    Nobody,
    /// An entry that asks about a key.
    Entry {
        /// Where it takes messages.
        address: SocketAddr,
        /// The request on whose behalf it asks.
        request: RequestId,
        /// The key.
        name: TeamKey,
    },
}

/// Proposals by token.
#[derive(Clone, Debug, Default)]
pub struct Proposals {
    last: u64,
    waiting: BTreeMap<u64, Waiting>,
}

impl Proposals {
    /// Notes who waits for a new proposal and gives its token.
    pub fn add(&mut self, waiting: Waiting) -> u64 {
        self.last += 1;
        self.waiting.insert(self.last, waiting);
        self.last
    }

    /// Answers with what a committed command came to.
    pub fn settle(&mut self, token: u64, effect: Effect, version: Version, out: &mut Vec<Output>) {
        match (self.waiting.remove(&token), effect) {
            (Some(Waiting::Operator { ticket, operation }), Effect::Verdict(verdict)) => {
                let code = match &verdict {
                    Verdict::Accepted { .. } => Code::ConfigAccepted,
                    _ => Code::ConfigRefused,
                };
                let event = Event::new(code, format!("version {version}"));
                out.push(Output::Event(event.operation(&operation)));
                out.push(answer(ticket, Answer::Verdict(verdict)));
            }
            (Some(Waiting::Order { ticket }), Effect::Order(taken)) => {
                out.push(answer(ticket, Answer::Order(taken)));
            }
            (Some(waiting), Effect::Claim(finding)) => find(waiting, finding, out),
            _ => {}
        }
    }

    /// Answers that a change of the members is committed.
    pub fn settle_members(&mut self, token: u64, members: &Members, out: &mut Vec<Output>) {
        if let Some(Waiting::Member { ticket }) = self.waiting.remove(&token) {
            out.push(answer(ticket, Answer::Members(members.clone())));
        }
    }

    /// Answers that a proposal was not taken in.
    pub fn refuse(
        &mut self,
        token: u64,
        refusal: Refusal,
        leader: Option<SocketAddr>,
        out: &mut Vec<Output>,
    ) {
        let Some(waiting) = self.waiting.remove(&token) else {
            return;
        };
        let refused = match refusal {
            Refusal::NotLeader => Answer::NotLeader { leader },
            Refusal::Overload => Answer::Refused {
                problem: "too many changes wait for a quorum".to_owned(),
                remedy: "send it again in a second".to_owned(),
            },
            Refusal::MembershipChange { problem, remedy } => Answer::Refused {
                problem,
                remedy: remedy.to_owned(),
            },
        };
        match waiting {
            Waiting::Operator { ticket, .. }
            | Waiting::Member { ticket }
            | Waiting::Order { ticket } => {
                out.push(answer(ticket, refused));
            }
            // How an order ended is told again by the next leader's agent.
            Waiting::Nobody => {}
            // An entry that hears nothing asks again later, which relieves this leader.
            Waiting::Entry { .. } if matches!(refused, Answer::Refused { .. }) => {}
            Waiting::Entry { .. } => find(waiting, ClaimResult::NotLeader { leader }, out),
        }
    }

    /// Answers that the fate of a proposal is not known.
    pub fn lose(&mut self, token: u64, out: &mut Vec<Output>) {
        match self.waiting.remove(&token) {
            Some(
                Waiting::Operator { ticket, .. }
                | Waiting::Member { ticket }
                | Waiting::Order { ticket },
            ) => {
                out.push(answer(ticket, Answer::Unknown));
            }
            // The entry asks the next leader the same, and gets the same answer if this one stood.
            Some(waiting) => find(waiting, ClaimResult::NotLeader { leader: None }, out),
            None => {}
        }
    }
}

fn answer(ticket: Ticket, answer: Answer) -> Output {
    Output::Answer { ticket, answer }
}

/// Tells an entry what became of a key.
fn find(waiting: Waiting, finding: ClaimResult, out: &mut Vec<Output>) {
    let Waiting::Entry {
        address,
        request,
        name,
    } = waiting
    else {
        return;
    };
    let answer = claim::ClaimResponse {
        request,
        team_key: name,
        result: finding,
    };
    out.push(Output::Send {
        to: address,
        message: Message::ClaimResponse(answer),
    });
}
