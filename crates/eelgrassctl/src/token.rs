//! `token`: prints the digest of a token, which configurations hold in place of the token.

use std::path::Path;

use eelgrassdyke_core::digest::Sha256;

use crate::errors::{Error, ExitStatus, Result};
use crate::output;

/// Reads a token from a file, without leading and trailing white space.
pub fn read(path: &Path) -> Result<String> {
    let text = std::fs::read_to_string(path).map_err(|error| Error::io(path, error))?;
    let token = text.trim();
    if token.is_empty() {
        return Err(Error::invalid_file(
            path,
            "the file is empty; write the token to it",
        ));
    }
    if !token.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(Error::invalid_file(
            path,
            "the token contains white space or non-ASCII characters; write one token without spaces",
        ));
    }
    Ok(token.to_owned())
}

/// Prints the SHA-256 digest of the token in a file.
pub fn print(path: &Path) -> Result<ExitStatus> {
    output::print_line(Sha256::of(read(path)?.as_bytes()));
    Ok(ExitStatus::Success)
}
