//! Looks at the files that settings name: whether they can be read, and who else can.

use std::fs;
use std::os::unix::fs::PermissionsExt as _;
use std::path::Path;

use super::Settings;
use crate::jsonc::Fault;

/// Rights of the group and of others to read or write a file.
const OTHERS_READ_OR_WRITE: u32 = 0o066;

/// Rights of the group and of others to write a file.
const OTHERS_WRITE: u32 = 0o022;

/// What was found of the files that settings name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FileFaults {
    /// Files without which the process can't start.
    pub errors: Vec<Fault>,
    /// Files that others may read or write.
    pub warnings: Vec<Fault>,
}

impl Settings {
    /// Looks at the files of secrets that the settings name.
    pub fn check_files(&self) -> FileFaults {
        let mut files = FileFaults::default();
        if let Some(secret) = &self.peer_secret_file {
            check(&mut files, "peer_secret_file", secret, OTHERS_READ_OR_WRITE);
        }
        if let Some(tokens) = &self.operator_tokens_file {
            check(&mut files, "operator_tokens_file", tokens, OTHERS_WRITE);
        }
        files
    }
}

fn check(files: &mut FileFaults, name: &str, path: &Path, forbidden: u32) {
    let fault = |problem: String, remedy: &str| Fault {
        position: None,
        path: name.to_owned(),
        value: path.display().to_string(),
        problem,
        remedy: remedy.to_owned(),
    };
    if let Err(error) = fs::read(path) {
        let remedy = "check the path and the file's rights";
        files.errors.push(fault(error.to_string(), remedy));
        return;
    }
    let mode = fs::metadata(path).map_or(0, |metadata| metadata.permissions().mode());
    if mode & forbidden != 0 {
        let problem = format!("others may use the file (mode {:03o})", mode & 0o777);
        let remedy = "allow its owner only: chmod 600";
        files.warnings.push(fault(problem, remedy));
    }
}
