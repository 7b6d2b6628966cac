//! The command line's grammar.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use eelgrassdyke_core::id::{
    Group, Model, Operation, Process, Replica, RequestId, Server, Team, Version,
};

const EXIT_CODES: &str = "\
Exit codes:
  0  done, and in force where --wait asked for that
  1  refused, in conflict, different (diff), or not in force in time
  2  the command line or a file is wrong; nothing was sent
  3  nobody answered, or what became of the change is not known: resend it";

/// Operates an eelgrassdyke system.
#[derive(Debug, Parser)]
#[command(name = "eelgrassctl", version, after_help = EXIT_CODES)]
pub struct Arguments {
    /// How control is reached.
    #[command(flatten)]
    pub connection: Connection,
    /// Print JSON for programs instead of tables for people.
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// How control is reached.
#[derive(Clone, Debug, Args)]
pub struct Connection {
    /// Addresses of the control processes, separated by commas.
    #[arg(
        long,
        global = true,
        value_name = "ADDRESS,...",
        value_delimiter = ',',
        env = "EELGRASSCTL_CONTROL"
    )]
    pub control: Vec<SocketAddr>,
    /// File with the operator's token.
    #[arg(
        long,
        global = true,
        value_name = "FILE",
        env = "EELGRASSCTL_TOKEN_FILE"
    )]
    pub token_file: Option<PathBuf>,
    /// Longest time for the whole command, in seconds.
    #[arg(long, global = true, value_name = "SECONDS", default_value_t = 30)]
    pub timeout: u64,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Submit a change of configuration.
    #[command(after_help = EXIT_CODES)]
    Apply(Apply),
    /// Print the configuration in force.
    Get(Get),
    /// Compare a file with the configuration in force; exit code 1 when they differ.
    Diff(Diff),
    /// Show the control processes, who follows them, and the back ends.
    Status,
    /// Show what each team received of each service.
    Report(Report),
    /// Show the events of all processes in causal order.
    Timeline(Timeline),
    /// Show what the logs of all processes say about one request, in causal order.
    #[command(after_help = EXIT_CODES)]
    Trace(Trace),
    /// Ask a process for a graceful shutdown.
    Drain(Drain),
    /// Give an engine an order, such as to load a model.
    #[command(after_help = EXIT_CODES)]
    Order(Order),
    /// Change the members of the control log.
    #[command(subcommand)]
    Control(Control),
    /// Print the SHA-256 digest of a token, as configurations and settings hold it.
    Token(Token),
}

/// Options of `apply`.
#[derive(Clone, Debug, Args)]
pub struct Apply {
    /// JSON with comments: a whole document, {"whole": ...}, {"patch": ...} or a submission; - reads
    /// standard input.
    pub file: PathBuf,
    /// Take a bare document as a patch: what it doesn't name stays, null removes.
    #[arg(long)]
    pub patch: bool,
    /// Return once every live process has the version in force; list those that have not.
    #[arg(long)]
    pub wait: bool,
    /// Name of the change; a resend under the same name and base is applied once.
    #[arg(long, value_name = "ID")]
    pub operation: Option<Operation>,
    /// Version that the change was made from; the present one when absent.
    #[arg(long, value_name = "VERSION")]
    pub base: Option<Version>,
    /// Who submits it, for the record.
    #[arg(long, env = "USER", default_value = "operator")]
    pub author: String,
}

/// Options of `get`.
#[derive(Clone, Debug, Args)]
pub struct Get {
    /// Wait until this version is in force.
    #[arg(long, value_name = "VERSION")]
    pub at_least: Option<Version>,
}

/// Options of `diff`.
#[derive(Clone, Debug, Args)]
pub struct Diff {
    /// What `apply` takes.
    pub file: PathBuf,
    /// Take a bare document as a patch: what it doesn't name stays, null removes.
    #[arg(long)]
    pub patch: bool,
}

/// Options of `report`.
#[derive(Clone, Debug, Args)]
pub struct Report {
    /// How to print it.
    #[arg(long, value_enum, default_value_t = Format::Table)]
    pub format: Format,
}

/// How a report is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// A table for people.
    Table,
    /// JSON, as control gives it.
    Json,
    /// Comma-separated values with a line of names.
    Csv,
    /// A page that needs no other file.
    Html,
}

/// Options of `timeline`.
#[derive(Clone, Debug, Default, Args)]
pub struct Timeline {
    /// Only events about this request.
    #[arg(long)]
    pub request: Option<RequestId>,
    /// Only events about this team.
    #[arg(long)]
    pub team: Option<Team>,
    /// Only events about this back end.
    #[arg(long)]
    pub server: Option<Server>,
    /// Only events about this rank group.
    #[arg(long)]
    pub group: Option<Group>,
    /// Only events about this change or order.
    #[arg(long)]
    pub operation: Option<Operation>,
    /// Go on printing events as they come.
    #[arg(long, conflicts_with = "html")]
    pub follow: bool,
    /// Write a page with a lane for each process to this file.
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
}

/// Options of `trace`.
#[derive(Clone, Debug, Args)]
pub struct Trace {
    /// The id that the caller gave its call, or the entry's own.
    pub id: String,
    /// Log files of the processes; - reads standard input.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// Seconds before and after the request from which events of its servers, of the configuration
    /// and of processes are shown as well.
    #[arg(long, value_name = "SECONDS", default_value_t = 1)]
    pub context: u64,
    /// Write a page with a lane for each process to this file.
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
}

/// Options of `drain`.
#[derive(Clone, Debug, Args)]
pub struct Drain {
    /// Name of the process, as `status` prints it.
    pub process: Process,
    /// Return once the process has stopped.
    #[arg(long)]
    pub wait: bool,
}

/// Options of `order`.
#[derive(Clone, Debug, Args)]
pub struct Order {
    /// The engine, as `status` prints it.
    pub server: Server,
    /// What it is to do.
    #[command(subcommand)]
    pub what: What,
    /// Name of the order; a resend under the same name is carried out once.
    #[arg(long, value_name = "ID", global = true)]
    pub operation: Option<Operation>,
    /// Return once the order has ended; exit code 1 when it failed or is still open.
    #[arg(long, global = true)]
    pub wait: bool,
}

/// What an engine is ordered to do.
#[derive(Clone, Debug, Subcommand)]
pub enum What {
    /// Load a model, adapter or version.
    Load {
        /// Its name.
        model: Model,
    },
    /// Unload a model, adapter or version.
    Unload {
        /// Its name.
        model: Model,
    },
    /// Take a role, such as prefill or decode.
    Role {
        /// The role.
        name: String,
    },
}

/// A change of the members of the control log; `status` prints the replicas.
#[derive(Clone, Copy, Debug, Subcommand)]
pub enum Control {
    /// Let a waiting replica follow the log without a vote.
    Add {
        /// The replica, 16 hexadecimal digits.
        replica: Replica,
    },
    /// Give a learner that has caught up a vote.
    Promote {
        /// The replica, 16 hexadecimal digits.
        replica: Replica,
    },
    /// Take a replica out for good.
    Remove {
        /// The replica, 16 hexadecimal digits.
        replica: Replica,
    },
}

/// Options of `token`.
#[derive(Clone, Debug, Args)]
pub struct Token {
    /// File that holds the token; white space around it is dropped.
    #[arg(long)]
    pub file: PathBuf,
}
