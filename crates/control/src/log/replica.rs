//! The replica: its state, its timers and the dispatch of inputs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Body, Members, Message};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::durable::PendingJob;
use super::election::Candidacy;
use super::entries::MemoryLog;
use super::found::Formation;
use super::io::{
    HardState, Input, Options, Output, RecoveredState, Refusal, ReplicaStatus, Snapshot, Write,
};
use super::leader::Leader;
use super::leave::Leave;
use super::quorum::Losses;
use super::replication::IncomingSnapshot;
use super::restart::RestartElection;

/// One replica of the log.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(super) options: Options,
    pub(super) id: Id,
    pub(super) address: SocketAddr,
    pub(super) hard_state: HardState,
    pub(super) log: MemoryLog,
    pub(super) commit_index: Index,
    pub(super) applied_index: Index,
    /// Index of a record that can't be applied; see [`super::halt`].
    pub(super) halted_at: Option<Index>,
    /// Last index of its log that is durable.
    pub(super) durable_index: Index,
    /// On a follower: the last index known to match the current leader's log.
    pub(super) verified_index: Index,
    /// On a follower: the last round received from the current leader.
    pub(super) last_round: u64,
    pub(super) role: Role,
    pub(super) leader: Option<Id>,
    /// When the last message from a leader arrived, or this replica started.
    pub(super) last_leader_contact: Instant,
    /// When this replica last stopped leading.
    pub(super) last_led: Instant,
    pub(super) election_deadline: Instant,
    pub(super) restart: RestartElection,
    pub(super) formation: Formation,
    /// Identities with a vote that are lost with their disks.
    pub(super) losses: Losses,
    /// Present once the process is about to stop.
    pub(super) leave: Option<Leave>,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    /// Term and token of each uncommitted proposal made at this replica.
    pub(super) proposal_tokens: BTreeMap<Index, (Term, u64)>,
    pub(super) snapshot_index: Index,
    /// On a leader: a snapshot for members that lack records before the log's base.
    pub(super) cached_snapshot: Option<Snapshot>,
    pub(super) snapshot_requested: bool,
    /// Bytes of records applied since the last snapshot.
    pub(super) applied_bytes: usize,
    /// Address from which each replica last sent a message.
    last_addresses: BTreeMap<Id, SocketAddr>,
    /// Addresses already reported as the source of a duplicate identity.
    reported_duplicates: BTreeSet<SocketAddr>,
    /// Whether it had a quorum at the last tick.
    had_quorum: bool,
    /// See [`Self::has_caught_up`].
    pub(super) caught_up: bool,
    pub(super) pending_writes: Vec<Write>,
    pub(super) last_issued_job: u64,
    pub(super) last_durable_job: u64,
    pub(super) pending_jobs: VecDeque<PendingJob>,
    /// Messages held back until the given job is durable.
    pub(super) held_messages: VecDeque<(u64, Id, Body)>,
    stop_reason: Option<String>,
    pub(super) rng: ChaCha8Rng,
}

/// Role of a replica.
#[derive(Clone, Debug)]
pub(super) enum Role {
    /// Belongs to no cluster.
    Unattached,
    /// Follows a leader or waits for one.
    Follower,
    /// Requests votes, or pre-votes.
    Candidate(Candidacy),
    /// Leads.
    Leader(Box<Leader>),
}

impl Replica {
    /// Creates a replica from the recovered content of its data folder.
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
        let mut log = MemoryLog::new((base.0, base.1), base.2);
        for record in recovered.records {
            log.append(record);
        }
        let role = match recovered.hard_state.cluster {
            0 => Role::Unattached,
            _ => Role::Follower,
        };
        if recovered.truncated_bytes > 0 {
            let detail = format!("{} bytes", recovered.truncated_bytes);
            out.push(Output::Event(Event::new(Code::LogCut, detail)));
        }
        out.extend(recovered.snapshot.map(Output::RestoreSnapshot));
        // The identity makes replicas with the same seed draw different timeouts.
        let mut seed = [0; 32];
        seed[..8].copy_from_slice(&options.timeout_seed.to_le_bytes());
        seed[8..16].copy_from_slice(&recovered.replica.0.to_le_bytes());
        let mut replica = Self {
            id: recovered.replica,
            address,
            hard_state: recovered.hard_state,
            commit_index: base.0,
            applied_index: base.0,
            halted_at: None,
            durable_index: log.last_index(),
            verified_index: Index(0),
            last_round: 0,
            snapshot_index: base.0,
            log,
            role,
            leader: None,
            last_leader_contact: now,
            last_led: now,
            election_deadline: now,
            restart: RestartElection::new(now),
            formation: Formation::default(),
            losses: Losses::default(),
            leave: None,
            incoming_snapshot: None,
            proposal_tokens: BTreeMap::new(),
            cached_snapshot: None,
            snapshot_requested: false,
            applied_bytes: 0,
            last_addresses: BTreeMap::new(),
            reported_duplicates: BTreeSet::new(),
            had_quorum: false,
            caught_up: false,
            pending_writes: Vec::new(),
            last_issued_job: 0,
            last_durable_job: 0,
            pending_jobs: VecDeque::new(),
            held_messages: VecDeque::new(),
            stop_reason: None,
            rng: ChaCha8Rng::from_seed(seed),
            options,
        };
        replica.reset_election_timeout(now);
        if replica.is_only_voter() {
            replica.election_deadline = now;
        }
        replica.form_at_first_start(now, out);
        replica
    }

    /// Handles an input at `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        if self.stop_reason.is_some() {
            self.refuse_after_stop(&input, out);
            return;
        }
        match input {
            Input::Message { from, message } => self.handle_message(now, from, message, out),
            Input::Persisted { job } => self.handle_persisted(now, job, out),
            Input::DiskFailed { problem } => {
                self.stop_on_disk_failure(problem, out);
                return;
            }
            Input::Propose { token, command } => self.propose(token, command, out),
            Input::ChangeMembers { token, change } => self.change_members(now, token, change, out),
            Input::ReadIndex { query_number } => self.request_read_index(query_number, out),
            Input::ApplyFailed { index, problem } => self.halt(now, index, &problem, out),
            Input::Snapshot { data } => self.handle_snapshot(data, out),
            Input::Leave => self.begin_leave(now, out),
            Input::Tick => {}
        }
        self.tick(now, out);
        self.send_due_messages(now, out);
        self.issue_job(now, out);
    }

    /// When the replica next needs [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        if self.stop_reason.is_some() {
            return Instant::NEVER;
        }
        let next_step = match &self.role {
            Role::Unattached => self.formation.next_hello,
            Role::Leader(leader) => leader.next_round_at,
            _ if self.is_voter() => self
                .election_deadline
                .min(self.next_hello_without_leader())
                .min(self.next_restart_request()),
            _ if self.had_quorum => self.last_leader_contact + self.options.election_timeout_max,
            _ => self.next_hello_without_leader(),
        };
        next_step.min(self.next_leave_request())
    }

    /// Whether this replica has stopped because of a failure.
    pub(super) fn is_stopped(&self) -> bool {
        self.stop_reason.is_some()
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_)) && self.stop_reason.is_none()
    }

    /// Address of the leader, if it is known.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        self.leader.and_then(|leader| self.address_of(leader))
    }

    /// Highest term that this replica has seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// This replica's identity.
    pub fn id(&self) -> Id {
        self.id
    }

    /// The last index handed out by [`Output::Apply`].
    pub fn applied_index(&self) -> Index {
        self.applied_index
    }

    /// Members by the latest membership record, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Addresses of the other members.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.member_addresses();
        addresses.retain(|address| *address != self.address);
        addresses
    }

    /// Addresses of all members.
    pub fn member_addresses(&self) -> Vec<SocketAddr> {
        let members = self.log.members().all();
        members.map(|(_, address)| address).collect()
    }

    /// Whether this replica leads with a quorum, or has recent contact with a leader.
    pub fn has_quorum(&self, now: Instant) -> bool {
        if self.stop_reason.is_some() {
            return false;
        }
        match &self.role {
            Role::Leader(leader) => now < self.quorum_deadline(leader),
            Role::Follower => {
                self.leader.is_some()
                    && now.since(self.last_leader_contact) < self.options.election_timeout_max
            }
            _ => false,
        }
    }

    /// Whether all records committed before this replica started, or before its last election, have
    /// been applied.
    ///
    /// Only a commit index at a record of the leader's own term is known to cover all earlier
    /// terms; a lower one doesn't show how far a restarted replica is behind.
    pub fn has_caught_up(&self) -> bool {
        self.caught_up && !self.is_halted()
    }

    /// Whether the leader lease holds: no other replica can have been elected, provided that clock
    /// drift stays within [`Options::clock_drift_max`] and the process has not been suspended since
    /// `now` was read.
    ///
    /// Decisions that must not rest on these assumptions use [`Input::ReadIndex`], which reads no
    /// clock.
    pub fn holds_lease(&self, now: Instant) -> bool {
        match &self.role {
            Role::Leader(leader) => {
                let lease = self.options.election_timeout_min;
                let drift = lease.mul_f64(self.options.clock_drift_max.fraction());
                now < self.quorum_contact(leader) + lease.saturating_sub(drift)
            }
            _ => false,
        }
    }

    /// Status of the replica, for operators.
    pub fn status(&self, now: Instant) -> ReplicaStatus {
        let match_indexes = match &self.role {
            Role::Leader(leader) => leader.match_indexes(),
            _ => BTreeMap::new(),
        };
        ReplicaStatus {
            replica: self.id,
            cluster: self.hard_state.cluster,
            commit_index: self.commit_index,
            last_index: self.log.last_index(),
            snapshot_index: self.snapshot_index,
            members: self.log.members().clone(),
            match_indexes,
            unattached: self.formation.unattached(now),
            stop_reason: self.stop_reason.clone(),
        }
    }

    fn handle_message(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        if let Body::Hello { .. } = message.body {
            self.handle_hello(now, message, out);
            return;
        }
        if message.to != self.id || message.from == self.id || message.cluster == 0 {
            return;
        }
        if self.hard_state.cluster == 0 && !self.join_cluster(now, &message) {
            return;
        }
        if message.cluster != self.hard_state.cluster
            || self.is_duplicate_identity(&message, from, out)
        {
            return;
        }
        self.last_addresses.insert(message.from, from);
        match message.body {
            Body::RequestVote { .. } => self.handle_vote_request(now, &message, out),
            Body::VoteResponse { .. } => self.handle_vote_response(now, &message, out),
            Body::Append { .. } | Body::InstallSnapshot { .. } => {
                self.handle_leader_message(now, message, out)
            }
            Body::AppendResponse { .. } | Body::InstallProgress { .. } => {
                self.handle_follower_response(now, &message, out);
            }
            Body::ReadIndex { query_number } => self.enqueue_read_index(message.from, query_number),
            Body::ReadIndexResponse {
                query_number,
                index,
            } => {
                out.push(Output::ReadIndexConfirmed {
                    query_number,
                    index,
                });
            }
            Body::Leave => self.handle_leave(now, message.from, out),
            Body::LeaveResponse { released } => self.handle_leave_response(now, released, out),
            Body::Hello { .. } => {}
        }
    }

    /// Whether the sender uses the identity of a member at another address, as a process with a
    /// copied data folder does.
    fn is_duplicate_identity(
        &mut self,
        message: &Message,
        from: SocketAddr,
        out: &mut Vec<Output>,
    ) -> bool {
        let member_address = self.log.members().address(message.from);
        if member_address.is_none_or(|address| address == from) {
            return false;
        }
        if self.reported_duplicates.insert(from) {
            let detail = format!(
                "{from} uses the identity of replica {}, a member at another address; \
                 empty its data folder and add it as a new replica",
                message.from
            );
            out.push(Output::Event(Event::new(Code::InputRefused, detail)));
        }
        true
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        match &self.role {
            Role::Unattached => self.tick_unattached(now, out),
            Role::Leader(_) => {
                self.tick_leader(now, out);
                self.adjust_members(now);
                self.tick_halted_leader(now, out);
            }
            _ => {
                self.tick_without_leader(now, out);
                if self.is_voter() && now >= self.election_deadline {
                    // With pending writes its vote for itself would have to wait.
                    if self.is_all_durable() {
                        self.start_pre_vote(now, out);
                    } else {
                        self.reset_election_timeout(now);
                    }
                }
                self.request_restart_votes(now, out);
            }
        }
        self.tick_leave(now, out);
        let has_quorum = self.has_quorum(now);
        if self.had_quorum && !has_quorum {
            let detail = format!("term {}", self.hard_state.term);
            out.push(Output::Event(Event::new(Code::QuorumLost, detail)));
        }
        self.had_quorum = has_quorum;
    }

    /// Refuses proposals after a disk failure.
    fn refuse_after_stop(&self, input: &Input, out: &mut Vec<Output>) {
        let (Input::Propose { token, .. } | Input::ChangeMembers { token, .. }) = input else {
            return;
        };
        out.push(Output::Refused {
            token: *token,
            refusal: Refusal::NotLeader,
        });
    }

    fn stop_on_disk_failure(&mut self, problem: String, out: &mut Vec<Output>) {
        out.push(Output::Event(Event::new(Code::DiskFailed, problem.clone())));
        self.abandon_proposals(out);
        self.role = Role::Follower;
        self.leader = None;
        self.held_messages.clear();
        self.stop_reason = Some(problem);
    }

    /// Reports the outcome of all uncommitted proposals as unknown.
    pub(super) fn abandon_proposals(&mut self, out: &mut Vec<Output>) {
        for (_, (_, token)) in std::mem::take(&mut self.proposal_tokens) {
            out.push(Output::OutcomeUnknown { token });
        }
    }

    /// Becomes a follower, and enters `term` if it is newer.
    pub(super) fn become_follower(
        &mut self,
        now: Instant,
        term: Term,
        leader: Option<Id>,
        out: &mut Vec<Output>,
    ) {
        if term > self.hard_state.term {
            self.enter_term(term, None);
        }
        if let Role::Leader(_) = self.role {
            let detail = format!("term {}", self.hard_state.term);
            out.push(Output::Event(Event::new(Code::LeaderLost, detail)));
            self.abandon_proposals(out);
            self.reset_election_timeout(now);
            self.last_led = now;
        }
        if leader.is_some() {
            self.leader = leader;
        } else if matches!(self.role, Role::Leader(_)) {
            self.leader = None;
        }
        self.role = Role::Follower;
    }

    /// Enters a newer term and discards what was learnt from the leader of an earlier one.
    pub(super) fn enter_term(&mut self, term: Term, vote: Option<Id>) {
        self.hard_state.term = term;
        self.hard_state.vote = vote;
        self.persist_hard_state();
        self.leader = None;
        self.verified_index = Index(0);
        self.last_round = 0;
        self.incoming_snapshot = None;
    }

    /// Whether this replica has a vote by the latest membership record.
    pub(super) fn is_voter(&self) -> bool {
        self.hard_state.cluster != 0 && self.log.members().has_vote(self.id)
    }

    pub(super) fn is_only_voter(&self) -> bool {
        self.is_voter() && self.log.members().electorate().count() == 1
    }

    pub(super) fn address_of(&self, id: Id) -> Option<SocketAddr> {
        if id == self.id {
            return Some(self.address);
        }
        let member = self.log.members().address(id);
        member.or_else(|| self.last_addresses.get(&id).copied())
    }

    /// Sends a message in the current term without waiting for pending writes.
    pub(super) fn send(&self, to: Id, body: Body, out: &mut Vec<Output>) {
        self.send_in_term(self.hard_state.term, to, body, out);
    }

    /// Sends a message with the given term; pre-votes carry the next term instead of the current one.
    pub(super) fn send_in_term(&self, term: Term, to: Id, body: Body, out: &mut Vec<Output>) {
        let Some(address) = self.address_of(to) else {
            return;
        };
        let message = Message {
            cluster: self.hard_state.cluster,
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
