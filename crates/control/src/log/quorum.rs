//! Which voters have to agree on a commit or an election.
//!
//! Usually that is a majority. While the voters change, it is a quorum of those before the change and one of
//! those after it. The record that ends the change is appended once the change itself is committed, so whoever
//! holds that record knows that the earlier voters decide nothing any more.
//!
//! A majority of an even number is one more than half, which leaves the same number of voters to spare as one
//! voter less. An even number therefore has a second kind of quorum: once at least [`LOST_MIN`] identities
//! are known to be lost with their disks, half of all voters suffice, none of them lost. Six voters so bear a
//! host that is gone and two lost disks at once.
//!
//! Any two quorums have a voter in common:
//! - A majority and a half always have.
//! - Two disjoint halves complement each other, so each holds all identities that the other one left out as lost.
//!   A voter only counts with an answer to a request that was made after the losses were known. Hence each
//!   half would have been alive after a loss in the other one was known, which contradicts itself.
//!
//! An identity is known to be lost once another one at its address has answered a challenge that was drawn after
//! the first had become a voter: one folder holds one identity at a time.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eelgrassdyke_core::id::Replica as Id;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::Members;

/// Fewest lost identities with which half of the voters suffice: a single voter that is gone leaves a majority
/// of an even number as it is.
const LOST_MIN: usize = 2;

/// Identities with a vote that are known to be lost with their disks, and when each was found out.
#[derive(Clone, Debug, Default)]
pub(super) struct Losses(BTreeMap<Id, Instant>);

impl Losses {
    /// Records the loss of an identity.
    pub fn insert(&mut self, now: Instant, id: Id) -> bool {
        let is_new = !self.0.contains_key(&id);
        self.0.entry(id).or_insert(now);
        is_new
    }

    /// Forgets identities that have no vote any more.
    pub fn retain_electorate(&mut self, members: &Members) {
        self.0.retain(|id, _| members.has_vote(*id));
    }

    /// When the last of the losses was found out.
    pub fn known_since(&self) -> Instant {
        self.0.values().max().copied().unwrap_or_default()
    }

    /// Whether an identity is known to be lost.
    pub fn contains(&self, id: Id) -> bool {
        self.0.contains_key(&id)
    }
}

/// Greatest value that a quorum has reached.
///
/// `value_of` gives the value that a voter has reached, if any, and `fresh_value_of` the one that it has confirmed
/// since the losses were known.
pub(super) fn reached<T: Ord>(
    members: &Members,
    losses: &Losses,
    value_of: impl Fn(Id) -> Option<T>,
    fresh_value_of: impl Fn(Id) -> Option<T>,
) -> Option<T> {
    let by_set = |voters: &BTreeMap<Id, SocketAddr>| {
        let by_majority = nth_greatest(
            voters.keys().filter_map(|id| value_of(*id)),
            voters.len() / 2,
        );
        let lost_count = voters.keys().filter(|id| losses.contains(**id)).count();
        let half_suffices =
            members.settled && voters.len().is_multiple_of(2) && lost_count >= LOST_MIN;
        if !half_suffices {
            return by_majority;
        }
        let intact = voters.keys().filter(|id| !losses.contains(**id));
        let by_half = nth_greatest(
            intact.filter_map(|id| fresh_value_of(*id)),
            voters.len() / 2 - 1,
        );
        by_majority.max(by_half)
    };
    let value = by_set(&members.voters);
    match members.is_changing() {
        true => value.min(by_set(&members.outgoing)),
        false => value,
    }
}

/// The value with `rank` greater ones before it.
fn nth_greatest<T: Ord>(values: impl Iterator<Item = T>, rank: usize) -> Option<T> {
    let mut values: Vec<T> = values.collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.into_iter().nth(rank)
}
