//! The planner of one group: it computes the next expert map.
//!
//! The planner minimises the predicted step time plus a price on the expert weights to load. It
//! starts from the active map and applies single changes, each of which must shorten the time of
//! the slowest rank in its layer by more than the price of the experts that it loads. In addition,
//! a plan as a whole must gain more than the hysteresis, and it loads no more than the weight store
//! delivers within the budget span.

use std::time::Duration;

use eelgrassdyke_core::config::GroupSpec;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{DataCentre, Group, Host, Rank};
use eelgrassdyke_core::unit::Bytes;
use eelgrassdyke_core::wire::group::ExpertPlacement;

use crate::cost::CopyCost;
use crate::forecast::MapRecord;
use crate::layer::{LayerPlacement, LayerProblem};
use crate::load::LoadEstimator;

/// Price of loading every expert once, as a fraction of the step time, if `skew_weight` and
/// `move_weight` are equal.
const LOAD_ALL_PRICE: f64 = 0.25;

/// Number of local searches for an initial placement; each layer gets this divided by the number of
/// slots in all layers.
const SEARCH_RESTARTS: u64 = 4096;

/// Number of hosts that should hold each expert, by default.
const MIN_HOSTS_PER_EXPERT: usize = 2;

/// Number of turns in which the copies of a plan are distributed among the layers.
const BUDGET_DIVISOR: usize = 2;

/// Factor by which the budget of a layer grows if it was too small for any gain.
const BUDGET_GROWTH: u64 = 4;

/// Options of a planner.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Minimum predicted gain of a plan, as a fraction of the mean step time.
    pub hysteresis: f64,
    /// Time for which the loads of one plan may use the full rate of the weight store.
    pub budget_span: Duration,
    /// Maximum number of experts of one layer that a rank may load for one plan.
    pub max_new_experts: usize,
    /// Number of hosts that should hold each expert.
    pub min_hosts_per_expert: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            hysteresis: 0.01,
            budget_span: Duration::from_secs(30),
            max_new_experts: usize::MAX,
            min_hosts_per_expert: MIN_HOSTS_PER_EXPERT,
        }
    }
}

/// Where a rank runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RankLocation {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The host.
    pub host: Host,
}

/// Why a plan is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The planning interval has elapsed.
    Interval,
    /// The set of ranks has changed, so a new map is needed at any cost.
    RanksChanged,
    /// An operator requests the best map, without hysteresis and even if the group is frozen.
    Forced,
    /// An operator requests the rest of a plan that the budget truncated.
    RollForward,
}

/// A planned map.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The placement.
    pub layers: ExpertPlacement,
    /// Why it was requested.
    pub reason: Reason,
    /// Predicted skew of the active map and of the planned one: time of the slowest rank over the mean
    /// time of the ranks.
    pub skew: (f64, f64),
    /// Size of the weights to load.
    pub bytes_to_load: Bytes,
    /// Number of ranks that load weights.
    pub loading_ranks: u64,
    /// Number of experts that the rank with the most copies loads.
    pub copies_of_busiest_rank: u64,
    /// Number of experts, summed over all layers, that fewer hosts hold than
    /// [`Options::min_hosts_per_expert`].
    pub under_replicated_experts: u64,
    /// Whether the load budget truncated the plan.
    pub truncated: bool,
    /// Time that the plan is expected to save, in seconds of mean step time; zero if it was planned
    /// without regard to that.
    pub saved_seconds: f64,
}

impl Plan {
    /// The event that records the plan in the timeline, with the skew that the map it replaces had
    /// and should have had.
    pub fn event(&self, group: &Group, replaced: Option<&MapRecord>) -> Event {
        let measured = replaced.and_then(|map| Some((map.measured()?, map.predicted)));
        let replaced = match measured {
            Some((measured, predicted)) => {
                format!(", replaces a map with skew {measured:.3} (predicted {predicted:.3})")
            }
            None => String::new(),
        };
        let detail = format!(
            "{:?}: predicted skew {:.3} to {:.3}, saves {:.2} s, {} bytes to load, {} experts on one host only{}{replaced}",
            self.reason,
            self.skew.0,
            self.skew.1,
            self.saved_seconds,
            self.bytes_to_load,
            self.under_replicated_experts,
            if self.truncated {
                ", truncated by the load budget"
            } else {
                ""
            },
        );
        Event::new(Code::PlanMade, detail).group(group)
    }
}

/// The planner of one group.
#[derive(Clone, Debug)]
pub struct Planner {
    options: Options,
    spec: GroupSpec,
    locations: Vec<RankLocation>,
}

impl Planner {
    /// Creates a planner for the ranks at `locations`, indexed by rank.
    pub fn new(spec: GroupSpec, locations: Vec<RankLocation>, options: Options) -> Self {
        Self {
            options,
            spec,
            locations,
        }
    }

    /// Replaces the specification of the group.
    pub fn set_spec(&mut self, spec: GroupSpec) {
        self.spec = spec;
    }

    /// Plans the next map for the ranks in `members`.
    ///
    /// Returns none if the active map is good enough, the group is frozen, or the slots can't hold
    /// every expert.
    pub fn plan(
        &self,
        loads: &LoadEstimator,
        active: Option<&ExpertPlacement>,
        members: &[Rank],
        reason: Reason,
    ) -> Option<Plan> {
        if self.spec.frozen && reason == Reason::Interval {
            return None;
        }
        let problem = self.group_problem(loads, loads.expert_loads(), members);
        let mut truncated = false;
        let (before, layers) = match active {
            Some(active) if reason != Reason::RanksChanged => {
                let before = problem.layer_placements(active);
                let after = self.improve_layers(&problem, &before, reason, &mut truncated);
                (before, after)
            }
            _ => {
                let after = self.place_experts(&problem, active)?;
                (after.clone(), after)
            }
        };
        let plan = self.build_plan(&problem, active, &before, &layers, reason, truncated);
        let gain = plan.skew.0 - plan.skew.1;
        let is_small = reason == Reason::Interval && gain < self.options.hysteresis;
        let is_empty = plan.bytes_to_load == Bytes(0) && reason != Reason::RanksChanged;
        (!is_small && !is_empty).then_some(plan)
    }

    /// Plans the next map of a group whose ranks copy experts while they run.
    ///
    /// Copies are worth their time only while demand stays as it is. Plans with different limits on the
    /// copies of a rank are compared by the step time that each is expected to save over the rest of the
    /// demand's life, less what its copies cost. Returns none if none of them saves any.
    pub fn plan_copies(
        &self,
        loads: &LoadEstimator,
        active: &ExpertPlacement,
        members: &[Rank],
        cost: &CopyCost,
    ) -> Option<Plan> {
        let problem = self.group_problem(loads, loads.expert_loads(), members);
        let before = problem.layer_placements(active);
        let limit_max = self.options.max_new_experts.saturating_mul(before.len());
        let mut best: Option<Plan> = None;
        if cost.saved_seconds_max(problem.skew(&before)) <= 0.0 {
            return None;
        }
        for limit in cost.copy_limits(limit_max) {
            let window = cost.time_in_force(limit);
            let price = cost.price * problem.mean_time(&before) / window;
            if window <= 0.0 {
                continue;
            }
            let after = self.improve_with_limit(loads, members, &before, price, limit);
            let mut plan = self.build_plan(
                &problem,
                Some(active),
                &before,
                &after,
                Reason::Interval,
                false,
            );
            let copies = plan.bytes_to_load.0 / self.spec.expert_bytes.0.max(1);
            plan.saved_seconds = cost.saved_seconds(&plan, copies);
            let best_so_far = best.as_ref().map_or(0.0, |best| best.saved_seconds);
            if plan.saved_seconds > best_so_far {
                best = Some(plan);
            } else if best.is_some() {
                // Larger limits take longer still.
                break;
            }
        }
        best
    }

    /// Improves the layers in turn, the one with the highest potential gain first, until every rank
    /// has copied `limit` experts or no further copy saves more than `price`.
    fn improve_with_limit(
        &self,
        loads: &LoadEstimator,
        members: &[Rank],
        before: &[LayerPlacement],
        price: f64,
        limit: usize,
    ) -> Vec<LayerPlacement> {
        let mut problem = self.group_problem(loads, loads.expert_loads(), members);
        let ranks = self.locations.len();
        let mut layers = before.to_vec();
        // Small budgets spread the copies over the layers; a budget grows while it is too small to
        // relieve several equally slow ranks.
        let min_budget = (ranks * limit / (layers.len() * BUDGET_DIVISOR).max(1)).max(1) as u64;
        let mut budgets = vec![min_budget; layers.len()];
        let mut copies = vec![0; ranks];
        loop {
            let excess = |index: usize| {
                layers[index].slowest_time()
                    - layers[index].mean_time(&problem.layer_problem(index))
            };
            let open = (0..layers.len()).filter(|index| budgets[*index] <= (ranks * limit) as u64);
            let Some(index) = open.max_by(|a, b| excess(*a).total_cmp(&excess(*b))) else {
                return layers;
            };
            for (rank, limit_in_layer) in problem.max_new_experts.iter_mut().enumerate() {
                let remaining = limit - usize::min(limit, copies[rank]);
                let held = layers[index].new_experts(rank);
                *limit_in_layer = self.options.max_new_experts.min(held + remaining);
            }
            let old = layers[index].clone();
            let layer_problem = problem.layer_problem(index);
            if layers[index].improve(&layer_problem, price, budgets[index]) == 0 {
                budgets[index] *= BUDGET_GROWTH;
                continue;
            }
            budgets[index] = min_budget;
            for (rank, copies) in copies.iter_mut().enumerate() {
                *copies = *copies + layers[index].new_experts(rank) - old.new_experts(rank);
            }
        }
    }

    /// Predicted skew of a placement under these loads: time of the slowest rank over the mean time.
    pub fn skew(&self, loads: &LoadEstimator, layers: &ExpertPlacement, members: &[Rank]) -> f64 {
        let problem = self.group_problem(loads, loads.expert_loads(), members);
        problem.skew(&problem.layer_placements(layers))
    }

    /// Skew of a placement in the latest interval alone.
    pub fn latest_skew(
        &self,
        loads: &LoadEstimator,
        layers: &ExpertPlacement,
        members: &[Rank],
    ) -> f64 {
        let problem = self.group_problem(loads, loads.latest_loads(), members);
        problem.skew(&problem.layer_placements(layers))
    }

    fn group_problem(
        &self,
        loads: &LoadEstimator,
        expert_loads: &[Vec<f64>],
        members: &[Rank],
    ) -> GroupProblem {
        let experts = self.spec.experts as usize;
        let mut hosts: Vec<&Host> = self
            .locations
            .iter()
            .map(|location| &location.host)
            .collect();
        hosts.sort();
        hosts.dedup();
        let host_index =
            |location: &RankLocation| hosts.iter().position(|host| **host == location.host);
        let cost = |rank: usize| match members.contains(&Rank(rank as u64)) {
            true => loads.relative_cost(Rank(rank as u64)),
            false => f64::INFINITY,
        };
        let mut expert_loads = expert_loads.to_vec();
        expert_loads.resize(self.spec.layers as usize, Vec::new());
        for row in &mut expert_loads {
            // Experts without load get a small one, so that their copies are distributed as well.
            row.resize(experts, 0.0);
            let min_load = (row.iter().sum::<f64>() / experts as f64).max(1.0) * 1e-3;
            for load in row {
                *load = load.max(min_load);
            }
        }
        let slots = members.len() * self.spec.slots as usize;
        GroupProblem {
            expert_loads,
            rank_costs: (0..self.locations.len()).map(cost).collect(),
            hosts: self
                .locations
                .iter()
                .map(|location| host_index(location).unwrap_or(0))
                .collect(),
            slots: self.spec.slots as usize,
            min_hosts_per_expert: match slots >= self.options.min_hosts_per_expert * experts {
                true => self.options.min_hosts_per_expert.min(hosts.len()),
                false => 1,
            },
            max_new_experts: vec![self.options.max_new_experts; self.locations.len()],
        }
    }

    /// Places the experts for a changed set of ranks.
    ///
    /// With an active placement, only experts of lost ranks are placed again where that is possible;
    /// without one, every layer is placed from scratch.
    fn place_experts(
        &self,
        problem: &GroupProblem,
        active: Option<&ExpertPlacement>,
    ) -> Option<Vec<LayerPlacement>> {
        let mut placed = Vec::new();
        for index in 0..problem.expert_loads.len() {
            let layer_problem = problem.layer_problem(index);
            let repaired = active.and_then(|p| repair_layer(p.get(index)?, &layer_problem));
            let mut layer = match repaired {
                Some(ranks) => LayerPlacement::new(&ranks, &layer_problem),
                None => LayerPlacement::place_greedily(&layer_problem)?,
            };
            if active.is_none() {
                layer.improve(&layer_problem, 0.0, u64::MAX);
                layer.search(&layer_problem, problem.search_restarts());
            }
            placed.push(layer);
        }
        Some(placed)
    }

    /// Improves the placement of each layer within the load budget; sets `truncated` if the budget
    /// ends the improvement early.
    fn improve_layers(
        &self,
        problem: &GroupProblem,
        before: &[LayerPlacement],
        reason: Reason,
        truncated: &mut bool,
    ) -> Vec<LayerPlacement> {
        let mut layers = before.to_vec();
        let price = self.price_per_expert(problem, before, reason);
        let mut budget = self.load_budget(reason);
        // Layers are improved in descending order of potential gain.
        let excess = |index: usize| {
            before[index].slowest_time() - before[index].mean_time(&problem.layer_problem(index))
        };
        let mut order: Vec<usize> = (0..layers.len()).collect();
        order.sort_by(|a, b| excess(*b).total_cmp(&excess(*a)).then(a.cmp(b)));
        for index in order {
            let layer_problem = problem.layer_problem(index);
            budget -= layers[index].improve(&layer_problem, price, budget);
            if budget < 2 {
                *truncated = true;
                break;
            }
        }
        layers
    }

    /// Time in a layer that loading one expert must save.
    fn price_per_expert(
        &self,
        problem: &GroupProblem,
        layers: &[LayerPlacement],
        reason: Reason,
    ) -> f64 {
        if reason == Reason::Forced {
            return 0.0;
        }
        let experts = f64::from(self.spec.layers) * f64::from(self.spec.experts);
        let weight = f64::from(self.spec.move_weight) / f64::from(self.spec.skew_weight.max(1));
        problem.mean_time(layers) * LOAD_ALL_PRICE * weight / experts.max(1.0)
    }

    /// Number of experts that a plan may load.
    fn load_budget(&self, reason: Reason) -> u64 {
        if matches!(reason, Reason::Forced | Reason::RollForward) {
            return u64::MAX;
        }
        let bytes = self.spec.store_rate.0 as f64 * self.options.budget_span.as_secs_f64();
        (bytes / self.spec.expert_bytes.0.max(1) as f64) as u64
    }

    fn build_plan(
        &self,
        problem: &GroupProblem,
        active: Option<&ExpertPlacement>,
        before: &[LayerPlacement],
        after: &[LayerPlacement],
        reason: Reason,
        truncated: bool,
    ) -> Plan {
        let layers: ExpertPlacement = after
            .iter()
            .map(|layer| layer.experts_by_rank().to_vec())
            .collect();
        let load_counts = experts_to_load(active, &layers);
        let min_hosts = self.options.min_hosts_per_expert;
        Plan {
            skew: (problem.skew(before), problem.skew(after)),
            bytes_to_load: Bytes(load_counts.iter().sum::<u64>() * self.spec.expert_bytes.0),
            copies_of_busiest_rank: load_counts.iter().copied().max().unwrap_or(0),
            loading_ranks: load_counts.iter().filter(|count| **count > 0).count() as u64,
            under_replicated_experts: after
                .iter()
                .map(|layer| layer.under_replicated_experts(&problem.hosts, min_hosts))
                .sum(),
            layers,
            reason,
            truncated,
            saved_seconds: 0.0,
        }
    }
}

/// Number of experts that each rank must load to switch from one placement to the next.
pub fn experts_to_load(active: Option<&ExpertPlacement>, next: &ExpertPlacement) -> Vec<u64> {
    let mut counts = vec![0; next.first().map_or(0, Vec::len)];
    for (index, layer) in next.iter().enumerate() {
        for (rank, experts) in layer.iter().enumerate() {
            let held = active.and_then(|p| p.get(index)?.get(rank));
            let is_new = |expert: &&u32| held.is_none_or(|held| !held.contains(expert));
            counts[rank] += experts.iter().filter(is_new).count() as u64;
        }
    }
    counts
}

/// Inputs and constraints of the placement of all layers; see [`LayerProblem`] for the fields.
struct GroupProblem {
    expert_loads: Vec<Vec<f64>>,
    rank_costs: Vec<f64>,
    hosts: Vec<usize>,
    slots: usize,
    min_hosts_per_expert: usize,
    max_new_experts: Vec<usize>,
}

impl GroupProblem {
    /// Number of local searches for each layer; zero for a large group.
    fn search_restarts(&self) -> u64 {
        let slots = self.rank_costs.len() * self.slots * self.expert_loads.len();
        SEARCH_RESTARTS / slots.max(1) as u64
    }

    fn layer_problem(&self, index: usize) -> LayerProblem<'_> {
        LayerProblem {
            expert_loads: &self.expert_loads[index],
            rank_costs: &self.rank_costs,
            hosts: &self.hosts,
            slots: self.slots,
            min_hosts_per_expert: self.min_hosts_per_expert,
            max_new_experts: &self.max_new_experts,
        }
    }

    fn layer_placements(&self, layers: &ExpertPlacement) -> Vec<LayerPlacement> {
        let layer = |(index, ranks): (usize, &Vec<Vec<u32>>)| {
            LayerPlacement::new(ranks, &self.layer_problem(index))
        };
        layers.iter().enumerate().map(layer).collect()
    }

    fn mean_time(&self, layers: &[LayerPlacement]) -> f64 {
        let means = layers.iter().enumerate();
        means
            .map(|(index, l)| l.mean_time(&self.layer_problem(index)))
            .sum()
    }

    fn skew(&self, layers: &[LayerPlacement]) -> f64 {
        let slowest: f64 = layers.iter().map(LayerPlacement::slowest_time).sum();
        slowest / self.mean_time(layers).max(f64::MIN_POSITIVE)
    }
}

/// Places the experts of a layer that only lost ranks held, and moves no other expert.
///
/// Each lost expert goes to the least busy rank that has a free slot or a redundant copy of another
/// expert to replace. Returns none if there is no such rank.
fn repair_layer(ranks: &[Vec<u32>], problem: &LayerProblem<'_>) -> Option<Vec<Vec<u32>>> {
    let mut placed: Vec<Vec<u32>> = ranks.to_vec();
    placed.resize(problem.rank_costs.len(), Vec::new());
    for (rank, cost) in problem.rank_costs.iter().enumerate() {
        if !cost.is_finite() {
            placed[rank].clear();
        }
    }
    for expert in 0..problem.expert_loads.len() as u32 {
        if placed.iter().any(|held| held.contains(&expert)) {
            continue;
        }
        let count = |expert: u32| placed.iter().filter(|held| held.contains(&expert)).count();
        let mut best: Option<(f64, usize, Option<usize>)> = None;
        for (rank, cost) in problem.rank_costs.iter().enumerate() {
            if !cost.is_finite() {
                continue;
            }
            let slot = match placed[rank].len() < problem.slots {
                true => None,
                false => match placed[rank].iter().position(|held| count(*held) > 1) {
                    Some(slot) => Some(slot),
                    None => continue,
                },
            };
            let load = |e: &u32| problem.expert_loads[*e as usize] / count(*e) as f64;
            let time = placed[rank].iter().map(load).sum::<f64>() * cost;
            if best.is_none_or(|(best_time, ..)| time < best_time) {
                best = Some((time, rank, slot));
            }
        }
        let (_, rank, slot) = best?;
        match slot {
            Some(slot) => placed[rank][slot] = expert,
            None => placed[rank].push(expert),
        }
    }
    Some(placed)
}
