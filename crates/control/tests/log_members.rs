//! The leader keeps the members by itself: founders, latecomers, wiped disks, replaced hosts, cuts.

mod log_net;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use log_net::{Fate, Net, STORM};
use rand::RngExt as _;
use test_case::test_case;

/// Time in which a host that is back, or new, must count again.
const CATCH_UP: Duration = Duration::from_secs(4);

/// Time after which what a host holds is on its disk.
const DISK_MAX: Duration = Duration::from_secs(1);

/// Time in which everything must settle once all disturbances are over.
const SETTLE: Duration = Duration::from_secs(30);

fn net(seed: u64, founders: usize, joiners: usize) -> Net {
    let mut net = Net::new(seed, founders, joiners);
    net.options.manages_members = true;
    // The hosts started under the options of the harness; they start again under these.
    for number in 0..net.hosts.len() {
        net.crash(number, false);
        net.start(number);
    }
    net
}

/// Addresses of the voters, as the leader has them.
fn voters(net: &Net) -> BTreeSet<SocketAddr> {
    let members = net.leader().map(|leader| net.members(leader));
    members.unwrap_or_default().voters.into_values().collect()
}

/// Whether the hosts with these numbers are the voters, each under its present identity.
fn vote(net: &Net, numbers: impl IntoIterator<Item = usize>) -> bool {
    let members = net.leader().map(|leader| net.members(leader));
    let members = members.unwrap_or_default();
    let ids: BTreeSet<_> = numbers.into_iter().filter_map(|n| net.id(n)).collect();
    !ids.is_empty() && members.voters.keys().copied().collect::<BTreeSet<_>>() == ids
}

/// Whether all five hosts are up, vote, and hold the record that says so.
fn settled(net: &Net) -> bool {
    let up = (0..5).all(|number| net.id(number).is_some());
    let known = |number: usize| {
        let voters = net.members(number).voters;
        let ids = (0..5).filter_map(|other| net.id(other));
        voters.len() == 5 && ids.into_iter().all(|id| voters.contains_key(&id))
    };
    up && (0..5).all(known)
}

fn accept(net: &mut Net) -> u64 {
    for _ in 0..200 {
        let Some(leader) = net.leader() else {
            net.run(Duration::from_millis(50));
            continue;
        };
        let token = net.propose(leader);
        net.run(Duration::from_millis(100));
        if matches!(net.fates[&token], Fate::Acknowledged(_)) {
            return token;
        }
    }
    panic!("nothing is accepted");
}

#[test_case(1; "one seed")]
#[test_case(2; "another seed")]
fn latecomers_become_voters(seed: u64) {
    let mut net = net(seed, 3, 2);
    net.run_until(SETTLE, |net| vote(net, 0..5));
}

#[test_case(1, &[0, 1]; "two founders")]
#[test_case(2, &[3, 4]; "two latecomers")]
#[test_case(3, &[1, 4]; "one of each")]
fn two_wiped_disks_are_replaced_within_the_catch_up_time(seed: u64, wiped: &[usize]) {
    let mut net = net(seed, 3, 2);
    net.run_until(SETTLE, |net| vote(net, 0..5));
    accept(&mut net);
    for number in wiped {
        net.lose(*number);
        net.hosts[*number].founders.clear();
        net.hosts[*number].restart_at = net.now + Duration::from_secs(1);
    }
    net.run(Duration::from_secs(1));
    net.run_until(CATCH_UP, |net| vote(net, 0..5));
    // Two others right after that: nothing accepted is lost.
    accept(&mut net);
    let others: Vec<usize> = (0..5).filter(|n| !wiped.contains(n)).take(2).collect();
    for number in others {
        net.lose(number);
        net.hosts[number].founders.clear();
        net.hosts[number].restart_at = net.now + Duration::from_secs(1);
    }
    net.run_until(SETTLE, |net| vote(net, 0..5));
    net.settle_all();
}

#[test]
fn a_host_that_never_comes_back_is_replaced_by_a_new_one() {
    let mut net = net(7, 3, 3);
    // The sixth host is not there at first.
    net.crash(5, false);
    net.hosts[5].restart_at = net.now + Duration::from_secs(3600);
    net.run_until(SETTLE, |net| vote(net, 0..5));
    accept(&mut net);
    net.crash(2, true);
    net.hosts[2].restart_at = net.now + Duration::from_secs(3600);
    net.hosts[5].restart_at = net.now;
    net.run_until(SETTLE, |net| vote(net, [0, 1, 3, 4, 5]));
    accept(&mut net);
    // The old one comes back after all: it is not heard any more and joins again as it can.
    net.hosts[2].restart_at = net.now;
    net.run(Duration::from_secs(5));
    accept(&mut net);
    net.settle_all();
}

#[test]
fn a_cut_never_shrinks_the_voters() {
    let mut net = net(11, 3, 2);
    net.run_until(SETTLE, |net| vote(net, 0..5));
    for pair in [[0, 1], [2, 3], [1, 4]] {
        for number in pair {
            net.hosts[number].cut = true;
        }
        net.run(Duration::from_secs(20));
        assert_eq!(voters(&net).len(), 5, "a cut of {pair:?}");
        for number in pair {
            net.hosts[number].cut = false;
        }
        net.run(Duration::from_secs(5));
    }
    net.settle_all();
}

/// Wipes never overlap by more than two hosts, counted until the catch-up time has passed.
fn history(seed: u64) -> u32 {
    println!("seed {seed}");
    let mut net = net(seed, 3, 2);
    net.run_until(SETTLE, settled);
    net.run(DISK_MAX);
    let mut settled_since = net.now;
    let mut lost: Vec<(usize, eelgrassdyke_core::time::Instant)> = Vec::new();
    let mut wipes = 0;
    for _ in 0..200 {
        let number = net.rng.random_range(0..5);
        let pause = Duration::from_millis(net.rng.random_range(10..3000));
        // A host counts again once all hosts hold durably that it votes under its new identity.
        if !settled(&net) {
            settled_since = net.now;
        } else if net.now.since(settled_since) >= DISK_MAX {
            lost.clear();
        }
        match net.rng.random_range(0..100) {
            0..40 => {
                let leader = net.leader().unwrap_or(number);
                net.propose(leader);
            }
            40..46 => net.hosts[number].cut = true,
            46..49 => net.hosts[number].frozen = true,
            49..60 => {
                for host in &mut net.hosts {
                    (host.cut, host.frozen) = (false, false);
                }
            }
            60..66 => {
                net.crash(number, true);
                net.hosts[number].restart_at = net.now + pause;
            }
            66..68 => net.weather = STORM,
            68..71 => net.weather = log_net::CALM,
            71..72 => {
                for number in 0..5 {
                    net.crash(number, true);
                    net.hosts[number].restart_at = net.now + pause;
                }
            }
            72..80 if lost.len() < 2 && lost.iter().all(|(held, _)| *held != number) => {
                lost.push((number, net.now));
                wipes += 1;
                net.lose(number);
                net.hosts[number].founders.clear();
                net.hosts[number].restart_at = net.now + pause;
            }
            _ => {}
        }
        let span = net.rng.random_range(1..150);
        net.run(Duration::from_millis(span));
    }
    net.settle_all();
    wipes
}

#[test_case(0..300)]
#[test_case(300..600)]
fn nothing_accepted_is_lost_when_two_disks_are_wiped_again_and_again(seeds: std::ops::Range<u64>) {
    let wipes: u32 = seeds.map(history).sum();
    assert!(wipes > 300, "only {wipes} disks were wiped");
}

/// An event of the small case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    FirstLoss,
    SecondLoss,
    Cut,
    Heal,
}

/// Every order of two lost disks and one cut that begins and ends.
fn orders() -> Vec<[Step; 4]> {
    use Step::{Cut, FirstLoss, Heal, SecondLoss};
    let all = [FirstLoss, SecondLoss, Cut, Heal];
    let mut orders = Vec::new();
    for code in 0..4_usize.pow(4) {
        let order = [0, 1, 2, 3].map(|place| all[code / 4_usize.pow(place) % 4]);
        let at = |step| order.iter().position(|held| *held == step);
        if all.iter().all(|step| at(*step).is_some()) && at(Cut) < at(Heal) {
            orders.push(order);
        }
    }
    orders
}

/// Which host loses its disk: the leader, the first or the last of the others.
fn pick(net: &Net, which: usize, besides: Option<usize>) -> usize {
    let leader = net.leader().unwrap_or(0);
    let others: Vec<usize> = (0..5)
        .filter(|n| *n != leader && Some(*n) != besides)
        .collect();
    match which {
        0 if besides != Some(leader) => leader,
        1 | 0 => others[0],
        _ => others[others.len() - 1],
    }
}

/// One of two losses: the disk only, or the host for good, for which the sixth comes.
fn take_disk(net: &mut Net, number: usize, for_good: bool) {
    net.lose(number);
    net.hosts[number].founders.clear();
    net.hosts[number].restart_at = net.now + Duration::from_millis(600);
    if for_good {
        net.hosts[number].restart_at = net.now + Duration::from_secs(3600);
        net.hosts[5].restart_at = net.now + Duration::from_millis(600);
    }
}

/// The small case in full: five voters, two lost disks, of which one may be a replaced host, and
/// one cut, in every order. Afterwards all vote again and nothing accepted is lost, also when a
/// third disk goes right after.
#[test_case(0, None; "two wipes, beginning with the leader")]
#[test_case(1, None; "two wipes, beginning with a founder")]
#[test_case(2, None; "two wipes, beginning with a latecomer")]
#[test_case(0, Some(Step::FirstLoss); "the leader is replaced, then a wipe")]
#[test_case(1, Some(Step::FirstLoss); "a founder is replaced, then a wipe")]
#[test_case(1, Some(Step::SecondLoss); "a wipe, then a replaced host")]
fn two_lost_disks_and_a_cut_in_every_order(first: usize, replaced: Option<Step>) {
    let mut case = 0;
    for order in orders() {
        for second in 0..3 {
            for cut in 0..5 {
                case += 1;
                let pause = Duration::from_millis([5, 200, 1200][case % 3]);
                println!("case {case}: {order:?}, losses {first} {second}, cut {cut}, {pause:?}");
                let mut net = net(case as u64, 3, 3);
                net.crash(5, false);
                net.hosts[5].restart_at = net.now + Duration::from_secs(3600);
                net.run_until(SETTLE, settled);
                net.run(DISK_MAX);
                let one = pick(&net, first, None);
                let two = pick(&net, second, Some(one));
                for step in order {
                    match step {
                        Step::FirstLoss => take_disk(&mut net, one, replaced == Some(step)),
                        Step::SecondLoss => take_disk(&mut net, two, replaced == Some(step)),
                        Step::Cut => net.hosts[cut].cut = true,
                        Step::Heal => net.hosts[cut].cut = false,
                    }
                    if let Some(leader) = net.leader() {
                        net.propose(leader);
                    }
                    net.run(pause);
                }
                let gone = replaced.map(|step| if step == Step::FirstLoss { one } else { two });
                let there: Vec<usize> = match gone {
                    None => (0..5).collect(),
                    Some(gone) => (0..6).filter(|number| *number != gone).collect(),
                };
                net.run_until(SETTLE, |net| vote(net, there.iter().copied()));
                accept(&mut net);
                net.run(DISK_MAX);
                let third = there[case % there.len()];
                take_disk(&mut net, third, false);
                net.run_until(SETTLE, |net| vote(net, there.iter().copied()));
                net.settle_all();
            }
        }
    }
}
