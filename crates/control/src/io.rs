//! Inputs, outputs and options of the control role, and its responses to operators.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eelgrassdyke_core::config::{Document, EngineOrder, Publication, Submission, Verdict};
use eelgrassdyke_core::crash::{Content, Crash};
use eelgrassdyke_core::data;
use eelgrassdyke_core::event::Event;
use eelgrassdyke_core::id::{
    DataCentre, Operation, Process, Server, Service, Term, Ticket, Version,
};
use eelgrassdyke_core::time::WallTime;
use eelgrassdyke_core::wire::directory::{Heartbeat, ServerInfo, ServerLoad};
use eelgrassdyke_core::wire::log::Members;
use eelgrassdyke_core::wire::{Message, Sender, rank};

use crate::log::{Job, MembershipChange, RecoveredState, ReplicaStatus};
use crate::report::UsageLine;
use crate::state::order;

/// An event that the state machine handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message from another process.
    Message {
        /// The sender.
        from: Sender,
        /// The message.
        message: Message,
    },
    /// An operator submits a change of the configuration.
    Submit {
        /// Identifies the operator's request.
        ticket: Ticket,
        /// The change.
        submission: Submission,
    },
    /// An operator publishes a whole configuration under a publication number that it chose.
    Publish {
        /// Identifies the operator's request.
        ticket: Ticket,
        /// The configuration.
        publication: Publication,
    },
    /// An operator orders to evacuate a data centre, or to end its evacuation, without a version.
    Evacuate {
        /// Identifies the operator's request.
        ticket: Ticket,
        /// The order.
        order: EvacuationOrder,
    },
    /// An operator reads the last publication; the response follows once a quorum has confirmed it.
    ReadPublication {
        /// Identifies the operator's request.
        ticket: Ticket,
    },
    /// A server without an agent announces itself or leaves.
    Announce {
        /// Identifies the server's request.
        ticket: Ticket,
        /// The notice.
        notice: ServerNotice,
    },
    /// An operator orders an engine to do something.
    Order {
        /// Identifies the operator's request.
        ticket: Ticket,
        /// Identifies the order.
        operation: Operation,
        /// The engine.
        server: Server,
        /// The order.
        order: EngineOrder,
    },
    /// An operator changes the members of the replicated log.
    ChangeMembers {
        /// Identifies the operator's request.
        ticket: Ticket,
        /// The change.
        change: MembershipChange,
    },
    /// All write jobs up to this one are durable.
    Persisted {
        /// Number of the job.
        job: u64,
    },
    /// The disk failed; a job after the last acknowledged one may or may not be durable, and no further
    /// one becomes durable.
    DiskFailed {
        /// The error and its remedy.
        problem: String,
    },
    /// The disk accepts writes again.
    DiskReopened {
        /// Contents of the data folder.
        recovered: Box<RecoveredState>,
    },
    /// An operator lifts the quarantine of a prompt part.
    LiftQuarantine {
        /// Identifies the operator's request.
        ticket: Ticket,
        /// The service.
        service: Service,
        /// The part.
        part: Content,
    },
    /// An operator queries this process.
    Query {
        /// Identifies the operator's request.
        ticket: Ticket,
        /// The query.
        query: Query,
    },
    /// Result of an order that this process sent directly to an engine.
    RankOrderResult(rank::RankOrderResult),
    /// The process is about to stop; see [`Control::may_stop`](crate::Control::may_stop).
    Leave,
    /// A deadline passed.
    Tick,
}

/// A notice from a server without an agent.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerNotice {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// The server has left.
    Left(Server),
}

/// An operator's order about the evacuation of a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationOrder {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether to evacuate it, or to end its evacuation.
    pub evacuated: bool,
    /// Author of the order, for the audit trail.
    pub author: String,
}

/// An operator's query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// The configuration.
    Config,
    /// The status of this control process, its followers and its directory.
    Status,
    /// The usage report.
    Report,
    /// The prompt parts on which servers ended.
    Quarantines,
}

/// An effect that the caller carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Respond to an operator or a server without an agent.
    Respond {
        /// Identifies the request.
        ticket: Ticket,
        /// The response.
        response: OperatorResponse,
    },
    /// Send an order to an engine and hand its result in as [`Input::RankOrderResult`].
    RankOrder {
        /// Address of the engine.
        engine: SocketAddr,
        /// The order.
        order: rank::RankOrder,
    },
    /// Write this job to disk after all earlier ones, then hand in [`Input::Persisted`].
    Persist(Job),
    /// Record an event.
    Event(Event),
}

data! {
    /// A response to an operator.
    #[serde(rename_all = "snake_case")]
    pub enum OperatorResponse {
        /// The verdict on a change of the configuration.
        Verdict(Verdict),
        /// This replica is not the leader and accepted nothing.
        NotLeader {
            /// Address of the leader, if known.
            leader: Option<SocketAddr>,
        },
        /// The change was passed to the log, but whether it was committed is unknown: resend it.
        #[serde(rename = "unknown")]
        OutcomeUnknown,
        /// The request can't be served now; nothing was accepted.
        Refused {
            /// The reason.
            problem: String,
            /// The remedy.
            remedy: String,
        },
        /// The members of the log after a change.
        Members(Members),
        /// The configuration.
        Config {
            /// Its version.
            version: Version,
            /// The document.
            document: Document,
        },
        /// The last publication, confirmed by a quorum; none before the first.
        Publication(Option<StoredPublication>),
        /// A server's notice was accepted.
        #[serde(rename = "noted")]
        NoticeAccepted,
        /// The status of this control process.
        Status(Status),
        /// The response to an order.
        Order(order::OrderResponse),
        /// The usage report, one line for each team and service.
        Report(Vec<UsageLine>),
        /// The prompt parts on which servers ended, and their quarantines.
        Quarantines(Vec<QuarantineStatus>),
    }

    /// A prompt part on which servers ended.
    #[derive(Eq)]
    pub struct QuarantineStatus {
        /// The service.
        pub service: Service,
        /// The part.
        pub part: Content,
        /// The crashes that count against it.
        pub crashes: Vec<Crash>,
        /// Remaining time of its quarantine, in milliseconds; none if it is only suspected. Entries
        /// extend it by up to half.
        pub left_ms: Option<u64>,
    }

    /// The stored publication, as an operator reads it back.
    #[derive(Eq)]
    pub struct StoredPublication {
        /// Publication number, chosen by the operator.
        pub number: u64,
        /// Source text of the configuration, as received.
        #[serde(with = "serde_bytes")]
        pub source: Vec<u8>,
    }

    /// The status of one control process.
    pub struct Status {
        /// This process.
        pub process: Process,
        /// Whether it is the leader.
        #[serde(rename = "leads")]
        pub is_leader: bool,
        /// Address of the leader, if known.
        pub leader: Option<SocketAddr>,
        /// Its current term.
        pub term: Term,
        /// Whether it has contact with a quorum and has caught up; if not, its data may be outdated.
        #[serde(rename = "quorum")]
        pub is_ready: bool,
        /// Status of its log replica.
        pub log: ReplicaStatus,
        /// Version of the configuration that it has applied.
        pub version: Version,
        /// Its followers by process name.
        pub followers: BTreeMap<Process, FollowerStatus>,
        /// Open orders and those that ended last.
        #[serde(default)]
        pub orders: Vec<order::OrderStatus>,
        /// Data centres whose servers get no requests.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub evacuated: Vec<DataCentre>,
        /// Servers in its directory, with their loads.
        pub servers: Vec<(ServerInfo, ServerLoad)>,
    }

    /// The status of a follower.
    #[derive(Eq)]
    pub struct FollowerStatus {
        /// Address of the follower.
        pub address: SocketAddr,
        /// Version of the configuration in force at the follower.
        pub version: Version,
        /// Time since its last poll, in milliseconds.
        #[serde(rename = "heard_ms")]
        pub poll_age_ms: u64,
    }
}

/// Options of the control role.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of all control processes.
    pub control_addresses: Vec<SocketAddr>,
    /// Wall-clock time at [`Instant`](eelgrassdyke_core::time::Instant) zero.
    pub wall_time_origin: WallTime,
    /// Time after its last heartbeat at which a server counts as lost.
    pub server_lease: std::time::Duration,
    /// Whether the leader assigns rank groups to control processes; if not, it coordinates them itself.
    pub spreads_groups: bool,
    /// Whether engines refuse orders with a lower fencing token than they have seen.
    pub engines_check_fencing: bool,
    /// Options of the replicated log.
    pub log: crate::log::Options,
}
