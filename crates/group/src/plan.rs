//! The planner of one group: it computes the next expert map.
//!
//! The planner minimises the predicted step time plus a price on the expert weights to load. It
//! starts from the active map and applies single changes, each of which must shorten the time of
//! the slowest rank in its layer by more than the price of the experts that it loads. In addition,
//! a plan as a whole must gain more than the hysteresis, and it loads no more than the weight store
//! delivers within the budget span.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrassdyke_core::config::GroupSpec;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{DataCentre, Group, Host, Rank};
use eelgrassdyke_core::unit::Bytes;
use eelgrassdyke_core::wire::group::ExpertPlacement;

use crate::forecast::MapRecord;
use crate::layer::LayerPlacement;
use crate::load::LoadEstimator;
use crate::problem::{GroupProblem, repair_layer};

/// Price of loading every expert once, as a fraction of the step time, if `skew_weight` and
/// `move_weight` are equal.
const LOAD_ALL_PRICE: f64 = 0.25;

/// Number of hosts that should hold each expert, by default.
const MIN_HOSTS_PER_EXPERT: usize = 2;

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
    pub(crate) options: Options,
    pub(crate) spec: GroupSpec,
    /// Index of the host of each rank.
    hosts: Vec<usize>,
    host_count: usize,
}

impl Planner {
    /// Creates a planner for the ranks at `locations`, indexed by rank.
    pub fn new(spec: GroupSpec, locations: Vec<RankLocation>, options: Options) -> Self {
        let hosts: BTreeSet<&Host> = locations.iter().map(|location| &location.host).collect();
        let indices: BTreeMap<&Host, usize> = hosts.into_iter().zip(0..).collect();
        Self {
            options,
            spec,
            hosts: locations
                .iter()
                .map(|location| indices[&location.host])
                .collect(),
            host_count: indices.len(),
        }
    }

    /// Replaces the specification of the group.
    pub fn set_spec(&mut self, spec: GroupSpec) {
        self.spec = spec;
    }

    /// Whether a placement that the ranks reported has the layers and experts of the group: each expert is
    /// on at least one rank, and none beyond the slots of a rank. No other one can be planned for.
    pub fn accepts(&self, placement: &ExpertPlacement) -> bool {
        let (experts, slots) = (self.spec.experts as usize, self.spec.slots as usize);
        let is_complete = |ranks: &Vec<Vec<u32>>| {
            let held: BTreeSet<u32> = ranks.iter().flatten().copied().collect();
            ranks.len() == self.hosts.len()
                && ranks.iter().all(|experts| experts.len() <= slots)
                && held.len() == experts
                && held.last().is_none_or(|last| (*last as usize) < experts)
        };
        placement.len() == self.spec.layers as usize && placement.iter().all(is_complete)
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

    pub(crate) fn group_problem(
        &self,
        loads: &LoadEstimator,
        expert_loads: &[Vec<f64>],
        members: &[Rank],
    ) -> GroupProblem {
        let experts = self.spec.experts as usize;
        let ranks = self.hosts.len();
        let mut rank_costs = loads.relative_costs(ranks);
        let members_by_rank: BTreeSet<Rank> = members.iter().copied().collect();
        for (rank, cost) in rank_costs.iter_mut().enumerate() {
            if !members_by_rank.contains(&Rank(rank as u64)) {
                *cost = f64::INFINITY;
            }
        }
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
            rank_costs,
            hosts: self.hosts.clone(),
            slots: self.spec.slots as usize,
            min_hosts_per_expert: match slots >= self.options.min_hosts_per_expert * experts {
                true => self.options.min_hosts_per_expert.min(self.host_count),
                false => 1,
            },
            max_new_experts: vec![self.options.max_new_experts; ranks],
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

    pub(crate) fn build_plan(
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
            bytes_to_load: Bytes(
                (load_counts.iter().sum::<u64>()).saturating_mul(self.spec.expert_bytes.0),
            ),
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
