//! Library behind `eelgrassctl`, the operators' command line.
//!
//! [`run`] executes one command. Each command has a module that queries the control processes through
//! a [`client::Client`] and prints the result as a table, or as JSON with `--json`. It returns an
//! [`errors::ExitStatus`], which becomes the exit code of the process.
#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod client;
pub mod command;
pub mod config;
pub mod control;
pub mod drain;
pub mod errors;
pub mod evacuation;
pub mod order;
pub mod output;
pub mod quarantine;
pub mod report;
pub mod status;
pub mod submission;
pub mod table;
pub mod timeline;
pub mod token;
pub mod wait;

use command::{Arguments, Command};
use errors::{Error, ExitStatus, Result};

/// Executes a command and prints its result.
pub fn run(arguments: Arguments) -> Result<ExitStatus> {
    if let Command::Token(options) = &arguments.command {
        return token::print(&options.file);
    }
    if let Command::Trace(options) = &arguments.command {
        return timeline::trace::print(options, arguments.json);
    }
    let client = client::Client::new(&arguments.connection)?;
    let json = arguments.json;
    let command = async {
        match arguments.command {
            Command::Apply(options) => config::apply(&client, &options, json).await,
            Command::Get(options) => config::get(&client, &options, json).await,
            Command::Diff(options) => config::diff(&client, &options, json).await,
            Command::Status => status::print(&client, json).await,
            Command::Report(options) => report::print(&client, &options, json).await,
            Command::Timeline(options) => timeline::print(&client, &options, json).await,
            Command::Drain(options) => drain::drain(&client, &options, json).await,
            Command::Order(options) => order::submit(&client, &options, json).await,
            Command::Evacuate(options) => evacuation::evacuate(&client, &options, json).await,
            Command::Restore(options) => evacuation::restore(&client, &options, json).await,
            Command::Quarantine(command) => quarantine::run(&client, command, json).await,
            Command::Control(change) => control::change_members(&client, change, json).await,
            // Handled above: these commands contact no process.
            Command::Trace(_) | Command::Token(_) => Ok(ExitStatus::Success),
        }
    };
    eelgrassdyke_node::runtime::block_on(command).map_err(Error::runtime)?
}
