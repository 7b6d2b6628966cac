//! Arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use eelgrassdyke_core::crash::Content;
use eelgrassdyke_core::id::{
    DataCentre, Group, Model, Operation, Process, Replica, RequestId, Server, Service, Team,
    Version,
};

const EXIT_CODES: &str = "\
Exit codes:
  0  success; with --wait, the change is in force
  1  refused, in conflict, different (diff), or not in force before the timeout
  2  the command line or a file is invalid; nothing was sent
  3  no process answered, or the outcome of the change is unknown: resend it";

/// Operates an eelgrassdyke system.
#[derive(Debug, Parser)]
#[command(name = "eelgrassctl", version, after_help = EXIT_CODES)]
pub struct Arguments {
    /// Connection to the control processes.
    #[command(flatten)]
    pub connection: ConnectionArgs,
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// The command.
    #[command(subcommand)]
    pub command: Command,
}

/// Connection to the control processes.
#[derive(Clone, Debug, Args)]
pub struct ConnectionArgs {
    /// Addresses of the control processes, separated by commas.
    #[arg(
        long,
        global = true,
        value_name = "ADDRESS,...",
        value_delimiter = ',',
        env = "EELGRASSCTL_CONTROL"
    )]
    pub control: Vec<SocketAddr>,
    /// File that contains the operator's token.
    #[arg(
        long,
        global = true,
        value_name = "FILE",
        env = "EELGRASSCTL_TOKEN_FILE"
    )]
    pub token_file: Option<PathBuf>,
    /// Timeout of the whole command, in seconds.
    #[arg(
        long = "timeout",
        global = true,
        value_name = "SECONDS",
        default_value_t = 30
    )]
    pub timeout_s: u64,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Submit a configuration change.
    #[command(after_help = EXIT_CODES)]
    Apply(ApplyArgs),
    /// Print the configuration in force.
    Get(GetArgs),
    /// Compare a file with the configuration in force; exit code 1 if they differ.
    Diff(DiffArgs),
    /// Show the control processes, their followers and the backend servers.
    Status,
    /// Show the usage of each service by each team.
    Report(ReportArgs),
    /// Show the events of all processes in causal order.
    Timeline(TimelineArgs),
    /// Show the events of one request from the log files of all processes, in causal order.
    #[command(after_help = EXIT_CODES)]
    Trace(TraceArgs),
    /// Shut a process down gracefully.
    Drain(DrainArgs),
    /// Send an order to an engine, such as to load a model.
    #[command(after_help = EXIT_CODES)]
    Order(OrderArgs),
    /// Send no more requests to the servers of a data centre.
    #[command(after_help = EXIT_CODES)]
    Evacuate(EvacuationArgs),
    /// Withdraw the order to evacuate a data centre.
    #[command(after_help = EXIT_CODES)]
    Restore(EvacuationArgs),
    /// Show or lift quarantines of prompt parts on which servers ended.
    #[command(subcommand)]
    Quarantine(QuarantineCommand),
    /// Change the members of the control log.
    #[command(subcommand)]
    Control(MemberCommand),
    /// Print the SHA-256 digest of a token, as used in configurations and settings.
    Token(TokenArgs),
}

/// Options of `apply`.
#[derive(Clone, Debug, Args)]
pub struct ApplyArgs {
    /// JSON with comments: a whole document, {"whole": ...}, {"patch": ...} or a submission; `-` for
    /// standard input.
    pub file: PathBuf,
    /// Treat a bare document as a patch: objects it does not name are kept, null removes an object.
    #[arg(long)]
    pub patch: bool,
    /// Wait until every live process has the version in force; list those that do not.
    #[arg(long)]
    pub wait: bool,
    /// Identifier of the change; resending it with the same identifier and base applies it once.
    #[arg(long, value_name = "ID")]
    pub operation: Option<Operation>,
    /// Version that the change is based on [default: the current version].
    #[arg(long, value_name = "VERSION")]
    pub base: Option<Version>,
    /// Author recorded with the change.
    #[arg(long, env = "USER", default_value = "operator")]
    pub author: String,
}

/// Options of `get`.
#[derive(Clone, Debug, Args)]
pub struct GetArgs {
    /// Wait until this version is in force.
    #[arg(long, value_name = "VERSION")]
    pub at_least: Option<Version>,
}

/// Options of `diff`.
#[derive(Clone, Debug, Args)]
pub struct DiffArgs {
    /// A file as accepted by `apply`.
    pub file: PathBuf,
    /// Treat a bare document as a patch: objects it does not name are kept, null removes an object.
    #[arg(long)]
    pub patch: bool,
}

/// Options of `report`.
#[derive(Clone, Debug, Args)]
pub struct ReportArgs {
    /// Output format.
    #[arg(long, value_enum, default_value_t = ReportFormat::Table)]
    pub format: ReportFormat,
}

/// Output format of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ReportFormat {
    /// A table in plain text.
    Table,
    /// JSON, as returned by control.
    Json,
    /// Comma-separated values with a header line.
    Csv,
    /// A self-contained HTML page.
    Html,
}

/// Options of `timeline`.
#[derive(Clone, Debug, Default, Args)]
pub struct TimelineArgs {
    /// Only events of this request.
    #[arg(long)]
    pub request: Option<RequestId>,
    /// Only events of this team.
    #[arg(long)]
    pub team: Option<Team>,
    /// Only events of this backend server.
    #[arg(long)]
    pub server: Option<Server>,
    /// Only events of this rank group.
    #[arg(long)]
    pub group: Option<Group>,
    /// Only events of this change or order.
    #[arg(long)]
    pub operation: Option<Operation>,
    /// Keep printing new events as they arrive.
    #[arg(long, conflicts_with = "html")]
    pub follow: bool,
    /// Write an HTML page with one lane per process to this file.
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
}

/// Options of `trace`.
#[derive(Clone, Debug, Args)]
pub struct TraceArgs {
    /// The caller's identifier of the call, or the entry's identifier of the request.
    pub id: String,
    /// Log files of the processes; `-` for standard input.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// Also show events of the request's servers, of the configuration and of processes from this many
    /// seconds before the request to as many after it.
    #[arg(long = "context", value_name = "SECONDS", default_value_t = 1)]
    pub context_s: u64,
    /// Write an HTML page with one lane per process to this file.
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
}

/// Options of `drain`.
#[derive(Clone, Debug, Args)]
pub struct DrainArgs {
    /// Name of the process, as printed by `status`.
    pub process: Process,
    /// Wait until the process has stopped.
    #[arg(long)]
    pub wait: bool,
}

/// Options of `order`.
#[derive(Clone, Debug, Args)]
pub struct OrderArgs {
    /// The engine, as printed by `status`.
    pub server: Server,
    /// The action ordered.
    #[command(subcommand)]
    pub action: EngineAction,
    /// Identifier of the order; resending it with the same identifier executes it once.
    #[arg(long, value_name = "ID", global = true)]
    pub operation: Option<Operation>,
    /// Wait until the order has ended; exit code 1 if it failed or is still open.
    #[arg(long, global = true)]
    pub wait: bool,
}

/// An action that an engine can be ordered to take.
#[derive(Clone, Debug, Subcommand)]
pub enum EngineAction {
    /// Load a model, adapter or version.
    Load {
        /// Name of the model.
        model: Model,
    },
    /// Unload a model, adapter or version.
    Unload {
        /// Name of the model.
        model: Model,
    },
    /// Switch to a role, such as prefill or decode.
    Role {
        /// The role.
        name: String,
    },
}

/// Options of `evacuate` and `restore`.
#[derive(Clone, Debug, Args)]
pub struct EvacuationArgs {
    /// The data centre, as printed by `status`.
    pub data_centre: DataCentre,
    /// Wait until every live process has the order in force; list those that do not.
    #[arg(long)]
    pub wait: bool,
    /// Author recorded with the order.
    #[arg(long, env = "USER", default_value = "operator")]
    pub author: String,
}

/// What to do about quarantines.
#[derive(Clone, Debug, Subcommand)]
pub enum QuarantineCommand {
    /// List the prompt parts on which servers ended, with the crashes that count against them.
    List,
    /// Serve requests with a part again: its crashes so far no longer count.
    Lift {
        /// The service.
        service: Service,
        /// The part.
        part: Content,
    },
}

/// A membership change of the control log; `status` prints the replicas.
#[derive(Clone, Copy, Debug, Subcommand)]
pub enum MemberCommand {
    /// Add a waiting replica as a learner, without a vote.
    Add {
        /// The replica, 16 hexadecimal digits.
        replica: Replica,
    },
    /// Promote a learner that has caught up to a voter.
    Promote {
        /// The replica, 16 hexadecimal digits.
        replica: Replica,
    },
    /// Remove a replica permanently.
    Remove {
        /// The replica, 16 hexadecimal digits.
        replica: Replica,
    },
}

/// Options of `token`.
#[derive(Clone, Debug, Args)]
pub struct TokenArgs {
    /// File that contains the token; leading and trailing white space is ignored.
    #[arg(long)]
    pub file: PathBuf,
}
