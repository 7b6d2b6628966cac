//! The choice of the next change of a placement.
//!
//! Thousands of candidates are compared for one plan. Whatever several of them share is therefore
//! computed once, into buffers that are reused, and the constraints are checked only for a candidate
//! that would be chosen.

use super::change::Change;
use super::{LayerPlacement, LayerProblem, MIN_GAIN, PARTNERS_MAX};

/// A possible change with its gain and cost.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub(super) change: Change,
    /// Reduction of the penalty for each expert to load.
    gain_per_load: f64,
    /// Number of experts to load.
    pub(super) loads: u64,
}

/// Buffers of [`LayerPlacement::best_change`].
#[derive(Default)]
pub(super) struct Buffers {
    /// Penalty of each rank's time.
    penalties: Vec<f64>,
    /// The ranks considered for a change with the slowest rank.
    partners: Vec<usize>,
    /// The experts of the slowest rank.
    outgoing: Vec<Outgoing>,
    /// Gains of the ranks of the experts in `outgoing`, if another copy takes a part of their load.
    holder_gains: Vec<f64>,
}

/// An expert of the slowest rank.
#[derive(Clone, Copy)]
struct Outgoing {
    expert: u32,
    tokens_per_copy: f64,
    /// Tokens of each copy if there is one more.
    new_share: f64,
    /// Change of the tokens of each copy if there is one more.
    holder_delta: f64,
    /// Position of its first entry in [`Buffers::holder_gains`].
    first_gain: usize,
}

/// What the candidates of one choice have in common.
struct Context<'a> {
    problem: &'a LayerProblem<'a>,
    slowest: usize,
    slowest_time: f64,
    penalties: &'a [f64],
    holder_gains: &'a [f64],
}

/// Penalty of a rank's time, relative to the slowest rank; the high power lets the slow ranks dominate.
fn time_penalty(time: f64, slowest_time: f64) -> f64 {
    let square = (time / slowest_time) * (time / slowest_time);
    square * square * square * square
}

impl LayerPlacement {
    /// The change involving the slowest rank that reduces the penalty most for each expert loaded.
    pub(super) fn best_change(
        &self,
        problem: &LayerProblem<'_>,
        budget: u64,
        buffers: &mut Buffers,
    ) -> Option<Candidate> {
        let slowest_time = self.slowest_time();
        let slowest = self
            .rank_times
            .iter()
            .position(|time| *time == slowest_time)?;
        let Buffers {
            penalties,
            partners,
            outgoing,
            holder_gains,
        } = buffers;
        penalties.clear();
        let times = self.rank_times.iter();
        penalties.extend(times.map(|time| time_penalty(*time, slowest_time)));
        self.find_partners(problem, slowest, partners);
        holder_gains.clear();
        let mut context = Context {
            problem,
            slowest,
            slowest_time,
            penalties,
            holder_gains: &[],
        };
        outgoing.clear();
        for expert in &self.experts_by_rank[slowest] {
            outgoing.push(self.outgoing(&context, *expert, holder_gains));
        }
        context.holder_gains = holder_gains;
        let mut best: Option<Candidate> = None;
        let mut min_gain = MIN_GAIN;
        let mut consider = |candidate: Candidate, min_gain: &mut f64| {
            if candidate.gain_per_load > *min_gain
                && candidate.loads <= budget
                && self.keeps_min_hosts(problem, candidate.change)
                && self.keeps_new_expert_limit(problem, candidate.change)
            {
                *min_gain = candidate.gain_per_load;
                best = Some(candidate);
            }
        };
        for rank in partners.iter().copied() {
            let experts = &self.experts_by_rank[rank];
            for (slot, outgoing) in outgoing.iter().enumerate() {
                if self.table.holds(rank, outgoing.expert) {
                    continue;
                }
                for (other_slot, other) in experts.iter().copied().enumerate() {
                    let swap = self.swap_gain(&context, outgoing, rank, other, min_gain);
                    if let Some(gain) = swap {
                        let candidate = Candidate {
                            change: Change::Swap(slowest, slot, rank, other_slot),
                            gain_per_load: gain / 2.0,
                            loads: 2,
                        };
                        consider(candidate, &mut min_gain);
                    }
                    if self.ranks_by_expert[other as usize].len() < 2 {
                        // The only copy of an expert is not replaced.
                        continue;
                    }
                    let candidate = Candidate {
                        change: Change::Load(rank, other_slot, outgoing.expert),
                        gain_per_load: self.load_gain(&context, outgoing, rank, Some(other)),
                        loads: 1,
                    };
                    consider(candidate, &mut min_gain);
                }
                if experts.len() < problem.slots {
                    let candidate = Candidate {
                        change: Change::Load(rank, experts.len(), outgoing.expert),
                        gain_per_load: self.load_gain(&context, outgoing, rank, None),
                        loads: 1,
                    };
                    consider(candidate, &mut min_gain);
                }
            }
        }
        best
    }

    /// The least busy ranks other than `slowest` that may still receive a new expert.
    fn find_partners(&self, problem: &LayerProblem<'_>, slowest: usize, found: &mut Vec<usize>) {
        found.clear();
        for (rank, time) in self.rank_times.iter().enumerate() {
            let may_receive = self.table.new_experts(rank) < problem.max_new_experts[rank];
            if rank == slowest || !may_receive || !problem.rank_costs[rank].is_finite() {
                continue;
            }
            let is_busier = |other: &usize| self.rank_times[*other].total_cmp(time).is_gt();
            if found.len() == PARTNERS_MAX {
                if !found.last().is_some_and(is_busier) {
                    continue;
                }
                found.pop();
            }
            let position = found.iter().position(is_busier).unwrap_or(found.len());
            found.insert(position, rank);
        }
    }

    fn outgoing(&self, context: &Context<'_>, expert: u32, gains: &mut Vec<f64>) -> Outgoing {
        let holders = &self.ranks_by_expert[expert as usize];
        let load = context.problem.expert_loads[expert as usize];
        let tokens_per_copy = self.tokens_per_copy[expert as usize];
        let new_share = load / (holders.len() + 1) as f64;
        let holder_delta = new_share - tokens_per_copy;
        let first_gain = gains.len();
        for holder in holders {
            gains.push(self.gain(context, *holder, holder_delta));
        }
        Outgoing {
            expert,
            tokens_per_copy,
            new_share,
            holder_delta,
            first_gain,
        }
    }

    /// Reduction of the penalty of a rank if it receives `added` more tokens.
    fn gain(&self, context: &Context<'_>, rank: usize, added: f64) -> f64 {
        let time = self.rank_times[rank] + added * context.problem.rank_costs[rank];
        context.penalties[rank] - time_penalty(time, context.slowest_time)
    }

    /// Gain of the exchange of an expert of the slowest rank for the expert `other` of another rank;
    /// none if it is not above `min_gain` for each of the two experts loaded.
    fn swap_gain(
        &self,
        context: &Context<'_>,
        outgoing: &Outgoing,
        rank: usize,
        other: u32,
        min_gain: f64,
    ) -> Option<f64> {
        let delta = outgoing.tokens_per_copy - self.tokens_per_copy[other as usize];
        if delta <= 0.0 || self.table.holds(context.slowest, other) {
            return None;
        }
        let costs = context.problem.rank_costs;
        let slowest_time = context.slowest_time;
        let first = slowest_time - delta * costs[context.slowest];
        let gain = 1.0 + context.penalties[rank] - time_penalty(first, slowest_time);
        // The other rank's penalty only lowers the gain.
        if gain / 2.0 <= min_gain {
            return None;
        }
        let second = self.rank_times[rank] + delta * costs[rank];
        Some(gain - time_penalty(second, slowest_time))
    }

    /// Gain of a copy of an expert of the slowest rank on `rank` that replaces the expert `old`, if any.
    fn load_gain(
        &self,
        context: &Context<'_>,
        outgoing: &Outgoing,
        rank: usize,
        old: Option<u32>,
    ) -> f64 {
        let expert = outgoing.expert;
        let holders = &self.ranks_by_expert[expert as usize];
        let holder_gains = &context.holder_gains[outgoing.first_gain..];
        let Some(old) = old else {
            let mut sum = self.gain(context, rank, outgoing.new_share);
            for gain in &holder_gains[..holders.len()] {
                sum += gain;
            }
            return sum;
        };
        let old_holders = &self.ranks_by_expert[old as usize];
        let old_share = self.tokens_per_copy[old as usize];
        let old_holder_delta = old_share / (old_holders.len() - 1) as f64;
        let mut sum = self.gain(context, rank, outgoing.new_share - old_share);
        for (holder, holder_gain) in holders.iter().zip(holder_gains) {
            sum += match self.table.holds(*holder, old) {
                true => self.gain(context, *holder, outgoing.holder_delta + old_holder_delta),
                false => *holder_gain,
            };
        }
        for holder in old_holders {
            if *holder != rank && !self.table.holds(*holder, expert) {
                sum += self.gain(context, *holder, old_holder_delta);
            }
        }
        sum
    }
}
