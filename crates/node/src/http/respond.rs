//! Responses: the handler's side of an exchange.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;
use http::header::CONNECTION;
use http::{HeaderMap, StatusCode};

use super::budget::{Permit, SMALL_BODY_BYTES};

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

/// Counts the responses of a process that are not yet written to their connections.
#[derive(Debug, Default)]
pub struct Unwritten {
    latest: RefCell<Rc<Group>>,
    unsent: Rc<Unsent>,
}

/// The unsent parts of all streams of a process.
#[derive(Debug)]
struct Unsent {
    bytes: Cell<usize>,
    bytes_max: usize,
}

impl Default for Unsent {
    fn default() -> Self {
        Self {
            bytes: Cell::default(),
            bytes_max: usize::MAX,
        }
    }
}

impl Unwritten {
    /// Counts responses whose unsent parts may have `unsent_bytes_max` bytes together; beyond it, the streams that have
    /// more than [`SMALL_BODY_BYTES`] are closed.
    pub fn new(unsent_bytes_max: usize) -> Rc<Self> {
        let unsent = Unsent {
            bytes: Cell::default(),
            bytes_max: unsent_bytes_max,
        };
        Rc::new(Self {
            unsent: Rc::new(unsent),
            ..Self::default()
        })
    }

    /// Bytes of streams that are not sent yet.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent.bytes.get()
    }

    /// The responses to the requests received so far; those received from now on belong to the next group.
    pub fn split_off(&self) -> Rc<Group> {
        self.latest.take()
    }

    /// The group of the requests received from the last [`Unwritten::split_off`] on.
    pub fn latest(&self) -> Rc<Group> {
        self.latest.borrow().clone()
    }
}

/// A group of responses, by the time of their requests.
#[derive(Debug, Default)]
pub struct Group {
    open: Cell<usize>,
    queued: Cell<usize>,
}

impl Group {
    /// Number of requests that were handed over and whose response is not yet written.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Number of those responses that are complete, so that only the writing is left.
    pub fn queued(&self) -> usize {
        self.queued.get()
    }
}

/// Counts a response until it is written or its connection ends.
pub(super) struct OpenResponse {
    exchange: Rc<Exchange>,
}

impl OpenResponse {
    pub(super) fn new(exchange: Rc<Exchange>) -> Self {
        let group = &exchange.group;
        group.open.set(group.open.get() + 1);
        Self { exchange }
    }
}

impl Drop for OpenResponse {
    fn drop(&mut self) {
        drop(self.exchange.permits.take());
        self.exchange.record_sent(self.exchange.unsent_bytes.get());
        let group = &self.exchange.group;
        group.open.set(group.open.get() - 1);
        if self.exchange.progress.replace(Progress::Closed) == Progress::Queued {
            group.queued.set(group.queued.get() - 1);
        }
    }
}

/// How far a response has got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Progress {
    /// Parts of it are missing.
    #[default]
    Open,
    /// All parts are queued for the connection.
    Queued,
    /// It is written, or the connection has ended.
    Closed,
}

/// State shared by a connection and the responder of its current request.
#[derive(Default)]
pub struct Exchange {
    group: Rc<Group>,
    progress: Cell<Progress>,
    unsent: Rc<Unsent>,
    unsent_bytes: Cell<usize>,
    is_overflowed: Cell<bool>,
    /// Tells the connection's task, which may be writing, that too much is unsent.
    overflow: RefCell<Option<oneshot::Sender<()>>>,
    pub disconnected: Cell<bool>,
    /// Whether the peer had closed its sending side when the request was handed over.
    pub closed_early: Cell<bool>,
    /// Whether the response states that the connection closes after it.
    pub closes_connection: Cell<bool>,
    pub on_disconnect: RefCell<Option<Box<dyn FnOnce()>>>,
    /// Memory of the bodies of the request and of the response, until the response is written.
    permits: RefCell<Vec<Permit>>,
}

impl Exchange {
    /// An exchange whose response counts as one of the latest.
    pub(super) fn new(unwritten: &Unwritten) -> Self {
        Self {
            group: unwritten.latest(),
            unsent: unwritten.unsent.clone(),
            ..Self::default()
        }
    }

    /// Resolves when so much of the stream is unsent that the connection has to close.
    pub(super) fn overflow(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        *self.overflow.borrow_mut() = Some(sender);
        receiver
    }

    /// Records that bytes of a stream are queued for the connection; false if they are too many.
    fn record_unsent(&self, bytes: usize) -> bool {
        self.unsent_bytes.set(self.unsent_bytes.get() + bytes);
        self.unsent.bytes.set(self.unsent.bytes.get() + bytes);
        let bytes_max = match self.unsent.bytes.get() > self.unsent.bytes_max {
            true => SMALL_BODY_BYTES,
            false => UNSENT_BYTES_MAX,
        };
        self.unsent_bytes.get() <= bytes_max
    }

    /// Records that bytes of a stream are written or dropped.
    pub(super) fn record_sent(&self, bytes: usize) {
        self.unsent_bytes.set(self.unsent_bytes.get() - bytes);
        self.unsent.bytes.set(self.unsent.bytes.get() - bytes);
    }

    /// Keeps permits for the memory of a body until the response is written.
    pub(super) fn hold(&self, permits: impl IntoIterator<Item = Permit>) {
        self.permits.borrow_mut().extend(permits);
    }

    /// Records that all parts of the response are queued.
    fn set_queued(&self) {
        if self.progress.get() == Progress::Open {
            self.progress.set(Progress::Queued);
            self.group.queued.set(self.group.queued.get() + 1);
        }
    }

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

    /// Keeps the permit for the memory of the response until it is written.
    pub fn hold(&self, permit: Option<Permit>) {
        self.exchange.hold(permit);
    }

    /// Sends a complete response.
    pub fn respond(self, status: StatusCode, headers: HeaderMap, body: impl Into<Bytes>) {
        self.exchange
            .closes_connection
            .set(requests_close(&headers));
        self.exchange.set_queued();
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
        if self.exchange.progress.get() == Progress::Closed || self.exchange.is_overflowed.get() {
            return;
        }
        if !self.exchange.record_unsent(data.len()) {
            // Closed by the connection's task: the disconnect hook must not run within this call.
            self.exchange.is_overflowed.set(true);
            if let Some(overflow) = self.exchange.overflow.take() {
                let _ = overflow.send(());
            }
        }
        self.send_part(ResponsePart::Data(data));
    }

    /// Completes a streamed response.
    pub fn end_stream(self) {
        self.exchange.set_queued();
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
