//! The switch controller of one group: it brings all ranks from one map to the next.
//!
//! It runs where the replicated log's leader is. Each decision goes out as [`Output::Record`] and
//! counts only once it comes back as [`Input::Recorded`], so nothing is told to a rank that another
//! leader could still decide otherwise. A new leader finds the switch in progress in the
//! [`Standing`] and takes it over from there: it prepares again what has no decision, and tells again
//! what has one. The answers of ranks are kept in memory only, because ranks give the same answer
//! again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Group, Incarnation, Rank, Step, Term, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::ByteRate;
use eelgrassdyke_core::wire::fence::FencingToken;
use eelgrassdyke_core::wire::group::{Body, ExpertMap, ExpertPlacement, GroupState, Message};

use crate::standing::{Decision, Standing};

/// Steps left out between two generations, so that a lost rank's last step number is not used again.
const GENERATION_GAP_STEPS: u64 = 1;

/// Longest time between two sends of the same message.
const RESEND_INTERVAL_MAX: Duration = Duration::from_secs(2);

/// Options of a controller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Time until a message that has no answer is first sent again; it doubles from then on.
    pub resend_interval: Duration,
    /// Longest preparation before the switch is aborted.
    pub prepare_timeout: Duration,
    /// Bytes a second that the whole group may draw from the weight store.
    pub store_rate: ByteRate,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            resend_interval: Duration::from_millis(200),
            prepare_timeout: Duration::from_secs(60),
            store_rate: ByteRate(1 << 30),
        }
    }
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// This process leads the log and has applied a record of its own term.
    Lead {
        /// Its term.
        term: Term,
        /// The group's state as the log has it.
        standing: Standing,
    },
    /// This process leads no longer.
    Unlead,
    /// The log holds this decision, whoever made it; given in log order.
    Recorded(Decision),
    /// A message came from a rank.
    Mail(Message),
    /// The agent of a rank is gone, or another server takes the rank.
    Lost(Rank),
    /// Switch to this placement; starts a generation where one is due.
    Plan {
        /// The placement.
        layers: ExpertPlacement,
        /// Ranks that have weights to load for it.
        loading: u64,
    },
    /// Start a generation without a map, because no placement fits the ranks that are left.
    Down,
    /// Nothing but time passed.
    Tick,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Put a decision into the log.
    Record(Decision),
    /// Send to the agent of the rank named in it.
    Send(Message),
    /// Note an event.
    Event(Event),
}

/// What the ranks answered about the latest decision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Round {
    prepared: BTreeMap<Rank, Step>,
    acknowledged: BTreeSet<Rank>,
    deadline: Instant,
    next_send: Instant,
    wait: Duration,
}

/// The switch controller of one group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Controller {
    options: Options,
    group: Group,
    term: Option<Term>,
    standing: Standing,
    round: Round,
    recording: Option<Decision>,
    joining: BTreeMap<Rank, Incarnation>,
    loading: u64,
}

impl Controller {
    /// A controller that does not lead.
    pub fn new(group: Group, options: Options) -> Self {
        Self {
            options,
            group,
            term: None,
            standing: Standing::default(),
            round: Round::default(),
            recording: None,
            joining: BTreeMap::new(),
            loading: 0,
        }
    }

    /// Takes in what happened at `now` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Lead { term, standing } => self.lead(now, term, standing),
            Input::Unlead => self.term = None,
            Input::Recorded(decision) => self.take_record(now, &decision, out),
            Input::Mail(message) => self.take_mail(message, out),
            Input::Lost(rank) => self.lose(rank, out),
            Input::Plan { layers, loading } => self.plan(layers, loading, out),
            Input::Down => self.open(None, out),
            Input::Tick => {}
        }
        self.drive(now, out);
    }

    /// When the controller next needs [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        if self.term.is_none() || self.is_settled() {
            return Instant::NEVER;
        }
        match self.standing.undecided() {
            Some(_) if self.recording.is_none() => self.round.next_send.min(self.round.deadline),
            _ => self.round.next_send,
        }
    }

    /// The group's state as the log has it.
    pub fn standing(&self) -> &Standing {
        &self.standing
    }

    /// Whether this process leads.
    pub fn leads(&self) -> bool {
        self.term.is_some()
    }

    /// Whether every decision is in force at every rank, so that another switch may be proposed.
    pub fn is_settled(&self) -> bool {
        let standing = &self.standing;
        standing.undecided().is_none()
            && standing
                .members
                .iter()
                .all(|rank| self.round.acknowledged.contains(rank))
    }

    /// Whether a decision of this controller is on its way through the log.
    pub fn is_recording(&self) -> bool {
        self.recording.is_some()
    }

    fn lead(&mut self, now: Instant, term: Term, standing: Standing) {
        self.term = Some(term);
        self.standing = standing;
        self.recording = None;
        self.joining.clear();
        self.loading = self.standing.members.len() as u64;
        self.begin_round(now);
    }

    fn begin_round(&mut self, now: Instant) {
        self.round = Round {
            deadline: now + self.options.prepare_timeout,
            next_send: now,
            wait: self.options.resend_interval,
            ..Round::default()
        };
    }

    fn take_record(&mut self, now: Instant, decision: &Decision, out: &mut Vec<Output>) {
        if self.recording.as_ref() == Some(decision) {
            self.recording = None;
        }
        if !self.standing.apply(decision) {
            return;
        }
        match decision {
            Decision::Join { rank, life, .. } => {
                self.joining.remove(rank);
                self.round.prepared.remove(rank);
                self.tell_state(*rank, *life, out);
            }
            Decision::Leave { rank, .. } => {
                self.round.prepared.remove(rank);
            }
            Decision::Open { .. } => {
                self.begin_round(now);
                let generation = self.standing.generation;
                let ranks = self.standing.members.len();
                let detail = format!("generation {generation} with {ranks} ranks");
                self.note(Code::GenerationStarted, detail, out);
            }
            Decision::Propose { .. } => self.begin_round(now),
            Decision::Commit { version, at, .. } => {
                self.begin_round(now);
                let detail = format!("version {version} committed at step {at}");
                self.note(Code::SwitchDecided, detail, out);
            }
            Decision::Abort { version, .. } => {
                self.begin_round(now);
                self.note(
                    Code::SwitchDecided,
                    format!("version {version} aborted"),
                    out,
                );
            }
        }
    }

    fn take_mail(&mut self, message: Message, out: &mut Vec<Output>) {
        if self.term.is_none() || message.group != self.group {
            return;
        }
        let (rank, life) = (message.rank, message.incarnation);
        let known = self.standing.lives.get(&rank).copied();
        if let Body::Join { engine } = message.body {
            self.take_join(rank, life, known, engine.loaded_maps.is_empty(), out);
            return;
        }
        if known != Some(life) || message.generation != self.standing.generation {
            return;
        }
        match message.body {
            Body::Prepared { version, horizon } => self.take_prepared(rank, version, horizon, out),
            Body::Failed { version, .. } => self.abort(version, out),
            Body::DecisionApplied { version } if version == self.standing.decided => {
                self.round.acknowledged.insert(rank);
            }
            _ => {}
        }
    }

    fn take_join(
        &mut self,
        rank: Rank,
        life: Incarnation,
        known: Option<Incarnation>,
        fresh: bool,
        out: &mut Vec<Output>,
    ) {
        if known == Some(life) {
            self.tell_state(rank, life, out);
            return;
        }
        let newest = known.max(self.joining.get(&rank).copied());
        if newest.is_some_and(|newest| newest >= life) {
            return;
        }
        self.joining.insert(rank, life);
        out.push(Output::Record(Decision::Join { rank, life, fresh }));
    }

    fn take_prepared(
        &mut self,
        rank: Rank,
        version: Version,
        horizon: Step,
        out: &mut Vec<Output>,
    ) {
        let Some(map) = self.standing.undecided() else {
            return;
        };
        if map.version != version || !self.standing.members.contains(&rank) {
            return;
        }
        self.round.prepared.insert(rank, horizon);
        if self.recording.is_some() || self.round.prepared.len() < self.standing.members.len() {
            return;
        }
        let farthest = self.round.prepared.values().copied().max();
        let farthest = farthest.unwrap_or_default().max(self.standing.floor);
        let gap = match self.standing.present {
            Some(_) => 0,
            None => GENERATION_GAP_STEPS,
        };
        let at = farthest.next() + Step(gap);
        self.note(
            Code::SwitchPrepared,
            format!("version {version}, farthest horizon {farthest}"),
            out,
        );
        let generation = self.standing.generation;
        self.record(
            Decision::Commit {
                generation,
                version,
                at,
            },
            out,
        );
    }

    fn abort(&mut self, version: Version, out: &mut Vec<Output>) {
        let meant = self
            .standing
            .undecided()
            .is_some_and(|map| map.version == version);
        if !meant || self.recording.is_some() {
            return;
        }
        let generation = self.standing.generation;
        self.record(
            Decision::Abort {
                generation,
                version,
            },
            out,
        );
    }

    fn lose(&mut self, rank: Rank, out: &mut Vec<Output>) {
        if self.term.is_none() {
            return;
        }
        if let Some(life) = self.standing.lives.get(&rank).copied() {
            out.push(Output::Record(Decision::Leave { rank, life }));
        }
    }

    fn plan(&mut self, layers: ExpertPlacement, loading: u64, out: &mut Vec<Output>) {
        let map = ExpertMap {
            version: self.standing.newest.next(),
            layers,
        };
        self.loading = loading;
        if self.standing.needs_generation() {
            self.open(Some(map), out);
            return;
        }
        if self.term.is_none() || self.recording.is_some() || !self.is_settled() {
            return;
        }
        let generation = self.standing.generation;
        self.record(Decision::Propose { generation, map }, out);
    }

    fn open(&mut self, map: Option<ExpertMap>, out: &mut Vec<Output>) {
        if self.term.is_none() || self.recording.is_some() || !self.standing.needs_generation() {
            return;
        }
        self.record(
            Decision::Open {
                generation: self.standing.generation.next(),
                members: self.standing.lives.keys().copied().collect(),
                map,
            },
            out,
        );
    }

    fn record(&mut self, decision: Decision, out: &mut Vec<Output>) {
        self.recording = Some(decision.clone());
        out.push(Output::Record(decision));
    }

    /// Sends what has no answer yet, and gives up a preparation that takes too long.
    fn drive(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.term.is_none() || self.is_settled() {
            return;
        }
        let undecided = self.standing.undecided().map(|map| map.version);
        if let Some(version) = undecided
            && now >= self.round.deadline
        {
            self.abort(version, out);
        }
        if now < self.round.next_send {
            return;
        }
        self.round.next_send = now + self.round.wait;
        self.round.wait = (self.round.wait * 2).min(RESEND_INTERVAL_MAX);
        for rank in &self.standing.members {
            let answered = match undecided {
                Some(_) => self.round.prepared.contains_key(rank),
                None => self.round.acknowledged.contains(rank),
            };
            let life = self.standing.lives.get(rank).copied();
            let (false, Some(life)) = (answered, life) else {
                continue;
            };
            let body = self.body(*rank);
            out.push(self.message(*rank, life, body));
        }
    }

    /// What a member is to hear now.
    fn body(&self, rank: Rank) -> Body {
        let standing = &self.standing;
        match &standing.pending {
            Some(pending) => match pending.first_step {
                Some(at) => Body::Commit {
                    version: pending.map.version,
                    first_step: at,
                },
                None => Body::Prepare {
                    map: pending.map.clone(),
                    rate: self.rate(),
                },
            },
            None if standing.present.is_some() => Body::Abort {
                version: standing.decided,
            },
            None => Body::State(self.state(rank)),
        }
    }

    /// The state of the group as a rank is told it; nothing of the maps to a rank outside.
    fn state(&self, rank: Rank) -> GroupState {
        let standing = &self.standing;
        let inside = standing.members.contains(&rank);
        GroupState {
            active: standing.present.clone().filter(|_| inside),
            pending: standing.pending.clone().filter(|_| inside),
            decided_version: standing.decided,
            rate: self.rate(),
        }
    }

    /// The part of the weight store's rate that each loading rank gets.
    fn rate(&self) -> ByteRate {
        ByteRate(self.options.store_rate.0 / self.loading.max(1))
    }

    fn tell_state(&self, rank: Rank, life: Incarnation, out: &mut Vec<Output>) {
        if self.term.is_some() {
            out.push(self.message(rank, life, Body::State(self.state(rank))));
        }
    }

    fn message(&self, rank: Rank, life: Incarnation, body: Body) -> Output {
        Output::Send(Message {
            group: self.group.clone(),
            generation: self.standing.generation,
            rank,
            incarnation: life,
            fence: FencingToken {
                term: self.term.unwrap_or_default(),
                sequence: self.standing.revision,
            },
            body,
        })
    }

    fn note(&self, code: Code, detail: String, out: &mut Vec<Output>) {
        if self.term.is_some() {
            out.push(Output::Event(Event::new(code, detail).group(&self.group)));
        }
    }
}
