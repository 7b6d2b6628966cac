//! The switch controller of a group whose engines go over to a new map by themselves.
//!
//! Each engine is armed with the step at which it goes over. Were one of them left out, the group
//! would begin that step with two maps. So one rank first holds the group before the step, and lets
//! it go only when every rank has confirmed that it is armed, or that it is not and never will be:
//!
//! 1. prepare at all ranks, until their reports show that all experts are there;
//! 2. hold at one rank, confirmed before anything is armed;
//! 3. arm at all ranks; when all have confirmed, go;
//! 4. if that can't be had: disarm at all ranks under a higher fence, so that no order that is still
//!    on its way takes effect, and go once all have confirmed.
//!
//! A hold outlives the leader that asked for it. Whoever leads next first shuts out its predecessor's
//! orders at every rank, with a higher fence that changes nothing else. What it then finds can't change
//! under its hands: a group that is held is cleared in the way of the fourth step. Ranks that are armed
//! though nobody holds them were all armed and let go, so they are left to go over.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Generation, Group, Rank, Step, Term, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::group::ExpertPlacement;
use eelgrassdyke_core::wire::rank::{
    EngineReport, RankAction, RankOrder, RankOrderOutcome, RankOrderResult,
};

/// Bits of a fence that count within one leader's office.
const TOKEN_BITS: u32 = 24;

/// Bits of an order's number that count within one leader's office.
const ORDER_BITS: u32 = 32;

/// A version that no map has, to disarm a rank that is not armed.
const NO_VERSION: Version = Version(u32::MAX as u64);

/// Smoothing of the time of a step.
const STEP_WEIGHT: f64 = 0.3;

/// Time of a step before two reports have shown it.
const STEP_ASSUMED: Duration = Duration::from_millis(60);

/// Looks at what is overdue within the time after which an order is sent again.
const WAKES: u32 = 4;

/// Steps at least from the hold to the one at which the ranks go over: the hold must arrive before
/// that step begins, and the last report is a step or two old.
const STEPS_MIN: f64 = 3.0;

/// The same where a step takes so long that reports are always of the present one.
const STEPS_MIN_SLOW: f64 = 2.0;

/// Time of a step, in seconds, from which it does.
const STEP_SLOW: f64 = 0.2;

/// Options of a controller.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Time from the hold to the step at which the ranks go over.
    pub lead: Duration,
    /// Added to it, as a part of the orders that lately got no answer.
    pub lead_unanswered: Duration,
    /// Time without word of an order after which it is sent again.
    pub resend: Duration,
    /// Longest preparation.
    pub prepare_max: Duration,
    /// Longest arming, from the first order.
    pub arm_max: Duration,
    /// Age beyond which a report says nothing of the present.
    pub report_max: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lead: Duration::from_millis(150),
            lead_unanswered: Duration::from_millis(1500),
            resend: Duration::from_millis(250),
            prepare_max: Duration::from_millis(2500),
            arm_max: Duration::from_secs(3),
            report_max: Duration::from_millis(1500),
        }
    }
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// This process leads the log now.
    Lead(Term),
    /// This process leads no longer.
    Unlead,
    /// A rank reported; `agent` takes its orders.
    Report {
        /// Where orders go.
        agent: SocketAddr,
        /// What it says.
        report: Box<EngineReport>,
    },
    /// An order came to something.
    Done(RankOrderResult),
    /// Go over to this placement.
    Switch(ExpertPlacement),
    /// Nothing but time passed.
    Tick,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Have an order carried out.
    Order {
        /// The process beside the engine.
        agent: SocketAddr,
        /// The engine itself, when that process does not answer.
        engine: Option<SocketAddr>,
        /// The order.
        order: RankOrder,
    },
    /// Note an event.
    Event(Event),
}

/// What is known of a rank.
#[derive(Clone, Debug)]
struct Known {
    agent: SocketAddr,
    report: EngineReport,
    at: Instant,
}

/// Orders of one phase, one for each rank.
#[derive(Clone, Debug, Default)]
struct Round {
    sent: BTreeMap<Rank, Sent>,
    /// Number of the order that each rank confirmed.
    confirmed: BTreeMap<Rank, u64>,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    number: u64,
    at: Instant,
    /// Sends without word from beside the engine.
    silent: u32,
}

/// What the controller does at present.
#[derive(Clone, Debug)]
enum Phase {
    /// Another process leads.
    Idle,
    /// Shuts out all earlier orders, and learns what they have left behind.
    Fencing(Round),
    /// Disarms the ranks while the group is held, then lets it go.
    Clearing {
        round: Round,
        /// Orders of the fence that the ranks confirmed: older reports say nothing.
        fenced: BTreeMap<Rank, u64>,
    },
    /// Every rank uses the same map and nothing is under way.
    Settled,
    /// The ranks copy experts.
    Preparing {
        version: Version,
        layers: ExpertPlacement,
        round: Round,
        until: Instant,
    },
    /// One rank is asked to hold the group.
    Holding {
        version: Version,
        step: Step,
        round: Round,
        holder: Rank,
    },
    /// The ranks are told the step.
    Arming {
        version: Version,
        step: Step,
        round: Round,
        holder: Rank,
        until: Instant,
    },
    /// The group is let go.
    Releasing {
        version: Version,
        step: Step,
        round: Round,
        holder: Rank,
    },
}

/// The switch controller of one group.
#[derive(Clone, Debug)]
pub struct Controller {
    options: Options,
    group: Group,
    term: Term,
    phase: Phase,
    generation: Generation,
    size: u32,
    ranks: BTreeMap<Rank, Known>,
    newest: Version,
    tokens: u64,
    orders: u64,
    step_time: f64,
    /// Smoothed part of the orders that got no answer.
    unanswered: f64,
    /// When ranks that hold the group without need were last told to let it go.
    strays: BTreeMap<Rank, Instant>,
    wake: Instant,
    switches: u64,
}

impl Controller {
    /// A controller that does not lead.
    pub fn new(group: Group, options: Options) -> Self {
        Self {
            options,
            group,
            term: Term(0),
            phase: Phase::Idle,
            generation: Generation(0),
            size: 0,
            ranks: BTreeMap::new(),
            newest: Version(0),
            tokens: 0,
            orders: 0,
            step_time: STEP_ASSUMED.as_secs_f64(),
            unanswered: 0.0,
            strays: BTreeMap::new(),
            wake: Instant::NEVER,
            switches: 0,
        }
    }

    /// Takes in what happened at `now` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Lead(term) => {
                self.term = term;
                self.tokens = 0;
                // No order of an earlier leader has the number of one of this leader.
                self.orders = term.0 << ORDER_BITS;
                self.clear();
            }
            Input::Unlead => self.phase = Phase::Idle,
            Input::Report { agent, report } => self.take_report(now, agent, *report),
            Input::Done(done) => self.take_done(now, &done, out),
            Input::Switch(layers) => self.switch(now, layers),
            Input::Tick => {}
        }
        self.drive(now, out);
        self.release_strays(now, out);
        self.wake = match self.phase {
            Phase::Idle | Phase::Settled => Instant::NEVER,
            _ => now + self.options.resend / WAKES,
        };
    }

    /// When the controller next needs [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        self.wake
    }

    /// The group.
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// Whether this process leads.
    pub fn leads(&self) -> bool {
        !matches!(self.phase, Phase::Idle)
    }

    /// The placement in use at all ranks, by layer and rank, while a switch may begin.
    pub fn present(&self, now: Instant) -> Option<ExpertPlacement> {
        if !matches!(self.phase, Phase::Settled) || !self.is_whole(now) {
            return None;
        }
        let mut reports = self.ranks.values().map(|known| &known.report);
        let first = reports.next()?;
        if reports.any(|report| report.active_map != first.active_map) {
            return None;
        }
        let layers = first.experts.len();
        let of = |layer: usize| {
            let ranks = self.ranks.values();
            ranks
                .map(|known| known.report.experts.get(layer).cloned())
                .collect::<Option<Vec<_>>>()
        };
        (0..layers).map(of).collect()
    }

    /// Switches that came into force.
    pub fn switches(&self) -> u64 {
        self.switches
    }

    /// Whether every rank reports lately and the group runs.
    fn is_whole(&self, now: Instant) -> bool {
        let fresh =
            |known: &Known| known.report.open && now.since(known.at) < self.options.report_max;
        self.size > 0 && self.ranks.len() == self.size as usize && self.ranks.values().all(fresh)
    }

    fn take_report(&mut self, now: Instant, agent: SocketAddr, report: EngineReport) {
        if report.generation < self.generation {
            return;
        }
        let age = |report: &EngineReport| (report.generation, report.last_known_order, report.step);
        if let Some(known) = self.ranks.get(&report.rank).map(|known| &known.report) {
            let restarted = known.incarnation != report.incarnation;
            if !restarted && age(&report) < age(known) {
                return;
            }
            // A restarted process has forgotten which orders were over when it reads.
            if restarted && matches!(self.phase, Phase::Fencing(_) | Phase::Clearing { .. }) {
                self.clear();
            }
        }
        if report.generation > self.generation {
            // A new life of the group has nothing prepared, armed or held.
            self.generation = report.generation;
            self.ranks.clear();
            if self.leads() {
                self.clear();
            }
        }
        self.size = report.group_size;
        let seen = [
            Some(report.active_map),
            report.prepared_map,
            report.armed_map,
        ];
        for version in seen.into_iter().flatten() {
            self.newest = self.newest.max(version);
        }
        if let Some(known) = self.ranks.get(&report.rank) {
            let steps = report.step.0.saturating_sub(known.report.step.0);
            let span = now.since(known.at).as_secs_f64();
            if steps > 0 && span > 0.0 {
                let time = (span / steps as f64).min(0.5);
                self.step_time += (time - self.step_time) * STEP_WEIGHT;
            }
        }
        let rank = report.rank;
        let known = Known {
            agent,
            report,
            at: now,
        };
        self.ranks.insert(rank, known);
    }

    fn take_done(&mut self, now: Instant, done: &RankOrderResult, out: &mut Vec<Output>) {
        let missed = f64::from(u8::from(done.outcome == RankOrderOutcome::Unanswered));
        self.unanswered += (missed - self.unanswered) * 0.05;
        if done.outcome == RankOrderOutcome::Fenced && self.leads() {
            let detail = format!("rank {}: another leader gives orders", done.rank);
            out.push(Output::Event(
                Event::new(Code::OrderFenced, detail).group(&self.group),
            ));
            self.phase = Phase::Idle;
            return;
        }
        let clears = matches!(self.phase, Phase::Fencing(_) | Phase::Clearing { .. });
        let prepares = matches!(self.phase, Phase::Preparing { .. });
        let holds = matches!(self.phase, Phase::Holding { .. });
        let Some(round) = self.round() else {
            return;
        };
        let Some(sent) = round.sent.get_mut(&done.rank) else {
            return;
        };
        if sent.number != done.number {
            return;
        }
        sent.silent = 0;
        match done.outcome {
            RankOrderOutcome::Accepted => {
                round.confirmed.insert(done.rank, done.number);
            }
            // A rank that is not armed with the version has nothing to forget.
            RankOrderOutcome::Refused if clears => {
                round.confirmed.insert(done.rank, done.number);
            }
            // The reports show whether the copy is complete.
            RankOrderOutcome::Refused if prepares => {}
            RankOrderOutcome::Refused if holds => self.hold_again(now, done.rank),
            RankOrderOutcome::Refused => self.clear(),
            RankOrderOutcome::Unanswered if holds => self.hold_again(now, done.rank),
            RankOrderOutcome::Unanswered => {
                round.sent.remove(&done.rank);
            }
            RankOrderOutcome::Fenced => {}
        }
    }

    fn round(&mut self) -> Option<&mut Round> {
        match &mut self.phase {
            Phase::Idle | Phase::Settled => None,
            Phase::Fencing(round)
            | Phase::Clearing { round, .. }
            | Phase::Preparing { round, .. }
            | Phase::Holding { round, .. }
            | Phase::Arming { round, .. }
            | Phase::Releasing { round, .. } => Some(round),
        }
    }

    /// Begins to make sure that no rank is armed; a higher fence shuts out all earlier orders.
    fn clear(&mut self) {
        self.tokens += 1;
        self.phase = Phase::Fencing(Round::default());
    }

    fn switch(&mut self, now: Instant, layers: ExpertPlacement) {
        if self.present(now).is_none() {
            return;
        }
        self.tokens += 1;
        self.newest = self.newest.next();
        self.phase = Phase::Preparing {
            version: self.newest,
            layers,
            round: Round::default(),
            until: now + self.options.prepare_max,
        };
    }

    /// Asks another rank to hold the group, at a later step: the first may do so late.
    fn hold_again(&mut self, now: Instant, tried: Rank) {
        let Phase::Holding { version, .. } = self.phase else {
            return;
        };
        let next = self.ranks.keys().find(|rank| **rank > tried);
        let first = self.ranks.keys().next();
        if let Some(holder) = next.or(first).copied() {
            self.hold(now, version, holder);
        }
    }

    fn hold(&mut self, now: Instant, version: Version, holder: Rank) {
        self.phase = Phase::Holding {
            version,
            step: self.step_after(now),
            round: Round::default(),
            holder,
        };
    }

    /// A step that the group begins after the lead time, by its present pace.
    fn step_after(&self, now: Instant) -> Step {
        let ahead = |known: &Known| {
            let age = now.since(known.at).as_secs_f64();
            known.report.step.0 as f64 + age / self.step_time
        };
        let present = self.ranks.values().map(ahead).fold(0.0, f64::max);
        let lead = self.options.lead + self.options.lead_unanswered.mul_f64(self.unanswered);
        let least = match self.step_time < STEP_SLOW {
            true => STEPS_MIN,
            false => STEPS_MIN_SLOW,
        };
        Step((present + (lead.as_secs_f64() / self.step_time).max(least)).ceil() as u64)
    }

    /// Goes on with the present phase as far as what is known allows.
    fn drive(&mut self, now: Instant, out: &mut Vec<Output>) {
        match self.phase.clone() {
            Phase::Idle => {}
            Phase::Settled => {
                let stray = |known: &Known| {
                    known.report.hold_step.is_some() || known.report.armed_map.is_some()
                };
                if self.ranks.values().any(stray) {
                    self.clear();
                }
            }
            Phase::Fencing(round) => self.drive_fencing(now, &round, out),
            Phase::Clearing { round, fenced } => self.drive_clearing(now, &round, &fenced, out),
            Phase::Preparing {
                version,
                layers,
                round,
                until,
            } => {
                let ready = |known: &Known| known.report.prepared_map == Some(version);
                let behind = |rank: &Rank| !self.ranks.get(rank).is_some_and(ready);
                if self.is_whole(now) && self.ranks.values().all(ready) {
                    let holder = self.ranks.keys().next().copied().unwrap_or_default();
                    self.hold(now, version, holder);
                    self.drive(now, out);
                } else if now >= until {
                    self.phase = Phase::Settled;
                } else {
                    let ranks: Vec<Rank> = self.ranks.keys().copied().filter(behind).collect();
                    let open = unconfirmed(&ranks, &round);
                    self.order(
                        now,
                        &open,
                        |_| RankAction::Prepare {
                            version,
                            layers: layers.clone(),
                        },
                        out,
                    );
                }
            }
            Phase::Holding {
                version,
                step,
                round,
                holder,
            } => {
                if round.confirmed.contains_key(&holder) {
                    self.phase = Phase::Arming {
                        version,
                        step,
                        round: Round::default(),
                        holder,
                        until: now + self.options.arm_max,
                    };
                    self.drive(now, out);
                } else if round.sent.is_empty() {
                    self.order(now, &[holder], |_| RankAction::Hold { step }, out);
                } else if round.is_overdue(now, holder, self.options.resend) {
                    self.hold_again(now, holder);
                    self.drive(now, out);
                }
            }
            Phase::Arming {
                version,
                step,
                round,
                holder,
                until,
            } => {
                let ranks: Vec<Rank> = self.ranks.keys().copied().collect();
                if round.confirmed.len() == self.size as usize
                    && ranks.len() == round.confirmed.len()
                {
                    self.phase = Phase::Releasing {
                        version,
                        step,
                        round: Round::default(),
                        holder,
                    };
                    self.drive(now, out);
                } else if now >= until {
                    let detail = format!("version {version}: not all ranks were armed in time");
                    self.note(Code::SwitchStalled, detail, out);
                    self.clear();
                    self.drive(now, out);
                } else {
                    let open = unconfirmed(&ranks, &round);
                    self.order(now, &open, |_| RankAction::Arm { version, step }, out);
                }
            }
            Phase::Releasing {
                version,
                step,
                round,
                holder,
            } => {
                let done = |known: &Known| {
                    known.report.active_map == version && known.report.hold_step.is_none()
                };
                if self.ranks.values().all(done) {
                    self.switches += 1;
                    let detail = format!("version {version} at step {step}");
                    self.note(Code::MapInForce, detail, out);
                    self.phase = Phase::Settled;
                } else {
                    let open = unconfirmed(&[holder], &round);
                    self.order(now, &open, |_| RankAction::Release { step }, out);
                }
            }
        }
    }

    /// Shows every rank the new fence and looks at what they report after that.
    fn drive_fencing(&mut self, now: Instant, round: &Round, out: &mut Vec<Output>) {
        if self.size == 0 || self.ranks.len() < self.size as usize {
            return;
        }
        let ranks: Vec<Rank> = self.ranks.keys().copied().collect();
        let open = unconfirmed(&ranks, round);
        if !open.is_empty() {
            let version = NO_VERSION;
            self.order(now, &open, |_| RankAction::Disarm { version }, out);
            return;
        }
        if !self.report_since(&round.confirmed) {
            return;
        }
        let mut reports = self.ranks.values().map(|known| &known.report);
        if reports.clone().any(|report| report.hold_step.is_some()) {
            self.phase = Phase::Clearing {
                round: Round::default(),
                fenced: round.confirmed.clone(),
            };
            self.drive(now, out);
        } else if reports.all(|report| report.armed_map.is_none()) {
            self.phase = Phase::Settled;
        }
    }

    /// Whether every rank has reported after these orders of its own were over.
    fn report_since(&self, orders: &BTreeMap<Rank, u64>) -> bool {
        self.ranks.iter().all(|(rank, known)| {
            let order = orders.get(rank).copied().unwrap_or_default();
            known.report.last_known_order >= order
        })
    }

    /// Disarms what is armed, and lets the group go once nothing is.
    fn drive_clearing(
        &mut self,
        now: Instant,
        round: &Round,
        fenced: &BTreeMap<Rank, u64>,
        out: &mut Vec<Output>,
    ) {
        if self.ranks.len() < self.size as usize || !self.report_since(fenced) {
            return;
        }
        let armed: BTreeMap<Rank, Version> = self
            .ranks
            .iter()
            .filter_map(|(rank, known)| Some((*rank, known.report.armed_map?)))
            .collect();
        let held: BTreeMap<Rank, Step> = self
            .ranks
            .iter()
            .filter_map(|(rank, known)| Some((*rank, known.report.hold_step?)))
            .collect();
        if armed.is_empty() && held.is_empty() {
            self.phase = Phase::Settled;
            return;
        }
        let due = |rank: &Rank| round.is_overdue(now, *rank, self.options.resend);
        if !armed.is_empty() {
            let ranks: Vec<Rank> = armed.keys().copied().filter(due).collect();
            let action = |rank: Rank| RankAction::Disarm {
                version: armed.get(&rank).copied().unwrap_or(NO_VERSION),
            };
            self.send(now, &ranks, action, out);
            return;
        }
        // An engine that was told to disarm is not armed again: the fence keeps others out.
        let ranks: Vec<Rank> = held.keys().copied().filter(due).collect();
        let action = |rank: Rank| RankAction::Release {
            step: held.get(&rank).copied().unwrap_or_default(),
        };
        self.send(now, &ranks, action, out);
    }

    /// Lets go what a rank holds that is not to hold: it was asked before another was, and did so late.
    ///
    /// The step of the switch itself stays held by the holder.
    fn release_strays(&mut self, now: Instant, out: &mut Vec<Output>) {
        let (Phase::Holding { step, holder, .. }
        | Phase::Arming { step, holder, .. }
        | Phase::Releasing { step, holder, .. }) = self.phase
        else {
            return;
        };
        let mut strays = Vec::new();
        for (rank, known) in &self.ranks {
            let Some(held) = known.report.hold_step else {
                continue;
            };
            let told = self.strays.get(rank);
            let due = told.is_none_or(|told| now.since(*told) >= self.options.resend);
            if (*rank, held) != (holder, step) && due {
                strays.push((*rank, held, known.agent));
            }
        }
        for (rank, held, agent) in strays {
            self.strays.insert(rank, now);
            let order = self.next_order(rank, RankAction::Release { step: held });
            let engine = None;
            out.push(Output::Order {
                agent,
                engine,
                order,
            });
        }
    }

    fn next_order(&mut self, rank: Rank, action: RankAction) -> RankOrder {
        self.orders += 1;
        RankOrder {
            number: self.orders,
            group: self.group.clone(),
            generation: self.generation,
            rank,
            fencing_token: (self.term.0 << TOKEN_BITS) + self.tokens,
            action,
        }
    }

    /// Sends an order to those of `ranks` to whom none is under way.
    fn order(
        &mut self,
        now: Instant,
        ranks: &[Rank],
        action: impl Fn(Rank) -> RankAction,
        out: &mut Vec<Output>,
    ) {
        let resend = self.options.resend;
        let Some(round) = self.round() else {
            return;
        };
        let due: Vec<Rank> = ranks
            .iter()
            .copied()
            .filter(|rank| round.is_overdue(now, *rank, resend))
            .collect();
        self.send(now, &due, action, out);
    }

    fn send(
        &mut self,
        now: Instant,
        ranks: &[Rank],
        action: impl Fn(Rank) -> RankAction,
        out: &mut Vec<Output>,
    ) {
        for rank in ranks {
            let Some(known) = self.ranks.get(rank) else {
                continue;
            };
            let (agent, engine) = (known.agent, known.report.address);
            let order = self.next_order(*rank, action(*rank));
            let number = order.number;
            let Some(round) = self.round() else {
                return;
            };
            let before = round.sent.get(rank).map_or(0, |sent| sent.silent);
            let sent = Sent {
                number,
                at: now,
                silent: before + 1,
            };
            round.sent.insert(*rank, sent);
            out.push(Output::Order {
                agent,
                engine: (before > 1).then_some(engine),
                order,
            });
        }
    }

    fn note(&self, code: Code, detail: String, out: &mut Vec<Output>) {
        out.push(Output::Event(Event::new(code, detail).group(&self.group)));
    }
}

impl Round {
    /// Whether an order to a rank is due: none was sent, or no word came of it.
    fn is_overdue(&self, now: Instant, rank: Rank, resend: Duration) -> bool {
        let sent = self.sent.get(&rank);
        sent.is_none_or(|sent| now.since(sent.at) >= resend)
    }
}

/// Those of `ranks` that have not confirmed yet.
fn unconfirmed(ranks: &[Rank], round: &Round) -> Vec<Rank> {
    let confirmed: BTreeSet<Rank> = round.confirmed.keys().copied().collect();
    ranks
        .iter()
        .copied()
        .filter(|rank| !confirmed.contains(rank))
        .collect()
}
