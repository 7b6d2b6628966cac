//! One request between its arrival and its answer.

use std::net::SocketAddr;

use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::{AttemptId, Incarnation, RequestId, Server, Service, Team, Ticket};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::claim::{Holder, TeamKey};
use eelgrassdyke_core::wire::dispatch::ResponseHead;
use eelgrassdyke_core::wire::refusal::{Refusal, RunStatus};

use crate::classify::RequestClass;
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
pub struct OpenRequest {
    /// Its number.
    pub id: RequestId,
    /// The waiting caller; none once the caller has its final answer.
    pub ticket: Option<Ticket>,
    /// Who asks.
    pub team: Team,
    /// What is asked for.
    pub class: RequestClass,
    /// The call as it came in.
    pub call: Call,
    /// Digest of the call, to tell another call under the same key.
    pub digest: Sha256,
    /// When it came in.
    pub received_at: Instant,
    /// When its answer is due.
    pub deadline: Instant,
    /// What it waits for.
    pub stage: Stage,
    /// When the present question is asked again, or a flight without a caller is given up.
    pub next_retry: Instant,
    /// When the present claim was first asked for.
    pub claim_started_at: Instant,
    /// Whether anything may have run so far under this call, or under its key.
    pub run_status: RunStatus,
    /// Attempts made.
    pub attempts: u32,
    /// Servers that failed it.
    pub failed_servers: Vec<Server>,
    /// Head of the answer, once it came.
    pub head: Option<ResponseHead>,
    /// Body of an answer that is not streamed, as far as it came.
    pub body: Vec<u8>,
    /// Events of a streamed answer passed on to the caller.
    pub events_forwarded: u64,
    /// Bytes of a streamed answer passed on to the caller.
    pub bytes_forwarded: usize,
    /// Whether a streamed answer has begun to leave.
    pub response_started: bool,
    /// Whether the event that ends a whole stream was passed on.
    pub stream_complete: bool,
}

impl OpenRequest {
    /// Whether this attempt is in progress.
    pub fn is_running(&self, attempt: &AttemptId) -> bool {
        matches!(&self.stage, Stage::Running { attempt: current, .. } if current == attempt)
    }

    /// The name of its key, for a non-idempotent request.
    pub fn team_key(&self) -> Option<TeamKey> {
        let key = self.class.idempotency_key.clone()?;
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
    pub fn merge_run_status(&self, refusal: Refusal) -> Refusal {
        let run = match (refusal.run, self.run_status) {
            (RunStatus::Yes, _) | (_, RunStatus::Yes) => RunStatus::Yes,
            (RunStatus::Unknown, _) | (_, RunStatus::Unknown) => RunStatus::Unknown,
            (RunStatus::No, RunStatus::No) => RunStatus::No,
        };
        Refusal { run, ..refusal }
    }

    /// When the flight needs a look.
    pub fn next_deadline(&self) -> Instant {
        match self.ticket {
            Some(_) => self.deadline.min(self.next_retry),
            None => self.next_retry,
        }
    }
}
