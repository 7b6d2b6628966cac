//! How followers ask: spread over control processes and time, and confirmed in their own life.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::follow::Follower;
use eelgrassdyke_core::id::{Incarnation, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Sender;
use eelgrassdyke_core::wire::follow::Update;

const FOLLOWERS: u64 = 3300;

fn control() -> Vec<SocketAddr> {
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

fn answer(present: u64, question: u64) -> Update {
    Update {
        committed_version: Version(present),
        confirmed: true,
        poll_number: question,
        config: None,
        directory: None,
        control: Vec::new(),
        has_quorum: true,
        leader: None,
        slow_engines: Vec::new(),
        entry_count: 1,
    }
}

/// How many ask each control process.
fn count(asked: impl Iterator<Item = SocketAddr>) -> BTreeMap<SocketAddr, u64> {
    let mut counts = BTreeMap::new();
    for address in asked {
        *counts.entry(address).or_default() += 1;
    }
    counts
}

#[test]
fn followers_spread_at_start_and_after_a_control_process_died() {
    let new = |number| Follower::new(&sender(number, 1), control(), false);
    let mut followers: Vec<Follower> = (0..FOLLOWERS).map(new).collect();
    let first = |f: &mut Follower| f.next_poll(Instant(0)).unwrap().0;
    let asked: Vec<SocketAddr> = followers.iter_mut().map(first).collect();
    let even = FOLLOWERS / 10;
    for (address, times) in count(asked.iter().copied()) {
        assert!(times < even * 13 / 10, "{address} is asked by {times}");
    }

    // The first one is dead; those that asked it go to all the others alike.
    let dead = control()[0];
    let orphans = followers
        .iter_mut()
        .zip(&asked)
        .filter(|(_, a)| **a == dead);
    let mut moved = Vec::new();
    for (follower, _) in orphans {
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
fn questions_come_about_once_a_second_and_not_in_step() {
    let mut tenths = BTreeMap::new();
    for number in 0..FOLLOWERS {
        let mut follower = Follower::new(&sender(number, 1), control(), false);
        let mut now = Instant(0);
        for _ in 0..60 {
            let question = follower.next_poll(now).unwrap().1.poll_number;
            follower.apply(now, &"control-1".parse().unwrap(), answer(0, question));
            let next = follower.next_deadline();
            let wait = next.since(now);
            // A process that can't serve yet asks twice as often.
            let most = if now == Instant(0) { 600 } else { 1200 };
            assert!(wait.as_millis() >= most * 2 / 3 && wait.as_millis() <= most);
            now = next;
        }
        *tenths.entry(now.0 / 100_000 % 10).or_insert(0) += 1;
    }
    for (tenth, times) in tenths {
        assert!(
            times < FOLLOWERS / 5,
            "{times} questions fall into tenth {tenth}"
        );
    }
}

#[test]
fn an_answer_to_an_earlier_life_confirms_nothing() {
    let from = "control-1".parse().unwrap();
    let mut earlier = Follower::new(&sender(1, 1), control(), false);
    let (_, old) = earlier.next_poll(Instant(0)).unwrap();
    let mut follower = Follower::new(&sender(1, 2), control(), false);
    let (_, new) = follower.next_poll(Instant(0)).unwrap();
    follower.apply(Instant(1), &from, answer(0, old.poll_number));
    assert!(!follower.is_confirmed());
    follower.apply(Instant(1), &from, answer(7, new.poll_number));
    assert!(
        !follower.is_confirmed(),
        "it does not hold what was confirmed"
    );
    follower.apply(Instant(1), &from, answer(0, new.poll_number));
    assert!(follower.is_confirmed());
}

fn with_directory() -> Follower {
    Follower::new(&sender(1, 1), control(), true)
}

fn directory() -> eelgrassdyke_core::wire::follow::DirectoryUpdate {
    let of = ("control-1".parse().unwrap(), Incarnation(1));
    let revision = eelgrassdyke_core::wire::follow::DirectoryRevision {
        source: of,
        number: 1,
        load_number: 0,
    };
    eelgrassdyke_core::wire::follow::DirectoryUpdate {
        revision,
        base_revision: None,
        warmed_up: true,
        servers: Vec::new(),
        removed: Vec::new(),
        loads_complete: true,
        loads: Vec::new(),
    }
}

#[test]
fn a_follower_leaves_a_control_process_that_lost_its_quorum() {
    let from = "control-1".parse().unwrap();
    let mut follower = with_directory();
    let (first, question) = follower.next_poll(Instant(0)).unwrap();
    let mut cut_off = answer(3, question.poll_number);
    cut_off.directory = Some(directory());
    cut_off.has_quorum = false;
    follower.apply(Instant(1), &from, cut_off);
    while follower.next_poll(Instant(2)).is_some() {}
    // Well before it would count as silent.
    let next = follower.next_deadline();
    assert!(next.since(Instant(0)) < Duration::from_millis(500));
    let (second, _) = follower.next_poll(next).unwrap();
    assert_ne!(first, second);
}

#[test]
fn an_entry_asks_a_second_control_process_for_the_configuration() {
    let from = "control-2".parse().unwrap();
    let mut follower = with_directory();
    let (first, question) = follower.next_poll(Instant(0)).unwrap();
    assert!(question.wants_directory);
    let (second, question) = follower.next_poll(Instant(0)).unwrap();
    assert_ne!(first, second);
    assert!(!question.wants_directory);
    assert!(follower.next_poll(Instant(0)).is_none());

    // Its answer does not make up for the silence of the one that is followed.
    follower.apply(Instant(1), &from, answer(3, question.poll_number));
    assert_eq!(follower.time_since_update(Instant(2)), None);
}

#[test]
fn a_follower_learns_where_control_is_and_keeps_its_seeds() {
    let from = "control-1".parse().unwrap();
    let seeds: Vec<SocketAddr> = control().into_iter().take(1).collect();
    let mut follower = Follower::new(&sender(1, 1), seeds.clone(), false);
    let (_, question) = follower.next_poll(Instant(0)).unwrap();
    let mut told = answer(0, question.poll_number);
    told.confirmed = false;
    told.control = control().into_iter().skip(5).collect();
    follower.apply(Instant(1), &from, told);
    let mut now = Instant(0);
    let mut asked = std::collections::BTreeSet::new();
    // Nobody answers, so it goes on from one to the next.
    for _ in 0..200 {
        now = follower.next_deadline().max(now + Duration::from_millis(1));
        asked.extend(follower.next_poll(now).map(|(address, _)| address));
    }
    assert!(asked.contains(&seeds[0]));
    assert!(asked.len() > 3, "{asked:?}");
}

#[test]
fn a_watch_learns_of_a_new_leader_while_the_one_it_follows_stands_still() {
    let mut follower = Follower::new(&sender(1, 1), control(), false).without_config();
    let (first, question) = follower.next_poll(Instant(0)).unwrap();
    assert!(!question.wants_config);
    let (second, question) = follower.next_poll(Instant(0)).unwrap();
    assert_ne!(first, second);
    let mut told = answer(3, question.poll_number);
    let leader = Some("127.0.0.1:9".parse().unwrap());
    told.leader = leader;
    follower.apply(Instant(1), &"control-2".parse().unwrap(), told.clone());
    assert_eq!(follower.leader_address(), leader);
    // A process that lost its quorum may name a leader that is one no more.
    told.leader = Some("127.0.0.1:8".parse().unwrap());
    told.has_quorum = false;
    follower.apply(Instant(2), &"control-2".parse().unwrap(), told);
    assert_eq!(follower.leader_address(), leader);
}

#[test]
fn a_control_process_that_starts_again_with_its_clock_behind_is_heard() {
    let from = "control-1".parse().unwrap();
    let mut follower = Follower::new(&sender(1, 1), control().into_iter().take(1).collect(), true);
    let told = |life, question| {
        let mut update = answer(3, question);
        let mut directory = directory();
        directory.revision.source.1 = Incarnation(life);
        update.directory = Some(directory);
        update
    };
    let (_, first) = follower.next_poll(Instant(0)).unwrap();
    assert!(
        follower
            .apply(Instant(1), &from, told(9, first.poll_number))
            .directory_changed
    );
    let (_, second) = follower.next_poll(follower.next_deadline()).unwrap();
    assert!(
        follower
            .apply(Instant(3), &from, told(4, second.poll_number))
            .directory_changed
    );
    // What the life before sent is late.
    assert!(
        !follower
            .apply(Instant(4), &from, told(9, first.poll_number))
            .directory_changed
    );
}
