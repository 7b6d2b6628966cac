//! The replica: its state, its clock and the messages that it takes in.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Body, Members, Message};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::durable::Mark;
use super::entries::Entries;
use super::found::Founding;
use super::io::{
    HardState, Input, Options, Output, RecoveredState, Refusal, ReplicaStatus, Snapshot, Write,
};
use super::leader::Leader;
use super::replication::Incoming;

/// One replica of the log.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(super) options: Options,
    pub(super) id: Id,
    pub(super) address: SocketAddr,
    pub(super) hard: HardState,
    pub(super) log: Entries,
    pub(super) commit: Index,
    pub(super) applied: Index,
    pub(super) durable: Index,
    /// On a follower: the last position known to match the present leader's log.
    pub(super) verified: Index,
    /// On a follower: the last round heard from the present leader.
    pub(super) round: u64,
    pub(super) role: Role,
    pub(super) leader: Option<Id>,
    /// When a leader was last heard, or this replica started.
    pub(super) heard: Instant,
    pub(super) election_at: Instant,
    pub(super) founding: Founding,
    pub(super) incoming: Option<Incoming>,
    pub(super) tokens: BTreeMap<Index, (Term, u64)>,
    pub(super) snapshot: Index,
    pub(super) snapshot_cache: Option<Snapshot>,
    pub(super) snapshot_wanted: bool,
    pub(super) applied_bytes: usize,
    addresses: BTreeMap<Id, SocketAddr>,
    impostors: BTreeSet<SocketAddr>,
    quorum_seen: bool,
    pub(super) caught_up: bool,
    pub(super) writes: Vec<Write>,
    pub(super) issued: u64,
    pub(super) done: u64,
    pub(super) marks: VecDeque<Mark>,
    pub(super) held: VecDeque<(u64, Id, Body)>,
    stopped: Option<String>,
    rng: ChaCha8Rng,
}

/// What a replica does at present.
#[derive(Clone, Debug)]
pub(super) enum Role {
    /// Belongs to no cluster.
    Blank,
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks for votes; with `pre`, only whether it would get them.
    Candidate { pre: bool, votes: BTreeSet<Id> },
    /// Leads.
    Leader(Box<Leader>),
}

impl Replica {
    /// A replica that continues from what its data folder holds.
    pub fn new(
        now: Instant,
        address: SocketAddr,
        recovered: RecoveredState,
        options: Options,
        out: &mut Vec<Output>,
    ) -> Self {
        let base = recovered.snapshot.as_ref();
        let base = base.map_or((Index(0), Term(0), Members::default()), |snapshot| {
            (snapshot.index, snapshot.term, snapshot.members.clone())
        });
        let mut log = Entries::new((base.0, base.1), base.2);
        for record in recovered.records {
            log.push(record);
        }
        let role = match recovered.hard.cluster {
            0 => Role::Blank,
            _ => Role::Follower,
        };
        if recovered.truncated_bytes > 0 {
            let detail = format!("{} bytes", recovered.truncated_bytes);
            out.push(Output::Event(Event::new(Code::LogCut, detail)));
        }
        out.extend(recovered.snapshot.map(Output::RestoreSnapshot));
        // Replicas with one seed between them still draw different timeouts.
        let mut seed = [0; 32];
        seed[..8].copy_from_slice(&options.timeout_seed.to_le_bytes());
        seed[8..16].copy_from_slice(&recovered.replica.0.to_le_bytes());
        let mut replica = Self {
            id: recovered.replica,
            address,
            hard: recovered.hard,
            commit: base.0,
            applied: base.0,
            durable: log.last(),
            verified: Index(0),
            round: 0,
            snapshot: base.0,
            log,
            role,
            leader: None,
            heard: now,
            election_at: now,
            founding: Founding::default(),
            incoming: None,
            tokens: BTreeMap::new(),
            snapshot_cache: None,
            snapshot_wanted: false,
            applied_bytes: 0,
            addresses: BTreeMap::new(),
            impostors: BTreeSet::new(),
            quorum_seen: false,
            caught_up: false,
            writes: Vec::new(),
            issued: 0,
            done: 0,
            marks: VecDeque::new(),
            held: VecDeque::new(),
            stopped: None,
            rng: ChaCha8Rng::from_seed(seed),
            options,
        };
        replica.delay_election(now);
        if replica.is_only_voter() {
            replica.election_at = now;
        }
        replica
    }

    /// Takes in what happened at `now` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        if self.stopped.is_some() {
            self.refuse(&input, out);
            return;
        }
        match input {
            Input::Message { from, message } => self.take(now, from, message, out),
            Input::Persisted { job } => self.take_persisted(now, job, out),
            Input::DiskFailed { problem } => {
                self.stop(problem, out);
                return;
            }
            Input::Propose { token, command } => self.propose(token, command, out),
            Input::ChangeMembers { token, change } => self.change_members(now, token, change, out),
            Input::ReadIndex {
                query_number: question,
            } => self.ask_confirm(question, out),
            Input::Snapshot { data } => self.take_snapshot(data, out),
            Input::Tick => {}
        }
        self.tick(now, out);
        self.flush(now, out);
        self.finish(out);
    }

    /// When the replica next needs [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        if self.stopped.is_some() {
            return Instant::NEVER;
        }
        match &self.role {
            Role::Blank => self.founding.next_hello,
            Role::Leader(leader) => leader.next_round,
            _ if self.is_voter() => self.election_at.min(self.next_greeting()),
            _ if self.quorum_seen => self.heard + self.options.election_timeout_max,
            _ => self.next_greeting(),
        }
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_)) && self.stopped.is_none()
    }

    /// Where the leader takes messages, as far as this replica knows.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        self.leader.and_then(|leader| self.address_of(leader))
    }

    /// The newest term known.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// This replica's identity.
    pub fn id(&self) -> Id {
        self.id
    }

    /// The last position handed out to apply.
    pub fn applied_index(&self) -> Index {
        self.applied
    }

    /// The present members.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Where the other members take messages.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.member_addresses();
        addresses.retain(|address| *address != self.address);
        addresses
    }

    /// Where all members take messages.
    pub fn member_addresses(&self) -> Vec<SocketAddr> {
        let members = self.log.members();
        let all = members.voters.values().chain(members.learners.values());
        all.copied().collect()
    }

    /// Whether a leader with a quorum was heard lately, or this replica is one.
    pub fn has_quorum(&self, now: Instant) -> bool {
        if self.stopped.is_some() {
            return false;
        }
        match &self.role {
            Role::Leader(leader) => now < self.quorum_until(leader),
            Role::Follower => {
                self.leader.is_some() && now.since(self.heard) < self.options.election_timeout_max
            }
            _ => false,
        }
    }

    /// Whether everything committed before this replica started, or before it last was elected, has
    /// been applied.
    ///
    /// A leader's commit position covers all earlier terms once it holds a record of its own term, so
    /// nothing less from a leader shows how far a restarted replica is behind.
    pub fn has_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Whether no other replica can have been elected, if clocks drift no more than the options say
    /// and this process was not frozen since `now` was read.
    ///
    /// What must hold even then is confirmed by [`Input::ReadIndex`], which reads no clock.
    pub fn holds_lease(&self, now: Instant) -> bool {
        match &self.role {
            Role::Leader(leader) => {
                let span = self.options.election_timeout_min;
                let lost = span.mul_f64(self.options.clock_drift_max.fraction());
                now < self.quorum_heard(leader) + span.saturating_sub(lost)
            }
            _ => false,
        }
    }

    /// The replica's view of the log, for operators.
    pub fn status(&self, now: Instant) -> ReplicaStatus {
        let matched = match &self.role {
            Role::Leader(leader) => leader.matched(),
            _ => BTreeMap::new(),
        };
        ReplicaStatus {
            replica: self.id,
            cluster: self.hard.cluster,
            commit_index: self.commit,
            last_index: self.log.last(),
            snapshot_index: self.snapshot,
            members: self.log.members().clone(),
            match_indexes: matched,
            unattached: self.founding.waiting(now),
            stop_reason: self.stopped.clone(),
        }
    }

    fn take(&mut self, now: Instant, from: SocketAddr, message: Message, out: &mut Vec<Output>) {
        if let Body::Hello { .. } = message.body {
            self.take_hello(now, message, out);
            return;
        }
        if message.to != self.id || message.from == self.id || message.cluster == 0 {
            return;
        }
        if self.hard.cluster == 0 && !self.adopt(now, &message) {
            return;
        }
        if message.cluster != self.hard.cluster || self.is_impostor(&message, from, out) {
            return;
        }
        self.addresses.insert(message.from, from);
        match message.body {
            Body::RequestVote { .. } => self.take_vote(now, &message, out),
            Body::VoteResponse { .. } => self.take_voted(now, &message, out),
            Body::Append { .. } | Body::InstallSnapshot { .. } => {
                self.take_leader(now, message, out)
            }
            Body::AppendResponse { .. } | Body::InstallProgress { .. } => {
                self.take_follower(now, &message, out);
            }
            Body::ReadIndex { query_number } => self.take_confirm(message.from, query_number),
            Body::ReadIndexResponse {
                query_number,
                index,
            } => {
                out.push(Output::ReadIndexConfirmed {
                    query_number,
                    index,
                });
            }
            Body::Hello { .. } => {}
        }
    }

    /// Whether a message comes from another address than the member of that identity has: a copied
    /// data folder.
    fn is_impostor(&mut self, message: &Message, from: SocketAddr, out: &mut Vec<Output>) -> bool {
        let known = self.log.members().address(message.from);
        if known.is_none_or(|address| address == from) {
            return false;
        }
        if self.impostors.insert(from) {
            let detail = format!(
                "{from} speaks as replica {}, a member at another address; \
                 empty its data folder and add it as a new replica",
                message.from
            );
            out.push(Output::Event(Event::new(Code::InputRefused, detail)));
        }
        true
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        match &self.role {
            Role::Blank => self.tick_founding(now, out),
            Role::Leader(_) => {
                self.tick_leader(now, out);
                self.keep_members(now);
            }
            _ => {
                self.tick_unheard(now, out);
                if self.is_voter() && now >= self.election_at {
                    self.sound_out(now, out);
                }
            }
        }
        let quorum = self.has_quorum(now);
        if self.quorum_seen && !quorum {
            let detail = format!("term {}", self.hard.term);
            out.push(Output::Event(Event::new(Code::QuorumLost, detail)));
        }
        self.quorum_seen = quorum;
    }

    /// Answers what can't be taken in after the disk failed.
    fn refuse(&self, input: &Input, out: &mut Vec<Output>) {
        let (Input::Propose { token, .. } | Input::ChangeMembers { token, .. }) = input else {
            return;
        };
        out.push(Output::Refused {
            token: *token,
            refusal: Refusal::NotLeader,
        });
    }

    fn stop(&mut self, problem: String, out: &mut Vec<Output>) {
        out.push(Output::Event(Event::new(Code::DiskFailed, problem.clone())));
        self.abandon(out);
        self.role = Role::Follower;
        self.leader = None;
        self.held.clear();
        self.stopped = Some(problem);
    }

    /// Gives up the proposals in flight.
    pub(super) fn abandon(&mut self, out: &mut Vec<Output>) {
        for (_, (_, token)) in std::mem::take(&mut self.tokens) {
            out.push(Output::OutcomeUnknown { token });
        }
    }

    /// Goes on as a follower, in a newer term if `term` is one.
    pub(super) fn follow(
        &mut self,
        now: Instant,
        term: Term,
        leader: Option<Id>,
        out: &mut Vec<Output>,
    ) {
        if term > self.hard.term {
            self.enter_term(term, None);
        }
        if let Role::Leader(_) = self.role {
            let detail = format!("term {}", self.hard.term);
            out.push(Output::Event(Event::new(Code::LeaderLost, detail)));
            self.abandon(out);
            self.delay_election(now);
        }
        if leader.is_some() {
            self.leader = leader;
        } else if matches!(self.role, Role::Leader(_)) {
            self.leader = None;
        }
        self.role = Role::Follower;
    }

    /// Goes over to a newer term, in which nothing of an earlier leader's word holds.
    pub(super) fn enter_term(&mut self, term: Term, vote: Option<Id>) {
        self.hard.term = term;
        self.hard.vote = vote;
        self.write_hard();
        self.leader = None;
        self.verified = Index(0);
        self.round = 0;
        self.incoming = None;
    }

    /// Draws the time of the next election.
    pub(super) fn delay_election(&mut self, now: Instant) {
        let least = self.options.election_timeout_min.as_micros() as u64;
        let most = (self.options.election_timeout_max.as_micros() as u64).max(least + 1);
        let span = self.rng.random_range(least..most);
        self.election_at = now + Duration::from_micros(span);
    }

    /// Whether this replica votes, by the newest members it holds.
    pub(super) fn is_voter(&self) -> bool {
        self.hard.cluster != 0 && self.log.members().voters.contains_key(&self.id)
    }

    pub(super) fn is_only_voter(&self) -> bool {
        self.is_voter() && self.log.members().voters.len() == 1
    }

    pub(super) fn address_of(&self, id: Id) -> Option<SocketAddr> {
        if id == self.id {
            return Some(self.address);
        }
        let member = self.log.members().address(id);
        member.or_else(|| self.addresses.get(&id).copied())
    }

    /// Sends a message at once.
    pub(super) fn send(&self, to: Id, body: Body, out: &mut Vec<Output>) {
        self.send_in(self.hard.term, to, body, out);
    }

    /// Sends a message in another term than the present one.
    pub(super) fn send_in(&self, term: Term, to: Id, body: Body, out: &mut Vec<Output>) {
        let Some(address) = self.address_of(to) else {
            return;
        };
        let message = Message {
            cluster: self.hard.cluster,
            from: self.id,
            to,
            term,
            body,
        };
        out.push(Output::Send {
            to: address,
            message,
        });
    }
}
