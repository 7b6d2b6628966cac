//! `apply`, `get` and `diff`: the configuration.

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

use crate::client::{Client, pause, unexpected};
use crate::command::{Apply, Diff, Get};
use crate::errors::{Code, Error, Result};
use crate::submission::Content;
use crate::wait::{self, Force};
use crate::{output, table};

/// Submits a change and, when asked to, waits until it is in force.
pub async fn apply(client: &Client, options: &Apply, json: bool) -> Result<Code> {
    let deadline = client.deadline();
    let submission = submission(client, options).await?;
    let (operation, base) = (submission.operation.clone(), submission.base);

    // Printed before it is sent, so that a change whose answer is lost can be resent.
    eprintln!(
        "operation {operation} from base {base}; resend it with --operation {operation} --base {base}"
    );
    let body = serde_json::to_vec(&submission).map_err(Error::unreadable)?;
    let verdict = match client.decide(&Request::post("/v1/config", body)).await? {
        OperatorResponse::Verdict(verdict) => verdict,
        answer => return Err(unexpected(&answer)),
    };
    let force = match (&verdict, options.wait) {
        (Verdict::Accepted { version }, true) => {
            Some(wait::until_in_force(client, *version, deadline).await)
        }
        _ => None,
    };
    match json {
        true => output::json(&json!({
            "operation": operation, "base": base, "verdict": verdict, "in_force": force,
        }))?,
        false => {
            print_verdict(&verdict);
            if let Some(force) = &force {
                print_force(force);
            }
        }
    }
    let accepted = matches!(verdict, Verdict::Accepted { .. });
    match accepted && force.is_none_or(|force| force.is_complete()) {
        true => Ok(Code::Done),
        false => Ok(Code::Refused),
    }
}

/// The submission that the options ask for.
async fn submission(client: &Client, options: &Apply) -> Result<Submission> {
    let change = match Content::read(&options.file, options.patch)? {
        Content::Submission(mut submission) => {
            if let Some(operation) = &options.operation {
                submission.operation = operation.clone();
            }
            submission.base = options.base.unwrap_or(submission.base);
            return Ok(submission);
        }
        Content::Change(change) => change,
    };
    if options.operation.is_some() && options.base.is_none() {
        let problem =
            "--operation needs --base: a resend is the same change only from the same base";
        return Err(Error::Usage(problem.to_owned()));
    }
    let base = match options.base {
        Some(base) => base,
        None => client.config().await?.version,
    };
    Ok(Submission {
        operation: options.operation.clone().unwrap_or_else(fresh_operation),
        base,
        change,
        author: options.author.clone(),
    })
}

/// A name that no other change has.
pub fn fresh_operation() -> Operation {
    let name = format!("ctl-{:016x}", rand::rng().random::<u64>());
    name.parse()
        .unwrap_or_else(|_| unreachable!("letters, digits and a hyphen make a name"))
}

fn print_verdict(verdict: &Verdict) {
    match verdict {
        Verdict::Accepted { version } => {
            output::line(format_args!("accepted as version {version}"))
        }
        Verdict::Conflict {
            current_version: present,
            objects,
            last_operation: holder,
        } => {
            output::line(format_args!(
                "conflict: changed since the base: {}",
                objects.join(", ")
            ));
            if let Some(holder) = holder {
                output::line(format_args!(
                    "the first of them was last changed by operation {holder}"
                ));
            }
            output::line(format_args!(
                "present version {present}; compare with `eelgrassctl diff` and apply again"
            ));
        }
        Verdict::Invalid { faults } => {
            output::line("invalid: nothing was applied");
            for fault in faults {
                output::line(format_args!(
                    "  {}: {}; {}",
                    fault.path, fault.problem, fault.remedy
                ));
            }
        }
        Verdict::Reused => {
            output::line("the operation was used before for another change; nothing was applied");
            output::line("resend the same file from the same base, or leave out --operation");
        }
    }
}

fn print_force(force: &Force) {
    match force.is_complete() {
        true => output::line(format_args!("in force in {} processes", force.have.len())),
        false => output::line(format_args!(
            "not in force everywhere; {} have it",
            force.have.len()
        )),
    }
    for (process, version) in &force.lack {
        output::line(format_args!("  {process} has version {version}"));
    }
    for (process, version) in &force.silent {
        output::line(format_args!(
            "  {process} is silent; it had version {version} when last heard"
        ));
    }
    for problem in &force.unreachable {
        output::line(format_args!("  {problem}"));
    }
}

/// Prints the configuration in force.
pub async fn get(client: &Client, options: &Get, json: bool) -> Result<Code> {
    let wanted = options.at_least.unwrap_or_default();
    let deadline = client.deadline();
    let config = loop {
        let config = client.config().await?;
        if config.version >= wanted || Instant::now() >= deadline {
            break config;
        }
        pause().await;
    };
    if !config.fresh {
        eprintln!("stale: no control process reaches a quorum; newer changes may exist");
    }
    match json {
        true => output::json(&json!({
            "version": config.version, "fresh": config.fresh, "document": config.document,
        }))?,
        false => {
            eprintln!("version {}", config.version);
            let text = serde_json::to_string_pretty(&config.document).map_err(Error::unreadable)?;
            output::line(format_args!("{text}"));
        }
    }
    match config.version >= wanted {
        true => Ok(Code::Done),
        false => Ok(Code::Refused),
    }
}

/// Compares a file with the configuration in force.
pub async fn diff(client: &Client, options: &Diff, json: bool) -> Result<Code> {
    let content = Content::read(&options.file, options.patch)?;
    let config = client.config().await?;
    let wanted = match content.change() {
        Change::Whole(document) => document.clone(),
        Change::Patch(patch) => patched(&config.document, patch),
    };
    let differences = differences(&config.document, &wanted)?;
    match json {
        true => output::json(&json!({"base": config.version, "differences": differences}))?,
        false => print_differences(config.version, &differences),
    }
    match differences.is_empty() {
        true => Ok(Code::Done),
        false => Ok(Code::Refused),
    }
}

fn patched(document: &Document, patch: &Patch) -> Document {
    let mut patched = document.clone();
    patched.apply(patch);
    patched
}

/// One value that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Where, as a path into the document.
    pub path: String,
    /// What is in force; none when nothing is.
    pub present: Option<Value>,
    /// What the file asks for; none when it asks for nothing.
    pub wanted: Option<Value>,
}

/// Every value in which two documents differ, by path.
pub fn differences(present: &Document, wanted: &Document) -> Result<Vec<Difference>> {
    let (mut old, mut new) = (BTreeMap::new(), BTreeMap::new());
    flatten("", encode(present)?, &mut old);
    flatten("", encode(wanted)?, &mut new);
    let paths: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let mut differences = Vec::new();
    for path in paths {
        let (present, wanted) = (old.get(path), new.get(path));
        if present != wanted {
            differences.push(Difference {
                path: path.clone(),
                present: present.cloned(),
                wanted: wanted.cloned(),
            });
        }
    }
    Ok(differences)
}

fn encode(document: &Document) -> Result<Value> {
    serde_json::to_value(document).map_err(Error::unreadable)
}

/// Adds the leaves of `value` to `leaves`, by path.
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
            for (at, value) in items.into_iter().enumerate() {
                flatten(&join(&at), value, leaves);
            }
        }
        leaf => drop(leaves.insert(path.to_owned(), leaf)),
    }
}

fn print_differences(base: Version, differences: &[Difference]) {
    if differences.is_empty() {
        output::line(format_args!("no difference from version {base}"));
        return;
    }
    output::line(format_args!(
        "compared with version {base}; apply with --base {base}"
    ));
    let text = |value: &Option<Value>| value.as_ref().map_or("-".to_owned(), Value::to_string);
    let rows = differences.iter().map(|difference| {
        vec![
            difference.path.clone(),
            text(&difference.present),
            text(&difference.wanted),
        ]
    });
    table::print(
        &[("path", false), ("in force", false), ("file", false)],
        rows,
    );
}
