//! The direct path of the entry role: forwards callers' requests to backend servers without agents.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Incarnation, Server, Ticket};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::refusal::Refusal;
use eelgrassdyke_entry::direct::{
    AttemptOutcome, AttemptSpec, Direct, Input, LimitNotice, NotRunReason, Output, ServerSignal,
};
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, StatusCode};

use super::Context;
use crate::adapter::{Adapter, Response, ResponseClass};
use crate::driver::Driver;
use crate::http::budget::{Permit, SMALL_BODY_BYTES};
use crate::http::client::{self, Connection};
use crate::http::events::{CompleteEvents, EventSplitter};
use crate::http::server::{Request, Responder};
use crate::latency;

/// Divisor of the remaining time that gives the time limit for connecting.
const CONNECT_TIME_DIVISOR: u32 = 3;

/// Delay before a server is checked: a process that ends closes its sockets in any order.
const CHECK_DELAY: Duration = Duration::from_millis(10);

/// Interval of the checks whether a response waits for memory; below the shortest time after which an attempt
/// counts as hung.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum size of a response that is not streamed, in bytes.
const RESPONSE_BYTES_MAX: usize = 8 << 20;

/// The direct path of the entry role.
pub struct Role {
    driver: Rc<Driver<Direct>>,
    context: Context,
    adapter: Rc<dyn Adapter>,
    open_calls: RefCell<HashMap<Ticket, OpenCall>>,
    last_ticket: Cell<u64>,
    draining: Cell<bool>,
}

/// A caller's request in progress.
struct OpenCall {
    /// The caller's id of the call, for logs.
    call: Rc<str>,
    received_at: Instant,
    request: Rc<Request>,
    responder: Responder,
    /// Cancels the running attempt when it is dropped.
    cancel: Option<oneshot::Sender<()>>,
    response: Option<Received>,
    /// Whether the head of a stream was forwarded.
    stream_started: bool,
    /// Id of the last event forwarded, or of the event after which the caller resumes.
    last_event_id: Option<u64>,
}

/// A running attempt.
struct Attempt {
    ticket: Ticket,
    spec: AttemptSpec,
    call: Rc<str>,
    request: Rc<Request>,
    /// Id of the last event that the caller has.
    last_event_id: Option<u64>,
}

/// The outcome of an attempt, and the response if it is to be forwarded as a whole.
struct AttemptResult {
    outcome: AttemptOutcome,
    response: Option<Received>,
}

/// A complete response, and the permit for its memory if it needed one.
struct Received {
    response: Response,
    permit: Option<Permit>,
}

impl From<AttemptOutcome> for AttemptResult {
    fn from(outcome: AttemptOutcome) -> Self {
        let response = None;
        Self { outcome, response }
    }
}

impl Role {
    /// Starts the role with its core and its timer.
    pub fn start(core: Direct, adapter: Rc<dyn Adapter>, context: Context) -> Rc<Self> {
        let role = Rc::new(Self {
            driver: Rc::new(Driver::new(core, context.clock, context.timeline.clone())),
            context,
            adapter,
            open_calls: RefCell::default(),
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

    /// Reads from the core.
    pub fn read<T>(&self, read: impl FnOnce(&Direct) -> T) -> T {
        self.driver.read(read)
    }

    /// Passes an input to the core and executes its outputs.
    pub fn handle_input(self: &Rc<Self>, input: Input) {
        for output in self.driver.handle_input(input) {
            self.execute(output);
        }
    }

    /// Begins a graceful shutdown: from now on, responses ask callers to close their connections.
    pub fn drain(self: &Rc<Self>) {
        self.draining.set(true);
        self.handle_input(Input::Drain);
    }

    /// Handles a caller's request.
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
            role.open_calls.borrow_mut().remove(&ticket);
            role.handle_input(Input::CallerGone { ticket });
        });
        let open_call = OpenCall {
            call: call.id.as_str().into(),
            received_at: self.context.clock.now(),
            last_event_id: self.adapter.resume_after(&request),
            request: Rc::new(request),
            responder,
            cancel: None,
            response: None,
            stream_started: false,
        };
        self.open_calls.borrow_mut().insert(ticket, open_call);
        self.handle_input(Input::Call { ticket, call });
    }

    fn execute(self: &Rc<Self>, output: Output) {
        match output {
            Output::StartAttempt { ticket, spec } => self.start_attempt(ticket, spec),
            Output::Cancel { ticket } => {
                if let Some(open_call) = self.open_calls.borrow_mut().get_mut(&ticket) {
                    open_call.cancel = None;
                }
            }
            Output::CheckServer {
                server,
                incarnation,
                address,
            } => {
                monoio::spawn(self.clone().check_server(server, incarnation, address));
            }
            Output::Deliver { ticket } => {
                if let Some(open_call) = self.finish(ticket, latency::Outcome::Answered)
                    && let Some(Received { response, permit }) = open_call.response
                    && !open_call.stream_started
                {
                    open_call.responder.hold(permit);
                    self.respond(open_call.responder, response);
                }
            }
            Output::EndStream { ticket } => {
                if let Some(open_call) = self.finish(ticket, latency::Outcome::Streamed) {
                    open_call.responder.end_stream();
                }
            }
            // Dropping the responder of an incomplete response closes the connection.
            Output::Abort { ticket } => drop(self.finish(ticket, latency::Outcome::Aborted)),
            Output::Refuse { ticket, refusal } => self.refuse(ticket, &refusal),
            Output::Send { to, message } => self.context.outboxes.send(to, message),
            Output::Event(event) => self.context.timeline.record_event(event),
        }
    }

    /// Checks whether a server whose connections broke off refuses new ones.
    async fn check_server(
        self: Rc<Self>,
        server: Server,
        incarnation: Incarnation,
        address: SocketAddr,
    ) {
        monoio::time::sleep(CHECK_DELAY).await;
        let has_ended = match Connection::open(address).await {
            Err(crate::http::Error::Io(error)) => {
                error.kind() == std::io::ErrorKind::ConnectionRefused
            }
            _ => false,
        };
        self.handle_input(Input::ServerChecked {
            server,
            incarnation,
            has_ended,
        });
    }

    /// Removes a request that ended and records its duration.
    fn finish(&self, ticket: Ticket, outcome: latency::Outcome) -> Option<OpenCall> {
        let open_call = self.open_calls.borrow_mut().remove(&ticket)?;
        latency::record_request(
            outcome,
            self.context.clock.now().since(open_call.received_at),
        );
        Some(open_call)
    }

    fn refuse(&self, ticket: Ticket, refusal: &Refusal) {
        // A refusal can't be sent after the head of a stream; the connection is closed instead.
        let open_call = self.finish(ticket, latency::Outcome::Refused);
        if let Some(open_call) = open_call.filter(|open_call| !open_call.stream_started) {
            let response = self.adapter.encode_refusal(&open_call.request, refusal);
            self.respond(open_call.responder, response);
        }
    }

    /// Sends a complete response.
    fn respond(&self, responder: Responder, mut response: Response) {
        if self.draining.get() {
            request_close(&mut response.headers);
        }
        responder.respond(response.status, response.headers, response.body);
    }

    /// Starts an attempt.
    fn start_attempt(self: &Rc<Self>, ticket: Ticket, spec: AttemptSpec) {
        let (cancel, cancelled) = oneshot::channel();
        let mut open_calls = self.open_calls.borrow_mut();
        let Some(open_call) = open_calls.get_mut(&ticket) else {
            return;
        };
        open_call.cancel = Some(cancel);
        open_call.response = None;
        let attempt = Attempt {
            ticket,
            spec,
            call: open_call.call.clone(),
            request: open_call.request.clone(),
            last_event_id: open_call.last_event_id,
        };
        monoio::spawn(self.clone().run_attempt(attempt, cancelled));
    }

    /// Makes an attempt and reports its outcome to the core; dropping the sender of `cancelled`
    /// cancels it.
    async fn run_attempt(self: Rc<Self>, attempt: Attempt, cancelled: oneshot::Receiver<()>) {
        let (ticket, attempt_number) = (attempt.ticket, attempt.spec.attempt);
        let exchange = self.exchange(&attempt);
        let result = match select(Box::pin(exchange), cancelled).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => return,
        };
        if let Some(open_call) = self.open_calls.borrow_mut().get_mut(&ticket) {
            open_call.cancel = None;
            open_call.response = result.response;
        }
        self.handle_input(Input::AttemptEnded {
            ticket,
            attempt: attempt_number,
            outcome: result.outcome,
        });
    }

    async fn exchange(self: &Rc<Self>, attempt: &Attempt) -> AttemptResult {
        let spec = &attempt.spec;
        let mut connection = match self.connect(spec).await {
            Ok(connection) => connection,
            Err(error) => {
                self.record_failure(attempt, "connection failed", &error.to_string());
                return AttemptOutcome::NotRun(NotRunReason::NotSent).into();
            }
        };
        let request = &attempt.request;
        let attempt_request = client::Request {
            method: request.method.clone(),
            path: request.uri.to_string(),
            headers: self
                .adapter
                .attempt_headers(request, spec, attempt.last_event_id),
            body: request.body.clone(),
        };
        connection.limit_parts(RESPONSE_BYTES_MAX);
        connection.charge_to(self.context.response_memory.clone(), spec.address);
        let exchange = self
            .send_and_receive(attempt, attempt_request, &mut connection)
            .await;
        let (result, reusable) = match exchange {
            Ok(exchanged) => exchanged,
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

    /// Records an event with the reason why an attempt got no valid response.
    fn record_failure(&self, attempt: &Attempt, detail: &str, error: &str) {
        let spec = &attempt.spec;
        let event = Event::new(Code::BackendFailed, detail)
            .call(&attempt.call)
            .server(&spec.server)
            .with_fact("attempt", u64::from(spec.attempt))
            .with_fact("address", spec.address.to_string())
            .with_fact("life", spec.incarnation.0)
            .with_fact("error", error);
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

    /// Sends a request and reads the response; also returns whether the connection can be reused.
    async fn send_and_receive(
        self: &Rc<Self>,
        attempt: &Attempt,
        request: client::Request,
        connection: &mut Connection,
    ) -> crate::http::Result<(AttemptResult, bool)> {
        let spec = &attempt.spec;
        connection.send(request).await?;
        let on_reused = connection.is_reused();
        let mut server_response = connection.receive_response().await?;
        let class = self.adapter.classify_response(
            &attempt.request,
            server_response.status,
            &server_response.headers,
            on_reused,
        );
        let mut signal = match class {
            ResponseClass::OtherRequest => ServerSignal::default(),
            _ => (self.adapter).server_signal(server_response.status, &server_response.headers),
        };
        // A limit ends with a verified response without one; most servers have none.
        let is_verified = !matches!(
            class,
            ResponseClass::Unverified | ResponseClass::OtherRequest
        );
        let ends_limit = is_verified && self.read(|direct| direct.is_limited(&spec.server));
        if signal.limit == LimitNotice::Unlimited && !ends_limit {
            signal.limit = LimitNotice::Unknown;
        }
        if signal != ServerSignal::default() {
            self.handle_input(Input::ServerSignal {
                server: spec.server.clone(),
                incarnation: spec.incarnation,
                signal,
            });
        }
        let outcome = match class {
            ResponseClass::Valid => None,
            ResponseClass::NotRun => Some(AttemptOutcome::NotRun(NotRunReason::Rejected)),
            ResponseClass::OtherServer => Some(AttemptOutcome::NotRun(NotRunReason::OtherServer)),
            ResponseClass::Unverified | ResponseClass::OtherRequest => {
                let status = server_response.status.as_u16().to_string();
                let detail = match class {
                    ResponseClass::OtherRequest => "response to another request",
                    _ => "response not verified",
                };
                self.record_failure(attempt, detail, &status);
                return Ok((AttemptOutcome::ResponseLost.into(), false));
            }
        };
        if let Some(outcome) = outcome {
            // The head proves that the request did not run, even if the body can't be read.
            let is_complete = server_response.skip_to_end(SMALL_BODY_BYTES).await;
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
        let body = self.read_body(attempt, &mut server_response).await?;
        let response = Response {
            status: server_response.status,
            headers: end_to_end_headers(&server_response.headers),
            body,
        };
        let permit = server_response.take_permit();
        // The decoder of the connection keeps the memory of a large body.
        let reusable = server_response.keeps_alive() && permit.is_none();
        let result = AttemptResult {
            outcome: AttemptOutcome::Responded(server_response.status.as_u16()),
            response: Some(Received { response, permit }),
        };
        Ok((result, reusable))
    }

    /// Reads the whole body of a response, and reports while it waits for memory of this process.
    async fn read_body(
        self: &Rc<Self>,
        attempt: &Attempt,
        response: &mut client::Response<'_>,
    ) -> crate::http::Result<Bytes> {
        let (ticket, attempt) = (attempt.ticket, attempt.spec.attempt);
        let allowance = response.allowance();
        let mut reading = pin!(response.read_to_end());
        loop {
            match monoio::time::timeout(MEMORY_CHECK_INTERVAL, reading.as_mut()).await {
                Ok(body) => return body,
                Err(_) if allowance.waits_for_memory() => {
                    self.handle_input(Input::ResponseWaits { ticket, attempt });
                }
                Err(_) => {}
            }
        }
    }

    /// Forwards a stream in complete events.
    async fn relay_stream(
        self: &Rc<Self>,
        attempt: &Attempt,
        server_response: &mut client::Response<'_>,
    ) -> crate::http::Result<AttemptOutcome> {
        let ticket = attempt.ticket;
        let mut splitter = EventSplitter::default();
        let continues = self.has_started(ticket);
        let mut forwarded = false;
        while let Some(part) = server_response.next_part().await? {
            let events = match splitter.push(&part) {
                Ok(Some(events)) => events,
                Ok(None) => continue,
                Err(problem) => return Err(crate::http::Error::Protocol(problem.to_owned())),
            };
            if !self.forward_events(ticket, &server_response.headers, events, continues) {
                self.record_failure(
                    attempt,
                    "stream out of order",
                    "an event does not follow the last one forwarded",
                );
                return Ok(AttemptOutcome::ResponseLost);
            }
            forwarded = true;
            if splitter.is_empty() {
                server_response.release_read();
            }
            let attempt_number = attempt.spec.attempt;
            self.handle_input(Input::EventForwarded {
                ticket,
                attempt: attempt_number,
            });
        }
        // A stream that ends within an event was truncated. That none was left to send must be stated, as a
        // connection may also end after an error.
        let is_stated = continues && !server_response.ends_with_connection();
        Ok(match splitter.is_empty() && (forwarded || is_stated) {
            true => AttemptOutcome::Streamed,
            false => {
                self.record_failure(
                    attempt,
                    "broken off",
                    "the stream ended within an event or before the first one",
                );
                AttemptOutcome::ResponseLost
            }
        })
    }

    fn has_started(&self, ticket: Ticket) -> bool {
        self.open_calls
            .borrow()
            .get(&ticket)
            .is_some_and(|open_call| open_call.stream_started)
    }

    /// Forwards events to the caller; returns false if the caller is gone or the events don't
    /// follow the last one forwarded. Those of a server that `continues` another one's stream must show by
    /// their ids that they do.
    fn forward_events(
        &self,
        ticket: Ticket,
        headers: &HeaderMap,
        events: CompleteEvents,
        continues: bool,
    ) -> bool {
        let mut open_calls = self.open_calls.borrow_mut();
        let Some(open_call) = open_calls.get_mut(&ticket) else {
            return false;
        };
        let last_id = open_call.last_event_id;
        if continues && last_id.is_none() || !events.follow(last_id, continues) {
            return false;
        }
        open_call.last_event_id = events.last_id.or(last_id);
        if !open_call.stream_started {
            open_call.stream_started = true;
            let mut headers = end_to_end_headers(headers);
            if self.draining.get() {
                request_close(&mut headers);
            }
            open_call.responder.start_stream(StatusCode::OK, headers);
            latency::record_first_event(self.context.clock.now().since(open_call.received_at));
        }
        open_call.responder.send_data(events.bytes);
        true
    }
}

/// The header fields of a response without the hop-by-hop ones.
fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut end_to_end = headers.clone();
    for name in [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING] {
        end_to_end.remove(name);
    }
    end_to_end.remove("keep-alive");
    end_to_end
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    content_type.is_some_and(|value| value.starts_with("text/event-stream"))
}

fn request_close(headers: &mut HeaderMap) {
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
