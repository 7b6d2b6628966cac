//! The control role.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use eelgrassdyke_control::{Answer, Control, Input, Output, Query};
use eelgrassdyke_core::config::Submission;
use eelgrassdyke_core::id::Ticket;

use super::Context;
use crate::driver::Driver;
use crate::http::server::Responder;
use crate::operator;

/// The control role of a process.
pub struct Role {
    driver: Rc<Driver<Control>>,
    context: Context,
    waiting: RefCell<HashMap<Ticket, Responder>>,
    next_ticket: Cell<u64>,
}

impl Role {
    /// Wraps the core and starts its alarm.
    pub fn start(core: Control, context: Context) -> Rc<Self> {
        let role = Rc::new(Self {
            driver: Rc::new(Driver::new(core, context.clock)),
            context,
            waiting: RefCell::default(),
            next_ticket: Cell::new(1),
        });
        let ticker = role.clone();
        monoio::spawn(role.driver.clone().run(move || ticker.feed(Input::Tick)));
        role
    }

    /// Reads something off the core.
    pub fn read<T>(&self, look: impl FnOnce(&Control) -> T) -> T {
        self.driver.read(look)
    }

    /// Hands an input to the core and carries out what it decides.
    pub fn feed(self: &Rc<Self>, input: Input) {
        for output in self.driver.feed(input) {
            self.carry_out(output);
        }
    }

    /// Passes an operator's change on.
    pub fn submit(self: &Rc<Self>, submission: Submission, responder: Responder) {
        let ticket = self.wait(responder);
        self.feed(Input::Submit { ticket, submission });
    }

    /// Passes an operator's question on.
    pub fn ask(self: &Rc<Self>, query: Query, responder: Responder) {
        let ticket = self.wait(responder);
        self.feed(Input::Query { ticket, query });
    }

    fn wait(&self, responder: Responder) -> Ticket {
        let ticket = Ticket(self.next_ticket.replace(self.next_ticket.get() + 1));
        self.waiting.borrow_mut().insert(ticket, responder);
        ticket
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::Send { to, message } => self.context.mail.send(to, message),
            Output::Answer { ticket, answer } => self.answer(ticket, &answer),
            Output::Event(event) => self.context.timeline.note(event),
        }
    }

    fn answer(&self, ticket: Ticket, answer: &Answer) {
        if let Some(responder) = self.waiting.borrow_mut().remove(&ticket) {
            operator::answer(responder, answer);
        }
    }
}
