//! Elections right after a restart of all voters, as after a power failure: without them a cluster waits
//! at least the shortest election timeout, though no leader's lease runs any more.

mod log_net;

use std::time::Duration;

use eelgrassdyke_control::log::Options;
use eelgrassdyke_core::time::Instant;
use log_net::{Cluster, Faults, NO_FAULTS, low_limits};

const SEEDS: u64 = 40;

/// Time for which the hosts are down.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// Longest time between the starts of the hosts.
const START_SPREAD: Duration = Duration::from_millis(400);

/// A cluster of `voters` with a leader, which elects after a restart as set.
fn started_cluster(seed: u64, voters: usize, elects_after_restart: bool) -> Cluster {
    let options = Options {
        elects_after_restart,
        ..low_limits()
    };
    let mut cluster = Cluster::with_leader(seed, voters, options);
    cluster.run(Duration::from_secs(1));
    cluster
}

/// Ends all processes but those of `spared`, and starts them again within [`START_SPREAD`]; returns the
/// time of the last start.
fn restart_all(cluster: &mut Cluster, voters: usize, spared: &[usize]) -> Instant {
    restart_within(cluster, voters, spared, START_SPREAD)
}

/// [`restart_all`] with another time between the first and the last start.
fn restart_within(
    cluster: &mut Cluster,
    voters: usize,
    spared: &[usize],
    spread: Duration,
) -> Instant {
    let restarted: Vec<usize> = (0..voters).filter(|host| !spared.contains(host)).collect();
    let first_start = cluster.now + DOWN_TIME;
    let mut last_start = first_start;
    for (index, host) in restarted.iter().enumerate() {
        cluster.crash(*host, true);
        let delay = spread * index as u32 / voters as u32;
        last_start = first_start + delay;
        cluster.hosts[*host].restart_at = last_start;
    }
    cluster.run(last_start.since(cluster.now));
    last_start
}

fn time_to_leader(cluster: &mut Cluster, since: Instant) -> Duration {
    cluster.run_until(Duration::from_secs(20), |cluster| {
        cluster.leader().is_some()
    });
    cluster.now.since(since)
}

#[test]
fn a_leader_is_elected_soon_after_all_voters_restart() {
    for voters in [3, 5] {
        for seed in 0..SEEDS {
            let mut cluster = started_cluster(seed, voters, true);
            let last_start = restart_all(&mut cluster, voters, &[]);
            let time = time_to_leader(&mut cluster, last_start);
            assert!(
                time < Duration::from_millis(500),
                "{voters} voters, seed {seed}: {time:?}"
            );
            cluster.converge_and_check();
        }
    }
}

/// Voters that ask each other at the same moment each get the consent of all others. If all of them then
/// began an election, the votes would be split.
#[test]
fn a_leader_is_elected_soon_after_all_voters_restart_at_the_same_moment() {
    for voters in [3, 5] {
        for seed in 0..SEEDS {
            let mut cluster = started_cluster(seed, voters, true);
            // On a fast network all grants arrive before the first request for a vote.
            cluster.faults.delay_max_us = 101;
            let spread = Duration::from_micros(10 * seed);
            let last_start = restart_within(&mut cluster, voters, &[], spread);
            let time = time_to_leader(&mut cluster, last_start);
            assert!(
                time < Duration::from_millis(100),
                "{voters} voters, seed {seed}: {time:?}"
            );
            cluster.converge_and_check();
        }
    }
}

#[test]
fn slow_disks_delay_that_election_by_little() {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, 5, true);
        cluster.faults = Faults {
            write_max_us: 60_000,
            ..NO_FAULTS
        };
        let last_start = restart_all(&mut cluster, 5, &[]);
        let time = time_to_leader(&mut cluster, last_start);
        assert!(time < Duration::from_millis(900), "seed {seed}: {time:?}");
    }
}

#[test]
fn no_election_starts_early_while_one_voter_is_away() {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, 5, true);
        // The voter that is away may be a leader that others have acknowledged.
        let leader = cluster.leader().expect("it has a leader");
        cluster.hosts[leader].frozen = true;
        let last_start = restart_all(&mut cluster, 5, &[leader]);
        cluster.run(Duration::from_millis(500));
        let elected = cluster.leader().filter(|elected| *elected != leader);
        assert_eq!(elected, None, "seed {seed}");
        cluster.run_until(Duration::from_secs(20), |cluster| {
            cluster.leader().is_some_and(|elected| elected != leader)
        });
        let time = cluster.now.since(last_start);
        assert!(time < Duration::from_secs(4), "seed {seed}: {time:?}");
    }
}

#[test]
fn a_leader_that_runs_keeps_its_term_while_the_others_restart() {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, 5, true);
        let leader = cluster.leader().expect("it has a leader");
        let replica = |cluster: &Cluster| {
            let process = cluster.hosts[leader].process.as_ref();
            process.map(|process| process.replica.term())
        };
        let term = replica(&cluster);
        restart_all(&mut cluster, 5, &[leader]);
        cluster.run(Duration::from_secs(1));
        assert_eq!(
            (cluster.leader(), replica(&cluster)),
            (Some(leader), term),
            "seed {seed}"
        );
    }
}

#[test]
fn without_the_option_a_cluster_waits_for_the_lease() {
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed, 5, false);
        let last_start = restart_all(&mut cluster, 5, &[]);
        let time = time_to_leader(&mut cluster, last_start);
        assert!(time > Duration::from_millis(500), "seed {seed}: {time:?}");
    }
}
