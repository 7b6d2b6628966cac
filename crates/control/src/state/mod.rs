//! The state machine that the log drives.
//!
//! [`State`] is changed by committed [`Command`]s only, in log order, so that it is the same on every
//! replica. It reads no clock: time comes with the commands, as the leader stamped them.

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
        /// The leader's wall clock when it took the command in.
        pub at: WallTime,
        /// What to do.
        pub action: Action,
    }

    /// What a command does.
    pub enum Action {
        /// Changes the configuration.
        Submit(Submission),
        /// Puts a configuration with a number of the operator's own in force.
        Publish(Publication),
        /// Claims or settles a key.
        Claim(ClaimRequest),
        /// Gives an engine an order.
        Order {
            /// Names the order.
            operation: Operation,
            /// The engine.
            server: Server,
            /// What to do.
            order: EngineOrder,
        },
        /// Notes how an order ended.
        OrderEnded {
            /// The order.
            operation: Operation,
            /// How it went.
            outcome: OrderOutcome,
        },
    }

    /// What a command came to.
    pub enum Effect {
        /// What became of a change.
        Verdict(Verdict),
        /// What became of a claim.
        Claim(ClaimResult),
        /// What became of an operator's order.
        Order(order::Taken),
        /// Nothing that anybody waits for.
        Noted,
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
        /// The latest stamp of a command; never goes back.
        pub clock: WallTime,
    }
}

impl State {
    /// Applies a committed command.
    pub fn apply(&mut self, command: &Command) -> Effect {
        self.clock = self.clock.max(command.at);
        self.claims.forget(self.clock);
        match &command.action {
            Action::Submit(submission) => Effect::Verdict(self.config.submit(submission)),
            Action::Publish(publication) => Effect::Verdict(self.config.publish(publication)),
            Action::Claim(ask) => Effect::Claim(self.claims.apply(self.clock, ask)),
            Action::Order {
                operation,
                server,
                order,
            } => Effect::Order(self.orders.give(operation, server, order)),
            Action::OrderEnded { operation, outcome } => {
                self.orders.end(operation, outcome);
                Effect::Noted
            }
        }
    }
}
