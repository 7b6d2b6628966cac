//! The directory of servers of one control process.
//!
//! Agents send heartbeats to every control process, and each control process keeps a directory of its
//! own. The directory needs no leader: a server whose heartbeats stop is removed when its lease
//! expires.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Incarnation, Process, Server};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::directory::{Heartbeat, ServerInfo, ServerLoad, ServerState};
use eelgrassdyke_core::wire::follow;

/// Default lease: time after its last heartbeat at which a server counts as lost.
pub const DEFAULT_LEASE: Duration = Duration::from_secs(3);

/// Most changes kept to update followers without sending the complete directory.
const CHANGES_MAX: usize = 4096;

/// Time for which the last heartbeat of a removed server is kept, to reject delayed ones.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// Pauses of this process longer than this extend all leases, since it could receive no heartbeats.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Most loads in one update, to limit the bandwidth that each follower uses.
const UPDATE_LOADS_MAX: usize = 400;

/// A load is published again when one of its values changed by more than the old value divided by
/// this.
const LOAD_CHANGE_DIVISOR: u64 = 8;

/// A server in the directory.
#[derive(Clone, Debug)]
struct ServerEntry {
    info: ServerInfo,
    /// Sequence number of the heartbeat with which `info` last changed.
    info_sequence: u64,
    /// Sequence number of the last heartbeat.
    sequence: u64,
    load: ServerLoad,
    /// Load number and value of the load last published to followers.
    published_load: (u64, ServerLoad),
    last_heartbeat: Instant,
    /// Whether an event has reported another process that uses this server's name.
    conflict_reported: bool,
}

/// A removed server.
#[derive(Clone, Debug)]
struct RemovedServer {
    /// Incarnation and sequence number up to which its heartbeats are stale; none if it left before this
    /// process had received a heartbeat of it, in which case all are.
    position: Option<(Incarnation, u64)>,
    /// Its last description, if known.
    info: Option<ServerInfo>,
    /// Whether it has left, rather than stopped sending heartbeats.
    has_left: bool,
    removed_at: Instant,
}

/// Servers and their leases.
#[derive(Clone, Debug)]
pub struct Directory {
    /// This control process and its incarnation.
    source: (Process, Incarnation),
    started: Option<Instant>,
    last_expiry_check: Instant,
    revision: u64,
    /// First revision after the warm-up; followers that hold an earlier one get the complete list.
    complete_from: Option<u64>,
    /// Number of the last published load.
    load_number: u64,
    servers: BTreeMap<Server, ServerEntry>,
    /// Servers added, changed or removed, by revision.
    changes: VecDeque<(u64, Server)>,
    /// Servers by the number of their published load.
    by_load_number: BTreeMap<u64, Server>,
    removed: BTreeMap<Server, RemovedServer>,
    lease: Duration,
}

impl Directory {
    /// An empty directory of one incarnation of a control process.
    pub fn new(process: Process, incarnation: Incarnation) -> Self {
        Self {
            source: (process, incarnation),
            started: None,
            last_expiry_check: Instant(0),
            revision: 1,
            complete_from: None,
            load_number: 0,
            servers: BTreeMap::new(),
            changes: VecDeque::new(),
            by_load_number: BTreeMap::new(),
            removed: BTreeMap::new(),
            lease: DEFAULT_LEASE,
        }
    }

    /// Sets the time after its last heartbeat at which a server counts as lost.
    #[must_use]
    pub fn with_lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self
    }

    /// The revision: starts at 1 and increases with each change of a server.
    pub fn revision(&self) -> u64 {
        // The end of the warm-up is numbered too, but changes no server.
        self.revision - u64::from(self.complete_from.is_some())
    }

    /// Records a heartbeat and returns an event if it changed the directory.
    pub fn record_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat) -> Option<Event> {
        self.mark_started(now);
        let server = heartbeat.info.server.clone();
        let position = (heartbeat.info.incarnation, heartbeat.sequence);
        let has_left = heartbeat.info.state == ServerState::Left;
        if self.is_stale(&server, position, has_left) {
            return None;
        }
        if let Some(event) = self.reject_duplicate(&heartbeat) {
            return event;
        }
        if has_left {
            return Some(self.remove_departed(now, &server, Some(position), Some(heartbeat.info)));
        }
        self.removed.remove(&server);
        let previous = self.servers.get(&server);
        let unchanged = previous.is_some_and(|entry| entry.info == heartbeat.info);
        let info_sequence = match previous {
            Some(entry) if unchanged => entry.info_sequence,
            _ => heartbeat.sequence,
        };
        let published_load =
            previous.map_or((0, ServerLoad::default()), |entry| entry.published_load);
        let event = change_event(previous.map(|entry| &entry.info), &heartbeat.info);
        let entry = ServerEntry {
            info: heartbeat.info,
            info_sequence,
            sequence: heartbeat.sequence,
            load: heartbeat.load,
            published_load,
            last_heartbeat: now,
            conflict_reported: false,
        };
        self.servers.insert(server.clone(), entry);
        self.publish_load(&server);
        if unchanged {
            return None;
        }
        self.record_change(&server);
        Some(event.server(&server))
    }

    /// Records the time of the first heartbeat or expiry check, and the end of the warm-up.
    fn mark_started(&mut self, now: Instant) {
        let Some(started) = self.started else {
            self.started = Some(now);
            self.last_expiry_check = now;
            return;
        };
        if self.complete_from.is_none() && now.since(started) >= self.lease {
            self.revision += 1;
            self.complete_from = Some(self.revision);
        }
    }

    /// Whether a heartbeat at `position` is older than the last one of the same server.
    fn is_stale(&self, server: &Server, position: (Incarnation, u64), has_left: bool) -> bool {
        let current = self.servers.get(server);
        let current = current.map(|entry| (entry.info.incarnation, entry.sequence));
        let is_removed = self
            .removed
            .get(server)
            .is_some_and(|removed| match removed.position {
                Some(removed) => position <= removed,
                None => !has_left,
            });
        is_removed || current.is_some_and(|current| position <= current)
    }

    /// Rejects the heartbeat of a second process that uses the name of a server in the directory
    /// under the same incarnation.
    ///
    /// The first process keeps the name while its lease is valid. The outer option is none if the
    /// heartbeat is not a duplicate; the inner one holds the event of the first rejection.
    fn reject_duplicate(&mut self, heartbeat: &Heartbeat) -> Option<Option<Event>> {
        let entry = self.servers.get_mut(&heartbeat.info.server)?;
        let owner = (&entry.info.agent, entry.info.address);
        let same_incarnation = entry.info.incarnation == heartbeat.info.incarnation;
        if !same_incarnation || owner == (&heartbeat.info.agent, heartbeat.info.address) {
            return None;
        }
        if entry.conflict_reported {
            return Some(None);
        }
        entry.conflict_reported = true;
        let detail = format!(
            "heartbeat of {} at {} rejected: {} at {} uses the same server name; give each server a \
             name of its own",
            heartbeat.info.agent, heartbeat.info.address, entry.info.agent, entry.info.address
        );
        let event = Event::new(Code::InputRefused, detail);
        Some(Some(event.server(&heartbeat.info.server)))
    }

    /// Removes a server on a notice that carries neither incarnation nor sequence number.
    ///
    /// Delayed heartbeats of the same incarnation are stale from then on. Of a server that is not known,
    /// all heartbeats are stale for one lease: followers may know it from before this process started.
    pub fn remove_server(&mut self, now: Instant, server: &Server) -> Option<Event> {
        let current = self.servers.get(server).map(|entry| entry.info.clone());
        let info = match (current, self.removed.get(server)) {
            (Some(info), _) => Some(info),
            (None, Some(removed)) if removed.has_left => return None,
            (None, Some(removed)) => removed.info.clone(),
            (None, None) => None,
        };
        let position = info.as_ref().map(|info| (info.incarnation, u64::MAX));
        Some(self.remove_departed(now, server, position, info))
    }

    /// Removes a server that has left, up to the given position of its heartbeats.
    fn remove_departed(
        &mut self,
        now: Instant,
        server: &Server,
        position: Option<(Incarnation, u64)>,
        info: Option<ServerInfo>,
    ) -> Event {
        let removed = RemovedServer {
            position,
            info,
            has_left: true,
            removed_at: now,
        };
        self.removed.insert(server.clone(), removed);
        let entry = self.servers.remove(server);
        if let Some(entry) = &entry {
            self.by_load_number.remove(&entry.published_load.0);
        }
        // Followers may hold a server that is unknown here.
        self.record_change(server);
        let detail = match entry {
            Some(_) => "",
            None => "not in the directory",
        };
        Event::new(Code::ServerLeft, detail).server(server)
    }

    /// The last heartbeat of a server that has left, to pass on to other control processes; none if no
    /// heartbeat of it was received.
    pub fn departure(&self, server: &Server) -> Option<Heartbeat> {
        let removed = self.removed.get(server)?;
        let ((_, sequence), info) = removed.position.zip(removed.info.clone())?;
        removed.has_left.then(|| Heartbeat {
            info: ServerInfo {
                state: ServerState::Left,
                ..info
            },
            sequence,
            load: ServerLoad::default(),
        })
    }

    /// The last heartbeats of all servers that have left recently.
    pub fn departures(&self) -> Vec<Heartbeat> {
        let servers = self.removed.keys();
        servers
            .filter_map(|server| self.departure(server))
            .collect()
    }

    /// Removes the servers whose lease has expired.
    pub fn expire(&mut self, now: Instant) -> Vec<Event> {
        self.mark_started(now);
        self.extend_leases_after_pause(now);
        let lease = self.lease;
        self.removed.retain(|_, removed| {
            let retention = match removed.position {
                Some(_) => REMOVED_RETENTION,
                None => lease,
            };
            now.since(removed.removed_at) < retention
        });
        let mut events = Vec::new();
        let is_lost = |entry: &ServerEntry| now.since(entry.last_heartbeat) >= self.lease;
        let names: Vec<Server> = self
            .servers
            .iter()
            .filter(|(_, entry)| is_lost(entry))
            .map(|(name, _)| name.clone())
            .collect();
        for server in names {
            let Some(entry) = self.servers.remove(&server) else {
                continue;
            };
            self.by_load_number.remove(&entry.published_load.0);
            let removed = RemovedServer {
                position: Some((entry.info.incarnation, entry.sequence)),
                info: Some(entry.info),
                has_left: false,
                removed_at: now,
            };
            self.removed.insert(server.clone(), removed);
            self.record_change(&server);
            let detail = format!("no heartbeat for {} ms", self.lease.as_millis());
            events.push(Event::new(Code::ServerLost, detail).server(&server));
        }
        events
    }

    /// Extends all leases by the length of a pause in which this process could receive no heartbeats.
    fn extend_leases_after_pause(&mut self, now: Instant) {
        let pause = now.since(self.last_expiry_check);
        self.last_expiry_check = now;
        if pause <= PAUSE_THRESHOLD {
            return;
        }
        for entry in self.servers.values_mut() {
            entry.last_heartbeat = (entry.last_heartbeat + pause).min(now);
        }
    }

    /// When the next lease expires.
    pub fn next_deadline(&self) -> Instant {
        let first = self
            .servers
            .values()
            .map(|entry| entry.last_heartbeat)
            .min();
        first.map_or(Instant::NEVER, |last_heartbeat| last_heartbeat + self.lease)
    }

    /// The update for a follower that holds the revision `held`, with the loads if `with_loads`.
    pub fn update_since(
        &self,
        now: Instant,
        held: Option<&follow::DirectoryRevision>,
        with_loads: bool,
    ) -> follow::DirectoryUpdate {
        let base_revision = held
            .filter(|held| self.has_changes_since(held))
            .map(|held| held.number);
        let mut servers = Vec::new();
        let mut removed = Vec::new();
        let with_sequence = |entry: &ServerEntry| (entry.info.clone(), entry.info_sequence);
        match base_revision {
            None => {
                servers.extend(self.servers.values().map(with_sequence));
                let departed = self.removed.iter().filter(|(_, removed)| removed.has_left);
                removed.extend(departed.map(|(name, _)| name.clone()));
            }
            Some(base_revision) => {
                let first = self
                    .changes
                    .partition_point(|(number, _)| *number <= base_revision);
                let newer = self.changes.iter().skip(first);
                let names: BTreeSet<_> = newer.map(|(_, name)| name).collect();
                for name in names {
                    match self.servers.get(name) {
                        Some(entry) => servers.push(with_sequence(entry)),
                        None => removed.push(name.clone()),
                    }
                }
            }
        }
        let departed = removed.iter().filter_map(|name| {
            let removed = self.removed.get(name).filter(|removed| removed.has_left)?;
            let (incarnation, sequence) = removed.position?;
            Some((name.clone(), incarnation, sequence))
        });
        let departed = departed.collect();
        let held_load_number = held.filter(|held| held.source == self.source);
        let held_load_number = held_load_number.map_or(0, |held| held.load_number);
        let (loads, load_number) = match with_loads {
            true => self.loads_after(now, held_load_number),
            false => (Vec::new(), held_load_number),
        };
        follow::DirectoryUpdate {
            revision: follow::DirectoryRevision {
                source: self.source.clone(),
                number: self.revision,
                load_number,
            },
            base_revision,
            warmed_up: self.complete_from.is_some(),
            servers,
            removed,
            departed,
            loads_complete: load_number == self.load_number,
            loads,
        }
    }

    /// Loads published after number `after`, oldest first, and the number of the last one returned.
    fn loads_after(&self, now: Instant, after: u64) -> (Vec<follow::LoadReading>, u64) {
        let mut readings = Vec::new();
        let mut last = after;
        for (number, server) in self
            .by_load_number
            .range(after + 1..)
            .take(UPDATE_LOADS_MAX)
        {
            last = *number;
            let Some(entry) = self.servers.get(server) else {
                continue;
            };
            readings.push(follow::LoadReading {
                server: server.clone(),
                load: entry.load,
                age_ms: now.since(entry.last_heartbeat).as_millis() as u32,
            });
        }
        match readings.len() < UPDATE_LOADS_MAX {
            true => (readings, self.load_number),
            false => (readings, last),
        }
    }

    /// Whether the kept changes cover everything since `held`.
    fn has_changes_since(&self, held: &follow::DirectoryRevision) -> bool {
        if held.source != self.source || held.number > self.revision {
            return false;
        }
        if self.complete_from.is_some_and(|first| held.number < first) {
            return false;
        }
        let oldest = self
            .changes
            .front()
            .map_or(self.revision + 1, |(number, _)| *number);
        held.number + 1 >= oldest
    }

    /// The data of a server.
    pub fn info(&self, server: &Server) -> Option<&ServerInfo> {
        self.servers.get(server).map(|entry| &entry.info)
    }

    /// The servers and their loads.
    pub fn servers(&self) -> Vec<(ServerInfo, ServerLoad)> {
        self.servers
            .values()
            .map(|entry| (entry.info.clone(), entry.load))
            .collect()
    }

    /// Publishes a server's load to followers if it changed considerably.
    fn publish_load(&mut self, server: &Server) {
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        let (number, previous) = entry.published_load;
        if number > 0 && !changed_considerably(&previous, &entry.load) {
            return;
        }
        self.load_number += 1;
        entry.published_load = (self.load_number, entry.load);
        self.by_load_number.remove(&number);
        self.by_load_number.insert(self.load_number, server.clone());
    }

    /// Increases the revision for a change of a server.
    fn record_change(&mut self, server: &Server) {
        self.revision += 1;
        self.changes.push_back((self.revision, server.clone()));
        if self.changes.len() > CHANGES_MAX {
            self.changes.pop_front();
        }
    }
}

/// The event of a new or changed server.
fn change_event(previous: Option<&ServerInfo>, info: &ServerInfo) -> Event {
    let turned = previous.is_some_and(|previous| {
        previous.incarnation == info.incarnation
            && previous.state == info.state
            && previous.is_cold != info.is_cold
    });
    if turned {
        let detail = match info.is_cold {
            true => "cold",
            false => "warm",
        };
        return Event::new(Code::ServerCold, detail);
    }
    let code = match info.state {
        ServerState::Draining => Code::ServerDraining,
        _ => Code::ServerUp,
    };
    Event::new(code, format!("incarnation {}", info.incarnation))
}

/// Whether a value of a load changed by more than the old value divided by [`LOAD_CHANGE_DIVISOR`].
fn changed_considerably(old: &ServerLoad, new: &ServerLoad) -> bool {
    let pairs = [
        (old.running.into(), new.running.into()),
        (old.queued.into(), new.queued.into()),
        (old.backlog_tokens, new.backlog_tokens),
        (old.first_token_us, new.first_token_us),
        (old.token_us, new.token_us),
    ];
    let changed = |(old, new): (u64, u64)| old.abs_diff(new) > old / LOAD_CHANGE_DIVISOR;
    pairs.into_iter().any(changed)
}
