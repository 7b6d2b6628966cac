//! Leads attempts: dispatch, the agent's answer, retry and resumption.

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{AttemptId, RequestId};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::claim::Holder;
use eelgrassdyke_core::wire::directory::ServerLoad;
use eelgrassdyke_core::wire::dispatch;
use eelgrassdyke_core::wire::dispatch::{Credit, Dispatch, Frame, ResponseHead};
use eelgrassdyke_core::wire::refusal::{Reason, Refusal, RunStatus};
use eelgrassdyke_core::wire::report::UsageCounts;

use crate::entry::Entry;
use crate::flight::{Flight, Stage};
use crate::io::Output;
use crate::once::OUTCOME_BYTES_MAX;
use crate::retry::Budget;
use crate::route::{Query, Verdict};

/// When a caller may come back after servers failed its request.
const COME_BACK_MS: u64 = 1000;

/// Header fields of a call that concern this hop only and are not passed on.
const HOP_FIELDS: [&str; 10] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "request-timeout",
    "te",
    "transfer-encoding",
    "upgrade",
];

impl Entry {
    /// Whether this life of this entry numbered the request.
    pub(crate) fn owns(&self, request: &RequestId) -> bool {
        request.entry == self.me.process && request.incarnation == self.me.incarnation
    }

    /// Chooses a server for the next attempt of a flight.
    pub(crate) fn choose(&mut self, now: Instant, flight: &Flight) -> Option<Holder> {
        let query = Query {
            service: &flight.class.service,
            tried: &flight.tried,
            blocks: &flight.class.blocks,
        };
        let server = self.router.choose(now, query, &mut self.rng)?;
        let row = &self.follower.servers().get(&server)?.info;
        Some(Holder {
            server,
            incarnation: row.incarnation,
            address: row.address,
        })
    }

    /// Dispatches an idempotent flight to a server that it has not tried.
    pub(crate) fn dispatch(
        &mut self,
        now: Instant,
        flight: Flight,
        failure: Option<Refusal>,
        out: &mut Vec<Output>,
    ) {
        let Some(holder) = self.choose(now, &flight) else {
            let none = Refusal::not_run(Reason::NoServer);
            let mut refusal = failure.unwrap_or(none);
            refusal.retry_after_ms.get_or_insert(COME_BACK_MS);
            self.refuse(now, flight, refusal, out);
            return;
        };
        self.start_attempt(now, flight, holder, None, out);
    }

    /// Dispatches a flight to one agent life, under the claim that names it if it has one.
    pub(crate) fn start_attempt(
        &mut self,
        now: Instant,
        mut flight: Flight,
        holder: Holder,
        claim: Option<u32>,
        out: &mut Vec<Output>,
    ) {
        flight.attempts += 1;
        let attempt = AttemptId {
            request: flight.request.clone(),
            number: flight.attempts,
        };
        let dispatch = Dispatch {
            attempt: attempt.clone(),
            server: holder.server.clone(),
            incarnation: holder.incarnation,
            team: flight.team.clone(),
            service: flight.class.service.clone(),
            claim: claim_of(&flight, claim),
            time_left_us: flight.deadline.since(now).as_micros() as u64,
            priority: flight.class.priority,
            expected_tokens: flight.class.tokens,
            call: passed_call(&flight),
            resume_after: flight.passed,
        };
        let blocks = &flight.class.blocks;
        self.router.started(now, &holder.server, blocks);
        self.credits.open(&flight.account(), flight.class.tokens);
        out.push(Output::Event(
            Event::new(Code::RequestDispatched, attempt.number.to_string())
                .request(&flight.request)
                .team(&flight.team)
                .server(&holder.server),
        ));
        flight.stage = Stage::Running {
            attempt,
            server: holder.server,
            address: holder.address,
            incarnation: holder.incarnation,
            claim,
        };
        flight.ask_again = Instant::NEVER;
        self.land(flight);
        out.push(Output::Dispatch {
            address: holder.address,
            dispatch: Box::new(dispatch),
        });
    }

    /// Takes in a part of an agent's answer.
    pub(crate) fn take_frame(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        frame: Frame,
        out: &mut Vec<Output>,
    ) {
        let Some(flight) = self.lift_attempt(attempt, out) else {
            return;
        };
        match frame {
            Frame::Head(head) => self.take_head(now, flight, head, out),
            Frame::Data(data) => self.take_data(now, flight, data, out),
            Frame::End {
                tokens,
                load,
                credit,
                cached_tokens: cached,
                ..
            } => {
                self.take_load(now, &flight, load, credit);
                if let (Stage::Running { server, .. }, Some(cached)) = (&flight.stage, cached) {
                    self.router.verify(server, &flight.class.blocks, cached);
                }
                self.finish(now, flight, tokens, out);
            }
            Frame::Refused {
                refusal,
                load,
                credit,
            } => {
                self.take_load(now, &flight, load, credit);
                self.take_refusal(now, flight, refusal, out);
            }
            Frame::Failed { .. } => {
                self.end_attempt(now, &flight, Verdict::Failed);
                self.recover(now, flight, true, out);
            }
        }
    }

    /// Takes in that the exchange with an agent broke off.
    pub(crate) fn fail_attempt(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        sent: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(flight) = self.lift_attempt(attempt, out) else {
            return;
        };
        self.end_attempt(now, &flight, Verdict::Failed);
        self.recover(now, flight, sent, out);
    }

    /// Takes in what an agent's last frame says of its load and of the team's credit.
    fn take_load(&mut self, now: Instant, flight: &Flight, load: ServerLoad, credit: Credit) {
        if let Stage::Running { server, .. } = &flight.stage {
            self.router.report(server, load, now);
        }
        let servers = self.router.servers(&flight.class.service);
        self.credits.grant(now, &flight.account(), servers, credit);
    }

    /// Lifts the flight that an answer belongs to; a late or foreign answer is counted and dropped.
    fn lift_attempt(&mut self, attempt: &AttemptId, out: &mut Vec<Output>) -> Option<Flight> {
        let known = self.owns(&attempt.request)
            && self.flights.get(&attempt.request.number).is_some_and(
                |flight| matches!(&flight.stage, Stage::Running { attempt: a, .. } if a == attempt),
            );
        if known {
            return self.lift(attempt.request.number);
        }
        let account = match self.owns(&attempt.request) {
            true => self.accounts.get(&attempt.request.number).cloned(),
            false => None,
        };
        if let Some((team, service)) = account {
            self.books.counts_mut(&team, &service).dropped += 1;
        }
        let event = Event::new(Code::AnswerDropped, attempt.to_string());
        out.push(Output::Event(event.request(&attempt.request)));
        None
    }

    fn take_head(
        &mut self,
        now: Instant,
        mut flight: Flight,
        head: ResponseHead,
        out: &mut Vec<Output>,
    ) {
        let streams = head.status == 200 && is_event_stream(&head);
        let unfit = match flight.begun {
            // A stream goes on only with more of the stream.
            true => !streams,
            false => head.status >= 500 && flight.class.idempotent && self.may_retry(now, &flight),
        };
        if unfit {
            self.break_off(now, &flight, Verdict::Failed, out);
            self.recover(now, flight, true, out);
            return;
        }
        flight.head = Some(head.clone());
        if flight.class.stream && streams && !flight.begun {
            flight.begun = true;
            if let Some(ticket) = flight.ticket {
                out.push(Output::Head { ticket, head });
            }
        }
        self.land(flight);
    }

    fn take_data(
        &mut self,
        now: Instant,
        mut flight: Flight,
        data: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        if flight.begun {
            // A claimed stream is kept as its outcome too, up to what is kept at all.
            if !flight.class.idempotent && flight.body.len() <= OUTCOME_BYTES_MAX {
                flight.body.extend_from_slice(&data);
            }
            self.pass_event(now, &mut flight, data, out);
            self.land(flight);
            return;
        }
        if flight.body.len() + data.len() <= self.options.body_max {
            flight.body.extend_from_slice(&data);
            self.land(flight);
            return;
        }
        self.cancel(now, &flight, out);
        let refusal = Refusal {
            reason: Reason::ServerFailed,
            run: RunStatus::Yes,
            retry_after_ms: None,
        };
        self.refuse(now, flight, refusal, out);
    }

    /// Passes an event of a stream on to the caller.
    fn pass_event(
        &mut self,
        now: Instant,
        flight: &mut Flight,
        data: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        let Some(ticket) = flight.ticket else {
            return;
        };
        flight.passed_bytes += data.len();
        flight.done |= is_done(&data);
        if !flight.done {
            let row = self.books.counts_mut(&flight.team, &flight.class.service);
            row.tokens += 1;
            if flight.passed == 0 {
                let micros = now.since(flight.since).as_micros() as u64;
                UsageCounts::observe(&mut row.first_byte_us, micros);
            }
            flight.passed += 1;
            flight.ran = RunStatus::Yes;
        }
        out.push(Output::Data { ticket, data });
    }

    /// Ends a flight whose answer is whole.
    fn finish(&mut self, now: Instant, mut flight: Flight, tokens: u64, out: &mut Vec<Output>) {
        self.end_attempt(now, &flight, Verdict::Answered);
        let body = std::mem::take(&mut flight.body);
        let head = flight.head.clone().unwrap_or(ResponseHead {
            status: 502,
            headers: Vec::new(),
        });
        if let Stage::Running {
            claim: Some(claim), ..
        } = flight.stage
        {
            self.settle(&flight, claim, Self::outcome(&head, &body), out);
        }
        if flight.begun {
            self.finish_stream(now, &mut flight, out);
            return;
        }
        if flight.ticket.is_some() {
            self.books
                .counts_mut(&flight.team, &flight.class.service)
                .tokens += tokens;
        }
        self.deliver(now, &mut flight, head, body, out);
    }

    /// Takes in that an agent refused an attempt.
    fn take_refusal(
        &mut self,
        now: Instant,
        mut flight: Flight,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        let verdict = match refusal.reason {
            Reason::ServerFailed => Verdict::Failed,
            _ => Verdict::Unknown,
        };
        self.end_attempt(now, &flight, verdict);
        if refusal.run != RunStatus::No {
            self.recover(now, flight, true, out);
            return;
        }
        let Stage::Running { server, claim, .. } = flight.stage.clone() else {
            return;
        };
        flight.tried.push(server);
        let hopeless = matches!(refusal.reason, Reason::Deadline | Reason::ShareExceeded);
        if hopeless || !self.may_retry(now, &flight) || !self.spend_retry(&flight) {
            self.refuse(now, flight, refusal, out);
            return;
        }
        out.push(retry_event(
            Code::RequestRetried,
            &flight,
            refusal.reason.as_str(),
        ));
        match claim {
            Some(claim) => self.claim(now, flight, Some(claim), out),
            None => self.dispatch(now, flight, Some(refusal), out),
        }
    }

    /// Deals with an attempt that broke off: retries, resumes, asks, or gives up.
    fn recover(&mut self, now: Instant, mut flight: Flight, sent: bool, out: &mut Vec<Output>) {
        let Stage::Running {
            server,
            address,
            incarnation,
            claim,
            ..
        } = flight.stage.clone()
        else {
            return;
        };
        if let Some(claim) = claim {
            // The agent alone knows whether the dispatch arrived.
            let holder = Holder {
                server,
                incarnation,
                address,
            };
            flight.head = None;
            flight.body.clear();
            self.probe(now, flight, claim, holder, out);
            return;
        }
        if flight.done {
            // Nothing is missing but the end.
            self.finish_stream(now, &mut flight, out);
            return;
        }
        flight.tried.push(server);
        let run = match sent {
            true => RunStatus::Unknown,
            false => RunStatus::No,
        };
        if sent && flight.ran == RunStatus::No {
            flight.ran = RunStatus::Unknown;
        }
        let refusal = Refusal {
            reason: Reason::ServerFailed,
            run,
            retry_after_ms: Some(COME_BACK_MS),
        };
        if flight.ticket.is_none() || !self.may_retry(now, &flight) || !self.spend_retry(&flight) {
            self.refuse(now, flight, refusal, out);
            return;
        }
        let code = match flight.begun {
            true => Code::RequestResumed,
            false => Code::RequestRetried,
        };
        out.push(retry_event(code, &flight, "server failed"));
        flight.body.clear();
        self.dispatch(now, flight, Some(refusal), out);
    }

    /// Whether another attempt may still bring an answer.
    fn may_retry(&self, now: Instant, flight: &Flight) -> bool {
        if now >= flight.deadline || flight.attempts >= self.options.attempts {
            return false;
        }
        let budget = self.budgets.get(&flight.class.service);
        budget.is_some_and(Budget::is_open)
    }

    /// Takes a retry out of the service's budget.
    fn spend_retry(&mut self, flight: &Flight) -> bool {
        let budget = self.budgets.get_mut(&flight.class.service);
        budget.is_some_and(Budget::spend)
    }

    /// Counts the present attempt as ended.
    fn end_attempt(&mut self, now: Instant, flight: &Flight, verdict: Verdict) {
        if let Stage::Running { server, .. } = &flight.stage {
            self.router.ended(now, server, verdict);
            let tokens = flight.class.tokens;
            self.credits.close(now, &flight.account(), tokens);
        }
    }

    /// Breaks off what a flight that is given up still has running.
    pub(crate) fn cancel(&mut self, now: Instant, flight: &Flight, out: &mut Vec<Output>) {
        self.break_off(now, flight, Verdict::Unknown, out);
    }

    fn break_off(
        &mut self,
        now: Instant,
        flight: &Flight,
        verdict: Verdict,
        out: &mut Vec<Output>,
    ) {
        if let Stage::Running { attempt, .. } = &flight.stage {
            out.push(Output::Cancel {
                attempt: attempt.clone(),
            });
            self.end_attempt(now, flight, verdict);
        }
    }
}

fn is_event_stream(head: &ResponseHead) -> bool {
    let kind = head.headers.iter().find(|(name, _)| name == "content-type");
    kind.is_some_and(|(_, value)| value.starts_with("text/event-stream"))
}

/// Whether an event is the one that ends a whole stream.
fn is_done(event: &[u8]) -> bool {
    let data = event.strip_prefix(b"data:").unwrap_or_default();
    data.trim_ascii() == b"[DONE]"
}

fn claim_of(flight: &Flight, number: Option<u32>) -> Option<dispatch::KeyClaim> {
    let key = flight.class.key.clone()?;
    Some(dispatch::KeyClaim {
        key,
        number: number?,
    })
}

/// The call as the back end gets it.
fn passed_call(flight: &Flight) -> dispatch::Call {
    let mut headers = Vec::new();
    for (name, value) in &flight.call.headers {
        if HOP_FIELDS.contains(&name.as_str()) {
            continue;
        }
        headers.push((name.clone(), value.clone()));
    }
    dispatch::Call {
        method: flight.call.method.clone(),
        path: flight.class.path.clone(),
        headers,
        body: flight.call.body.clone(),
    }
}

fn retry_event(code: Code, flight: &Flight, detail: &str) -> Output {
    Output::Event(
        Event::new(code, detail)
            .request(&flight.request)
            .team(&flight.team),
    )
}
