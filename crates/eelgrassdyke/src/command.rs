//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// Load balancer for expert-parallel model groups.
#[derive(Debug, Parser)]
#[command(name = "eelgrassdyke", version)]
pub struct Arguments {
    /// The subcommand.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a process with the roles in a settings file.
    Run {
        /// Settings file, in JSON with comments.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Check a settings file and print every error found.
    Check {
        /// Settings file, in JSON with comments.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Run a demonstration of the whole system in one process, on loopback ports.
    Demo,
    /// Run a simulated backend server, for trials.
    Standin {
        /// Kind of backend server.
        #[command(subcommand)]
        kind: Standin,
    },
}

/// A simulated backend server.
#[derive(Clone, Copy, Debug, Subcommand)]
pub enum Standin {
    /// A model engine with the completions API.
    Engine {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// Time to the first token, in milliseconds.
        #[arg(long, default_value_t = 40)]
        first_token_ms: u64,
        /// Time between tokens, in milliseconds.
        #[arg(long, default_value_t = 20)]
        token_ms: u64,
    },
    /// A plain service.
    Plain {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// Time to process a request, in milliseconds.
        #[arg(long, default_value_t = 5)]
        work_ms: u64,
    },
}
