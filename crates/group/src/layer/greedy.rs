//! Placement of the experts of a layer from scratch.

use super::{LayerPlacement, LayerProblem, host_count_up_to_two};

impl LayerPlacement {
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
