//! The direct path of an entry role: callers on one side, back ends on the other.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::Ticket;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::refusal::Refusal;
use eelgrassdyke_entry::direct::{
    AttemptOutcome, AttemptSpec, Direct, Input, NotRunReason, Output,
};
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, StatusCode};

use super::Context;
use crate::adapter::{Adapter, Reply, Verdict};
use crate::driver::Driver;
use crate::http::client::{self, Answer, Connection};
use crate::http::events::Splitter;
use crate::http::server::{Request, Responder};
use crate::latency;

/// Part of the time left that a new connection may take.
const CONNECT_PART: u32 = 3;

/// Largest answer that is gathered before it is passed on, in bytes.
const ANSWER_BYTES_MAX: usize = 8 << 20;

/// The direct path of a process.
pub struct Role {
    driver: Rc<Driver<Direct>>,
    context: Context,
    adapter: Rc<dyn Adapter>,
    open: RefCell<HashMap<Ticket, Open>>,
    last: Cell<u64>,
    draining: Cell<bool>,
}

/// A caller that waits, and what is held for it.
struct Open {
    /// The caller's id of the call, for logs.
    call: Rc<str>,
    taken: Instant,
    request: Rc<Request>,
    responder: Responder,
    /// Dropped to break off the attempt under way.
    cancel: Option<oneshot::Sender<()>>,
    answer: Option<Reply>,
    /// Whether the head of a stream was passed on.
    begun: bool,
    /// Number of the last event passed on, or of the one the caller wants to go on from.
    passed: Option<u64>,
}

/// An attempt under way.
struct Attempt {
    ticket: Ticket,
    order: AttemptSpec,
    call: Rc<str>,
    request: Rc<Request>,
    /// Number of the last event that the caller has.
    passed: Option<u64>,
}

/// How an exchange with a back end came out, and the answer if there is one to pass on whole.
struct Result {
    outcome: AttemptOutcome,
    answer: Option<Reply>,
}

impl From<AttemptOutcome> for Result {
    fn from(outcome: AttemptOutcome) -> Self {
        let answer = None;
        Self { outcome, answer }
    }
}

impl Role {
    /// Wraps the core and starts its alarm.
    pub fn start(core: Direct, adapter: Rc<dyn Adapter>, context: Context) -> Rc<Self> {
        let role = Rc::new(Self {
            driver: Rc::new(Driver::new(core, context.clock)),
            context,
            adapter,
            open: RefCell::default(),
            last: Cell::new(0),
            draining: Cell::new(false),
        });
        let ticker = role.clone();
        monoio::spawn(role.driver.clone().run(move || ticker.feed(Input::Tick)));
        role
    }

    /// Reads something off the core.
    pub fn read<T>(&self, look: impl FnOnce(&Direct) -> T) -> T {
        self.driver.read(look)
    }

    /// Hands an input to the core and carries out what it decides.
    pub fn feed(self: &Rc<Self>, input: Input) {
        for output in self.driver.feed(input) {
            self.carry_out(output);
        }
    }

    /// Begins a graceful shutdown: answers ask callers to close their connections.
    pub fn drain(self: &Rc<Self>) {
        self.draining.set(true);
        self.feed(Input::Drain);
    }

    /// Takes in a caller's request.
    pub fn take_call(self: &Rc<Self>, request: Request, responder: Responder) {
        let call = match self.adapter.call(&request) {
            Ok(call) => call,
            Err(reply) => {
                self.reply(responder, *reply);
                return;
            }
        };
        self.last.set(self.last.get() + 1);
        let ticket = Ticket(self.last.get());
        let role = self.clone();
        responder.on_gone(move || {
            role.open.borrow_mut().remove(&ticket);
            role.feed(Input::CallerGone { ticket });
        });
        let open = Open {
            call: call.id.as_str().into(),
            taken: self.context.clock.now(),
            passed: self.adapter.resumes_after(&request),
            request: Rc::new(request),
            responder,
            cancel: None,
            answer: None,
            begun: false,
        };
        self.open.borrow_mut().insert(ticket, open);
        self.feed(Input::Call { ticket, call });
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::StartAttempt { ticket, spec } => self.send(ticket, spec),
            Output::Cancel { ticket } => {
                if let Some(open) = self.open.borrow_mut().get_mut(&ticket) {
                    open.cancel = None;
                }
            }
            Output::Deliver { ticket } => {
                if let Some(open) = self.take(ticket, latency::Outcome::Answered)
                    && let Some(answer) = open.answer
                    && !open.begun
                {
                    self.reply(open.responder, answer);
                }
            }
            Output::EndStream { ticket } => {
                if let Some(open) = self.take(ticket, latency::Outcome::Streamed) {
                    open.responder.end();
                }
            }
            // An answer that is dropped unfinished closes its connection.
            Output::Abort { ticket } => drop(self.take(ticket, latency::Outcome::BrokenOff)),
            Output::Refuse { ticket, refusal } => self.refuse(ticket, &refusal),
            Output::Send { to, message } => self.context.mail.send(to, message),
            Output::Event(event) => self.context.timeline.note(event),
        }
    }

    /// Takes out a caller whose request is over.
    fn take(&self, ticket: Ticket, outcome: latency::Outcome) -> Option<Open> {
        let open = self.open.borrow_mut().remove(&ticket)?;
        latency::note_request(outcome, self.context.clock.now().since(open.taken));
        Some(open)
    }

    fn refuse(&self, ticket: Ticket, refusal: &Refusal) {
        // Nothing but the rest of a stream may follow its head: without it, the connection closes.
        let open = self.take(ticket, latency::Outcome::Refused);
        if let Some(open) = open.filter(|open| !open.begun) {
            let reply = self.adapter.refuse(&open.request, refusal);
            self.reply(open.responder, reply);
        }
    }

    /// Answers whole.
    fn reply(&self, responder: Responder, mut reply: Reply) {
        if self.draining.get() {
            ask_to_close(&mut reply.headers);
        }
        responder.answer(reply.status, reply.headers, reply.body);
    }

    /// Starts an attempt.
    fn send(self: &Rc<Self>, ticket: Ticket, order: AttemptSpec) {
        let (cancel, cancelled) = oneshot::channel();
        let mut open = self.open.borrow_mut();
        let Some(open) = open.get_mut(&ticket) else {
            return;
        };
        open.cancel = Some(cancel);
        open.answer = None;
        let attempt = Attempt {
            ticket,
            order,
            call: open.call.clone(),
            request: open.request.clone(),
            passed: open.passed,
        };
        monoio::spawn(self.clone().run(attempt, cancelled));
    }

    /// Makes an attempt and tells the core how it ended; dropping the canceller breaks it off.
    async fn run(self: Rc<Self>, attempt: Attempt, cancelled: oneshot::Receiver<()>) {
        let (ticket, number) = (attempt.ticket, attempt.order.attempt);
        let work = self.exchange(&attempt);
        let result = match select(Box::pin(work), cancelled).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => return,
        };
        if let Some(open) = self.open.borrow_mut().get_mut(&ticket) {
            open.cancel = None;
            open.answer = result.answer;
        }
        self.feed(Input::AttemptEnded {
            ticket,
            attempt: number,
            outcome: result.outcome,
        });
    }

    async fn exchange(self: &Rc<Self>, attempt: &Attempt) -> Result {
        let order = &attempt.order;
        let mut connection = match self.connect(order).await {
            Ok(connection) => connection,
            Err(error) => {
                self.note_failure(attempt, "not reached", &error.to_string());
                return AttemptOutcome::NotRun(NotRunReason::NotSent).into();
            }
        };
        let request = &attempt.request;
        let sent = client::Request {
            method: request.method.clone(),
            path: request.uri.to_string(),
            headers: self.adapter.attempt(request, order, attempt.passed),
            body: request.body.clone(),
        };
        let talk = self.converse(attempt, sent, &mut connection).await;
        let (result, keeps) = match talk {
            Ok(done) => done,
            Err(error) => {
                self.note_failure(attempt, "broken off", &error.to_string());
                (AttemptOutcome::ResponseLost.into(), false)
            }
        };
        if keeps {
            self.context.pool.put(order.address, connection);
        }
        result
    }

    /// Notes why an attempt brought no answer.
    fn note_failure(&self, attempt: &Attempt, what: &str, why: &str) {
        let order = &attempt.order;
        let event = Event::new(Code::BackendFailed, what)
            .call(&attempt.call)
            .server(&order.server)
            .with_fact("attempt", u64::from(order.attempt))
            .with_fact("address", order.address.to_string())
            .with_fact("life", order.incarnation.0)
            .with_fact("error", why);
        self.context.timeline.note(event);
    }

    async fn connect(&self, order: &AttemptSpec) -> crate::http::Result<Connection> {
        let limit = (order.time_left / CONNECT_PART).min(client::CONNECT_TIMEOUT);
        let opening = async {
            match order.new_connection {
                true => Connection::open(order.address).await,
                false => self.context.pool.take(order.address).await,
            }
        };
        match monoio::time::timeout(limit, opening).await {
            Ok(connection) => connection,
            Err(_) => Err(crate::http::Error::Timeout(limit)),
        }
    }

    /// Sends a request and reads the answer; also says whether the connection can be kept.
    async fn converse(
        self: &Rc<Self>,
        attempt: &Attempt,
        sent: client::Request,
        connection: &mut Connection,
    ) -> crate::http::Result<(Result, bool)> {
        let order = &attempt.order;
        connection.send(sent).await?;
        let mut answer = connection.answer().await?;
        let verdict = self
            .adapter
            .verdict(&attempt.request, answer.status, &answer.headers);
        let outcome = match verdict {
            Verdict::Answers => None,
            Verdict::NotRun => Some(AttemptOutcome::NotRun(NotRunReason::Rejected)),
            Verdict::OtherServer => Some(AttemptOutcome::NotRun(NotRunReason::OtherServer)),
            Verdict::Foreign => {
                let status = answer.status.as_u16().to_string();
                self.note_failure(attempt, "an answer without proof of its server", &status);
                return Ok((AttemptOutcome::ResponseLost.into(), false));
            }
        };
        if let Some(outcome) = outcome {
            // Proof that the request did not run stands, whatever becomes of the rest.
            let whole = gather(&mut answer).await.is_ok();
            return Ok((outcome.into(), whole && answer.keeps_alive()));
        }
        if order.is_stream && answer.status == StatusCode::OK && is_event_stream(&answer.headers) {
            let outcome = self.relay(attempt, &mut answer).await?;
            let keeps = outcome == AttemptOutcome::Streamed && answer.keeps_alive();
            return Ok((outcome.into(), keeps));
        }
        let body = gather(&mut answer).await?;
        let reply = Reply {
            status: answer.status,
            headers: end_to_end(&answer.headers),
            body,
        };
        let result = Result {
            outcome: AttemptOutcome::Responded(answer.status.as_u16()),
            answer: Some(reply),
        };
        Ok((result, answer.keeps_alive()))
    }

    /// Passes a stream on, whole event by whole event.
    async fn relay(
        self: &Rc<Self>,
        attempt: &Attempt,
        answer: &mut Answer<'_>,
    ) -> crate::http::Result<AttemptOutcome> {
        let ticket = attempt.ticket;
        let mut splitter = Splitter::default();
        while let Some(part) = answer.part().await? {
            let whole = match splitter.push(&part) {
                Ok(Some(whole)) => whole,
                Ok(None) => continue,
                Err(problem) => return Err(crate::http::Error::Protocol(problem.to_owned())),
            };
            if !self.pass(ticket, &answer.headers, whole.bytes, whole.last) {
                self.note_failure(attempt, "an event that is not the next", "out of order");
                return Ok(AttemptOutcome::ResponseLost);
            }
            let number = attempt.order.attempt;
            self.feed(Input::EventForwarded {
                ticket,
                attempt: number,
            });
        }
        // A stream that ends within an event was broken off.
        Ok(match splitter.is_empty() && self.has_begun(ticket) {
            true => AttemptOutcome::Streamed,
            false => {
                self.note_failure(attempt, "broken off", "the stream ends within an event");
                AttemptOutcome::ResponseLost
            }
        })
    }

    fn has_begun(&self, ticket: Ticket) -> bool {
        self.open
            .borrow()
            .get(&ticket)
            .is_some_and(|open| open.begun)
    }

    /// Passes events on; a stream that is not the caller's next part is not.
    fn pass(&self, ticket: Ticket, headers: &HeaderMap, events: Bytes, last: Option<u64>) -> bool {
        let mut open = self.open.borrow_mut();
        let Some(open) = open.get_mut(&ticket) else {
            return false;
        };
        if last.is_some() && last <= open.passed {
            return false;
        }
        open.passed = last.or(open.passed);
        if !open.begun {
            open.begun = true;
            let mut headers = end_to_end(headers);
            if self.draining.get() {
                ask_to_close(&mut headers);
            }
            open.responder.head(StatusCode::OK, headers);
            latency::note_first_event(self.context.clock.now().since(open.taken));
        }
        open.responder.data(events);
        true
    }
}

/// Reads the rest of an answer, within bounds.
async fn gather(answer: &mut Answer<'_>) -> crate::http::Result<Bytes> {
    let mut body = Vec::new();
    while let Some(part) = answer.part().await? {
        if body.len() + part.len() > ANSWER_BYTES_MAX {
            return Err(crate::http::Error::Protocol(
                "the body is too large".to_owned(),
            ));
        }
        body.extend_from_slice(&part);
    }
    Ok(body.into())
}

/// The header fields of an answer without those that concern one connection only.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING] {
        kept.remove(name);
    }
    kept.remove("keep-alive");
    kept
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

fn ask_to_close(headers: &mut HeaderMap) {
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
