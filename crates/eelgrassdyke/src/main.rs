//! The eelgrassdyke program: runs processes, checks settings and runs a demonstration.
#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod command;
mod demo;
mod run;
mod standin;

use std::process::ExitCode;

use clap::Parser;

use crate::command::{Arguments, Command};

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let result = match arguments.command {
        Command::Run { settings } => run::run(&settings),
        Command::Check { settings } => run::check(&settings),
        Command::Demo => demo::demo(),
        Command::Standin { kind } => standin::run(kind),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("eelgrassdyke: {error}");
            ExitCode::from(2)
        }
    }
}
