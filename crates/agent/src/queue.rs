//! Queues attempts until the back end has a free slot.
//!
//! First in, first out for now; the fair queue by team replaces it.

use std::collections::VecDeque;

use eelgrassdyke_core::id::{Team, Ticket};
use eelgrassdyke_core::time::Instant;

/// A queued attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Names the attempt.
    pub ticket: Ticket,
    /// Who asks.
    pub team: Team,
    /// Higher goes first within a team.
    pub priority: u8,
    /// Tokens expected.
    pub tokens: u64,
    /// When it was queued.
    pub since: Instant,
    /// When its answer is due.
    pub deadline: Instant,
}

/// Attempts that wait for a slot.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    items: VecDeque<Item>,
}

impl Queue {
    /// Attempts queued.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Tokens expected of all that is queued.
    pub fn tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).sum()
    }

    /// Adds an attempt.
    pub fn push(&mut self, item: Item) {
        self.items.push_back(item);
    }

    /// Takes the attempt that goes next.
    pub fn pop(&mut self) -> Option<Item> {
        self.items.pop_front()
    }

    /// Takes out one attempt.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Item> {
        let at = self.items.iter().position(|item| item.ticket == ticket)?;
        self.items.remove(at)
    }

    /// Takes out every attempt whose deadline has come.
    pub fn expired(&mut self, now: Instant) -> Vec<Item> {
        let mut late = Vec::new();
        self.items.retain(|item| {
            let keep = item.deadline > now;
            if !keep {
                late.push(item.clone());
            }
            keep
        });
        late
    }

    /// The earliest deadline queued.
    pub fn next_deadline(&self) -> Instant {
        self.items
            .iter()
            .map(|item| item.deadline)
            .min()
            .unwrap_or(Instant::NEVER)
    }
}
