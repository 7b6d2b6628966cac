//! The operators' command line, as a library.
//!
//! [`run`] carries out one command. Each command has a module that asks control through a
//! [`client::Client`] and prints for people, or as JSON for programs. What a command came to is an
//! [`errors::Code`], which is the exit code.
#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod client;
pub mod command;
pub mod config;
pub mod control;
pub mod drain;
pub mod errors;
pub mod order;
pub mod output;
pub mod report;
pub mod status;
pub mod submission;
pub mod table;
pub mod timeline;
pub mod token;
pub mod wait;

use command::{Arguments, Command};
use errors::{Code, Error, Result};

/// Carries out a command.
pub fn run(arguments: Arguments) -> Result<Code> {
    if let Command::Token(options) = &arguments.command {
        return token::print(&options.file);
    }
    if let Command::Trace(options) = &arguments.command {
        return timeline::trace::print(options, arguments.json);
    }
    let client = client::Client::new(&arguments.connection)?;
    let json = arguments.json;
    let work = async {
        match arguments.command {
            Command::Apply(options) => config::apply(&client, &options, json).await,
            Command::Get(options) => config::get(&client, &options, json).await,
            Command::Diff(options) => config::diff(&client, &options, json).await,
            Command::Status => status::print(&client, json).await,
            Command::Report(options) => report::print(&client, &options, json).await,
            Command::Timeline(options) => timeline::print(&client, &options, json).await,
            Command::Drain(options) => drain::drain(&client, &options, json).await,
            Command::Order(options) => order::give(&client, &options, json).await,
            Command::Control(change) => control::change(&client, change, json).await,
            // These ask no process and were carried out above.
            Command::Trace(_) | Command::Token(_) => Ok(Code::Done),
        }
    };
    eelgrassdyke_node::runtime::block_on(work).map_err(Error::runtime)?
}
