//! A request in progress on the direct path.

use std::sync::Arc;
use std::time::Duration;

use eelgrassdyke_core::config::MountSpec;
use eelgrassdyke_core::id::{Incarnation, Server, Service, Team};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::refusal::RunStatus;

/// Part of the target after which an attempt that shows nothing counts as hung, if others show
/// something.
const HANG_TIMEOUT_FACTOR: f64 = 3.0;

/// When a caller that was refused for want of places may come back, at the earliest: a burst lasts
/// longer, and whoever returns into it is refused again.
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(1200);

/// Part of its remaining time that a caller is asked to stay away at most; it would not wait longer.
const RETRY_AFTER_FRACTION_MAX: f64 = 0.3;

/// A request in progress.
#[derive(Clone, Debug)]
pub struct DirectRequest {
    pub call_id: String,
    pub mount: Arc<MountSpec>,
    pub service: Service,
    pub team: Option<Team>,
    pub priority: u8,
    /// When it came in.
    pub received_at: Instant,
    pub deadline: Instant,
    pub stage: Stage,
    pub attempts: u32,
    /// Servers that may have run it.
    pub possibly_run_at: Vec<Server>,
    /// Servers that it must not go to again.
    pub excluded_servers: Vec<Server>,
    /// Whether a part of the answer was passed on.
    pub response_started: bool,
    /// Whether the next attempt must still draw on the budget of further ones.
    pub retry_unpaid: bool,
}

#[derive(Clone, Debug)]
pub enum Stage {
    /// Waits for a place, until the instant at which it is refused.
    Waiting {
        queue_key: (u8, u64),
        refuse_at: Instant,
    },
    /// An attempt is under way.
    Running {
        server: Server,
        incarnation: Incarnation,
        started_at: Instant,
        /// When something was last passed on, or it was sent.
        last_progress: Instant,
    },
}

impl DirectRequest {
    /// How long an attempt may show nothing before it counts as hung.
    pub fn hang_timeout(&self) -> Duration {
        let target = Duration::from_millis(self.mount.latency_target_ms);
        target.mul_f64(HANG_TIMEOUT_FACTOR)
    }

    pub fn next_deadline(&self) -> Instant {
        let at = match &self.stage {
            Stage::Waiting { refuse_at, .. } => *refuse_at,
            Stage::Running { last_progress, .. } if self.mount.retry_policy.allows_retry() => {
                *last_progress + self.hang_timeout()
            }
            Stage::Running { .. } => Instant::NEVER,
        };
        at.min(self.deadline)
    }

    /// Whether it may have run, if no attempt is under way.
    pub fn run_status(&self) -> RunStatus {
        match self.possibly_run_at.is_empty() {
            true => RunStatus::No,
            false => RunStatus::Unknown,
        }
    }

    /// Notes that the present attempt may have run.
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

/// When the caller of a refused request may come back: once those ahead of it are served, but in time
/// for another attempt.
pub fn retry_after(request: &DirectRequest, now: Instant, wait: Duration) -> Duration {
    let limit = request
        .deadline
        .since(now)
        .mul_f64(RETRY_AFTER_FRACTION_MAX);
    wait.max(RETRY_AFTER_MIN).min(limit)
}
