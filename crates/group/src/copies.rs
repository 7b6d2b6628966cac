//! Plans for groups whose ranks copy experts while they run.
//!
//! Most attempts to plan find nothing to gain. What the tests before a plan and the plan itself need is
//! therefore computed once, in an [`Attempt`].

use eelgrassdyke_core::id::Rank;
use eelgrassdyke_core::wire::group::ExpertPlacement;

use crate::cost::CopyCost;
use crate::layer::LayerPlacement;
use crate::load::LoadEstimator;
use crate::plan::{Plan, Planner, Reason};
use crate::problem::GroupProblem;

/// Number of turns in which the copies of a plan are distributed among the layers.
const BUDGET_DIVISOR: usize = 2;

/// Factor by which the budget of a layer grows if it was too small for any gain.
const BUDGET_GROWTH: u64 = 4;

/// The inputs of a plan, with the placement that it starts from.
pub struct Attempt<'a> {
    problem: GroupProblem,
    active: &'a ExpertPlacement,
    before: Vec<LayerPlacement>,
    skew: f64,
}

impl Attempt<'_> {
    /// Predicted skew of the active placement: time of the slowest rank over the mean time.
    pub fn skew(&self) -> f64 {
        self.skew
    }

    /// Predicted skew of another placement.
    pub fn skew_of(&self, layers: &ExpertPlacement) -> f64 {
        self.problem.skew(&self.problem.layer_placements(layers))
    }
}

impl Planner {
    /// Prepares a plan for the ranks in `members`.
    pub fn attempt<'a>(
        &self,
        loads: &LoadEstimator,
        active: &'a ExpertPlacement,
        members: &[Rank],
    ) -> Attempt<'a> {
        let problem = self.group_problem(loads, loads.expert_loads(), members);
        let before = problem.layer_placements(active);
        Attempt {
            skew: problem.skew(&before),
            problem,
            active,
            before,
        }
    }

    /// [`Self::plan_attempt`] for these inputs.
    pub fn plan_copies(
        &self,
        loads: &LoadEstimator,
        active: &ExpertPlacement,
        members: &[Rank],
        cost: &CopyCost,
    ) -> Option<Plan> {
        self.plan_attempt(&self.attempt(loads, active, members), cost)
    }

    /// Plans the next map of a group whose ranks copy experts while they run.
    ///
    /// Copies are worth their time only while demand stays as it is. Plans with different limits on the
    /// copies of a rank are compared by the step time that each is expected to save over the rest of the
    /// demand's life, less what its copies cost. Returns none if none of them saves any.
    pub fn plan_attempt(&self, attempt: &Attempt<'_>, cost: &CopyCost) -> Option<Plan> {
        let Attempt {
            problem,
            active,
            before,
            skew,
        } = attempt;
        if cost.saved_seconds_max(*skew) <= 0.0 {
            return None;
        }
        let limit_max = self.options.max_new_experts.saturating_mul(before.len());
        let mean_time = problem.mean_time(before);
        let mut best: Option<Plan> = None;
        for limit in cost.copy_limits(limit_max) {
            let window = cost.time_in_force(limit);
            if window <= 0.0 {
                continue;
            }
            let price = cost.price * mean_time / window;
            let after = improve_with_limit(problem, before, price, limit);
            let reason = Reason::Interval;
            let mut plan = self.build_plan(problem, Some(active), before, &after, reason, false);
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
}

/// Improves the layers in turn, the one with the highest potential gain first, until every rank has
/// copied `limit` experts or no further copy saves more than `price`.
fn improve_with_limit(
    problem: &GroupProblem,
    before: &[LayerPlacement],
    price: f64,
    limit: usize,
) -> Vec<LayerPlacement> {
    let ranks = problem.rank_costs.len();
    let mut layers = before.to_vec();
    let mut limits = vec![0; ranks];
    let mut new_experts = vec![0; ranks];
    let mut copies = vec![0; ranks];
    // Small budgets spread the copies over the layers; a budget grows while it is too small to relieve
    // several equally slow ranks.
    let min_budget = (ranks * limit / (layers.len() * BUDGET_DIVISOR).max(1)).max(1) as u64;
    let mut budgets = vec![min_budget; layers.len()];
    let excess = |index: usize, layer: &LayerPlacement| {
        layer.slowest_time() - layer.mean_time(&problem.layer_problem(index))
    };
    let indexed = layers.iter().enumerate();
    let mut excesses: Vec<f64> = indexed.map(|(index, layer)| excess(index, layer)).collect();
    loop {
        let open = (0..layers.len()).filter(|index| budgets[*index] <= (ranks * limit) as u64);
        let Some(index) = open.max_by(|a, b| excesses[*a].total_cmp(&excesses[*b])) else {
            return layers;
        };
        let layer = &mut layers[index];
        for (rank, held) in new_experts.iter_mut().enumerate() {
            let remaining = limit - usize::min(limit, copies[rank]);
            *held = layer.new_experts(rank);
            limits[rank] = problem.max_new_experts[rank].min(*held + remaining);
        }
        let layer_problem = problem.limited_layer_problem(index, &limits);
        if layer.improve(&layer_problem, price, budgets[index]) == 0 {
            budgets[index] *= BUDGET_GROWTH;
            continue;
        }
        budgets[index] = min_budget;
        excesses[index] = excess(index, layer);
        for (rank, held) in new_experts.iter().enumerate() {
            copies[rank] = copies[rank] + layer.new_experts(rank) - held;
        }
    }
}
