//! What other processes of the system send: batches of messages, and dispatches.

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::wire::dispatch::Dispatch;
use eelgrassdyke_core::wire::{self, Batch, Message, Sender, Timestamped};
use http::{HeaderMap, StatusCode};

use crate::http::server::{Request, Responder};
use crate::mail::SECRET_FIELD;
use crate::node::Node;

/// Answers a request below `/peer/`.
pub fn handle(node: &Node, request: Request, responder: Responder) {
    if !is_peer(node, &request.headers) {
        node.timeline().note(Event::new(
            Code::InputRefused,
            format!("{}: secret", request.peer),
        ));
        empty(responder, StatusCode::FORBIDDEN);
        return;
    }
    match request.uri.path() {
        "/peer/mail" => take_batch(node, &request, responder),
        "/peer/dispatch" => take_dispatch(node, &request, responder),
        _ => empty(responder, StatusCode::NOT_FOUND),
    }
}

/// Whether a request carries the peers' secret.
pub fn is_peer(node: &Node, headers: &HeaderMap) -> bool {
    let secret = headers
        .get(SECRET_FIELD)
        .and_then(|value| value.to_str().ok());
    node.secret().matches(secret.unwrap_or_default())
}

fn take_batch(node: &Node, request: &Request, responder: Responder) {
    let batch: Batch = match wire::decode(&request.body) {
        Ok(batch) => batch,
        Err(error) => {
            refuse(node, request, responder, &error);
            return;
        }
    };
    empty(responder, StatusCode::NO_CONTENT);
    node.timeline().hear(batch.stamp);
    for message in batch.messages {
        deliver(node, &batch.from, message);
    }
}

fn take_dispatch(node: &Node, request: &Request, responder: Responder) {
    let Some(agent) = node.agent() else {
        empty(responder, StatusCode::NOT_FOUND);
        return;
    };
    match wire::decode::<Timestamped<Dispatch>>(&request.body) {
        Ok(dispatch) => {
            node.timeline().hear(dispatch.stamp);
            agent.take_dispatch(dispatch.value, responder);
        }
        Err(error) => refuse(node, request, responder, &error),
    }
}

/// Hands a message to every role that it may concern; each ignores what is not for it.
fn deliver(node: &Node, from: &Sender, message: Message) {
    if let Some(control) = node.control() {
        let message = message.clone();
        control.feed(eelgrassdyke_control::Input::Message {
            from: from.clone(),
            message,
        });
    }
    if let Some(entry) = node.entry() {
        let message = message.clone();
        entry.feed(eelgrassdyke_entry::Input::Message {
            from: from.clone(),
            message,
        });
    }
    if let Some(direct) = node.direct() {
        let message = message.clone();
        direct.feed(eelgrassdyke_entry::direct::Input::Message {
            from: from.clone(),
            message,
        });
    }
    if let Some(watch) = node.watch() {
        let message = message.clone();
        watch.feed(eelgrassdyke_agent::watch::Input::Message {
            from: from.clone(),
            message,
        });
    }
    if let Some(agent) = node.agent() {
        agent.feed(eelgrassdyke_agent::Input::Message {
            from: from.clone(),
            message,
        });
    }
}

fn refuse(node: &Node, request: &Request, responder: Responder, error: &wire::Error) {
    let detail = format!("{}: {error}", request.peer);
    node.timeline().note(Event::new(Code::InputRefused, detail));
    empty(responder, StatusCode::BAD_REQUEST);
}

fn empty(responder: Responder, status: StatusCode) {
    responder.answer(status, HeaderMap::new(), "");
}
