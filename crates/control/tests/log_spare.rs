//! The sixth voter: a host that is gone although its successor runs, beside two lost disks.

mod log_net;

use std::time::Duration;

use eelgrassdyke_core::time::Instant;
use log_net::members::{
    CATCH_UP_MAX, DURABLE_AFTER, RECOVERY_MAX, are_voters, cluster_with_successors, commit_at_once,
    lose_disks,
};
use log_net::{Cluster, Faults, MANY_FAULTS, NO_FAULTS};
use rand::RngExt as _;
use test_case::test_case;

/// `recovery_s` of the smallest deployment: time after which changes are accepted again once all hosts are back.
const SERVICE_BACK_MAX: Duration = Duration::from_secs(12);

/// Messages that arrive after elections and membership changes have overtaken them.
const LATE: Faults = Faults {
    loss_permille: 50,
    duplication_permille: 200,
    delay_max_us: 4_000_000,
    write_min_us: 50,
    write_max_us: 20_000,
};

fn end_for_good(cluster: &mut Cluster, number: usize) {
    cluster.crash(number, true);
    cluster.hosts[number].restart_at = cluster.now + Duration::from_secs(36_000);
}

/// When the change that must survive is acknowledged.
#[derive(Clone, Copy, PartialEq)]
enum Acknowledged {
    Before,
    /// After the host is gone, and that long before the disks are lost.
    After,
}

/// Which disks are lost, and what else happens at that moment.
#[derive(Clone, Copy, PartialEq)]
enum Losses {
    Voters,
    /// The successor of the host that is gone and another one.
    Successor,
    /// Voters, and all other hosts lose power.
    VotersAndPower,
}

fn play_losses(seed: u64, is_leader: bool, acknowledged: Acknowledged, losses: Losses) {
    println!("seed {seed}");
    let (mut cluster, voters) = cluster_with_successors(seed, 1, true);
    let removed = voters[usize::from(!is_leader)];
    if acknowledged == Acknowledged::Before {
        assert!(commit_at_once(&mut cluster, RECOVERY_MAX));
    }
    end_for_good(&mut cluster, removed);
    if acknowledged == Acknowledged::After {
        let pause_ms = cluster.rng.random_range(0..1500);
        cluster.run(Duration::from_millis(pause_ms));
        assert!(commit_at_once(&mut cluster, RECOVERY_MAX));
    }
    let others: Vec<usize> = voters.into_iter().filter(|n| *n != removed).collect();
    let lost = match losses {
        Losses::Successor => [5, others[seed as usize % 4]],
        _ => [others[seed as usize % 4], others[(seed as usize + 1) % 4]],
    };
    if losses == Losses::VotersAndPower {
        for number in (0..6).filter(|number| *number != removed) {
            cluster.crash(number, true);
            cluster.hosts[number].restart_at = cluster.now + Duration::from_secs(1);
        }
    }
    lose_disks(&mut cluster, &lost);
    cluster.run(Duration::from_secs(1));
    assert!(
        commit_at_once(&mut cluster, SERVICE_BACK_MAX),
        "no change is accepted"
    );
    let remaining = (0..6).filter(|number| *number != removed);
    cluster.run_until(RECOVERY_MAX, |cluster| {
        are_voters(cluster, remaining.clone())
    });
    cluster.hosts.remove(removed);
    cluster.converge_and_check();
}

/// Guards against acknowledged changes that can't be read any more: a host that is gone without a signal, whose
/// successor has caught up, still counted as one of five voters, beside two lost disks.
#[test_case(false, Acknowledged::Before, Losses::Voters; "a follower, acknowledged before")]
#[test_case(true, Acknowledged::Before, Losses::Voters; "the leader, acknowledged before")]
#[test_case(false, Acknowledged::After, Losses::Voters; "a follower, acknowledged after")]
#[test_case(true, Acknowledged::After, Losses::Voters; "the leader, acknowledged after")]
#[test_case(false, Acknowledged::Before, Losses::Successor; "a follower, its successor is lost as well")]
#[test_case(true, Acknowledged::Before, Losses::Successor; "the leader, its successor is lost as well")]
#[test_case(true, Acknowledged::After, Losses::Successor; "the leader, its successor is lost later")]
#[test_case(false, Acknowledged::Before, Losses::VotersAndPower; "a follower, all others lose power")]
#[test_case(true, Acknowledged::Before, Losses::VotersAndPower; "the leader, all others lose power")]
fn two_lost_disks_beside_a_host_that_is_gone_leave_a_quorum(
    is_leader: bool,
    acknowledged: Acknowledged,
    losses: Losses,
) {
    for seed in 0..20 {
        play_losses(seed, is_leader, acknowledged, losses);
    }
}

/// Guards against a rule for lost disks that also leaves out hosts which are only down: nothing may be decided
/// without them, and all goes on once they are back.
#[test]
fn hosts_that_are_only_down_beside_a_host_that_is_gone_are_waited_for() {
    for seed in 0..20 {
        println!("seed {seed}");
        let (mut cluster, voters) = cluster_with_successors(seed, 1, true);
        assert!(commit_at_once(&mut cluster, RECOVERY_MAX));
        for number in &voters[..3] {
            end_for_good(&mut cluster, *number);
        }
        assert!(!commit_at_once(&mut cluster, Duration::from_secs(6)));
        for number in &voters[1..3] {
            cluster.hosts[*number].restart_at = cluster.now;
        }
        assert!(commit_at_once(&mut cluster, SERVICE_BACK_MAX));
        cluster.hosts.remove(voters[0]);
        cluster.converge_and_check();
    }
}

/// Guards against a voter that is suspended in turn with the others and is lost from the voters for good.
#[test]
fn every_host_that_was_suspended_votes_again() {
    for seed in 0..10 {
        println!("seed {seed}");
        let (mut cluster, _) = cluster_with_successors(seed, 1, true);
        for number in 0..6 {
            cluster.hosts[number].frozen = true;
            cluster.run(Duration::from_millis(2500));
            cluster.hosts[number].frozen = false;
            cluster.run_until(RECOVERY_MAX, |cluster| are_voters(cluster, 0..6));
        }
        cluster.converge_and_check();
    }
}

/// A history of one cluster in which at most two disks are lost and one host is gone at a time.
struct History {
    cluster: Cluster,
    /// Hosts whose disks were lost since all running hosts last voted.
    lost: Vec<usize>,
    /// Hosts that are gone for good.
    gone: Vec<usize>,
    exchanges_builds: bool,
    /// Whether every host has had a vote since one was last replaced.
    may_replace: bool,
    /// Since when every host runs and has a vote.
    recovered_since: Instant,
    losses: u32,
    replacements: u32,
}

impl History {
    /// Hosts that have not been removed and may start.
    fn hosts(&self) -> Vec<usize> {
        let all = 0..self.cluster.hosts.len();
        all.filter(|number| !self.gone.contains(number)).collect()
    }

    fn record_recovery(&mut self) {
        let hosts = self.hosts();
        let ids: Vec<_> = hosts.iter().filter_map(|n| self.cluster.id(*n)).collect();
        let holds_all = |number: &usize| {
            let members = self.cluster.members(*number);
            members.electorate().count() == ids.len() && ids.iter().all(|id| members.has_vote(*id))
        };
        if ids.len() < hosts.len() || !hosts.iter().all(holds_all) {
            self.recovered_since = self.cluster.now;
        } else if self.cluster.now.since(self.recovered_since) >= DURABLE_AFTER {
            self.lost.clear();
            self.may_replace = true;
        }
    }

    /// Whether no host is cut off or down.
    fn all_are_up(&self) -> bool {
        let up = |number: &usize| {
            let host = &self.cluster.hosts[*number];
            host.process.is_some() && !host.partitioned && !host.frozen
        };
        self.hosts().iter().all(up) && self.cluster.now.since(self.recovered_since) >= DURABLE_AFTER
    }

    /// Removes a host for good and adds another one.
    fn replace(&mut self, number: usize) {
        end_for_good(&mut self.cluster, number);
        self.gone.push(number);
        self.replacements += 1;
        self.may_replace = false;
        self.recovered_since = self.cluster.now;
        self.cluster.add_host();
    }

    /// Restarts a host with the other build.
    fn exchange_build(&mut self, number: usize) {
        let address = self.cluster.hosts[number].address;
        self.cluster.crash(number, false);
        if !self.cluster.earlier_builds.remove(&address) {
            self.cluster.earlier_builds.insert(address);
        }
        self.cluster.hosts[number].restart_at = self.cluster.now + Duration::from_millis(300);
    }

    /// Whether a host may be cut off or go down for a while. Beside a host that is gone, only two may be lost in
    /// any way; otherwise only lost disks count.
    fn may_disturb(&mut self, number: usize) -> bool {
        if self.may_replace || self.lost.contains(&number) {
            return true;
        }
        if self.lost.len() < 2 {
            self.lost.push(number);
            self.recovered_since = self.cluster.now;
            return true;
        }
        false
    }

    fn step(&mut self) {
        self.record_recovery();
        let hosts = self.hosts();
        let number = hosts[self.cluster.rng.random_range(0..hosts.len())];
        let downtime = Duration::from_millis(self.cluster.rng.random_range(10..3000));
        let event = self.cluster.rng.random_range(0..100);
        if (40..65).contains(&event) && !(49..60).contains(&event) && !self.may_disturb(number) {
            return;
        }
        if (84..90).contains(&event) && self.exchanges_builds {
            self.exchange_build(number);
            return;
        }
        if (84..90).contains(&event) && self.may_replace && self.all_are_up() {
            self.replace(number);
            return;
        }
        let cluster = &mut self.cluster;
        match event {
            0..40 => {
                let leader = cluster.leader().unwrap_or(number);
                cluster.propose(leader);
            }
            40..46 => cluster.hosts[number].partitioned = true,
            46..49 => cluster.hosts[number].frozen = true,
            49..60 => {
                for host in &mut cluster.hosts {
                    (host.partitioned, host.frozen) = (false, false);
                }
            }
            60..65 => {
                cluster.crash(number, true);
                cluster.hosts[number].restart_at = cluster.now + downtime;
            }
            65..67 => cluster.faults = MANY_FAULTS,
            67..69 => cluster.faults = LATE,
            69..73 => cluster.faults = NO_FAULTS,
            73..74 => {
                for number in hosts {
                    cluster.crash(number, true);
                    cluster.hosts[number].restart_at = cluster.now + downtime;
                }
            }
            74..84 if self.lost.len() < 2 && !self.lost.contains(&number) => {
                self.lost.push(number);
                self.losses += 1;
                self.recovered_since = cluster.now;
                cluster.lose_disk(number);
                cluster.hosts[number].founders.clear();
                cluster.hosts[number].restart_at = cluster.now + downtime;
            }
            90..94 => {
                for host in &mut cluster.hosts {
                    (host.partitioned, host.frozen) = (false, false);
                }
                cluster.faults = NO_FAULTS;
                cluster.run(CATCH_UP_MAX);
                self.record_recovery();
            }
            _ => {}
        }
    }
}

/// Returns how many disks were lost and hosts replaced; with `exchanges_builds` hosts change to an earlier build and
/// back instead.
fn run_history(seed: u64, steps: usize, exchanges_builds: bool) -> (u32, u32) {
    println!("seed {seed}");
    let (mut cluster, _) = cluster_with_successors(seed, 1, true);
    cluster.mixes_builds = exchanges_builds;
    let recovered_since = cluster.now;
    let mut history = History {
        cluster,
        lost: Vec::new(),
        gone: Vec::new(),
        may_replace: true,
        exchanges_builds,
        recovered_since,
        losses: 0,
        replacements: 0,
    };
    for _ in 0..steps {
        history.step();
        let step_ms = history.cluster.rng.random_range(1..150);
        history.cluster.run(Duration::from_millis(step_ms));
    }
    let mut gone = history.gone.clone();
    gone.sort_unstable();
    for number in gone.into_iter().rev() {
        history.cluster.hosts.remove(number);
    }
    history.cluster.converge_and_check();
    (history.losses, history.replacements)
}

#[test_case(0..30)]
#[test_case(30..60)]
#[test_case(60..90)]
#[test_case(90..120)]
fn histories_with_lost_disks_and_hosts_lose_no_acknowledged_command(seeds: std::ops::Range<u64>) {
    let (mut losses, mut replacements) = (0, 0);
    for seed in seeds {
        let (lost, replaced) = run_history(seed, 250, false);
        losses += lost;
        replacements += replaced;
    }
    // Guards against histories that pass because too little happens in them.
    println!("{losses} disks lost, {replacements} hosts replaced");
    assert!(losses > 50 && replacements > 20);
}

/// Guards against a change of the voters by an earlier build that quorums of this one don't meet.
#[test_case(1000..1040)]
#[test_case(1040..1080)]
fn histories_of_two_builds_lose_no_acknowledged_command(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        run_history(seed, 250, true);
    }
}

fn restart_with(cluster: &mut Cluster, number: usize, is_earlier_build: bool) {
    let address = cluster.hosts[number].address;
    cluster.crash(number, false);
    match is_earlier_build {
        true => drop(cluster.earlier_builds.insert(address)),
        false => drop(cluster.earlier_builds.remove(&address)),
    }
    cluster.hosts[number].restart_at = cluster.now;
    cluster.run(Duration::from_secs(5));
}

/// Guards against a sixth voter beside a build that would change the voters without the earlier ones.
#[test]
fn sixth_voter_is_promoted_once_all_run_a_build_that_knows_it() {
    let (mut cluster, _) = cluster_with_successors(1, 1, true);
    cluster.mixes_builds = true;
    let is_settled = |cluster: &Cluster| {
        let leader = cluster.leader().expect("a leader");
        cluster.members(leader).settled
    };
    cluster.run_until(RECOVERY_MAX, |cluster| are_voters(cluster, 0..6));
    // A rollback of all hosts and an upgrade, one after the other.
    for number in 0..6 {
        restart_with(&mut cluster, number, true);
        assert!(
            !is_settled(&cluster),
            "host {number} runs the earlier build"
        );
        assert!(commit_at_once(&mut cluster, RECOVERY_MAX));
    }
    for number in 0..6 {
        assert!(
            !is_settled(&cluster),
            "host {number} runs the earlier build"
        );
        restart_with(&mut cluster, number, false);
        assert!(commit_at_once(&mut cluster, RECOVERY_MAX));
    }
    cluster.run_until(RECOVERY_MAX, |cluster| {
        is_settled(cluster) && are_voters(cluster, 0..6)
    });
    cluster.converge_and_check();
}
