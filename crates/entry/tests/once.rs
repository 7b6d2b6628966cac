//! Non-idempotent calls over entry and agent cores against a set of keys that ran.
//!
//! A small fake control keeps claims in a map. Mail is lost, doubled, delayed and overtaken,
//! exchanges break, a copy of a dispatch comes late, back ends fail health checks, entries and agents die and come back, callers
//! leave, and callers send again through another entry.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_agent::{Agent, Input as AgentInput, Output as AgentOutput, Reply};
use eelgrassdyke_core::config::{Document, ServiceKind, ServiceSpec, TeamSpec};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::follow::first_poll_number;
use eelgrassdyke_core::id::{AttemptId, Incarnation, RequestId, Ticket, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::{Bytes, Permille, TokenRate};
use eelgrassdyke_core::wire::claim::{
    ClaimAction, ClaimOutcome, ClaimRequest, ClaimResponse, ClaimResult, Holder, TeamKey,
};
use eelgrassdyke_core::wire::directory::{ServerInfo, ServerState};
use eelgrassdyke_core::wire::dispatch::{Dispatch, Frame, ResponseHead};
use eelgrassdyke_core::wire::follow::{ConfigUpdate, DirectoryRevision, DirectoryUpdate, Update};
use eelgrassdyke_core::wire::refusal::RunStatus;
use eelgrassdyke_core::wire::{Message, Sender};
use eelgrassdyke_entry::{Call, Entry, Input, Options, Output};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const ENTRIES: usize = 3;
const AGENTS: usize = 3;
const SEEDS: u64 = 10;
const KEYS_PER_SEED: u32 = 7200;
/// Time between two new keys.
const ARRIVAL_MS: u64 = 5;
const TRIES_MAX: u32 = 6;
const ENTRY_PORT: u16 = 100;
const AGENT_PORT: u16 = 200;

fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port as u16))
}

fn sender(kind: &str, at: usize, life: u64, port: u16) -> Sender {
    Sender {
        process: format!("{kind}-{at}").parse().unwrap(),
        incarnation: Incarnation(life),
        address: address(usize::from(port) + at),
    }
}

fn control() -> Sender {
    sender("control", 0, 1, 1)
}

fn document() -> Document {
    let spec = ServiceSpec {
        kind: ServiceKind::Plain,
        timeout_ms: 3000,
        body_max: Bytes(1 << 20),
        routes: Vec::new(),
        retry_budget: Permille(1000),
        checks_fence: false,
        direct: None,
    };
    let team = TeamSpec {
        tokens: vec![Sha256::of(b"token")],
        shares: BTreeMap::new(),
        priority: None,
    };
    let mut document = Document::default();
    document.services.insert("orders".parse().unwrap(), spec);
    document.teams.insert("hobart".parse().unwrap(), team);
    document
}

fn row(at: usize, life: u64) -> ServerInfo {
    let agent = sender("agent", at, life, AGENT_PORT);
    ServerInfo {
        server: format!("server-{at}").parse().unwrap(),
        service: "orders".parse().unwrap(),
        agent: agent.process,
        incarnation: agent.incarnation,
        address: agent.address,
        host: "host".parse().unwrap(),
        data_centre: "default".parse().unwrap(),
        state: ServerState::Up,
        slots: 4,
        token_rate: TokenRate(0),
        applied_orders: Vec::new(),
    }
}

/// The obviously right control: a map of claims.
#[derive(Default)]
struct Control {
    claims: BTreeMap<TeamKey, (u32, RequestId, Holder, Option<ClaimOutcome>)>,
}

impl Control {
    fn apply(&mut self, ask: &ClaimRequest) -> ClaimResult {
        match &ask.action {
            ClaimAction::Claim {
                holder, replaces, ..
            } => self.claim(ask, holder, *replaces),
            ClaimAction::Settle { claim, outcome } => {
                let held = self.claims.get_mut(&ask.team_key);
                if let Some(held) = held.filter(|held| held.0 == *claim && held.3.is_none()) {
                    held.3 = Some(outcome.clone());
                }
                ClaimResult::Expired
            }
        }
    }

    fn claim(&mut self, ask: &ClaimRequest, holder: &Holder, replaces: Option<u32>) -> ClaimResult {
        let held = self.claims.get(&ask.team_key);
        let number = match held {
            None => 1,
            Some((number, _, _, Some(ClaimOutcome::NotRun))) => number + 1,
            Some((_, _, _, Some(outcome))) => return ClaimResult::Settled(outcome.clone()),
            Some((number, ..)) if replaces == Some(*number) => number + 1,
            Some((number, by, at, None)) if *by == ask.request && at == holder => *number,
            Some((number, _, at, None)) => {
                let (claim, holder) = (*number, at.clone());
                return ClaimResult::Held { claim, holder };
            }
        };
        let holder = holder.clone();
        let claim = (number, ask.request.clone(), holder.clone(), None);
        self.claims.insert(ask.team_key.clone(), claim);
        let claim = number;
        ClaimResult::Granted { claim, holder }
    }
}

enum Event {
    Mail(SocketAddr, Sender, Message),
    Dispatch(usize, Incarnation, Box<Dispatch>),
    Frame(usize, Incarnation, AttemptId, Frame),
    Failed(usize, Incarnation, AttemptId, bool),
    EntryGone(usize, Incarnation, Ticket),
    Reply(usize, Incarnation, Ticket, Reply),
    Send(u32, u32),
    Leave(usize, Incarnation, Ticket),
    RestartEntry(usize),
    RestartAgent(usize),
    Health(usize, bool),
    Directory,
}

/// A caller's key, how often it ran, and what the caller heard.
#[derive(Default)]
struct Key {
    tries: u64,
    racing: bool,
    ran: u32,
    heard: Vec<Option<RunStatus>>,
}

/// The entry's side of an exchange and when its last frame arrives.
type Exchange = (usize, Incarnation, AttemptId, Instant);

struct World {
    now: Instant,
    rng: ChaCha8Rng,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    control: Control,
    entries: Vec<(Sender, Entry)>,
    agents: Vec<(Sender, Agent)>,
    rows: Vec<ServerInfo>,
    tickets: u64,
    callers: BTreeMap<(usize, Ticket), (u32, u32)>,
    exchanges: BTreeMap<(usize, Ticket), Exchange>,
    keys: BTreeMap<u32, Key>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            now: Instant(0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            sequence: 0,
            control: Control::default(),
            entries: (0..ENTRIES).map(|at| make_entry(at, 1)).collect(),
            agents: (0..AGENTS).map(|at| make_agent(at, 1)).collect(),
            rows: (0..AGENTS).map(|at| row(at, 1)).collect(),
            tickets: 0,
            callers: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            keys: BTreeMap::new(),
        };
        world.carry_out(Event::Directory);
        let end = u64::from(KEYS_PER_SEED) * ARRIVAL_MS;
        for key in 0..KEYS_PER_SEED {
            world.after(u64::from(key) * ARRIVAL_MS, Event::Send(key, 1));
        }
        for at in (200..end).step_by(200) {
            world.after(at, Event::Directory);
            let entry = world.rng.random_range(0..ENTRIES);
            let agent = world.rng.random_range(0..AGENTS);
            match world.rng.random_range(0..4) {
                0 => world.after(at + 7, Event::RestartEntry(entry)),
                1 => world.after(at + 9, Event::RestartAgent(agent)),
                2 => {
                    world.after(at + 11, Event::Health(agent, false));
                    world.after(at + 12, Event::Health(agent, false));
                    world.after(at + 150, Event::Health(agent, true));
                }
                _ => {}
            }
        }
        world
    }

    fn after(&mut self, ms: u64, event: Event) {
        self.sequence += 1;
        let at = self.now + Duration::from_millis(ms);
        self.events.insert((at, self.sequence), event);
    }

    /// Adds an event at a random time, now and then much later than others.
    fn later(&mut self, event: Event) {
        let delay = self.delay();
        self.after(delay, event);
    }

    fn delay(&mut self) -> u64 {
        match self.rng.random_bool(0.1) {
            true => self.rng.random_range(0..=600),
            false => self.rng.random_range(0..=8),
        }
    }

    fn mail(&mut self, to: SocketAddr, from: &Sender, message: &Message) {
        let copies = match self.rng.random_range(0..20) {
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            self.later(Event::Mail(to, from.clone(), message.clone()));
        }
    }

    /// Gives an entry the configuration and the directory.
    fn inform(&mut self, at: usize) {
        let config = ConfigUpdate::Snapshot {
            version: Version(1),
            document: document().into(),
        };
        self.sequence += 1;
        let directory = DirectoryUpdate {
            revision: DirectoryRevision {
                source: (control().process, Incarnation(1)),
                number: self.sequence,
                load_number: 0,
            },
            base_revision: None,
            warmed_up: true,
            servers: self
                .rows
                .iter()
                .map(|row| (row.clone(), self.sequence))
                .collect(),
            removed: Vec::new(),
            loads: Vec::new(),
            loads_complete: true,
        };
        let message = Message::Update(Update {
            committed_version: Version(1),
            confirmed: true,
            poll_number: first_poll_number(&self.entries[at].0),
            config: Some(config),
            directory: Some(directory),
            control: Vec::new(),
            has_quorum: true,
            leader: None,
            slow_engines: Vec::new(),
            entry_count: 1,
        });
        let from = control();
        self.entry(at, Input::Mail { from, message });
    }

    fn entry(&mut self, at: usize, input: Input) {
        let mut out = Vec::new();
        let (me, core) = &mut self.entries[at];
        let me = me.clone();
        core.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Answer { ticket, head, body } => {
                    assert_eq!(head.status, 200);
                    self.hear(at, ticket, Ok(body));
                }
                Output::Refuse { ticket, refusal } => self.hear(at, ticket, Err(refusal.run)),
                Output::Dispatch { address, dispatch } => self.dispatch(at, address, *dispatch),
                Output::Send { to, message } => self.mail(to, &me, &message),
                Output::Head { .. } | Output::Data { .. } | Output::End { .. } => {
                    panic!("a plain answer was streamed")
                }
                Output::Cancel { .. } | Output::Event(_) => {}
            }
        }
    }

    fn dispatch(&mut self, entry: usize, address: SocketAddr, dispatch: Dispatch) {
        let agent = usize::from(address.port() - AGENT_PORT);
        let life = self.agents[agent].0.incarnation;
        let copies = match self.rng.random_range(0..20) {
            0 => {
                let sent = self.rng.random_bool(0.5);
                let entry_life = self.entries[entry].0.incarnation;
                self.later(Event::Failed(entry, entry_life, dispatch.attempt, sent));
                return;
            }
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            // A copy reaches only the process that the connection was made to.
            self.later(Event::Dispatch(agent, life, Box::new(dispatch.clone())));
        }
    }

    fn agent(&mut self, at: usize, input: AgentInput) {
        let mut out = Vec::new();
        let (me, core) = &mut self.agents[at];
        let me = me.clone();
        core.handle(self.now, input, &mut out);
        for output in out {
            match output {
                AgentOutput::Frame { ticket, frame } => self.frame(at, ticket, frame),
                AgentOutput::Run { ticket, call, .. } => self.run_call(at, ticket, &call.body),
                AgentOutput::Send { to, message } => self.mail(to, &me, &message),
                AgentOutput::Abort { .. } | AgentOutput::CheckHealth | AgentOutput::Event(_) => {}
            }
        }
    }

    /// Sends a frame over its exchange: in order, unless the exchange breaks.
    fn frame(&mut self, agent: usize, ticket: Ticket, frame: Frame) {
        let last = !matches!(frame, Frame::Head(_) | Frame::Data(_));
        let Some((entry, life, attempt, free)) = self.exchanges.remove(&(agent, ticket)) else {
            return;
        };
        let delay = self.delay();
        let arrives = (self.now + Duration::from_millis(delay)).max(free);
        let wait = arrives.since(self.now).as_millis() as u64;
        if self.rng.random_bool(0.03) {
            let agent_life = self.agents[agent].0.incarnation;
            self.after(wait, Event::Failed(entry, life, attempt, true));
            self.after(wait, Event::EntryGone(agent, agent_life, ticket));
            return;
        }
        self.after(wait, Event::Frame(entry, life, attempt.clone(), frame));
        if !last {
            let exchange = (entry, life, attempt, arrives);
            self.exchanges.insert((agent, ticket), exchange);
        }
    }

    /// The back end: counts what runs and answers with the key.
    fn run_call(&mut self, agent: usize, ticket: Ticket, body: &[u8]) {
        let life = self.agents[agent].0.incarnation;
        let number: u32 = std::str::from_utf8(body).unwrap().parse().unwrap();
        let delay = self.rng.random_range(1..60);
        let fault = self.rng.random_range(0..30);
        if fault > 1 || (fault == 1 && self.rng.random_bool(0.5)) {
            let key = self.keys.get_mut(&number).unwrap();
            key.ran += 1;
            assert_eq!(key.ran, 1, "key {number} ran twice");
        }
        if fault <= 1 {
            let reply = Reply::Failed {
                sent: fault == 1,
                detail: "broken".to_owned(),
            };
            self.after(delay, Event::Reply(agent, life, ticket, reply));
            return;
        }
        let head = ResponseHead {
            status: 200,
            headers: Vec::new(),
        };
        for reply in [Reply::Head(head), Reply::Data(body.to_vec()), Reply::End] {
            self.after(delay, Event::Reply(agent, life, ticket, reply));
        }
    }

    /// A caller sends its call, now and then over two entries at once.
    fn send(&mut self, number: u32, attempt: u32) {
        let racing = self.rng.random_bool(0.1);
        self.keys.entry(number).or_default().racing |= racing;
        for _ in 0..=u32::from(racing) {
            self.keys.get_mut(&number).unwrap().tries += 1;
            self.tickets += 1;
            let ticket = Ticket(self.tickets);
            let at = self.rng.random_range(0..ENTRIES);
            let call = Call {
                method: "POST".to_owned(),
                path: "/orders/charges".to_owned(),
                headers: vec![
                    ("authorization".to_owned(), "Bearer token".to_owned()),
                    ("idempotency-key".to_owned(), format!("key-{number}")),
                    ("x-eelgrassdyke-attempt".to_owned(), attempt.to_string()),
                ],
                body: number.to_string().into_bytes(),
            };
            self.callers.insert((at, ticket), (number, attempt));
            if self.rng.random_bool(0.05) {
                let life = self.entries[at].0.incarnation;
                let patience = self.rng.random_range(0..200);
                self.after(patience, Event::Leave(at, life, ticket));
            }
            self.entry(at, Input::Call { ticket, call });
        }
    }

    /// A caller gets its final answer.
    fn hear(&mut self, at: usize, ticket: Ticket, answer: Result<Vec<u8>, RunStatus>) {
        let Some((number, attempt)) = self.callers.remove(&(at, ticket)) else {
            panic!("an answer came twice or to nobody");
        };
        let key = self.keys.get_mut(&number).unwrap();
        match answer {
            Ok(body) => {
                assert_eq!(body, number.to_string().into_bytes(), "a foreign answer");
                assert_eq!(key.ran, 1);
                key.heard.push(Some(RunStatus::Yes));
            }
            Err(run) => {
                let proved = run != RunStatus::No || key.racing || key.ran == 0;
                assert!(proved, "key {number} ran before `run: no`");
                key.heard.push(Some(run));
                self.send_again(number, attempt);
            }
        }
    }

    /// A caller without an answer mostly sends again.
    fn send_again(&mut self, number: u32, attempt: u32) {
        if attempt < TRIES_MAX && self.rng.random_bool(0.7) {
            let pause = self.rng.random_range(1..1500);
            self.after(pause, Event::Send(number, attempt + 1));
        }
    }

    /// A caller's connection is gone.
    fn lose_caller(&mut self, at: usize, ticket: Ticket) -> bool {
        let Some((number, attempt)) = self.callers.remove(&(at, ticket)) else {
            return false;
        };
        self.keys.get_mut(&number).unwrap().heard.push(None);
        self.send_again(number, attempt);
        true
    }

    fn restart_entry(&mut self, at: usize) {
        let life = self.entries[at].0.incarnation.0;
        self.entries[at] = make_entry(at, life + 1);
        let callers: Vec<_> = self.callers.keys().copied().collect();
        for (entry, ticket) in callers {
            if entry == at {
                self.lose_caller(at, ticket);
            }
        }
        let exchanges: Vec<_> = self.exchanges.keys().copied().collect();
        for (agent, ticket) in exchanges {
            if self.exchanges[&(agent, ticket)].0 == at {
                let life = self.agents[agent].0.incarnation;
                self.exchanges.remove(&(agent, ticket));
                self.later(Event::EntryGone(agent, life, ticket));
            }
        }
        self.inform(at);
    }

    fn restart_agent(&mut self, at: usize) {
        let life = self.agents[at].0.incarnation.0;
        self.agents[at] = make_agent(at, life + 1);
        self.rows[at] = row(at, life + 1);
        let exchanges: Vec<_> = self.exchanges.keys().copied().collect();
        for name in exchanges {
            if name.0 != at {
                continue;
            }
            let (entry, life, attempt, _) = self.exchanges.remove(&name).unwrap();
            self.later(Event::Failed(entry, life, attempt, true));
        }
    }

    fn deliver(&mut self, to: SocketAddr, from: Sender, message: Message) {
        if let (true, Message::ClaimRequest(ask)) = (to == control().address, &message) {
            let answer = ClaimResponse {
                request: ask.request.clone(),
                team_key: ask.team_key.clone(),
                result: self.control.apply(ask),
            };
            self.mail(from.address, &control(), &Message::ClaimResponse(answer));
            return;
        }
        let entry = usize::from(to.port().wrapping_sub(ENTRY_PORT));
        let agent = usize::from(to.port().wrapping_sub(AGENT_PORT));
        if entry < ENTRIES {
            self.entry(entry, Input::Mail { from, message });
        } else if agent < AGENTS {
            self.agent(agent, AgentInput::Mail { from, message });
        }
    }

    fn arrive(&mut self, at: usize, life: Incarnation, dispatch: Box<Dispatch>) {
        let attempt = dispatch.attempt.clone();
        let entry: usize = attempt.request.entry.as_str()[6..].parse().unwrap();
        let entry_life = attempt.request.incarnation;
        if self.agents[at].0.incarnation != life {
            self.later(Event::Failed(entry, entry_life, attempt, true));
            return;
        }
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let exchange = (entry, entry_life, attempt, self.now);
        self.exchanges.insert((at, ticket), exchange);
        self.agent(at, AgentInput::Dispatch { ticket, dispatch });
    }

    fn carry_out(&mut self, event: Event) {
        match event {
            Event::Mail(to, from, message) => self.deliver(to, from, message),
            Event::Dispatch(at, life, dispatch) => self.arrive(at, life, dispatch),
            Event::Frame(at, life, attempt, frame) if self.entries[at].0.incarnation == life => {
                self.entry(at, Input::Frame { attempt, frame });
            }
            Event::Failed(at, life, attempt, sent) if self.entries[at].0.incarnation == life => {
                self.entry(at, Input::Failed { attempt, sent });
            }
            Event::EntryGone(at, life, ticket) if self.agents[at].0.incarnation == life => {
                self.agent(at, AgentInput::Gone { ticket });
            }
            Event::Reply(at, life, ticket, reply) if self.agents[at].0.incarnation == life => {
                self.agent(at, AgentInput::Reply { ticket, reply });
            }
            Event::Leave(at, life, ticket) if self.entries[at].0.incarnation == life => {
                if self.lose_caller(at, ticket) {
                    self.entry(at, Input::Gone { ticket });
                }
            }
            Event::Send(number, attempt) => self.send(number, attempt),
            Event::RestartEntry(at) => self.restart_entry(at),
            Event::RestartAgent(at) => self.restart_agent(at),
            Event::Health(at, passed) => self.agent(at, AgentInput::Health(passed)),
            Event::Directory => (0..ENTRIES).for_each(|at| self.inform(at)),
            _ => {}
        }
    }

    fn run(&mut self) {
        let last =
            Instant(0) + Duration::from_secs(u64::from(KEYS_PER_SEED) * ARRIVAL_MS / 1000 + 120);
        while self.now < last {
            let due = self.events.keys().next().map_or(Instant::NEVER, |at| at.0);
            let mut wake = due;
            for (_, entry) in &self.entries {
                wake = wake.min(entry.next_deadline());
            }
            for (_, agent) in &self.agents {
                wake = wake.min(agent.next_deadline());
            }
            self.now = self.now.max(wake);
            if due <= self.now {
                let (_, event) = self.events.pop_first().unwrap();
                self.carry_out(event);
            }
            for at in 0..ENTRIES {
                if self.entries[at].1.next_deadline() <= self.now {
                    self.entry(at, Input::Tick);
                }
            }
            for at in 0..AGENTS {
                if self.agents[at].1.next_deadline() <= self.now {
                    self.agent(at, AgentInput::Tick);
                }
            }
        }
    }

    /// Checks what must hold in the end.
    fn check(&self, seed: u64) {
        for (number, key) in &self.keys {
            let refused = key.heard.iter().all(|heard| *heard == Some(RunStatus::No));
            let last = key.heard.last() == Some(&Some(RunStatus::No)) && !key.racing;
            if refused || last {
                assert_eq!(key.ran, 0, "seed {seed}: key {number} ran after `run: no`");
            }
        }
        assert!(
            self.callers.is_empty(),
            "seed {seed}: a caller got no answer"
        );
        for (_, entry) in &self.entries {
            assert_eq!(entry.open_requests(), 0, "seed {seed}: a flight stays");
        }
        for (_, agent) in &self.agents {
            assert_eq!(agent.open_attempts(), 0, "seed {seed}: an attempt stays");
        }
    }
}

fn make_entry(at: usize, life: u64) -> (Sender, Entry) {
    let me = sender("entry", at, life, ENTRY_PORT);
    let options = Options {
        control: vec![control().address],
        seed: life * 100 + at as u64,
        claim_timeout: Duration::from_millis(700),
        ..Options::default()
    };
    (me.clone(), Entry::new(me, options))
}

fn make_agent(at: usize, life: u64) -> (Sender, Agent) {
    let me = sender("agent", at, life, AGENT_PORT);
    let options = eelgrassdyke_agent::Options {
        control: vec![control().address],
        server: row(at, life).server,
        service: row(at, life).service,
        host: row(at, life).host,
        data_centre: row(at, life).data_centre,
        slots: 4,
        token_rate: TokenRate(0),
        queue: 8,
        keys: 100_000,
    };
    let mut agent = Agent::new(me.clone(), options);
    agent.handle(Instant(0), AgentInput::Health(true), &mut Vec::new());
    let update = Update {
        committed_version: Version(0),
        confirmed: true,
        poll_number: first_poll_number(&me),
        config: None,
        directory: None,
        control: Vec::new(),
        has_quorum: true,
        leader: None,
        slow_engines: Vec::new(),
        entry_count: 1,
    };
    let mail = AgentInput::Mail {
        from: control(),
        message: Message::Update(update),
    };
    agent.handle(Instant(0), mail, &mut Vec::new());
    (me, agent)
}

#[test]
fn no_key_runs_twice_and_run_no_is_true() {
    let mut requests = 0;
    let mut ran = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        world.run();
        world.check(seed);
        requests += world.keys.values().map(|key| key.tries).sum::<u64>();
        ran += world
            .keys
            .values()
            .map(|key| u64::from(key.ran))
            .sum::<u64>();
    }
    println!(
        "{requests} requests, {ran} of {} keys ran",
        SEEDS * u64::from(KEYS_PER_SEED)
    );
    assert!(requests >= 100_000, "only {requests} requests");
    assert!(
        ran >= u64::from(KEYS_PER_SEED) * SEEDS / 2,
        "only {ran} keys ran"
    );
}
