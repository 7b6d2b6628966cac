//! Tests the barrier controller with simulated engines.
//!
//! Engines run their steps together. Orders and results are delayed and reordered; some orders get no
//! result and are executed seconds later. Leaders change, and a deposed leader continues for a while.
//! Two ranks must never use different maps in a step. If the engines ignore fencing tokens or holds,
//! some seed must find mixed maps. Controllers that know that engines don't check fencing tokens must
//! not mix maps either.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::id::{Generation, Incarnation, Rank, Step, Term, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::group::ExpertPlacement;
use eelgrassdyke_core::wire::rank::{
    EngineReport, RankAction, RankOrder, RankOrderOutcome, RankOrderResult,
};
use eelgrassdyke_group::barrier::{Controller, Input, Options, Output};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const RANKS: u64 = 5;
const STEP_TIME: Duration = Duration::from_millis(50);
const TICK: Duration = Duration::from_millis(5);
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of the ticks, while ranks copy experts, in which their switch is replaced by another.
const REPLACED_FRACTION: f64 = 0.01;
const RUN_TIME: Duration = Duration::from_secs(40);

/// The mechanism that the engines ignore.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ignored {
    Nothing,
    FencingToken,
    /// The controllers know that it is ignored.
    KnownFencingToken,
    Hold,
}

impl Ignored {
    fn options(self) -> Options {
        Options {
            engines_check_fencing: self != Self::KnownFencingToken,
            ..Options::default()
        }
    }

    fn includes_fencing(self) -> bool {
        matches!(self, Self::FencingToken | Self::KnownFencingToken)
    }
}

/// A simulated engine and the watch process beside it.
#[derive(Clone, Debug, Default)]
struct Engine {
    active_map: Version,
    /// Experts of all ranks in the active map; empty for the first map of a generation.
    active_layers: ExpertPlacement,
    highest_version: Version,
    /// Prepared map and the time at which it is complete.
    prepared: Option<(Version, Instant)>,
    prepared_layers: ExpertPlacement,
    armed: Option<(Version, Step)>,
    hold_step: Option<Step>,
    fencing_token: u64,
    /// Number of orders that the engine has begun.
    begun_orders: u64,
    last_known_order: u64,
    /// Incarnation of the watch process.
    incarnation: Incarnation,
}

/// An order, result or report in transit.
enum Delivery {
    Order {
        leader: usize,
        order: RankOrder,
        sends_result: bool,
    },
    Result {
        leader: usize,
        result: RankOrderResult,
    },
    Report {
        report: Box<EngineReport>,
    },
}

struct World {
    now: Instant,
    rng: ChaCha8Rng,
    ignored: Ignored,
    generation: Generation,
    step: Step,
    next_step: Instant,
    engines: BTreeMap<Rank, Engine>,
    leaders: Vec<Controller>,
    /// Fraction of the orders that get no result and are executed late.
    late_fraction: f64,
    /// Deliveries in transit with their delivery times.
    in_transit: Vec<(Instant, Delivery)>,
    next_report: Instant,
    has_mixed_maps: bool,
    /// Whether ranks have used maps of one version with different contents.
    has_mixed_layers: bool,
    completed_switches: u64,
    started_switches: u32,
    /// Whether a leader sends nothing after the start of its successor.
    has_leases: bool,
    /// Mean number of ticks between two faults of a kind.
    ticks_per_fault: u32,
    /// Since when the group stands before a hold, and the longest time for which it did.
    standing_since: Option<Instant>,
    longest_stand: Duration,
}

fn address(rank: Rank) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, rank.0 as u8 + 1], 7000))
}

impl World {
    fn new(seed: u64, ignored: Ignored, late_fraction: f64) -> Self {
        let ranks = (0..RANKS).map(Rank);
        let group = "g0".parse().unwrap();
        Self {
            now: Instant(0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            ignored,
            generation: Generation(1),
            step: Step(0),
            next_step: Instant(0),
            engines: ranks.map(|rank| (rank, Engine::default())).collect(),
            leaders: vec![Controller::new(group, ignored.options())],
            late_fraction,
            in_transit: Vec::new(),
            next_report: Instant(0),
            has_mixed_maps: false,
            has_mixed_layers: false,
            completed_switches: 0,
            started_switches: 0,
            has_leases: false,
            ticks_per_fault: 2000,
            standing_since: None,
            longest_stand: Duration::ZERO,
        }
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(500..20_000))
    }

    fn drive_controller(&mut self, leader: usize, input: Input) {
        let mut out = Vec::new();
        self.leaders[leader].handle(self.now, input, &mut out);
        for output in out {
            let Output::Order { order, .. } = output else {
                continue;
            };
            let is_late = self.rng.random_bool(self.late_fraction);
            let delay = match is_late {
                true => Duration::from_millis(self.rng.random_range(2000..12_000)),
                false => self.delay(),
            };
            let sends_result = !is_late;
            if is_late {
                // The watch process reports the order as unanswered after its timeout.
                let result = order_result(&order, RankOrderOutcome::Unanswered);
                let at = self.now + Duration::from_millis(150);
                self.in_transit
                    .push((at, Delivery::Result { leader, result }));
            }
            let order = Delivery::Order {
                leader,
                order,
                sends_result,
            };
            self.in_transit.push((self.now + delay, order));
        }
    }

    fn execute_order(&mut self, order: &RankOrder) -> RankOrderOutcome {
        let (now, step) = (self.now, self.step);
        let load_time = Duration::from_millis(self.rng.random_range(0..400));
        let Some(engine) = self.engines.get_mut(&order.rank) else {
            return RankOrderOutcome::Unanswered;
        };
        if order.generation != self.generation {
            return RankOrderOutcome::Refused;
        }
        if order.fencing_token < engine.fencing_token && !self.ignored.includes_fencing() {
            return RankOrderOutcome::Fenced;
        }
        engine.fencing_token = engine.fencing_token.max(order.fencing_token);
        let has_started = |at: Step| at <= step;
        let expected = order.expected_begun_orders;
        if expected.is_some_and(|expected| expected != engine.begun_orders) {
            return RankOrderOutcome::Refused;
        }
        match &order.action {
            RankAction::Prepare { version, layers } => {
                if engine
                    .prepared
                    .is_some_and(|(prepared, _)| prepared == *version)
                {
                    return RankOrderOutcome::Accepted;
                }
                if *version <= engine.highest_version || engine.armed.is_some() {
                    return RankOrderOutcome::Refused;
                }
                engine.highest_version = *version;
                engine.prepared = Some((*version, now + load_time));
                engine.prepared_layers = layers.to_vec();
            }
            RankAction::Arm { version, step: at } => {
                if engine.armed == Some((*version, *at)) {
                    return RankOrderOutcome::Accepted;
                }
                let is_prepared = engine.prepared.is_some_and(|(prepared, complete_at)| {
                    prepared == *version && complete_at <= now
                });
                if !is_prepared || has_started(*at) {
                    return RankOrderOutcome::Refused;
                }
                engine.armed = Some((*version, *at));
            }
            RankAction::Disarm { version } => {
                if engine.active_map == *version {
                    return RankOrderOutcome::Refused;
                }
                if engine.armed.is_none_or(|(armed, _)| armed != *version) {
                    return RankOrderOutcome::Accepted;
                }
                engine.armed = None;
            }
            RankAction::Hold { step: at } => {
                if engine.hold_step == Some(*at) {
                    return RankOrderOutcome::Accepted;
                }
                if engine.hold_step.is_some() || has_started(*at) {
                    return RankOrderOutcome::Refused;
                }
                engine.hold_step = Some(*at);
            }
            RankAction::Release { step: at } => {
                if engine.hold_step != Some(*at) {
                    return RankOrderOutcome::Accepted;
                }
                engine.hold_step = None;
            }
        }
        engine.begun_orders += 1;
        RankOrderOutcome::Accepted
    }

    /// Starts the next step unless a rank holds the group before it.
    fn run_step(&mut self) {
        let next = self.step.next();
        let holds = |engine: &Engine| engine.hold_step == Some(next);
        if self.ignored != Ignored::Hold && self.engines.values().any(holds) {
            let since = *self.standing_since.get_or_insert(self.now);
            self.longest_stand = self.longest_stand.max(self.now.since(since));
            return;
        }
        self.standing_since = None;
        self.step = next;
        for engine in self.engines.values_mut() {
            if let Some((version, _)) = engine.armed.take_if(|(_, at)| *at == next) {
                engine.active_map = version;
                engine.active_layers = std::mem::take(&mut engine.prepared_layers);
                engine.prepared = None;
            }
        }
        let first = self.engines.values().next().map(|engine| engine.active_map);
        let has_mixed_maps = self
            .engines
            .values()
            .any(|engine| Some(engine.active_map) != first);
        self.has_mixed_maps |= has_mixed_maps;
        let mut layers = self.engines.values().map(|engine| &engine.active_layers);
        let first = layers.next();
        self.has_mixed_layers |= layers.any(|layers| Some(layers) != first);
    }

    fn report(&mut self, rank: Rank) -> Box<EngineReport> {
        let engine = &self.engines[&rank];
        Box::new(EngineReport {
            service: "draft".parse().unwrap(),
            group: "g0".parse().unwrap(),
            group_size: RANKS as u32,
            rank,
            address: address(rank),
            generation: self.generation,
            open: true,
            step: self.step,
            active_map: engine.active_map,
            prepared_map: engine
                .prepared
                .filter(|(_, at)| *at <= self.now)
                .map(|(v, _)| v),
            armed_map: engine.armed.map(|(version, _)| version),
            hold_step: engine.hold_step,
            slowness_permille: 1000,
            running: 1,
            queued: 0,
            incarnation: engine.incarnation,
            last_known_order: engine.last_known_order,
            begun_orders: Some(engine.begun_orders),
            is_busy: Some(engine.prepared.is_some_and(|(_, at)| at > self.now)),
            experts: match engine.active_layers.first() {
                Some(layer) => vec![layer[rank.0 as usize].clone()],
                None => vec![vec![rank.0 as u32]],
            },
            counts: None,
        })
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.in_transit = rest;
        let due: Vec<(Instant, Delivery)> = due;
        for (_, delivery) in due {
            match delivery {
                Delivery::Order {
                    leader,
                    order,
                    sends_result,
                } => {
                    let outcome = self.execute_order(&order);
                    if !sends_result {
                        continue;
                    }
                    if let Some(engine) = self.engines.get_mut(&order.rank) {
                        engine.last_known_order = engine.last_known_order.max(order.number);
                    }
                    let at = now + self.delay();
                    let result = order_result(&order, outcome);
                    self.in_transit
                        .push((at, Delivery::Result { leader, result }));
                }
                Delivery::Result { leader, result } => {
                    self.drive_controller(leader, Input::OrderResult(result))
                }
                Delivery::Report { report } => {
                    let watch = address(report.rank);
                    for leader in 0..self.leaders.len() {
                        let report = report.clone();
                        self.drive_controller(leader, Input::Report { watch, report });
                    }
                }
            }
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        self.deliver();
        if self.now >= self.next_step {
            self.next_step = self.now + STEP_TIME;
            self.run_step();
        }
        if self.now >= self.next_report {
            self.next_report = self.now + REPORT_INTERVAL;
            for rank in (0..RANKS).map(Rank) {
                let report = self.report(rank);
                let at = self.now + self.delay();
                self.in_transit.push((at, Delivery::Report { report }));
            }
        }
        for leader in 0..self.leaders.len() {
            if self.now >= self.leaders[leader].next_deadline() {
                self.drive_controller(leader, Input::Tick);
            }
            let controller = &self.leaders[leader];
            let may_start = controller.active_placement(self.now).is_some();
            let is_copying = controller.copying().is_some();
            // A switch whose copies are under way is replaced now and then.
            if may_start && (!is_copying || self.rng.random_bool(REPLACED_FRACTION)) {
                self.started_switches += 1;
                let input = Input::StartSwitch {
                    layers: numbered_layers(self.started_switches),
                    copy_time: Duration::ZERO,
                };
                self.drive_controller(leader, input);
            }
        }
    }

    /// Ticks until a condition holds.
    fn run_until(&mut self, what: &str, holds: impl Fn(&Self) -> bool) {
        let end = self.now + Duration::from_secs(20);
        while !holds(self) {
            assert!(self.now < end, "{what}: not within 20 s");
            self.tick();
        }
    }

    /// Replaces the leader by one of the next term that sends nothing before its first report.
    fn replace_leader(&mut self, term: u64) -> usize {
        let last = self.leaders.len() - 1;
        self.drive_controller(last, Input::LeadershipLost);
        let group = "g0".parse().unwrap();
        self.leaders
            .push(Controller::new(group, self.ignored.options()));
        self.drive_controller(last + 1, Input::LeadershipGained(Term(term)));
        last + 1
    }

    /// Simulates the loss of a rank: the group restarts without a prepared or armed map and without
    /// holds.
    fn restart_group(&mut self) {
        self.generation = self.generation.next();
        for engine in self.engines.values_mut() {
            *engine = Engine::default();
        }
    }

    fn run(&mut self, inject_faults: bool) {
        self.drive_controller(0, Input::LeadershipGained(Term(1)));
        let mut term = 1;
        let mut deposed: Option<(usize, Instant)> = None;
        while self.now < Instant(0) + RUN_TIME {
            self.tick();
            if let Some((leader, until)) = deposed
                && self.now >= until
            {
                self.drive_controller(leader, Input::LeadershipLost);
                deposed = None;
            }
            if !inject_faults || deposed.is_some() {
                continue;
            }
            match self.rng.random_range(0..self.ticks_per_fault) {
                0 if self.has_leases => {
                    term += 1;
                    self.replace_leader(term);
                }
                0 => {
                    // The deposed leader continues to act as leader for a while.
                    term += 1;
                    let group = "g0".parse().unwrap();
                    self.leaders
                        .push(Controller::new(group, self.ignored.options()));
                    let last = self.leaders.len() - 1;
                    self.drive_controller(last, Input::LeadershipGained(Term(term)));
                    let lag = Duration::from_millis(self.rng.random_range(0..3000));
                    deposed = Some((last - 1, self.now + lag));
                }
                1 if self.rng.random_bool(0.5) => self.restart_group(),
                2 | 3 => {
                    // A watch process restarts and does not know which orders are complete.
                    let rank = Rank(self.rng.random_range(0..RANKS));
                    if let Some(engine) = self.engines.get_mut(&rank) {
                        engine.last_known_order = 0;
                        engine.incarnation = Incarnation(self.now.0);
                    }
                }
                _ => {}
            }
        }
        self.completed_switches = self
            .leaders
            .iter()
            .map(Controller::completed_switches)
            .sum();
    }
}

fn order_result(order: &RankOrder, outcome: RankOrderOutcome) -> RankOrderResult {
    RankOrderResult {
        number: order.number,
        group: order.group.clone(),
        rank: order.rank,
        outcome,
    }
}

fn layers() -> ExpertPlacement {
    vec![(0..RANKS as u32).map(|rank| vec![rank]).collect()]
}

/// A placement that differs from those with other numbers.
fn numbered_layers(number: u32) -> ExpertPlacement {
    vec![(0..RANKS as u32).map(|rank| vec![rank, number]).collect()]
}

#[test]
fn without_faults_switches_do_not_delay_steps() {
    let mut world = World::new(1, Ignored::Nothing, 0.0);
    world.run(false);
    assert!(!world.has_mixed_maps);
    assert!(
        world.completed_switches > 20,
        "{} switches",
        world.completed_switches
    );
    // Holds delayed at most 5 % of the steps.
    let max_steps = RUN_TIME.as_millis() as u64 / STEP_TIME.as_millis() as u64;
    assert!(
        world.step.0 > max_steps * 95 / 100,
        "{} of {max_steps} steps",
        world.step
    );
}

#[test_case(0.0)]
#[test_case(0.1)]
#[test_case(0.35)]
#[test_case(0.5)]
fn no_step_starts_with_two_maps(late_fraction: f64) {
    let mut switches = 0;
    let mut mixed_layers = Vec::new();
    for seed in 0..60 {
        let mut world = World::new(seed, Ignored::Nothing, late_fraction);
        world.run(true);
        assert!(!world.has_mixed_maps, "seed {seed} mixed maps");
        // Without further faults, the group continues, so no hold is left over.
        world.late_fraction = 0.0;
        let before = world.step;
        let end = world.now + Duration::from_secs(20);
        while world.now < end {
            world.tick();
        }
        assert!(!world.has_mixed_maps, "seed {seed} mixed maps");
        if world.has_mixed_layers {
            mixed_layers.push(seed);
        }
        assert!(
            world.step.0 > before.0 + 100,
            "seed {seed}: the group has stalled"
        );
        switches += world.completed_switches;
    }
    // A successor that didn't know of a copy gave its version to another map.
    assert!(
        mixed_layers.is_empty(),
        "seeds {mixed_layers:?} mixed contents"
    );
    assert!(switches > 60, "only {switches} switches");
}

// A new leader waited for the copies of its predecessor's map, though no rank needed them any more.
#[test]
fn successor_switches_while_an_earlier_map_is_copied() {
    for seed in 0..20 {
        let mut world = World::new(seed, Ignored::Nothing, 0.0);
        world.drive_controller(0, Input::LeadershipGained(Term(1)));
        let is_copying = |engine: &Engine| engine.prepared.is_some();
        world.run_until("a copy", |world| world.engines.values().any(is_copying));
        let successor = world.replace_leader(2);
        let copied_at = world.now + Duration::from_secs(10);
        for engine in world.engines.values_mut() {
            if let Some((_, complete_at)) = &mut engine.prepared {
                *complete_at = copied_at;
            }
        }
        world.run_until("a switch", |world| {
            world.leaders[successor].completed_switches() > 0
        });
        assert!(world.now < copied_at, "seed {seed}");
        assert!(!world.has_mixed_layers, "seed {seed} mixed contents");
    }
}

// A former leader may order a copy after a restart of the group, before the orders of the present one arrive.
#[test]
fn copy_ordered_by_a_former_leader_in_a_new_generation_shares_no_version() {
    for seed in 0..20 {
        let mut world = World::new(seed, Ignored::Nothing, 0.0);
        world.drive_controller(0, Input::LeadershipGained(Term(1)));
        world.run_until("a switch", |world| {
            world.leaders[0].completed_switches() > 0
        });
        // The present leader may have chosen the next version for orders that are on their way.
        let known = world.engines.values().map(|engine| engine.highest_version);
        let version = Version(known.max().unwrap().0 + 1 + seed % 3);
        world.restart_group();
        let complete_at = world.now + Duration::from_secs(1);
        if let Some(engine) = world.engines.get_mut(&Rank(0)) {
            engine.highest_version = version;
            engine.prepared = Some((version, complete_at));
            engine.prepared_layers = numbered_layers(99).to_vec();
        }
        world.run_until("another switch", |world| {
            world.leaders[0].completed_switches() > 1
        });
        assert!(!world.has_mixed_layers, "seed {seed} mixed contents");
    }
}

#[test_case(Ignored::FencingToken)]
#[test_case(Ignored::Hold)]
fn maps_mix_if_engines_ignore_a_mechanism(ignored: Ignored) {
    let found = (0..200).any(|seed| {
        let mut world = World::new(seed, ignored, 0.35);
        world.run(true);
        world.has_mixed_maps
    });
    assert!(
        found,
        "no seed finds mixed maps although engines ignore {ignored:?}"
    );
}

/// Replaces a switch while its first orders are in transit: a rank refuses them under the token of the
/// second switch, which does not mean that another leader exists.
#[test]
fn orders_overtaken_by_the_same_leader_do_not_depose_it() {
    let mut world = World::new(3, Ignored::Nothing, 0.0);
    world.drive_controller(0, Input::LeadershipGained(Term(1)));
    while world.leaders[0].active_placement(world.now).is_none() {
        world.tick();
    }
    let start = || Input::StartSwitch {
        layers: layers(),
        copy_time: Duration::ZERO,
    };
    let mut out = Vec::new();
    world.leaders[0].handle(world.now, start(), &mut out);
    let first_order = out.iter().find_map(|output| match output {
        Output::Order { order, .. } => Some(order.clone()),
        Output::Event(_) => None,
    });
    world.leaders[0].handle(world.now, start(), &mut out);
    let overtaken = order_result(&first_order.unwrap(), RankOrderOutcome::Fenced);
    world.drive_controller(0, Input::OrderResult(overtaken));
    assert!(world.leaders[0].is_leader());
}

/// A watch process reports a change within milliseconds, so that two reports shortly after each other may
/// show two steps. An activation step chosen by such a step time would be seconds away.
#[test]
fn reports_shortly_after_each_other_do_not_shorten_the_step_time() {
    let mut world = World::new(4, Ignored::Nothing, 0.0);
    world.drive_controller(0, Input::LeadershipGained(Term(1)));
    for _ in 0..400 {
        world.now = world.now + STEP_TIME;
        for delay in [0, 2] {
            world.now = world.now + Duration::from_millis(delay);
            world.step = world.step.next();
            let report = world.report(Rank(0));
            let watch = address(Rank(0));
            world.drive_controller(0, Input::Report { watch, report });
        }
    }
    // Two steps in 52 ms.
    let step_time = world.leaders[0].step_time();
    assert!(
        step_time >= Duration::from_millis(20) && step_time <= Duration::from_millis(32),
        "{step_time:?}"
    );
}

/// Most reports leave the experts out. The controller must not plan from those of another watch process or
/// map, and must not lose those that it has.
#[test]
fn experts_are_kept_for_the_same_incarnation_and_map_only() {
    let mut world = World::new(5, Ignored::Nothing, 0.0);
    world.drive_controller(0, Input::LeadershipGained(Term(1)));
    while world.leaders[0].active_placement(world.now).is_none() {
        world.tick();
    }
    let placement = world.leaders[0].active_placement(world.now);
    let report_without_experts = |world: &mut World, incarnation: Option<Incarnation>, map| {
        let mut report = world.report(Rank(0));
        report.experts.clear();
        report.incarnation = incarnation.unwrap_or(report.incarnation);
        report.active_map = map;
        let watch = address(Rank(0));
        world.drive_controller(0, Input::Report { watch, report });
    };
    let map = world.report(Rank(0)).active_map;
    report_without_experts(&mut world, None, map);
    assert_eq!(world.leaders[0].active_placement(world.now), placement);
    report_without_experts(&mut world, Some(Incarnation(99)), map);
    assert_eq!(world.leaders[0].active_placement(world.now), None);
    let mut report = world.report(Rank(0));
    report.incarnation = Incarnation(99);
    let watch = address(Rank(0));
    world.drive_controller(0, Input::Report { watch, report });
    assert_eq!(world.leaders[0].active_placement(world.now), placement);
    report_without_experts(&mut world, Some(Incarnation(99)), map.next());
    report_without_experts(&mut world, Some(Incarnation(99)), map);
    assert_eq!(world.leaders[0].active_placement(world.now), None);
}

// Engines that have ended refuse connections, so that each order has its result at once. Sent again at once,
// orders and results kept the coordinator and every watch process busy.
#[test]
fn orders_to_engines_that_refuse_connections_are_spaced() {
    for seed in 0..50 {
        let mut world = World::new(seed, Ignored::Nothing, 0.0);
        world.drive_controller(0, Input::LeadershipGained(Term(1)));
        let ended_after = Duration::from_millis(world.rng.random_range(200..6000));
        while world.now < Instant(0) + ended_after {
            world.tick();
        }
        let controller = &mut world.leaders[0];
        let end = world.now + Duration::from_secs(3);
        let mut orders = 0;
        while world.now < end {
            let mut out = Vec::new();
            controller.handle(world.now, Input::Tick, &mut out);
            while let Some(output) = out.pop() {
                let Output::Order { order, .. } = output else {
                    continue;
                };
                orders += 1;
                assert!(orders < 10_000, "seed {seed}: orders without a pause");
                let result = order_result(&order, RankOrderOutcome::Unanswered);
                controller.handle(world.now, Input::OrderResult(result), &mut out);
            }
            world.now = world.now + TICK;
        }
        // 150 ms is the time for which a watch process waits for an answer.
        assert!(orders <= RANKS * 3000 / 150, "seed {seed}: {orders} orders");
    }
}

/// Time within which a hold is released: no longer than a late order takes at most.
const HOLD_TIME_MAX: Duration = Duration::from_secs(12);

#[test_case(0.0)]
#[test_case(0.1)]
#[test_case(0.35)]
#[test_case(0.5)]
fn no_step_starts_with_two_maps_where_tokens_are_not_checked(late_fraction: f64) {
    let mut switches = 0;
    for seed in 0..60 {
        let mut world = World::new(seed, Ignored::KnownFencingToken, late_fraction);
        world.has_leases = true;
        world.ticks_per_fault = 600;
        world.run(true);
        assert!(!world.has_mixed_maps, "seed {seed} mixed maps");
        world.late_fraction = 0.0;
        let before = world.step;
        let end = world.now + Duration::from_secs(20);
        while world.now < end {
            world.tick();
        }
        assert!(!world.has_mixed_maps, "seed {seed} mixed maps");
        assert!(!world.has_mixed_layers, "seed {seed} mixed contents");
        assert!(
            world.step.0 > before.0 + 100,
            "seed {seed}: the group has stalled"
        );
        let stand = world.longest_stand;
        assert!(stand < HOLD_TIME_MAX, "seed {seed}: held for {stand:?}");
        switches += world.completed_switches;
    }
    assert!(switches > 60, "only {switches} switches");
}

fn is_order(delivery: &Delivery, is_meant: impl Fn(&RankOrder) -> bool) -> bool {
    matches!(delivery, Delivery::Order { order, .. } if is_meant(order))
}

fn arms_late_rank(order: &RankOrder) -> bool {
    order.rank == Rank(3) && matches!(order.action, RankAction::Arm { .. })
}

/// An order to arm is carried out while a successor of its sender releases the hold.
#[test_case(1, 0)]
#[test_case(2, 30)]
#[test_case(3, 30)]
#[test_case(3, 150)]
fn a_late_order_to_arm_has_no_effect_after_changes_of_leader(changes: u64, interval_ms: u64) {
    let mut world = World::new(6, Ignored::KnownFencingToken, 0.0);
    world.drive_controller(0, Input::LeadershipGained(Term(1)));
    world.run_until("first switch", |world| {
        world.leaders[0].completed_switches() > 0
    });
    let in_transit = |world: &World, is_meant: fn(&RankOrder) -> bool| {
        let mut deliveries = world.in_transit.iter();
        deliveries.any(|(_, delivery)| is_order(delivery, is_meant))
    };
    world.run_until("order to arm", |world| in_transit(world, arms_late_rank));
    // The order stays in transit, and its sender ends.
    let is_late = |(_, delivery): &mut (Instant, Delivery)| is_order(delivery, arms_late_rank);
    let late: Vec<(Instant, Delivery)> = world.in_transit.extract_if(.., is_late).collect();
    let Some((_, Delivery::Order { order: late, .. })) = late.into_iter().next() else {
        panic!("no order to arm");
    };
    for change in 0..changes {
        world.replace_leader(change + 2);
        let until = world.now + Duration::from_millis(interval_ms);
        while world.now < until {
            world.tick();
        }
    }
    world.run_until("order to release", |world| {
        in_transit(world, |order| {
            matches!(order.action, RankAction::Release { .. })
        })
    });
    let mut engines = world.engines.values();
    assert!(engines.any(|engine| engine.hold_step.is_some()));
    assert_eq!(world.execute_order(&late), RankOrderOutcome::Refused);
    let before = world.step;
    world.run_until("steps", |world| world.step.0 > before.0 + 40);
    assert!(!world.has_mixed_maps && !world.has_mixed_layers);
}
