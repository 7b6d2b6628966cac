//! The agent role: forwards dispatches to the backend server.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_agent::{Agent, Input, Output, ResponsePart};
use eelgrassdyke_core::id::Ticket;
use eelgrassdyke_core::wire::dispatch::{Call, Dispatch, Frame, ResponseHead};
use eelgrassdyke_core::wire::{self, Timestamped};
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};

use super::waiting::PendingResponses;
use super::{Cancellers, Context, EXCHANGE_GRACE};
use crate::driver::Driver;
use crate::http::budget::SMALL_BODY_BYTES;
use crate::http::client;
use crate::http::server::Responder;

/// Timeout of the backend server's health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// The agent role of a process.
pub struct Role {
    driver: Rc<Driver<Agent>>,
    context: Context,
    backend: SocketAddr,
    pending: PendingResponses,
    cancellers: Cancellers<Ticket>,
}

impl Role {
    /// Starts the role with its core and its timer.
    pub fn start(core: Agent, backend: SocketAddr, context: Context) -> Rc<Self> {
        let role = Rc::new(Self {
            driver: Rc::new(Driver::new(core, context.clock, context.timeline.clone())),
            context,
            backend,
            pending: PendingResponses::default(),
            cancellers: RefCell::default(),
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
    pub fn read<T>(&self, read: impl FnOnce(&Agent) -> T) -> T {
        self.driver.read(read)
    }

    /// Passes an input to the core and executes its outputs.
    pub fn handle_input(self: &Rc<Self>, input: Input) {
        for output in self.driver.handle_input(input) {
            self.execute(output);
        }
    }

    /// Handles a dispatch from an entry.
    pub fn handle_dispatch(self: &Rc<Self>, dispatch: Dispatch, responder: Responder) {
        let role = self.clone();
        responder.start_stream(StatusCode::OK, HeaderMap::new());
        let ticket = self.pending.insert_with_hook(responder, move |ticket| {
            role.pending.remove(ticket);
            role.handle_input(Input::DispatchCancelled { ticket });
        });
        self.handle_input(Input::Dispatch {
            ticket,
            dispatch: Box::new(dispatch),
        });
    }

    fn execute(self: &Rc<Self>, output: Output) {
        match output {
            Output::Frame { ticket, frame } => self.send_frame(ticket, frame),
            Output::Forward {
                ticket,
                call,
                time_left,
            } => {
                let (cancel, cancelled) = oneshot::channel();
                self.cancellers.borrow_mut().insert(ticket, cancel);
                monoio::spawn(self.clone().exchange(ticket, call, time_left, cancelled));
            }
            Output::Abort { ticket } => {
                self.cancellers.borrow_mut().remove(&ticket);
            }
            Output::CheckHealth => {
                monoio::spawn(self.clone().check_health());
            }
            Output::Send { to, message } => self.context.outboxes.send(to, message),
            Output::Event(event) => self.context.timeline.record_event(event),
        }
    }

    fn send_frame(&self, ticket: Ticket, frame: Frame) {
        let is_last = !matches!(frame, Frame::Head(_) | Frame::Data(_));
        let part = Timestamped {
            stamp: self.context.timeline.timestamp(),
            value: vec![frame],
        };
        let bytes = match wire::encode(&part) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("can't encode a frame: {error}");
                return;
            }
        };
        self.pending
            .with_responder(ticket, |responder| responder.send_data(bytes.into()));
        if is_last && let Some(responder) = self.pending.remove(ticket) {
            responder.end_stream();
        }
    }

    /// Makes a call to the backend server and passes the parts of its response to the core;
    /// dropping the sender of `cancelled` cancels the call.
    async fn exchange(
        self: Rc<Self>,
        ticket: Ticket,
        call: Call,
        time_left: Duration,
        cancelled: oneshot::Receiver<()>,
    ) {
        let sent = Cell::new(false);
        let receiving = monoio::time::timeout(
            time_left + EXCHANGE_GRACE,
            self.receive(ticket, call, &sent),
        );
        let part = match select(Box::pin(receiving), cancelled).await {
            Either::Left((Ok(Ok(())), _)) => ResponsePart::End,
            Either::Left((Ok(Err(error)), _)) => ResponsePart::Failed {
                sent: sent.get(),
                detail: error.to_string(),
            },
            Either::Left((Err(_), _)) => ResponsePart::Failed {
                sent: true,
                detail: "the backend server did not complete its response in time".to_owned(),
            },
            Either::Right(_) => return,
        };
        self.cancellers.borrow_mut().remove(&ticket);
        self.handle_input(Input::Response { ticket, part });
    }

    async fn receive(
        self: &Rc<Self>,
        ticket: Ticket,
        call: Call,
        sent: &Cell<bool>,
    ) -> crate::http::Result<()> {
        let mut connection = self.context.pool.acquire(self.backend).await?;
        sent.set(true);
        connection.send(backend_request(call)).await?;
        let mut response = connection.receive_response().await?;
        let head = ResponseHead {
            status: response.status.as_u16(),
            headers: header_pairs(&response.headers),
        };
        self.handle_input(Input::Response {
            ticket,
            part: ResponsePart::Head(head),
        });
        while let Some(part) = response.next_part().await? {
            let part = ResponsePart::Data(part.to_vec());
            self.handle_input(Input::Response { ticket, part });
        }
        if response.keeps_alive() {
            self.context.pool.release(self.backend, connection);
        }
        Ok(())
    }

    async fn check_health(self: Rc<Self>) {
        let request = client::Request::get("/health");
        let result = self
            .context
            .pool
            .call_limited(self.backend, request, SMALL_BODY_BYTES, HEALTH_TIMEOUT)
            .await;
        let passed = result.is_ok_and(|(status, _)| !status.is_server_error());
        self.handle_input(Input::HealthCheckResult(passed));
    }
}

fn backend_request(call: Call) -> client::Request {
    let mut headers = HeaderMap::new();
    for (name, value) in &call.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    client::Request {
        method: Method::from_bytes(call.method.as_bytes()).unwrap_or(Method::POST),
        path: call.path,
        headers,
        body: call.body.into(),
    }
}

fn header_pairs(headers: &HeaderMap) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    for (name, value) in headers {
        let Ok(value) = value.to_str() else {
            continue;
        };
        pairs.push((name.as_str().to_owned(), value.to_owned()));
    }
    pairs
}
