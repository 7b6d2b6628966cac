//! Polls of followers: their distribution over control processes and over time, failover, and
//! confirmation within one incarnation.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::follow::Follower;
use eelgrassdyke_core::id::{Incarnation, Term, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Sender;
use eelgrassdyke_core::wire::follow::Update;
use eelgrassdyke_core::wire::rank::Assignments;

const FOLLOWERS: u64 = 3300;

fn control_addresses() -> Vec<SocketAddr> {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    (1..=10).map(address).collect()
}

fn sender(number: u64, incarnation: u64) -> Sender {
    Sender {
        process: format!("process-{number}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        address: "127.0.0.1:1000".parse().unwrap(),
    }
}

fn update(committed: u64, poll_number: u64) -> Update {
    Update {
        committed_version: Version(committed),
        confirmed: true,
        poll_number,
        config: None,
        directory: None,
        control_addresses: Vec::new(),
        has_quorum: true,
        leader: None,
        slow_engines: Vec::new(),
        entry_count: 1,
        shares: Vec::new(),
        coordinators: Default::default(),
    }
}

/// Number of followers that poll each control process.
fn count(polled: impl Iterator<Item = SocketAddr>) -> BTreeMap<SocketAddr, u64> {
    let mut counts = BTreeMap::new();
    for address in polled {
        *counts.entry(address).or_default() += 1;
    }
    counts
}

#[test]
fn followers_spread_evenly_at_start_and_after_a_control_process_died() {
    let new = |number| Follower::new(&sender(number, 1), control_addresses(), false);
    let mut followers: Vec<Follower> = (0..FOLLOWERS).map(new).collect();
    let first = |f: &mut Follower| f.next_poll(Instant(0)).unwrap().0;
    let polled: Vec<SocketAddr> = followers.iter_mut().map(first).collect();
    let even_share = FOLLOWERS / 10;
    for (address, times) in count(polled.iter().copied()) {
        assert!(
            times < even_share * 13 / 10,
            "{address} is polled by {times}"
        );
    }

    // The first control process is dead; its followers spread evenly over the others.
    let dead = control_addresses()[0];
    let affected = followers
        .iter_mut()
        .zip(&polled)
        .filter(|(_, a)| **a == dead);
    let mut moved = Vec::new();
    for (follower, _) in affected {
        let mut now = Instant(0);
        loop {
            now = follower.next_deadline().max(now + Duration::from_millis(1));
            let (address, _) = follower.next_poll(now).unwrap();
            if address != dead {
                moved.push(address);
                break;
            }
            assert!(now.since(Instant(0)) < Duration::from_secs(5));
        }
    }
    let most = count(moved.iter().copied()).into_values().max().unwrap();
    assert!(
        most < moved.len() as u64 / 9 * 2,
        "{most} of {}",
        moved.len()
    );
}

#[test]
fn polls_are_sent_about_once_a_second_and_not_synchronised() {
    let mut tenths = BTreeMap::new();
    for number in 0..FOLLOWERS {
        let mut follower = Follower::new(&sender(number, 1), control_addresses(), false);
        let mut now = Instant(0);
        for _ in 0..60 {
            let poll_number = follower.next_poll(now).unwrap().1.poll_number;
            follower.apply(now, &"control-1".parse().unwrap(), update(0, poll_number));
            let next = follower.next_deadline();
            let wait = next.since(now);
            // A process that can't serve yet polls twice as often.
            let max_ms = if now == Instant(0) { 600 } else { 1200 };
            assert!(wait.as_millis() >= max_ms * 2 / 3 && wait.as_millis() <= max_ms);
            now = next;
        }
        *tenths.entry(now.0 / 100_000 % 10).or_insert(0) += 1;
    }
    for (tenth, times) in tenths {
        assert!(
            times < FOLLOWERS / 5,
            "{times} polls fall into tenth {tenth}"
        );
    }
}

#[test]
fn update_for_an_earlier_incarnation_confirms_nothing() {
    let from = "control-1".parse().unwrap();
    let mut earlier = Follower::new(&sender(1, 1), control_addresses(), false);
    let (_, old) = earlier.next_poll(Instant(0)).unwrap();
    let mut follower = Follower::new(&sender(1, 2), control_addresses(), false);
    let (_, new) = follower.next_poll(Instant(0)).unwrap();
    follower.apply(Instant(1), &from, update(0, old.poll_number));
    assert!(!follower.is_confirmed());
    follower.apply(Instant(1), &from, update(7, new.poll_number));
    assert!(
        !follower.is_confirmed(),
        "the confirmed version is not in force"
    );
    follower.apply(Instant(1), &from, update(0, new.poll_number));
    assert!(follower.is_confirmed());
}

fn directory_follower() -> Follower {
    Follower::new(&sender(1, 1), control_addresses(), true)
}

fn directory_update() -> eelgrassdyke_core::wire::follow::DirectoryUpdate {
    let source = ("control-1".parse().unwrap(), Incarnation(1));
    let revision = eelgrassdyke_core::wire::follow::DirectoryRevision {
        source,
        number: 1,
        load_number: 0,
    };
    eelgrassdyke_core::wire::follow::DirectoryUpdate {
        revision,
        base_revision: None,
        warmed_up: true,
        servers: Vec::new(),
        removed: Vec::new(),
        departed: Vec::new(),
        loads_complete: true,
        loads: Vec::new(),
    }
}

#[test]
fn follower_leaves_a_control_process_without_quorum() {
    let from = "control-1".parse().unwrap();
    let mut follower = directory_follower();
    let (first, poll) = follower.next_poll(Instant(0)).unwrap();
    let mut without_quorum = update(3, poll.poll_number);
    without_quorum.directory = Some(directory_update());
    without_quorum.has_quorum = false;
    follower.apply(Instant(1), &from, without_quorum);
    while follower.next_poll(Instant(2)).is_some() {}
    // It switches well before the process would count as unresponsive.
    let next = follower.next_deadline();
    assert!(next.since(Instant(0)) < Duration::from_millis(500));
    let (second, _) = follower.next_poll(next).unwrap();
    assert_ne!(first, second);
}

#[test]
fn entry_polls_a_second_control_process_for_the_configuration() {
    let from = "control-2".parse().unwrap();
    let mut follower = directory_follower();
    let (first, poll) = follower.next_poll(Instant(0)).unwrap();
    assert!(poll.wants_directory);
    let (second, poll) = follower.next_poll(Instant(0)).unwrap();
    assert_ne!(first, second);
    assert!(!poll.wants_directory);
    assert!(follower.next_poll(Instant(0)).is_none());

    // Its update does not count as one from the control process that is followed.
    follower.apply(Instant(1), &from, update(3, poll.poll_number));
    assert_eq!(follower.time_since_update(Instant(2)), None);
}

#[test]
fn follower_learns_control_addresses_and_keeps_its_seeds() {
    let from = "control-1".parse().unwrap();
    let seeds: Vec<SocketAddr> = control_addresses().into_iter().take(1).collect();
    let mut follower = Follower::new(&sender(1, 1), seeds.clone(), false);
    let (_, poll) = follower.next_poll(Instant(0)).unwrap();
    let mut update = update(0, poll.poll_number);
    update.confirmed = false;
    update.control_addresses = control_addresses().into_iter().skip(5).collect();
    follower.apply(Instant(1), &from, update);
    let mut now = Instant(0);
    let mut polled = std::collections::BTreeSet::new();
    // No control process responds, so the follower tries one after another.
    for _ in 0..200 {
        now = follower.next_deadline().max(now + Duration::from_millis(1));
        polled.extend(follower.next_poll(now).map(|(address, _)| address));
    }
    assert!(polled.contains(&seeds[0]));
    assert!(polled.len() > 3, "{polled:?}");
}

#[test]
fn watch_learns_of_a_new_leader_while_its_control_process_is_paused() {
    let mut follower = Follower::new(&sender(1, 1), control_addresses(), false).without_config();
    let (first, poll) = follower.next_poll(Instant(0)).unwrap();
    assert!(!poll.wants_config);
    let (second, poll) = follower.next_poll(Instant(0)).unwrap();
    assert_ne!(first, second);
    let mut update = update(3, poll.poll_number);
    let leader = Some("127.0.0.1:9".parse().unwrap());
    update.leader = leader;
    follower.apply(Instant(1), &"control-2".parse().unwrap(), update.clone());
    assert_eq!(follower.leader_address(), leader);
    // A process without a quorum may name a deposed leader.
    update.leader = Some("127.0.0.1:8".parse().unwrap());
    update.has_quorum = false;
    follower.apply(Instant(2), &"control-2".parse().unwrap(), update);
    assert_eq!(follower.leader_address(), leader);
}

#[test]
fn restarted_control_process_with_an_earlier_clock_is_accepted() {
    let from = "control-1".parse().unwrap();
    let mut follower = Follower::new(
        &sender(1, 1),
        control_addresses().into_iter().take(1).collect(),
        true,
    );
    let update_from = |incarnation, poll_number| {
        let mut update = update(3, poll_number);
        let mut directory = directory_update();
        directory.revision.source.1 = Incarnation(incarnation);
        update.directory = Some(directory);
        update
    };
    let (_, first) = follower.next_poll(Instant(0)).unwrap();
    assert!(
        follower
            .apply(Instant(1), &from, update_from(9, first.poll_number))
            .directory_changed
    );
    let (_, second) = follower.next_poll(follower.next_deadline()).unwrap();
    assert!(
        follower
            .apply(Instant(3), &from, update_from(4, second.poll_number))
            .directory_changed
    );
    // A delayed update of the earlier incarnation is ignored.
    assert!(
        !follower
            .apply(Instant(4), &from, update_from(9, first.poll_number))
            .directory_changed
    );
}

/// Two control processes may send different lists of coordinators. An older one must not direct reports to a
/// process that has lost the group, and a list must not outlive the setting that spreads the groups.
#[test]
fn watch_keeps_the_latest_coordinators_until_they_age() {
    let mut follower = Follower::new(&sender(1, 1), control_addresses(), false).without_config();
    let poll = follower.next_poll(Instant(0)).unwrap().1;
    let group = "g0".parse().unwrap();
    let leader: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let list = |term, revision, port| Assignments {
        term: Term(term),
        revision,
        groups: vec![(
            "g0".parse().unwrap(),
            Some(SocketAddr::from(([127, 0, 0, 1], port))),
        )],
    };
    let mut apply = |at: u64, has_quorum, coordinators| {
        let mut update = update(3, poll.poll_number);
        update.leader = Some(leader);
        update.has_quorum = has_quorum;
        update.coordinators = coordinators;
        follower.apply(Instant(at), &"control-2".parse().unwrap(), update);
        follower.coordinator_address(Instant(at), &group).unwrap()
    };
    assert_eq!(apply(1, true, Assignments::default()), leader);
    assert_eq!(apply(2, true, list(3, 5, 21)).port(), 21);
    assert_eq!(apply(3, true, list(3, 4, 22)).port(), 21);
    assert_eq!(apply(4, true, list(2, 9, 23)).port(), 21);
    assert_eq!(apply(5, false, list(4, 1, 24)).port(), 21);
    assert_eq!(apply(6, true, list(4, 1, 24)).port(), 24);
    assert_eq!(apply(7, true, Assignments::default()).port(), 24);
    // The setting was turned off, and the cluster was founded anew later.
    assert_eq!(apply(6_000_000, true, Assignments::default()), leader);
    assert_eq!(apply(6_000_001, true, list(1, 1, 25)).port(), 25);
}
