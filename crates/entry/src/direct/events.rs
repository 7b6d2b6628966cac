//! Events of the direct path: each records a decision about a request and the facts it was based
//! on.

use std::time::Duration;

use eelgrassdyke_core::crash::Content;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::refusal::{Reason, Refusal};

use super::choice::ServerChoice;
use super::flight::{DirectRequest, Stage};
use super::io::{Call, Output};
use super::path::Direct;

impl Direct {
    /// Records a decision about a request.
    pub(super) fn record_event(
        &self,
        now: Instant,
        code: Code,
        request: &DirectRequest,
        detail: &str,
        out: &mut Vec<Output>,
    ) {
        out.push(Output::Event(self.event(now, code, request, detail)));
    }

    /// An event about a request, with the state of the request as facts.
    fn event(&self, now: Instant, code: Code, request: &DirectRequest, detail: &str) -> Event {
        let mut event = Event::new(code, detail)
            .call(&request.call_id)
            .with_fact("service", request.service.as_str())
            .with_fact("attempt", u64::from(request.attempts))
            .with_fact("age_ms", now.since(request.received_at))
            .with_fact("left_ms", request.deadline.since(now))
            .with_fact("config_version", self.follower.version().0);
        if let Some(team) = &request.team {
            event = event.team(team);
        }
        let contents: Vec<String> = request.contents.iter().map(Content::to_string).collect();
        event = event.with_fact("parts", contents.join(" "));
        match &request.stage {
            Stage::Running {
                server,
                started_at,
                first_event_at,
                ..
            } => {
                event = event.server(server);
                event = event.with_fact("running_ms", now.since(*started_at));
                match first_event_at {
                    Some(at) => event.with_fact("writing_ms", now.since(*at)),
                    None => event,
                }
            }
            Stage::Queued { .. } => event,
        }
    }

    /// Records the dispatch of a request to a server.
    pub(super) fn record_dispatch(
        &self,
        now: Instant,
        request: &DirectRequest,
        choice: &ServerChoice,
        out: &mut Vec<Output>,
    ) {
        let event = self
            .event(now, Code::RequestDispatched, request, "")
            .server(&choice.server)
            .with_fact("running_here", u64::from(choice.running))
            .with_fact("places_here", u64::from(choice.slot_limit));
        out.push(Output::Event(self.with_directory_age(now, event)));
    }

    /// Records that a request is queued.
    pub(super) fn record_queued(
        &self,
        now: Instant,
        request: &DirectRequest,
        ahead: usize,
        estimate: QueueEstimate,
        out: &mut Vec<Output>,
    ) {
        let event = self
            .event(now, Code::RequestQueued, request, "")
            .with_fact("priority", u64::from(request.priority))
            .with_fact("ahead", ahead as u64);
        let event = estimate.add_facts(event);
        out.push(Output::Event(self.with_directory_age(now, event)));
    }

    /// Records the refusal of a request; `estimate` is set if no slot was available in time.
    pub(super) fn record_refusal(
        &self,
        now: Instant,
        request: &DirectRequest,
        refusal: &Refusal,
        estimate: Option<QueueEstimate>,
        out: &mut Vec<Output>,
    ) {
        let detail = refusal.reason.as_str();
        let mut event = self
            .event(now, Code::RequestRefused, request, detail)
            .with_fact("run", refusal.run_status.as_str());
        if let Some(retry_after_ms) = refusal.retry_after_ms {
            event = event.with_fact("retry_after_ms", retry_after_ms);
        }
        if let Some(estimate) = estimate {
            event = estimate.add_facts(event);
        }
        out.push(Output::Event(self.with_directory_age(now, event)));
    }

    /// Records the refusal of a call that did not become a request.
    pub(super) fn record_rejected_call(
        &self,
        now: Instant,
        call: &Call,
        reason: Reason,
        out: &mut Vec<Output>,
    ) {
        let event = Event::new(Code::RequestRefused, reason.as_str())
            .call(&call.id)
            .with_fact("host", call.host.as_str())
            .with_fact("path", call.path.as_str())
            .with_fact("run", "no")
            .with_fact("config_version", self.follower.version().0)
            .with_fact(
                "control_silence_ms",
                self.follower.time_since_update(now).unwrap_or_default(),
            );
        out.push(Output::Event(event));
    }

    /// Records the engines that control reports as slow or closed.
    pub(super) fn record_slow_engines(&self, out: &mut Vec<Output>) {
        let slow_engines = self.follower.slow_engines();
        let closed = slow_engines.iter().filter(|slow| slow.group_closed).count();
        let addresses: Vec<String> = slow_engines
            .iter()
            .map(|slow| slow.address.to_string())
            .collect();
        let event = Event::new(Code::EnginesSlow, "")
            .with_fact("slow", (slow_engines.len() - closed) as u64)
            .with_fact("closed", closed as u64)
            .with_fact("addresses", addresses.join(" "));
        out.push(Output::Event(event));
    }

    /// Adds the age of the directory that the decision was based on.
    fn with_directory_age(&self, now: Instant, event: Event) -> Event {
        match self.follower.time_since_update(now) {
            Some(silence) => event.with_fact("directory_age_ms", silence),
            None => event,
        }
    }
}

/// The estimate that decides whether a request is queued or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueueEstimate {
    /// Expected time in the queue.
    pub wait: Duration,
    /// Maximum time in the queue.
    pub wait_max: Duration,
    /// Number of slots that this entry may use at the servers of the service.
    pub slot_limit: u32,
}

impl QueueEstimate {
    fn add_facts(self, event: Event) -> Event {
        event
            .with_fact("wait_ms", self.wait)
            .with_fact("wait_max_ms", self.wait_max)
            .with_fact("places", u64::from(self.slot_limit))
    }
}
