//! The state of a request on the direct path.

use std::sync::Arc;
use std::time::Duration;

use eelgrassdyke_core::config::MountSpec;
use eelgrassdyke_core::crash::Content;
use eelgrassdyke_core::id::{Incarnation, Server, Service, Team};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::refusal::RunStatus;

use super::io::Call;

/// Multiple of the latency target after which an attempt without progress counts as hung, if other
/// servers make progress.
const HANG_TIMEOUT_FACTOR: f64 = 3.0;

/// Shortest such time: a server that is scheduled late may pause for longer than a very short target.
const HANG_TIMEOUT_MIN: Duration = Duration::from_millis(100);

/// Minimum retry-after time of a request refused for lack of slots: a caller that returns sooner
/// meets the same burst and is refused again.
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(1200);

/// Maximum retry-after time as a fraction of the caller's remaining time; a caller would not wait
/// longer.
const RETRY_AFTER_FRACTION_MAX: f64 = 0.3;

/// Time for which a server must have written to show that the prompt is sound: a server may send the
/// head of a response, and the first event, before it ends.
const SOUND_AFTER: Duration = Duration::from_secs(1);

/// A request in progress.
#[derive(Clone, Debug)]
pub struct DirectRequest {
    pub call_id: String,
    pub mount: Arc<MountSpec>,
    pub service: Service,
    pub team: Option<Team>,
    pub priority: u8,
    /// What other requests may share: the parts of its prompt, and all of it.
    pub contents: Vec<Content>,
    /// When the request was received.
    pub received_at: Instant,
    pub deadline: Instant,
    /// When it is answered in any case, as the process stops.
    pub answer_by: Instant,
    pub stage: Stage,
    pub attempts: u32,
    /// Servers at which an ended attempt may have run.
    pub possibly_run_at: Vec<Server>,
    /// Servers that must not be selected again.
    pub excluded_servers: Vec<Server>,
    /// Servers that rejected the request.
    pub rejected_by: Vec<Server>,
    /// Whether part of the response was forwarded.
    pub response_started: bool,
    /// Whether the next attempt must still be charged to the retry budget.
    pub retry_unpaid: bool,
    /// Whether the running attempt was sent apart from others, as servers ended on requests like it.
    pub sent_as_suspect: bool,
}

/// Progress of a request.
#[derive(Clone, Debug)]
pub enum Stage {
    /// The request is queued for a slot; it is refused at `refuse_at`.
    Queued {
        queue_key: (u8, u64),
        refuse_at: Instant,
    },
    /// An attempt is running.
    Running {
        server: Server,
        incarnation: Incarnation,
        started_at: Instant,
        /// When an event was last forwarded, or the request was sent.
        last_progress: Instant,
        /// When the first event of this attempt was forwarded.
        first_event_at: Option<Instant>,
    },
}

impl DirectRequest {
    /// Time within which the response should begin. A target of 0 can't be met, so the response is as welcome at
    /// any time before the timeout.
    pub fn latency_target(&self) -> Duration {
        Duration::from_millis(match self.mount.latency_target_ms {
            0 => self.mount.timeout_ms,
            target_ms => target_ms,
        })
    }

    /// Time without progress after which an attempt counts as hung.
    pub fn hang_timeout(&self) -> Duration {
        let timeout = self.latency_target().mul_f64(HANG_TIMEOUT_FACTOR);
        timeout.max(HANG_TIMEOUT_MIN)
    }

    pub fn next_deadline(&self) -> Instant {
        let at = match &self.stage {
            Stage::Queued { refuse_at, .. } => *refuse_at,
            Stage::Running { last_progress, .. } if self.mount.retry_policy.allows_retry() => {
                *last_progress + self.hang_timeout()
            }
            Stage::Running { .. } => Instant::NEVER,
        };
        at.min(self.end())
    }

    /// When the request ends if it is not complete. A response that has started can only be cut off, so it
    /// goes on until its deadline, or the end of the process.
    pub fn end(&self) -> Instant {
        match self.response_started {
            true => self.deadline,
            false => self.deadline.min(self.answer_by),
        }
    }

    /// Whether the request may have run; valid only while no attempt is running.
    pub fn run_status(&self) -> RunStatus {
        match self.possibly_run_at.is_empty() {
            true => RunStatus::No,
            false => RunStatus::Unknown,
        }
    }

    /// Whether the running attempt shows that the prompt ends no server.
    pub fn has_written(&self) -> bool {
        match &self.stage {
            Stage::Running {
                first_event_at: Some(first_event_at),
                last_progress,
                ..
            } => last_progress.since(*first_event_at) >= SOUND_AFTER,
            Stage::Running { .. } | Stage::Queued { .. } => false,
        }
    }

    /// Records that the current attempt may have run.
    pub fn mark_possibly_run(&mut self) {
        if let Stage::Running { server, .. } = &self.stage {
            if !self.possibly_run_at.contains(server) {
                self.possibly_run_at.push(server.clone());
            }
            if !self.excluded_servers.contains(server) {
                self.excluded_servers.push(server.clone());
            }
        }
    }
}

/// Retry-after time of a refused request: late enough for the requests ahead to be served, early
/// enough for another attempt.
pub fn retry_after(request: &DirectRequest, now: Instant, wait: Duration) -> Duration {
    let limit = retry_after_max(request.deadline.since(now));
    wait.max(RETRY_AFTER_MIN).min(limit)
}

/// Maximum retry-after time of a caller that waits for `time_left`.
pub fn retry_after_max(time_left: Duration) -> Duration {
    time_left.mul_f64(RETRY_AFTER_FRACTION_MAX)
}

/// The contents of a caller's request that servers may end on.
pub fn contents(call: &Call, caller: &str) -> Vec<Content> {
    let parts = call.prompt_parts.iter().cloned();
    let mut contents: Vec<Content> = parts.filter_map(Content::from_part).collect();
    contents.push(Content::Request(call.fingerprint.of_caller(caller)));
    contents
}
