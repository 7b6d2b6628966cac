//! Evacuated data centres on the direct path: their servers get nothing new, and return slowly.

use std::time::Duration;

use eelgrassdyke_core::id::{Service, Ticket};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::directory::ServerState;
use eelgrassdyke_core::wire::refusal::{Reason, Refusal, RunStatus};

use super::flight::{DirectRequest, Stage, retry_after};
use super::io::Output;
use super::path::Direct;
use super::pool::{PooledServer, ServerPool};
use super::slow_start::SlowStart;
use crate::evacuation::Evacuation;

/// Retry-after time of a request that is refused because all servers of its service are evacuated,
/// unless the caller waits less long. An evacuation lasts for minutes, but other servers may register.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(5);

impl PooledServer {
    /// Applies whether the server's data centre is evacuated.
    pub(super) fn set_evacuated(&mut self, now: Instant, is_evacuated: bool) {
        if self.is_evacuated && !is_evacuated {
            self.slow_start = Some(SlowStart::new(now));
        }
        self.is_evacuated = is_evacuated;
    }
}

impl ServerPool {
    /// Puts a new set of evacuated data centres in force.
    pub fn set_evacuation(&mut self, now: Instant, evacuation: Evacuation) {
        for server in self.servers.values_mut() {
            let is_evacuated = evacuation.covers(&server.data_centre);
            server.set_evacuated(now, is_evacuated);
        }
        self.evacuation = evacuation;
    }

    /// The evacuated data centres.
    pub fn evacuation(&self) -> &Evacuation {
        &self.evacuation
    }

    /// Whether a service has servers, and all of them are evacuated.
    pub fn is_evacuated(&self, service: &Service) -> bool {
        let servers = self.servers.values();
        let mut active = servers
            .filter(|server| {
                server.service == *service && server.state == ServerState::Up && !server.is_leaving
            })
            .peekable();
        active.peek().is_some() && active.all(|server| server.is_evacuated)
    }
}

impl Direct {
    /// Applies the evacuated data centres of a new configuration; returns whether they changed.
    pub(super) fn apply_evacuation(&mut self, now: Instant, out: &mut Vec<Output>) -> bool {
        let evacuation = Evacuation::new(self.follower.document());
        let version = self.follower.version();
        let changes = evacuation.changes_since(self.pool.evacuation(), version);
        if changes.is_empty() {
            return false;
        }
        out.extend(changes.into_iter().map(Output::Event));
        self.pool.set_evacuation(now, evacuation);
        true
    }

    /// Refuses the queued requests of services whose servers are all evacuated. A response that has
    /// started can't be refused, and waits.
    pub(super) fn refuse_all_evacuated(&mut self, now: Instant, out: &mut Vec<Output>) {
        let queues = self.queues.iter();
        let mut tickets: Vec<Ticket> = Vec::new();
        for (service, queue) in queues {
            if !queue.is_empty() && self.pool.is_evacuated(service) {
                tickets.extend(queue.tickets());
            }
        }
        for ticket in tickets {
            let Some(request) = self.remove_request(ticket) else {
                continue;
            };
            match &request.stage {
                Stage::Queued { queue_key, .. } if !request.response_started => {
                    self.queue(&request.service).remove(*queue_key);
                    self.refuse_evacuated(now, ticket, request, out);
                }
                Stage::Queued { .. } | Stage::Running { .. } => {
                    self.insert_request(ticket, request);
                }
            }
        }
    }

    /// Refuses a request while all servers of its service are evacuated.
    pub(super) fn refuse_evacuated(
        &mut self,
        now: Instant,
        ticket: Ticket,
        request: DirectRequest,
        out: &mut Vec<Output>,
    ) {
        let run_status = request.run_status();
        let delay = retry_after(&request, now, EVACUATED_RETRY_AFTER);
        let retry_after_ms = self.apply_jitter_ms(delay);
        let refusal = Refusal {
            reason: Reason::NoServer,
            run_status,
            retry_after_ms: (run_status == RunStatus::No).then_some(retry_after_ms),
        };
        self.refuse(now, ticket, &request, refusal, None, out);
    }
}
