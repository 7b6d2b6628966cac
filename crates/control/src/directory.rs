//! The directory of back ends, as one control process hears it.
//!
//! Agents announce themselves to every control process, which each keep a directory of their own.
//! It needs no leader: a back end whose announcements stop is dropped when its lease runs out.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Incarnation, Process, Server};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::directory::{Beat, Load, Row, State};
use eelgrassdyke_core::wire::follow;

/// Time after the last announcement at which a back end counts as gone.
pub const LEASE: Duration = Duration::from_secs(3);

/// Changes kept to bring followers up to date without sending everything.
const CHANGES_MAX: usize = 4096;

#[derive(Clone, Debug)]
struct Known {
    row: Row,
    sequence: u64,
    load: Load,
    heard: Instant,
}

/// Back ends and their leases.
#[derive(Clone, Debug)]
pub struct Directory {
    of: (Process, Incarnation),
    revision: u64,
    servers: BTreeMap<Server, Known>,
    changes: VecDeque<(u64, Server)>,
}

impl Directory {
    /// An empty directory of one life of a control process.
    pub fn new(process: Process, incarnation: Incarnation) -> Self {
        Self {
            of: (process, incarnation),
            revision: 0,
            servers: BTreeMap::new(),
            changes: VecDeque::new(),
        }
    }

    /// The revision, which rises with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes in an announcement; gives the event when it changed the directory.
    pub fn hear(&mut self, now: Instant, beat: Beat) -> Option<Event> {
        let server = beat.row.server.clone();
        let held = self.servers.get(&server);
        let position = |row: &Row, sequence| (row.incarnation, sequence);
        if held.is_some_and(|k| position(&k.row, k.sequence) >= position(&beat.row, beat.sequence))
        {
            return None;
        }
        if beat.row.state == State::Left {
            self.servers.remove(&server)?;
            self.note(&server);
            return Some(Event::new(Code::ServerLeft, "").server(&server));
        }
        let same = held.is_some_and(|known| known.row == beat.row);
        let code = match beat.row.state {
            State::Draining => Code::ServerDraining,
            _ => Code::ServerUp,
        };
        let detail = format!("incarnation {}", beat.row.incarnation);
        let known = Known {
            row: beat.row,
            sequence: beat.sequence,
            load: beat.load,
            heard: now,
        };
        self.servers.insert(server.clone(), known);
        if same {
            return None;
        }
        self.note(&server);
        Some(Event::new(code, detail).server(&server))
    }

    /// Drops the back ends whose lease has run out.
    pub fn expire(&mut self, now: Instant) -> Vec<Event> {
        let mut events = Vec::new();
        let lost = |known: &Known| now.since(known.heard) >= LEASE;
        let names: Vec<Server> = self
            .servers
            .iter()
            .filter(|(_, k)| lost(k))
            .map(|(name, _)| name.clone())
            .collect();
        for server in names {
            self.servers.remove(&server);
            self.note(&server);
            events.push(Event::new(Code::ServerLost, "lease ran out").server(&server));
        }
        events
    }

    /// When the next lease runs out.
    pub fn next_deadline(&self) -> Instant {
        let first = self.servers.values().map(|known| known.heard).min();
        first.map_or(Instant::NEVER, |heard| heard + LEASE)
    }

    /// What a follower that holds `held` lacks; loads are always sent.
    pub fn since(&self, now: Instant, held: Option<&follow::Revision>) -> follow::Directory {
        let since = held
            .filter(|held| self.reaches(held))
            .map(|held| held.number);
        let mut rows = Vec::new();
        let mut gone = Vec::new();
        match since {
            None => rows.extend(self.servers.values().map(|known| known.row.clone())),
            Some(since) => {
                let newer = self.changes.iter().filter(|(number, _)| *number > since);
                let names: std::collections::BTreeSet<_> = newer.map(|(_, name)| name).collect();
                for name in names {
                    match self.servers.get(name) {
                        Some(known) => rows.push(known.row.clone()),
                        None => gone.push(name.clone()),
                    }
                }
            }
        }
        let mut loads = Vec::new();
        for (name, known) in &self.servers {
            let age_ms = now.since(known.heard).as_millis() as u32;
            loads.push((name.clone(), known.load, age_ms));
        }
        let revision = follow::Revision {
            of: self.of.clone(),
            number: self.revision,
        };
        follow::Directory {
            revision,
            since,
            rows,
            gone,
            loads,
        }
    }

    /// Whether the changes kept lead from `held` to the present.
    fn reaches(&self, held: &follow::Revision) -> bool {
        if held.of != self.of || held.number > self.revision {
            return false;
        }
        let oldest = self
            .changes
            .front()
            .map_or(self.revision + 1, |(number, _)| *number);
        held.number + 1 >= oldest
    }

    /// Back ends and their loads.
    pub fn servers(&self) -> Vec<(Row, Load)> {
        self.servers
            .values()
            .map(|known| (known.row.clone(), known.load))
            .collect()
    }

    fn note(&mut self, server: &Server) {
        self.revision += 1;
        self.changes.push_back((self.revision, server.clone()));
        if self.changes.len() > CHANGES_MAX {
            self.changes.pop_front();
        }
    }
}
