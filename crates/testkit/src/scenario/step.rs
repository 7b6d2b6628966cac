//! What a line of a scenario can say.
//!
//! Where a process is named, `leader` stands for the control process that leads at that moment, and
//! `old-leader` for the one that `leader` last stood for.

use clap::{Parser, Subcommand};

/// One line.
#[derive(Clone, Debug, Parser)]
#[command(no_binary_name = true, disable_help_flag = true)]
pub struct Line {
    /// What it says.
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
    /// Asks a process to stop (SIGTERM) without waiting.
    Stop {
        /// The process.
        process: String,
    },
    /// Waits until a stopped process has ended with nothing cut off.
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
    /// Lets a frozen process go on (SIGCONT).
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
    /// Delays each exchange between two processes.
    Delay {
        /// One end.
        one: String,
        /// The other end; `all` for every other process.
        other: String,
        /// The delay, in milliseconds.
        ms: u64,
    },
    /// Doubles each batch of messages between two processes.
    Double {
        /// One end.
        one: String,
        /// The other end; `all` for every other process.
        other: String,
    },
    /// Mends every link.
    Heal,
    /// Lets time pass; no verdict depends on how much.
    Pause {
        /// Milliseconds.
        ms: u64,
    },
    /// Waits until a process takes work, or every running one.
    Ready {
        /// The process, or `all`.
        process: String,
    },
    /// Waits until some control process leads with a quorum.
    Leader,
    /// Waits until a version is in force in every running process.
    InForce {
        /// The version.
        version: u64,
    },
    /// Replaces the replica of a control process that lost its disk: adds the new one, promotes it
    /// once it has caught up, and removes the old one.
    Replace {
        /// The process.
        process: String,
    },
    /// Submits many changes one after the other, each made from the version before.
    Churn {
        /// Changes.
        count: u64,
    },
    /// Orders an engine to load a model, through whichever control process leads.
    Order {
        /// The operation.
        operation: String,
        /// The engine.
        server: String,
        /// The model.
        model: String,
        /// Wait until the order is done.
        #[arg(long)]
        wait: bool,
    },
    /// Submits changes of one team made from the same version, all at once through all control
    /// processes; exactly one may be accepted.
    Race {
        /// The team that all of them put.
        team: String,
        /// The version.
        #[arg(long)]
        base: u64,
        /// Changes.
        #[arg(long, default_value_t = 6)]
        count: u64,
    },
    /// Submits a change that puts a team; the verdict is kept under the operation's name.
    Submit {
        /// The operation.
        operation: String,
        /// The team to put.
        #[arg(long)]
        team: String,
        /// The version that the change is made from.
        #[arg(long)]
        base: u64,
        /// The control process asked first; others follow when it doesn't lead.
        #[arg(long, default_value = "control-1")]
        via: String,
        /// Ask this process only, and take what it says.
        #[arg(long)]
        only: bool,
    },
    /// Sends a request in the background; what is told is kept under its name.
    Send {
        /// The request's name.
        name: String,
        /// The team.
        #[arg(long, default_value = "salons")]
        team: String,
        /// The entry.
        #[arg(long, default_value = "entry-1")]
        via: String,
        /// A charge under this key.
        #[arg(long, conflicts_with = "draft")]
        charge: Option<String>,
        /// A streamed draft with this prompt.
        #[arg(long)]
        draft: Option<String>,
        /// Tokens of a draft.
        #[arg(long, default_value_t = 20)]
        tokens: u64,
        /// The deadline, in seconds.
        #[arg(long)]
        timeout: Option<f64>,
    },
    /// Sends many keyed charges and drafts in the background, through all entries in turn; a charge
    /// whose outcome is not certain is sent again through another entry.
    Traffic {
        /// Charges, and as many drafts.
        count: u64,
        /// Time between two, in milliseconds.
        #[arg(long, default_value_t = 10)]
        every_ms: u64,
    },
    /// Waits until a request, or the traffic, has been answered.
    Await {
        /// The request's name, or `traffic`.
        name: String,
    },
    /// Checks what was told.
    Expect {
        /// The request's or operation's name.
        name: String,
        /// What is checked.
        #[command(subcommand)]
        what: Expectation,
    },
}

/// What is checked of an answer.
#[derive(Clone, Debug, Subcommand)]
pub enum Expectation {
    /// The status of a whole answer.
    Status {
        /// The status.
        status: u16,
    },
    /// A refusal that says whether the request ran.
    Run {
        /// no, yes or unknown.
        run: String,
    },
    /// The same answer as another request got.
    Same {
        /// The other request.
        other: String,
    },
    /// The verdict on an operation: accepted, conflict, invalid, reused, not_leader, unknown.
    Verdict {
        /// The verdict.
        verdict: String,
    },
    /// Some verdict other than this one.
    NotVerdict {
        /// The verdict.
        verdict: String,
    },
    /// Whole answers to at least this share of the traffic, in hundredths.
    Answered {
        /// Hundredths.
        share: u64,
    },
}
