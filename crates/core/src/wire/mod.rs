//! Messages between the processes of the system.
//!
//! Processes exchange one-way messages in batches: `POST /peer/mail` carries a [`Batch`] encoded
//! with MessagePack. A message may be lost, doubled, delayed or overtaken, and every receiver is
//! built for that. The one exchange that streams, a dispatch from an entry to an agent, has a
//! request of its own; see [`dispatch`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::data;
use crate::id::{Incarnation, Process};
use crate::time::HybridTimestamp;

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

/// Largest batch that a process accepts, in bytes.
pub const BATCH_BYTES_MAX: usize = 64 << 20;

/// Result of encoding or decoding a message.
pub type Result<T> = std::result::Result<T, Error>;

/// Why bytes are not a message.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes don't decode.
    #[error("the message does not decode ({0}); run the same release on both sides")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The value doesn't encode.
    #[error("the message does not encode ({0}); report this as a defect")]
    Encode(#[from] rmp_serde::encode::Error),
}

data! {
    /// Where a process is reached and which life of it speaks.
    #[derive(Eq)]
    pub struct Sender {
        /// Its name.
        pub process: Process,
        /// Its present life.
        pub incarnation: Incarnation,
        /// Where it takes messages.
        pub address: SocketAddr,
    }

    /// A value of the exchange between an entry and an agent, and when it was sent.
    pub struct Timestamped<T> {
        /// When it was sent, for the time line.
        pub stamp: HybridTimestamp,
        /// What is sent.
        pub value: T,
    }

    /// Messages from one process to another, oldest first.
    pub struct Batch {
        /// Who sends them.
        pub from: Sender,
        /// When the batch was sent, for the time line.
        pub stamp: HybridTimestamp,
        /// What is sent.
        pub messages: Vec<Message>,
    }

    /// One message.
    pub enum Message {
        /// Between replicas of the control log.
        Log(log::Message),
        /// From an agent to control: the back end is there.
        #[serde(rename = "Beat")]
        Heartbeat(directory::Heartbeat),
        /// From a follower to control: send what is newer.
        #[serde(rename = "Follow")]
        Poll(follow::PollRequest),
        /// From control to a follower: what is newer.
        Update(follow::Update),
        /// From an entry to control: claim a key, or store its outcome.
        #[serde(rename = "Claim")]
        ClaimRequest(claim::ClaimRequest),
        /// From control to an entry.
        #[serde(rename = "Claimed")]
        ClaimResponse(claim::ClaimResponse),
        /// From an entry to an agent: what became of a key.
        Probe(claim::Probe),
        /// From an agent to an entry.
        #[serde(rename = "Probed")]
        ProbeResponse(claim::ProbeResponse),
        /// Orders to engines and their fence, between control and agents.
        #[serde(rename = "Fence")]
        EngineOrder(fence::Message),
        /// Between the switch controller and the ranks of a group.
        Group(group::Message),
        /// From an entry or agent to control: its books.
        #[serde(rename = "Report")]
        ReportPage(report::ReportPage),
        /// From control to the process whose page it holds.
        #[serde(rename = "ReportKept")]
        ReportAck(report::ReportAck),
        /// From a control process that has started to the others: send all books that you hold.
        #[serde(rename = "ReportAsk")]
        ReportResync,
        /// Between control processes: a back end said that it has left.
        #[serde(rename = "Dismiss")]
        ServerLeft(crate::id::Server),
        /// Between control and the processes beside the engines of a group.
        Rank(Box<rank::Message>),
        /// Between control processes: the entries that follow the sender.
        #[serde(rename = "Entries")]
        ActiveEntries(Vec<crate::id::Process>),
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
