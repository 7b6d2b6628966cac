//! Follows the configuration and the directory.
//!
//! A [`Follower`] holds what is in force in one process, asks control for what is newer and applies
//! it. The version in force never goes down: an update that would step back, or whose digest does
//! not fit, is dropped and a snapshot is asked for.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::config::{Document, Tracked};
use crate::digest::Sha256;
use crate::id::{Process, Server, Version};
use crate::time::Instant;
use crate::wire::directory::{Load, Row};
use crate::wire::follow::{Config, Directory, Follow, Revision, Update};

/// Time between two questions to the same control process.
pub const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// Time without an answer after which another control process is asked.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(2500);

/// What an update changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The configuration in force is a newer one.
    pub config: bool,
    /// The directory changed.
    pub directory: bool,
}

/// A back end and what was last heard of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// Its row.
    pub row: Row,
    /// Its load as last reported.
    pub load: Load,
    /// When that load was measured.
    pub load_at: Instant,
}

/// What one process holds of the configuration and the directory.
#[derive(Clone, Debug)]
pub struct Follower {
    control: Vec<SocketAddr>,
    wants_directory: bool,
    version: Version,
    held: Tracked,
    /// Whether the next question asks for a snapshot, since deltas did not fit.
    wants_snapshot: bool,
    servers: BTreeMap<Server, Seen>,
    revision: Option<Revision>,
    confirmed: bool,
    asked: usize,
    next_ask: Instant,
    heard: Option<Instant>,
    waiting_since: Instant,
}

impl Follower {
    /// A follower that holds nothing; `first` picks the control process that it asks first.
    pub fn new(control: Vec<SocketAddr>, wants_directory: bool, first: usize) -> Self {
        Self {
            control,
            wants_directory,
            version: Version(0),
            held: Tracked::default(),
            wants_snapshot: false,
            servers: BTreeMap::new(),
            revision: None,
            confirmed: false,
            asked: first,
            next_ask: Instant(0),
            heard: None,
            waiting_since: Instant(0),
        }
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
    pub fn servers(&self) -> &BTreeMap<Server, Seen> {
        &self.servers
    }

    /// Whether a quorum has confirmed the version since this process started.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Time since control was last heard; none before the first time.
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        self.heard.map(|at| now.since(at))
    }

    /// When [`Follower::ask`] next has something to send.
    pub fn next_deadline(&self) -> Instant {
        self.next_ask
    }

    /// The question that is due, if any, and the control process it goes to.
    pub fn ask(&mut self, now: Instant) -> Option<(SocketAddr, Follow)> {
        if now < self.next_ask || self.control.is_empty() {
            return None;
        }
        let last = self.heard.unwrap_or_default().max(self.waiting_since);
        if now.since(last) >= ANSWER_TIMEOUT {
            self.asked += 1;
            self.waiting_since = now;
        }
        self.next_ask = now + ASK_INTERVAL;
        // A digest that no document has makes control send a snapshot.
        let digest = match self.wants_snapshot {
            true => Sha256::of(b"snapshot"),
            false => self.held.digest(),
        };
        let follow = Follow {
            version: self.version,
            digest,
            directory: self.revision.clone(),
            wants_directory: self.wants_directory,
            confirm: !self.confirmed,
        };
        Some((self.control[self.asked % self.control.len()], follow))
    }

    /// Applies an update; `from` is the control process that sent it.
    pub fn apply(&mut self, now: Instant, _from: &Process, update: Update) -> Change {
        self.heard = Some(now);
        let mut change = Change::default();
        if let Some(config) = update.config {
            change.config = self.apply_config(config);
            // Says at once what is in force now, or asks for a snapshot.
            self.next_ask = now;
        }
        if let Some(directory) = update.directory {
            change.directory = self.apply_directory(now, directory);
        }
        if update.confirmed && update.present <= self.version {
            self.confirmed = true;
        }
        change
    }

    fn apply_config(&mut self, config: Config) -> bool {
        match config {
            Config::Snapshot { version, document } => {
                if version <= self.version {
                    return false;
                }
                self.held = Tracked::from(document);
                self.version = version;
                self.wants_snapshot = false;
                true
            }
            Config::Deltas {
                from,
                changes,
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

    fn apply_directory(&mut self, now: Instant, directory: Directory) -> bool {
        let held = self.revision.as_ref();
        let same = held.is_some_and(|revision| revision.of == directory.revision.of);
        let number = held.map_or(0, |revision| revision.number);
        match directory.since {
            Some(since) if !same || since != number => return false,
            None if same && directory.revision.number < number => return false,
            Some(_) => {}
            None => {
                let rows = &directory.rows;
                self.servers
                    .retain(|name, _| rows.iter().any(|row| row.server == *name));
            }
        }
        for row in directory.rows {
            let held = self.servers.get(&row.server);
            let (load, load_at) = held.map_or((Load::default(), now), |s| (s.load, s.load_at));
            self.servers
                .insert(row.server.clone(), Seen { row, load, load_at });
        }
        for server in &directory.gone {
            self.servers.remove(server);
        }
        for (server, load, age_ms) in directory.loads {
            if let Some(seen) = self.servers.get_mut(&server) {
                seen.load = load;
                seen.load_at = now - Duration::from_millis(age_ms.into());
            }
        }
        self.revision = Some(directory.revision);
        true
    }
}
