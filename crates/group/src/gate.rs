//! The gate of one rank: it grants steps to the rank's engine.
//!
//! A gate runs in the agent beside the rank's engine. It grants only a few steps ahead, so that an
//! engine whose agent has died stalls soon. In the response to a prepare message, the gate promises a
//! horizon and grants no step beyond it until it receives the decision. So a step may be late, but it
//! never uses another map than the rest of the group. A restarted gate does not know the promise of its
//! previous incarnation. Therefore it grants no step until it has received the state of the group from
//! control, and none beyond the steps already granted while a switch is undecided.

use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Generation, Group, Incarnation, Rank, Step, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::ByteRate;
use eelgrassdyke_core::wire::fence::FencingToken;
use eelgrassdyke_core::wire::group::{
    ActiveMap, Body, EngineState, ExpertMap, GroupState, LoadReport, Message, PendingSwitch,
};

/// Options of a gate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Maximum number of steps granted ahead of the last completed one.
    pub max_steps_ahead: u64,
    /// Number of steps between the last granted one and the promised horizon.
    pub horizon_steps: u64,
    /// Interval at which the rank requests the state of the group while it is stalled.
    pub join_interval: Duration,
    /// Duration of a stall after which the rank is not ready.
    pub stall_limit: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_steps_ahead: 8,
            horizon_steps: 32,
            join_interval: Duration::from_millis(100),
            stall_limit: Duration::from_millis(500),
        }
    }
}

/// An input of a gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// State of the engine; must be the first input.
    EngineState(EngineState),
    /// The engine has completed all steps up to this one.
    StepsCompleted(Step),
    /// The engine has loaded the weights of this version.
    MapLoaded(Version),
    /// The engine can't load the weights of this version.
    LoadFailed {
        /// The version.
        version: Version,
        /// The error.
        detail: String,
    },
    /// Recent expert loads and step times of the engine, for the planner.
    LoadReport(LoadReport),
    /// A message from control.
    Message(Message),
    /// The deadline of [`Gate::next_deadline`] has passed.
    Tick,
}

/// An output of a gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Allow the engine to run a range of steps with one map.
    Grant {
        /// The generation of the group.
        generation: Generation,
        /// Version of the map.
        version: Version,
        /// First step of the range.
        first_step: Step,
        /// Last step of the range.
        last_step: Step,
    },
    /// Load the weights of a map into the engine and keep those already loaded.
    LoadMap {
        /// The generation of the group.
        generation: Generation,
        /// The map.
        map: ExpertMap,
        /// Rate limit for loads from the weight store, in bytes per second.
        rate: ByteRate,
    },
    /// Unload the weights that the map of this version does not need.
    UnloadExcept(Version),
    /// Send a message to control.
    Send(Message),
    /// Whether the rank is ready for new requests.
    Ready(bool),
    /// Record an event.
    Event(Event),
}

/// The switch in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct NextMap {
    map: ExpertMap,
    rate: ByteRate,
    promise: Option<Promise>,
    /// First step that uses the map, once committed.
    first_step: Option<Step>,
    /// Whether the engine is loading its weights.
    is_loading: bool,
}

/// The promise given in the response to a prepare message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Promise {
    /// The horizon sent to control.
    horizon: Step,
    /// Last step that the gate itself grants before the decision. It is lower than the horizon if the
    /// engine may have received a later grant from a previous incarnation.
    grant_limit: Step,
}

/// The gate of one rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Gate {
    options: Options,
    group: Group,
    rank: Rank,
    incarnation: Incarnation,
    fence: FencingToken,
    generation: Generation,
    engine: Option<EngineState>,
    /// Whether the gate has received the state of the group.
    joined: bool,
    /// Whether the gate has missed a decision and needs the state of the group.
    missed_decision: bool,
    active: Option<ActiveMap>,
    next: Option<NextMap>,
    decided_version: Version,
    completed_step: Step,
    granted_step: Step,
    /// Last step that the previous incarnation may have granted.
    max_previous_grant: Step,
    stalled_since: Option<Instant>,
    ready: bool,
    next_join: Instant,
}

impl Gate {
    /// Creates a gate that does not know the state of its engine yet.
    pub fn new(group: Group, rank: Rank, incarnation: Incarnation, options: Options) -> Self {
        Self {
            options,
            group,
            rank,
            incarnation,
            fence: FencingToken::default(),
            generation: Generation(0),
            engine: None,
            joined: false,
            missed_decision: false,
            active: None,
            next: None,
            decided_version: Version(0),
            completed_step: Step(0),
            granted_step: Step(0),
            max_previous_grant: Step(0),
            stalled_since: None,
            ready: false,
            next_join: Instant(0),
        }
    }

    /// Processes an input at `now` and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::EngineState(engine) => self.handle_engine_state(now, engine),
            Input::StepsCompleted(step) => self.handle_steps_completed(step, out),
            Input::MapLoaded(version) => self.handle_map_loaded(version, out),
            Input::LoadFailed { version, detail } => {
                self.handle_load_failure(version, detail, out);
            }
            Input::LoadReport(report) => self.send(Body::LoadReport(report), out),
            Input::Message(message) => self.handle_message(message, out),
            Input::Tick => {}
        }
        self.grant_steps(out);
        self.update_stall(now, out);
        self.send_join_if_due(now, out);
    }

    /// Time at which the gate next needs [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        match self.stalled_since {
            None if self.needs_state() => self.next_join,
            None => Instant::NEVER,
            Some(since) if self.ready => self.next_join.min(since + self.options.stall_limit),
            Some(_) => self.next_join,
        }
    }

    /// The latest known generation of the group.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Version of the active map of the rank.
    pub fn active_version(&self) -> Option<Version> {
        self.active.as_ref().map(|active| active.map.version)
    }

    /// The last granted step.
    pub fn granted_step(&self) -> Step {
        self.granted_step
    }

    /// Whether the rank has completed all granted steps or has not joined yet.
    pub fn is_stalled(&self) -> bool {
        self.stalled_since.is_some()
    }

    fn handle_engine_state(&mut self, now: Instant, engine: EngineState) {
        self.granted_step = engine.granted_step;
        // A grant of the previous incarnation may still be on the way to the engine.
        self.max_previous_grant = match engine.loaded_maps.is_empty() {
            true => engine.granted_step,
            false => engine.granted_step + Step(self.options.max_steps_ahead),
        };
        self.engine = Some(engine);
        self.next_join = now;
    }

    fn handle_steps_completed(&mut self, step: Step, out: &mut Vec<Output>) {
        self.completed_step = self.completed_step.max(step.min(self.granted_step));
        let Some(first_step) = self.next.as_ref().and_then(|next| next.first_step) else {
            return;
        };
        if self.completed_step >= first_step {
            self.activate_next(first_step, out);
        }
    }

    /// Makes the committed map the active one.
    fn activate_next(&mut self, first_step: Step, out: &mut Vec<Output>) {
        let Some(next) = self.next.take() else {
            return;
        };
        let version = next.map.version;
        self.active = Some(ActiveMap {
            map: next.map,
            first_step,
        });
        self.unload_except(version, out);
        self.acknowledge(version, out);
        self.emit_event(
            Code::MapInForce,
            format!("version {version} from step {first_step}"),
            out,
        );
    }

    /// Unloads the weights that the map of this version does not need.
    fn unload_except(&mut self, version: Version, out: &mut Vec<Output>) {
        if let Some(engine) = &mut self.engine {
            engine.loaded_maps.retain(|loaded| *loaded == version);
        }
        out.push(Output::UnloadExcept(version));
    }

    fn handle_map_loaded(&mut self, version: Version, out: &mut Vec<Output>) {
        let Some(next) = self.next.as_mut().filter(|n| n.map.version == version) else {
            return;
        };
        next.is_loading = false;
        if let Some(engine) = &mut self.engine {
            engine.loaded_maps.insert(version);
        }
        self.send_prepared(version, out);
    }

    /// Responds to a prepare message once the weights are loaded; repeats the same promise each time.
    fn send_prepared(&mut self, version: Version, out: &mut Vec<Output>) {
        let is_first_map = self.active.is_none();
        let is_loaded = self.has_loaded(version);
        let Some(next) = &mut self.next else {
            return;
        };
        if !is_loaded || next.map.version != version || next.first_step.is_some() {
            return;
        }
        let horizon_steps = match is_first_map {
            true => 0,
            false => self.options.horizon_steps,
        };
        let grant_limit = self.granted_step + Step(horizon_steps);
        let horizon = grant_limit.max(self.max_previous_grant);
        let promise = *next.promise.get_or_insert(Promise {
            horizon,
            grant_limit,
        });
        let horizon = promise.horizon;
        self.send(Body::Prepared { version, horizon }, out);
    }

    fn handle_load_failure(&mut self, version: Version, detail: String, out: &mut Vec<Output>) {
        let Some(next) = self.next.as_mut().filter(|n| n.map.version == version) else {
            return;
        };
        next.is_loading = false;
        match next.first_step {
            // The switch is committed and can't be aborted, so the load is retried.
            Some(_) => self.load_next_map(out),
            None => self.send(Body::Failed { version, detail }, out),
        }
    }

    fn handle_message(&mut self, message: Message, out: &mut Vec<Output>) {
        let is_addressee = message.group == self.group
            && message.rank == self.rank
            && message.incarnation == self.incarnation
            && message.generation >= self.generation;
        if !is_addressee || message.fence < self.fence {
            return;
        }
        match message.body {
            Body::State(state) if self.engine.is_some() => {
                self.fence = message.fence;
                self.enter_generation(message.generation);
                self.handle_state(state, out);
            }
            Body::Prepare { map, rate } if self.joined => {
                self.fence = message.fence;
                self.enter_generation(message.generation);
                self.handle_prepare(map, rate, out);
            }
            Body::Commit {
                version,
                first_step,
            } if self.joined => {
                self.fence = message.fence;
                self.enter_generation(message.generation);
                self.handle_commit(version, first_step, out);
            }
            Body::Abort { version } if self.joined => {
                self.fence = message.fence;
                self.enter_generation(message.generation);
                self.handle_abort(version, out);
            }
            _ => {}
        }
    }

    /// Enters a newer generation and discards the maps of the previous one.
    fn enter_generation(&mut self, generation: Generation) {
        if generation <= self.generation {
            return;
        }
        self.generation = generation;
        self.active = None;
        self.next = None;
    }

    fn handle_prepare(&mut self, map: ExpertMap, rate: ByteRate, out: &mut Vec<Output>) {
        if map.version <= self.decided_version {
            return;
        }
        let version = map.version;
        match &self.next {
            None => self.start_preparing(map, rate, None, out),
            Some(next) if next.map.version == version => self.load_next_map(out),
            // The decision on the previous map was missed, or its first step is still ahead.
            Some(_) => {
                self.missed_decision = true;
                return;
            }
        }
        self.send_prepared(version, out);
    }

    /// Starts a switch and loads its weights; a `promise` applies immediately.
    fn start_preparing(
        &mut self,
        map: ExpertMap,
        rate: ByteRate,
        promise: Option<Promise>,
        out: &mut Vec<Output>,
    ) {
        self.next = Some(NextMap {
            map,
            rate,
            promise,
            first_step: None,
            is_loading: false,
        });
        self.load_next_map(out);
    }

    /// Loads the weights of the next map, unless they are loaded or being loaded.
    fn load_next_map(&mut self, out: &mut Vec<Output>) {
        let generation = self.generation;
        let loaded_maps = self.engine.as_ref().map(|engine| &engine.loaded_maps);
        let Some(next) = &mut self.next else {
            return;
        };
        if next.is_loading || loaded_maps.is_some_and(|maps| maps.contains(&next.map.version)) {
            return;
        }
        next.is_loading = true;
        out.push(Output::LoadMap {
            generation,
            map: next.map.clone(),
            rate: next.rate,
        });
    }

    fn has_loaded(&self, version: Version) -> bool {
        let engine = self.engine.as_ref();
        engine.is_some_and(|engine| engine.loaded_maps.contains(&version))
    }

    fn handle_commit(&mut self, version: Version, first_step: Step, out: &mut Vec<Output>) {
        let next = self.next.as_mut().filter(|n| n.map.version == version);
        if let Some(next) = next {
            next.first_step = Some(first_step);
            self.decided_version = self.decided_version.max(version);
            return;
        }
        match version > self.decided_version {
            // The gate does not have this map, so it requests the state of the group.
            true => self.missed_decision = true,
            false => self.acknowledge(version, out),
        }
    }

    fn handle_abort(&mut self, version: Version, out: &mut Vec<Output>) {
        let dropped = self
            .next
            .take_if(|next| next.map.version == version && next.first_step.is_none());
        if let (Some(_), Some(active)) = (dropped, self.active_version()) {
            self.unload_except(active, out);
        }
        self.acknowledge(version, out);
    }

    fn acknowledge(&mut self, version: Version, out: &mut Vec<Output>) {
        self.decided_version = self.decided_version.max(version);
        self.send(Body::DecisionApplied { version }, out);
    }

    fn handle_state(&mut self, state: GroupState, out: &mut Vec<Output>) {
        let is_first_state = !std::mem::replace(&mut self.joined, true);
        self.missed_decision = false;
        self.apply_missed_decision(&state, out);
        if is_first_state || self.active.is_none() {
            self.active = state.active;
        }
        self.decided_version = self.decided_version.max(state.decided_version);
        match state.pending {
            Some(pending) => self.adopt_pending(pending, state.rate, is_first_state, out),
            None => self.acknowledge(state.decided_version, out),
        }
    }

    /// Applies the decision on the undecided map if the state of the group contains it.
    fn apply_missed_decision(&mut self, state: &GroupState, out: &mut Vec<Output>) {
        let Some(next) = &mut self.next else {
            return;
        };
        if next.first_step.is_some() || next.map.version > state.decided_version {
            return;
        }
        let version = next.map.version;
        let pending = state.pending.iter().map(|p| (&p.map, p.first_step));
        let active = state.active.iter().map(|p| (&p.map, Some(p.first_step)));
        let committed = pending
            .chain(active)
            .find(|(map, _)| map.version == version);
        match committed {
            Some((_, first_step)) => next.first_step = first_step,
            None => self.handle_abort(version, out),
        }
    }

    /// Adopts the switch in progress from the state of the group.
    fn adopt_pending(
        &mut self,
        pending: PendingSwitch,
        rate: ByteRate,
        is_first_state: bool,
        out: &mut Vec<Output>,
    ) {
        if self.next.is_some() || self.active_version() == Some(pending.map.version) {
            return;
        }
        // The previous incarnation may have promised any horizon from the last granted step on.
        let promise = Promise {
            horizon: self.max_previous_grant.max(self.granted_step),
            grant_limit: self.granted_step,
        };
        let version = pending.map.version;
        let promise = is_first_state.then_some(promise);
        self.start_preparing(pending.map, rate, promise, out);
        match pending.first_step {
            Some(first_step) => self.handle_commit(version, first_step, out),
            None => self.send_prepared(version, out),
        }
    }

    /// Grants the allowed steps, up to [`Options::max_steps_ahead`] ahead of the engine.
    fn grant_steps(&mut self, out: &mut Vec<Output>) {
        if !self.joined {
            return;
        }
        let limit = self.completed_step.max(self.step_before_generation())
            + Step(self.options.max_steps_ahead);
        while let Some((version, first_step, last_allowed)) = self.grantable_steps() {
            let last_step = last_allowed.min(limit);
            if last_step < first_step || !self.has_loaded(version) {
                return;
            }
            self.granted_step = last_step;
            out.push(Output::Grant {
                generation: self.generation,
                version,
                first_step,
                last_step,
            });
        }
    }

    /// The step before the first step of the active map or, without one, of the committed map.
    fn step_before_generation(&self) -> Step {
        let first_step = self.active.as_ref().map(|active| active.first_step);
        let first_step = first_step.or(self.next.as_ref().and_then(|next| next.first_step));
        Step(first_step.unwrap_or_default().0.saturating_sub(1))
    }

    /// The next steps that may be granted with one map: version of the map, first and last step.
    fn grantable_steps(&self) -> Option<(Version, Step, Step)> {
        let next_step = self.granted_step.next();
        let committed = self
            .next
            .as_ref()
            .and_then(|next| Some((&next.map, next.first_step?)));
        if let Some((map, first_step)) = committed {
            let is_due = next_step >= first_step || self.active.is_none();
            if is_due {
                return Some((map.version, next_step.max(first_step), Step(u64::MAX)));
            }
        }
        let active = self.active.as_ref()?;
        let promise = self.next.as_ref().and_then(|next| next.promise);
        let last_step = match (committed, promise) {
            (Some((_, first_step)), _) => first_step - Step(1),
            (None, Some(promise)) => promise.grant_limit,
            (None, None) => Step(u64::MAX),
        };
        Some((
            active.map.version,
            next_step.max(active.first_step),
            last_step,
        ))
    }

    /// Detects the start and end of a stall, and updates the readiness of the rank.
    fn update_stall(&mut self, now: Instant, out: &mut Vec<Output>) {
        let is_stalled = !self.joined || self.completed_step >= self.granted_step;
        match (is_stalled, self.stalled_since) {
            (true, None) => {
                self.stalled_since = Some(now);
                self.next_join = now;
                if self.joined {
                    self.emit_event(
                        Code::SwitchStalled,
                        format!("stalled at step {}", self.granted_step),
                        out,
                    );
                }
            }
            (false, Some(since)) => {
                self.stalled_since = None;
                let stalled_ms = now.since(since).as_millis();
                self.emit_event(
                    Code::SwitchStalled,
                    format!("resumed after a stall of {stalled_ms} ms"),
                    out,
                );
            }
            _ => {}
        }
        let exceeds_limit = self
            .stalled_since
            .is_some_and(|since| now >= since + self.options.stall_limit);
        let ready = match self.stalled_since {
            None => true,
            Some(_) => self.ready && !exceeds_limit,
        };
        if ready == self.ready {
            return;
        }
        self.ready = ready;
        out.push(Output::Ready(ready));
        if exceeds_limit {
            let detail = format!(
                "stalled at step {} for longer than the limit; not ready",
                self.granted_step
            );
            self.emit_event(Code::SwitchStalled, detail, out);
        }
    }

    fn needs_state(&self) -> bool {
        self.stalled_since.is_some() || self.missed_decision || !self.joined
    }

    /// Requests the state of the group from control at intervals while it is needed.
    fn send_join_if_due(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Some(engine) = &self.engine else {
            return;
        };
        if !self.needs_state() || now < self.next_join {
            return;
        }
        self.next_join = now + self.options.join_interval;
        let engine = EngineState {
            granted_step: self.granted_step,
            ..engine.clone()
        };
        self.send(Body::Join { engine }, out);
    }

    fn send(&self, body: Body, out: &mut Vec<Output>) {
        out.push(Output::Send(Message {
            group: self.group.clone(),
            generation: self.generation,
            rank: self.rank,
            incarnation: self.incarnation,
            fence: self.fence,
            body,
        }));
    }

    fn emit_event(&self, code: Code, detail: String, out: &mut Vec<Output>) {
        let detail = format!("rank {}: {detail}", self.rank);
        out.push(Output::Event(Event::new(code, detail).group(&self.group)));
    }
}
