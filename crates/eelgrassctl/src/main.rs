//! `eelgrassctl`, the operators' command line.
#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

use std::process::ExitCode;

use clap::Parser;
use eelgrassctl::command::Arguments;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match eelgrassctl::run(arguments) {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("eelgrassctl: {error}");
            error.exit_status().into()
        }
    }
}
