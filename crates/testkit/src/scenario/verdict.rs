//! The invariants of a scenario, checked from the outside.
//!
//! [`Observations`] records the outcomes that callers got, which are compared with the execution logs
//! of the stand-ins, and the configuration versions that processes reported during the scenario.

use std::collections::BTreeMap;

use eelgrassdyke_core::wire::refusal::RunStatus;
use eelgrassdyke_standin::book::ExecutionLog;
use eelgrassdyke_standin::engine;
use serde_json::Value;

use crate::caller::{CallOutcome, CallerRequest};
use crate::errors::{Error, Result};

/// One request and its outcome.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The request.
    pub request: CallerRequest,
    /// Its outcome.
    pub outcome: CallOutcome,
}

/// Outcomes of requests and reported configuration versions.
#[derive(Debug, Default)]
pub struct Observations {
    calls: Vec<CallRecord>,
    /// Highest version that a verdict reported as accepted.
    pub accepted_version: u64,
    /// Highest version by process, role and incarnation.
    highest_versions: BTreeMap<(String, String, u64), u64>,
    /// Highest version reported while ready, by process and role.
    highest_ready_versions: BTreeMap<(String, String), u64>,
    /// Description of the last decrease of a version, if one was observed.
    version_decrease: Option<String>,
}

impl Observations {
    /// Records the outcome of a request.
    pub fn record_call(&mut self, call: CallRecord) {
        self.calls.push(call);
    }

    /// Number of complete responses with status 200.
    pub fn completed_calls(&self) -> u64 {
        let is_completed =
            |call: &&CallRecord| matches!(call.outcome, CallOutcome::Response { status: 200, .. });
        self.calls.iter().filter(is_completed).count() as u64
    }

    /// Records the applied version of a role. It must not decrease within one incarnation, nor below
    /// a version that an earlier incarnation had while it was ready, once this one is ready.
    pub fn record_version(
        &mut self,
        process: &str,
        role: &str,
        incarnation: u64,
        version: u64,
        ready: bool,
    ) -> Result<()> {
        let incarnation_key = (process.to_owned(), role.to_owned(), incarnation);
        let highest = self.highest_versions.entry(incarnation_key).or_default();
        let mut before = *highest;
        *highest = version.max(before);
        if ready {
            let highest_ready = self
                .highest_ready_versions
                .entry((process.to_owned(), role.to_owned()))
                .or_default();
            before = before.max(*highest_ready);
            *highest_ready = version.max(*highest_ready);
        }
        if version >= before {
            return Ok(());
        }
        let violation = format!("{process} {role} went back from version {before} to {version}");
        self.version_decrease = Some(violation.clone());
        Err(Error::Invariant(violation))
    }

    /// Checks that no version decreased, and compares the outcomes of requests with the execution
    /// logs of the plain services.
    pub fn check(&self, plain_logs: &[ExecutionLog]) -> Result<()> {
        if let Some(violation) = &self.version_decrease {
            return Err(Error::Invariant(violation.clone()));
        }
        let mut executions: BTreeMap<&str, u64> = BTreeMap::new();
        for log in plain_logs {
            for (key, count) in &log.executions_by_key {
                *executions.entry(key).or_default() += count;
            }
        }
        for (key, count) in &executions {
            if *count > 1 {
                return Err(Error::Invariant(format!("key {key} ran {count} times")));
            }
        }
        self.check_keys(&executions)?;
        self.check_streams()
    }

    /// A key with a status 200 ran once; a key whose outcomes are all refusals with run status `no`
    /// did not run.
    fn check_keys(&self, executions: &BTreeMap<&str, u64>) -> Result<()> {
        let mut outcomes_by_key: BTreeMap<&str, Vec<&CallOutcome>> = BTreeMap::new();
        for call in &self.calls {
            if let Some(key) = &call.request.idempotency_key {
                outcomes_by_key.entry(key).or_default().push(&call.outcome);
            }
        }
        for (key, outcomes) in outcomes_by_key {
            let count = executions.get(key).copied().unwrap_or_default();
            let is_completed = outcomes
                .iter()
                .any(|outcome| matches!(outcome, CallOutcome::Response { status: 200, .. }));
            let not_run = |outcome: &&&CallOutcome| {
                matches!(
                    outcome,
                    CallOutcome::Refusal {
                        run: RunStatus::No,
                        ..
                    }
                )
            };
            let never_ran = outcomes.iter().filter(not_run).count() == outcomes.len();
            if is_completed && count != 1 {
                return Err(Error::Invariant(format!(
                    "key {key} got a response, but ran {count} times"
                )));
            }
            if never_ran && count != 0 {
                return Err(Error::Invariant(format!(
                    "key {key} ran, but its outcomes were {outcomes:?}"
                )));
            }
            check_same_response(key, &outcomes)?;
        }
        Ok(())
    }

    /// Every complete stream equals, byte by byte, the one that an engine sends without interruption.
    fn check_streams(&self) -> Result<()> {
        for call in &self.calls {
            let CallOutcome::Response { status: 200, body } = &call.outcome else {
                continue;
            };
            let completion: Value = serde_json::from_str(&call.request.body).unwrap_or_default();
            let (Some(prompt), Some(tokens)) = (
                completion["prompt"].as_str(),
                completion["max_tokens"].as_u64(),
            ) else {
                continue;
            };
            if *body != engine::expected_stream("draft", prompt, tokens) {
                let violation =
                    format!("the stream for {prompt:?} differs from the engine's: {body:?}");
                return Err(Error::Invariant(violation));
            }
        }
        Ok(())
    }
}

/// Checks that each order that an engine executed has a higher fencing token than the previous one.
pub fn check_fences(engine_logs: &[ExecutionLog]) -> Result<()> {
    for log in engine_logs {
        let mut last = (0, 0);
        for (order, text) in &log.orders {
            let fence = parse_fence(text);
            if fence <= last {
                let violation = format!("{order} carried fence {text} after {last:?}");
                return Err(Error::Invariant(violation));
            }
            last = fence;
        }
    }
    Ok(())
}

/// Term and sequence of a fencing token; zeros if it is missing or malformed.
fn parse_fence(text: &str) -> (u64, u64) {
    let (term, sequence) = text.split_once('.').unwrap_or_default();
    (term.parse().unwrap_or(0), sequence.parse().unwrap_or(0))
}

/// Checks that all responses with status 200 to one key are the same.
fn check_same_response(key: &str, outcomes: &[&CallOutcome]) -> Result<()> {
    let mut first_body = None;
    for outcome in outcomes {
        let CallOutcome::Response { status: 200, body } = outcome else {
            continue;
        };
        let first = first_body.get_or_insert(body);
        if *first != body {
            let violation = format!("key {key} got two responses: {first:?} and {body:?}");
            return Err(Error::Invariant(violation));
        }
    }
    Ok(())
}
