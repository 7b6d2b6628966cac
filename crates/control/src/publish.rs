//! Submissions; publications, which are whole configurations under a number chosen by the operator, and
//! reads of the last one. Also handles the notices of servers without an agent.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::config::{Publication, Submission};
use eelgrassdyke_core::id::{Server, Ticket};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::{Message, Sender};

use crate::control::Control;
use crate::io::{OperatorResponse, Output, ServerNotice};
use crate::log;
use crate::proposals::Waiter;
use crate::reads::PublicationReads;
use crate::state::Action;

impl Control {
    /// Proposes an operator's change of the configuration.
    pub(crate) fn submit(
        &mut self,
        now: Instant,
        ticket: Ticket,
        submission: Submission,
        out: &mut Vec<Output>,
    ) {
        let operation = submission.operation.clone();
        let waiter = Waiter::Submission { ticket, operation };
        self.propose(now, Action::Submit(submission), waiter, out);
    }

    /// Proposes a publication.
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
        let waiter = Waiter::Submission { ticket, operation };
        self.propose(now, Action::Publish(publication), waiter, out);
    }

    /// Starts an operator's read of the last publication, which a quorum has to confirm.
    pub(crate) fn read_publication(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Output>) {
        if !self.replica.has_quorum(now) {
            let reason = "no recent contact with a leader or a quorum";
            let refusal = (reason, Duration::ZERO);
            PublicationReads::refuse(now, &self.replica, ticket, refusal, out);
            return;
        }
        let query_number = self.confirmations.next_query_number();
        self.reads.add(now, query_number, ticket);
        self.step_log(now, log::Input::ReadIndex { query_number }, out);
    }

    /// Repeats overdue queries, and responds to confirmed reads and to those that have timed out.
    pub(crate) fn complete_reads(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.reads.is_empty() {
            return;
        }
        let confirmations = &mut self.confirmations;
        let queries = self
            .reads
            .repeat_queries(now, || confirmations.next_query_number());
        for query_number in queries {
            self.step_log(now, log::Input::ReadIndex { query_number }, out);
        }
        let publication = self.state.config.publication();
        self.reads.complete(now, &self.replica, publication, out);
    }

    /// Handles the notice of a server without an agent and forwards it to the other control processes.
    ///
    /// A replica without a quorum may be partitioned from the others, so it refuses the notice and the
    /// server turns to another control process.
    pub(crate) fn announce(
        &mut self,
        now: Instant,
        ticket: Ticket,
        notice: ServerNotice,
        out: &mut Vec<Output>,
    ) {
        if !self.replica.has_quorum(now) {
            out.push(PublicationReads::no_quorum_response(ticket));
            return;
        }
        let peers = self.replica.peer_addresses();
        let (event, accepted) = match notice {
            ServerNotice::Heartbeat(heartbeat) => {
                let event = self.directory.record_heartbeat(now, heartbeat.clone());
                for to in peers {
                    let message = Message::Heartbeat(heartbeat.clone());
                    out.push(Output::Send { to, message });
                }
                (event, Some(ticket))
            }
            ServerNotice::Left(server) => {
                let event = self.directory.remove_server(now, &server);
                self.pass_on_departure(&server, &peers, out);
                (event, self.departures.add(now, ticket, server, peers))
            }
        };
        if event.is_some() {
            self.next_push = now;
        }
        out.extend(event.map(Output::Event));
        accept_notices(accepted, out);
    }

    /// Tells other control processes that a server has left.
    fn pass_on_departure<'a>(
        &self,
        server: &Server,
        peers: impl IntoIterator<Item = &'a SocketAddr>,
        out: &mut Vec<Output>,
    ) {
        // The departure names the incarnation, for those that know no heartbeat of the server.
        let departure = self.directory.departure(server).map(Message::Heartbeat);
        for to in peers {
            let left = Message::ServerLeft(server.clone());
            for message in departure.iter().cloned().chain([left]) {
                out.push(Output::Send { to: *to, message });
            }
        }
    }

    /// Acknowledges the notices that enough control processes hold, or that have waited long enough, and
    /// sends the others again.
    pub(crate) fn complete_departures(&mut self, now: Instant, out: &mut Vec<Output>) {
        accept_notices(self.departures.take_overdue(now), out);
        for (server, peers) in self.departures.take_due(now) {
            self.pass_on_departure(&server, &peers, out);
        }
    }

    /// Records that another control process holds a departure.
    pub(crate) fn handle_departure_noted(
        &mut self,
        from: &Sender,
        server: &Server,
        out: &mut Vec<Output>,
    ) {
        let accepted = self.departures.record_confirmation(server, from.address);
        accept_notices(accepted, out);
    }

    /// Removes a server that has announced to another control process that it leaves.
    pub(crate) fn handle_server_left(
        &mut self,
        now: Instant,
        from: &Sender,
        server: &Server,
        out: &mut Vec<Output>,
    ) {
        out.push(Output::Send {
            to: from.address,
            message: Message::ServerLeftNoted(server.clone()),
        });
        let Some(event) = self.directory.remove_server(now, server) else {
            return;
        };
        out.push(Output::Event(event));
        // The sender has not named the incarnation, so it may not know it.
        if let Some(departure) = self.directory.departure(server) {
            let message = Message::Heartbeat(departure);
            out.push(Output::Send {
                to: from.address,
                message,
            });
        }
    }

    /// Sends a control process that has started the recent departures, which it has forgotten.
    pub(crate) fn send_departures(&self, to: &Sender, out: &mut Vec<Output>) {
        for departure in self.directory.departures() {
            let message = Message::Heartbeat(departure);
            out.push(Output::Send {
                to: to.address,
                message,
            });
        }
    }
}

fn accept_notices(tickets: impl IntoIterator<Item = Ticket>, out: &mut Vec<Output>) {
    for ticket in tickets {
        let response = OperatorResponse::NoticeAccepted;
        out.push(Output::Respond { ticket, response });
    }
}
