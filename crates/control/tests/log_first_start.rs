//! Seeds that restart while a system starts for the first time: there is one cluster, never two.

mod log_net;

use std::time::Duration;

use log_net::{Cluster, Faults, MANY_FAULTS, NO_FAULTS};
use rand::RngExt as _;
use test_case::test_case;

/// Time after the last start within which all five hosts must be voters.
const FORMATION_MAX: Duration = Duration::from_secs(12);

/// Time within which all hosts start.
const START_SPAN_MS: u64 = 300;

const SEEDS: usize = 3;

/// Three seeds and two more hosts, none of which has started.
fn new_system(seed: u64, faults: Faults) -> Cluster {
    let mut cluster = Cluster::new(seed, SEEDS, 2);
    for number in 0..5 {
        cluster.lose_disk(number);
        let start_ms = cluster.rng.random_range(0..START_SPAN_MS);
        cluster.hosts[number].restart_at = cluster.now + Duration::from_millis(start_ms);
    }
    cluster.seeds = (0..SEEDS).map(log_net::address).collect();
    cluster.is_first_start = true;
    cluster.options.manages_members = true;
    cluster.faults = faults;
    cluster
}

/// Ends a process, which restarts as one that is not part of the first start.
fn restart(cluster: &mut Cluster, number: usize, keeps_disk: bool) {
    let downtime_ms = cluster.rng.random_range(100..1000);
    match keeps_disk {
        true => cluster.crash(number, true),
        false => cluster.lose_disk(number),
    }
    cluster.hosts[number].founders.clear();
    cluster.hosts[number].restart_at = cluster.now + Duration::from_millis(downtime_ms);
}

fn are_all_voters(cluster: &Cluster) -> bool {
    let ids: Vec<_> = (0..5).filter_map(|number| cluster.id(number)).collect();
    let members = cluster.leader().map(|leader| cluster.members(leader));
    let voters = members.unwrap_or_default().voters;
    ids.len() == 5 && voters.len() == 5 && ids.iter().all(|id| voters.contains_key(id))
}

/// Hosts that belong to different clusters fail the comparison with the reference log.
fn check_formation(cluster: &mut Cluster) {
    cluster.faults = NO_FAULTS;
    cluster.run_until(FORMATION_MAX, are_all_voters);
    cluster.converge_and_check();
}

#[test_case(false, NO_FAULTS; "empty disk")]
#[test_case(true, NO_FAULTS; "kept disk")]
#[test_case(false, MANY_FAULTS; "empty disk, messages lost and late")]
#[test_case(true, MANY_FAULTS; "kept disk, messages lost and late")]
fn seed_that_restarts_at_any_moment_of_the_first_start(keeps_disk: bool, faults: Faults) {
    // From before the first start to after the election.
    for at_ms in (0..2500).step_by(10) {
        println!("restart after {at_ms} ms");
        let mut cluster = new_system(at_ms, faults);
        let number = at_ms as usize / 10 % SEEDS;
        cluster.run(Duration::from_millis(at_ms));
        restart(&mut cluster, number, keeps_disk);
        cluster.run(Duration::from_secs(1));
        check_formation(&mut cluster);
    }
}

#[test_case(NO_FAULTS; "no faults")]
#[test_case(MANY_FAULTS; "messages lost and late")]
fn seed_that_restarts_again_and_again_during_the_first_start(faults: Faults) {
    for seed in 0..100 {
        println!("seed {seed}");
        let mut cluster = new_system(seed, faults);
        let number = seed as usize % SEEDS;
        for _ in 0..5 {
            let step_ms = cluster.rng.random_range(0..800);
            cluster.run(Duration::from_millis(step_ms));
            let keeps_disk = cluster.rng.random_bool(0.5);
            restart(&mut cluster, number, keeps_disk);
        }
        cluster.run(Duration::from_secs(1));
        check_formation(&mut cluster);
    }
}

/// Two seeds whose folders exist: all that they have promised is kept.
#[test_case(NO_FAULTS; "no faults")]
#[test_case(MANY_FAULTS; "messages lost and late")]
fn two_seeds_that_restart_with_their_disks(faults: Faults) {
    for at_ms in (310..2500).step_by(20) {
        println!("restart after {at_ms} ms");
        let mut cluster = new_system(at_ms, faults);
        let first = at_ms as usize / 20 % SEEDS;
        cluster.run(Duration::from_millis(at_ms));
        restart(&mut cluster, first, true);
        let step_ms = cluster.rng.random_range(0..100);
        cluster.run(Duration::from_millis(step_ms));
        restart(&mut cluster, (first + 1) % SEEDS, true);
        cluster.run(Duration::from_secs(1));
        check_formation(&mut cluster);
    }
}

/// Two seeds lose their disks before there are five voters: nothing may be formed beside what exists.
#[test_case(NO_FAULTS; "no faults")]
#[test_case(MANY_FAULTS; "messages lost and late")]
fn two_seeds_that_lose_their_disks_form_no_second_cluster(faults: Faults) {
    let mut waiting = 0;
    for seed in 0..100 {
        println!("seed {seed}");
        let mut cluster = new_system(seed, faults);
        let first = seed as usize % SEEDS;
        for number in [first, (first + 1) % SEEDS] {
            let step_ms = cluster.rng.random_range(0..400);
            cluster.run(Duration::from_millis(step_ms));
            restart(&mut cluster, number, false);
        }
        cluster.faults = NO_FAULTS;
        cluster.run(FORMATION_MAX);
        let clusters: std::collections::BTreeSet<u64> = (0..5)
            .filter_map(|number| cluster.cluster_id(number))
            .collect();
        assert!(clusters.len() <= 1, "clusters {clusters:?}");
        match cluster.leader() {
            Some(_) => cluster.converge_and_check(),
            None => waiting += 1,
        }
    }
    assert!(waiting > 0, "no seed lost its disk before the formation");
}
