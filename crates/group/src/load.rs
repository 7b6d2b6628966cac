//! Smoothed expert loads and rank speeds, from the load reports of a group.
//!
//! Load reports may arrive late, duplicated, out of order or not at all. Each report counts at
//! most once, and loads are averages over the steps reported, so a lost report shrinks the sample but
//! does not lower the load.
//!
//! An interval in which demand changes holds tokens of the former demand as well as of the new one, and a
//! plan for the mixture fits neither. The experts that were chosen most tell how much of the former demand
//! is left: most of the time one of them is hardly chosen any more.

use std::collections::BTreeMap;

use eelgrassdyke_core::id::{Rank, Step};
use eelgrassdyke_core::wire::group::LoadReport;

/// Weight of the latest interval in the smoothed loads, by default.
const LOAD_SMOOTHING: f64 = 0.5;

/// Minimum weight of the latest interval while demand is steady, if the weight follows the noise. Until
/// there are as many intervals, all since the last change of demand count alike.
const STEADY_SMOOTHING: f64 = 0.1;

/// Weight of the latest interval in the smoothed noise. It is low, so that a change of demand hardly
/// counts as noise.
const NOISE_SMOOTHING: f64 = 0.08;

/// Squared deviation from the smoothed loads, relative to the squared noise, that is expected while
/// demand is steady.
const STEADY_DEVIATION: f64 = 1.3;

/// Part of a deviation that noise does not explain from which demand counts as changed; a false change
/// shortens the expected life of demand, and with it the gain of every plan.
const CHANGE_EXCESS: f64 = 0.8;

/// Multiple of the mean share from which an expert counts as chosen most.
const MAJOR_SHARE: f64 = 4.0;

/// Fraction of the former demand in an interval above which it says too little about the new demand.
const FORMER_FRACTION_MAX: f64 = 0.5;

/// Weight of the latest report in the smoothed cost of a rank.
const COST_SMOOTHING: f64 = 0.3;

/// Smoothed loads of the experts and costs of the ranks.
///
/// The cost of a rank is its time per token, in any unit that all ranks of the group share.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadEstimator {
    smoothing: Smoothing,
    /// Tokens per step and rank in the latest interval alone, by layer and expert.
    latest_loads: Vec<Vec<f64>>,
    /// Shares of the experts in the previous interval, by layer and expert.
    previous_shares: Vec<Vec<f64>>,
    /// Smoothed squared difference of the shares in consecutive intervals; none until it was measured.
    noise: Option<f64>,
    /// Tokens per step and rank, by layer and expert.
    expert_loads: Vec<Vec<f64>>,
    /// Demand in the previous interval.
    demand: Demand,
    /// Number of intervals since demand last changed.
    intervals: u32,
    /// Tokens reported in the current interval, by layer and expert.
    interval_tokens: Vec<Vec<f64>>,
    /// Steps reported in the current interval, summed over the ranks.
    interval_rank_steps: f64,
    /// Smoothed cost of each rank that has reported.
    rank_costs: BTreeMap<Rank, f64>,
    /// Last step that each rank has reported.
    reported_steps: BTreeMap<Rank, Step>,
}

/// Demand in an interval, compared with that before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// It is the same, as far as the noise allows to tell.
    Steady,
    /// It seems to change, but most of the interval shows the former demand. The loads are still those of
    /// the former demand.
    Changing,
    /// It has changed.
    Changed,
}

/// How the loads of an interval are weighted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Smoothing {
    /// With a constant weight, between 0 and 1.
    Constant(f64),
    /// With a weight that grows with the deviation from the smoothed loads, measured by the noise of
    /// the intervals.
    ByNoise,
}

impl Default for LoadEstimator {
    fn default() -> Self {
        Self::new(LOAD_SMOOTHING)
    }
}

impl LoadEstimator {
    /// Creates an estimator that gives the latest interval the weight `smoothing`, between 0 and 1.
    pub fn new(smoothing: f64) -> Self {
        Self::with_smoothing(Smoothing::Constant(smoothing))
    }

    /// Creates an estimator that follows a change of demand at once and otherwise averages over
    /// intervals; it tells the two apart by the difference between consecutive intervals.
    pub fn adaptive() -> Self {
        Self::with_smoothing(Smoothing::ByNoise)
    }

    fn with_smoothing(smoothing: Smoothing) -> Self {
        Self {
            smoothing,
            latest_loads: Vec::new(),
            previous_shares: Vec::new(),
            noise: None,
            expert_loads: Vec::new(),
            demand: Demand::Steady,
            intervals: 0,
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

    /// Closes the current interval and adds it to the smoothed loads. Returns whether demand has
    /// changed, as far as the noise allows to tell.
    pub fn close_interval(&mut self) -> Demand {
        if self.interval_rank_steps == 0.0 {
            return Demand::Steady;
        }
        self.latest_loads = std::mem::take(&mut self.interval_tokens);
        for sum in self.latest_loads.iter_mut().flatten() {
            *sum /= self.interval_rank_steps;
        }
        self.interval_rank_steps = 0.0;
        let (demand, former) = match (self.expert_loads.is_empty(), self.smoothing) {
            (true, _) | (false, Smoothing::Constant(_)) => (Demand::Steady, 0.0),
            (false, Smoothing::ByNoise) => self.compare_interval(),
        };
        self.demand = demand;
        let weight = match demand {
            Demand::Steady => {
                self.intervals = self.intervals.saturating_add(1);
                self.steady_weight()
            }
            Demand::Changing => return demand,
            // A weight above 1 subtracts the rest of the former demand.
            Demand::Changed => {
                self.intervals = 1;
                1.0 / (1.0 - former)
            }
        };
        self.expert_loads
            .resize(self.latest_loads.len(), Vec::new());
        for (loads, latest) in self.expert_loads.iter_mut().zip(&self.latest_loads) {
            loads.resize(latest.len(), 0.0);
            for (load, latest) in loads.iter_mut().zip(latest) {
                *load = (*load + (latest - *load) * weight).max(0.0);
            }
        }
        demand
    }

    /// Weight of the current interval while demand is steady.
    fn steady_weight(&self) -> f64 {
        match self.smoothing {
            Smoothing::Constant(_) if self.expert_loads.is_empty() => 1.0,
            Smoothing::Constant(weight) => weight,
            Smoothing::ByNoise => (1.0 / f64::from(self.intervals)).max(STEADY_SMOOTHING),
        }
    }

    /// Compares the latest interval with the smoothed loads, measured by the noise of the intervals. Also
    /// returns which fraction of a changed demand's interval shows the former one.
    fn compare_interval(&mut self) -> (Demand, f64) {
        let latest = shares(&self.latest_loads);
        let smoothed = shares(&self.expert_loads);
        let previous = std::mem::replace(&mut self.previous_shares, latest);
        if previous.is_empty() {
            return (Demand::Steady, 0.0);
        }
        // Two consecutive intervals differ by the noise of both.
        let noise = squared_difference(&self.previous_shares, &previous) / 2.0;
        let expected = *self.noise.get_or_insert(noise);
        self.noise = Some(expected + (noise - expected) * NOISE_SMOOTHING);
        let deviation = squared_difference(&self.previous_shares, &smoothed);
        let excess = 1.0 - STEADY_DEVIATION * expected / deviation.max(f64::MIN_POSITIVE);
        if excess <= CHANGE_EXCESS {
            return (Demand::Steady, 0.0);
        }
        let former = former_fraction(&self.previous_shares, &smoothed);
        if former <= FORMER_FRACTION_MAX {
            return (Demand::Changed, former);
        }
        match self.demand {
            // A second interval with much of the former demand is the new demand.
            Demand::Changing => (Demand::Changed, 0.0),
            Demand::Steady | Demand::Changed => (Demand::Changing, former),
        }
    }

    /// Tokens that a rank routes to each expert in a step, by layer and expert.
    pub fn expert_loads(&self) -> &[Vec<f64>] {
        &self.expert_loads
    }

    /// Tokens that a rank routed to each expert in a step of the latest interval, by layer and expert.
    pub fn latest_loads(&self) -> &[Vec<f64>] {
        &self.latest_loads
    }

    /// Cost of each of the first `ranks` ranks relative to the mean of all ranks; 1 for a rank without
    /// reports.
    pub fn relative_costs(&self, ranks: usize) -> Vec<f64> {
        let mean = self.rank_costs.values().sum::<f64>() / self.rank_costs.len().max(1) as f64;
        let relative_cost = |rank: usize| match self.rank_costs.get(&Rank(rank as u64)) {
            Some(cost) if mean > 0.0 => cost / mean,
            _ => 1.0,
        };
        (0..ranks).map(relative_cost).collect()
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

/// Share of each expert in the tokens of its layer.
fn shares(loads: &[Vec<f64>]) -> Vec<Vec<f64>> {
    let layer_shares = |layer: &Vec<f64>| {
        let sum = layer.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        layer.iter().map(|load| load / sum).collect()
    };
    loads.iter().map(layer_shares).collect()
}

/// Sum of the squared differences of the shares in all layers.
fn squared_difference(a: &[Vec<f64>], b: &[Vec<f64>]) -> f64 {
    let pairs = a.iter().flatten().zip(b.iter().flatten());
    pairs.map(|(a, b)| (a - b) * (a - b)).sum()
}

/// Fraction of the former demand in the latest shares: the smallest part of its share that is left to any
/// of the experts that were chosen most; zero if none was.
fn former_fraction(latest: &[Vec<f64>], former: &[Vec<f64>]) -> f64 {
    let mut fraction: Option<f64> = None;
    for (latest, former) in latest.iter().zip(former) {
        let major = MAJOR_SHARE / former.len().max(1) as f64;
        for (latest, former) in latest.iter().zip(former) {
            if *former < major {
                continue;
            }
            let left = (latest / former).min(1.0);
            fraction = Some(fraction.map_or(left, |least| least.min(left)));
        }
    }
    fraction.unwrap_or(0.0)
}
