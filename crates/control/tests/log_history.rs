//! Random histories of the replicated log against one Vec.

mod log_net;

use std::time::Duration;

use eelgrassdyke_control::log::MembershipChange;
use eelgrassdyke_core::id::Replica as Id;
use log_net::{Fate, Net, STORM};
use rand::RngExt as _;
use test_case::test_case;

/// Steps of one history, about 50 ms apart.
const STEPS: usize = 300;

/// A lost host that is being replaced.
#[derive(Default)]
struct Repair {
    lost: Option<(usize, Id)>,
    done: u32,
}

impl Repair {
    /// The operator's next step; every step may be refused or lost, and is tried again.
    fn step(&mut self, net: &mut Net) {
        let Some((number, old)) = self.lost else {
            return;
        };
        let (Some(leader), Some(new)) = (net.leader(), net.id(number)) else {
            return;
        };
        let members = net.members(leader);
        if members.voters.contains_key(&old) && members.address(new).is_some() {
            net.change(leader, MembershipChange::Remove(old));
        } else if members.learners.contains_key(&new) {
            net.change(leader, MembershipChange::Promote(new));
        } else if members.address(new).is_none() && new != old {
            net.change(leader, MembershipChange::Add(new));
        } else if members.voters.contains_key(&new) && self.is_committed(net, leader) {
            // Another host may be lost from here on.
            self.lost = None;
            self.done += 1;
        }
    }

    fn is_committed(&self, net: &mut Net, leader: usize) -> bool {
        let token = net.propose(leader);
        net.run(Duration::from_millis(700));
        matches!(net.fates[&token], Fate::Acknowledged(_))
    }
}

/// One random step of the history.
fn disturb(net: &mut Net, repair: &mut Repair) {
    let hosts = net.hosts.len();
    let number = net.rng.random_range(0..hosts);
    let pause = Duration::from_millis(net.rng.random_range(10..3000));
    match net.rng.random_range(0..100) {
        0..35 => {
            let leader = net.leader().unwrap_or(number);
            for _ in 0..net.rng.random_range(1..6) {
                net.propose(leader);
            }
        }
        35..45 => drop(net.propose(number)),
        45..55 => net.confirm(number),
        55..58 => net.hosts[number].cut = true,
        58..60 => net.hosts[number].frozen = true,
        60..68 => {
            for host in &mut net.hosts {
                (host.cut, host.frozen) = (false, false);
            }
        }
        68..72 => {
            let power = net.rng.random();
            net.crash(number, power);
            net.hosts[number].restart_at = net.now + pause;
        }
        72..74 => net.break_disk(number),
        74..76 => net.weather = STORM,
        76..78 => net.weather = log_net::CALM,
        78..79 => {
            // All at once.
            for number in 0..hosts {
                net.crash(number, true);
                net.hosts[number].restart_at = net.now + pause;
            }
        }
        79..81 if repair.lost.is_none() => {
            let id = net.id(number);
            let leader = net.leader().map(|leader| net.members(leader));
            let voter = |id: &Id| leader.is_some_and(|members| members.voters.contains_key(id));
            if let Some(id) = id.filter(voter) {
                repair.lost = Some((number, id));
                net.lose(number);
                net.hosts[number].restart_at = net.now + pause;
                net.hosts[number].founders.clear();
            }
        }
        _ => {}
    }
    repair.step(net);
}

fn history(seed: u64, founders: usize) -> (usize, u32) {
    // Shown only with a failure.
    println!("seed {seed}");
    let mut net = Net::new(seed, founders, 0);
    net.run_until(Duration::from_secs(30), |net| net.leader().is_some());
    let mut repair = Repair::default();
    for _ in 0..STEPS {
        disturb(&mut net, &mut repair);
        let span = net.rng.random_range(1..100);
        net.run(Duration::from_millis(span));
    }
    net.settle_all();
    let acknowledged = |fate: &&Fate| matches!(fate, Fate::Acknowledged(_));
    let count = net.fates.values().filter(acknowledged).count();
    (count, repair.done)
}

#[test_case(0..500, 3)]
#[test_case(500..1000, 3)]
#[test_case(1000..1500, 3)]
#[test_case(1500..2000, 3)]
#[test_case(2000..2200, 5)]
fn every_replica_holds_the_one_log(seeds: std::ops::Range<u64>, founders: usize) {
    let (mut acknowledged, mut repaired) = (0, 0);
    for seed in seeds {
        let (count, repairs) = history(seed, founders);
        acknowledged += count;
        repaired += repairs;
    }
    // The histories do not pass for want of anything happening.
    assert!(acknowledged > 1000, "only {acknowledged} acknowledged");
    assert!(repaired > 50, "only {repaired} hosts replaced");
}
