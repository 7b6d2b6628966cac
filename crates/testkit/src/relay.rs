//! Links between processes that can be cut, delayed and doubled.
//!
//! Each process is reached through a relay of its own. The relay reads who sends a message or a
//! dispatch and follows the rule for that pair; operators' calls pass untouched. A cut is silent: the
//! sender's exchange hangs, as in a network partition.

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

/// Time after which a peer gives up on a cut exchange and a relay forgets it.
const CUT_HOLD: Duration = Duration::from_secs(30);

/// What happens on the link between two processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rule {
    /// Nothing passes.
    pub cut: bool,
    /// Each exchange waits this long first.
    pub delay: Duration,
    /// Each batch of messages passes twice.
    pub double: bool,
}

/// The rules of a whole site, by sender and receiver.
#[derive(Clone, Default)]
pub struct Rules {
    by_pair: Rc<RefCell<HashMap<(Process, Process), Rule>>>,
}

impl Rules {
    /// Changes the rule from one process to another.
    pub fn change(&self, from: &Process, to: &Process, change: impl FnOnce(&mut Rule)) {
        let mut rules = self.by_pair.borrow_mut();
        change(rules.entry((from.clone(), to.clone())).or_default());
    }

    /// Lets everything pass again.
    pub fn clear(&self) {
        self.by_pair.borrow_mut().clear();
    }

    fn get(&self, from: &Process, to: &Process) -> Rule {
        let rules = self.by_pair.borrow();
        rules
            .get(&(from.clone(), to.clone()))
            .copied()
            .unwrap_or_default()
    }
}

/// Where a process listens at present; nowhere while it is down.
pub type Target = Rc<Cell<Option<SocketAddr>>>;

/// The relay before one process.
pub struct Relay {
    to: Process,
    target: Target,
    rules: Rules,
    pool: Pool,
}

impl Relay {
    /// Starts relaying what comes in on `listener` to `target`; gives the relay's address.
    pub fn start(
        listener: StdListener,
        to: Process,
        target: Target,
        rules: Rules,
    ) -> Result<SocketAddr> {
        listener.set_nonblocking(true).map_err(Error::outside)?;
        let address = listener.local_addr().map_err(Error::outside)?;
        let listener = TcpListener::from_std(listener).map_err(Error::outside)?;
        let relay = Rc::new(Self {
            to,
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
            monoio::spawn(relay.clone().pass(request, responder));
        });
        monoio::spawn(server::serve(listener, options, handler));
        Ok(address)
    }

    async fn pass(self: Rc<Self>, request: Request, responder: Responder) {
        let from = sender(&request);
        let rule = from
            .as_ref()
            .map(|from| self.rules.get(from, &self.to))
            .unwrap_or_default();
        if !rule.delay.is_zero() {
            monoio::time::sleep(rule.delay).await;
        }
        // A cut may have come while the exchange waited.
        let rule = from
            .as_ref()
            .map(|from| self.rules.get(from, &self.to))
            .unwrap_or_default();
        if rule.cut {
            monoio::time::sleep(CUT_HOLD).await;
            return;
        }
        let Some(target) = self.target.get() else {
            return;
        };
        if rule.double && request.uri.path() == "/peer/mail" {
            let _ = self.pool.call(target, forwarded(&request), CUT_HOLD).await;
        }
        self.forward(target, request, responder, from).await;
    }

    async fn forward(
        &self,
        target: SocketAddr,
        request: Request,
        responder: Responder,
        from: Option<Process>,
    ) {
        let Ok(mut connection) = self.pool.acquire(target).await else {
            return;
        };
        let gone = Rc::new(Cell::new(false));
        let flag = gone.clone();
        responder.on_disconnect(move || flag.set(true));
        if connection.send(forwarded(&request)).await.is_err() {
            return;
        }
        let Ok(mut answer) = connection.receive_response().await else {
            return;
        };
        responder.start_stream(answer.status, passed(&answer.headers));
        loop {
            if gone.get() {
                return;
            }
            // Wakes now and then, so that a sender that went away is noticed in a pause.
            let part = answer.next_part();
            let part = match monoio::time::timeout(CUT_HOLD, part).await {
                Ok(part) => part,
                Err(_) => return,
            };
            let cut = from
                .as_ref()
                .is_some_and(|from| self.rules.get(from, &self.to).cut);
            match part {
                Ok(Some(_)) if cut => monoio::time::sleep(CUT_HOLD).await,
                Ok(Some(data)) => responder.send_data(data),
                Ok(None) => break,
                Err(_) => return,
            }
        }
        responder.end_stream();
        self.pool.release(target, connection);
    }
}

/// Which process sends a request, if one of the system's does.
fn sender(request: &Request) -> Option<Process> {
    match request.uri.path() {
        "/peer/mail" => wire::decode::<Batch>(&request.body)
            .ok()
            .map(|b| b.from.process),
        "/peer/dispatch" => wire::decode::<Dispatch>(&request.body)
            .ok()
            .map(|d| d.attempt.request.entry),
        _ => None,
    }
}

fn forwarded(request: &Request) -> client::Request {
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

fn passed(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    for name in ["connection", "content-length", "transfer-encoding"] {
        headers.remove(name);
    }
    headers
}
