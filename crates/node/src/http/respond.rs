//! Responses: the handler's side of an exchange.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use futures_channel::mpsc::UnboundedSender;
use http::header::CONNECTION;
use http::{HeaderMap, StatusCode};

/// Maximum size of the unsent part of a stream, in bytes; beyond it, the connection is closed
/// because the reader is too slow.
const UNSENT_BYTES_MAX: usize = 4 << 20;

/// A part of a response, queued for the connection.
#[derive(Debug)]
pub enum ResponsePart {
    Complete(StatusCode, HeaderMap, Bytes),
    Head(StatusCode, HeaderMap),
    Data(Bytes),
    End,
}

/// State shared by a connection and the responder of its current request.
#[derive(Default)]
pub struct Exchange {
    pub unsent_bytes: Cell<usize>,
    pub is_overflowed: Cell<bool>,
    pub disconnected: Cell<bool>,
    /// Whether the peer had closed its sending side when the request was handed over.
    pub closed_early: Cell<bool>,
    /// Whether the response states that the connection closes after it.
    pub closes_connection: Cell<bool>,
    pub on_disconnect: RefCell<Option<Box<dyn FnOnce()>>>,
}

impl Exchange {
    pub fn set_disconnected(&self) {
        if self.disconnected.replace(true) {
            return;
        }
        let hook = self.on_disconnect.borrow_mut().take();
        if let Some(hook) = hook {
            hook();
        }
    }
}

/// Sends the response to a request; dropping it before the response is complete closes the
/// connection.
pub struct Responder {
    pub(super) parts: UnboundedSender<ResponsePart>,
    pub(super) exchange: Rc<Exchange>,
}

impl Responder {
    /// Whether the peer had already closed its sending side when the request was handed over, as after
    /// the host of this process was frozen for longer than the peer waits.
    pub fn is_peer_closed(&self) -> bool {
        self.exchange.closed_early.get()
    }

    /// Calls `hook` once if the peer disconnects before the response is complete.
    pub fn on_disconnect(&self, hook: impl FnOnce() + 'static) {
        *self.exchange.on_disconnect.borrow_mut() = Some(Box::new(hook));
    }

    /// Sends a complete response.
    pub fn respond(self, status: StatusCode, headers: HeaderMap, body: impl Into<Bytes>) {
        self.exchange
            .closes_connection
            .set(requests_close(&headers));
        self.send_part(ResponsePart::Complete(status, headers, body.into()));
    }

    /// Starts a streamed response.
    pub fn start_stream(&self, status: StatusCode, headers: HeaderMap) {
        self.exchange
            .closes_connection
            .set(requests_close(&headers));
        self.send_part(ResponsePart::Head(status, headers));
    }

    /// Sends the next part of a streamed response, without buffering.
    pub fn send_data(&self, data: Bytes) {
        let unsent_bytes = self.exchange.unsent_bytes.get() + data.len();
        self.exchange.unsent_bytes.set(unsent_bytes);
        if unsent_bytes > UNSENT_BYTES_MAX {
            // Closed by the connection's task: the disconnect hook must not run within this call.
            self.exchange.is_overflowed.set(true);
        }
        self.send_part(ResponsePart::Data(data));
    }

    /// Completes a streamed response.
    pub fn end_stream(self) {
        self.send_part(ResponsePart::End);
    }

    fn send_part(&self, part: ResponsePart) {
        // Fails only if the connection is closed, which its task reports through the hook.
        let _ = self.parts.unbounded_send(part);
    }
}

/// Whether header fields state that the connection closes.
pub fn requests_close(headers: &HeaderMap) -> bool {
    let value = headers.get(CONNECTION).and_then(|v| v.to_str().ok());
    value.is_some_and(|text| text.eq_ignore_ascii_case("close"))
}
