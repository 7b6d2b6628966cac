//! Claims on idempotency keys.
//!
//! An entry claims the key of a non-idempotent request in the replicated log before it dispatches
//! it. The claim names the one agent life that may run it, so neither a restarted agent nor another
//! server can.

use crate::data;
use crate::digest::Sha256;
use crate::id::{IdempotencyKey, Incarnation, RequestId, Server, Team};
use crate::time::WallTime;
use crate::wire::dispatch::ResponseHead;

data! {
    /// A team's key.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct TeamKey {
        /// The team.
        pub team: Team,
        /// The key within the team.
        pub key: IdempotencyKey,
    }

    /// An entry's question to control.
    #[derive(Eq)]
    pub struct ClaimRequest {
        /// The request on whose behalf it is asked.
        pub request: RequestId,
        /// The key.
        #[serde(rename = "name")]
        pub team_key: TeamKey,
        /// What is asked.
        #[serde(rename = "step")]
        pub action: ClaimAction,
    }

    /// What an entry asks of a key.
    #[derive(Eq)]
    pub enum ClaimAction {
        /// Claims the key for one agent life.
        Claim {
            /// Digest of the call; another call under the same key is refused.
            #[serde(rename = "call")]
            call_digest: Sha256,
            /// Where it is to run.
            holder: Holder,
            /// The claim found sealed, which this one replaces; none for a first claim.
            replaces: Option<u32>,
        },
        /// Stores the outcome of the claim numbered `claim`.
        Settle {
            /// The claim.
            claim: u32,
            /// Its outcome.
            outcome: ClaimOutcome,
        },
    }

    /// Where a claimed request runs.
    #[derive(Eq)]
    pub struct Holder {
        /// The back end.
        pub server: Server,
        /// The life of its agent.
        pub incarnation: Incarnation,
        /// Where the agent takes messages.
        pub address: std::net::SocketAddr,
    }

    /// What became of a claimed request.
    #[derive(Eq)]
    pub enum ClaimOutcome {
        /// It ran, and this is the answer.
        Answered {
            /// Head of the answer.
            head: ResponseHead,
            /// Body of the answer.
            #[serde(with = "serde_bytes")]
            body: Vec<u8>,
        },
        /// It ran, but its answer is too large to keep or was cut.
        #[serde(rename = "Lost")]
        ResponseLost,
        /// It is proved that it did not run and won't.
        NotRun,
    }

    /// Control's answer.
    #[derive(Eq)]
    pub struct ClaimResponse {
        /// The request on whose behalf it was asked.
        pub request: RequestId,
        /// The key.
        #[serde(rename = "name")]
        pub team_key: TeamKey,
        /// What control says.
        #[serde(rename = "finding")]
        pub result: ClaimResult,
    }

    /// What control says of a key.
    #[derive(Eq)]
    pub enum ClaimResult {
        /// The claim is this request's: dispatch it.
        Granted {
            /// Number of the claim, rising per key.
            claim: u32,
            /// Where it is to run; a late answer may speak of an earlier choice.
            holder: Holder,
        },
        /// Another request holds the claim.
        Held {
            /// Number of the claim.
            claim: u32,
            /// Where it runs.
            holder: Holder,
        },
        /// The key is settled.
        Settled(ClaimOutcome),
        /// The key was used for another call.
        #[serde(rename = "Other")]
        KeyReused,
        /// The key is too old: what became of it is no longer known, and it is not run again.
        Expired,
        /// The key's date lies ahead of control's clock; it was never claimed.
        #[serde(rename = "Ahead")]
        DateInFuture,
        /// Control holds as many open keys as it can; this one was never claimed.
        #[serde(rename = "Full")]
        TooManyOpen,
        /// Control remembers as many keys without a date as it can; this one was never claimed.
        #[serde(rename = "Undated")]
        TooManyUndated,
        /// The asked process doesn't lead.
        NotLeader {
            /// Where the leader is, when known.
            leader: Option<std::net::SocketAddr>,
        },
    }

    /// An entry's question to an agent: what became of a key.
    #[derive(Eq)]
    pub struct Probe {
        /// The request on whose behalf it is asked.
        pub request: RequestId,
        /// The key.
        #[serde(rename = "name")]
        pub team_key: TeamKey,
        /// The life of the agent that is meant.
        pub incarnation: Incarnation,
        /// Number of the claim.
        pub claim: u32,
    }

    /// An agent's answer.
    #[derive(Eq)]
    pub struct ProbeResponse {
        /// The request on whose behalf it was asked.
        pub request: RequestId,
        /// The key.
        #[serde(rename = "name")]
        pub team_key: TeamKey,
        /// Number of the claim that was asked about; the answer says nothing of a later one.
        pub claim: u32,
        /// What the agent says.
        pub status: KeyStatus,
    }

    /// What an agent says of a key.
    #[derive(Eq)]
    pub enum KeyStatus {
        /// It never arrived; it is sealed now, and a dispatch that still comes is refused.
        Sealed,
        /// It waits or runs.
        Running,
        /// It ran, and this is what came of it.
        Done(ClaimOutcome),
        /// The question was meant for another life of the agent.
        #[serde(rename = "Gone")]
        WrongIncarnation,
    }
}

/// Length of a UUID in its usual text form, in bytes.
const UUID_BYTES: usize = 36;

/// Positions of the hyphens in a UUID.
const UUID_HYPHENS: [usize; 4] = [8, 13, 18, 23];

/// Position of the version digit in a UUID.
const UUID_VERSION: usize = 14;

impl IdempotencyKey {
    /// When the key was made, if it is a UUID of version 7 (RFC 9562), which carries its date.
    pub fn date(&self) -> Option<WallTime> {
        let text = self.as_str().as_bytes();
        if text.len() != UUID_BYTES || text[UUID_VERSION] != b'7' {
            return None;
        }
        for (at, byte) in text.iter().enumerate() {
            let fits = match UUID_HYPHENS.contains(&at) {
                true => *byte == b'-',
                false => byte.is_ascii_hexdigit(),
            };
            if !fits {
                return None;
            }
        }
        let high = u64::from_str_radix(&self.as_str()[..8], 16).ok()?;
        let low = u64::from_str_radix(&self.as_str()[9..13], 16).ok()?;
        Some(WallTime(high << 16 | low))
    }
}
