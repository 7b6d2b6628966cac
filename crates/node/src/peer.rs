//! Handles requests from other processes of the system: message batches and dispatches.

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::wire::dispatch::Dispatch;
use eelgrassdyke_core::wire::{self, Batch, Message, Sender, Timestamped};
use http::{HeaderMap, StatusCode};

use crate::http::server::{Request, Responder};
use crate::mail::SECRET_HEADER;
use crate::node::Node;

/// Handles a request below `/peer/`.
pub fn handle(node: &Node, request: Request, responder: Responder) {
    if !is_peer(node, &request.headers) {
        node.timeline().record_event(Event::new(
            Code::InputRefused,
            format!("{}: secret", request.peer),
        ));
        respond_empty(responder, StatusCode::FORBIDDEN);
        return;
    }
    match request.uri.path() {
        "/peer/mail" => handle_batch(node, &request, responder),
        "/peer/dispatch" => handle_dispatch(node, &request, responder),
        _ => respond_empty(responder, StatusCode::NOT_FOUND),
    }
}

/// Whether a request carries the peers' secret.
pub fn is_peer(node: &Node, headers: &HeaderMap) -> bool {
    let secret = headers
        .get(SECRET_HEADER)
        .and_then(|value| value.to_str().ok());
    node.secret().matches(secret.unwrap_or_default())
}

fn handle_batch(node: &Node, request: &Request, responder: Responder) {
    let known = match Batch::decode_known(&request.body) {
        Ok(known) => known,
        Err(error) => {
            reject_body(node, request, responder, &error);
            return;
        }
    };
    respond_empty(responder, StatusCode::NO_CONTENT);
    let batch = known.batch;
    if let Some(error) = known.first_error {
        let detail = format!("from {}: {error}", batch.from.process);
        let event = Event::new(Code::MessageSkipped, detail);
        let event = event.with_fact("messages", known.skipped as u64);
        node.timeline().record_event(event);
    }
    node.timeline().receive_timestamp(batch.stamp);
    for message in batch.messages {
        deliver_message(node, &batch.from, message);
    }
}

fn handle_dispatch(node: &Node, request: &Request, responder: Responder) {
    let Some(agent) = node.agent() else {
        respond_empty(responder, StatusCode::NOT_FOUND);
        return;
    };
    match wire::decode::<Timestamped<Dispatch>>(&request.body) {
        Ok(dispatch) => {
            node.timeline().receive_timestamp(dispatch.stamp);
            agent.handle_dispatch(dispatch.value, responder);
        }
        Err(error) => reject_body(node, request, responder, &error),
    }
}

/// Passes a message to every role of the process; each ignores messages that are not for it.
fn deliver_message(node: &Node, from: &Sender, message: Message) {
    if let Some(control) = node.control() {
        let message = message.clone();
        control.handle_input(eelgrassdyke_control::Input::Message {
            from: from.clone(),
            message,
        });
    }
    if let Some(entry) = node.entry() {
        let message = message.clone();
        entry.handle_input(eelgrassdyke_entry::Input::Message {
            from: from.clone(),
            message,
        });
    }
    if let Some(direct) = node.direct() {
        let message = message.clone();
        direct.handle_input(eelgrassdyke_entry::direct::Input::Message {
            from: from.clone(),
            message,
        });
    }
    if let Some(watch) = node.watch() {
        let message = message.clone();
        watch.handle_input(eelgrassdyke_agent::watch::Input::Message {
            from: from.clone(),
            message,
        });
    }
    if let Some(agent) = node.agent() {
        agent.handle_input(eelgrassdyke_agent::Input::Message {
            from: from.clone(),
            message,
        });
    }
}

fn reject_body(node: &Node, request: &Request, responder: Responder, error: &wire::Error) {
    let detail = format!("{}: {error}", request.peer);
    node.timeline()
        .record_event(Event::new(Code::InputRefused, detail));
    respond_empty(responder, StatusCode::BAD_REQUEST);
}

fn respond_empty(responder: Responder, status: StatusCode) {
    responder.respond(status, HeaderMap::new(), "");
}
