//! The orders of one phase of a switch.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassdyke_core::id::Rank;
use eelgrassdyke_core::time::Instant;

/// Time between two orders to an engine that gives no answer: the time for which a watch process waits for
/// one. An engine that has ended refuses connections, so that its results come at once.
const UNANSWERED_INTERVAL: Duration = Duration::from_millis(150);

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
    /// Whether the watch process has reported that the engine gave no answer.
    pub(super) is_unanswered: bool,
}

impl Round {
    /// Whether an order to a rank is due: none was sent, or the last one has no result in time, or the engine
    /// gave no answer to it.
    pub(super) fn is_due(&self, now: Instant, rank: Rank, resend_interval: Duration) -> bool {
        let Some(sent) = self.sent.get(&rank) else {
            return true;
        };
        let interval = match sent.is_unanswered {
            true => UNANSWERED_INTERVAL,
            false => resend_interval,
        };
        now.since(sent.sent_at) >= interval
    }
}

/// The ranks that have not confirmed an order of the round.
pub(super) fn unconfirmed_ranks(ranks: &[Rank], round: &Round) -> Vec<Rank> {
    let is_unconfirmed = |rank: &Rank| !round.confirmed.contains_key(rank);
    ranks.iter().copied().filter(is_unconfirmed).collect()
}
