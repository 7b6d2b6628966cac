//! The orders of one phase of a switch.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::id::Rank;
use eelgrassdyke_core::time::Instant;

/// Orders of one phase, at most one for each rank.
#[derive(Clone, Debug, Default)]
pub(super) struct Round {
    pub(super) sent: BTreeMap<Rank, SentOrder>,
    /// Number of the order that each rank has confirmed.
    pub(super) confirmed: BTreeMap<Rank, u64>,
}

/// The latest order sent to a rank.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentOrder {
    pub(super) number: u64,
    pub(super) sent_at: Instant,
    /// Number of consecutive orders without a result from the watch process.
    pub(super) unanswered_sends: u32,
}

impl Round {
    /// Whether an order to a rank is due: none was sent, or the last one has no result in time.
    pub(super) fn is_due(&self, now: Instant, rank: Rank, resend_interval: Duration) -> bool {
        let sent = self.sent.get(&rank);
        sent.is_none_or(|sent| now.since(sent.sent_at) >= resend_interval)
    }
}

/// The ranks that have not confirmed an order of the round.
pub(super) fn unconfirmed_ranks(ranks: &[Rank], round: &Round) -> Vec<Rank> {
    let is_unconfirmed = |rank: &Rank| !round.confirmed.contains_key(rank);
    ranks.iter().copied().filter(is_unconfirmed).collect()
}
