//! A voter that gives its vote to another replica before its process stops.
//!
//! A voter that is gone counts for every quorum until it is removed, so a loss of two more disks right after
//! its end would leave no majority of five. A process that is asked to stop has time, so its replica asks the
//! leader to be released. The leader promotes a learner that has caught up and then removes the voter that
//! leaves, in this order, since both still respond. A leader that leaves removes itself last. The process may
//! stop once the removal is committed, as then a majority of the remaining voters holds all earlier records.
//!
//! The replica can't know whether its process will be back. Without a learner nothing changes: it stops as a
//! voter and votes again after a restart. If a learner has taken its place, it is added as a learner after the
//! restart and takes the next place.

use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::Replica as Id;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::Body;

use super::io::Output;
use super::members::has_dispensable_voter;
use super::replica::{Replica, Role};

/// Time between two requests of a replica to be released.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the last request for which a leader takes a member to be leaving; a process that has restarted
/// makes no requests.
const REQUEST_EXPIRY: Duration = Duration::from_secs(1);

/// State of a replica whose process is about to stop.
#[derive(Clone, Debug)]
pub(super) struct Leave {
    started_at: Instant,
    next_request: Instant,
    /// Whether it is no voter any more, and this is committed.
    is_released: bool,
}

impl Replica {
    /// Whether the process may stop: another replica votes in the place of this one, or none can.
    ///
    /// False only after [`Input::Leave`](super::Input::Leave).
    pub fn may_stop(&self, now: Instant) -> bool {
        let Some(leave) = &self.leave else {
            return true;
        };
        self.is_stopped()
            || leave.is_released
            || self.is_known_non_voter()
            || !self.can_be_replaced(now)
    }

    /// Whether this replica is no voter by a membership that it knows to be committed.
    fn is_known_non_voter(&self) -> bool {
        !self.is_voter() && self.log.members_index() <= self.commit_index
    }

    /// Whether the leader can release this voter, as far as is known here.
    fn can_be_replaced(&self, now: Instant) -> bool {
        let members = self.log.members();
        self.options.manages_members
            && (has_dispensable_voter(members)
                || !members.learners.is_empty()
                || !self.formation.unattached(now).is_empty())
    }

    pub(super) fn begin_leave(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.leave.is_some() {
            return;
        }
        self.leave = Some(Leave {
            started_at: now,
            next_request: now,
            is_released: false,
        });
        if !self.may_stop(now) {
            let members = self.log.members();
            let event = Event::new(Code::VoterLeaving, "asks to be released")
                .with_fact("voters", members.voters.len() as u64)
                .with_fact("learners", members.learners.len() as u64);
            out.push(Output::Event(event));
        }
    }

    /// When the next request to be released is due.
    pub(super) fn next_leave_request(&self) -> Instant {
        match &self.leave {
            Some(leave) if !leave.is_released => leave.next_request,
            _ => Instant::NEVER,
        }
    }

    /// Asks all members to be released when that is due; only the leader responds.
    pub(super) fn tick_leave(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now < self.next_leave_request() {
            return;
        }
        if let Some(leave) = &mut self.leave {
            leave.next_request = now + REQUEST_INTERVAL;
        }
        if self.is_known_non_voter() {
            self.record_release(now, out);
            return;
        }
        if self.is_leader() {
            return;
        }
        let members = self.log.members();
        let others = members.all().map(|(id, _)| id);
        let others: Vec<Id> = others.filter(|id| *id != self.id).collect();
        for other in others {
            self.send(other, Body::Leave, out);
        }
    }

    /// Whether a member's process is about to stop.
    pub(super) fn is_leaving(&self, now: Instant, id: Id) -> bool {
        if id == self.id {
            return self.leave.is_some();
        }
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let request = leader.leaving.get(&id);
        request.is_some_and(|at| now.since(*at) < REQUEST_EXPIRY)
    }

    /// Handles the request of another replica to be released.
    pub(super) fn handle_leave(&mut self, now: Instant, from: Id, out: &mut Vec<Output>) {
        let is_committed = self.log.members_index() <= self.commit_index;
        let is_voter = self.log.members().has_vote(from);
        let commit_index = self.commit_index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.leaving.insert(from, now);
        leader
            .leaving
            .retain(|_, at| now.since(*at) < REQUEST_EXPIRY);
        let released = is_committed && !is_voter && commit_index >= leader.first_index;
        self.send(from, Body::LeaveResponse { released }, out);
    }

    pub(super) fn handle_leave_response(
        &mut self,
        now: Instant,
        released: bool,
        out: &mut Vec<Output>,
    ) {
        if released {
            self.record_release(now, out);
        }
    }

    fn record_release(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Some(leave) = &mut self.leave else {
            return;
        };
        if std::mem::replace(&mut leave.is_released, true) {
            return;
        }
        let waited = now.since(leave.started_at);
        let event = Event::new(Code::VoterLeaving, "released").with_fact("after_ms", waited);
        out.push(Output::Event(event));
    }
}
