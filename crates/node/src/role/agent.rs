//! The agent role.

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

use super::waiting::Waiting;
use super::{Cancels, Context, HANG_GRACE};
use crate::driver::Driver;
use crate::http::client;
use crate::http::server::Responder;

/// Longest wait for the back end's health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// The agent role of a process.
pub struct Role {
    driver: Rc<Driver<Agent>>,
    context: Context,
    backend: SocketAddr,
    waiting: Waiting,
    cancels: Cancels<Ticket>,
}

impl Role {
    /// Wraps the core and starts its alarm.
    pub fn start(core: Agent, backend: SocketAddr, context: Context) -> Rc<Self> {
        let role = Rc::new(Self {
            driver: Rc::new(Driver::new(core, context.clock)),
            context,
            backend,
            waiting: Waiting::default(),
            cancels: RefCell::default(),
        });
        let ticker = role.clone();
        monoio::spawn(role.driver.clone().run(move || ticker.feed(Input::Tick)));
        role
    }

    /// Reads something off the core.
    pub fn read<T>(&self, look: impl FnOnce(&Agent) -> T) -> T {
        self.driver.read(look)
    }

    /// Hands an input to the core and carries out what it decides.
    pub fn feed(self: &Rc<Self>, input: Input) {
        for output in self.driver.feed(input) {
            self.carry_out(output);
        }
    }

    /// Takes in a dispatch.
    pub fn take_dispatch(self: &Rc<Self>, dispatch: Dispatch, responder: Responder) {
        let role = self.clone();
        responder.head(StatusCode::OK, HeaderMap::new());
        let ticket = self.waiting.add_watched(responder, move |ticket| {
            role.waiting.take(ticket);
            role.feed(Input::DispatchCancelled { ticket });
        });
        self.feed(Input::Dispatch {
            ticket,
            dispatch: Box::new(dispatch),
        });
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::Frame { ticket, frame } => self.send_frame(ticket, frame),
            Output::Forward {
                ticket,
                call,
                time_left,
            } => {
                let (cancel, cancelled) = oneshot::channel();
                self.cancels.borrow_mut().insert(ticket, cancel);
                monoio::spawn(self.clone().exchange(ticket, call, time_left, cancelled));
            }
            Output::Abort { ticket } => {
                self.cancels.borrow_mut().remove(&ticket);
            }
            Output::CheckHealth => {
                monoio::spawn(self.clone().check_health());
            }
            Output::Send { to, message } => self.context.mail.send(to, message),
            Output::Event(event) => self.context.timeline.note(event),
        }
    }

    fn send_frame(&self, ticket: Ticket, frame: Frame) {
        let last = !matches!(frame, Frame::Head(_) | Frame::Data(_));
        let part = Timestamped {
            stamp: self.context.timeline.stamp(),
            value: vec![frame],
        };
        let bytes = match wire::encode(&part) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("{error}");
                return;
            }
        };
        self.waiting
            .with(ticket, |responder| responder.data(bytes.into()));
        if last && let Some(responder) = self.waiting.take(ticket) {
            responder.end();
        }
    }

    /// Makes a call to the back end and feeds its replies back.
    async fn exchange(
        self: Rc<Self>,
        ticket: Ticket,
        call: Call,
        time_left: Duration,
        cancelled: oneshot::Receiver<()>,
    ) {
        let sent = Cell::new(false);
        let work = monoio::time::timeout(time_left + HANG_GRACE, self.receive(ticket, call, &sent));
        let part = match select(Box::pin(work), cancelled).await {
            Either::Left((Ok(Ok(())), _)) => ResponsePart::End,
            Either::Left((Ok(Err(error)), _)) => ResponsePart::Failed {
                sent: sent.get(),
                detail: error.to_string(),
            },
            Either::Left((Err(_), _)) => ResponsePart::Failed {
                sent: true,
                detail: "the back end hangs".to_owned(),
            },
            Either::Right(_) => return,
        };
        self.cancels.borrow_mut().remove(&ticket);
        self.feed(Input::Response { ticket, part });
    }

    async fn receive(
        self: &Rc<Self>,
        ticket: Ticket,
        call: Call,
        sent: &Cell<bool>,
    ) -> crate::http::Result<()> {
        let mut connection = self.context.pool.take(self.backend).await?;
        sent.set(true);
        connection.send(backend_request(call)).await?;
        let mut answer = connection.answer().await?;
        let head = ResponseHead {
            status: answer.status.as_u16(),
            headers: pairs(&answer.headers),
        };
        self.feed(Input::Response {
            ticket,
            part: ResponsePart::Head(head),
        });
        while let Some(part) = answer.part().await? {
            let part = ResponsePart::Data(part.to_vec());
            self.feed(Input::Response { ticket, part });
        }
        if answer.keeps_alive() {
            self.context.pool.put(self.backend, connection);
        }
        Ok(())
    }

    async fn check_health(self: Rc<Self>) {
        let request = client::Request::get("/health");
        let result = self
            .context
            .pool
            .call(self.backend, request, HEALTH_TIMEOUT)
            .await;
        let passed = result.is_ok_and(|(status, _)| !status.is_server_error());
        self.feed(Input::HealthCheckResult(passed));
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

fn pairs(headers: &HeaderMap) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    for (name, value) in headers {
        let Ok(value) = value.to_str() else {
            continue;
        };
        pairs.push((name.as_str().to_owned(), value.to_owned()));
    }
    pairs
}
