//! A simulated rank group whose demand for experts turns, to compare ways of planning its maps.
//!
//! The content of requests decides which experts they choose: part of the choices follows a ranking that
//! all requests share, the rest one of their topic. When demand turns, a part of every ranking is
//! shuffled. Counts come in intervals, from requests whose topics are drawn anew. A rank copies one expert
//! after the other at a fixed rate; a map is in force once the last rank has copied its experts and the
//! switch is complete. The model has no messages: it measures what the plans are worth.

use std::time::Duration;

use eelgrassdyke_core::config::GroupSpec;
use eelgrassdyke_core::id::{Rank, Step};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::{ByteRate, Bytes};
use eelgrassdyke_core::wire::group::{ExpertPlacement, LoadReport};
use eelgrassdyke_group::cost::CopyCost;
use eelgrassdyke_group::forecast::Forecast;
use eelgrassdyke_group::load::{Demand as LoadDemand, LoadEstimator};
use eelgrassdyke_group::plan::{Options, Plan, Planner, RankLocation, Reason};
use rand::seq::SliceRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Time in which counts are gathered for one plan.
const INTERVAL: Duration = Duration::from_millis(150);

/// Time of a switch in addition to its copies.
const SWITCH_TIME: Duration = Duration::from_millis(300);

/// Fraction by which steps are longer while ranks copy experts.
const COPY_SLOWDOWN: f64 = 0.15;

/// Time of the preparation after which [`Policy::FixedThreshold`] gives a switch up.
const FIXED_PREPARE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Tokens that the requests of a rank route in an interval, per layer.
const TOKENS_PER_INTERVAL: f64 = 10_000.0;

/// Dimensions of a group and its demand.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of ranks.
    pub ranks: usize,
    /// Number of layers.
    pub layers: usize,
    /// Number of experts in each layer.
    pub experts: usize,
    /// Expert slots of a rank in each layer.
    pub slots: usize,
    /// Maximum number of experts of a layer that a rank copies for one switch.
    pub copies_per_switch: usize,
    /// Time in which a rank copies one expert.
    pub copy_time: Duration,
    /// Exponent of the rankings: the expert at position i is chosen in proportion to i to the power of
    /// minus this.
    pub exponent: f64,
    /// Fraction of the choices that follow the common ranking.
    pub common: f64,
    /// Number of topics.
    pub topics: usize,
    /// Number of requests whose choices an interval counts.
    pub requests: usize,
    /// Time between two turns of demand; none if it stays as it is.
    pub turn_interval: Option<Duration>,
    /// Fraction of a ranking that a turn shuffles.
    pub turn_fraction: f64,
}

/// A group whose ranks take long to copy an expert.
pub const SLOW_COPIES: Shape = Shape {
    ranks: 12,
    layers: 3,
    experts: 96,
    slots: 11,
    copies_per_switch: 4,
    copy_time: Duration::from_millis(400),
    exponent: 1.2,
    common: 0.7,
    topics: 9,
    requests: 100,
    turn_interval: Some(Duration::from_secs(3)),
    turn_fraction: 0.65,
};

/// How maps are planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The initial map stays.
    Initial,
    /// Loads with a fixed weight of the latest interval; any plan above a fixed gain, whatever its
    /// copies take.
    FixedThreshold,
    /// Plans by the time of their copies and the life of demand, as control makes them.
    ByCopyTime,
}

/// What a simulation measured.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Mean over time of the step time, relative to that of evenly loaded ranks.
    pub mean_step_time: f64,
    /// Number of maps that came into force.
    pub switches: u64,
    /// Skew that plans predicted and the mean that their maps then had.
    pub predictions: Vec<(f64, f64)>,
    /// Time from each turn of demand until the skew was at most 1.3 times that of the best map for the
    /// new demand; none if the next turn came first.
    pub recoveries: Vec<Option<Duration>>,
}

/// Demand for the experts of each layer.
struct Demand {
    shape: Shape,
    rng: ChaCha8Rng,
    /// By layer, the common ranking and those of the topics.
    rankings: Vec<Vec<Vec<usize>>>,
}

impl Demand {
    fn new(shape: Shape, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut ranking = || {
            let mut experts: Vec<usize> = (0..shape.experts).collect();
            experts.shuffle(&mut rng);
            experts
        };
        let mut layer = || (0..=shape.topics).map(|_| ranking()).collect();
        let rankings = (0..shape.layers).map(|_| layer()).collect();
        Self {
            shape,
            rng,
            rankings,
        }
    }

    /// Shuffles part of every ranking.
    fn turn(&mut self) {
        for ranking in self.rankings.iter_mut().flatten() {
            let is_moved: Vec<bool> = ranking
                .iter()
                .map(|_| self.rng.random_bool(self.shape.turn_fraction))
                .collect();
            let positions: Vec<usize> = (0..ranking.len()).filter(|i| is_moved[*i]).collect();
            let mut moved: Vec<usize> = positions.iter().map(|i| ranking[*i]).collect();
            moved.shuffle(&mut self.rng);
            for (position, expert) in positions.into_iter().zip(moved) {
                ranking[position] = expert;
            }
        }
    }

    /// Tokens by layer and expert of an interval whose requests have these weights of topics.
    fn tokens(&self, topic_weights: &[f64]) -> Vec<Vec<u64>> {
        let shape = &self.shape;
        let chances: Vec<f64> = (0..shape.experts)
            .map(|position| ((position + 1) as f64).powf(-shape.exponent))
            .collect();
        let sum: f64 = chances.iter().sum();
        let layer_tokens = |rankings: &Vec<Vec<usize>>| {
            let mut tokens = vec![0.0; shape.experts];
            let common = std::iter::once(shape.common);
            let by_topic = topic_weights.iter().map(|w| w * (1.0 - shape.common));
            for (ranking, weight) in rankings.iter().zip(common.chain(by_topic)) {
                for (expert, chance) in ranking.iter().zip(&chances) {
                    tokens[*expert] += weight * chance / sum * TOKENS_PER_INTERVAL;
                }
            }
            tokens.into_iter().map(|t| t as u64).collect()
        };
        self.rankings.iter().map(layer_tokens).collect()
    }

    /// Tokens of one interval, with topics drawn for its requests.
    fn draw_tokens(&mut self) -> Vec<Vec<u64>> {
        let mut weights = vec![0.0; self.shape.topics];
        for _ in 0..self.shape.requests {
            let topic = self.rng.random_range(0..self.shape.topics);
            weights[topic] += 1.0 / self.shape.requests as f64;
        }
        self.tokens(&weights)
    }

    /// Mean tokens of an interval.
    fn mean_tokens(&self) -> Vec<Vec<u64>> {
        let topics = self.shape.topics;
        self.tokens(&vec![1.0 / topics as f64; topics])
    }
}

/// A switch in progress.
struct Switch {
    plan: Plan,
    planned_at: Instant,
    copied_at: Instant,
    in_force_at: Instant,
}

/// A simulated group.
struct Simulation {
    shape: Shape,
    policy: Policy,
    planner: Planner,
    members: Vec<Rank>,
    loads: LoadEstimator,
    forecast: Forecast,
    active: ExpertPlacement,
    switch: Option<Switch>,
    step: Step,
}

/// Simulates a group for `run_time`.
pub fn simulate(shape: Shape, policy: Policy, seed: u64, run_time: Duration) -> Outcome {
    let mut demand = Demand::new(shape, seed);
    let mut simulation = Simulation::new(shape, policy);
    let mut outcome = Outcome::default();
    let mut now = Instant(0);
    let mut next_turn = shape
        .turn_interval
        .map_or(Instant::NEVER, |interval| now + interval);
    let mut turned_at: Option<(Instant, f64)> = None;
    let mut time = 0.0;
    let mut intervals = 0;
    while now < Instant(0) + run_time {
        now = now + INTERVAL;
        if now >= next_turn {
            if turned_at.is_some() {
                outcome.recoveries.push(None);
            }
            demand.turn();
            turned_at = Some((now, simulation.best_skew(&demand)));
            next_turn = now + shape.turn_interval.unwrap_or_default();
        }
        let tokens = demand.draw_tokens();
        let (skew, is_copying) = simulation.advance(now, tokens, &mut outcome);
        time += skew * if is_copying { 1.0 + COPY_SLOWDOWN } else { 1.0 };
        intervals += 1;
        if let Some((at, best)) = turned_at
            && skew <= 1.3 * best
        {
            outcome.recoveries.push(Some(now.since(at)));
            turned_at = None;
        }
    }
    outcome.mean_step_time = time / f64::from(intervals);
    simulation.record_prediction(&mut outcome);
    outcome
}

impl Simulation {
    fn new(shape: Shape, policy: Policy) -> Self {
        let name = |rank: usize| format!("rank-{rank}");
        let locations = (0..shape.ranks).map(|rank| RankLocation {
            data_centre: name(rank).parse().expect("a valid name"),
            host: name(rank).parse().expect("a valid name"),
        });
        let expert_bytes = Bytes(1 << 30);
        let rate = expert_bytes.0 as f64 / shape.copy_time.as_secs_f64();
        let spec = GroupSpec {
            service: "draft".parse().expect("a valid name"),
            ranks: Default::default(),
            experts: shape.experts as u32,
            layers: shape.layers as u32,
            slots: shape.slots as u32,
            expert_bytes,
            store_rate: ByteRate(rate as u64),
            skew_weight: 4,
            move_weight: 20,
            frozen: false,
        };
        let options = Options {
            hysteresis: 0.4,
            max_new_experts: shape.copies_per_switch,
            min_hosts_per_expert: 1,
            ..Options::default()
        };
        let assigned = |rank: usize| {
            let slots = (0..shape.slots).map(|slot| rank + slot * shape.ranks);
            slots.map(|index| (index % shape.experts) as u32).collect()
        };
        let layer: Vec<Vec<u32>> = (0..shape.ranks).map(assigned).collect();
        Self {
            shape,
            policy,
            planner: Planner::new(spec, locations.collect(), options),
            members: (0..shape.ranks as u64).map(Rank).collect(),
            loads: match policy {
                Policy::FixedThreshold => LoadEstimator::new(0.7),
                Policy::Initial | Policy::ByCopyTime => LoadEstimator::adaptive(),
            },
            forecast: Forecast::new(Instant(0)),
            active: vec![layer; shape.layers],
            switch: None,
            step: Step(0),
        }
    }

    /// Skew of a map made for the mean demand regardless of its copies.
    fn best_skew(&self, demand: &Demand) -> f64 {
        let mut loads = LoadEstimator::default();
        loads.record_report(Rank(0), &load_report(Step(1), demand.mean_tokens()));
        loads.close_interval();
        let plan = self
            .planner
            .plan(&loads, None, &self.members, Reason::RanksChanged);
        plan.map_or(1.0, |plan| plan.skew.1)
    }

    /// Simulates an interval with these tokens; returns its skew and whether ranks copied in it.
    fn advance(&mut self, now: Instant, tokens: Vec<Vec<u64>>, out: &mut Outcome) -> (f64, bool) {
        if let Some(switch) = self.switch.take_if(|switch| now >= switch.in_force_at) {
            out.switches += 1;
            self.forecast
                .record_map(now, switch.planned_at, switch.plan.skew.1);
            self.active = switch.plan.layers;
        }
        let is_copying = self
            .switch
            .as_ref()
            .is_some_and(|switch| now < switch.copied_at);
        self.step = self.step.next();
        self.loads
            .record_report(Rank(0), &load_report(self.step, tokens));
        let demand = self.loads.close_interval();
        if demand == LoadDemand::Changed {
            self.forecast.record_change(now);
        }
        let skew = self
            .planner
            .latest_skew(&self.loads, &self.active, &self.members);
        let smoothed = self.planner.skew(&self.loads, &self.active, &self.members);
        if self.switch.is_none() {
            self.forecast.record_skew(skew, smoothed);
            let plan = match demand {
                LoadDemand::Changing => None,
                LoadDemand::Steady | LoadDemand::Changed => self.plan(now),
            };
            if plan.is_some() {
                self.record_prediction(out);
            }
            self.switch = plan;
        }
        (skew, is_copying)
    }

    /// Records the predicted and the measured skew of the map in force.
    fn record_prediction(&self, out: &mut Outcome) {
        if let Some(map) = self.forecast.map()
            && let Some(measured) = map.measured()
        {
            out.predictions.push((map.predicted, measured));
        }
    }

    fn plan(&self, now: Instant) -> Option<Switch> {
        let plan = match self.policy {
            Policy::Initial => None,
            Policy::FixedThreshold => {
                let active = Some(&self.active);
                self.planner
                    .plan(&self.loads, active, &self.members, Reason::Interval)
            }
            Policy::ByCopyTime => {
                let cost = self.copy_cost(now);
                self.planner
                    .plan_copies(&self.loads, &self.active, &self.members, &cost)
            }
        }?;
        let copy_time = self.shape.copy_time * plan.copies_of_busiest_rank as u32;
        if self.policy == Policy::FixedThreshold && copy_time > FIXED_PREPARE_TIMEOUT {
            return None;
        }
        let copied_at = now + copy_time;
        Some(Switch {
            plan,
            planned_at: now,
            copied_at,
            in_force_at: copied_at + SWITCH_TIME,
        })
    }

    fn copy_cost(&self, now: Instant) -> CopyCost {
        CopyCost::new(
            self.shape.copy_time,
            SWITCH_TIME,
            self.shape.layers * self.shape.experts,
            1.0,
            &self.forecast,
            now,
        )
    }
}

fn load_report(step: Step, expert_tokens: Vec<Vec<u64>>) -> LoadReport {
    LoadReport {
        steps: (step, step),
        expert_tokens,
        ..LoadReport::default()
    }
}
