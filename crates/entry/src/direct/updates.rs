//! What control tells: the configuration, the servers, and which engines are slow or closed.

use eelgrassdyke_core::config::RetryPolicy;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Service, Ticket};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::{Message, Sender};

use super::flight::{Flight, Stage};
use super::io::Output;
use super::path::Direct;
use super::pool::Verdict;
use super::table::Table;

impl Direct {
    pub(super) fn take_mail(
        &mut self,
        now: Instant,
        from: &Sender,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let update = match message {
            Message::Update(update) => update,
            Message::ReportAck(kept) => {
                self.books.record_ack(from, &kept);
                return;
            }
            _ => return,
        };
        let tells_slow = update.has_quorum && update.directory.is_some();
        let change = self.follower.apply(now, &from.process, update);
        self.books
            .set_control_addresses(self.follower.control_addresses());
        if change.config_changed {
            self.table = Table::new(self.follower.document());
            let detail = format!("version {}", self.follower.version());
            out.push(Output::Event(Event::new(Code::ConfigApplied, detail)));
        }
        if change.directory_changed {
            self.learn_servers(now);
        }
        if tells_slow {
            self.pool.note_slow(now, self.follower.slow_engines());
        }
        if change.directory_changed || change.slow_engines_changed {
            if change.slow_engines_changed {
                self.note_slow(out);
                self.leave_slow(now, out);
            }
            self.advance_all(now, out);
        }
    }

    /// Sends what waits for any service as long as there are places.
    pub(super) fn advance_all(&mut self, now: Instant, out: &mut Vec<Output>) {
        let waiting = self.lines.iter().filter(|(_, line)| !line.is_empty());
        let services: Vec<Service> = waiting.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.advance(now, &service, out);
        }
    }

    /// Moves streams that can be resumed away from slow engines: each step of the whole group takes as
    /// long as their part of it.
    fn leave_slow(&mut self, now: Instant, out: &mut Vec<Output>) {
        let at_slow = |flight: &Flight| match &flight.stage {
            Stage::Running { server, .. } => {
                flight.mount.retry_policy == RetryPolicy::Resumable
                    && self.pool.is_spared(now, server)
            }
            Stage::Waiting { .. } => false,
        };
        let open = self.flights.iter().filter(|(_, flight)| at_slow(flight));
        let tickets: Vec<Ticket> = open.map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            let Some(mut flight) = self.lift(ticket) else {
                continue;
            };
            let ran_at = flight.ran_at.len();
            flight.mark_ran();
            if !self.may_repeat(now, &flight) {
                flight.ran_at.truncate(ran_at);
                self.land(ticket, flight);
                continue;
            }
            self.break_off(now, ticket, &flight, Verdict::Unknown, out);
            self.repeat(now, ticket, flight, "slow server", out);
        }
    }

    fn learn_servers(&mut self, now: Instant) {
        let servers = self.follower.servers();
        let mut names = self.pool.names();
        names.extend(servers.keys().cloned());
        for name in names {
            self.pool.learn(now, &name, servers.get(&name));
        }
    }
}
