//! The inputs of a plan for all layers of a group.

use eelgrassdyke_core::wire::group::ExpertPlacement;

use crate::layer::{LayerPlacement, LayerProblem};

/// Number of local searches for an initial placement; each layer gets this divided by the number of
/// slots in all layers.
const SEARCH_RESTARTS: u64 = 4096;

/// Inputs and constraints of the placement of all layers; see [`LayerProblem`] for the fields.
pub(crate) struct GroupProblem {
    pub(crate) expert_loads: Vec<Vec<f64>>,
    pub(crate) rank_costs: Vec<f64>,
    pub(crate) hosts: Vec<usize>,
    pub(crate) slots: usize,
    pub(crate) min_hosts_per_expert: usize,
    pub(crate) max_new_experts: Vec<usize>,
}

impl GroupProblem {
    /// Number of local searches for each layer; zero for a large group.
    pub(crate) fn search_restarts(&self) -> u64 {
        let slots = self.rank_costs.len() * self.slots * self.expert_loads.len();
        SEARCH_RESTARTS / slots.max(1) as u64
    }

    pub(crate) fn layer_problem(&self, index: usize) -> LayerProblem<'_> {
        self.limited_layer_problem(index, &self.max_new_experts)
    }

    /// The problem of a layer with these limits on the new experts of each rank.
    pub(crate) fn limited_layer_problem<'a>(
        &'a self,
        index: usize,
        max_new_experts: &'a [usize],
    ) -> LayerProblem<'a> {
        LayerProblem {
            expert_loads: &self.expert_loads[index],
            rank_costs: &self.rank_costs,
            hosts: &self.hosts,
            slots: self.slots,
            min_hosts_per_expert: self.min_hosts_per_expert,
            max_new_experts,
        }
    }

    pub(crate) fn layer_placements(&self, layers: &ExpertPlacement) -> Vec<LayerPlacement> {
        let layer = |(index, ranks): (usize, &Vec<Vec<u32>>)| {
            LayerPlacement::new(ranks, &self.layer_problem(index))
        };
        layers.iter().enumerate().map(layer).collect()
    }

    pub(crate) fn mean_time(&self, layers: &[LayerPlacement]) -> f64 {
        let means = layers.iter().enumerate();
        means
            .map(|(index, l)| l.mean_time(&self.layer_problem(index)))
            .sum()
    }

    pub(crate) fn skew(&self, layers: &[LayerPlacement]) -> f64 {
        let slowest: f64 = layers.iter().map(LayerPlacement::slowest_time).sum();
        slowest / self.mean_time(layers).max(f64::MIN_POSITIVE)
    }
}

/// Places the experts of a layer that only lost ranks held, and moves no other expert.
///
/// Each lost expert goes to the least busy rank that has a free slot or a redundant copy of another
/// expert to replace. Returns none if there is no such rank.
pub(crate) fn repair_layer(
    ranks: &[Vec<u32>],
    problem: &LayerProblem<'_>,
) -> Option<Vec<Vec<u32>>> {
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
