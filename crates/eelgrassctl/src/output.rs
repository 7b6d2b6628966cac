//! Writes to standard output.
//!
//! A reader that goes away early, as `head` does, is no error: what it left unread is dropped.

use std::fmt::Display;
use std::io::Write as _;

use crate::errors::{Error, Result};

/// Writes one line.
pub fn line(text: impl Display) {
    text_as_is(format_args!("{text}\n"));
}

/// Writes text that ends its own lines.
pub fn text_as_is(text: impl Display) {
    // Nobody is left to be told of a failure.
    let _ = write!(std::io::stdout(), "{text}");
}

/// Writes a value as one line of JSON.
pub fn json(value: &impl serde::Serialize) -> Result<()> {
    line(serde_json::to_string(value).map_err(Error::unreadable)?);
    Ok(())
}
