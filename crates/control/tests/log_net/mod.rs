//! Simulated cluster: replicas on fake disks and on a network that loses, duplicates, delays and
//! reorders messages, checked against a reference log.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_control::log::{
    Input, Job, MembershipChange, Options, Output, Replica, founder_id,
};
use eelgrassdyke_control::store::{Error, Store};
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Body, Members, Message, Payload, Record};
use eelgrassdyke_core::wire::{decode, encode};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

pub mod disk;
pub mod earlier;
pub mod members;

use disk::{FakeDisk, keep_random};

/// Fault rates and delays of the network and the disks.
#[derive(Clone, Copy)]
pub struct Faults {
    /// Probability that a message is lost, in thousandths.
    pub loss_permille: u32,
    /// Probability that a message is duplicated, in thousandths.
    pub duplication_permille: u32,
    /// Longest delay of a message.
    pub delay_max_us: u64,
    /// Shortest time of a disk write.
    pub write_min_us: u64,
    /// Longest time of a disk write.
    pub write_max_us: u64,
}

pub const NO_FAULTS: Faults = Faults {
    loss_permille: 0,
    duplication_permille: 0,
    delay_max_us: 2000,
    write_min_us: 50,
    write_max_us: 3000,
};

pub const MANY_FAULTS: Faults = Faults {
    loss_permille: 150,
    duplication_permille: 100,
    delay_max_us: 300_000,
    write_min_us: 50,
    write_max_us: 100_000,
};

pub struct Host {
    pub address: SocketAddr,
    pub disk: FakeDisk,
    /// The running process, if any.
    pub process: Option<Process>,
    pub founders: Vec<SocketAddr>,
    pub frozen: bool,
    /// Whether the network drops all messages from and to it.
    pub partitioned: bool,
    pub restart_at: Instant,
    /// Rate of its clock relative to the simulated time, in thousandths.
    pub clock_rate_permille: u64,
    /// When its disk completes the write in progress, and the one after it, which all jobs that are queued
    /// meanwhile share.
    disk_idle_at: [Instant; 2],
}

pub struct Process {
    pub replica: Replica,
    /// Applied commands by index.
    pub state: Vec<(Index, u64)>,
    store: Store<FakeDisk>,
    /// Jobs with the times at which they complete.
    jobs: Vec<(Instant, Job)>,
    /// Proposals without an outcome.
    tokens: BTreeSet<u64>,
}

/// Outcome of a proposal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Pending,
    Acknowledged(Index),
    Refused,
    Unknown,
}

pub struct Cluster {
    pub now: Instant,
    pub hosts: Vec<Host>,
    pub faults: Faults,
    pub rng: ChaCha8Rng,
    pub options: Options,
    /// Addresses at which replicas without a cluster look for one; all hosts if empty.
    pub seeds: Vec<SocketAddr>,
    /// Whether a founder with an empty disk gets the identity of a founder at the first start.
    pub is_first_start: bool,
    /// Reference log: the record at each index, as first applied by any replica.
    pub reference_log: Vec<Record>,
    pub outcomes: BTreeMap<u64, Outcome>,
    pub change_outcomes: BTreeMap<u64, Outcome>,
    pub confirmed_reads: u64,
    pub disk_failures: u64,
    /// Last acknowledged index at the time of each proposal or read query.
    acknowledged_before: BTreeMap<u64, Index>,
    last_acknowledged: Index,
    last_token: u64,
    /// Pairs of a sender and a receiver between which messages are lost.
    pub cut: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Whether some hosts may run a build which doesn't know settled members and keeps records without its fields.
    pub mixes_builds: bool,
    /// The hosts that run such a build.
    pub earlier_builds: BTreeSet<SocketAddr>,
    /// A host whose messages, from and to it, take longer by the given time.
    pub distant: Option<(SocketAddr, Duration)>,
    /// Receiver, index and offset of each part of a snapshot that was sent.
    pub parts: Vec<(SocketAddr, Index, u64)>,
    /// Messages in transit: time of arrival, sender, receiver and content.
    messages: Vec<(Instant, SocketAddr, SocketAddr, Message)>,
    /// The leader of each term.
    leaders: BTreeMap<Term, Id>,
}

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8 + 1], 7000))
}

/// Low limits on logs, messages and snapshots, so that all code paths are taken often.
pub fn low_limits() -> Options {
    Options {
        snapshot_records: 25,
        retained_records: 5,
        batch_bytes: 300,
        in_flight_max: 3,
        snapshot_part_bytes: 64,
        ..Options::default()
    }
}

impl Host {
    /// A host that starts at once.
    fn new(number: usize, founders: Vec<SocketAddr>, clock_rate_permille: u64) -> Self {
        Self {
            address: address(number),
            disk: FakeDisk::default(),
            process: None,
            founders,
            frozen: false,
            partitioned: false,
            restart_at: Instant(0),
            clock_rate_permille,
            disk_idle_at: [Instant(0); 2],
        }
    }
}

impl Cluster {
    pub fn new(seed: u64, founder_count: usize, joiner_count: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let founders: Vec<SocketAddr> = (0..founder_count).map(address).collect();
        let mut hosts = Vec::new();
        for number in 0..founder_count + joiner_count {
            let founders = match number < founder_count {
                true => founders.clone(),
                false => Vec::new(),
            };
            let clock_rate_permille = rng.random_range(970..=1030);
            hosts.push(Host::new(number, founders, clock_rate_permille));
        }
        let mut cluster = Self {
            now: Instant(0),
            hosts,
            faults: NO_FAULTS,
            rng,
            // Histories are played with and without elections right after a restart.
            options: Options {
                elects_after_restart: seed.is_multiple_of(2),
                ..low_limits()
            },
            seeds: Vec::new(),
            is_first_start: false,
            reference_log: Vec::new(),
            outcomes: BTreeMap::new(),
            change_outcomes: BTreeMap::new(),
            confirmed_reads: 0,
            disk_failures: 0,
            acknowledged_before: BTreeMap::new(),
            last_acknowledged: Index(0),
            last_token: 0,
            cut: BTreeSet::new(),
            mixes_builds: false,
            earlier_builds: BTreeSet::new(),
            distant: None,
            parts: Vec::new(),
            messages: Vec::new(),
            leaders: BTreeMap::new(),
        };
        for host in 0..cluster.hosts.len() {
            cluster.start(host);
        }
        cluster
    }

    /// A cluster of `founder_count` voters that run with `options` and have a leader.
    pub fn with_leader(seed: u64, founder_count: usize, options: Options) -> Self {
        let mut cluster = Self::new(seed, founder_count, 0);
        for host in 0..founder_count {
            cluster.crash(host, false);
        }
        cluster.options = options;
        for host in 0..founder_count {
            cluster.start(host);
        }
        cluster.run_until(Duration::from_secs(20), |cluster| {
            cluster.leader().is_some()
        });
        cluster
    }

    /// Adds a host that starts at once; returns its number.
    pub fn add_host(&mut self) -> usize {
        let number = self.hosts.len();
        self.hosts.push(Host::new(number, Vec::new(), 1000));
        number
    }

    /// The time on a host's clock.
    fn local_time(&self, host: usize) -> Instant {
        Instant(self.now.0 * self.hosts[host].clock_rate_permille / 1000)
    }

    pub fn start(&mut self, number: usize) {
        let mut new_id = Id(self.rng.random());
        let now = self.local_time(number);
        let seed = self.rng.random();
        let seed_addresses = match self.seeds.is_empty() {
            true => self.hosts.iter().map(|host| host.address).collect(),
            false => self.seeds.clone(),
        };
        let host = &mut self.hosts[number];
        if self.is_first_start && host.founders.contains(&host.address) {
            new_id = founder_id(host.address, &self.seeds);
        }
        let (store, mut recovered) = match Store::open(host.disk.clone(), new_id) {
            Ok(opened) => opened,
            Err(error @ Error::Damaged { .. }) => panic!("{error}"),
            Err(_) => {
                // The disk failed while the folder was opened; the next start retries.
                host.disk.crash(keep_random(&mut self.rng));
                return;
            }
        };
        let is_earlier_build = self.earlier_builds.contains(&host.address);
        if is_earlier_build {
            recovered.records.iter_mut().for_each(earlier::strip_record);
            let snapshot = recovered.snapshot.iter_mut();
            snapshot.for_each(|snapshot| earlier::strip_members(&mut snapshot.members));
        }
        let options = Options {
            spare_voter: self.options.spare_voter && !is_earlier_build,
            founders: match self.is_first_start {
                true => Vec::new(),
                false => host.founders.clone(),
            },
            seed_addresses,
            timeout_seed: seed,
            ..self.options.clone()
        };
        let mut out = Vec::new();
        let replica = Replica::new(now, host.address, recovered, options, &mut out);
        host.process = Some(Process {
            replica,
            store,
            state: Vec::new(),
            jobs: Vec::new(),
            tokens: BTreeSet::new(),
        });
        host.disk_idle_at = [self.now; 2];
        self.perform(number, out);
    }

    /// Kills a process; after a power loss the disk also loses unsynced writes.
    pub fn crash(&mut self, number: usize, power_loss: bool) {
        let Some(process) = self.hosts[number].process.take() else {
            return;
        };
        for token in process.tokens {
            self.record_outcome(token, Outcome::Unknown);
        }
        if power_loss || self.hosts[number].disk.has_failed() {
            self.hosts[number].disk.crash(keep_random(&mut self.rng));
        }
    }

    /// Kills a process and empties its host's disk.
    pub fn lose_disk(&mut self, number: usize) {
        self.crash(number, true);
        self.hosts[number].disk.wipe();
    }

    pub fn handle_input(&mut self, number: usize, input: Input) {
        let now = self.local_time(number);
        let Some(process) = &mut self.hosts[number].process else {
            return;
        };
        let mut out = Vec::new();
        process.replica.handle(now, input, &mut out);
        self.perform(number, out);
        self.check_leader(number);
    }

    fn perform(&mut self, number: usize, out: Vec<Output>) {
        let from = self.hosts[number].address;
        let mut snapshot_requested = false;
        for output in out {
            match output {
                Output::Send { to, message } => self.send(from, to, message),
                Output::Persist(job) => self.enqueue_job(number, job),
                Output::Apply { record, token } => self.apply(number, record, token),
                Output::RestoreSnapshot(snapshot) => {
                    let state: Vec<(Index, u64)> = decode(&snapshot.data).expect("valid encoding");
                    let expected = commands(&self.reference_log, snapshot.index);
                    assert_eq!(
                        state, expected,
                        "the snapshot differs from the reference log"
                    );
                    self.process(number).state = state;
                }
                Output::RequestSnapshot => snapshot_requested = true,
                Output::Refused { token, .. } => self.record_outcome(token, Outcome::Refused),
                Output::OutcomeUnknown { token } => self.record_outcome(token, Outcome::Unknown),
                Output::ReadIndexConfirmed {
                    query_number,
                    index,
                } => {
                    let lower_bound = self.acknowledged_before[&query_number];
                    assert!(
                        index >= lower_bound,
                        "read index {index} is below the acknowledged {lower_bound}"
                    );
                    self.confirmed_reads += 1;
                }
                Output::Event(_) => {}
            }
        }
        if snapshot_requested {
            let data = encode(&self.process(number).state).expect("encodable");
            self.handle_input(number, Input::Snapshot { data });
        }
    }

    fn process(&mut self, number: usize) -> &mut Process {
        self.hosts[number]
            .process
            .as_mut()
            .expect("the host runs a process")
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        if let Body::InstallSnapshot {
            last_index, offset, ..
        } = message.body
        {
            self.parts.push((to, last_index, offset));
        }
        if self.cut.contains(&(from, to)) {
            return;
        }
        let copies = match self.rng.random_range(0..1000) {
            roll if roll < self.faults.loss_permille => 0,
            roll if roll < self.faults.loss_permille + self.faults.duplication_permille => 2,
            _ => 1,
        };
        let mut message = message;
        if self.earlier_builds.contains(&from) || self.earlier_builds.contains(&to) {
            earlier::strip_message(&mut message);
        }
        // Messages are encoded and decoded as between processes.
        let bytes = encode(&message).expect("encodable");
        for _ in 0..copies {
            let delay = self.rng.random_range(100..=self.faults.delay_max_us);
            let mut at = self.now + Duration::from_micros(delay);
            if let Some((host, distance)) = self.distant
                && (host == from || host == to)
            {
                at = at + distance;
            }
            let message = decode(&bytes).expect("valid encoding");
            self.messages.push((at, from, to, message));
        }
    }

    fn enqueue_job(&mut self, number: usize, job: Job) {
        let write_range_us = self.faults.write_min_us..=self.faults.write_max_us;
        let write_time = Duration::from_micros(self.rng.random_range(write_range_us));
        let now = self.now;
        let [current, next] = &mut self.hosts[number].disk_idle_at;
        if *current <= now {
            *current = *next;
        }
        if *current <= now {
            (*current, *next) = (now + write_time, now + write_time);
        } else if *next <= *current {
            *next = *current + write_time;
        }
        let at = *next;
        self.process(number).jobs.push((at, job));
    }

    /// Checks that each index holds the same record at all replicas that apply it.
    fn apply(&mut self, number: usize, mut record: Record, token: Option<u64>) {
        if self.mixes_builds {
            earlier::strip_record(&mut record);
            self.reference_log
                .iter_mut()
                .for_each(earlier::strip_record);
        }
        let at = record.index.0 as usize - 1;
        assert!(
            at <= self.reference_log.len(),
            "index {} applied before lower ones",
            record.index
        );
        match self.reference_log.get(at) {
            Some(first) => assert_eq!(*first, record, "two records at one index"),
            None => self.reference_log.push(record.clone()),
        }
        if let Payload::Command(command) = &record.payload {
            let command: u64 = decode(command).expect("valid encoding");
            self.process(number).state.push((record.index, command));
        }
        let Some(token) = token else {
            return;
        };
        self.process(number).tokens.remove(&token);
        let lower_bound = self.acknowledged_before[&token];
        assert!(
            record.index > lower_bound,
            "a command lies before {lower_bound}, which was acknowledged before its proposal"
        );
        self.last_acknowledged = self.last_acknowledged.max(record.index);
        self.record_outcome(token, Outcome::Acknowledged(record.index));
    }

    fn record_outcome(&mut self, token: u64, outcome: Outcome) {
        let outcomes = match self.change_outcomes.contains_key(&token) {
            true => &mut self.change_outcomes,
            false => &mut self.outcomes,
        };
        let recorded = outcomes.entry(token).or_insert(Outcome::Pending);
        if *recorded == Outcome::Pending {
            *recorded = outcome;
        }
    }

    /// Checks that a term has one leader, and that no leader is elected while an earlier one holds
    /// its lease.
    fn check_leader(&mut self, number: usize) {
        let Some(process) = &self.hosts[number].process else {
            return;
        };
        if !process.replica.is_leader() {
            return;
        }
        let (term, id) = (process.replica.term(), process.replica.id());
        let is_new = !self.leaders.contains_key(&term);
        let leader = *self.leaders.entry(term).or_insert(id);
        assert_eq!(leader, id, "two leaders in term {term}");
        for other in 0..self.hosts.len() {
            let now = self.local_time(other);
            if let Some(process) = &self.hosts[other].process
                && is_new
                && process.replica.term() < term
            {
                assert!(
                    !process.replica.holds_lease(now),
                    "elected while an earlier leader holds its lease"
                );
            }
        }
    }

    pub fn propose(&mut self, number: usize) -> u64 {
        self.last_token += 1;
        let token = self.last_token;
        self.acknowledged_before
            .insert(token, self.last_acknowledged);
        self.outcomes.insert(token, Outcome::Pending);
        let command = encode(&token).expect("encodable");
        if let Some(process) = &mut self.hosts[number].process {
            process.tokens.insert(token);
            self.handle_input(number, Input::Propose { token, command });
        } else {
            self.record_outcome(token, Outcome::Refused);
        }
        token
    }

    pub fn propose_change(&mut self, number: usize, change: MembershipChange) -> u64 {
        self.last_token += 1;
        let token = self.last_token;
        self.acknowledged_before
            .insert(token, self.last_acknowledged);
        self.change_outcomes.insert(token, Outcome::Pending);
        if let Some(process) = &mut self.hosts[number].process {
            process.tokens.insert(token);
            self.handle_input(number, Input::ChangeMembers { token, change });
        } else {
            self.record_outcome(token, Outcome::Refused);
        }
        token
    }

    /// Whether the process of a host that was asked to stop may end.
    pub fn may_stop(&self, number: usize) -> bool {
        let now = self.local_time(number);
        let process = self.hosts[number].process.as_ref();
        process.is_none_or(|process| process.replica.may_stop(now))
    }

    pub fn query_read_index(&mut self, number: usize) {
        self.last_token += 1;
        let query_number = self.last_token;
        self.acknowledged_before
            .insert(query_number, self.last_acknowledged);
        self.handle_input(number, Input::ReadIndex { query_number });
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |host: &Host| {
            host.process
                .as_ref()
                .is_some_and(|process| process.replica.is_leader())
        };
        let all = (0..self.hosts.len()).filter(|number| leads(&self.hosts[*number]));
        all.max_by_key(|number| {
            let process = self.hosts[*number].process.as_ref();
            process.map(|process| process.replica.term())
        })
    }

    pub fn members(&self, number: usize) -> Members {
        let process = self.hosts[number].process.as_ref();
        process
            .map(|process| process.replica.members().clone())
            .unwrap_or_default()
    }

    /// The cluster of a host's replica, if it belongs to one.
    pub fn cluster_id(&self, number: usize) -> Option<u64> {
        let process = self.hosts[number].process.as_ref()?;
        let status = process.replica.status(self.local_time(number));
        Some(status.cluster).filter(|cluster| *cluster != 0)
    }

    pub fn id(&self, number: usize) -> Option<Id> {
        self.hosts[number]
            .process
            .as_ref()
            .map(|process| process.replica.id())
    }

    /// Advances the simulated time by `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(1);
            self.step();
        }
    }

    /// Advances the simulated time until `condition` holds; fails after `timeout`.
    pub fn run_until(&mut self, timeout: Duration, condition: impl Fn(&Self) -> bool) {
        let end = self.now + timeout;
        while !condition(self) {
            assert!(
                self.now < end,
                "the condition does not hold within {timeout:?}: {}",
                self.describe()
            );
            self.run(Duration::from_millis(5));
        }
    }

    /// Describes the replicas, for failure messages.
    fn describe(&self) -> String {
        let mut text = String::new();
        for number in 0..self.hosts.len() {
            let host = &self.hosts[number];
            let Some(process) = &host.process else {
                text.push_str(&format!("\n{} is down", host.address));
                continue;
            };
            let status = process.replica.status(self.local_time(number));
            let (is_leader, term) = (process.replica.is_leader(), process.replica.term());
            text.push_str(&format!(
                "\n{}: leader {is_leader}, term {term}, {status:?}",
                host.address
            ));
        }
        text
    }

    /// Starts hosts, completes disk jobs, ticks replicas and delivers messages that are due.
    fn step(&mut self) {
        for number in 0..self.hosts.len() {
            let host = &self.hosts[number];
            if host.process.is_none() && self.now >= host.restart_at {
                self.start(number);
            }
            if self.hosts[number].frozen {
                continue;
            }
            self.complete_due_jobs(number);
            let now = self.local_time(number);
            let due = |process: &Process| process.replica.next_deadline() <= now;
            if self.hosts[number].process.as_ref().is_some_and(due) {
                self.handle_input(number, Input::Tick);
            }
        }
        let due = |(at, _, to, _): &(Instant, SocketAddr, SocketAddr, Message)| {
            let frozen = self.hosts.iter().any(|h| h.address == *to && h.frozen);
            *at <= self.now && !frozen
        };
        let (arrived, in_transit): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(due);
        self.messages = in_transit;
        for (_, from, to, message) in arrived {
            let find = |address| self.hosts.iter().position(|host| host.address == address);
            let (Some(sender), Some(receiver)) = (find(from), find(to)) else {
                continue;
            };
            if !self.hosts[sender].partitioned && !self.hosts[receiver].partitioned {
                self.handle_input(receiver, Input::Message { from, message });
            }
        }
    }

    /// Completes the disk jobs that are due.
    fn complete_due_jobs(&mut self, number: usize) {
        loop {
            let now = self.now;
            let Some(process) = &mut self.hosts[number].process else {
                return;
            };
            if process.jobs.first().is_none_or(|(at, _)| *at > now) {
                return;
            }
            let (_, job) = process.jobs.remove(0);
            match process.store.write(std::slice::from_ref(&job)) {
                Ok(()) => self.handle_input(number, Input::Persisted { job: job.number }),
                Err(error) => {
                    self.disk_failures += 1;
                    let problem = error.to_string();
                    self.handle_input(number, Input::DiskFailed { problem });
                    // The process exits after the replica has stopped.
                    self.hosts[number].restart_at = self.now;
                    self.crash(number, true);
                    return;
                }
            }
        }
    }

    /// Makes a host's disk fail after a few more bytes.
    pub fn fail_disk(&mut self, number: usize) {
        let bytes = self.rng.random_range(1..400);
        let kind = match self.rng.random_range(0..2) {
            0 => io::ErrorKind::StorageFull,
            _ => io::ErrorKind::Other,
        };
        self.hosts[number].disk.fail_after(bytes, kind);
    }

    /// Ends all faults, waits until the replicas converge and compares them with the reference log.
    pub fn converge_and_check(&mut self) {
        self.faults = NO_FAULTS;
        for number in 0..self.hosts.len() {
            let host = &mut self.hosts[number];
            (host.frozen, host.partitioned) = (false, false);
            host.restart_at = self.now;
            // A disk with a pending failure fails now.
            if host.process.is_some() {
                self.crash(number, true);
            }
        }
        self.run_until(Duration::from_secs(60), |cluster| {
            cluster.leader().is_some()
        });
        let mut last = self.commit_command();
        // Followers learn the commit index with the next round.
        last = last.max(self.commit_command());
        self.run_until(Duration::from_secs(60), |cluster| {
            let members = cluster.leader().map(|leader| cluster.members(leader));
            let members = members.unwrap_or_default();
            cluster.hosts.iter().all(|host| {
                let process = host.process.as_ref();
                let id = process
                    .map(|process| process.replica.id())
                    .unwrap_or_default();
                members.address(id).is_none()
                    || process.is_some_and(|process| process.replica.applied_index() >= last)
            })
        });
        self.check_consistency();
    }

    /// Proposes commands until one is acknowledged; returns its index.
    fn commit_command(&mut self) -> Index {
        let end = self.now + Duration::from_secs(60);
        loop {
            assert!(
                self.now < end,
                "no command is committed without faults: {}",
                self.describe()
            );
            let Some(leader) = self.leader() else {
                self.run(Duration::from_millis(50));
                continue;
            };
            let token = self.propose(leader);
            for _ in 0..100 {
                if self.outcomes[&token] != Outcome::Pending {
                    break;
                }
                self.run(Duration::from_millis(20));
            }
            if let Outcome::Acknowledged(index) = self.outcomes[&token] {
                return index;
            }
        }
    }

    /// Checks the outcomes of all commands and the states of all replicas against the reference log.
    fn check_consistency(&self) {
        let all = commands(&self.reference_log, Index(u64::MAX));
        let mut index_of = BTreeMap::new();
        for (index, command) in &all {
            assert!(
                index_of.insert(*command, *index).is_none(),
                "command {command} was applied twice"
            );
        }
        for (command, outcome) in &self.outcomes {
            match outcome {
                Outcome::Acknowledged(index) => {
                    assert_eq!(
                        index_of.get(command),
                        Some(index),
                        "acknowledged command {command} is lost or at another index"
                    );
                }
                Outcome::Refused => assert!(
                    !index_of.contains_key(command),
                    "refused command {command} was applied"
                ),
                Outcome::Pending | Outcome::Unknown => {}
            }
        }
        for host in &self.hosts {
            let Some(process) = &host.process else {
                continue;
            };
            let expected = commands(&self.reference_log, process.replica.applied_index());
            assert_eq!(
                process.state, expected,
                "the state of {} differs",
                host.address
            );
        }
    }
}

/// The commands of a log up to an index.
fn commands(log: &[Record], last: Index) -> Vec<(Index, u64)> {
    let mut commands = Vec::new();
    for record in log.iter().take_while(|record| record.index <= last) {
        if let Payload::Command(command) = &record.payload {
            commands.push((record.index, decode(command).expect("valid encoding")));
        }
    }
    commands
}
