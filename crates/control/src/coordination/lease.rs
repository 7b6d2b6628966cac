//! The leases of a control process on the rank groups that it coordinates.
//!
//! A lease counts from the moment at which the poll was sent that the leader answered with a grant, so
//! it expires here before the leader considers it expired, however long the messages took. A lease that
//! has ended is not renewed: the process gets a new coordination term, and its controller starts anew
//! with higher fencing tokens and order numbers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{CoordinationTerm, Group, Incarnation};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::rank::{
    CoordinatorGrant, CoordinatorPoll, GroupGrant, GroupHolding, LeaseState,
};

use super::{LEASE, POLL_INTERVAL};

/// Minimum time between two polls. A poll before the end of the interval asks for a group that has no
/// coordinator yet.
const URGENT_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Time without a report after which the coordinator of a group gives it up: either the group is gone,
/// or its watch processes can't reach this process.
const UNUSED_AFTER: Duration = Duration::from_secs(3);

/// Time for which an ended lease is reported, so that a new leader leaves the group with the process
/// that has its recent loads, and for which grants in its term are refused. A grant is void when its
/// poll is older than a lease, so no grant in an ended term arrives later than that.
const ENDED_RETENTION: Duration = Duration::from_secs(10);

/// A lease on a group.
#[derive(Clone, Debug)]
struct Lease {
    term: CoordinationTerm,
    expires_at: Instant,
    /// When the last report arrived, or when the lease began.
    reported_at: Instant,
    size: u32,
}

/// A lease that has ended.
#[derive(Clone, Debug)]
struct EndedLease {
    term: CoordinationTerm,
    state: LeaseState,
    size: u32,
    ended_at: Instant,
}

/// The leases of this process.
#[derive(Clone, Debug)]
pub struct Leases {
    incarnation: Incarnation,
    valid: BTreeMap<Group, Lease>,
    ended: BTreeMap<Group, EndedLease>,
    last_poll_number: u64,
    /// Polls that may still be answered, with the leader that each was sent to and when.
    sent: BTreeMap<u64, (SocketAddr, Instant)>,
    last_poll_at: Option<Instant>,
    next_poll_at: Instant,
}

impl Leases {
    /// No leases, for this incarnation of the process.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            valid: BTreeMap::new(),
            ended: BTreeMap::new(),
            last_poll_number: 0,
            sent: BTreeMap::new(),
            last_poll_at: None,
            next_poll_at: Instant(0),
        }
    }

    /// The groups on which this process has a lease at `now`, with their terms.
    pub fn terms(&self, now: Instant) -> BTreeMap<Group, CoordinationTerm> {
        let valid = self.valid.iter().filter(|(_, lease)| lease.is_valid(now));
        valid
            .map(|(group, lease)| (group.clone(), lease.term))
            .collect()
    }

    /// Whether this process has a lease on the group.
    pub fn holds(&self, now: Instant, group: &Group) -> bool {
        self.valid
            .get(group)
            .is_some_and(|lease| lease.is_valid(now))
    }

    /// Ends the leases that have lapsed or are of no use.
    pub fn expire(&mut self, now: Instant, out: &mut Vec<Event>) {
        let ended = self.valid.iter().filter_map(|(group, lease)| {
            let state = lease.end_state(now)?;
            Some((group.clone(), state))
        });
        for (group, state) in ended.collect::<Vec<_>>() {
            self.end(now, &group, state, out);
        }
        self.ended
            .retain(|_, lease| now.since(lease.ended_at) < ENDED_RETENTION);
        self.sent
            .retain(|_, (_, sent_at)| now.since(*sent_at) < LEASE);
    }

    /// Gives a group up because an engine has seen a higher fencing token.
    pub fn give_up_fenced(&mut self, now: Instant, group: &Group, out: &mut Vec<Event>) {
        self.end(now, group, LeaseState::Fenced, out);
        self.request_poll();
    }

    fn end(&mut self, now: Instant, group: &Group, state: LeaseState, out: &mut Vec<Event>) {
        let Some(lease) = self.valid.remove(group) else {
            return;
        };
        let reason = match state {
            LeaseState::Valid | LeaseState::Lapsed => "the leader did not renew the lease in time",
            LeaseState::Fenced => "an engine has seen a higher fencing token",
            LeaseState::Unused => "no rank reports to this process",
        };
        let detail = format!("coordination term {}: {reason}", lease.term);
        out.push(Event::new(Code::CoordinationLost, detail).group(group));
        let ended = EndedLease {
            term: lease.term,
            state,
            size: lease.size,
            ended_at: now,
        };
        self.ended.insert(group.clone(), ended);
    }

    /// Records a report of a rank of a group.
    pub fn record_report(&mut self, now: Instant, group: &Group, size: u32) {
        if let Some(lease) = self.valid.get_mut(group) {
            lease.reported_at = now;
            lease.size = size;
        }
    }

    /// Makes the next poll due as soon as [`URGENT_POLL_INTERVAL`] permits.
    pub fn request_poll(&mut self) {
        let earliest = self
            .last_poll_at
            .map_or(Instant(0), |at| at + URGENT_POLL_INTERVAL);
        self.next_poll_at = self.next_poll_at.min(earliest);
    }

    /// Postpones a poll that is due while no leader is known.
    pub fn postpone_poll(&mut self, now: Instant) {
        if now >= self.next_poll_at {
            self.next_poll_at = now + POLL_INTERVAL;
        }
    }

    /// The poll to send to the leader, if one is due.
    pub fn next_poll(&mut self, now: Instant, leader: SocketAddr) -> Option<CoordinatorPoll> {
        if now < self.next_poll_at {
            return None;
        }
        self.next_poll_at = now + POLL_INTERVAL;
        self.last_poll_at = Some(now);
        self.last_poll_number += 1;
        self.sent.insert(self.last_poll_number, (leader, now));
        Some(CoordinatorPoll {
            poll_number: self.last_poll_number,
            groups: self.holdings(),
        })
    }

    /// The valid leases and those that ended recently.
    fn holdings(&self) -> Vec<GroupHolding> {
        let valid = self.valid.iter().map(|(group, lease)| GroupHolding {
            group: group.clone(),
            term: lease.term,
            size: lease.size,
            state: LeaseState::Valid,
        });
        let ended = self.ended.iter();
        let ended = ended.filter(|(group, _)| !self.valid.contains_key(group));
        let ended = ended.map(|(group, lease)| GroupHolding {
            group: group.clone(),
            term: lease.term,
            size: lease.size,
            state: lease.state,
        });
        valid.chain(ended).collect()
    }

    /// Renews or begins leases by a grant that arrived from `from`; [`Leases::expire`] precedes it.
    pub fn apply_grant(
        &mut self,
        now: Instant,
        from: SocketAddr,
        grant: &CoordinatorGrant,
        out: &mut Vec<Event>,
    ) {
        let Some(poll_number) = grant.poll_number else {
            return;
        };
        // A restarted process numbers its polls from the start, so that a grant to its previous
        // incarnation may answer a poll of the same number.
        if grant.incarnation != self.incarnation {
            return;
        }
        let Some((leader, sent_at)) = self.sent.get(&poll_number).copied() else {
            return;
        };
        let expires_at = sent_at + LEASE;
        if leader != from || now >= expires_at {
            return;
        }
        self.sent.remove(&poll_number);
        for GroupGrant { group, term } in &grant.grants {
            let has_ended = |ended: &EndedLease| ended.term >= *term;
            if self.ended.get(group).is_some_and(has_ended) {
                continue;
            }
            match self.valid.get_mut(group) {
                Some(lease) if lease.term > *term => {}
                Some(lease) if lease.term == *term => {
                    lease.expires_at = lease.expires_at.max(expires_at);
                }
                _ => {
                    let detail = format!("coordination term {term}");
                    out.push(Event::new(Code::CoordinationGained, detail).group(group));
                    let lease = Lease {
                        term: *term,
                        expires_at,
                        reported_at: now,
                        size: 0,
                    };
                    self.valid.insert(group.clone(), lease);
                }
            }
        }
    }

    /// When the next poll is due or the next lease ends.
    pub fn next_deadline(&self) -> Instant {
        let ends = self.valid.values().map(Lease::ends_at);
        ends.fold(self.next_poll_at, Instant::min)
    }
}

impl Lease {
    fn is_valid(&self, now: Instant) -> bool {
        now < self.expires_at
    }

    /// When it ends if it is not renewed and no report arrives.
    fn ends_at(&self) -> Instant {
        self.expires_at.min(self.reported_at + UNUSED_AFTER)
    }

    /// Why it has ended; none if it has not.
    fn end_state(&self, now: Instant) -> Option<LeaseState> {
        if !self.is_valid(now) {
            return Some(LeaseState::Lapsed);
        }
        (now >= self.ends_at()).then_some(LeaseState::Unused)
    }
}
