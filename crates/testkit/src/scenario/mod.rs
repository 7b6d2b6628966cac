//! The scenario language: one step per line, executed against a deployment of real processes.
//!
//! A line is split into words by `shlex` and parsed by `clap`; `#` begins a comment. [`step::Step`]
//! lists the steps. After the last step the invariants are checked from the outside; see [`verdict`].

use std::path::Path;

use clap::Parser;

use crate::errors::{Error, Result};
use crate::site::{Builds, Options};

mod operate;
pub mod run;
pub mod step;
mod upgrade;
pub mod verdict;

use step::{Line, Step};

/// A parsed scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The steps, each with its line number.
    pub steps: Vec<(usize, Step)>,
}

impl Scenario {
    /// Parses a scenario.
    pub fn parse(text: &str) -> Result<Self> {
        let mut steps = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line_number = index + 1;
            let syntax = |problem: String| Error::Syntax {
                line: line_number,
                problem,
            };
            let words = shlex::split(line).ok_or_else(|| syntax("unbalanced quotes".into()))?;
            if words.is_empty() {
                continue;
            }
            let parsed = Line::try_parse_from(words).map_err(|e| syntax(e.to_string()))?;
            steps.push((line_number, parsed.step));
        }
        Ok(Self { steps })
    }

    /// Runs the scenario with the given builds; files are written below `folder`.
    pub async fn run(
        &self,
        builds: impl Into<Builds>,
        folder: &Path,
        options: Options,
    ) -> Result<()> {
        let mut runner = run::Runner::start(builds, folder, options).await?;
        for (line, step) in &self.steps {
            runner
                .step(step)
                .await
                .map_err(|error| with_line(*line, error))?;
        }
        runner.finish().await
    }
}

/// Adds the line number of the failed step to an error.
fn with_line(line: usize, error: Error) -> Error {
    match error {
        Error::ExpectationFailed { expected, actual } => Error::ExpectationFailed {
            expected: format!("(line {line}) {expected}"),
            actual,
        },
        Error::Timeout(condition) => Error::Timeout(format!("{condition} (line {line})")),
        Error::Unknown(name) => Error::Unknown(format!("{name} (line {line})")),
        other => other,
    }
}
