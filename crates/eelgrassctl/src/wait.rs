//! Waits until a configuration version is in force in every live process.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_control::{FollowerStatus, Status};
use eelgrassdyke_core::data;
use eelgrassdyke_core::id::{Process, Version};
use monoio::time::Instant;

use crate::client::{Client, sleep_with_jitter};

/// Time since the last poll after which a follower no longer counts as live, in milliseconds.
///
/// Followers poll about once a second and switch to another control process after 2.5 s.
pub const LIVENESS_TIMEOUT_MS: u64 = 5_000;

/// Longest time until a follower of a failed control process has polled another one.
pub const FAILOVER_TIME_MAX: Duration = Duration::from_millis(LIVENESS_TIMEOUT_MS);

data! {
    /// The processes by whether a configuration version is in force in them.
    #[derive(Default, Eq)]
    pub struct RolloutStatus {
        /// Live processes in which the version is in force.
        #[serde(rename = "have")]
        pub updated: Vec<Process>,
        /// Live processes with an older version, and that version.
        #[serde(rename = "lack")]
        pub outdated: BTreeMap<Process, Version>,
        /// Processes that have stopped polling and had an older version at their last poll, and that
        /// version.
        pub silent: BTreeMap<Process, Version>,
        /// Control processes that did not answer.
        pub unreachable: Vec<String>,
    }
}

impl RolloutStatus {
    /// Whether the version is in force in every live process.
    pub fn is_complete(&self) -> bool {
        self.outdated.is_empty() && !self.updated.is_empty()
    }

    /// Classifies the processes in `statuses` by whether `version` is in force in them.
    pub fn from_statuses(statuses: &[Status], version: Version) -> Self {
        let mut rollout = Self::default();
        for status in statuses {
            rollout.classify(&status.process, status.version, version, true);
        }
        for (process, follower) in newest_followers(statuses) {
            let live = follower.poll_age_ms < LIVENESS_TIMEOUT_MS;
            rollout.classify(&process, follower.version, version, live);
        }
        let agents = statuses
            .iter()
            .flat_map(|status| &status.servers)
            .map(|(server, _)| &server.agent);
        for agent in agents {
            // The agent is in the directory, but has not polled yet, so its version is unknown.
            if !rollout.contains(agent) {
                rollout.outdated.insert(agent.clone(), Version(0));
            }
        }
        rollout.updated.sort();
        rollout.updated.dedup();
        rollout
    }

    fn contains(&self, process: &Process) -> bool {
        self.updated.contains(process)
            || self.outdated.contains_key(process)
            || self.silent.contains_key(process)
    }

    fn classify(&mut self, process: &Process, current: Version, wanted: Version, live: bool) {
        match (current >= wanted, live) {
            (true, true) => self.updated.push(process.clone()),
            (true, false) => {}
            (false, true) => drop(self.outdated.insert(process.clone(), current)),
            (false, false) => drop(self.silent.insert(process.clone(), current)),
        }
    }
}

/// The followers in all `statuses`, each with its most recent poll.
pub fn newest_followers(statuses: &[Status]) -> BTreeMap<Process, FollowerStatus> {
    let mut newest: BTreeMap<Process, FollowerStatus> = BTreeMap::new();
    for status in statuses {
        for (process, follower) in &status.followers {
            let known = newest.get(process);
            if known.is_none_or(|known| follower.poll_age_ms < known.poll_age_ms) {
                newest.insert(process.clone(), follower.clone());
            }
        }
    }
    newest
}

/// Polls the control processes until `version` is in force in every live process or the deadline
/// passes.
pub async fn wait_until_in_force(
    client: &Client,
    version: Version,
    deadline: Instant,
) -> RolloutStatus {
    let start = Instant::now();
    loop {
        let (statuses, errors) = client.statuses().await;
        let statuses: Vec<Status> = statuses.into_iter().map(|(_, status)| status).collect();
        let mut rollout = RolloutStatus::from_statuses(&statuses, version);
        rollout.unreachable = errors.iter().map(|(_, error)| error.to_string()).collect();

        // Followers of a control process that does not answer soon poll another one.
        let settled = rollout.unreachable.is_empty() || start.elapsed() >= FAILOVER_TIME_MAX;
        if settled && rollout.is_complete() || Instant::now() >= deadline {
            return rollout;
        }
        sleep_with_jitter().await;
    }
}
