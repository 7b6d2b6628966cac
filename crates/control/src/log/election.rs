//! Elections: pre-votes, votes and the start of leadership.

use std::collections::BTreeSet;
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Replica as Id, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Body, Message, Payload, Record};
use rand::RngExt as _;

use super::halt;
use super::io::Output;
use super::leader::Leader;
use super::quorum::{self, Losses};
use super::replica::{Replica, Role};

/// Rounds of pre-votes in which a candidate may be yielded to: it may be unable to reach a replica whose vote it
/// needs, while its rival reaches all.
const YIELDED_ROUNDS_MAX: u32 = 3;

/// What a candidate has been granted.
#[derive(Clone, Debug, Default)]
pub(super) struct Candidacy {
    /// Pre-votes for the next term, while it requests them.
    pub(super) pre_votes: Option<BTreeSet<Id>>,
    /// Votes in the current term, if it has requested any. They count until it enters another term, so that
    /// an election succeeds although a slow vote arrives after the election timeout.
    pub(super) votes: Option<BTreeSet<Id>>,
    /// Rounds of pre-votes since it last followed a leader or began an election.
    rounds: u32,
    /// Losses known before it requested the pre-votes or votes that it last requested.
    losses: Losses,
    /// Losses known before it entered its term as a candidate.
    term_losses: Losses,
}

impl Replica {
    /// Draws a new election deadline.
    pub(super) fn reset_election_timeout(&mut self, now: Instant) {
        let shortest = self.options.election_timeout_min.as_micros() as u64;
        let longest = (self.options.election_timeout_max.as_micros() as u64).max(shortest + 1);
        let mut timeout = Duration::from_micros(self.rng.random_range(shortest..longest));
        if self.is_halted() {
            timeout *= halt::TIMEOUT_FACTOR;
        }
        self.election_deadline = now + timeout;
    }

    /// Requests pre-votes, which change no term and so don't disturb a leader that is alive.
    pub(super) fn start_pre_vote(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.report_failed_election(now, out);
        self.reset_election_timeout(now);
        self.leader = None;
        let earlier = match &mut self.role {
            Role::Candidate(candidacy) => std::mem::take(candidacy),
            _ => Candidacy::default(),
        };
        self.role = Role::Candidate(Candidacy {
            pre_votes: Some(BTreeSet::from([self.id])),
            rounds: earlier.rounds + 1,
            losses: self.losses.clone(),
            ..earlier
        });
        self.request_votes(true, false, out);
        self.count_votes(now, out);
    }

    /// Reports the end of an election in which this replica got no majority, if it was in one.
    fn report_failed_election(&self, now: Instant, out: &mut Vec<Output>) {
        let Role::Candidate(candidacy) = &self.role else {
            return;
        };
        let voters = self.log.members().electorate().count();
        let (detail, votes) = match (&candidacy.pre_votes, &candidacy.votes) {
            (Some(pre_votes), _) => ("pre-vote", pre_votes.len()),
            (None, votes) => ("vote", votes.as_ref().map_or(0, BTreeSet::len)),
        };
        let event = Event::new(Code::ElectionFailed, detail)
            .with_fact("votes", votes as u64)
            .with_fact("voters", voters as u64);
        out.push(Output::Event(self.progress(now).add_to(event)));
    }

    /// Starts a new term and requests votes in it; see [`super::restart`] for `after_restart`.
    pub(super) fn start_election(
        &mut self,
        now: Instant,
        after_restart: bool,
        out: &mut Vec<Output>,
    ) {
        self.enter_term(self.hard_state.term.next(), Some(self.id));
        self.reset_election_timeout(now);
        self.role = Role::Candidate(Candidacy {
            pre_votes: None,
            votes: Some(BTreeSet::new()),
            rounds: 0,
            losses: self.losses.clone(),
            term_losses: self.losses.clone(),
        });
        self.request_votes(false, after_restart, out);
    }

    pub(super) fn request_votes(
        &mut self,
        pre_vote: bool,
        after_restart: bool,
        out: &mut Vec<Output>,
    ) {
        let body = Body::RequestVote {
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            after_restart,
            knows_settled: true,
        };
        let voters: Vec<_> = self.log.members().electorate().collect();
        for (voter, _) in voters {
            if voter == self.id {
                continue;
            }
            match pre_vote {
                true => self.send_in_term(self.hard_state.term.next(), voter, body.clone(), out),
                // The vote for itself must be durable before any other vote is requested.
                false => self.send_durable(voter, body.clone(), out),
            }
        }
    }

    /// Counts the replica's vote for itself once it is durable. The requests for votes leave at the same
    /// time, so the others get a whole election timeout to respond.
    pub(super) fn count_own_vote(&mut self, now: Instant, out: &mut Vec<Output>) {
        if !self.is_all_durable() {
            return;
        }
        let id = self.id;
        if let Role::Candidate(candidacy) = &mut self.role
            && let Some(votes) = &mut candidacy.votes
            && votes.insert(id)
        {
            self.reset_election_timeout(now);
        }
        self.count_votes(now, out);
    }

    fn count_votes(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Role::Candidate(candidacy) = &self.role else {
            return;
        };
        let members = self.log.members();
        let has_quorum = |granted: &Option<BTreeSet<Id>>, losses: &Losses| {
            let Some(ids) = granted else {
                return false;
            };
            // A vote is cast after its request, and so after the losses were known.
            let grant = |id: Id| ids.contains(&id).then_some(());
            quorum::reached(members, losses, grant, grant).is_some()
        };
        if has_quorum(&candidacy.votes, &candidacy.term_losses) {
            self.become_leader(now, out);
        } else if has_quorum(&candidacy.pre_votes, &candidacy.losses) {
            self.start_election(now, false, out);
        }
    }

    /// Becomes leader and appends a no-op record, whose commit also commits the records of earlier
    /// terms.
    fn become_leader(&mut self, now: Instant, out: &mut Vec<Output>) {
        let term = self.hard_state.term;
        let index = self.log.last_index().next();
        let earlier_contact = self.last_leader_contact.max(self.last_led).min(now);
        let leader = Leader::new(now, self.id, self.log.members(), index, earlier_contact);
        self.restart.end();
        self.role = Role::Leader(Box::new(leader));
        self.leader = Some(self.id);
        self.append(vec![Record {
            term,
            index,
            payload: Payload::NoOp,
        }]);
        let detail = format!("term {term}");
        out.push(Output::Event(Event::new(Code::LeaderElected, detail)));
    }

    /// Responds to a request for a vote or pre-vote.
    pub(super) fn handle_vote_request(
        &mut self,
        now: Instant,
        message: &Message,
        out: &mut Vec<Output>,
    ) {
        let Body::RequestVote {
            pre_vote,
            last_index,
            last_term,
            after_restart,
            knows_settled,
        } = message.body
        else {
            return;
        };
        // An earlier build would remove a voter without the agreement of the voters before the removal.
        if self.log.members().settled && !knows_settled {
            return;
        }
        // Refusing votes while a leader is alive keeps its lease valid.
        if self.has_recent_leader(now) && !(after_restart && self.may_help_restart(now)) {
            return;
        }
        let local_last = (self.log.last_term(), self.log.last_index());
        let up_to_date = (last_term, last_index) >= local_last;
        if pre_vote {
            let is_preferred = (last_term, last_index) > local_last || message.from < self.id;
            // Of two replicas that request pre-votes for the same term, one yields.
            let is_rival = message.term == self.hard_state.term.next()
                && matches!(&self.role, Role::Candidate(candidacy)
                    if candidacy.rounds <= YIELDED_ROUNDS_MAX);
            // A vote would have to wait for the pending writes.
            let may_vote = self.is_all_durable() && (is_preferred || !is_rival);
            let granted =
                up_to_date && message.term > self.hard_state.term && (after_restart || may_vote);
            if granted && after_restart && is_preferred {
                self.restart.defer(now);
            }
            if granted && !after_restart {
                self.reset_election_timeout(now);
            }
            let term = match granted {
                true => message.term,
                false => self.hard_state.term,
            };
            let body = Body::VoteResponse {
                pre_vote,
                granted,
                after_restart,
            };
            self.send_in_term(term, message.from, body, out);
            return;
        }
        if message.term > self.hard_state.term {
            self.become_follower(now, message.term, None, out);
        }
        let vote_available = self.hard_state.vote.is_none_or(|vote| vote == message.from);
        let granted = message.term == self.hard_state.term && up_to_date && vote_available;
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(message.from);
            self.persist_hard_state();
            self.reset_election_timeout(now);
            self.restart.record_vote(now);
        }
        let body = Body::VoteResponse {
            pre_vote,
            granted,
            after_restart,
        };
        self.send_durable(message.from, body, out);
    }

    /// Whether this replica received a message from a leader within the shortest election timeout; a
    /// leader instead checks its last contact with a quorum.
    fn has_recent_leader(&self, now: Instant) -> bool {
        match &self.role {
            Role::Leader(leader) => {
                now.since(self.quorum_contact(leader)) < self.options.election_timeout_min
            }
            _ => now.since(self.last_leader_contact) < self.options.election_timeout_min,
        }
    }

    /// Counts a granted vote or pre-vote.
    pub(super) fn handle_vote_response(
        &mut self,
        now: Instant,
        message: &Message,
        out: &mut Vec<Output>,
    ) {
        let Body::VoteResponse {
            pre_vote,
            granted,
            after_restart,
        } = message.body
        else {
            return;
        };
        let requested_term = match pre_vote {
            true => self.hard_state.term.next(),
            false => self.hard_state.term,
        };
        if !granted {
            self.adopt_newer_term(now, message.term, out);
            return;
        }
        if message.term != requested_term {
            return;
        }
        if pre_vote && after_restart {
            self.count_restart_grant(now, (message.from, message.term), out);
            return;
        }
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        let granted = match pre_vote {
            true => &mut candidacy.pre_votes,
            false => &mut candidacy.votes,
        };
        if let Some(granted) = granted {
            granted.insert(message.from);
            self.count_votes(now, out);
        }
    }

    /// Becomes a follower in a newer term reported by another replica.
    pub(super) fn adopt_newer_term(&mut self, now: Instant, term: Term, out: &mut Vec<Output>) {
        if term > self.hard_state.term {
            self.become_follower(now, term, None, out);
        }
    }
}
