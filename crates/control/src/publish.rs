//! Configurations under numbers of the operator's own, their reading, and what back ends without an
//! agent announce.

use eelgrassdyke_core::config::Publication;
use eelgrassdyke_core::id::Ticket;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Message;

use crate::control::Control;
use crate::io::{Answer, Notice, Output};
use crate::log;
use crate::proposals::Waiting;
use crate::reads::Reads;
use crate::state::Action;

impl Control {
    pub(crate) fn publish(
        &mut self,
        now: Instant,
        ticket: Ticket,
        publication: Publication,
        out: &mut Vec<Output>,
    ) {
        let operation = format!("publication-{}", publication.number).parse();
        let Ok(operation) = operation else {
            return;
        };
        let waiting = Waiting::Operator { ticket, operation };
        self.propose(now, Action::Publish(publication), waiting, out);
    }

    /// Asks a quorum which publication is the newest, on behalf of an operator.
    pub(crate) fn read_publication(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Output>) {
        if !self.replica.has_quorum(now) {
            out.push(Reads::fail(ticket));
            return;
        }
        let question = self.confirmations.draw();
        self.reads.add(now, question, ticket);
        self.drive(
            now,
            log::Input::ReadIndex {
                query_number: question,
            },
            out,
        );
    }

    /// Answers the operators whose question a quorum has confirmed, and gives up the others in time.
    pub(crate) fn answer_reads(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.reads.is_empty() {
            return;
        }
        let published = self.state.config.published();
        let applied = self.replica.applied_index();
        self.reads.answer(now, applied, published, out);
    }

    /// Takes in what a back end says of itself and passes it on to the other control processes.
    ///
    /// A replica without a quorum may be cut off from them, so it leaves the back end to another.
    pub(crate) fn announce(
        &mut self,
        now: Instant,
        ticket: Ticket,
        notice: Notice,
        out: &mut Vec<Output>,
    ) {
        if !self.replica.has_quorum(now) {
            out.push(Reads::fail(ticket));
            return;
        }
        let message = match &notice {
            Notice::Beat(beat) => Message::Heartbeat(beat.clone()),
            Notice::Left(server) => Message::ServerLeft(server.clone()),
        };
        for to in self.replica.peer_addresses() {
            let message = message.clone();
            out.push(Output::Send { to, message });
        }
        let event = match notice {
            Notice::Beat(beat) => self.directory.hear(now, beat),
            Notice::Left(server) => self.directory.dismiss(now, &server),
        };
        if event.is_some() {
            self.next_push = now;
        }
        out.extend(event.map(Output::Event));
        let answer = Answer::Noted;
        out.push(Output::Answer { ticket, answer });
    }
}
