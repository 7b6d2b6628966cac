//! Replicas on fake disks and a network that loses, doubles, delays and reorders, checked against
//! one Vec.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_control::log::{Input, Job, MembershipChange, Options, Output, Replica};
use eelgrassdyke_control::store::{Error, Store};
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::log::{Members, Message, Payload, Record};
use eelgrassdyke_core::wire::{decode, encode};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

pub mod disk;

use disk::{FakeDisk, random};

/// How hostile the surroundings are.
#[derive(Clone, Copy)]
pub struct Weather {
    /// Messages lost, in thousandths.
    pub lost: u32,
    /// Messages doubled, in thousandths.
    pub doubled: u32,
    /// Longest delay of a message, in microseconds.
    pub delay_us: u64,
    /// Longest time of a disk write, in microseconds.
    pub disk_us: u64,
}

pub const CALM: Weather = Weather {
    lost: 0,
    doubled: 0,
    delay_us: 2000,
    disk_us: 3000,
};

pub const STORM: Weather = Weather {
    lost: 150,
    doubled: 100,
    delay_us: 300_000,
    disk_us: 100_000,
};

pub struct Host {
    pub address: SocketAddr,
    pub disk: FakeDisk,
    pub up: Option<Up>,
    pub founders: Vec<SocketAddr>,
    pub frozen: bool,
    pub cut: bool,
    pub restart_at: Instant,
    /// Rate of its clock, in thousandths.
    pub rate: u64,
    disk_free: Instant,
}

pub struct Up {
    pub replica: Replica,
    pub state: Vec<(Index, u64)>,
    store: Store<FakeDisk>,
    jobs: Vec<(Instant, Job)>,
    tokens: BTreeSet<u64>,
}

/// What came of a command.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Open,
    Acknowledged(Index),
    Refused,
    Unknown,
}

pub struct Net {
    pub now: Instant,
    pub hosts: Vec<Host>,
    pub weather: Weather,
    pub rng: ChaCha8Rng,
    pub options: Options,
    /// The one Vec: what each position of the log holds, as first applied anywhere.
    pub log: Vec<Record>,
    pub fates: BTreeMap<u64, Fate>,
    pub changes: BTreeMap<u64, Fate>,
    pub confirmed: u64,
    pub stopped: u64,
    /// Positions acknowledged when a command was proposed or a question asked.
    floors: BTreeMap<u64, Index>,
    acknowledged: Index,
    next: u64,
    mail: Vec<(Instant, SocketAddr, SocketAddr, Message)>,
    leaders: BTreeMap<Term, Id>,
}

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8 + 1], 7000))
}

/// Short logs, messages and snapshots, so that every path is taken often.
pub fn small() -> Options {
    Options {
        snapshot_records: 25,
        retained_records: 5,
        batch_bytes: 300,
        in_flight_max: 3,
        snapshot_part_bytes: 64,
        ..Options::default()
    }
}

impl Net {
    pub fn new(seed: u64, founders: usize, joiners: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let founding: Vec<SocketAddr> = (0..founders).map(address).collect();
        let mut hosts = Vec::new();
        for number in 0..founders + joiners {
            hosts.push(Host {
                address: address(number),
                disk: FakeDisk::default(),
                up: None,
                founders: match number < founders {
                    true => founding.clone(),
                    false => Vec::new(),
                },
                frozen: false,
                cut: false,
                restart_at: Instant(0),
                rate: rng.random_range(970..=1030),
                disk_free: Instant(0),
            });
        }
        let mut net = Self {
            now: Instant(0),
            hosts,
            weather: CALM,
            rng,
            options: small(),
            log: Vec::new(),
            fates: BTreeMap::new(),
            changes: BTreeMap::new(),
            confirmed: 0,
            stopped: 0,
            floors: BTreeMap::new(),
            acknowledged: Index(0),
            next: 0,
            mail: Vec::new(),
            leaders: BTreeMap::new(),
        };
        for host in 0..net.hosts.len() {
            net.start(host);
        }
        net
    }

    /// The time on a host's own clock.
    fn local(&self, host: usize) -> Instant {
        Instant(self.now.0 * self.hosts[host].rate / 1000)
    }

    pub fn start(&mut self, number: usize) {
        let drawn = Id(self.rng.random());
        let now = self.local(number);
        let seed = self.rng.random();
        let seed_addresses = self.hosts.iter().map(|host| host.address).collect();
        let host = &mut self.hosts[number];
        let (store, recovered) = match Store::open(host.disk.clone(), drawn) {
            Ok(opened) => opened,
            Err(error @ Error::Damaged { .. }) => panic!("{error}"),
            Err(_) => {
                // The disk broke off while the folder was opened; the next start tries again.
                host.disk.crash(random(&mut self.rng));
                return;
            }
        };
        let options = Options {
            founders: host.founders.clone(),
            seed_addresses,
            timeout_seed: seed,
            ..self.options.clone()
        };
        let mut out = Vec::new();
        let replica = Replica::new(now, host.address, recovered, options, &mut out);
        host.up = Some(Up {
            replica,
            store,
            state: Vec::new(),
            jobs: Vec::new(),
            tokens: BTreeSet::new(),
        });
        host.disk_free = self.now;
        self.carry_out(number, out);
    }

    /// Kills a process; `power` also takes what was not synced.
    pub fn crash(&mut self, number: usize, power: bool) {
        let Some(up) = self.hosts[number].up.take() else {
            return;
        };
        for token in up.tokens {
            self.settle(token, Fate::Unknown);
        }
        if power || self.hosts[number].disk.is_broken() {
            self.hosts[number].disk.crash(random(&mut self.rng));
        }
    }

    /// Loses a host together with its disk; an empty one takes its place.
    pub fn lose(&mut self, number: usize) {
        self.crash(number, true);
        self.hosts[number].disk.wipe();
    }

    pub fn feed(&mut self, number: usize, input: Input) {
        let now = self.local(number);
        let Some(up) = &mut self.hosts[number].up else {
            return;
        };
        let mut out = Vec::new();
        up.replica.handle(now, input, &mut out);
        self.carry_out(number, out);
        self.check_leader(number);
    }

    fn carry_out(&mut self, number: usize, out: Vec<Output>) {
        let from = self.hosts[number].address;
        let mut snapshot_wanted = false;
        for output in out {
            match output {
                Output::Send { to, message } => self.post(from, to, message),
                Output::Persist(job) => self.queue(number, job),
                Output::Apply { record, token } => self.apply(number, record, token),
                Output::RestoreSnapshot(snapshot) => {
                    let state: Vec<(Index, u64)> = decode(&snapshot.data).expect("it decodes");
                    let expected = commands(&self.log, snapshot.index);
                    assert_eq!(state, expected, "a snapshot differs from the log");
                    self.up(number).state = state;
                }
                Output::RequestSnapshot => snapshot_wanted = true,
                Output::Refused { token, .. } => self.settle(token, Fate::Refused),
                Output::OutcomeUnknown { token } => self.settle(token, Fate::Unknown),
                Output::ReadIndexConfirmed {
                    query_number: question,
                    index,
                } => {
                    let floor = self.floors[&question];
                    assert!(index >= floor, "confirmed {index} below {floor}");
                    self.confirmed += 1;
                }
                Output::Event(_) => {}
            }
        }
        if snapshot_wanted {
            let data = encode(&self.up(number).state).expect("it encodes");
            self.feed(number, Input::Snapshot { data });
        }
    }

    fn up(&mut self, number: usize) -> &mut Up {
        self.hosts[number].up.as_mut().expect("the host is up")
    }

    fn post(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        let copies = match self.rng.random_range(0..1000) {
            roll if roll < self.weather.lost => 0,
            roll if roll < self.weather.lost + self.weather.doubled => 2,
            _ => 1,
        };
        // Messages cross the wire encoded, as between processes.
        let bytes = encode(&message).expect("it encodes");
        for _ in 0..copies {
            let delay = self.rng.random_range(100..=self.weather.delay_us);
            let at = self.now + Duration::from_micros(delay);
            let message = decode(&bytes).expect("it decodes");
            self.mail.push((at, from, to, message));
        }
    }

    fn queue(&mut self, number: usize, job: Job) {
        let span = Duration::from_micros(self.rng.random_range(50..=self.weather.disk_us));
        let host = &mut self.hosts[number];
        let at = host.disk_free.max(self.now) + span;
        host.disk_free = at;
        self.up(number).jobs.push((at, job));
    }

    /// One position holds one record, at every replica that ever applies it.
    fn apply(&mut self, number: usize, record: Record, token: Option<u64>) {
        let at = record.index.0 as usize - 1;
        assert!(
            at <= self.log.len(),
            "position {at} applied before those below"
        );
        match self.log.get(at) {
            Some(first) => assert_eq!(*first, record, "two records at one position"),
            None => self.log.push(record.clone()),
        }
        if let Payload::Command(command) = &record.payload {
            let command: u64 = decode(command).expect("it decodes");
            self.up(number).state.push((record.index, command));
        }
        let Some(token) = token else {
            return;
        };
        self.up(number).tokens.remove(&token);
        let floor = self.floors[&token];
        assert!(record.index > floor, "a later command lies before {floor}");
        self.acknowledged = self.acknowledged.max(record.index);
        self.settle(token, Fate::Acknowledged(record.index));
    }

    fn settle(&mut self, token: u64, fate: Fate) {
        let fates = match self.changes.contains_key(&token) {
            true => &mut self.changes,
            false => &mut self.fates,
        };
        let held = fates.entry(token).or_insert(Fate::Open);
        if *held == Fate::Open {
            *held = fate;
        }
    }

    /// A term has one leader, and nobody leads anew while an older leader's lease holds.
    fn check_leader(&mut self, number: usize) {
        let Some(up) = &self.hosts[number].up else {
            return;
        };
        if !up.replica.is_leader() {
            return;
        }
        let (term, id) = (up.replica.term(), up.replica.id());
        let first = !self.leaders.contains_key(&term);
        let known = *self.leaders.entry(term).or_insert(id);
        assert_eq!(known, id, "two leaders in term {term}");
        for other in 0..self.hosts.len() {
            let now = self.local(other);
            if let Some(up) = &self.hosts[other].up
                && first
                && up.replica.term() < term
            {
                assert!(!up.replica.holds_lease(now), "elected within a lease");
            }
        }
    }

    pub fn propose(&mut self, number: usize) -> u64 {
        self.next += 1;
        let token = self.next;
        self.floors.insert(token, self.acknowledged);
        self.fates.insert(token, Fate::Open);
        let command = encode(&token).expect("it encodes");
        if let Some(up) = &mut self.hosts[number].up {
            up.tokens.insert(token);
            self.feed(number, Input::Propose { token, command });
        } else {
            self.settle(token, Fate::Refused);
        }
        token
    }

    pub fn change(&mut self, number: usize, change: MembershipChange) -> u64 {
        self.next += 1;
        let token = self.next;
        self.floors.insert(token, self.acknowledged);
        self.changes.insert(token, Fate::Open);
        if let Some(up) = &mut self.hosts[number].up {
            up.tokens.insert(token);
            self.feed(number, Input::ChangeMembers { token, change });
        } else {
            self.settle(token, Fate::Refused);
        }
        token
    }

    pub fn confirm(&mut self, number: usize) {
        self.next += 1;
        let question = self.next;
        self.floors.insert(question, self.acknowledged);
        self.feed(
            number,
            Input::ReadIndex {
                query_number: question,
            },
        );
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |host: &Host| host.up.as_ref().is_some_and(|up| up.replica.is_leader());
        let all = (0..self.hosts.len()).filter(|number| leads(&self.hosts[*number]));
        all.max_by_key(|number| {
            let up = self.hosts[*number].up.as_ref();
            up.map(|up| up.replica.term())
        })
    }

    pub fn members(&self, number: usize) -> Members {
        let up = self.hosts[number].up.as_ref();
        up.map(|up| up.replica.members().clone())
            .unwrap_or_default()
    }

    pub fn id(&self, number: usize) -> Option<Id> {
        self.hosts[number].up.as_ref().map(|up| up.replica.id())
    }

    /// Lets `span` go by.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(1);
            self.step();
        }
    }

    /// Lets time go by until `holds`; fails after `most`.
    pub fn run_until(&mut self, most: Duration, holds: impl Fn(&Self) -> bool) {
        let end = self.now + most;
        while !holds(self) {
            assert!(
                self.now < end,
                "it does not come about within {most:?}: {}",
                self.describe()
            );
            self.run(Duration::from_millis(5));
        }
    }

    /// The replicas, for the message of a failure.
    fn describe(&self) -> String {
        let mut text = String::new();
        for number in 0..self.hosts.len() {
            let host = &self.hosts[number];
            let Some(up) = &host.up else {
                text.push_str(&format!("\n{} is down", host.address));
                continue;
            };
            let standing = up.replica.status(self.local(number));
            let (leads, term) = (up.replica.is_leader(), up.replica.term());
            text.push_str(&format!(
                "\n{} leads {leads} in {term}, {standing:?}",
                host.address
            ));
        }
        text
    }

    /// Does what is due.
    fn step(&mut self) {
        for number in 0..self.hosts.len() {
            let host = &self.hosts[number];
            if host.up.is_none() && self.now >= host.restart_at {
                self.start(number);
            }
            if self.hosts[number].frozen {
                continue;
            }
            self.write_due(number);
            let now = self.local(number);
            let due = |up: &Up| up.replica.next_deadline() <= now;
            if self.hosts[number].up.as_ref().is_some_and(due) {
                self.feed(number, Input::Tick);
            }
        }
        let due = |(at, _, to, _): &(Instant, SocketAddr, SocketAddr, Message)| {
            let frozen = self.hosts.iter().any(|h| h.address == *to && h.frozen);
            *at <= self.now && !frozen
        };
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.mail).into_iter().partition(due);
        self.mail = later;
        for (_, from, to, message) in due {
            let find = |address| self.hosts.iter().position(|host| host.address == address);
            let (Some(sender), Some(receiver)) = (find(from), find(to)) else {
                continue;
            };
            if !self.hosts[sender].cut && !self.hosts[receiver].cut {
                self.feed(receiver, Input::Message { from, message });
            }
        }
    }

    /// Writes the jobs that the disk gets done by now.
    fn write_due(&mut self, number: usize) {
        loop {
            let now = self.now;
            let Some(up) = &mut self.hosts[number].up else {
                return;
            };
            if up.jobs.first().is_none_or(|(at, _)| *at > now) {
                return;
            }
            let (_, job) = up.jobs.remove(0);
            match up.store.write(std::slice::from_ref(&job)) {
                Ok(()) => self.feed(number, Input::Persisted { job: job.number }),
                Err(error) => {
                    self.stopped += 1;
                    let problem = error.to_string();
                    self.feed(number, Input::DiskFailed { problem });
                    // The process ends a while after it stopped.
                    self.hosts[number].restart_at = self.now;
                    self.crash(number, true);
                    return;
                }
            }
        }
    }

    /// Breaks a host's disk off after a few bytes.
    pub fn break_disk(&mut self, number: usize) {
        let bytes = self.rng.random_range(1..400);
        let kind = match self.rng.random_range(0..2) {
            0 => io::ErrorKind::StorageFull,
            _ => io::ErrorKind::Other,
        };
        self.hosts[number].disk.break_after(bytes, kind);
    }

    /// Ends all disturbances, lets everything settle and compares every replica with the one Vec.
    pub fn settle_all(&mut self) {
        self.weather = CALM;
        for number in 0..self.hosts.len() {
            let host = &mut self.hosts[number];
            (host.frozen, host.cut) = (false, false);
            host.restart_at = self.now;
            // A disk that is about to break off does so now.
            if host.up.is_some() {
                self.crash(number, true);
            }
        }
        self.run_until(Duration::from_secs(60), |net| net.leader().is_some());
        let mut last = self.propose_acknowledged();
        // The followers learn of a commit with the next round.
        last = last.max(self.propose_acknowledged());
        self.run_until(Duration::from_secs(60), |net| {
            let members = net.leader().map(|leader| net.members(leader));
            let members = members.unwrap_or_default();
            net.hosts.iter().all(|host| {
                let up = host.up.as_ref();
                let id = up.map(|up| up.replica.id()).unwrap_or_default();
                members.address(id).is_none()
                    || up.is_some_and(|up| up.replica.applied_index() >= last)
            })
        });
        self.check_all();
    }

    fn propose_acknowledged(&mut self) -> Index {
        let end = self.now + Duration::from_secs(60);
        loop {
            assert!(
                self.now < end,
                "nothing is accepted though all is well: {}",
                self.describe()
            );
            let Some(leader) = self.leader() else {
                self.run(Duration::from_millis(50));
                continue;
            };
            let token = self.propose(leader);
            for _ in 0..100 {
                if self.fates[&token] != Fate::Open {
                    break;
                }
                self.run(Duration::from_millis(20));
            }
            if let Fate::Acknowledged(index) = self.fates[&token] {
                return index;
            }
        }
    }

    fn check_all(&self) {
        let all = commands(&self.log, Index(u64::MAX));
        let mut seen = BTreeMap::new();
        for (index, command) in &all {
            assert!(
                seen.insert(*command, *index).is_none(),
                "{command} is there twice"
            );
        }
        for (command, fate) in &self.fates {
            match fate {
                Fate::Acknowledged(index) => {
                    assert_eq!(seen.get(command), Some(index), "{command} is lost or moved");
                }
                Fate::Refused => assert!(!seen.contains_key(command), "{command} was refused"),
                Fate::Open | Fate::Unknown => {}
            }
        }
        for host in &self.hosts {
            let Some(up) = &host.up else {
                continue;
            };
            let expected = commands(&self.log, up.replica.applied_index());
            assert_eq!(up.state, expected, "{} differs", host.address);
        }
    }
}

/// The commands of a log up to a position.
fn commands(log: &[Record], last: Index) -> Vec<(Index, u64)> {
    let mut commands = Vec::new();
    for record in log.iter().take_while(|record| record.index <= last) {
        if let Payload::Command(command) = &record.payload {
            commands.push((record.index, decode(command).expect("it decodes")));
        }
    }
    commands
}
