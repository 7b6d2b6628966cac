//! Which rank holds which experts of a layer.

use std::sync::Arc;

/// A table of the experts of each rank: the present ones and those before any change.
///
/// It answers in constant time what would otherwise need a scan of a rank's slots for each candidate.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Table {
    experts: usize,
    /// Number of slots of a rank that hold an expert, by rank and expert.
    held: Vec<u8>,
    /// Whether an expert is in the initial placement of a rank, by rank and expert.
    initial: Arc<[bool]>,
    /// Number of slots of each rank with an expert that is not in its initial placement.
    new_experts: Vec<usize>,
}

impl Table {
    pub(super) fn new(experts_by_rank: &[Vec<u32>], experts: usize) -> Self {
        let mut held = vec![0_u8; experts_by_rank.len() * experts];
        for (rank, slots) in experts_by_rank.iter().enumerate() {
            for expert in slots {
                let count = &mut held[rank * experts + *expert as usize];
                *count = count.saturating_add(1);
            }
        }
        let initial = held.iter().map(|count| *count > 0).collect();
        Self {
            experts,
            held,
            initial,
            new_experts: vec![0; experts_by_rank.len()],
        }
    }

    /// Whether `rank` holds `expert`.
    pub(super) fn holds(&self, rank: usize, expert: u32) -> bool {
        self.held[self.index(rank, expert)] > 0
    }

    /// Whether `expert` is not in the initial placement of `rank`.
    pub(super) fn is_new(&self, rank: usize, expert: u32) -> bool {
        !self.initial[self.index(rank, expert)]
    }

    /// Number of experts of `rank` that are not in its initial placement.
    pub(super) fn new_experts(&self, rank: usize) -> usize {
        self.new_experts[rank]
    }

    pub(super) fn insert(&mut self, rank: usize, expert: u32) {
        let index = self.index(rank, expert);
        self.held[index] = self.held[index].saturating_add(1);
        self.new_experts[rank] += usize::from(!self.initial[index]);
    }

    pub(super) fn remove(&mut self, rank: usize, expert: u32) {
        let index = self.index(rank, expert);
        self.held[index] = self.held[index].saturating_sub(1);
        self.new_experts[rank] -= usize::from(!self.initial[index]);
    }

    fn index(&self, rank: usize, expert: u32) -> usize {
        rank * self.experts + expert as usize
    }
}
