//! The scenario language: a step a line, run against a site of real processes.
//!
//! A line is split into words by `shlex` and read by `clap`; `#` begins a comment. See [`step::Step`]
//! for what a line can say. After the last step the invariants are checked from outside; see
//! [`verdict`].

use std::path::Path;

use clap::Parser;

use crate::errors::{Error, Result};
use crate::site::Options;

mod operate;
pub mod run;
pub mod step;
pub mod verdict;

use step::{Line, Step};

/// A scenario: a step and its line number, each.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The steps, in order.
    pub steps: Vec<(usize, Step)>,
}

impl Scenario {
    /// Reads a scenario.
    pub fn parse(text: &str) -> Result<Self> {
        let mut steps = Vec::new();
        for (at, line) in text.lines().enumerate() {
            let line_number = at + 1;
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

    /// Runs the scenario with the given binary; files live below `folder`.
    pub async fn run(&self, binary: &Path, folder: &Path, options: Options) -> Result<()> {
        let mut runner = run::Runner::start(binary, folder, options).await?;
        for (line, step) in &self.steps {
            runner
                .step(step)
                .await
                .map_err(|error| at_line(*line, error))?;
        }
        runner.finish().await
    }
}

/// Names the line at which a step failed.
fn at_line(line: usize, error: Error) -> Error {
    match error {
        Error::Expect { expected, got } => Error::Expect {
            expected: format!("(line {line}) {expected}"),
            got,
        },
        Error::Wait(what) => Error::Wait(format!("(line {line}) {what}")),
        Error::Unknown(what) => Error::Unknown(format!("{what} (line {line})")),
        other => other,
    }
}
