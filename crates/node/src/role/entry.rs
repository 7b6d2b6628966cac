//! The entry role: forwards callers' requests to agents.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_core::id::AttemptId;
use eelgrassdyke_core::wire::dispatch::{Dispatch, Frame, ResponseHead};
use eelgrassdyke_core::wire::refusal::Refusal;
use eelgrassdyke_core::wire::{self, Timestamped};
use eelgrassdyke_entry::{Call, Entry, Input, Output};
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use super::waiting::PendingResponses;
use super::{Cancellers, Context, EXCHANGE_GRACE};
use crate::driver::Driver;
use crate::http::client;
use crate::http::server::{Request, Responder};
use crate::mail::SECRET_HEADER;

/// The entry role of a process.
pub struct Role {
    driver: Rc<Driver<Entry>>,
    context: Context,
    pending: PendingResponses,
    cancellers: Cancellers<AttemptId>,
}

impl Role {
    /// Starts the role with its core and its timer.
    pub fn start(core: Entry, context: Context) -> Rc<Self> {
        let role = Rc::new(Self {
            driver: Rc::new(Driver::new(core, context.clock, context.timeline.clone())),
            context,
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
    pub fn read<T>(&self, read: impl FnOnce(&Entry) -> T) -> T {
        self.driver.read(read)
    }

    /// Passes an input to the core and executes its outputs.
    pub fn handle_input(self: &Rc<Self>, input: Input) {
        for output in self.driver.handle_input(input) {
            self.execute(output);
        }
    }

    /// Handles a caller's request.
    pub fn handle_call(self: &Rc<Self>, request: Request, responder: Responder) {
        let role = self.clone();
        let ticket = self.pending.insert_with_hook(responder, move |ticket| {
            role.pending.remove(ticket);
            role.handle_input(Input::CallerGone { ticket });
        });
        self.handle_input(Input::Call {
            ticket,
            call: to_call(request),
        });
    }

    fn execute(self: &Rc<Self>, output: Output) {
        match output {
            Output::Respond { ticket, head, body } => {
                if let Some(responder) = self.pending.remove(ticket) {
                    responder.respond(status_code(&head), response_headers(&head), body);
                }
            }
            Output::StartStream { ticket, head } => {
                self.pending.with_responder(ticket, |responder| {
                    responder.start_stream(status_code(&head), response_headers(&head))
                });
            }
            Output::StreamData { ticket, data } => {
                self.pending
                    .with_responder(ticket, |responder| responder.send_data(data.into()));
            }
            Output::EndStream { ticket } => {
                if let Some(responder) = self.pending.remove(ticket) {
                    responder.end_stream();
                }
            }
            Output::Refuse { ticket, refusal } => {
                if let Some(responder) = self.pending.remove(ticket) {
                    refuse(responder, &refusal);
                }
            }
            Output::Dispatch { address, dispatch } => {
                let (cancel, cancelled) = oneshot::channel();
                self.cancellers
                    .borrow_mut()
                    .insert(dispatch.attempt.clone(), cancel);
                monoio::spawn(self.clone().exchange(address, *dispatch, cancelled));
            }
            Output::Cancel { attempt } => {
                self.cancellers.borrow_mut().remove(&attempt);
            }
            Output::Send { to, message } => self.context.outboxes.send(to, message),
            Output::Event(event) => self.context.timeline.record_event(event),
        }
    }

    /// Sends a dispatch and passes the received frames to the core; dropping the sender of
    /// `cancelled` cancels the exchange.
    async fn exchange(
        self: Rc<Self>,
        address: SocketAddr,
        dispatch: Dispatch,
        cancelled: oneshot::Receiver<()>,
    ) {
        let attempt = dispatch.attempt.clone();
        let sent = Cell::new(false);
        let limit = Duration::from_micros(dispatch.time_left_us) + EXCHANGE_GRACE;
        let receiving = monoio::time::timeout(limit, self.receive(address, dispatch, &sent));
        let is_complete = match select(Box::pin(receiving), cancelled).await {
            Either::Left((Ok(Ok(())), _)) => true,
            Either::Left((Ok(Err(error)), _)) => {
                log::debug!("{attempt}: {error}");
                false
            }
            Either::Left((Err(_), _)) => false,
            Either::Right(_) => return,
        };
        self.cancellers.borrow_mut().remove(&attempt);
        if !is_complete {
            self.handle_input(Input::ExchangeFailed {
                attempt,
                sent: sent.get(),
            });
        }
    }

    async fn receive(
        self: &Rc<Self>,
        address: SocketAddr,
        dispatch: Dispatch,
        sent: &Cell<bool>,
    ) -> crate::http::Result<()> {
        let attempt = dispatch.attempt.clone();
        let request_message = Timestamped {
            stamp: self.context.timeline.timestamp(),
            value: dispatch,
        };
        let body = wire::encode(&request_message)
            .map_err(|error| crate::http::Error::Protocol(error.to_string()))?;
        let mut request = client::Request::post("/peer/dispatch", body);
        request
            .headers
            .insert(SECRET_HEADER, self.context.outboxes.secret());
        let mut connection = self.context.pool.acquire(address).await?;
        sent.set(true);
        connection.send(request).await?;
        let mut response = connection.receive_response().await?;
        if response.status != StatusCode::OK {
            return Err(crate::http::Error::Protocol(response.status.to_string()));
        }
        let mut has_ended = false;
        while let Some(part) = response.next_part().await? {
            let part: Timestamped<Vec<Frame>> = wire::decode(&part)
                .map_err(|error| crate::http::Error::Protocol(error.to_string()))?;
            self.context.timeline.receive_timestamp(part.stamp);
            for frame in part.value {
                has_ended |= !matches!(frame, Frame::Head(_) | Frame::Data(_));
                self.handle_input(Input::Frame {
                    attempt: attempt.clone(),
                    frame,
                });
            }
        }
        self.context.pool.release(address, connection);
        match has_ended {
            true => Ok(()),
            false => Err(crate::http::Error::Closed),
        }
    }
}

/// Converts a caller's request to a call.
fn to_call(request: Request) -> Call {
    let mut headers = Vec::new();
    for (name, value) in &request.headers {
        // Values in a message are text, so a field with another value is omitted.
        let Ok(value) = value.to_str() else {
            continue;
        };
        headers.push((name.as_str().to_owned(), value.to_owned()));
    }
    Call {
        method: request.method.as_str().to_owned(),
        path: request.uri.to_string(),
        headers,
        body: request.body.to_vec(),
    }
}

fn status_code(head: &ResponseHead) -> StatusCode {
    StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY)
}

/// The header fields of a response without the hop-by-hop ones.
fn response_headers(head: &ResponseHead) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in &head.headers {
        if matches!(
            name.as_str(),
            "connection" | "content-length" | "transfer-encoding"
        ) {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    headers
}

/// Sends a refusal as the response.
fn refuse(responder: Responder, refusal: &Refusal) {
    let reason = refusal.reason;
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers.insert(
        "eelgrassdyke-run",
        HeaderValue::from_static(refusal.run_status.as_str()),
    );
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        headers.insert(
            "retry-after",
            HeaderValue::from(retry_after_ms.div_ceil(1000).max(1)),
        );
    }
    let body = serde_json::json!({
        "error": {
            "type": reason.as_str(),
            "run": refusal.run_status.as_str(),
            "message": reason.remedy(),
            "retry_after_ms": refusal.retry_after_ms,
        }
    });
    let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    responder.respond(status, headers, format!("{body}\n"));
}
