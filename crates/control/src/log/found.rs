//! How a cluster is formed, and how a replica without one waits to be added.
//!
//! The founders first learn each other's identities. When a founder knows them all and none belongs
//! to a cluster, it promises durably to form a cluster with exactly these identities and no others,
//! ever. It forms the cluster once all of them have promised the same. As no replica promises twice,
//! at most one cluster comes of it, also when a founder loses its disk half-way: its new identity
//! is in nobody's promise, and its old one forms nothing any more.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire;
use eelgrassdyke_core::wire::log::{Body, FormationStage, Members, Message, Payload, Record};

use super::io::Output;
use super::replica::{Replica, Role};

/// Time after which a replica without a cluster that is silent counts as gone.
const WAITING_MAX: Duration = Duration::from_secs(5);

/// Time without a leader after which a member may have been taken out.
const UNHEARD_MAX: Duration = Duration::from_secs(2);

/// Replicas without a cluster that are remembered.
const WAITING_COUNT_MAX: usize = 32;

/// What is known of replicas that belong to no cluster.
#[derive(Clone, Debug, Default)]
pub struct Founding {
    /// When this replica next looks for others.
    pub next_hello: Instant,
    founders: BTreeMap<SocketAddr, Founder>,
    waiting: BTreeMap<Id, (SocketAddr, Instant)>,
    /// Members of a cluster that exists, as heard from one of them.
    members: BTreeSet<SocketAddr>,
    told: BTreeSet<String>,
}

#[derive(Clone, Debug)]
struct Founder {
    id: Id,
    stage: FormationStage,
    heard: Instant,
}

impl Founding {
    /// Replicas heard lately that an operator may add.
    pub fn waiting(&self, now: Instant) -> BTreeMap<Id, SocketAddr> {
        let all = self.waiting.iter();
        let live = all.filter(|(_, (_, heard))| now.since(*heard) < WAITING_MAX);
        live.map(|(id, (address, _))| (*id, *address)).collect()
    }

    /// The replica that waits to be added at an address.
    pub fn waits_at(&self, now: Instant, address: SocketAddr) -> Option<Id> {
        let mut live = self.waiting(now).into_iter();
        live.find(|(_, at)| *at == address).map(|(id, _)| id)
    }

    /// Where a replica that waits to be added takes messages.
    pub fn address(&self, now: Instant, id: Id) -> Option<SocketAddr> {
        let (address, heard) = self.waiting.get(&id)?;
        (now.since(*heard) < WAITING_MAX).then_some(*address)
    }
}

/// The number of the cluster that `members` form.
pub fn cluster_of(members: &Members) -> u64 {
    // Ordered maps make the encoded form the same everywhere, and it holds no type that can fail.
    let digest = Sha256::of(&wire::encode(members).unwrap_or_default()).to_string();
    u64::from_str_radix(&digest[..16], 16)
        .unwrap_or_default()
        .max(1)
}

impl Replica {
    /// Looks for the other founders, or for a leader to be added by.
    pub(super) fn tick_founding(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now >= self.founding.next_hello {
            self.founding.next_hello = now + self.options.hello_interval;
            self.greet(out);
        }
        if self.hard.promise.is_none() {
            self.try_promise(now, out);
        }
        self.try_form(now);
    }

    /// Sends a greeting to everybody who may know of a cluster.
    fn greet(&self, out: &mut Vec<Output>) {
        let mut others: BTreeSet<SocketAddr> = self.founding.members.clone();
        others.extend(&self.options.founders);
        others.extend(&self.options.seed_addresses);
        others.extend(self.member_addresses());
        others.remove(&self.address);
        for to in others {
            self.send_hello(to, out);
        }
    }

    /// When a member that hears no leader next greets the others.
    ///
    /// It may have been taken out while it was away. Nobody hears it then, so it greets the members,
    /// as a new replica does, until a leader adds it again.
    pub(super) fn next_greeting(&self) -> Instant {
        match self.options.manages_members {
            true => self.founding.next_hello.max(self.heard + UNHEARD_MAX),
            false => Instant::NEVER,
        }
    }

    /// Greets the other members if it is time to.
    pub(super) fn tick_unheard(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now >= self.next_greeting() {
            self.founding.next_hello = now + self.options.hello_interval;
            self.greet(out);
        }
    }

    fn send_hello(&self, to: SocketAddr, out: &mut Vec<Output>) {
        let stage = match &self.hard.promise {
            _ if self.hard.cluster != 0 => FormationStage::Formed(self.log.members().clone()),
            // A promise counts only once it is durable.
            Some(members) if self.is_settled() => FormationStage::Promised(members.clone()),
            _ => FormationStage::Unformed,
        };
        let message = Message {
            cluster: self.hard.cluster,
            from: self.id,
            to: Id::default(),
            term: Term(0),
            body: Body::Hello {
                address: self.address,
                founders: self.options.founders.clone(),
                stage,
            },
        };
        out.push(Output::Send { to, message });
    }

    /// Takes in what another replica says about its cluster.
    pub(super) fn take_hello(&mut self, now: Instant, message: Message, out: &mut Vec<Output>) {
        let Body::Hello {
            address,
            founders,
            stage,
        } = message.body
        else {
            return;
        };
        if self.hard.cluster != 0 {
            let formed = matches!(stage, FormationStage::Formed(_));
            let member = self.log.members().address(message.from).is_some();
            if !formed {
                self.note_waiting(now, message.from, address);
                self.send_hello(address, out);
            } else if message.cluster == self.hard.cluster && !member {
                // It was taken out while it was away; its disk still holds its promises.
                self.note_waiting(now, message.from, address);
            }
            return;
        }
        if let FormationStage::Formed(members) = &stage {
            let known = members.voters.values().chain(members.learners.values());
            self.founding.members = known.copied().collect();
            self.take_formed(now, message.cluster, out);
            return;
        }
        let same = |a: &[SocketAddr], b: &[SocketAddr]| {
            a.iter().collect::<BTreeSet<_>>() == b.iter().collect::<BTreeSet<_>>()
        };
        if !self.options.founders.contains(&address) {
            return;
        }
        if !same(&founders, &self.options.founders) {
            let problem = format!("{address} names other founders; make their settings agree");
            self.tell(problem, out);
            return;
        }
        let founder = Founder {
            id: message.from,
            stage,
            heard: now,
        };
        self.founding.founders.insert(address, founder);
    }

    /// Joins the cluster that this replica promised to form, or waits to be added to another.
    fn take_formed(&mut self, now: Instant, cluster: u64, out: &mut Vec<Output>) {
        match &self.hard.promise {
            Some(promise) if cluster_of(promise) == cluster => {
                let members = promise.clone();
                self.form(now, members);
            }
            _ => {
                let problem = format!(
                    "cluster {cluster:016x} exists already; replica {} waits until an operator \
                     adds it",
                    self.id
                );
                self.founding.founders.clear();
                self.tell(problem, out);
            }
        }
    }

    fn note_waiting(&mut self, now: Instant, id: Id, address: SocketAddr) {
        let waiting = &mut self.founding.waiting;
        // An identity that greets from an address has taken it over from any other.
        waiting.retain(|other, (at, heard)| {
            now.since(*heard) < WAITING_MAX && (*at != address || *other == id)
        });
        if waiting.len() < WAITING_COUNT_MAX {
            waiting.insert(id, (address, now));
        }
    }

    /// Promises to form a cluster once every founder is known and none belongs to one.
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
            let Some(founder) = self.founding.founders.get(address) else {
                return;
            };
            if now.since(founder.heard) >= WAITING_MAX {
                return;
            }
            members.voters.insert(founder.id, *address);
        }
        if members.voters.len() != self.options.founders.len() {
            let problem = "two founders have one identity or address; empty the copied data folder";
            self.tell(problem.to_owned(), out);
            return;
        }
        let mut stages = self
            .founding
            .founders
            .values()
            .map(|founder| &founder.stage);
        let other = |stage: &FormationStage| matches!(stage, FormationStage::Promised(set) if *set != members);
        if stages.any(other) {
            let problem = "a founder has promised a cluster with a replica that is gone; empty the \
                           data folders of all founders and start them again";
            self.tell(problem.to_owned(), out);
            return;
        }
        self.hard.promise = Some(members);
        self.write_hard();
        self.founding.next_hello = now;
    }

    /// Forms the cluster once every founder has promised it.
    fn try_form(&mut self, now: Instant) {
        let Some(promise) = self.hard.promise.clone() else {
            return;
        };
        if !self.is_settled() {
            return;
        }
        for (id, address) in &promise.voters {
            if *id == self.id {
                continue;
            }
            let founder = self.founding.founders.get(address);
            let promised = founder.is_some_and(|founder| {
                founder.id == *id && founder.stage == FormationStage::Promised(promise.clone())
            });
            if !promised {
                return;
            }
        }
        self.form(now, promise);
    }

    /// Begins the log that all founders begin alike.
    fn form(&mut self, now: Instant, members: Members) {
        self.hard.cluster = cluster_of(&members);
        self.write_hard();
        self.append(vec![Record {
            term: Term(0),
            index: Index(1),
            payload: Payload::Members(members),
        }]);
        self.role = Role::Follower;
        self.heard = now;
        self.delay_election(now);
        if self.is_only_voter() {
            self.election_at = now;
        }
    }

    /// Belongs to the cluster of a leader that sends records to this identity.
    pub(super) fn adopt(&mut self, now: Instant, message: &Message) -> bool {
        let leads = matches!(
            message.body,
            Body::Append { .. } | Body::InstallSnapshot { .. }
        );
        let promised = self.hard.promise.as_ref().map(cluster_of);
        if !leads || promised.is_some_and(|cluster| cluster != message.cluster) {
            return false;
        }
        self.hard.cluster = message.cluster;
        self.write_hard();
        self.role = Role::Follower;
        self.heard = now;
        self.delay_election(now);
        true
    }

    /// Notes a hindrance once.
    fn tell(&mut self, problem: String, out: &mut Vec<Output>) {
        if self.founding.told.insert(problem.clone()) {
            out.push(Output::Event(Event::new(Code::QuorumLost, problem)));
        }
    }
}
