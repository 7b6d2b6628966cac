//! Sends messages to other processes in batches.
//!
//! Each peer has a bounded outbox, and one task per outbox sends its messages. A batch that can't
//! be sent is dropped, and a full outbox drops its oldest message: all protocols tolerate lost
//! messages and retry.

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
use crate::secret::PeerSecret;
use crate::timeline::Timeline;

/// Header field that carries the shared secret of the processes.
pub const SECRET_HEADER: &str = "x-eelgrassdyke-secret";

/// Capacity of an outbox, in messages.
const OUTBOX_MESSAGES_MAX: usize = 4096;

/// Maximum number of messages in a batch.
const BATCH_MESSAGES_MAX: usize = 256;

/// Timeout for sending a batch.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a batch that could not be sent.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The outboxes of a process, by peer address.
pub struct Outboxes {
    me: Sender,
    secret: HeaderValue,
    pool: Rc<Pool>,
    timeline: Rc<Timeline>,
    outboxes: RefCell<HashMap<SocketAddr, Outbox>>,
}

#[derive(Default)]
struct Outbox {
    messages: VecDeque<Message>,
}

impl Outboxes {
    /// Creates the outboxes, empty.
    pub fn new(
        me: Sender,
        secret: &PeerSecret,
        pool: Rc<Pool>,
        timeline: Rc<Timeline>,
    ) -> Rc<Self> {
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

    /// The shared secret as a header value.
    pub fn secret(&self) -> HeaderValue {
        self.secret.clone()
    }

    /// Queues a message for `to`.
    pub fn send(self: &Rc<Self>, to: SocketAddr, message: Message) {
        let mut outboxes = self.outboxes.borrow_mut();
        let is_new = !outboxes.contains_key(&to);
        let outbox = outboxes.entry(to).or_default();
        if outbox.messages.len() >= OUTBOX_MESSAGES_MAX {
            outbox.messages.pop_front();
        }
        outbox.messages.push_back(message);
        if is_new {
            monoio::spawn(self.clone().drain_outbox(to));
        }
    }

    /// Sends batches until the outbox of `to` is empty.
    async fn drain_outbox(self: Rc<Self>, to: SocketAddr) {
        let mut failed_before = false;
        loop {
            let messages = self.next_batch(to);
            if messages.is_empty() {
                return;
            }
            let message_count = messages.len() as u64;
            let sent = self.send_batch(to, messages).await;
            let Err(byte_count) = sent else {
                if failed_before {
                    let event = Event::new(Code::PeerReached, to.to_string());
                    self.timeline.record_event(event);
                }
                failed_before = false;
                continue;
            };
            if !failed_before {
                let event = Event::new(Code::PeerUnreachable, to.to_string())
                    .with_fact("messages", message_count)
                    .with_fact("bytes", byte_count);
                self.timeline.record_event(event);
            }
            failed_before = true;
            monoio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Takes the next batch from the outbox of `to`; removes an empty outbox.
    fn next_batch(&self, to: SocketAddr) -> Vec<Message> {
        let mut outboxes = self.outboxes.borrow_mut();
        let Some(outbox) = outboxes.get_mut(&to) else {
            return Vec::new();
        };
        let count = outbox.messages.len().min(BATCH_MESSAGES_MAX);
        let messages: Vec<Message> = outbox.messages.drain(..count).collect();
        if messages.is_empty() {
            outboxes.remove(&to);
        }
        messages
    }

    /// Sends a batch; the error is its encoded size in bytes.
    async fn send_batch(&self, to: SocketAddr, messages: Vec<Message>) -> Result<(), u64> {
        let batch = Batch {
            from: self.me.clone(),
            stamp: self.timeline.timestamp(),
            messages,
        };
        let body = match wire::encode(&batch) {
            Ok(body) => body,
            Err(error) => {
                log::error!("can't encode a message batch: {error}");
                return Err(0);
            }
        };
        let byte_count = body.len() as u64;
        let mut request = Request::post("/peer/mail", body);
        request.headers.insert(SECRET_HEADER, self.secret.clone());
        match self.pool.call(to, request, SEND_TIMEOUT).await {
            Ok((status, _)) if status.is_success() => Ok(()),
            Ok((status, _)) => {
                log::warn!("{to} refused messages with status {status}");
                Err(byte_count)
            }
            Err(error) => {
                log::debug!("{to}: {error}");
                Err(byte_count)
            }
        }
    }
}
