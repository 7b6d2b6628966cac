//! Entries, agents and the claims against a plain count of what ran.
//!
//! Messages are dropped, doubled, delayed and reordered, exchanges break off, agents and entries
//! restart, and the state passes through a snapshot. An exchange itself is a TCP stream, which
//! neither doubles nor reorders what it carries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_agent::{self as agent, Agent, ResponsePart};
use eelgrassdyke_control::directory::Directory;
use eelgrassdyke_control::state::{Action, Command, Effect, State};
use eelgrassdyke_core::config::Submission;
use eelgrassdyke_core::id::{AttemptId, Incarnation, Ticket};
use eelgrassdyke_core::time::{Instant, WallTime};
use eelgrassdyke_core::wire::claim::ClaimResponse;
use eelgrassdyke_core::wire::dispatch::{Call, Dispatch, Frame, ResponseHead};
use eelgrassdyke_core::wire::follow::Update;
use eelgrassdyke_core::wire::refusal::RunStatus;
use eelgrassdyke_core::wire::{Message, Sender, decode, encode};
use eelgrassdyke_entry::{self as entry, Entry};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const ENTRIES: usize = 2;
const AGENTS: usize = 2;
const KEYS: usize = 20;
const CONTROL_PORT: u16 = 1;

/// A process by kind and position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Control,
    Entry(usize),
    Agent(usize),
}

/// Something on its way.
#[derive(Clone, Debug)]
enum Event {
    Mail(Place, Sender, Message),
    Dispatch(usize, u64, usize, Box<Dispatch>),
    Frame(usize, u64, AttemptId, Frame),
    Failed(usize, u64, AttemptId, bool),
    Gone(usize, u64, Ticket),
    Reply(usize, u64, Ticket, ResponsePart),
    Call(usize, usize, u64),
    RestartEntry(usize),
    RestartAgent(usize),
    Snapshot,
}

struct Exchange {
    entry: usize,
    life: u64,
    attempt: AttemptId,
    last: Instant,
}

struct World {
    rng: ChaCha8Rng,
    now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    number: u64,
    lossy: bool,
    state: State,
    directory: Directory,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    lives: [[u64; 2]; 2],
    exchanges: BTreeMap<(usize, u64, Ticket), Exchange>,
    next_ticket: u64,
    /// How often each key and each call ran.
    ran_keys: BTreeMap<String, u64>,
    ran_calls: BTreeMap<u64, u64>,
    not_run: Vec<u64>,
    answered: BTreeMap<u64, u16>,
}

fn address(place: Place) -> SocketAddr {
    let port = match place {
        Place::Control => CONTROL_PORT,
        Place::Entry(at) => 100 + at as u16,
        Place::Agent(at) => 200 + at as u16,
    };
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn place(address: SocketAddr) -> Place {
    match address.port() {
        CONTROL_PORT => Place::Control,
        port @ 100..200 => Place::Entry(usize::from(port) - 100),
        port => Place::Agent(usize::from(port) - 200),
    }
}

fn sender(place: Place, life: u64) -> Sender {
    let name = match place {
        Place::Control => "control".to_owned(),
        Place::Entry(at) => format!("entry-{at}"),
        Place::Agent(at) => format!("agent-{at}"),
    };
    Sender {
        process: name.parse().unwrap(),
        incarnation: Incarnation(life),
        address: address(place),
    }
}

fn new_entry(at: usize, life: u64) -> Entry {
    let options = entry::Options {
        control: vec![address(Place::Control)],
        seed: life,
        ..entry::Options::default()
    };
    Entry::new(sender(Place::Entry(at), life), options)
}

fn new_agent(at: usize, life: u64) -> Agent {
    let text = format!(
        r#"{{"process":"agent-{at}","host":"h","data_centre":"d","region":"r",
        "listen":"127.0.0.1:{}","control":["127.0.0.1:{CONTROL_PORT}"],
        "peer_secret_file":"s","operator_tokens_file":"o",
        "agent_role":{{"server":"orders-{at}","service":"orders","backend":"127.0.0.1:9",
        "slots":2}}}}"#,
        200 + at
    );
    let settings = eelgrassdyke_core::settings::Settings::parse(&text, "t".as_ref()).unwrap();
    let role = settings.agent_role.clone().unwrap();
    let options = agent::Options::from_settings(&settings, &role);
    Agent::new(sender(Place::Agent(at), life), options)
}

fn configuration() -> Submission {
    let token = eelgrassdyke_core::digest::Sha256::of(b"token");
    let text = format!(
        r#"{{"operation":"first","base":0,"author":"a","change":{{"whole":{{
        "teams":{{"hobart":{{"tokens":["{token}"]}}}},
        "services":{{"orders":{{"kind":"plain","timeout_ms":3000}}}}}}}}}}"#
    );
    serde_json::from_str(&text).unwrap()
}

impl World {
    fn new(seed: u64) -> Self {
        let mut state = State::default();
        state.apply(&Command {
            at: WallTime(0),
            action: Action::Submit(configuration()),
        });
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant(1),
            events: BTreeMap::new(),
            number: 0,
            lossy: true,
            state,
            directory: Directory::new("control".parse().unwrap(), Incarnation(1)),
            entries: (0..ENTRIES).map(|at| new_entry(at, 1)).collect(),
            agents: (0..AGENTS).map(|at| new_agent(at, 1)).collect(),
            lives: [[1; 2]; 2],
            exchanges: BTreeMap::new(),
            next_ticket: 1,
            ran_keys: BTreeMap::new(),
            ran_calls: BTreeMap::new(),
            not_run: Vec::new(),
            answered: BTreeMap::new(),
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.lossy && self.rng.random_range(0..100) < percent
    }

    fn after(&mut self, most_ms: u64) -> Instant {
        self.now + Duration::from_micros(self.rng.random_range(1..most_ms * 1000))
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    fn mail(&mut self, from: Sender, to: SocketAddr, message: Message) {
        let copies = match self.chance(10) {
            true => 0,
            false => 1 + usize::from(self.chance(10)),
        };
        for _ in 0..copies {
            let most_ms = if self.chance(10) { 4000 } else { 100 };
            let at = self.after(most_ms);
            let event = Event::Mail(place(to), from.clone(), message.clone());
            self.schedule(at, event);
        }
    }

    fn feed_entry(&mut self, at: usize, input: entry::Input) {
        let mut out = Vec::new();
        self.entries[at].handle(self.now, input, &mut out);
        let life = self.lives[0][at];
        for output in out {
            match output {
                entry::Output::SendMessage { to, message } => {
                    self.mail(sender(Place::Entry(at), life), to, message);
                }
                entry::Output::Dispatch { address, dispatch } => {
                    let Place::Agent(agent) = place(address) else {
                        panic!("a dispatch went to {address}");
                    };
                    if self.chance(10) {
                        let failed = Event::Failed(at, life, dispatch.attempt.clone(), false);
                        let when = self.after(50);
                        self.schedule(when, failed);
                        continue;
                    }
                    let most_ms = if self.chance(15) { 4000 } else { 20 };
                    let when = self.after(most_ms);
                    self.schedule(when, Event::Dispatch(at, life, agent, dispatch.clone()));
                    if self.chance(15) {
                        // The entry's end breaks off, before or after the dispatch arrives.
                        let failed = Event::Failed(at, life, dispatch.attempt.clone(), true);
                        let when = self.after(200);
                        self.schedule(when, failed);
                    }
                }
                entry::Output::Respond { ticket, head, .. } => {
                    self.answered.insert(ticket.0, head.status);
                }
                entry::Output::Refuse { ticket, refusal } => {
                    self.answered.insert(ticket.0, 0);
                    if refusal.run == RunStatus::No {
                        self.not_run.push(ticket.0);
                    }
                }
                _ => {}
            }
        }
    }

    fn feed_agent(&mut self, at: usize, input: agent::Input) {
        let mut out = Vec::new();
        self.agents[at].handle(self.now, input, &mut out);
        let life = self.lives[1][at];
        for output in out {
            match output {
                agent::Output::Send { to, message } => {
                    self.mail(sender(Place::Agent(at), life), to, message);
                }
                agent::Output::Frame { ticket, frame } => self.frame(at, ticket, frame),
                agent::Output::Forward { ticket, call, .. } => self.run(at, ticket, &call),
                agent::Output::CheckHealth => {
                    let healthy = !self.chance(10);
                    self.feed_agent(at, agent::Input::HealthCheckResult(healthy));
                }
                _ => {}
            }
        }
    }

    /// Carries a frame back, in the order of its exchange, unless that breaks off.
    fn frame(&mut self, at: usize, ticket: Ticket, frame: Frame) {
        let when = self.after(20);
        let broken = self.chance(5);
        let Some(exchange) = self.exchanges.get_mut(&(at, self.lives[1][at], ticket)) else {
            return;
        };
        exchange.last = exchange.last.max(when);
        let (entry, life) = (exchange.entry, exchange.life);
        let (when, attempt) = (exchange.last, exchange.attempt.clone());
        if broken {
            self.exchanges.remove(&(at, self.lives[1][at], ticket));
            self.schedule(when, Event::Failed(entry, life, attempt, true));
            self.schedule(when, Event::Gone(at, self.lives[1][at], ticket));
            return;
        }
        self.schedule(when, Event::Frame(entry, life, attempt, frame));
    }

    /// The back end: counts what it runs.
    fn run(&mut self, at: usize, ticket: Ticket, call: &Call) {
        let life = self.lives[1][at];
        if self.chance(5) {
            let failed = ResponsePart::Failed {
                sent: false,
                detail: "refused".to_owned(),
            };
            self.schedule(self.now, Event::Reply(at, life, ticket, failed));
            return;
        }
        let header = |name: &str| {
            let field = call.headers.iter().find(|(field, _)| field == name);
            field.unwrap().1.clone()
        };
        *self.ran_keys.entry(header("idempotency-key")).or_default() += 1;
        let number = header("x-call").parse().unwrap();
        *self.ran_calls.entry(number).or_default() += 1;
        let when = self.after(300);
        if self.chance(10) {
            let failed = ResponsePart::Failed {
                sent: true,
                detail: "reset".to_owned(),
            };
            self.schedule(when, Event::Reply(at, life, ticket, failed));
            return;
        }
        let head = ResponseHead {
            status: 200,
            headers: Vec::new(),
        };
        for part in [
            ResponsePart::Head(head),
            ResponsePart::Data(b"ok".to_vec()),
            ResponsePart::End,
        ] {
            self.schedule(when, Event::Reply(at, life, ticket, part));
        }
    }

    fn take_control(&mut self, from: Sender, message: Message) {
        match message {
            Message::Heartbeat(beat) => {
                self.directory.hear(self.now, beat);
            }
            Message::Poll(follow) => {
                let directory = follow.wants_directory.then(|| {
                    self.directory
                        .since(self.now, follow.directory_revision.as_ref(), true)
                });
                let update = Update {
                    committed_version: self.state.config.version(),
                    confirmed: true,
                    poll_number: follow.poll_number,
                    config: self.state.config.since(follow.version, &follow.digest),
                    directory,
                    control: Vec::new(),
                    has_quorum: true,
                    leader: None,
                    slow_engines: Vec::new(),
                    entry_count: 1,
                };
                let me = sender(Place::Control, 1);
                self.mail(me, from.address, Message::Update(update));
            }
            Message::ClaimRequest(ask) => {
                let (request, name) = (ask.request.clone(), ask.team_key.clone());
                let command = Command {
                    at: WallTime(self.now.0 / 1000),
                    action: Action::Claim(ask),
                };
                let Effect::Claim(finding) = self.state.apply(&command) else {
                    panic!("a claim came to something else");
                };
                let answer = Message::ClaimResponse(ClaimResponse {
                    request,
                    team_key: name,
                    result: finding,
                });
                self.mail(sender(Place::Control, 1), from.address, answer);
            }
            _ => {}
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Mail(Place::Control, from, message) => self.take_control(from, message),
            Event::Mail(Place::Entry(at), from, message) => {
                self.feed_entry(at, entry::Input::Message { from, message });
            }
            Event::Mail(Place::Agent(at), from, message) => {
                self.feed_agent(at, agent::Input::Message { from, message });
            }
            Event::Dispatch(entry, life, agent, dispatch) => {
                let ticket = Ticket(self.next_ticket);
                self.next_ticket += 1;
                let exchange = Exchange {
                    entry,
                    life,
                    attempt: dispatch.attempt.clone(),
                    last: self.now,
                };
                self.exchanges
                    .insert((agent, self.lives[1][agent], ticket), exchange);
                self.feed_agent(agent, agent::Input::Dispatch { ticket, dispatch });
            }
            Event::Frame(at, life, attempt, frame) if life == self.lives[0][at] => {
                self.feed_entry(at, entry::Input::Frame { attempt, frame });
            }
            Event::Failed(at, life, attempt, sent) if life == self.lives[0][at] => {
                self.feed_entry(at, entry::Input::ExchangeFailed { attempt, sent });
            }
            Event::Gone(at, life, ticket) if life == self.lives[1][at] => {
                self.feed_agent(at, agent::Input::DispatchCancelled { ticket });
            }
            Event::Reply(at, life, ticket, part) if life == self.lives[1][at] => {
                self.feed_agent(at, agent::Input::Response { ticket, part });
            }
            Event::Frame(..) | Event::Failed(..) | Event::Gone(..) | Event::Reply(..) => {}
            Event::Call(at, key, number) => {
                let headers = [
                    ("authorization", "Bearer token".to_owned()),
                    ("idempotency-key", key_text(key)),
                    ("x-eelgrassdyke-idempotent", "false".to_owned()),
                    ("x-call", number.to_string()),
                ];
                let headers = headers.map(|(name, value)| (name.to_owned(), value));
                let call = entry::Call {
                    method: "POST".to_owned(),
                    path: "/orders/charges".to_owned(),
                    headers: headers.to_vec(),
                    body: format!("order {key}").into_bytes(),
                };
                let ticket = Ticket(number);
                self.feed_entry(at, entry::Input::Call { ticket, call });
            }
            Event::RestartEntry(at) => {
                self.lives[0][at] += 1;
                self.entries[at] = new_entry(at, self.lives[0][at]);
                let cut: Vec<_> = self
                    .exchanges
                    .iter()
                    .filter(|(_, e)| e.entry == at)
                    .collect();
                let cut: Vec<_> = cut.into_iter().map(|(key, _)| *key).collect();
                for (agent, life, ticket) in cut {
                    self.exchanges.remove(&(agent, life, ticket));
                    self.schedule(self.now, Event::Gone(agent, life, ticket));
                }
            }
            Event::RestartAgent(at) => {
                self.lives[1][at] += 1;
                self.agents[at] = new_agent(at, self.lives[1][at]);
                let cut: Vec<_> = self.exchanges.iter().filter(|(k, _)| k.0 == at).collect();
                let cut: Vec<_> = cut.into_iter().map(|(key, _)| *key).collect();
                for key in cut {
                    let exchange = self.exchanges.remove(&key).unwrap();
                    let failed =
                        Event::Failed(exchange.entry, exchange.life, exchange.attempt, true);
                    self.schedule(self.now, failed);
                }
            }
            Event::Snapshot => {
                self.state = decode(&encode(&self.state).unwrap()).unwrap();
            }
        }
    }

    /// Lets everything happen that is due before `end`.
    fn run_until(&mut self, end: Instant) {
        while self.now < end {
            let event = self.events.keys().next().map(|(at, _)| *at);
            let entry = self.entries.iter().map(Entry::next_deadline).min();
            let agent = self.agents.iter().map(Agent::next_deadline).min();
            let next = [event, entry, agent].into_iter().flatten().min().unwrap();
            self.now = self.now.max(next);
            self.directory.expire(self.now);
            if event == Some(next) {
                let (_, event) = self.events.pop_first().unwrap();
                self.take(event);
            }
            for at in 0..ENTRIES {
                if self.entries[at].next_deadline() <= self.now {
                    self.feed_entry(at, entry::Input::Tick);
                }
            }
            for at in 0..AGENTS {
                if self.agents[at].next_deadline() <= self.now {
                    self.feed_agent(at, agent::Input::Tick);
                }
            }
        }
    }
}

fn key_text(key: usize) -> String {
    // Every second key carries its date.
    match key % 2 {
        0 => format!("00000000-0001-7000-8000-{key:012}"),
        _ => format!("order-{key}"),
    }
}

/// Runs one history; gives calls answered with the outcome, and calls sent.
fn run_history(seed: u64) -> (usize, usize) {
    let mut world = World::new(seed);
    world.lossy = false;
    world.run_until(Instant(3_000_000));
    world.lossy = true;
    let mut number = 0;
    for key in 0..KEYS {
        for _ in 0..world.rng.random_range(1..5) {
            number += 1;
            let at = world.after(20_000);
            let entry = world.rng.random_range(0..ENTRIES);
            world.schedule(at, Event::Call(entry, key, number));
        }
    }
    for _ in 0..world.rng.random_range(0..3) {
        let (first, second) = (world.after(20_000), world.after(20_000));
        let at = world.rng.random_range(0..2);
        world.schedule(first, Event::RestartEntry(at));
        world.schedule(second, Event::RestartAgent(at));
        let third = world.after(20_000);
        world.schedule(third, Event::Snapshot);
    }
    world.run_until(Instant(40_000_000));

    for (key, count) in &world.ran_keys {
        assert_eq!(*count, 1, "seed {seed}: key {key} ran {count} times");
    }
    for call in &world.not_run {
        let ran = world.ran_calls.contains_key(call);
        assert!(
            !ran,
            "seed {seed}: call {call} ran, but was refused as not run"
        );
    }
    let served = world.answered.values().filter(|status| **status == 200);
    (served.count(), number as usize)
}

#[test]
fn no_key_runs_twice_and_every_refusal_as_not_run_is_true() {
    let (mut served, mut sent) = (0, 0);
    for seed in 0..300 {
        let (one, all) = run_history(seed);
        served += one;
        sent += all;
    }
    // The histories are of no worth when nothing gets through.
    assert!(served * 2 > sent, "{served} of {sent} calls were served");
}
