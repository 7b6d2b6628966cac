//! Claims on idempotency keys.
//!
//! An entry claims the key of a non-idempotent request in the replicated log before it dispatches
//! the request. The claim names the one incarnation of an agent that may run it, so that neither a
//! restarted agent nor another server runs it again.

use crate::data;
use crate::digest::Sha256;
use crate::id::{IdempotencyKey, Incarnation, RequestId, Server, Team};
use crate::time::WallTime;
use crate::wire::dispatch::ResponseHead;

data! {
    /// An idempotency key, qualified by its team.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct TeamKey {
        /// The team.
        pub team: Team,
        /// The key within the team.
        pub key: IdempotencyKey,
    }

    /// An entry's request to control about a key.
    #[derive(Eq)]
    pub struct ClaimRequest {
        /// The request that the key belongs to.
        pub request: RequestId,
        /// The key and its team.
        #[serde(rename = "name")]
        pub team_key: TeamKey,
        /// The action to perform.
        #[serde(rename = "step")]
        pub action: ClaimAction,
    }

    /// An action on a key.
    #[derive(Eq)]
    pub enum ClaimAction {
        /// Claims the key for one incarnation of an agent.
        Claim {
            /// Digest of the call; another call with the same key is refused.
            #[serde(rename = "call")]
            call_digest: Sha256,
            /// Where the request is to run.
            holder: Holder,
            /// Number of the sealed claim that this one replaces; none for a first claim.
            replaces: Option<u32>,
        },
        /// Stores the outcome of a claim.
        Settle {
            /// Number of the claim.
            claim: u32,
            /// Its outcome.
            outcome: ClaimOutcome,
        },
    }

    /// Where a claimed request runs.
    #[derive(Eq)]
    pub struct Holder {
        /// The server.
        pub server: Server,
        /// The incarnation of its agent.
        pub incarnation: Incarnation,
        /// Address of its agent, for messages.
        pub address: std::net::SocketAddr,
    }

    /// The outcome of a claimed request.
    #[derive(Eq)]
    pub enum ClaimOutcome {
        /// The request ran, with this response.
        Answered {
            /// Head of the response.
            head: ResponseHead,
            /// Body of the response.
            #[serde(with = "serde_bytes")]
            body: Vec<u8>,
        },
        /// The request ran, but its response is too large to store or was truncated.
        #[serde(rename = "Lost")]
        ResponseLost,
        /// The request provably did not run and will not run.
        NotRun,
    }

    /// Control's response to a [`ClaimRequest`].
    #[derive(Eq)]
    pub struct ClaimResponse {
        /// The request that the key belongs to.
        pub request: RequestId,
        /// The key and its team.
        #[serde(rename = "name")]
        pub team_key: TeamKey,
        /// The result.
        #[serde(rename = "finding")]
        pub result: ClaimResult,
    }

    /// The result of a claim request.
    #[derive(Eq)]
    pub enum ClaimResult {
        /// This request holds the claim and may be dispatched.
        Granted {
            /// Number of the claim, increasing per key.
            claim: u32,
            /// Where the request is to run; a delayed response may name an earlier choice.
            holder: Holder,
        },
        /// Another request holds the claim.
        Held {
            /// Number of the claim.
            claim: u32,
            /// Where that request runs.
            holder: Holder,
        },
        /// The outcome of the key is stored.
        Settled(ClaimOutcome),
        /// The key was used for another call.
        #[serde(rename = "Other")]
        KeyReused,
        /// The key is too old: its outcome is no longer known, and the request is not run again.
        Expired,
        /// The date of the key is ahead of control's clock; it was not claimed.
        #[serde(rename = "Ahead")]
        DateInFuture,
        /// Control stores the maximum of open keys; this one was not claimed.
        #[serde(rename = "Full")]
        TooManyOpen,
        /// Control stores the maximum of keys without a date; this one was not claimed.
        #[serde(rename = "Undated")]
        TooManyUndated,
        /// The receiver is not the leader.
        NotLeader {
            /// Address of the leader, if known.
            leader: Option<std::net::SocketAddr>,
        },
    }

    /// An entry's query to an agent for the status of a key.
    #[derive(Eq)]
    pub struct Probe {
        /// The request that the key belongs to.
        pub request: RequestId,
        /// The key and its team.
        #[serde(rename = "name")]
        pub team_key: TeamKey,
        /// The incarnation of the agent that it is meant for.
        pub incarnation: Incarnation,
        /// Number of the claim.
        pub claim: u32,
    }

    /// An agent's response to a [`Probe`].
    #[derive(Eq)]
    pub struct ProbeResponse {
        /// The request that the key belongs to.
        pub request: RequestId,
        /// The key and its team.
        #[serde(rename = "name")]
        pub team_key: TeamKey,
        /// Number of the queried claim; the response states nothing about a later one.
        pub claim: u32,
        /// The status of the key.
        pub status: KeyStatus,
    }

    /// The status of a key at an agent.
    #[derive(Eq)]
    pub enum KeyStatus {
        /// No dispatch with the key has arrived; the key is now sealed, and a later dispatch is refused.
        Sealed,
        /// The request is queued or running.
        Running,
        /// The request has ended, with this outcome.
        Done(ClaimOutcome),
        /// The agent can't tell whether the request ran: the probe was meant for another incarnation,
        /// the key may have been evicted, or the limit of sealed keys is reached.
        #[serde(rename = "Gone")]
        Unknown,
    }
}

/// Length of a UUID in text form, in bytes.
const UUID_BYTES: usize = 36;

/// Positions of the hyphens in a UUID.
const UUID_HYPHENS: [usize; 4] = [8, 13, 18, 23];

/// Position of the version digit in a UUID.
const UUID_VERSION: usize = 14;

impl IdempotencyKey {
    /// Creation time of the key, if it is a UUID of version 7 (RFC 9562), which contains it.
    pub fn date(&self) -> Option<WallTime> {
        let text = self.as_str().as_bytes();
        if text.len() != UUID_BYTES || text[UUID_VERSION] != b'7' {
            return None;
        }
        for (position, byte) in text.iter().enumerate() {
            let is_valid = match UUID_HYPHENS.contains(&position) {
                true => *byte == b'-',
                false => byte.is_ascii_hexdigit(),
            };
            if !is_valid {
                return None;
            }
        }
        let high = u64::from_str_radix(&self.as_str()[..8], 16).ok()?;
        let low = u64::from_str_radix(&self.as_str()[9..13], 16).ok()?;
        Some(WallTime(high << 16 | low))
    }
}
