//! Claims on idempotency keys.
//!
//! An entry claims the key of a non-idempotent request in the replicated log before it dispatches
//! it. The claim names the one agent life that may run it, so neither a restarted agent nor another
//! server can.

use crate::data;
use crate::digest::Sha256;
use crate::id::{Incarnation, Key, Request, Server, Team};
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
            /// Time until the key's window closes, in milliseconds.
            window_ms: u64,
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
        /// The key's window has closed.
        Expired,
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
        /// Number of the claim that was asked about.
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
