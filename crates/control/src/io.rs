//! What goes into control and what comes out.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eelgrassdyke_core::config::{Document, EngineOrder, Publication, Submission, Verdict};
use eelgrassdyke_core::data;
use eelgrassdyke_core::event::Event;
use eelgrassdyke_core::id::{Operation, Process, Server, Term, Ticket, Version};
use eelgrassdyke_core::time::WallTime;
use eelgrassdyke_core::wire::directory::{Heartbeat, ServerInfo, ServerLoad};
use eelgrassdyke_core::wire::log::Members;
use eelgrassdyke_core::wire::{Message, Sender, rank};

use crate::log::{Job, MembershipChange, RecoveredState, ReplicaStatus};
use crate::report::Line;
use crate::state::order;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message came from another process.
    Mail {
        /// Who sent it.
        from: Sender,
        /// The message.
        message: Message,
    },
    /// An operator submits a change.
    Submit {
        /// The waiting operator.
        ticket: Ticket,
        /// The change.
        submission: Submission,
    },
    /// An operator sends a whole configuration under a number of its own.
    Publish {
        /// The waiting operator.
        ticket: Ticket,
        /// The configuration.
        publication: Publication,
    },
    /// An operator reads the last publication; it is answered once a quorum has confirmed it.
    ReadPublication {
        /// The waiting operator.
        ticket: Ticket,
    },
    /// A back end that no agent stands beside says how it is.
    Announce {
        /// The waiting back end.
        ticket: Ticket,
        /// What it says.
        notice: Notice,
    },
    /// An operator gives an engine an order.
    Order {
        /// The waiting operator.
        ticket: Ticket,
        /// Names the order.
        operation: Operation,
        /// The engine.
        server: Server,
        /// What to do.
        order: EngineOrder,
    },
    /// An operator changes the members of the log.
    Members {
        /// The waiting operator.
        ticket: Ticket,
        /// The change.
        change: MembershipChange,
    },
    /// All jobs up to this one are durable.
    Persisted {
        /// The job.
        job: u64,
    },
    /// The disk failed; no job handed out so far becomes durable any more.
    DiskFailed {
        /// What went wrong and what to do about it.
        problem: String,
    },
    /// The disk takes writes again.
    DiskReopened {
        /// What the data folder holds now.
        recovered: Box<RecoveredState>,
    },
    /// An operator asks.
    Query {
        /// The waiting operator.
        ticket: Ticket,
        /// The question.
        query: Query,
    },
    /// An order that this process gave itself came to something.
    Ordered(rank::RankOrderResult),
    /// Nothing but time passed.
    Tick,
}

/// What a back end says of itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// It is there.
    Beat(Heartbeat),
    /// It has left.
    Left(Server),
}

/// What an operator asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// The configuration.
    Config,
    /// The state of control, its followers and the directory.
    Status,
    /// Who got what.
    Report,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Answer an operator.
    Answer {
        /// The operator.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
    /// Give an engine an order and feed back what came of it.
    Order {
        /// Where the engine takes orders.
        engine: SocketAddr,
        /// The order.
        order: rank::RankOrder,
    },
    /// Make this durable, after all jobs before it, and answer [`Input::Persisted`].
    Persist(Job),
    /// Note an event.
    Event(Event),
}

data! {
    /// An answer to an operator.
    #[serde(rename_all = "snake_case")]
    pub enum Answer {
        /// What became of a change.
        Verdict(Verdict),
        /// This replica can't decide it; nothing was accepted here.
        NotLeader {
            /// Where the leader listens, when known.
            leader: Option<SocketAddr>,
        },
        /// The change was passed to the log, but its fate is not known: resend it.
        Unknown,
        /// It can't be done now; nothing was accepted.
        Refused {
            /// What is in the way.
            problem: String,
            /// What to do about it.
            remedy: String,
        },
        /// The members after a change.
        Members(Members),
        /// The configuration.
        Config {
            /// Its version.
            version: Version,
            /// The document.
            document: Document,
        },
        /// The last publication, confirmed by a quorum; empty before the first.
        Publication(Option<Published>),
        /// A back end's notice was taken in.
        Noted,
        /// The state of control.
        Status(Status),
        /// What became of an order.
        Order(order::Taken),
        /// Who got what, a line for each team and service.
        Report(Vec<Line>),
    }

    /// A publication as its operator reads it back.
    #[derive(Eq)]
    pub struct Published {
        /// The operator's number.
        pub number: u64,
        /// The text that was sent.
        #[serde(with = "serde_bytes")]
        pub source: Vec<u8>,
    }

    /// The state of control as one replica sees it.
    pub struct Status {
        /// This process.
        pub process: Process,
        /// Whether it leads.
        pub leads: bool,
        /// Where it thinks the leader listens.
        pub leader: Option<SocketAddr>,
        /// Its term.
        pub term: Term,
        /// Whether it can reach a quorum and has caught up; what it says is stale when not.
        pub quorum: bool,
        /// Its view of the log.
        pub log: ReplicaStatus,
        /// Version of the configuration it has applied.
        pub version: Version,
        /// Processes that follow it, by name.
        pub followers: BTreeMap<Process, FollowerStatus>,
        /// Orders that are open and those that ended last.
        #[serde(default)]
        pub orders: Vec<order::Standing>,
        /// Back ends, with their load.
        pub servers: Vec<(ServerInfo, ServerLoad)>,
    }

    /// What is known of a follower.
    #[derive(Eq)]
    pub struct FollowerStatus {
        /// Where it listens.
        pub address: SocketAddr,
        /// Version it has in force.
        pub version: Version,
        /// Time since it was last heard, in milliseconds.
        pub heard_ms: u64,
    }
}

/// Options of control.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where the control processes listen.
    pub control: Vec<SocketAddr>,
    /// The wall clock at instant zero.
    pub wall_at_zero: WallTime,
    /// Time after its last announcement at which a back end counts as gone.
    pub lease: std::time::Duration,
    /// Options of the replicated log.
    pub log: crate::log::Options,
}
