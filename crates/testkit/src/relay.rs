//! HTTP relays that cut, delay and duplicate the traffic between processes.
//!
//! Each process is reached through its own relay. The relay reads the sender from a batch of messages
//! or a dispatch and applies the rule for that pair of processes; operators' requests are relayed
//! unchanged. An exchange on a cut link hangs without an error, as in a network partition.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_core::id::Process;
use eelgrassdyke_core::wire::dispatch::Dispatch;
use eelgrassdyke_core::wire::{self, BATCH_BYTES_MAX, Batch};
use eelgrassdyke_node::http::client;
use eelgrassdyke_node::http::pool::Pool;
use eelgrassdyke_node::http::server::{self, Options, Request, Responder};
use http::HeaderMap;
use monoio::net::TcpListener;

use crate::errors::{Error, Result};

/// Time for which a relay holds an exchange on a cut link before it drops the exchange; the sender
/// has given up by then.
const CUT_HOLD: Duration = Duration::from_secs(30);

/// Faults injected on the link from one process to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkRule {
    /// Nothing is relayed.
    pub is_cut: bool,
    /// Time that each exchange is held before it is relayed.
    pub delay: Duration,
    /// Each batch of messages is delivered twice.
    pub duplicates_batches: bool,
}

/// Link rules of a whole deployment, by sender and receiver.
#[derive(Clone, Default)]
pub struct LinkRules {
    by_pair: Rc<RefCell<HashMap<(Process, Process), LinkRule>>>,
}

impl LinkRules {
    /// Changes the rule for traffic from one process to another.
    pub fn change(&self, from: &Process, to: &Process, change: impl FnOnce(&mut LinkRule)) {
        let mut rules = self.by_pair.borrow_mut();
        change(rules.entry((from.clone(), to.clone())).or_default());
    }

    /// Removes all rules.
    pub fn clear(&self) {
        self.by_pair.borrow_mut().clear();
    }

    fn get(&self, from: &Process, to: &Process) -> LinkRule {
        let rules = self.by_pair.borrow();
        rules
            .get(&(from.clone(), to.clone()))
            .copied()
            .unwrap_or_default()
    }
}

/// Address at which a process listens at present; `None` while it is down.
pub type Target = Rc<Cell<Option<SocketAddr>>>;

/// The relay in front of one process.
pub struct Relay {
    receiver: Process,
    target: Target,
    rules: LinkRules,
    pool: Pool,
}

impl Relay {
    /// Starts relaying requests on `listener` to `target`; returns the relay's address.
    pub fn start(
        listener: StdListener,
        receiver: Process,
        target: Target,
        rules: LinkRules,
    ) -> Result<SocketAddr> {
        listener.set_nonblocking(true).map_err(Error::harness)?;
        let address = listener.local_addr().map_err(Error::harness)?;
        let listener = TcpListener::from_std(listener).map_err(Error::harness)?;
        let relay = Rc::new(Self {
            receiver,
            target,
            rules,
            pool: Pool::default(),
        });
        let options = Options {
            body_bytes_max: BATCH_BYTES_MAX,
            cancel_on_close: true,
            ..Options::default()
        };
        let handler = Rc::new(move |request, responder| {
            monoio::spawn(relay.clone().relay(request, responder));
        });
        monoio::spawn(server::serve(listener, options, handler));
        Ok(address)
    }

    async fn relay(self: Rc<Self>, request: Request, responder: Responder) {
        let sender = sending_process(&request);
        let rule = sender
            .as_ref()
            .map(|sender| self.rules.get(sender, &self.receiver))
            .unwrap_or_default();
        if !rule.delay.is_zero() {
            monoio::time::sleep(rule.delay).await;
        }
        // The link may have been cut during the delay.
        let rule = sender
            .as_ref()
            .map(|sender| self.rules.get(sender, &self.receiver))
            .unwrap_or_default();
        if rule.is_cut {
            monoio::time::sleep(CUT_HOLD).await;
            return;
        }
        let Some(target) = self.target.get() else {
            return;
        };
        if rule.duplicates_batches && request.uri.path() == "/peer/mail" {
            let _ = self
                .pool
                .call(target, upstream_request(&request), CUT_HOLD)
                .await;
        }
        self.forward(target, request, responder, sender).await;
    }

    async fn forward(
        &self,
        target: SocketAddr,
        request: Request,
        responder: Responder,
        sender: Option<Process>,
    ) {
        let Ok(mut connection) = self.pool.acquire(target).await else {
            return;
        };
        let is_disconnected = Rc::new(Cell::new(false));
        let flag = is_disconnected.clone();
        responder.on_disconnect(move || flag.set(true));
        if connection.send(upstream_request(&request)).await.is_err() {
            return;
        }
        let Ok(mut response) = connection.receive_response().await else {
            return;
        };
        responder.start_stream(response.status, end_to_end_headers(&response.headers));
        loop {
            if is_disconnected.get() {
                return;
            }
            // Without a timeout, a sender that disconnected during a pause would not be noticed.
            let chunk = response.next_part();
            let chunk = match monoio::time::timeout(CUT_HOLD, chunk).await {
                Ok(chunk) => chunk,
                Err(_) => return,
            };
            let is_cut = sender
                .as_ref()
                .is_some_and(|sender| self.rules.get(sender, &self.receiver).is_cut);
            match chunk {
                Ok(Some(_)) if is_cut => monoio::time::sleep(CUT_HOLD).await,
                Ok(Some(data)) => responder.send_data(data),
                Ok(None) => break,
                Err(_) => return,
            }
        }
        responder.end_stream();
        self.pool.release(target, connection);
    }
}

/// Process that sent a message batch or dispatch; `None` for other requests.
fn sending_process(request: &Request) -> Option<Process> {
    match request.uri.path() {
        "/peer/mail" => wire::decode::<Batch>(&request.body)
            .ok()
            .map(|batch| batch.from.process),
        "/peer/dispatch" => wire::decode::<Dispatch>(&request.body)
            .ok()
            .map(|dispatch| dispatch.attempt.request.entry),
        _ => None,
    }
}

/// Copy of a request without the headers that the HTTP client sets itself.
fn upstream_request(request: &Request) -> client::Request {
    let mut headers = request.headers.clone();
    for name in [
        "connection",
        "content-length",
        "expect",
        "host",
        "transfer-encoding",
    ] {
        headers.remove(name);
    }
    client::Request {
        method: request.method.clone(),
        path: request.uri.to_string(),
        headers,
        body: request.body.clone(),
    }
}

/// Copy of response headers without those that the HTTP server sets itself.
fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    for name in ["connection", "content-length", "transfer-encoding"] {
        headers.remove(name);
    }
    headers
}
