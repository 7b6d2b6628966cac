//! Non-idempotent requests: each idempotency key runs at most once.
//!
//! Before anything is dispatched, the key is claimed in the replicated log for one incarnation of
//! an agent. A request whose key is already claimed probes that agent. If the dispatch never
//! arrived, the agent seals the key and the claim may be replaced; while it runs, the request
//! waits; once it has run, the stored response is returned; if that incarnation of the agent has
//! ended, the outcome stays unknown.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Message;
use eelgrassdyke_core::wire::claim::{
    ClaimAction, ClaimOutcome, ClaimRequest, ClaimResponse, ClaimResult, Holder, KeyStatus, Probe,
    ProbeResponse,
};
use eelgrassdyke_core::wire::dispatch::ResponseHead;
use eelgrassdyke_core::wire::refusal::{Reason, Refusal, RunStatus};

use crate::entry::Entry;
use crate::flight::{OpenRequest, Stage};
use crate::io::Output;

/// Time after which an unanswered claim request or probe is resent.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum size of a response that is stored as the outcome of a key, in bytes.
pub(crate) const OUTCOME_BYTES_MAX: usize = 16 << 10;

/// Retry-after time of a refusal because a key could not be claimed or its call did not run.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after the deadline for which a claimed attempt without a caller is followed; longer than an
/// agent lets it run.
const DETACHED_TIMEOUT: Duration = Duration::from_secs(40);

impl Entry {
    /// Claims the key of a request for an available server.
    pub(crate) fn claim_key(
        &mut self,
        now: Instant,
        mut request: OpenRequest,
        replaces: Option<u32>,
        out: &mut Vec<Output>,
    ) {
        let Some(holder) = self.choose_holder(now, &request) else {
            let refusal = Refusal::not_run(Reason::NoServer).with_retry_after(RETRY_AFTER);
            self.refuse(now, request, refusal, out);
            return;
        };
        request.stage = Stage::Claiming { holder, replaces };
        request.claim_started_at = now;
        // Until control responds, another call under the key may run or have run.
        request.run_status = RunStatus::Unknown;
        self.send_claim(now, request, out);
    }

    /// Sends the current claim request to the presumed leader.
    fn send_claim(&mut self, now: Instant, mut request: OpenRequest, out: &mut Vec<Output>) {
        request.next_retry = now + RESEND_INTERVAL;
        let claim_request = build_claim_request(&request);
        let address = self.leader_address();
        self.insert_request(request);
        if let (Some(to), Some(claim_request)) = (address, claim_request) {
            out.push(Output::Send {
                to,
                message: Message::ClaimRequest(claim_request),
            });
        }
    }

    /// Address of the presumed leader.
    pub(crate) fn leader_address(&self) -> Option<SocketAddr> {
        let control_addresses = &self.options.control_addresses;
        control_addresses
            .get(self.leader_index % control_addresses.len().max(1))
            .copied()
    }

    /// Processes control's response to a claim request.
    pub(crate) fn handle_claim_response(
        &mut self,
        now: Instant,
        response: ClaimResponse,
        out: &mut Vec<Output>,
    ) {
        if let ClaimResult::NotLeader { leader } = &response.result {
            self.update_leader(*leader);
        }
        if !self.owns(&response.request) {
            return;
        }
        let Some(request) = self.remove_request(response.request.number) else {
            return;
        };
        let Stage::Claiming { replaces, .. } = request.stage else {
            self.insert_request(request);
            return;
        };
        match response.result {
            // A late response to an earlier request, granting a claim that has since been replaced.
            ClaimResult::Granted { claim, .. } if replaces >= Some(claim) => {
                self.insert_request(request)
            }
            ClaimResult::Granted { claim, .. } if request.ticket.is_none() => {
                // The caller is gone, and nothing was dispatched under this claim.
                self.settle_claim(&request, claim, ClaimOutcome::NotRun, out);
            }
            ClaimResult::Granted { claim, holder } => {
                let mut request = request;
                request.run_status = RunStatus::No;
                out.push(key_event(Code::KeyClaimed, &request));
                self.start_attempt(now, request, holder, Some(claim), out);
            }
            ClaimResult::Held { claim, holder } => {
                self.probe_holder(now, request, claim, holder, out)
            }
            ClaimResult::Settled(outcome) => self.respond_with_outcome(now, request, outcome, out),
            // The key was claimed for a different call, so this one never ran.
            ClaimResult::KeyReused => self.refuse_unclaimed(now, request, Reason::KeyReused, out),
            ClaimResult::Expired => {
                self.refuse(now, request, Refusal::may_have_run(Reason::KeyExpired), out);
            }
            ClaimResult::TooManyOpen => self.refuse_unclaimed(now, request, Reason::Overload, out),
            // The caller must send a key with a valid date.
            ClaimResult::DateInFuture | ClaimResult::TooManyUndated => {
                self.refuse_unclaimed(now, request, Reason::Malformed, out);
            }
            ClaimResult::NotLeader { leader: Some(_) } => self.send_claim(now, request, out),
            ClaimResult::NotLeader { leader: None } => self.insert_request(request),
        }
    }

    /// Refuses a call that was never granted a claim on its key.
    fn refuse_unclaimed(
        &mut self,
        now: Instant,
        mut request: OpenRequest,
        reason: Reason,
        out: &mut Vec<Output>,
    ) {
        request.run_status = RunStatus::No;
        let refusal = match reason {
            Reason::Overload => Refusal::not_run(reason).with_retry_after(RETRY_AFTER),
            _ => Refusal::not_run(reason),
        };
        self.refuse(now, request, refusal, out);
    }

    fn update_leader(&mut self, leader: Option<SocketAddr>) {
        let control_addresses = &self.options.control_addresses;
        let index = leader.and_then(|leader| {
            control_addresses
                .iter()
                .position(|address| *address == leader)
        });
        match index {
            Some(index) => self.leader_index = index,
            None => self.leader_index += 1,
        }
    }

    /// Probes the agent that holds the claim on a key.
    pub(crate) fn probe_holder(
        &mut self,
        now: Instant,
        mut request: OpenRequest,
        claim: u32,
        holder: Holder,
        out: &mut Vec<Output>,
    ) {
        let to = holder.address;
        let probe = build_probe(&request, claim, &holder);
        request.stage = Stage::Probing { claim, holder };
        request.run_status = RunStatus::Unknown;
        request.next_retry = now + RESEND_INTERVAL;
        self.insert_request(request);
        if let Some(probe) = probe {
            out.push(Output::Send {
                to,
                message: Message::Probe(probe),
            });
        }
    }

    /// Processes an agent's response to a probe.
    pub(crate) fn handle_probe_response(
        &mut self,
        now: Instant,
        response: ProbeResponse,
        out: &mut Vec<Output>,
    ) {
        if !self.owns(&response.request) {
            return;
        }
        let Some(request) = self.remove_request(response.request.number) else {
            return;
        };
        // A late response about an earlier claim must not lead to the replacement of the current
        // one.
        let claim = match request.stage {
            Stage::Probing { claim, .. } if claim == response.claim => claim,
            _ => {
                self.insert_request(request);
                return;
            }
        };
        match response.status {
            // No caller is waiting for another attempt.
            KeyStatus::Sealed if request.ticket.is_none() => {}
            KeyStatus::Sealed => {
                out.push(key_event(Code::KeySealed, &request));
                self.claim_key(now, request, Some(claim), out);
            }
            KeyStatus::Running => self.insert_request(request),
            KeyStatus::Done(outcome) => {
                self.settle_claim(&request, claim, outcome.clone(), out);
                self.respond_with_outcome(now, request, outcome, out);
            }
            KeyStatus::Unknown => {
                self.refuse(
                    now,
                    request,
                    Refusal::may_have_run(Reason::OutcomeUnknown),
                    out,
                );
            }
        }
    }

    /// Responds to a request whose key has a stored outcome.
    fn respond_with_outcome(
        &mut self,
        now: Instant,
        mut request: OpenRequest,
        outcome: ClaimOutcome,
        out: &mut Vec<Output>,
    ) {
        match outcome {
            ClaimOutcome::Answered { body, .. } if request.response_started => {
                self.complete_stream(now, &mut request, &body, out);
            }
            ClaimOutcome::Answered { head, body } => {
                self.deliver(now, &mut request, head, body, out)
            }
            ClaimOutcome::ResponseLost => {
                self.refuse(
                    now,
                    request,
                    Refusal::may_have_run(Reason::OutcomeUnknown),
                    out,
                );
            }
            ClaimOutcome::NotRun => {
                request.run_status = RunStatus::No;
                let refusal = Refusal::not_run(Reason::ServerFailed).with_retry_after(RETRY_AFTER);
                self.refuse(now, request, refusal, out);
            }
        }
    }

    /// Forwards the part of the stored response that the caller of an interrupted stream doesn't
    /// have yet.
    fn complete_stream(
        &mut self,
        now: Instant,
        request: &mut OpenRequest,
        body: &[u8],
        out: &mut Vec<Output>,
    ) {
        let rest = body.get(request.bytes_forwarded..).unwrap_or_default();
        if let (Some(ticket), false) = (request.ticket, rest.is_empty()) {
            let data = rest.to_vec();
            out.push(Output::StreamData { ticket, data });
        }
        self.finish_stream(now, request, out);
    }

    /// Sends the outcome of a claim to control, to be stored.
    pub(crate) fn settle_claim(
        &mut self,
        request: &OpenRequest,
        claim: u32,
        outcome: ClaimOutcome,
        out: &mut Vec<Output>,
    ) {
        let (Some(team_key), Some(to)) = (request.team_key(), self.leader_address()) else {
            return;
        };
        let action = ClaimAction::Settle { claim, outcome };
        let claim_request = ClaimRequest {
            request: request.id.clone(),
            team_key,
            action,
        };
        out.push(Output::Send {
            to,
            message: Message::ClaimRequest(claim_request),
        });
    }

    /// The outcome to store for a response.
    pub(crate) fn claim_outcome(head: &ResponseHead, body: &[u8]) -> ClaimOutcome {
        if body.len() > OUTCOME_BYTES_MAX {
            return ClaimOutcome::ResponseLost;
        }
        ClaimOutcome::Answered {
            head: head.clone(),
            body: body.to_vec(),
        }
    }

    /// Keeps a claimed request open after its caller has left or was refused, if its claim must
    /// still be released or its outcome stored.
    pub(crate) fn follow_detached(
        &mut self,
        now: Instant,
        mut request: OpenRequest,
        out: &mut Vec<Output>,
    ) {
        match &request.stage {
            // Waits for the response to the unused claim, to release it.
            Stage::Claiming { .. } => self.insert_request(request),
            // Follows an attempt that may run to its end, so that its outcome is stored for a retry
            // of the caller.
            Stage::Running { .. } => {
                request.next_retry = request.deadline.max(now) + DETACHED_TIMEOUT;
                self.insert_request(request);
            }
            Stage::Received | Stage::Probing { .. } => self.cancel_attempt(now, &request, out),
        }
    }

    /// Resends the pending message of a request, or drops the request.
    pub(crate) fn retry_or_drop(
        &mut self,
        now: Instant,
        mut request: OpenRequest,
        out: &mut Vec<Output>,
    ) {
        match request.stage.clone() {
            Stage::Claiming { .. } => self.retry_claim(now, request, out),
            Stage::Probing { .. } if request.ticket.is_none() && now >= request.deadline => {}
            Stage::Probing { claim, holder } => self.probe_holder(now, request, claim, holder, out),
            Stage::Running { .. } if request.ticket.is_none() => {
                self.cancel_attempt(now, &request, out)
            }
            Stage::Received | Stage::Running { .. } => {
                request.next_retry = Instant::NEVER;
                self.insert_request(request);
            }
        }
    }

    fn retry_claim(&mut self, now: Instant, request: OpenRequest, out: &mut Vec<Output>) {
        if now.since(request.claim_started_at) >= self.options.claim_timeout {
            let refusal = Refusal::not_run(Reason::NoControl).with_retry_after(RETRY_AFTER);
            self.refuse(now, request, refusal, out);
            return;
        }
        // The presumed leader did not respond; another replica may know the leader.
        self.leader_index += 1;
        self.send_claim(now, request, out);
    }
}

fn build_claim_request(request: &OpenRequest) -> Option<ClaimRequest> {
    let Stage::Claiming { holder, replaces } = &request.stage else {
        return None;
    };
    let action = ClaimAction::Claim {
        call_digest: request.digest,
        holder: holder.clone(),
        replaces: *replaces,
    };
    Some(ClaimRequest {
        request: request.id.clone(),
        team_key: request.team_key()?,
        action,
    })
}

fn build_probe(request: &OpenRequest, claim: u32, holder: &Holder) -> Option<Probe> {
    Some(Probe {
        request: request.id.clone(),
        team_key: request.team_key()?,
        incarnation: holder.incarnation,
        claim,
    })
}

fn key_event(code: Code, request: &OpenRequest) -> Output {
    let event = Event::new(
        code,
        request
            .class
            .idempotency_key
            .as_ref()
            .map_or("", |key| key.as_str()),
    );
    Output::Event(event.request(&request.id).team(&request.team))
}
