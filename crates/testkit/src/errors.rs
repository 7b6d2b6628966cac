//! Why a trial failed.

use thiserror::Error;

/// Result of a trial.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a trial failed.
#[derive(Debug, Error)]
pub enum Error {
    /// A line of a scenario does not read.
    #[error("line {line}: {problem}; see docs/PROOF.md for the scenario language")]
    Syntax {
        /// The line, from 1.
        line: usize,
        /// What is wrong.
        problem: String,
    },
    /// A step names something that the site does not have.
    #[error("the site has no {0}; name one of its processes or requests")]
    Unknown(String),
    /// A condition did not come about.
    #[error("waited in vain: {0}; see the processes' logs in the site's folder")]
    Wait(String),
    /// An expectation was not met.
    #[error("expected {expected}, got {got}")]
    Expect {
        /// What was expected.
        expected: String,
        /// What was got.
        got: String,
    },
    /// An invariant does not hold.
    #[error("invariant broken: {0}")]
    Invariant(String),
    /// Something outside the trial went wrong.
    #[error("the trial itself failed: {0}; check files, ports and rights")]
    Outside(String),
}

impl Error {
    /// Wraps what went wrong outside the trial.
    pub fn outside(error: impl std::fmt::Display) -> Self {
        Self::Outside(error.to_string())
    }

    /// An expectation that was not met.
    pub fn expect(expected: impl Into<String>, got: impl Into<String>) -> Self {
        Self::Expect {
            expected: expected.into(),
            got: got.into(),
        }
    }
}
