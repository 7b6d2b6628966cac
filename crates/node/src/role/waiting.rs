//! Responders of pending requests, by ticket.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use eelgrassdyke_core::id::Ticket;

use crate::http::server::Responder;

/// Responders of pending requests.
#[derive(Default)]
pub struct PendingResponses {
    responders: RefCell<HashMap<Ticket, Responder>>,
    last_ticket: Cell<u64>,
}

impl PendingResponses {
    /// Stores a responder and returns its ticket.
    pub fn insert(&self, responder: Responder) -> Ticket {
        let ticket = self.next_ticket();
        self.responders.borrow_mut().insert(ticket, responder);
        ticket
    }

    /// Stores a responder; calls `on_disconnect` once if its peer disconnects before the response
    /// is complete.
    pub fn insert_with_hook(
        &self,
        responder: Responder,
        on_disconnect: impl FnOnce(Ticket) + 'static,
    ) -> Ticket {
        let ticket = self.next_ticket();
        responder.on_disconnect(move || on_disconnect(ticket));
        self.responders.borrow_mut().insert(ticket, responder);
        ticket
    }

    /// Calls `send` with a responder, if it is still pending.
    pub fn with_responder(&self, ticket: Ticket, send: impl FnOnce(&Responder)) {
        if let Some(responder) = self.responders.borrow().get(&ticket) {
            send(responder);
        }
    }

    /// Removes a responder, to complete its response.
    pub fn remove(&self, ticket: Ticket) -> Option<Responder> {
        self.responders.borrow_mut().remove(&ticket)
    }

    fn next_ticket(&self) -> Ticket {
        self.last_ticket.set(self.last_ticket.get() + 1);
        Ticket(self.last_ticket.get())
    }
}
