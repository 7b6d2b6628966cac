//! Smoothed expert loads and rank speeds, from the load reports of a group.
//!
//! Load reports may arrive late, duplicated, out of order or not at all. Each one counts at most once,
//! and loads are averages over the steps reported, so a lost report shrinks the sample but does not
//! lower the load.

use std::collections::BTreeMap;

use eelgrassdyke_core::id::{Rank, Step};
use eelgrassdyke_core::wire::group::LoadReport;

/// Weight of the latest interval in the smoothed loads, by default.
const LOAD_SMOOTHING: f64 = 0.5;

/// Weight of the latest report in the smoothed cost of a rank.
const COST_SMOOTHING: f64 = 0.3;

/// Smoothed loads of the experts and costs of the ranks.
///
/// The cost of a rank is its time per token, in any unit that all ranks of the group share.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadEstimator {
    smoothing: f64,
    /// Tokens per step and rank, by layer and expert.
    expert_loads: Vec<Vec<f64>>,
    /// Tokens reported in the current interval, by layer and expert.
    interval_tokens: Vec<Vec<f64>>,
    /// Steps reported in the current interval, summed over the ranks.
    interval_rank_steps: f64,
    rank_costs: BTreeMap<Rank, f64>,
    /// Last step that each rank has reported.
    reported_steps: BTreeMap<Rank, Step>,
}

impl Default for LoadEstimator {
    fn default() -> Self {
        Self::new(LOAD_SMOOTHING)
    }
}

impl LoadEstimator {
    /// Creates an estimator that gives the latest interval the weight `smoothing`, between 0 and 1.
    pub fn new(smoothing: f64) -> Self {
        Self {
            smoothing,
            expert_loads: Vec::new(),
            interval_tokens: Vec::new(),
            interval_rank_steps: 0.0,
            rank_costs: BTreeMap::new(),
            reported_steps: BTreeMap::new(),
        }
    }

    /// Adds a report to the current interval; ignores one with steps that were already reported.
    pub fn record_report(&mut self, rank: Rank, report: &LoadReport) {
        let (first, last) = report.steps;
        let reported = self.reported_steps.get(&rank).copied().unwrap_or_default();
        if first <= reported || last < first {
            return;
        }
        self.reported_steps.insert(rank, last);
        self.interval_rank_steps += (last - first).0 as f64 + 1.0;
        self.interval_tokens
            .resize(report.expert_tokens.len(), Vec::new());
        for (sums, tokens) in self.interval_tokens.iter_mut().zip(&report.expert_tokens) {
            sums.resize(tokens.len(), 0.0);
            for (sum, count) in sums.iter_mut().zip(tokens) {
                *sum += *count as f64;
            }
        }
        if report.processed_tokens == 0 {
            return;
        }
        let steps = (last - first).0 as f64 + 1.0;
        let cost = report.busy_us as f64 * steps / report.processed_tokens as f64;
        let smoothed = self.rank_costs.entry(rank).or_insert(cost);
        *smoothed += (cost - *smoothed) * COST_SMOOTHING;
    }

    /// Closes the current interval and adds it to the smoothed loads.
    pub fn close_interval(&mut self) {
        if self.interval_rank_steps == 0.0 {
            return;
        }
        let weight = match self.expert_loads.is_empty() {
            true => 1.0,
            false => self.smoothing,
        };
        self.expert_loads
            .resize(self.interval_tokens.len(), Vec::new());
        for (loads, sums) in self.expert_loads.iter_mut().zip(&self.interval_tokens) {
            loads.resize(sums.len(), 0.0);
            for (load, sum) in loads.iter_mut().zip(sums) {
                *load += (sum / self.interval_rank_steps - *load) * weight;
            }
        }
        self.interval_tokens.clear();
        self.interval_rank_steps = 0.0;
    }

    /// Tokens that a rank routes to each expert in a step, by layer and expert.
    pub fn expert_loads(&self) -> &[Vec<f64>] {
        &self.expert_loads
    }

    /// Cost of a rank relative to the mean of all ranks; 1 for a rank without reports.
    pub fn relative_cost(&self, rank: Rank) -> f64 {
        let mean = self.rank_costs.values().sum::<f64>() / self.rank_costs.len().max(1) as f64;
        match self.rank_costs.get(&rank) {
            Some(cost) if mean > 0.0 => cost / mean,
            _ => 1.0,
        }
    }

    /// Sets the cost of a rank whose engine reports its own speed.
    pub fn set_rank_cost(&mut self, rank: Rank, cost: f64) {
        self.rank_costs.insert(rank, cost);
    }

    /// Removes a rank that was lost or replaced.
    pub fn remove_rank(&mut self, rank: Rank) {
        self.rank_costs.remove(&rank);
        self.reported_steps.remove(&rank);
    }
}
