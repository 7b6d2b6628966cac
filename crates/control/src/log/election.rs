//! Elections: sounding out, asking for votes, and giving them.

use std::collections::BTreeSet;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::Term;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Body, Message, Payload, Record};

use super::io::Output;
use super::leader::Leader;
use super::replica::{Replica, Role};

impl Replica {
    /// Asks whether the others would vote, without disturbing a leader that they hear.
    pub(super) fn sound_out(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.delay_election(now);
        self.leader = None;
        self.role = Role::Candidate {
            pre: true,
            votes: BTreeSet::from([self.id]),
        };
        self.ask_votes(true, out);
        self.count_votes(now, out);
    }

    /// Starts a term and asks for votes in it.
    fn stand(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.enter_term(self.hard.term.next(), Some(self.id));
        self.delay_election(now);
        self.role = Role::Candidate {
            pre: false,
            votes: BTreeSet::new(),
        };
        self.ask_votes(false, out);
    }

    fn ask_votes(&mut self, pre: bool, out: &mut Vec<Output>) {
        let body = Body::RequestVote {
            pre_vote: pre,
            last_index: self.log.last(),
            last_term: self.log.last_term(),
        };
        let voters: Vec<_> = self.log.members().voters.keys().copied().collect();
        for voter in voters {
            if voter == self.id {
                continue;
            }
            match pre {
                true => self.send_in(self.hard.term.next(), voter, body.clone(), out),
                // The own vote must be durable before another replica may count on it.
                false => self.send_durable(voter, body.clone(), out),
            }
        }
    }

    /// Counts the vote for itself once it is durable.
    pub(super) fn count_own_vote(&mut self, now: Instant, out: &mut Vec<Output>) {
        if !self.is_settled() {
            return;
        }
        let id = self.id;
        if let Role::Candidate { pre: false, votes } = &mut self.role {
            votes.insert(id);
        }
        self.count_votes(now, out);
    }

    fn count_votes(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Role::Candidate { pre, votes } = &self.role else {
            return;
        };
        if !self.log.members().is_quorum(|id| votes.contains(&id)) {
            return;
        }
        match pre {
            true => self.stand(now, out),
            false => self.lead(now, out),
        }
    }

    /// Takes office and appends a blank record, whose commit brings those of earlier terms along.
    fn lead(&mut self, now: Instant, out: &mut Vec<Output>) {
        let term = self.hard.term;
        let index = self.log.last().next();
        let leader = Leader::new(now, self.id, self.log.members(), index);
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

    /// Answers a request for a vote.
    pub(super) fn take_vote(&mut self, now: Instant, message: &Message, out: &mut Vec<Output>) {
        let Body::RequestVote {
            pre_vote: pre,
            last_index,
            last_term,
        } = message.body
        else {
            return;
        };
        // A leader that is heard is not unseated; this also keeps its lease.
        if self.hears_leader(now) {
            return;
        }
        let newest = (self.log.last_term(), self.log.last());
        let complete = (last_term, last_index) >= newest;
        if pre {
            let granted = complete && message.term > self.hard.term;
            let term = match granted {
                true => message.term,
                false => self.hard.term,
            };
            self.send_in(
                term,
                message.from,
                Body::VoteResponse {
                    pre_vote: pre,
                    granted,
                },
                out,
            );
            return;
        }
        if message.term > self.hard.term {
            self.follow(now, message.term, None, out);
        }
        let free = self.hard.vote.is_none_or(|vote| vote == message.from);
        let granted = message.term == self.hard.term && complete && free;
        if granted && self.hard.vote.is_none() {
            self.hard.vote = Some(message.from);
            self.write_hard();
            self.delay_election(now);
        }
        self.send_durable(
            message.from,
            Body::VoteResponse {
                pre_vote: pre,
                granted,
            },
            out,
        );
    }

    /// Whether a leader was heard within the shortest election timeout, or this replica leads.
    fn hears_leader(&self, now: Instant) -> bool {
        match &self.role {
            Role::Leader(leader) => {
                now.since(self.quorum_heard(leader)) < self.options.election_timeout_min
            }
            _ => now.since(self.heard) < self.options.election_timeout_min,
        }
    }

    /// Counts an answer to a request for a vote.
    pub(super) fn take_voted(&mut self, now: Instant, message: &Message, out: &mut Vec<Output>) {
        let Body::VoteResponse { pre_vote, granted } = message.body else {
            return;
        };
        let asked = match pre_vote {
            true => self.hard.term.next(),
            false => self.hard.term,
        };
        if !granted {
            self.catch_up_term(now, message.term, out);
            return;
        }
        if message.term != asked {
            return;
        }
        let Role::Candidate { pre: sounds, votes } = &mut self.role else {
            return;
        };
        if *sounds != pre_vote {
            return;
        }
        votes.insert(message.from);
        self.count_votes(now, out);
    }

    /// Takes over a newer term that another replica answered with.
    pub(super) fn catch_up_term(&mut self, now: Instant, term: Term, out: &mut Vec<Output>) {
        if term > self.hard.term {
            self.follow(now, term, None, out);
        }
    }
}
