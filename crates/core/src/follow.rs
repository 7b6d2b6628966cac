//! Client side of configuration and directory replication.
//!
//! A [`Follower`] holds the configuration and the directory that are in force in one process, polls
//! control for newer ones and applies them. The configuration version never decreases: an update
//! that would lower it is dropped, and after deltas whose digest does not match, a snapshot is
//! requested. Polls are spread over time and over the control processes, so that a network partition
//! does not direct all followers to the same control process at once.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::config::{DigestedDocument, Document};
use crate::digest::Sha256;
use crate::id::{Group, Incarnation, Process, Server, Service, Version};
use crate::limit::{ServiceDemand, ServiceShare, Share};
use crate::time::Instant;
use crate::wire::Sender;
use crate::wire::directory::{ServerInfo, ServerLoad};
use crate::wire::follow::{ConfigUpdate, DirectoryRevision, DirectoryUpdate, PollRequest, Update};
use crate::wire::rank::{Assignments, SlowEngine};

/// Time between two polls of the same control process.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two polls while no quorum has confirmed the version, as the process can't serve yet.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Polls are sent early or late by up to the interval divided by this number.
const JITTER_DIVISOR: u32 = 8;

/// Time without a response after which another control process is polled.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time until the next poll after a control process has reported that it has no quorum.
const FAILOVER_DELAY: Duration = Duration::from_millis(200);

/// Time for which a share from control holds: less than control counts a follower that no longer polls.
const SHARE_LEASE: Duration = POLL_TIMEOUT;

/// Time after the last list of coordinators after which it is ignored and the leader is used, as when the
/// setting that spreads the groups was turned off.
const COORDINATORS_AGE_MAX: Duration = Duration::from_secs(5);

/// Number of entries assumed until control reports it.
pub const ENTRY_COUNT_ASSUMED: u32 = 16;

/// Time between two load reports of a server.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which the departure of a server is kept, to reject older descriptions of it.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// What an update changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateEffect {
    /// A newer configuration is in force.
    pub config_changed: bool,
    /// The directory changed.
    pub directory_changed: bool,
    /// The set of slow engines, or the slowness of one, changed.
    pub slow_engines_changed: bool,
}

/// A server and its last reported load.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatus {
    /// Its directory entry.
    pub info: ServerInfo,
    /// The load.
    pub load: ServerLoad,
    /// When the load was measured.
    pub load_measured_at: Instant,
}

/// Replica of the configuration and the directory in one process.
#[derive(Clone, Debug)]
pub struct Follower {
    /// Name of this process.
    name: Process,
    /// Control processes named in the settings.
    seed_addresses: Vec<SocketAddr>,
    /// The seed addresses and the control processes that control has reported.
    control_addresses: Vec<SocketAddr>,
    entry_count: u32,
    /// When shares were last received, with them and the number of entries.
    shares: Option<(Instant, Vec<ServiceShare>, u32)>,
    leader: Option<SocketAddr>,
    /// The coordinators of rank groups, and when they were last received.
    coordinators: (Assignments, Instant),
    slow_engines: Vec<SlowEngine>,
    wants_directory: bool,
    wants_config: bool,
    version: Version,
    document: DigestedDocument,
    /// Whether the next poll requests a snapshot, because the digest did not match after deltas.
    wants_snapshot: bool,
    servers: BTreeMap<Server, ServerStatus>,
    directory_revision: Option<DirectoryRevision>,
    /// Number of the poll whose response brought `directory_revision`, counted from the first poll
    /// of this incarnation.
    revision_poll: u64,
    /// Sequence number of the heartbeat from which each directory entry was made.
    heartbeat_sequences: BTreeMap<Server, u64>,
    /// Servers that have left: the position of the last heartbeat of each, and when it was received. A
    /// control process that has restarted may announce such a server again, on a delayed heartbeat.
    departures: BTreeMap<Server, ((Incarnation, u64), Instant)>,
    confirmed: bool,
    /// Position of the polled control process in `control_addresses`, modulo its length.
    polled_index: usize,
    /// Source of the random draws; see [`random_seed`].
    random_seed: u64,
    poll_number: u64,
    next_poll_at: Instant,
    /// Whether a second control process is still to be polled in this round.
    second_poll_due: bool,
    /// When the polled control process last sent an update while it had a quorum.
    last_update_at: Option<Instant>,
    /// Start of the response timeout of the polled control process.
    waiting_since: Instant,
}

impl Follower {
    /// An empty follower; the incarnation of its process selects the control process polled first.
    pub fn new(local: &Sender, control_addresses: Vec<SocketAddr>, wants_directory: bool) -> Self {
        let random_seed = random_seed(local);
        Self {
            name: local.process.clone(),
            seed_addresses: control_addresses.clone(),
            control_addresses,
            entry_count: 0,
            shares: None,
            leader: None,
            coordinators: Default::default(),
            slow_engines: Vec::new(),
            wants_directory,
            wants_config: true,
            version: Version(0),
            document: DigestedDocument::default(),
            wants_snapshot: false,
            servers: BTreeMap::new(),
            directory_revision: None,
            revision_poll: 0,
            heartbeat_sequences: BTreeMap::new(),
            departures: BTreeMap::new(),
            confirmed: false,
            polled_index: (mix(random_seed) >> 1) as usize,
            random_seed,
            poll_number: mix(random_seed),
            next_poll_at: Instant(0),
            second_poll_due: false,
            last_update_at: None,
            waiting_since: Instant(0),
        }
    }

    /// Turns off replication of the configuration; polls then only learn the leader.
    #[must_use]
    pub fn without_config(mut self) -> Self {
        self.wants_config = false;
        self
    }

    /// The configuration version in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The configuration in force.
    pub fn document(&self) -> &Document {
        self.document.document()
    }

    /// The servers in the directory.
    pub fn servers(&self) -> &BTreeMap<Server, ServerStatus> {
        &self.servers
    }

    /// Whether a quorum has confirmed the configuration version since this process started.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Number of entry processes that control counts, this one included; zero before the first update.
    pub fn entry_count(&self) -> u32 {
        self.entry_count
    }

    /// The share of a service that this process may use. Without a recent one from control it is no wider
    /// than an equal share, so that those that have contact may use the rest.
    pub fn share(&self, now: Instant, service: &Service) -> Share {
        let of_service = |share: &&ServiceShare| share.service == *service;
        let held = self
            .shares
            .as_ref()
            .and_then(|(received_at, shares, entry_count)| {
                let share = shares.iter().find(of_service)?.share;
                Some(match now.since(*received_at) < SHARE_LEASE {
                    true => share,
                    false => share.narrowed(*entry_count),
                })
            });
        held.unwrap_or_else(|| {
            let entry_count = match self.entry_count {
                0 => ENTRY_COUNT_ASSUMED,
                reported => reported,
            };
            Share::placed_by_name(self.name.as_str(), entry_count)
        })
    }

    /// Engines that are slow or whose group is closed.
    pub fn slow_engines(&self) -> &[SlowEngine] {
        &self.slow_engines
    }

    /// Address of the control leader, or of the polled control process while the leader is unknown.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        let addresses = &self.control_addresses;
        let polled = addresses.get(self.polled_index % addresses.len().max(1));
        self.leader.or(polled.copied())
    }

    /// Address of the coordinator of a rank group, or as [`Follower::leader_address`] if it has none.
    pub fn coordinator_address(&self, now: Instant, group: &Group) -> Option<SocketAddr> {
        let (assignments, received_at) = &self.coordinators;
        let is_recent = now.since(*received_at) < COORDINATORS_AGE_MAX;
        let coordinator = assignments.coordinator(group).filter(|_| is_recent);
        coordinator.or_else(|| self.leader_address())
    }

    /// Stores a list of coordinators unless it is older than the one held; another control process may
    /// send one late.
    fn set_coordinators(&mut self, now: Instant, coordinators: Assignments) {
        // A list that has aged may come from a cluster that was founded anew, whose terms are lower.
        let (held, received_at) = &self.coordinators;
        let has_aged = now.since(*received_at) >= COORDINATORS_AGE_MAX;
        if !coordinators.is_unknown() && (has_aged || coordinators.is_current(held)) {
            self.coordinators = (coordinators, now);
        }
    }

    /// Time since the polled control process last sent an update while it had a quorum; none before
    /// the first one.
    pub fn time_since_update(&self, now: Instant) -> Option<Duration> {
        self.last_update_at.map(|at| now.since(at))
    }

    /// Addresses of the known control processes.
    pub fn control_addresses(&self) -> &[SocketAddr] {
        &self.control_addresses
    }

    /// When [`Follower::next_poll`] next returns a poll.
    pub fn next_deadline(&self) -> Instant {
        self.next_poll_at
    }

    /// The next poll that is due and the control process to send it to; call until it returns none.
    pub fn next_poll(&mut self, now: Instant) -> Option<(SocketAddr, PollRequest)> {
        self.next_poll_with(now, Vec::new)
    }

    /// The same, with the demand that the poll names.
    pub fn next_poll_with(
        &mut self,
        now: Instant,
        demands: impl FnOnce() -> Vec<ServiceDemand>,
    ) -> Option<(SocketAddr, PollRequest)> {
        if self.control_addresses.is_empty() {
            return None;
        }
        if now < self.next_poll_at {
            return self.poll_second();
        }
        let polls_second = self.wants_directory || !self.wants_config;
        self.second_poll_due = polls_second && self.control_addresses.len() > 1;
        let last_activity = self
            .last_update_at
            .unwrap_or_default()
            .max(self.waiting_since);
        self.poll_number = self.poll_number.wrapping_add(1);
        let random = mix(self.random_seed ^ self.poll_number);
        let timeout = match self.confirmed {
            true => POLL_TIMEOUT,
            false => STARTUP_POLL_INTERVAL,
        };
        if now.since(last_activity) >= timeout {
            // Chosen at random, so that the followers of a failed control process spread over the
            // others.
            self.polled_index = self.random_other(random);
            self.waiting_since = now;
        }
        let interval = match self.confirmed {
            true => POLL_INTERVAL,
            false => STARTUP_POLL_INTERVAL,
        };
        let jitter_range_us = 2 * interval.as_micros() as u64 / u64::from(JITTER_DIVISOR);
        let jitter = Duration::from_micros(random % jitter_range_us);
        self.next_poll_at = now + (interval - interval / JITTER_DIVISOR) + jitter;
        // A digest that matches no document makes control send a snapshot.
        let digest = match self.wants_snapshot {
            true => Sha256::of(b"snapshot"),
            false => self.document.digest(),
        };
        let request = PollRequest {
            version: self.version,
            digest,
            directory_revision: self.directory_revision.clone(),
            wants_directory: self.wants_directory,
            wants_config: self.wants_config,
            wants_confirmation: !self.confirmed,
            poll_number: self.poll_number,
            demands: demands(),
        };
        Some((
            self.control_addresses[self.polled_index % self.control_addresses.len()],
            request,
        ))
    }

    /// Polls another control process for the configuration and the leader only, as the polled one
    /// may be partitioned or stalled without knowing it yet.
    fn poll_second(&mut self) -> Option<(SocketAddr, PollRequest)> {
        if !std::mem::take(&mut self.second_poll_due) {
            return None;
        }
        self.poll_number = self.poll_number.wrapping_add(1);
        let other = self.random_other(mix(self.random_seed ^ self.poll_number));
        let to = self.control_addresses[other % self.control_addresses.len()];
        let request = PollRequest {
            version: self.version,
            digest: self.document.digest(),
            directory_revision: None,
            wants_directory: false,
            // Before the first confirmation the configuration comes with the first poll of a round only.
            wants_config: self.wants_config && self.confirmed,
            wants_confirmation: false,
            poll_number: self.poll_number,
            demands: Vec::new(),
        };
        Some((to, request))
    }

    /// Applies an update; `from` is the control process that sent it.
    pub fn apply(&mut self, now: Instant, _from: &Process, update: Update) -> UpdateEffect {
        // Only the second poll of a round asks for no directory.
        let is_second = self.wants_directory && update.directory.is_none();
        if update.has_quorum && !is_second {
            self.last_update_at = Some(now);
        } else if !update.has_quorum && !is_second {
            self.fail_over(now);
        }
        self.entry_count = update.entry_count;
        if update.has_quorum && !update.shares.is_empty() {
            self.shares = Some((now, update.shares, update.entry_count));
        }
        if update.has_quorum {
            self.leader = update.leader.or(self.leader);
            self.set_coordinators(now, update.coordinators);
        }
        if !update.control_addresses.is_empty() {
            self.set_control_addresses(update.control_addresses);
        }
        // A response to an earlier incarnation of this process confirms nothing for the present one.
        let answered_poll = update.poll_number.wrapping_sub(mix(self.random_seed));
        let answers_this_incarnation = answered_poll <= self.poll_count();
        let mut effect = UpdateEffect::default();
        if !is_second && update.has_quorum && self.slow_engines != update.slow_engines {
            self.slow_engines = update.slow_engines;
            effect.slow_engines_changed = true;
        }
        if let Some(config) = update.config {
            effect.config_changed = self.apply_config(config);
            // Reports the new version, or requests a snapshot, without delay.
            self.next_poll_at = now;
        }
        if let Some(directory) = update.directory {
            let answered_poll = if answers_this_incarnation {
                answered_poll
            } else {
                0
            };
            effect.directory_changed = self.apply_directory(now, directory, answered_poll);
        }
        if update.confirmed && answers_this_incarnation && update.committed_version <= self.version
        {
            self.confirmed = true;
        }
        effect
    }

    /// Switches to another control process and polls it after [`FAILOVER_DELAY`] at the latest.
    fn fail_over(&mut self, now: Instant) {
        if self.control_addresses.len() < 2 {
            return;
        }
        self.poll_number = self.poll_number.wrapping_add(1);
        self.polled_index = self.random_other(mix(self.random_seed ^ self.poll_number));
        self.waiting_since = now;
        self.next_poll_at = self.next_poll_at.min(now + FAILOVER_DELAY);
    }

    /// Position, modulo the length of the list, of a random control process other than the polled one.
    fn random_other(&self, random: u64) -> usize {
        let others = self.control_addresses.len().max(2) - 1;
        self.polled_index % self.control_addresses.len() + 1 + random as usize % others
    }

    /// Replaces the control addresses by the reported ones; the seed addresses are kept, as a
    /// fallback if all control processes move.
    fn set_control_addresses(&mut self, reported: Vec<SocketAddr>) {
        let polled = self
            .control_addresses
            .get(self.polled_index % self.control_addresses.len().max(1))
            .copied();
        let mut addresses = reported;
        for address in &self.seed_addresses {
            if !addresses.contains(address) {
                addresses.push(*address);
            }
        }
        let position = polled.and_then(|polled| addresses.iter().position(|at| *at == polled));
        self.polled_index = position.unwrap_or(self.polled_index);
        self.control_addresses = addresses;
    }

    /// Number of poll numbers that this incarnation has used.
    fn poll_count(&self) -> u64 {
        self.poll_number.wrapping_sub(mix(self.random_seed))
    }

    fn apply_config(&mut self, config: ConfigUpdate) -> bool {
        match config {
            ConfigUpdate::Snapshot { version, document } => {
                if version <= self.version {
                    return false;
                }
                self.document = DigestedDocument::from(document);
                self.version = version;
                self.wants_snapshot = false;
                true
            }
            ConfigUpdate::Deltas {
                base,
                deltas,
                digest,
            } => {
                let Some(last) = deltas.last().map(|delta| delta.version) else {
                    return false;
                };
                if base != self.version || last <= self.version {
                    return false;
                }
                let mut undo = Vec::new();
                for delta in &deltas {
                    undo.push(self.document.apply(&delta.patch));
                }
                if self.document.digest() != digest {
                    for patch in undo.iter().rev() {
                        self.document.apply(patch);
                    }
                    self.wants_snapshot = true;
                    return false;
                }
                self.version = last;
                true
            }
        }
    }

    /// Applies a directory update that answers the poll numbered `answered_poll`.
    ///
    /// Of two incarnations of a control process, the later one is recognised by the later poll that
    /// it answers; incarnation numbers come from a clock that may jump.
    fn apply_directory(
        &mut self,
        now: Instant,
        directory: DirectoryUpdate,
        answered_poll: u64,
    ) -> bool {
        let held = self.directory_revision.as_ref();
        let same_source = held.is_some_and(|revision| revision.source == directory.revision.source);
        let number = held.map_or(0, |revision| revision.number);
        let (process, incarnation) = &directory.revision.source;
        let restarted =
            held.is_some_and(|held| held.source.0 == *process && held.source.1 != *incarnation);
        if restarted && answered_poll <= self.revision_poll {
            return false;
        }
        match directory.base_revision {
            // Changes since an earlier revision include those since the one held.
            Some(base) if !same_source || base > number => return false,
            _ if same_source && directory.revision.number < number => return false,
            Some(_) => {}
            None if directory.warmed_up => self.remove_absent_servers(&directory.servers),
            None => {}
        }
        let present_again = self.record_departures(now, directory.departed);
        // A process in its warm-up may have missed a description that another one has sent.
        let replaces_later = same_source && directory.warmed_up;
        for (info, sequence) in directory.servers {
            self.put_server(now, info, sequence, replaces_later);
        }
        for server in &directory.removed {
            if present_again.contains(server) {
                continue;
            }
            self.servers.remove(server);
            self.heartbeat_sequences.remove(server);
        }
        if directory.loads_complete {
            self.refresh_load_times(now);
        }
        for reading in directory.loads {
            if let Some(status) = self.servers.get_mut(&reading.server) {
                status.load = reading.load;
                status.load_measured_at = now - Duration::from_millis(reading.age_ms.into());
            }
        }
        self.directory_revision = Some(directory.revision);
        self.revision_poll = answered_poll;
        true
    }

    /// Records departures, and returns the servers of which a later incarnation is held.
    fn record_departures(
        &mut self,
        now: Instant,
        departed: Vec<(Server, Incarnation, u64)>,
    ) -> BTreeSet<Server> {
        self.departures
            .retain(|_, (_, received_at)| now.since(*received_at) < DEPARTURE_RETENTION);
        let mut present_again = BTreeSet::new();
        for (server, incarnation, sequence) in departed {
            let position = (incarnation, sequence);
            if self.position(&server).is_some_and(|held| held > position) {
                present_again.insert(server);
                continue;
            }
            let recorded = self.departures.get(&server);
            if recorded.is_none_or(|(recorded, _)| *recorded < position) {
                self.departures.insert(server, (position, now));
            }
        }
        present_again
    }

    /// Incarnation and sequence number of the heartbeat from which the entry of a server was made.
    fn position(&self, server: &Server) -> Option<(Incarnation, u64)> {
        let incarnation = self.servers.get(server)?.info.incarnation;
        let sequence = self.heartbeat_sequences.get(server).copied().unwrap_or(0);
        Some((incarnation, sequence))
    }

    fn remove_absent_servers(&mut self, servers: &[(ServerInfo, u64)]) {
        let present: BTreeSet<&Server> = servers.iter().map(|(info, _)| &info.server).collect();
        self.servers.retain(|name, _| present.contains(name));
        self.heartbeat_sequences
            .retain(|name, _| present.contains(name));
    }

    /// Stores a directory entry unless the server has left since, or a later entry is held and
    /// `replaces_later` is not set.
    fn put_server(&mut self, now: Instant, info: ServerInfo, sequence: u64, replaces_later: bool) {
        let server = info.server.clone();
        let position = (info.incarnation, sequence);
        let departure = self.departures.get(&server);
        if departure.is_some_and(|(departure, _)| position <= *departure) {
            return;
        }
        let held_is_later = self.position(&server).is_some_and(|held| held > position);
        if held_is_later && !replaces_later {
            return;
        }
        let held = self.servers.get(&server);
        let (load, load_measured_at) = held.map_or((ServerLoad::default(), now), |status| {
            (status.load, status.load_measured_at)
        });
        self.heartbeat_sequences.insert(server.clone(), sequence);
        self.servers.insert(
            server,
            ServerStatus {
                info,
                load,
                load_measured_at,
            },
        );
    }

    /// Moves the measurement times of all loads up to one report interval ago: a complete update omits
    /// the loads that have not changed.
    fn refresh_load_times(&mut self, now: Instant) {
        for status in self.servers.values_mut() {
            status.load_measured_at = status.load_measured_at.max(now - LOAD_REPORT_INTERVAL);
        }
    }
}

/// Base of the poll numbers of one incarnation of a process: its first poll has the next number.
pub fn poll_number_base(local: &Sender) -> u64 {
    mix(random_seed(local))
}

/// A number that differs, with high probability, between the incarnations of a process.
fn random_seed(local: &Sender) -> u64 {
    let incarnation = format!("{}/{}", local.process, local.incarnation);
    Sha256::of(incarnation.as_bytes()).first_128_bits().0
}

/// SplitMix64 finaliser: spreads neighbouring numbers over the whole range.
fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
