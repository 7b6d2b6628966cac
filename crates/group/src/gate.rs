//! The gate of one rank: it grants the rank's engine its steps.
//!
//! A gate runs in the agent beside the rank's engine. It grants steps in short runs, so that an
//! engine whose agent died soon stalls too. When it answers a prepare it promises a horizon and
//! grants nothing beyond it until it hears the decision: a late step, never one on another map than
//! the rest of the group uses. A gate that has just started remembers no promise of the life before
//! it, so it grants nothing until control has told it the state of the group, and while a switch is
//! undecided it grants nothing more at all.

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
    /// Steps granted ahead of the engine at most.
    pub run: u64,
    /// Steps between the last granted one and the promised horizon.
    pub lead: u64,
    /// Time between two questions to control while the rank may not go on.
    pub ask_interval: Duration,
    /// Longest stall before the rank counts as not ready.
    pub stall_limit: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            run: 8,
            lead: 32,
            ask_interval: Duration::from_millis(100),
            stall_limit: Duration::from_millis(500),
        }
    }
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// What the engine holds; the first input of a gate's life.
    Engine(EngineState),
    /// The engine has run all steps up to this one.
    Ran(Step),
    /// The engine holds the weights of this version.
    Loaded(Version),
    /// The engine can't load the weights of this version.
    LoadFailed {
        /// The version.
        version: Version,
        /// What happened.
        detail: String,
    },
    /// What the engine saw lately, for the planner.
    Seen(LoadReport),
    /// A message came from control.
    Mail(Message),
    /// Nothing but time passed.
    Tick,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Let the engine run these steps, both included, under one map.
    Grant {
        /// The life of the group.
        generation: Generation,
        /// Version of the map.
        version: Version,
        /// First step.
        from: Step,
        /// Last step.
        until: Step,
    },
    /// Have the engine load the weights of a map beside those that it holds.
    Load {
        /// The life of the group.
        generation: Generation,
        /// The map.
        map: ExpertMap,
        /// Bytes a second that may be drawn from the weight store.
        rate: ByteRate,
    },
    /// Have the engine drop the weights that this version does not need.
    Keep(Version),
    /// Send to control.
    Send(Message),
    /// Whether the rank should get new requests.
    Ready(bool),
    /// Note an event.
    Event(Event),
}

/// The switch that the gate knows of beside the map in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Next {
    map: ExpertMap,
    rate: ByteRate,
    /// No step beyond this one without the decision.
    promise: Option<Promise>,
    /// First step under the map, once committed.
    at: Option<Step>,
    /// Whether the engine is at work on its weights.
    loading: bool,
}

/// What the gate promised: the horizon told to control, and its own bound below it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Promise {
    horizon: Step,
    bound: Step,
}

/// The gate of one rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Gate {
    options: Options,
    group: Group,
    rank: Rank,
    life: Incarnation,
    fence: FencingToken,
    generation: Generation,
    engine: Option<EngineState>,
    joined: bool,
    behind: bool,
    present: Option<ActiveMap>,
    next: Option<Next>,
    decided: Version,
    ran: Step,
    granted: Step,
    reach: Step,
    stalled: Option<Instant>,
    ready: bool,
    next_ask: Instant,
}

impl Gate {
    /// A gate that has read nothing from its engine yet.
    pub fn new(group: Group, rank: Rank, life: Incarnation, options: Options) -> Self {
        Self {
            options,
            group,
            rank,
            life,
            fence: FencingToken::default(),
            generation: Generation(0),
            engine: None,
            joined: false,
            behind: false,
            present: None,
            next: None,
            decided: Version(0),
            ran: Step(0),
            granted: Step(0),
            reach: Step(0),
            stalled: None,
            ready: false,
            next_ask: Instant(0),
        }
    }

    /// Takes in what happened at `now` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Engine(engine) => self.take_engine(now, engine),
            Input::Ran(step) => self.take_ran(step, out),
            Input::Loaded(version) => self.take_loaded(version, out),
            Input::LoadFailed { version, detail } => self.take_failure(version, detail, out),
            Input::Seen(seen) => self.send(Body::LoadReport(seen), out),
            Input::Mail(message) => self.take_mail(message, out),
            Input::Tick => {}
        }
        self.grant(out);
        self.watch_stall(now, out);
        self.ask(now, out);
    }

    /// When the gate next needs [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        match self.stalled {
            None if self.is_waiting() => self.next_ask,
            None => Instant::NEVER,
            Some(since) if self.ready => self.next_ask.min(since + self.options.stall_limit),
            Some(_) => self.next_ask,
        }
    }

    /// The life of the group that the gate knows.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Version of the map in force at the rank.
    pub fn version(&self) -> Option<Version> {
        self.present.as_ref().map(|placed| placed.map.version)
    }

    /// The last step granted.
    pub fn granted(&self) -> Step {
        self.granted
    }

    /// Whether the rank waits for control.
    pub fn is_stalled(&self) -> bool {
        self.stalled.is_some()
    }

    fn take_engine(&mut self, now: Instant, engine: EngineState) {
        self.granted = engine.granted_step;
        // A grant that the life before this one sent may still be on its way to the engine.
        self.reach = match engine.loaded_maps.is_empty() {
            true => engine.granted_step,
            false => engine.granted_step + Step(self.options.run),
        };
        self.engine = Some(engine);
        self.next_ask = now;
    }

    fn take_ran(&mut self, step: Step, out: &mut Vec<Output>) {
        self.ran = self.ran.max(step.min(self.granted));
        let Some(at) = self.next.as_ref().and_then(|next| next.at) else {
            return;
        };
        if self.ran >= at {
            self.advance(at, out);
        }
    }

    /// Takes the committed map as the one in force.
    fn advance(&mut self, from: Step, out: &mut Vec<Output>) {
        let Some(next) = self.next.take() else {
            return;
        };
        let version = next.map.version;
        let placed = ActiveMap {
            map: next.map,
            first_step: from,
        };
        self.present = Some(placed);
        self.keep(version, out);
        self.acknowledge(version, out);
        self.note(
            Code::MapInForce,
            format!("version {version} from step {from}"),
            out,
        );
    }

    /// Has the engine drop what only other versions need.
    fn keep(&mut self, version: Version, out: &mut Vec<Output>) {
        if let Some(engine) = &mut self.engine {
            engine.loaded_maps.retain(|held| *held == version);
        }
        out.push(Output::Keep(version));
    }

    fn take_loaded(&mut self, version: Version, out: &mut Vec<Output>) {
        let Some(next) = self.next.as_mut().filter(|n| n.map.version == version) else {
            return;
        };
        next.loading = false;
        if let Some(engine) = &mut self.engine {
            engine.loaded_maps.insert(version);
        }
        self.promise(version, out);
    }

    /// Answers a prepare whose weights are loaded; the same answer each time.
    fn promise(&mut self, version: Version, out: &mut Vec<Output>) {
        let opening = self.present.is_none();
        let loaded = self.holds(version);
        let Some(next) = &mut self.next else {
            return;
        };
        if !loaded || next.map.version != version || next.at.is_some() {
            return;
        }
        let lead = match opening {
            true => 0,
            false => self.options.lead,
        };
        let bound = self.granted + Step(lead);
        let horizon = bound.max(self.reach);
        let promise = *next.promise.get_or_insert(Promise { horizon, bound });
        let horizon = promise.horizon;
        self.send(Body::Prepared { version, horizon }, out);
    }

    fn take_failure(&mut self, version: Version, detail: String, out: &mut Vec<Output>) {
        let Some(next) = self.next.as_mut().filter(|n| n.map.version == version) else {
            return;
        };
        next.loading = false;
        match next.at {
            // The decision stands, so the rank can only try again.
            Some(_) => self.load(out),
            None => self.send(Body::Failed { version, detail }, out),
        }
    }

    fn take_mail(&mut self, message: Message, out: &mut Vec<Output>) {
        let meant = message.group == self.group
            && message.rank == self.rank
            && message.incarnation == self.life
            && message.generation >= self.generation;
        if !meant || message.fence < self.fence {
            return;
        }
        match message.body {
            Body::State(state) if self.engine.is_some() => {
                self.fence = message.fence;
                self.enter(message.generation);
                self.take_state(state, out);
            }
            Body::Prepare { map, rate } if self.joined => {
                self.fence = message.fence;
                self.enter(message.generation);
                self.prepare(map, rate, out);
            }
            Body::Commit {
                version,
                first_step,
            } if self.joined => {
                self.fence = message.fence;
                self.enter(message.generation);
                self.commit(version, first_step, out);
            }
            Body::Abort { version } if self.joined => {
                self.fence = message.fence;
                self.enter(message.generation);
                self.abort(version, out);
            }
            _ => {}
        }
    }

    /// Leaves the older life of the group: its map holds no longer.
    fn enter(&mut self, generation: Generation) {
        if generation <= self.generation {
            return;
        }
        self.generation = generation;
        self.present = None;
        self.next = None;
    }

    fn prepare(&mut self, map: ExpertMap, rate: ByteRate, out: &mut Vec<Output>) {
        if map.version <= self.decided {
            return;
        }
        let version = map.version;
        match &self.next {
            None => self.begin(map, rate, None, out),
            Some(next) if next.map.version == version => self.load(out),
            // The decision on the earlier map was missed, or its first step is still to come.
            Some(_) => {
                self.behind = true;
                return;
            }
        }
        self.promise(version, out);
    }

    /// Notes a switch and loads its weights; `promise` binds at once.
    fn begin(
        &mut self,
        map: ExpertMap,
        rate: ByteRate,
        promise: Option<Promise>,
        out: &mut Vec<Output>,
    ) {
        self.next = Some(Next {
            map,
            rate,
            promise,
            at: None,
            loading: false,
        });
        self.load(out);
    }

    /// Has the engine load the next map's weights, unless it holds them.
    fn load(&mut self, out: &mut Vec<Output>) {
        let generation = self.generation;
        let held = self.engine.as_ref().map(|engine| &engine.loaded_maps);
        let Some(next) = &mut self.next else {
            return;
        };
        if next.loading || held.is_some_and(|held| held.contains(&next.map.version)) {
            return;
        }
        next.loading = true;
        out.push(Output::Load {
            generation,
            map: next.map.clone(),
            rate: next.rate,
        });
    }

    fn holds(&self, version: Version) -> bool {
        let engine = self.engine.as_ref();
        engine.is_some_and(|engine| engine.loaded_maps.contains(&version))
    }

    fn commit(&mut self, version: Version, at: Step, out: &mut Vec<Output>) {
        let known = self.next.as_mut().filter(|n| n.map.version == version);
        if let Some(next) = known {
            next.at = Some(at);
            self.decided = self.decided.max(version);
            return;
        }
        match version > self.decided {
            // The gate never saw this map: it asks for the whole state.
            true => self.behind = true,
            false => self.acknowledge(version, out),
        }
    }

    fn abort(&mut self, version: Version, out: &mut Vec<Output>) {
        let dropped = self
            .next
            .take_if(|next| next.map.version == version && next.at.is_none());
        if let (Some(_), Some(present)) = (dropped, self.version()) {
            self.keep(present, out);
        }
        self.acknowledge(version, out);
    }

    fn acknowledge(&mut self, version: Version, out: &mut Vec<Output>) {
        self.decided = self.decided.max(version);
        self.send(Body::DecisionApplied { version }, out);
    }

    fn take_state(&mut self, state: GroupState, out: &mut Vec<Output>) {
        let first = !std::mem::replace(&mut self.joined, true);
        self.behind = false;
        self.settle(&state, out);
        if first || self.present.is_none() {
            self.present = state.active;
        }
        self.decided = self.decided.max(state.decided_version);
        match state.pending {
            Some(pending) => self.take_pending(pending, state.rate, first, out),
            None => self.acknowledge(state.decided_version, out),
        }
    }

    /// Takes the outcome of the switch that this gate waits for, if the state tells it.
    fn settle(&mut self, state: &GroupState, out: &mut Vec<Output>) {
        let Some(next) = &mut self.next else {
            return;
        };
        if next.at.is_some() || next.map.version > state.decided_version {
            return;
        }
        let version = next.map.version;
        let pending = state.pending.iter().map(|p| (&p.map, p.first_step));
        let present = state.active.iter().map(|p| (&p.map, Some(p.first_step)));
        let committed = pending
            .chain(present)
            .find(|(map, _)| map.version == version);
        match committed {
            Some((_, at)) => next.at = at,
            None => self.abort(version, out),
        }
    }

    fn take_pending(
        &mut self,
        pending: PendingSwitch,
        rate: ByteRate,
        first: bool,
        out: &mut Vec<Output>,
    ) {
        if self.next.is_some() || self.version() == Some(pending.map.version) {
            return;
        }
        // A promise of the life before this one may bind the rank to any step from here on.
        let bound = Promise {
            horizon: self.reach.max(self.granted),
            bound: self.granted,
        };
        let version = pending.map.version;
        self.begin(pending.map, rate, first.then_some(bound), out);
        match pending.first_step {
            Some(at) => self.commit(version, at, out),
            None => self.promise(version, out),
        }
    }

    /// Grants what is allowed, a short run ahead of the engine.
    fn grant(&mut self, out: &mut Vec<Output>) {
        if !self.joined {
            return;
        }
        let ahead = self.ran.max(self.start()) + Step(self.options.run);
        while let Some((version, from, last)) = self.allowed() {
            let until = last.min(ahead);
            if until < from || !self.holds(version) {
                return;
            }
            self.granted = until;
            out.push(Output::Grant {
                generation: self.generation,
                version,
                from,
                until,
            });
        }
    }

    /// The step before the first one of this generation.
    fn start(&self) -> Step {
        let first = self.present.as_ref().map(|placed| placed.first_step);
        let first = first.or(self.next.as_ref().and_then(|next| next.at));
        Step(first.unwrap_or_default().0.saturating_sub(1))
    }

    /// The next step that may be granted, under which version, and the last such step.
    fn allowed(&self) -> Option<(Version, Step, Step)> {
        let begun = self.granted.next();
        let committed = self.next.as_ref().and_then(|n| Some((&n.map, n.at?)));
        if let Some((map, at)) = committed {
            let is_due = begun >= at || self.present.is_none();
            if is_due {
                return Some((map.version, begun.max(at), Step(u64::MAX)));
            }
        }
        let placed = self.present.as_ref()?;
        let promise = self.next.as_ref().and_then(|next| next.promise);
        let last = match (committed, promise) {
            (Some((_, at)), _) => at - Step(1),
            (None, Some(promise)) => promise.bound,
            (None, None) => Step(u64::MAX),
        };
        Some((placed.map.version, begun.max(placed.first_step), last))
    }

    /// Notes when the rank has run all it may and waits for control, and when that ends.
    fn watch_stall(&mut self, now: Instant, out: &mut Vec<Output>) {
        let waits = !self.joined || self.ran >= self.granted;
        match (waits, self.stalled) {
            (true, None) => {
                self.stalled = Some(now);
                self.next_ask = now;
                if self.joined {
                    self.note(
                        Code::SwitchStalled,
                        format!("waits at step {}", self.granted),
                        out,
                    );
                }
            }
            (false, Some(since)) => {
                self.stalled = None;
                let waited = now.since(since).as_millis();
                self.note(
                    Code::SwitchStalled,
                    format!("went on after {waited} ms"),
                    out,
                );
            }
            _ => {}
        }
        let late = self
            .stalled
            .is_some_and(|since| now >= since + self.options.stall_limit);
        let ready = match self.stalled {
            None => true,
            Some(_) => self.ready && !late,
        };
        if ready == self.ready {
            return;
        }
        self.ready = ready;
        out.push(Output::Ready(ready));
        if late {
            let detail = format!("stalled at step {} beyond the limit", self.granted);
            self.note(Code::SwitchStalled, detail, out);
        }
    }

    fn is_waiting(&self) -> bool {
        self.stalled.is_some() || self.behind || !self.joined
    }

    /// Asks control for the state of the group while the rank may not go on.
    fn ask(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Some(engine) = &self.engine else {
            return;
        };
        if !self.is_waiting() || now < self.next_ask {
            return;
        }
        self.next_ask = now + self.options.ask_interval;
        let engine = EngineState {
            granted_step: self.granted,
            ..engine.clone()
        };
        self.send(Body::Join { engine }, out);
    }

    fn send(&self, body: Body, out: &mut Vec<Output>) {
        out.push(Output::Send(Message {
            group: self.group.clone(),
            generation: self.generation,
            rank: self.rank,
            incarnation: self.life,
            fence: self.fence,
            body,
        }));
    }

    fn note(&self, code: Code, detail: String, out: &mut Vec<Output>) {
        let detail = format!("rank {}: {detail}", self.rank);
        out.push(Output::Event(Event::new(code, detail).group(&self.group)));
    }
}
