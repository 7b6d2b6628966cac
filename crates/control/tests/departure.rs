//! Servers that leave or drain while control processes have restarted: entries must learn of it at once
//! and not use the server again, whichever control process they follow and whatever that has forgotten.

mod cluster;
mod log_net;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cluster::{CLIENT, Cluster, sender};
use eelgrassdyke_control::{Input, OperatorResponse, ServerNotice};
use eelgrassdyke_core::follow::Follower;
use eelgrassdyke_core::id::{Incarnation, Server};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::TokenRate;
use eelgrassdyke_core::wire::directory::{Heartbeat, ServerInfo, ServerLoad, ServerState};
use eelgrassdyke_core::wire::{Message, Sender};
use log_net::address;
use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Time between two heartbeats of a server, and the lease, as on the users' platform.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
const LEASE: Duration = Duration::from_millis(4800);

/// Contact of all processes without a fault, from which on the bounds hold.
const CONTACT: u64 = 3000;

/// Time after an acknowledged notice within which entries must act on it, in milliseconds.
const NOTICE_MS_MAX: u64 = 2000;

/// Time for which a server waits for the response to a notice.
const RESPONSE_WAIT_MAX: Duration = Duration::from_secs(1);

const STEP_MS: u64 = 50;

fn server(number: u64) -> Server {
    format!("engine-{number}").parse().unwrap()
}

fn heartbeat(number: u64, incarnation: u64, sequence: u64, state: ServerState) -> Heartbeat {
    Heartbeat {
        info: ServerInfo {
            server: server(number),
            service: "draft".parse().unwrap(),
            agent: "none".parse().unwrap(),
            incarnation: Incarnation(incarnation),
            address: format!("10.0.1.{number}:8000").parse().unwrap(),
            host: format!("host-{number}").parse().unwrap(),
            data_centre: "hobart".parse().unwrap(),
            state,
            slots: 8,
            token_rate: TokenRate(0),
            is_cold: false,
            applied_orders: Vec::new(),
        },
        sequence,
        load: ServerLoad::default(),
    }
}

struct Entry {
    local: Sender,
    follower: Follower,
}

impl Entry {
    fn new(number: usize, incarnation: u64, control: Vec<SocketAddr>) -> Self {
        let local = Sender {
            incarnation: Incarnation(incarnation),
            ..sender(number)
        };
        let follower = Follower::new(&local, control, true);
        Self { local, follower }
    }

    fn state(&self, number: u64) -> Option<ServerState> {
        let status = self.follower.servers().get(&server(number))?;
        Some(status.info.state)
    }
}

/// A server that sends heartbeats.
struct Announcer {
    incarnation: u64,
    sequence: u64,
    state: ServerState,
    next: Instant,
}

/// Three control processes, entries, and servers without agents.
struct Site {
    cluster: Cluster,
    entries: Vec<Entry>,
    servers: BTreeMap<u64, Announcer>,
}

impl Site {
    fn new(entries: usize, servers: u64) -> Self {
        let mut cluster = Cluster::new();
        cluster.server_lease = LEASE;
        cluster.delivered = Some(Vec::new());
        let now = cluster.now;
        let control: Vec<SocketAddr> = (0..3).map(address).collect();
        let entry = |number| Entry::new(CLIENT + number, 1, control.clone());
        let announcer = |number| Announcer {
            incarnation: 1,
            sequence: 0,
            state: ServerState::Up,
            next: now + Duration::from_millis(100 * number),
        };
        let mut site = Self {
            cluster,
            entries: (0..entries).map(entry).collect(),
            servers: (1..=servers)
                .map(|number| (number, announcer(number)))
                .collect(),
        };
        site.run(6000);
        let all = servers as usize;
        assert!(
            (site.entries.iter()).all(|entry| entry.follower.servers().len() == all),
            "the entries know all servers"
        );
        site
    }

    /// Sends a notice to one control process after another until one accepts it.
    fn announce(&mut self, first: usize, notice: &ServerNotice) -> bool {
        (first..first + 3).any(|to| {
            let input = |ticket| Input::Announce {
                ticket,
                notice: notice.clone(),
            };
            self.cluster.last_ticket += 1;
            let ticket = eelgrassdyke_core::id::Ticket(self.cluster.last_ticket);
            self.cluster.handle_input(to % 3, input(ticket));
            // The entries get what is sent meanwhile with the next step.
            let end = self.cluster.now + RESPONSE_WAIT_MAX;
            while self.cluster.processes[to % 3].is_some()
                && !self.cluster.responses.contains_key(&ticket)
                && self.cluster.now < end
            {
                self.cluster.run(5);
            }
            let response = self.cluster.responses.remove(&ticket);
            matches!(response, Some(OperatorResponse::NoticeAccepted))
        })
    }

    fn leave(&mut self, to: usize, number: u64) {
        self.servers.remove(&number);
        assert!(self.announce(to, &ServerNotice::Left(server(number))));
    }

    fn announce_heartbeat(&mut self, to: usize, heartbeat: Heartbeat) {
        self.announce(to, &ServerNotice::Heartbeat(heartbeat));
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            let now = self.cluster.now;
            let mut due = Vec::new();
            for (number, announcer) in &mut self.servers {
                if now < announcer.next {
                    continue;
                }
                announcer.next = now + HEARTBEAT_INTERVAL;
                announcer.sequence += 1;
                let (incarnation, sequence) = (announcer.incarnation, announcer.sequence);
                due.push(heartbeat(*number, incarnation, sequence, announcer.state));
            }
            for heartbeat in due {
                let to = heartbeat.sequence as usize;
                self.announce_heartbeat(to, heartbeat);
            }
            for entry in &mut self.entries {
                while let Some((to, poll)) = entry.follower.next_poll(now) {
                    let message = Message::Poll(poll);
                    self.cluster
                        .messages
                        .push_back((entry.local.clone(), to, message));
                }
            }
            self.cluster.run(STEP_MS);
            let delivered = self.cluster.delivered.replace(Vec::new());
            for (to, message) in delivered.unwrap_or_default() {
                let entry = self.entries.iter_mut();
                let Some(entry) = entry.into_iter().find(|entry| entry.local.address == to) else {
                    continue;
                };
                if let Message::Update(update) = message {
                    let from = "control".parse().unwrap();
                    entry.follower.apply(self.cluster.now, &from, update);
                }
            }
        }
    }

    /// Kills control processes at the same moment and starts them 0.5 s later.
    fn restart(&mut self, numbers: &[usize]) {
        for number in numbers {
            self.cluster.kill(*number);
        }
        self.run(500);
        for number in numbers {
            self.cluster.start(*number);
        }
    }

    fn assert_gone(&self, number: u64, case: &str) {
        for entry in &self.entries {
            let state = entry.state(number);
            let process = &entry.local.process;
            assert_eq!(state, None, "{case}: {process} holds server {number}");
        }
    }
}

#[test_case(&[0, 1, 2]; "all")]
#[test_case(&[0, 1]; "two")]
#[test_case(&[2]; "one")]
fn departure_after_a_restart_of_control_reaches_entries(restarted: &[usize]) {
    for to in 0..3 {
        let mut site = Site::new(6, 8);
        site.restart(restarted);
        site.run(CONTACT);
        site.leave(to, 1);
        site.run(500);
        site.assert_gone(1, &format!("left at {to}"));
        let known = site.entries.iter().map(|entry| entry.follower.servers());
        assert!(known.into_iter().all(|servers| servers.len() == 7));
    }
}

/// No control process has heard of the server since its start, but entries know it from before.
#[test]
fn departure_of_a_server_without_a_heartbeat_since_the_restart_reaches_entries() {
    let mut site = Site::new(6, 8);
    let announcer = site.servers.remove(&1).unwrap();
    site.restart(&[0, 1, 2]);
    site.run(CONTACT);
    assert!(site.entries.iter().all(|entry| entry.state(1).is_some()));
    site.leave(0, 1);
    site.run(500);
    site.assert_gone(1, "left");
    let late = heartbeat(1, 1, announcer.sequence, ServerState::Up);
    for to in 0..3 {
        site.announce_heartbeat(to, late.clone());
        site.run(1500);
        site.assert_gone(1, "late heartbeat");
    }
    site.run(5000);
    site.announce_heartbeat(0, heartbeat(1, 2, 1, ServerState::Up));
    site.run(NOTICE_MS_MAX);
    assert!(site.entries.iter().all(|entry| entry.state(1).is_some()));
}

#[test]
fn draining_after_a_restart_of_control_reaches_entries() {
    for to in 0..3 {
        let mut site = Site::new(6, 8);
        site.restart(&[0, 1, 2]);
        site.run(CONTACT);
        let announcer = site.servers.get_mut(&1).unwrap();
        announcer.sequence += 1;
        announcer.state = ServerState::Draining;
        announcer.next = site.cluster.now + HEARTBEAT_INTERVAL;
        let draining = heartbeat(1, 1, announcer.sequence, ServerState::Draining);
        site.announce_heartbeat(to, draining);
        for _ in 0..5 {
            site.run(500);
            for entry in &site.entries {
                assert_eq!(entry.state(1), Some(ServerState::Draining));
            }
        }
    }
}

/// The restarted process has forgotten the departure when the delayed heartbeat arrives.
#[test]
fn delayed_heartbeat_at_a_restarted_control_process_does_not_restore_a_server() {
    for restarted in 0..3 {
        let mut site = Site::new(6, 8);
        let sequence = site.servers[&1].sequence;
        site.leave((restarted + 1) % 3, 1);
        site.run(500);
        site.restart(&[restarted]);
        // An entry that starts now knows nothing of before either.
        site.entries[0] = Entry::new(CLIENT, 2, vec![address(restarted)]);
        let from = sender(CLIENT + 1);
        for round in 0..40 {
            // Another control process forwards it.
            let late = Message::Heartbeat(heartbeat(1, 1, sequence, ServerState::Up));
            let to = address(restarted);
            site.cluster.messages.push_back((from.clone(), to, late));
            site.run(200);
            if round >= 3 {
                site.assert_gone(1, &format!("{restarted} restarted, round {round}"));
            }
        }
    }
}

/// The process that gets the notice has restarted and knows no heartbeat of the server, so it learns from the
/// others which heartbeats are outdated. The delayed one arrives when it would refuse no others any more.
#[test]
fn delayed_heartbeat_does_not_restore_a_server_that_left_before_its_first_heartbeat_at_a_process() {
    let mut site = Site::new(6, 8);
    let sequence = site.servers.remove(&1).unwrap().sequence;
    site.restart(&[0]);
    site.run(CONTACT);
    site.leave(0, 1);
    site.entries[0] = Entry::new(CLIENT, 2, vec![address(0)]);
    site.run(LEASE.as_millis() as u64 + 1000);
    let late = Message::Heartbeat(heartbeat(1, 1, sequence, ServerState::Up));
    let from = sender(CLIENT + 1);
    site.cluster.messages.push_back((from, address(0), late));
    for _ in 0..10 {
        site.run(300);
        site.assert_gone(1, "late heartbeat");
    }
}

/// With all control processes restarted, only the entries remember the departure.
#[test]
fn delayed_heartbeat_after_a_restart_of_all_control_processes_does_not_restore_a_server() {
    let mut site = Site::new(6, 8);
    let sequence = site.servers[&1].sequence;
    site.leave(0, 1);
    site.run(500);
    site.restart(&[0, 1, 2]);
    for _ in 0..10 {
        let late = heartbeat(1, 1, sequence, ServerState::Up);
        site.announce_heartbeat(0, late);
        site.run(500);
        site.assert_gone(1, "late heartbeat");
    }
}

/// Restarts in any order, entries that change their control process, delayed heartbeats, and servers that
/// leave, drain and return.
#[test]
fn notices_in_contact_hold_in_random_histories() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut site = Site::new(5, 10);
        let mut left: BTreeMap<u64, Heartbeat> = BTreeMap::new();
        for round in 0..4 {
            let mut numbers: Vec<usize> = (0..3).collect();
            numbers.retain(|_| rng.random_bool(0.6));
            match rng.random_bool(0.5) {
                true => site.restart(&numbers),
                false => (numbers.iter()).for_each(|number| {
                    site.restart(&[*number]);
                    site.run(250);
                }),
            }
            site.run(CONTACT + STEP_MS * rng.random_range(0..30));
            let running: Vec<u64> = site.servers.keys().copied().collect();
            let leaver = *running.choose(&mut rng).unwrap();
            let sequence = site.servers[&leaver].sequence;
            let incarnation = site.servers[&leaver].incarnation;
            left.insert(
                leaver,
                heartbeat(leaver, incarnation, sequence, ServerState::Up),
            );
            site.leave(rng.random_range(0..3), leaver);
            for step in 0..15 {
                if rng.random_bool(0.5) {
                    let late: Vec<&Heartbeat> = left.values().collect();
                    let late = (*late.choose(&mut rng).unwrap()).clone();
                    site.announce_heartbeat(rng.random_range(0..3), late);
                }
                site.run(200);
                if step < 9 {
                    continue;
                }
                for number in left.keys() {
                    let case = format!("seed {seed}, round {round}, step {step}");
                    site.assert_gone(*number, &case);
                }
            }
            // A server returns under its name.
            if rng.random_bool(0.3) {
                let number = *left.keys().next().unwrap();
                let earlier = left.remove(&number).unwrap();
                let now = site.cluster.now;
                site.servers.insert(
                    number,
                    Announcer {
                        incarnation: earlier.info.incarnation.0 + 1,
                        sequence: 0,
                        state: ServerState::Up,
                        next: now,
                    },
                );
                site.run(2000);
                let held = site.entries.iter().map(|entry| entry.state(number));
                assert!(held.into_iter().all(|state| state.is_some()), "seed {seed}");
            }
        }
        site.run(LEASE.as_millis() as u64 + 2000);
        for entry in &site.entries {
            let held: Vec<&Server> = entry.follower.servers().keys().collect();
            assert_eq!(held.len(), site.servers.len(), "seed {seed}: {held:?}");
        }
    }
}

/// Guards against a departure that only the process which acknowledged it knew of: entries that follow the
/// others used the server until its lease expired.
#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
fn acknowledged_departure_outlives_the_process_that_acknowledged_it(to: usize) {
    let mut site = Site::new(6, 8);
    // Processes have the lease from their next start on.
    site.restart(&[0, 1, 2]);
    site.run(CONTACT + LEASE.as_millis() as u64);
    site.leave(to, 1);
    // What its outboxes hold ends with the process.
    let ended = address(to);
    let messages = &mut site.cluster.messages;
    messages.retain(|(from, ..)| from.address != ended);
    site.cluster.kill(to);
    site.run(CONTACT);
    site.assert_gone(1, &format!("{to} ended after the acknowledgement"));
}

/// Guards against a notice that is passed on once: its loss lasted until the lease expired.
#[test]
fn departure_that_is_lost_on_its_way_to_another_control_process_is_sent_again() {
    let mut site = Site::new(6, 8);
    site.run(CONTACT);
    site.cluster.rewrite = Some(|receiver, message| {
        let names_departure = match message {
            Message::ServerLeft(_) => true,
            Message::Heartbeat(heartbeat) => heartbeat.info.state == ServerState::Left,
            _ => false,
        };
        if receiver == 1 && names_departure {
            *message = Message::ActiveEntries(Vec::new());
        }
    });
    site.leave(0, 1);
    site.cluster.rewrite = None;
    site.run(NOTICE_MS_MAX);
    site.assert_gone(1, "lost once");
}

/// Guards against a notice that is never acknowledged because other control processes are down.
#[test]
fn departure_is_acknowledged_in_time_while_another_control_process_is_down() {
    let mut site = Site::new(6, 8);
    site.cluster.kill(2);
    site.run(CONTACT);
    let before = site.cluster.now;
    site.leave(0, 1);
    let waited = site.cluster.now.since(before);
    assert!(waited < RESPONSE_WAIT_MAX, "acknowledged after {waited:?}");
    site.run(NOTICE_MS_MAX);
    site.assert_gone(1, "one is down");
}
