//! Leadership: heartbeat rounds, commits and read queries.
//!
//! Each heartbeat starts a numbered round, and responses carry its number. The start of the latest
//! round that a majority has responded to is the time of the leader's last contact with a quorum,
//! on which its lease and its stepping down depend.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Index, Replica as Id};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Body, Members, Message, Payload, Record};

use super::io::{Output, Refusal, Snapshot};
use super::quorum::{self, Losses};
use super::replica::{Replica, Role};

/// Rounds whose start is kept; a response to an older one doesn't count as contact.
const ROUND_STARTS_MAX: usize = 256;

/// Heartbeat intervals without an input after which a leader has been suspended or starved: it ticks once in
/// each.
const PAUSE_INTERVALS: u32 = 2;

/// Read queries that may wait for a round.
const READ_QUERIES_MAX: usize = 4096;

/// State of a leader.
#[derive(Clone, Debug)]
pub struct Leader {
    /// Index of the first record of its term.
    pub first_index: Index,
    /// When the next round is due.
    pub next_round_at: Instant,
    pub(super) id: Id,
    pub(super) peers: BTreeMap<Id, Peer>,
    pub(super) round: u64,
    pub(super) elected_at: Instant,
    /// Last contact with the earlier leader, or when this replica last led.
    earlier_contact: Instant,
    /// When it last handled an input.
    last_input: Instant,
    /// When its last pause ended.
    resumed_at: Instant,
    /// When each member whose process is about to stop last said so.
    pub(super) leaving: BTreeMap<Id, Instant>,
    /// Numbers and starts of the latest rounds.
    round_starts: VecDeque<(u64, Instant)>,
    read_queries: Vec<ReadQuery>,
}

/// Replication progress of another member.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Index of the next record to send.
    pub next_index: Index,
    /// Last index that the member is known to hold durably.
    pub match_index: Index,
    /// Whether the member's log is not yet known to match before `next_index`.
    pub probing: bool,
    /// Last index of each unacknowledged message with records.
    pub in_flight: VecDeque<Index>,
    /// Snapshot transfer in progress.
    pub transfer: Option<SnapshotTransfer>,
    /// Whether no message of the current round has been sent to it.
    pub heartbeat_due: bool,
    /// Last round that the member responded to.
    last_round: u64,
    /// Start of the latest round that the member responded to.
    last_response: Option<Instant>,
    /// When the leader began to replicate to it.
    added_at: Instant,
    /// Whether its build knows settled members, by its last response.
    knows_settled: Option<bool>,
}

/// Snapshot transfer to a member.
#[derive(Clone, Debug)]
pub struct SnapshotTransfer {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Offset of the next part, in bytes.
    pub offset: usize,
    /// When the part was sent; `None` if it is due.
    pub sent_at: Option<Instant>,
}

/// Read query that waits for a quorum to confirm this leader.
#[derive(Clone, Debug)]
struct ReadQuery {
    number: u64,
    origin: Id,
    /// The first round that started after the commit index was known, and that index; none until the
    /// leader has committed a record of its own term.
    target: Option<(u64, Index)>,
}

impl Peer {
    fn new(now: Instant, next_index: Index) -> Self {
        Self {
            added_at: now,
            next_index,
            match_index: Index(0),
            probing: true,
            in_flight: VecDeque::new(),
            transfer: None,
            heartbeat_due: true,
            last_round: 0,
            last_response: None,
            knows_settled: None,
        }
    }
}

impl Leader {
    /// State of a new leader, whose first record will be at `first_index`.
    pub fn new(
        now: Instant,
        id: Id,
        members: &Members,
        first_index: Index,
        earlier_contact: Instant,
    ) -> Self {
        let mut leader = Self {
            first_index,
            next_round_at: now,
            id,
            peers: BTreeMap::new(),
            round: 0,
            elected_at: now,
            earlier_contact,
            last_input: now,
            resumed_at: now,
            leaving: BTreeMap::new(),
            round_starts: VecDeque::new(),
            read_queries: Vec::new(),
        };
        leader.sync_peers(now, members, first_index);
        leader
    }

    /// Adds and removes peers to match the members; a new peer starts at `next_index`.
    fn sync_peers(&mut self, now: Instant, members: &Members, next_index: Index) {
        let id = self.id;
        self.peers
            .retain(|peer, _| members.address(*peer).is_some());
        for (peer, _) in members.all() {
            if peer != id {
                self.peers
                    .entry(peer)
                    .or_insert_with(|| Peer::new(now, next_index));
            }
        }
    }

    /// Last index that a member is known to hold durably.
    pub fn match_index(&self, id: Id) -> Index {
        self.peers
            .get(&id)
            .map_or(Index(0), |peer| peer.match_index)
    }

    /// Time since the start of the latest round that a member responded to, or since it became a
    /// peer of this leader.
    pub fn time_since_response(&self, now: Instant, id: Id) -> Duration {
        let peer = self.peers.get(&id);
        let since = peer.map(|peer| peer.last_response.unwrap_or(peer.added_at));
        now.since(since.unwrap_or(self.elected_at))
    }

    /// Whether a voter has been silent for `silence`. One that has not responded to this leader yet counts as
    /// silent from the last contact with the earlier leader on, so that elections don't prolong the wait,
    /// but has half of the time to respond.
    pub fn is_silent(&self, now: Instant, id: Id, silence: Duration) -> bool {
        let responded =
            |peer: &Peer| peer.last_response.is_some() || peer.added_at > self.elected_at;
        match self.peers.get(&id).is_some_and(responded) {
            true => self.time_since_response(now, id) >= silence,
            false => {
                now.since(self.elected_at) >= silence / 2
                    && now.since(self.earlier_contact) >= silence
            }
        }
    }

    /// Last index that each member is known to hold durably.
    pub fn match_indexes(&self) -> BTreeMap<Id, Index> {
        let peers = self.peers.iter();
        peers.map(|(id, peer)| (*id, peer.match_index)).collect()
    }

    fn start_round(&mut self, now: Instant, next_round_at: Instant) {
        self.round += 1;
        self.next_round_at = next_round_at;
        self.round_starts.push_back((self.round, now));
        if self.round_starts.len() > ROUND_STARTS_MAX {
            self.round_starts.pop_front();
        }
        for peer in self.peers.values_mut() {
            peer.heartbeat_due = true;
        }
    }

    /// Records that a member responded to a round.
    fn record_response(&mut self, id: Id, round: u64) {
        let start = self
            .round_starts
            .iter()
            .find(|(number, _)| *number == round);
        let Some(peer) = self.peers.get_mut(&id) else {
            return;
        };
        if let Some((_, start)) = start {
            peer.last_round = peer.last_round.max(round);
            peer.last_response = peer.last_response.max(Some(*start));
        }
    }

    /// Greatest value that a quorum of the voters has reached; `leader_value` is the value of the
    /// leader itself.
    fn quorum_value<T: Ord + Copy>(
        &self,
        members: &Members,
        losses: &Losses,
        leader_value: T,
        value_of: impl Fn(&Peer) -> T,
    ) -> Option<T> {
        let value = |id: Id| match self.peers.get(&id) {
            Some(peer) => Some(value_of(peer)),
            None => (id == self.id).then_some(leader_value),
        };
        let known_since = losses.known_since();
        let is_fresh = |peer: &Peer| peer.last_response.is_some_and(|start| start > known_since);
        let fresh_value = |id: Id| match self.peers.get(&id) {
            Some(peer) => is_fresh(peer).then(|| value_of(peer)),
            None => (id == self.id).then_some(leader_value),
        };
        quorum::reached(members, losses, value, fresh_value)
    }

    /// Whether a member's last response shows that its build knows settled members; `None` if it has not
    /// responded.
    pub fn knows_settled(&self, id: Id) -> Option<bool> {
        if id == self.id {
            return Some(true);
        }
        self.peers.get(&id).and_then(|peer| peer.knows_settled)
    }
}

impl Replica {
    /// Start of the latest round that a majority has responded to. Every voter of that majority
    /// accepted this leader at that time or later.
    pub(super) fn quorum_contact(&self, leader: &Leader) -> Instant {
        let (members, losses) = (self.log.members(), &self.losses);
        let contact = leader.quorum_value(members, losses, Some(Instant::NEVER), |peer| {
            peer.last_response
        });
        contact.flatten().unwrap_or_default()
    }

    /// When this leader steps down unless a majority responds to a later round.
    pub(super) fn quorum_deadline(&self, leader: &Leader) -> Instant {
        self.quorum_contact(leader).max(leader.elected_at) + self.options.election_timeout_max
    }

    pub(super) fn tick_leader(&mut self, now: Instant, out: &mut Vec<Output>) {
        let pause = self.options.heartbeat_interval * PAUSE_INTERVALS;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if now.since(leader.last_input) >= pause {
            leader.resumed_at = now;
        }
        leader.last_input = now;
        // Responses that arrived during a pause of this process are still unhandled.
        let may_have_responses = now.since(leader.resumed_at) < pause;
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if now >= self.quorum_deadline(leader) && !may_have_responses {
            self.become_follower(now, self.hard_state.term, None, out);
            return;
        }
        if now < leader.next_round_at {
            return;
        }
        let next_round_at = now + self.options.heartbeat_interval;
        if let Role::Leader(leader) = &mut self.role {
            leader.start_round(now, next_round_at);
        }
    }

    /// Appends a command, if this replica leads.
    pub(super) fn propose(&mut self, token: u64, command: Vec<u8>, out: &mut Vec<Output>) {
        let uncommitted = (self.log.last_index() - self.commit_index).0 as usize;
        let refusal = match self.role {
            Role::Leader(_) if self.is_halted() => Refusal::Halted,
            Role::Leader(_) if uncommitted < self.options.uncommitted_records_max => {
                self.append_in_current_term(Some(token), Payload::Command(command));
                return;
            }
            Role::Leader(_) => Refusal::Overload,
            _ => Refusal::NotLeader,
        };
        out.push(Output::Refused { token, refusal });
    }

    /// Appends a record of the current term, for a proposal if `token` is given.
    pub(super) fn append_in_current_term(&mut self, token: Option<u64>, payload: Payload) {
        let (term, index) = (self.hard_state.term, self.log.last_index().next());
        if let Some(token) = token {
            self.proposal_tokens.insert(index, (term, token));
        }
        self.append(vec![Record {
            term,
            index,
            payload,
        }]);
    }

    /// Sends a read query to the leader, or queues it if this replica leads.
    pub(super) fn request_read_index(&mut self, query_number: u64, out: &mut Vec<Output>) {
        match (&self.role, self.leader) {
            (Role::Leader(_), _) => self.enqueue_read_index(self.id, query_number),
            (Role::Follower, Some(leader)) => {
                self.send(leader, Body::ReadIndex { query_number }, out);
            }
            _ => {}
        }
    }

    /// Queues a read query until a majority has responded to a round that starts after it.
    pub(super) fn enqueue_read_index(&mut self, origin: Id, query_number: u64) {
        let commit_index = self.commit_index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        // The oldest query is dropped; its origin repeats it.
        if leader.read_queries.len() >= READ_QUERIES_MAX {
            leader.read_queries.remove(0);
        }
        // Until a record of its own term is committed, a leader doesn't know the commit index.
        let knows_index = commit_index >= leader.first_index;
        leader.read_queries.push(ReadQuery {
            number: query_number,
            origin,
            target: knows_index.then_some((leader.round + 1, commit_index)),
        });
    }

    /// Handles a response from another member.
    pub(super) fn handle_follower_response(
        &mut self,
        now: Instant,
        message: &Message,
        out: &mut Vec<Output>,
    ) {
        self.adopt_newer_term(now, message.term, out);
        if message.term != self.hard_state.term {
            return;
        }
        let base_index = self.log.base_index();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        match message.body {
            Body::AppendResponse {
                matched,
                index,
                round,
                knows_settled,
            } => {
                leader.record_response(message.from, round);
                let Some(peer) = leader.peers.get_mut(&message.from) else {
                    return;
                };
                peer.knows_settled = Some(knows_settled);
                match matched {
                    true => peer.record_match(index),
                    false => peer.rewind(index),
                }
                let match_index = peer.match_index;
                let done = |transfer: &SnapshotTransfer| transfer.snapshot.index <= match_index;
                if peer.next_index > base_index || peer.transfer.as_ref().is_some_and(done) {
                    peer.transfer = None;
                }
            }
            Body::InstallProgress { offset, round } => {
                leader.record_response(message.from, round);
                let peer = leader.peers.get_mut(&message.from);
                // The response to a part that was sent twice must not send the next one twice as well.
                if let Some(transfer) = peer.and_then(|peer| peer.transfer.as_mut())
                    && transfer.offset != offset as usize
                {
                    transfer.offset = (offset as usize).min(transfer.snapshot.data.len());
                    transfer.sent_at = None;
                }
            }
            _ => {}
        }
        self.advance_commit(now, out);
    }

    /// Advances the commit index to the last index that a quorum holds durably, if the record
    /// there is of this leader's own term.
    pub(super) fn advance_commit(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let members = self.log.members();
        let (losses, durable_index) = (&self.losses, self.durable_index);
        let quorum_index =
            leader.quorum_value(members, losses, durable_index, |peer| peer.match_index);
        let index = quorum_index.unwrap_or_default();
        if index <= self.commit_index || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        let is_first_commit = self.commit_index < leader.first_index;
        let leads_for = now.since(leader.elected_at);
        self.commit_index = index;
        self.apply_committed(out);
        self.caught_up = true;
        if is_first_commit {
            let detail = format!("term {}", self.hard_state.term);
            let event = Event::new(Code::LeaderReady, detail).with_fact("after_ms", leads_for);
            out.push(Output::Event(event));
            self.set_read_targets();
        }

        // A removed leader steps down once the record of its removal is committed.
        if !self.is_voter() && self.log.members_index() <= self.commit_index {
            self.become_follower(now, self.hard_state.term, None, out);
        }
    }

    /// Gives the read queries that arrived before the first commit of this leader their index.
    fn set_read_targets(&mut self) {
        let commit_index = self.commit_index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let target = (leader.round + 1, commit_index);
        for query in &mut leader.read_queries {
            query.target.get_or_insert(target);
        }
    }

    /// Sends records, snapshots and heartbeats that are due, and responses to confirmed read
    /// queries.
    pub(super) fn send_due_messages(&mut self, now: Instant, out: &mut Vec<Output>) {
        let next_round_at = now + self.options.heartbeat_interval;
        let (next_index, members) = (self.log.last_index().next(), self.log.members().clone());
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.sync_peers(now, &members, next_index);
        let round = leader.round;
        let quorum_round =
            leader.quorum_value(&members, &self.losses, round, |peer| peer.last_round);
        let mut targets = leader.read_queries.iter().filter_map(|query| query.target);
        let round_needed = targets.any(|(round, _)| round > leader.round);
        // Queries don't start a round while an earlier one waits for its quorum.
        if round_needed && quorum_round == Some(leader.round) {
            leader.start_round(now, next_round_at);
        }
        let peers: Vec<Id> = leader.peers.keys().copied().collect();
        for peer in peers {
            self.replicate_to(now, peer, out);
        }
        self.respond_to_read_queries(&members, out);
        self.release_cached_snapshot();
    }

    /// Frees the cached snapshot once no member needs it.
    fn release_cached_snapshot(&mut self) {
        let base_index = self.log.base_index();
        let needed = match &self.role {
            Role::Leader(leader) => leader
                .peers
                .values()
                .any(|peer| peer.next_index <= base_index),
            _ => false,
        };
        if !needed {
            self.cached_snapshot = None;
        }
    }

    /// Responds to the read queries whose round a majority has responded to.
    fn respond_to_read_queries(&mut self, members: &Members, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.round;
        let quorum_round =
            leader.quorum_value(members, &self.losses, round, |peer| peer.last_round);
        let quorum_round = quorum_round.unwrap_or_default();
        let mut confirmed = Vec::new();
        leader.read_queries.retain(|query| match query.target {
            Some((round, index)) if round <= quorum_round => {
                confirmed.push((query.number, query.origin, index));
                false
            }
            _ => true,
        });
        for (query_number, origin, index) in confirmed {
            match origin == self.id {
                true => out.push(Output::ReadIndexConfirmed {
                    query_number,
                    index,
                }),
                false => self.send(
                    origin,
                    Body::ReadIndexResponse {
                        query_number,
                        index,
                    },
                    out,
                ),
            }
        }
    }
}

impl Peer {
    /// Records that the member holds all records up to `index` durably.
    fn record_match(&mut self, index: Index) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(index.next());
        self.probing = false;
        while self.in_flight.front().is_some_and(|last| *last <= index) {
            self.in_flight.pop_front();
        }
    }

    /// Moves back after a mismatch before `next_index`; the log may match up to `index`.
    fn rewind(&mut self, index: Index) {
        self.in_flight.clear();
        self.next_index = index
            .next()
            .min(self.next_index)
            .max(self.match_index.next());
        self.probing = true;
        self.heartbeat_due = true;
    }
}

impl SnapshotTransfer {
    /// A transfer that begins with the first part.
    pub fn new(snapshot: &Snapshot) -> Self {
        Self {
            snapshot: Snapshot {
                data: Arc::clone(&snapshot.data),
                ..snapshot.clone()
            },
            offset: 0,
            sent_at: None,
        }
    }
}
