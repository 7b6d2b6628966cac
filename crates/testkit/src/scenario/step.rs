//! The steps of the scenario language.
//!
//! In place of a process name, `leader` means the current leader of the control processes, and
//! `old-leader` the process that `leader` last resolved to.

use clap::{Parser, Subcommand, ValueEnum};

/// One line of a scenario.
#[derive(Clone, Debug, Parser)]
#[command(no_binary_name = true, disable_help_flag = true)]
pub struct Line {
    /// The step.
    #[command(subcommand)]
    pub step: Step,
}

/// One step.
#[derive(Clone, Debug, Subcommand)]
pub enum Step {
    /// Starts a process that is down.
    Start {
        /// The process.
        process: String,
    },
    /// Requests the shutdown of a process (SIGTERM) without waiting for it.
    Stop {
        /// The process.
        process: String,
    },
    /// Waits until a process that was asked to stop has exited with code 0.
    Ended {
        /// The process.
        process: String,
    },
    /// Kills a process (SIGKILL).
    Kill {
        /// The process.
        process: String,
    },
    /// Freezes a process (SIGSTOP).
    Freeze {
        /// The process.
        process: String,
    },
    /// Resumes a frozen process (SIGCONT).
    Thaw {
        /// The process.
        process: String,
    },
    /// Removes the data folder of a process that is down.
    LoseDisk {
        /// The process.
        process: String,
    },
    /// Cuts the links between two processes, or between one and all others.
    Cut {
        /// One end.
        one: String,
        /// The other end; `all` for every other process.
        other: String,
    },
    /// Delays each exchange between two processes, or between one and all others.
    Delay {
        /// One end.
        one: String,
        /// The other end; `all` for every other process.
        other: String,
        /// The delay, in milliseconds.
        ms: u64,
    },
    /// Delivers each batch of messages between two processes twice.
    Double {
        /// One end.
        one: String,
        /// The other end; `all` for every other process.
        other: String,
    },
    /// Removes all cuts, delays and duplications.
    Heal,
    /// Waits for a fixed time; no result may depend on its length.
    Pause {
        /// Duration, in milliseconds.
        ms: u64,
    },
    /// Waits until a process, or every running process, reports that it is ready.
    Ready {
        /// The process, or `all`.
        process: String,
    },
    /// Waits until a control process is leader and has a quorum.
    Leader,
    /// Waits until every running process has applied a configuration version.
    InForce {
        /// The version.
        version: u64,
    },
    /// Replaces the replica of a control process that lost its disk: adds the new replica, promotes
    /// it once it has caught up, and removes the old one.
    Replace {
        /// The process.
        process: String,
    },
    /// Shuts a process down, starts it with a build and waits until it is ready.
    Exchange {
        /// The process.
        process: String,
        /// The build.
        build: Build,
    },
    /// Checks that every running control process returns the last accepted configuration, the same
    /// text each, and that no process has skipped or refused a message or a record.
    SameConfig,
    /// Submits configuration changes one after the other, each based on the previous version.
    Churn {
        /// Number of changes.
        count: u64,
    },
    /// Submits an order to an engine to load a model, through any control process that accepts it.
    Order {
        /// The operation's identifier.
        operation: String,
        /// The engine.
        server: String,
        /// The model.
        model: String,
        /// Wait until the order has been executed.
        #[arg(long)]
        wait: bool,
    },
    /// Submits concurrent changes of one team, all based on the same version, through all running
    /// control processes; exactly one must be accepted.
    Race {
        /// The team that every change writes.
        team: String,
        /// The version that the changes are based on.
        #[arg(long)]
        base: u64,
        /// Number of changes.
        #[arg(long, default_value_t = 6)]
        count: u64,
    },
    /// Submits a change that writes a team; the verdict is stored under the operation's identifier.
    Submit {
        /// The operation's identifier.
        operation: String,
        /// The team to write.
        #[arg(long)]
        team: String,
        /// The version that the change is based on.
        #[arg(long)]
        base: u64,
        /// The control process tried first; the others are tried if it returns no verdict.
        #[arg(long, default_value = "control-1")]
        via: String,
        /// Send one request to this process only and store its result, whatever it is.
        #[arg(long)]
        only: bool,
    },
    /// Sends a request in the background; its outcome is stored under its name.
    Send {
        /// The request's name.
        name: String,
        /// The team.
        #[arg(long, default_value = "salons")]
        team: String,
        /// The entry.
        #[arg(long, default_value = "entry-1")]
        via: String,
        /// Send a charge with this idempotency key.
        #[arg(long, conflicts_with = "draft")]
        charge: Option<String>,
        /// Send a streamed completion with this prompt.
        #[arg(long)]
        draft: Option<String>,
        /// Tokens of a streamed completion.
        #[arg(long, default_value_t = 20)]
        tokens: u64,
        /// Time until the deadline, in seconds.
        #[arg(long)]
        timeout: Option<f64>,
    },
    /// Sends charges with idempotency keys and streamed completions in the background, through the
    /// entries in turn. A request is retried if it did not run or its outcome is uncertain; a charge
    /// is retried through the next entry.
    Traffic {
        /// Number of charges, and of streamed completions.
        count: u64,
        /// Time between two charges, in milliseconds.
        #[arg(long, default_value_t = 10)]
        every_ms: u64,
    },
    /// Waits until a request, or all traffic, has ended.
    Await {
        /// The request's name, or `traffic`.
        name: String,
    },
    /// Checks the outcome of a request, an operation or the traffic.
    Expect {
        /// Name of the request, identifier of the operation, or `traffic`.
        name: String,
        /// The expected outcome.
        #[command(subcommand)]
        expectation: Expectation,
    },
}

/// One of the two builds of a scenario.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Build {
    /// The build that the deployment was started with.
    First,
    /// The other one.
    Second,
}

/// An expected outcome.
#[derive(Clone, Debug, Subcommand)]
pub enum Expectation {
    /// A complete response with this status.
    Status {
        /// The status.
        status: u16,
    },
    /// A refusal with this run status.
    Run {
        /// Whether the request ran: no, yes or unknown.
        run: String,
    },
    /// The same outcome as another request.
    Same {
        /// The other request.
        other: String,
    },
    /// This verdict on an operation: accepted, conflict, invalid, reused, not_leader, unknown,
    /// unreachable.
    Verdict {
        /// The verdict.
        verdict: String,
    },
    /// Any verdict other than this one.
    NotVerdict {
        /// The verdict.
        verdict: String,
    },
    /// Complete responses to at least this percentage of the traffic.
    Answered {
        /// Percentage.
        share: u64,
    },
}
