//! Requests during a graceful shutdown.
//!
//! For a time after the stop signal callers still come, as the platform has to notice that the entry isn't
//! ready. A request is taken only if it can be expected to end before the process does: by its own time
//! limit, or because all recent ones of its mount have taken less. Any other one is refused at once as not run,
//! and its caller finds another entry. What is still open shortly before the end gets a response, as a
//! connection that is only closed tells a caller nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::config::MountSpec;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::refusal::Reason;

use super::flight::DirectRequest;
use super::path::Direct;

/// Time for which the slowest completion of a mount counts, once or twice.
const PERIOD: Duration = Duration::from_secs(30);

/// How long the slowest recent requests of each mount took, from their arrival to the complete response.
#[derive(Clone, Debug, Default)]
pub struct CompletionTimes {
    /// By host and path prefix.
    mounts: BTreeMap<String, BTreeMap<String, Slowest>>,
}

/// The slowest completions of two consecutive periods.
#[derive(Clone, Copy, Debug, Default)]
struct Slowest {
    /// Number of the latest period with a completion.
    period: u64,
    latest: Duration,
    previous: Duration,
}

impl Slowest {
    fn record(&mut self, period: u64, time: Duration) {
        if period > self.period {
            self.previous = self.in_period(period - 1);
            self.latest = Duration::ZERO;
            self.period = period;
        }
        self.latest = self.latest.max(time);
    }

    fn in_period(&self, period: u64) -> Duration {
        match period == self.period {
            true => self.latest,
            false => Duration::ZERO,
        }
    }

    /// The slowest completion of the present period and the one before.
    fn recent(&self, period: u64) -> Option<Duration> {
        let is_recent = period <= self.period + 1;
        let slowest = match period <= self.period {
            true => self.latest.max(self.previous),
            false => self.latest,
        };
        is_recent.then_some(slowest)
    }
}

impl CompletionTimes {
    /// Records that a request of a mount was completed after `time`.
    pub fn record(&mut self, now: Instant, mount: &MountSpec, time: Duration) {
        let period = period(now);
        let known = self.mounts.get_mut(&mount.host);
        if let Some(slowest) = known.and_then(|mounts| mounts.get_mut(&mount.prefix)) {
            slowest.record(period, time);
            return;
        }
        // Mounts that the configuration no longer has go when a new one comes.
        for mounts in self.mounts.values_mut() {
            mounts.retain(|_, slowest| slowest.recent(period).is_some());
        }
        self.mounts.retain(|_, mounts| !mounts.is_empty());
        let slowest = Slowest {
            period,
            latest: time,
            previous: Duration::ZERO,
        };
        let mounts = self.mounts.entry(mount.host.clone()).or_default();
        mounts.insert(mount.prefix.clone(), slowest);
    }

    /// Time within which a request of a mount can be expected to be complete; none if no recent one was.
    pub fn expected(&self, now: Instant, mount: &MountSpec) -> Option<Duration> {
        let slowest = self.mounts.get(&mount.host)?.get(&mount.prefix)?;
        slowest.recent(period(now))
    }
}

fn period(now: Instant) -> u64 {
    now.0 / PERIOD.as_micros() as u64
}

impl Direct {
    pub(super) fn record_completion_time(&mut self, now: Instant, request: &DirectRequest) {
        let time = now.since(request.received_at);
        self.completion_times.record(now, &request.mount, time);
    }

    /// Begins a graceful shutdown.
    pub(super) fn begin_shutdown(&mut self, now: Instant) {
        if self.draining_since.is_some() {
            return;
        }
        self.draining_since = Some(now);
        let tickets: Vec<_> = self.requests.keys().copied().collect();
        for ticket in tickets {
            let Some(mut request) = self.remove_request(ticket) else {
                continue;
            };
            request.answer_by = self.shutdown_end();
            self.insert_request(ticket, request);
        }
    }

    /// When the requests that are still open get a response; never before a shutdown.
    pub(super) fn shutdown_end(&self) -> Instant {
        let since = self.draining_since;
        since.map_or(Instant::NEVER, |since| since + self.options.shutdown_time)
    }

    /// Whether a request that has `time_left` can be taken, or the reason to refuse it.
    pub(super) fn check_shutdown(
        &self,
        now: Instant,
        mount: &MountSpec,
        time_left: Duration,
    ) -> Result<(), Reason> {
        let end = self.shutdown_end();
        if end == Instant::NEVER {
            return Ok(());
        }
        let expected = self.completion_times.expected(now, mount);
        let needed = expected.map_or(time_left, |expected| expected.min(time_left));
        match now + needed <= end {
            true => Ok(()),
            false => Err(Reason::Draining),
        }
    }
}
