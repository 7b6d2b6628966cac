//! Leads non-idempotent requests, so that each key runs at most once.
//!
//! The key is claimed in the replicated log for one agent life before anything is dispatched. A
//! request that finds the key held asks that agent what became of it: if the dispatch never
//! arrived, the agent seals the key and the claim may be replaced; if it runs, the request waits;
//! if it ran, the kept answer is given; if the agent's life is over, the outcome stays unknown.

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
use crate::flight::{Flight, Stage};
use crate::io::Output;

/// Time after which an unanswered question is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// Largest answer kept for a key's window, in bytes.
pub(crate) const OUTCOME_BYTES_MAX: usize = 16 << 10;

/// When a caller may come back whose key could not be claimed.
const RUNNING_AGAIN: Duration = Duration::from_secs(1);

/// Time after its deadline for which a claimed attempt without a caller is followed; longer than an
/// agent lets it run.
const LINGER: Duration = Duration::from_secs(40);

impl Entry {
    /// Claims the key of a flight for a server that is free.
    pub(crate) fn claim(
        &mut self,
        now: Instant,
        mut flight: Flight,
        replaces: Option<u32>,
        out: &mut Vec<Output>,
    ) {
        let Some(holder) = self.choose(now, &flight) else {
            let refusal = Refusal::not_run(Reason::NoServer).with_retry_after(RUNNING_AGAIN);
            self.refuse(now, flight, refusal, out);
            return;
        };
        flight.stage = Stage::Claiming { holder, replaces };
        flight.claiming_since = now;
        // Until control answers, another call under the key may have run or be running.
        flight.ran = RunStatus::Unknown;
        self.ask_control(now, flight, out);
    }

    /// Sends the present claim to the replica that is thought to lead.
    fn ask_control(&mut self, now: Instant, mut flight: Flight, out: &mut Vec<Output>) {
        flight.ask_again = now + ASK_AGAIN;
        let question = claim_question(&flight);
        let address = self.leader_address();
        self.land(flight);
        if let (Some(to), Some(ask)) = (address, question) {
            out.push(Output::Send {
                to,
                message: Message::ClaimRequest(ask),
            });
        }
    }

    /// Where the replica listens that is thought to lead.
    pub(crate) fn leader_address(&self) -> Option<SocketAddr> {
        let control = &self.options.control;
        control.get(self.leader % control.len().max(1)).copied()
    }

    /// Takes in control's answer to a claim.
    pub(crate) fn take_claimed(
        &mut self,
        now: Instant,
        answer: ClaimResponse,
        out: &mut Vec<Output>,
    ) {
        if let ClaimResult::NotLeader { leader } = &answer.result {
            self.learn_leader(*leader);
        }
        if !self.owns(&answer.request) {
            return;
        }
        let Some(flight) = self.lift(answer.request.number) else {
            return;
        };
        let Stage::Claiming { replaces, .. } = flight.stage else {
            self.land(flight);
            return;
        };
        match answer.result {
            // A late answer to an earlier question grants a claim that has been replaced.
            ClaimResult::Granted { claim, .. } if replaces >= Some(claim) => self.land(flight),
            ClaimResult::Granted { claim, .. } if flight.ticket.is_none() => {
                // Nobody waits any more, and nothing was dispatched under this claim.
                self.settle(&flight, claim, ClaimOutcome::NotRun, out);
            }
            ClaimResult::Granted { claim, holder } => {
                let mut flight = flight;
                flight.ran = RunStatus::No;
                out.push(key_event(Code::KeyClaimed, &flight));
                self.start_attempt(now, flight, holder, Some(claim), out);
            }
            ClaimResult::Held { claim, holder } => self.probe(now, flight, claim, holder, out),
            ClaimResult::Settled(outcome) => self.conclude(now, flight, outcome, out),
            // The key belongs to another call, and this one ran nowhere.
            ClaimResult::KeyReused => self.refuse_unclaimed(now, flight, Reason::KeyReused, out),
            ClaimResult::Expired => {
                self.refuse(now, flight, Refusal::may_have_run(Reason::KeyExpired), out);
            }
            ClaimResult::TooManyOpen => self.refuse_unclaimed(now, flight, Reason::Overload, out),
            // The caller must send another kind of key.
            ClaimResult::DateInFuture | ClaimResult::TooManyUndated => {
                self.refuse_unclaimed(now, flight, Reason::Malformed, out);
            }
            ClaimResult::NotLeader { leader: Some(_) } => self.ask_control(now, flight, out),
            ClaimResult::NotLeader { leader: None } => self.land(flight),
        }
    }

    /// Refuses a call whose key control has never granted to it.
    fn refuse_unclaimed(
        &mut self,
        now: Instant,
        mut flight: Flight,
        reason: Reason,
        out: &mut Vec<Output>,
    ) {
        flight.ran = RunStatus::No;
        let refusal = match reason {
            Reason::Overload => Refusal::not_run(reason).with_retry_after(RUNNING_AGAIN),
            _ => Refusal::not_run(reason),
        };
        self.refuse(now, flight, refusal, out);
    }

    fn learn_leader(&mut self, leader: Option<SocketAddr>) {
        let known = leader.and_then(|a| self.options.control.iter().position(|c| *c == a));
        match known {
            Some(position) => self.leader = position,
            None => self.leader += 1,
        }
    }

    /// Asks an agent what became of a key.
    pub(crate) fn probe(
        &mut self,
        now: Instant,
        mut flight: Flight,
        claim: u32,
        holder: Holder,
        out: &mut Vec<Output>,
    ) {
        let to = holder.address;
        let question = probe_question(&flight, claim, &holder);
        flight.stage = Stage::Probing { claim, holder };
        flight.ran = RunStatus::Unknown;
        flight.ask_again = now + ASK_AGAIN;
        self.land(flight);
        if let Some(probe) = question {
            out.push(Output::Send {
                to,
                message: Message::Probe(probe),
            });
        }
    }

    /// Takes in an agent's answer about a key.
    pub(crate) fn take_probed(
        &mut self,
        now: Instant,
        answer: ProbeResponse,
        out: &mut Vec<Output>,
    ) {
        if !self.owns(&answer.request) {
            return;
        }
        let Some(flight) = self.lift(answer.request.number) else {
            return;
        };
        // A late answer about an earlier claim must not let the present one be replaced.
        let claim = match flight.stage {
            Stage::Probing { claim, .. } if claim == answer.claim => claim,
            _ => {
                self.land(flight);
                return;
            }
        };
        match answer.status {
            // Nobody waits for another try.
            KeyStatus::Sealed if flight.ticket.is_none() => {}
            KeyStatus::Sealed => {
                out.push(key_event(Code::KeySealed, &flight));
                self.claim(now, flight, Some(claim), out);
            }
            KeyStatus::Running => self.land(flight),
            KeyStatus::Done(outcome) => {
                self.settle(&flight, claim, outcome.clone(), out);
                self.conclude(now, flight, outcome, out);
            }
            KeyStatus::WrongIncarnation => {
                self.refuse(
                    now,
                    flight,
                    Refusal::may_have_run(Reason::OutcomeUnknown),
                    out,
                );
            }
        }
    }

    /// Answers a request whose key is settled.
    fn conclude(
        &mut self,
        now: Instant,
        mut flight: Flight,
        outcome: ClaimOutcome,
        out: &mut Vec<Output>,
    ) {
        match outcome {
            ClaimOutcome::Answered { body, .. } if flight.begun => {
                self.complete_stream(now, &mut flight, &body, out);
            }
            ClaimOutcome::Answered { head, body } => {
                self.deliver(now, &mut flight, head, body, out)
            }
            ClaimOutcome::ResponseLost => {
                self.refuse(
                    now,
                    flight,
                    Refusal::may_have_run(Reason::OutcomeUnknown),
                    out,
                );
            }
            ClaimOutcome::NotRun => {
                flight.ran = RunStatus::No;
                let refusal =
                    Refusal::not_run(Reason::ServerFailed).with_retry_after(RUNNING_AGAIN);
                self.refuse(now, flight, refusal, out);
            }
        }
    }

    /// Passes on what the kept answer holds beyond what the caller of a broken stream has.
    fn complete_stream(
        &mut self,
        now: Instant,
        flight: &mut Flight,
        body: &[u8],
        out: &mut Vec<Output>,
    ) {
        let rest = body.get(flight.passed_bytes..).unwrap_or_default();
        if let (Some(ticket), false) = (flight.ticket, rest.is_empty()) {
            let data = rest.to_vec();
            out.push(Output::Data { ticket, data });
        }
        self.finish_stream(now, flight, out);
    }

    /// Stores the outcome of a claim with control.
    pub(crate) fn settle(
        &mut self,
        flight: &Flight,
        claim: u32,
        outcome: ClaimOutcome,
        out: &mut Vec<Output>,
    ) {
        let (Some(name), Some(to)) = (flight.name(), self.leader_address()) else {
            return;
        };
        let step = ClaimAction::Settle { claim, outcome };
        let ask = ClaimRequest {
            request: flight.request.clone(),
            team_key: name,
            action: step,
        };
        out.push(Output::Send {
            to,
            message: Message::ClaimRequest(ask),
        });
    }

    /// The outcome to keep of an answer.
    pub(crate) fn outcome(head: &ResponseHead, body: &[u8]) -> ClaimOutcome {
        if body.len() > OUTCOME_BYTES_MAX {
            return ClaimOutcome::ResponseLost;
        }
        ClaimOutcome::Answered {
            head: head.clone(),
            body: body.to_vec(),
        }
    }

    /// Keeps a claimed flight that its caller has left or been refused, as far as needed.
    pub(crate) fn linger(&mut self, now: Instant, mut flight: Flight, out: &mut Vec<Output>) {
        match &flight.stage {
            // The answer to a claim that won't be used is awaited, to give the claim back.
            Stage::Claiming { .. } => self.land(flight),
            // What may run is seen to its end, so that its outcome is kept for a resend.
            Stage::Running { .. } => {
                flight.ask_again = flight.deadline.max(now) + LINGER;
                self.land(flight);
            }
            Stage::Queued | Stage::Probing { .. } => self.cancel(now, &flight, out),
        }
    }

    /// Asks the present question of a flight again, or gives up on it.
    pub(crate) fn ask_again(&mut self, now: Instant, mut flight: Flight, out: &mut Vec<Output>) {
        match flight.stage.clone() {
            Stage::Claiming { .. } => self.claim_again(now, flight, out),
            Stage::Probing { .. } if flight.ticket.is_none() && now >= flight.deadline => {}
            Stage::Probing { claim, holder } => self.probe(now, flight, claim, holder, out),
            Stage::Running { .. } if flight.ticket.is_none() => self.cancel(now, &flight, out),
            Stage::Queued | Stage::Running { .. } => {
                flight.ask_again = Instant::NEVER;
                self.land(flight);
            }
        }
    }

    fn claim_again(&mut self, now: Instant, flight: Flight, out: &mut Vec<Output>) {
        if now.since(flight.claiming_since) >= self.options.claim_timeout {
            let refusal = Refusal::not_run(Reason::NoControl).with_retry_after(RUNNING_AGAIN);
            self.refuse(now, flight, refusal, out);
            return;
        }
        // No answer: another replica may know more.
        self.leader += 1;
        self.ask_control(now, flight, out);
    }
}

fn claim_question(flight: &Flight) -> Option<ClaimRequest> {
    let Stage::Claiming { holder, replaces } = &flight.stage else {
        return None;
    };
    let step = ClaimAction::Claim {
        call_digest: flight.digest,
        holder: holder.clone(),
        replaces: *replaces,
    };
    Some(ClaimRequest {
        request: flight.request.clone(),
        team_key: flight.name()?,
        action: step,
    })
}

fn probe_question(flight: &Flight, claim: u32, holder: &Holder) -> Option<Probe> {
    Some(Probe {
        request: flight.request.clone(),
        team_key: flight.name()?,
        incarnation: holder.incarnation,
        claim,
    })
}

fn key_event(code: Code, flight: &Flight) -> Output {
    let event = Event::new(
        code,
        flight.class.key.as_ref().map_or("", |key| key.as_str()),
    );
    Output::Event(event.request(&flight.request).team(&flight.team))
}
