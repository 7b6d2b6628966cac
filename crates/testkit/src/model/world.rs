//! Discrete-event simulation of the real entry and agent state machines in front of simulated engines.
//!
//! The simulation replaces the node runtime: it passes each state machine its inputs with the simulated
//! time, and turns outputs into events after the delay of the link. It also acts as control: it publishes
//! the configuration and the directory to every entry once per second.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_agent::{Agent, Input as AgentInput, Output as AgentOutput, ResponsePart};
use eelgrassdyke_core::config::{Document, ServiceKind, ServiceSpec, TeamSpec};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::follow::poll_number_base;
use eelgrassdyke_core::id::{AttemptId, Incarnation, Server, Ticket, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::{Bytes, Permille, TokenRate};
use eelgrassdyke_core::wire::directory::{ServerInfo, ServerLoad, ServerState};
use eelgrassdyke_core::wire::dispatch::{Dispatch, Frame, ResponseHead};
use eelgrassdyke_core::wire::follow::{
    ConfigUpdate, DirectoryRevision, DirectoryUpdate, LoadReading, Update,
};
use eelgrassdyke_core::wire::{Message, Sender};
use eelgrassdyke_entry::{Call, Entry, Input, Output};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::engine::{Engine, Options as EngineOptions, Sequence};
use super::load::{Demand, RequestRecord};

/// Tokens of the prompt prefix that a session shares.
pub(super) const SHARED_TOKENS: u64 = 512;

/// Tokens of a prompt after the shared prefix.
pub(super) const OWN_TOKENS: u64 = 64;

/// Bytes of a prompt token.
const TOKEN_BYTES: u64 = 4;

/// One-way delay between an entry and an agent.
const LINK_DELAY: Duration = Duration::from_micros(500);

/// Time between two directory updates.
const DIRECTORY_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which the directory removes a server that has failed.
const SERVER_LEASE: Duration = Duration::from_secs(3);

/// One token of a response, as the engine streams it.
const TOKEN_EVENT: &[u8] = b"data: {\"choices\":[{\"index\":0,\"text\":\"serum \"}]}\n\n";

/// The end of a stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Options of a simulation.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of entries.
    pub entries: usize,
    /// Number of servers, each with an agent and an engine.
    pub servers: usize,
    /// Options of every engine.
    pub engine: EngineOptions,
    /// Time until a request's deadline.
    pub timeout: Duration,
    /// Whether all callers use the token of one team.
    pub single_team: bool,
    /// Number of servers that are killed at once, and the time.
    pub kill_servers: Option<(usize, Instant)>,
    /// Fraction of the calls that engines abort before the first token.
    pub failure_rate: Permille,
    /// Maximum number of retries, as a fraction of first attempts.
    pub retry_budget: Permille,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            entries: 3,
            servers: 12,
            engine: EngineOptions::default(),
            timeout: Duration::from_secs(10),
            single_team: false,
            kill_servers: None,
            failure_rate: Permille(0),
            retry_budget: Permille(100),
        }
    }
}

/// Result of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationOutcome {
    /// All requests with their outcomes.
    pub records: Vec<RequestRecord>,
    /// Prompt tokens processed by engines, cached ones included.
    pub prompt_tokens: u64,
    /// Prompt tokens found in prefix caches.
    pub cached_tokens: u64,
    /// Attempts that entries dispatched.
    pub attempts: u64,
}

/// An event; `usize` is the index of a request, an entry, or a server.
enum Event {
    /// A request arrives.
    Arrival(usize),
    /// A dispatch arrives at an agent.
    Dispatch(usize, Box<Dispatch>),
    /// A frame of the response arrives at an entry.
    Frame(usize, AttemptId, Frame),
    /// The cancellation of a dispatch arrives at an agent.
    Cancel(usize, Ticket),
    /// A step of an engine ends.
    StepEnd(usize),
    /// An engine aborts a call.
    EngineAbort(usize, Ticket),
    /// The directory is published to all entries.
    Directory,
    /// A server is killed.
    Kill(usize),
    /// The next deadline of an entry passes.
    EntryTick(usize),
    /// The next deadline of an agent passes.
    AgentTick(usize),
}

/// The real state machines in front of simulated engines.
pub struct Simulation {
    options: Options,
    now: Instant,
    rng: ChaCha8Rng,
    events: BTreeMap<(Instant, u64), Event>,
    event_sequence: u64,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    engines: Vec<Engine>,
    /// Whether each server is running.
    alive: Vec<bool>,
    /// Load of each server at the previous publication of the directory.
    loads: Vec<ServerLoad>,
    document: Document,
    directory_revision: u64,
    records: Vec<RequestRecord>,
    next_ticket: u64,
    /// Agent and ticket of each open attempt.
    exchanges: BTreeMap<AttemptId, (usize, Ticket)>,
    /// Attempt by agent and ticket; the inverse of `exchanges`.
    attempts_by_ticket: BTreeMap<(usize, Ticket), AttemptId>,
    /// Time of the scheduled tick of each entry.
    entry_ticks: Vec<Instant>,
    /// Time of the scheduled tick of each agent.
    agent_ticks: Vec<Instant>,
    attempts: u64,
}

/// Identity of the process `kind-index`, at port `base_port + index`.
fn sender(kind: &str, index: usize, base_port: usize) -> Sender {
    Sender {
        process: format!("{kind}-{index}").parse().expect("a valid name"),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], (base_port + index) as u16)),
    }
}

fn team_token(team: usize) -> String {
    format!("token-{team}")
}

impl Simulation {
    /// Creates a simulation in which the teams of `demands` are configured.
    pub fn new(options: Options, demands: &[Demand]) -> Self {
        let control = sender("control", 0, 1);
        let mut entries = Vec::new();
        for index in 0..options.entries {
            let entry_options = eelgrassdyke_entry::Options {
                control_addresses: vec![control.address],
                seed: index as u64,
                ..eelgrassdyke_entry::Options::default()
            };
            entries.push(Entry::new(sender("entry", index, 1000), entry_options));
        }
        let servers = options.servers;
        let mut simulation = Self {
            now: Instant(0),
            rng: ChaCha8Rng::seed_from_u64(7),
            events: BTreeMap::new(),
            event_sequence: 0,
            entry_ticks: vec![Instant::NEVER; entries.len()],
            agent_ticks: vec![Instant::NEVER; servers],
            entries,
            agents: Vec::new(),
            engines: (0..servers).map(|_| Engine::new(options.engine)).collect(),
            alive: vec![true; servers],
            loads: vec![ServerLoad::default(); servers],
            document: build_document(&options, demands),
            directory_revision: 0,
            records: Vec::new(),
            next_ticket: 0,
            exchanges: BTreeMap::new(),
            attempts_by_ticket: BTreeMap::new(),
            attempts: 0,
            options,
        };
        for index in 0..servers {
            let mut agent = Agent::new(
                sender("agent", index, 2000),
                simulation.agent_options(index),
            );
            agent.handle(
                Instant(0),
                AgentInput::HealthCheckResult(true),
                &mut Vec::new(),
            );
            let from = control.clone();
            let message = Message::Update(simulation.update(&sender("agent", index, 2000), false));
            let update = AgentInput::Message { from, message };
            agent.handle(Instant(0), update, &mut Vec::new());
            simulation.agents.push(agent);
        }
        simulation
    }

    fn agent_options(&self, index: usize) -> eelgrassdyke_agent::Options {
        let info = self.server_info(index);
        eelgrassdyke_agent::Options {
            control_addresses: vec![sender("control", 0, 1).address],
            server: info.server,
            service: info.service,
            host: info.host,
            data_centre: info.data_centre,
            slots: info.slots,
            token_rate: info.token_rate,
            queue_capacity: 1024,
            key_capacity: 1000,
        }
    }

    /// Directory entry of a server.
    fn server_info(&self, index: usize) -> ServerInfo {
        let agent = sender("agent", index, 2000);
        let slots = self.options.engine.slots as u32;
        let step = self.options.engine.step_base + self.options.engine.step_per_sequence * slots;
        ServerInfo {
            server: server_name(index),
            service: "draft".parse().expect("a valid name"),
            agent: agent.process,
            incarnation: agent.incarnation,
            address: agent.address,
            host: "host".parse().expect("a valid name"),
            data_centre: "default".parse().expect("a valid name"),
            state: ServerState::Up,
            slots,
            token_rate: TokenRate((f64::from(slots) / step.as_secs_f64()) as u64),
            is_cold: false,
            applied_orders: Vec::new(),
        }
    }

    /// Update from control with the configuration and, on request, the complete directory.
    fn update(&self, follower: &Sender, with_directory: bool) -> Update {
        let mut loads = Vec::new();
        for (index, load) in self.loads.iter().enumerate() {
            loads.push(LoadReading {
                server: server_name(index),
                load: *load,
                age_ms: DIRECTORY_INTERVAL.as_millis() as u32,
            });
        }
        let listed = (0..self.options.servers).filter(|index| self.is_listed(*index));
        let directory = with_directory.then(|| DirectoryUpdate {
            revision: DirectoryRevision {
                source: (sender("control", 0, 1).process, Incarnation(1)),
                number: self.directory_revision,
                load_number: self.directory_revision,
            },
            base_revision: None,
            warmed_up: true,
            servers: listed
                .map(|index| (self.server_info(index), self.directory_revision))
                .collect(),
            removed: Vec::new(),
            departed: Vec::new(),
            loads,
            loads_complete: true,
        });
        let config = ConfigUpdate::Snapshot {
            version: Version(1),
            document: self.document.clone().into(),
        };
        Update {
            committed_version: Version(1),
            confirmed: true,
            poll_number: poll_number_base(follower),
            config: Some(config),
            directory,
            control_addresses: Vec::new(),
            has_quorum: true,
            leader: None,
            slow_engines: Vec::new(),
            entry_count: 1,
            shares: Vec::new(),
            coordinators: Default::default(),
        }
    }

    /// Whether the directory lists a server: it is running, or its lease has not expired.
    fn is_listed(&self, index: usize) -> bool {
        let is_expired = |(_, killed_at): (usize, Instant)| self.now >= killed_at + SERVER_LEASE;
        self.alive[index] || !self.options.kill_servers.is_some_and(is_expired)
    }

    /// Runs a load to its end and returns the outcome of every request.
    pub fn run(mut self, records: Vec<RequestRecord>) -> SimulationOutcome {
        self.records = records;
        for request in 0..self.records.len() {
            self.schedule(self.records[request].arrived_at, Event::Arrival(request));
        }
        self.schedule(Instant(0), Event::Directory);
        if let Some((count, killed_at)) = self.options.kill_servers {
            for server in 0..count {
                self.schedule(killed_at, Event::Kill(server));
            }
        }
        let last_arrival = self
            .records
            .last()
            .map_or(Instant(0), |record| record.arrived_at);
        let end = last_arrival + self.options.timeout + Duration::from_secs(1);
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > end {
                break;
            }
            self.now = now;
            self.handle(event);
        }
        SimulationOutcome {
            records: self.records,
            prompt_tokens: self.engines.iter().map(|engine| engine.prompt_tokens).sum(),
            cached_tokens: self.engines.iter().map(|engine| engine.cached_tokens).sum(),
            attempts: self.attempts,
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.event_sequence += 1;
        self.events.insert((at, self.event_sequence), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(request) => self.send_request(request),
            Event::Dispatch(agent, dispatch) => self.deliver_dispatch(agent, dispatch),
            Event::Frame(entry, attempt, frame) => {
                self.feed_entry(entry, Input::Frame { attempt, frame });
            }
            Event::Cancel(agent, ticket) => {
                self.feed_agent(agent, AgentInput::DispatchCancelled { ticket });
            }
            Event::StepEnd(server) => self.end_step(server),
            Event::EngineAbort(server, ticket) => {
                if self.engines[server].cancel(ticket.0) {
                    let part = ResponsePart::Failed {
                        sent: true,
                        detail: "brown-out".to_owned(),
                    };
                    self.feed_agent(server, AgentInput::Response { ticket, part });
                }
            }
            Event::Directory => self.publish_directory(),
            Event::Kill(server) => self.kill_server(server),
            Event::EntryTick(entry) => {
                self.entry_ticks[entry] = Instant::NEVER;
                self.feed_entry(entry, Input::Tick);
            }
            Event::AgentTick(agent) => {
                self.agent_ticks[agent] = Instant::NEVER;
                self.feed_agent(agent, AgentInput::Tick);
            }
        }
    }

    /// Sends a request to a random entry.
    fn send_request(&mut self, request: usize) {
        let record = &self.records[request];
        let team = match self.options.single_team {
            true => 0,
            false => record.team,
        };
        let session = format!("{:08}", record.session);
        let shared_prefix = session.repeat((SHARED_TOKENS * TOKEN_BYTES) as usize / session.len());
        let body = serde_json::json!({
            "model": "draft",
            "prompt": format!("{shared_prefix}{request}"),
            "stream": true,
            "max_tokens": record.max_tokens,
        });
        let call = Call {
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            headers: vec![
                (
                    "authorization".to_owned(),
                    format!("Bearer {}", team_token(team)),
                ),
                ("x-request".to_owned(), request.to_string()),
            ],
            body: body.to_string().into_bytes(),
        };
        let entry = self.rng.random_range(0..self.entries.len());
        let ticket = Ticket(request as u64);
        self.feed_entry(entry, Input::Call { ticket, call });
    }

    /// Passes an input to an entry, schedules its next tick and executes its outputs.
    fn feed_entry(&mut self, index: usize, input: Input) {
        let mut outputs = Vec::new();
        self.entries[index].handle(self.now, input, &mut outputs);
        let deadline = self.entries[index].next_deadline();
        if deadline < self.entry_ticks[index] {
            self.entry_ticks[index] = deadline;
            self.schedule(deadline.max(self.now), Event::EntryTick(index));
        }
        for output in outputs {
            self.execute_entry_output(output);
        }
    }

    fn execute_entry_output(&mut self, output: Output) {
        match output {
            Output::StreamData { ticket, data } => {
                let record = &mut self.records[ticket.0 as usize];
                if data.starts_with(b"event: error") {
                    record.failed_at = Some(self.now);
                }
                record.first_token_at.get_or_insert(self.now);
            }
            Output::EndStream { ticket } => {
                let record = &mut self.records[ticket.0 as usize];
                if record.failed_at.is_none() {
                    record.completed_at = Some(self.now);
                }
            }
            Output::Refuse { ticket, .. } | Output::Respond { ticket, .. } => {
                self.records[ticket.0 as usize].failed_at = Some(self.now);
            }
            Output::Dispatch { address, dispatch } => {
                self.attempts += 1;
                let agent = usize::from(address.port()) - 2000;
                self.schedule(self.now + LINK_DELAY, Event::Dispatch(agent, dispatch));
            }
            Output::Cancel { attempt } => {
                if let Some((agent, ticket)) = self.exchanges.remove(&attempt) {
                    self.attempts_by_ticket.remove(&(agent, ticket));
                    self.schedule(self.now + LINK_DELAY, Event::Cancel(agent, ticket));
                }
            }
            Output::StartStream { .. } | Output::Send { .. } | Output::Event(_) => {}
        }
    }

    /// Passes a dispatch to an agent, or reports the failed connection to the entry.
    fn deliver_dispatch(&mut self, agent: usize, dispatch: Box<Dispatch>) {
        let attempt = dispatch.attempt.clone();
        if !self.alive[agent] {
            let entry = entry_index(&attempt);
            let sent = false;
            self.feed_entry(entry, Input::ExchangeFailed { attempt, sent });
            return;
        }
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.exchanges.insert(attempt.clone(), (agent, ticket));
        self.attempts_by_ticket.insert((agent, ticket), attempt);
        self.feed_agent(agent, AgentInput::Dispatch { ticket, dispatch });
    }

    /// Passes an input to a live agent, schedules its next tick and executes its outputs.
    fn feed_agent(&mut self, index: usize, input: AgentInput) {
        if !self.alive[index] {
            return;
        }
        let mut outputs = Vec::new();
        self.agents[index].handle(self.now, input, &mut outputs);
        let deadline = self.agents[index].next_deadline();
        if deadline < self.agent_ticks[index] {
            self.agent_ticks[index] = deadline;
            self.schedule(deadline.max(self.now), Event::AgentTick(index));
        }
        for output in outputs {
            match output {
                AgentOutput::Frame { ticket, frame } => self.send_frame(index, ticket, frame),
                AgentOutput::Forward { ticket, call, .. } => {
                    self.start_call(index, ticket, &call.headers)
                }
                AgentOutput::Abort { ticket } => {
                    self.engines[index].cancel(ticket.0);
                }
                AgentOutput::CheckHealth => {}
                AgentOutput::Send { .. } | AgentOutput::Event(_) => {}
            }
        }
    }

    /// Sends a frame to the entry that dispatched the attempt, unless the attempt was cancelled.
    fn send_frame(&mut self, agent: usize, ticket: Ticket, frame: Frame) {
        let Some(attempt) = self.attempts_by_ticket.get(&(agent, ticket)).cloned() else {
            return;
        };
        if !matches!(frame, Frame::Head(_) | Frame::Data(_)) {
            self.attempts_by_ticket.remove(&(agent, ticket));
            self.exchanges.remove(&attempt);
        }
        let entry = entry_index(&attempt);
        self.schedule(self.now + LINK_DELAY, Event::Frame(entry, attempt, frame));
    }

    /// Adds a call to an engine's batch and sends the response's head; some calls are aborted later.
    fn start_call(&mut self, server: usize, ticket: Ticket, headers: &[(String, String)]) {
        let header = |name: &str| {
            let found = headers.iter().find(|(header, _)| header == name);
            found.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let request = header("x-request").unwrap_or_default() as usize;
        let resume_after = header("x-eelgrassdyke-resume-after").unwrap_or_default();
        let record = &self.records[request];
        let sequence = Sequence {
            session: record.session,
            shared_tokens: SHARED_TOKENS,
            own_tokens: OWN_TOKENS + resume_after,
            remaining_tokens: record.response_tokens.saturating_sub(resume_after).max(1),
        };
        self.engines[server].add(ticket.0, sequence);
        let head = ResponseHead {
            status: 200,
            headers: vec![("content-type".to_owned(), "text/event-stream".to_owned())],
        };
        let part = ResponsePart::Head(head);
        self.feed_agent(server, AgentInput::Response { ticket, part });
        if self.rng.random_range(0..1000) < self.options.failure_rate.0 {
            self.schedule(
                self.now + Duration::from_millis(5),
                Event::EngineAbort(server, ticket),
            );
        }
        self.begin_step(server);
    }

    /// Begins a step of an engine if it has sequences and no step is in progress.
    fn begin_step(&mut self, server: usize) {
        if let Some(duration) = self.engines[server].begin_step() {
            self.schedule(self.now + duration, Event::StepEnd(server));
        }
    }

    /// Ends a step of an engine, passes its tokens to the agent and begins the next step.
    fn end_step(&mut self, server: usize) {
        if !self.alive[server] {
            return;
        }
        for token in self.engines[server].end_step() {
            let ticket = Ticket(token.sequence_id);
            let part = ResponsePart::Data(TOKEN_EVENT.to_vec());
            self.feed_agent(server, AgentInput::Response { ticket, part });
            if token.is_last {
                for part in [ResponsePart::Data(DONE_EVENT.to_vec()), ResponsePart::End] {
                    self.feed_agent(server, AgentInput::Response { ticket, part });
                }
            }
        }
        self.begin_step(server);
    }

    /// Sends the directory to every entry, with the loads recorded one interval earlier.
    fn publish_directory(&mut self) {
        self.directory_revision += 1;
        for index in 0..self.entries.len() {
            let from = sender("control", 0, 1);
            let message = Message::Update(self.update(&sender("entry", index, 1000), true));
            self.feed_entry(index, Input::Message { from, message });
        }
        for index in 0..self.agents.len() {
            self.loads[index] = self.agents[index].load();
        }
        self.schedule(self.now + DIRECTORY_INTERVAL, Event::Directory);
    }

    /// Kills a server and reports its open exchanges as failed to their entries.
    fn kill_server(&mut self, server: usize) {
        self.alive[server] = false;
        let interrupted: Vec<AttemptId> = self
            .exchanges
            .iter()
            .filter(|(_, (agent, _))| *agent == server)
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in interrupted {
            self.exchanges.remove(&attempt);
            let entry = entry_index(&attempt);
            let sent = true;
            self.feed_entry(entry, Input::ExchangeFailed { attempt, sent });
        }
    }
}

fn server_name(index: usize) -> Server {
    format!("server-{index}").parse().expect("a valid name")
}

fn entry_index(attempt: &AttemptId) -> usize {
    let name = attempt.request.entry.as_str();
    name["entry-".len()..].parse().unwrap_or_default()
}

/// Configuration with one drafting service and the teams of `demands`.
fn build_document(options: &Options, demands: &[Demand]) -> Document {
    let spec = ServiceSpec {
        kind: ServiceKind::Drafting,
        timeout_ms: options.timeout.as_millis() as u64,
        body_max: Bytes(1 << 20),
        routes: Vec::new(),
        retry_budget: options.retry_budget,
        checks_fence: false,
        direct: None,
    };
    let mut document = Document::default();
    let service: eelgrassdyke_core::id::Service = "draft".parse().expect("a valid name");
    document.services.insert(service.clone(), spec);
    for (index, demand) in demands.iter().enumerate() {
        let team = TeamSpec {
            tokens: vec![Sha256::of(team_token(index).as_bytes())],
            shares: BTreeMap::from([(service.clone(), demand.share.clone())]),
            priority: None,
        };
        let name = format!("team-{index}").parse().expect("a valid name");
        document.teams.insert(name, team);
    }
    document
}
