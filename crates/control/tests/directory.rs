//! Compares the directory with a map of all heartbeats, and tests followers that alternate between two
//! directories.

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

fn server_info(server: u64, incarnation: u64, state: ServerState) -> ServerInfo {
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
        is_cold: false,
        applied_orders: Vec::new(),
    }
}

fn heartbeat(server: u64, incarnation: u64, sequence: u64, state: ServerState) -> Heartbeat {
    Heartbeat {
        info: server_info(server, incarnation, state),
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
    let sender = Sender {
        process: "entry-1".parse().unwrap(),
        incarnation: Incarnation(1),
        address: "127.0.0.1:2".parse().unwrap(),
    };
    Follower::new(&sender, vec!["127.0.0.1:1".parse().unwrap()], true)
}

fn update(now: Instant, directory: &Directory, poll: &PollRequest, with_loads: bool) -> Update {
    Update {
        committed_version: Version(0),
        confirmed: true,
        poll_number: poll.poll_number,
        config: None,
        directory: Some(directory.update_since(now, poll.directory_revision.as_ref(), with_loads)),
        control_addresses: Vec::new(),
        has_quorum: true,
        leader: None,
        slow_engines: Vec::new(),
        entry_count: 1,
        shares: Vec::new(),
        coordinators: Default::default(),
    }
}

fn server_infos(directory: &Directory) -> Vec<ServerInfo> {
    directory
        .servers()
        .into_iter()
        .map(|(info, _)| info)
        .collect()
}

fn next_poll(follower: &mut Follower, now: &mut Instant) -> PollRequest {
    *now = (*now).max(follower.next_deadline());
    follower.next_poll(*now).unwrap().1
}

/// A simulated agent.
#[derive(Clone, Copy)]
struct Agent {
    incarnation: u64,
    /// Sequence number of its last heartbeat.
    sequence: u64,
    state: ServerState,
    alive: bool,
}

impl Agent {
    /// Restarts the agent, stops it or changes its state, at random.
    fn random_step(&mut self, rng: &mut ChaCha8Rng) {
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

const NEW_AGENT: Agent = Agent {
    incarnation: 1,
    sequence: 0,
    state: ServerState::Up,
    alive: true,
};

#[test]
fn directory_equals_a_map_of_all_heartbeats() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut directory = directory("control-1");
        let mut agents = [NEW_AGENT; 5];
        let mut latest: BTreeMap<u64, (Heartbeat, Instant)> = BTreeMap::new();
        let mut in_flight: Vec<(u64, Heartbeat)> = Vec::new();
        let mut now = Instant(1_000_000);
        for _ in 0..150 {
            now = now + Duration::from_millis(250);
            for (server, agent) in (0u64..).zip(&mut agents) {
                if rng.random_bool(0.25) {
                    agent.random_step(&mut rng);
                }
                if !agent.alive || rng.random_bool(0.5) {
                    continue;
                }
                agent.sequence += 1;
                in_flight.push((
                    server,
                    heartbeat(server, agent.incarnation, agent.sequence, agent.state),
                ));
                agent.alive &= agent.state != ServerState::Left;
            }
            for _ in 0..rng.random_range(0..8) {
                if in_flight.is_empty() {
                    break;
                }
                let at = rng.random_range(0..in_flight.len());
                let (server, heartbeat) = in_flight[at].clone();
                if rng.random_bool(0.8) {
                    in_flight.swap_remove(at);
                }
                directory.record_heartbeat(now, heartbeat.clone());
                let position =
                    |heartbeat: &Heartbeat| (heartbeat.info.incarnation, heartbeat.sequence);
                let newer = latest
                    .get(&server)
                    .is_none_or(|(latest, _)| position(latest) < position(&heartbeat));
                if newer {
                    latest.insert(server, (heartbeat, now));
                }
            }
            directory.expire(now);
            let leased = latest.values().filter(|(heartbeat, received_at)| {
                now.since(*received_at) < DEFAULT_LEASE && heartbeat.info.state != ServerState::Left
            });
            let expected: Vec<ServerInfo> = leased
                .map(|(heartbeat, _)| heartbeat.info.clone())
                .collect();
            assert_eq!(server_infos(&directory), expected, "seed {seed}");
        }
    }
}

#[test]
fn follower_of_two_directories_never_regresses_and_becomes_complete() {
    for seed in 0..100 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut replicas = [directory("control-1"), directory("control-2")];
        let mut agents = [NEW_AGENT; 5];
        let mut follower = follower();
        let mut last_seen: BTreeMap<String, (Incarnation, ServerState)> = BTreeMap::new();
        let mut now = Instant(1_000_000);
        for round in 0..200 {
            now = now + Duration::from_millis(250);
            let faults_ended = round >= 160;
            for (server, agent) in (0u64..).zip(&mut agents) {
                // An incarnation never leaves the draining state, which makes a regression visible.
                if !faults_ended && rng.random_bool(0.05) {
                    agent.state = ServerState::Draining;
                }
                if !faults_ended && rng.random_bool(0.02) {
                    *agent = Agent {
                        incarnation: agent.incarnation + 1,
                        ..NEW_AGENT
                    };
                }
                agent.sequence += 1;
                for replica in &mut replicas {
                    if faults_ended || rng.random_bool(0.6) {
                        let (incarnation, sequence) = (agent.incarnation, agent.sequence);
                        replica.record_heartbeat(
                            now,
                            heartbeat(server, incarnation, sequence, agent.state),
                        );
                    }
                }
            }
            for replica in &mut replicas {
                replica.expire(now);
            }
            let replica = if faults_ended {
                0
            } else {
                rng.random_range(0..2)
            };
            let poll = next_poll(&mut follower, &mut now);
            if !faults_ended && rng.random_bool(0.3) {
                continue;
            }
            let update = update(now, &replicas[replica], &poll, true);
            follower.apply(now, &"control-1".parse().unwrap(), update);
            for (name, server) in follower.servers() {
                let present = (server.info.incarnation, server.info.state);
                if let Some(before) = last_seen.get(name.as_str()) {
                    let regressed = before.0 > present.0
                        || (before.0 == present.0
                            && (before.1, present.1) == (ServerState::Draining, ServerState::Up));
                    assert!(
                        !regressed,
                        "seed {seed}: {name} from {before:?} to {present:?}"
                    );
                }
                last_seen.insert(name.to_string(), present);
            }
        }
        let held: Vec<ServerInfo> = follower
            .servers()
            .values()
            .map(|server| server.info.clone())
            .collect();
        assert_eq!(held, server_infos(&replicas[0]), "seed {seed}");
    }
}

#[test]
fn restarted_control_process_removes_no_server_during_warm_up() {
    let mut follower = follower();
    let mut now = Instant(1_000_000);
    let mut old = directory("control-1");
    old.expire(now);
    for server in 0..3 {
        old.record_heartbeat(now, heartbeat(server, 1, 1, ServerState::Up));
    }
    now = now + SECOND;
    let poll = next_poll(&mut follower, &mut now);
    let from = "control-1".parse().unwrap();
    follower.apply(now, &from, update(now, &old, &poll, true));
    assert_eq!(follower.servers().len(), 3);

    let mut new = Directory::new("control-1".parse().unwrap(), Incarnation(2));
    new.expire(now);
    new.record_heartbeat(now, heartbeat(0, 1, 2, ServerState::Up));
    let poll = next_poll(&mut follower, &mut now);
    follower.apply(now, &from, update(now, &new, &poll, true));
    assert_eq!(
        follower.servers().len(),
        3,
        "the other servers had no time to send a heartbeat"
    );
    for second in 0..4 {
        new.expire(now);
        new.record_heartbeat(now, heartbeat(0, 1, 3 + second, ServerState::Up));
        now = now + SECOND;
    }
    let poll = next_poll(&mut follower, &mut now);
    follower.apply(now, &from, update(now, &new, &poll, true));
    assert_eq!(
        follower.servers().len(),
        1,
        "the servers without a heartbeat are removed"
    );
}

#[test]
fn delayed_heartbeat_does_not_restore_a_server_that_left() {
    let mut directory = directory("control-1");
    let now = Instant(1_000_000);
    directory.record_heartbeat(now, heartbeat(1, 1, 1, ServerState::Up));
    directory.record_heartbeat(now, heartbeat(1, 1, 3, ServerState::Left));
    assert_eq!(
        directory.record_heartbeat(now, heartbeat(1, 1, 2, ServerState::Up)),
        None
    );
    assert!(server_infos(&directory).is_empty());

    // The same holds if the final heartbeat arrives first; a new incarnation is accepted immediately.
    directory.record_heartbeat(now, heartbeat(2, 1, 2, ServerState::Left));
    directory.record_heartbeat(now, heartbeat(2, 1, 1, ServerState::Up));
    assert!(server_infos(&directory).is_empty());
    directory.record_heartbeat(now, heartbeat(2, 2, 1, ServerState::Up));
    assert_eq!(server_infos(&directory).len(), 1);
}

#[test]
fn lease_expires_after_three_seconds_but_not_during_a_pause_of_control() {
    let mut directory = directory("control-1");
    let start = Instant(1_000_000);
    directory.record_heartbeat(start, heartbeat(1, 1, 1, ServerState::Up));
    for quarter in 1..12 {
        assert!(directory.expire(start + SECOND / 4 * quarter).is_empty());
    }
    let lost = directory.expire(start + DEFAULT_LEASE);
    assert_eq!(lost[0].code, Code::ServerLost);

    directory.record_heartbeat(start + DEFAULT_LEASE, heartbeat(1, 1, 2, ServerState::Up));
    let resumed = start + Duration::from_secs(60);
    assert!(
        directory.expire(resumed).is_empty(),
        "no heartbeat could be received"
    );
    let mut now = resumed;
    while now.since(resumed) < DEFAULT_LEASE {
        now = now + SECOND / 4;
        directory.expire(now);
    }
    assert!(server_infos(&directory).is_empty());
}

#[test]
fn first_of_two_processes_with_the_same_incarnation_keeps_the_name() {
    let mut directory = directory("control-1");
    let now = Instant(1_000_000);
    let mut duplicate = heartbeat(1, 7, 5, ServerState::Up);
    duplicate.info.address = "127.0.0.1:9999".parse().unwrap();
    directory.record_heartbeat(now, heartbeat(1, 7, 1, ServerState::Up));
    let event = directory.record_heartbeat(now, duplicate.clone()).unwrap();
    assert_eq!(event.code, Code::InputRefused);
    assert_eq!(
        directory.record_heartbeat(now, duplicate),
        None,
        "reported once"
    );
    assert_eq!(
        server_infos(&directory),
        [server_info(1, 7, ServerState::Up)]
    );

    // After its clock was set back, an agent has a lower incarnation, which is rejected until the
    // lease expires.
    assert_eq!(
        directory.record_heartbeat(now, heartbeat(1, 6, 1, ServerState::Up)),
        None
    );
    assert_eq!(
        server_infos(&directory),
        [server_info(1, 7, ServerState::Up)]
    );
}

#[test]
fn loads_with_small_changes_are_not_sent_and_updates_are_bounded() {
    let mut directory = directory("control-1");
    let mut now = Instant(1_000_000);
    directory.expire(now);
    for sequence in 1..5 {
        for server in 0..2900 {
            directory.record_heartbeat(now, heartbeat(server, 1, sequence, ServerState::Up));
        }
        now = now + SECOND;
        directory.expire(now);
    }
    let mut follower = follower();
    let from = "control-1".parse().unwrap();
    let mut updates = 0;
    loop {
        let poll = next_poll(&mut follower, &mut now);
        let update = update(now, &directory, &poll, true);
        let directory = update.directory.clone().unwrap();
        if updates > 0 {
            let bytes = encode(&update).unwrap().len();
            assert!(bytes < 13_000, "{bytes} bytes in one update");
        }
        follower.apply(now, &from, update);
        updates += 1;
        if directory.loads_complete {
            break;
        }
    }
    assert_eq!(updates, 8);
    let running = follower
        .servers()
        .values()
        .map(|server| server.load.running);
    assert!(running.into_iter().all(|running| running == 4));
    for server in 0..2900 {
        let mut unchanged = heartbeat(server, 1, 9, ServerState::Up);
        unchanged.load.running = 4;
        directory.record_heartbeat(now, unchanged);
    }
    let poll = next_poll(&mut follower, &mut now);
    let directory = directory.update_since(now, poll.directory_revision.as_ref(), true);
    assert!(directory.loads.is_empty() && directory.loads_complete);
}

/// Only the start and the end of the cold time are changes: a heartbeat a second from each of many cold
/// servers must not push the directory to all entries.
#[test]
fn start_and_end_of_the_cold_time_are_the_only_changes_of_the_directory() {
    let mut directory = directory("control-1");
    let mut events = Vec::new();
    let mut revisions = Vec::new();
    for (sequence, is_cold) in [true, true, true, false, false, true]
        .into_iter()
        .enumerate()
    {
        let mut heartbeat = heartbeat(1, 1, sequence as u64 + 1, ServerState::Up);
        heartbeat.info.is_cold = is_cold;
        let now = Instant(0) + SECOND * sequence as u32;
        let event = directory.record_heartbeat(now, heartbeat);
        events.extend(event.map(|event| (event.code, event.detail)));
        revisions.push(directory.revision());
    }
    assert_eq!(revisions, [2, 2, 2, 3, 3, 4]);
    let turned = |detail: &str| (Code::ServerCold, detail.to_owned());
    assert_eq!(events[0].0, Code::ServerUp);
    assert_eq!(events[1..], [turned("warm"), turned("cold")]);
}

/// Two control processes restart, and the heartbeat that says `draining` reaches only one of them. An entry
/// that knows it must not take the other one's older description back.
#[test]
fn draining_server_does_not_become_available_again_at_a_restarted_control_process() {
    let mut follower = follower();
    let mut now = Instant(1_000_000);
    let mut first = directory("control-1");
    let mut second = directory("control-2");
    for directory in [&mut first, &mut second] {
        directory.expire(now);
        directory.record_heartbeat(now, heartbeat(1, 1, 1, ServerState::Up));
    }
    first.record_heartbeat(now, heartbeat(1, 1, 2, ServerState::Draining));
    for (round, source) in [&first, &second, &second].into_iter().enumerate() {
        let poll = next_poll(&mut follower, &mut now);
        let mut update = update(now, source, &poll, true);
        // A complete list, as after more changes than are kept.
        update.directory = Some(source.update_since(now, None, true));
        follower.apply(now, &"control".parse().unwrap(), update);
        let state = follower.servers().values().next().unwrap().info.state;
        assert_eq!(state, ServerState::Draining, "round {round}");
    }
}

/// A push and the response to a poll that was sent before it overlap; the push after them removes a server.
#[test]
fn poll_that_crosses_a_push_does_not_hold_back_a_removal() {
    let mut follower = follower();
    let mut now = Instant(1_000_000);
    let from = "control-1".parse().unwrap();
    let mut directory = directory("control-1");
    directory.expire(now);
    let poll = next_poll(&mut follower, &mut now);
    follower.apply(now, &from, update(now, &directory, &poll, true));
    let poll = next_poll(&mut follower, &mut now);
    directory.record_heartbeat(now, heartbeat(1, 1, 1, ServerState::Up));
    let push = update(now, &directory, &poll, false);
    directory.record_heartbeat(now, heartbeat(2, 1, 1, ServerState::Up));
    let response = update(now, &directory, &poll, true);
    let sent = response.directory.as_ref().unwrap().revision.clone();
    directory.record_heartbeat(now, heartbeat(1, 1, 2, ServerState::Left));
    let mut removal = update(now, &directory, &poll, false);
    removal.directory = Some(directory.update_since(now, Some(&sent), false));
    for update in [push, response, removal] {
        follower.apply(now, &from, update);
    }
    let held: Vec<&str> = follower.servers().keys().map(|s| s.as_str()).collect();
    assert_eq!(held, ["engine-2"]);
}

/// Entries of an earlier build ignore `departed`, and control processes of one send complete lists numbered
/// 0 during their warm-up.
#[test]
fn directory_and_followers_of_two_builds_stay_correct_side_by_side() {
    let from = "control-1".parse().unwrap();
    let mut now = Instant(1_000_000);
    let mut old_follower = follower();
    let mut new_follower = follower();
    let mut before = directory("control-1");
    before.expire(now);
    for server in 0..4 {
        before.record_heartbeat(now, heartbeat(server, 1, 1, ServerState::Up));
    }
    now = now + DEFAULT_LEASE;
    before.expire(now);
    for follower in [&mut old_follower, &mut new_follower] {
        let poll = next_poll(follower, &mut now);
        follower.apply(now, &from, update(now, &before, &poll, true));
        assert_eq!(follower.servers().len(), 4);
    }

    // The earlier entry at a restarted control process of this build.
    let mut restarted = Directory::new("control-1".parse().unwrap(), Incarnation(2));
    restarted.expire(now);
    for server in 0..2 {
        restarted.record_heartbeat(now, heartbeat(server, 1, 2, ServerState::Up));
    }
    for removed in 0..2 {
        let poll = next_poll(&mut old_follower, &mut now);
        let mut update = update(now, &restarted, &poll, true);
        update.directory.as_mut().unwrap().departed.clear();
        old_follower.apply(now, &from, update);
        assert_eq!(old_follower.servers().len(), 4 - removed);
        restarted.remove_server(now, &format!("engine-{removed}").parse().unwrap());
    }

    // This build's entry at a restarted control process of the earlier build.
    let poll = next_poll(&mut new_follower, &mut now);
    let mut earlier = Directory::new("control-1".parse().unwrap(), Incarnation(3));
    earlier.expire(now);
    earlier.record_heartbeat(now, heartbeat(0, 1, 3, ServerState::Up));
    for number in [0, 0, 7] {
        let mut update = update(now, &earlier, &poll, true);
        let directory = update.directory.as_mut().unwrap();
        directory.base_revision = None;
        directory.revision.number = number;
        directory.warmed_up = number > 0;
        new_follower.apply(now, &from, update);
        let expected = if number > 0 { 1 } else { 4 };
        assert_eq!(new_follower.servers().len(), expected);
    }
}

/// All followers fetched the complete list with every push and poll for one lease after the start of a
/// control process. Each needs a description when the server announces itself, and once more after that.
#[test]
fn followers_get_each_description_twice_after_a_restart_of_control() {
    const FOLLOWERS: u64 = 53;
    const SERVERS: u64 = 140;
    const STEP: Duration = Duration::from_millis(50);
    const LEASE: Duration = Duration::from_millis(4800);
    let mut directory = directory("control-1").with_lease(LEASE);
    let from = "control-1".parse().unwrap();
    let control = vec!["127.0.0.1:1".parse().unwrap()];
    let new = |number: u64| {
        let local = Sender {
            process: format!("entry-{number}").parse().unwrap(),
            incarnation: Incarnation(1),
            address: "127.0.0.1:2".parse().unwrap(),
        };
        Follower::new(&local, control.clone(), true)
    };
    let mut followers: Vec<Follower> = (0..FOLLOWERS).map(new).collect();
    // The revision that control last sent to each, as `Followers` records it, with the poll.
    let mut sent: Vec<Option<PollRequest>> = vec![None; FOLLOWERS as usize];
    let start = Instant(1_000_000);
    let (mut now, mut pushed, mut next_push) = (start, 1, start);
    let (mut bytes, mut descriptions) = (0, 0);
    directory.expire(now);
    while now.since(start) < LEASE + SECOND * 2 {
        let step = now.since(start).as_millis() as u64 / STEP.as_millis() as u64;
        // Each server sends a heartbeat every 1.2 s, all of them spread over this time.
        for server in (0..SERVERS).filter(|server| server % 24 == step % 24) {
            directory.record_heartbeat(now, heartbeat(server, 1, step + 1, ServerState::Up));
        }
        directory.expire(now);
        let is_push_due = now >= next_push && directory.revision() != pushed;
        for (follower, sent) in followers.iter_mut().zip(&mut sent) {
            let poll = follower.next_poll(now);
            let is_poll = poll.is_some();
            if let Some((_, poll)) = poll {
                *sent = Some(poll);
            }
            let Some(held) = sent.as_mut().filter(|_| is_poll || is_push_due) else {
                continue;
            };
            let update = update(now, &directory, held, is_poll);
            let of_update = update.directory.as_ref().unwrap();
            held.directory_revision = Some(of_update.revision.clone());
            descriptions += of_update.servers.len() as u64;
            bytes += encode(&update).unwrap().len();
            follower.apply(now, &from, update);
        }
        if is_push_due {
            pushed = directory.revision();
            next_push = now + SECOND / 5;
        }
        now = now + STEP;
    }
    println!("{bytes} bytes, {descriptions} descriptions for {FOLLOWERS} followers");
    let complete = |follower: &Follower| follower.servers().len() as u64 == SERVERS;
    assert!(followers.iter().all(complete));
    let most = 2 * FOLLOWERS * SERVERS;
    assert!(
        descriptions <= most,
        "{descriptions} descriptions, {most} needed"
    );
}
