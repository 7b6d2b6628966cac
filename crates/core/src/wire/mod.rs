//! Messages between the processes of the system.
//!
//! Processes exchange one-way messages in batches: `POST /peer/mail` carries a [`Batch`] encoded
//! with MessagePack. Messages may be lost, duplicated, delayed or reordered, and every receiver
//! tolerates that. The only streaming exchange, a dispatch from an entry to an agent, has its own
//! HTTP request; see [`dispatch`].
//!
//! Processes of different builds exchange messages during an upgrade: structures are maps with field
//! names, unknown fields are ignored, and [`Batch::decode_known`] skips messages of unknown kinds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::data;
use crate::id::{Incarnation, Process};
use crate::time::HybridTimestamp;

mod batch;
pub mod claim;
pub mod directory;
pub mod dispatch;
pub mod fence;
pub mod follow;
pub mod group;
pub mod log;
pub mod rank;
pub mod refusal;
pub mod report;

pub use batch::KnownBatch;

/// Maximum size of a batch that a process accepts, in bytes.
pub const BATCH_BYTES_MAX: usize = 64 << 20;

/// Result of encoding or decoding a message.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a message could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes are not a valid message.
    #[error("the message could not be decoded ({0}); run the same release on both sides")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The bytes are no list or map where one is expected.
    #[error("the message could not be decoded ({0}); run the same release on both sides")]
    Structure(#[from] rmp::decode::ValueReadError),
    /// A field is missing.
    #[error("the message has no field `{0}`; run the same release on both sides")]
    MissingField(&'static str),
    /// The value can't be encoded.
    #[error("the message could not be encoded ({0}); report this as a defect")]
    Encode(#[from] rmp_serde::encode::Error),
}

data! {
    /// The process that sends a message, its incarnation and its address.
    #[derive(Eq)]
    pub struct Sender {
        /// Its process name.
        pub process: Process,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// Its address for messages.
        pub address: SocketAddr,
    }

    /// A value of a dispatch exchange with the time at which it was sent.
    pub struct Timestamped<T> {
        /// Time of sending, for the causal order of the timeline.
        pub stamp: HybridTimestamp,
        /// The value.
        pub value: T,
    }

    /// Messages from one process to another, oldest first.
    pub struct Batch {
        /// The sender.
        pub from: Sender,
        /// Time of sending, for the causal order of the timeline.
        pub stamp: HybridTimestamp,
        /// The messages.
        pub messages: Vec<Message>,
    }

    /// One message.
    pub enum Message {
        /// Between replicas of the control log.
        Log(log::Message),
        /// From an agent to control: heartbeat of a server.
        #[serde(rename = "Beat")]
        Heartbeat(directory::Heartbeat),
        /// From a follower to control: poll for a newer configuration and directory.
        #[serde(rename = "Follow")]
        Poll(follow::PollRequest),
        /// From control to a follower: response to a poll, or a push.
        Update(follow::Update),
        /// From an entry to control: claim a key, or store the outcome of a claim.
        #[serde(rename = "Claim")]
        ClaimRequest(claim::ClaimRequest),
        /// From control to an entry: response to a claim request.
        #[serde(rename = "Claimed")]
        ClaimResponse(claim::ClaimResponse),
        /// From an entry to an agent: query for the status of a key.
        Probe(claim::Probe),
        /// From an agent to an entry: response to a probe.
        #[serde(rename = "Probed")]
        ProbeResponse(claim::ProbeResponse),
        /// Orders to engines and their fencing, between control and agents.
        #[serde(rename = "Fence")]
        EngineOrder(fence::Message),
        /// Between the switch controller of a group and its ranks.
        Group(group::Message),
        /// From an entry or agent to control: a page of its usage counters.
        #[serde(rename = "Report")]
        ReportPage(report::ReportPage),
        /// From control to an entry or agent: acknowledgement of a page.
        #[serde(rename = "ReportKept")]
        ReportAck(report::ReportAck),
        /// From a control process that has started to the others: request for all usage counters.
        #[serde(rename = "ReportAsk")]
        ReportResync,
        /// Between control processes: a server has announced that it leaves.
        #[serde(rename = "Dismiss")]
        ServerLeft(crate::id::Server),
        /// Between control processes: the receiver of [`Message::ServerLeft`] holds the departure.
        ServerLeftNoted(crate::id::Server),
        /// Between control and the watch processes beside the engines of a group.
        Rank(Box<rank::Message>),
        /// Between entries and control, and between control processes: the servers that ended, and the
        /// prompt parts that were in flight, and the limits of servers.
        #[serde(rename = "CrashSync")]
        FactSync(crate::crash::FactSync),
        /// Between control processes: the entries that poll the sender.
        #[serde(rename = "Entries")]
        ActiveEntries(Vec<crate::id::Process>),
        /// Between control processes: the demand at the entries that poll the sender.
        EntryDemands(Vec<(crate::id::Process, Vec<crate::limit::ServiceDemand>)>),
    }
}

impl Message {
    /// Whether leadership or a lease depends on its delivery in time.
    pub fn is_urgent(&self) -> bool {
        match self {
            Self::Log(_) => true,
            Self::Rank(message) => matches!(
                **message,
                rank::Message::CoordinatorPoll(_) | rank::Message::CoordinatorGrant(_)
            ),
            _ => false,
        }
    }

    /// Name of its kind, for metrics and log lines.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Log(_) => "log",
            Self::Heartbeat(_) => "heartbeat",
            Self::Poll(_) => "poll",
            Self::Update(_) => "update",
            Self::ClaimRequest(_) => "claim_request",
            Self::ClaimResponse(_) => "claim_response",
            Self::Probe(_) => "probe",
            Self::ProbeResponse(_) => "probe_response",
            Self::EngineOrder(_) => "engine_order",
            Self::Group(_) => "group",
            Self::ReportPage(_) => "report_page",
            Self::ReportAck(_) => "report_ack",
            Self::ReportResync => "report_resync",
            Self::ServerLeft(_) => "server_left",
            Self::ServerLeftNoted(_) => "server_left_noted",
            Self::Rank(message) => message.kind(),
            Self::FactSync(_) => "fact_sync",
            Self::ActiveEntries(_) => "active_entries",
            Self::EntryDemands(_) => "entry_demands",
        }
    }
}

/// Encodes a value as MessagePack with named fields.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    Ok(rmp_serde::to_vec_named(value)?)
}

/// Decodes a value from MessagePack.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    Ok(rmp_serde::from_slice(bytes)?)
}
