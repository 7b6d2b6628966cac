//! The state of an open request.

use std::net::SocketAddr;

use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::{AttemptId, Incarnation, RequestId, Server, Service, Team, Ticket};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::claim::{Holder, TeamKey};
use eelgrassdyke_core::wire::dispatch::ResponseHead;
use eelgrassdyke_core::wire::refusal::{Refusal, RunStatus};

use crate::classify::RequestClass;
use crate::io::Call;

/// What a request is waiting for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing: the request has just been received.
    Received,
    /// Control's response to a claim request.
    Claiming {
        /// The agent that is to run the request.
        holder: Holder,
        /// Number of the claim that this one replaces.
        replaces: Option<u32>,
    },
    /// An agent's response to a probe of a key that another request, or a failed attempt, has
    /// claimed.
    Probing {
        /// Number of the probed claim.
        claim: u32,
        /// The agent that holds the claim.
        holder: Holder,
    },
    /// An agent's response to a dispatch.
    Running {
        /// The attempt.
        attempt: AttemptId,
        /// The server that runs the attempt.
        server: Server,
        /// Address of the agent.
        address: SocketAddr,
        /// Incarnation of the agent.
        incarnation: Incarnation,
        /// Number of the claim under which the attempt runs.
        claim: Option<u32>,
    },
}

/// An open request.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// The waiting caller; none once the caller has its final response.
    pub ticket: Option<Ticket>,
    /// The team of the caller.
    pub team: Team,
    /// The classified call.
    pub class: RequestClass,
    /// The call as received.
    pub call: Call,
    /// Digest of the call, to detect a different call under the same key.
    pub digest: Sha256,
    /// When the request was received.
    pub received_at: Instant,
    /// Deadline of the response.
    pub deadline: Instant,
    /// What the request is waiting for.
    pub stage: Stage,
    /// When the pending message is resent, or a request without a caller is dropped.
    pub next_retry: Instant,
    /// When the current claim was first requested.
    pub claim_started_at: Instant,
    /// Whether an attempt of this call, or of another call under its key, may have run so far.
    pub run_status: RunStatus,
    /// Number of attempts made.
    pub attempts: u32,
    /// Servers on which an attempt failed.
    pub failed_servers: Vec<Server>,
    /// Head of the response, once received.
    pub head: Option<ResponseHead>,
    /// Received part of the body of a response that is not streamed.
    pub body: Vec<u8>,
    /// Number of events of a streamed response forwarded to the caller.
    pub events_forwarded: u64,
    /// Number of bytes of a streamed response forwarded to the caller.
    pub bytes_forwarded: usize,
    /// Whether the head of a streamed response has been sent to the caller.
    pub response_started: bool,
    /// Whether the event that completes the stream has been forwarded.
    pub stream_complete: bool,
}

impl OpenRequest {
    /// Whether `attempt` is the current attempt.
    pub fn is_running(&self, attempt: &AttemptId) -> bool {
        matches!(&self.stage, Stage::Running { attempt: current, .. } if current == attempt)
    }

    /// The idempotency key qualified by the team, for a non-idempotent request.
    pub fn team_key(&self) -> Option<TeamKey> {
        let key = self.class.idempotency_key.clone()?;
        Some(TeamKey {
            team: self.team.clone(),
            key,
        })
    }

    /// The account that the request is charged to.
    pub fn account(&self) -> (Team, Service) {
        (self.team.clone(), self.class.service.clone())
    }

    /// Raises the run status of a refusal to that of the whole request, so that it never states
    /// `no` after an attempt that may have run.
    pub fn merge_run_status(&self, refusal: Refusal) -> Refusal {
        let run = match (refusal.run_status, self.run_status) {
            (RunStatus::Yes, _) | (_, RunStatus::Yes) => RunStatus::Yes,
            (RunStatus::Unknown, _) | (_, RunStatus::Unknown) => RunStatus::Unknown,
            (RunStatus::No, RunStatus::No) => RunStatus::No,
        };
        Refusal {
            run_status: run,
            ..refusal
        }
    }

    /// When the timer of the request expires.
    pub fn next_deadline(&self) -> Instant {
        match self.ticket {
            Some(_) => self.deadline.min(self.next_retry),
            None => self.next_retry,
        }
    }
}
