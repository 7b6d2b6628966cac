//! What the ranks of a group saw, smoothed.
//!
//! Reports come late, doubled, out of order and with gaps. Each is counted once and by the steps it
//! covers, so that a missing one thins the sample without lowering the load.

use std::collections::BTreeMap;

use eelgrassdyke_core::id::{Rank, Step};
use eelgrassdyke_core::wire::group::LoadReport;

/// Weight of the newest interval in the smoothed load, unless set otherwise.
const LOAD_GAIN: f64 = 0.5;

/// Weight of the newest report in a rank's smoothed time per token.
const COST_GAIN: f64 = 0.3;

/// Smoothed load of the experts and speed of the ranks.
#[derive(Clone, Debug, PartialEq)]
pub struct Loads {
    gain: f64,
    smoothed: Vec<Vec<f64>>,
    gathered: Vec<Vec<f64>>,
    rank_steps: f64,
    costs: BTreeMap<Rank, f64>,
    heard: BTreeMap<Rank, Step>,
}

impl Default for Loads {
    fn default() -> Self {
        Self::new(LOAD_GAIN)
    }
}

impl Loads {
    /// Loads in which the newest interval has this weight.
    pub fn new(gain: f64) -> Self {
        Self {
            gain,
            smoothed: Vec::new(),
            gathered: Vec::new(),
            rank_steps: 0.0,
            costs: BTreeMap::new(),
            heard: BTreeMap::new(),
        }
    }

    /// Counts a report; one that covers steps already counted is dropped.
    pub fn hear(&mut self, rank: Rank, seen: &LoadReport) {
        let (first, last) = seen.steps;
        let heard = self.heard.get(&rank).copied().unwrap_or_default();
        if first <= heard || last < first {
            return;
        }
        self.heard.insert(rank, last);
        self.rank_steps += (last - first).0 as f64 + 1.0;
        self.gathered.resize(seen.expert_tokens.len(), Vec::new());
        for (sums, tokens) in self.gathered.iter_mut().zip(&seen.expert_tokens) {
            sums.resize(tokens.len(), 0.0);
            for (sum, count) in sums.iter_mut().zip(tokens) {
                *sum += *count as f64;
            }
        }
        if seen.processed_tokens == 0 {
            return;
        }
        let steps = (last - first).0 as f64 + 1.0;
        let cost = seen.busy_us as f64 * steps / seen.processed_tokens as f64;
        let smoothed = self.costs.entry(rank).or_insert(cost);
        *smoothed += (cost - *smoothed) * COST_GAIN;
    }

    /// Closes an interval: blends what was gathered into the smoothed load.
    pub fn roll(&mut self) {
        if self.rank_steps == 0.0 {
            return;
        }
        let gain = match self.smoothed.is_empty() {
            true => 1.0,
            false => self.gain,
        };
        self.smoothed.resize(self.gathered.len(), Vec::new());
        for (smoothed, sums) in self.smoothed.iter_mut().zip(&self.gathered) {
            smoothed.resize(sums.len(), 0.0);
            for (load, sum) in smoothed.iter_mut().zip(sums) {
                *load += (sum / self.rank_steps - *load) * gain;
            }
        }
        self.gathered.clear();
        self.rank_steps = 0.0;
    }

    /// Tokens a step and sending rank for each expert, by layer.
    pub fn experts(&self) -> &[Vec<f64>] {
        &self.smoothed
    }

    /// Time per token of a rank, relative to the mean of all; 1 when it never reported.
    pub fn cost(&self, rank: Rank) -> f64 {
        let mean = self.costs.values().sum::<f64>() / self.costs.len().max(1) as f64;
        match self.costs.get(&rank) {
            Some(cost) if mean > 0.0 => cost / mean,
            _ => 1.0,
        }
    }

    /// Takes in the slowness of a rank, where it is told rather than measured.
    pub fn set_cost(&mut self, rank: Rank, cost: f64) {
        self.costs.insert(rank, cost);
    }

    /// Forgets a rank that was lost or replaced.
    pub fn forget(&mut self, rank: Rank) {
        self.costs.remove(&rank);
        self.heard.remove(&rank);
    }
}
