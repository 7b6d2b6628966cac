//! Claims on idempotency keys.
//!
//! An entry claims the key of a non-idempotent request in the replicated log before it dispatches
//! it. The claim names the one agent life that may run it, so neither a restarted agent nor another
//! server can.

use crate::data;
use crate::digest::Sha256;
use crate::id::{Incarnation, Key, Request, Server, Team};
use crate::time::Wall;
use crate::wire::dispatch::Head;

data! {
    /// A team's key.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct Name {
        /// The team.
        pub team: Team,
        /// The key within the team.
        pub key: Key,
    }

    /// An entry's question to control.
    #[derive(Eq)]
    pub struct Ask {
        /// The request on whose behalf it is asked.
        pub request: Request,
        /// The key.
        pub name: Name,
        /// What is asked.
        pub step: Step,
    }

    /// What an entry asks of a key.
    #[derive(Eq)]
    pub enum Step {
        /// Claims the key for one agent life.
        Claim {
            /// Digest of the call; another call under the same key is refused.
            call: Sha256,
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
            outcome: Outcome,
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
    pub enum Outcome {
        /// It ran, and this is the answer.
        Answered {
            /// Head of the answer.
            head: Head,
            /// Body of the answer.
            #[serde(with = "serde_bytes")]
            body: Vec<u8>,
        },
        /// It ran, but its answer is too large to keep or was cut.
        Lost,
        /// It is proved that it did not run and won't.
        NotRun,
    }

    /// Control's answer.
    #[derive(Eq)]
    pub struct Answer {
        /// The request on whose behalf it was asked.
        pub request: Request,
        /// The key.
        pub name: Name,
        /// What control says.
        pub finding: Finding,
    }

    /// What control says of a key.
    #[derive(Eq)]
    pub enum Finding {
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
        Settled(Outcome),
        /// The key was used for another call.
        Other,
        /// The key is too old: what became of it is no longer known, and it is not run again.
        Expired,
        /// The key's date lies ahead of control's clock; it was never claimed.
        Ahead,
        /// Control holds as many open keys as it can; this one was never claimed.
        Full,
        /// Control remembers as many keys without a date as it can; this one was never claimed.
        Undated,
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
        pub request: Request,
        /// The key.
        pub name: Name,
        /// The life of the agent that is meant.
        pub incarnation: Incarnation,
        /// Number of the claim.
        pub claim: u32,
    }

    /// An agent's answer.
    #[derive(Eq)]
    pub struct Probed {
        /// The request on whose behalf it was asked.
        pub request: Request,
        /// The key.
        pub name: Name,
        /// Number of the claim that was asked about; the answer says nothing of a later one.
        pub claim: u32,
        /// What the agent says.
        pub status: Status,
    }

    /// What an agent says of a key.
    #[derive(Eq)]
    pub enum Status {
        /// It never arrived; it is sealed now, and a dispatch that still comes is refused.
        Sealed,
        /// It waits or runs.
        Running,
        /// It ran, and this is what came of it.
        Done(Outcome),
        /// The question was meant for another life of the agent.
        Gone,
    }
}

/// Length of a UUID in its usual text form, in bytes.
const UUID_BYTES: usize = 36;

/// Positions of the hyphens in a UUID.
const UUID_HYPHENS: [usize; 4] = [8, 13, 18, 23];

/// Position of the version digit in a UUID.
const UUID_VERSION: usize = 14;

impl Key {
    /// When the key was made, if it is a UUID of version 7 (RFC 9562), which carries its date.
    pub fn date(&self) -> Option<Wall> {
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
        Some(Wall(high << 16 | low))
    }
}
