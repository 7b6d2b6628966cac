//! A stand-in rank group: lock-step ranks, changing expert popularity and a model of step time.
//!
//! The time of a rank in a layer is the number of tokens routed to its experts divided by its speed;
//! the slowest rank determines the time of the layer. The tokens of an expert are divided evenly among
//! its replicas. Popularity follows a [`Pattern`] and is a function of the step, so runs are
//! reproducible.

use eelgrassdyke_core::id::{Step, Version};
use eelgrassdyke_core::wire::group::{ExpertMap, LoadReport};

/// Time that a rank of speed 1 takes for one token of one expert, in microseconds.
const TOKEN_US: f64 = 1.0;

/// Tokens per rank that a step sends through each layer.
const TOKENS_PER_RANK: f64 = 512.0;

/// How expert popularity or the ranks change over the steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// Popularity shifts slowly from expert to expert.
    Drift,
    /// One expert of each layer suddenly receives much of the load.
    Burst,
    /// Load alternates between two halves of the experts.
    Season,
    /// One rank runs at half speed after a third of the steps.
    Straggler,
    /// One rank fails after a third of the steps.
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
    /// Steps executed, each with the version of its expert map.
    executed_steps: Vec<(Step, Version)>,
}

/// Time of one step, in microseconds, summed over the layers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepTime {
    /// Time of the slowest rank of each layer.
    pub slowest: f64,
    /// Mean time of the live ranks in each layer.
    pub mean: f64,
}

impl Group {
    /// Creates a group for a run of `steps` steps.
    pub fn new(pattern: Pattern, ranks: usize, experts: usize, layers: usize, steps: u64) -> Self {
        Self {
            pattern,
            ranks,
            experts,
            layers,
            steps,
            executed_steps: Vec::new(),
        }
    }

    /// Relative speed of a rank at a step; zero after it has failed.
    pub fn speed(&self, rank: usize, step: u64) -> f64 {
        let is_affected = rank == 1 && step >= self.steps / 3;
        match self.pattern {
            Pattern::Straggler if is_affected => 0.5,
            Pattern::Lost if is_affected => 0.0,
            _ => 1.0,
        }
    }

    /// Tokens routed to each expert of a layer at a step.
    pub fn expert_tokens(&self, layer: usize, step: u64) -> Vec<f64> {
        let popularities = (0..self.experts).map(|expert| self.popularity(layer, expert, step));
        let mut expert_tokens: Vec<f64> = popularities.collect();
        let scale = TOKENS_PER_RANK * self.ranks as f64 / expert_tokens.iter().sum::<f64>();
        for tokens in &mut expert_tokens {
            *tokens *= scale;
        }
        expert_tokens
    }

    /// Relative popularity of an expert, before it is scaled to tokens.
    fn popularity(&self, layer: usize, expert: usize, step: u64) -> f64 {
        let experts = self.experts as f64;
        let progress = step as f64 / self.steps as f64;
        let position = ((expert * 29 + layer * 17) % self.experts) as f64;
        let base = 1.0 / (1.0 + 6.0 * position / experts);
        match self.pattern {
            Pattern::Drift => {
                let angle = std::f64::consts::TAU * (position / experts + progress);
                0.15 + (4.0 * (angle.cos() - 1.0)).exp()
            }
            Pattern::Burst => {
                let is_hot = expert == (layer * 7 + 3) % self.experts && progress > 0.4;
                base + if is_hot { 8.0 } else { 0.0 }
            }
            Pattern::Season => {
                let phase = match expert % 2 {
                    0 => 0.0,
                    _ => std::f64::consts::PI,
                };
                base * (1.2 + (progress * 4.0 * std::f64::consts::PI + phase).sin())
            }
            Pattern::Straggler | Pattern::Lost => base,
        }
    }

    /// Executes one step with an expert map and records the map's version.
    pub fn run_step(&mut self, step: u64, map: &ExpertMap) -> StepTime {
        self.executed_steps.push((Step(step), map.version));
        let mut time = StepTime::default();
        for layer in 0..self.layers {
            let times = self.rank_times(step, layer, map);
            let live_ranks = times.iter().flatten().count();
            time.slowest += times.iter().flatten().copied().fold(0.0, f64::max);
            time.mean += times.iter().flatten().sum::<f64>() / live_ranks.max(1) as f64;
        }
        time
    }

    /// Time of each rank in a layer, in microseconds; `None` for a failed rank.
    fn rank_times(&self, step: u64, layer: usize, map: &ExpertMap) -> Vec<Option<f64>> {
        let experts_by_rank = &map.layers[layer];
        let mut replicas = vec![0_u32; self.experts];
        for expert in experts_by_rank.iter().flatten() {
            replicas[*expert as usize] += 1;
        }
        let mut tokens_per_replica = self.expert_tokens(layer, step);
        for (tokens, replicas) in tokens_per_replica.iter_mut().zip(&replicas) {
            *tokens /= f64::from((*replicas).max(1));
        }
        let time = |(rank, experts): (usize, &Vec<u32>)| {
            let speed = self.speed(rank, step);
            let tokens: f64 = experts
                .iter()
                .map(|expert| tokens_per_replica[*expert as usize])
                .sum();
            (speed > 0.0).then(|| tokens * TOKEN_US / speed)
        };
        experts_by_rank.iter().enumerate().map(time).collect()
    }

    /// Load report of a rank for the steps `first` to `last`, extrapolated from the last step.
    pub fn load_report(&self, rank: usize, first: u64, last: u64, map: &ExpertMap) -> LoadReport {
        let step_count = (last - first + 1) as f64;
        let row = |layer| {
            let expert_tokens = self.expert_tokens(layer, last);
            let count = |tokens: f64| (tokens * step_count / self.ranks as f64).round() as u64;
            expert_tokens.into_iter().map(count).collect()
        };
        let busy_us: f64 = (0..self.layers)
            .filter_map(|layer| self.rank_times(last, layer, map)[rank])
            .sum();
        let processed_tokens = busy_us * self.speed(rank, last) / TOKEN_US * step_count;
        LoadReport {
            steps: (Step(first), Step(last)),
            expert_tokens: (0..self.layers).map(row).collect(),
            processed_tokens: processed_tokens.round() as u64,
            busy_us: busy_us.round() as u64,
            ..LoadReport::default()
        }
    }

    /// Steps executed, each with the version of its expert map.
    pub fn executed_steps(&self) -> &[(Step, Version)] {
        &self.executed_steps
    }
}
