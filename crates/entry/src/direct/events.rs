//! The events of the direct path: what was decided about a request, and what decided it.

use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::refusal::{Reason, Refusal};

use super::flight::{Flight, Stage};
use super::io::{Call, Output};
use super::path::Direct;
use super::pool::Choice;

impl Direct {
    /// Notes what was decided about a request.
    pub(super) fn note(
        &self,
        now: Instant,
        code: Code,
        flight: &Flight,
        detail: &str,
        out: &mut Vec<Output>,
    ) {
        out.push(Output::Event(self.event(now, code, flight, detail)));
    }

    /// An event about a request, with what is known of it.
    fn event(&self, now: Instant, code: Code, flight: &Flight, detail: &str) -> Event {
        let mut event = Event::new(code, detail)
            .call(&flight.id)
            .with_fact("service", flight.service.as_str())
            .with_fact("attempt", u64::from(flight.attempts))
            .with_fact("age_ms", now.since(flight.taken))
            .with_fact("left_ms", flight.deadline.since(now))
            .with_fact("config_version", self.follower.version().0);
        if let Some(team) = &flight.team {
            event = event.team(team);
        }
        match &flight.stage {
            Stage::Running { server, .. } => event.server(server),
            Stage::Waiting { .. } => event,
        }
    }

    /// Notes that a request is sent to a server.
    pub(super) fn note_dispatch(
        &self,
        now: Instant,
        flight: &Flight,
        choice: &Choice,
        out: &mut Vec<Output>,
    ) {
        let event = self
            .event(now, Code::RequestDispatched, flight, "")
            .server(&choice.server)
            .with_fact("running_here", u64::from(choice.running))
            .with_fact("places_here", u64::from(choice.places));
        out.push(Output::Event(self.with_directory(now, event)));
    }

    /// Notes that a request waits for a place.
    pub(super) fn note_queued(
        &self,
        now: Instant,
        flight: &Flight,
        ahead: usize,
        waits: Waits,
        out: &mut Vec<Output>,
    ) {
        let event = self
            .event(now, Code::RequestQueued, flight, "")
            .with_fact("priority", u64::from(flight.priority))
            .with_fact("ahead", ahead as u64);
        let event = waits.add_to(event);
        out.push(Output::Event(self.with_directory(now, event)));
    }

    /// Notes that a request is refused; `waits` says why, if it was for want of places.
    pub(super) fn note_refusal(
        &self,
        now: Instant,
        flight: &Flight,
        refusal: &Refusal,
        waits: Option<Waits>,
        out: &mut Vec<Output>,
    ) {
        let detail = refusal.reason.as_str();
        let mut event = self
            .event(now, Code::RequestRefused, flight, detail)
            .with_fact("run", refusal.run.as_str());
        if let Some(after) = refusal.retry_after_ms {
            event = event.with_fact("retry_after_ms", after);
        }
        if let Some(waits) = waits {
            event = waits.add_to(event);
        }
        out.push(Output::Event(self.with_directory(now, event)));
    }

    /// Notes that a call is refused before it became a request.
    pub(super) fn note_unadmitted(
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

    /// Notes which engines are slow or closed now, as control says.
    pub(super) fn note_slow(&self, out: &mut Vec<Output>) {
        let told = self.follower.slow_engines();
        let closed = told.iter().filter(|slow| slow.group_closed).count();
        let addresses: Vec<String> = told.iter().map(|slow| slow.address.to_string()).collect();
        let event = Event::new(Code::EnginesSlow, "")
            .with_fact("slow", (told.len() - closed) as u64)
            .with_fact("closed", closed as u64)
            .with_fact("addresses", addresses.join(" "));
        out.push(Output::Event(event));
    }

    /// Adds how old the picture of the servers is that decided.
    fn with_directory(&self, now: Instant, event: Event) -> Event {
        match self.follower.time_since_update(now) {
            Some(silence) => event.with_fact("directory_age_ms", silence),
            None => event,
        }
    }
}

/// What decides whether a request waits or is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Waits {
    /// How long it would wait.
    pub expected: Duration,
    /// How long it may.
    pub most: Duration,
    /// Places that this entry may use at the servers of its service.
    pub places: u32,
}

impl Waits {
    fn add_to(self, event: Event) -> Event {
        event
            .with_fact("wait_ms", self.expected)
            .with_fact("wait_max_ms", self.most)
            .with_fact("places", u64::from(self.places))
    }
}
