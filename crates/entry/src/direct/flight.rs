//! A request in progress on the direct path.

use std::sync::Arc;
use std::time::Duration;

use eelgrassdyke_core::config::MountSpec;
use eelgrassdyke_core::id::{Incarnation, Server, Service, Team};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::refusal::RunStatus;

/// Part of the target after which an attempt that shows nothing counts as hung, if others show
/// something.
const HANG_PARTS: f64 = 3.0;

/// When a caller that was refused for want of places may come back, at the earliest: a burst lasts
/// longer, and whoever returns into it is refused again.
pub const COME_BACK_MIN: Duration = Duration::from_millis(1200);

/// Part of its remaining time that a caller is asked to stay away at most; it would not wait longer.
const COME_BACK_PART: f64 = 0.3;

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Flight {
    pub id: String,
    pub mount: Arc<MountSpec>,
    pub service: Service,
    pub team: Option<Team>,
    pub priority: u8,
    /// When it came in.
    pub taken: Instant,
    pub deadline: Instant,
    pub stage: Stage,
    pub attempts: u32,
    /// Servers that may have run it.
    pub ran_at: Vec<Server>,
    /// Servers that it must not go to again.
    pub passed_over: Vec<Server>,
    /// Whether a part of the answer was passed on.
    pub begun: bool,
    /// Whether the next attempt must still draw on the budget of further ones.
    pub owes: bool,
}

#[derive(Clone, Debug)]
pub enum Stage {
    /// Waits for a place, until the instant at which it is refused.
    Waiting { key: (u8, u64), until: Instant },
    /// An attempt is under way.
    Running {
        server: Server,
        incarnation: Incarnation,
        since: Instant,
        /// When something was last passed on, or it was sent.
        alive: Instant,
    },
}

impl Flight {
    /// How long an attempt may show nothing before it counts as hung.
    pub fn patience(&self) -> Duration {
        let target = Duration::from_millis(self.mount.latency_target_ms);
        target.mul_f64(HANG_PARTS)
    }

    pub fn wakes_at(&self) -> Instant {
        let at = match &self.stage {
            Stage::Waiting { until, .. } => *until,
            Stage::Running { alive, .. } if self.mount.retry_policy.allows_retry() => {
                *alive + self.patience()
            }
            Stage::Running { .. } => Instant::NEVER,
        };
        at.min(self.deadline)
    }

    /// Whether it may have run, if no attempt is under way.
    pub fn run(&self) -> RunStatus {
        match self.ran_at.is_empty() {
            true => RunStatus::No,
            false => RunStatus::Unknown,
        }
    }

    /// Notes that the present attempt may have run.
    pub fn mark_ran(&mut self) {
        if let Stage::Running { server, .. } = &self.stage {
            if !self.ran_at.contains(server) {
                self.ran_at.push(server.clone());
            }
            if !self.passed_over.contains(server) {
                self.passed_over.push(server.clone());
            }
        }
    }
}

/// When the caller of a refused request may come back: once those ahead of it are served, but in time
/// for another attempt.
pub fn come_back(flight: &Flight, now: Instant, wait: Duration) -> Duration {
    let most = flight.deadline.since(now).mul_f64(COME_BACK_PART);
    wait.max(COME_BACK_MIN).min(most)
}
