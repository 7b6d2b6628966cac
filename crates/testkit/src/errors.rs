//! Errors of scenarios and load runs.

use thiserror::Error;

/// Result of a scenario or load run.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a scenario or load run failed.
#[derive(Debug, Error)]
pub enum Error {
    /// A line of a scenario cannot be parsed.
    #[error("line {line}: {problem}; see docs/PROOF.md for the scenario language")]
    Syntax {
        /// Line number, from 1.
        line: usize,
        /// Description of the syntax error.
        problem: String,
    },
    /// A step names a process or request that the deployment does not have.
    #[error("the deployment has no {0}; name one of its processes or requests")]
    Unknown(String),
    /// A condition did not hold in time.
    #[error("timed out waiting for {0}; see the processes' logs in the deployment's folder")]
    Timeout(String),
    /// An expectation was not met.
    #[error("expected {expected}, got {actual}")]
    ExpectationFailed {
        /// Expected value.
        expected: String,
        /// Actual value.
        actual: String,
    },
    /// An invariant does not hold.
    #[error("invariant violated: {0}")]
    Invariant(String),
    /// An operation of the test harness failed, not the system under test.
    #[error("the test harness failed: {0}; check files, ports and permissions")]
    Harness(String),
}

impl Error {
    /// Wraps an error of the test harness.
    pub fn harness(error: impl std::fmt::Display) -> Self {
        Self::Harness(error.to_string())
    }

    /// Creates an [`Error::ExpectationFailed`].
    pub fn expectation_failed(expected: impl Into<String>, actual: impl Into<String>) -> Self {
        Self::ExpectationFailed {
            expected: expected.into(),
            actual: actual.into(),
        }
    }
}
