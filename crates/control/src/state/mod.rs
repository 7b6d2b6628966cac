//! The state machine that the log drives.
//!
//! [`State`] is changed by committed [`Command`]s only, in log order, so that it is the same on every
//! replica. It reads no clock: time comes with the commands, as the leader stamped them.

use eelgrassdyke_core::config::{Submission, Verdict};
use eelgrassdyke_core::data;
use eelgrassdyke_core::time::Wall;
use eelgrassdyke_core::wire::claim::{Ask, Finding};

pub mod claim;
pub mod config;
pub mod validate;

data! {
    /// A command of the state machine.
    pub struct Command {
        /// The leader's wall clock when it took the command in.
        pub at: Wall,
        /// What to do.
        pub action: Action,
    }

    /// What a command does.
    pub enum Action {
        /// Changes the configuration.
        Submit(Submission),
        /// Claims or settles a key.
        Claim(Ask),
    }

    /// What a command came to.
    pub enum Effect {
        /// What became of a change.
        Verdict(Verdict),
        /// What became of a claim.
        Claim(Finding),
    }

    /// The replicated state.
    #[derive(Default)]
    #[serde(default)]
    pub struct State {
        /// The configuration.
        pub config: config::Config,
        /// The claims.
        pub claims: claim::Claims,
        /// The latest stamp of a command; never goes back.
        pub clock: Wall,
    }
}

impl State {
    /// Applies a committed command.
    pub fn apply(&mut self, command: &Command) -> Effect {
        self.clock = self.clock.max(command.at);
        self.claims.forget(self.clock);
        match &command.action {
            Action::Submit(submission) => Effect::Verdict(self.config.submit(submission)),
            Action::Claim(ask) => Effect::Claim(self.claims.apply(self.clock, ask)),
        }
    }
}
