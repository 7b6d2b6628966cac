//! Handling of what servers say about themselves in their responses: that they leave, that they want no
//! requests for a time, or that they take a limited rate of requests.

use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Incarnation, Server};
use eelgrassdyke_core::limit::LimitRecord;
use eelgrassdyke_core::time::Instant;

use super::io::{LimitNotice, Output, Pause, ServerSignal};
use super::path::Direct;

/// Maximum time for which a server is sent nothing because it asked for it; a longer one is taken for
/// a mistake.
const PAUSE_MAX: Duration = Duration::from_secs(3600);

impl Direct {
    pub(super) fn handle_server_signal(
        &mut self,
        now: Instant,
        server: &Server,
        incarnation: Incarnation,
        signal: ServerSignal,
        out: &mut Vec<Output>,
    ) {
        if signal.is_leaving && self.pool.record_leaving(server, incarnation) {
            let event = Event::new(Code::ServerLeaving, format!("incarnation {incarnation}"));
            out.push(Output::Event(event.server(server)));
        }
        self.handle_limit_notice(now, server, incarnation, signal.limit, out);
        let pause = match signal.pause {
            None => return,
            Some(Pause::For(pause)) if pause <= PAUSE_MAX => pause,
            Some(Pause::For(pause)) => {
                record_bad_pause(server, &format!("{pause:?}, limited to {PAUSE_MAX:?}"), out);
                PAUSE_MAX
            }
            Some(Pause::Unreadable) => {
                record_bad_pause(server, "not a number of seconds, ignored", out);
                return;
            }
        };
        if self.pool.record_pause(now, server, incarnation, pause) {
            let event = Event::new(Code::ServerPaused, "").with_fact("pause_ms", pause);
            out.push(Output::Event(event.server(server)));
        }
    }
}

impl Direct {
    /// Whether a server is known to take a limited rate of requests.
    pub fn is_limited(&self, server: &Server) -> bool {
        self.pool.is_limited(server)
    }

    fn handle_limit_notice(
        &mut self,
        now: Instant,
        server: &Server,
        incarnation: Incarnation,
        notice: LimitNotice,
        out: &mut Vec<Output>,
    ) {
        let limit = match notice {
            LimitNotice::Unknown => return,
            LimitNotice::Unlimited => None,
            LimitNotice::Limited(limit) => Some(limit),
            LimitNotice::Unreadable => {
                let event = Event::new(Code::InputRefused, "limit of a server: not a rate");
                out.push(Output::Event(event.server(server)));
                return;
            }
        };
        let record = LimitRecord {
            server: server.clone(),
            incarnation,
            limit,
            age_ms: 0,
        };
        if self.pool.record_limit(now, &record) {
            self.changed_limits.insert(server.clone());
            record_limit_event(&record, "response", out);
            self.send_all_queued(now, out);
        }
    }

    /// Merges what other processes know about the limits of servers.
    pub(super) fn handle_limit_records(
        &mut self,
        now: Instant,
        records: &[LimitRecord],
        out: &mut Vec<Output>,
    ) {
        let mut changed = false;
        for record in records {
            if self.pool.record_limit(now, record) {
                record_limit_event(record, "control", out);
                changed = true;
            }
        }
        if changed {
            self.send_all_queued(now, out);
        }
    }

    /// The limits that changed here since the last call.
    pub(super) fn take_changed_limits(&mut self, now: Instant) -> Vec<LimitRecord> {
        let servers = std::mem::take(&mut self.changed_limits);
        let limits = self.pool.limits();
        let records = servers
            .iter()
            .filter_map(|server| limits.record(now, server));
        records.collect()
    }
}

fn record_limit_event(record: &LimitRecord, source: &str, out: &mut Vec<Output>) {
    let event = match record.limit {
        Some(limit) => {
            Event::new(Code::ServerLimited, "limited").with_fact("limit_milli_per_s", limit.0)
        }
        None => Event::new(Code::ServerLimited, "no limit"),
    };
    let event = event
        .server(&record.server)
        .with_fact("life", record.incarnation.0)
        .with_fact("source", source)
        .with_fact("age_ms", record.age_ms);
    out.push(Output::Event(event));
}

fn record_bad_pause(server: &Server, problem: &str, out: &mut Vec<Output>) {
    let event = Event::new(Code::InputRefused, format!("retry-after time: {problem}"));
    out.push(Output::Event(event.server(server)));
}
