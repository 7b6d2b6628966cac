//! Formation of a cluster, and unattached replicas, which belong to no cluster and look for one.
//!
//! The founders exchange `Hello` messages to learn each other's identities. A founder that knows
//! all of them, none of which belongs to a cluster, durably promises to form a cluster with exactly
//! these identities and never with others. It forms the cluster once all founders have made the
//! same promise. No replica promises twice, so at most one cluster is formed, even if a founder
//! loses its disk in between: its new identity is in no promise, and its old one can't complete the
//! formation.
//!
//! That takes all founders. If the deployment tells a process that its system starts for the first time, a
//! majority of the founders, which are then the seeds, is enough: their identities follow from their addresses
//! ([`founder_id`]), so each forms the same cluster by itself, and a majority of these identities elects a
//! leader as at any other time. A founder that restarts with an empty disk gets another identity, waits to be
//! added, and replaces its earlier one as after any loss of a disk. So no identity votes twice in a term, and
//! there is no second cluster.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire;
use eelgrassdyke_core::wire::log::{Body, FormationStage, Members, Message, Payload, Record};

use rand::RngExt as _;

use super::io::{HardState, Output};
use super::replica::{Replica, Role};

/// Time without a `Hello` after which an unattached replica or a founder is considered gone.
const HELLO_EXPIRY: Duration = Duration::from_secs(5);

/// Time without a leader after which a member assumes that it may have been removed.
const LEADERLESS_MAX: Duration = Duration::from_secs(2);

/// Most unattached replicas that are tracked.
const UNATTACHED_MAX: usize = 32;

/// Founders and unattached replicas from which a `Hello` has arrived.
#[derive(Clone, Debug, Default)]
pub struct Formation {
    /// When the next `Hello` messages are due.
    pub next_hello: Instant,
    founders: BTreeMap<SocketAddr, Founder>,
    /// Address and time of the last `Hello` of each unattached replica.
    unattached: BTreeMap<Id, (SocketAddr, Instant)>,
    /// Members of an existing cluster, as reported by one of them.
    cluster_members: BTreeSet<SocketAddr>,
    /// The number that shows that an answer to it was given later than `challenge_members` was known.
    challenge: u64,
    challenge_members: Members,
    /// The last challenge of each member.
    received_challenges: BTreeMap<SocketAddr, u64>,
    reported_problems: BTreeSet<String>,
}

#[derive(Clone, Debug)]
struct Founder {
    id: Id,
    stage: FormationStage,
    last_hello: Instant,
}

impl Formation {
    /// Unattached replicas that may be added, and their addresses.
    pub fn unattached(&self, now: Instant) -> BTreeMap<Id, SocketAddr> {
        let all = self.unattached.iter();
        let live = all.filter(|(_, (_, last_hello))| now.since(*last_hello) < HELLO_EXPIRY);
        live.map(|(id, (address, _))| (*id, *address)).collect()
    }

    /// The unattached replica at an address.
    pub fn unattached_at(&self, now: Instant, address: SocketAddr) -> Option<Id> {
        let mut live = self.unattached(now).into_iter();
        live.find(|(_, at)| *at == address).map(|(id, _)| id)
    }

    /// Address of an unattached replica.
    pub fn unattached_address(&self, now: Instant, id: Id) -> Option<SocketAddr> {
        let (address, last_hello) = self.unattached.get(&id)?;
        (now.since(*last_hello) < HELLO_EXPIRY).then_some(*address)
    }
}

/// Identifier of the cluster that `members` form: the first 64 bits of the SHA-256 of their
/// encoding, at least 1.
pub fn cluster_id(members: &Members) -> u64 {
    // The maps are ordered, so all replicas encode the same bytes; the types can't fail to encode.
    let digest = Sha256::of(&wire::encode(members).unwrap_or_default()).to_string();
    u64::from_str_radix(&digest[..16], 16)
        .unwrap_or_default()
        .max(1)
}

/// Identity of the founder at `address` at the first start of a system: the first 64 bits of the SHA-256 of its
/// address and those of all founders, at least 1.
///
/// A process may create its data folder with this identity only if no earlier process at this address can
/// have done so and lost the folder since: that process may have voted.
pub fn founder_id(address: SocketAddr, founders: &[SocketAddr]) -> Id {
    let founders: BTreeSet<_> = founders.iter().collect();
    let digest = Sha256::of(&wire::encode(&(address, founders)).unwrap_or_default()).to_string();
    let first = u64::from_str_radix(&digest[..16], 16).unwrap_or_default();
    Id(first.max(1))
}

impl Replica {
    /// Forms the cluster of the founders if this replica has the identity of one and has not done so before.
    pub(super) fn form_at_first_start(&mut self, now: Instant, out: &mut Vec<Output>) {
        let founders = &self.options.seed_addresses;
        if self.hard_state != HardState::default()
            || !founders.contains(&self.address)
            || self.id != founder_id(self.address, founders)
        {
            return;
        }
        let with_id = |address: &SocketAddr| (founder_id(*address, founders), *address);
        let members = Members {
            voters: founders.iter().map(with_id).collect(),
            ..Members::default()
        };
        self.form_cluster(now, members);
        self.issue_job(now, out);
    }

    /// Looks for the other founders or for a leader, and advances the formation of the cluster.
    pub(super) fn tick_unattached(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now >= self.formation.next_hello {
            self.formation.next_hello = now + self.options.hello_interval;
            self.send_hellos(out);
        }
        if self.hard_state.promise.is_none() {
            self.try_promise(now, out);
        }
        self.try_form(now);
    }

    /// Sends a `Hello` to all replicas that may know of a cluster.
    fn send_hellos(&mut self, out: &mut Vec<Output>) {
        let mut others: BTreeSet<SocketAddr> = self.formation.cluster_members.clone();
        others.extend(&self.options.founders);
        others.extend(&self.options.seed_addresses);
        others.extend(self.member_addresses());
        others.remove(&self.address);
        for to in others {
            self.send_hello(to, out);
        }
    }

    /// When a member without a leader next sends `Hello` messages.
    ///
    /// It may have been removed while it was unreachable, in which case no leader contacts it. So
    /// it announces itself to the members as a new replica does, until a leader adds it again.
    pub(super) fn next_hello_without_leader(&self) -> Instant {
        match self.options.manages_members {
            true => self
                .formation
                .next_hello
                .max(self.last_leader_contact + LEADERLESS_MAX),
            false => Instant::NEVER,
        }
    }

    /// Sends `Hello` messages to the other members when they are due.
    pub(super) fn tick_without_leader(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now >= self.next_hello_without_leader() {
            self.formation.next_hello = now + self.options.hello_interval;
            self.send_hellos(out);
        }
    }

    fn send_hello(&mut self, to: SocketAddr, out: &mut Vec<Output>) {
        let challenge = self.challenge();
        let stage = match &self.hard_state.promise {
            _ if self.hard_state.cluster != 0 => FormationStage::Formed(self.log.members().clone()),
            // A promise is announced only once it is durable.
            Some(members) if self.is_all_durable() => FormationStage::Promised(members.clone()),
            _ => FormationStage::Unformed,
        };
        let message = Message {
            cluster: self.hard_state.cluster,
            from: self.id,
            to: Id::default(),
            term: Term(0),
            body: Body::Hello {
                address: self.address,
                founders: self.options.founders.clone(),
                stage,
                challenge,
                answer: self
                    .formation
                    .received_challenges
                    .get(&to)
                    .copied()
                    .unwrap_or(0),
            },
        };
        out.push(Output::Send { to, message });
    }

    /// The challenge in a `Hello` of a member; 0 if this replica belongs to no cluster.
    fn challenge(&mut self) -> u64 {
        if self.hard_state.cluster == 0 {
            return 0;
        }
        if self.formation.challenge == 0 || self.formation.challenge_members != *self.log.members()
        {
            self.formation.challenge = self.rng.random_range(1..=u64::MAX);
            self.formation.challenge_members = self.log.members().clone();
        }
        self.formation.challenge
    }

    /// Records the loss of the voter at an address at which another identity has answered the challenge.
    fn record_loss(
        &mut self,
        now: Instant,
        (successor, address): (Id, SocketAddr),
        answer: u64,
        out: &mut Vec<Output>,
    ) {
        if answer == 0 || answer != self.challenge() {
            return;
        }
        self.losses.retain_electorate(self.log.members());
        let voters: Vec<_> = self.log.members().electorate().collect();
        for (voter, at) in voters {
            if at != address || [successor, self.id].contains(&voter) {
                continue;
            }
            if !self.losses.insert(now, voter) {
                continue;
            }
            let detail = format!("voter {voter} at {address} is lost with its disk");
            let event =
                Event::new(Code::VoterLost, detail).with_fact("successor", successor.to_string());
            out.push(Output::Event(event));
        }
    }

    /// Handles a `Hello` of another replica.
    pub(super) fn handle_hello(&mut self, now: Instant, message: Message, out: &mut Vec<Output>) {
        let Body::Hello {
            address,
            founders,
            stage,
            challenge,
            answer,
        } = message.body
        else {
            return;
        };
        if challenge != 0 {
            self.record_challenge(address, challenge);
        }
        if self.hard_state.cluster != 0 {
            self.record_loss(now, (message.from, address), answer, out);
        }
        if self.hard_state.cluster != 0 {
            let is_formed = matches!(stage, FormationStage::Formed(_));
            let is_member = self.log.members().address(message.from).is_some();
            if !is_formed {
                self.record_unattached(now, message.from, address);
                self.send_hello(address, out);
            } else if message.cluster == self.hard_state.cluster && !is_member {
                // It was removed while it was unreachable; its disk still holds its votes and
                // promise.
                self.record_unattached(now, message.from, address);
            }
            return;
        }
        if let FormationStage::Formed(members) = &stage {
            let addresses = members.all().map(|(_, address)| address);
            self.formation.cluster_members = addresses.collect();
            self.handle_formed_cluster(now, message.cluster, out);
            return;
        }
        let same_set = |a: &[SocketAddr], b: &[SocketAddr]| {
            a.iter().collect::<BTreeSet<_>>() == b.iter().collect::<BTreeSet<_>>()
        };
        if !self.options.founders.contains(&address) {
            return;
        }
        if !same_set(&founders, &self.options.founders) {
            let problem =
                format!("{address} has other founders in its settings; make the settings agree");
            self.report_problem(problem, out);
            return;
        }
        let founder = Founder {
            id: message.from,
            stage,
            last_hello: now,
        };
        self.formation.founders.insert(address, founder);
    }

    /// Handles the existence of a cluster: completes the formation if this replica has promised it,
    /// else waits to be added.
    fn handle_formed_cluster(&mut self, now: Instant, cluster: u64, out: &mut Vec<Output>) {
        match &self.hard_state.promise {
            Some(promise) if cluster_id(promise) == cluster => {
                let members = promise.clone();
                self.form_cluster(now, members);
            }
            _ => {
                let problem = format!(
                    "cluster {cluster:016x} already exists; replica {} waits for an operator to \
                     add it",
                    self.id
                );
                self.formation.founders.clear();
                self.report_problem(problem, out);
            }
        }
    }

    fn record_challenge(&mut self, address: SocketAddr, challenge: u64) {
        let challenges = &mut self.formation.received_challenges;
        if challenges.len() < UNATTACHED_MAX || challenges.contains_key(&address) {
            challenges.insert(address, challenge);
        }
    }

    fn record_unattached(&mut self, now: Instant, id: Id, address: SocketAddr) {
        let unattached = &mut self.formation.unattached;
        // A new identity at an address replaces the earlier one.
        unattached.retain(|other, (at, last_hello)| {
            now.since(*last_hello) < HELLO_EXPIRY && (*at != address || *other == id)
        });
        if unattached.len() < UNATTACHED_MAX {
            unattached.insert(id, (address, now));
        }
    }

    /// Promises to form a cluster once all founders are known and none belongs to a cluster.
    fn try_promise(&mut self, now: Instant, out: &mut Vec<Output>) {
        if !self.options.founders.contains(&self.address) {
            return;
        }
        let mut members = Members::default();
        members.voters.insert(self.id, self.address);
        for address in &self.options.founders {
            if *address == self.address {
                continue;
            }
            let Some(founder) = self.formation.founders.get(address) else {
                return;
            };
            if now.since(founder.last_hello) >= HELLO_EXPIRY {
                return;
            }
            members.voters.insert(founder.id, *address);
        }
        if members.voters.len() != self.options.founders.len() {
            let problem =
                "two founders have the same identity or address; empty the copied data folder";
            self.report_problem(problem.to_owned(), out);
            return;
        }
        let mut stages = self
            .formation
            .founders
            .values()
            .map(|founder| &founder.stage);
        let conflicts = |stage: &FormationStage| matches!(stage, FormationStage::Promised(promised) if *promised != members);
        if stages.any(conflicts) {
            let problem = "a founder has promised a cluster with a replica that no longer exists; \
                           empty the data folders of all founders and restart them";
            self.report_problem(problem.to_owned(), out);
            return;
        }
        self.hard_state.promise = Some(members);
        self.persist_hard_state();
        self.formation.next_hello = now;
    }

    /// Forms the cluster once all founders have made the same promise.
    fn try_form(&mut self, now: Instant) {
        let Some(promise) = self.hard_state.promise.clone() else {
            return;
        };
        if !self.is_all_durable() {
            return;
        }
        for (id, address) in &promise.voters {
            if *id == self.id {
                continue;
            }
            let founder = self.formation.founders.get(address);
            let promised = founder.is_some_and(|founder| {
                founder.id == *id && founder.stage == FormationStage::Promised(promise.clone())
            });
            if !promised {
                return;
            }
        }
        self.form_cluster(now, promise);
    }

    /// Becomes a member of the new cluster, with the first record that all founders have in common.
    fn form_cluster(&mut self, now: Instant, members: Members) {
        self.hard_state.cluster = cluster_id(&members);
        self.persist_hard_state();
        self.append(vec![Record {
            term: Term(0),
            index: Index(1),
            payload: Payload::Members(members),
        }]);
        self.role = Role::Follower;
        self.last_leader_contact = now;
        self.reset_election_timeout(now);
        if self.is_only_voter() {
            self.election_deadline = now;
        }
    }

    /// Joins the cluster of a leader that sends records or a snapshot to this replica.
    pub(super) fn join_cluster(&mut self, now: Instant, message: &Message) -> bool {
        let from_leader = matches!(
            message.body,
            Body::Append { .. } | Body::InstallSnapshot { .. }
        );
        let promised = self.hard_state.promise.as_ref().map(cluster_id);
        if !from_leader || promised.is_some_and(|cluster| cluster != message.cluster) {
            return false;
        }
        self.hard_state.cluster = message.cluster;
        self.persist_hard_state();
        self.role = Role::Follower;
        self.last_leader_contact = now;
        self.reset_election_timeout(now);
        true
    }

    /// Reports a problem once.
    fn report_problem(&mut self, problem: String, out: &mut Vec<Output>) {
        if self.formation.reported_problems.insert(problem.clone()) {
            out.push(Output::Event(Event::new(Code::QuorumLost, problem)));
        }
    }
}
