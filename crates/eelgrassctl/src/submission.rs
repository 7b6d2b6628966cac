//! Parses the input files of `apply` and `diff`.
//!
//! A file contains a whole document, a change (`{"whole": ...}` or `{"patch": ...}`) or a submission,
//! as JSON with comments. Unknown and duplicate fields are refused.

use std::path::Path;

use eelgrassdyke_core::config::{Change, Submission};
use eelgrassdyke_core::jsonc;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::errors::{Error, Result};

/// Parsed content of an input file.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigInput {
    /// A change without operation identifier and base version.
    Change(Change),
    /// A complete submission.
    Submission(Submission),
}

impl ConfigInput {
    /// Reads the file at `path`, or standard input for `-`.
    ///
    /// `patch` treats a bare document as a patch.
    pub fn read(path: &Path, patch: bool) -> Result<Self> {
        let text = match path == Path::new("-") {
            true => std::io::read_to_string(std::io::stdin()),
            false => std::fs::read_to_string(path),
        };
        let text = text.map_err(|error| Error::io(path, error))?;
        Self::parse(&text, path, patch)
    }

    /// Parses `text`; errors name it by `path`.
    pub fn parse(text: &str, path: &Path, patch: bool) -> Result<Self> {
        let tree = jsonc::parse(text).map_err(|faults| {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            Error::invalid_file(path, lines.join(&format!("\n{}: ", path.display())))
        })?;
        let value = tree.value;
        let has_field = |name| value.get(name).is_some();
        if has_field("operation") || has_field("change") {
            return decode(value, path).map(Self::Submission);
        }
        if has_field("whole") || has_field("patch") {
            return decode(value, path).map(Self::Change);
        }
        match patch {
            true => decode(value, path).map(|patch| Self::Change(Change::Patch(patch))),
            false => decode(value, path).map(|document| Self::Change(Change::Replace(document))),
        }
    }

    /// The requested change.
    pub fn change(&self) -> &Change {
        match self {
            Self::Change(change) => change,
            Self::Submission(submission) => &submission.change,
        }
    }
}

fn decode<T: DeserializeOwned>(value: Value, path: &Path) -> Result<T> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let (field, problem) = (error.path(), error.inner());
        Error::invalid_file(path, format!("at {field}: {problem}; correct the value"))
    })
}
