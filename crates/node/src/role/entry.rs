//! The entry role.

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

use super::waiting::Waiting;
use super::{Cancels, Context, HANG_GRACE};
use crate::driver::Driver;
use crate::http::client;
use crate::http::server::{Request, Responder};
use crate::mail::SECRET_FIELD;

/// The entry role of a process.
pub struct Role {
    driver: Rc<Driver<Entry>>,
    context: Context,
    waiting: Waiting,
    cancels: Cancels<AttemptId>,
}

impl Role {
    /// Wraps the core and starts its alarm.
    pub fn start(core: Entry, context: Context) -> Rc<Self> {
        let role = Rc::new(Self {
            driver: Rc::new(Driver::new(core, context.clock)),
            context,
            waiting: Waiting::default(),
            cancels: RefCell::default(),
        });
        let ticker = role.clone();
        monoio::spawn(role.driver.clone().run(move || ticker.feed(Input::Tick)));
        role
    }

    /// Reads something off the core.
    pub fn read<T>(&self, look: impl FnOnce(&Entry) -> T) -> T {
        self.driver.read(look)
    }

    /// Hands an input to the core and carries out what it decides.
    pub fn feed(self: &Rc<Self>, input: Input) {
        for output in self.driver.feed(input) {
            self.carry_out(output);
        }
    }

    /// Takes in a caller's request.
    pub fn take_call(self: &Rc<Self>, request: Request, responder: Responder) {
        let role = self.clone();
        let ticket = self.waiting.add_watched(responder, move |ticket| {
            role.waiting.take(ticket);
            role.feed(Input::CallerGone { ticket });
        });
        self.feed(Input::Call {
            ticket,
            call: call(request),
        });
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::Respond { ticket, head, body } => {
                if let Some(responder) = self.waiting.take(ticket) {
                    responder.answer(status(&head), fields(&head), body);
                }
            }
            Output::StartStream { ticket, head } => {
                self.waiting.with(ticket, |responder| {
                    responder.head(status(&head), fields(&head))
                });
            }
            Output::StreamData { ticket, data } => {
                self.waiting
                    .with(ticket, |responder| responder.data(data.into()));
            }
            Output::EndStream { ticket } => {
                if let Some(responder) = self.waiting.take(ticket) {
                    responder.end();
                }
            }
            Output::Refuse { ticket, refusal } => {
                if let Some(responder) = self.waiting.take(ticket) {
                    refuse(responder, &refusal);
                }
            }
            Output::Dispatch { address, dispatch } => {
                let (cancel, cancelled) = oneshot::channel();
                self.cancels
                    .borrow_mut()
                    .insert(dispatch.attempt.clone(), cancel);
                monoio::spawn(self.clone().exchange(address, *dispatch, cancelled));
            }
            Output::Cancel { attempt } => {
                self.cancels.borrow_mut().remove(&attempt);
            }
            Output::SendMessage { to, message } => self.context.mail.send(to, message),
            Output::Event(event) => self.context.timeline.note(event),
        }
    }

    /// Sends a dispatch and feeds the frames back; dropping the canceller breaks it off.
    async fn exchange(
        self: Rc<Self>,
        address: SocketAddr,
        dispatch: Dispatch,
        cancelled: oneshot::Receiver<()>,
    ) {
        let attempt = dispatch.attempt.clone();
        let sent = Cell::new(false);
        let limit = Duration::from_micros(dispatch.time_left_us) + HANG_GRACE;
        let work = monoio::time::timeout(limit, self.receive(address, dispatch, &sent));
        let whole = match select(Box::pin(work), cancelled).await {
            Either::Left((Ok(Ok(())), _)) => true,
            Either::Left((Ok(Err(error)), _)) => {
                log::debug!("{attempt}: {error}");
                false
            }
            Either::Left((Err(_), _)) => false,
            Either::Right(_) => return,
        };
        self.cancels.borrow_mut().remove(&attempt);
        if !whole {
            self.feed(Input::ExchangeFailed {
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
        let stamped = Timestamped {
            stamp: self.context.timeline.stamp(),
            value: dispatch,
        };
        let body = wire::encode(&stamped)
            .map_err(|error| crate::http::Error::Protocol(error.to_string()))?;
        let mut request = client::Request::post("/peer/dispatch", body);
        request
            .headers
            .insert(SECRET_FIELD, self.context.mail.secret());
        let mut connection = self.context.pool.take(address).await?;
        sent.set(true);
        connection.send(request).await?;
        let mut answer = connection.answer().await?;
        if answer.status != StatusCode::OK {
            return Err(crate::http::Error::Protocol(answer.status.to_string()));
        }
        let mut ended = false;
        while let Some(part) = answer.part().await? {
            let part: Timestamped<Vec<Frame>> = wire::decode(&part)
                .map_err(|error| crate::http::Error::Protocol(error.to_string()))?;
            self.context.timeline.hear(part.stamp);
            for frame in part.value {
                ended |= !matches!(frame, Frame::Head(_) | Frame::Data(_));
                self.feed(Input::Frame {
                    attempt: attempt.clone(),
                    frame,
                });
            }
        }
        self.context.pool.put(address, connection);
        match ended {
            true => Ok(()),
            false => Err(crate::http::Error::Closed),
        }
    }
}

/// The call of a caller's request.
fn call(request: Request) -> Call {
    let mut headers = Vec::new();
    for (name, value) in &request.headers {
        // A value that is not text can't be passed on in a message; it is left out.
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

fn status(head: &ResponseHead) -> StatusCode {
    StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY)
}

/// The header fields of an answer, without those that concern one hop only.
fn fields(head: &ResponseHead) -> HeaderMap {
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

/// Answers with a refusal.
fn refuse(responder: Responder, refusal: &Refusal) {
    let reason = refusal.reason;
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers.insert(
        "eelgrassdyke-run",
        HeaderValue::from_static(refusal.run_status.as_str()),
    );
    if let Some(wait) = refusal.retry_after_ms {
        headers.insert("retry-after", HeaderValue::from(wait.div_ceil(1000).max(1)));
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
    responder.answer(status, headers, format!("{body}\n"));
}
