//! The switch controller of a group whose engines activate a new map themselves.
//!
//! Each engine is armed: it is ordered to activate the map at a given step, the activation step. If
//! one of them were not armed, the group would run that step with two maps. Therefore one rank, the
//! holder, first holds the group before the step. It is released only when every rank has confirmed
//! that it is armed, or that it is disarmed and can't be armed any more:
//!
//! 1. Prepare: all ranks load the missing experts, until their reports show that the map is complete.
//! 2. Hold: one rank confirms that it holds the group, before any rank is armed.
//! 3. Arm: all ranks are armed; when all have confirmed, the holder is released.
//! 4. If a rank can't be armed, all ranks are disarmed under a higher fencing token, so that delayed
//!    orders have no effect. When all have confirmed, the holder is released.
//!
//! A hold remains in effect after a change of leader. A new leader first sends a higher fencing token
//! to every rank, which invalidates the orders of its predecessor and changes nothing else. From then
//! on, the reported state can't change unexpectedly, but for copies that are still under way: their map is not
//! reported before they are complete, and a new map could get its version. So the versions of a leader that finds
//! copies under way begin with its term, above all versions of earlier terms. If the group is held, the leader
//! disarms and releases it as in step 4. Ranks that are armed without a hold have all been armed and released by
//! the predecessor, so they are left to activate the map.
//!
//! Where engines don't check fencing tokens, each order names instead the number of orders that its
//! engine had begun in the report that justifies it, and `barrier::overtaking` takes the place of step 4.

mod overtaking;
mod round;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Generation, Group, Rank, Step, Term, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::group::ExpertPlacement;
use eelgrassdyke_core::wire::rank::{
    EngineReport, RankAction, RankOrder, RankOrderOutcome, RankOrderResult,
};

use overtaking::Overtaking;
use round::{Round, SentOrder, unconfirmed_ranks};

/// Number of low bits of a fencing token that count within a term; the higher bits are the term.
const FENCING_COUNTER_BITS: u32 = 24;

/// Number of low bits of an order number that count within a term; the higher bits are the term.
const ORDER_COUNTER_BITS: u32 = 32;

/// Number of low bits of a version that count within a term, if the higher bits are the term. Platforms may
/// store a version in 32 bits.
const VERSION_COUNTER_BITS: u32 = 8;

/// Maximum number of maps that earlier controllers have ordered and no report has shown.
const UNKNOWN_MAPS_MAX: u64 = 1 << (VERSION_COUNTER_BITS - 1);

/// A version that no map has, to send a fencing token to a rank without disarming it.
const NO_VERSION: Version = Version(u32::MAX as u64);

/// Weight of the latest measurement in the smoothed step time.
const STEP_TIME_SMOOTHING: f64 = 0.3;

/// Weight of the latest order in the smoothed fraction of unanswered orders.
const UNANSWERED_SMOOTHING: f64 = 0.05;

/// Minimum span over which the step time is measured: two reports shortly after each other may show
/// two steps.
const STEP_TIME_SPAN_MIN: Duration = Duration::from_millis(90);

/// Upper bound of a measured step time, in seconds.
const STEP_TIME_MAX_SECONDS: f64 = 0.5;

/// Step time that is assumed until two reports allow a measurement.
const INITIAL_STEP_TIME: Duration = Duration::from_millis(60);

/// Number of wake-ups per resend interval, to find overdue orders.
const WAKEUPS_PER_RESEND: u32 = 4;

/// Minimum number of steps between the estimated current step and the activation step: the estimate
/// may be wrong by one step, and the hold must arrive before the activation step starts.
const MIN_STEPS_AHEAD: f64 = 1.5;

/// Number of orders that follow each other between the choice of the activation step and the step:
/// hold, arm and release.
const ORDERS_BEFORE_ACTIVATION: f64 = 3.0;

/// Mean round-trip time of an order, in seconds, that is assumed until orders have been measured.
const INITIAL_ORDER_SECONDS: f64 = 0.025;

/// Weight of the latest order in the smoothed round-trip time.
const ORDER_TIME_SMOOTHING: f64 = 0.05;

/// Number of mean deviations above the mean that the slowest of all ranks is expected to need.
const ORDER_DEVIATIONS: f64 = 2.0;

/// Weight of the latest switch in the smoothed switch time.
const SWITCH_TIME_SMOOTHING: f64 = 0.3;

/// Upper bound of a measured switch time, in seconds. Longer ones have a cause of their own, such as a
/// lost process, and would prevent every later plan.
const SWITCH_TIME_MAX_SECONDS: f64 = 1.0;

/// Time of a switch, without the copies, that is assumed until one has been measured.
const INITIAL_SWITCH_TIME: Duration = Duration::from_millis(400);

/// Factor by which copies may take longer than expected before a switch is given up.
const COPY_TIME_TOLERANCE: u32 = 2;

/// Options of a controller.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Additional lead, multiplied by the recent fraction of unanswered orders.
    pub unanswered_lead: Duration,
    /// Time without a result after which an order is sent again.
    pub resend_interval: Duration,
    /// Maximum duration of the preparation, in addition to the expected time of the copies.
    pub prepare_timeout: Duration,
    /// Maximum duration of arming the ranks, from the first order.
    pub arm_timeout: Duration,
    /// Age from which a report is outdated.
    pub report_max_age: Duration,
    /// Whether engines refuse orders with a lower fencing token than they have seen.
    pub engines_check_fencing: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            unanswered_lead: Duration::from_millis(1500),
            resend_interval: Duration::from_millis(250),
            prepare_timeout: Duration::from_millis(2500),
            arm_timeout: Duration::from_secs(3),
            report_max_age: Duration::from_millis(1500),
            engines_check_fencing: true,
        }
    }
}

/// An input of a controller.
#[derive(Clone, Debug)]
pub enum Input {
    /// This process has become the leader of the log in this term, or the coordinator of the group in this
    /// coordination term, whose low 16 bits count the leader's assignments. A term has room for 32 bits.
    LeadershipGained(Term),
    /// This process is no longer the leader or coordinator.
    LeadershipLost,
    /// A report of an engine.
    Report {
        /// Address of the watch process beside the engine, for orders.
        watch: SocketAddr,
        /// The report.
        report: Box<EngineReport>,
    },
    /// The outcome of an order.
    OrderResult(RankOrderResult),
    /// A request to switch to this placement; ignored unless [`Controller::active_placement`] returns
    /// one. It replaces a switch whose copies are not complete.
    StartSwitch {
        /// The placement.
        layers: ExpertPlacement,
        /// Time that the copies are expected to take.
        copy_time: Duration,
    },
    /// The deadline of [`Controller::next_deadline`] has passed.
    Tick,
}

/// An output of a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send an order to a rank.
    Order {
        /// Address of the watch process beside the engine.
        watch: SocketAddr,
        /// Address of the engine; present if the watch process does not respond, and then the order
        /// goes to the engine directly.
        engine: Option<SocketAddr>,
        /// The order.
        order: RankOrder,
    },
    /// Record an event.
    Event(Event),
}

/// The latest report of a rank.
#[derive(Clone, Debug)]
struct RankEntry {
    watch: SocketAddr,
    report: EngineReport,
    received_at: Instant,
    /// A step with the time at which it was reported, from which the step time is measured.
    step_base: (Step, Instant),
}

/// The state of the controller.
#[derive(Clone, Debug)]
enum Phase {
    /// Another process is the leader.
    Idle,
    /// Invalidates all earlier orders with a higher fencing token and waits for reports made after
    /// that.
    Fencing(Round),
    /// Disarms the ranks of a held group, then releases the hold.
    Clearing {
        round: Round,
        /// Number of the fencing order that each rank confirmed; reports from before it are outdated.
        fencing_orders: BTreeMap<Rank, u64>,
    },
    /// Makes every rank begin an order where engines don't check fencing tokens, then releases the holds.
    Overtaking(Overtaking),
    /// Every rank uses the same map and no switch is in progress.
    Settled,
    /// The ranks load experts.
    Preparing {
        version: Version,
        layers: Arc<ExpertPlacement>,
        round: Round,
        deadline: Instant,
    },
    /// The holder is ordered to hold the group before the activation step.
    Holding {
        version: Version,
        /// The activation step.
        step: Step,
        round: Round,
        holder: Rank,
    },
    /// The ranks are being armed for the activation step.
    Arming {
        version: Version,
        /// The activation step.
        step: Step,
        round: Round,
        holder: Rank,
        deadline: Instant,
    },
    /// The holder is ordered to release the group.
    Releasing {
        version: Version,
        /// The activation step.
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
    /// Whether copies that other controllers have ordered are still to be looked for: after a change of leader, and
    /// in a new generation, which an earlier leader may use before it is fenced.
    looks_for_copies: bool,
    phase: Phase,
    generation: Generation,
    /// Number of ranks of the group, as most of them report it.
    group_size: u32,
    /// The ranks that have reported in this generation.
    ranks: BTreeMap<Rank, RankEntry>,
    /// Highest map version that any rank has used.
    highest_version: Version,
    /// Counter in the low bits of the fencing token.
    fencing_counter: u64,
    last_order_number: u64,
    /// Number of the first order under the present fencing token.
    first_order_of_token: u64,
    step_time_seconds: f64,
    /// Smoothed fraction of unanswered orders.
    unanswered_fraction: f64,
    /// When each rank with a stray hold was last ordered to release it.
    stray_releases: BTreeMap<Rank, Instant>,
    /// The last accepted order of each rank, and when its result arrived.
    accepted_orders: BTreeMap<Rank, (u64, Instant)>,
    /// Ranks that still copy experts for a map of an earlier controller, whose version their reports don't show
    /// yet; empty once the versions of this controller can't be theirs.
    copying_earlier_map: BTreeSet<Rank>,
    /// The latest step before which this controller ordered a hold in this generation.
    last_hold_step: Step,
    next_wakeup: Instant,
    completed_switches: u64,
    /// Smoothed round-trip time of an order and its mean deviation.
    order_seconds: (f64, f64),
    /// When the last switch started, and the time that its copies were expected to take.
    switch_started: (Instant, Duration),
    /// Smoothed time of a switch without its copies.
    switch_seconds: f64,
}

impl Controller {
    /// Creates a controller that is not the leader.
    pub fn new(group: Group, options: Options) -> Self {
        Self {
            options,
            group,
            term: Term(0),
            looks_for_copies: false,
            phase: Phase::Idle,
            generation: Generation(0),
            group_size: 0,
            ranks: BTreeMap::new(),
            highest_version: Version(0),
            fencing_counter: 0,
            last_order_number: 0,
            first_order_of_token: 0,
            step_time_seconds: INITIAL_STEP_TIME.as_secs_f64(),
            unanswered_fraction: 0.0,
            stray_releases: BTreeMap::new(),
            accepted_orders: BTreeMap::new(),
            copying_earlier_map: BTreeSet::new(),
            last_hold_step: Step(0),
            next_wakeup: Instant::NEVER,
            completed_switches: 0,
            order_seconds: (INITIAL_ORDER_SECONDS, INITIAL_ORDER_SECONDS / 2.0),
            switch_started: (Instant(0), Duration::ZERO),
            switch_seconds: INITIAL_SWITCH_TIME.as_secs_f64(),
        }
    }

    /// Processes an input at `now` and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::LeadershipGained(term) => {
                self.term = term;
                self.looks_for_copies = true;
                self.fencing_counter = 0;
                // With the term in the high bits, order numbers are unique across leaders.
                self.last_order_number = term.0 << ORDER_COUNTER_BITS;
                self.start_fencing();
            }
            Input::LeadershipLost => self.phase = Phase::Idle,
            Input::Report { watch, report } => self.handle_report(now, watch, *report),
            Input::OrderResult(result) => self.handle_order_result(now, &result, out),
            Input::StartSwitch { layers, copy_time } => self.start_switch(now, layers, copy_time),
            Input::Tick => {}
        }
        self.advance_phase(now, out);
        self.release_stray_holds(now, out);
        self.next_wakeup = match self.phase {
            Phase::Idle | Phase::Settled => Instant::NEVER,
            _ => now + self.options.resend_interval / WAKEUPS_PER_RESEND,
        };
    }

    /// Time at which the controller next needs [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        self.next_wakeup
    }

    /// Name of the group.
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// Whether this process is the leader.
    pub fn is_leader(&self) -> bool {
        !matches!(self.phase, Phase::Idle)
    }

    /// The placement that the ranks copy experts for, with the start of the switch and the time that
    /// the copies are expected to take; none in any other phase.
    pub fn copying(&self) -> Option<(&ExpertPlacement, Instant, Duration)> {
        let (started_at, copy_time) = self.switch_started;
        match &self.phase {
            Phase::Preparing { layers, .. } => Some((layers, started_at, copy_time)),
            _ => None,
        }
    }

    /// The placement that all ranks use; none unless a switch may start.
    pub fn active_placement(&self, now: Instant) -> Option<ExpertPlacement> {
        let layers = self.layers_to_switch(now)?;
        Some(self.reported_experts(layers))
    }

    /// The experts of every rank in the first `layers` layers, which all reports must have.
    fn reported_experts(&self, layers: usize) -> ExpertPlacement {
        let ranks = || self.ranks.values();
        let experts_of_layer =
            |layer: usize| ranks().map(move |entry| entry.report.experts[layer].clone());
        (0..layers)
            .map(|layer| experts_of_layer(layer).collect())
            .collect()
    }

    /// Number of layers of the placement that all ranks use; none unless a switch may start and the
    /// experts of every rank are known.
    fn layers_to_switch(&self, now: Instant) -> Option<usize> {
        let may_start = matches!(self.phase, Phase::Settled | Phase::Preparing { .. });
        if !may_start || !self.is_next_version_unused() || !self.is_group_running(now) {
            return None;
        }
        let mut reports = self.ranks.values().map(|entry| &entry.report);
        let first = reports.next()?;
        let layers = first.experts.len();
        let is_alike = |report: &EngineReport| {
            report.active_map == first.active_map && report.experts.len() >= layers
        };
        (layers > 0 && reports.all(is_alike)).then_some(layers)
    }

    /// Number of switches that this controller has completed.
    pub fn completed_switches(&self) -> u64 {
        self.completed_switches
    }

    /// Time that a switch takes in addition to its copies, as recent ones took it.
    pub fn switch_time(&self) -> Duration {
        Duration::from_secs_f64(self.switch_seconds)
    }

    /// Smoothed time of a step.
    pub fn step_time(&self) -> Duration {
        Duration::from_secs_f64(self.step_time_seconds)
    }

    /// Whether every rank has a recent report and the group is open.
    fn is_group_running(&self, now: Instant) -> bool {
        let is_running = |entry: &RankEntry| {
            entry.report.open && now.since(entry.received_at) < self.options.report_max_age
        };
        let is_complete = self.ranks.len() == self.group_size as usize
            && self
                .ranks
                .keys()
                .all(|rank| rank.0 < self.group_size.into());
        self.group_size > 0 && is_complete && self.ranks.values().all(is_running)
    }

    fn handle_report(&mut self, now: Instant, watch: SocketAddr, mut report: EngineReport) {
        if report.rank.0 >= report.group_size.into() || self.is_superseded(now, &report) {
            return;
        }
        if let Some(entry) = self.ranks.get(&report.rank) {
            let previous = &entry.report;
            let restarted = previous.incarnation != report.incarnation;
            // Steps and generations come from the engine, and a mistaken one may be the highest there is.
            let is_outdated = now.since(entry.received_at) >= self.options.report_max_age;
            let recency =
                |report: &EngineReport| (report.generation, report.last_known_order, report.step);
            let is_older = match is_outdated {
                true => {
                    report.generation <= previous.generation
                        && report.last_known_order < previous.last_known_order
                }
                false => recency(&report) < recency(previous),
            };
            if !restarted && is_older {
                return;
            }
            // A restarted watch process does not know which orders were complete when it read the state
            // of the engine, so its reports can't show the effect of earlier fencing orders.
            if restarted && self.is_clearing() {
                self.start_fencing();
            }
        }
        if report.generation != self.generation {
            // A new generation starts without a prepared or armed map and without a hold.
            self.generation = report.generation;
            self.ranks.clear();
            self.copying_earlier_map.clear();
            self.looks_for_copies = true;
            self.last_hold_step = Step(0);
            self.group_size = 0;
            if self.is_leader() {
                self.start_fencing();
            }
        }
        let reported_versions = [
            Some(report.active_map),
            report.prepared_map,
            report.armed_map,
        ];
        for version in reported_versions.into_iter().flatten() {
            self.highest_version = self.highest_version.max(version);
        }
        let mut step_base = (report.step, now);
        if let Some(previous) = self.ranks.get(&report.rank) {
            let (base_step, base_at) = previous.step_base;
            let steps = report.step.0.saturating_sub(base_step.0);
            let elapsed = now.since(base_at);
            if steps == 0 || elapsed < STEP_TIME_SPAN_MIN {
                step_base = previous.step_base;
            } else {
                let step_time = (elapsed.as_secs_f64() / steps as f64).min(STEP_TIME_MAX_SECONDS);
                self.step_time_seconds +=
                    (step_time - self.step_time_seconds) * STEP_TIME_SMOOTHING;
            }
        }
        let (rank, report_size) = (report.rank, report.group_size);
        if report.is_busy != Some(true) {
            self.copying_earlier_map.remove(&rank);
        }
        // Most reports leave the experts out, as the controller has them from an earlier one.
        let map =
            |report: &EngineReport| (report.incarnation, report.generation, report.active_map);
        if report.experts.is_empty()
            && let Some(previous) = self.ranks.get_mut(&rank)
            && map(&previous.report) == map(&report)
        {
            report.experts = std::mem::take(&mut previous.report.experts);
        }
        let entry = RankEntry {
            watch,
            report,
            received_at: now,
            step_base,
        };
        // An engine has one rank; another one was reported by mistake.
        let address = entry.report.address;
        self.ranks
            .retain(|_, other| other.report.address != address);
        self.ranks.insert(rank, entry);
        if report_size != self.group_size {
            self.group_size = self.most_reported_size();
        }
    }

    /// Whether a report is of an earlier generation than the present one. A generation of which no reports
    /// come any more was a mistake; orders under it have no effect on ranks of another one.
    fn is_superseded(&self, now: Instant, report: &EngineReport) -> bool {
        let is_recent =
            |entry: &RankEntry| now.since(entry.received_at) < self.options.report_max_age;
        report.generation < self.generation && self.ranks.values().any(is_recent)
    }

    /// The size that most ranks report, the larger one of two with as many.
    fn most_reported_size(&self) -> u32 {
        let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
        for entry in self.ranks.values() {
            *counts.entry(entry.report.group_size).or_default() += 1;
        }
        let most = counts
            .into_iter()
            .max_by_key(|(size, count)| (*count, *size));
        most.map_or(0, |(size, _)| size)
    }

    fn handle_order_result(
        &mut self,
        now: Instant,
        result: &RankOrderResult,
        out: &mut Vec<Output>,
    ) {
        let unanswered = f64::from(u8::from(result.outcome == RankOrderOutcome::Unanswered));
        self.unanswered_fraction += (unanswered - self.unanswered_fraction) * UNANSWERED_SMOOTHING;
        // An order from before this controller last raised its token was overtaken by a later one of its
        // own.
        let is_overtaken = result.number < self.first_order_of_token;
        if result.outcome == RankOrderOutcome::Fenced && self.is_leader() && !is_overtaken {
            let detail = format!(
                "rank {} refused an order: another leader has used a higher fencing token",
                result.rank
            );
            out.push(Output::Event(
                Event::new(Code::OrderFenced, detail).group(&self.group),
            ));
            self.phase = Phase::Idle;
            return;
        }
        if result.outcome == RankOrderOutcome::Accepted {
            let accepted = (result.number, now);
            self.accepted_orders.insert(result.rank, accepted);
        }
        let is_clearing = self.is_clearing();
        let is_unchecked = !self.options.engines_check_fencing;
        let is_switching = matches!(self.phase, Phase::Arming { .. } | Phase::Releasing { .. });
        let is_preparing = matches!(self.phase, Phase::Preparing { .. });
        let is_holding = matches!(self.phase, Phase::Holding { .. });
        let Some(round) = self.round_mut() else {
            return;
        };
        let Some(sent) = round.sent.get_mut(&result.rank) else {
            return;
        };
        if sent.number != result.number {
            return;
        }
        sent.unanswered_sends = 0;
        let sent_at = sent.sent_at;
        match result.outcome {
            RankOrderOutcome::Accepted => {
                round.confirmed.insert(result.rank, result.number);
            }
            // The rank is not armed with this version, so there is nothing to disarm.
            RankOrderOutcome::Refused if is_clearing => {
                round.confirmed.insert(result.rank, result.number);
                self.handle_overtaking_refusal(result.rank);
            }
            // The reports show whether the map is complete.
            RankOrderOutcome::Refused if is_preparing => {}
            RankOrderOutcome::Refused if is_holding => self.try_next_holder(now, result.rank),
            // The engine had begun another order since the report; the next reports show what is left to do.
            RankOrderOutcome::Refused if is_unchecked && is_switching => {}
            RankOrderOutcome::Refused => self.start_fencing(),
            RankOrderOutcome::Unanswered => sent.is_unanswered = true,
            RankOrderOutcome::Fenced => {}
        }
        self.record_order_time(now.since(sent_at));
    }

    fn record_order_time(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        let (mean, deviation) = &mut self.order_seconds;
        *deviation += ((seconds - *mean).abs() - *deviation) * ORDER_TIME_SMOOTHING;
        *mean += (seconds - *mean) * ORDER_TIME_SMOOTHING;
    }

    fn round_mut(&mut self) -> Option<&mut Round> {
        match &mut self.phase {
            Phase::Idle | Phase::Settled => None,
            Phase::Fencing(round)
            | Phase::Clearing { round, .. }
            | Phase::Overtaking(Overtaking { round, .. })
            | Phase::Preparing { round, .. }
            | Phase::Holding { round, .. }
            | Phase::Arming { round, .. }
            | Phase::Releasing { round, .. } => Some(round),
        }
    }

    /// Whether this controller invalidates earlier orders or clears what they left.
    fn is_clearing(&self) -> bool {
        matches!(
            self.phase,
            Phase::Fencing(_) | Phase::Clearing { .. } | Phase::Overtaking(_)
        )
    }

    /// Raises the fencing token, which invalidates all earlier orders, and enters [`Phase::Fencing`].
    fn start_fencing(&mut self) {
        self.raise_token();
        self.phase = Phase::Fencing(Round::default());
    }

    fn raise_token(&mut self) {
        self.fencing_counter += 1;
        self.first_order_of_token = self.last_order_number + 1;
    }

    fn start_switch(&mut self, now: Instant, layers: ExpertPlacement, copy_time: Duration) {
        if self.layers_to_switch(now).is_none() {
            return;
        }
        self.raise_token();
        if !self.copying_earlier_map.is_empty() {
            self.highest_version = self.highest_version.max(self.first_version_of_term());
            self.copying_earlier_map.clear();
        }
        self.highest_version = self.highest_version.next();
        self.phase = Phase::Preparing {
            version: self.highest_version,
            layers: Arc::new(layers),
            round: Round::default(),
            deadline: now
                + self.options.prepare_timeout
                + copy_time.saturating_mul(COPY_TIME_TOLERANCE),
        };
        self.switch_started = (now, copy_time);
    }

    fn first_version_of_term(&self) -> Version {
        Version(self.term.0 << VERSION_COUNTER_BITS)
    }

    /// Whether no rank can hold another map under the version of the next switch. After more switches than the
    /// bits count, this is known only when the copies of earlier maps are complete.
    fn is_next_version_unused(&self) -> bool {
        let unknown = Version(self.highest_version.0.saturating_add(UNKNOWN_MAPS_MAX));
        self.copying_earlier_map.is_empty() || unknown < self.first_version_of_term()
    }

    /// Orders the rank after `tried_holder` to hold the group before a newly chosen activation step,
    /// because a delayed order may still make `tried_holder` hold it.
    fn try_next_holder(&mut self, now: Instant, tried_holder: Rank) {
        let Phase::Holding { version, .. } = self.phase else {
            return;
        };
        let next = self.ranks.keys().find(|rank| **rank > tried_holder);
        let first = self.ranks.keys().next();
        if let Some(holder) = next.or(first).copied() {
            self.start_holding(now, version, holder);
        }
    }

    fn start_holding(&mut self, now: Instant, version: Version, holder: Rank) {
        let mut step = self.activation_step(now);
        if !self.options.engines_check_fencing {
            // A delayed order to release an earlier hold can't release this one.
            step = step.max(self.last_hold_step.next());
        }
        self.last_hold_step = step;
        self.phase = Phase::Holding {
            version,
            step,
            round: Round::default(),
            holder,
        };
    }

    /// The first step that is expected to start after the lead time at the current step time.
    fn activation_step(&self, now: Instant) -> Step {
        let estimated_step = |entry: &RankEntry| {
            let age = now.since(entry.received_at).as_secs_f64();
            entry.report.step.0 as f64 + age / self.step_time_seconds
        };
        let current = self.ranks.values().map(estimated_step).fold(0.0, f64::max);
        let (mean, deviation) = self.order_seconds;
        let mut orders = ORDERS_BEFORE_ACTIVATION;
        if !self.options.engines_check_fencing {
            // Each order to the holder waits for a report that shows the last one.
            orders += 1.0;
        }
        let orders = orders * (mean + ORDER_DEVIATIONS * deviation);
        let unanswered = self.options.unanswered_lead.as_secs_f64() * self.unanswered_fraction;
        let lead_steps = (orders + unanswered) / self.step_time_seconds;
        Step((current + lead_steps.max(MIN_STEPS_AHEAD)).ceil() as u64)
    }

    /// Sends the orders of the current phase and enters the next one when its condition is met.
    fn advance_phase(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.confirm_armed_ranks();
        match &self.phase {
            Phase::Idle => {}
            Phase::Settled => {
                let is_held_or_armed = |entry: &RankEntry| {
                    entry.report.hold_step.is_some() || entry.report.armed_map.is_some()
                };
                if self.ranks.values().any(is_held_or_armed) {
                    self.start_fencing();
                }
            }
            Phase::Fencing(_) => self.advance_fencing(now, out),
            Phase::Clearing { .. } => self.advance_clearing(now, out),
            Phase::Overtaking(_) => self.advance_overtaking(now, out),
            Phase::Preparing {
                version,
                layers,
                round,
                deadline,
            } => {
                let version = *version;
                let is_prepared = |entry: &RankEntry| entry.report.prepared_map == Some(version);
                let is_unprepared = |rank: &Rank| !self.ranks.get(rank).is_some_and(is_prepared);
                if self.is_group_running(now) && self.ranks.values().all(is_prepared) {
                    let holder = self.ranks.keys().next().copied().unwrap_or_default();
                    self.start_holding(now, version, holder);
                    self.advance_phase(now, out);
                } else if now >= *deadline {
                    let detail = format!(
                        "version {version}: not every rank had copied its experts before the deadline"
                    );
                    self.emit_event(Code::SwitchStalled, detail, out);
                    self.phase = Phase::Settled;
                } else {
                    let ranks: Vec<Rank> =
                        self.ranks.keys().copied().filter(is_unprepared).collect();
                    let unconfirmed = unconfirmed_ranks(&ranks, round);
                    let layers = layers.clone();
                    self.send_due_orders(
                        now,
                        &unconfirmed,
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
                let (version, step, holder) = (*version, *step, *holder);
                if round.confirmed.contains_key(&holder) {
                    self.phase = Phase::Arming {
                        version,
                        step,
                        round: Round::default(),
                        holder,
                        deadline: now + self.options.arm_timeout,
                    };
                    self.advance_phase(now, out);
                } else if round.sent.is_empty() {
                    self.send_due_orders(now, &[holder], |_| RankAction::Hold { step }, out);
                } else if round.is_due(now, holder, self.options.resend_interval) {
                    self.try_next_holder(now, holder);
                    self.advance_phase(now, out);
                }
            }
            Phase::Arming {
                version,
                step,
                round,
                holder,
                deadline,
            } => {
                let (version, step, holder) = (*version, *step, *holder);
                let ranks: Vec<Rank> = self.ranks.keys().copied().collect();
                if self.has_lost_switch(version, step) {
                    self.start_fencing();
                    self.advance_phase(now, out);
                } else if round.confirmed.len() == self.group_size as usize
                    && ranks.len() == round.confirmed.len()
                {
                    self.phase = Phase::Releasing {
                        version,
                        step,
                        round: Round::default(),
                        holder,
                    };
                    self.advance_phase(now, out);
                } else if now >= *deadline {
                    let detail = format!(
                        "version {version}: not every rank confirmed that it is armed before the deadline"
                    );
                    self.emit_event(Code::SwitchStalled, detail, out);
                    self.start_fencing();
                    self.advance_phase(now, out);
                } else {
                    let unconfirmed = unconfirmed_ranks(&ranks, round);
                    self.send_due_orders(
                        now,
                        &unconfirmed,
                        |_| RankAction::Arm { version, step },
                        out,
                    );
                }
            }
            Phase::Releasing {
                version,
                step,
                round,
                holder,
            } => {
                let (version, step, holder) = (*version, *step, *holder);
                let is_switched = |entry: &RankEntry| {
                    entry.report.active_map == version && entry.report.hold_step.is_none()
                };
                if self.ranks.values().all(is_switched) {
                    self.completed_switches += 1;
                    let (started_at, copy_time) = self.switch_started;
                    let seconds = now
                        .since(started_at)
                        .saturating_sub(copy_time)
                        .as_secs_f64()
                        .min(SWITCH_TIME_MAX_SECONDS);
                    self.switch_seconds += (seconds - self.switch_seconds) * SWITCH_TIME_SMOOTHING;
                    let detail = format!("version {version} at step {step}");
                    self.emit_event(Code::MapInForce, detail, out);
                    self.phase = Phase::Settled;
                } else if self.is_holder_disarmed(holder, version) {
                    self.start_fencing();
                    self.advance_phase(now, out);
                } else if self.may_release(holder, version, step) {
                    let unconfirmed = unconfirmed_ranks(&[holder], round);
                    self.send_due_orders(now, &unconfirmed, |_| RankAction::Release { step }, out);
                }
            }
        }
    }

    /// Sends the fencing token to every rank and evaluates the reports made after that.
    fn advance_fencing(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Phase::Fencing(round) = &self.phase else {
            return;
        };
        if self.group_size == 0 || self.ranks.len() < self.group_size as usize {
            return;
        }
        let ranks: Vec<Rank> = self.ranks.keys().copied().collect();
        let unconfirmed = unconfirmed_ranks(&ranks, round);
        if !unconfirmed.is_empty() {
            let version = NO_VERSION;
            self.send_due_orders(now, &unconfirmed, |_| RankAction::Disarm { version }, out);
            return;
        }
        if !self.have_reported_since(&round.confirmed) {
            return;
        }
        if std::mem::take(&mut self.looks_for_copies) {
            let is_busy = |(_, entry): &(&Rank, &RankEntry)| entry.report.is_busy == Some(true);
            let busy = self.ranks.iter().filter(is_busy);
            self.copying_earlier_map = busy.map(|(rank, _)| *rank).collect();
        }
        if !self.options.engines_check_fencing {
            let fencing_orders = round.confirmed.clone();
            self.start_overtaking(fencing_orders);
            self.advance_phase(now, out);
            return;
        }
        let mut reports = self.ranks.values().map(|entry| &entry.report);
        if reports.clone().any(|report| report.hold_step.is_some()) {
            self.phase = Phase::Clearing {
                round: Round::default(),
                fencing_orders: round.confirmed.clone(),
            };
            self.advance_phase(now, out);
        } else if reports.all(|report| report.armed_map.is_none()) {
            self.phase = Phase::Settled;
        }
    }

    /// Whether the latest report of every rank was made after the completion of its order in `orders`.
    fn have_reported_since(&self, orders: &BTreeMap<Rank, u64>) -> bool {
        self.ranks.iter().all(|(rank, entry)| {
            let order = orders.get(rank).copied().unwrap_or_default();
            entry.report.last_known_order >= order
        })
    }

    /// Disarms the armed ranks, then releases the holds.
    fn advance_clearing(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Phase::Clearing {
            round,
            fencing_orders,
        } = &self.phase
        else {
            return;
        };
        if self.ranks.len() < self.group_size as usize || !self.have_reported_since(fencing_orders)
        {
            return;
        }
        let armed: BTreeMap<Rank, Version> = self
            .ranks
            .iter()
            .filter_map(|(rank, entry)| Some((*rank, entry.report.armed_map?)))
            .collect();
        let held: BTreeMap<Rank, Step> = self
            .ranks
            .iter()
            .filter_map(|(rank, entry)| Some((*rank, entry.report.hold_step?)))
            .collect();
        if armed.is_empty() && held.is_empty() {
            self.phase = Phase::Settled;
            return;
        }
        let is_due = |rank: &Rank| round.is_due(now, *rank, self.options.resend_interval);
        if !armed.is_empty() {
            let ranks: Vec<Rank> = armed.keys().copied().filter(is_due).collect();
            let action = |rank: Rank| RankAction::Disarm {
                version: armed.get(&rank).copied().unwrap_or(NO_VERSION),
            };
            self.send_orders(now, &ranks, action, out);
            return;
        }
        // No rank can be armed again, because all earlier orders are fenced.
        let ranks: Vec<Rank> = held.keys().copied().filter(is_due).collect();
        let action = |rank: Rank| RankAction::Release {
            step: held.get(&rank).copied().unwrap_or_default(),
        };
        self.send_orders(now, &ranks, action, out);
    }

    /// Releases stray holds, which result from delayed orders to ranks that were tried as holder
    /// before.
    ///
    /// The hold of the current holder before the activation step stays.
    fn release_stray_holds(&mut self, now: Instant, out: &mut Vec<Output>) {
        let (Phase::Holding { step, holder, .. }
        | Phase::Arming { step, holder, .. }
        | Phase::Releasing { step, holder, .. }) = self.phase
        else {
            return;
        };
        let mut stray_holds = Vec::new();
        for (rank, entry) in &self.ranks {
            let Some(held_step) = entry.report.hold_step else {
                continue;
            };
            let last_release = self.stray_releases.get(rank);
            let is_due =
                last_release.is_none_or(|at| now.since(*at) >= self.options.resend_interval);
            if (*rank, held_step) != (holder, step) && is_due {
                stray_holds.push((*rank, held_step, entry.watch));
            }
        }
        for (rank, held_step, watch) in stray_holds {
            self.stray_releases.insert(rank, now);
            let order = self.next_order(rank, RankAction::Release { step: held_step });
            let engine = None;
            out.push(Output::Order {
                watch,
                engine,
                order,
            });
        }
    }

    fn next_order(&mut self, rank: Rank, action: RankAction) -> RankOrder {
        self.last_order_number += 1;
        let entry = match self.options.engines_check_fencing {
            true => None,
            false => self.ranks.get(&rank),
        };
        let begun_orders = entry.and_then(|entry| entry.report.begun_orders);
        RankOrder {
            number: self.last_order_number,
            group: self.group.clone(),
            generation: self.generation,
            rank,
            fencing_token: (self.term.0 << FENCING_COUNTER_BITS) + self.fencing_counter,
            expected_begun_orders: begun_orders,
            action,
        }
    }

    /// Sends an order to each of `ranks` that has no order awaiting a result.
    fn send_due_orders(
        &mut self,
        now: Instant,
        ranks: &[Rank],
        action: impl Fn(Rank) -> RankAction,
        out: &mut Vec<Output>,
    ) {
        let resend_interval = self.options.resend_interval;
        let Some(round) = self.round_mut() else {
            return;
        };
        let due: Vec<Rank> = ranks
            .iter()
            .copied()
            .filter(|rank| round.is_due(now, *rank, resend_interval))
            .collect();
        let due: Vec<Rank> = due
            .into_iter()
            .filter(|rank| self.shows_accepted_order(now, *rank))
            .collect();
        self.send_orders(now, &due, action, out);
    }

    fn send_orders(
        &mut self,
        now: Instant,
        ranks: &[Rank],
        action: impl Fn(Rank) -> RankAction,
        out: &mut Vec<Output>,
    ) {
        for rank in ranks {
            let Some(entry) = self.ranks.get(rank) else {
                continue;
            };
            let (watch, engine) = (entry.watch, entry.report.address);
            let order = self.next_order(*rank, action(*rank));
            let number = order.number;
            let Some(round) = self.round_mut() else {
                return;
            };
            let unanswered_sends = round.sent.get(rank).map_or(0, |sent| sent.unanswered_sends);
            let sent = SentOrder {
                number,
                sent_at: now,
                unanswered_sends: unanswered_sends + 1,
                is_unanswered: false,
            };
            round.sent.insert(*rank, sent);
            out.push(Output::Order {
                watch,
                engine: (unanswered_sends > 1).then_some(engine),
                order,
            });
        }
    }

    fn emit_event(&self, code: Code, detail: String, out: &mut Vec<Output>) {
        out.push(Output::Event(Event::new(code, detail).group(&self.group)));
    }
}
