//! Every order of events of a small case: three ranks, one switch, one change of leader, one restart
//! of an agent.
//!
//! The network is the set of all messages ever sent: any of them may be delivered next, again, or
//! never, which covers loss, doubling, delay and reordering. The deposed leader goes on believing in
//! its office. Each run of a check with one mechanism taken out must find mixed maps.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use eelgrassdyke_core::id::{Generation, Incarnation, Rank, Step, Term, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::fence::FencingToken;
use eelgrassdyke_core::wire::group::{
    ActiveMap, Body, EngineState, ExpertMap, GroupState, Message,
};
use eelgrassdyke_group::gate::{self, Gate};
use eelgrassdyke_group::standing::{Decision, Standing};
use eelgrassdyke_group::switch::{self, Controller};
use test_case::test_case;

const RANKS: u64 = 3;
const LATE: Instant = Instant(1_000_000_000_000);
const FIRST_LIFE: Incarnation = Incarnation(1);

/// A mechanism taken out of the case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Ranks answer a prepare with the step they have run, not with the horizon they keep to.
    Horizon,
    /// The commit step is the farthest horizon itself.
    Beyond,
    /// A restarted gate trusts the map its engine runs.
    Restart,
    /// Leaders act on decisions that the log does not hold.
    Log,
}

/// Bounds of the case.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    without: Without,
    restart: bool,
    leader_change: bool,
    lock_step: bool,
    steps: u64,
}

/// Every message of an exploration, by number, so that a network is a set of bits.
#[derive(Debug, Default)]
struct Post {
    messages: Vec<Message>,
    numbers: BTreeMap<Message, usize>,
    /// Receivers, by digest, to whom a message changes nothing.
    idle: HashSet<(u64, usize)>,
}

impl Post {
    fn bit(&mut self, message: Message) -> u128 {
        let next = self.messages.len();
        let number = *self.numbers.entry(message.clone()).or_insert(next);
        if number == next {
            self.messages.push(message);
        }
        assert!(number < 128, "the exploration has more messages than bits");
        1 << number
    }
}

thread_local! {
    static POST: RefCell<Post> = RefCell::default();
}

fn bit(message: Message) -> u128 {
    POST.with_borrow_mut(|post| post.bit(message))
}

/// The messages of a network that are not known to change nothing at `receiver`.
fn messages(bits: u128, receiver: u64, rank: Option<Rank>) -> Vec<(usize, Message)> {
    let chosen = |post: &Post| {
        let all = post.messages.iter().enumerate();
        all.filter(|(number, _)| bits >> number & 1 == 1)
            .filter(|(_, message)| rank.is_none_or(|rank| rank == message.rank))
            .filter(|(number, _)| !post.idle.contains(&(receiver, *number)))
            .map(|(number, message)| (number, message.clone()))
            .collect()
    };
    POST.with_borrow(chosen)
}

fn note_idle(receiver: u64, number: usize) {
    POST.with_borrow_mut(|post| post.idle.insert((receiver, number)));
}

fn digest(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

#[derive(Clone, Hash)]
struct World {
    controllers: Vec<Rc<Controller>>,
    log: Vec<Decision>,
    heard: Vec<usize>,
    proposed: Vec<Vec<Decision>>,
    deposed_at: Option<usize>,
    gates: Vec<Rc<Gate>>,
    engines: Vec<EngineState>,
    grants: Vec<Vec<Version>>,
    ran: Vec<u64>,
    down: u128,
    up: u128,
    restarted: bool,
    /// Whether a step was left out, granted twice or granted without its weights.
    gap: bool,
}

fn map(version: u64) -> ExpertMap {
    ExpertMap {
        version: Version(version),
        layers: Vec::new(),
    }
}

fn standing() -> Standing {
    Standing {
        generation: Generation(1),
        revision: 2,
        members: (0..RANKS).map(Rank).collect(),
        lives: (0..RANKS).map(|rank| (Rank(rank), FIRST_LIFE)).collect(),
        present: Some(ActiveMap {
            map: map(1),
            first_step: Step(1),
        }),
        decided: Version(1),
        newest: Version(1),
        floor: Step(1),
        ..Standing::default()
    }
}

fn options() -> gate::Options {
    gate::Options {
        run: 1,
        lead: 0,
        ..gate::Options::default()
    }
}

fn state_message(rank: u64, life: Incarnation, fence: FencingToken) -> Message {
    Message {
        group: "draft".parse().unwrap(),
        generation: Generation(1),
        rank: Rank(rank),
        incarnation: life,
        fence,
        body: Body::State(GroupState {
            active: standing().present,
            decided_version: Version(1),
            ..GroupState::default()
        }),
    }
}

impl World {
    fn new(bounds: &Bounds) -> Self {
        let group = || "draft".parse().unwrap();
        let engine = EngineState {
            generation: Generation(1),
            granted_step: Step(0),
            loaded_maps: BTreeSet::from([Version(1)]),
        };
        let mut world = Self {
            controllers: (0..2)
                .map(|_| Controller::new(group(), switch::Options::default()).into())
                .collect(),
            log: Vec::new(),
            heard: vec![0; 2],
            proposed: vec![Vec::new(); 2],
            deposed_at: None,
            gates: Vec::new(),
            engines: vec![engine.clone(); RANKS as usize],
            grants: vec![Vec::new(); RANKS as usize],
            ran: vec![0; RANKS as usize],
            down: 0,
            up: 0,
            restarted: false,
            gap: false,
        };
        for rank in 0..RANKS {
            world
                .gates
                .push(Gate::new(group(), Rank(rank), FIRST_LIFE, options()).into());
            world.feed(rank as usize, gate::Input::Engine(engine.clone()), bounds);
            let state = state_message(rank, FIRST_LIFE, FencingToken::default());
            world.feed(rank as usize, gate::Input::Mail(state), bounds);
        }
        let lead = switch::Input::Lead {
            term: Term(1),
            standing: standing(),
        };
        world.steer(0, Instant(0), lead, bounds);
        // The first switch is long in force: every rank has acknowledged it.
        for rank in 0..RANKS {
            let body = Body::DecisionApplied {
                version: Version(1),
            };
            let message = Message {
                body,
                ..state_message(rank, FIRST_LIFE, FencingToken::default())
            };
            world.steer(0, Instant(0), switch::Input::Mail(message), bounds);
        }
        world.down = 0;
        world.up = 0;
        let plan = switch::Input::Plan {
            layers: Vec::new(),
            loading: 1,
        };
        world.steer(0, Instant(0), plan, bounds);
        assert_eq!(world.proposed[0].len() + world.log.len(), 1);
        world
    }

    /// Feeds one gate and carries out what it wants at once, but for messages; false when it wants
    /// nothing.
    fn feed(&mut self, rank: usize, input: gate::Input, bounds: &Bounds) -> bool {
        let mut wanted = false;
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            Rc::make_mut(&mut self.gates[rank]).handle(Instant(0), input, &mut out);
            wanted |= !out.is_empty();
            for output in out {
                match output {
                    gate::Output::Grant {
                        version,
                        from,
                        until,
                        ..
                    } => {
                        let is_next = from.0 == self.grants[rank].len() as u64 + 1;
                        let is_loaded = self.engines[rank].loaded_maps.contains(&version);
                        self.gap |= !is_next || !is_loaded;
                        for _ in from.0..=until.0 {
                            self.grants[rank].push(version);
                        }
                        self.engines[rank].granted_step = until;
                    }
                    gate::Output::Load { map, .. } => {
                        self.engines[rank].loaded_maps.insert(map.version);
                        inputs.push(gate::Input::Loaded(map.version));
                    }
                    gate::Output::Send(mut message) => {
                        // Controllers read neither of these, so they would only multiply states.
                        message.fence = FencingToken::default();
                        // With one switch, nothing waits for a rank that has it in force, and
                        // every message may come again without being asked for.
                        let is_first = message.incarnation == FIRST_LIFE;
                        match message.body {
                            Body::DecisionApplied { .. } => continue,
                            Body::Join { .. } if is_first => continue,
                            _ => {}
                        }
                        if let Body::Prepared { horizon, .. } = &mut message.body
                            && bounds.without == Without::Horizon
                        {
                            *horizon = Step(self.ran[rank]);
                        }
                        self.up |= bit(message);
                    }
                    _ => {}
                }
            }
        }
        wanted
    }

    fn steer(&mut self, at: usize, now: Instant, input: switch::Input, bounds: &Bounds) -> bool {
        let mut out = Vec::new();
        Rc::make_mut(&mut self.controllers[at]).handle(now, input, &mut out);
        let wanted = !out.is_empty();
        for output in out {
            match output {
                switch::Output::Record(decision) if bounds.without == Without::Log => {
                    self.log.push(decision.clone());
                    self.steer(at, now, switch::Input::Recorded(decision), bounds);
                }
                switch::Output::Record(mut decision) => {
                    if let Decision::Commit { at, .. } = &mut decision
                        && bounds.without == Without::Beyond
                    {
                        *at = *at - Step(1);
                    }
                    self.proposed[at].push(decision);
                }
                switch::Output::Send(message) => {
                    self.down |= bit(message);
                }
                switch::Output::Event(_) => {}
            }
        }
        wanted
    }

    /// Every state that may come next.
    fn successors(&self, bounds: &Bounds) -> Vec<Self> {
        let mut next = Vec::new();
        for (rank, gate) in self.gates.iter().enumerate() {
            let receiver = digest(gate);
            for (number, message) in messages(self.down, receiver, Some(Rank(rank as u64))) {
                let mut world = self.clone();
                let wanted = world.feed(rank, gate::Input::Mail(message), bounds);
                match !wanted && world.gates[rank] == *gate {
                    true => note_idle(receiver, number),
                    false => next.push(world),
                }
            }
        }
        for at in self.leaders() {
            let receiver = digest(&(at, &self.controllers[at]));
            for (number, message) in messages(self.up, receiver, None) {
                // What else the deposed leader hears leads to records that the log refuses.
                let is_join = matches!(message.body, Body::Join { .. });
                let is_deposed = at == 0 && self.deposed_at.is_some();
                if is_deposed && !is_join && bounds.without != Without::Log {
                    continue;
                }
                let mut world = self.clone();
                let mail = switch::Input::Mail(message);
                let wanted = world.steer(at, Instant(0), mail, bounds);
                match !wanted && world.controllers[at] == self.controllers[at] {
                    true => note_idle(receiver, number),
                    false => next.push(world),
                }
            }
        }
        self.log_successors(bounds, &mut next);
        self.engine_successors(bounds, &mut next);
        next
    }

    fn leaders(&self) -> std::ops::Range<usize> {
        0..1 + usize::from(self.deposed_at.is_some())
    }

    fn log_successors(&self, bounds: &Bounds, next: &mut Vec<Self>) {
        let leader = usize::from(self.deposed_at.is_some());
        if !self.proposed[leader].is_empty() {
            let mut world = self.clone();
            let decision = world.proposed[leader].remove(0);
            world.log.push(decision);
            next.push(world);
        }
        for at in self.leaders() {
            // The deposed leader hears of nothing that came after it.
            let end = match at {
                0 => self.deposed_at.unwrap_or(self.log.len()),
                _ => self.log.len(),
            };
            if bounds.without != Without::Log && self.heard[at] < end {
                let mut world = self.clone();
                let decision = self.log[self.heard[at]].clone();
                world.heard[at] += 1;
                world.steer(at, Instant(0), switch::Input::Recorded(decision), bounds);
                next.push(world);
            }
            let acts = at == leader || bounds.without == Without::Log;
            if acts && self.controllers[at].standing().undecided().is_some() {
                let mut world = self.clone();
                world.steer(at, LATE, switch::Input::Tick, bounds);
                next.push(world);
            }
        }
        if bounds.leader_change && self.deposed_at.is_none() {
            let mut world = self.clone();
            let mut standing = standing();
            for decision in &self.log {
                // Without the log, the new leader knows only that a switch was proposed.
                if bounds.without != Without::Log || matches!(decision, Decision::Propose { .. }) {
                    standing.apply(decision);
                }
            }
            world.deposed_at = Some(self.log.len());
            world.proposed[0].clear();
            world.heard[1] = self.log.len();
            let lead = switch::Input::Lead {
                term: Term(2),
                standing,
            };
            world.steer(1, Instant(0), lead, bounds);
            next.push(world);
        }
    }

    fn engine_successors(&self, bounds: &Bounds, next: &mut Vec<Self>) {
        let slowest = self.ran.iter().copied().min().unwrap_or(0);
        for rank in 0..self.gates.len() {
            let ran = self.ran[rank];
            let waits = bounds.lock_step && ran > slowest;
            if waits || ran >= bounds.steps || ran >= self.grants[rank].len() as u64 {
                continue;
            }
            let mut world = self.clone();
            world.ran[rank] += 1;
            world.feed(rank, gate::Input::Ran(Step(ran + 1)), bounds);
            next.push(world);
        }
        if bounds.restart && !self.restarted {
            let mut world = self.clone();
            world.restarted = true;
            let life = FIRST_LIFE.next();
            world.gates[0] = Gate::new("draft".parse().unwrap(), Rank(0), life, options()).into();
            let engine = self.engines[0].clone();
            world.feed(0, gate::Input::Engine(engine), bounds);
            if bounds.without == Without::Restart {
                let state = state_message(0, life, FencingToken::default());
                world.feed(0, gate::Input::Mail(state), bounds);
            }
            world.feed(0, gate::Input::Ran(Step(self.ran[0])), bounds);
            next.push(world);
        }
    }

    /// Whether two ranks ran one step under different maps.
    fn is_mixed(&self) -> bool {
        if self.gap {
            return true;
        }
        let mut used = BTreeMap::new();
        for (grants, ran) in self.grants.iter().zip(&self.ran) {
            for (step, version) in grants.iter().take(*ran as usize).enumerate() {
                if used.insert(step, *version).is_some_and(|v| v != *version) {
                    return true;
                }
            }
        }
        false
    }

    /// Whether every rank has run a step under the second map.
    fn is_switched(&self) -> bool {
        let newest = |(grants, ran): (&Vec<Version>, &u64)| {
            grants[..*ran as usize].last() == Some(&Version(2))
        };
        self.grants.iter().zip(&self.ran).all(newest)
    }
}

/// What an exploration found.
#[derive(Debug, Default)]
struct Found {
    states: usize,
    mixed: bool,
    switched: usize,
}

/// Visits every state that can be reached, or stops at the first mixed step.
fn explore(bounds: Bounds) -> Found {
    let mut found = Found::default();
    let mut seen = HashSet::new();
    let mut stack = vec![World::new(&bounds)];
    while let Some(world) = stack.pop() {
        if !seen.insert(digest(&world)) {
            continue;
        }
        found.states += 1;
        found.switched += usize::from(world.is_switched());
        if world.is_mixed() {
            found.mixed = true;
            return found;
        }
        // Nothing more can run, so nothing more can be mixed.
        if world.ran.iter().all(|ran| *ran >= bounds.steps) {
            continue;
        }
        stack.extend(world.successors(&bounds));
    }
    found
}

const SMALL: Bounds = Bounds {
    without: Without::Nothing,
    restart: false,
    leader_change: false,
    lock_step: true,
    steps: 3,
};

#[test_case(SMALL; "one leader")]
#[test_case(Bounds { leader_change: true, steps: 2, ..SMALL }; "one leader change")]
#[test_case(Bounds { restart: true, steps: 2, ..SMALL }; "one agent restart")]
fn no_order_of_events_mixes_maps(bounds: Bounds) {
    let found = explore(bounds);
    println!("{bounds:?}: {found:?}");
    assert!(!found.mixed);
    assert!(found.switched > 0, "no order completes the switch");
}

#[test_case(Bounds { without: Without::Horizon, ..SMALL }; "horizon")]
#[test_case(Bounds { without: Without::Beyond, ..SMALL }; "beyond")]
#[test_case(Bounds { without: Without::Restart, restart: true, ..SMALL }; "restart")]
#[test_case(Bounds { without: Without::Log, leader_change: true, ..SMALL }; "log")]
fn a_missing_mechanism_mixes_maps(bounds: Bounds) {
    let without = bounds.without;
    let found = explore(bounds);
    println!("without {without:?}: {found:?}");
    assert!(found.mixed, "the check does not notice that it is missing");
}
