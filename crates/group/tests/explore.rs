//! Explores every order of events of a small case: three ranks, one switch, and at most one change of
//! leader or restart of an agent.
//!
//! The network is the set of all messages ever sent. Any of them may be delivered next, again or never,
//! which covers loss, duplication, delay and reordering. The deposed leader continues to act as leader.
//! With any one mechanism disabled, the exploration must find a step that runs with two maps.

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
use eelgrassdyke_group::standing::{Decision, DurableState};
use eelgrassdyke_group::switch::{self, Controller};
use test_case::test_case;

const RANKS: u64 = 3;
/// A time after every deadline.
const AFTER_ALL_DEADLINES: Instant = Instant(1_000_000_000_000);
const FIRST_INCARNATION: Incarnation = Incarnation(1);

/// The mechanism that is disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disabled {
    Nothing,
    /// Ranks respond to a prepare message with their completed step instead of their horizon.
    Horizon,
    /// The first step of the new map is the highest horizon instead of the step after it.
    StepAfterHorizon,
    /// A restarted gate resumes with the active map instead of requesting the state of the group.
    RestartJoin,
    /// Leaders act on decisions before the log has committed them.
    LogCommit,
}

/// Parameters of an exploration.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    disabled: Disabled,
    agent_restart: bool,
    leader_change: bool,
    lock_step: bool,
    steps: u64,
}

/// All messages of an exploration, numbered, so that the state of the network is a bit set.
#[derive(Debug, Default)]
struct MessageTable {
    messages: Vec<Message>,
    numbers: BTreeMap<Message, usize>,
    /// Deliveries without effect: digest of the receiver's state and number of the message.
    no_effect: HashSet<(u64, usize)>,
}

impl MessageTable {
    fn message_bit(&mut self, message: Message) -> u128 {
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
    static MESSAGES: RefCell<MessageTable> = RefCell::default();
}

fn message_bit(message: Message) -> u128 {
    MESSAGES.with_borrow_mut(|table| table.message_bit(message))
}

/// The messages in the network that may have an effect on `receiver`.
fn deliverable_messages(bits: u128, receiver: u64, rank: Option<Rank>) -> Vec<(usize, Message)> {
    let chosen = |table: &MessageTable| {
        let all = table.messages.iter().enumerate();
        all.filter(|(number, _)| bits >> number & 1 == 1)
            .filter(|(_, message)| rank.is_none_or(|rank| rank == message.rank))
            .filter(|(number, _)| !table.no_effect.contains(&(receiver, *number)))
            .map(|(number, message)| (number, message.clone()))
            .collect()
    };
    MESSAGES.with_borrow(chosen)
}

fn record_no_effect(receiver: u64, number: usize) {
    MESSAGES.with_borrow_mut(|table| table.no_effect.insert((receiver, number)));
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
    /// Length of the log prefix that each controller has applied.
    applied: Vec<usize>,
    /// Decisions of each controller that are not in the log yet.
    proposed: Vec<Vec<Decision>>,
    /// Length of the log when the first leader was deposed.
    deposed_at: Option<usize>,
    gates: Vec<Rc<Gate>>,
    engines: Vec<EngineState>,
    /// Map version of each granted step, by rank.
    grants: Vec<Vec<Version>>,
    /// Number of completed steps, by rank.
    completed: Vec<u64>,
    /// Messages sent to ranks.
    to_ranks: u128,
    /// Messages sent to controllers.
    to_controllers: u128,
    restarted: bool,
    /// Whether a step was skipped, granted twice or granted without its weights.
    invalid_grant: bool,
}

fn map(version: u64) -> ExpertMap {
    ExpertMap {
        version: Version(version),
        layers: Vec::new(),
    }
}

fn initial_state() -> DurableState {
    DurableState {
        generation: Generation(1),
        revision: 2,
        members: (0..RANKS).map(Rank).collect(),
        incarnations: (0..RANKS)
            .map(|rank| (Rank(rank), FIRST_INCARNATION))
            .collect(),
        active: Some(ActiveMap {
            map: map(1),
            first_step: Step(1),
        }),
        decided_version: Version(1),
        highest_version: Version(1),
        highest_first_step: Step(1),
        ..DurableState::default()
    }
}

fn gate_options() -> gate::Options {
    gate::Options {
        max_steps_ahead: 1,
        horizon_steps: 0,
        ..gate::Options::default()
    }
}

fn state_message(rank: u64, incarnation: Incarnation, fence: FencingToken) -> Message {
    Message {
        group: "draft".parse().unwrap(),
        generation: Generation(1),
        rank: Rank(rank),
        incarnation,
        fence,
        body: Body::State(GroupState {
            active: initial_state().active,
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
            applied: vec![0; 2],
            proposed: vec![Vec::new(); 2],
            deposed_at: None,
            gates: Vec::new(),
            engines: vec![engine.clone(); RANKS as usize],
            grants: vec![Vec::new(); RANKS as usize],
            completed: vec![0; RANKS as usize],
            to_ranks: 0,
            to_controllers: 0,
            restarted: false,
            invalid_grant: false,
        };
        for rank in 0..RANKS {
            world
                .gates
                .push(Gate::new(group(), Rank(rank), FIRST_INCARNATION, gate_options()).into());
            world.drive_gate(
                rank as usize,
                gate::Input::EngineState(engine.clone()),
                bounds,
            );
            let state = state_message(rank, FIRST_INCARNATION, FencingToken::default());
            world.drive_gate(rank as usize, gate::Input::Message(state), bounds);
        }
        let leadership = switch::Input::LeadershipGained {
            term: Term(1),
            state: initial_state(),
        };
        world.drive_controller(0, Instant(0), leadership, bounds);
        // The initial map is active, and every rank has acknowledged it.
        for rank in 0..RANKS {
            let body = Body::DecisionApplied {
                version: Version(1),
            };
            let message = Message {
                body,
                ..state_message(rank, FIRST_INCARNATION, FencingToken::default())
            };
            world.drive_controller(0, Instant(0), switch::Input::Message(message), bounds);
        }
        world.to_ranks = 0;
        world.to_controllers = 0;
        let placement = switch::Input::NewPlacement {
            layers: Vec::new(),
            loading_ranks: 1,
        };
        world.drive_controller(0, Instant(0), placement, bounds);
        assert_eq!(world.proposed[0].len() + world.log.len(), 1);
        world
    }

    /// Passes an input to a gate and executes its outputs immediately; messages go to the network.
    /// Returns whether there were outputs.
    fn drive_gate(&mut self, rank: usize, input: gate::Input, bounds: &Bounds) -> bool {
        let mut has_output = false;
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            Rc::make_mut(&mut self.gates[rank]).handle(Instant(0), input, &mut out);
            has_output |= !out.is_empty();
            for output in out {
                match output {
                    gate::Output::Grant {
                        version,
                        first_step,
                        last_step,
                        ..
                    } => {
                        let is_next = first_step.0 == self.grants[rank].len() as u64 + 1;
                        let is_loaded = self.engines[rank].loaded_maps.contains(&version);
                        self.invalid_grant |= !is_next || !is_loaded;
                        for _ in first_step.0..=last_step.0 {
                            self.grants[rank].push(version);
                        }
                        self.engines[rank].granted_step = last_step;
                    }
                    gate::Output::LoadMap { map, .. } => {
                        self.engines[rank].loaded_maps.insert(map.version);
                        inputs.push(gate::Input::MapLoaded(map.version));
                    }
                    gate::Output::Send(mut message) => {
                        // Controllers ignore the fencing token, so it would only multiply the states.
                        message.fence = FencingToken::default();
                        // With a single switch, no event depends on its acknowledgement. As every
                        // message may be delivered again, joins without a restart are not needed.
                        let is_first = message.incarnation == FIRST_INCARNATION;
                        match message.body {
                            Body::DecisionApplied { .. } => continue,
                            Body::Join { .. } if is_first => continue,
                            _ => {}
                        }
                        if let Body::Prepared { horizon, .. } = &mut message.body
                            && bounds.disabled == Disabled::Horizon
                        {
                            *horizon = Step(self.completed[rank]);
                        }
                        self.to_controllers |= message_bit(message);
                    }
                    _ => {}
                }
            }
        }
        has_output
    }

    fn drive_controller(
        &mut self,
        controller: usize,
        now: Instant,
        input: switch::Input,
        bounds: &Bounds,
    ) -> bool {
        let mut out = Vec::new();
        Rc::make_mut(&mut self.controllers[controller]).handle(now, input, &mut out);
        let has_output = !out.is_empty();
        for output in out {
            match output {
                switch::Output::AppendToLog(decision) if bounds.disabled == Disabled::LogCommit => {
                    self.log.push(decision.clone());
                    self.drive_controller(
                        controller,
                        now,
                        switch::Input::LogCommitted(decision),
                        bounds,
                    );
                }
                switch::Output::AppendToLog(mut decision) => {
                    if let Decision::Commit { first_step, .. } = &mut decision
                        && bounds.disabled == Disabled::StepAfterHorizon
                    {
                        *first_step = *first_step - Step(1);
                    }
                    self.proposed[controller].push(decision);
                }
                switch::Output::Send(message) => {
                    self.to_ranks |= message_bit(message);
                }
                switch::Output::Event(_) => {}
            }
        }
        has_output
    }

    /// Every state that may follow this one.
    fn successors(&self, bounds: &Bounds) -> Vec<Self> {
        let mut next = Vec::new();
        for (rank, gate) in self.gates.iter().enumerate() {
            let receiver = digest(gate);
            for (number, message) in
                deliverable_messages(self.to_ranks, receiver, Some(Rank(rank as u64)))
            {
                let mut world = self.clone();
                let has_output = world.drive_gate(rank, gate::Input::Message(message), bounds);
                match !has_output && world.gates[rank] == *gate {
                    true => record_no_effect(receiver, number),
                    false => next.push(world),
                }
            }
        }
        for controller in self.leaders() {
            let receiver = digest(&(controller, &self.controllers[controller]));
            for (number, message) in deliverable_messages(self.to_controllers, receiver, None) {
                // Other messages make the deposed leader propose decisions that the log rejects.
                let is_join = matches!(message.body, Body::Join { .. });
                let is_deposed = controller == 0 && self.deposed_at.is_some();
                if is_deposed && !is_join && bounds.disabled != Disabled::LogCommit {
                    continue;
                }
                let mut world = self.clone();
                let input = switch::Input::Message(message);
                let has_output = world.drive_controller(controller, Instant(0), input, bounds);
                match !has_output && world.controllers[controller] == self.controllers[controller] {
                    true => record_no_effect(receiver, number),
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
        for controller in self.leaders() {
            // The deposed leader does not receive later decisions.
            let end = match controller {
                0 => self.deposed_at.unwrap_or(self.log.len()),
                _ => self.log.len(),
            };
            if bounds.disabled != Disabled::LogCommit && self.applied[controller] < end {
                let mut world = self.clone();
                let decision = self.log[self.applied[controller]].clone();
                world.applied[controller] += 1;
                world.drive_controller(
                    controller,
                    Instant(0),
                    switch::Input::LogCommitted(decision),
                    bounds,
                );
                next.push(world);
            }
            let may_time_out = controller == leader || bounds.disabled == Disabled::LogCommit;
            if may_time_out
                && self.controllers[controller]
                    .state()
                    .undecided_map()
                    .is_some()
            {
                let mut world = self.clone();
                world.drive_controller(
                    controller,
                    AFTER_ALL_DEADLINES,
                    switch::Input::Tick,
                    bounds,
                );
                next.push(world);
            }
        }
        if bounds.leader_change && self.deposed_at.is_none() {
            let mut world = self.clone();
            let mut state = initial_state();
            for decision in &self.log {
                // Without log commits, the new leader finds only the proposal of the switch.
                if bounds.disabled != Disabled::LogCommit
                    || matches!(decision, Decision::Propose { .. })
                {
                    state.apply(decision);
                }
            }
            world.deposed_at = Some(self.log.len());
            world.proposed[0].clear();
            world.applied[1] = self.log.len();
            let leadership = switch::Input::LeadershipGained {
                term: Term(2),
                state,
            };
            world.drive_controller(1, Instant(0), leadership, bounds);
            next.push(world);
        }
    }

    fn engine_successors(&self, bounds: &Bounds, next: &mut Vec<Self>) {
        let slowest = self.completed.iter().copied().min().unwrap_or(0);
        for rank in 0..self.gates.len() {
            let completed = self.completed[rank];
            let waits_for_others = bounds.lock_step && completed > slowest;
            if waits_for_others
                || completed >= bounds.steps
                || completed >= self.grants[rank].len() as u64
            {
                continue;
            }
            let mut world = self.clone();
            world.completed[rank] += 1;
            world.drive_gate(
                rank,
                gate::Input::StepsCompleted(Step(completed + 1)),
                bounds,
            );
            next.push(world);
        }
        if bounds.agent_restart && !self.restarted {
            let mut world = self.clone();
            world.restarted = true;
            let incarnation = FIRST_INCARNATION.next();
            world.gates[0] = Gate::new(
                "draft".parse().unwrap(),
                Rank(0),
                incarnation,
                gate_options(),
            )
            .into();
            let engine = self.engines[0].clone();
            world.drive_gate(0, gate::Input::EngineState(engine), bounds);
            if bounds.disabled == Disabled::RestartJoin {
                let state = state_message(0, incarnation, FencingToken::default());
                world.drive_gate(0, gate::Input::Message(state), bounds);
            }
            world.drive_gate(
                0,
                gate::Input::StepsCompleted(Step(self.completed[0])),
                bounds,
            );
            next.push(world);
        }
    }

    /// Whether two ranks ran a step with different maps, or a grant was invalid.
    fn has_mixed_maps(&self) -> bool {
        if self.invalid_grant {
            return true;
        }
        let mut versions = BTreeMap::new();
        for (grants, completed) in self.grants.iter().zip(&self.completed) {
            for (step, version) in grants.iter().take(*completed as usize).enumerate() {
                if versions
                    .insert(step, *version)
                    .is_some_and(|v| v != *version)
                {
                    return true;
                }
            }
        }
        false
    }

    /// Whether every rank has run a step with the second map.
    fn is_switched(&self) -> bool {
        let uses_second_map = |(grants, completed): (&Vec<Version>, &u64)| {
            grants[..*completed as usize].last() == Some(&Version(2))
        };
        self.grants.iter().zip(&self.completed).all(uses_second_map)
    }
}

/// The outcome of an exploration.
#[derive(Debug, Default)]
struct Outcome {
    states: usize,
    has_mixed_maps: bool,
    /// Number of states in which every rank has switched.
    switched_states: usize,
}

/// Visits every reachable state, or stops at the first step with two maps.
fn explore(bounds: Bounds) -> Outcome {
    let mut outcome = Outcome::default();
    let mut visited = HashSet::new();
    let mut stack = vec![World::new(&bounds)];
    while let Some(world) = stack.pop() {
        if !visited.insert(digest(&world)) {
            continue;
        }
        outcome.states += 1;
        outcome.switched_states += usize::from(world.is_switched());
        if world.has_mixed_maps() {
            outcome.has_mixed_maps = true;
            return outcome;
        }
        // All steps have run, so no further violation is possible.
        if world
            .completed
            .iter()
            .all(|completed| *completed >= bounds.steps)
        {
            continue;
        }
        stack.extend(world.successors(&bounds));
    }
    outcome
}

const SMALL: Bounds = Bounds {
    disabled: Disabled::Nothing,
    agent_restart: false,
    leader_change: false,
    lock_step: true,
    steps: 3,
};

#[test_case(SMALL; "one leader")]
#[test_case(Bounds { leader_change: true, steps: 2, ..SMALL }; "one leader change")]
#[test_case(Bounds { agent_restart: true, steps: 2, ..SMALL }; "one agent restart")]
fn no_order_of_events_mixes_maps(bounds: Bounds) {
    let outcome = explore(bounds);
    println!("{bounds:?}: {outcome:?}");
    assert!(!outcome.has_mixed_maps);
    assert!(
        outcome.switched_states > 0,
        "no order of events completes the switch"
    );
}

#[test_case(Bounds { disabled: Disabled::Horizon, ..SMALL }; "horizon")]
#[test_case(Bounds { disabled: Disabled::StepAfterHorizon, ..SMALL }; "beyond")]
#[test_case(Bounds { disabled: Disabled::RestartJoin, agent_restart: true, ..SMALL }; "restart")]
#[test_case(Bounds { disabled: Disabled::LogCommit, leader_change: true, ..SMALL }; "log")]
fn maps_mix_without_a_mechanism(bounds: Bounds) {
    let disabled = bounds.disabled;
    let outcome = explore(bounds);
    println!("without {disabled:?}: {outcome:?}");
    assert!(
        outcome.has_mixed_maps,
        "the exploration finds no mixed maps without {disabled:?}"
    );
}
