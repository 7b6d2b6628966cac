//! Rank groups whose engines apply expert maps themselves: plans and switches their maps from the
//! loads that the ranks report.
//!
//! Only the leader of the log plans and switches. The data about the groups is soft state: the ranks
//! report all of it again within a second.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::config::{Document, ExpertLayout, GroupSpec};
use eelgrassdyke_core::event::Event;
use eelgrassdyke_core::id::{Generation, Group, Rank, Service, Step, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::group::LoadReport;
use eelgrassdyke_core::wire::rank::{
    EngineReport, ExpertCounts, RankOrder, RankOrderResult, SlowEngine,
};
use eelgrassdyke_group::barrier::{self, Controller};
use eelgrassdyke_group::load::LoadEstimator;
use eelgrassdyke_group::plan::{Planner, RankLocation, Reason};

/// Time between two plans: long enough to include the counts of a few steps.
const PLAN_INTERVAL: Duration = Duration::from_millis(150);

/// Weight of the newest interval in the smoothed loads. It is high because demand shifts within a
/// second or two, and each interval counts thousands of expert choices.
const LOAD_GAIN: f64 = 0.7;

/// Minimum time between two switches, since copying experts slows the steps down.
const SWITCH_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum predicted gain of a plan while all slots are occupied, as a fraction of the mean step time.
const MIN_GAIN_BUSY: f64 = 0.4;

/// The same while all slots are free: an idle group meets its deadlines with almost any map, and
/// copies have a cost.
const MIN_GAIN_IDLE: f64 = 0.8;

/// Cost of step-time skew in the planner, relative to [`MOVE_WEIGHT`].
const SKEW_WEIGHT: u32 = 4;

/// Cost of moved bytes in the planner, relative to [`SKEW_WEIGHT`].
const MOVE_WEIGHT: u32 = 20;

/// Slowness from which an engine counts as slow, in thousandths; engines of the same make differ by
/// less.
const MIN_SLOW_PERMILLE: u32 = 1300;

/// Age from which a reported slowness is ignored.
const SLOWNESS_AGE_MAX: Duration = Duration::from_secs(2);

/// Time without a report after which a group is removed.
const GROUP_RETENTION: Duration = Duration::from_secs(30);

/// An effect that the caller carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send an order to the agent of an engine.
    OrderToAgent(SocketAddr, RankOrder),
    /// Send an order to the engine itself.
    OrderToEngine(SocketAddr, RankOrder),
    /// Record an event.
    Event(Event),
}

/// The groups that reported recently.
#[derive(Clone, Debug, Default)]
pub struct Groups {
    groups: BTreeMap<Group, GroupState>,
    /// The term in which this process leads; none while it doesn't.
    term: Option<Term>,
}

/// A rank group.
#[derive(Clone, Debug)]
struct GroupState {
    service: Service,
    controller: Controller,
    loads: LoadEstimator,
    /// Cumulative counts in the last report of each rank.
    last_counts: BTreeMap<Rank, ExpertCounts>,
    /// Number of running requests of each rank.
    running: BTreeMap<Rank, u32>,
    /// Slowness last reported by each rank, with the time of the report.
    slowness: BTreeMap<Rank, (SlowEngine, Instant)>,
    generation: Generation,
    size: u32,
    next_plan: Instant,
    last_report: Instant,
}

impl GroupState {
    fn new(now: Instant, group: Group, report: &EngineReport) -> Self {
        Self {
            service: report.service.clone(),
            controller: Controller::new(group, barrier::Options::default()),
            loads: LoadEstimator::new(LOAD_GAIN),
            last_counts: BTreeMap::new(),
            running: BTreeMap::new(),
            slowness: BTreeMap::new(),
            generation: report.generation,
            size: report.group_size,
            next_plan: now + PLAN_INTERVAL,
            last_report: now,
        }
    }

    /// Adds the expert choices of a rank since its last report; `experts` is their number per layer.
    fn record_counts(&mut self, report: &EngineReport, experts: usize) {
        if report.generation != self.generation {
            self.generation = report.generation;
            self.loads = LoadEstimator::new(LOAD_GAIN);
            self.last_counts.clear();
        }
        self.running.insert(report.rank, report.running);
        self.loads.set_rank_cost(
            report.rank,
            f64::from(report.slowness_permille.max(1)) / 1000.0,
        );
        let Some(counts) = &report.counts else {
            return;
        };
        if let Some(before) = self.last_counts.get(&report.rank)
            && let Some(chosen) = choices_between(before, counts)
        {
            let load_report = LoadReport {
                steps: (before.step.next(), counts.step),
                expert_tokens: chosen.chunks(experts).map(<[u64]>::to_vec).collect(),
                ..LoadReport::default()
            };
            self.loads.record_report(report.rank, &load_report);
        }
        self.last_counts.insert(report.rank, counts.clone());
    }

    /// Minimum gain for which a switch is worth its copies; depends on the fraction of occupied slots.
    fn min_gain(&self, slots: u32) -> f64 {
        let total = f64::from(slots.max(1)) * self.running.len().max(1) as f64;
        let occupied = f64::from(self.running.values().sum::<u32>());
        MIN_GAIN_IDLE + (MIN_GAIN_BUSY - MIN_GAIN_IDLE) * (occupied / total).min(1.0)
    }

    /// Plans the next map and begins the switch to it, if the gain is sufficient.
    fn plan_switch(
        &mut self,
        now: Instant,
        slots: u32,
        experts: &ExpertLayout,
        out: &mut Vec<barrier::Output>,
    ) {
        self.loads.close_interval();
        let Some(present) = self.controller.active_placement(now) else {
            return;
        };
        if self.loads.expert_loads().is_empty() {
            return;
        }
        let members: Vec<Rank> = (0..u64::from(self.size)).map(Rank).collect();
        let planner = build_planner(&self.service, self.size, experts, self.min_gain(slots));
        let plan = planner.plan(&self.loads, Some(&present), &members, Reason::Interval);
        let Some(plan) = plan else {
            return;
        };
        out.push(barrier::Output::Event(plan.event(self.controller.group())));
        self.next_plan = now + SWITCH_INTERVAL;
        let layers = plan.layers;
        self.controller
            .handle(now, barrier::Input::StartSwitch(layers), out);
    }
}

impl Groups {
    /// Sets the term in which this process leads the log; none if it doesn't.
    pub fn set_term(&mut self, now: Instant, term: Option<Term>) -> Vec<Output> {
        if self.term == term {
            return Vec::new();
        }
        self.term = term;
        let input = match term {
            Some(term) => barrier::Input::LeadershipGained(term),
            None => barrier::Input::LeadershipLost,
        };
        let mut out = Vec::new();
        for state in self.groups.values_mut() {
            state.controller.handle(now, input.clone(), &mut out);
        }
        convert_outputs(out)
    }

    /// Handles a rank's report; orders to the rank go to `agent`.
    pub fn handle_report(
        &mut self,
        now: Instant,
        agent: SocketAddr,
        report: EngineReport,
        document: &Document,
    ) -> Vec<Output> {
        let mut out = Vec::new();
        let name = report.group.clone();
        let state = self.groups.entry(name.clone()).or_insert_with(|| {
            let mut state = GroupState::new(now, name, &report);
            if let Some(term) = self.term {
                let lead = barrier::Input::LeadershipGained(term);
                state.controller.handle(now, lead, &mut out);
            }
            state
        });
        state.last_report = now;
        state.size = report.group_size;
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
        let input = barrier::Input::Report {
            watch: agent,
            report,
        };
        state.controller.handle(now, input, &mut out);
        convert_outputs(out)
    }

    /// The engines that are slow or whose group is closed at `now`, sorted by address.
    pub fn slow_engines(&self, now: Instant) -> Vec<SlowEngine> {
        let reported = self
            .groups
            .values()
            .flat_map(|state| state.slowness.values());
        let mut slow: Vec<SlowEngine> = reported
            .filter(|(engine, at)| {
                let concerned =
                    engine.slowness_permille >= MIN_SLOW_PERMILLE || engine.group_closed;
                concerned && now.since(*at) < SLOWNESS_AGE_MAX
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
        if self.term.is_none() {
            return Vec::new();
        }
        let mut out = Vec::new();
        for state in self.groups.values_mut() {
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
        if self.term.is_none() {
            return Instant::NEVER;
        }
        let deadlines = self.groups.values().map(|state| {
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

/// Expert choices between two cumulative counts; none if `after` does not continue `before`.
fn choices_between(before: &ExpertCounts, after: &ExpertCounts) -> Option<Vec<u64>> {
    if after.step <= before.step || after.step == Step(0) {
        return None;
    }
    let pairs = before.chosen.iter().zip(&after.chosen);
    pairs
        .map(|(before, after)| after.checked_sub(*before))
        .collect()
}

/// A planner for a group in which each rank runs on a host of its own.
fn build_planner(service: &Service, size: u32, experts: &ExpertLayout, hysteresis: f64) -> Planner {
    let spec = GroupSpec {
        service: service.clone(),
        ranks: BTreeMap::new(),
        experts: experts.experts,
        layers: experts.layers,
        slots: experts.slots,
        expert_bytes: experts.expert_bytes,
        store_rate: experts.copy_rate,
        skew_weight: SKEW_WEIGHT,
        move_weight: MOVE_WEIGHT,
        frozen: false,
    };
    let options = eelgrassdyke_group::plan::Options {
        hysteresis,
        max_new_experts: experts.max_copies_per_switch as usize,
        // Losing a rank ends the group's generation, so copies on other hosts add no availability.
        min_hosts_per_expert: 1,
        ..Default::default()
    };
    let name = |rank: u32| format!("rank-{rank}");
    let sites = (0..size).filter_map(|rank| {
        Some(RankLocation {
            data_centre: name(rank).parse().ok()?,
            host: name(rank).parse().ok()?,
        })
    });
    Planner::new(spec, sites.collect(), options)
}

/// Converts the outputs of a switch controller.
fn convert_outputs(out: Vec<barrier::Output>) -> Vec<Output> {
    let outputs = out.into_iter().map(|output| match output {
        barrier::Output::Order {
            engine: Some(engine),
            order,
            ..
        } => Output::OrderToEngine(engine, order),
        barrier::Output::Order {
            watch: agent,
            order,
            ..
        } => Output::OrderToAgent(agent, order),
        barrier::Output::Event(event) => Output::Event(event),
    });
    outputs.collect()
}
