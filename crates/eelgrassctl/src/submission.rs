//! Reads what `apply` and `diff` take.
//!
//! A file holds a whole document, a change (`{"whole": ...}` or `{"patch": ...}`) or a submission,
//! as JSON with comments. Unknown and duplicate fields are refused.

use std::path::Path;

use eelgrassdyke_core::config::{Change, Submission};
use eelgrassdyke_core::jsonc;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::errors::{Error, Result};

/// What a file asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// A change without operation and base.
    Change(Change),
    /// A submission.
    Submission(Submission),
}

impl Content {
    /// Reads the file at `path`, or standard input for `-`; `patch` takes a bare document as a patch.
    pub fn read(path: &Path, patch: bool) -> Result<Self> {
        let text = match path == Path::new("-") {
            true => std::io::read_to_string(std::io::stdin()),
            false => std::fs::read_to_string(path),
        };
        let text = text.map_err(|error| Error::file(path, error))?;
        Self::parse(&text, path, patch)
    }

    /// Reads `text`; `path` names it in errors.
    pub fn parse(text: &str, path: &Path, patch: bool) -> Result<Self> {
        let tree = jsonc::parse(text).map_err(|faults| {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            Error::content(path, lines.join(&format!("\n{}: ", path.display())))
        })?;
        let value = tree.value;
        let has = |name| value.get(name).is_some();
        if has("operation") || has("change") {
            return decode(value, path).map(Self::Submission);
        }
        if has("whole") || has("patch") {
            return decode(value, path).map(Self::Change);
        }
        match patch {
            true => decode(value, path).map(|patch| Self::Change(Change::Patch(patch))),
            false => decode(value, path).map(|document| Self::Change(Change::Replace(document))),
        }
    }

    /// The change asked for.
    pub fn change(&self) -> &Change {
        match self {
            Self::Change(change) => change,
            Self::Submission(submission) => &submission.change,
        }
    }
}

fn decode<T: DeserializeOwned>(value: Value, path: &Path) -> Result<T> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let (at, problem) = (error.path(), error.inner());
        Error::content(path, format!("at {at}: {problem}; correct the value"))
    })
}
