//! The switch controller of one group: it switches all ranks from one map to the next.
//!
//! It runs in the leader of the replicated log. Each decision is output as [`Output::AppendToLog`] and
//! takes effect only when it comes back as [`Input::LogCommitted`], so ranks never receive a decision
//! that another leader could still replace. A new leader finds the switch in progress in the
//! [`DurableState`] and resumes it: it repeats the preparation of an undecided map and sends a decision
//! again. The responses of ranks are kept in memory only, because ranks repeat the same response.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Group, Incarnation, Rank, Step, Term, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::ByteRate;
use eelgrassdyke_core::wire::fence::FencingToken;
use eelgrassdyke_core::wire::group::{Body, ExpertMap, ExpertPlacement, GroupState, Message};

use crate::standing::{Decision, DurableState};

/// Number of step numbers skipped between two generations, so that the last step number of a lost rank
/// is not reused.
const GENERATION_GAP_STEPS: u64 = 1;

/// Upper bound of the backoff between two sends of the same message.
const RESEND_INTERVAL_MAX: Duration = Duration::from_secs(2);

/// Options of a controller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Time after which a message without a response is first sent again; doubles with each resend.
    pub resend_interval: Duration,
    /// Maximum duration of the preparation before the switch is aborted.
    pub prepare_timeout: Duration,
    /// Rate limit of the whole group for loads from the weight store, in bytes per second.
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

/// An input of a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// This process is the leader of the log and has applied a record of its own term.
    LeadershipGained {
        /// Its term.
        term: Term,
        /// State of the group from the log.
        state: DurableState,
    },
    /// This process is no longer the leader.
    LeadershipLost,
    /// The log has committed this decision of any leader; passed in log order.
    LogCommitted(Decision),
    /// A message from a rank.
    Message(Message),
    /// The agent of a rank is lost, or another server has replaced the rank.
    RankLost(Rank),
    /// A request to switch to this placement; starts a new generation if one is needed.
    NewPlacement {
        /// The placement.
        layers: ExpertPlacement,
        /// Number of ranks that must load weights for it.
        loading_ranks: u64,
    },
    /// A request to start a generation without a map, because no placement fits the remaining ranks.
    NoPlacement,
    /// The deadline of [`Controller::next_deadline`] has passed.
    Tick,
}

/// An output of a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Append a decision to the log.
    AppendToLog(Decision),
    /// Send a message to the agent of its rank.
    Send(Message),
    /// Record an event.
    Event(Event),
}

/// Responses of the ranks to the latest decision, and the schedule of its resends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Round {
    /// Horizon that each prepared rank has promised.
    prepared: BTreeMap<Rank, Step>,
    acknowledged: BTreeSet<Rank>,
    prepare_deadline: Instant,
    next_send: Instant,
    backoff: Duration,
}

/// The switch controller of one group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Controller {
    options: Options,
    group: Group,
    term: Option<Term>,
    state: DurableState,
    round: Round,
    /// The decision that was output and is not committed yet; joins and leaves are not tracked.
    in_flight: Option<Decision>,
    /// Incarnations whose join was output and is not committed yet.
    joining: BTreeMap<Rank, Incarnation>,
    loading_ranks: u64,
}

impl Controller {
    /// Creates a controller that is not the leader.
    pub fn new(group: Group, options: Options) -> Self {
        Self {
            options,
            group,
            term: None,
            state: DurableState::default(),
            round: Round::default(),
            in_flight: None,
            joining: BTreeMap::new(),
            loading_ranks: 0,
        }
    }

    /// Processes an input at `now` and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::LeadershipGained { term, state } => self.become_leader(now, term, state),
            Input::LeadershipLost => self.term = None,
            Input::LogCommitted(decision) => self.apply_decision(now, &decision, out),
            Input::Message(message) => self.handle_message(message, out),
            Input::RankLost(rank) => self.propose_leave(rank, out),
            Input::NewPlacement {
                layers,
                loading_ranks,
            } => self.propose_placement(layers, loading_ranks, out),
            Input::NoPlacement => self.propose_generation(None, out),
            Input::Tick => {}
        }
        self.send_outstanding(now, out);
    }

    /// Time at which the controller next needs [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        if self.term.is_none() || self.is_settled() {
            return Instant::NEVER;
        }
        match self.state.undecided_map() {
            Some(_) if self.in_flight.is_none() => {
                self.round.next_send.min(self.round.prepare_deadline)
            }
            _ => self.round.next_send,
        }
    }

    /// State of the group from the log.
    pub fn state(&self) -> &DurableState {
        &self.state
    }

    /// Whether this process is the leader.
    pub fn is_leader(&self) -> bool {
        self.term.is_some()
    }

    /// Whether every member has applied the latest decision, so that another switch may be proposed.
    pub fn is_settled(&self) -> bool {
        let state = &self.state;
        state.undecided_map().is_none()
            && state
                .members
                .iter()
                .all(|rank| self.round.acknowledged.contains(rank))
    }

    /// Whether a decision of this controller awaits its commit in the log.
    pub fn has_decision_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    fn become_leader(&mut self, now: Instant, term: Term, state: DurableState) {
        self.term = Some(term);
        self.state = state;
        self.in_flight = None;
        self.joining.clear();
        self.loading_ranks = self.state.members.len() as u64;
        self.start_round(now);
    }

    fn start_round(&mut self, now: Instant) {
        self.round = Round {
            prepare_deadline: now + self.options.prepare_timeout,
            next_send: now,
            backoff: self.options.resend_interval,
            ..Round::default()
        };
    }

    fn apply_decision(&mut self, now: Instant, decision: &Decision, out: &mut Vec<Output>) {
        if self.in_flight.as_ref() == Some(decision) {
            self.in_flight = None;
        }
        if !self.state.apply(decision) {
            return;
        }
        match decision {
            Decision::Join {
                rank, incarnation, ..
            } => {
                self.joining.remove(rank);
                self.round.prepared.remove(rank);
                self.send_state(*rank, *incarnation, out);
            }
            Decision::Leave { rank, .. } => {
                self.round.prepared.remove(rank);
            }
            Decision::Open { .. } => {
                self.start_round(now);
                let generation = self.state.generation;
                let ranks = self.state.members.len();
                let detail = format!("generation {generation} with {ranks} ranks");
                self.emit_event(Code::GenerationStarted, detail, out);
            }
            Decision::Propose { .. } => self.start_round(now),
            Decision::Commit {
                version,
                first_step,
                ..
            } => {
                self.start_round(now);
                let detail = format!("version {version} committed at step {first_step}");
                self.emit_event(Code::SwitchDecided, detail, out);
            }
            Decision::Abort { version, .. } => {
                self.start_round(now);
                self.emit_event(
                    Code::SwitchDecided,
                    format!("version {version} aborted"),
                    out,
                );
            }
        }
    }

    fn handle_message(&mut self, message: Message, out: &mut Vec<Output>) {
        if self.term.is_none() || message.group != self.group {
            return;
        }
        let (rank, incarnation) = (message.rank, message.incarnation);
        let joined = self.state.incarnations.get(&rank).copied();
        if let Body::Join { engine } = message.body {
            let engine_restarted = engine.loaded_maps.is_empty();
            self.handle_join(rank, incarnation, joined, engine_restarted, out);
            return;
        }
        if joined != Some(incarnation) || message.generation != self.state.generation {
            return;
        }
        match message.body {
            Body::Prepared { version, horizon } => {
                self.handle_prepared(rank, version, horizon, out)
            }
            Body::Failed { version, .. } => self.propose_abort(version, out),
            Body::DecisionApplied { version } if version == self.state.decided_version => {
                self.round.acknowledged.insert(rank);
            }
            _ => {}
        }
    }

    fn handle_join(
        &mut self,
        rank: Rank,
        incarnation: Incarnation,
        joined: Option<Incarnation>,
        engine_restarted: bool,
        out: &mut Vec<Output>,
    ) {
        if joined == Some(incarnation) {
            self.send_state(rank, incarnation, out);
            return;
        }
        let latest = joined.max(self.joining.get(&rank).copied());
        if latest.is_some_and(|latest| latest >= incarnation) {
            return;
        }
        self.joining.insert(rank, incarnation);
        out.push(Output::AppendToLog(Decision::Join {
            rank,
            incarnation,
            engine_restarted,
        }));
    }

    fn handle_prepared(
        &mut self,
        rank: Rank,
        version: Version,
        horizon: Step,
        out: &mut Vec<Output>,
    ) {
        let Some(map) = self.state.undecided_map() else {
            return;
        };
        if map.version != version || !self.state.members.contains(&rank) {
            return;
        }
        self.round.prepared.insert(rank, horizon);
        if self.in_flight.is_some() || self.round.prepared.len() < self.state.members.len() {
            return;
        }
        let max_horizon = self.round.prepared.values().copied().max();
        let max_horizon = max_horizon
            .unwrap_or_default()
            .max(self.state.highest_first_step);
        let gap = match self.state.active {
            Some(_) => 0,
            None => GENERATION_GAP_STEPS,
        };
        let first_step = max_horizon.next() + Step(gap);
        self.emit_event(
            Code::SwitchPrepared,
            format!("version {version} prepared at all ranks, highest horizon {max_horizon}"),
            out,
        );
        let generation = self.state.generation;
        self.append_decision(
            Decision::Commit {
                generation,
                version,
                first_step,
            },
            out,
        );
    }

    fn propose_abort(&mut self, version: Version, out: &mut Vec<Output>) {
        let is_undecided = self
            .state
            .undecided_map()
            .is_some_and(|map| map.version == version);
        if !is_undecided || self.in_flight.is_some() {
            return;
        }
        let generation = self.state.generation;
        self.append_decision(
            Decision::Abort {
                generation,
                version,
            },
            out,
        );
    }

    fn propose_leave(&mut self, rank: Rank, out: &mut Vec<Output>) {
        if self.term.is_none() {
            return;
        }
        if let Some(incarnation) = self.state.incarnations.get(&rank).copied() {
            out.push(Output::AppendToLog(Decision::Leave { rank, incarnation }));
        }
    }

    fn propose_placement(
        &mut self,
        layers: ExpertPlacement,
        loading_ranks: u64,
        out: &mut Vec<Output>,
    ) {
        let map = ExpertMap {
            version: self.state.highest_version.next(),
            layers,
        };
        self.loading_ranks = loading_ranks;
        if self.state.needs_new_generation() {
            self.propose_generation(Some(map), out);
            return;
        }
        if self.term.is_none() || self.in_flight.is_some() || !self.is_settled() {
            return;
        }
        let generation = self.state.generation;
        self.append_decision(Decision::Propose { generation, map }, out);
    }

    fn propose_generation(&mut self, map: Option<ExpertMap>, out: &mut Vec<Output>) {
        if self.term.is_none() || self.in_flight.is_some() || !self.state.needs_new_generation() {
            return;
        }
        self.append_decision(
            Decision::Open {
                generation: self.state.generation.next(),
                members: self.state.incarnations.keys().copied().collect(),
                map,
            },
            out,
        );
    }

    fn append_decision(&mut self, decision: Decision, out: &mut Vec<Output>) {
        self.in_flight = Some(decision.clone());
        out.push(Output::AppendToLog(decision));
    }

    /// Sends the message of the round to the ranks without a response, and aborts a preparation that has
    /// timed out.
    fn send_outstanding(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.term.is_none() || self.is_settled() {
            return;
        }
        let undecided = self.state.undecided_map().map(|map| map.version);
        if let Some(version) = undecided
            && now >= self.round.prepare_deadline
        {
            self.propose_abort(version, out);
        }
        if now < self.round.next_send {
            return;
        }
        self.round.next_send = now + self.round.backoff;
        self.round.backoff = (self.round.backoff * 2).min(RESEND_INTERVAL_MAX);
        for rank in &self.state.members {
            let has_responded = match undecided {
                Some(_) => self.round.prepared.contains_key(rank),
                None => self.round.acknowledged.contains(rank),
            };
            let incarnation = self.state.incarnations.get(rank).copied();
            let (false, Some(incarnation)) = (has_responded, incarnation) else {
                continue;
            };
            let body = self.body_for(*rank);
            out.push(self.message(*rank, incarnation, body));
        }
    }

    /// The message of the current round for a member.
    fn body_for(&self, rank: Rank) -> Body {
        let state = &self.state;
        match &state.pending {
            Some(pending) => match pending.first_step {
                Some(first_step) => Body::Commit {
                    version: pending.map.version,
                    first_step,
                },
                None => Body::Prepare {
                    map: pending.map.clone(),
                    rate: self.rate_per_rank(),
                },
            },
            None if state.active.is_some() => Body::Abort {
                version: state.decided_version,
            },
            None => Body::State(self.state_for(rank)),
        }
    }

    /// The state of the group for a rank; without maps for a rank that is not a member.
    fn state_for(&self, rank: Rank) -> GroupState {
        let state = &self.state;
        let is_member = state.members.contains(&rank);
        GroupState {
            active: state.active.clone().filter(|_| is_member),
            pending: state.pending.clone().filter(|_| is_member),
            decided_version: state.decided_version,
            rate: self.rate_per_rank(),
        }
    }

    /// Rate limit of each rank that loads weights: an equal share of the group's limit.
    fn rate_per_rank(&self) -> ByteRate {
        ByteRate(self.options.store_rate.0 / self.loading_ranks.max(1))
    }

    fn send_state(&self, rank: Rank, incarnation: Incarnation, out: &mut Vec<Output>) {
        if self.term.is_some() {
            out.push(self.message(rank, incarnation, Body::State(self.state_for(rank))));
        }
    }

    fn message(&self, rank: Rank, incarnation: Incarnation, body: Body) -> Output {
        Output::Send(Message {
            group: self.group.clone(),
            generation: self.state.generation,
            rank,
            incarnation,
            fence: FencingToken {
                term: self.term.unwrap_or_default(),
                sequence: self.state.revision,
            },
            body,
        })
    }

    fn emit_event(&self, code: Code, detail: String, out: &mut Vec<Output>) {
        if self.term.is_some() {
            out.push(Output::Event(Event::new(code, detail).group(&self.group)));
        }
    }
}
