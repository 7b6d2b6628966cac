//! Rank groups whose engines apply expert maps themselves: plans and switches their maps from the
//! loads that the ranks report.
//!
//! Only the coordinator of a group plans and switches: the leader of the log, or the control process to
//! which the leader assigned the group ([`crate::coordination`]). The data about the groups is soft
//! state: the ranks report all of it again within a second.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassdyke_core::config::{Document, ExpertLayout, GroupSpec};
use eelgrassdyke_core::event::Event;
use eelgrassdyke_core::id::{CoordinationTerm, Generation, Group, Rank, Service, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::group::LoadReport;
use eelgrassdyke_core::wire::rank::{EngineReport, RankOrder, RankOrderResult, SlowEngine};
use eelgrassdyke_group::barrier::{self, Controller};
use eelgrassdyke_group::cost::CopyCost;
use eelgrassdyke_group::forecast::Forecast;
use eelgrassdyke_group::load::{Demand, LoadEstimator};
use eelgrassdyke_group::plan::{Planner, RankLocation};

/// Time between two plans: long enough to include the counts of a few steps.
const PLAN_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two plans while demand changes: long enough for a report of each rank that shows the new
/// demand alone.
const CHANGE_INTERVAL: Duration = Duration::from_millis(110);

/// Minimum time between two switches, since copying experts slows the steps down.
const SWITCH_INTERVAL: Duration = Duration::from_millis(300);

/// Increase of the skew after which another plan is attempted.
const SKEW_INCREASE_MIN: f64 = 0.1;

/// Slowness from which an engine counts as slow, in thousandths, where 1000 is the published speed;
/// engines of the same make differ by less.
const MIN_SLOW_PERMILLE: u32 = 1300;

/// Age from which a reported slowness is ignored.
const SLOWNESS_AGE_MAX: Duration = Duration::from_secs(2);

/// Time without a report after which a group is removed.
const GROUP_RETENTION: Duration = Duration::from_secs(30);

/// An effect that the caller carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send an order to the watch process beside an engine.
    OrderToWatch(SocketAddr, RankOrder),
    /// Send an order to the engine itself.
    OrderToEngine(SocketAddr, RankOrder),
    /// Record an event.
    Event(Event),
}

/// The groups that reported recently.
#[derive(Clone, Debug)]
pub struct Groups {
    groups: BTreeMap<Group, GroupState>,
    authority: Authority,
    /// Options of the controllers.
    options: barrier::Options,
}

/// The groups that this process coordinates, with the term for each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Authority {
    /// None.
    #[default]
    None,
    /// All groups, as the leader of the log in this term.
    All(Term),
    /// The groups on which it holds leases.
    Leases(BTreeMap<Group, CoordinationTerm>),
}

impl Authority {
    /// The term in which this process coordinates a group; none if it doesn't.
    fn term(&self, group: &Group) -> Option<Term> {
        match self {
            Self::None => None,
            Self::All(term) => Some(*term),
            // The coordination term takes the place of the log's term in tokens and order numbers.
            Self::Leases(terms) => terms.get(group).map(|term| Term(term.0)),
        }
    }

    fn is_none(&self) -> bool {
        match self {
            Self::None => true,
            Self::All(_) => false,
            Self::Leases(terms) => terms.is_empty(),
        }
    }
}

/// A rank group.
#[derive(Clone, Debug)]
struct GroupState {
    service: Service,
    /// The term in which this process coordinates the group; none if it doesn't.
    term: Option<Term>,
    controller: Controller,
    loads: LoadEstimator,
    /// Number of running requests of each rank.
    running: BTreeMap<Rank, u32>,
    /// Slowness last reported by each rank, with the time of the report.
    slowness: BTreeMap<Rank, (SlowEngine, Instant)>,
    generation: Generation,
    next_plan: Instant,
    last_report: Instant,
    forecast: Forecast,
    /// When the last map was planned, and its predicted skew.
    planned: (Instant, f64),
    completed_switches: u64,
    /// Skew, last change of demand and number of switches when a plan was last attempted.
    last_attempt: Option<(f64, Instant, u64)>,
    /// The planner, with the number of ranks and the layout that it was built for.
    planner: Option<(usize, ExpertLayout, Arc<Planner>)>,
}

impl GroupState {
    fn new(now: Instant, group: Group, options: barrier::Options, report: &EngineReport) -> Self {
        Self {
            service: report.service.clone(),
            term: None,
            controller: Controller::new(group, options),
            loads: LoadEstimator::adaptive(),
            running: BTreeMap::new(),
            slowness: BTreeMap::new(),
            generation: report.generation,
            next_plan: now + PLAN_INTERVAL,
            last_report: now,
            forecast: Forecast::new(now),
            planned: (now, 1.0),
            completed_switches: 0,
            last_attempt: None,
            planner: None,
        }
    }

    /// Sets the term in which this process coordinates the group; none if it doesn't.
    fn set_term(&mut self, now: Instant, term: Option<Term>, out: &mut Vec<barrier::Output>) {
        if self.term == term {
            return;
        }
        self.term = term;
        let input = match term {
            Some(term) => barrier::Input::LeadershipGained(term),
            None => barrier::Input::LeadershipLost,
        };
        self.controller.handle(now, input, out);
    }

    /// Adds the expert choices that a rank reports; `experts` is the number of experts per layer.
    fn record_counts(&mut self, report: &EngineReport, experts: usize) {
        if report.generation != self.generation {
            self.generation = report.generation;
            self.loads = LoadEstimator::adaptive();
        }
        self.running.insert(report.rank, report.running);
        self.loads.set_rank_cost(
            report.rank,
            f64::from(report.slowness_permille.max(1)) / 1000.0,
        );
        let Some(counts) = &report.counts else {
            return;
        };
        let Some(since) = counts.since else {
            return;
        };
        let load_report = LoadReport {
            steps: (since.next(), counts.step),
            expert_tokens: counts
                .selections
                .chunks(experts)
                .map(<[u64]>::to_vec)
                .collect(),
            ..LoadReport::default()
        };
        self.loads.record_report(report.rank, &load_report);
    }

    /// Whether a plan may save something though the last attempt found none: demand or the map has
    /// changed, or the skew has increased. Planning takes much of a small process's processor time.
    fn may_gain(&mut self, attempt: (f64, Instant, u64)) -> bool {
        let (skew, changed_at, switches) = attempt;
        let may_gain = self
            .last_attempt
            .is_none_or(|(last_skew, last_change, last_switches)| {
                changed_at != last_change
                    || switches != last_switches
                    || skew >= last_skew + SKEW_INCREASE_MIN
            });
        if may_gain {
            self.last_attempt = Some(attempt);
        }
        may_gain
    }

    /// What copies cost, and how long they are of use; copying matters less the fewer slots are occupied.
    fn copy_cost(&self, now: Instant, slots: u32, experts: &ExpertLayout) -> CopyCost {
        let slots = f64::from(slots.max(1)) * self.running.len().max(1) as f64;
        let running = self.running.values().copied().map(u64::from);
        let occupied = running.sum::<u64>().max(1) as f64;
        let copy_seconds = experts.expert_bytes.0 as f64 / experts.copy_rate.0.max(1) as f64;
        CopyCost::new(
            Duration::try_from_secs_f64(copy_seconds).unwrap_or(Duration::MAX),
            self.controller.switch_time(),
            experts.layers as usize * experts.experts as usize,
            occupied / slots,
            &self.forecast,
            now,
        )
    }

    /// The planner of the group, which is built again only if the number of ranks or the layout changes.
    fn planner(&mut self, ranks: usize, experts: &ExpertLayout) -> Arc<Planner> {
        match &self.planner {
            Some((count, layout, planner)) if (*count, layout) == (ranks, experts) => {
                planner.clone()
            }
            _ => {
                let planner = Arc::new(build_planner(&self.service, ranks, experts));
                self.planner = Some((ranks, experts.clone(), planner.clone()));
                planner
            }
        }
    }

    /// Plans the next map and begins the switch to it, if it saves more than it costs.
    ///
    /// A switch whose copies are under way is replaced only after a change of demand, and only if the new
    /// map is copied sooner or the old one is of no use any more.
    fn plan_switch(
        &mut self,
        now: Instant,
        slots: u32,
        experts: &ExpertLayout,
        out: &mut Vec<barrier::Output>,
    ) {
        match self.loads.close_interval() {
            Demand::Steady => {}
            Demand::Changing => {
                self.next_plan = now + CHANGE_INTERVAL;
                return;
            }
            Demand::Changed => self.forecast.record_change(now),
        }
        let Some(present) = self.controller.active_placement(now) else {
            return;
        };
        if self.loads.expert_loads().is_empty() {
            return;
        }
        // The ranks that reported, as one of them may report any size.
        let ranks = present.first().map_or(0, Vec::len);
        let members: Vec<Rank> = (0..ranks as u64).map(Rank).collect();
        let planner = self.planner(ranks, experts);
        if !planner.accepts(&present) {
            return;
        }
        let attempt = planner.attempt(&self.loads, &present, &members);
        let switches = self.controller.completed_switches();
        if self.controller.copying().is_some() {
            // The map in force is about to be replaced.
        } else if switches > self.completed_switches {
            self.completed_switches = switches;
            let (planned_at, predicted_skew) = self.planned;
            self.forecast.record_map(now, planned_at, predicted_skew);
        } else {
            let skew = planner.latest_skew(&self.loads, &present, &members);
            self.forecast.record_skew(skew, attempt.skew());
        }
        let changed_at = self.forecast.changed_at();
        if !self.may_gain((attempt.skew(), changed_at, self.completed_switches)) {
            return;
        }
        let cost = self.copy_cost(now, slots, experts);
        let Some(plan) = planner.plan_attempt(&attempt, &cost) else {
            return;
        };
        let copies = u32::try_from(plan.copies_of_busiest_rank).unwrap_or(u32::MAX);
        let copy_time = cost.copy_time.saturating_mul(copies);
        if let Some((layers, started_at, expected)) = self.controller.copying() {
            let rest = expected.saturating_sub(now.since(started_at));
            let is_of_use = attempt.skew_of(layers) < plan.skew.0;
            if self.forecast.changed_at() <= started_at || is_of_use && rest < copy_time {
                return;
            }
        }
        self.planned = (now, plan.skew.1);
        out.push(barrier::Output::Event(
            plan.event(self.controller.group(), self.forecast.map()),
        ));
        self.next_plan = now + SWITCH_INTERVAL;
        let layers = plan.layers;
        let input = barrier::Input::StartSwitch { layers, copy_time };
        self.controller.handle(now, input, out);
    }
}

impl Groups {
    /// Creates the state of no group; `engines_check_fencing` tells whether engines refuse orders with a
    /// lower fencing token than they have seen.
    pub fn new(engines_check_fencing: bool) -> Self {
        Self {
            groups: BTreeMap::new(),
            authority: Authority::None,
            options: barrier::Options {
                engines_check_fencing,
                ..barrier::Options::default()
            },
        }
    }

    /// Sets the groups that this process coordinates.
    pub fn set_authority(&mut self, now: Instant, authority: Authority) -> Vec<Output> {
        if self.authority == authority {
            return Vec::new();
        }
        self.authority = authority;
        let mut out = Vec::new();
        for (group, state) in &mut self.groups {
            state.set_term(now, self.authority.term(group), &mut out);
        }
        convert_outputs(out)
    }

    /// The groups that this process coordinates but whose controller found that an engine had seen a
    /// higher fencing token.
    pub fn fenced(&self) -> Vec<Group> {
        let fenced = self
            .groups
            .iter()
            .filter(|(_, state)| state.term.is_some() && !state.controller.is_leader());
        fenced.map(|(group, _)| group.clone()).collect()
    }

    /// Handles a rank's report; orders to the rank go to `watch`, the address of its watch process.
    pub fn handle_report(
        &mut self,
        now: Instant,
        watch: SocketAddr,
        report: EngineReport,
        document: &Document,
    ) -> Vec<Output> {
        let mut out = Vec::new();
        let group = report.group.clone();
        let term = self.authority.term(&group);
        let options = &self.options;
        let state = self.groups.entry(group.clone()).or_insert_with(|| {
            let mut state = GroupState::new(now, group, options.clone(), &report);
            state.set_term(now, term, &mut out);
            state
        });
        state.last_report = now;
        let slowness = SlowEngine {
            address: report.address,
            slowness_permille: report.slowness_permille,
            group_closed: !report.open,
        };
        state.slowness.insert(report.rank, (slowness, now));
        if let Some((_, experts)) = expert_layout(document, &report.service) {
            state.record_counts(&report, experts.experts.max(1) as usize);
        }
        let report = Box::new(report);
        let input = barrier::Input::Report { watch, report };
        state.controller.handle(now, input, &mut out);
        convert_outputs(out)
    }

    /// The engines that are slow or whose group is closed at `now`, sorted by address. Those of a group
    /// that this process no longer coordinates are included until they age, because its next coordinator
    /// does not know them yet.
    pub fn slow_engines(&self, now: Instant) -> Vec<SlowEngine> {
        let reported = self
            .groups
            .values()
            .flat_map(|state| state.slowness.values());
        let mut slow: Vec<SlowEngine> = reported
            .filter(|(engine, at)| {
                let slow_or_closed =
                    engine.slowness_permille >= MIN_SLOW_PERMILLE || engine.group_closed;
                slow_or_closed && now.since(*at) < SLOWNESS_AGE_MAX
            })
            .map(|(engine, _)| engine.clone())
            .collect();
        slow.sort_by_key(|engine| engine.address);
        slow
    }

    /// Handles the result of an order.
    pub fn handle_order_result(&mut self, now: Instant, result: RankOrderResult) -> Vec<Output> {
        let mut out = Vec::new();
        if let Some(state) = self.groups.get_mut(&result.group) {
            let input = barrier::Input::OrderResult(result);
            state.controller.handle(now, input, &mut out);
        }
        convert_outputs(out)
    }

    /// Continues the switches in progress and plans new ones under this configuration.
    pub fn tick(&mut self, now: Instant, document: &Document) -> Vec<Output> {
        self.groups
            .retain(|_, state| now.since(state.last_report) < GROUP_RETENTION);
        let mut out = Vec::new();
        for state in self.groups.values_mut() {
            if state.term.is_none() {
                continue;
            }
            if now >= state.controller.next_deadline() {
                state.controller.handle(now, barrier::Input::Tick, &mut out);
            }
            if now < state.next_plan {
                continue;
            }
            state.next_plan = now + PLAN_INTERVAL;
            if let Some((slots, experts)) = expert_layout(document, &state.service) {
                state.plan_switch(now, slots, experts, &mut out);
            }
        }
        convert_outputs(out)
    }

    /// When the groups next need [`Groups::tick`].
    pub fn next_deadline(&self) -> Instant {
        if self.authority.is_none() {
            return Instant::NEVER;
        }
        let coordinated = self.groups.values().filter(|state| state.term.is_some());
        let deadlines = coordinated.map(|state| {
            let controller = state.controller.next_deadline();
            controller.min(state.next_plan)
        });
        deadlines.min().unwrap_or(Instant::NEVER)
    }
}

/// Slots per engine of a service and the layout of its experts.
fn expert_layout<'a>(document: &'a Document, service: &Service) -> Option<(u32, &'a ExpertLayout)> {
    let direct = document.services.get(service)?.direct.as_ref()?;
    let engine = direct.engine.as_ref()?;
    Some((engine.slots, engine.experts.as_ref()?))
}

/// A planner for a group in which each rank runs on a host of its own.
fn build_planner(service: &Service, ranks: usize, experts: &ExpertLayout) -> Planner {
    let spec = GroupSpec {
        service: service.clone(),
        ranks: BTreeMap::new(),
        experts: experts.experts,
        layers: experts.layers,
        slots: experts.slots,
        expert_bytes: experts.expert_bytes,
        store_rate: experts.copy_rate,
        skew_weight: 1,
        move_weight: 1,
        frozen: false,
    };
    let options = eelgrassdyke_group::plan::Options {
        max_new_experts: experts.max_copies_per_switch as usize,
        // Losing a rank ends the group's generation, so copies on other hosts add no availability.
        min_hosts_per_expert: 1,
        ..Default::default()
    };
    let name = |rank: usize| format!("rank-{rank}");
    let locations = (0..ranks).filter_map(|rank| {
        Some(RankLocation {
            data_centre: name(rank).parse().ok()?,
            host: name(rank).parse().ok()?,
        })
    });
    Planner::new(spec, locations.collect(), options)
}

/// Converts the outputs of a switch controller.
fn convert_outputs(out: Vec<barrier::Output>) -> Vec<Output> {
    let outputs = out.into_iter().map(|output| match output {
        barrier::Output::Order {
            engine: Some(engine),
            order,
            ..
        } => Output::OrderToEngine(engine, order),
        barrier::Output::Order { watch, order, .. } => Output::OrderToWatch(watch, order),
        barrier::Output::Event(event) => Output::Event(event),
    });
    outputs.collect()
}
