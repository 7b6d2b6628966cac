//! A simulation of entries and servers: several entries send to the same servers, some of which are cold for
//! a time, while load bursts, entries restart and entries lose contact with control.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassdyke_core::config::{Document, MountSpec, RetryPolicy, ServiceSpec, WeightedService};
use eelgrassdyke_core::follow::poll_number_base;
use eelgrassdyke_core::id::{Incarnation, Server, Service, Ticket, Version};
use eelgrassdyke_core::limit::{ServiceShare, Share};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::{Permille, TokenRate};
use eelgrassdyke_core::wire::directory::{ServerInfo, ServerState};
use eelgrassdyke_core::wire::follow::{ConfigUpdate, DirectoryRevision, DirectoryUpdate, Update};
use eelgrassdyke_core::wire::refusal::RunStatus;
use eelgrassdyke_core::wire::{Message, Sender};
use eelgrassdyke_entry::direct::{AttemptOutcome, Call, ColdBound, Direct, Input, Options, Output};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Interval of updates from control.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which control counts an entry that no longer polls.
const COUNTED_TIME: Duration = Duration::from_secs(3);

const SECOND: Duration = Duration::from_secs(1);

pub fn at(milliseconds: u64) -> Instant {
    Instant(0) + Duration::from_millis(milliseconds)
}

/// A time during which a server is cold.
#[derive(Clone, Copy, Debug)]
pub struct ColdPeriod {
    pub server: usize,
    pub from: Instant,
    pub until: Instant,
}

#[derive(Clone, Debug)]
pub struct Shape {
    pub entries: usize,
    pub servers: usize,
    pub slots: u32,
    /// Requests a second that a server usually gets.
    pub usual_rate: f64,
    /// Time that a request takes at a server.
    pub service_time_ms: std::ops::Range<u64>,
    /// The latency target of the mount, longer than a request takes: without progress for three times as
    /// long, a server counts as hung.
    pub latency_target: Duration,
    /// An entry that gets this fraction of the load; the others get equal parts of the rest.
    pub busy_entry: Option<(usize, f64)>,
    pub cold_rate: Option<f64>,
    pub bound: ColdBound,
    pub cold_periods: Vec<ColdPeriod>,
    /// When the load is three times the usual one.
    pub bursts: Vec<(Instant, Instant)>,
    /// When entries are killed and restarted.
    pub restarts: Vec<(Instant, usize)>,
    /// Entries without contact to control, with the times.
    pub cuts: Vec<(usize, Instant, Instant)>,
    /// Fraction of the attempts that break off.
    pub broken_fraction: f64,
    pub length: Duration,
    pub seed: u64,
}

impl Shape {
    pub fn new(entries: usize) -> Self {
        Self {
            entries,
            servers: 6,
            slots: 10,
            // More than a server tolerates while it is cold.
            usual_rate: 40.0,
            service_time_ms: 60..140,
            latency_target: Duration::from_millis(400),
            busy_entry: None,
            cold_rate: Some(34.0),
            bound: ColdBound {
                overage: Permille(1500),
                slack: 5,
            },
            cold_periods: Vec::new(),
            bursts: Vec::new(),
            restarts: Vec::new(),
            cuts: Vec::new(),
            broken_fraction: 0.0,
            length: Duration::from_secs(30),
            seed: 1,
        }
    }

    /// The servers from `first` on are cold from `from` until `until`, in milliseconds.
    pub fn cold(mut self, servers: std::ops::Range<usize>, from: u64, until: u64) -> Self {
        self.cold_periods.extend(servers.map(|server| ColdPeriod {
            server,
            from: at(from),
            until: at(until),
        }));
        self
    }

    fn is_cold(&self, server: usize, now: Instant) -> bool {
        let is_cold = |p: &ColdPeriod| p.server == server && now >= p.from && now < p.until;
        self.cold_periods.iter().any(is_cold)
    }

    fn is_cut(&self, entry: usize, now: Instant) -> bool {
        let is_cut =
            |cut: &(usize, Instant, Instant)| cut.0 == entry && now >= cut.1 && now < cut.2;
        self.cuts.iter().any(is_cut)
    }

    fn load(&self, now: Instant) -> f64 {
        let usual = self.usual_rate * self.servers as f64;
        match self.bursts.iter().any(|b| now >= b.0 && now < b.1) {
            true => 3.0 * usual,
            false => usual,
        }
    }

    /// Maximum number of requests at a cold server in any second.
    pub fn allowed(&self) -> f64 {
        let rate = self.cold_rate.unwrap_or_default();
        rate * self.bound.overage.fraction() + f64::from(self.bound.slack)
    }
}

enum Event {
    Arrival,
    End(usize, u64, Ticket, u32, AttemptOutcome),
    Update,
    Restart(usize),
    Tick(usize),
}

#[derive(Default)]
pub struct Outcome {
    /// By server: when requests reached it, and whether the attempt was the first one.
    pub arrivals: Vec<Vec<(Instant, bool)>>,
    /// Time until each call was sent or refused.
    pub decided_after: Vec<Duration>,
    pub refused: usize,
    /// Refusals that don't say that the request has not run, or not when to return.
    pub unclear_refusals: usize,
    pub sent: usize,
}

pub struct World {
    shape: Shape,
    now: Instant,
    rng: ChaCha8Rng,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    entries: Vec<Direct>,
    incarnations: Vec<u64>,
    ticks: Vec<Instant>,
    revision: u64,
    received: BTreeMap<Ticket, Instant>,
    last_ticket: u64,
    document: Arc<Document>,
    outcome: Outcome,
}

fn service() -> Service {
    "draft".parse().unwrap()
}

fn server_name(index: usize) -> Server {
    format!("server-{index}").parse().unwrap()
}

fn sender(entry: usize, incarnation: u64) -> Sender {
    Sender {
        process: format!("entry-{entry:02}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        address: SocketAddr::from(([10, 2, 0, 1], 1000 + entry as u16)),
    }
}

fn document(shape: &Shape) -> Document {
    let mut direct = serde_json::json!({"connections": 400});
    if let Some(rate) = shape.cold_rate {
        direct["cold_rate"] = ((rate * 1000.0) as u64).into();
    }
    let spec = serde_json::json!({"kind": "plain", "direct": direct});
    let spec: ServiceSpec = serde_json::from_value(spec).unwrap();
    let mount = MountSpec {
        host: "draft.example".to_owned(),
        prefix: "/".to_owned(),
        retry_policy: RetryPolicy::Resumable,
        timeout_ms: 5000,
        latency_target_ms: shape.latency_target.as_millis() as u64,
        gap_target_ms: 0,
        priority: 1,
        split: vec![WeightedService {
            service: service(),
            weight: 1,
        }],
        max_attempts: 3,
        anonymous: true,
    };
    let mut document = Document::default();
    document.services.insert(service(), spec);
    document.mounts.insert("draft".parse().unwrap(), mount);
    document
}

impl World {
    pub fn new(shape: Shape) -> Self {
        let mut world = Self {
            now: Instant(0),
            rng: ChaCha8Rng::seed_from_u64(shape.seed),
            events: BTreeMap::new(),
            sequence: 0,
            entries: Vec::new(),
            incarnations: vec![1; shape.entries],
            ticks: vec![Instant::NEVER; shape.entries],
            revision: 0,
            received: BTreeMap::new(),
            last_ticket: 0,
            document: Arc::new(document(&shape)),
            outcome: Outcome {
                arrivals: vec![Vec::new(); shape.servers],
                ..Outcome::default()
            },
            shape,
        };
        for entry in 0..world.shape.entries {
            let direct = world.new_entry(entry);
            world.entries.push(direct);
        }
        world
    }

    fn new_entry(&self, entry: usize) -> Direct {
        let incarnation = self.incarnations[entry];
        let options = Options {
            control_addresses: vec!["10.3.0.1:7000".parse().unwrap()],
            seed: self.shape.seed * 1000 + entry as u64 + incarnation * 7919,
            retry_share: Permille(500),
            retry_slack: 1000,
            cold_bound: self.shape.bound,
            ..Options::default()
        };
        Direct::new(self.now, &sender(entry, incarnation), options)
    }

    pub fn run(mut self) -> Outcome {
        self.schedule(Instant(0), Event::Update);
        self.schedule(at(100), Event::Arrival);
        // Control pushes each change of the directory at once.
        for period in self.shape.cold_periods.clone() {
            self.schedule(period.from, Event::Update);
            self.schedule(period.until, Event::Update);
        }
        for (time, entry) in self.shape.restarts.clone() {
            self.schedule(time, Event::Restart(entry));
        }
        let end = Instant(0) + self.shape.length;
        while let Some(((time, _), event)) = self.events.pop_first() {
            if time > end {
                break;
            }
            self.now = time;
            self.handle(event);
        }
        self.outcome
    }

    fn schedule(&mut self, time: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
                let gap = -uniform.ln() / self.shape.load(self.now);
                self.schedule(self.now + Duration::from_secs_f64(gap), Event::Arrival);
                self.last_ticket += 1;
                let ticket = Ticket(self.last_ticket);
                self.received.insert(ticket, self.now);
                let entry = self.draw_entry();
                let call = Call {
                    id: ticket.0.to_string(),
                    host: "draft.example".to_owned(),
                    path: "/x".to_owned(),
                    ..Call::default()
                };
                self.feed(entry, Input::Call { ticket, call });
            }
            Event::End(entry, incarnation, ticket, attempt, outcome) => {
                if self.incarnations[entry] == incarnation {
                    let input = Input::AttemptEnded {
                        ticket,
                        attempt,
                        outcome,
                    };
                    self.feed(entry, input);
                }
            }
            Event::Update => {
                self.revision += 1;
                let entries = 0..self.entries.len();
                entries.for_each(|entry| self.update(entry));
                if self.now.since(Instant(0)).subsec_millis() == 0 {
                    self.schedule(self.now + UPDATE_INTERVAL, Event::Update);
                }
            }
            Event::Restart(entry) => {
                self.incarnations[entry] += 1;
                self.entries[entry] = self.new_entry(entry);
                self.update(entry);
            }
            Event::Tick(entry) => {
                self.ticks[entry] = Instant::NEVER;
                self.feed(entry, Input::Tick);
            }
        }
    }

    /// The entry at which a new call arrives.
    fn draw_entry(&mut self) -> usize {
        match self.shape.busy_entry {
            Some((entry, fraction)) if self.rng.random_range(0.0..1.0) < fraction => entry,
            _ => self.rng.random_range(0..self.entries.len()),
        }
    }

    fn update(&mut self, entry: usize) {
        if self.shape.is_cut(entry, self.now) {
            return;
        }
        // Control counts the entries that have polled within the last seconds.
        let since = Instant(0) + self.now.since(Instant(0)).saturating_sub(COUNTED_TIME);
        let is_counted = |other: &usize| {
            let cuts = self.shape.cuts.iter();
            !cuts
                .filter(|cut| cut.0 == *other)
                .any(|cut| cut.1 <= since && self.now < cut.2)
        };
        let counted: Vec<usize> = (0..self.entries.len()).filter(is_counted).collect();
        let position = counted.iter().position(|other| *other == entry);
        let demands = vec![None; counted.len()];
        let share = Share::divide(&demands, position.unwrap_or_default());
        let infos = (0..self.shape.servers).map(|server| (self.server_info(server), self.revision));
        let update = Update {
            committed_version: Version(1),
            has_quorum: true,
            confirmed: true,
            poll_number: poll_number_base(&sender(entry, self.incarnations[entry])),
            config: Some(ConfigUpdate::Snapshot {
                version: Version(1),
                document: self.document.clone(),
            }),
            directory: Some(DirectoryUpdate {
                revision: DirectoryRevision {
                    source: ("control-1".parse().unwrap(), Incarnation(1)),
                    number: self.revision,
                    load_number: 0,
                },
                base_revision: None,
                warmed_up: true,
                servers: infos.collect(),
                removed: Vec::new(),
                departed: Vec::new(),
                loads: Vec::new(),
                loads_complete: true,
            }),
            control_addresses: Vec::new(),
            leader: None,
            slow_engines: Vec::new(),
            entry_count: counted.len() as u32,
            coordinators: Default::default(),
            shares: vec![ServiceShare {
                service: service(),
                share,
            }],
        };
        let from = Sender {
            process: "control-1".parse().unwrap(),
            ..sender(0, 1)
        };
        let message = Message::Update(update);
        self.feed(entry, Input::Message { from, message });
    }

    fn server_info(&self, index: usize) -> ServerInfo {
        ServerInfo {
            server: server_name(index),
            service: service(),
            agent: "none".parse().unwrap(),
            incarnation: Incarnation(1),
            address: SocketAddr::from(([10, 1, 0, 1], 1000 + index as u16)),
            host: format!("host-{index}").parse().unwrap(),
            data_centre: "hobart".parse().unwrap(),
            state: ServerState::Up,
            slots: self.shape.slots,
            token_rate: TokenRate(0),
            is_cold: self.shape.is_cold(index, self.now),
            applied_orders: Vec::new(),
        }
    }

    fn feed(&mut self, entry: usize, input: Input) {
        let mut out = Vec::new();
        self.entries[entry].handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::StartAttempt { ticket, spec } => {
                    let server = usize::from(spec.address.port()) - 1000;
                    let is_first = spec.attempt == 1;
                    self.outcome.arrivals[server].push((self.now, is_first));
                    if is_first {
                        self.record_decision(ticket);
                        self.outcome.sent += 1;
                    }
                    let is_broken = self.rng.random_range(0.0..1.0) < self.shape.broken_fraction;
                    let outcome = match is_broken {
                        true => AttemptOutcome::ResponseLost,
                        false => AttemptOutcome::Streamed,
                    };
                    let time = Duration::from_millis(
                        self.rng.random_range(self.shape.service_time_ms.clone()),
                    );
                    let incarnation = self.incarnations[entry];
                    let end = Event::End(entry, incarnation, ticket, spec.attempt, outcome);
                    self.schedule(self.now + time, end);
                }
                Output::Refuse { ticket, refusal } => {
                    if self.record_decision(ticket) {
                        self.outcome.refused += 1;
                        let is_clear =
                            refusal.run_status == RunStatus::No && refusal.retry_after_ms.is_some();
                        self.outcome.unclear_refusals += usize::from(!is_clear);
                    }
                }
                _ => {}
            }
        }
        let deadline = self.entries[entry].next_deadline().max(self.now);
        if deadline < self.ticks[entry] {
            self.ticks[entry] = deadline;
            self.schedule(deadline, Event::Tick(entry));
        }
    }

    /// Records when a call was sent for the first time or refused; returns whether it is the first time.
    fn record_decision(&mut self, ticket: Ticket) -> bool {
        let Some(received_at) = self.received.remove(&ticket) else {
            return false;
        };
        self.outcome.decided_after.push(self.now.since(received_at));
        true
    }
}

impl Outcome {
    /// The most requests at a server in a second within `from..until`.
    pub fn most_in_a_second(&self, server: usize, from: Instant, until: Instant) -> usize {
        let arrivals = self.arrivals[server].iter().map(|(time, _)| *time);
        let times: Vec<Instant> = arrivals.filter(|t| *t >= from && *t < until).collect();
        let mut most = 0;
        let mut first = 0;
        for (index, time) in times.iter().enumerate() {
            while time.since(times[first]) >= SECOND {
                first += 1;
            }
            most = most.max(index + 1 - first);
        }
        most
    }

    /// The most requests at any cold server in a second that begins `reaction` after it became cold or
    /// later.
    pub fn most_while_cold(&self, shape: &Shape, reaction: Duration) -> usize {
        let periods = shape.cold_periods.iter();
        let most = periods.map(|p| self.most_in_a_second(p.server, p.from + reaction, p.until));
        most.max().unwrap_or_default()
    }
}
