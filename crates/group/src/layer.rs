//! Placement of the experts of one layer on the ranks.
//!
//! The tokens of an expert are divided evenly among its copies. The time of a rank in the layer is the
//! number of tokens of its copies times its cost per token, and the slowest rank determines the time of
//! the layer.

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

/// A change of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// Two ranks exchange an expert: first rank and slot, second rank and slot.
    Swap(usize, usize, usize, usize),
    /// A rank loads an expert into a slot: rank, slot and expert. The slot after the last occupied one
    /// is free.
    Load(usize, usize, u32),
}

/// The placement of one layer.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerPlacement {
    experts_by_rank: Vec<Vec<u32>>,
    ranks_by_expert: Vec<Vec<usize>>,
    rank_times: Vec<f64>,
    /// The experts of each rank before any change.
    initial: Vec<Vec<u32>>,
}

/// A possible change with its gain and cost.
struct Candidate {
    change: Change,
    gain: f64,
    /// Number of experts to load.
    loads: u64,
}

impl Candidate {
    fn gain_per_load(&self) -> f64 {
        self.gain / self.loads as f64
    }
}

/// Penalty of a rank's time, relative to the slowest rank; the high power lets the slow ranks dominate.
fn time_penalty(time: f64, slowest_time: f64) -> f64 {
    let square = (time / slowest_time) * (time / slowest_time);
    square * square * square * square
}

impl LayerPlacement {
    /// Creates a placement from the experts of each rank.
    pub fn new(experts_by_rank: &[Vec<u32>], problem: &LayerProblem<'_>) -> Self {
        let mut layer = Self {
            experts_by_rank: experts_by_rank.to_vec(),
            ranks_by_expert: vec![Vec::new(); problem.expert_loads.len()],
            rank_times: vec![0.0; experts_by_rank.len()],
            initial: experts_by_rank.to_vec(),
        };
        for (rank, experts) in experts_by_rank.iter().enumerate() {
            for expert in experts {
                layer.ranks_by_expert[*expert as usize].push(rank);
            }
        }
        layer.update_times(problem);
        layer
    }

    /// Places all experts from scratch.
    ///
    /// The experts with the highest load per copy get the additional copies. The copies are then placed
    /// in descending order of load, each on the rank that is the least busy so far. Returns none if the
    /// slots can't hold every expert.
    pub fn place_greedily(problem: &LayerProblem<'_>) -> Option<Self> {
        let ranks: Vec<usize> = (0..problem.rank_costs.len())
            .filter(|rank| problem.rank_costs[*rank].is_finite())
            .collect();
        let copy_counts = copy_counts(problem, &ranks)?;
        let mut order: Vec<usize> = (0..copy_counts.len()).collect();
        let tokens_per_copy =
            |expert: usize| problem.expert_loads[expert] / copy_counts[expert] as f64;
        order.sort_by(|a, b| {
            tokens_per_copy(*b)
                .total_cmp(&tokens_per_copy(*a))
                .then(a.cmp(b))
        });
        let mut placed = vec![Vec::new(); problem.rank_costs.len()];
        let mut rank_times = vec![0.0; problem.rank_costs.len()];
        for expert in order {
            for _ in 0..copy_counts[expert] {
                // All free slots may belong to ranks that already hold the expert.
                let Some(rank) = best_rank(problem, &ranks, &placed, &rank_times, expert as u32)
                else {
                    break;
                };
                placed[rank].push(expert as u32);
                rank_times[rank] += tokens_per_copy(expert) * problem.rank_costs[rank];
            }
        }
        Some(Self::new(&placed, problem))
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
        let is_new = |expert: &&u32| !self.initial[rank].contains(expert);
        self.experts_by_rank[rank].iter().filter(is_new).count()
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
        let slowest_time = self.slowest_time();
        let mut trial = self.clone();
        let mut best = (slowest_time * MIN_GAIN, 0, None);
        let mut loads = 0;
        let mut idle_changes = 0;
        while idle_changes < IDLE_CHANGES_MAX {
            let Some(candidate) = trial.best_change(problem, budget - loads) else {
                break;
            };
            trial.apply(candidate.change, problem);
            loads += candidate.loads;
            idle_changes += 1;
            let value = slowest_time - trial.slowest_time() - price * loads as f64;
            if value > best.0 {
                best = (value, loads, Some(trial.clone()));
                idle_changes = 0;
            }
        }
        if let Some(layer) = best.2 {
            *self = layer;
        }
        best.1
    }

    /// Iterated local search: `restarts` times, perturbs and improves the placement, and keeps the
    /// result if it is better.
    pub fn search(&mut self, problem: &LayerProblem<'_>, restarts: u64) {
        let mut random_state = 0;
        for _ in 0..restarts {
            let mut trial = self.clone();
            for _ in 0..PERTURBATIONS {
                trial.perturb(problem, &mut random_state);
            }
            trial.improve(problem, 0.0, u64::MAX);
            if trial.slowest_time() < self.slowest_time() {
                *self = trial;
            }
        }
    }

    /// Draws a random change and applies it if it is allowed.
    fn perturb(&mut self, problem: &LayerProblem<'_>, random_state: &mut u64) {
        let (a, b) = (
            random_below(random_state, self.experts_by_rank.len()),
            random_below(random_state, self.experts_by_rank.len()),
        );
        if a == b || self.experts_by_rank[a].is_empty() || self.experts_by_rank[b].is_empty() {
            return;
        }
        let (i, j) = (
            random_below(random_state, self.experts_by_rank[a].len()),
            random_below(random_state, self.experts_by_rank[b].len()),
        );
        let (first, second) = (self.experts_by_rank[a][i], self.experts_by_rank[b][j]);
        if self.experts_by_rank[b].contains(&first) {
            return;
        }
        let change = match self.ranks_by_expert[second as usize].len() > 1
            && random_below(random_state, 2) == 0
        {
            true => Change::Load(b, j, first),
            false if self.experts_by_rank[a].contains(&second) => return,
            false => Change::Swap(a, i, b, j),
        };
        if self.keeps_min_hosts(problem, change) && self.keeps_new_expert_limit(problem, change) {
            self.apply(change, problem);
        }
    }

    /// The change involving the slowest rank that reduces the penalty most for each expert loaded.
    fn best_change(&self, problem: &LayerProblem<'_>, budget: u64) -> Option<Candidate> {
        let slowest_time = self.slowest_time();
        let slowest = self
            .rank_times
            .iter()
            .position(|time| *time == slowest_time)?;
        let mut best: Option<Candidate> = None;
        let mut consider = |candidate: Option<Candidate>| {
            let Some(candidate) = candidate else {
                return;
            };
            let min_gain = best.as_ref().map_or(MIN_GAIN, Candidate::gain_per_load);
            let is_better = candidate.loads <= budget && candidate.gain_per_load() > min_gain;
            let is_allowed = self.keeps_min_hosts(problem, candidate.change)
                && self.keeps_new_expert_limit(problem, candidate.change);
            if is_better && is_allowed {
                best = Some(candidate);
            }
        };
        for rank in self.partners(problem, slowest) {
            for (slot, expert) in self.experts_by_rank[slowest].iter().enumerate() {
                if self.experts_by_rank[rank].contains(expert) {
                    continue;
                }
                for other_slot in 0..self.experts_by_rank[rank].len() {
                    consider(self.swap_candidate(problem, (slowest, slot), (rank, other_slot)));
                    consider(self.load_candidate(problem, rank, other_slot, *expert));
                }
                if self.experts_by_rank[rank].len() < problem.slots {
                    consider(self.load_candidate(
                        problem,
                        rank,
                        self.experts_by_rank[rank].len(),
                        *expert,
                    ));
                }
            }
        }
        best
    }

    /// The least busy ranks other than `slowest` that may still receive a new expert.
    fn partners(&self, problem: &LayerProblem<'_>, slowest: usize) -> Vec<usize> {
        let may_receive = |rank: &usize| self.new_experts(*rank) < problem.max_new_experts[*rank];
        let mut ranks: Vec<usize> = (0..self.experts_by_rank.len())
            .filter(|rank| *rank != slowest && problem.rank_costs[*rank].is_finite())
            .filter(may_receive)
            .collect();
        ranks.sort_by(|a, b| {
            self.rank_times[*a]
                .total_cmp(&self.rank_times[*b])
                .then(a.cmp(b))
        });
        ranks.truncate(PARTNERS_MAX);
        ranks
    }

    /// The exchange of an expert of the slowest rank for one of another rank, if it reduces the penalty.
    fn swap_candidate(
        &self,
        problem: &LayerProblem<'_>,
        (slowest, slot): (usize, usize),
        (rank, other_slot): (usize, usize),
    ) -> Option<Candidate> {
        let (a, b) = (
            self.experts_by_rank[slowest][slot],
            self.experts_by_rank[rank][other_slot],
        );
        let delta = self.tokens_per_copy(problem, a) - self.tokens_per_copy(problem, b);
        if delta <= 0.0 || self.experts_by_rank[slowest].contains(&b) {
            return None;
        }
        let first = self.rank_times[slowest] - delta * problem.rank_costs[slowest];
        let second = self.rank_times[rank] + delta * problem.rank_costs[rank];
        let slowest_time = self.rank_times[slowest];
        let gain = 1.0 + time_penalty(self.rank_times[rank], slowest_time)
            - time_penalty(first, slowest_time)
            - time_penalty(second, slowest_time);
        if gain <= 0.0 {
            return None;
        }
        Some(Candidate {
            change: Change::Swap(slowest, slot, rank, other_slot),
            gain,
            loads: 2,
        })
    }

    /// A copy of `expert` on `rank` that replaces the expert in `slot`, if any; none if that expert has
    /// no other copy.
    fn load_candidate(
        &self,
        problem: &LayerProblem<'_>,
        rank: usize,
        slot: usize,
        expert: u32,
    ) -> Option<Candidate> {
        let old = self.experts_by_rank[rank].get(slot).copied();
        if old.is_some_and(|old| self.ranks_by_expert[old as usize].len() < 2) {
            return None;
        }
        let slowest_time = self.slowest_time();
        let gain = |rank: usize, added: f64| {
            let time = self.rank_times[rank];
            time_penalty(time, slowest_time)
                - time_penalty(time + added * problem.rank_costs[rank], slowest_time)
        };
        let holders = &self.ranks_by_expert[expert as usize];
        let new_share = problem.expert_loads[expert as usize] / (holders.len() + 1) as f64;
        let holder_delta = new_share - self.tokens_per_copy(problem, expert);
        let old_holders = old.map_or(&[][..], |old| &self.ranks_by_expert[old as usize][..]);
        let old_share = old.map_or(0.0, |old| self.tokens_per_copy(problem, old));
        let old_holder_delta = old_share / old_holders.len().saturating_sub(1).max(1) as f64;
        let mut sum = gain(rank, new_share - old_share);
        for holder in holders {
            let old_expert_delta = if old_holders.contains(holder) {
                old_holder_delta
            } else {
                0.0
            };
            sum += gain(*holder, holder_delta + old_expert_delta);
        }
        for holder in old_holders {
            if *holder != rank && !holders.contains(holder) {
                sum += gain(*holder, old_holder_delta);
            }
        }
        Some(Candidate {
            change: Change::Load(rank, slot, expert),
            gain: sum,
            loads: 1,
        })
    }

    fn tokens_per_copy(&self, problem: &LayerProblem<'_>, expert: u32) -> f64 {
        let copies = self.ranks_by_expert[expert as usize].len().max(1);
        problem.expert_loads[expert as usize] / copies as f64
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
        let is_new = |expert: &u32| !self.initial[rank].contains(expert);
        if !is_new(&expert) {
            return true;
        }
        let experts = self.experts_by_rank[rank].iter().enumerate();
        let new_experts = experts.filter(|(index, expert)| *index != slot && is_new(expert));
        new_experts.count() < problem.max_new_experts[rank]
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

    fn apply(&mut self, change: Change, problem: &LayerProblem<'_>) {
        match change {
            Change::Swap(a, i, b, j) => {
                let (first, second) = (self.experts_by_rank[a][i], self.experts_by_rank[b][j]);
                self.experts_by_rank[a][i] = second;
                self.experts_by_rank[b][j] = first;
                self.ranks_by_expert[first as usize].retain(|rank| *rank != a);
                self.ranks_by_expert[first as usize].push(b);
                self.ranks_by_expert[second as usize].retain(|rank| *rank != b);
                self.ranks_by_expert[second as usize].push(a);
            }
            Change::Load(rank, slot, expert) => {
                if slot < self.experts_by_rank[rank].len() {
                    let old = std::mem::replace(&mut self.experts_by_rank[rank][slot], expert);
                    self.ranks_by_expert[old as usize].retain(|holder| *holder != rank);
                } else {
                    self.experts_by_rank[rank].push(expert);
                }
                self.ranks_by_expert[expert as usize].push(rank);
            }
        }
        self.update_times(problem);
    }

    fn update_times(&mut self, problem: &LayerProblem<'_>) {
        for rank in 0..self.experts_by_rank.len() {
            let shares = self.experts_by_rank[rank]
                .iter()
                .map(|e| self.tokens_per_copy(problem, *e));
            let tokens: f64 = shares.sum();
            self.rank_times[rank] = match tokens > 0.0 {
                true => tokens * problem.rank_costs[rank],
                false => 0.0,
            };
        }
    }
}

/// Number of copies of each expert: one, or two if two hosts must hold it and the slots suffice. The
/// remaining slots go one by one to the expert with the highest load per copy. Returns none if the
/// slots can't hold every expert.
fn copy_counts(problem: &LayerProblem<'_>, ranks: &[usize]) -> Option<Vec<usize>> {
    let experts = problem.expert_loads.len();
    let mut free = (ranks.len() * problem.slots).checked_sub(experts)?;
    let mut copies = vec![1; experts];
    if problem.min_hosts_per_expert > 1 && free >= experts {
        copies = vec![2; experts];
        free -= experts;
    }
    while free > 0 {
        let tokens_per_copy = |expert: usize| problem.expert_loads[expert] / copies[expert] as f64;
        let most_loaded = (0..experts)
            .filter(|expert| copies[*expert] < ranks.len())
            .max_by(|a, b| {
                tokens_per_copy(*a)
                    .total_cmp(&tokens_per_copy(*b))
                    .then(b.cmp(a))
            })?;
        copies[most_loaded] += 1;
        free -= 1;
    }
    Some(copies)
}

/// The least busy rank with a free slot that does not hold the expert; until enough hosts hold the
/// expert, ranks on other hosts take precedence.
fn best_rank(
    problem: &LayerProblem<'_>,
    ranks: &[usize],
    placed: &[Vec<u32>],
    rank_times: &[f64],
    expert: u32,
) -> Option<usize> {
    let holders: Vec<usize> = ranks
        .iter()
        .copied()
        .filter(|rank| placed[*rank].contains(&expert))
        .collect();
    let lacks_host =
        host_count_up_to_two(holders.iter().copied(), problem.hosts) < problem.min_hosts_per_expert;
    let shares_host = |rank: usize| {
        holders
            .iter()
            .any(|h| problem.hosts[*h] == problem.hosts[rank])
    };
    let load = problem.expert_loads[expert as usize];
    ranks
        .iter()
        .copied()
        .filter(|rank| placed[*rank].len() < problem.slots && !holders.contains(rank))
        .min_by(|a, b| {
            // The load of the expert itself has a small weight, as a tie-break between ranks that are
            // equally busy.
            let key = |rank: usize| {
                let on_same_host = lacks_host && shares_host(rank);
                (
                    on_same_host,
                    rank_times[rank] + load * problem.rank_costs[rank] * 1e-6,
                )
            };
            let (a, b) = (key(*a), key(*b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
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
