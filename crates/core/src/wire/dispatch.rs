//! The exchange between an entry and an agent that serves one attempt.
//!
//! The entry sends `POST /peer/dispatch` with a [`Dispatch`]; the agent streams lists of [`Frame`]s
//! back, one list in each chunk and both [`Timestamped`](super::Timestamped), until [`Frame::End`], [`Frame::Refused`] or [`Frame::Failed`]. The
//! entry closes the connection to cancel.

use crate::data;
use crate::id::{AttemptId, IdempotencyKey, Incarnation, Server, Service, Team};
use crate::wire::directory::ServerLoad;
use crate::wire::refusal::Refusal;

data! {
    /// One attempt to serve a request.
    #[derive(Eq)]
    pub struct Dispatch {
        /// Which attempt.
        pub attempt: AttemptId,
        /// The back end meant.
        pub server: Server,
        /// The life of the agent that it is meant for; others refuse it.
        pub incarnation: Incarnation,
        /// Who asks.
        pub team: Team,
        /// The service asked for.
        pub service: Service,
        /// The claim of a non-idempotent request; none for an idempotent one.
        pub claim: Option<KeyClaim>,
        /// Time left until the deadline, in microseconds.
        #[serde(rename = "left_us")]
        pub time_left_us: u64,
        /// Higher goes first within a team.
        pub priority: u8,
        /// Tokens expected, for accounting; 1 for a plain call.
        #[serde(rename = "tokens")]
        pub expected_tokens: u64,
        /// The call to pass on.
        pub call: Call,
        /// Tokens of an interrupted stream that the caller already has; zero at first.
        pub resume_after: u64,
    }

    /// A claim on a key, granted by control to one agent life.
    #[derive(Eq)]
    pub struct KeyClaim {
        /// The key within the team.
        pub key: IdempotencyKey,
        /// Number of the claim, rising per key.
        pub number: u32,
    }

    /// A call as the back end gets it.
    #[derive(Eq)]
    pub struct Call {
        /// The method.
        pub method: String,
        /// The path and query.
        pub path: String,
        /// Header fields passed through.
        pub headers: Vec<(String, String)>,
        /// The body.
        #[serde(with = "serde_bytes")]
        pub body: Vec<u8>,
    }

    /// The head of an answer.
    #[derive(Eq)]
    pub struct ResponseHead {
        /// The HTTP status.
        pub status: u16,
        /// Header fields passed through.
        pub headers: Vec<(String, String)>,
    }

    /// Tokens that an entry may have open for one team on one server.
    #[derive(Copy, Default, Eq)]
    pub struct Credit {
        /// The bound; none while nothing queues.
        pub tokens: Option<u64>,
    }

    /// A part of an agent's answer.
    #[derive(Eq)]
    pub enum Frame {
        /// The head of the back end's answer.
        Head(ResponseHead),
        /// A part of the body, as soon as the back end gave it; for a stream, one event.
        Data(#[serde(with = "serde_bytes")] Vec<u8>),
        /// The answer is whole.
        End {
            /// Tokens generated; 1 for a plain call.
            tokens: u64,
            /// Time spent in the agent's queue, in microseconds.
            queued_us: u64,
            /// The back end's load after it.
            load: ServerLoad,
            /// What the agent grants the team from now on.
            #[serde(default)]
            credit: Credit,
            /// Tokens of the prompt that the back end found in its cache, when it said so.
            #[serde(default)]
            #[serde(rename = "cached")]
            cached_tokens: Option<u64>,
        },
        /// Not passed on to the back end.
        Refused {
            /// Why, and whether it ran.
            refusal: Refusal,
            /// The back end's load.
            load: ServerLoad,
            /// What the agent grants the team from now on.
            #[serde(default)]
            credit: Credit,
        },
        /// The back end failed in the middle.
        #[serde(rename = "Broken")]
        Failed {
            /// Tokens passed on before.
            tokens: u64,
            /// What happened, for the log.
            detail: String,
        },
    }
}
