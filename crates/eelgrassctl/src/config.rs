//! `apply`, `get` and `diff`: submit, print and compare configurations.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use eelgrassdyke_control::OperatorResponse;
use eelgrassdyke_core::config::{Change, Document, Patch, Submission, Verdict};
use eelgrassdyke_core::id::{Operation, Version};
use eelgrassdyke_node::http::client::Request;
use monoio::time::Instant;
use rand::RngExt as _;
use serde::Serialize;
use serde_json::{Value, json};

use crate::client::{Client, sleep_with_jitter, unexpected_answer};
use crate::command::{ApplyArgs, DiffArgs, GetArgs};
use crate::errors::{Error, ExitStatus, Result};
use crate::submission::ConfigInput;
use crate::wait::{self, RolloutStatus};
use crate::{output, table};

/// Submits a change; with `--wait`, waits until it is in force.
pub async fn apply(client: &Client, options: &ApplyArgs, json: bool) -> Result<ExitStatus> {
    let submission = build_submission(client, options).await?;
    let (operation, base) = (&submission.operation, submission.base);

    // Printed before sending, so that the change can be resent if the response is lost.
    eprintln!(
        "operation {operation} from base {base}; resend it with --operation {operation} --base {base}"
    );
    submit(client, &submission, options.wait, json).await
}

/// Submits a change and prints the verdict; with `wait`, waits until it is in force.
pub async fn submit(
    client: &Client,
    submission: &Submission,
    wait: bool,
    json: bool,
) -> Result<ExitStatus> {
    let deadline = client.deadline();
    let (operation, base) = (&submission.operation, submission.base);
    let body = serde_json::to_vec(submission).map_err(Error::invalid_response)?;
    let verdict = match client
        .submit_to_leader(&Request::post("/v1/config", body))
        .await?
    {
        OperatorResponse::Verdict(verdict) => verdict,
        answer => return Err(unexpected_answer(&answer)),
    };
    let rollout = match (&verdict, wait) {
        (Verdict::Accepted { version }, true) => {
            Some(wait::wait_until_in_force(client, *version, deadline).await)
        }
        _ => None,
    };
    match json {
        true => output::print_json(&json!({
            "operation": operation, "base": base, "verdict": verdict, "in_force": rollout,
        }))?,
        false => {
            print_verdict(&verdict);
            if let Some(rollout) = &rollout {
                print_rollout(rollout);
            }
        }
    }
    let accepted = matches!(verdict, Verdict::Accepted { .. });
    match accepted && rollout.is_none_or(|rollout| rollout.is_complete()) {
        true => Ok(ExitStatus::Success),
        false => Ok(ExitStatus::Failure),
    }
}

/// Builds the submission from the input file and the options.
async fn build_submission(client: &Client, options: &ApplyArgs) -> Result<Submission> {
    let change = match ConfigInput::read(&options.file, options.patch)? {
        ConfigInput::Submission(mut submission) => {
            if let Some(operation) = &options.operation {
                submission.operation = operation.clone();
            }
            submission.base = options.base.unwrap_or(submission.base);
            return Ok(submission);
        }
        ConfigInput::Change(change) => change,
    };
    if options.operation.is_some() && options.base.is_none() {
        let problem = "--operation needs --base: a resend is recognised only with the same base";
        return Err(Error::Usage(problem.to_owned()));
    }
    let base = match options.base {
        Some(base) => base,
        None => client.newest_config().await?.version,
    };
    Ok(Submission {
        operation: options
            .operation
            .clone()
            .unwrap_or_else(generate_operation_id),
        base,
        change,
        author: options.author.clone(),
    })
}

/// Generates a random operation identifier.
pub fn generate_operation_id() -> Operation {
    let name = format!("ctl-{:016x}", rand::rng().random::<u64>());
    name.parse()
        .unwrap_or_else(|_| unreachable!("letters, digits and a hyphen form a valid identifier"))
}

fn print_verdict(verdict: &Verdict) {
    match verdict {
        Verdict::Accepted { version } => {
            output::print_line(format_args!("accepted as version {version}"))
        }
        Verdict::Conflict {
            current_version,
            objects,
            last_operation,
        } => {
            output::print_line(format_args!(
                "conflict: changed since the base version: {}",
                objects.join(", ")
            ));
            if let Some(operation) = last_operation {
                output::print_line(format_args!(
                    "the first of them was last changed by operation {operation}"
                ));
            }
            output::print_line(format_args!(
                "current version {current_version}; compare with `eelgrassctl diff` and apply again"
            ));
        }
        Verdict::Invalid { faults } => {
            output::print_line("invalid: nothing was applied");
            for fault in faults {
                output::print_line(format_args!(
                    "  {}: {}; {}",
                    fault.path, fault.problem, fault.remedy
                ));
            }
        }
        Verdict::Reused => {
            output::print_line(
                "the operation identifier was used before for another change; nothing was applied",
            );
            output::print_line("resend the same file with the same base, or omit --operation");
        }
    }
}

fn print_rollout(rollout: &RolloutStatus) {
    match rollout.is_complete() {
        true => output::print_line(format_args!(
            "in force in {} processes",
            rollout.updated.len()
        )),
        false => output::print_line(format_args!(
            "not in force in all processes; in force in {}",
            rollout.updated.len()
        )),
    }
    for (process, version) in &rollout.outdated {
        output::print_line(format_args!("  {process} has version {version}"));
    }
    for (process, version) in &rollout.silent {
        output::print_line(format_args!(
            "  {process} has stopped polling; its last known version is {version}"
        ));
    }
    for problem in &rollout.unreachable {
        output::print_line(format_args!("  {problem}"));
    }
}

/// Prints the configuration in force.
pub async fn get(client: &Client, options: &GetArgs, json: bool) -> Result<ExitStatus> {
    let wanted = options.at_least.unwrap_or_default();
    let deadline = client.deadline();
    let config = loop {
        let config = client.newest_config().await?;
        if config.version >= wanted || Instant::now() >= deadline {
            break config;
        }
        sleep_with_jitter().await;
    };
    if !config.fresh {
        eprintln!("stale: no control process has a quorum; newer versions may exist");
    }
    match json {
        true => output::print_json(&json!({
            "version": config.version, "fresh": config.fresh, "document": config.document,
        }))?,
        false => {
            eprintln!("version {}", config.version);
            let text =
                serde_json::to_string_pretty(&config.document).map_err(Error::invalid_response)?;
            output::print_line(format_args!("{text}"));
        }
    }
    match config.version >= wanted {
        true => Ok(ExitStatus::Success),
        false => Ok(ExitStatus::Failure),
    }
}

/// Compares a file with the configuration in force.
pub async fn diff(client: &Client, options: &DiffArgs, json: bool) -> Result<ExitStatus> {
    let input = ConfigInput::read(&options.file, options.patch)?;
    let config = client.newest_config().await?;
    let wanted = match input.change() {
        // Control leaves the section alone if a whole document has none.
        Change::Replace(document) if document.data_centres.is_empty() => Document {
            data_centres: config.document.data_centres.clone(),
            ..document.clone()
        },
        Change::Replace(document) => document.clone(),
        Change::Patch(patch) => apply_patch(&config.document, patch),
    };
    let differences = diff_documents(&config.document, &wanted)?;
    match json {
        true => output::print_json(&json!({"base": config.version, "differences": differences}))?,
        false => print_differences(config.version, &differences),
    }
    match differences.is_empty() {
        true => Ok(ExitStatus::Success),
        false => Ok(ExitStatus::Failure),
    }
}

fn apply_patch(document: &Document, patch: &Patch) -> Document {
    let mut patched = document.clone();
    patched.apply(patch);
    patched
}

/// A value that differs between two documents.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Path into the document.
    pub path: String,
    /// The value in force, if any.
    #[serde(rename = "present")]
    pub current: Option<Value>,
    /// The value in the file, if any.
    pub wanted: Option<Value>,
}

/// The values that differ between two documents, sorted by path.
pub fn diff_documents(current: &Document, wanted: &Document) -> Result<Vec<Difference>> {
    let (mut old_leaves, mut new_leaves) = (BTreeMap::new(), BTreeMap::new());
    flatten("", encode(current)?, &mut old_leaves);
    flatten("", encode(wanted)?, &mut new_leaves);
    let paths: BTreeSet<&String> = old_leaves.keys().chain(new_leaves.keys()).collect();
    let mut differences = Vec::new();
    for path in paths {
        let (current, wanted) = (old_leaves.get(path), new_leaves.get(path));
        if current != wanted {
            differences.push(Difference {
                path: path.clone(),
                current: current.cloned(),
                wanted: wanted.cloned(),
            });
        }
    }
    Ok(differences)
}

fn encode(document: &Document) -> Result<Value> {
    serde_json::to_value(document).map_err(Error::invalid_response)
}

/// Adds the leaves of `value` to `leaves`, by path; empty objects and arrays are leaves.
fn flatten(path: &str, value: Value, leaves: &mut BTreeMap<String, Value>) {
    let join = |name: &dyn Display| match path {
        "" => name.to_string(),
        _ => format!("{path}.{name}"),
    };
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (name, value) in fields {
                flatten(&join(&name), value, leaves);
            }
        }
        Value::Array(items) if !items.is_empty() => {
            for (index, value) in items.into_iter().enumerate() {
                flatten(&join(&index), value, leaves);
            }
        }
        leaf => drop(leaves.insert(path.to_owned(), leaf)),
    }
}

fn print_differences(base: Version, differences: &[Difference]) {
    if differences.is_empty() {
        output::print_line(format_args!("no differences from version {base}"));
        return;
    }
    output::print_line(format_args!(
        "compared with version {base}; apply with --base {base}"
    ));
    let text = |value: &Option<Value>| value.as_ref().map_or("-".to_owned(), Value::to_string);
    let rows = differences.iter().map(|difference| {
        vec![
            difference.path.clone(),
            text(&difference.current),
            text(&difference.wanted),
        ]
    });
    table::print(
        &[("path", false), ("in force", false), ("file", false)],
        rows,
    );
}
