//! The real entry and agent cores before modelled engines.

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
use super::load::{Demand, Record};

/// Prompt tokens that all prompts of a session share.
pub(super) const SHARED_TOKENS: u64 = 512;

/// Prompt tokens of one request's own.
pub(super) const OWN_TOKENS: u64 = 64;

/// Bytes of a prompt token.
const TOKEN_BYTES: u64 = 4;

/// One-way time between an entry and an agent.
const LINK: Duration = Duration::from_micros(500);

/// Time between two directory updates.
const DIRECTORY_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which the directory drops a server that died.
const LEASE: Duration = Duration::from_secs(3);

/// One token of an answer, as the engine streams it.
const TOKEN_EVENT: &[u8] = b"data: {\"choices\":[{\"index\":0,\"text\":\"serum \"}]}\n\n";

/// The end of a stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// Entries.
    pub entries: usize,
    /// Servers, each with an agent.
    pub servers: usize,
    /// How engines behave.
    pub engine: EngineOptions,
    /// Time until a request's deadline.
    pub timeout: Duration,
    /// Whether all callers bear the token of one team.
    pub one_team: bool,
    /// Servers that die, and when.
    pub kill: Option<(usize, Instant)>,
    /// Part of the calls that engines break off before the first token, in thousandths.
    pub failing: Permille,
    /// Retries as a share of first tries.
    pub retry_budget: Permille,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            entries: 3,
            servers: 12,
            engine: EngineOptions::default(),
            timeout: Duration::from_secs(10),
            one_team: false,
            kill: None,
            failing: Permille(0),
            retry_budget: Permille(100),
        }
    }
}

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Every request.
    pub records: Vec<Record>,
    /// Prompt tokens read by engines.
    pub prompt_tokens: u64,
    /// Prompt tokens found in their caches.
    pub cached_tokens: u64,
    /// Dispatches.
    pub attempts: u64,
}

enum Event {
    Arrive(usize),
    Dispatch(usize, Box<Dispatch>),
    Frames(usize, AttemptId, Frame),
    Cancel(usize, Ticket),
    Step(usize),
    Break(usize, Ticket),
    Directory,
    Kill(usize),
    EntryTick(usize),
    AgentTick(usize),
}

/// The real cores before modelled engines.
pub struct World {
    options: Options,
    now: Instant,
    rng: ChaCha8Rng,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    engines: Vec<Engine>,
    alive: Vec<bool>,
    loads: Vec<ServerLoad>,
    document: Document,
    revision: u64,
    records: Vec<Record>,
    next_ticket: u64,
    /// The agent's side of an attempt.
    exchanges: BTreeMap<AttemptId, (usize, Ticket)>,
    attempts_of: BTreeMap<(usize, Ticket), AttemptId>,
    entry_ticks: Vec<Instant>,
    agent_ticks: Vec<Instant>,
    attempts: u64,
}

fn sender(kind: &str, at: usize, port: usize) -> Sender {
    Sender {
        process: format!("{kind}-{at}").parse().expect("a valid name"),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], (port + at) as u16)),
    }
}

fn token(team: usize) -> String {
    format!("token-{team}")
}

impl World {
    /// A world in which the teams of `demands` are configured.
    pub fn new(options: Options, demands: &[Demand]) -> Self {
        let control = sender("control", 0, 1);
        let mut entries = Vec::new();
        for at in 0..options.entries {
            let entry = eelgrassdyke_entry::Options {
                control: vec![control.address],
                seed: at as u64,
                ..eelgrassdyke_entry::Options::default()
            };
            entries.push(Entry::new(sender("entry", at, 1000), entry));
        }
        let servers = options.servers;
        let mut world = Self {
            now: Instant(0),
            rng: ChaCha8Rng::seed_from_u64(7),
            events: BTreeMap::new(),
            sequence: 0,
            entry_ticks: vec![Instant::NEVER; entries.len()],
            agent_ticks: vec![Instant::NEVER; servers],
            entries,
            agents: Vec::new(),
            engines: (0..servers).map(|_| Engine::new(options.engine)).collect(),
            alive: vec![true; servers],
            loads: vec![ServerLoad::default(); servers],
            document: document(&options, demands),
            revision: 0,
            records: Vec::new(),
            next_ticket: 0,
            exchanges: BTreeMap::new(),
            attempts_of: BTreeMap::new(),
            attempts: 0,
            options,
        };
        for at in 0..servers {
            let mut agent = Agent::new(sender("agent", at, 2000), world.agent_options(at));
            agent.handle(
                Instant(0),
                AgentInput::HealthCheckResult(true),
                &mut Vec::new(),
            );
            let from = control.clone();
            let message = Message::Update(world.update(&sender("agent", at, 2000), false));
            let mail = AgentInput::Message { from, message };
            agent.handle(Instant(0), mail, &mut Vec::new());
            world.agents.push(agent);
        }
        world
    }

    fn agent_options(&self, at: usize) -> eelgrassdyke_agent::Options {
        let row = self.row(at);
        eelgrassdyke_agent::Options {
            control_addresses: vec![sender("control", 0, 1).address],
            server: row.server,
            service: row.service,
            host: row.host,
            data_centre: row.data_centre,
            slots: row.slots,
            token_rate: row.token_rate,
            queue_capacity: 1024,
            key_capacity: 1000,
        }
    }

    fn row(&self, at: usize) -> ServerInfo {
        let agent = sender("agent", at, 2000);
        let slots = self.options.engine.slots as u32;
        let step = self.options.engine.step + self.options.engine.step_per_answer * slots;
        ServerInfo {
            server: server(at),
            service: "draft".parse().expect("a valid name"),
            agent: agent.process,
            incarnation: agent.incarnation,
            address: agent.address,
            host: "host".parse().expect("a valid name"),
            data_centre: "default".parse().expect("a valid name"),
            state: ServerState::Up,
            slots,
            token_rate: TokenRate((f64::from(slots) / step.as_secs_f64()) as u64),
            applied_orders: Vec::new(),
        }
    }

    /// What control tells a follower: all rows at first, then loads.
    fn update(&self, to: &Sender, directory: bool) -> Update {
        let mut loads = Vec::new();
        for (at, load) in self.loads.iter().enumerate() {
            loads.push(LoadReading {
                server: server(at),
                load: *load,
                age_ms: DIRECTORY_INTERVAL.as_millis() as u32,
            });
        }
        let listed = (0..self.options.servers).filter(|at| self.is_listed(*at));
        let directory = directory.then(|| DirectoryUpdate {
            revision: DirectoryRevision {
                source: (sender("control", 0, 1).process, Incarnation(1)),
                number: self.revision,
                load_number: self.revision,
            },
            base_revision: None,
            warmed_up: true,
            servers: listed.map(|at| (self.row(at), self.revision)).collect(),
            removed: Vec::new(),
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
            poll_number: poll_number_base(to),
            config: Some(config),
            directory,
            control_addresses: Vec::new(),
            has_quorum: true,
            leader: None,
            slow_engines: Vec::new(),
            entry_count: 1,
        }
    }

    /// Whether the directory still lists a server.
    fn is_listed(&self, at: usize) -> bool {
        let lapsed = |(_, when): (usize, Instant)| self.now >= when + LEASE;
        self.alive[at] || !self.options.kill.is_some_and(lapsed)
    }

    /// Runs a load to its end.
    pub fn run(mut self, records: Vec<Record>) -> Outcome {
        self.records = records;
        for at in 0..self.records.len() {
            self.push(self.records[at].since, Event::Arrive(at));
        }
        self.push(Instant(0), Event::Directory);
        if let Some((count, when)) = self.options.kill {
            for at in 0..count {
                self.push(when, Event::Kill(at));
            }
        }
        let last = self.records.last().map_or(Instant(0), |r| r.since);
        let last = last + self.options.timeout + Duration::from_secs(1);
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > last {
                break;
            }
            self.now = now;
            self.handle(event);
        }
        Outcome {
            records: self.records,
            prompt_tokens: self.engines.iter().map(|e| e.prompt_tokens).sum(),
            cached_tokens: self.engines.iter().map(|e| e.cached_tokens).sum(),
            attempts: self.attempts,
        }
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Dispatch(at, dispatch) => self.take_dispatch(at, dispatch),
            Event::Frames(entry, attempt, frame) => {
                self.entry(entry, Input::Frame { attempt, frame });
            }
            Event::Cancel(at, ticket) => self.agent(at, AgentInput::DispatchCancelled { ticket }),
            Event::Step(at) => self.step(at),
            Event::Break(at, ticket) => {
                if self.engines[at].cancel(ticket.0) {
                    let part = ResponsePart::Failed {
                        sent: true,
                        detail: "brown-out".to_owned(),
                    };
                    self.agent(at, AgentInput::Response { ticket, part });
                }
            }
            Event::Directory => self.publish(),
            Event::Kill(at) => self.kill(at),
            Event::EntryTick(at) => {
                self.entry_ticks[at] = Instant::NEVER;
                self.entry(at, Input::Tick);
            }
            Event::AgentTick(at) => {
                self.agent_ticks[at] = Instant::NEVER;
                self.agent(at, AgentInput::Tick);
            }
        }
    }

    fn arrive(&mut self, request: usize) {
        let record = &self.records[request];
        let team = match self.options.one_team {
            true => 0,
            false => record.team,
        };
        let session = format!("{:08}", record.session);
        let shared = session.repeat((SHARED_TOKENS * TOKEN_BYTES) as usize / session.len());
        let body = serde_json::json!({
            "model": "draft",
            "prompt": format!("{shared}{request}"),
            "stream": true,
            "max_tokens": record.tokens_max,
        });
        let call = Call {
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            headers: vec![
                (
                    "authorization".to_owned(),
                    format!("Bearer {}", token(team)),
                ),
                ("x-request".to_owned(), request.to_string()),
            ],
            body: body.to_string().into_bytes(),
        };
        let entry = self.rng.random_range(0..self.entries.len());
        let ticket = Ticket(request as u64);
        self.entry(entry, Input::Call { ticket, call });
    }

    fn entry(&mut self, at: usize, input: Input) {
        let mut out = Vec::new();
        self.entries[at].handle(self.now, input, &mut out);
        let wake = self.entries[at].next_deadline();
        if wake < self.entry_ticks[at] {
            self.entry_ticks[at] = wake;
            self.push(wake.max(self.now), Event::EntryTick(at));
        }
        for output in out {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::StreamData { ticket, data } => {
                let record = &mut self.records[ticket.0 as usize];
                if data.starts_with(b"event: error") {
                    record.refused = Some(self.now);
                }
                record.first.get_or_insert(self.now);
            }
            Output::EndStream { ticket } => {
                let record = &mut self.records[ticket.0 as usize];
                if record.refused.is_none() {
                    record.whole = Some(self.now);
                }
            }
            Output::Refuse { ticket, .. } | Output::Respond { ticket, .. } => {
                self.records[ticket.0 as usize].refused = Some(self.now);
            }
            Output::Dispatch { address, dispatch } => {
                self.attempts += 1;
                let at = usize::from(address.port()) - 2000;
                self.push(self.now + LINK, Event::Dispatch(at, dispatch));
            }
            Output::Cancel { attempt } => {
                if let Some((at, ticket)) = self.exchanges.remove(&attempt) {
                    self.attempts_of.remove(&(at, ticket));
                    self.push(self.now + LINK, Event::Cancel(at, ticket));
                }
            }
            Output::StartStream { .. } | Output::SendMessage { .. } | Output::Event(_) => {}
        }
    }

    fn take_dispatch(&mut self, at: usize, dispatch: Box<Dispatch>) {
        let attempt = dispatch.attempt.clone();
        if !self.alive[at] {
            let entry = entry_of(&attempt);
            let sent = false;
            self.entry(entry, Input::ExchangeFailed { attempt, sent });
            return;
        }
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.exchanges.insert(attempt.clone(), (at, ticket));
        self.attempts_of.insert((at, ticket), attempt);
        self.agent(at, AgentInput::Dispatch { ticket, dispatch });
    }

    fn agent(&mut self, at: usize, input: AgentInput) {
        if !self.alive[at] {
            return;
        }
        let mut out = Vec::new();
        self.agents[at].handle(self.now, input, &mut out);
        let wake = self.agents[at].next_deadline();
        if wake < self.agent_ticks[at] {
            self.agent_ticks[at] = wake;
            self.push(wake.max(self.now), Event::AgentTick(at));
        }
        for output in out {
            match output {
                AgentOutput::Frame { ticket, frame } => self.frame(at, ticket, frame),
                AgentOutput::Forward { ticket, call, .. } => {
                    self.run_call(at, ticket, &call.headers)
                }
                AgentOutput::Abort { ticket } => {
                    self.engines[at].cancel(ticket.0);
                }
                AgentOutput::CheckHealth => {}
                AgentOutput::Send { .. } | AgentOutput::Event(_) => {}
            }
        }
    }

    fn frame(&mut self, at: usize, ticket: Ticket, frame: Frame) {
        let Some(attempt) = self.attempts_of.get(&(at, ticket)).cloned() else {
            return;
        };
        if !matches!(frame, Frame::Head(_) | Frame::Data(_)) {
            self.attempts_of.remove(&(at, ticket));
            self.exchanges.remove(&attempt);
        }
        let entry = entry_of(&attempt);
        self.push(self.now + LINK, Event::Frames(entry, attempt, frame));
    }

    fn run_call(&mut self, at: usize, ticket: Ticket, headers: &[(String, String)]) {
        let field = |name: &str| {
            let found = headers.iter().find(|(field, _)| field == name);
            found.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let request = field("x-request").unwrap_or_default() as usize;
        let after = field("x-eelgrassdyke-resume-after").unwrap_or_default();
        let record = &self.records[request];
        let sequence = Sequence {
            session: record.session,
            shared: SHARED_TOKENS,
            own: OWN_TOKENS + after,
            left: record.tokens.saturating_sub(after).max(1),
        };
        self.engines[at].join(ticket.0, sequence);
        let head = ResponseHead {
            status: 200,
            headers: vec![("content-type".to_owned(), "text/event-stream".to_owned())],
        };
        let part = ResponsePart::Head(head);
        self.agent(at, AgentInput::Response { ticket, part });
        if self.rng.random_range(0..1000) < self.options.failing.0 {
            self.push(
                self.now + Duration::from_millis(5),
                Event::Break(at, ticket),
            );
        }
        self.begin_step(at);
    }

    fn begin_step(&mut self, at: usize) {
        if let Some(length) = self.engines[at].begin_step() {
            self.push(self.now + length, Event::Step(at));
        }
    }

    fn step(&mut self, at: usize) {
        if !self.alive[at] {
            return;
        }
        for token in self.engines[at].end_step() {
            let ticket = Ticket(token.name);
            let part = ResponsePart::Data(TOKEN_EVENT.to_vec());
            self.agent(at, AgentInput::Response { ticket, part });
            if token.last {
                for part in [ResponsePart::Data(DONE_EVENT.to_vec()), ResponsePart::End] {
                    self.agent(at, AgentInput::Response { ticket, part });
                }
            }
        }
        self.begin_step(at);
    }

    /// Sends every entry the directory, with the loads of the interval before.
    fn publish(&mut self) {
        self.revision += 1;
        for at in 0..self.entries.len() {
            let from = sender("control", 0, 1);
            let message = Message::Update(self.update(&sender("entry", at, 1000), true));
            self.entry(at, Input::Message { from, message });
        }
        for at in 0..self.agents.len() {
            self.loads[at] = self.agents[at].load();
        }
        self.push(self.now + DIRECTORY_INTERVAL, Event::Directory);
    }

    fn kill(&mut self, at: usize) {
        self.alive[at] = false;
        let cut: Vec<AttemptId> = self
            .exchanges
            .iter()
            .filter(|(_, (agent, _))| *agent == at)
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in cut {
            self.exchanges.remove(&attempt);
            let entry = entry_of(&attempt);
            let sent = true;
            self.entry(entry, Input::ExchangeFailed { attempt, sent });
        }
    }
}

fn server(at: usize) -> Server {
    format!("server-{at}").parse().expect("a valid name")
}

fn entry_of(attempt: &AttemptId) -> usize {
    let name = attempt.request.entry.as_str();
    name["entry-".len()..].parse().unwrap_or_default()
}

fn document(options: &Options, demands: &[Demand]) -> Document {
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
    for (at, demand) in demands.iter().enumerate() {
        let team = TeamSpec {
            tokens: vec![Sha256::of(token(at).as_bytes())],
            shares: BTreeMap::from([(service.clone(), demand.share.clone())]),
            priority: None,
        };
        let name = format!("team-{at}").parse().expect("a valid name");
        document.teams.insert(name, team);
    }
    document
}
