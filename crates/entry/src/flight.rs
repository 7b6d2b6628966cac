//! One request between its arrival and its answer.

use std::net::SocketAddr;

use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::{AttemptId, Incarnation, RequestId, Server, Service, Team, Ticket};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::claim::{Holder, TeamKey};
use eelgrassdyke_core::wire::dispatch::ResponseHead;
use eelgrassdyke_core::wire::refusal::{Refusal, RunStatus};

use crate::classify::Class;
use crate::io::Call;

/// What a request waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing yet.
    Queued,
    /// Control's answer to a claim.
    Claiming {
        /// Where it is to run.
        holder: Holder,
        /// The claim that this one replaces.
        replaces: Option<u32>,
    },
    /// An agent's word on a key that another request, or a broken attempt, holds.
    Probing {
        /// The claim in question.
        claim: u32,
        /// Where it runs.
        holder: Holder,
    },
    /// An agent's answer.
    Running {
        /// The attempt.
        attempt: AttemptId,
        /// Where it runs.
        server: Server,
        /// Where the agent listens.
        address: SocketAddr,
        /// The life of the agent.
        incarnation: Incarnation,
        /// The claim under which it runs.
        claim: Option<u32>,
    },
}

/// One request between its arrival and its answer.
#[derive(Clone, Debug)]
pub struct Flight {
    /// Its number.
    pub request: RequestId,
    /// The waiting caller; none once the caller has its final answer.
    pub ticket: Option<Ticket>,
    /// Who asks.
    pub team: Team,
    /// What is asked for.
    pub class: Class,
    /// The call as it came in.
    pub call: Call,
    /// Digest of the call, to tell another call under the same key.
    pub digest: Sha256,
    /// When it came in.
    pub since: Instant,
    /// When its answer is due.
    pub deadline: Instant,
    /// What it waits for.
    pub stage: Stage,
    /// When the present question is asked again, or a flight without a caller is given up.
    pub ask_again: Instant,
    /// When the present claim was first asked for.
    pub claiming_since: Instant,
    /// Whether anything may have run so far under this call, or under its key.
    pub ran: RunStatus,
    /// Attempts made.
    pub attempts: u32,
    /// Servers that failed it.
    pub tried: Vec<Server>,
    /// Head of the answer, once it came.
    pub head: Option<ResponseHead>,
    /// Body of an answer that is not streamed, as far as it came.
    pub body: Vec<u8>,
    /// Events of a streamed answer passed on to the caller.
    pub passed: u64,
    /// Bytes of a streamed answer passed on to the caller.
    pub passed_bytes: usize,
    /// Whether a streamed answer has begun to leave.
    pub begun: bool,
    /// Whether the event that ends a whole stream was passed on.
    pub done: bool,
}

impl Flight {
    /// The name of its key, for a non-idempotent request.
    pub fn name(&self) -> Option<TeamKey> {
        let key = self.class.key.clone()?;
        Some(TeamKey {
            team: self.team.clone(),
            key,
        })
    }

    /// The account that it is charged to.
    pub fn account(&self) -> (Team, Service) {
        (self.team.clone(), self.class.service.clone())
    }

    /// A refusal that doesn't say more than is known of the whole flight.
    pub fn refusal(&self, refusal: Refusal) -> Refusal {
        let run = match (refusal.run, self.ran) {
            (RunStatus::Yes, _) | (_, RunStatus::Yes) => RunStatus::Yes,
            (RunStatus::Unknown, _) | (_, RunStatus::Unknown) => RunStatus::Unknown,
            (RunStatus::No, RunStatus::No) => RunStatus::No,
        };
        Refusal { run, ..refusal }
    }

    /// When the flight needs a look.
    pub fn next_deadline(&self) -> Instant {
        match self.ticket {
            Some(_) => self.deadline.min(self.ask_again),
            None => self.ask_again,
        }
    }
}
