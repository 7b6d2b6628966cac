//! Content that servers end on, and how long requests with it are held back.
//!
//! Some content ends every server that begins to write a response to it. Each retry, and each new
//! request with it, then ends another server. [`Content`] is a part of a prompt, which requests that
//! differ otherwise may share, or a whole request, which its caller repeats. A [`CrashLedger`] records,
//! for each service and content, the servers that ended while a request with the content was about to
//! write. Entries and control processes exchange these [`CrashRecord`]s and merge them: crashes are
//! identified by server and incarnation, so reports of several entries about one crash count once, and
//! the order and number of merges doesn't matter. A full ledger keeps the records with the most crashes, and of
//! the others those found last. This depends on nothing but the records, so what a process has dropped is not
//! news to it when it comes back from another one, and the exchange comes to rest. Content on which a server has
//! written without ending is sound, which clears its crashes.
//!
//! Content is quarantined once its crashes can't be explained otherwise: servers that end at the same
//! moment have a common cause and count once, and crashes are ignored if they are also crashes of
//! quarantined content that has more of them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::data;
use crate::digest::Sha256;
use crate::id::{self, Incarnation, PromptPart, Server, Service};
use crate::limit::LimitRecord;
use crate::time::Instant;

/// Crashes after which a part is quarantined if it explains all crashes of the service meanwhile. One
/// may be a coincidence.
const CRASHES_MIN: usize = 2;

/// Crashes after which a part is quarantined if servers ended without it meanwhile.
const CRASHES_AMONG_OTHERS_MIN: usize = 3;

/// Crashes after which a request is quarantined. Servers that end for other causes may do so under one
/// request and under its retry.
const REQUEST_CRASHES_MIN: usize = 3;

/// Crashes after which a part that many requests carry is quarantined: it is in flight at most servers,
/// whatever ends them.
const COMMON_CRASHES_MIN: usize = 4;

/// Servers that end within this time of each other have a common cause, such as the loss of a rack.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(200);

/// Length of the first quarantine of a part.
const QUARANTINE_MIN: Duration = Duration::from_secs(60);

/// Factor by which each further crash extends the quarantine.
const QUARANTINE_FACTOR: u32 = 8;

/// Maximum length of a quarantine.
const QUARANTINE_MAX: Duration = Duration::from_secs(3600);

/// Time after its last crash, or its quarantine, at which a record is dropped.
const RETENTION: Duration = Duration::from_secs(600);

/// Age of the last crash from which a record is not taken from another process, unless its content is in
/// quarantine. Processes drop records at different times; one that has dropped a record must not take it
/// back from another one that is about to drop it.
const NEWS_AGE_MAX: Duration = Duration::from_secs(540);

/// Age from which a crash is ignored: twice the longest time for which a record is needed.
const CRASH_AGE_MAX: Duration = Duration::from_secs(2 * 3600);

/// Maximum number of records.
pub const RECORDS_MAX: usize = 64;

/// Maximum number of crashes in a record.
const RECORD_CRASHES_MAX: usize = 8;

data! {
    /// Crashes during which requests with one content were about to write.
    #[derive(Eq)]
    pub struct CrashRecord {
        /// The service.
        pub service: Service,
        /// The content.
        #[serde(rename = "part")]
        pub content: Content,
        /// Whether a considerable fraction of the requests carry the part.
        pub is_common: bool,
        /// Number of requests with the part, as counted by the entry that has seen the most.
        pub requests: u32,
        /// The crashes.
        pub crashes: Vec<Crash>,
    }

    /// The end of one incarnation of a server.
    #[derive(Eq)]
    pub struct Crash {
        /// The server.
        pub server: Server,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// Time since the crash, in milliseconds.
        pub age_ms: u64,
        /// Whether the part has been found sound since, or the operator lifted its quarantine.
        pub is_cleared: bool,
        /// When it was found, in microseconds since 1970 by the clock of the process that found it, and later than
        /// all crashes that this process knew. It stays as it is when the crash is passed on, unlike the age.
        /// Zero from builds that don't send it.
        #[serde(default, rename = "found")]
        pub found_us: u64,
    }

    /// What one process tells another about crashes and limits of servers.
    #[derive(Default, Eq)]
    pub struct FactSync {
        /// Records of crashes.
        pub records: Vec<CrashRecord>,
        /// Records of limits.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub limits: Vec<LimitRecord>,
        /// [Digest](crate::limit::LimitLedger::digest) of all limits that the sender knows, if it asks for
        /// those that it lacks.
        #[serde(default)]
        pub limits_digest: u64,
        /// Whether `records` are all that the sender has, and it asks for what it lacks.
        pub is_complete: bool,
        /// Whether it answers a message with `is_complete`.
        #[serde(default)]
        pub is_response: bool,
    }
}

impl FactSync {
    /// Whether it tells nothing.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.limits.is_empty()
    }
}

/// Identifies requests with the same content from the same caller. It holds nothing of the content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// The fingerprint of a request with these components.
    pub fn of(components: &[&[u8]]) -> Self {
        let mut digests = Vec::with_capacity(16 * components.len());
        for component in components {
            let (first, second) = Sha256::of(component).first_128_bits();
            digests.extend(first.to_be_bytes());
            digests.extend(second.to_be_bytes());
        }
        Self(Sha256::of(&digests).first_128_bits().0)
    }

    /// The fingerprint of the same request of a certain caller.
    #[must_use]
    pub fn of_caller(self, caller: &str) -> Self {
        Self::of(&[&self.0.to_be_bytes(), caller.as_bytes()])
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Prefix that tells a request's text form from that of a prompt part.
const REQUEST_PREFIX: &str = "request:";

/// Content that several requests may share, and that may end servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Content {
    /// A part of their prompts.
    Part(PromptPart),
    /// All of it: they are repeats of one request of one caller.
    Request(Fingerprint),
}

impl Content {
    /// The content that consists of a prompt part; none if its name is that of a request, which callers
    /// must not choose.
    pub fn from_part(part: PromptPart) -> Option<Self> {
        (!part.as_str().starts_with(REQUEST_PREFIX)).then_some(Self::Part(part))
    }
}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => part.fmt(f),
            Self::Request(fingerprint) => write!(f, "{REQUEST_PREFIX}{fingerprint}"),
        }
    }
}

impl FromStr for Content {
    type Err = id::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_prefix(REQUEST_PREFIX);
        match digits.and_then(|digits| u64::from_str_radix(digits, 16).ok()) {
            Some(number) => Ok(Self::Request(Fingerprint(number))),
            None => Ok(Self::Part(text.parse()?)),
        }
    }
}

impl TryFrom<String> for Content {
    type Error = id::Error;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Content> for String {
    fn from(content: Content) -> Self {
        content.to_string()
    }
}

/// A quarantine of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// When it ends.
    pub until: Instant,
    /// Number of crashes that led to it.
    pub crashes: usize,
}

/// A service and content of requests for it.
pub type ContentKey = (Service, Content);

/// The server that ended, and its incarnation.
type CrashId = (Server, Incarnation);

/// A time on the scale of a ledger, which begins [`CRASH_AGE_MAX`] before the clock of the process: crashes from
/// before its start have different times.
fn ledger_time(time: Instant) -> Instant {
    time + CRASH_AGE_MAX
}

/// When servers ended.
type CrashTimes = BTreeMap<CrashId, Instant>;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ContentState {
    is_common: bool,
    requests: u32,
    crashes: BTreeMap<CrashId, CrashState>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CrashState {
    /// See [`ledger_time`].
    at: Instant,
    is_cleared: bool,
    found_us: u64,
}

/// What a merge changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Merged {
    Nothing,
    /// A count or a time, which is passed on with the next crash.
    Detail,
    /// Crashes, or facts about them, of a known record.
    News,
    /// A record that was unknown.
    Added,
}

impl ContentState {
    /// The crashes that count against the part, except the `explained` ones.
    fn counted(&self, explained: &BTreeSet<CrashId>) -> Vec<(&CrashId, Instant)> {
        let mut counted = Vec::new();
        for (id, crash) in &self.crashes {
            if !crash.is_cleared && !explained.contains(id) {
                counted.push((id, crash.at));
            }
        }
        counted
    }

    /// Number of crashes after which the content is quarantined if no server ended without it meanwhile.
    fn crashes_min_alone(&self, content: &Content) -> usize {
        match content {
            Content::Request(_) => REQUEST_CRASHES_MIN,
            Content::Part(_) if self.is_common => COMMON_CRASHES_MIN,
            Content::Part(_) => CRASHES_MIN,
        }
    }

    /// Number of crashes after which the part is quarantined; `others` are the unexplained crashes of
    /// the service.
    fn crashes_min(
        &self,
        content: &Content,
        counted: &[(&CrashId, Instant)],
        others: &CrashTimes,
    ) -> usize {
        let alone = self.crashes_min_alone(content);
        if matches!(content, Content::Request(_)) || self.is_common {
            return alone;
        }
        let times = || counted.iter().map(|(_, at)| *at);
        let (Some(first), Some(last)) = (times().min(), times().max()) else {
            return alone;
        };
        let is_meanwhile =
            |at: &&Instant| **at + COMMON_CAUSE_TIME >= first && **at <= last + COMMON_CAUSE_TIME;
        match others.values().filter(is_meanwhile).count() > counted.len() {
            true => CRASHES_AMONG_OTHERS_MIN,
            false => alone,
        }
    }

    /// Adds a crash, or what is new about a known one. Of more than [`RECORD_CRASHES_MAX`] those found last are
    /// kept.
    fn add_crash(&mut self, id: CrashId, reported: CrashState) {
        if let Some(known) = self.crashes.get_mut(&id) {
            known.is_cleared |= reported.is_cleared;
            // Delays of messages make a crash seem later than it was.
            known.at = known.at.min(reported.at);
            known.found_us = known.found_us.max(reported.found_us);
            return;
        }
        if self.crashes.len() >= RECORD_CRASHES_MAX {
            let crashes = self.crashes.iter();
            let first = crashes.map(|(id, crash)| (crash.found_us, id)).min();
            let Some((found_us, first)) = first else {
                return;
            };
            if (reported.found_us, &id) <= (found_us, first) {
                return;
            }
            let first = first.clone();
            self.crashes.remove(&first);
        }
        self.crashes.insert(id, reported);
    }

    /// Number of crashes that count against the content if they are enough for a quarantine, else 0.
    fn evidence(&self, content: &Content) -> usize {
        let crashes = self.crashes.values().filter(|crash| !crash.is_cleared);
        let count = crashes.count();
        match count < self.crashes_min_alone(content) {
            true => 0,
            false => count,
        }
    }

    /// When the last of its crashes was found.
    fn found_us(&self) -> u64 {
        let times = self.crashes.values().map(|crash| crash.found_us);
        times.max().unwrap_or_default()
    }

    fn last_crash(&self) -> Instant {
        let times = self.crashes.values().map(|crash| crash.at);
        times.max().unwrap_or_default()
    }
}

/// Number of crashes, of which those with a common cause count once.
fn count_causes(times: impl Iterator<Item = Instant>) -> usize {
    let times: BTreeSet<Instant> = times.collect();
    let mut count = 0;
    let mut last: Option<Instant> = None;
    for at in times {
        if last.is_none_or(|last| at.since(last) > COMMON_CAUSE_TIME) {
            count += 1;
            last = Some(at);
        }
    }
    count
}

/// Crashes by service and part, and the quarantines that follow from them.
#[derive(Clone, Debug)]
pub struct CrashLedger {
    parts: BTreeMap<ContentKey, ContentState>,
    quarantines: BTreeMap<ContentKey, Quarantine>,
    /// Parts with crashes that no quarantine explains.
    suspected: BTreeSet<ContentKey>,
    /// Factor by which the quarantines of this ledger are longer.
    stretch: f64,
}

impl Default for CrashLedger {
    fn default() -> Self {
        Self::new(1.0)
    }
}

impl CrashLedger {
    /// An empty ledger whose quarantines are longer by the factor `stretch`. Entries use different
    /// factors, so that a harmful part whose quarantine ends is tried by one of them first.
    pub fn new(stretch: f64) -> Self {
        Self {
            parts: BTreeMap::new(),
            quarantines: BTreeMap::new(),
            suspected: BTreeSet::new(),
            stretch,
        }
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Merges a record; returns whether it held news.
    pub fn merge(&mut self, now: Instant, record: &CrashRecord) -> bool {
        !self.merge_all(now, std::slice::from_ref(record)).is_empty()
    }

    /// Merges records; returns the keys of those that held news.
    pub fn merge_all(&mut self, now: Instant, records: &[CrashRecord]) -> BTreeSet<ContentKey> {
        let mut news = BTreeSet::new();
        let mut added = Vec::new();
        let mut has_changed = false;
        for record in records {
            let merged = self.merge_without_judgement(now, record);
            has_changed |= merged != Merged::Nothing;
            if !matches!(merged, Merged::News | Merged::Added) {
                continue;
            }
            let key = (record.service.clone(), record.content.clone());
            if merged == Merged::Added {
                added.push(key.clone());
            }
            news.insert(key);
        }
        if has_changed {
            self.judge();
            self.drop_old(now, &added);
            news.retain(|key| self.parts.contains_key(key));
        }
        news
    }

    /// Drops the records among those just `added` that are too old to be taken from another process.
    fn drop_old(&mut self, now: Instant, added: &[ContentKey]) {
        let count = self.parts.len();
        for key in added {
            let is_old =
                |state: &ContentState| ledger_time(now).since(state.last_crash()) >= NEWS_AGE_MAX;
            if self.parts.get(key).is_some_and(is_old) && self.quarantine(now, key).is_none() {
                self.parts.remove(key);
            }
        }
        if self.parts.len() != count {
            self.judge();
        }
    }

    fn merge_without_judgement(&mut self, now: Instant, record: &CrashRecord) -> Merged {
        let key = (record.service.clone(), record.content.clone());
        let before = self.parts.get(&key).cloned().unwrap_or_default();
        let mut state = before.clone();
        state.is_common |= record.is_common;
        state.requests = state.requests.max(record.requests);
        for crash in record.crashes.iter().take(RECORD_CRASHES_MAX) {
            let age = Duration::from_millis(crash.age_ms);
            if age >= CRASH_AGE_MAX {
                continue;
            }
            let reported = CrashState {
                at: ledger_time(now) - age,
                is_cleared: crash.is_cleared,
                found_us: crash.found_us,
            };
            state.add_crash((crash.server.clone(), crash.incarnation), reported);
        }
        if state.crashes.is_empty() || state == before {
            return Merged::Nothing;
        }
        let facts = |state: &ContentState| {
            let crashes = state.crashes.iter();
            let crashes = crashes.map(|(id, crash)| (id.clone(), crash.is_cleared));
            (state.is_common, crashes.collect::<Vec<_>>())
        };
        let is_news = facts(&state) != facts(&before);
        if before.crashes.is_empty() && !self.make_room(&key, &state) {
            return Merged::Nothing;
        }
        self.parts.insert(key, state);
        match is_news {
            true if before.crashes.is_empty() => Merged::Added,
            true => Merged::News,
            false => Merged::Detail,
        }
    }

    /// Sets the number of requests with a part, if it has a record and the number is greater than known.
    pub fn record_requests(&mut self, key: &ContentKey, requests: u32) {
        let state = self.parts.get_mut(key);
        let Some(state) = state.filter(|state| state.requests < requests) else {
            return;
        };
        state.requests = requests;
        self.judge();
    }

    /// Makes room for a record, if it ranks above the one that would be dropped.
    fn make_room(&mut self, key: &ContentKey, state: &ContentState) -> bool {
        if self.parts.len() < RECORDS_MAX {
            return true;
        }
        fn rank<'a>((key, state): (&'a ContentKey, &ContentState)) -> (usize, u64, &'a ContentKey) {
            (state.evidence(&key.1), state.found_us(), key)
        }
        let Some(first) = self.parts.iter().map(rank).min() else {
            return false;
        };
        if rank((key, state)) <= first {
            return false;
        }
        let first = first.2.clone();
        self.parts.remove(&first);
        true
    }

    /// Records that a part is sound; returns whether that clears a crash.
    pub fn clear(&mut self, key: &ContentKey) -> bool {
        let Some(state) = self.parts.get_mut(key) else {
            return false;
        };
        let mut changed = false;
        for crash in state.crashes.values_mut() {
            changed |= !crash.is_cleared;
            crash.is_cleared = true;
        }
        if changed {
            self.judge();
        }
        changed
    }

    /// Determines the quarantines and the suspected parts.
    fn judge(&mut self) {
        self.quarantines.clear();
        self.suspected.clear();
        let services: BTreeSet<Service> = self.parts.keys().map(|key| key.0.clone()).collect();
        for service in services {
            self.judge_service(&service);
        }
    }

    fn judge_service(&mut self, service: &Service) {
        let none = BTreeSet::new();
        let mut parts = Vec::new();
        let mut crash_times = CrashTimes::new();
        for (key, state) in self.parts.iter().filter(|(key, _)| key.0 == *service) {
            let times = state
                .crashes
                .iter()
                .map(|(id, crash)| (id.clone(), crash.at));
            crash_times.extend(times);
            let counted = state.counted(&none);
            let causes = count_causes(counted.iter().map(|(_, at)| *at));
            let total = Reverse((causes, counted.len()));
            parts.push((state.is_common, total, state.requests, key, state));
        }
        // Common parts come last, so that rarer ones with as many crashes explain theirs.
        parts.sort_by_key(|(is_common, total, requests, ..)| (*is_common, *total, *requests));
        let mut explained = BTreeSet::new();
        // Of parts with as many crashes, the rarest explain those of the others, which also occur in
        // requests that did no harm.
        let mut explained_next = BTreeSet::new();
        let mut previous = (Reverse((usize::MAX, usize::MAX)), 0);
        for (is_common, total, requests, key, state) in parts {
            if is_common || (total, requests) != previous {
                crash_times.retain(|id, _| !explained_next.contains(id));
                explained.append(&mut explained_next);
                previous = (total, requests);
            }
            let counted = state.counted(&explained);
            // A request runs at one server at a time, unless it is repeated: each end counts.
            let count = match key.1 {
                Content::Part(_) => count_causes(counted.iter().map(|(_, at)| *at)),
                Content::Request(_) => counted.len(),
            };
            if count > 0 && !is_common {
                self.suspected.insert(key.clone());
            }
            let crashes_min = state.crashes_min(&key.1, &counted, &crash_times);
            if count < crashes_min || self.is_explained_by_request(key, &counted) {
                continue;
            }
            let extensions = (count - crashes_min) as u32;
            let length = QUARANTINE_MIN
                .saturating_mul(QUARANTINE_FACTOR.saturating_pow(extensions))
                .min(QUARANTINE_MAX);
            let last = counted.iter().map(|(_, at)| *at).max();
            let quarantine = Quarantine {
                until: last.unwrap_or_default() + length.mul_f64(self.stretch) - CRASH_AGE_MAX,
                crashes: count,
            };
            explained_next.extend(counted.into_iter().map(|(id, _)| id.clone()));
            self.quarantines.insert(key.clone(), quarantine);
        }
    }

    /// Whether one request ran at each of the servers that ended on a part: it, or what moved it from one
    /// server to the next, may be the cause as well.
    fn is_explained_by_request(&self, key: &ContentKey, counted: &[(&CrashId, Instant)]) -> bool {
        if let Content::Request(_) = key.1 {
            return false;
        }
        let contents = self.parts.iter().filter(|(other, _)| other.0 == key.0);
        let mut requests = contents.filter(|(other, _)| matches!(other.1, Content::Request(_)));
        requests.any(|(_, request)| {
            counted
                .iter()
                .all(|(id, _)| request.crashes.contains_key(*id))
        })
    }

    /// The quarantine of a part, if there is one at `now`.
    pub fn quarantine(&self, now: Instant, key: &ContentKey) -> Option<Quarantine> {
        let quarantine = self.quarantines.get(key).copied();
        quarantine.filter(|quarantine| now < quarantine.until)
    }

    /// The parts in quarantine at `now`.
    pub fn quarantines(&self, now: Instant) -> impl Iterator<Item = (&ContentKey, Quarantine)> {
        let all = self.quarantines.iter();
        all.map(|(key, quarantine)| (key, *quarantine))
            .filter(move |(_, quarantine)| now < quarantine.until)
    }

    /// Whether a part may end servers, though too little is known to quarantine it.
    pub fn is_suspected(&self, key: &ContentKey) -> bool {
        self.suspected.contains(key)
    }

    /// When the last crash that counts against a part happened.
    pub fn last_uncleared_crash(&self, key: &ContentKey) -> Option<Instant> {
        let state = self.parts.get(key)?;
        let uncleared = state.crashes.values().filter(|crash| !crash.is_cleared);
        uncleared.map(|crash| crash.at - CRASH_AGE_MAX).max()
    }

    /// When the last of all crashes was found.
    pub fn last_found_us(&self) -> u64 {
        let times = self.parts.values().map(ContentState::found_us);
        times.max().unwrap_or_default()
    }

    /// The record of a part.
    pub fn record(&self, now: Instant, key: &ContentKey) -> Option<CrashRecord> {
        let state = self.parts.get(key)?;
        let mut crashes = Vec::new();
        for ((server, incarnation), crash) in &state.crashes {
            crashes.push(Crash {
                server: server.clone(),
                incarnation: *incarnation,
                age_ms: ledger_time(now).since(crash.at).as_millis() as u64,
                is_cleared: crash.is_cleared,
                found_us: crash.found_us,
            });
        }
        Some(CrashRecord {
            service: key.0.clone(),
            content: key.1.clone(),
            is_common: state.is_common,
            requests: state.requests,
            crashes,
        })
    }

    /// All records.
    pub fn records(&self, now: Instant) -> Vec<CrashRecord> {
        let keys = self.parts.keys();
        keys.filter_map(|key| self.record(now, key)).collect()
    }

    /// The records of which `other`, a list of records, lacks something.
    pub fn records_beyond(&self, now: Instant, other: &[CrashRecord]) -> Vec<CrashRecord> {
        let mut held = Self::default();
        held.merge_all(now, &other[..other.len().min(RECORDS_MAX)]);
        let mut records = self.records(now);
        let news = held.merge_all(now, &records);
        records.retain(|record| news.contains(&(record.service.clone(), record.content.clone())));
        records
    }

    /// Drops the records that are too old to matter.
    pub fn expire(&mut self, now: Instant) {
        let quarantines = &self.quarantines;
        let count = self.parts.len();
        self.parts.retain(|key, state| {
            let quarantine = quarantines.get(key);
            let until = quarantine.map(|quarantine| ledger_time(quarantine.until));
            let last = state.last_crash().max(until.unwrap_or_default());
            ledger_time(now).since(last) < RETENTION
        });
        if self.parts.len() != count {
            self.judge();
        }
    }
}
