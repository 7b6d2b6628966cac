//! Detection of content that servers end on.
//!
//! When the connection of an attempt breaks off, the shell checks whether the server still accepts
//! connections. If it refuses them, it has ended, and each content of the requests that it was about to
//! write on may be the cause, unless a server has written on it recently. Whatever leaves the
//! server running (a reset connection, a lost rank of its group, a truncated response) and whatever
//! makes it silent (a cut link, the loss of its host) is no evidence, and neither is the end of a server
//! that had announced that it leaves.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use eelgrassdyke_core::crash::{Content, ContentKey, Crash, CrashLedger, CrashRecord, Quarantine};
use eelgrassdyke_core::id::{Incarnation, Server, Service};
use eelgrassdyke_core::time::Instant;

use super::flight::{DirectRequest, Stage};

/// Time for which a part that was found sound is not suspected.
const SOUND_PERIOD: Duration = Duration::from_secs(60);

/// Time for which broken connections of a server are taken together.
const BREAK_RETENTION: Duration = Duration::from_secs(5);

/// A part that more than this fraction of the requests carry is common.
const COMMON_FRACTION: f64 = 0.125;

/// Requests of a service after which the fraction is meaningful.
const COMMON_REQUESTS_MIN: u32 = 32;

/// Most parts, and most whole requests, whose use is recorded in each of two generations.
const GENERATION_MAX: usize = 4096;

/// Most contents that one crash is reported for.
const REPORTED_CONTENTS_MAX: usize = 32;

/// Interval at which the ledger is compared with that of a control process.
const SYNC_INTERVAL: Duration = Duration::from_secs(5);

/// The same until a control process has answered.
const STARTUP_SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// A server at which a connection broke off.
#[derive(Clone, Debug)]
struct BrokenServer {
    broken_at: Instant,
    service: Service,
    /// Whether the server has ended; none until that has been checked.
    has_ended: Option<bool>,
    /// Contents of the requests that it was about to write on.
    contents: BTreeSet<Content>,
}

/// Use of one content by recent requests.
#[derive(Clone, Copy, Debug, Default)]
struct ContentUse {
    requests: u32,
    /// When a server was last found to write on it without ending.
    sound_at: Option<Instant>,
}

/// Recently used content, in two generations: the older one is dropped when the newer one is full.
#[derive(Clone, Debug, Default)]
struct Generations {
    current: HashMap<ContentKey, ContentUse>,
    previous: HashMap<ContentKey, ContentUse>,
}

impl Generations {
    fn get(&self, key: &ContentKey) -> ContentUse {
        let found = self.current.get(key).or_else(|| self.previous.get(key));
        found.copied().unwrap_or_default()
    }

    fn update(&mut self, key: ContentKey, change: impl FnOnce(&mut ContentUse)) {
        if self.current.len() >= GENERATION_MAX && !self.current.contains_key(&key) {
            self.previous = std::mem::take(&mut self.current);
        }
        let mut content_use = self.get(&key);
        change(&mut content_use);
        self.current.insert(key, content_use);
    }
}

/// Use of content by recent requests. Whole requests, of which most come once, must not displace the parts
/// of prompts.
#[derive(Clone, Debug, Default)]
struct ContentUses {
    parts: Generations,
    requests: Generations,
    /// Requests with prompt parts by service, over both generations.
    part_requests: BTreeMap<Service, u32>,
}

impl ContentUses {
    fn get(&self, key: &ContentKey) -> ContentUse {
        match key.1 {
            Content::Part(_) => self.parts.get(key),
            Content::Request(_) => self.requests.get(key),
        }
    }

    fn update(&mut self, key: ContentKey, change: impl FnOnce(&mut ContentUse)) {
        match key.1 {
            Content::Part(_) => self.parts.update(key, change),
            Content::Request(_) => self.requests.update(key, change),
        }
    }

    /// Whether so many requests carry a part that it is in flight at most servers, whatever ends them. A
    /// request that is repeated as often is answered, and thus known to be sound, unless it is harmful.
    fn is_common(&self, key: &ContentKey) -> bool {
        if let Content::Request(_) = key.1 {
            return false;
        }
        let total = self.part_requests.get(&key.0).copied().unwrap_or_default();
        let share = f64::from(self.get(key).requests) / f64::from(total.max(1));
        total >= COMMON_REQUESTS_MIN && share > COMMON_FRACTION
    }
}

/// Whether a request may be sent, as far as its content is concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is known against it.
    Sound,
    /// A server ended on a request like it: it is sent apart from others like it.
    Suspected,
    /// Servers ended on this content.
    Quarantined(Content, Quarantine),
}

/// A crash that was found, with the contents that may be its cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoundCrash {
    /// The service of the server.
    pub service: Service,
    /// The contents.
    pub contents: Vec<Content>,
    /// Number of contents that are known to be sound.
    pub sound_count: usize,
}

/// Evidence of this entry, and the ledger that it shares with the other processes.
#[derive(Clone, Debug)]
pub struct CrashWatch {
    /// Start of this process, in microseconds since 1970.
    started_us: u64,
    ledger: CrashLedger,
    uses: ContentUses,
    broken: BTreeMap<(Server, Incarnation), BrokenServer>,
    /// Records that changed here and have not been sent.
    changed: BTreeSet<ContentKey>,
    next_sync: Instant,
    sync_count: usize,
    has_synced: bool,
}

impl CrashWatch {
    /// A watch without evidence, of a process that started as this incarnation; see [`CrashLedger::new`] for
    /// `stretch`.
    pub fn new(incarnation: Incarnation, stretch: f64) -> Self {
        Self {
            started_us: incarnation.0,
            ledger: CrashLedger::new(stretch),
            uses: ContentUses::default(),
            broken: BTreeMap::new(),
            changed: BTreeSet::new(),
            next_sync: Instant(0),
            sync_count: 0,
            has_synced: false,
        }
    }

    /// Records the use of the parts of a new request.
    pub fn record_request(&mut self, request: &DirectRequest) {
        let mut contents = request.contents.iter();
        if contents.any(|content| matches!(content, Content::Part(_))) {
            let totals = &mut self.uses.part_requests;
            let total = totals.entry(request.service.clone()).or_default();
            *total = total.saturating_add(1);
        }
        for key in content_keys(request) {
            self.uses.update(key.clone(), |content_use| {
                content_use.requests = content_use.requests.saturating_add(1)
            });
            if !self.ledger.is_empty() {
                let requests = self.uses.get(&key).requests;
                self.ledger.record_requests(&key, requests);
            }
        }
    }

    /// Whether a request may be sent.
    pub fn verdict(&self, now: Instant, request: &DirectRequest) -> Verdict {
        if !self.has_suspects() {
            return Verdict::Sound;
        }
        for key in content_keys(request) {
            if let Some(quarantine) = self.ledger.quarantine(now, &key) {
                return Verdict::Quarantined(key.1, quarantine);
            }
        }
        let is_suspected = content_keys(request).any(|key| self.ledger.is_suspected(&key));
        match is_suspected || self.count_ended(request) > 0 {
            true => Verdict::Suspected,
            false => Verdict::Sound,
        }
    }

    /// Number of servers of ended attempts of this request that have ended, or may have.
    pub fn count_ended(&self, request: &DirectRequest) -> usize {
        let has_ended = |server: &&Server| {
            let broken = self.broken.iter().filter(|((name, _), _)| name == *server);
            broken
                .into_iter()
                .any(|(_, broken)| broken.has_ended != Some(false))
        };
        request.possibly_run_at.iter().filter(has_ended).count()
    }

    /// Records that the connection of the running attempt of `request` broke off; returns whether the
    /// shell must check the server.
    pub fn record_break(&mut self, now: Instant, request: &DirectRequest) -> bool {
        let Stage::Running {
            server,
            incarnation,
            ..
        } = &request.stage
        else {
            return false;
        };
        self.drop_old_breaks(now);
        let id = (server.clone(), *incarnation);
        // A server that was found to run may have ended since.
        let known = self.broken.get(&id);
        let is_new = known.is_none_or(|broken| broken.has_ended == Some(false));
        if is_new {
            let broken = BrokenServer {
                broken_at: now,
                service: request.service.clone(),
                has_ended: None,
                contents: BTreeSet::new(),
            };
            self.broken.insert(id.clone(), broken);
        }
        let Some(broken) = self.broken.get_mut(&id) else {
            return is_new;
        };
        if request.has_written() {
            return is_new;
        }
        broken.contents.extend(request.contents.iter().cloned());
        if broken.has_ended == Some(true) {
            self.blame(now, &request.service, &id, &request.contents);
        }
        is_new
    }

    /// Whether there are reasons to suspect some requests.
    fn has_suspects(&self) -> bool {
        !self.ledger.is_empty() || !self.broken.is_empty()
    }

    /// The first suspected content of a request.
    pub fn suspected_content<'a>(&self, request: &'a DirectRequest) -> Option<&'a Content> {
        let service = &request.service;
        let mut contents = request.contents.iter();
        contents.find(|content| {
            self.ledger
                .is_suspected(&(service.clone(), (*content).clone()))
        })
    }

    fn drop_old_breaks(&mut self, now: Instant) {
        self.broken
            .retain(|_, broken| now.since(broken.broken_at) < BREAK_RETENTION);
    }

    /// Whether two requests share content that is suspected.
    pub fn share_suspected_content(&self, one: &DirectRequest, other: &DirectRequest) -> bool {
        let mut shared = content_keys(one)
            .filter(|key| other.service == key.0 && other.contents.contains(&key.1));
        shared.any(|key| self.ledger.is_suspected(&key))
    }

    /// Records whether a server has ended; returns the crash if it has.
    pub fn record_check(
        &mut self,
        now: Instant,
        server: &Server,
        incarnation: Incarnation,
        has_ended: bool,
    ) -> Option<FoundCrash> {
        let id = (server.clone(), incarnation);
        let broken = self.broken.get_mut(&id)?;
        broken.has_ended = Some(has_ended);
        if !has_ended {
            return None;
        }
        let service = broken.service.clone();
        let contents: Vec<Content> = broken.contents.iter().cloned().collect();
        let blamed = self.blame(now, &service, &id, &contents);
        Some(FoundCrash {
            service,
            sound_count: contents.len() - blamed.len(),
            contents: blamed,
        })
    }

    /// Records the crash against those of the contents that are not known to be sound; returns them.
    fn blame(
        &mut self,
        now: Instant,
        service: &Service,
        (server, incarnation): &(Server, Incarnation),
        contents: &[Content],
    ) -> Vec<Content> {
        let found_us = (self.started_us.saturating_add(now.0))
            .max(self.ledger.last_found_us().saturating_add(1));
        let crash = Crash {
            server: server.clone(),
            incarnation: *incarnation,
            age_ms: 0,
            is_cleared: false,
            found_us,
        };
        let mut records = Vec::new();
        for content in contents {
            let key = (service.clone(), content.clone());
            if self.is_sound_at(&key, now) || records.len() >= REPORTED_CONTENTS_MAX {
                continue;
            }
            records.push(CrashRecord {
                service: service.clone(),
                content: content.clone(),
                is_common: self.uses.is_common(&key),
                requests: self.uses.get(&key).requests,
                crashes: vec![crash.clone()],
            });
        }
        let mut news = self.ledger.merge_all(now, &records);
        self.changed.append(&mut news);
        records.into_iter().map(|record| record.content).collect()
    }

    fn is_sound_at(&self, key: &ContentKey, at: Instant) -> bool {
        let sound_at = self.uses.get(key).sound_at;
        sound_at.is_some_and(|sound_at| at.since(sound_at) < SOUND_PERIOD)
    }

    /// Records an event of a stream; returns the parts whose crashes it clears.
    pub fn record_event(&mut self, now: Instant, request: &DirectRequest) -> Vec<ContentKey> {
        match request.has_written() {
            true => self.record_sound(now, request),
            false => Vec::new(),
        }
    }

    /// Records that a server wrote on the parts of a request without ending; returns the parts whose
    /// crashes that clears.
    pub fn record_sound(&mut self, now: Instant, request: &DirectRequest) -> Vec<ContentKey> {
        let mut cleared = Vec::new();
        for key in content_keys(request) {
            self.uses
                .update(key.clone(), |content_use| content_use.sound_at = Some(now));
            if self.ledger.clear(&key) {
                self.changed.insert(key.clone());
                cleared.push(key);
            }
        }
        cleared
    }

    /// Merges records of another process; returns whether the ledger changed.
    pub fn merge(&mut self, now: Instant, records: &[CrashRecord]) -> bool {
        let changed = !self.ledger.merge_all(now, records).is_empty();
        for record in records {
            let key = (record.service.clone(), record.content.clone());
            let crash = self.ledger.last_uncleared_crash(&key);
            if crash.is_some_and(|at| self.is_sound_at(&key, at)) && self.ledger.clear(&key) {
                self.changed.insert(key);
            }
        }
        changed
    }

    /// Records that a control process has told what this entry lacked.
    pub fn record_response(&mut self) {
        self.has_synced = true;
    }

    /// The parts in quarantine.
    pub fn quarantines(&self, now: Instant) -> BTreeMap<ContentKey, Quarantine> {
        let quarantines = self.ledger.quarantines(now);
        quarantines.map(|(key, q)| (key.clone(), q)).collect()
    }

    /// The records that changed here since the last call.
    pub fn take_changed(&mut self, now: Instant) -> Vec<CrashRecord> {
        let keys = std::mem::take(&mut self.changed);
        let records = keys.iter().filter_map(|key| self.ledger.record(now, key));
        records.collect()
    }

    /// All records, if it is time to compare them, and a number that selects the control process.
    pub fn next_sync(&mut self, now: Instant) -> Option<(usize, Vec<CrashRecord>)> {
        if now < self.next_sync {
            return None;
        }
        self.ledger.expire(now);
        self.drop_old_breaks(now);
        self.sync_count += 1;
        self.next_sync = now
            + match self.has_synced {
                true => SYNC_INTERVAL,
                false => STARTUP_SYNC_INTERVAL,
            };
        Some((self.sync_count, self.ledger.records(now)))
    }

    /// When [`CrashWatch::next_sync`] next returns the ledger.
    pub fn next_deadline(&self) -> Instant {
        self.next_sync
    }
}

/// The contents of a request, with its service.
fn content_keys(request: &DirectRequest) -> impl Iterator<Item = ContentKey> + '_ {
    let contents = request.contents.iter();
    contents.map(|content| (request.service.clone(), content.clone()))
}
