//! Rank groups whose engines go over to maps by themselves: loads in, switches out.
//!
//! Only the leader of the log plans and switches. What it knows of the groups is soft: the ranks
//! report it all again within a second.

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

/// Time between two plans: long enough for a few steps to be counted.
const PLAN_INTERVAL: Duration = Duration::from_millis(150);

/// Weight of the newest interval in the loads: demand shifts within a second or two, and thousands of
/// choices are counted in each interval.
const LOAD_GAIN: f64 = 0.7;

/// Least time between two switches: copies slow the steps down.
const SWITCH_INTERVAL: Duration = Duration::from_millis(300);

/// Least predicted gain of a plan, as a part of the mean step time, while all places are taken.
const GAIN_BUSY: f64 = 0.4;

/// The same while none is: an idle group is in time with almost any map, and copies have a price.
const GAIN_IDLE: f64 = 0.8;

/// Price of step-time skew in the planner, against that of moved bytes.
const SKEW_WEIGHT: u32 = 4;

/// Price of moved bytes.
const MOVE_WEIGHT: u32 = 20;

/// Slowness from which an engine counts as slow, in thousandths: its maker's engines differ by less.
const SLOW_PACE: u32 = 1300;

/// Age beyond which a report of slowness says nothing of the present.
const PACE_MAX: Duration = Duration::from_secs(2);

/// Time without a report after which a group is forgotten.
const FORGET: Duration = Duration::from_secs(30);

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Have an order carried out beside an engine.
    Order(SocketAddr, RankOrder),
    /// Carry an order out at the engine itself.
    Direct(SocketAddr, RankOrder),
    /// Note an event.
    Event(Event),
}

/// The groups that reported lately.
#[derive(Clone, Debug, Default)]
pub struct Groups {
    groups: BTreeMap<Group, Entry>,
    term: Option<Term>,
}

#[derive(Clone, Debug)]
struct Entry {
    service: Service,
    controller: Controller,
    loads: LoadEstimator,
    counted: BTreeMap<Rank, ExpertCounts>,
    /// Requests that each rank works on.
    running: BTreeMap<Rank, u32>,
    /// What each rank last said of its speed, and when.
    paces: BTreeMap<Rank, (SlowEngine, Instant)>,
    generation: Generation,
    size: u32,
    next_plan: Instant,
    heard: Instant,
}

impl Entry {
    fn new(now: Instant, group: Group, report: &EngineReport) -> Self {
        Self {
            service: report.service.clone(),
            controller: Controller::new(group, barrier::Options::default()),
            loads: LoadEstimator::new(LOAD_GAIN),
            counted: BTreeMap::new(),
            running: BTreeMap::new(),
            paces: BTreeMap::new(),
            generation: report.generation,
            size: report.group_size,
            next_plan: now + PLAN_INTERVAL,
            heard: now,
        }
    }

    /// Counts what a rank's requests chose since its last report; `experts` are those of a layer.
    fn count(&mut self, report: &EngineReport, experts: usize) {
        if report.generation != self.generation {
            self.generation = report.generation;
            self.loads = LoadEstimator::new(LOAD_GAIN);
            self.counted.clear();
        }
        self.running.insert(report.rank, report.running);
        self.loads.set_rank_cost(
            report.rank,
            f64::from(report.slowness_permille.max(1)) / 1000.0,
        );
        let Some(counts) = &report.counts else {
            return;
        };
        if let Some(before) = self.counted.get(&report.rank)
            && let Some(chosen) = difference(before, counts)
        {
            let seen = LoadReport {
                steps: (before.step.next(), counts.step),
                expert_tokens: chosen.chunks(experts).map(<[u64]>::to_vec).collect(),
                ..LoadReport::default()
            };
            self.loads.record_report(report.rank, &seen);
        }
        self.counted.insert(report.rank, counts.clone());
    }

    /// Least gain for which a switch is worth its copies, by how many of the places are taken.
    fn least_gain(&self, slots: u32) -> f64 {
        let places = f64::from(slots.max(1)) * self.running.len().max(1) as f64;
        let taken = f64::from(self.running.values().sum::<u32>());
        GAIN_IDLE + (GAIN_BUSY - GAIN_IDLE) * (taken / places).min(1.0)
    }

    /// Plans the next map and begins the switch to it, if that is worth it.
    fn plan(
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
        let planner = planner(&self.service, self.size, experts, self.least_gain(slots));
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
    /// Takes in whether this process leads the log, and in which term.
    pub fn lead(&mut self, now: Instant, term: Option<Term>) -> Vec<Output> {
        if self.term == term {
            return Vec::new();
        }
        self.term = term;
        let input = match term {
            Some(term) => barrier::Input::LeadershipGained(term),
            None => barrier::Input::LeadershipLost,
        };
        let mut out = Vec::new();
        for entry in self.groups.values_mut() {
            entry.controller.handle(now, input.clone(), &mut out);
        }
        translate(out)
    }

    /// Takes in what a rank reports; orders to it go to `agent`.
    pub fn hear(
        &mut self,
        now: Instant,
        agent: SocketAddr,
        report: EngineReport,
        document: &Document,
    ) -> Vec<Output> {
        let mut out = Vec::new();
        let name = report.group.clone();
        let entry = self.groups.entry(name.clone()).or_insert_with(|| {
            let mut entry = Entry::new(now, name, &report);
            if let Some(term) = self.term {
                let lead = barrier::Input::LeadershipGained(term);
                entry.controller.handle(now, lead, &mut out);
            }
            entry
        });
        entry.heard = now;
        entry.size = report.group_size;
        let pace = SlowEngine {
            address: report.address,
            slowness_permille: report.slowness_permille,
            group_closed: !report.open,
        };
        entry.paces.insert(report.rank, (pace, now));
        if let Some((_, experts)) = experts_of(document, &report.service) {
            entry.count(&report, experts.experts.max(1) as usize);
        }
        let report = Box::new(report);
        let input = barrier::Input::Report {
            watch: agent,
            report,
        };
        entry.controller.handle(now, input, &mut out);
        translate(out)
    }

    /// The engines that are slow or closed at `now`, by address.
    pub fn slow(&self, now: Instant) -> Vec<SlowEngine> {
        let paces = self.groups.values().flat_map(|entry| entry.paces.values());
        let mut slow: Vec<SlowEngine> = paces
            .filter(|(pace, at)| {
                let counts = pace.slowness_permille >= SLOW_PACE || pace.group_closed;
                counts && now.since(*at) < PACE_MAX
            })
            .map(|(pace, _)| pace.clone())
            .collect();
        slow.sort_by_key(|slow| slow.address);
        slow
    }

    /// Takes in what came of an order.
    pub fn done(&mut self, now: Instant, done: RankOrderResult) -> Vec<Output> {
        let mut out = Vec::new();
        if let Some(entry) = self.groups.get_mut(&done.group) {
            let input = barrier::Input::OrderResult(done);
            entry.controller.handle(now, input, &mut out);
        }
        translate(out)
    }

    /// Goes on with switches, and plans new ones under this configuration.
    pub fn tick(&mut self, now: Instant, document: &Document) -> Vec<Output> {
        self.groups
            .retain(|_, entry| now.since(entry.heard) < FORGET);
        if self.term.is_none() {
            return Vec::new();
        }
        let mut out = Vec::new();
        for entry in self.groups.values_mut() {
            if now >= entry.controller.next_deadline() {
                entry.controller.handle(now, barrier::Input::Tick, &mut out);
            }
            if now < entry.next_plan {
                continue;
            }
            entry.next_plan = now + PLAN_INTERVAL;
            if let Some((slots, experts)) = experts_of(document, &entry.service) {
                entry.plan(now, slots, experts, &mut out);
            }
        }
        translate(out)
    }

    /// When the groups next need [`Groups::tick`].
    pub fn next_deadline(&self) -> Instant {
        if self.term.is_none() {
            return Instant::NEVER;
        }
        let deadlines = self.groups.values().map(|entry| {
            let controller = entry.controller.next_deadline();
            controller.min(entry.next_plan)
        });
        deadlines.min().unwrap_or(Instant::NEVER)
    }
}

/// Places of a service's engines and what a configuration says of their experts.
fn experts_of<'a>(document: &'a Document, service: &Service) -> Option<(u32, &'a ExpertLayout)> {
    let direct = document.services.get(service)?.direct.as_ref()?;
    let engine = direct.engine.as_ref()?;
    Some((engine.slots, engine.experts.as_ref()?))
}

/// What was chosen between two counts; none when the later one does not go on from the earlier.
fn difference(before: &ExpertCounts, after: &ExpertCounts) -> Option<Vec<u64>> {
    if after.step <= before.step || after.step == Step(0) {
        return None;
    }
    let pairs = before.chosen.iter().zip(&after.chosen);
    pairs
        .map(|(before, after)| after.checked_sub(*before))
        .collect()
}

/// A planner for the ranks of a group, each of which runs on a host of its own.
fn planner(service: &Service, size: u32, experts: &ExpertLayout, hysteresis: f64) -> Planner {
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
        // A lost rank ends the life of the group, so copies on other hosts keep nothing alive.
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

fn translate(out: Vec<barrier::Output>) -> Vec<Output> {
    let translated = out.into_iter().map(|output| match output {
        barrier::Output::Order {
            engine: Some(engine),
            order,
            ..
        } => Output::Direct(engine, order),
        barrier::Output::Order {
            watch: agent,
            order,
            ..
        } => Output::Order(agent, order),
        barrier::Output::Event(event) => Output::Event(event),
    });
    translated.collect()
}
