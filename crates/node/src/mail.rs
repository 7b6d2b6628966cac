//! Sends messages to other processes, in batches.
//!
//! Each peer has an outbox that one task empties. A batch that can't be sent is dropped, and so is
//! what would overfill an outbox: every core is built for lost messages and asks again.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::wire::{self, Batch, Message, Sender};
use http::HeaderValue;

use crate::http::client::Request;
use crate::http::pool::Pool;
use crate::secret::Peer;
use crate::timeline::TimeLine;

/// Header field that carries the peers' secret.
pub const SECRET_FIELD: &str = "x-eelgrassdyke-secret";

/// Messages that may wait for one peer.
const OUTBOX_MAX: usize = 4096;

/// Messages in one batch.
const BATCH_MAX: usize = 256;

/// Longest wait for a peer to take a batch.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a batch could not be sent.
const PAUSE: Duration = Duration::from_millis(100);

/// The outboxes of one process.
pub struct Mail {
    me: Sender,
    secret: HeaderValue,
    pool: Rc<Pool>,
    timeline: Rc<TimeLine>,
    outboxes: RefCell<HashMap<SocketAddr, Outbox>>,
}

#[derive(Default)]
struct Outbox {
    messages: VecDeque<Message>,
}

impl Mail {
    /// Empty outboxes.
    pub fn new(me: Sender, secret: &Peer, pool: Rc<Pool>, timeline: Rc<TimeLine>) -> Rc<Self> {
        let mut value =
            HeaderValue::from_str(secret.as_str()).unwrap_or(HeaderValue::from_static(""));
        value.set_sensitive(true);
        let outboxes = RefCell::new(HashMap::new());
        Rc::new(Self {
            me,
            secret: value,
            pool,
            timeline,
            outboxes,
        })
    }

    /// The peers' secret as a header value.
    pub fn secret(&self) -> HeaderValue {
        self.secret.clone()
    }

    /// Puts a message into the outbox of `to`.
    pub fn send(self: &Rc<Self>, to: SocketAddr, message: Message) {
        let mut outboxes = self.outboxes.borrow_mut();
        let idle = !outboxes.contains_key(&to);
        let outbox = outboxes.entry(to).or_default();
        if outbox.messages.len() >= OUTBOX_MAX {
            outbox.messages.pop_front();
        }
        outbox.messages.push_back(message);
        if idle {
            monoio::spawn(self.clone().empty(to));
        }
    }

    /// Sends until the outbox of `to` is empty.
    async fn empty(self: Rc<Self>, to: SocketAddr) {
        let mut failed_before = false;
        loop {
            let messages = self.take(to);
            if messages.is_empty() {
                return;
            }
            let sent = self.post(to, messages).await;
            if sent {
                if failed_before {
                    let event = Event::new(Code::PeerReached, to.to_string());
                    self.timeline.note(event);
                }
                failed_before = false;
                continue;
            }
            if !failed_before {
                self.timeline
                    .note(Event::new(Code::PeerUnreachable, to.to_string()));
            }
            failed_before = true;
            monoio::time::sleep(PAUSE).await;
        }
    }

    /// Takes the next batch; an outbox that is empty is closed.
    fn take(&self, to: SocketAddr) -> Vec<Message> {
        let mut outboxes = self.outboxes.borrow_mut();
        let Some(outbox) = outboxes.get_mut(&to) else {
            return Vec::new();
        };
        let count = outbox.messages.len().min(BATCH_MAX);
        let messages: Vec<Message> = outbox.messages.drain(..count).collect();
        if messages.is_empty() {
            outboxes.remove(&to);
        }
        messages
    }

    async fn post(&self, to: SocketAddr, messages: Vec<Message>) -> bool {
        let batch = Batch {
            from: self.me.clone(),
            stamp: self.timeline.stamp(),
            messages,
        };
        let body = match wire::encode(&batch) {
            Ok(body) => body,
            Err(error) => {
                log::error!("{error}");
                return false;
            }
        };
        let mut request = Request::post("/peer/mail", body);
        request.headers.insert(SECRET_FIELD, self.secret.clone());
        match self.pool.call(to, request, SEND_TIMEOUT).await {
            Ok((status, _)) if status.is_success() => true,
            Ok((status, _)) => {
                log::warn!("{to} refused messages with status {status}");
                false
            }
            Err(error) => {
                log::debug!("{to}: {error}");
                false
            }
        }
    }
}
