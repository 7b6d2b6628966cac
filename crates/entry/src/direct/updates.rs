//! Updates from control: the configuration, the servers, and which engines are slow or closed.

use eelgrassdyke_core::config::RetryPolicy;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Service, Ticket};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::{Message, Sender};

use super::flight::{DirectRequest, Stage};
use super::io::Output;
use super::path::Direct;
use super::pool::HealthSignal;
use super::table::MountTable;

impl Direct {
    pub(super) fn handle_message(
        &mut self,
        now: Instant,
        from: &Sender,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let update = match message {
            Message::Update(update) => update,
            Message::ReportAck(ack) => {
                self.usage.record_ack(from, &ack);
                return;
            }
            Message::FactSync(sync) => {
                if sync.is_response {
                    self.crashes.record_response();
                }
                self.handle_crash_records(now, &sync.records, out);
                self.handle_limit_records(now, &sync.limits, out);
                return;
            }
            _ => return,
        };
        let includes_slow_engines = update.has_quorum && update.directory.is_some();
        let effect = self.follower.apply(now, &from.process, update);
        self.usage
            .set_control_addresses(self.follower.control_addresses());
        let mut evacuation_changed = false;
        if effect.config_changed {
            self.mounts = MountTable::new(self.follower.document());
            self.body_limit.apply(now, self.follower.document());
            let detail = format!("version {}", self.follower.version());
            out.push(Output::Event(Event::new(Code::ConfigApplied, detail)));
            evacuation_changed = self.apply_evacuation(now, out);
        }
        if effect.directory_changed {
            self.update_servers(now);
        }
        self.update_cold_limits(now, effect.directory_changed, out);
        if includes_slow_engines {
            self.pool
                .update_slow_engines(now, self.follower.slow_engines());
        }
        if evacuation_changed || effect.directory_changed {
            self.refuse_all_evacuated(now, out);
        }
        // An update may bring larger shares of the slots.
        if evacuation_changed
            || effect.directory_changed
            || effect.slow_engines_changed
            || self.options.exact_slots
        {
            if effect.slow_engines_changed {
                self.record_slow_engines(out);
                self.move_streams_off_slow_engines(now, out);
            }
            self.send_all_queued(now, out);
        }
    }

    /// Sends queued requests of all services while servers have free slots.
    pub(super) fn send_all_queued(&mut self, now: Instant, out: &mut Vec<Output>) {
        let non_empty = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let services: Vec<Service> = non_empty.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.send_queued(now, &service, out);
        }
    }

    /// Moves resumable streams away from slow engines: each step of a group takes as long as its
    /// slowest rank.
    fn move_streams_off_slow_engines(&mut self, now: Instant, out: &mut Vec<Output>) {
        let runs_on_slow_engine = |request: &DirectRequest| match &request.stage {
            Stage::Running { server, .. } => {
                request.mount.retry_policy == RetryPolicy::Resumable
                    && self.pool.is_avoided_as_slow(now, server)
            }
            Stage::Queued { .. } => false,
        };
        let affected = self
            .requests
            .iter()
            .filter(|(_, request)| runs_on_slow_engine(request));
        let tickets: Vec<Ticket> = affected.map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            let Some(mut request) = self.remove_request(ticket) else {
                continue;
            };
            let possibly_run_count = request.possibly_run_at.len();
            request.mark_possibly_run();
            if !self.try_charge_retry(now, &request) {
                request.possibly_run_at.truncate(possibly_run_count);
                self.insert_request(ticket, request);
                continue;
            }
            self.release_stage(now, ticket, &request, HealthSignal::Unknown, out);
            self.retry(now, ticket, request, "slow server", out);
        }
    }

    fn update_servers(&mut self, now: Instant) {
        let servers = self.follower.servers();
        let mut names = self.pool.server_names();
        names.extend(servers.keys().cloned());
        for name in names {
            self.pool.update_server(now, &name, servers.get(&name));
        }
        self.pool.place_units();
    }
}
