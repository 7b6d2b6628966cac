//! Writes to standard output.
//!
//! Write errors are ignored: a reader such as `head` may close the pipe early.

use std::fmt::Display;
use std::io::Write as _;

use crate::errors::{Error, Result};

/// Writes `text` and a line feed.
pub fn print_line(text: impl Display) {
    print_text(format_args!("{text}\n"));
}

/// Writes `text` without adding a line feed.
pub fn print_text(text: impl Display) {
    // The reader has closed the pipe, so the error cannot be reported to it.
    let _ = write!(std::io::stdout(), "{text}");
}

/// Writes a value as one line of JSON.
pub fn print_json(value: &impl serde::Serialize) -> Result<()> {
    print_line(serde_json::to_string(value).map_err(Error::invalid_response)?);
    Ok(())
}
