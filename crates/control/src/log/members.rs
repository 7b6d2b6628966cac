//! Membership changes, one at a time, by an operator or by the leader.
//!
//! With [`super::Options::manages_members`] the leader adds each unattached replica as a learner,
//! promotes a learner that has caught up, and removes a voter only after the promotion of its
//! successor, so that a network partition never reduces the number of voters. If a replica with
//! another identity appears at the address of a voter, that voter has lost its disk and is replaced
//! at once; of five voters it is removed first, as soon as a successor has caught up. Any other voter is
//! replaced only after it has not responded for a time: [`VOTER_SILENCE_MAX`], or a part of the time that the
//! deployment gives new hosts to catch up, since from then on two more hosts may be
//! lost. A voter that is replaced although it comes back announces itself and becomes a learner.
//!
//! With [`super::Options::spare_voter`] a sixth voter is promoted as soon as it has caught up; see
//! [`super::quorum`] for what that needs. The members are then settled: a change of the voters takes two records,
//! one with both sets of voters and, once that is committed, one with the new set alone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::id::{Index, Replica as Id};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Members, Payload};

use super::io::{MembershipChange, Output, Refusal};
use super::replica::{Replica, Role};

/// Most records that a learner may lack when it is promoted.
const PROMOTION_LAG_RECORDS_MAX: u64 = 100;

/// Target number of voters, of which two may be lost at once.
const TARGET_VOTERS: usize = 5;

/// Even number of voters from which one that is about to stop is removed even if no learner takes its place:
/// one voter less has as many to spare.
const EVEN_VOTERS_MIN: usize = 4;

/// Number of members, including learners, from which the leader adds no more replicas.
const MEMBERS_MAX: usize = 9;

/// Time without a response after which a voter is replaced by a learner, unless the deployment states a time to
/// catch up.
const VOTER_SILENCE_MAX: Duration = Duration::from_secs(5);

/// Part of the time to catch up after which a silent voter is replaced. An election and the membership changes
/// take place in the rest.
const CATCH_UP_PARTS: u32 = 4;

/// The same part while a sixth voter has taken the place already: six voters bear a silent one better than five,
/// of which one is back but has no vote yet.
const CATCH_UP_PARTS_WITH_SPARE: u32 = 2;

/// Time without a response after which a learner is removed.
const LEARNER_SILENCE_MAX: Duration = Duration::from_secs(20);

impl Replica {
    /// Appends the next membership record, if one is due.
    pub(super) fn adjust_members(&mut self, now: Instant) {
        if let Some(members) = self.due_members(now)
            && members != *self.log.members()
        {
            self.append_in_current_term(None, Payload::Members(members));
        }
    }

    /// The members of the next record that is due without an operator, if any.
    fn due_members(&self, now: Instant) -> Option<Members> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        if self.commit_index < leader.first_index || self.log.members_index() > self.commit_index {
            return None;
        }
        let members = self.log.members();
        if members.is_changing() {
            return Some(Members {
                outgoing: BTreeMap::new(),
                ..members.clone()
            });
        }
        let settled = self.may_be_settled(members);
        if settled != members.settled {
            return Some(Members {
                settled,
                ..members.clone()
            });
        }
        if !self.options.manages_members {
            return None;
        }
        self.next_members(now, self.next_change(now)?).ok()
    }

    /// Whether committed members may count as settled: no member is known to run a build that doesn't know
    /// what that means, and to begin with, every voter is known to run one that does.
    fn may_be_settled(&self, members: &Members) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let mut all = members.all();
        if all.any(|(id, _)| leader.knows_settled(id) == Some(false)) {
            return false;
        }
        let mut voters = members.voters.keys();
        members.settled
            || self.options.spare_voter && voters.all(|id| leader.knows_settled(*id) == Some(true))
    }

    /// The automatic membership change that is due, if any.
    fn next_change(&self, now: Instant) -> Option<MembershipChange> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let members = self.log.members();
        let count = members.voters.len() + members.learners.len();
        for id in self.formation.unattached(now).into_keys() {
            if members.address(id).is_none() && count < MEMBERS_MAX {
                return Some(MembershipChange::Add(id));
            }
        }
        let has_caught_up = |id: &&Id| {
            let responsive =
                leader.time_since_response(now, **id) < self.options.election_timeout_max;
            responsive
                && leader.match_index(**id) >= self.commit_index
                && !self.is_leaving(now, **id)
        };
        // The identity of a lost disk never votes again, so its removal from an odd number of voters leaves
        // the quorum of the others as it is. Promoting the successor first would raise it by one.
        if members.voters.len() == TARGET_VOTERS
            && members.learners.keys().any(|id| has_caught_up(&id))
            && let Some(voter) = self.lost_voter(now, members)
            && self.leaves_live_majority(now, members, voter)
        {
            return Some(MembershipChange::Remove(voter));
        }
        // A sixth voter takes the place of a host that is gone before anyone knows that it is gone. Beside it,
        // two more disks may be lost, as half of the voters then suffice.
        let has_room_to_spare = self.options.spare_voter && members.settled;
        // Any other successor is promoted before the old voter is removed. In the other order, two disks
        // lost in between would leave no majority even though a third host is only unreachable.
        let promotable = |learner: &&Id| {
            let below_target = members.voters.len() < TARGET_VOTERS;
            let replaces_voter =
                has_room_to_spare || self.replaceable_voter(now, members).is_some();
            has_caught_up(learner)
                && (below_target || replaces_voter && members.voters.len() == TARGET_VOTERS)
        };
        if let Some(learner) = members.learners.keys().find(promotable) {
            return Some(MembershipChange::Promote(*learner));
        }
        if let Some(voter) = self.replaceable_voter(now, members)
            && self.is_removable(now, members, voter)
        {
            return Some(MembershipChange::Remove(voter));
        }
        let removable = |id: &&Id| {
            let address = members.learners.get(*id);
            let lost_disk = address.is_some_and(|at| self.has_lost_disk(now, members, **id, *at));
            lost_disk || leader.time_since_response(now, **id) >= LEARNER_SILENCE_MAX
        };
        let learner = members.learners.keys().find(removable);
        learner.copied().map(MembershipChange::Remove)
    }

    /// Time without a response after which a voter may be replaced. It is at least the shortest election
    /// timeout, within which a voter that restarts is usually back.
    fn voter_silence_max(&self, members: &Members) -> Duration {
        let parts = match members.voters.len() > TARGET_VOTERS {
            true => CATCH_UP_PARTS_WITH_SPARE,
            false => CATCH_UP_PARTS,
        };
        let part = self.options.catch_up.map(|time| time / parts);
        part.map_or(VOTER_SILENCE_MAX, |part| {
            part.max(self.options.election_timeout_min)
        })
    }

    /// A voter that a learner may replace: one that has lost its disk, or else one whose process is about to
    /// stop, or else one without a response for [`Self::voter_silence_max`].
    fn replaceable_voter(&self, now: Instant, members: &Members) -> Option<Id> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let silence_max = self.voter_silence_max(members);
        let mut others = members.voters.keys().filter(|id| **id != self.id);
        self.lost_voter(now, members)
            .or_else(|| self.leaving_voter(now, members))
            .or_else(|| {
                others
                    .find(|id| leader.is_silent(now, **id, silence_max))
                    .copied()
            })
    }

    /// A voter whose process is about to stop; the leader itself is the last one.
    fn leaving_voter(&self, now: Instant, members: &Members) -> Option<Id> {
        let voters = members.voters.keys().copied();
        let leaving = voters.filter(|id| self.is_leaving(now, *id));
        leaving.min_by_key(|id| *id == self.id)
    }

    /// A voter that has lost its disk.
    fn lost_voter(&self, now: Instant, members: &Members) -> Option<Id> {
        let mut others = members.voters.iter().filter(|(id, _)| **id != self.id);
        let lost = others.find(|(id, address)| self.has_lost_disk(now, members, **id, **address));
        lost.map(|(id, _)| *id)
    }

    /// Whether a replica with another identity has appeared at the address of a member since that
    /// member's last response.
    fn has_lost_disk(&self, now: Instant, members: &Members, id: Id, address: SocketAddr) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let silence = leader.time_since_response(now, id);
        let mut all = members.voters.iter().chain(&members.learners);
        let taken_over = all.any(|(other, at)| {
            *other != id && *at == address && leader.time_since_response(now, *other) < silence
        });
        let unattached = self.formation.unattached_at(now, address);
        taken_over
            || unattached.is_some_and(|other| other != id && members.address(other).is_none())
    }

    /// Whether a voter can be removed: another voter has its address, there are more than
    /// [`TARGET_VOTERS`], or it is about to stop and the others tolerate as many losses without it; and a
    /// majority of the voters that would remain is live.
    fn is_removable(&self, now: Instant, members: &Members, voter: Id) -> bool {
        let address = members.voters.get(&voter);
        let has_successor = members
            .voters
            .iter()
            .any(|(id, at)| *id != voter && Some(at) == address);
        let is_dispensable = has_dispensable_voter(members) && self.is_leaving(now, voter);
        (has_successor || is_dispensable || members.voters.len() > TARGET_VOTERS)
            && self.leaves_live_majority(now, members, voter)
    }

    /// Whether a majority of the voters that would remain without `voter` is live.
    fn leaves_live_majority(&self, now: Instant, members: &Members, voter: Id) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let is_live = |(id, at): &(&Id, &SocketAddr)| {
            let responsive = **id == self.id
                || leader.time_since_response(now, **id) < self.options.election_timeout_max;
            responsive && **id != voter && !self.has_lost_disk(now, members, **id, **at)
        };
        let live = members.voters.iter().filter(is_live).count();
        live > (members.voters.len() - 1) / 2
    }

    /// Appends a membership change proposed by an operator.
    pub(super) fn change_members(
        &mut self,
        now: Instant,
        token: u64,
        change: MembershipChange,
        out: &mut Vec<Output>,
    ) {
        match self.next_members(now, change) {
            Ok(members) => self.append_in_current_term(Some(token), Payload::Members(members)),
            Err(refusal) => out.push(Output::Refused { token, refusal }),
        }
    }

    /// The members after `change`, or why it is not possible at present.
    fn next_members(&self, now: Instant, change: MembershipChange) -> Result<Members, Refusal> {
        let Role::Leader(leader) = &self.role else {
            return Err(Refusal::NotLeader);
        };
        if self.commit_index < leader.first_index {
            return Err(refusal(
                "the leader has not committed a record of its term yet",
                "try again in a second",
            ));
        }
        if self.log.members_index() > self.commit_index || self.log.members().is_changing() {
            return Err(refusal(
                "another membership change is in progress",
                "try again when it is committed",
            ));
        }
        let current = self.log.members();
        let mut members = current.clone();
        match change {
            MembershipChange::Add(id) => {
                if members.address(id).is_some() {
                    return Ok(members);
                }
                let Some(address) = self.formation.unattached_address(now, id) else {
                    return Err(refusal(
                        format!("no replica {id} is waiting to be added"),
                        "start it with `\"start\": \"join\"` and look up its identity in the \
                         status of control",
                    ));
                };
                members.learners.insert(id, address);
            }
            MembershipChange::Promote(id) => {
                if members.voters.contains_key(&id) {
                    return Ok(members);
                }
                let Some(address) = members.learners.remove(&id) else {
                    return Err(refusal(
                        format!("replica {id} is not a learner"),
                        "add it first",
                    ));
                };
                let match_index = leader.match_index(id);
                let lag = self.log.last_index() - match_index;
                // In a short log, the limit of the lag alone would admit a learner that holds no
                // record durably yet and so could not vote.
                if lag > Index(PROMOTION_LAG_RECORDS_MAX) || match_index < leader.first_index {
                    return Err(refusal(
                        format!("learner {id} is {lag} records behind"),
                        "try again when the status of control shows that it has caught up",
                    ));
                }
                members.voters.insert(id, address);
            }
            MembershipChange::Remove(id) => {
                members.learners.remove(&id);
                members.voters.remove(&id);
                if members.voters.is_empty() {
                    return Err(refusal(
                        "the last voter can't be removed",
                        "promote another replica first",
                    ));
                }
            }
        }
        if members.settled && members.voters != current.voters {
            members.outgoing = current.voters.clone();
        }
        Ok(members)
    }
}

/// Whether the others tolerate as many losses without one of the voters.
pub(super) fn has_dispensable_voter(members: &Members) -> bool {
    let count = members.voters.len();
    count >= EVEN_VOTERS_MIN && count.is_multiple_of(2)
}

fn refusal(problem: impl Into<String>, remedy: &'static str) -> Refusal {
    Refusal::MembershipChange {
        problem: problem.into(),
        remedy,
    }
}
