//! Members of the log and how they change, one at a time.
//!
//! An operator changes them, or the leader does by itself ([`super::Options::manages_members`]). By
//! itself it adds every replica that waits, gives a learner that holds everything a vote, and takes
//! a voter out only after its successor got one, so that a cut never shrinks the voters. A voter
//! whose address a new identity has taken over has lost its disk and is replaced at once; another
//! one only after it was silent for a while.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::id::{Index, Replica as Id};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Members, Payload};

use super::io::{MembershipChange, Output, Refusal};
use super::replica::{Replica, Role};

/// Records that a learner may lack when it is given a vote.
const PROMOTION_LAG_MAX: u64 = 100;

/// Voters that the leader aims at: two may be lost at once.
const VOTERS: usize = 5;

/// Members that the leader keeps at most, learners included.
const MEMBERS_MAX: usize = 9;

/// Silence after which a voter is replaced by a learner; restarts are over sooner.
const SILENT_MAX: Duration = Duration::from_secs(5);

/// Silence after which a learner is dropped.
const LEARNER_SILENT_MAX: Duration = Duration::from_secs(20);

impl Replica {
    /// Brings the members one step nearer to what is there.
    pub(super) fn keep_members(&mut self, now: Instant) {
        if !self.options.manages_members {
            return;
        }
        let Some(change) = self.next_change(now) else {
            return;
        };
        if let Ok(members) = self.next_members(now, change)
            && members != *self.log.members()
        {
            self.append_own(None, Payload::Members(members));
        }
    }

    /// The change of the members that is due, if any.
    fn next_change(&self, now: Instant) -> Option<MembershipChange> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        if self.commit < leader.first || self.log.members_index() > self.commit {
            return None;
        }
        let members = self.log.members();
        let count = members.voters.len() + members.learners.len();
        for id in self.founding.waiting(now).into_keys() {
            if members.address(id).is_none() && count < MEMBERS_MAX {
                return Some(MembershipChange::Add(id));
            }
        }
        let complete = |id: &&Id| {
            let heard = leader.silence(now, **id) < self.options.election_timeout_max;
            heard && leader.match_of(**id) >= self.commit
        };
        // A successor gets its vote first: were the old voter taken out before, two disks lost at
        // that moment would leave no majority, though a third host is only away.
        let wanted = |learner: &&Id| {
            let lacks = members.voters.len() < VOTERS;
            let succeeds = self.replaceable(now, members).is_some();
            complete(learner) && (lacks || succeeds && members.voters.len() == VOTERS)
        };
        if let Some(learner) = members.learners.keys().find(wanted) {
            return Some(MembershipChange::Promote(*learner));
        }
        if let Some(voter) = self.replaceable(now, members)
            && self.is_succeeded(now, members, voter)
        {
            return Some(MembershipChange::Remove(voter));
        }
        let gone = |id: &&Id| {
            let address = members.learners.get(*id);
            let wiped = address.is_some_and(|at| self.is_wiped(now, members, **id, *at));
            wiped || leader.silence(now, **id) >= LEARNER_SILENT_MAX
        };
        let gone = members.learners.keys().find(gone);
        gone.copied().map(MembershipChange::Remove)
    }

    /// A voter that a learner may succeed: its disk is lost, or it is silent for long.
    fn replaceable(&self, now: Instant, members: &Members) -> Option<Id> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let others = || members.voters.iter().filter(|(id, _)| **id != self.id);
        let wiped = others().find(|(id, address)| self.is_wiped(now, members, **id, **address));
        let silent = || others().find(|(id, _)| leader.silence(now, **id) >= SILENT_MAX);
        wiped.or_else(silent).map(|(id, _)| *id)
    }

    /// Whether another identity has taken over the address of a member since that was last heard.
    fn is_wiped(&self, now: Instant, members: &Members, id: Id, address: SocketAddr) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let silence = leader.silence(now, id);
        let mut all = members.voters.iter().chain(&members.learners);
        let taken = all.any(|(other, at)| {
            *other != id && *at == address && leader.silence(now, *other) < silence
        });
        let waits = self.founding.waits_at(now, address);
        taken || waits.is_some_and(|other| other != id && members.address(other).is_none())
    }

    /// Whether a voter can be taken out: enough others are there, and they hold a majority.
    fn is_succeeded(&self, now: Instant, members: &Members, voter: Id) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let address = members.voters.get(&voter);
        let successor = members
            .voters
            .iter()
            .any(|(id, at)| *id != voter && Some(at) == address);
        let live = |(id, at): &(&Id, &SocketAddr)| {
            let heard =
                **id == self.id || leader.silence(now, **id) < self.options.election_timeout_max;
            heard && **id != voter && !self.is_wiped(now, members, **id, **at)
        };
        let live = members.voters.iter().filter(live).count();
        (successor || members.voters.len() > VOTERS) && live > (members.voters.len() - 1) / 2
    }

    /// Appends a change of the members.
    pub(super) fn change_members(
        &mut self,
        now: Instant,
        token: u64,
        change: MembershipChange,
        out: &mut Vec<Output>,
    ) {
        match self.next_members(now, change) {
            Ok(members) => self.append_own(Some(token), Payload::Members(members)),
            Err(refusal) => out.push(Output::Refused { token, refusal }),
        }
    }

    /// The members after `change`, if it is possible now.
    fn next_members(&self, now: Instant, change: MembershipChange) -> Result<Members, Refusal> {
        let Role::Leader(leader) = &self.role else {
            return Err(Refusal::NotLeader);
        };
        if self.commit < leader.first {
            return Err(refuse(
                "the leader has not committed a record of its term yet",
                "try again in a second",
            ));
        }
        if self.log.members_index() > self.commit {
            return Err(refuse(
                "another change of the members is under way",
                "try again when it is committed",
            ));
        }
        let mut members = self.log.members().clone();
        match change {
            MembershipChange::Add(id) => {
                if members.address(id).is_some() {
                    return Ok(members);
                }
                let Some(address) = self.founding.address(now, id) else {
                    return Err(refuse(
                        format!("no replica {id} waits to be added"),
                        "start it with `\"start\": \"join\"` and look for its identity in the \
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
                    return Err(refuse(format!("no learner {id}"), "add it first"));
                };
                let matched = leader.match_of(id);
                let lag = self.log.last() - matched;
                // A learner that holds nothing durably yet couldn't vote, however short the log is.
                if lag > Index(PROMOTION_LAG_MAX) || matched < leader.first {
                    return Err(refuse(
                        format!("learner {id} still lacks {lag} records"),
                        "try again when the status of control shows that it has caught up",
                    ));
                }
                members.voters.insert(id, address);
            }
            MembershipChange::Remove(id) => {
                members.learners.remove(&id);
                members.voters.remove(&id);
                if members.voters.is_empty() {
                    return Err(refuse(
                        "the last voter can't be removed",
                        "promote another replica first",
                    ));
                }
            }
        }
        Ok(members)
    }
}

fn refuse(problem: impl Into<String>, remedy: &'static str) -> Refusal {
    Refusal::MembershipChange {
        problem: problem.into(),
        remedy,
    }
}
