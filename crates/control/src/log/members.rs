//! Members of the log and how they change, one at a time.

use eelgrassdyke_core::id::Index;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Members, Payload};

use super::io::{Change, Output, Refusal};
use super::replica::{Replica, Role};

/// Records that a learner may lack when it is given a vote.
const PROMOTION_LAG_MAX: u64 = 100;

impl Replica {
    /// Appends a change of the members.
    pub(super) fn change_members(
        &mut self,
        now: Instant,
        token: u64,
        change: Change,
        out: &mut Vec<Output>,
    ) {
        match self.next_members(now, change) {
            Ok(members) => self.append_own(token, Payload::Members(members)),
            Err(refusal) => out.push(Output::Refused { token, refusal }),
        }
    }

    /// The members after `change`, if it is possible now.
    fn next_members(&self, now: Instant, change: Change) -> Result<Members, Refusal> {
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
            Change::Add(id) => {
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
            Change::Promote(id) => {
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
            Change::Remove(id) => {
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
    Refusal::Members {
        problem: problem.into(),
        remedy,
    }
}
