//! Leads attempts: dispatch, the agent's answer, retry and resumption.

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Attempt, Request, Server};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::claim::Holder;
use eelgrassdyke_core::wire::dispatch;
use eelgrassdyke_core::wire::dispatch::{Dispatch, Frame, Head};
use eelgrassdyke_core::wire::refusal::{Reason, Refusal, Run};
use eelgrassdyke_core::wire::report::Counts;

use crate::entry::Entry;
use crate::flight::{Flight, Stage};
use crate::io::Output;

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
    pub(crate) fn owns(&self, request: &Request) -> bool {
        request.entry == self.me.process && request.incarnation == self.me.incarnation
    }

    /// Chooses a server for the next attempt of a flight.
    pub(crate) fn choose(&mut self, flight: &Flight) -> Option<Server> {
        self.router.choose(
            self.follower.servers(),
            &flight.class.service,
            &self.options.data_centre,
            &flight.tried,
            &mut self.rng,
        )
    }

    /// Dispatches an idempotent flight to a server that it has not tried.
    pub(crate) fn dispatch(
        &mut self,
        now: Instant,
        flight: Flight,
        failure: Option<Refusal>,
        out: &mut Vec<Output>,
    ) {
        let Some(server) = self.choose(&flight) else {
            let none = Refusal::not_run(Reason::NoServer);
            let mut refusal = failure.unwrap_or(none);
            refusal.retry_after_ms.get_or_insert(COME_BACK_MS);
            self.refuse(now, flight, refusal, out);
            return;
        };
        let row = &self.follower.servers()[&server].row;
        let holder = Holder {
            server,
            incarnation: row.incarnation,
            address: row.address,
        };
        self.start_attempt(now, flight, holder, None, out);
    }

    /// Dispatches a claimed flight to the agent life that its claim names.
    pub(crate) fn dispatch_claimed(
        &mut self,
        now: Instant,
        flight: Flight,
        holder: Holder,
        claim: u32,
        out: &mut Vec<Output>,
    ) {
        self.start_attempt(now, flight, holder, Some(claim), out);
    }

    fn start_attempt(
        &mut self,
        now: Instant,
        mut flight: Flight,
        holder: Holder,
        claim: Option<u32>,
        out: &mut Vec<Output>,
    ) {
        flight.attempts += 1;
        let attempt = Attempt {
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
            left_us: flight.deadline.since(now).as_micros() as u64,
            priority: flight.class.priority,
            tokens: flight.class.tokens,
            call: passed_call(&flight),
            resume_after: flight.passed,
        };
        self.router.started(&holder.server);
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
        attempt: &Attempt,
        frame: Frame,
        out: &mut Vec<Output>,
    ) {
        let Some(mut flight) = self.lift_attempt(attempt, out) else {
            return;
        };
        match frame {
            Frame::Head(head) => {
                self.take_head(&mut flight, head, out);
                self.land(flight);
            }
            Frame::Data(data) => {
                self.take_data(now, &mut flight, data, out);
                self.land(flight);
            }
            Frame::End { tokens, .. } => self.finish(now, flight, tokens, out),
            Frame::Refused { refusal, .. } => self.take_refusal(now, flight, refusal, out),
            Frame::Broken { .. } => {
                self.end_attempt(&flight);
                self.recover(now, flight, true, out);
            }
        }
    }

    /// Takes in that the exchange with an agent broke off.
    pub(crate) fn fail_attempt(
        &mut self,
        now: Instant,
        attempt: &Attempt,
        sent: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(flight) = self.lift_attempt(attempt, out) else {
            return;
        };
        self.end_attempt(&flight);
        self.recover(now, flight, sent, out);
    }

    /// Lifts the flight that an answer belongs to; a late or foreign answer is counted and dropped.
    fn lift_attempt(&mut self, attempt: &Attempt, out: &mut Vec<Output>) -> Option<Flight> {
        let known = self.owns(&attempt.request)
            && self.flights.get(&attempt.request.number).is_some_and(
                |flight| matches!(&flight.stage, Stage::Running { attempt: a, .. } if a == attempt),
            );
        if known {
            return self.lift(attempt.request.number);
        }
        let event = Event::new(Code::AnswerDropped, attempt.to_string());
        out.push(Output::Event(event.request(&attempt.request)));
        None
    }

    fn take_head(&mut self, flight: &mut Flight, head: Head, out: &mut Vec<Output>) {
        flight.head = Some(head.clone());
        if !flight.class.stream || flight.begun || head.status != 200 {
            return;
        }
        let Some(ticket) = flight.ticket else {
            return;
        };
        flight.begun = true;
        out.push(Output::Head { ticket, head });
    }

    fn take_data(
        &mut self,
        now: Instant,
        flight: &mut Flight,
        data: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        if !flight.begun {
            flight.body.extend_from_slice(&data);
            return;
        }
        let Some(ticket) = flight.ticket else {
            return;
        };
        let row = self.books.row(&flight.team, &flight.class.service);
        row.tokens += 1;
        if flight.passed == 0 {
            Counts::observe(
                &mut row.first_us,
                now.since(flight.since).as_micros() as u64,
            );
        }
        flight.passed += 1;
        out.push(Output::Data { ticket, data });
    }

    /// Ends a flight whose answer is whole.
    fn finish(&mut self, now: Instant, mut flight: Flight, tokens: u64, out: &mut Vec<Output>) {
        self.end_attempt(&flight);
        if flight.begun {
            self.finish_stream(now, &mut flight, out);
            return;
        }
        let body = std::mem::take(&mut flight.body);
        let head = flight.head.clone().unwrap_or(Head {
            status: 502,
            headers: Vec::new(),
        });
        if let Stage::Running {
            claim: Some(claim), ..
        } = flight.stage
        {
            self.settle(&flight, claim, Self::outcome(&head, &body), out);
        }
        if flight.ticket.is_some() {
            self.books.row(&flight.team, &flight.class.service).tokens += tokens;
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
        self.end_attempt(&flight);
        if refusal.run != Run::No {
            self.recover(now, flight, true, out);
            return;
        }
        let Stage::Running { server, claim, .. } = flight.stage.clone() else {
            return;
        };
        flight.tried.push(server);
        if !self.may_retry(now, &flight, &refusal) {
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
        flight.tried.push(server);
        let run = match sent {
            true => Run::Unknown,
            false => Run::No,
        };
        let refusal = Refusal {
            reason: Reason::ServerFailed,
            run,
            retry_after_ms: Some(COME_BACK_MS),
        };
        if flight.ticket.is_none() || !self.may_retry(now, &flight, &refusal) {
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

    /// Whether another attempt is worth its cost.
    fn may_retry(&mut self, now: Instant, flight: &Flight, refusal: &Refusal) -> bool {
        if now >= flight.deadline || flight.attempts >= self.options.attempts {
            return false;
        }
        if matches!(
            refusal.reason,
            Reason::Deadline | Reason::Share | Reason::KeyReused
        ) {
            return false;
        }
        let budget = self.budgets.get_mut(&flight.class.service);
        budget.is_some_and(|budget| budget.spend())
    }

    /// Counts the present attempt as ended.
    fn end_attempt(&mut self, flight: &Flight) {
        if let Stage::Running { server, .. } = &flight.stage {
            self.router.ended(server);
        }
    }

    /// Breaks off what a flight that is given up still has running.
    pub(crate) fn cancel(&mut self, _now: Instant, flight: &Flight, out: &mut Vec<Output>) {
        if let Stage::Running { attempt, .. } = &flight.stage {
            out.push(Output::Cancel {
                attempt: attempt.clone(),
            });
            self.end_attempt(flight);
        }
    }
}

fn claim_of(flight: &Flight, number: Option<u32>) -> Option<dispatch::Claim> {
    let key = flight.class.key.clone()?;
    Some(dispatch::Claim {
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
