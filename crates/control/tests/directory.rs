//! The directory against a full map of all beats, and followers that switch between two of them.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_control::directory::{DEFAULT_LEASE, Directory};
use eelgrassdyke_core::event::Code;
use eelgrassdyke_core::follow::Follower;
use eelgrassdyke_core::id::{Incarnation, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::TokenRate;
use eelgrassdyke_core::wire::directory::{Heartbeat, ServerInfo, ServerLoad, ServerState};
use eelgrassdyke_core::wire::follow::{PollRequest, Update};
use eelgrassdyke_core::wire::{Sender, encode};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const SECOND: Duration = Duration::from_secs(1);

fn row(server: u64, incarnation: u64, state: ServerState) -> ServerInfo {
    ServerInfo {
        server: format!("engine-{server}").parse().unwrap(),
        service: "draft".parse().unwrap(),
        agent: format!("agent-{server}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        address: "127.0.0.1:7301".parse().unwrap(),
        host: "host".parse().unwrap(),
        data_centre: "hobart".parse().unwrap(),
        state,
        slots: 8,
        token_rate: TokenRate(400),
        applied_orders: Vec::new(),
    }
}

fn beat(server: u64, incarnation: u64, sequence: u64, state: ServerState) -> Heartbeat {
    Heartbeat {
        info: row(server, incarnation, state),
        sequence,
        load: ServerLoad {
            running: (sequence % 20) as u32,
            ..ServerLoad::default()
        },
    }
}

fn directory(process: &str) -> Directory {
    Directory::new(process.parse().unwrap(), Incarnation(1))
}

fn follower() -> Follower {
    let me = Sender {
        process: "entry-1".parse().unwrap(),
        incarnation: Incarnation(1),
        address: "127.0.0.1:2".parse().unwrap(),
    };
    Follower::new(&me, vec!["127.0.0.1:1".parse().unwrap()], true)
}

fn update(now: Instant, directory: &Directory, follow: &PollRequest, answers: bool) -> Update {
    Update {
        committed_version: Version(0),
        confirmed: true,
        poll_number: follow.poll_number,
        config: None,
        directory: Some(directory.update_since(now, follow.directory_revision.as_ref(), answers)),
        control: Vec::new(),
        has_quorum: true,
        leader: None,
        slow_engines: Vec::new(),
        entry_count: 1,
    }
}

fn rows(directory: &Directory) -> Vec<ServerInfo> {
    directory
        .servers()
        .into_iter()
        .map(|(row, _)| row)
        .collect()
}

fn ask(follower: &mut Follower, now: &mut Instant) -> PollRequest {
    *now = (*now).max(follower.next_deadline());
    follower.next_poll(*now).unwrap().1
}

/// An agent of the test: its incarnation, its last beat and its state.
#[derive(Clone, Copy)]
struct Agent {
    incarnation: u64,
    sequence: u64,
    state: ServerState,
    alive: bool,
}

impl Agent {
    fn step(&mut self, rng: &mut ChaCha8Rng) {
        match rng.random_range(0..20) {
            0 => self.alive = false,
            1 => {
                *self = Self {
                    incarnation: self.incarnation + 1,
                    sequence: 0,
                    state: ServerState::Up,
                    alive: true,
                };
            }
            2 => self.state = ServerState::Draining,
            3 => self.state = ServerState::Up,
            4 => self.state = ServerState::Left,
            _ => {}
        }
    }
}

const NEW: Agent = Agent {
    incarnation: 1,
    sequence: 0,
    state: ServerState::Up,
    alive: true,
};

#[test]
fn the_directory_agrees_with_a_map_of_all_beats() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut directory = directory("control-1");
        let mut agents = [NEW; 5];
        let mut best: BTreeMap<u64, (Heartbeat, Instant)> = BTreeMap::new();
        let mut late: Vec<(u64, Heartbeat)> = Vec::new();
        let mut now = Instant(1_000_000);
        for _ in 0..150 {
            now = now + Duration::from_millis(250);
            for (server, agent) in (0u64..).zip(&mut agents) {
                if rng.random_bool(0.25) {
                    agent.step(&mut rng);
                }
                if !agent.alive || rng.random_bool(0.5) {
                    continue;
                }
                agent.sequence += 1;
                late.push((
                    server,
                    beat(server, agent.incarnation, agent.sequence, agent.state),
                ));
                agent.alive &= agent.state != ServerState::Left;
            }
            for _ in 0..rng.random_range(0..8) {
                if late.is_empty() {
                    break;
                }
                let at = rng.random_range(0..late.len());
                let (server, beat) = late[at].clone();
                if rng.random_bool(0.8) {
                    late.swap_remove(at);
                }
                directory.record_heartbeat(now, beat.clone());
                let position = |beat: &Heartbeat| (beat.info.incarnation, beat.sequence);
                let newer = best
                    .get(&server)
                    .is_none_or(|(held, _)| position(held) < position(&beat));
                if newer {
                    best.insert(server, (beat, now));
                }
            }
            directory.expire(now);
            let living = best.values().filter(|(beat, heard)| {
                now.since(*heard) < DEFAULT_LEASE && beat.info.state != ServerState::Left
            });
            let expected: Vec<ServerInfo> = living.map(|(beat, _)| beat.info.clone()).collect();
            assert_eq!(rows(&directory), expected, "seed {seed}");
        }
    }
}

#[test]
fn a_follower_of_two_directories_never_steps_back_and_ends_up_complete() {
    for seed in 0..100 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut replicas = [directory("control-1"), directory("control-2")];
        let mut agents = [NEW; 5];
        let mut follower = follower();
        let mut held: BTreeMap<String, (Incarnation, ServerState)> = BTreeMap::new();
        let mut now = Instant(1_000_000);
        for round in 0..200 {
            now = now + Duration::from_millis(250);
            let calm = round >= 160;
            for (server, agent) in (0u64..).zip(&mut agents) {
                // A draining agent of one life stays so, which makes stepping back visible.
                if !calm && rng.random_bool(0.05) {
                    agent.state = ServerState::Draining;
                }
                if !calm && rng.random_bool(0.02) {
                    *agent = Agent {
                        incarnation: agent.incarnation + 1,
                        ..NEW
                    };
                }
                agent.sequence += 1;
                for replica in &mut replicas {
                    if calm || rng.random_bool(0.6) {
                        let (life, number) = (agent.incarnation, agent.sequence);
                        replica.record_heartbeat(now, beat(server, life, number, agent.state));
                    }
                }
            }
            for replica in &mut replicas {
                replica.expire(now);
            }
            let which = if calm { 0 } else { rng.random_range(0..2) };
            let follow = ask(&mut follower, &mut now);
            if !calm && rng.random_bool(0.3) {
                continue;
            }
            let update = update(now, &replicas[which], &follow, true);
            follower.apply(now, &"control-1".parse().unwrap(), update);
            for (name, seen) in follower.servers() {
                let present = (seen.info.incarnation, seen.info.state);
                if let Some(before) = held.get(name.as_str()) {
                    let back = before.0 > present.0
                        || (before.0 == present.0
                            && (before.1, present.1) == (ServerState::Draining, ServerState::Up));
                    assert!(!back, "seed {seed}: {name} from {before:?} to {present:?}");
                }
                held.insert(name.to_string(), present);
            }
        }
        let seen: Vec<ServerInfo> = follower
            .servers()
            .values()
            .map(|s| s.info.clone())
            .collect();
        assert_eq!(seen, rows(&replicas[0]), "seed {seed}");
    }
}

#[test]
fn a_restarted_control_process_takes_no_back_end_away_before_all_could_announce() {
    let mut follower = follower();
    let mut now = Instant(1_000_000);
    let mut old = directory("control-1");
    old.expire(now);
    for server in 0..3 {
        old.record_heartbeat(now, beat(server, 1, 1, ServerState::Up));
    }
    now = now + SECOND;
    let follow = ask(&mut follower, &mut now);
    let from = "control-1".parse().unwrap();
    follower.apply(now, &from, update(now, &old, &follow, true));
    assert_eq!(follower.servers().len(), 3);

    let mut new = Directory::new("control-1".parse().unwrap(), Incarnation(2));
    new.expire(now);
    new.record_heartbeat(now, beat(0, 1, 2, ServerState::Up));
    let follow = ask(&mut follower, &mut now);
    follower.apply(now, &from, update(now, &new, &follow, true));
    assert_eq!(
        follower.servers().len(),
        3,
        "the others had no time to announce themselves"
    );
    for second in 0..4 {
        new.expire(now);
        new.record_heartbeat(now, beat(0, 1, 3 + second, ServerState::Up));
        now = now + SECOND;
    }
    let follow = ask(&mut follower, &mut now);
    follower.apply(now, &from, update(now, &new, &follow, true));
    assert_eq!(follower.servers().len(), 1, "those that did not are gone");
}

#[test]
fn a_late_beat_does_not_bring_back_a_back_end_that_left() {
    let mut directory = directory("control-1");
    let now = Instant(1_000_000);
    directory.record_heartbeat(now, beat(1, 1, 1, ServerState::Up));
    directory.record_heartbeat(now, beat(1, 1, 3, ServerState::Left));
    assert_eq!(
        directory.record_heartbeat(now, beat(1, 1, 2, ServerState::Up)),
        None
    );
    assert!(rows(&directory).is_empty());

    // The same holds when the farewell overtook every beat, and a new life comes back at once.
    directory.record_heartbeat(now, beat(2, 1, 2, ServerState::Left));
    directory.record_heartbeat(now, beat(2, 1, 1, ServerState::Up));
    assert!(rows(&directory).is_empty());
    directory.record_heartbeat(now, beat(2, 2, 1, ServerState::Up));
    assert_eq!(rows(&directory).len(), 1);
}

#[test]
fn a_lease_runs_out_after_three_seconds_but_not_while_control_stood_still() {
    let mut directory = directory("control-1");
    let start = Instant(1_000_000);
    directory.record_heartbeat(start, beat(1, 1, 1, ServerState::Up));
    for quarter in 1..12 {
        assert!(directory.expire(start + SECOND / 4 * quarter).is_empty());
    }
    let lost = directory.expire(start + DEFAULT_LEASE);
    assert_eq!(lost[0].code, Code::ServerLost);

    directory.record_heartbeat(start + DEFAULT_LEASE, beat(1, 1, 2, ServerState::Up));
    let thawed = start + Duration::from_secs(60);
    assert!(directory.expire(thawed).is_empty(), "nobody could be heard");
    let mut now = thawed;
    while now.since(thawed) < DEFAULT_LEASE {
        now = now + SECOND / 4;
        directory.expire(now);
    }
    assert!(rows(&directory).is_empty());
}

#[test]
fn of_two_processes_with_one_incarnation_the_first_keeps_the_name() {
    let mut directory = directory("control-1");
    let now = Instant(1_000_000);
    let mut clone = beat(1, 7, 5, ServerState::Up);
    clone.info.address = "127.0.0.1:9999".parse().unwrap();
    directory.record_heartbeat(now, beat(1, 7, 1, ServerState::Up));
    let event = directory.record_heartbeat(now, clone.clone()).unwrap();
    assert_eq!(event.code, Code::InputRefused);
    assert_eq!(directory.record_heartbeat(now, clone), None, "told once");
    assert_eq!(rows(&directory), [row(1, 7, ServerState::Up)]);

    // A clock set back gives a lower incarnation, which waits until the lease has run out.
    assert_eq!(
        directory.record_heartbeat(now, beat(1, 6, 1, ServerState::Up)),
        None
    );
    assert_eq!(rows(&directory), [row(1, 7, ServerState::Up)]);
}

#[test]
fn loads_that_hardly_changed_are_not_sent_and_the_rest_is_bounded() {
    let mut directory = directory("control-1");
    let mut now = Instant(1_000_000);
    directory.expire(now);
    for sequence in 1..5 {
        for server in 0..2900 {
            directory.record_heartbeat(now, beat(server, 1, sequence, ServerState::Up));
        }
        now = now + SECOND;
        directory.expire(now);
    }
    let mut follower = follower();
    let from = "control-1".parse().unwrap();
    let mut answers = 0;
    loop {
        let follow = ask(&mut follower, &mut now);
        let update = update(now, &directory, &follow, true);
        let directory = update.directory.clone().unwrap();
        if answers > 0 {
            let bytes = encode(&update).unwrap().len();
            assert!(bytes < 13_000, "{bytes} bytes in one answer");
        }
        follower.apply(now, &from, update);
        answers += 1;
        if directory.loads_complete {
            break;
        }
    }
    assert_eq!(answers, 8);
    let running = follower.servers().values().map(|seen| seen.load.running);
    assert!(running.into_iter().all(|running| running == 4));
    for server in 0..2900 {
        let mut same = beat(server, 1, 9, ServerState::Up);
        same.load.running = 4;
        directory.record_heartbeat(now, same);
    }
    let follow = ask(&mut follower, &mut now);
    let directory = directory.update_since(now, follow.directory_revision.as_ref(), true);
    assert!(directory.loads.is_empty() && directory.loads_complete);
}
