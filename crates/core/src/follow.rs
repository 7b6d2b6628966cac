//! Follows the configuration and the directory.
//!
//! A [`Follower`] holds what is in force in one process, asks control for what is newer and applies
//! it. The version in force never goes down: an update that would step back, or whose digest does
//! not fit, is dropped and a snapshot is asked for. Questions are spread over time and over the
//! control processes, so that a cut does not bring all followers to one of them at once.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::config::{DigestedDocument, Document};
use crate::digest::Sha256;
use crate::id::{Process, Server, Version};
use crate::time::Instant;
use crate::wire::Sender;
use crate::wire::directory::{ServerInfo, ServerLoad};
use crate::wire::follow::{ConfigUpdate, DirectoryRevision, DirectoryUpdate, PollRequest, Update};
use crate::wire::rank::SlowEngine;

/// Time between two questions to the same control process.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two questions of a process that can't serve yet.
const START_INTERVAL: Duration = Duration::from_millis(500);

/// Most by which a question comes early or late, in parts of the interval.
const JITTER_PART: u32 = 8;

/// Time without an answer after which another control process is asked.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time until the next question after a control process has said that it is cut off.
const LEAVE_PAUSE: Duration = Duration::from_millis(200);

/// Time between two reports of a back end's load.
const BEAT_INTERVAL: Duration = Duration::from_secs(1);

/// What an update changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateEffect {
    /// The configuration in force is a newer one.
    pub config_changed: bool,
    /// The directory changed.
    pub directory_changed: bool,
    /// Other engines are slow than before.
    pub slow_engines_changed: bool,
}

/// A back end and what was last heard of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatus {
    /// Its row.
    pub info: ServerInfo,
    /// Its load as last reported.
    pub load: ServerLoad,
    /// When that load was measured.
    pub load_measured_at: Instant,
}

/// What one process holds of the configuration and the directory.
#[derive(Clone, Debug)]
pub struct Follower {
    /// Control processes named in the settings.
    seeds: Vec<SocketAddr>,
    /// Those and the ones that control told of.
    control: Vec<SocketAddr>,
    entries: u32,
    leader: Option<SocketAddr>,
    slow: Vec<SlowEngine>,
    wants_directory: bool,
    wants_config: bool,
    version: Version,
    held: DigestedDocument,
    /// Whether the next question asks for a snapshot, since deltas did not fit.
    wants_snapshot: bool,
    servers: BTreeMap<Server, ServerStatus>,
    revision: Option<DirectoryRevision>,
    /// Number of the last question that control had heard when it told the revision held.
    revision_asked: u64,
    /// Number of the beat that each row came with.
    beats: BTreeMap<Server, u64>,
    confirmed: bool,
    asked: usize,
    seed: u64,
    question: u64,
    next_ask: Instant,
    /// Whether another control process is still to be asked beside the one that is followed.
    second_due: bool,
    heard: Option<Instant>,
    waiting_since: Instant,
}

impl Follower {
    /// A follower that holds nothing; the life of its process decides whom it asks first.
    pub fn new(me: &Sender, control: Vec<SocketAddr>, wants_directory: bool) -> Self {
        let seed = seed(me);
        Self {
            seeds: control.clone(),
            control,
            entries: 0,
            leader: None,
            slow: Vec::new(),
            wants_directory,
            wants_config: true,
            version: Version(0),
            held: DigestedDocument::default(),
            wants_snapshot: false,
            servers: BTreeMap::new(),
            revision: None,
            revision_asked: 0,
            beats: BTreeMap::new(),
            confirmed: false,
            asked: (mix(seed) >> 1) as usize,
            seed,
            question: mix(seed),
            next_ask: Instant(0),
            second_due: false,
            heard: None,
            waiting_since: Instant(0),
        }
    }

    /// A follower that only wants to know who leads.
    #[must_use]
    pub fn without_config(mut self) -> Self {
        self.wants_config = false;
        self
    }

    /// The version in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The configuration in force.
    pub fn document(&self) -> &Document {
        self.held.document()
    }

    /// The back ends known, by name.
    pub fn servers(&self) -> &BTreeMap<Server, ServerStatus> {
        &self.servers
    }

    /// Whether a quorum has confirmed the version since this process started.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Entries that control counts, this process among them; zero before it was first heard.
    pub fn entry_count(&self) -> u32 {
        self.entries
    }

    /// Engines that are slow now.
    pub fn slow_engines(&self) -> &[SlowEngine] {
        &self.slow
    }

    /// Where the leader of control takes messages, or the control process that is asked.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        let asked = self.control.get(self.asked % self.control.len().max(1));
        self.leader.or(asked.copied())
    }

    /// Time since control was last heard; none before the first time.
    pub fn time_since_update(&self, now: Instant) -> Option<Duration> {
        self.heard.map(|at| now.since(at))
    }

    /// Where the control processes are, as far as is known.
    pub fn control_addresses(&self) -> &[SocketAddr] {
        &self.control
    }

    /// When [`Follower::next_poll`] next has something to send.
    pub fn next_deadline(&self) -> Instant {
        self.next_ask
    }

    /// The question that is due, if any, and the control process it goes to; call it until there is
    /// none.
    pub fn next_poll(&mut self, now: Instant) -> Option<(SocketAddr, PollRequest)> {
        if self.control.is_empty() {
            return None;
        }
        if now < self.next_ask {
            return self.ask_second();
        }
        let depends = self.wants_directory || !self.wants_config;
        self.second_due = depends && self.control.len() > 1;
        let last = self.heard.unwrap_or_default().max(self.waiting_since);
        self.question = self.question.wrapping_add(1);
        let random = mix(self.seed ^ self.question);
        let patience = match self.confirmed {
            true => POLL_TIMEOUT,
            false => START_INTERVAL,
        };
        if now.since(last) >= patience {
            // Any of the others, so that the followers of a dead one don't all go to the next.
            self.asked = self.another(random);
            self.waiting_since = now;
        }
        let interval = match self.confirmed {
            true => POLL_INTERVAL,
            false => START_INTERVAL,
        };
        let spread = 2 * interval.as_micros() as u64 / u64::from(JITTER_PART);
        let jitter = Duration::from_micros(random % spread);
        self.next_ask = now + (interval - interval / JITTER_PART) + jitter;
        // A digest that no document has makes control send a snapshot.
        let digest = match self.wants_snapshot {
            true => Sha256::of(b"snapshot"),
            false => self.held.digest(),
        };
        let follow = PollRequest {
            version: self.version,
            digest,
            directory_revision: self.revision.clone(),
            wants_directory: self.wants_directory,
            wants_config: self.wants_config,
            wants_confirmation: !self.confirmed,
            poll_number: self.question,
        };
        Some((self.control[self.asked % self.control.len()], follow))
    }

    /// Asks another control process for the configuration and the leader only: the one that is followed
    /// may be cut off or stand still and not know it yet.
    fn ask_second(&mut self) -> Option<(SocketAddr, PollRequest)> {
        if !std::mem::take(&mut self.second_due) {
            return None;
        }
        self.question = self.question.wrapping_add(1);
        let another = self.another(mix(self.seed ^ self.question));
        let to = self.control[another % self.control.len()];
        let follow = PollRequest {
            version: self.version,
            digest: self.held.digest(),
            directory_revision: None,
            wants_directory: false,
            wants_config: self.wants_config,
            wants_confirmation: false,
            poll_number: self.question,
        };
        Some((to, follow))
    }

    /// Applies an update; `from` is the control process that sent it.
    pub fn apply(&mut self, now: Instant, _from: &Process, update: Update) -> UpdateEffect {
        let is_second = self.wants_directory && update.directory.is_none();
        if update.has_quorum && !is_second {
            self.heard = Some(now);
        } else if !update.has_quorum && !is_second {
            self.leave(now);
        }
        self.entries = update.entry_count;
        if update.has_quorum {
            self.leader = update.leader.or(self.leader);
        }
        if !update.control.is_empty() {
            self.meet(update.control);
        }
        // An answer to an earlier life of this process answers nothing that this one asked.
        let asked = update.poll_number.wrapping_sub(mix(self.seed));
        let answers = asked <= self.asked_so_far();
        let mut change = UpdateEffect::default();
        if !is_second && update.has_quorum && self.slow != update.slow_engines {
            self.slow = update.slow_engines;
            change.slow_engines_changed = true;
        }
        if let Some(config) = update.config {
            change.config_changed = self.apply_config(config);
            // Says at once what is in force now, or asks for a snapshot.
            self.next_ask = now;
        }
        if let Some(directory) = update.directory {
            let asked = if answers { asked } else { 0 };
            change.directory_changed = self.apply_directory(now, directory, asked);
        }
        if update.confirmed && answers && update.committed_version <= self.version {
            self.confirmed = true;
        }
        change
    }

    /// Turns to another control process at the next question, which is due at once.
    fn leave(&mut self, now: Instant) {
        if self.control.len() < 2 {
            return;
        }
        self.question = self.question.wrapping_add(1);
        self.asked = self.another(mix(self.seed ^ self.question));
        self.waiting_since = now;
        self.next_ask = self.next_ask.min(now + LEAVE_PAUSE);
    }

    /// Position, counted around the list, of any control process but the one that is followed.
    fn another(&self, random: u64) -> usize {
        let others = self.control.len().max(2) - 1;
        self.asked % self.control.len() + 1 + random as usize % others
    }

    /// Takes in where the control processes are now; the seeds stay, for when all of them move.
    fn meet(&mut self, told: Vec<SocketAddr>) {
        let asked = self
            .control
            .get(self.asked % self.control.len().max(1))
            .copied();
        let mut control = told;
        for seed in &self.seeds {
            if !control.contains(seed) {
                control.push(*seed);
            }
        }
        let place = asked.and_then(|asked| control.iter().position(|at| *at == asked));
        self.asked = place.unwrap_or(self.asked);
        self.control = control;
    }

    /// Questions asked so far.
    fn asked_so_far(&self) -> u64 {
        self.question.wrapping_sub(mix(self.seed))
    }

    fn apply_config(&mut self, config: ConfigUpdate) -> bool {
        match config {
            ConfigUpdate::Snapshot { version, document } => {
                if version <= self.version {
                    return false;
                }
                self.held = DigestedDocument::from(document);
                self.version = version;
                self.wants_snapshot = false;
                true
            }
            ConfigUpdate::Deltas {
                base: from,
                deltas: changes,
                digest,
            } => {
                let Some(last) = changes.last().map(|delta| delta.version) else {
                    return false;
                };
                if from != self.version || last <= self.version {
                    return false;
                }
                let mut undo = Vec::new();
                for delta in &changes {
                    undo.push(self.held.apply(&delta.patch));
                }
                if self.held.digest() != digest {
                    for patch in undo.iter().rev() {
                        self.held.apply(patch);
                    }
                    self.wants_snapshot = true;
                    return false;
                }
                self.version = last;
                true
            }
        }
    }

    /// Applies what control says of the back ends, after it heard the question numbered `asked`.
    ///
    /// Of two lives of a control process the later one has heard the later question; their own
    /// numbers come from a clock that may jump.
    fn apply_directory(&mut self, now: Instant, directory: DirectoryUpdate, asked: u64) -> bool {
        let held = self.revision.as_ref();
        let same = held.is_some_and(|revision| revision.source == directory.revision.source);
        let number = held.map_or(0, |revision| revision.number);
        let (process, life) = &directory.revision.source;
        let other_life =
            held.is_some_and(|held| held.source.0 == *process && held.source.1 != *life);
        if other_life && asked <= self.revision_asked {
            return false;
        }
        match directory.base_revision {
            Some(since) if !same || since != number => return false,
            None if same && directory.revision.number < number => return false,
            Some(_) => {}
            None if directory.warmed_up => self.drop_absent(&directory.servers),
            None => {}
        }
        for (row, beat) in directory.servers {
            self.put_row(now, row, beat, same);
        }
        for server in &directory.removed {
            self.servers.remove(server);
            self.beats.remove(server);
        }
        if directory.loads_complete {
            self.renew_loads(now);
        }
        for reading in directory.loads {
            if let Some(seen) = self.servers.get_mut(&reading.server) {
                seen.load = reading.load;
                seen.load_measured_at = now - Duration::from_millis(reading.age_ms.into());
            }
        }
        self.revision = Some(directory.revision);
        self.revision_asked = asked;
        true
    }

    fn drop_absent(&mut self, rows: &[(ServerInfo, u64)]) {
        let present: BTreeSet<&Server> = rows.iter().map(|(row, _)| &row.server).collect();
        self.servers.retain(|name, _| present.contains(name));
        self.beats.retain(|name, _| present.contains(name));
    }

    /// Puts a row in force, unless another control process told of a later one.
    fn put_row(&mut self, now: Instant, row: ServerInfo, beat: u64, same: bool) {
        let server = row.server.clone();
        let held = self.servers.get(&server);
        let held_beat = self.beats.get(&server).copied().unwrap_or(0);
        let later =
            held.is_some_and(|seen| (seen.info.incarnation, held_beat) > (row.incarnation, beat));
        if later && !same {
            return;
        }
        let (load, load_at) = held.map_or((ServerLoad::default(), now), |s| {
            (s.load, s.load_measured_at)
        });
        self.beats.insert(server.clone(), beat);
        self.servers.insert(
            server,
            ServerStatus {
                info: row,
                load,
                load_measured_at: load_at,
            },
        );
    }

    /// Notes that loads which were not sent are as they were.
    fn renew_loads(&mut self, now: Instant) {
        for seen in self.servers.values_mut() {
            seen.load_measured_at = seen.load_measured_at.max(now - BEAT_INTERVAL);
        }
    }
}

/// Number from which the questions of one life of a process count on.
pub fn first_poll_number(me: &Sender) -> u64 {
    mix(seed(me))
}

/// A number that no other life of a process is likely to have.
fn seed(me: &Sender) -> u64 {
    let life = format!("{}/{}", me.process, me.incarnation);
    Sha256::of(life.as_bytes()).first_128_bits().0
}

/// Mixes the bits of a number, so that neighbours lie far apart (SplitMix64).
fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
