//! Clusters that manage their members: set-up, losses and checks.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Cluster, Outcome};

/// Time within which a restarted or new host must be a voter.
pub const CATCH_UP_MAX: Duration = Duration::from_secs(4);

/// Time after which a host's writes are durable.
pub const DURABLE_AFTER: Duration = Duration::from_secs(1);

/// Time within which the cluster must recover after the last fault.
pub const RECOVERY_MAX: Duration = Duration::from_secs(30);

/// Whether exactly these hosts are the voters, each with its current identity.
pub fn are_voters(cluster: &Cluster, numbers: impl IntoIterator<Item = usize>) -> bool {
    let members = cluster.leader().map(|leader| cluster.members(leader));
    let members = members.unwrap_or_default();
    let ids: BTreeSet<_> = numbers.into_iter().filter_map(|n| cluster.id(n)).collect();
    !ids.is_empty() && members.voters.keys().copied().collect::<BTreeSet<_>>() == ids
}

/// Whether all five hosts run, are voters and hold the record that made them voters.
pub fn all_five_are_voters(cluster: &Cluster) -> bool {
    let all_run = (0..5).all(|number| cluster.id(number).is_some());
    let holds_membership = |number: usize| {
        let voters = cluster.members(number).voters;
        let ids = (0..5).filter_map(|other| cluster.id(other));
        voters.len() == 5 && ids.into_iter().all(|id| voters.contains_key(&id))
    };
    all_run && (0..5).all(holds_membership)
}

/// Commits a command and returns as soon as it is acknowledged.
pub fn commit_at_once(cluster: &mut Cluster, timeout: Duration) -> bool {
    let end = cluster.now + timeout;
    while cluster.now < end {
        let Some(leader) = cluster.leader() else {
            cluster.run(Duration::from_millis(1));
            continue;
        };
        let token = cluster.propose(leader);
        while cluster.outcomes[&token] == Outcome::Pending && cluster.now < end {
            cluster.run(Duration::from_millis(1));
        }
        if matches!(cluster.outcomes[&token], Outcome::Acknowledged(_)) {
            return true;
        }
    }
    false
}

pub fn lose_disks(cluster: &mut Cluster, numbers: &[usize]) {
    for number in numbers {
        cluster.lose_disk(*number);
        cluster.hosts[*number].founders.clear();
        cluster.hosts[*number].restart_at = cluster.now + Duration::from_secs(1);
    }
}

/// Five hosts that vote first, and `learners` ones that have started [`CATCH_UP_MAX`] ago; returns the five, the
/// leader first. With `spare_voter` the first of the others votes as well.
pub fn cluster_with_successors(
    seed: u64,
    learners: usize,
    spare_voter: bool,
) -> (Cluster, Vec<usize>) {
    let mut cluster = Cluster::new(seed, 3, 2 + learners);
    cluster.options.manages_members = true;
    cluster.options.catch_up = Some(CATCH_UP_MAX);
    cluster.options.spare_voter = spare_voter;
    for number in 0..5 + learners {
        cluster.crash(number, false);
        cluster.hosts[number].restart_at = cluster.now;
    }
    for number in 5..5 + learners {
        cluster.hosts[number].restart_at = cluster.now + Duration::from_secs(3600);
    }
    cluster.run_until(RECOVERY_MAX, all_five_are_voters);
    cluster.run(DURABLE_AFTER);
    for number in 5..5 + learners {
        cluster.hosts[number].restart_at = cluster.now;
    }
    cluster.run(CATCH_UP_MAX + Duration::from_secs(1));
    let leader = cluster.leader().expect("a leader");
    let mut voters: Vec<usize> = (0..5).filter(|number| *number != leader).collect();
    voters.rotate_left(seed as usize % 4);
    voters.insert(0, leader);
    (cluster, voters)
}
