//! A stand-in rank group: lock-step ranks, drifting expert popularity and a model of step time.
//!
//! In each layer a rank works for the tokens of its experts divided by its speed, and the slowest
//! rank decides when the layer ends. The tokens of an expert are divided evenly among its copies.
//! Popularity follows a [`Pattern`] and depends on the step alone, so every run is the same.

use eelgrassdyke_core::id::{Step, Version};
use eelgrassdyke_core::wire::group::{ExpertMap, LoadReport};

/// Time that a rank of speed 1 spends on a token of one expert, in microseconds.
const TOKEN_US: f64 = 1.0;

/// Tokens that a step sends through each layer for each rank.
const TOKENS_PER_RANK: f64 = 512.0;

/// How demand or the ranks change over the steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// Popularity moves slowly from expert to expert.
    Drift,
    /// One expert of each layer suddenly takes much of the load.
    Burst,
    /// Two halves of the experts take turns.
    Season,
    /// One rank runs at half speed from a third of the way on.
    Straggler,
    /// One rank is lost a third of the way on.
    Lost,
}

/// A stand-in rank group.
#[derive(Clone, Debug)]
pub struct Group {
    pattern: Pattern,
    ranks: usize,
    experts: usize,
    layers: usize,
    steps: u64,
    /// Steps run and the map version of each.
    book: Vec<(Step, Version)>,
}

/// Time of one step, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Time {
    /// Sum over the layers of the slowest rank's time.
    pub slowest: f64,
    /// Sum over the layers of the mean time of the ranks.
    pub mean: f64,
}

impl Group {
    /// A group that will run `steps` steps.
    pub fn new(pattern: Pattern, ranks: usize, experts: usize, layers: usize, steps: u64) -> Self {
        Self {
            pattern,
            ranks,
            experts,
            layers,
            steps,
            book: Vec::new(),
        }
    }

    /// Speed of a rank at a step, zero when it is lost.
    pub fn speed(&self, rank: usize, step: u64) -> f64 {
        let is_hit = rank == 1 && step >= self.steps / 3;
        match self.pattern {
            Pattern::Straggler if is_hit => 0.5,
            Pattern::Lost if is_hit => 0.0,
            _ => 1.0,
        }
    }

    /// Tokens of each expert of a layer at a step.
    pub fn demand(&self, layer: usize, step: u64) -> Vec<f64> {
        let weights = (0..self.experts).map(|expert| self.weight(layer, expert, step));
        let mut demand: Vec<f64> = weights.collect();
        let scale = TOKENS_PER_RANK * self.ranks as f64 / demand.iter().sum::<f64>();
        for tokens in &mut demand {
            *tokens *= scale;
        }
        demand
    }

    fn weight(&self, layer: usize, expert: usize, step: u64) -> f64 {
        let experts = self.experts as f64;
        let part = step as f64 / self.steps as f64;
        let place = ((expert * 29 + layer * 17) % self.experts) as f64;
        let base = 1.0 / (1.0 + 6.0 * place / experts);
        match self.pattern {
            Pattern::Drift => {
                let angle = std::f64::consts::TAU * (place / experts + part);
                0.15 + (4.0 * (angle.cos() - 1.0)).exp()
            }
            Pattern::Burst => {
                let is_hot = expert == (layer * 7 + 3) % self.experts && part > 0.4;
                base + if is_hot { 8.0 } else { 0.0 }
            }
            Pattern::Season => {
                let phase = match expert % 2 {
                    0 => 0.0,
                    _ => std::f64::consts::PI,
                };
                base * (1.2 + (part * 4.0 * std::f64::consts::PI + phase).sin())
            }
            Pattern::Straggler | Pattern::Lost => base,
        }
    }

    /// Runs one step under a map and notes it.
    pub fn run(&mut self, step: u64, map: &ExpertMap) -> Time {
        self.book.push((Step(step), map.version));
        let mut time = Time::default();
        for layer in 0..self.layers {
            let times = self.times(step, layer, map);
            let alive = times.iter().flatten().count();
            time.slowest += times.iter().flatten().copied().fold(0.0, f64::max);
            time.mean += times.iter().flatten().sum::<f64>() / alive.max(1) as f64;
        }
        time
    }

    /// Each rank's time in a layer; none for a lost rank.
    fn times(&self, step: u64, layer: usize, map: &ExpertMap) -> Vec<Option<f64>> {
        let ranks = &map.layers[layer];
        let mut copies = vec![0_u32; self.experts];
        for expert in ranks.iter().flatten() {
            copies[*expert as usize] += 1;
        }
        let mut shares = self.demand(layer, step);
        for (share, copies) in shares.iter_mut().zip(&copies) {
            *share /= f64::from((*copies).max(1));
        }
        let time = |(rank, held): (usize, &Vec<u32>)| {
            let speed = self.speed(rank, step);
            let tokens: f64 = held.iter().map(|expert| shares[*expert as usize]).sum();
            (speed > 0.0).then(|| tokens * TOKEN_US / speed)
        };
        ranks.iter().enumerate().map(time).collect()
    }

    /// What a rank reports of the steps `first` to `last`, judged by the last of them.
    pub fn seen(&self, rank: usize, first: u64, last: u64, map: &ExpertMap) -> LoadReport {
        let steps = (last - first + 1) as f64;
        let row = |layer| {
            let demand = self.demand(layer, last);
            let count = |tokens: f64| (tokens * steps / self.ranks as f64).round() as u64;
            demand.into_iter().map(count).collect()
        };
        let busy: f64 = (0..self.layers)
            .filter_map(|layer| self.times(last, layer, map)[rank])
            .sum();
        let worked = busy * self.speed(rank, last) / TOKEN_US * steps;
        LoadReport {
            steps: (Step(first), Step(last)),
            expert_tokens: (0..self.layers).map(row).collect(),
            processed_tokens: worked.round() as u64,
            busy_us: busy.round() as u64,
            ..LoadReport::default()
        }
    }

    /// Steps run and the map version of each.
    pub fn book(&self) -> &[(Step, Version)] {
        &self.book
    }
}
