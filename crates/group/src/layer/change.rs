//! Single changes of a placement, and how they are undone.

use super::{LayerPlacement, LayerProblem};

/// A change of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// Two ranks exchange an expert: first rank and slot, second rank and slot.
    Swap(usize, usize, usize, usize),
    /// A rank loads an expert into a slot: rank, slot and expert. The slot after the last occupied one
    /// is free.
    Load(usize, usize, u32),
}

/// How to undo a change. The order of the ranks of an expert is restored as well, because sums over
/// them depend on it.
#[derive(Clone, Copy, Debug)]
pub(super) enum Undo {
    /// A swap, with the former positions of the ranks among those of the two experts.
    Swap {
        change: (usize, usize, usize, usize),
        positions: (usize, usize),
    },
    /// A load, with the replaced expert and the former position of the rank among its ranks.
    Load {
        rank: usize,
        slot: usize,
        replaced: Option<(u32, usize)>,
    },
}

impl LayerPlacement {
    /// Applies a change; the result undoes it.
    pub(super) fn apply(&mut self, change: Change, problem: &LayerProblem<'_>) -> Undo {
        match change {
            Change::Swap(a, i, b, j) => {
                let (first, second) = (self.experts_by_rank[a][i], self.experts_by_rank[b][j]);
                self.experts_by_rank[a][i] = second;
                self.experts_by_rank[b][j] = first;
                let positions = (self.remove_holder(first, a), self.remove_holder(second, b));
                self.add_holder(first, b);
                self.add_holder(second, a);
                self.update_time(a, problem);
                self.update_time(b, problem);
                Undo::Swap {
                    change: (a, i, b, j),
                    positions,
                }
            }
            Change::Load(rank, slot, expert) => {
                let mut replaced = None;
                if slot < self.experts_by_rank[rank].len() {
                    let old = std::mem::replace(&mut self.experts_by_rank[rank][slot], expert);
                    replaced = Some((old, self.remove_holder(old, rank)));
                } else {
                    self.experts_by_rank[rank].push(expert);
                }
                self.add_holder(expert, rank);
                self.update_after_load(rank, expert, replaced, problem);
                Undo::Load {
                    rank,
                    slot,
                    replaced,
                }
            }
        }
    }

    /// Undoes the latest change that is not yet undone.
    pub(super) fn undo(&mut self, undo: Undo, problem: &LayerProblem<'_>) {
        match undo {
            Undo::Swap {
                change: (a, i, b, j),
                positions,
            } => {
                let (second, first) = (self.experts_by_rank[a][i], self.experts_by_rank[b][j]);
                self.experts_by_rank[a][i] = first;
                self.experts_by_rank[b][j] = second;
                self.remove_last_holder(second, a);
                self.remove_last_holder(first, b);
                self.insert_holder(second, positions.1, b);
                self.insert_holder(first, positions.0, a);
                self.update_time(a, problem);
                self.update_time(b, problem);
            }
            Undo::Load {
                rank,
                slot,
                replaced,
            } => {
                let expert = self.experts_by_rank[rank][slot];
                self.remove_last_holder(expert, rank);
                match replaced {
                    Some((old, position)) => {
                        self.experts_by_rank[rank][slot] = old;
                        self.insert_holder(old, position, rank);
                    }
                    None => {
                        self.experts_by_rank[rank].pop();
                    }
                }
                self.update_after_load(rank, expert, replaced, problem);
            }
        }
    }

    /// Undoes the changes in `log` after the first `kept`.
    pub(super) fn undo_to(&mut self, log: &mut Vec<Undo>, kept: usize, problem: &LayerProblem<'_>) {
        for undo in log.drain(kept..).rev() {
            self.undo(undo, problem);
        }
    }

    /// Updates the loads per copy and the times that depend on a load or on its undoing.
    fn update_after_load(
        &mut self,
        rank: usize,
        expert: u32,
        replaced: Option<(u32, usize)>,
        problem: &LayerProblem<'_>,
    ) {
        let experts = [Some(expert), replaced.map(|(old, _)| old)];
        for expert in experts.into_iter().flatten() {
            self.update_tokens_per_copy(expert, problem);
        }
        for expert in experts.into_iter().flatten() {
            for index in 0..self.ranks_by_expert[expert as usize].len() {
                self.update_time(self.ranks_by_expert[expert as usize][index], problem);
            }
        }
        self.update_time(rank, problem);
    }

    fn add_holder(&mut self, expert: u32, rank: usize) {
        self.ranks_by_expert[expert as usize].push(rank);
        self.table.insert(rank, expert);
    }

    fn insert_holder(&mut self, expert: u32, position: usize, rank: usize) {
        self.ranks_by_expert[expert as usize].insert(position, rank);
        self.table.insert(rank, expert);
    }

    /// Removes a rank from those of an expert and returns its position among them.
    fn remove_holder(&mut self, expert: u32, rank: usize) -> usize {
        let ranks = &mut self.ranks_by_expert[expert as usize];
        let position = ranks.iter().position(|holder| *holder == rank);
        let position = position.expect("a rank with an expert in a slot is one of its ranks");
        ranks.remove(position);
        self.table.remove(rank, expert);
        position
    }

    fn remove_last_holder(&mut self, expert: u32, rank: usize) {
        self.ranks_by_expert[expert as usize].pop();
        self.table.remove(rank, expert);
    }
}
