//! The directory of back ends, as one control process hears it.
//!
//! Agents announce themselves to every control process, which each keep a directory of their own.
//! It needs no leader: a back end whose announcements stop is dropped when its lease runs out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Incarnation, Process, Server};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::directory::{Heartbeat, ServerInfo, ServerLoad, ServerState};
use eelgrassdyke_core::wire::follow;

/// Time after the last announcement at which a back end counts as gone, unless set otherwise.
pub const LEASE: Duration = Duration::from_secs(3);

/// Changes kept to bring followers up to date without sending everything.
const CHANGES_MAX: usize = 4096;

/// Time for which the last beat of a back end that is gone is remembered.
const MEMORY: Duration = Duration::from_secs(60);

/// Standstill of this process that leases don't run through.
const STANDSTILL: Duration = Duration::from_secs(1);

/// Loads in one answer at most, so that a follower's share of the line stays small.
const LOADS_MAX: usize = 400;

/// A load is noted when a part of it changed by more than one in this many.
const CHANGE_PART: u64 = 8;

#[derive(Clone, Debug)]
struct Known {
    row: ServerInfo,
    /// Beat with which the row last changed.
    changed: u64,
    sequence: u64,
    load: ServerLoad,
    /// The load as last noted for followers, and its number.
    noted: (u64, ServerLoad),
    heard: Instant,
    rival: bool,
}

/// The last beat of a back end that is gone.
#[derive(Clone, Copy, Debug)]
struct Last {
    position: (Incarnation, u64),
    at: Instant,
}

/// Back ends and their leases.
#[derive(Clone, Debug)]
pub struct Directory {
    of: (Process, Incarnation),
    started: Option<Instant>,
    swept: Instant,
    revision: u64,
    loads: u64,
    servers: BTreeMap<Server, Known>,
    changes: VecDeque<(u64, Server)>,
    by_load: BTreeMap<u64, Server>,
    gone: BTreeMap<Server, Last>,
    lease: Duration,
}

impl Directory {
    /// An empty directory of one life of a control process.
    pub fn new(process: Process, incarnation: Incarnation) -> Self {
        Self {
            of: (process, incarnation),
            started: None,
            swept: Instant(0),
            revision: 1,
            loads: 0,
            servers: BTreeMap::new(),
            changes: VecDeque::new(),
            by_load: BTreeMap::new(),
            gone: BTreeMap::new(),
            lease: LEASE,
        }
    }

    /// Sets the time after the last announcement at which a back end counts as gone.
    #[must_use]
    pub fn with_lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self
    }

    /// The revision, from 1, which rises with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes in an announcement; gives the event when it changed the directory.
    pub fn hear(&mut self, now: Instant, beat: Heartbeat) -> Option<Event> {
        self.start(now);
        let server = beat.info.server.clone();
        let position = (beat.info.incarnation, beat.sequence);
        if self.is_old(&server, position) {
            return None;
        }
        if let Some(event) = self.refuse_rival(&beat) {
            return event;
        }
        if beat.info.state == ServerState::Left {
            return self.leave(now, &server, position);
        }
        self.gone.remove(&server);
        let held = self.servers.get(&server);
        let same = held.is_some_and(|known| known.row == beat.info);
        let changed = match held {
            Some(known) if same => known.changed,
            _ => beat.sequence,
        };
        let noted = held.map_or((0, ServerLoad::default()), |known| known.noted);
        let event = Event::new(
            match beat.info.state {
                ServerState::Draining => Code::ServerDraining,
                _ => Code::ServerUp,
            },
            format!("incarnation {}", beat.info.incarnation),
        );
        let known = Known {
            row: beat.info,
            changed,
            sequence: beat.sequence,
            load: beat.load,
            noted,
            heard: now,
            rival: false,
        };
        self.servers.insert(server.clone(), known);
        self.note_load(&server);
        if same {
            return None;
        }
        self.note(&server);
        Some(event.server(&server))
    }

    /// Notes when this directory began to listen.
    fn start(&mut self, now: Instant) {
        if self.started.is_none() {
            self.started = Some(now);
            self.swept = now;
        }
    }

    /// Whether a beat at `position` was overtaken by another of the same back end.
    fn is_old(&self, server: &Server, position: (Incarnation, u64)) -> bool {
        let held = self.servers.get(server);
        let held = held.map(|known| (known.row.incarnation, known.sequence));
        let last = self.gone.get(server).map(|last| last.position);
        held.is_some_and(|held| position <= held) || last.is_some_and(|last| position <= last)
    }

    /// Refuses a second process that announces a held back end under the same incarnation.
    ///
    /// The first one keeps the name while its lease lives. Gives none when there is no rival.
    fn refuse_rival(&mut self, beat: &Heartbeat) -> Option<Option<Event>> {
        let known = self.servers.get_mut(&beat.info.server)?;
        let held = (&known.row.agent, known.row.address);
        let tie = known.row.incarnation == beat.info.incarnation;
        if !tie || held == (&beat.info.agent, beat.info.address) {
            return None;
        }
        if known.rival {
            return Some(None);
        }
        known.rival = true;
        let detail = format!(
            "{} at {} announces a server that {} at {} holds; give each server a name of its own",
            beat.info.agent, beat.info.address, known.row.agent, known.row.address
        );
        let event = Event::new(Code::InputRefused, detail);
        Some(Some(event.server(&beat.info.server)))
    }

    /// Takes in that a back end has left, from a notice that names neither life nor number.
    ///
    /// Whatever the same life announced before and arrives after is old.
    pub fn dismiss(&mut self, now: Instant, server: &Server) -> Option<Event> {
        let life = self.servers.get(server)?.row.incarnation;
        self.leave(now, server, (life, u64::MAX))
    }

    fn leave(
        &mut self,
        now: Instant,
        server: &Server,
        position: (Incarnation, u64),
    ) -> Option<Event> {
        let last = Last { position, at: now };
        self.gone.insert(server.clone(), last);
        let known = self.servers.remove(server)?;
        self.by_load.remove(&known.noted.0);
        self.note(server);
        Some(Event::new(Code::ServerLeft, "").server(server))
    }

    /// Drops the back ends whose lease has run out.
    pub fn expire(&mut self, now: Instant) -> Vec<Event> {
        self.start(now);
        self.skip_standstill(now);
        self.gone.retain(|_, last| now.since(last.at) < MEMORY);
        let mut events = Vec::new();
        let lost = |known: &Known| now.since(known.heard) >= self.lease;
        let names: Vec<Server> = self
            .servers
            .iter()
            .filter(|(_, k)| lost(k))
            .map(|(name, _)| name.clone())
            .collect();
        for server in names {
            let Some(known) = self.servers.remove(&server) else {
                continue;
            };
            self.by_load.remove(&known.noted.0);
            let position = (known.row.incarnation, known.sequence);
            self.gone.insert(server.clone(), Last { position, at: now });
            self.note(&server);
            events.push(Event::new(Code::ServerLost, "lease ran out").server(&server));
        }
        events
    }

    /// Extends all leases by the time in which this process stood still and could hear nobody.
    fn skip_standstill(&mut self, now: Instant) {
        let gap = now.since(self.swept);
        self.swept = now;
        if gap <= STANDSTILL {
            return;
        }
        for known in self.servers.values_mut() {
            known.heard = (known.heard + gap).min(now);
        }
    }

    /// When the next lease runs out.
    pub fn next_deadline(&self) -> Instant {
        let first = self.servers.values().map(|known| known.heard).min();
        first.map_or(Instant::NEVER, |heard| heard + self.lease)
    }

    /// What a follower that holds `held` lacks; `with_loads` of the loads as well.
    pub fn since(
        &self,
        now: Instant,
        held: Option<&follow::DirectoryRevision>,
        with_loads: bool,
    ) -> follow::DirectoryUpdate {
        let settled = self.is_settled(now);
        let since = held
            .filter(|held| settled && held.number > 0 && self.reaches(held))
            .map(|held| held.number);
        let mut rows = Vec::new();
        let mut gone = Vec::new();
        let row = |known: &Known| (known.row.clone(), known.changed);
        match since {
            None => rows.extend(self.servers.values().map(row)),
            Some(since) => {
                let first = self.changes.partition_point(|(number, _)| *number <= since);
                let newer = self.changes.iter().skip(first);
                let names: BTreeSet<_> = newer.map(|(_, name)| name).collect();
                for name in names {
                    match self.servers.get(name) {
                        Some(known) => rows.push(row(known)),
                        None => gone.push(name.clone()),
                    }
                }
            }
        }
        let known_loads = held.filter(|held| held.source == self.of);
        let known_loads = known_loads.map_or(0, |held| held.load_number);
        let (loads, last) = match with_loads {
            true => self.loads_after(now, known_loads),
            false => (Vec::new(), known_loads),
        };
        follow::DirectoryUpdate {
            revision: follow::DirectoryRevision {
                source: self.of.clone(),
                // Number 0 brings the whole directory again once it is settled.
                number: if settled { self.revision } else { 0 },
                load_number: last,
            },
            base_revision: since,
            warmed_up: settled,
            servers: rows,
            removed: gone,
            loads_complete: last == self.loads,
            loads,
        }
    }

    /// Loads noted after number `after`, the oldest first, and the number of the last one given.
    fn loads_after(&self, now: Instant, after: u64) -> (Vec<follow::LoadReading>, u64) {
        let mut readings = Vec::new();
        let mut last = after;
        for (number, server) in self.by_load.range(after + 1..).take(LOADS_MAX) {
            last = *number;
            let Some(known) = self.servers.get(server) else {
                continue;
            };
            readings.push(follow::LoadReading {
                server: server.clone(),
                load: known.load,
                age_ms: now.since(known.heard).as_millis() as u32,
            });
        }
        match readings.len() < LOADS_MAX {
            true => (readings, self.loads),
            false => (readings, last),
        }
    }

    /// Whether every living back end has had time to announce itself.
    fn is_settled(&self, now: Instant) -> bool {
        self.started
            .is_some_and(|started| now.since(started) >= self.lease)
    }

    /// Whether the changes kept lead from `held` to the present.
    fn reaches(&self, held: &follow::DirectoryRevision) -> bool {
        if held.source != self.of || held.number > self.revision {
            return false;
        }
        let oldest = self
            .changes
            .front()
            .map_or(self.revision + 1, |(number, _)| *number);
        held.number + 1 >= oldest
    }

    /// The row of a back end.
    pub fn row(&self, server: &Server) -> Option<&ServerInfo> {
        self.servers.get(server).map(|known| &known.row)
    }

    /// Back ends and their loads.
    pub fn servers(&self) -> Vec<(ServerInfo, ServerLoad)> {
        self.servers
            .values()
            .map(|known| (known.row.clone(), known.load))
            .collect()
    }

    /// Notes a load for followers when it changed by much.
    fn note_load(&mut self, server: &Server) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        let (number, noted) = known.noted;
        if number > 0 && !is_much(&noted, &known.load) {
            return;
        }
        self.loads += 1;
        known.noted = (self.loads, known.load);
        self.by_load.remove(&number);
        self.by_load.insert(self.loads, server.clone());
    }

    fn note(&mut self, server: &Server) {
        self.revision += 1;
        self.changes.push_back((self.revision, server.clone()));
        if self.changes.len() > CHANGES_MAX {
            self.changes.pop_front();
        }
    }
}

/// Whether a part of a load changed by more than one in [`CHANGE_PART`].
fn is_much(old: &ServerLoad, new: &ServerLoad) -> bool {
    let pairs = [
        (old.running.into(), new.running.into()),
        (old.queued.into(), new.queued.into()),
        (old.backlog_tokens, new.backlog_tokens),
        (old.first_token_us, new.first_token_us),
        (old.token_us, new.token_us),
    ];
    let much = |(old, new): (u64, u64)| old.abs_diff(new) > old / CHANGE_PART;
    pairs.into_iter().any(much)
}
