//! Simulates entries, agents and claims, and counts the executions of each key.
//!
//! Messages are dropped, duplicated, delayed and reordered, exchanges break off, agents and entries
//! restart, and the state is restored from a snapshot. An exchange itself is a TCP stream, which
//! neither duplicates nor reorders its data.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_agent::{self as agent, Agent, ResponsePart};
use eelgrassdyke_control::directory::Directory;
use eelgrassdyke_control::state::{Action, Command, CommandResult, State};
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

/// A process by role and index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessRef {
    Control,
    Entry(usize),
    Agent(usize),
}

/// A scheduled event.
#[derive(Clone, Debug)]
enum Event {
    /// A message arrives: receiver, sender, message.
    Message(ProcessRef, Sender, Message),
    /// A dispatch arrives: entry and its incarnation, agent, dispatch.
    Dispatch(usize, u64, usize, Box<Dispatch>),
    /// A frame arrives: entry and its incarnation, attempt, frame.
    Frame(usize, u64, AttemptId, Frame),
    /// An exchange fails: entry and its incarnation, attempt, whether the dispatch was sent.
    ExchangeFailed(usize, u64, AttemptId, bool),
    /// An agent loses the connection to an entry: agent and its incarnation, ticket.
    ConnectionLost(usize, u64, Ticket),
    /// A part of a backend server's response arrives: agent and its incarnation, ticket, part.
    Response(usize, u64, Ticket, ResponsePart),
    /// A call arrives: entry, key, number of the call.
    Call(usize, usize, u64),
    RestartEntry(usize),
    RestartAgent(usize),
    Snapshot,
}

/// A dispatch in progress.
struct Exchange {
    entry: usize,
    incarnation: u64,
    attempt: AttemptId,
    /// When its last frame is due.
    last_frame_at: Instant,
}

struct World {
    rng: ChaCha8Rng,
    now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    /// Number of the last scheduled event.
    last_event_number: u64,
    with_faults: bool,
    state: State,
    directory: Directory,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    /// Present incarnations of the entries (index 0) and of the agents (index 1).
    incarnations: [[u64; 2]; 2],
    /// Dispatches in progress by agent, its incarnation, and ticket.
    exchanges: BTreeMap<(usize, u64, Ticket), Exchange>,
    next_ticket: u64,
    /// Number of executions by key, and by call.
    runs_by_key: BTreeMap<String, u64>,
    runs_by_call: BTreeMap<u64, u64>,
    /// Calls refused as not run.
    refused_as_not_run: Vec<u64>,
    /// Status of each call that got a response; 0 for a refusal.
    response_statuses: BTreeMap<u64, u16>,
}

fn address(process: ProcessRef) -> SocketAddr {
    let port = match process {
        ProcessRef::Control => CONTROL_PORT,
        ProcessRef::Entry(at) => 100 + at as u16,
        ProcessRef::Agent(at) => 200 + at as u16,
    };
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn process_at(address: SocketAddr) -> ProcessRef {
    match address.port() {
        CONTROL_PORT => ProcessRef::Control,
        port @ 100..200 => ProcessRef::Entry(usize::from(port) - 100),
        port => ProcessRef::Agent(usize::from(port) - 200),
    }
}

fn sender(process: ProcessRef, incarnation: u64) -> Sender {
    let name = match process {
        ProcessRef::Control => "control".to_owned(),
        ProcessRef::Entry(at) => format!("entry-{at}"),
        ProcessRef::Agent(at) => format!("agent-{at}"),
    };
    Sender {
        process: name.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        address: address(process),
    }
}

fn new_entry(at: usize, incarnation: u64) -> Entry {
    let options = entry::Options {
        control_addresses: vec![address(ProcessRef::Control)],
        seed: incarnation,
        ..entry::Options::default()
    };
    Entry::new(sender(ProcessRef::Entry(at), incarnation), options)
}

fn new_agent(at: usize, incarnation: u64) -> Agent {
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
    Agent::new(sender(ProcessRef::Agent(at), incarnation), options)
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
            proposed_at: WallTime(0),
            action: Action::Submit(configuration()),
        });
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant(1),
            events: BTreeMap::new(),
            last_event_number: 0,
            with_faults: true,
            state,
            directory: Directory::new("control".parse().unwrap(), Incarnation(1)),
            entries: (0..ENTRIES).map(|at| new_entry(at, 1)).collect(),
            agents: (0..AGENTS).map(|at| new_agent(at, 1)).collect(),
            incarnations: [[1; 2]; 2],
            exchanges: BTreeMap::new(),
            next_ticket: 1,
            runs_by_key: BTreeMap::new(),
            runs_by_call: BTreeMap::new(),
            refused_as_not_run: Vec::new(),
            response_statuses: BTreeMap::new(),
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.with_faults && self.rng.random_range(0..100) < percent
    }

    fn random_instant_within(&mut self, max_ms: u64) -> Instant {
        self.now + Duration::from_micros(self.rng.random_range(1..max_ms * 1000))
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.last_event_number += 1;
        self.events.insert((at, self.last_event_number), event);
    }

    fn send(&mut self, from: Sender, to: SocketAddr, message: Message) {
        let copies = match self.chance(10) {
            true => 0,
            false => 1 + usize::from(self.chance(10)),
        };
        for _ in 0..copies {
            let max_ms = if self.chance(10) { 4000 } else { 100 };
            let at = self.random_instant_within(max_ms);
            let event = Event::Message(process_at(to), from.clone(), message.clone());
            self.schedule(at, event);
        }
    }

    fn step_entry(&mut self, at: usize, input: entry::Input) {
        let mut out = Vec::new();
        self.entries[at].handle(self.now, input, &mut out);
        let incarnation = self.incarnations[0][at];
        for output in out {
            match output {
                entry::Output::Send { to, message } => {
                    self.send(sender(ProcessRef::Entry(at), incarnation), to, message);
                }
                entry::Output::Dispatch { address, dispatch } => {
                    let ProcessRef::Agent(agent) = process_at(address) else {
                        panic!("a dispatch went to {address}");
                    };
                    if self.chance(10) {
                        let failed =
                            Event::ExchangeFailed(at, incarnation, dispatch.attempt.clone(), false);
                        let when = self.random_instant_within(50);
                        self.schedule(when, failed);
                        continue;
                    }
                    let max_ms = if self.chance(15) { 4000 } else { 20 };
                    let when = self.random_instant_within(max_ms);
                    self.schedule(
                        when,
                        Event::Dispatch(at, incarnation, agent, dispatch.clone()),
                    );
                    if self.chance(15) {
                        // The entry loses the connection before or after the dispatch arrives.
                        let failed =
                            Event::ExchangeFailed(at, incarnation, dispatch.attempt.clone(), true);
                        let when = self.random_instant_within(200);
                        self.schedule(when, failed);
                    }
                }
                entry::Output::Respond { ticket, head, .. } => {
                    self.response_statuses.insert(ticket.0, head.status);
                }
                entry::Output::Refuse { ticket, refusal } => {
                    self.response_statuses.insert(ticket.0, 0);
                    if refusal.run_status == RunStatus::No {
                        self.refused_as_not_run.push(ticket.0);
                    }
                }
                _ => {}
            }
        }
    }

    fn step_agent(&mut self, at: usize, input: agent::Input) {
        let mut out = Vec::new();
        self.agents[at].handle(self.now, input, &mut out);
        let incarnation = self.incarnations[1][at];
        for output in out {
            match output {
                agent::Output::Send { to, message } => {
                    self.send(sender(ProcessRef::Agent(at), incarnation), to, message);
                }
                agent::Output::Frame { ticket, frame } => self.send_frame(at, ticket, frame),
                agent::Output::Forward { ticket, call, .. } => self.execute_call(at, ticket, &call),
                agent::Output::CheckHealth => {
                    let healthy = !self.chance(10);
                    self.step_agent(at, agent::Input::HealthCheckResult(healthy));
                }
                _ => {}
            }
        }
    }

    /// Sends a frame back, in the order of its exchange, or breaks the exchange off.
    fn send_frame(&mut self, at: usize, ticket: Ticket, frame: Frame) {
        let when = self.random_instant_within(20);
        let broken = self.chance(5);
        let Some(exchange) = self
            .exchanges
            .get_mut(&(at, self.incarnations[1][at], ticket))
        else {
            return;
        };
        exchange.last_frame_at = exchange.last_frame_at.max(when);
        let (entry, incarnation) = (exchange.entry, exchange.incarnation);
        let (when, attempt) = (exchange.last_frame_at, exchange.attempt.clone());
        if broken {
            self.exchanges
                .remove(&(at, self.incarnations[1][at], ticket));
            self.schedule(
                when,
                Event::ExchangeFailed(entry, incarnation, attempt, true),
            );
            self.schedule(
                when,
                Event::ConnectionLost(at, self.incarnations[1][at], ticket),
            );
            return;
        }
        self.schedule(when, Event::Frame(entry, incarnation, attempt, frame));
    }

    /// Executes a call as the backend server does, and counts the execution.
    fn execute_call(&mut self, at: usize, ticket: Ticket, call: &Call) {
        let incarnation = self.incarnations[1][at];
        if self.chance(5) {
            let failed = ResponsePart::Failed {
                sent: false,
                detail: "refused".to_owned(),
            };
            self.schedule(self.now, Event::Response(at, incarnation, ticket, failed));
            return;
        }
        let header = |name: &str| {
            let field = call.headers.iter().find(|(field, _)| field == name);
            field.unwrap().1.clone()
        };
        *self
            .runs_by_key
            .entry(header("idempotency-key"))
            .or_default() += 1;
        let number = header("x-call").parse().unwrap();
        *self.runs_by_call.entry(number).or_default() += 1;
        let when = self.random_instant_within(300);
        if self.chance(10) {
            let failed = ResponsePart::Failed {
                sent: true,
                detail: "reset".to_owned(),
            };
            self.schedule(when, Event::Response(at, incarnation, ticket, failed));
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
            self.schedule(when, Event::Response(at, incarnation, ticket, part));
        }
    }

    fn handle_control_message(&mut self, from: Sender, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => {
                self.directory.record_heartbeat(self.now, heartbeat);
            }
            Message::Poll(poll) => {
                let directory = poll.wants_directory.then(|| {
                    self.directory
                        .update_since(self.now, poll.directory_revision.as_ref(), true)
                });
                let update = Update {
                    committed_version: self.state.config.version(),
                    confirmed: true,
                    poll_number: poll.poll_number,
                    config: self.state.config.update_since(poll.version, &poll.digest),
                    directory,
                    control_addresses: Vec::new(),
                    has_quorum: true,
                    leader: None,
                    slow_engines: Vec::new(),
                    entry_count: 1,
                    shares: Vec::new(),
                    coordinators: Default::default(),
                };
                let from_control = sender(ProcessRef::Control, 1);
                self.send(from_control, from.address, Message::Update(update));
            }
            Message::ClaimRequest(claim) => {
                let (request, team_key) = (claim.request.clone(), claim.team_key.clone());
                let command = Command {
                    proposed_at: WallTime(self.now.0 / 1000),
                    action: Action::Claim(claim),
                };
                let CommandResult::Claim(result) = self.state.apply(&command) else {
                    panic!("a claim got another kind of result");
                };
                let response = Message::ClaimResponse(ClaimResponse {
                    request,
                    team_key,
                    result,
                });
                self.send(sender(ProcessRef::Control, 1), from.address, response);
            }
            _ => {}
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Message(ProcessRef::Control, from, message) => {
                self.handle_control_message(from, message)
            }
            Event::Message(ProcessRef::Entry(at), from, message) => {
                self.step_entry(at, entry::Input::Message { from, message });
            }
            Event::Message(ProcessRef::Agent(at), from, message) => {
                self.step_agent(at, agent::Input::Message { from, message });
            }
            Event::Dispatch(entry, incarnation, agent, dispatch) => {
                let ticket = Ticket(self.next_ticket);
                self.next_ticket += 1;
                let exchange = Exchange {
                    entry,
                    incarnation,
                    attempt: dispatch.attempt.clone(),
                    last_frame_at: self.now,
                };
                self.exchanges
                    .insert((agent, self.incarnations[1][agent], ticket), exchange);
                self.step_agent(agent, agent::Input::Dispatch { ticket, dispatch });
            }
            Event::Frame(at, incarnation, attempt, frame)
                if incarnation == self.incarnations[0][at] =>
            {
                self.step_entry(at, entry::Input::Frame { attempt, frame });
            }
            Event::ExchangeFailed(at, incarnation, attempt, sent)
                if incarnation == self.incarnations[0][at] =>
            {
                self.step_entry(at, entry::Input::ExchangeFailed { attempt, sent });
            }
            Event::ConnectionLost(at, incarnation, ticket)
                if incarnation == self.incarnations[1][at] =>
            {
                self.step_agent(at, agent::Input::DispatchCancelled { ticket });
            }
            Event::Response(at, incarnation, ticket, part)
                if incarnation == self.incarnations[1][at] =>
            {
                self.step_agent(at, agent::Input::Response { ticket, part });
            }
            Event::Frame(..)
            | Event::ExchangeFailed(..)
            | Event::ConnectionLost(..)
            | Event::Response(..) => {}
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
                self.step_entry(at, entry::Input::Call { ticket, call });
            }
            Event::RestartEntry(at) => {
                self.incarnations[0][at] += 1;
                self.entries[at] = new_entry(at, self.incarnations[0][at]);
                let broken_exchanges: Vec<_> = self
                    .exchanges
                    .iter()
                    .filter(|(_, e)| e.entry == at)
                    .collect();
                let broken_exchanges: Vec<_> =
                    broken_exchanges.into_iter().map(|(key, _)| *key).collect();
                for (agent, incarnation, ticket) in broken_exchanges {
                    self.exchanges.remove(&(agent, incarnation, ticket));
                    self.schedule(self.now, Event::ConnectionLost(agent, incarnation, ticket));
                }
            }
            Event::RestartAgent(at) => {
                self.incarnations[1][at] += 1;
                self.agents[at] = new_agent(at, self.incarnations[1][at]);
                let broken_exchanges: Vec<_> =
                    self.exchanges.iter().filter(|(k, _)| k.0 == at).collect();
                let broken_exchanges: Vec<_> =
                    broken_exchanges.into_iter().map(|(key, _)| *key).collect();
                for key in broken_exchanges {
                    let exchange = self.exchanges.remove(&key).unwrap();
                    let failed = Event::ExchangeFailed(
                        exchange.entry,
                        exchange.incarnation,
                        exchange.attempt,
                        true,
                    );
                    self.schedule(self.now, failed);
                }
            }
            Event::Snapshot => {
                self.state = decode(&encode(&self.state).unwrap()).unwrap();
            }
        }
    }

    /// Processes all events and deadlines before `end`.
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
                self.handle_event(event);
            }
            for at in 0..ENTRIES {
                if self.entries[at].next_deadline() <= self.now {
                    self.step_entry(at, entry::Input::Tick);
                }
            }
            for at in 0..AGENTS {
                if self.agents[at].next_deadline() <= self.now {
                    self.step_agent(at, agent::Input::Tick);
                }
            }
        }
    }
}

fn key_text(key: usize) -> String {
    // Every second key contains its date.
    match key % 2 {
        0 => format!("00000000-0001-7000-8000-{key:012}"),
        _ => format!("order-{key}"),
    }
}

/// Runs one random history; returns the number of calls answered with status 200 and of calls sent.
fn run_history(seed: u64) -> (usize, usize) {
    let mut world = World::new(seed);
    world.with_faults = false;
    world.run_until(Instant(3_000_000));
    world.with_faults = true;
    let mut number = 0;
    for key in 0..KEYS {
        for _ in 0..world.rng.random_range(1..5) {
            number += 1;
            let at = world.random_instant_within(20_000);
            let entry = world.rng.random_range(0..ENTRIES);
            world.schedule(at, Event::Call(entry, key, number));
        }
    }
    for _ in 0..world.rng.random_range(0..3) {
        let (entry_restart, agent_restart) = (
            world.random_instant_within(20_000),
            world.random_instant_within(20_000),
        );
        let at = world.rng.random_range(0..2);
        world.schedule(entry_restart, Event::RestartEntry(at));
        world.schedule(agent_restart, Event::RestartAgent(at));
        let snapshot = world.random_instant_within(20_000);
        world.schedule(snapshot, Event::Snapshot);
    }
    world.run_until(Instant(40_000_000));

    for (key, count) in &world.runs_by_key {
        assert_eq!(*count, 1, "seed {seed}: key {key} ran {count} times");
    }
    for call in &world.refused_as_not_run {
        let ran = world.runs_by_call.contains_key(call);
        assert!(
            !ran,
            "seed {seed}: call {call} ran, but was refused as not run"
        );
    }
    let served = world
        .response_statuses
        .values()
        .filter(|status| **status == 200);
    (served.count(), number as usize)
}

#[test]
fn no_key_runs_twice_and_calls_refused_as_not_run_did_not_run() {
    let (mut served, mut sent) = (0, 0);
    for seed in 0..300 {
        let (served_in_history, sent_in_history) = run_history(seed);
        served += served_in_history;
        sent += sent_in_history;
    }
    // The test is only meaningful if most calls are served.
    assert!(served * 2 > sent, "{served} of {sent} calls were served");
}
