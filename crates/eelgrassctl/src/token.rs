//! `token`: prints what a configuration holds in place of a token.

use std::path::Path;

use eelgrassdyke_core::digest::Sha256;

use crate::errors::{Code, Error, Result};
use crate::output;

/// Reads a token from a file; white space around it is dropped.
pub fn read(path: &Path) -> Result<String> {
    let text = std::fs::read_to_string(path).map_err(|error| Error::file(path, error))?;
    let token = text.trim();
    if token.is_empty() {
        return Err(Error::content(
            path,
            "the file is empty; write the token in it",
        ));
    }
    if !token.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(Error::content(
            path,
            "the token holds white space or other than ASCII; write one token without spaces",
        ));
    }
    Ok(token.to_owned())
}

/// Prints the digest of the token in a file.
pub fn print(path: &Path) -> Result<Code> {
    output::line(Sha256::of(read(path)?.as_bytes()));
    Ok(Code::Done)
}
