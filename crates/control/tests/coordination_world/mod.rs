//! Control processes with their leases and switch controllers, and the engines of two rank groups, over
//! a network that loses, delays and duplicates messages.
//!
//! The replicated log is reduced to its leader: it holds a lease while it has contact with the others,
//! and some time after the lease has expired another one is elected.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_control::coordination::{Coordination, LogRole, Output};
use eelgrassdyke_core::id::{
    CoordinationTerm, Generation, Group, Incarnation, Rank, Step, Term, Version,
};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Sender;
use eelgrassdyke_core::wire::rank::{
    Assignments, EngineReport, Message, RankAction, RankOrder, RankOrderOutcome, RankOrderResult,
};
use eelgrassdyke_group::barrier::{self, Controller};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const PROCESSES: usize = 4;
const GROUPS: usize = 2;
const RANKS: u64 = 3;
const TICK: Duration = Duration::from_millis(5);
const STEP_TIME: Duration = Duration::from_millis(50);
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
const FOLLOWER_POLL_INTERVAL: Duration = Duration::from_secs(1);
const RUN_TIME: Duration = Duration::from_secs(40);
/// Lease of the log's leader.
const LOG_LEASE: Duration = Duration::from_millis(900);
/// Maximum time between the end of the lease and the next election.
const ELECTION_MAX_MS: u64 = 500;
/// Time for which a resumed process does not know of an election.
const STALE_VIEW: Duration = Duration::from_millis(50);
/// Time between the end of a fault and the next one.
const RECOVERY: Duration = Duration::from_secs(4);
/// Fraction of the orders, where engines check fencing tokens or orders are guarded otherwise, that are carried out seconds late.
const LATE_FRACTION: f64 = 0.1;
const DUPLICATE_FRACTION: f64 = 0.02;

/// The fault that recurs in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    EndCoordinator,
    FreezeCoordinator,
    CutCoordinator,
    EndLeader,
    FreezeLeader,
    CutLeader,
}

pub fn group(number: usize) -> Group {
    format!("g{number}").parse().unwrap()
}

pub fn sender(number: usize) -> Sender {
    Sender {
        process: format!("control-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([10, 1, 0, number as u8], 7000)),
    }
}

fn watch_address(group: usize, rank: Rank) -> SocketAddr {
    SocketAddr::from(([10, 2, group as u8, rank.0 as u8], 7000))
}

/// An engine and its watch process.
#[derive(Clone, Debug, Default)]
struct Engine {
    active_map: Version,
    highest_version: Version,
    prepared: Option<(Version, Instant)>,
    armed: Option<(Version, Step)>,
    hold_step: Option<Step>,
    fencing_token: u64,
    begun_orders: u64,
    last_known_order: u64,
    assignments: Assignments,
    leader: Option<SocketAddr>,
}

struct EngineGroup {
    step: Step,
    next_step: Instant,
    engines: BTreeMap<Rank, Engine>,
}

/// What a process knows of the log.
#[derive(Clone, Copy, Debug, Default)]
struct View {
    leader: Option<usize>,
    term: Term,
    lease_until: Instant,
}

struct Process {
    sender: Sender,
    coordination: Coordination,
    controllers: Vec<Controller>,
    terms: Vec<Option<CoordinationTerm>>,
    view: View,
    ended_until: Option<Instant>,
    frozen_until: Option<Instant>,
    cut_until: Option<Instant>,
    /// Whether the cut also separates it from the watch processes.
    is_cut_from_watches: bool,
    stale_until: Instant,
    /// Messages that arrived while it was frozen.
    inbox: Vec<Delivery>,
}

/// A message in transit.
#[derive(Clone)]
enum Delivery {
    Control {
        from: Sender,
        to: SocketAddr,
        message: Message,
    },
    Order {
        from: SocketAddr,
        order: RankOrder,
        sends_result: bool,
    },
    /// Assignments and the leader, from a control process to all watch processes.
    Update {
        assignments: Assignments,
        leader: Option<SocketAddr>,
    },
}

pub struct World {
    now: Instant,
    rng: ChaCha8Rng,
    checks_fencing: bool,
    /// Options of the switch controllers.
    options: barrier::Options,
    loss: f64,
    processes: Vec<Process>,
    groups: Vec<EngineGroup>,
    log: View,
    next_election: Option<Instant>,
    in_transit: Vec<(Instant, Delivery)>,
    next_report: Instant,
    next_follower_poll: Instant,
    last_coordinated: Vec<Instant>,
    pub first_coordinated_at: Option<Instant>,
    pub longest_gap: Duration,
    pub double_leases: u64,
    pub has_mixed_maps: bool,
    /// Whether coordinators go on after their leases have ended, to show that the leases are needed.
    pub ignores_leases: bool,
    switches_of_ended: u64,
}

impl Process {
    fn new(number: usize, incarnation: u64, options: &barrier::Options) -> Self {
        let mut sender = sender(number);
        sender.incarnation = Incarnation(incarnation);
        let controller = |number| Controller::new(group(number), options.clone());
        Self {
            coordination: Coordination::new(sender.clone()),
            sender,
            controllers: (0..GROUPS).map(controller).collect(),
            terms: vec![None; GROUPS],
            view: View::default(),
            ended_until: None,
            frozen_until: None,
            cut_until: None,
            is_cut_from_watches: false,
            stale_until: Instant(0),
            inbox: Vec::new(),
        }
    }

    fn runs(&self) -> bool {
        self.ended_until.is_none() && self.frozen_until.is_none()
    }

    fn is_connected(&self) -> bool {
        self.runs() && self.cut_until.is_none()
    }

    fn role(&self, now: Instant, number: usize) -> LogRole {
        let leads = self.view.leader == Some(number);
        LogRole {
            leader: self.view.leader.map(|leader| sender(leader).address),
            leads_in: leads.then_some(self.view.term),
            holds_lease: leads && now < self.view.lease_until,
        }
    }

    fn completed_switches(&self) -> u64 {
        let completed = self.controllers.iter().map(Controller::completed_switches);
        completed.sum()
    }
}

impl World {
    pub fn new(seed: u64, checks_fencing: bool, loss: f64) -> Self {
        let engines = || (0..RANKS).map(|rank| (Rank(rank), Engine::default()));
        let engine_group = |_| EngineGroup {
            step: Step(0),
            next_step: Instant(0),
            engines: engines().collect(),
        };
        Self {
            now: Instant(0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            checks_fencing,
            options: barrier::Options::default(),
            loss,
            processes: (0..PROCESSES)
                .map(|number| Process::new(number, 1, &barrier::Options::default()))
                .collect(),
            groups: (0..GROUPS).map(engine_group).collect(),
            log: View::default(),
            next_election: Some(Instant(0)),
            in_transit: Vec::new(),
            next_report: Instant(0),
            next_follower_poll: Instant(0),
            last_coordinated: vec![Instant(0); GROUPS],
            first_coordinated_at: None,
            longest_gap: Duration::ZERO,
            double_leases: 0,
            has_mixed_maps: false,
            ignores_leases: false,
            switches_of_ended: 0,
        }
    }

    /// The controllers know that engines don't check fencing tokens.
    pub fn with_guarded_orders(mut self) -> Self {
        self.options.engines_check_fencing = false;
        for (number, process) in self.processes.iter_mut().enumerate() {
            *process = Process::new(number, 1, &self.options);
        }
        self
    }

    /// No rank reports until `start`.
    pub fn suppress_reports_until(&mut self, start: Instant) {
        self.next_report = start;
        self.last_coordinated = vec![start; GROUPS];
    }

    pub fn completed_switches(&self) -> u64 {
        let running = self.processes.iter().map(Process::completed_switches);
        running.sum::<u64>() + self.switches_of_ended
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(500..20_000))
    }

    fn send(&mut self, delivery: Delivery) {
        if self.rng.random_bool(self.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(DUPLICATE_FRACTION));
        for _ in 0..copies {
            let at = self.now + self.delay();
            self.in_transit.push((at, delivery.clone()));
        }
    }

    fn process_at(&self, address: SocketAddr) -> Option<usize> {
        let mut processes = self.processes.iter();
        processes.position(|process| process.sender.address == address)
    }

    /// Runs with this recurring fault.
    pub fn run(&mut self, fault: Fault) {
        let mut next_fault = Instant(0) + RECOVERY;
        while self.now < Instant(0) + RUN_TIME {
            self.now = self.now + TICK;
            self.end_faults();
            self.elect();
            self.deliver();
            self.run_steps();
            self.report();
            self.poll_as_followers();
            for number in 0..PROCESSES {
                if self.processes[number].runs() {
                    self.drive(number);
                }
            }
            self.check();
            if self.now >= next_fault && fault != Fault::None {
                let until = self.inject(fault);
                next_fault = until + RECOVERY;
            }
        }
    }

    /// Injects a fault and returns when it ends.
    fn inject(&mut self, fault: Fault) -> Instant {
        let coordinates = |process: &Process| process.terms.iter().any(Option::is_some);
        let number = match fault {
            Fault::EndCoordinator | Fault::FreezeCoordinator | Fault::CutCoordinator => {
                self.processes.iter().position(coordinates)
            }
            Fault::EndLeader | Fault::FreezeLeader | Fault::CutLeader => self.log.leader,
            Fault::None => None,
        };
        let until = self.now + Duration::from_millis(self.rng.random_range(300..6000));
        let Some(number) = number else {
            return self.now;
        };
        let is_cut_from_watches = self.rng.random_bool(0.5);
        let process = &mut self.processes[number];
        match fault {
            Fault::EndCoordinator | Fault::EndLeader => {
                self.switches_of_ended += process.completed_switches();
                let next = process.sender.incarnation.0 + 1;
                *process = Process::new(number, next, &self.options);
                process.ended_until = Some(until);
            }
            Fault::FreezeCoordinator | Fault::FreezeLeader => process.frozen_until = Some(until),
            Fault::CutCoordinator | Fault::CutLeader => {
                process.cut_until = Some(until);
                process.is_cut_from_watches = is_cut_from_watches;
            }
            Fault::None => {}
        }
        until
    }

    fn end_faults(&mut self) {
        let now = self.now;
        let is_over = |until: Option<Instant>| until.is_some_and(|until| now >= until);
        for number in 0..PROCESSES {
            let process = &mut self.processes[number];
            if is_over(process.ended_until) {
                process.ended_until = None;
            }
            if is_over(process.cut_until) {
                process.cut_until = None;
                process.is_cut_from_watches = false;
            }
            if is_over(process.frozen_until) {
                process.frozen_until = None;
                process.stale_until = now + STALE_VIEW;
                for delivery in std::mem::take(&mut process.inbox) {
                    self.receive(number, delivery);
                }
            }
        }
    }

    /// Renews the lease of the log's leader or elects another one, and updates what processes know.
    fn elect(&mut self) {
        let now = self.now;
        let leader = self.log.leader;
        if leader.is_some_and(|leader| self.processes[leader].is_connected()) {
            // A restarted process has lost its leadership with its role, but not the term.
            if leader.is_some_and(|leader| self.processes[leader].view.term == self.log.term) {
                self.log.lease_until = now + LOG_LEASE;
                self.next_election = None;
            }
        }
        if now >= self.log.lease_until && self.next_election.is_none() {
            let wait = self.rng.random_range(0..ELECTION_MAX_MS);
            self.next_election = Some(now + Duration::from_millis(wait));
        }
        if self.next_election.is_some_and(|at| now >= at) {
            let connected = (0..PROCESSES).filter(|n| self.processes[*n].is_connected());
            let connected: Vec<usize> = connected.collect();
            let chosen = connected[self.rng.random_range(0..connected.len())];
            self.log = View {
                leader: Some(chosen),
                term: self.log.term.next(),
                lease_until: now + LOG_LEASE,
            };
            self.next_election = None;
        }
        for number in 0..PROCESSES {
            let process = &mut self.processes[number];
            if !process.is_connected() || now < process.stale_until {
                continue;
            }
            let is_restarted_leader =
                self.log.leader == Some(number) && process.view.term < self.log.term;
            if is_restarted_leader && now + LOG_LEASE != self.log.lease_until {
                continue;
            }
            let has_new_leader = process.view.leader != self.log.leader;
            process.view = self.log;
            if has_new_leader {
                self.push_update(number);
            }
        }
    }

    /// Sends assignments and the leader to the watch processes.
    fn push_update(&mut self, number: usize) {
        let process = &self.processes[number];
        if process.is_cut_from_watches {
            return;
        }
        let update = Delivery::Update {
            assignments: process.coordination.assignments().clone(),
            leader: process.view.leader.map(|leader| sender(leader).address),
        };
        self.send(update);
    }

    /// The watch processes poll two control processes.
    fn poll_as_followers(&mut self) {
        if self.now < self.next_follower_poll {
            return;
        }
        self.next_follower_poll = self.now + FOLLOWER_POLL_INTERVAL;
        for _ in 0..2 {
            let number = self.rng.random_range(0..PROCESSES);
            // A process without contact to the others reports that it has no quorum and is not believed.
            if self.processes[number].is_connected() {
                self.push_update(number);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (mut due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.in_transit = rest;
        due.sort_by_key(|(at, _)| *at);
        for (_, delivery) in due {
            match delivery {
                Delivery::Control { to, .. } => {
                    if let Some(number) = self.process_at(to) {
                        self.receive(number, delivery);
                    }
                }
                Delivery::Order {
                    from,
                    order,
                    sends_result,
                } => self.carry_out(from, &order, sends_result),
                Delivery::Update {
                    assignments,
                    leader,
                } => {
                    let engines = self.groups.iter_mut().flat_map(|g| g.engines.values_mut());
                    for engine in engines {
                        engine.leader = leader.or(engine.leader);
                        if !assignments.is_unknown() && assignments.is_current(&engine.assignments)
                        {
                            engine.assignments = assignments.clone();
                        }
                    }
                }
            }
        }
    }

    /// Hands a message to a control process, or keeps it while the process is frozen.
    fn receive(&mut self, number: usize, delivery: Delivery) {
        let process = &mut self.processes[number];
        if process.ended_until.is_some() {
            return;
        }
        let Delivery::Control { from, message, .. } = &delivery else {
            return;
        };
        let is_from_control = matches!(
            message,
            Message::CoordinatorPoll(_) | Message::CoordinatorGrant(_)
        ) || matches!(message, Message::Report { relayed: true, .. });
        let is_cut = match is_from_control {
            true => process.cut_until.is_some(),
            false => process.is_cut_from_watches,
        };
        if is_cut {
            return;
        }
        if process.frozen_until.is_some() {
            process.inbox.push(delivery);
            return;
        }
        let (from, message) = (from.clone(), message.clone());
        self.synchronise(number);
        self.handle(number, &from, message);
        self.synchronise(number);
    }

    /// Brings the leases of a process up to date and tells its controllers.
    fn synchronise(&mut self, number: usize) {
        let now = self.now;
        let process = &mut self.processes[number];
        let role = process.role(now, number);
        let mut out = Vec::new();
        process.coordination.step(now, role, &mut out);
        self.emit(number, out);
        let terms = self.processes[number].coordination.terms(now);
        for index in 0..GROUPS {
            let term = terms.get(&group(index)).copied();
            let is_ignored = self.ignores_leases && term.is_none();
            if self.processes[number].terms[index] == term || is_ignored {
                continue;
            }
            self.processes[number].terms[index] = term;
            let input = match term {
                Some(term) => barrier::Input::LeadershipGained(Term(term.0)),
                None => barrier::Input::LeadershipLost,
            };
            self.control(number, index, input);
        }
    }

    fn handle(&mut self, number: usize, from: &Sender, message: Message) {
        let now = self.now;
        let mut out = Vec::new();
        match message {
            Message::CoordinatorPoll(poll) => {
                let coordination = &mut self.processes[number].coordination;
                coordination.handle_poll(now, from, &poll, &mut out);
                self.emit(number, out);
            }
            Message::CoordinatorGrant(grant) => {
                let coordination = &mut self.processes[number].coordination;
                coordination.handle_grant(now, from, grant, &mut out);
                self.emit(number, out);
            }
            Message::Report {
                report,
                relayed,
                from,
            } => {
                let coordination = &mut self.processes[number].coordination;
                coordination.record_report(now, &report.group, report.group_size, &mut out);
                let holds = coordination.holds(now, &report.group);
                let index = (0..GROUPS).find(|n| group(*n) == report.group).unwrap();
                let relay_to = coordination.relay_address(&report.group);
                self.emit(number, out);
                self.synchronise(number);
                if holds || self.ignores_leases && self.processes[number].terms[index].is_some() {
                    let report = Box::new(report);
                    let input = barrier::Input::Report {
                        watch: from,
                        report,
                    };
                    self.control(number, index, input);
                } else if let Some(to) = relay_to.filter(|_| !relayed) {
                    let message = Message::Report {
                        report,
                        relayed: true,
                        from,
                    };
                    self.emit(number, vec![Output::Send(to, message)]);
                }
            }
            Message::OrderResult(result) => {
                let index = (0..GROUPS).find(|n| group(*n) == result.group).unwrap();
                self.control(number, index, barrier::Input::OrderResult(result));
                let process = &mut self.processes[number];
                if process.terms[index].is_some() && !process.controllers[index].is_leader() {
                    let groups = [group(index)];
                    process.coordination.give_up_fenced(now, &groups, &mut out);
                    self.emit(number, out);
                }
            }
            Message::Order(_) | Message::SlowEngines(_) => {}
        }
    }

    fn emit(&mut self, number: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, message) => {
                    if self.processes[number].cut_until.is_some() {
                        continue;
                    }
                    let from = self.processes[number].sender.clone();
                    self.send(Delivery::Control { from, to, message });
                }
                Output::PushAssignments => self.push_update(number),
                Output::Event(_) => {}
            }
        }
    }

    /// Hands an input to a switch controller and sends its orders.
    fn control(&mut self, number: usize, index: usize, input: barrier::Input) {
        let mut out = Vec::new();
        let process = &mut self.processes[number];
        process.controllers[index].handle(self.now, input, &mut out);
        let from = process.sender.address;
        if process.is_cut_from_watches {
            return;
        }
        for output in out {
            let barrier::Output::Order { order, .. } = output else {
                continue;
            };
            let may_be_late = self.checks_fencing || !self.options.engines_check_fencing;
            if may_be_late && self.rng.random_bool(LATE_FRACTION) {
                let result = result_of(&order, RankOrderOutcome::Unanswered);
                self.send_result(from, result);
                let late = Duration::from_millis(self.rng.random_range(500..8000));
                let order = Delivery::Order {
                    from,
                    order,
                    sends_result: false,
                };
                self.in_transit.push((self.now + late, order));
                continue;
            }
            self.send(Delivery::Order {
                from,
                order,
                sends_result: true,
            });
        }
    }

    fn send_result(&mut self, to: SocketAddr, result: RankOrderResult) {
        let message = Message::OrderResult(result);
        let from = sender(0);
        self.send(Delivery::Control { from, to, message });
    }

    fn drive(&mut self, number: usize) {
        self.synchronise(number);
        for index in 0..GROUPS {
            let controller = &self.processes[number].controllers[index];
            if self.processes[number].terms[index].is_none() {
                continue;
            }
            if self.now >= controller.next_deadline() {
                self.control(number, index, barrier::Input::Tick);
            }
            let controller = &self.processes[number].controllers[index];
            let may_start =
                controller.copying().is_none() && controller.active_placement(self.now).is_some();
            if may_start && self.rng.random_bool(0.05) {
                let ranks = 0..RANKS as u32;
                let input = barrier::Input::StartSwitch {
                    layers: vec![ranks.map(|rank| vec![rank]).collect()],
                    copy_time: Duration::ZERO,
                };
                self.control(number, index, input);
            }
        }
    }

    fn report(&mut self) {
        if self.now < self.next_report {
            return;
        }
        self.next_report = self.now + REPORT_INTERVAL;
        for index in 0..GROUPS {
            for rank in (0..RANKS).map(Rank) {
                let engine = &self.groups[index].engines[&rank];
                let coordinator = engine.assignments.coordinator(&group(index));
                let Some(to) = coordinator.or(engine.leader) else {
                    continue;
                };
                let message = Message::Report {
                    report: self.state_of(index, rank),
                    relayed: false,
                    from: watch_address(index, rank),
                };
                let from = sender(0);
                self.send(Delivery::Control { from, to, message });
            }
        }
    }

    fn state_of(&self, index: usize, rank: Rank) -> EngineReport {
        let engine_group = &self.groups[index];
        let engine = &engine_group.engines[&rank];
        let prepared = engine.prepared.filter(|(_, at)| *at <= self.now);
        EngineReport {
            service: "draft".parse().unwrap(),
            group: group(index),
            group_size: RANKS as u32,
            rank,
            address: watch_address(index, rank),
            generation: Generation(1),
            open: true,
            step: engine_group.step,
            active_map: engine.active_map,
            prepared_map: prepared.map(|(version, _)| version),
            armed_map: engine.armed.map(|(version, _)| version),
            hold_step: engine.hold_step,
            slowness_permille: 1000,
            running: 1,
            queued: 0,
            incarnation: Incarnation(1),
            last_known_order: engine.last_known_order,
            begun_orders: Some(engine.begun_orders),
            is_busy: Some(engine.prepared != prepared),
            experts: vec![vec![rank.0 as u32]],
            counts: None,
        }
    }

    /// Carries out an order at its engine.
    fn carry_out(&mut self, from: SocketAddr, order: &RankOrder, sends_result: bool) {
        let index = (0..GROUPS).find(|n| group(*n) == order.group).unwrap();
        let load_time = Duration::from_millis(self.rng.random_range(0..200));
        let outcome = self.execute(index, order, load_time);
        if !sends_result {
            return;
        }
        let engine = self.groups[index].engines.get_mut(&order.rank).unwrap();
        engine.last_known_order = engine.last_known_order.max(order.number);
        self.send_result(from, result_of(order, outcome));
    }

    fn execute(
        &mut self,
        index: usize,
        order: &RankOrder,
        load_time: Duration,
    ) -> RankOrderOutcome {
        let now = self.now;
        let step = self.groups[index].step;
        let engine = self.groups[index].engines.get_mut(&order.rank).unwrap();
        if self.checks_fencing && order.fencing_token < engine.fencing_token {
            return RankOrderOutcome::Fenced;
        }
        engine.fencing_token = engine.fencing_token.max(order.fencing_token);
        let expected = order.expected_begun_orders;
        if expected.is_some_and(|expected| expected != engine.begun_orders) {
            return RankOrderOutcome::Refused;
        }
        let prepared = engine.prepared;
        match &order.action {
            RankAction::Prepare { version, .. } => {
                if prepared.is_some_and(|(prepared, _)| prepared == *version) {
                    return RankOrderOutcome::Accepted;
                }
                if *version <= engine.highest_version || engine.armed.is_some() {
                    return RankOrderOutcome::Refused;
                }
                engine.highest_version = *version;
                engine.prepared = Some((*version, now + load_time));
            }
            RankAction::Arm { version, step: at } => {
                if engine.armed == Some((*version, *at)) {
                    return RankOrderOutcome::Accepted;
                }
                let is_complete =
                    prepared.is_some_and(|(prepared, at)| prepared == *version && at <= now);
                if !is_complete || *at <= step {
                    return RankOrderOutcome::Refused;
                }
                engine.armed = Some((*version, *at));
            }
            RankAction::Disarm { version } => {
                if engine.active_map == *version {
                    return RankOrderOutcome::Refused;
                }
                let disarmed = engine.armed.take_if(|(armed, _)| armed == version);
                if disarmed.is_none() {
                    return RankOrderOutcome::Accepted;
                }
            }
            RankAction::Hold { step: at } => {
                if engine.hold_step == Some(*at) {
                    return RankOrderOutcome::Accepted;
                }
                if engine.hold_step.is_some() || *at <= step {
                    return RankOrderOutcome::Refused;
                }
                engine.hold_step = Some(*at);
            }
            RankAction::Release { step: at } => {
                let released = engine.hold_step.take_if(|held| *held == *at);
                if released.is_none() {
                    return RankOrderOutcome::Accepted;
                }
            }
        }
        engine.begun_orders += 1;
        RankOrderOutcome::Accepted
    }

    /// Starts the next step of each group unless a rank holds it.
    fn run_steps(&mut self) {
        for engine_group in &mut self.groups {
            if self.now < engine_group.next_step {
                continue;
            }
            engine_group.next_step = self.now + STEP_TIME;
            let next = engine_group.step.next();
            let mut engines = engine_group.engines.values();
            if engines.any(|engine| engine.hold_step == Some(next)) {
                continue;
            }
            engine_group.step = next;
            for engine in engine_group.engines.values_mut() {
                if let Some((version, _)) = engine.armed.take_if(|(_, at)| *at == next) {
                    engine.active_map = version;
                    engine.prepared = None;
                }
            }
            let maps = engine_group
                .engines
                .values()
                .map(|engine| engine.active_map);
            self.has_mixed_maps |= maps.clone().min() != maps.max();
        }
    }

    /// Counts valid leases, also those of frozen and cut processes.
    fn check(&mut self) {
        let now = self.now;
        for index in 0..GROUPS {
            let group = group(index);
            let processes = self.processes.iter().filter(|p| p.ended_until.is_none());
            let holders = processes.filter(|p| p.coordination.holds(now, &group));
            let holders: Vec<&Process> = holders.collect();
            self.double_leases += u64::from(holders.len() > 1);
            if holders.iter().any(|process| process.runs()) {
                self.last_coordinated[index] = now;
                self.first_coordinated_at.get_or_insert(now);
            }
            let gap = now.since(self.last_coordinated[index]);
            self.longest_gap = self.longest_gap.max(gap);
        }
    }
}

fn result_of(order: &RankOrder, outcome: RankOrderOutcome) -> RankOrderResult {
    RankOrderResult {
        number: order.number,
        group: order.group.clone(),
        rank: order.rank,
        outcome,
    }
}
