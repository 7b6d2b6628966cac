//! Complete control processes with watch processes beside engines: reports and orders reach the
//! coordinator of their group, with and without the setting that spreads the groups.
//!
//! Guarded failures: an order whose result goes to the leader instead of the coordinator that sent it;
//! a group that is planned by the leader though another process could; an engine's slowness that only
//! the coordinator knows.

mod log_net;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_agent::watch::{self, Watch};
use eelgrassdyke_control::log::Options as LogOptions;
use eelgrassdyke_control::store::Store;
use eelgrassdyke_control::{Control, Input, Options, Output};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::{Generation, Incarnation, Rank, Replica as Id, Step, Version};
use eelgrassdyke_core::time::{Instant, WallTime};
use eelgrassdyke_core::wire::follow::{PollRequest, Update};
use eelgrassdyke_core::wire::rank::{
    self, EngineReport, RankOrder, RankOrderOutcome, RankOrderResult,
};
use eelgrassdyke_core::wire::{Message, Sender};
use log_net::address;
use log_net::disk::FakeDisk;

const CONTROLS: usize = 4;
const RANKS: usize = 3;
/// Number of the first watch process.
const FIRST_WATCH: usize = 10;
/// Number of the process that plays an entry.
const ENTRY: usize = 20;

/// Control processes and the watch processes of a group, on a network without loss.
struct Cluster {
    now: Instant,
    controls: Vec<Option<(Control, Store<FakeDisk>)>>,
    watches: Vec<Watch>,
    watches_run: bool,
    /// The control process whose polls for leases are lost.
    polls_are_lost_from: Option<usize>,
    messages: VecDeque<(Sender, SocketAddr, Message)>,
    /// Orders that reached a watch process, with the time and the sender.
    orders: Vec<(Instant, usize, RankOrder)>,
    /// Results that reached a control process.
    results: Vec<(usize, RankOrderResult)>,
    /// Last update that reached the entry.
    entry_update: Option<Update>,
}

fn sender(number: usize) -> Sender {
    Sender {
        process: format!("process-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        address: address(number),
    }
}

fn number_of(at: SocketAddr) -> usize {
    (0..=ENTRY).find(|number| address(*number) == at).unwrap()
}

fn report(rank: usize) -> EngineReport {
    EngineReport {
        service: "draft".parse().unwrap(),
        group: "g0".parse().unwrap(),
        group_size: RANKS as u32,
        rank: Rank(rank as u64),
        address: address(FIRST_WATCH + rank),
        generation: Generation(1),
        open: true,
        step: Step(1),
        active_map: Version(0),
        prepared_map: None,
        armed_map: None,
        hold_step: None,
        slowness_permille: if rank == 1 { 1800 } else { 1000 },
        running: 1,
        queued: 0,
        incarnation: Incarnation(1),
        last_known_order: 0,
        begun_orders: None,
        is_busy: None,
        experts: vec![vec![rank as u32]],
        counts: None,
    }
}

impl Cluster {
    /// Control processes that have elected a leader; the watch processes start later.
    fn new(spreads_groups: bool) -> Self {
        let control_addresses: Vec<SocketAddr> = (0..CONTROLS).map(address).collect();
        let mut cluster = Self {
            now: Instant(0),
            controls: Vec::new(),
            watches: Vec::new(),
            watches_run: false,
            polls_are_lost_from: None,
            messages: VecDeque::new(),
            orders: Vec::new(),
            results: Vec::new(),
            entry_update: None,
        };
        for number in 0..CONTROLS {
            let (store, recovered) =
                Store::open(FakeDisk::default(), Id(number as u64 + 1)).unwrap();
            let options = Options {
                server_lease: eelgrassdyke_control::directory::DEFAULT_LEASE,
                spreads_groups,
                engines_check_fencing: true,
                control_addresses: control_addresses.clone(),
                wall_time_origin: WallTime(1_000_000),
                log: LogOptions {
                    founders: control_addresses.clone(),
                    timeout_seed: number as u64,
                    ..LogOptions::default()
                },
            };
            let mut out = Vec::new();
            let control = Control::new(cluster.now, sender(number), options, recovered, &mut out);
            cluster.controls.push(Some((control, store)));
            cluster.perform(number, out);
        }
        for rank in 0..RANKS {
            let local = sender(FIRST_WATCH + rank);
            cluster
                .watches
                .push(Watch::new(local, control_addresses.clone()));
        }
        cluster.run(6000);
        cluster
    }

    fn handle_input(&mut self, number: usize, input: Input) {
        if let Input::Message { message, .. } = &input
            && let Message::Rank(message) = message
            && let rank::Message::OrderResult(result) = &**message
        {
            self.results.push((number, result.clone()));
        }
        let Some((control, _)) = &mut self.controls[number] else {
            return;
        };
        let mut out = Vec::new();
        control.handle(self.now, input, &mut out);
        self.perform(number, out);
    }

    fn perform(&mut self, number: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => {
                    self.messages.push_back((sender(number), to, message));
                }
                Output::Persist(job) => {
                    let (_, store) = self.controls[number].as_mut().unwrap();
                    store.write(std::slice::from_ref(&job)).unwrap();
                    self.handle_input(number, Input::Persisted { job: job.number });
                }
                Output::Event(_) | Output::RankOrder { .. } | Output::Respond { .. } => {}
            }
        }
    }

    fn drive_watch(&mut self, rank: usize, input: watch::Input) {
        let mut out = Vec::new();
        self.watches[rank].handle(self.now, input, &mut out);
        for output in out {
            match output {
                watch::Output::Read { .. } => {
                    let report = Some(Box::new(report(rank)));
                    self.drive_watch(rank, watch::Input::ReadResult(report));
                }
                watch::Output::Order(order) => {
                    let result = RankOrderResult {
                        number: order.number,
                        group: order.group,
                        rank: order.rank,
                        outcome: RankOrderOutcome::Accepted,
                    };
                    self.drive_watch(rank, watch::Input::OrderResult(result));
                }
                watch::Output::Send { to, message } => {
                    let from = sender(FIRST_WATCH + rank);
                    self.messages.push_back((from, to, message));
                }
            }
        }
    }

    fn deliver(&mut self, from: Sender, to: SocketAddr, message: Message) {
        if let Message::Rank(message) = &message
            && let rank::Message::CoordinatorPoll(_) = &**message
            && self.polls_are_lost_from == Some(number_of(from.address))
        {
            return;
        }
        match number_of(to) {
            control if control < CONTROLS => {
                self.handle_input(control, Input::Message { from, message });
            }
            ENTRY => {
                if let Message::Update(update) = message {
                    self.entry_update = Some(update);
                }
            }
            number => {
                if let Message::Rank(message) = &message
                    && let rank::Message::Order(order) = &**message
                {
                    let sent_by = number_of(from.address);
                    self.orders.push((self.now, sent_by, order.clone()));
                }
                let input = watch::Input::Message { from, message };
                self.drive_watch(number - FIRST_WATCH, input);
            }
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + Duration::from_millis(5);
            for number in 0..CONTROLS {
                self.handle_input(number, Input::Tick);
            }
            for rank in 0..RANKS {
                if self.watches_run {
                    self.drive_watch(rank, watch::Input::Tick);
                }
            }
            for _ in 0..self.messages.len() {
                if let Some((from, to, message)) = self.messages.pop_front() {
                    self.deliver(from, to, message);
                }
            }
        }
    }

    fn leader(&mut self) -> usize {
        for number in 0..CONTROLS {
            if let Some(update) = self.entry_poll(number)
                && let Some(leader) = update.leader
            {
                return number_of(leader);
            }
        }
        panic!("no leader");
    }

    /// Polls a control process as an entry does.
    fn entry_poll(&mut self, number: usize) -> Option<Update> {
        self.entry_update = None;
        let poll = PollRequest {
            version: Version(0),
            digest: Sha256::of(b""),
            directory_revision: None,
            wants_directory: true,
            wants_config: true,
            wants_confirmation: false,
            poll_number: 1,
            demands: Vec::new(),
        };
        let message = Message::Poll(poll);
        self.deliver(sender(ENTRY), address(number), message);
        self.run(20);
        self.entry_update.take()
    }

    fn slow_ports(&mut self, number: usize) -> Vec<SocketAddr> {
        let update = self.entry_poll(number).unwrap();
        assert!(update.coordinators.is_unknown());
        let slow = update.slow_engines.iter();
        slow.map(|engine| engine.address).collect()
    }
}

#[test]
fn another_process_than_the_leader_coordinates_and_is_replaced() {
    let mut cluster = Cluster::new(true);
    let leader = cluster.leader();
    let started_at = cluster.now;
    cluster.watches_run = true;
    cluster.run(1000);
    let (first_order_at, coordinator, order) = cluster.orders[0].clone();
    assert_ne!(coordinator, leader);
    let taken = first_order_at.since(started_at);
    assert!(taken <= Duration::from_millis(300), "{taken:?}");
    assert!(cluster.orders.iter().all(|(_, by, _)| *by == coordinator));
    assert!(!cluster.results.is_empty());
    assert!(cluster.results.iter().all(|(to, _)| *to == coordinator));
    // Every control process knows the slow engine.
    for number in 0..CONTROLS {
        assert_eq!(cluster.slow_ports(number), [address(FIRST_WATCH + 1)]);
    }

    cluster.controls[coordinator] = None;
    cluster.orders.clear();
    let ended_at = cluster.now;
    let survivor = (0..CONTROLS).find(|n| *n != coordinator && *n != leader);
    for _ in 0..40 {
        cluster.run(100);
        // Entries must not take the engine for a fast one while its group has no coordinator.
        let slow = cluster.slow_ports(survivor.unwrap());
        assert_eq!(slow, [address(FIRST_WATCH + 1)], "{:?}", cluster.now);
    }
    let (replaced_at, next, next_order) = cluster.orders[0].clone();
    assert_ne!(next, coordinator);
    assert!(next_order.fencing_token > order.fencing_token);
    assert!(next_order.number > order.number);
    let taken = replaced_at.since(ended_at);
    assert!(taken <= Duration::from_secs(3), "{taken:?}");
}

/// After a change of the leader the same process coordinates, in a higher term.
#[test]
fn a_change_of_leader_keeps_the_coordinator() {
    let mut cluster = Cluster::new(true);
    let leader = cluster.leader();
    cluster.watches_run = true;
    cluster.run(1000);
    let (_, coordinator, order) = cluster.orders[0].clone();
    cluster.controls[leader] = None;
    cluster.orders.clear();
    cluster.run(8000);
    let (_, next, next_order) = cluster.orders[0].clone();
    assert_eq!(next, coordinator);
    assert!(next_order.fencing_token > order.fencing_token);
    assert!(next_order.number > order.number);
}

/// Without the setting everything stays with the leader, and no message of the coordinators is sent.
#[test]
fn without_the_setting_the_leader_coordinates() {
    let mut cluster = Cluster::new(false);
    let leader = cluster.leader();
    cluster.watches_run = true;
    cluster.run(3000);
    assert!(!cluster.orders.is_empty());
    assert!(cluster.orders.iter().all(|(_, by, _)| *by == leader));
    assert!(cluster.results.iter().all(|(to, _)| *to == leader));
    let (_, _, order) = &cluster.orders[0];
    // The term of the log in the high bits, which is small.
    assert!(order.fencing_token >> 24 < 100, "{}", order.fencing_token);
    for number in 0..CONTROLS {
        assert_eq!(cluster.slow_ports(number), [address(FIRST_WATCH + 1)]);
    }
}

/// A coordinator that is separated from the leader loses its lease, but must not announce that its slow
/// engines are gone, because its successor does not know them yet.
#[test]
fn slow_engines_stay_known_when_a_coordinator_is_cut_off() {
    let mut cluster = Cluster::new(true);
    let leader = cluster.leader();
    cluster.watches_run = true;
    cluster.run(1000);
    let coordinator = cluster.orders[0].1;
    cluster.polls_are_lost_from = Some(coordinator);
    let observer = (0..CONTROLS).find(|n| *n != coordinator && *n != leader);
    for _ in 0..40 {
        cluster.run(100);
        let slow = cluster.slow_ports(observer.unwrap());
        assert_eq!(slow, [address(FIRST_WATCH + 1)], "{:?}", cluster.now);
    }
    let (_, last, _) = cluster.orders.last().unwrap();
    assert_ne!(*last, coordinator);
}
