//! The replicated state machine.
//!
//! [`State`] is changed only by committed [`Command`]s, in log order, so that it is the same on every
//! replica. It reads no clock: each command carries the wall-clock time of the leader.

use eelgrassdyke_core::config::{EngineOrder, Publication, Submission, Verdict};
use eelgrassdyke_core::data;
use eelgrassdyke_core::id::{Operation, Server};
use eelgrassdyke_core::time::WallTime;
use eelgrassdyke_core::wire::claim::{ClaimRequest, ClaimResult};
use eelgrassdyke_core::wire::fence::OrderOutcome;

pub mod claim;
pub mod config;
pub mod order;
pub mod validate;

data! {
    /// A command of the state machine.
    pub struct Command {
        /// Wall-clock time at which the leader proposed the command.
        #[serde(rename = "at")]
        pub proposed_at: WallTime,
        /// The action to apply.
        pub action: Action,
    }

    /// The action of a command.
    pub enum Action {
        /// Changes the configuration.
        Submit(Submission),
        /// Puts a configuration in force under a publication number that the operator chose.
        Publish(Publication),
        /// Claims or settles an idempotency key.
        Claim(ClaimRequest),
        /// Opens an order to an engine.
        Order {
            /// Identifies the order.
            operation: Operation,
            /// The engine.
            server: Server,
            /// The order.
            order: EngineOrder,
        },
        /// Closes an order with its outcome.
        OrderEnded {
            /// Identifies the order.
            operation: Operation,
            /// Its outcome.
            outcome: OrderOutcome,
        },
    }

    /// The result of applying a command.
    pub enum CommandResult {
        /// The verdict on a change of the configuration.
        Verdict(Verdict),
        /// The result of a claim request.
        Claim(ClaimResult),
        /// The response to an order.
        Order(order::OrderResponse),
        /// The command has no result.
        #[serde(rename = "Noted")]
        NoResult,
    }

    /// The replicated state.
    #[derive(Default)]
    #[serde(default)]
    pub struct State {
        /// The configuration.
        pub config: config::Config,
        /// The claims.
        pub claims: claim::Claims,
        /// The orders.
        pub orders: order::Orders,
        /// The latest time of an applied command; never decreases.
        pub clock: WallTime,
    }
}

impl State {
    /// Applies a committed command.
    pub fn apply(&mut self, command: &Command) -> CommandResult {
        self.clock = self.clock.max(command.proposed_at);
        self.claims.expire(self.clock);
        match &command.action {
            Action::Submit(submission) => CommandResult::Verdict(self.config.submit(submission)),
            Action::Publish(publication) => {
                CommandResult::Verdict(self.config.publish(publication))
            }
            Action::Claim(request) => CommandResult::Claim(self.claims.apply(self.clock, request)),
            Action::Order {
                operation,
                server,
                order,
            } => CommandResult::Order(self.orders.open(operation, server, order)),
            Action::OrderEnded { operation, outcome } => {
                self.orders.close(operation, outcome);
                CommandResult::NoResult
            }
        }
    }
}
