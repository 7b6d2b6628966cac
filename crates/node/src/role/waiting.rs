//! Peers that wait for an answer, by ticket.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use eelgrassdyke_core::id::Ticket;

use crate::http::server::Responder;

/// The ways back to peers that wait for an answer.
#[derive(Default)]
pub struct Waiting {
    responders: RefCell<HashMap<Ticket, Responder>>,
    last: Cell<u64>,
}

impl Waiting {
    /// Keeps a responder and gives the ticket that stands for it.
    pub fn add(&self, responder: Responder) -> Ticket {
        let ticket = self.issue();
        self.responders.borrow_mut().insert(ticket, responder);
        ticket
    }

    /// Keeps a responder; `gone` is called once when its peer is found gone before its answer is
    /// whole.
    pub fn add_watched(&self, responder: Responder, gone: impl FnOnce(Ticket) + 'static) -> Ticket {
        let ticket = self.issue();
        responder.on_gone(move || gone(ticket));
        self.responders.borrow_mut().insert(ticket, responder);
        ticket
    }

    /// Streams to a peer that still waits.
    pub fn with(&self, ticket: Ticket, send: impl FnOnce(&Responder)) {
        if let Some(responder) = self.responders.borrow().get(&ticket) {
            send(responder);
        }
    }

    /// Takes the responder of a peer that still waits, for the end of its answer.
    pub fn take(&self, ticket: Ticket) -> Option<Responder> {
        self.responders.borrow_mut().remove(&ticket)
    }

    fn issue(&self) -> Ticket {
        self.last.set(self.last.get() + 1);
        Ticket(self.last.get())
    }
}
