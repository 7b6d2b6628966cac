//! Checks the files that settings refer to: whether they are readable, and by whom else.

use std::fs;
use std::os::unix::fs::PermissionsExt as _;
use std::path::Path;

use super::Settings;
use crate::jsonc::Fault;

/// Mode bits that let the group or others read or write a file.
const OTHERS_READ_OR_WRITE: u32 = 0o066;

/// Mode bits that let the group or others write a file.
const OTHERS_WRITE: u32 = 0o022;

/// Faults of the files that settings refer to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FileFaults {
    /// Unreadable files, which prevent the start of the process.
    pub errors: Vec<Fault>,
    /// Files whose mode gives other users access.
    pub warnings: Vec<Fault>,
}

impl Settings {
    /// Checks the secret and token files that the settings refer to.
    pub fn check_files(&self) -> FileFaults {
        let mut faults = FileFaults::default();
        if let Some(secret) = &self.peer_secret_file {
            check_file(
                &mut faults,
                "peer_secret_file",
                secret,
                OTHERS_READ_OR_WRITE,
            );
        }
        if let Some(tokens) = &self.operator_tokens_file {
            check_file(&mut faults, "operator_tokens_file", tokens, OTHERS_WRITE);
        }
        faults
    }
}

fn check_file(faults: &mut FileFaults, name: &str, path: &Path, forbidden: u32) {
    let fault = |problem: String, remedy: &str| Fault {
        position: None,
        path: name.to_owned(),
        value: path.display().to_string(),
        problem,
        remedy: remedy.to_owned(),
    };
    if let Err(error) = fs::read(path) {
        let remedy = "check the path and the file's permissions";
        faults.errors.push(fault(error.to_string(), remedy));
        return;
    }
    let mode = fs::metadata(path).map_or(0, |metadata| metadata.permissions().mode());
    if mode & forbidden != 0 {
        let problem = format!(
            "the file is accessible to other users (mode {:03o})",
            mode & 0o777
        );
        let remedy = "restrict it to its owner: chmod 600";
        faults.warnings.push(fault(problem, remedy));
    }
}
