//! The election after a restart of all voters.
//!
//! A voter grants no vote within the shortest election timeout after its start: it may have acknowledged
//! a leader whose lease still runs. When all voters restart at once, as after a power failure, this wait
//! is in vain. So a restarted voter asks all others at once. If every single voter answers that it knows
//! of no leader, no lease runs, since whoever led has answered too and no longer leads; the election then
//! starts without the wait. If one voter doesn't answer, the usual timeouts apply.
//!
//! Voters that start together ask each other at the same moment. If each began an election, none would get
//! a majority, so a voter leaves it to another one whose log is more recent, or as recent and whose id is
//! lower.

use std::collections::BTreeSet;
use std::time::Duration;

use eelgrassdyke_core::id::{Replica as Id, Term};
use eelgrassdyke_core::time::Instant;
use rand::RngExt as _;

use super::io::Output;
use super::replica::{Replica, Role};

/// Range of the time between two requests, in milliseconds; it differs by chance, so that replicas that
/// started together don't split the votes again and again.
const REQUEST_INTERVAL_MS: std::ops::Range<u64> = 100..200;

/// Time after a vote in which no other election is helped to start: writing the votes may take a slow
/// disk that long.
const VOTE_COMPLETION: Duration = Duration::from_millis(400);

/// What a replica knows about the election after its restart.
#[derive(Clone, Debug)]
pub(super) struct RestartElection {
    started_at: Instant,
    /// Whether a leader has been heard of since the start.
    is_over: bool,
    /// Replicas that would vote for this one in `term` and know of no leader.
    grants: BTreeSet<Id>,
    term: Term,
    next_request: Instant,
    /// Until when an election may be in progress that this replica has voted in.
    voting_until: Instant,
    /// Until when this replica leaves the election to another one.
    deferred_until: Instant,
}

impl RestartElection {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            is_over: false,
            grants: BTreeSet::new(),
            term: Term(0),
            next_request: now,
            voting_until: now,
            deferred_until: now,
        }
    }

    /// Ends the special treatment, because a leader is known.
    pub(super) fn end(&mut self) {
        self.is_over = true;
    }

    /// Leaves the election to another replica that has just asked for votes.
    pub(super) fn defer(&mut self, now: Instant) {
        self.deferred_until = now + VOTE_COMPLETION;
    }

    /// Records a vote.
    pub(super) fn record_vote(&mut self, now: Instant) {
        self.voting_until = now + VOTE_COMPLETION;
    }
}

impl Replica {
    /// Whether this replica has just restarted and has not heard of a leader since.
    pub(super) fn is_restarting(&self, now: Instant) -> bool {
        self.options.elects_after_restart
            && !self.restart.is_over
            && !self.is_halted()
            && now.since(self.restart.started_at) < self.options.election_timeout_min
            && matches!(self.role, Role::Follower | Role::Candidate(_))
            && self.is_voter()
    }

    /// Whether this replica may help another one to an election right after a restart.
    pub(super) fn may_help_restart(&self, now: Instant) -> bool {
        self.is_restarting(now) && now >= self.restart.voting_until
    }

    /// When the next request for votes after the restart is due.
    pub(super) fn next_restart_request(&self) -> Instant {
        let ends_at = self.restart.started_at + self.options.election_timeout_min;
        let next_request = self.restart.next_request.max(self.restart.voting_until);
        let is_due =
            self.options.elects_after_restart && !self.restart.is_over && !self.is_halted();
        match is_due && next_request < ends_at {
            true => next_request,
            false => Instant::NEVER,
        }
    }

    /// Asks all voters for their votes if that is due.
    pub(super) fn request_restart_votes(&mut self, now: Instant, out: &mut Vec<Output>) {
        if !self.may_help_restart(now) || now < self.restart.next_request || self.is_only_voter() {
            return;
        }
        let interval = self.rng.random_range(REQUEST_INTERVAL_MS);
        self.restart.next_request = now + Duration::from_millis(interval);
        self.request_votes(true, true, out);
    }

    /// Counts a grant, and starts the election once every voter has granted.
    pub(super) fn count_restart_grant(
        &mut self,
        now: Instant,
        (from, term): (Id, Term),
        out: &mut Vec<Output>,
    ) {
        if !self.may_help_restart(now)
            || now < self.restart.deferred_until
            || term != self.hard_state.term.next()
        {
            return;
        }
        if self.restart.term != term {
            self.restart.term = term;
            self.restart.grants.clear();
        }
        self.restart.grants.insert(from);
        let grants = &self.restart.grants;
        let has_granted = |voter: Id| voter == self.id || grants.contains(&voter);
        let mut voters = self.log.members().electorate().map(|(voter, _)| voter);
        let all_have_granted = voters.all(has_granted);
        drop(voters);
        if all_have_granted {
            self.restart.record_vote(now);
            self.start_election(now, true, out);
        }
    }
}
