//! Automatic membership: founders, joiners, lost disks, replaced hosts and network partitions.

mod log_net;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_control::log::Input;
use log_net::members::{
    CATCH_UP_MAX, DURABLE_AFTER, RECOVERY_MAX, all_five_are_voters, are_voters,
    cluster_with_successors, commit_at_once, lose_disks,
};
use log_net::{Cluster, MANY_FAULTS, Outcome};
use rand::RngExt as _;
use test_case::test_case;

fn new_cluster(seed: u64, founders: usize, joiners: usize) -> Cluster {
    let mut cluster = Cluster::new(seed, founders, joiners);
    cluster.options.manages_members = true;
    // The harness started the hosts with its own options; restart them with the changed ones.
    for number in 0..cluster.hosts.len() {
        cluster.crash(number, false);
        cluster.start(number);
    }
    cluster
}

/// Addresses of the voters according to the leader.
fn voter_addresses(cluster: &Cluster) -> BTreeSet<SocketAddr> {
    let members = cluster.leader().map(|leader| cluster.members(leader));
    members.unwrap_or_default().voters.into_values().collect()
}

fn commit_command(cluster: &mut Cluster) -> u64 {
    for _ in 0..200 {
        let Some(leader) = cluster.leader() else {
            cluster.run(Duration::from_millis(50));
            continue;
        };
        let token = cluster.propose(leader);
        cluster.run(Duration::from_millis(100));
        if matches!(cluster.outcomes[&token], Outcome::Acknowledged(_)) {
            return token;
        }
    }
    panic!("no command is committed");
}

#[test_case(1; "one seed")]
#[test_case(2; "another seed")]
fn joiners_become_voters(seed: u64) {
    let mut cluster = new_cluster(seed, 3, 2);
    cluster.run_until(RECOVERY_MAX, |cluster| are_voters(cluster, 0..5));
}

#[test_case(1, &[0, 1]; "two founders")]
#[test_case(2, &[3, 4]; "two joiners")]
#[test_case(3, &[1, 4]; "one of each")]
fn two_lost_disks_are_replaced_within_the_catch_up_time(seed: u64, lost: &[usize]) {
    let mut cluster = new_cluster(seed, 3, 2);
    cluster.run_until(RECOVERY_MAX, |cluster| are_voters(cluster, 0..5));
    commit_command(&mut cluster);
    for number in lost {
        cluster.lose_disk(*number);
        cluster.hosts[*number].founders.clear();
        cluster.hosts[*number].restart_at = cluster.now + Duration::from_secs(1);
    }
    cluster.run(Duration::from_secs(1));
    cluster.run_until(CATCH_UP_MAX, |cluster| are_voters(cluster, 0..5));
    // Two other disks are lost immediately afterwards; no acknowledged command may be lost.
    commit_command(&mut cluster);
    let others: Vec<usize> = (0..5).filter(|n| !lost.contains(n)).take(2).collect();
    for number in others {
        cluster.lose_disk(number);
        cluster.hosts[number].founders.clear();
        cluster.hosts[number].restart_at = cluster.now + Duration::from_secs(1);
    }
    cluster.run_until(RECOVERY_MAX, |cluster| are_voters(cluster, 0..5));
    cluster.converge_and_check();
}

#[test]
fn permanently_lost_host_is_replaced_by_a_new_one() {
    let mut cluster = new_cluster(7, 3, 3);
    // The sixth host starts later.
    cluster.crash(5, false);
    cluster.hosts[5].restart_at = cluster.now + Duration::from_secs(3600);
    cluster.run_until(RECOVERY_MAX, |cluster| are_voters(cluster, 0..5));
    commit_command(&mut cluster);
    cluster.crash(2, true);
    cluster.hosts[2].restart_at = cluster.now + Duration::from_secs(3600);
    cluster.hosts[5].restart_at = cluster.now;
    cluster.run_until(RECOVERY_MAX, |cluster| are_voters(cluster, [0, 1, 3, 4, 5]));
    commit_command(&mut cluster);
    // The old host returns with a removed identity and may join again.
    cluster.hosts[2].restart_at = cluster.now;
    cluster.run(Duration::from_secs(5));
    commit_command(&mut cluster);
    cluster.converge_and_check();
}

#[test]
fn partition_never_reduces_the_voters() {
    let mut cluster = new_cluster(11, 3, 2);
    cluster.run_until(RECOVERY_MAX, |cluster| are_voters(cluster, 0..5));
    for pair in [[0, 1], [2, 3], [1, 4]] {
        for number in pair {
            cluster.hosts[number].partitioned = true;
        }
        cluster.run(Duration::from_secs(20));
        assert_eq!(voter_addresses(&cluster).len(), 5, "partition of {pair:?}");
        for number in pair {
            cluster.hosts[number].partitioned = false;
        }
        cluster.run(Duration::from_secs(5));
    }
    cluster.converge_and_check();
}

/// A random history in which at most two hosts at a time have lost their disks and not yet durably
/// become voters again.
fn run_history(seed: u64) -> u32 {
    println!("seed {seed}");
    let mut cluster = new_cluster(seed, 3, 2);
    cluster.run_until(RECOVERY_MAX, all_five_are_voters);
    cluster.run(DURABLE_AFTER);
    let mut recovered_since = cluster.now;
    let mut lost: Vec<(usize, eelgrassdyke_core::time::Instant)> = Vec::new();
    let mut wipes = 0;
    for _ in 0..200 {
        let number = cluster.rng.random_range(0..5);
        let downtime = Duration::from_millis(cluster.rng.random_range(10..3000));
        // A host has recovered once all hosts durably hold that its new identity is a voter.
        if !all_five_are_voters(&cluster) {
            recovered_since = cluster.now;
        } else if cluster.now.since(recovered_since) >= DURABLE_AFTER {
            lost.clear();
        }
        match cluster.rng.random_range(0..100) {
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
            60..66 => {
                cluster.crash(number, true);
                cluster.hosts[number].restart_at = cluster.now + downtime;
            }
            66..68 => cluster.faults = MANY_FAULTS,
            68..71 => cluster.faults = log_net::NO_FAULTS,
            71..72 => {
                for number in 0..5 {
                    cluster.crash(number, true);
                    cluster.hosts[number].restart_at = cluster.now + downtime;
                }
            }
            72..80 if lost.len() < 2 && lost.iter().all(|(other, _)| *other != number) => {
                lost.push((number, cluster.now));
                wipes += 1;
                cluster.lose_disk(number);
                cluster.hosts[number].founders.clear();
                cluster.hosts[number].restart_at = cluster.now + downtime;
            }
            _ => {}
        }
        let step_ms = cluster.rng.random_range(1..150);
        cluster.run(Duration::from_millis(step_ms));
    }
    cluster.converge_and_check();
    wipes
}

#[test_case(0..300)]
#[test_case(300..600)]
fn repeated_loss_of_two_disks_loses_no_acknowledged_command(seeds: std::ops::Range<u64>) {
    let wipes: u32 = seeds.map(run_history).sum();
    assert!(wipes > 300, "only {wipes} disks were wiped");
}

/// An event of the exhaustive case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    FirstLoss,
    SecondLoss,
    Partition,
    Heal,
}

/// All orders of two lost disks and the start and end of a partition.
fn event_orders() -> Vec<[Step; 4]> {
    use Step::{FirstLoss, Heal, Partition, SecondLoss};
    let all = [FirstLoss, SecondLoss, Partition, Heal];
    let mut orders = Vec::new();
    for code in 0..4_usize.pow(4) {
        let order = [0, 1, 2, 3].map(|position| all[code / 4_usize.pow(position) % 4]);
        let at = |step| order.iter().position(|other| *other == step);
        if all.iter().all(|step| at(*step).is_some()) && at(Partition) < at(Heal) {
            orders.push(order);
        }
    }
    orders
}

/// Selects the host that loses its disk: the leader, or the first or last of the others.
fn select_host(cluster: &Cluster, choice: usize, excluded: Option<usize>) -> usize {
    let leader = cluster.leader().unwrap_or(0);
    let others: Vec<usize> = (0..5)
        .filter(|n| *n != leader && Some(*n) != excluded)
        .collect();
    match choice {
        0 if excluded != Some(leader) => leader,
        1 | 0 => others[0],
        _ => others[others.len() - 1],
    }
}

/// Loses the disk of a host, or the host permanently, in which case the sixth host starts.
fn lose_disk_or_host(cluster: &mut Cluster, number: usize, permanently: bool) {
    cluster.lose_disk(number);
    cluster.hosts[number].founders.clear();
    cluster.hosts[number].restart_at = cluster.now + Duration::from_millis(600);
    if permanently {
        cluster.hosts[number].restart_at = cluster.now + Duration::from_secs(3600);
        cluster.hosts[5].restart_at = cluster.now + Duration::from_millis(600);
    }
}

/// Exhaustive case: five voters, two lost disks, one of which may be a permanently lost host, and
/// one partitioned host, in all orders. Afterwards all hosts are voters again and no acknowledged
/// command is lost, even if a third disk is lost immediately afterwards.
#[test_case(0, None; "two wipes, beginning with the leader")]
#[test_case(1, None; "two wipes, beginning with a founder")]
#[test_case(2, None; "two wipes, beginning with a joiner")]
#[test_case(0, Some(Step::FirstLoss); "the leader is replaced, then a wipe")]
#[test_case(1, Some(Step::FirstLoss); "a founder is replaced, then a wipe")]
#[test_case(1, Some(Step::SecondLoss); "a wipe, then a replaced host")]
fn two_lost_disks_and_a_partition_in_all_orders(first: usize, replaced: Option<Step>) {
    let mut case = 0;
    for order in event_orders() {
        for second in 0..3 {
            for partitioned in 0..5 {
                case += 1;
                let interval = Duration::from_millis([5, 200, 1200][case % 3]);
                println!(
                    "case {case}: {order:?}, losses {first} {second}, partitioned {partitioned}, {interval:?}"
                );
                let mut cluster = new_cluster(case as u64, 3, 3);
                cluster.crash(5, false);
                cluster.hosts[5].restart_at = cluster.now + Duration::from_secs(3600);
                cluster.run_until(RECOVERY_MAX, all_five_are_voters);
                cluster.run(DURABLE_AFTER);
                let first_host = select_host(&cluster, first, None);
                let second_host = select_host(&cluster, second, Some(first_host));
                for step in order {
                    match step {
                        Step::FirstLoss => {
                            lose_disk_or_host(&mut cluster, first_host, replaced == Some(step))
                        }
                        Step::SecondLoss => {
                            lose_disk_or_host(&mut cluster, second_host, replaced == Some(step))
                        }
                        Step::Partition => cluster.hosts[partitioned].partitioned = true,
                        Step::Heal => cluster.hosts[partitioned].partitioned = false,
                    }
                    if let Some(leader) = cluster.leader() {
                        cluster.propose(leader);
                    }
                    cluster.run(interval);
                }
                let lost_host = replaced.map(|step| {
                    if step == Step::FirstLoss {
                        first_host
                    } else {
                        second_host
                    }
                });
                let expected_voters: Vec<usize> = match lost_host {
                    None => (0..5).collect(),
                    Some(lost_host) => (0..6).filter(|number| *number != lost_host).collect(),
                };
                cluster.run_until(RECOVERY_MAX, |cluster| {
                    are_voters(cluster, expected_voters.iter().copied())
                });
                commit_command(&mut cluster);
                cluster.run(DURABLE_AFTER);
                let third = expected_voters[case % expected_voters.len()];
                lose_disk_or_host(&mut cluster, third, false);
                cluster.run_until(RECOVERY_MAX, |cluster| {
                    are_voters(cluster, expected_voters.iter().copied())
                });
                cluster.converge_and_check();
            }
        }
    }
}

/// Moments of a planned replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Replacement {
    /// The successor has caught up long before the old host is removed.
    SuccessorFirst,
    /// The successor starts when the old host is removed.
    AtOnce,
    /// The same, and another host restarts within the second that follows.
    WithRestart,
}

/// A host is removed for good and replaced; once the successor has had its time, two disks are lost.
fn replace_and_lose_two_disks(seed: u64, replacement: Replacement, is_leader_removed: bool) {
    println!("seed {seed}, {replacement:?}, leader removed: {is_leader_removed}");
    let mut cluster = Cluster::new(seed, 3, 3);
    cluster.options.manages_members = true;
    cluster.options.catch_up = Some(CATCH_UP_MAX);
    for number in 0..6 {
        cluster.crash(number, false);
        cluster.hosts[number].restart_at = cluster.now;
    }
    let successor = 5;
    let never = cluster.now + Duration::from_secs(3600);
    cluster.hosts[successor].restart_at = never;
    cluster.run_until(RECOVERY_MAX, all_five_are_voters);
    cluster.run(DURABLE_AFTER);
    let leader = cluster.leader().expect("a leader");
    let mut others: Vec<usize> = (0..5).filter(|number| *number != leader).collect();
    others.rotate_left(seed as usize % 4);
    let removed = match is_leader_removed {
        true => leader,
        false => others[0],
    };
    cluster.hosts[successor].restart_at = cluster.now;
    if replacement == Replacement::SuccessorFirst {
        cluster.run(CATCH_UP_MAX + Duration::from_secs(1));
    }
    cluster.crash(removed, true);
    cluster.hosts[removed].restart_at = never;
    let restarted = match is_leader_removed {
        true => others[1],
        false => leader,
    };
    let wait = match replacement {
        // An election may take two rounds, of up to 2 s each.
        Replacement::SuccessorFirst if !is_leader_removed => Duration::from_secs(3),
        Replacement::SuccessorFirst | Replacement::AtOnce => CATCH_UP_MAX,
        Replacement::WithRestart => {
            let after_ms = cluster.rng.random_range(700..1000);
            cluster.run(Duration::from_millis(after_ms));
            cluster.crash(restarted, true);
            cluster.hosts[restarted].restart_at = cluster.now + Duration::from_millis(400);
            CATCH_UP_MAX - Duration::from_millis(after_ms)
        }
    };
    cluster.run(wait);
    commit_command(&mut cluster);
    // The host that restarted has not caught up, so it is one of the two.
    let lost = [restarted, others[2]];
    for number in lost {
        cluster.lose_disk(number);
        cluster.hosts[number].founders.clear();
        cluster.hosts[number].restart_at = cluster.now + Duration::from_secs(1);
    }
    let voters = (0..6).filter(|number| *number != removed);
    cluster.run_until(RECOVERY_MAX, |cluster| are_voters(cluster, voters.clone()));
    // The removed host never comes back.
    cluster.hosts.remove(removed);
    cluster.converge_and_check();
}

#[test_case(Replacement::SuccessorFirst, false; "the successor waits")]
#[test_case(Replacement::SuccessorFirst, true; "the successor waits and the leader is removed")]
#[test_case(Replacement::AtOnce, false; "the successor starts at the removal")]
#[test_case(Replacement::AtOnce, true; "the successor starts at the removal of the leader")]
#[test_case(Replacement::WithRestart, false; "the leader restarts after the removal")]
#[test_case(Replacement::WithRestart, true; "the leader is removed and another host restarts")]
fn two_disks_lost_after_a_planned_replacement_leave_a_majority(
    replacement: Replacement,
    is_leader_removed: bool,
) {
    for seed in 0..100 {
        replace_and_lose_two_disks(seed, replacement, is_leader_removed);
    }
}

/// Six hosts, five of which are voters and one waits as a learner; returns its number.
fn cluster_with_a_learner(seed: u64) -> (Cluster, usize) {
    println!("seed {seed}");
    let mut cluster = new_cluster(seed, 3, 3);
    cluster.options.catch_up = Some(CATCH_UP_MAX);
    for number in 0..6 {
        cluster.crash(number, false);
        cluster.start(number);
    }
    cluster.run_until(RECOVERY_MAX, |cluster| {
        let leader = cluster.leader().map(|leader| cluster.members(leader));
        leader.is_some_and(|members| members.voters.len() == 5 && members.learners.len() == 1)
    });
    cluster.run(Duration::from_secs(2));
    let voters = voter_addresses(&cluster);
    let learner = (0..6).find(|number| !voters.contains(&cluster.hosts[*number].address));
    (cluster, learner.expect("a learner"))
}

#[test]
fn voter_that_restarts_at_once_is_not_replaced_by_a_learner() {
    for seed in 0..50 {
        let (mut cluster, _) = cluster_with_a_learner(seed);
        let voters = voter_addresses(&cluster);
        for number in 0..6 {
            cluster.crash(number, true);
            cluster.hosts[number].restart_at = cluster.now + Duration::from_millis(500);
            cluster.run(Duration::from_secs(4));
            assert_eq!(voter_addresses(&cluster), voters, "host {number}");
        }
        for number in 0..6 {
            cluster.crash(number, true);
            let downtime = cluster.rng.random_range(300..900);
            cluster.hosts[number].restart_at = cluster.now + Duration::from_millis(downtime);
        }
        cluster.run(Duration::from_secs(8));
        assert_eq!(voter_addresses(&cluster), voters, "all hosts");
        cluster.converge_and_check();
    }
}

#[test]
fn replaced_voter_that_was_only_frozen_takes_the_next_place() {
    for seed in 0..50 {
        let (mut cluster, learner) = cluster_with_a_learner(seed);
        let frozen = (learner + 1 + seed as usize % 5) % 6;
        let freeze_ms = cluster.rng.random_range(3000..5000);
        cluster.hosts[frozen].frozen = true;
        cluster.run(Duration::from_millis(freeze_ms));
        cluster.hosts[frozen].frozen = false;
        commit_command(&mut cluster);
        cluster.run(CATCH_UP_MAX);
        let members = cluster.members(cluster.leader().expect("a leader"));
        let id = cluster.id(frozen).expect("the host runs");
        assert!(members.address(id).is_some(), "the frozen host is a member");
        let removed = (0..6).find(|number| *number != frozen && *number != learner);
        let removed = removed.expect("another host");
        cluster.crash(removed, true);
        cluster.hosts[removed].restart_at = cluster.now + Duration::from_secs(3600);
        cluster.run_until(CATCH_UP_MAX, |cluster| {
            are_voters(cluster, (0..6).filter(|number| *number != removed))
        });
        cluster.hosts.remove(removed);
        cluster.converge_and_check();
    }
}

#[test]
fn successor_of_a_lost_disk_that_freezes_holds_up_no_commit() {
    for seed in 0..60 {
        println!("seed {seed}");
        let mut cluster = new_cluster(seed, 3, 2);
        cluster.run_until(RECOVERY_MAX, all_five_are_voters);
        cluster.run(DURABLE_AFTER);
        let first = select_host(&cluster, seed as usize % 3, None);
        let second = select_host(&cluster, seed as usize / 3 % 3, Some(first));
        for number in [first, second] {
            lose_disk_or_host(&mut cluster, number, false);
        }
        // Two disks are lost, so the three others must answer, and the successor as well only if it
        // raises the quorum.
        let promoted = |cluster: &Cluster| {
            let members = cluster.leader().map(|leader| cluster.members(leader));
            let voters = members.unwrap_or_default().voters;
            let is_voter = |number: &usize| {
                let id = cluster.id(*number);
                id.is_some_and(|id| voters.contains_key(&id))
            };
            [first, second].into_iter().find(is_voter)
        };
        cluster.run(Duration::from_millis(700));
        cluster.run_until(RECOVERY_MAX, |cluster| promoted(cluster).is_some());
        let successor = promoted(&cluster).expect("a successor");
        cluster.hosts[successor].frozen = true;
        let token = cluster.propose(cluster.leader().expect("a leader"));
        cluster.run(Duration::from_millis(500));
        let outcome = cluster.outcomes[&token];
        assert!(matches!(outcome, Outcome::Acknowledged(_)), "{outcome:?}");
        cluster.hosts[successor].frozen = false;
        cluster.run_until(RECOVERY_MAX, |cluster| are_voters(cluster, 0..5));
        cluster.converge_and_check();
    }
}

/// Time between the stop signal and the end of a process.
const GRACE: Duration = Duration::from_secs(8);

/// Part of [`GRACE`] after which a process ends in any case.
const LEAVE_MAX: Duration = Duration::from_millis(7600);

/// Asks the process of a host to stop.
fn stop(cluster: &mut Cluster, number: usize) {
    cluster.handle_input(number, Input::Leave);
}

/// Ends the processes that were asked to stop at `since` as soon as they may; returns whether all have ended.
fn end_stopped(
    cluster: &mut Cluster,
    stopped: &mut Vec<usize>,
    since: eelgrassdyke_core::time::Instant,
) -> bool {
    let may_end = |cluster: &Cluster, number: usize| {
        cluster.may_stop(number) || cluster.now.since(since) >= LEAVE_MAX
    };
    let ended: Vec<usize> = stopped
        .iter()
        .copied()
        .filter(|number| may_end(cluster, *number))
        .collect();
    for number in ended {
        cluster.crash(number, false);
        stopped.retain(|other| *other != number);
    }
    stopped.is_empty()
}

/// Runs until all processes that were asked to stop at `since` have ended.
fn wait_stopped(
    cluster: &mut Cluster,
    stopped: &mut Vec<usize>,
    since: eelgrassdyke_core::time::Instant,
) {
    while !end_stopped(cluster, stopped, since) {
        cluster.run(Duration::from_millis(1));
    }
}

/// Guards against a planned replacement that leaves the vote at the removed host: two disks that were lost
/// within seconds of its end left no majority.
#[test_case(false, 0; "a follower stops, losses at once")]
#[test_case(true, 0; "the leader stops, losses at once")]
#[test_case(false, 500; "a follower stops, losses half a second later")]
#[test_case(true, 500; "the leader stops, losses half a second later")]
fn voter_that_stops_has_given_its_vote_to_its_successor(is_leader_stopped: bool, after_ms: u64) {
    for seed in 0..100 {
        println!("seed {seed}");
        let (mut cluster, voters) = cluster_with_successors(seed, 1, false);
        let removed = voters[usize::from(!is_leader_stopped)];
        stop(&mut cluster, removed);
        let (since, mut stopped) = (cluster.now, vec![removed]);
        wait_stopped(&mut cluster, &mut stopped, since);
        let waited = cluster.now.since(since);
        assert!(
            waited < GRACE / 4,
            "the vote was given away after {waited:?}"
        );
        cluster.hosts[removed].restart_at = cluster.now + Duration::from_secs(3600);
        cluster.run(Duration::from_millis(after_ms));
        assert!(commit_at_once(&mut cluster, RECOVERY_MAX));
        let others = voters.iter().copied().filter(|number| *number != removed);
        let mut others: Vec<usize> = others.chain([5]).collect();
        others.rotate_left(seed as usize % 5);
        lose_disks(&mut cluster, &others[..2]);
        others.sort_unstable();
        cluster.run_until(RECOVERY_MAX, |cluster| {
            are_voters(cluster, others.iter().copied())
        });
        cluster.hosts.remove(removed);
        cluster.converge_and_check();
    }
}

/// Guards against losses in the middle of a replacement, while the removed host still runs.
#[test_case(false; "a follower stops")]
#[test_case(true; "the leader stops")]
fn two_disks_lost_at_any_moment_of_a_planned_stop_leave_a_majority(is_leader_stopped: bool) {
    let offsets = (0..60).map(|step| step * 3).chain([300, 700, 1500, 3000]);
    for (seed, offset_ms) in offsets.enumerate() {
        let seed = seed as u64;
        println!("seed {seed}, losses {offset_ms} ms after the signal");
        let (mut cluster, voters) = cluster_with_successors(seed, 1, false);
        let removed = voters[usize::from(!is_leader_stopped)];
        let others: Vec<usize> = voters.iter().copied().filter(|n| *n != removed).collect();
        let lost = [others[seed as usize % 4], others[(seed as usize + 1) % 4]];
        stop(&mut cluster, removed);
        let (since, mut stopped) = (cluster.now, vec![removed]);
        let mut has_lost = false;
        cluster.hosts[removed].restart_at = cluster.now + Duration::from_secs(3600);
        while !(end_stopped(&mut cluster, &mut stopped, since) && has_lost) {
            let elapsed = cluster.now.since(since);
            if !has_lost && elapsed >= Duration::from_millis(offset_ms) {
                commit_at_once(&mut cluster, Duration::from_millis(200));
                lose_disks(&mut cluster, &lost);
                has_lost = true;
            }
            cluster.run(Duration::from_millis(1));
        }
        let voters = (0..6).filter(|number| *number != removed);
        cluster.run_until(RECOVERY_MAX, |cluster| are_voters(cluster, voters.clone()));
        cluster.hosts.remove(removed);
        cluster.converge_and_check();
    }
}

/// Guards against an end of the process while its removal is known to the leader only, which may be lost.
#[test]
fn voter_is_not_released_before_its_removal_is_committed() {
    for seed in 0..20 {
        println!("seed {seed}");
        let (mut cluster, voters) = cluster_with_successors(seed, 1, false);
        let (leader, removed) = (voters[0], voters[1]);
        let id = cluster.id(removed).expect("the host runs");
        stop(&mut cluster, removed);
        while cluster.members(leader).voters.contains_key(&id) {
            cluster.run(Duration::from_millis(1));
        }
        for number in (0..6).filter(|number| ![leader, removed].contains(number)) {
            cluster.hosts[number].partitioned = true;
        }
        for _ in 0..1500 {
            cluster.run(Duration::from_millis(1));
            assert!(
                !cluster.may_stop(removed),
                "released by a leader that alone knows of it"
            );
        }
        for host in &mut cluster.hosts {
            host.partitioned = false;
        }
        cluster.run_until(RECOVERY_MAX, |cluster| cluster.may_stop(removed));
        cluster.converge_and_check();
    }
}

/// Guards against a replacement of several hosts at the same time that keeps one of the votes.
#[test]
fn two_voters_that_stop_together_are_both_replaced() {
    for seed in 0..50 {
        println!("seed {seed}");
        let (mut cluster, voters) = cluster_with_successors(seed, 2, false);
        let at = seed as usize % 4;
        let mut stopped = vec![voters[at], voters[at + 1]];
        let removed = stopped.clone();
        for number in &removed {
            stop(&mut cluster, *number);
            cluster.hosts[*number].restart_at = cluster.now + Duration::from_secs(3600);
        }
        let since = cluster.now;
        wait_stopped(&mut cluster, &mut stopped, since);
        assert!(commit_at_once(&mut cluster, RECOVERY_MAX));
        let left: Vec<usize> = (0..7).filter(|number| !removed.contains(number)).collect();
        lose_disks(&mut cluster, &left[seed as usize % 4..][..2]);
        cluster.run_until(RECOVERY_MAX, |cluster| {
            are_voters(cluster, left.iter().copied())
        });
        cluster
            .hosts
            .retain(|host| left.iter().any(|n| host.address == log_net::address(*n)));
        cluster.converge_and_check();
    }
}

/// Guards against a rolling restart that costs votes: each process comes back with its disk and takes part
/// again.
#[test_case(0; "no learner")]
#[test_case(1; "one learner")]
fn rolling_restart_keeps_five_voters(learners: usize) {
    for seed in 0..30 {
        println!("seed {seed}");
        let (mut cluster, _) = cluster_with_successors(seed, learners, false);
        let hosts = 5 + learners;
        for number in 0..hosts {
            stop(&mut cluster, number);
            let (since, mut stopped) = (cluster.now, vec![number]);
            cluster.hosts[number].restart_at = cluster.now + Duration::from_secs(3600);
            wait_stopped(&mut cluster, &mut stopped, since);
            if learners == 0 {
                assert_eq!(
                    cluster.now, since,
                    "nobody can take the place of host {number}"
                );
            }
            let downtime = cluster.rng.random_range(200..1000);
            cluster.hosts[number].restart_at = cluster.now + Duration::from_millis(downtime);
            let pause = cluster.rng.random_range(0..3000);
            cluster.run(Duration::from_millis(pause));
            assert!(commit_at_once(&mut cluster, RECOVERY_MAX));
        }
        cluster.run(CATCH_UP_MAX);
        let members = cluster.members(cluster.leader().expect("a leader"));
        assert_eq!(members.voters.len(), 5);
        assert_eq!(members.learners.len(), learners);
        for number in 0..hosts {
            let id = cluster.id(number).expect("the host runs");
            assert!(members.address(id).is_some(), "host {number} is a member");
        }
        assert!(commit_at_once(&mut cluster, RECOVERY_MAX));
        lose_disks(&mut cluster, &[seed as usize % 5, (seed as usize + 2) % 5]);
        cluster.converge_and_check();
    }
}

/// Guards against a voter of four that stops and leaves a quorum of three, which one lost disk takes away.
#[test]
fn voter_of_four_that_stops_is_removed_and_votes_again_after_its_restart() {
    for seed in 0..30 {
        println!("seed {seed}");
        let mut cluster = new_cluster(seed, 3, 1);
        cluster.run_until(RECOVERY_MAX, |cluster| are_voters(cluster, 0..4));
        cluster.run(DURABLE_AFTER);
        let number = seed as usize % 4;
        stop(&mut cluster, number);
        let (since, mut stopped) = (cluster.now, vec![number]);
        cluster.hosts[number].restart_at = cluster.now + Duration::from_secs(3600);
        wait_stopped(&mut cluster, &mut stopped, since);
        assert!(commit_at_once(&mut cluster, RECOVERY_MAX));
        lose_disks(&mut cluster, &[(number + 1 + seed as usize / 4 % 3) % 4]);
        assert!(
            commit_at_once(&mut cluster, Duration::from_secs(8)),
            "two of the three other voters are left"
        );
        cluster.hosts[number].restart_at = cluster.now;
        cluster.run_until(RECOVERY_MAX, |cluster| are_voters(cluster, 0..4));
        cluster.converge_and_check();
    }
}

/// Guards against a host that dies without a signal, although its successor has caught up, and takes a
/// majority with it when two disks are lost right afterwards.
#[test_case(false; "a follower dies")]
#[test_case(true; "the leader dies")]
fn two_disks_lost_right_after_a_host_with_a_successor_died_leave_a_majority(is_leader: bool) {
    for seed in 0..20 {
        println!("seed {seed}");
        let (mut cluster, voters) = cluster_with_successors(seed, 1, true);
        let removed = voters[usize::from(!is_leader)];
        cluster.crash(removed, false);
        cluster.hosts[removed].restart_at = cluster.now + Duration::from_secs(3600);
        assert!(commit_at_once(&mut cluster, RECOVERY_MAX));
        let others: Vec<usize> = voters.into_iter().filter(|n| *n != removed).collect();
        lose_disks(&mut cluster, &others[..2]);
        let voters = (0..6).filter(|number| *number != removed);
        cluster.run_until(RECOVERY_MAX, |cluster| are_voters(cluster, voters.clone()));
        cluster.hosts.remove(removed);
        cluster.converge_and_check();
    }
}
