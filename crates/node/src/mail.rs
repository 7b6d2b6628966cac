//! Sends messages to other processes in batches.
//!
//! Each peer has two bounded outboxes, and one task per outbox sends its messages. A batch that can't
//! be sent is dropped, and a full outbox drops its oldest message: all protocols tolerate lost
//! messages and retry. Messages on which leadership or a lease depends have an outbox and a connection of
//! their own, so that they neither wait behind others nor are dropped for them.
//!
//! A peer of an earlier build may refuse a whole batch because it doesn't know one of the messages.
//! Such a batch is sent again in halves, so that only this message is lost.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::wire::{self, Batch, Message, Sender};
use http::{HeaderValue, StatusCode};
use metrics::counter;

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
    outboxes: RefCell<HashMap<(SocketAddr, Lane), Outbox>>,
    /// Peers to which the last batch of an outbox was not delivered.
    unreachable: RefCell<HashSet<SocketAddr>>,
}

/// Which of the two outboxes of a peer a message waits in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Lane {
    Urgent,
    Other,
}

impl Lane {
    fn of(message: &Message) -> Self {
        match message.is_urgent() {
            true => Self::Urgent,
            false => Self::Other,
        }
    }
}

/// What became of a batch.
enum Delivery {
    /// The peer has accepted it.
    Accepted,
    /// The peer can't decode it and has handled none of its messages.
    Refused,
    /// It was not delivered.
    Failed {
        /// Its size.
        bytes: usize,
    },
}

#[derive(Default)]
struct Outbox {
    messages: VecDeque<Message>,
    /// Whether messages were dropped since it was last empty.
    overflowed: bool,
}

impl Outbox {
    /// Drops the oldest message; returns an event for the first one since the outbox was last empty.
    fn drop_oldest(&mut self, to: SocketAddr) -> Option<Event> {
        let dropped = self.messages.pop_front()?;
        counter!("eelgrassdyke_messages_dropped_total", "kind" => dropped.kind()).increment(1);
        if std::mem::replace(&mut self.overflowed, true) {
            return None;
        }
        let mut waiting: BTreeMap<&'static str, u64> = BTreeMap::new();
        for message in &self.messages {
            *waiting.entry(message.kind()).or_default() += 1;
        }
        let (kind, count) = waiting.into_iter().max_by_key(|(_, count)| *count)?;
        let event = Event::new(Code::MessagesDropped, to.to_string())
            .with_fact("kind", kind)
            .with_fact("messages", count);
        Some(event)
    }
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
        // The counter is exported before a message is dropped.
        counter!("eelgrassdyke_messages_dropped_total", "kind" => "log").increment(0);
        Rc::new(Self {
            me,
            secret: value,
            pool,
            timeline,
            outboxes,
            unreachable: RefCell::default(),
        })
    }

    /// The shared secret as a header value.
    pub fn secret(&self) -> HeaderValue {
        self.secret.clone()
    }

    /// Queues a message for `to`.
    pub fn send(self: &Rc<Self>, to: SocketAddr, message: Message) {
        counter!("eelgrassdyke_messages_sent_total", "kind" => message.kind()).increment(1);
        let mut outboxes = self.outboxes.borrow_mut();
        let key = (to, Lane::of(&message));
        let is_new = !outboxes.contains_key(&key);
        let outbox = outboxes.entry(key).or_default();
        if outbox.messages.len() >= OUTBOX_MESSAGES_MAX
            && let Some(event) = outbox.drop_oldest(to)
        {
            self.timeline.record_event(event);
        }
        outbox.messages.push_back(message);
        if is_new {
            monoio::spawn(self.clone().drain_outbox(key));
        }
    }

    /// Sends batches until the outbox is empty.
    async fn drain_outbox(self: Rc<Self>, key: (SocketAddr, Lane)) {
        let to = key.0;
        loop {
            let messages = self.next_batch(key);
            if messages.is_empty() {
                return;
            }
            let message_count = messages.len();
            let sent = self.send_messages(to, messages).await;
            let Err(batch_bytes) = sent else {
                if self.unreachable.borrow_mut().remove(&to) {
                    let event = Event::new(Code::PeerReached, to.to_string());
                    self.timeline.record_event(event);
                }
                continue;
            };
            if self.unreachable.borrow_mut().insert(to) {
                let event = Event::new(Code::PeerUnreachable, to.to_string())
                    .with_fact("messages", message_count as u64)
                    .with_fact("bytes", batch_bytes as u64);
                self.timeline.record_event(event);
            }
            monoio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Takes the next batch from an outbox; removes an empty outbox.
    fn next_batch(&self, key: (SocketAddr, Lane)) -> Vec<Message> {
        let mut outboxes = self.outboxes.borrow_mut();
        let Some(outbox) = outboxes.get_mut(&key) else {
            return Vec::new();
        };
        let count = outbox.messages.len().min(BATCH_MESSAGES_MAX);
        let messages: Vec<Message> = outbox.messages.drain(..count).collect();
        if messages.is_empty() {
            outboxes.remove(&key);
        }
        messages
    }

    /// Sends messages as one batch, or in parts if the peer refuses it. The error is the size of the batch
    /// that was not delivered, in bytes.
    async fn send_messages(
        &self,
        to: SocketAddr,
        messages: Vec<Message>,
    ) -> std::result::Result<(), usize> {
        // Parts to send, the next one last.
        let mut parts = vec![messages];
        while let Some(mut messages) = parts.pop() {
            match self.send_batch(to, &mut messages).await {
                Delivery::Accepted => {}
                Delivery::Refused if messages.len() > 1 => {
                    parts.push(messages.split_off(messages.len() / 2));
                    parts.push(messages);
                }
                Delivery::Refused => {
                    let event = Event::new(Code::MessageSkipped, format!("refused by {to}"));
                    self.timeline
                        .record_event(event.with_fact("messages", 1_u64));
                }
                Delivery::Failed { bytes } => return Err(bytes),
            }
        }
        Ok(())
    }

    /// Sends one batch; `messages` keeps its content.
    async fn send_batch(&self, to: SocketAddr, messages: &mut Vec<Message>) -> Delivery {
        let batch = Batch {
            from: self.me.clone(),
            stamp: self.timeline.timestamp(),
            messages: std::mem::take(messages),
        };
        let encoded = wire::encode(&batch);
        *messages = batch.messages;
        let body = match encoded {
            Ok(body) => body,
            Err(error) => {
                log::error!("can't encode a message batch: {error}");
                return Delivery::Failed { bytes: 0 };
            }
        };
        let bytes = body.len();
        let mut request = Request::post("/peer/mail", body);
        request.headers.insert(SECRET_HEADER, self.secret.clone());
        match self.pool.call(to, request, SEND_TIMEOUT).await {
            Ok((status, _)) if status.is_success() => Delivery::Accepted,
            Ok((StatusCode::BAD_REQUEST, _)) => Delivery::Refused,
            Ok((status, _)) => {
                log::warn!("{to} refused messages with status {status}");
                Delivery::Failed { bytes }
            }
            Err(error) => {
                log::debug!("{to}: {error}");
                Delivery::Failed { bytes }
            }
        }
    }
}
