//! Proposals in progress, and the requests that wait for their results.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eelgrassdyke_core::config::Verdict;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Operation, RequestId, Ticket, Version};
use eelgrassdyke_core::wire::Message;
use eelgrassdyke_core::wire::claim::{self, ClaimResult, TeamKey};
use eelgrassdyke_core::wire::log::Members;

use crate::evacuation;
use crate::io::{OperatorResponse, Output};
use crate::log::Refusal;
use crate::state::CommandResult;

/// The request that waits for the result of a proposal.
#[derive(Clone, Debug)]
pub enum Waiter {
    /// An operator's submission or publication of a configuration.
    Submission {
        /// Identifies the operator's request.
        ticket: Ticket,
        /// The operation.
        operation: Operation,
    },
    /// An operator's order to evacuate a data centre, or to end its evacuation.
    Evacuation {
        /// Identifies the operator's request.
        ticket: Ticket,
        /// The operation.
        operation: Operation,
    },
    /// An operator's change of the log members.
    MemberChange {
        /// Identifies the operator's request.
        ticket: Ticket,
    },
    /// An operator's order to an engine.
    Order {
        /// Identifies the operator's request.
        ticket: Ticket,
    },
    /// No request waits, since this process made the proposal itself.
    NoRequest,
    /// An entry's claim request.
    Claim {
        /// Address of the entry.
        address: SocketAddr,
        /// The request that the key belongs to.
        request: RequestId,
        /// The key and its team.
        team_key: TeamKey,
    },
}

/// Proposals by token.
#[derive(Clone, Debug, Default)]
pub struct Proposals {
    last_token: u64,
    waiters: BTreeMap<u64, Waiter>,
}

impl Proposals {
    /// Adds a proposal and returns its token.
    pub fn add(&mut self, waiter: Waiter) -> u64 {
        self.last_token += 1;
        self.waiters.insert(self.last_token, waiter);
        self.last_token
    }

    /// Responds with the result of a committed command.
    pub fn complete(
        &mut self,
        token: u64,
        result: CommandResult,
        version: Version,
        out: &mut Vec<Output>,
    ) {
        match (self.waiters.remove(&token), result) {
            (Some(Waiter::Submission { ticket, operation }), CommandResult::Verdict(verdict)) => {
                out.push(verdict_event(&operation, &verdict, version));
                out.push(respond(ticket, OperatorResponse::Verdict(verdict)));
            }
            (Some(Waiter::Evacuation { ticket, operation }), CommandResult::Verdict(verdict)) => {
                out.push(verdict_event(&operation, &verdict, version));
                out.push(respond(ticket, evacuation::response(verdict)));
            }
            (Some(Waiter::Order { ticket }), CommandResult::Order(response)) => {
                out.push(respond(ticket, OperatorResponse::Order(response)));
            }
            (Some(waiter), CommandResult::Claim(result)) => send_claim_result(waiter, result, out),
            _ => {}
        }
    }

    /// Responds that a change of the members is committed.
    pub fn complete_member_change(&mut self, token: u64, members: &Members, out: &mut Vec<Output>) {
        if let Some(Waiter::MemberChange { ticket }) = self.waiters.remove(&token) {
            out.push(respond(ticket, OperatorResponse::Members(members.clone())));
        }
    }

    /// Responds that a proposal was refused.
    pub fn refuse(
        &mut self,
        token: u64,
        refusal: Refusal,
        leader: Option<SocketAddr>,
        out: &mut Vec<Output>,
    ) {
        let Some(waiter) = self.waiters.remove(&token) else {
            return;
        };
        let response = match refusal {
            Refusal::NotLeader => OperatorResponse::NotLeader { leader },
            Refusal::Halted => OperatorResponse::Refused {
                problem: "this replica can't apply a record of a newer build".to_owned(),
                remedy: "send it again in a few seconds, and run the build that knows it here (event 212)"
                    .to_owned(),
            },
            Refusal::Overload => OperatorResponse::Refused {
                problem: "too many changes wait for a quorum".to_owned(),
                remedy: "send it again in a second".to_owned(),
            },
            Refusal::MembershipChange { problem, remedy } => OperatorResponse::Refused {
                problem,
                remedy: remedy.to_owned(),
            },
        };
        match waiter {
            Waiter::Submission { ticket, .. }
            | Waiter::Evacuation { ticket, .. }
            | Waiter::MemberChange { ticket }
            | Waiter::Order { ticket } => {
                out.push(respond(ticket, response));
            }
            // The agent reports the outcome of an order again to the next leader.
            Waiter::NoRequest => {}
            // Without a response, the entry retries later, which reduces the load of this leader.
            Waiter::Claim { .. } if matches!(response, OperatorResponse::Refused { .. }) => {}
            Waiter::Claim { .. } => {
                send_claim_result(waiter, ClaimResult::NotLeader { leader }, out)
            }
        }
    }

    /// Responds that the outcome of a proposal is unknown.
    pub fn respond_unknown(&mut self, token: u64, out: &mut Vec<Output>) {
        match self.waiters.remove(&token) {
            Some(
                Waiter::Submission { ticket, .. }
                | Waiter::Evacuation { ticket, .. }
                | Waiter::MemberChange { ticket }
                | Waiter::Order { ticket },
            ) => {
                out.push(respond(ticket, OperatorResponse::OutcomeUnknown));
            }
            // The entry sends the same request to the next leader, and gets the same result if this
            // proposal was committed.
            Some(waiter) => send_claim_result(waiter, ClaimResult::NotLeader { leader: None }, out),
            None => {}
        }
    }
}

fn verdict_event(operation: &Operation, verdict: &Verdict, version: Version) -> Output {
    let code = match verdict {
        Verdict::Accepted { .. } => Code::ConfigAccepted,
        _ => Code::ConfigRefused,
    };
    let event = Event::new(code, format!("version {version}"));
    Output::Event(event.operation(operation))
}

fn respond(ticket: Ticket, response: OperatorResponse) -> Output {
    Output::Respond { ticket, response }
}

/// Sends an entry the result of its claim request.
fn send_claim_result(waiter: Waiter, result: ClaimResult, out: &mut Vec<Output>) {
    let Waiter::Claim {
        address,
        request,
        team_key,
    } = waiter
    else {
        return;
    };
    let response = claim::ClaimResponse {
        request,
        team_key,
        result,
    };
    out.push(Output::Send {
        to: address,
        message: Message::ClaimResponse(response),
    });
}
