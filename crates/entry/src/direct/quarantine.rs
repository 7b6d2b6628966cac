//! Handling of requests whose content servers end on: isolation, refusal, and the exchange of evidence.

use std::collections::BTreeMap;

use eelgrassdyke_core::crash::{Content, ContentKey, CrashRecord, FactSync, Quarantine};
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Incarnation, Server, Ticket};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Message;
use eelgrassdyke_core::wire::refusal::{Reason, Refusal, RunStatus};

use super::crash::Verdict;
use super::flight::{DirectRequest, RETRY_AFTER_MIN, Stage, retry_after};
use super::io::{AttemptOutcome, Output};
use super::path::Direct;
use super::pool::HealthSignal;

impl Direct {
    /// Servers that a suspected request must not be sent to, because it was there before or another
    /// suspected one runs there; none if a request with the same suspected part is running.
    ///
    /// If a server ends then, it ends because of one of them only, and the others show that they are
    /// sound.
    pub(super) fn servers_kept_from_suspect(&self, request: &DirectRequest) -> Option<Vec<Server>> {
        let mut servers = request.excluded_servers.clone();
        for other in self.requests.values() {
            let Stage::Running { server, .. } = &other.stage else {
                continue;
            };
            if self.crashes.share_suspected_content(request, other) {
                return None;
            }
            if other.sent_as_suspect && !other.has_written() {
                servers.push(server.clone());
            }
        }
        Some(servers)
    }

    /// Records what the end of an attempt shows about the prompt of its request.
    pub(super) fn record_crash_evidence(
        &mut self,
        now: Instant,
        request: &DirectRequest,
        outcome: AttemptOutcome,
        out: &mut Vec<Output>,
    ) {
        let Stage::Running {
            server,
            incarnation,
            ..
        } = &request.stage
        else {
            return;
        };
        match outcome {
            AttemptOutcome::Streamed | AttemptOutcome::Responded(200..=299) => {
                let cleared = self.crashes.record_sound(now, request);
                self.record_cleared_parts(&cleared, out);
            }
            AttemptOutcome::ResponseLost => {
                // A server that leaves ends anyway, and one whose group is closed writes nothing.
                let Some(address) = self.pool.active_address(now, server, *incarnation) else {
                    return;
                };
                let before = self.crashes.quarantines(now);
                if self.crashes.record_break(now, request) {
                    out.push(Output::CheckServer {
                        server: server.clone(),
                        incarnation: *incarnation,
                        address,
                    });
                }
                self.enforce_quarantines(now, &before, out);
            }
            _ => {}
        }
    }

    /// Handles the result of the check of a server whose connections broke off.
    pub(super) fn handle_server_check(
        &mut self,
        now: Instant,
        server: &Server,
        incarnation: Incarnation,
        has_ended: bool,
        out: &mut Vec<Output>,
    ) {
        let before = self.crashes.quarantines(now);
        let crash = self
            .crashes
            .record_check(now, server, incarnation, has_ended);
        let Some(crash) = crash else {
            // Requests that were suspected because of this server may go ahead.
            self.send_all_queued(now, out);
            return;
        };
        let contents: Vec<String> = crash.contents.iter().map(Content::to_string).collect();
        let event = Event::new(Code::ServerCrashed, "refuses connections")
            .server(server)
            .with_fact("service", crash.service.as_str())
            .with_fact("life", incarnation.0)
            .with_fact("parts", contents.join(" "))
            .with_fact("sound_parts", crash.sound_count as u64);
        out.push(Output::Event(event));
        self.enforce_quarantines(now, &before, out);
    }

    /// Merges the records of another process.
    pub(super) fn handle_crash_records(
        &mut self,
        now: Instant,
        records: &[CrashRecord],
        out: &mut Vec<Output>,
    ) {
        let before = self.crashes.quarantines(now);
        if self.crashes.merge(now, records) {
            self.enforce_quarantines(now, &before, out);
        }
    }

    /// Records quarantines that are not among those `before`, and refuses the requests that they
    /// concern. Of the running ones, those that have been answered in part go on: they may show that
    /// the part is sound.
    fn enforce_quarantines(
        &mut self,
        now: Instant,
        before: &BTreeMap<ContentKey, Quarantine>,
        out: &mut Vec<Output>,
    ) {
        let quarantines = self.crashes.quarantines(now);
        if quarantines == *before {
            return;
        }
        for ((service, part), quarantine) in &quarantines {
            if before.get(&(service.clone(), part.clone())) == Some(quarantine) {
                continue;
            }
            let event = Event::new(Code::PartQuarantined, part.to_string())
                .with_fact("service", service.as_str())
                .with_fact("crashes", quarantine.crashes as u64)
                .with_fact("left_ms", quarantine.until.since(now));
            out.push(Output::Event(event));
        }
        let mut concerned = Vec::new();
        for (ticket, request) in &self.requests {
            let goes_on =
                request.response_started && matches!(request.stage, Stage::Running { .. });
            if goes_on {
                continue;
            }
            if let Verdict::Quarantined(_, quarantine) = self.crashes.verdict(now, request) {
                concerned.push((*ticket, quarantine));
            }
        }
        for (ticket, quarantine) in concerned {
            let Some(mut request) = self.remove_request(ticket) else {
                continue;
            };
            self.release_stage(now, ticket, &request, HealthSignal::Unknown, out);
            request.mark_possibly_run();
            self.refuse_quarantined(now, ticket, request, quarantine, out);
        }
    }

    /// Refuses a request with a quarantined part; it may come back when the quarantine ends.
    pub(super) fn refuse_quarantined(
        &mut self,
        now: Instant,
        ticket: Ticket,
        request: DirectRequest,
        quarantine: Quarantine,
        out: &mut Vec<Output>,
    ) {
        let run_status = request.run_status();
        if request.response_started {
            self.give_up(now, ticket, request, Reason::Quarantined, run_status, out);
            return;
        }
        let left_ms = quarantine.until.since(now).as_millis() as u64;
        let refusal = Refusal {
            reason: Reason::Quarantined,
            run_status,
            retry_after_ms: (run_status == RunStatus::No).then_some(left_ms),
        };
        self.refuse(now, ticket, &request, refusal, None, out);
    }

    /// Refuses a request while another one with the same suspected part runs; by the time that it may
    /// come back, that one shows whether the part is sound.
    pub(super) fn refuse_suspected(
        &mut self,
        now: Instant,
        ticket: Ticket,
        request: DirectRequest,
        out: &mut Vec<Output>,
    ) {
        let delay = retry_after(&request, now, RETRY_AFTER_MIN);
        let refusal = Refusal {
            reason: Reason::Quarantined,
            run_status: RunStatus::No,
            retry_after_ms: Some(self.apply_jitter_ms(delay)),
        };
        self.refuse(now, ticket, &request, refusal, None, out);
    }

    /// Records that parts were found sound.
    pub(super) fn record_cleared_parts(&self, cleared: &[ContentKey], out: &mut Vec<Output>) {
        for (service, part) in cleared {
            let event = Event::new(Code::PartCleared, part.to_string())
                .with_fact("service", service.as_str());
            out.push(Output::Event(event));
        }
    }

    /// Sends what changed to every control process, and from time to time all crash records, a page of the
    /// limits and their digest to one of them, which learns what it lacks if it has restarted, and responds
    /// with what this entry lacks.
    pub(super) fn send_facts(&mut self, now: Instant, out: &mut Vec<Output>) {
        let changed = FactSync {
            records: self.crashes.take_changed(now),
            limits: self.take_changed_limits(now),
            ..FactSync::default()
        };
        let addresses = self.follower.control_addresses();
        if !changed.is_empty() {
            for to in addresses {
                let message = Message::FactSync(changed.clone());
                out.push(Output::Send { to: *to, message });
            }
        }
        if let Some((number, records)) = self.crashes.next_sync(now)
            && let Some(to) = addresses.get(number % addresses.len().max(1))
        {
            self.pool.expire_limits(now);
            let limits = self.pool.limits();
            let sync = FactSync {
                records,
                limits: limits.next_page(now),
                limits_digest: limits.digest(),
                is_complete: true,
                ..FactSync::default()
            };
            let message = Message::FactSync(sync);
            out.push(Output::Send { to: *to, message });
        }
    }
}
