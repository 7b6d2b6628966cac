//! Random histories of the replicated log, checked against a reference log.

mod log_net;

use std::time::Duration;

use eelgrassdyke_control::log::MembershipChange;
use eelgrassdyke_core::id::Replica as Id;
use log_net::{Cluster, MANY_FAULTS, Outcome};
use rand::RngExt as _;
use test_case::test_case;

/// Steps of a history, about 50 ms apart.
const STEPS: usize = 300;

/// Replacement of a replica that lost its disk.
#[derive(Default)]
struct Replacement {
    /// The host and the identity that it lost.
    lost: Option<(usize, Id)>,
    completed: u32,
}

impl Replacement {
    /// The operator's next step; steps that are refused or lost are retried.
    fn step(&mut self, cluster: &mut Cluster) {
        let Some((number, old_id)) = self.lost else {
            return;
        };
        let (Some(leader), Some(new_id)) = (cluster.leader(), cluster.id(number)) else {
            return;
        };
        let members = cluster.members(leader);
        if members.voters.contains_key(&old_id) && members.address(new_id).is_some() {
            cluster.propose_change(leader, MembershipChange::Remove(old_id));
        } else if members.learners.contains_key(&new_id) {
            cluster.propose_change(leader, MembershipChange::Promote(new_id));
        } else if members.address(new_id).is_none() && new_id != old_id {
            cluster.propose_change(leader, MembershipChange::Add(new_id));
        } else if members.voters.contains_key(&new_id) && self.is_committed(cluster, leader) {
            // The replacement is committed, so another disk may be lost.
            self.lost = None;
            self.completed += 1;
        }
    }

    fn is_committed(&self, cluster: &mut Cluster, leader: usize) -> bool {
        let token = cluster.propose(leader);
        cluster.run(Duration::from_millis(700));
        matches!(cluster.outcomes[&token], Outcome::Acknowledged(_))
    }
}

/// Applies one random event of the history.
fn apply_random_event(cluster: &mut Cluster, replacement: &mut Replacement) {
    let hosts = cluster.hosts.len();
    let number = cluster.rng.random_range(0..hosts);
    let downtime = Duration::from_millis(cluster.rng.random_range(10..3000));
    match cluster.rng.random_range(0..100) {
        0..35 => {
            let leader = cluster.leader().unwrap_or(number);
            for _ in 0..cluster.rng.random_range(1..6) {
                cluster.propose(leader);
            }
        }
        35..45 => drop(cluster.propose(number)),
        45..55 => cluster.query_read_index(number),
        55..58 => cluster.hosts[number].partitioned = true,
        58..60 => cluster.hosts[number].frozen = true,
        60..68 => {
            for host in &mut cluster.hosts {
                (host.partitioned, host.frozen) = (false, false);
            }
        }
        68..72 => {
            let power_loss = cluster.rng.random();
            cluster.crash(number, power_loss);
            cluster.hosts[number].restart_at = cluster.now + downtime;
        }
        72..74 => cluster.fail_disk(number),
        74..76 => cluster.faults = MANY_FAULTS,
        76..78 => cluster.faults = log_net::NO_FAULTS,
        78..79 => {
            // All hosts at once.
            for number in 0..hosts {
                cluster.crash(number, true);
                cluster.hosts[number].restart_at = cluster.now + downtime;
            }
        }
        79..81 if replacement.lost.is_none() => {
            let id = cluster.id(number);
            let members = cluster.leader().map(|leader| cluster.members(leader));
            let is_voter = |id: &Id| members.is_some_and(|members| members.voters.contains_key(id));
            if let Some(id) = id.filter(is_voter) {
                replacement.lost = Some((number, id));
                cluster.lose_disk(number);
                cluster.hosts[number].restart_at = cluster.now + downtime;
                cluster.hosts[number].founders.clear();
            }
        }
        _ => {}
    }
    replacement.step(cluster);
}

fn run_history(seed: u64, founders: usize) -> (usize, u32) {
    // Printed only on failure.
    println!("seed {seed}");
    let mut cluster = Cluster::new(seed, founders, 0);
    cluster.run_until(Duration::from_secs(30), |cluster| {
        cluster.leader().is_some()
    });
    let mut replacement = Replacement::default();
    for _ in 0..STEPS {
        apply_random_event(&mut cluster, &mut replacement);
        let step_ms = cluster.rng.random_range(1..100);
        cluster.run(Duration::from_millis(step_ms));
    }
    cluster.converge_and_check();
    let acknowledged = |outcome: &&Outcome| matches!(outcome, Outcome::Acknowledged(_));
    let count = cluster.outcomes.values().filter(acknowledged).count();
    (count, replacement.completed)
}

#[test_case(0..500, 3)]
#[test_case(500..1000, 3)]
#[test_case(1000..1500, 3)]
#[test_case(1500..2000, 3)]
#[test_case(2000..2200, 5)]
fn all_replicas_hold_the_reference_log(seeds: std::ops::Range<u64>, founders: usize) {
    let (mut acknowledged, mut replaced) = (0, 0);
    for seed in seeds {
        let (count, replacements) = run_history(seed, founders);
        acknowledged += count;
        replaced += replacements;
    }
    // Guards against histories that pass because too little happens in them.
    assert!(
        acknowledged > 1000,
        "only {acknowledged} commands acknowledged"
    );
    assert!(replaced > 50, "only {replaced} hosts replaced");
}
