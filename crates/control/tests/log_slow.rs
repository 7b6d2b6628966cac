//! Recovery on slow disks and slow networks, after a loss of power that takes the disks of two of five
//! voters with it: every election and every commit then needs all three others.

mod log_net;

use std::collections::BTreeSet;
use std::time::Duration;

use eelgrassdyke_control::log::Options;
use eelgrassdyke_core::time::Instant;
use log_net::{Cluster, Faults, NO_FAULTS, low_limits};
use test_case::test_case;

const SEEDS: u64 = 100;

const VOTERS: usize = 5;

/// Time for which the hosts are down.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// Longest time between the starts of the hosts.
const START_SPREAD: Duration = Duration::from_millis(300);

/// Time between two read queries at each replica, as an operator repeats its reads.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// A cluster with a leader and some records.
fn started_cluster(seed: u64) -> Cluster {
    let options = Options {
        elects_after_restart: true,
        manages_members: true,
        ..low_limits()
    };
    let mut cluster = Cluster::with_leader(seed, VOTERS, options);
    for _ in 0..20 {
        cluster.run(Duration::from_millis(50));
        if let Some(leader) = cluster.leader() {
            cluster.propose(leader);
        }
    }
    cluster
}

/// Takes the power of all hosts and the disks of two, the leader's among them in every second seed.
fn lose_power_and_two_disks(cluster: &mut Cluster, seed: u64) {
    let leader = cluster.leader().expect("it has a leader");
    let first_lost = leader + (seed % 2) as usize;
    let lost = [first_lost % VOTERS, (first_lost + 2) % VOTERS];
    for host in 0..VOTERS {
        if lost.contains(&host) {
            cluster.lose_disk(host);
            // A founder that starts again without its disk joins the cluster instead of founding one.
            cluster.hosts[host].founders.clear();
        } else {
            cluster.crash(host, true);
        }
        let delay = START_SPREAD * host as u32 / VOTERS as u32;
        cluster.hosts[host].restart_at = cluster.now + DOWN_TIME + delay;
    }
    cluster.run(DOWN_TIME + START_SPREAD);
}

/// Time until a read is confirmed; none after `limit`.
fn time_to_confirmed_read(cluster: &mut Cluster, limit: Duration) -> Option<Duration> {
    let started = cluster.now;
    let confirmed_before = cluster.confirmed_reads;
    while cluster.now.since(started) < limit {
        for host in 0..VOTERS {
            cluster.query_read_index(host);
        }
        cluster.run(QUERY_INTERVAL);
        if cluster.confirmed_reads > confirmed_before {
            return Some(cluster.now.since(started));
        }
    }
    None
}

/// Guards against elections that are given up before slow votes arrive, and repeated without end.
///
/// The limits are the users': ten seconds, twice the time in which hosts count as in contact, for the first
/// cases, and the 15 s in which requests must be served again for writes of up to 2 s.
#[test_case(1000, 2, 10; "writes of a second")]
#[test_case(2000, 2, 15; "writes of two seconds")]
#[test_case(3, 500, 10; "messages of half a second")]
#[test_case(250, 200, 10; "slow writes and messages")]
fn a_read_is_confirmed_in_time_after_the_loss_of_two_disks_and_power(
    write_ms: u64,
    delay_ms: u64,
    limit_s: u64,
) {
    let mut late = Vec::new();
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed);
        cluster.faults = Faults {
            write_min_us: write_ms * 500,
            write_max_us: write_ms * 1000,
            delay_max_us: delay_ms * 1000,
            ..NO_FAULTS
        };
        lose_power_and_two_disks(&mut cluster, seed);
        let limit = Duration::from_secs(limit_s);
        match time_to_confirmed_read(&mut cluster, limit) {
            Some(_) => cluster.converge_and_check(),
            None => late.push(seed),
        }
    }
    assert!(
        late.is_empty(),
        "no read confirmed within {limit_s} s, {} of {SEEDS} seeds: {late:?}",
        late.len()
    );
}

/// Guards against a candidate that can't win and refuses its pre-vote, for good, to the one that can.
#[test_case(false; "one way")]
#[test_case(true; "both ways")]
fn a_replica_that_reaches_all_others_is_elected_although_two_cannot_reach_each_other(
    both_ways: bool,
) {
    let mut stuck = Vec::new();
    for seed in 0..SEEDS {
        let mut cluster = started_cluster(seed);
        let leader = cluster.leader().expect("it has a leader");
        for host in [leader, (leader + 1) % VOTERS] {
            cluster.crash(host, false);
            cluster.hosts[host].restart_at = Instant(u64::MAX);
        }
        let mut rest: Vec<usize> = (2..VOTERS).map(|k| (leader + k) % VOTERS).collect();
        rest.sort_by_key(|host| cluster.id(*host));
        let [lowest, highest] = [rest[0], rest[2]].map(|host| cluster.hosts[host].address);
        cluster.cut.insert((lowest, highest));
        if both_ways {
            cluster.cut.insert((highest, lowest));
        }
        let limit = Duration::from_secs(60);
        if time_to_confirmed_read(&mut cluster, limit).is_none() {
            stuck.push(seed);
        }
    }
    assert!(
        stuck.is_empty(),
        "no leader in {} of {SEEDS} seeds: {stuck:?}",
        stuck.len()
    );
}

/// Guards against parts of a snapshot that multiply: each copy of a part brings another response, and each
/// response another copy of the next part.
#[test_case(100; "one tenth of a second away")]
#[test_case(600; "six tenths of a second away")]
fn parts_of_a_snapshot_for_a_distant_member_do_not_multiply(distance_ms: u64) {
    for seed in 0..10 {
        let mut cluster = Cluster::new(seed, 3, 0);
        cluster.run_until(Duration::from_secs(20), |cluster| {
            cluster.leader().is_some()
        });
        let leader = cluster.leader().expect("it has a leader");
        let late = (leader + 1) % 3;
        cluster.crash(late, false);
        cluster.hosts[late].restart_at = Instant(u64::MAX);
        for _ in 0..200 {
            cluster.propose(leader);
            cluster.run(Duration::from_millis(10));
        }
        let distance = Duration::from_millis(distance_ms);
        cluster.distant = Some((cluster.hosts[late].address, distance));
        cluster.parts.clear();
        cluster.start(late);
        for _ in 0..1500 {
            cluster.query_read_index(leader);
            cluster.run(Duration::from_millis(20));
        }
        let distinct: BTreeSet<_> = cluster.parts.iter().collect();
        let (sent, needed) = (cluster.parts.len(), distinct.len());
        assert!(needed > 0, "seed {seed}: the late member needs a snapshot");
        assert!(
            sent <= 3 * needed,
            "seed {seed}: {sent} parts sent, {needed} needed"
        );
    }
}
