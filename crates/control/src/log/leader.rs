//! What a leader does: rounds, commits and confirmations.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use eelgrassdyke_core::id::{Index, Replica as Id};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Body, Members, Message, Payload, Record};

use super::io::{Output, Refusal, Snapshot};
use super::replica::{Replica, Role};

/// Rounds whose sending times are remembered.
const ROUNDS_MAX: usize = 256;

/// Questions that may wait for a round.
const QUESTIONS_MAX: usize = 4096;

/// A leader's books.
#[derive(Clone, Debug)]
pub struct Leader {
    /// Position of the first record of its term.
    pub first: Index,
    /// When it next starts a round.
    pub next_round: Instant,
    pub(super) id: Id,
    pub(super) peers: BTreeMap<Id, Peer>,
    pub(super) round: u64,
    since: Instant,
    rounds: VecDeque<(u64, Instant)>,
    questions: Vec<Question>,
}

/// What the leader knows of another member.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Position of the next record to send.
    pub next: Index,
    /// Last position that the member holds durably.
    pub matched: Index,
    /// Whether the member's log has yet to be found to match before `next`.
    pub probing: bool,
    /// Last positions of messages with records that are not acknowledged.
    pub under_way: VecDeque<Index>,
    /// A snapshot under way.
    pub install: Option<Install>,
    /// Whether it is owed a message of the present round.
    pub beat: bool,
    round: u64,
    heard: Option<Instant>,
    /// Since when the leader sends to it.
    since: Instant,
}

/// A snapshot under way to a member.
#[derive(Clone, Debug)]
pub struct Install {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Offset of the next part, in bytes.
    pub offset: usize,
    /// Round in which the part was sent; none when it is due.
    pub sent: Option<u64>,
}

#[derive(Clone, Debug)]
struct Question {
    question: u64,
    origin: Id,
    round: u64,
    index: Index,
}

impl Peer {
    fn new(now: Instant, next: Index) -> Self {
        Self {
            since: now,
            next,
            matched: Index(0),
            probing: true,
            under_way: VecDeque::new(),
            install: None,
            beat: true,
            round: 0,
            heard: None,
        }
    }
}

impl Leader {
    /// The books of a leader whose first record will be at `first`.
    pub fn new(now: Instant, id: Id, members: &Members, first: Index) -> Self {
        let mut leader = Self {
            first,
            next_round: now,
            id,
            peers: BTreeMap::new(),
            round: 0,
            since: now,
            rounds: VecDeque::new(),
            questions: Vec::new(),
        };
        leader.meet(now, members, first);
        leader
    }

    /// Keeps a row for each other member.
    fn meet(&mut self, now: Instant, members: &Members, next: Index) {
        let id = self.id;
        self.peers
            .retain(|peer, _| members.address(*peer).is_some());
        for peer in members.voters.keys().chain(members.learners.keys()) {
            if *peer != id {
                self.peers
                    .entry(*peer)
                    .or_insert_with(|| Peer::new(now, next));
            }
        }
    }

    /// Last position that a member holds durably.
    pub fn match_of(&self, id: Id) -> Index {
        self.peers.get(&id).map_or(Index(0), |peer| peer.matched)
    }

    /// Time since a member answered a round, or since this leader first sent to it.
    pub fn silence(&self, now: Instant, id: Id) -> std::time::Duration {
        let peer = self.peers.get(&id);
        let heard = peer.map(|peer| peer.heard.unwrap_or(peer.since));
        now.since(heard.unwrap_or(self.since))
    }

    /// The same for all members.
    pub fn matched(&self) -> BTreeMap<Id, Index> {
        let peers = self.peers.iter();
        peers.map(|(id, peer)| (*id, peer.matched)).collect()
    }

    fn start_round(&mut self, now: Instant, next: Instant) {
        self.round += 1;
        self.next_round = next;
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > ROUNDS_MAX {
            self.rounds.pop_front();
        }
        for peer in self.peers.values_mut() {
            peer.beat = true;
        }
    }

    /// Notes that a member answered a round.
    fn hear(&mut self, id: Id, round: u64) {
        let sent = self.rounds.iter().find(|(number, _)| *number == round);
        let Some(peer) = self.peers.get_mut(&id) else {
            return;
        };
        if let Some((_, sent)) = sent {
            peer.round = peer.round.max(round);
            peer.heard = peer.heard.max(Some(*sent));
        }
    }

    /// The greatest value that a majority of the voters reaches.
    fn quorum<T: Ord>(&self, members: &Members, own: T, of: impl Fn(&Peer) -> T) -> Option<T> {
        let mut own = Some(own);
        let mut values = Vec::new();
        for voter in members.voters.keys() {
            match self.peers.get(voter) {
                Some(peer) => values.push(of(peer)),
                None if *voter == self.id => values.extend(own.take()),
                None => {}
            }
        }
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(members.voters.len() / 2)
    }
}

impl Replica {
    /// When a majority last surely followed this leader: the start of the round they answered.
    pub(super) fn quorum_heard(&self, leader: &Leader) -> Instant {
        let heard = leader.quorum(self.log.members(), Some(Instant::NEVER), |peer| peer.heard);
        heard.flatten().unwrap_or_default()
    }

    /// When this leader must step down unless it hears from a majority.
    pub(super) fn quorum_until(&self, leader: &Leader) -> Instant {
        self.quorum_heard(leader).max(leader.since) + self.options.election_timeout_max
    }

    pub(super) fn tick_leader(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if now >= self.quorum_until(leader) {
            self.follow(now, self.hard.term, None, out);
            return;
        }
        if now < leader.next_round {
            return;
        }
        let next = now + self.options.heartbeat_interval;
        if let Role::Leader(leader) = &mut self.role {
            leader.start_round(now, next);
        }
    }

    /// Appends a command, if this replica leads.
    pub(super) fn propose(&mut self, token: u64, command: Vec<u8>, out: &mut Vec<Output>) {
        let waiting = (self.log.last() - self.commit).0 as usize;
        let refusal = match self.role {
            Role::Leader(_) if waiting < self.options.uncommitted_records_max => {
                self.append_own(Some(token), Payload::Command(command));
                return;
            }
            Role::Leader(_) => Refusal::Overload,
            _ => Refusal::NotLeader,
        };
        out.push(Output::Refused { token, refusal });
    }

    /// Appends a record of the present term, on behalf of a proposal if there is one.
    pub(super) fn append_own(&mut self, token: Option<u64>, payload: Payload) {
        let (term, index) = (self.hard.term, self.log.last().next());
        if let Some(token) = token {
            self.tokens.insert(index, (term, token));
        }
        self.append(vec![Record {
            term,
            index,
            payload,
        }]);
    }

    /// Asks the leader which position is committed now.
    pub(super) fn ask_confirm(&mut self, question: u64, out: &mut Vec<Output>) {
        match (&self.role, self.leader) {
            (Role::Leader(_), _) => self.take_confirm(self.id, question),
            (Role::Follower, Some(leader)) => {
                self.send(
                    leader,
                    Body::ReadIndex {
                        query_number: question,
                    },
                    out,
                );
            }
            _ => {}
        }
    }

    /// Keeps a question until a round that starts after it has reached a majority.
    pub(super) fn take_confirm(&mut self, origin: Id, question: u64) {
        let commit = self.commit;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        // Until a record of its own term is committed, a leader may not know all that is.
        if commit < leader.first || leader.questions.len() >= QUESTIONS_MAX {
            return;
        }
        leader.questions.push(Question {
            question,
            origin,
            round: leader.round + 1,
            index: commit,
        });
    }

    /// Takes in an answer from another member.
    pub(super) fn take_follower(&mut self, now: Instant, message: &Message, out: &mut Vec<Output>) {
        self.catch_up_term(now, message.term, out);
        if message.term != self.hard.term {
            return;
        }
        let base = self.log.base();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        match message.body {
            Body::AppendResponse {
                matched,
                index,
                round,
            } => {
                leader.hear(message.from, round);
                let Some(peer) = leader.peers.get_mut(&message.from) else {
                    return;
                };
                match matched {
                    true => peer.advance(index),
                    false => peer.go_back(index),
                }
                let matched = peer.matched;
                let done = |install: &Install| install.snapshot.index <= matched;
                if peer.next > base || peer.install.as_ref().is_some_and(done) {
                    peer.install = None;
                }
            }
            Body::InstallProgress { offset, round } => {
                leader.hear(message.from, round);
                let peer = leader.peers.get_mut(&message.from);
                if let Some(install) = peer.and_then(|peer| peer.install.as_mut()) {
                    install.offset = (offset as usize).min(install.snapshot.data.len());
                    install.sent = None;
                }
            }
            _ => {}
        }
        self.advance_commit(now, out);
    }

    /// Commits what a majority holds durably, if the last of it is of this leader's own term.
    pub(super) fn advance_commit(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let members = self.log.members();
        let held = leader.quorum(members, self.durable, |peer| peer.matched);
        let index = held.unwrap_or_default();
        if index <= self.commit || self.log.term(index) != Some(self.hard.term) {
            return;
        }
        self.commit = index;
        self.apply(out);
        self.caught_up = true;

        // A leader that was taken out goes once its successors hold the record that says so.
        if !self.is_voter() && self.log.members_index() <= self.commit {
            self.follow(now, self.hard.term, None, out);
        }
    }

    /// Sends what the other members lack, and the answers that a round has confirmed.
    pub(super) fn flush(&mut self, now: Instant, out: &mut Vec<Output>) {
        let next_round = now + self.options.heartbeat_interval;
        let (next, members) = (self.log.last().next(), self.log.members().clone());
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.meet(now, &members, next);
        let heard = leader.quorum(&members, leader.round, |peer| peer.round);
        let due = leader.questions.iter().any(|q| q.round > leader.round);
        // One round for questions is under way at a time.
        if due && heard == Some(leader.round) {
            leader.start_round(now, next_round);
        }
        let peers: Vec<Id> = leader.peers.keys().copied().collect();
        for peer in peers {
            self.feed(peer, out);
        }
        self.settle_questions(&members, out);
        self.drop_snapshot();
    }

    /// Frees the encoded snapshot once no member needs it.
    fn drop_snapshot(&mut self) {
        let base = self.log.base();
        let needed = match &self.role {
            Role::Leader(leader) => leader.peers.values().any(|peer| peer.next <= base),
            _ => false,
        };
        if !needed {
            self.snapshot_cache = None;
        }
    }

    fn settle_questions(&mut self, members: &Members, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let heard = leader.quorum(members, leader.round, |peer| peer.round);
        let heard = heard.unwrap_or_default();
        let questions = std::mem::take(&mut leader.questions);
        let (settled, waiting) = questions.into_iter().partition(|q| q.round <= heard);
        leader.questions = waiting;
        for question in settled {
            let Question {
                question,
                origin,
                index,
                ..
            } = question;
            match origin == self.id {
                true => out.push(Output::ReadIndexConfirmed {
                    query_number: question,
                    index,
                }),
                false => self.send(
                    origin,
                    Body::ReadIndexResponse {
                        query_number: question,
                        index,
                    },
                    out,
                ),
            }
        }
    }
}

impl Peer {
    /// The member holds everything up to `index`.
    fn advance(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(index.next());
        self.probing = false;
        while self.under_way.front().is_some_and(|last| *last <= index) {
            self.under_way.pop_front();
        }
    }

    /// The member's log does not match before `next`; it may up to `index`.
    fn go_back(&mut self, index: Index) {
        self.under_way.clear();
        self.next = index.next().min(self.next).max(self.matched.next());
        self.probing = true;
        self.beat = true;
    }
}

impl Install {
    /// A snapshot of which nothing was sent yet.
    pub fn new(snapshot: &Snapshot) -> Self {
        Self {
            snapshot: Snapshot {
                data: Arc::clone(&snapshot.data),
                ..snapshot.clone()
            },
            offset: 0,
            sent: None,
        }
    }
}
