//! The barrier controller against simulated engines that answer late, never, or out of order.
//!
//! Engines run steps together. Orders to them and their answers are delayed; some get no answer and
//! are carried out seconds later. Leaders change, and a deposed one goes on for a while. In no step
//! may two ranks use different maps. With the fence or the hold taken out of the engines, some seed
//! must find mixed maps.

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
const STEP: Duration = Duration::from_millis(50);
const TICK: Duration = Duration::from_millis(5);
const REPORT: Duration = Duration::from_millis(100);
const SPAN: Duration = Duration::from_secs(40);

/// What the engines lack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    Fence,
    Hold,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    map: Version,
    newest: Version,
    prepared: Option<(Version, Instant)>,
    armed: Option<(Version, Step)>,
    held: Option<Step>,
    token: u64,
    after: u64,
    /// The life of the process beside it.
    life: Incarnation,
}

/// Something under way.
enum Mail {
    Order {
        leader: usize,
        order: RankOrder,
        answers: bool,
    },
    Done {
        leader: usize,
        done: RankOrderResult,
    },
    Report {
        report: Box<EngineReport>,
    },
}

struct World {
    now: Instant,
    rng: ChaCha8Rng,
    without: Without,
    generation: Generation,
    step: Step,
    next_step: Instant,
    engines: BTreeMap<Rank, Engine>,
    leaders: Vec<Controller>,
    /// Part of the orders that get no answer and are carried out late.
    late: f64,
    mail: Vec<(Instant, Mail)>,
    next_report: Instant,
    mixed: bool,
    switches: u64,
}

fn address(rank: Rank) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, rank.0 as u8 + 1], 7000))
}

impl World {
    fn new(seed: u64, without: Without, late: f64) -> Self {
        let ranks = (0..RANKS).map(Rank);
        let group = "g0".parse().unwrap();
        Self {
            now: Instant(0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            without,
            generation: Generation(1),
            step: Step(0),
            next_step: Instant(0),
            engines: ranks.map(|rank| (rank, Engine::default())).collect(),
            leaders: vec![Controller::new(group, Options::default())],
            late,
            mail: Vec::new(),
            next_report: Instant(0),
            mixed: false,
            switches: 0,
        }
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(500..20_000))
    }

    fn feed(&mut self, leader: usize, input: Input) {
        let mut out = Vec::new();
        self.leaders[leader].handle(self.now, input, &mut out);
        for output in out {
            let Output::Order { order, .. } = output else {
                continue;
            };
            let is_late = self.rng.random_bool(self.late);
            let delay = match is_late {
                true => Duration::from_millis(self.rng.random_range(2000..12_000)),
                false => self.delay(),
            };
            let answers = !is_late;
            if is_late {
                // Beside the engine the order counts as unanswered after a while.
                let done = done(&order, RankOrderOutcome::Unanswered);
                let at = self.now + Duration::from_millis(150);
                self.mail.push((at, Mail::Done { leader, done }));
            }
            let order = Mail::Order {
                leader,
                order,
                answers,
            };
            self.mail.push((self.now + delay, order));
        }
    }

    fn carry_out(&mut self, order: &RankOrder) -> RankOrderOutcome {
        let (now, step) = (self.now, self.step);
        let copy = Duration::from_millis(self.rng.random_range(0..400));
        let Some(engine) = self.engines.get_mut(&order.rank) else {
            return RankOrderOutcome::Unanswered;
        };
        if order.generation != self.generation {
            return RankOrderOutcome::Refused;
        }
        if order.fencing_token < engine.token && self.without != Without::Fence {
            return RankOrderOutcome::Fenced;
        }
        engine.token = engine.token.max(order.fencing_token);
        let begun = |at: Step| at <= step;
        match &order.action {
            RankAction::Prepare { version, .. } => {
                if engine.prepared.is_some_and(|(held, _)| held == *version) {
                    return RankOrderOutcome::Accepted;
                }
                if *version <= engine.newest || engine.armed.is_some() {
                    return RankOrderOutcome::Refused;
                }
                engine.newest = *version;
                engine.prepared = Some((*version, now + copy));
            }
            RankAction::Arm { version, step: at } => {
                if engine.armed == Some((*version, *at)) {
                    return RankOrderOutcome::Accepted;
                }
                let ready = engine
                    .prepared
                    .is_some_and(|(held, when)| held == *version && when <= now);
                if !ready || begun(*at) {
                    return RankOrderOutcome::Refused;
                }
                engine.armed = Some((*version, *at));
            }
            RankAction::Disarm { version } => {
                if engine.map == *version {
                    return RankOrderOutcome::Refused;
                }
                if engine.armed.is_some_and(|(held, _)| held == *version) {
                    engine.armed = None;
                }
            }
            RankAction::Hold { step: at } => {
                if engine.held == Some(*at) {
                    return RankOrderOutcome::Accepted;
                }
                if engine.held.is_some() || begun(*at) {
                    return RankOrderOutcome::Refused;
                }
                engine.held = Some(*at);
            }
            RankAction::Release { step: at } => {
                if engine.held == Some(*at) {
                    engine.held = None;
                }
            }
        }
        RankOrderOutcome::Accepted
    }

    /// Begins the next step unless a rank holds the group.
    fn run_step(&mut self) {
        let next = self.step.next();
        let holds = |engine: &Engine| engine.held == Some(next);
        if self.without != Without::Hold && self.engines.values().any(holds) {
            return;
        }
        self.step = next;
        for engine in self.engines.values_mut() {
            if let Some((version, _)) = engine.armed.take_if(|(_, at)| *at == next) {
                engine.map = version;
                engine.prepared = None;
            }
        }
        let first = self.engines.values().next().map(|engine| engine.map);
        let mixed = self
            .engines
            .values()
            .any(|engine| Some(engine.map) != first);
        self.mixed |= mixed;
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
            active_map: engine.map,
            prepared_map: engine
                .prepared
                .filter(|(_, at)| *at <= self.now)
                .map(|(v, _)| v),
            armed_map: engine.armed.map(|(version, _)| version),
            hold_step: engine.held,
            slowness_permille: 1000,
            running: 1,
            waiting: 0,
            incarnation: engine.life,
            last_known_order: engine.after,
            experts: vec![vec![rank.0 as u32]],
            counts: None,
        })
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.mail = rest;
        let due: Vec<(Instant, Mail)> = due;
        for (_, mail) in due {
            match mail {
                Mail::Order {
                    leader,
                    order,
                    answers,
                } => {
                    let outcome = self.carry_out(&order);
                    if !answers {
                        continue;
                    }
                    if let Some(engine) = self.engines.get_mut(&order.rank) {
                        engine.after = engine.after.max(order.number);
                    }
                    let at = now + self.delay();
                    let done = done(&order, outcome);
                    self.mail.push((at, Mail::Done { leader, done }));
                }
                Mail::Done { leader, done } => self.feed(leader, Input::OrderResult(done)),
                Mail::Report { report } => {
                    let watch = address(report.rank);
                    for leader in 0..self.leaders.len() {
                        let report = report.clone();
                        self.feed(leader, Input::Report { watch, report });
                    }
                }
            }
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        self.deliver();
        if self.now >= self.next_step {
            self.next_step = self.now + STEP;
            self.run_step();
        }
        if self.now >= self.next_report {
            self.next_report = self.now + REPORT;
            for rank in (0..RANKS).map(Rank) {
                let report = self.report(rank);
                let at = self.now + self.delay();
                self.mail.push((at, Mail::Report { report }));
            }
        }
        for leader in 0..self.leaders.len() {
            if self.now >= self.leaders[leader].next_deadline() {
                self.feed(leader, Input::Tick);
            }
            if self.leaders[leader].active_placement(self.now).is_some() {
                self.feed(leader, Input::StartSwitch(layers()));
            }
        }
    }

    /// A rank dies and the group starts anew, with nothing prepared, armed or held.
    fn restart_group(&mut self) {
        self.generation = self.generation.next();
        for engine in self.engines.values_mut() {
            *engine = Engine::default();
        }
    }

    fn run(&mut self, disturbed: bool) {
        self.feed(0, Input::LeadershipGained(Term(1)));
        let mut term = 1;
        let mut deposed: Option<(usize, Instant)> = None;
        while self.now < Instant(0) + SPAN {
            self.tick();
            if let Some((leader, until)) = deposed
                && self.now >= until
            {
                self.feed(leader, Input::LeadershipLost);
                deposed = None;
            }
            if !disturbed || deposed.is_some() {
                continue;
            }
            match self.rng.random_range(0..2000) {
                0 => {
                    // The deposed leader believes in its office for a while.
                    term += 1;
                    let group = "g0".parse().unwrap();
                    self.leaders
                        .push(Controller::new(group, Options::default()));
                    let last = self.leaders.len() - 1;
                    self.feed(last, Input::LeadershipGained(Term(term)));
                    let lag = Duration::from_millis(self.rng.random_range(0..3000));
                    deposed = Some((last - 1, self.now + lag));
                }
                1 if self.rng.random_bool(0.5) => self.restart_group(),
                2 | 3 => {
                    // The process beside an engine starts again and has forgotten what was over.
                    let rank = Rank(self.rng.random_range(0..RANKS));
                    if let Some(engine) = self.engines.get_mut(&rank) {
                        engine.after = 0;
                        engine.life = Incarnation(self.now.0);
                    }
                }
                _ => {}
            }
        }
        self.switches = self
            .leaders
            .iter()
            .map(Controller::completed_switches)
            .sum();
    }
}

fn done(order: &RankOrder, outcome: RankOrderOutcome) -> RankOrderResult {
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

#[test]
fn a_calm_group_switches_again_and_again_without_a_pause() {
    let mut world = World::new(1, Without::Nothing, 0.0);
    world.run(false);
    assert!(!world.mixed);
    assert!(world.switches > 20, "{} switches", world.switches);
    // The group was hardly ever held up.
    let most = SPAN.as_millis() as u64 / STEP.as_millis() as u64;
    assert!(
        world.step.0 > most * 95 / 100,
        "{} of {most} steps",
        world.step
    );
}

#[test_case(0.0)]
#[test_case(0.1)]
#[test_case(0.35)]
#[test_case(0.5)]
fn no_step_begins_with_two_maps(late: f64) {
    let mut switches = 0;
    for seed in 0..60 {
        let mut world = World::new(seed, Without::Nothing, late);
        world.run(true);
        assert!(!world.mixed, "seed {seed} mixed maps");
        // Once all is calm, the group goes on: no hold stays behind.
        world.late = 0.0;
        let before = world.step;
        let end = world.now + Duration::from_secs(20);
        while world.now < end {
            world.tick();
        }
        assert!(!world.mixed, "seed {seed} mixed maps");
        assert!(
            world.step.0 > before.0 + 100,
            "seed {seed}: the group stands still"
        );
        switches += world.switches;
    }
    assert!(switches > 60, "only {switches} switches");
}

#[test_case(Without::Fence)]
#[test_case(Without::Hold)]
fn without_one_mechanism_maps_are_mixed(without: Without) {
    let mixed = (0..200).any(|seed| {
        let mut world = World::new(seed, without, 0.35);
        world.run(true);
        world.mixed
    });
    assert!(mixed, "the check finds nothing without {without:?}");
}
