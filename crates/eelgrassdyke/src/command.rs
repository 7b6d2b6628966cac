//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// Load balancer for expert-parallel model groups.
#[derive(Debug, Parser)]
#[command(name = "eelgrassdyke", version)]
pub struct Arguments {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the roles that a settings file names.
    Run {
        /// The settings file, JSON with comments.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Check a settings file and print every error found.
    Check {
        /// The settings file, JSON with comments.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Show the whole system in one process on loopback ports.
    Demo,
    /// Run a stand-in back end, for trials.
    Standin {
        /// Which stand-in.
        #[command(subcommand)]
        kind: Standin,
    },
}

/// A stand-in back end.
#[derive(Clone, Copy, Debug, Subcommand)]
pub enum Standin {
    /// A model engine that speaks the completions format.
    Engine {
        /// Where it listens.
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
        /// Where it listens.
        #[arg(long)]
        listen: SocketAddr,
        /// Time that a call takes, in milliseconds.
        #[arg(long, default_value_t = 5)]
        work_ms: u64,
    },
}
