//! The `run` and `check` subcommands.

use std::path::Path;
use std::process::ExitCode;

use eelgrassdyke_core::settings::Settings;

/// Result of a command.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Runs a process with the roles in a settings file until a signal stops it.
pub fn run(path: &Path) -> Result<ExitCode> {
    eelgrassdyke_node::process::run(path, None)
}

/// Checks a settings file and the files that it refers to, and prints all errors and warnings.
pub fn check(path: &Path) -> Result<ExitCode> {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            println!("{error}");
            return Ok(ExitCode::FAILURE);
        }
    };
    let files = settings.check_files();
    for fault in &files.errors {
        println!("{}: {fault}", path.display());
    }
    for fault in &files.warnings {
        println!("{}: warning: {fault}", path.display());
    }
    if !files.errors.is_empty() {
        return Ok(ExitCode::FAILURE);
    }
    println!(
        "{}: valid settings for process {}",
        path.display(),
        settings.process
    );
    Ok(ExitCode::SUCCESS)
}
