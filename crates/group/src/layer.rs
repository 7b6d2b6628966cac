//! Placement of the experts of one layer on the ranks.
//!
//! The tokens of an expert are divided evenly among its copies. The time of a rank in the layer is the
//! number of tokens of its copies times its cost per token, and the slowest rank determines the time of
//! the layer.
//!
//! A plan takes thousands of trial changes. They are therefore applied in place and undone (`change`),
//! only the times of the ranks that a change affects are computed again, and membership is looked up in
//! a `table`. Sums are formed in the order of the slots and of the copies, so a placement has the same
//! times, bit for bit, however it came about.

mod candidate;
mod change;
mod greedy;
mod table;

use candidate::Buffers;
use change::{Change, Undo};
use table::Table;

/// Number of consecutive changes without improvement after which [`LayerPlacement::improve`] stops.
const IDLE_CHANGES_MAX: u32 = 8;

/// Number of ranks, the least busy ones, that are considered for a change with the slowest rank.
const PARTNERS_MAX: usize = 8;

/// Minimum gain of a change, as a fraction of the slowest rank's time.
const MIN_GAIN: f64 = 1e-9;

/// Random changes made to a placement before each local search.
const PERTURBATIONS: usize = 3;

/// Inputs and constraints of the placement of one layer.
#[derive(Clone, Copy, Debug)]
pub struct LayerProblem<'a> {
    /// Number of tokens for each expert.
    pub expert_loads: &'a [f64],
    /// Time per token of each rank; infinite for a rank that is not a member.
    pub rank_costs: &'a [f64],
    /// Index of the host of each rank.
    pub hosts: &'a [usize],
    /// Number of expert slots of a rank.
    pub slots: usize,
    /// Number of hosts that must hold each expert: one or two.
    pub min_hosts_per_expert: usize,
    /// Maximum number of experts of each rank that are not in its initial placement.
    pub max_new_experts: &'a [usize],
}

/// The placement of one layer.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerPlacement {
    experts_by_rank: Vec<Vec<u32>>,
    ranks_by_expert: Vec<Vec<usize>>,
    /// Tokens of each copy of an expert.
    tokens_per_copy: Vec<f64>,
    rank_times: Vec<f64>,
    table: Table,
}

impl LayerPlacement {
    /// Creates a placement from the experts of each rank. Every later use must be with the same loads
    /// and costs.
    pub fn new(experts_by_rank: &[Vec<u32>], problem: &LayerProblem<'_>) -> Self {
        let experts = problem.expert_loads.len();
        let mut layer = Self {
            experts_by_rank: experts_by_rank.to_vec(),
            ranks_by_expert: vec![Vec::new(); experts],
            tokens_per_copy: vec![0.0; experts],
            rank_times: vec![0.0; experts_by_rank.len()],
            table: Table::new(experts_by_rank, experts),
        };
        for (rank, experts) in experts_by_rank.iter().enumerate() {
            for expert in experts {
                layer.ranks_by_expert[*expert as usize].push(rank);
            }
        }
        for expert in 0..experts {
            layer.update_tokens_per_copy(expert as u32, problem);
        }
        for rank in 0..experts_by_rank.len() {
            layer.update_time(rank, problem);
        }
        layer
    }

    /// The experts of each rank.
    pub fn experts_by_rank(&self) -> &[Vec<u32>] {
        &self.experts_by_rank
    }

    /// Time of the slowest rank.
    pub fn slowest_time(&self) -> f64 {
        self.rank_times.iter().copied().fold(0.0, f64::max)
    }

    /// Number of experts of `rank` that are not in its initial placement.
    pub fn new_experts(&self, rank: usize) -> usize {
        self.table.new_experts(rank)
    }

    /// Mean time of the member ranks.
    pub fn mean_time(&self, problem: &LayerProblem<'_>) -> f64 {
        let members = problem
            .rank_costs
            .iter()
            .filter(|cost| cost.is_finite())
            .count();
        self.rank_times.iter().sum::<f64>() / members.max(1) as f64
    }

    /// Number of experts that are held by fewer than `min_hosts` hosts, which is one or two.
    pub fn under_replicated_experts(&self, hosts: &[usize], min_hosts: usize) -> u64 {
        let is_under_replicated =
            |ranks: &&Vec<usize>| host_count_up_to_two(ranks.iter().copied(), hosts) < min_hosts;
        let experts = self.ranks_by_expert.iter();
        experts.filter(is_under_replicated).count() as u64
    }

    /// Applies changes as long as they shorten the slowest rank's time by more than `price` for each
    /// expert loaded. Returns the number of experts loaded, which is at most `budget`.
    ///
    /// If several ranks are about equally slow, a single change seldom shortens the time of the slowest
    /// one. Therefore a sequence of changes is tried, each chosen by its effect on all slow ranks, and
    /// the best prefix of that sequence is kept.
    pub fn improve(&mut self, problem: &LayerProblem<'_>, price: f64, budget: u64) -> u64 {
        self.improve_logged(
            problem,
            price,
            budget,
            &mut Buffers::default(),
            &mut Vec::new(),
        )
    }

    /// [`Self::improve`] with buffers that are reused; appends how to undo the changes to `log`.
    fn improve_logged(
        &mut self,
        problem: &LayerProblem<'_>,
        price: f64,
        budget: u64,
        buffers: &mut Buffers,
        log: &mut Vec<Undo>,
    ) -> u64 {
        let slowest_time = self.slowest_time();
        // The value of the best prefix, its number of loads and its end in the log.
        let mut best = (slowest_time * MIN_GAIN, 0, log.len());
        let mut loads = 0;
        let mut idle_changes = 0;
        while idle_changes < IDLE_CHANGES_MAX {
            let Some(candidate) = self.best_change(problem, budget - loads, buffers) else {
                break;
            };
            log.push(self.apply(candidate.change, problem));
            loads += candidate.loads;
            idle_changes += 1;
            let value = slowest_time - self.slowest_time() - price * loads as f64;
            if value > best.0 {
                best = (value, loads, log.len());
                idle_changes = 0;
            }
        }
        self.undo_to(log, best.2, problem);
        best.1
    }

    /// Iterated local search: `restarts` times, perturbs and improves the placement, and keeps the
    /// result if it is better.
    pub fn search(&mut self, problem: &LayerProblem<'_>, restarts: u64) {
        let mut random_state = 0;
        let mut buffers = Buffers::default();
        let mut log = Vec::new();
        for _ in 0..restarts {
            let slowest_time = self.slowest_time();
            log.clear();
            for _ in 0..PERTURBATIONS {
                log.extend(self.perturb(problem, &mut random_state));
            }
            self.improve_logged(problem, 0.0, u64::MAX, &mut buffers, &mut log);
            if self.slowest_time() >= slowest_time {
                self.undo_to(&mut log, 0, problem);
            }
        }
    }

    /// Draws a random change and applies it if it is allowed; the result undoes it.
    fn perturb(&mut self, problem: &LayerProblem<'_>, random_state: &mut u64) -> Option<Undo> {
        let (a, b) = (
            random_below(random_state, self.experts_by_rank.len()),
            random_below(random_state, self.experts_by_rank.len()),
        );
        if a == b || self.experts_by_rank[a].is_empty() || self.experts_by_rank[b].is_empty() {
            return None;
        }
        let (i, j) = (
            random_below(random_state, self.experts_by_rank[a].len()),
            random_below(random_state, self.experts_by_rank[b].len()),
        );
        let (first, second) = (self.experts_by_rank[a][i], self.experts_by_rank[b][j]);
        if self.table.holds(b, first) {
            return None;
        }
        let change = match self.ranks_by_expert[second as usize].len() > 1
            && random_below(random_state, 2) == 0
        {
            true => Change::Load(b, j, first),
            false if self.table.holds(a, second) => return None,
            false => Change::Swap(a, i, b, j),
        };
        let is_allowed =
            self.keeps_min_hosts(problem, change) && self.keeps_new_expert_limit(problem, change);
        is_allowed.then(|| self.apply(change, problem))
    }

    /// Whether each expert that loses a copy stays on enough hosts, or on as many as before.
    fn keeps_min_hosts(&self, problem: &LayerProblem<'_>, change: Change) -> bool {
        match change {
            Change::Swap(a, i, b, j) => {
                let (first, second) = (self.experts_by_rank[a][i], self.experts_by_rank[b][j]);
                self.keeps_hosts_of(problem, first, a, Some(b))
                    && self.keeps_hosts_of(problem, second, b, Some(a))
            }
            Change::Load(rank, slot, _) => match self.experts_by_rank[rank].get(slot) {
                Some(old) => self.keeps_hosts_of(problem, *old, rank, None),
                None => true,
            },
        }
    }

    /// Whether no rank exceeds the limit of new experts after a change.
    fn keeps_new_expert_limit(&self, problem: &LayerProblem<'_>, change: Change) -> bool {
        match change {
            Change::Swap(a, i, b, j) => {
                let (first, second) = (self.experts_by_rank[a][i], self.experts_by_rank[b][j]);
                self.allows_new_expert(problem, a, i, second)
                    && self.allows_new_expert(problem, b, j, first)
            }
            Change::Load(rank, slot, expert) => self.allows_new_expert(problem, rank, slot, expert),
        }
    }

    /// Whether `rank` may replace the expert in `slot` by `expert` under the limit of new experts.
    fn allows_new_expert(
        &self,
        problem: &LayerProblem<'_>,
        rank: usize,
        slot: usize,
        expert: u32,
    ) -> bool {
        if !self.table.is_new(rank, expert) {
            return true;
        }
        let replaced = self.experts_by_rank[rank].get(slot);
        let replaces_new = replaced.is_some_and(|old| self.table.is_new(rank, *old));
        self.table.new_experts(rank) - usize::from(replaces_new) < problem.max_new_experts[rank]
    }

    /// Whether `expert` stays on enough hosts, or on as many as before, if its copy on rank `removed` is
    /// removed and one on rank `added` is created.
    fn keeps_hosts_of(
        &self,
        problem: &LayerProblem<'_>,
        expert: u32,
        removed: usize,
        added: Option<usize>,
    ) -> bool {
        let holders = &self.ranks_by_expert[expert as usize];
        let before = host_count_up_to_two(holders.iter().copied(), problem.hosts);
        let remaining = holders.iter().copied().filter(|rank| *rank != removed);
        host_count_up_to_two(remaining.chain(added), problem.hosts)
            >= before.min(problem.min_hosts_per_expert)
    }

    fn update_tokens_per_copy(&mut self, expert: u32, problem: &LayerProblem<'_>) {
        let copies = self.ranks_by_expert[expert as usize].len().max(1);
        self.tokens_per_copy[expert as usize] =
            problem.expert_loads[expert as usize] / copies as f64;
    }

    fn update_time(&mut self, rank: usize, problem: &LayerProblem<'_>) {
        let experts = self.experts_by_rank[rank].iter();
        let tokens: f64 = experts.map(|e| self.tokens_per_copy[*e as usize]).sum();
        self.rank_times[rank] = match tokens > 0.0 {
            true => tokens * problem.rank_costs[rank],
            false => 0.0,
        };
    }
}

/// Number of distinct hosts of the ranks; two stands for two or more.
fn host_count_up_to_two(mut ranks: impl Iterator<Item = usize>, hosts: &[usize]) -> usize {
    let Some(first) = ranks.next() else {
        return 0;
    };
    match ranks.any(|rank| hosts[rank] != hosts[first]) {
        true => 2,
        false => 1,
    }
}

/// The next number below `bound` of a fixed pseudo-random sequence (SplitMix64).
fn random_below(state: &mut u64, bound: usize) -> usize {
    *state = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mixed = (*state ^ (*state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((mixed ^ (mixed >> 31)) % bound.max(1) as u64) as usize
}
