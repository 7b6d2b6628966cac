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
use crate::adapter::{Adapter, Response, ResponseClass};
use crate::driver::Driver;
use crate::http::client::{self, Connection};
use crate::http::events::EventSplitter;
use crate::http::server::{Request, Responder};
use crate::latency;

/// Part of the time left that a new connection may take.
const CONNECT_TIME_DIVISOR: u32 = 3;

/// Largest answer that is gathered before it is passed on, in bytes.
const RESPONSE_BYTES_MAX: usize = 8 << 20;

/// The direct path of a process.
pub struct Role {
    driver: Rc<Driver<Direct>>,
    context: Context,
    adapter: Rc<dyn Adapter>,
    open: RefCell<HashMap<Ticket, OpenCall>>,
    last_ticket: Cell<u64>,
    draining: Cell<bool>,
}

/// A caller that waits, and what is held for it.
struct OpenCall {
    /// The caller's id of the call, for logs.
    call: Rc<str>,
    received_at: Instant,
    request: Rc<Request>,
    responder: Responder,
    /// Dropped to break off the attempt under way.
    cancel: Option<oneshot::Sender<()>>,
    response: Option<Response>,
    /// Whether the head of a stream was passed on.
    stream_started: bool,
    /// Number of the last event passed on, or of the one the caller wants to go on from.
    last_event_id: Option<u64>,
}

/// An attempt under way.
struct Attempt {
    ticket: Ticket,
    spec: AttemptSpec,
    call: Rc<str>,
    request: Rc<Request>,
    /// Number of the last event that the caller has.
    last_event_id: Option<u64>,
}

/// How an exchange with a back end came out, and the answer if there is one to pass on whole.
struct AttemptResult {
    outcome: AttemptOutcome,
    response: Option<Response>,
}

impl From<AttemptOutcome> for AttemptResult {
    fn from(outcome: AttemptOutcome) -> Self {
        let response = None;
        Self { outcome, response }
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
            last_ticket: Cell::new(0),
            draining: Cell::new(false),
        });
        let ticker = role.clone();
        monoio::spawn(
            role.driver
                .clone()
                .run(move || ticker.handle_input(Input::Tick)),
        );
        role
    }

    /// Reads something off the core.
    pub fn read<T>(&self, read: impl FnOnce(&Direct) -> T) -> T {
        self.driver.read(read)
    }

    /// Hands an input to the core and carries out what it decides.
    pub fn handle_input(self: &Rc<Self>, input: Input) {
        for output in self.driver.handle_input(input) {
            self.execute(output);
        }
    }

    /// Begins a graceful shutdown: answers ask callers to close their connections.
    pub fn drain(self: &Rc<Self>) {
        self.draining.set(true);
        self.handle_input(Input::Drain);
    }

    /// Takes in a caller's request.
    pub fn handle_call(self: &Rc<Self>, request: Request, responder: Responder) {
        let call = match self.adapter.decode_call(&request) {
            Ok(call) => call,
            Err(response) => {
                self.respond(responder, *response);
                return;
            }
        };
        self.last_ticket.set(self.last_ticket.get() + 1);
        let ticket = Ticket(self.last_ticket.get());
        let role = self.clone();
        responder.on_disconnect(move || {
            role.open.borrow_mut().remove(&ticket);
            role.handle_input(Input::CallerGone { ticket });
        });
        let open = OpenCall {
            call: call.id.as_str().into(),
            received_at: self.context.clock.now(),
            last_event_id: self.adapter.resume_after(&request),
            request: Rc::new(request),
            responder,
            cancel: None,
            response: None,
            stream_started: false,
        };
        self.open.borrow_mut().insert(ticket, open);
        self.handle_input(Input::Call { ticket, call });
    }

    fn execute(self: &Rc<Self>, output: Output) {
        match output {
            Output::StartAttempt { ticket, spec } => self.start_attempt(ticket, spec),
            Output::Cancel { ticket } => {
                if let Some(open) = self.open.borrow_mut().get_mut(&ticket) {
                    open.cancel = None;
                }
            }
            Output::Deliver { ticket } => {
                if let Some(open) = self.finish(ticket, latency::Outcome::Answered)
                    && let Some(response) = open.response
                    && !open.stream_started
                {
                    self.respond(open.responder, response);
                }
            }
            Output::EndStream { ticket } => {
                if let Some(open) = self.finish(ticket, latency::Outcome::Streamed) {
                    open.responder.end_stream();
                }
            }
            // An answer that is dropped unfinished closes its connection.
            Output::Abort { ticket } => drop(self.finish(ticket, latency::Outcome::Aborted)),
            Output::Refuse { ticket, refusal } => self.refuse(ticket, &refusal),
            Output::SendMessage { to, message } => self.context.outboxes.send(to, message),
            Output::Event(event) => self.context.timeline.record_event(event),
        }
    }

    /// Takes out a caller whose request is over.
    fn finish(&self, ticket: Ticket, outcome: latency::Outcome) -> Option<OpenCall> {
        let open = self.open.borrow_mut().remove(&ticket)?;
        latency::record_request(outcome, self.context.clock.now().since(open.received_at));
        Some(open)
    }

    fn refuse(&self, ticket: Ticket, refusal: &Refusal) {
        // Nothing but the rest of a stream may follow its head: without it, the connection closes.
        let open = self.finish(ticket, latency::Outcome::Refused);
        if let Some(open) = open.filter(|open| !open.stream_started) {
            let response = self.adapter.encode_refusal(&open.request, refusal);
            self.respond(open.responder, response);
        }
    }

    /// Answers whole.
    fn respond(&self, responder: Responder, mut response: Response) {
        if self.draining.get() {
            request_close(&mut response.headers);
        }
        responder.respond(response.status, response.headers, response.body);
    }

    /// Starts an attempt.
    fn start_attempt(self: &Rc<Self>, ticket: Ticket, spec: AttemptSpec) {
        let (cancel, cancelled) = oneshot::channel();
        let mut open = self.open.borrow_mut();
        let Some(open) = open.get_mut(&ticket) else {
            return;
        };
        open.cancel = Some(cancel);
        open.response = None;
        let attempt = Attempt {
            ticket,
            spec,
            call: open.call.clone(),
            request: open.request.clone(),
            last_event_id: open.last_event_id,
        };
        monoio::spawn(self.clone().run_attempt(attempt, cancelled));
    }

    /// Makes an attempt and tells the core how it ended; dropping the canceller breaks it off.
    async fn run_attempt(self: Rc<Self>, attempt: Attempt, cancelled: oneshot::Receiver<()>) {
        let (ticket, number) = (attempt.ticket, attempt.spec.attempt);
        let work = self.exchange(&attempt);
        let result = match select(Box::pin(work), cancelled).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => return,
        };
        if let Some(open) = self.open.borrow_mut().get_mut(&ticket) {
            open.cancel = None;
            open.response = result.response;
        }
        self.handle_input(Input::AttemptEnded {
            ticket,
            attempt: number,
            outcome: result.outcome,
        });
    }

    async fn exchange(self: &Rc<Self>, attempt: &Attempt) -> AttemptResult {
        let spec = &attempt.spec;
        let mut connection = match self.connect(spec).await {
            Ok(connection) => connection,
            Err(error) => {
                self.record_failure(attempt, "not reached", &error.to_string());
                return AttemptOutcome::NotRun(NotRunReason::NotSent).into();
            }
        };
        let request = &attempt.request;
        let sent = client::Request {
            method: request.method.clone(),
            path: request.uri.to_string(),
            headers: self
                .adapter
                .attempt_headers(request, spec, attempt.last_event_id),
            body: request.body.clone(),
        };
        let exchange = self.send_and_receive(attempt, sent, &mut connection).await;
        let (result, reusable) = match exchange {
            Ok(done) => done,
            Err(error) => {
                self.record_failure(attempt, "broken off", &error.to_string());
                (AttemptOutcome::ResponseLost.into(), false)
            }
        };
        if reusable {
            self.context.pool.release(spec.address, connection);
        }
        result
    }

    /// Notes why an attempt brought no server_response.
    fn record_failure(&self, attempt: &Attempt, what: &str, why: &str) {
        let spec = &attempt.spec;
        let event = Event::new(Code::BackendFailed, what)
            .call(&attempt.call)
            .server(&spec.server)
            .with_fact("attempt", u64::from(spec.attempt))
            .with_fact("address", spec.address.to_string())
            .with_fact("life", spec.incarnation.0)
            .with_fact("error", why);
        self.context.timeline.record_event(event);
    }

    async fn connect(&self, spec: &AttemptSpec) -> crate::http::Result<Connection> {
        let limit = (spec.time_left / CONNECT_TIME_DIVISOR).min(client::CONNECT_TIMEOUT);
        let opening = async {
            match spec.new_connection {
                true => Connection::open(spec.address).await,
                false => self.context.pool.acquire(spec.address).await,
            }
        };
        match monoio::time::timeout(limit, opening).await {
            Ok(connection) => connection,
            Err(_) => Err(crate::http::Error::Timeout(limit)),
        }
    }

    /// Sends a request and reads the answer; also says whether the connection can be kept.
    async fn send_and_receive(
        self: &Rc<Self>,
        attempt: &Attempt,
        sent: client::Request,
        connection: &mut Connection,
    ) -> crate::http::Result<(AttemptResult, bool)> {
        let spec = &attempt.spec;
        connection.send(sent).await?;
        let mut server_response = connection.receive_response().await?;
        let class = self.adapter.classify_response(
            &attempt.request,
            server_response.status,
            &server_response.headers,
        );
        let outcome = match class {
            ResponseClass::Valid => None,
            ResponseClass::NotRun => Some(AttemptOutcome::NotRun(NotRunReason::Rejected)),
            ResponseClass::OtherServer => Some(AttemptOutcome::NotRun(NotRunReason::OtherServer)),
            ResponseClass::Unverified => {
                let status = server_response.status.as_u16().to_string();
                self.record_failure(attempt, "an answer without proof of its server", &status);
                return Ok((AttemptOutcome::ResponseLost.into(), false));
            }
        };
        if let Some(outcome) = outcome {
            // Proof that the request did not run stands, whatever becomes of the rest.
            let is_complete = read_body(&mut server_response).await.is_ok();
            return Ok((outcome.into(), is_complete && server_response.keeps_alive()));
        }
        if spec.is_stream
            && server_response.status == StatusCode::OK
            && is_event_stream(&server_response.headers)
        {
            let outcome = self.relay_stream(attempt, &mut server_response).await?;
            let reusable = outcome == AttemptOutcome::Streamed && server_response.keeps_alive();
            return Ok((outcome.into(), reusable));
        }
        let body = read_body(&mut server_response).await?;
        let response = Response {
            status: server_response.status,
            headers: end_to_end_headers(&server_response.headers),
            body,
        };
        let result = AttemptResult {
            outcome: AttemptOutcome::Answered(server_response.status.as_u16()),
            response: Some(response),
        };
        Ok((result, server_response.keeps_alive()))
    }

    /// Passes a stream on, whole event by whole event.
    async fn relay_stream(
        self: &Rc<Self>,
        attempt: &Attempt,
        server_response: &mut client::Response<'_>,
    ) -> crate::http::Result<AttemptOutcome> {
        let ticket = attempt.ticket;
        let mut splitter = EventSplitter::default();
        while let Some(part) = server_response.next_part().await? {
            let events = match splitter.push(&part) {
                Ok(Some(events)) => events,
                Ok(None) => continue,
                Err(problem) => return Err(crate::http::Error::Protocol(problem.to_owned())),
            };
            if !self.forward_events(
                ticket,
                &server_response.headers,
                events.bytes,
                events.last_id,
            ) {
                self.record_failure(attempt, "an event that is not the next", "out of order");
                return Ok(AttemptOutcome::ResponseLost);
            }
            let number = attempt.spec.attempt;
            self.handle_input(Input::EventForwarded {
                ticket,
                attempt: number,
            });
        }
        // A stream that ends within an event was broken off.
        Ok(match splitter.is_empty() && self.has_started(ticket) {
            true => AttemptOutcome::Streamed,
            false => {
                self.record_failure(attempt, "broken off", "the stream ends within an event");
                AttemptOutcome::ResponseLost
            }
        })
    }

    fn has_started(&self, ticket: Ticket) -> bool {
        self.open
            .borrow()
            .get(&ticket)
            .is_some_and(|open| open.stream_started)
    }

    /// Passes events on; a stream that is not the caller's next part is not.
    fn forward_events(
        &self,
        ticket: Ticket,
        headers: &HeaderMap,
        events: Bytes,
        last_id: Option<u64>,
    ) -> bool {
        let mut open = self.open.borrow_mut();
        let Some(open) = open.get_mut(&ticket) else {
            return false;
        };
        if last_id.is_some() && last_id <= open.last_event_id {
            return false;
        }
        open.last_event_id = last_id.or(open.last_event_id);
        if !open.stream_started {
            open.stream_started = true;
            let mut headers = end_to_end_headers(headers);
            if self.draining.get() {
                request_close(&mut headers);
            }
            open.responder.start_stream(StatusCode::OK, headers);
            latency::record_first_event(self.context.clock.now().since(open.received_at));
        }
        open.responder.send_data(events);
        true
    }
}

/// Reads the rest of an answer, within bounds.
async fn read_body(server_response: &mut client::Response<'_>) -> crate::http::Result<Bytes> {
    let mut body = Vec::new();
    while let Some(part) = server_response.next_part().await? {
        if body.len() + part.len() > RESPONSE_BYTES_MAX {
            return Err(crate::http::Error::Protocol(
                "the body is too large".to_owned(),
            ));
        }
        body.extend_from_slice(&part);
    }
    Ok(body.into())
}

/// The header fields of an answer without those that concern one connection only.
fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut end_to_end = headers.clone();
    for name in [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING] {
        end_to_end.remove(name);
    }
    end_to_end.remove("keep-alive");
    end_to_end
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

fn request_close(headers: &mut HeaderMap) {
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
