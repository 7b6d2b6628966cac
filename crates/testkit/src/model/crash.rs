//! Discrete-event simulation of entries that call servers directly, while servers end.
//!
//! The real [`Direct`] state machines run in front of simulated servers. A server ends when it begins
//! to write a response to a request with a certain prompt part, or because of a scheduled [`Fault`].
//! Where servers form groups, the end of one rank stalls its whole group, which opens again once the
//! rank has been replaced.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassdyke_control::crashes::{FactRelay, Source};
use eelgrassdyke_control::followers::Followers;
use eelgrassdyke_core::config::{
    Document, MountSpec, RetryPolicy, ServiceSpec, TeamSpec, WeightedService,
};
use eelgrassdyke_core::crash::{Content, FactSync, Fingerprint};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::event::{self, Code};
use eelgrassdyke_core::follow::poll_number_base;
use eelgrassdyke_core::id::{Incarnation, PromptPart, Server, Ticket, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::TokenRate;
use eelgrassdyke_core::wire::directory::{ServerInfo, ServerState};
use eelgrassdyke_core::wire::follow::{ConfigUpdate, DirectoryRevision, DirectoryUpdate, Update};
use eelgrassdyke_core::wire::rank::SlowEngine;
use eelgrassdyke_core::wire::refusal::{Refusal, RunStatus};
use eelgrassdyke_core::wire::{Message, Sender};
use eelgrassdyke_entry::direct::{
    AttemptOutcome, AttemptSpec, Call, Direct, Input, NotRunReason, Options as EntryOptions, Output,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::limit::{Arrival, LimitPeriod};

/// One-way delay between any two processes.
const LINK_DELAY: Duration = Duration::from_millis(1);

/// Time from the start of a request at a server to its first event.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(150);

/// Time until the check of a server has a result.
const CHECK_TIME: Duration = Duration::from_millis(12);

/// Time between two events of a response.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Events of a response.
const EVENTS: u32 = 20;

/// Requests that a server queues beyond its slots.
const SERVER_QUEUE: usize = 6;

/// Time until a replacement of a server that ended has registered.
const RESTART_TIME: Duration = Duration::from_millis(1300);

/// Time for which work stalls that depends on a rank that ended.
const STALL_TIME: Duration = Duration::from_millis(1500);

/// Time from the replacement of a rank until its group is open.
const FORM_TIME: Duration = Duration::from_millis(600);

/// Time after which the directory drops a server that has ended.
const SERVER_LEASE: Duration = Duration::from_millis(4800);

/// Interval of updates from control.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Time that callers wait for a response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(8);

/// Prompt parts, other than the first one, that the requests of one class share.
const SUBJECTS: usize = 60;

/// Classes of requests.
const CLASSES: usize = 3;

/// Callers; the requests of one caller and class share the first part of their prompts.
const CALLERS: usize = 10;

/// Number of control processes.
const CONTROLS: usize = 3;

/// The kinds of events that [`Outcome::crash_events`] holds.
const CRASH_CODES: [Code; 3] = [
    Code::ServerCrashed,
    Code::PartQuarantined,
    Code::PartCleared,
];

/// The team of every caller.
const TEAM: &str = "salon";

/// The team key of every caller.
const API_KEY: &str = "key";

/// Options of a simulation.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of entries.
    pub entries: usize,
    /// Number of servers.
    pub servers: usize,
    /// Number of servers in a group; 1 if servers don't depend on each other.
    pub group_size: usize,
    /// Slots of a server.
    pub slots: u32,
    /// Requests per second.
    pub rate: f64,
    /// What ends servers.
    pub harm: Harm,
    /// Whether requests may be repeated.
    pub retry_policy: RetryPolicy,
    /// Fraction of the requests that end servers.
    pub harmful_fraction: f64,
    /// When requests with that part come, if any do.
    pub harmful_period: Option<(Duration, Duration)>,
    /// Length of the simulation.
    pub length: Duration,
    /// Faults, with their times.
    pub faults: Vec<(Duration, Fault)>,
    /// Servers that name limits.
    pub limits: Vec<LimitPeriod>,
    /// Relative traffic of each entry; empty if it is even.
    pub entry_weights: Vec<f64>,
    /// Whether the entries' shares of a server's slots are exact.
    pub exact_slots: bool,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            entries: 4,
            servers: 12,
            group_size: 12,
            slots: 12,
            rate: 40.0,
            harm: Harm::Part,
            retry_policy: RetryPolicy::Resumable,
            harmful_fraction: 0.04,
            harmful_period: Some((Duration::from_secs(12), Duration::from_secs(60))),
            length: Duration::from_secs(70),
            faults: Vec::new(),
            limits: Vec::new(),
            entry_weights: Vec::new(),
            exact_slots: false,
            seed: 1,
        }
    }
}

/// Content on which servers end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Harm {
    /// One part of the prompt, in requests that differ otherwise.
    Part,
    /// The whole of a request without prompt parts, which comes again and again.
    Request,
}

/// A fault that does not depend on the contents of requests.
#[derive(Clone, Debug)]
pub enum Fault {
    /// These servers end at the same moment.
    EndServers(Vec<usize>),
    /// These servers announce that they leave, and end two seconds later.
    ReplaceServers(Vec<usize>),
    /// All connections of an entry are reset.
    ResetConnections(usize),
    /// An entry is killed and restarts without its state.
    RestartEntry(usize),
    /// All entries and control processes are killed and restart without their state.
    RestartAll,
    /// A control process is killed and restarts without its state.
    RestartControl(usize),
    /// No message passes between entries and control for this long.
    CutControl(Duration),
}

/// Random faults that end servers or break connections for other reasons than a prompt, one every two to
/// five seconds.
pub fn other_faults(options: &Options) -> Vec<(Duration, Fault)> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut faults = Vec::new();
    let mut at = Duration::from_secs(8);
    while at < Duration::from_secs(60) {
        let first = rng.random_range(0..options.servers);
        let rack: Vec<usize> = (first..options.servers.min(first + 3)).collect();
        faults.push((
            at,
            match rng.random_range(0..6) {
                0 | 1 => Fault::EndServers(vec![first]),
                2 => Fault::EndServers(rack),
                3 => Fault::ReplaceServers(rack),
                4 => Fault::ResetConnections(rng.random_range(0..options.entries)),
                _ => Fault::RestartEntry(rng.random_range(0..options.entries)),
            },
        ));
        at += Duration::from_millis(rng.random_range(2000..5000));
    }
    faults
}

/// What happened in a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The callers' attempts.
    pub attempts: Vec<CallerAttempt>,
    /// When a server ended because of a prompt part.
    pub harmful_ends: Vec<Instant>,
    /// When a request with that part reached a server.
    pub harmful_arrivals: Vec<Instant>,
    /// When all processes restarted.
    pub restarts: Vec<Instant>,
    /// Events about crashes and quarantines, with the index of the entry.
    pub crash_events: Vec<(Instant, usize, event::Event)>,
    /// Requests that reached servers.
    pub arrivals: Vec<Arrival>,
    /// By server and incarnation: when it first named a limit.
    pub(super) limit_named_at: BTreeMap<(usize, u64), Instant>,
    /// By entry, server and incarnation: when the entry first received a response that names a limit.
    pub(super) limit_seen_at: BTreeMap<(usize, usize, u64), Instant>,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct CallerAttempt {
    /// When it was sent.
    pub sent_at: Instant,
    /// Whether it is the first attempt at its request.
    pub is_first: bool,
    /// Whether its prompt contains the part that ends servers.
    pub is_harmful: bool,
    /// Whether it has the caller, the class and the first part of the harmful ones.
    pub resembles_harmful: bool,
    /// When its first event was forwarded.
    pub began_at: Option<Instant>,
    /// Whether its response was completed.
    pub is_complete: bool,
    /// The refusal that ended it.
    pub refusal: Option<Refusal>,
    parts: Vec<PromptPart>,
    fingerprint: Fingerprint,
    entry: usize,
    /// Servers that its attempts reached.
    pub reached: Vec<usize>,
}

impl Outcome {
    /// Number of requests with the harmful part that reached servers later than `delay` after the
    /// `count`-th end that it caused, and later than that after a restart of all processes.
    pub fn harmful_arrivals_after(&self, count: usize, delay: Duration) -> usize {
        let Some(end) = self.harmful_ends.get(count - 1) else {
            return 0;
        };
        let restarts = &self.restarts;
        let is_counted = |at: &&Instant| {
            let has_restarted = restarts
                .iter()
                .any(|restart| **at > *restart && **at <= *restart + delay);
            **at > *end + delay && !has_restarted
        };
        self.harmful_arrivals.iter().filter(is_counted).count()
    }

    /// The contents that were quarantined, apart from the harmful part and the requests with it.
    pub fn quarantined_sound_parts(&self) -> BTreeSet<&str> {
        let harmful = self.attempts.iter().filter(|attempt| attempt.is_harmful);
        let fingerprints = harmful.map(|attempt| attempt.fingerprint.of_caller(TEAM));
        let mut harmful: BTreeSet<String> = fingerprints
            .map(|fingerprint| Content::Request(fingerprint).to_string())
            .collect();
        harmful.insert(harmful_part().to_string());
        let mut contents = BTreeSet::new();
        for (_, _, event) in &self.crash_events {
            if event.code == Code::PartQuarantined && !harmful.contains(&event.detail) {
                contents.insert(event.detail.as_str());
            }
        }
        contents
    }

    /// Fraction of the sound requests with the caller and first part of the harmful ones, sent within
    /// `from..until`, that began at their first attempt.
    pub fn begun_fraction(&self, from: Instant, until: Instant) -> f64 {
        let is_counted = |attempt: &&CallerAttempt| {
            let in_time = attempt.sent_at >= from && attempt.sent_at < until;
            let is_sound = attempt.resembles_harmful && !attempt.is_harmful;
            in_time && attempt.is_first && is_sound
        };
        let sent: Vec<_> = self.attempts.iter().filter(is_counted).collect();
        let begun = sent.iter().filter(|attempt| attempt.began_at.is_some());
        begun.count() as f64 / sent.len().max(1) as f64
    }
}

enum Event {
    Arrival,
    Send(usize),
    Reach(usize, AttemptSpec),
    Write(RunKey),
    AttemptEnded(RunKey, AttemptOutcome),
    ServerRestart(usize),
    ServerEnd(usize),
    StallEnd(usize),
    Update,
    EntryTick(usize),
    ServerChecked(usize, Server, Incarnation, SocketAddr),
    CrashRecords(usize, usize, FactSync),
    /// A control process passes on the records that are new to it.
    RelayRecords(usize),
    Fault(usize),
}

/// An attempt of an entry: index of the caller's attempt, number of the entry's attempt.
type RunKey = (usize, u32);

#[derive(Clone, Debug, Default)]
pub(super) struct SimServer {
    pub(super) incarnation: u64,
    is_alive: bool,
    is_draining: bool,
    ended_at: Instant,
    running: BTreeMap<RunKey, u32>,
    waiting: BTreeSet<RunKey>,
}

/// The simulation.
pub struct Simulation {
    pub(super) options: Options,
    pub(super) now: Instant,
    rng: ChaCha8Rng,
    events: BTreeMap<(Instant, u64), Event>,
    event_sequence: u64,
    pub(super) entries: Vec<Direct>,
    pub(super) entry_incarnations: Vec<u64>,
    entry_ticks: Vec<Instant>,
    pub(super) servers: Vec<SimServer>,
    /// By group: when it was last complete; none while a rank is missing.
    group_complete_at: Vec<Option<Instant>>,
    /// By group: until when its work stalls.
    stalled_until: Vec<Instant>,
    document: Arc<Document>,
    revision: u64,
    /// By control process.
    relays: Vec<FactRelay>,
    /// By control process: the entries that poll it.
    pub(super) followers: Vec<Followers>,
    /// By entry: the control process that it follows.
    pub(super) followed_controls: Vec<usize>,
    control_cut_until: Instant,
    pub(super) outcome: Outcome,
}

pub(super) fn entry_sender(index: usize, incarnation: u64) -> Sender {
    Sender {
        process: format!("entry-{index}").parse().expect("a valid name"),
        incarnation: Incarnation(incarnation),
        address: SocketAddr::from(([10, 2, 0, 1], 1000 + index as u16)),
    }
}

fn control_sender(index: usize) -> Sender {
    Sender {
        process: format!("control-{index}").parse().expect("a valid name"),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([10, 3, 0, 1], 1000 + index as u16)),
    }
}

fn server_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], 1000 + index as u16))
}

fn part(name: impl std::fmt::Display) -> PromptPart {
    name.to_string().parse().expect("a valid name")
}

/// The part that ends servers.
pub fn harmful_part() -> PromptPart {
    part("harmful")
}

impl Simulation {
    /// Creates a simulation.
    pub fn new(options: Options) -> Self {
        let groups = options.servers.div_ceil(options.group_size);
        let server = SimServer {
            incarnation: 1,
            is_alive: true,
            ..SimServer::default()
        };
        let mut simulation = Self {
            now: Instant(0),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            events: BTreeMap::new(),
            event_sequence: 0,
            entries: Vec::new(),
            entry_incarnations: vec![1; options.entries],
            entry_ticks: vec![Instant::NEVER; options.entries],
            servers: vec![server; options.servers],
            group_complete_at: vec![Some(Instant(0)); groups],
            stalled_until: vec![Instant(0); groups],
            document: Arc::new(document(options.retry_policy)),
            revision: 0,
            relays: vec![FactRelay::default(); CONTROLS],
            followers: vec![Followers::default(); CONTROLS],
            followed_controls: vec![0; options.entries],
            control_cut_until: Instant(0),
            outcome: Outcome::default(),
            options,
        };
        for index in 0..simulation.options.entries {
            let entry = simulation.new_entry(index);
            simulation.entries.push(entry);
        }
        simulation
    }

    fn new_entry(&self, index: usize) -> Direct {
        let incarnation = self.entry_incarnations[index];
        let options = EntryOptions {
            control_addresses: (0..CONTROLS).map(|i| control_sender(i).address).collect(),
            seed: self.options.seed * 1000 + index as u64 + incarnation * 7919,
            retry_slack: 90,
            exact_slots: self.options.exact_slots,
            ..EntryOptions::default()
        };
        Direct::new(self.now, &entry_sender(index, incarnation), options)
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Outcome {
        self.schedule(Duration::ZERO, Event::Update);
        self.schedule(Duration::from_millis(100), Event::Arrival);
        for (index, (at, _)) in self.options.faults.clone().into_iter().enumerate() {
            self.schedule(at, Event::Fault(index));
        }
        let end = Instant(0) + self.options.length;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.outcome
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.event_sequence += 1;
        self.events
            .insert((self.now + delay, self.event_sequence), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Send(index) => self.send_call(index),
            Event::Reach(index, spec) => self.reach_server(index, &spec),
            Event::Write(key) => self.write_event(key),
            Event::AttemptEnded(key, outcome) => self.end_attempt(key, outcome),
            Event::ServerRestart(server) => self.restart_server(server),
            Event::ServerEnd(server) => self.end_server(server),
            Event::StallEnd(group) => self.end_stall(group),
            Event::Update => {
                self.exchange_demands();
                self.update_entries();
                self.schedule(UPDATE_INTERVAL, Event::Update);
            }
            Event::EntryTick(entry) => {
                self.entry_ticks[entry] = Instant::NEVER;
                self.feed(entry, Input::Tick);
            }
            Event::ServerChecked(entry, server, incarnation, address) => {
                let position = usize::from(address.port()) - 1000;
                let has_ended = !self.servers[position].is_alive;
                let input = Input::ServerChecked {
                    server,
                    incarnation,
                    has_ended,
                };
                self.feed(entry, input);
            }
            Event::CrashRecords(entry, control, sync) => {
                let from = control_sender(control);
                let message = Message::FactSync(sync);
                self.feed(entry, Input::Message { from, message });
            }
            Event::RelayRecords(control) => self.relay_records(control),
            Event::Fault(index) => self.inject(self.options.faults[index].1.clone()),
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::EndServers(servers) => servers.into_iter().for_each(|s| self.end_server(s)),
            Fault::ReplaceServers(servers) => {
                for server in servers {
                    self.servers[server].is_draining = true;
                    self.schedule(Duration::from_secs(2), Event::ServerEnd(server));
                }
                self.update_entries();
            }
            Fault::ResetConnections(entry) => self.lose_work(|_, attempt| attempt.entry == entry),
            Fault::RestartEntry(entry) => self.restart_entry(entry),
            Fault::RestartAll => {
                self.outcome.restarts.push(self.now);
                self.relays = vec![FactRelay::default(); CONTROLS];
                self.followers = vec![Followers::default(); CONTROLS];
                for entry in 0..self.entries.len() {
                    self.restart_entry(entry);
                }
            }
            Fault::RestartControl(control) => {
                self.relays[control] = FactRelay::default();
                self.followers[control] = Followers::default();
            }
            Fault::CutControl(length) => self.control_cut_until = self.now + length,
        }
    }

    fn restart_entry(&mut self, entry: usize) {
        for server in &mut self.servers {
            let attempts = &self.outcome.attempts;
            let stays = |key: &RunKey| attempts[key.0].entry != entry;
            server.running.retain(|key, _| stays(key));
            server.waiting.retain(stays);
        }
        self.entry_incarnations[entry] += 1;
        self.outcome
            .limit_seen_at
            .retain(|(e, _, _), _| *e != entry);
        self.entries[entry] = self.new_entry(entry);
        self.feed(entry, Input::Tick);
        self.update_entry(entry);
    }

    /// Breaks off the work that `is_lost` selects.
    fn lose_work(&mut self, is_lost: impl Fn(usize, &CallerAttempt) -> bool) {
        let mut lost = Vec::new();
        for (index, server) in self.servers.iter().enumerate() {
            let keys = server.running.keys().chain(&server.waiting);
            lost.extend(keys.filter(|key| is_lost(index, &self.outcome.attempts[key.0])));
        }
        for key in lost {
            self.remove_work(key);
            self.schedule(
                LINK_DELAY,
                Event::AttemptEnded(key, AttemptOutcome::ResponseLost),
            );
        }
    }

    fn remove_work(&mut self, key: RunKey) {
        for server in 0..self.servers.len() {
            let was_running = self.servers[server].running.remove(&key).is_some();
            let was_waiting = self.servers[server].waiting.remove(&key);
            if was_running {
                self.start_waiting(server);
            }
            if was_running || was_waiting {
                return;
            }
        }
    }

    /// A new request of a caller.
    fn arrive(&mut self) {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let gap = Duration::from_secs_f64(-uniform.ln() / self.options.rate);
        self.schedule(gap, Event::Arrival);
        let elapsed = self.now.since(Instant(0));
        let in_period = |(from, until): (Duration, Duration)| elapsed >= from && elapsed < until;
        let is_harmful = self.options.harmful_period.is_some_and(in_period)
            && self.rng.random_range(0.0..1.0) < self.options.harmful_fraction;
        // Harmful requests have one caller and class, as have some of the sound ones.
        let (mut class, mut caller) = (0, 0);
        if !is_harmful {
            class = self.rng.random_range(0..CLASSES);
            caller = self.rng.random_range(0..CALLERS);
        }
        // Subjects of low number are far more frequent than those of high number.
        let skew: f64 = self.rng.random_range(0.0..1.0);
        let subject = (skew * skew * SUBJECTS as f64) as usize;
        let mut parts = vec![part(format!("first-{caller}-{class}"))];
        if self.rng.random_range(0..2) == 0 {
            parts.push(part(format!("subject-{class}-{subject}")));
        }
        if self.options.harm == Harm::Request {
            parts.clear();
        } else if is_harmful {
            parts.insert(self.rng.random_range(1..=parts.len()), harmful_part());
        }
        // Requests for one subject are the same if they name no parts.
        let content = match (self.options.harm, is_harmful) {
            (Harm::Request, true) => "harmful".to_owned(),
            (Harm::Request, false) => format!("sound {subject}"),
            (Harm::Part, _) => self.outcome.attempts.len().to_string(),
        };
        let entry = self.draw_entry();
        let attempt = CallerAttempt {
            sent_at: self.now,
            is_first: true,
            is_harmful,
            resembles_harmful: class == 0 && caller == 0,
            fingerprint: Fingerprint::of(&[content.as_bytes()]),
            began_at: None,
            is_complete: false,
            refusal: None,
            parts,
            entry,
            reached: Vec::new(),
        };
        self.outcome.attempts.push(attempt);
        self.send_call(self.outcome.attempts.len() - 1);
    }

    /// The entry that a new request arrives at.
    fn draw_entry(&mut self) -> usize {
        if self.options.entry_weights.is_empty() {
            return self.rng.random_range(0..self.entries.len());
        }
        let weights = &self.options.entry_weights;
        let mut draw = self.rng.random_range(0.0..weights.iter().sum());
        for (entry, weight) in weights.iter().enumerate() {
            if draw < *weight {
                return entry;
            }
            draw -= weight;
        }
        weights.len() - 1
    }

    fn send_call(&mut self, index: usize) {
        let attempt = &mut self.outcome.attempts[index];
        attempt.sent_at = self.now;
        let call = Call {
            fingerprint: attempt.fingerprint,
            id: index.to_string(),
            host: "draft.example".to_owned(),
            path: "/draft/x".to_owned(),
            api_key: Some(API_KEY.to_owned()),
            time_left: Some(CALLER_TIMEOUT),
            prompt_parts: attempt.parts.clone(),
            ..Call::default()
        };
        let (entry, ticket) = (attempt.entry, Ticket(index as u64));
        self.feed(entry, Input::Call { ticket, call });
    }

    /// Sends a caller's request again after `delay`, through another entry.
    fn retry_call(&mut self, index: usize, delay: Duration) {
        let previous = &self.outcome.attempts[index];
        if !previous.is_first {
            return;
        }
        let retry = CallerAttempt {
            is_first: false,
            began_at: None,
            refusal: None,
            entry: (previous.entry + 1) % self.entries.len(),
            reached: Vec::new(),
            ..previous.clone()
        };
        self.outcome.attempts.push(retry);
        let index = self.outcome.attempts.len() - 1;
        self.schedule(delay, Event::Send(index));
    }

    pub(super) fn feed(&mut self, entry: usize, input: Input) {
        let mut out = Vec::new();
        self.entries[entry].handle(self.now, input, &mut out);
        for output in out {
            self.execute(entry, output);
        }
        let deadline = self.entries[entry].next_deadline();
        if deadline < self.entry_ticks[entry] {
            self.entry_ticks[entry] = deadline;
            self.schedule(deadline.since(self.now), Event::EntryTick(entry));
        }
    }

    fn execute(&mut self, entry: usize, output: Output) {
        match output {
            Output::StartAttempt { ticket, spec } => {
                self.schedule(LINK_DELAY, Event::Reach(ticket.0 as usize, spec));
            }
            Output::Cancel { ticket } => {
                let index = ticket.0 as usize;
                let keys = self.servers.iter().flat_map(|server| {
                    let keys = server.running.keys().chain(&server.waiting);
                    keys.filter(move |key| key.0 == index).copied()
                });
                for key in keys.collect::<Vec<_>>() {
                    self.remove_work(key);
                }
            }
            Output::Deliver { ticket } | Output::EndStream { ticket } => {
                self.outcome.attempts[ticket.0 as usize].is_complete = true;
            }
            Output::Abort { ticket } => {
                self.retry_call(ticket.0 as usize, Duration::from_millis(50))
            }
            Output::Refuse { ticket, refusal } => {
                let index = ticket.0 as usize;
                self.outcome.attempts[index].refusal = Some(refusal);
                let retry_after = Duration::from_millis(refusal.retry_after_ms.unwrap_or(50));
                let delay = match refusal.run_status {
                    RunStatus::No => retry_after.min(CALLER_TIMEOUT / 3),
                    RunStatus::Yes | RunStatus::Unknown => Duration::from_millis(50),
                };
                self.retry_call(index, delay);
            }
            Output::Send { to, message } => self.deliver_to_control(entry, to, message),
            Output::CheckServer {
                server,
                incarnation,
                address,
            } => {
                let event = Event::ServerChecked(entry, server, incarnation, address);
                self.schedule(CHECK_TIME, event);
            }
            Output::Event(event) if CRASH_CODES.contains(&event.code) => {
                self.outcome.crash_events.push((self.now, entry, event));
            }
            Output::Event(_) => {}
        }
    }

    /// Passes crash records to the control process at `to`, which relays them to its entries.
    fn deliver_to_control(&mut self, entry: usize, to: SocketAddr, message: Message) {
        if self.now < self.control_cut_until {
            return;
        }
        let control = usize::from(to.port()) - 1000;
        let sync = match message {
            Message::FactSync(sync) => sync,
            Message::Poll(poll) => return self.record_poll(entry, control, poll),
            _ => return,
        };
        self.relays[control].merge(self.now, &sync, Source::Entry);
        if sync.is_complete {
            let response = self.relays[control].response(self.now, &sync);
            self.schedule(LINK_DELAY, Event::CrashRecords(entry, control, response));
        }
        let due = self.relays[control].next_deadline();
        if due != Instant::NEVER {
            self.schedule(due.since(self.now), Event::RelayRecords(control));
        }
    }

    fn relay_records(&mut self, control: usize) {
        let Some(relay) = self.relays[control].take_due(self.now) else {
            return;
        };
        for entry in (0..self.entries.len()).filter(|entry| entry % CONTROLS == control) {
            let sync = relay.followers.clone();
            self.schedule(LINK_DELAY * 2, Event::CrashRecords(entry, control, sync));
        }
    }

    fn group(&self, server: usize) -> usize {
        server / self.options.group_size
    }

    fn is_open(&self, server: usize) -> bool {
        let complete_at = self.group_complete_at[self.group(server)];
        let form_time = match self.options.group_size {
            1 => Duration::ZERO,
            _ => FORM_TIME,
        };
        complete_at.is_some_and(|at| at == Instant(0) || self.now.since(at) >= form_time)
    }

    fn reach_server(&mut self, index: usize, spec: &AttemptSpec) {
        let key = (index, spec.attempt);
        let position = usize::from(spec.address.port()) - 1000;
        let name = server_name(position, self.servers[position].incarnation);
        let stalled_until = self.stalled_until[self.group(position)];
        let is_open = self.is_open(position);
        let not_run = |reason| Event::AttemptEnded(key, AttemptOutcome::NotRun(reason));
        if !self.servers[position].is_alive {
            return self.schedule(LINK_DELAY, not_run(NotRunReason::NotSent));
        }
        if spec.server != name {
            return self.schedule(LINK_DELAY, not_run(NotRunReason::OtherServer));
        }
        self.outcome.attempts[index].reached.push(position);
        let entry = self.outcome.attempts[index].entry;
        self.record_arrival(entry, position);
        if self.outcome.attempts[index].is_harmful {
            self.outcome.harmful_arrivals.push(self.now);
        }
        let is_closed = !is_open && self.now >= stalled_until;
        if is_closed || self.servers[position].waiting.len() >= SERVER_QUEUE {
            self.signal_limit(entry, position);
            return self.schedule(LINK_DELAY, not_run(NotRunReason::Rejected));
        }
        self.servers[position].waiting.insert(key);
        if is_open {
            self.start_waiting(position);
        }
    }

    /// Starts waiting requests while slots are free.
    fn start_waiting(&mut self, position: usize) {
        while self.is_open(position) {
            let server = &mut self.servers[position];
            if server.running.len() >= self.options.slots as usize {
                return;
            }
            let Some(key) = server.waiting.pop_first() else {
                return;
            };
            server.running.insert(key, 0);
            self.schedule(FIRST_EVENT_TIME, Event::Write(key));
        }
    }

    fn write_event(&mut self, key: RunKey) {
        let holds = |server: &SimServer| server.running.contains_key(&key);
        let Some(position) = self.servers.iter().position(holds) else {
            return;
        };
        // Work at a stalled group makes no progress until it is broken off.
        if !self.is_open(position) {
            return;
        }
        if self.outcome.attempts[key.0].is_harmful {
            self.outcome.harmful_ends.push(self.now);
            return self.end_server(position);
        }
        let events = self.servers[position].running.entry(key).or_default();
        *events += 1;
        let (is_first, is_last) = (*events == 1, *events == EVENTS);
        let attempt = &mut self.outcome.attempts[key.0];
        attempt.began_at.get_or_insert(self.now);
        let (entry, ticket) = (attempt.entry, Ticket(key.0 as u64));
        let attempt = key.1;
        if is_first {
            self.signal_limit(entry, position);
        }
        self.feed(entry, Input::EventForwarded { ticket, attempt });
        if is_last {
            self.remove_work(key);
            self.schedule(
                LINK_DELAY,
                Event::AttemptEnded(key, AttemptOutcome::Streamed),
            );
        } else {
            self.schedule(EVENT_INTERVAL, Event::Write(key));
        }
    }

    fn end_attempt(&mut self, key: RunKey, outcome: AttemptOutcome) {
        let entry = self.outcome.attempts[key.0].entry;
        let (ticket, attempt) = (Ticket(key.0 as u64), key.1);
        self.feed(
            entry,
            Input::AttemptEnded {
                ticket,
                attempt,
                outcome,
            },
        );
    }

    fn end_server(&mut self, position: usize) {
        if !self.servers[position].is_alive {
            return;
        }
        self.servers[position].is_alive = false;
        self.servers[position].ended_at = self.now;
        self.lose_work(|server, _| server == position);
        self.schedule(RESTART_TIME, Event::ServerRestart(position));
        if self.options.group_size > 1 {
            let group = self.group(position);
            self.group_complete_at[group] = None;
            self.stalled_until[group] = self.now + STALL_TIME;
            self.schedule(STALL_TIME, Event::StallEnd(group));
            self.update_entries();
        }
    }

    fn end_stall(&mut self, group: usize) {
        if self.now < self.stalled_until[group] {
            return;
        }
        let members = group * self.options.group_size;
        let members = members..(members + self.options.group_size).min(self.servers.len());
        for position in members.clone() {
            for key in std::mem::take(&mut self.servers[position].waiting) {
                let outcome = AttemptOutcome::NotRun(NotRunReason::Rejected);
                self.schedule(LINK_DELAY, Event::AttemptEnded(key, outcome));
            }
        }
        self.lose_work(|server, _| members.contains(&server));
    }

    fn restart_server(&mut self, position: usize) {
        let group = self.group(position);
        let server = &mut self.servers[position];
        server.is_alive = true;
        server.is_draining = false;
        server.incarnation += 1;
        let first = group * self.options.group_size;
        let mut members = first..(first + self.options.group_size).min(self.servers.len());
        if members.all(|member| self.servers[member].is_alive) {
            self.group_complete_at[group] = Some(self.now);
        }
        self.update_entries();
    }

    fn update_entries(&mut self) {
        for entry in 0..self.entries.len() {
            self.update_entry(entry);
        }
    }

    fn update_entry(&mut self, entry: usize) {
        if self.now < self.control_cut_until {
            return;
        }
        self.revision += 1;
        let control = control_sender(entry % CONTROLS);
        let mut servers = Vec::new();
        let mut slow_engines = Vec::new();
        for (position, server) in self.servers.iter().enumerate() {
            let is_listed = server.is_alive || self.now.since(server.ended_at) < SERVER_LEASE;
            if is_listed {
                servers.push((self.server_info(position), self.revision));
            }
            if server.is_alive && !self.is_open(position) {
                slow_engines.push(SlowEngine {
                    address: server_address(position),
                    slowness_permille: 1000,
                    group_closed: true,
                });
            }
        }
        let update = Update {
            committed_version: Version(1),
            has_quorum: true,
            confirmed: true,
            poll_number: poll_number_base(&entry_sender(entry, self.entry_incarnations[entry])),
            config: Some(ConfigUpdate::Snapshot {
                version: Version(1),
                document: self.document.clone(),
            }),
            directory: Some(DirectoryUpdate {
                revision: DirectoryRevision {
                    source: (control.process.clone(), control.incarnation),
                    number: self.revision,
                    load_number: 0,
                },
                base_revision: None,
                warmed_up: true,
                servers,
                removed: Vec::new(),
                departed: Vec::new(),
                loads: Vec::new(),
                loads_complete: true,
            }),
            control_addresses: Vec::new(),
            leader: None,
            slow_engines,
            entry_count: self.entries.len() as u32,
            shares: self.shares(entry),
            coordinators: Default::default(),
        };
        let message = Message::Update(update);
        let from = control;
        self.feed(entry, Input::Message { from, message });
    }

    fn server_info(&self, position: usize) -> ServerInfo {
        let server = &self.servers[position];
        let state = match server.is_draining {
            true => ServerState::Draining,
            false => ServerState::Up,
        };
        ServerInfo {
            server: server_name(position, server.incarnation),
            service: "draft".parse().expect("a valid name"),
            agent: "none".parse().expect("a valid name"),
            incarnation: Incarnation(server.incarnation),
            address: server_address(position),
            host: format!("host-{position}").parse().expect("a valid name"),
            data_centre: "hobart".parse().expect("a valid name"),
            state,
            slots: self.options.slots,
            token_rate: TokenRate(0),
            is_cold: false,
            applied_orders: Vec::new(),
        }
    }
}

pub(super) fn server_name(position: usize, incarnation: u64) -> Server {
    let name = format!("server-{position}-{incarnation}");
    name.parse().expect("a valid name")
}

/// A configuration with one service.
fn document(retry_policy: RetryPolicy) -> Document {
    let spec: ServiceSpec = serde_json::from_str(r#"{"kind": "plain"}"#).expect("a valid service");
    let team = TeamSpec {
        tokens: vec![Sha256::of(API_KEY.as_bytes())],
        shares: BTreeMap::new(),
        priority: None,
    };
    let mount = MountSpec {
        host: "draft.example".to_owned(),
        prefix: "/draft/".to_owned(),
        retry_policy,
        timeout_ms: CALLER_TIMEOUT.as_millis() as u64,
        latency_target_ms: 400,
        gap_target_ms: 120,
        priority: 1,
        split: vec![WeightedService {
            service: "draft".parse().expect("a valid name"),
            weight: 1,
        }],
        max_attempts: 2,
        anonymous: false,
    };
    let mut document = Document::default();
    let service = "draft".parse().expect("a valid name");
    document.services.insert(service, spec);
    document
        .teams
        .insert(TEAM.parse().expect("a valid name"), team);
    document
        .mounts
        .insert("draft".parse().expect("a valid name"), mount);
    document
}
