//! Waits until a version is in force in every live process.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_control::{FollowerStatus, Status};
use eelgrassdyke_core::data;
use eelgrassdyke_core::id::{Process, Version};
use monoio::time::Instant;

use crate::client::{Client, pause};

/// Silence after which a process no longer counts as live, in milliseconds.
///
/// Followers ask about once a second and go to another control process after 2.5 s.
pub const LIVE_MS: u64 = 5_000;

/// Time in which a follower of a lost control process has asked another one.
pub const MOVE_MAX: Duration = Duration::from_millis(LIVE_MS);

data! {
    /// Which processes have a version in force, and which have not.
    #[derive(Default, Eq)]
    pub struct Force {
        /// Live processes that have it.
        pub have: Vec<Process>,
        /// Live processes that have not, and what they have instead.
        pub lack: BTreeMap<Process, Version>,
        /// Processes heard of lately, but silent now, that did not have it when last heard.
        pub silent: BTreeMap<Process, Version>,
        /// Control processes that did not answer.
        pub unreachable: Vec<String>,
    }
}

impl Force {
    /// Whether every live process has the version.
    pub fn is_complete(&self) -> bool {
        self.lack.is_empty() && !self.have.is_empty()
    }

    /// Sorts the processes that `statuses` tell of by whether they have `version`.
    pub fn of(statuses: &[Status], version: Version) -> Self {
        let mut force = Self::default();
        for status in statuses {
            force.sort(&status.process, status.version, version, true);
        }
        for (process, follower) in newest(statuses) {
            let live = follower.poll_age_ms < LIVE_MS;
            force.sort(&process, follower.version, version, live);
        }
        let unheard = statuses
            .iter()
            .flat_map(|status| &status.servers)
            .map(|(row, _)| &row.agent);
        for agent in unheard {
            // The directory has it, but no control process has heard which version it has.
            if !force.knows(agent) {
                force.lack.insert(agent.clone(), Version(0));
            }
        }
        force.have.sort();
        force.have.dedup();
        force
    }

    fn knows(&self, process: &Process) -> bool {
        self.have.contains(process)
            || self.lack.contains_key(process)
            || self.silent.contains_key(process)
    }

    fn sort(&mut self, process: &Process, held: Version, wanted: Version, live: bool) {
        match (held >= wanted, live) {
            (true, true) => self.have.push(process.clone()),
            (true, false) => {}
            (false, true) => drop(self.lack.insert(process.clone(), held)),
            (false, false) => drop(self.silent.insert(process.clone(), held)),
        }
    }
}

/// The followers that any of `statuses` tells of, each as it was heard last.
pub fn newest(statuses: &[Status]) -> BTreeMap<Process, FollowerStatus> {
    let mut newest: BTreeMap<Process, FollowerStatus> = BTreeMap::new();
    for status in statuses {
        for (process, follower) in &status.followers {
            let held = newest.get(process);
            if held.is_none_or(|held| follower.poll_age_ms < held.poll_age_ms) {
                newest.insert(process.clone(), follower.clone());
            }
        }
    }
    newest
}

/// Asks until every live process has `version` or time is up.
pub async fn until_in_force(client: &Client, version: Version, deadline: Instant) -> Force {
    let begun = Instant::now();
    loop {
        let (statuses, errors) = client.statuses().await;
        let statuses: Vec<Status> = statuses.into_iter().map(|(_, status)| status).collect();
        let mut force = Force::of(&statuses, version);
        force.unreachable = errors.iter().map(|(_, error)| error.to_string()).collect();

        // Who followed a control process that does not answer goes to another one before long.
        let settled = force.unreachable.is_empty() || begun.elapsed() >= MOVE_MAX;
        if settled && force.is_complete() || Instant::now() >= deadline {
            return force;
        }
        pause().await;
    }
}
