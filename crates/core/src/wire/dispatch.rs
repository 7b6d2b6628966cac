//! The exchange between an entry and an agent for one attempt.
//!
//! The entry sends `POST /peer/dispatch` with a [`Dispatch`]. The agent streams lists of [`Frame`]s
//! back, one list per chunk, until [`Frame::End`], [`Frame::Refused`] or [`Frame::Failed`]; request
//! and lists are [`Timestamped`](super::Timestamped). The entry closes the connection to cancel.

use crate::data;
use crate::id::{AttemptId, IdempotencyKey, Incarnation, Server, Service, Team};
use crate::wire::directory::ServerLoad;
use crate::wire::refusal::Refusal;

data! {
    /// One attempt to serve a request.
    #[derive(Eq)]
    pub struct Dispatch {
        /// The attempt.
        pub attempt: AttemptId,
        /// The server that it is sent to.
        pub server: Server,
        /// The incarnation of the agent that it is meant for; any other one refuses it.
        pub incarnation: Incarnation,
        /// The team of the caller.
        pub team: Team,
        /// The requested service.
        pub service: Service,
        /// The claim of a non-idempotent request; none for an idempotent one.
        pub claim: Option<KeyClaim>,
        /// Remaining time until the deadline, in microseconds.
        #[serde(rename = "left_us")]
        pub time_left_us: u64,
        /// Priority within the team; higher values are served first, unlike the priority of a mount.
        pub priority: u8,
        /// Expected number of tokens, for accounting; 1 for a plain call.
        #[serde(rename = "tokens")]
        pub expected_tokens: u64,
        /// The call to forward.
        pub call: Call,
        /// Number of tokens of an interrupted stream that the caller already has; zero on the first
        /// attempt.
        pub resume_after: u64,
    }

    /// A claim on an idempotency key, granted by control to one incarnation of an agent.
    #[derive(Eq)]
    pub struct KeyClaim {
        /// The key within the team.
        pub key: IdempotencyKey,
        /// Number of the claim, increasing per key.
        pub number: u32,
    }

    /// A call as forwarded to the server.
    #[derive(Eq)]
    pub struct Call {
        /// The method.
        pub method: String,
        /// The path and query.
        pub path: String,
        /// Forwarded header fields.
        pub headers: Vec<(String, String)>,
        /// The body.
        #[serde(with = "serde_bytes")]
        pub body: Vec<u8>,
    }

    /// The head of a response.
    #[derive(Eq)]
    pub struct ResponseHead {
        /// The HTTP status.
        pub status: u16,
        /// Forwarded header fields.
        pub headers: Vec<(String, String)>,
    }

    /// Flow-control credit of an entry for one team on one server.
    #[derive(Copy, Default, Eq)]
    pub struct Credit {
        /// Maximum of outstanding tokens; no limit while nothing is queued.
        pub tokens: Option<u64>,
    }

    /// A part of an agent's response.
    #[derive(Eq)]
    pub enum Frame {
        /// The head of the server's response.
        Head(ResponseHead),
        /// A part of the body, sent as soon as it is received; for a stream, one event.
        Data(#[serde(with = "serde_bytes")] Vec<u8>),
        /// The response is complete.
        End {
            /// Number of generated tokens; 1 for a plain call.
            tokens: u64,
            /// Time spent in the agent's queue, in microseconds.
            queued_us: u64,
            /// Load of the server after the request.
            load: ServerLoad,
            /// The team's new credit.
            #[serde(default)]
            credit: Credit,
            /// Number of prompt tokens found in the cache, if the server reported it.
            #[serde(default)]
            #[serde(rename = "cached")]
            cached_tokens: Option<u64>,
        },
        /// The agent refused the attempt and did not forward it.
        Refused {
            /// The refusal.
            refusal: Refusal,
            /// Load of the server.
            load: ServerLoad,
            /// The team's new credit.
            #[serde(default)]
            credit: Credit,
        },
        /// The server failed before the response was complete.
        #[serde(rename = "Broken")]
        Failed {
            /// Number of tokens relayed to the entry before the failure.
            tokens: u64,
            /// The error, for the log.
            detail: String,
        },
    }
}
