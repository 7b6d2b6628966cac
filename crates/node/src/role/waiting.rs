//! Peers that wait for an answer, by ticket.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use eelgrassdyke_core::id::Ticket;

use crate::http::server::Responder;

/// The ways back to peers that wait for an answer.
#[derive(Default)]
pub struct PendingResponses {
    responders: RefCell<HashMap<Ticket, Responder>>,
    last_ticket: Cell<u64>,
}

impl PendingResponses {
    /// Keeps a responder and gives the ticket that stands for it.
    pub fn insert(&self, responder: Responder) -> Ticket {
        let ticket = self.next_ticket();
        self.responders.borrow_mut().insert(ticket, responder);
        ticket
    }

    /// Keeps a responder; `gone` is called once when its peer is found gone before its answer is
    /// whole.
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

    /// Streams to a peer that still waits.
    pub fn with_responder(&self, ticket: Ticket, send: impl FnOnce(&Responder)) {
        if let Some(responder) = self.responders.borrow().get(&ticket) {
            send(responder);
        }
    }

    /// Takes the responder of a peer that still waits, for the end of its answer.
    pub fn remove(&self, ticket: Ticket) -> Option<Responder> {
        self.responders.borrow_mut().remove(&ticket)
    }

    fn next_ticket(&self) -> Ticket {
        self.last_ticket.set(self.last_ticket.get() + 1);
        Ticket(self.last_ticket.get())
    }
}
