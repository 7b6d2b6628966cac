//! Simulation of non-idempotent calls on the state machines of entries and agents: no key may run
//! twice, and `run: no` must be truthful.
//!
//! Control is a simple model that keeps the claims in a map. The simulation loses, duplicates,
//! delays and reorders messages, interrupts exchanges, delivers late copies of dispatches, fails
//! health checks, restarts entries and agents, and lets callers disconnect and retry through
//! another entry.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_agent::{Agent, Input as AgentInput, Output as AgentOutput, ResponsePart};
use eelgrassdyke_core::config::{Document, ServiceKind, ServiceSpec, TeamSpec};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::follow::poll_number_base;
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
/// Interval between new keys.
const ARRIVAL_MS: u64 = 5;
const ATTEMPTS_MAX: u32 = 6;
const ENTRY_PORT: u16 = 100;
const AGENT_PORT: u16 = 200;

fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port as u16))
}

fn sender(kind: &str, index: usize, incarnation: u64, port: u16) -> Sender {
    Sender {
        process: format!("{kind}-{index}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        address: address(usize::from(port) + index),
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

fn server_info(index: usize, incarnation: u64) -> ServerInfo {
    let agent = sender("agent", index, incarnation, AGENT_PORT);
    ServerInfo {
        server: format!("server-{index}").parse().unwrap(),
        service: "orders".parse().unwrap(),
        agent: agent.process,
        incarnation: agent.incarnation,
        address: agent.address,
        host: "host".parse().unwrap(),
        data_centre: "default".parse().unwrap(),
        state: ServerState::Up,
        slots: 4,
        token_rate: TokenRate(0),
        is_cold: false,
        applied_orders: Vec::new(),
    }
}

/// Reference model of control: a map of claims.
#[derive(Default)]
struct Control {
    claims: BTreeMap<TeamKey, (u32, RequestId, Holder, Option<ClaimOutcome>)>,
}

impl Control {
    fn apply(&mut self, claim_request: &ClaimRequest) -> ClaimResult {
        match &claim_request.action {
            ClaimAction::Claim {
                holder, replaces, ..
            } => self.claim(claim_request, holder, *replaces),
            ClaimAction::Settle { claim, outcome } => {
                let claim_record = self.claims.get_mut(&claim_request.team_key);
                if let Some(stored) =
                    claim_record.filter(|stored| stored.0 == *claim && stored.3.is_none())
                {
                    stored.3 = Some(outcome.clone());
                }
                ClaimResult::Expired
            }
        }
    }

    fn claim(
        &mut self,
        claim_request: &ClaimRequest,
        holder: &Holder,
        replaces: Option<u32>,
    ) -> ClaimResult {
        let claim_record = self.claims.get(&claim_request.team_key);
        let number = match claim_record {
            None => 1,
            Some((number, _, _, Some(ClaimOutcome::NotRun))) => number + 1,
            Some((_, _, _, Some(outcome))) => return ClaimResult::Settled(outcome.clone()),
            Some((number, ..)) if replaces == Some(*number) => number + 1,
            Some((number, requester, claimed_by, None))
                if *requester == claim_request.request && claimed_by == holder =>
            {
                *number
            }
            Some((number, _, claimed_by, None)) => {
                let (claim, holder) = (*number, claimed_by.clone());
                return ClaimResult::Held { claim, holder };
            }
        };
        let holder = holder.clone();
        let claim = (number, claim_request.request.clone(), holder.clone(), None);
        self.claims.insert(claim_request.team_key.clone(), claim);
        let claim = number;
        ClaimResult::Granted { claim, holder }
    }
}

enum Event {
    Message(SocketAddr, Sender, Message),
    Dispatch(usize, Incarnation, Box<Dispatch>),
    Frame(usize, Incarnation, AttemptId, Frame),
    ExchangeFailed(usize, Incarnation, AttemptId, bool),
    EntryDisconnects(usize, Incarnation, Ticket),
    Response(usize, Incarnation, Ticket, ResponsePart),
    SendCall(u32, u32),
    CallerDisconnects(usize, Incarnation, Ticket),
    RestartEntry(usize),
    RestartAgent(usize),
    HealthCheck(usize, bool),
    SendUpdates,
}

/// Executions of a key and the responses that its callers received.
#[derive(Default)]
struct KeyRecord {
    requests_sent: u64,
    sent_concurrently: bool,
    run_count: u32,
    responses: Vec<Option<RunStatus>>,
}

/// Entry, incarnation and attempt of an exchange, and the arrival time of its last frame.
type Exchange = (usize, Incarnation, AttemptId, Instant);

struct Simulation {
    now: Instant,
    rng: ChaCha8Rng,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    control: Control,
    entries: Vec<(Sender, Entry)>,
    agents: Vec<(Sender, Agent)>,
    server_infos: Vec<ServerInfo>,
    tickets: u64,
    callers: BTreeMap<(usize, Ticket), (u32, u32)>,
    exchanges: BTreeMap<(usize, Ticket), Exchange>,
    keys: BTreeMap<u32, KeyRecord>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            now: Instant(0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            sequence: 0,
            control: Control::default(),
            entries: (0..ENTRIES).map(|index| new_entry(index, 1)).collect(),
            agents: (0..AGENTS).map(|index| new_agent(index, 1)).collect(),
            server_infos: (0..AGENTS).map(|index| server_info(index, 1)).collect(),
            tickets: 0,
            callers: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            keys: BTreeMap::new(),
        };
        simulation.process_event(Event::SendUpdates);
        let end = u64::from(KEYS_PER_SEED) * ARRIVAL_MS;
        for key in 0..KEYS_PER_SEED {
            simulation.schedule_after(u64::from(key) * ARRIVAL_MS, Event::SendCall(key, 1));
        }
        for at_ms in (200..end).step_by(200) {
            simulation.schedule_after(at_ms, Event::SendUpdates);
            let entry = simulation.rng.random_range(0..ENTRIES);
            let agent = simulation.rng.random_range(0..AGENTS);
            match simulation.rng.random_range(0..4) {
                0 => simulation.schedule_after(at_ms + 7, Event::RestartEntry(entry)),
                1 => simulation.schedule_after(at_ms + 9, Event::RestartAgent(agent)),
                2 => {
                    simulation.schedule_after(at_ms + 11, Event::HealthCheck(agent, false));
                    simulation.schedule_after(at_ms + 12, Event::HealthCheck(agent, false));
                    simulation.schedule_after(at_ms + 150, Event::HealthCheck(agent, true));
                }
                _ => {}
            }
        }
        simulation
    }

    fn schedule_after(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        let at = self.now + Duration::from_millis(delay_ms);
        self.events.insert((at, self.sequence), event);
    }

    /// Schedules an event after a random delay, sometimes a long one.
    fn schedule_randomly(&mut self, event: Event) {
        let delay_ms = self.random_delay_ms();
        self.schedule_after(delay_ms, event);
    }

    fn random_delay_ms(&mut self) -> u64 {
        match self.rng.random_bool(0.1) {
            true => self.rng.random_range(0..=600),
            false => self.rng.random_range(0..=8),
        }
    }

    fn send_message(&mut self, to: SocketAddr, from: &Sender, message: &Message) {
        let copies = match self.rng.random_range(0..20) {
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            self.schedule_randomly(Event::Message(to, from.clone(), message.clone()));
        }
    }

    /// Sends an entry the configuration and the directory.
    fn send_update(&mut self, index: usize) {
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
                .server_infos
                .iter()
                .map(|server_info| (server_info.clone(), self.sequence))
                .collect(),
            removed: Vec::new(),
            departed: Vec::new(),
            loads: Vec::new(),
            loads_complete: true,
        };
        let message = Message::Update(Update {
            committed_version: Version(1),
            confirmed: true,
            poll_number: poll_number_base(&self.entries[index].0),
            config: Some(config),
            directory: Some(directory),
            control_addresses: Vec::new(),
            has_quorum: true,
            leader: None,
            slow_engines: Vec::new(),
            entry_count: 1,
            shares: Vec::new(),
            coordinators: Default::default(),
        });
        let from = control();
        self.feed_entry(index, Input::Message { from, message });
    }

    fn feed_entry(&mut self, index: usize, input: Input) {
        let mut out = Vec::new();
        let (local, core) = &mut self.entries[index];
        let local = local.clone();
        core.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Respond { ticket, head, body } => {
                    assert_eq!(head.status, 200);
                    self.record_response(index, ticket, Ok(body));
                }
                Output::Refuse { ticket, refusal } => {
                    self.record_response(index, ticket, Err(refusal.run_status))
                }
                Output::Dispatch { address, dispatch } => {
                    self.send_dispatch(index, address, *dispatch)
                }
                Output::Send { to, message } => self.send_message(to, &local, &message),
                Output::StartStream { .. }
                | Output::StreamData { .. }
                | Output::EndStream { .. } => {
                    panic!("a plain response was streamed")
                }
                Output::Cancel { .. } | Output::Event(_) => {}
            }
        }
    }

    fn send_dispatch(&mut self, entry: usize, address: SocketAddr, dispatch: Dispatch) {
        let agent = usize::from(address.port() - AGENT_PORT);
        let incarnation = self.agents[agent].0.incarnation;
        let copies = match self.rng.random_range(0..20) {
            0 => {
                let sent = self.rng.random_bool(0.5);
                let entry_incarnation = self.entries[entry].0.incarnation;
                self.schedule_randomly(Event::ExchangeFailed(
                    entry,
                    entry_incarnation,
                    dispatch.attempt,
                    sent,
                ));
                return;
            }
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            // A copy reaches only the incarnation that the connection was opened to.
            self.schedule_randomly(Event::Dispatch(
                agent,
                incarnation,
                Box::new(dispatch.clone()),
            ));
        }
    }

    fn feed_agent(&mut self, index: usize, input: AgentInput) {
        let mut out = Vec::new();
        let (local, core) = &mut self.agents[index];
        let local = local.clone();
        core.handle(self.now, input, &mut out);
        for output in out {
            match output {
                AgentOutput::Frame { ticket, frame } => self.send_frame(index, ticket, frame),
                AgentOutput::Forward { ticket, call, .. } => {
                    self.run_on_server(index, ticket, &call.body)
                }
                AgentOutput::Send { to, message } => self.send_message(to, &local, &message),
                AgentOutput::Abort { .. } | AgentOutput::CheckHealth | AgentOutput::Event(_) => {}
            }
        }
    }

    /// Sends a frame over its exchange; frames arrive in order until the exchange fails.
    fn send_frame(&mut self, agent: usize, ticket: Ticket, frame: Frame) {
        let is_last = !matches!(frame, Frame::Head(_) | Frame::Data(_));
        let Some((entry, incarnation, attempt, earliest)) = self.exchanges.remove(&(agent, ticket))
        else {
            return;
        };
        let delay_ms = self.random_delay_ms();
        let arrives_at = (self.now + Duration::from_millis(delay_ms)).max(earliest);
        let delay_ms = arrives_at.since(self.now).as_millis() as u64;
        if self.rng.random_bool(0.03) {
            let agent_incarnation = self.agents[agent].0.incarnation;
            self.schedule_after(
                delay_ms,
                Event::ExchangeFailed(entry, incarnation, attempt, true),
            );
            self.schedule_after(
                delay_ms,
                Event::EntryDisconnects(agent, agent_incarnation, ticket),
            );
            return;
        }
        self.schedule_after(
            delay_ms,
            Event::Frame(entry, incarnation, attempt.clone(), frame),
        );
        if !is_last {
            let exchange = (entry, incarnation, attempt, arrives_at);
            self.exchanges.insert((agent, ticket), exchange);
        }
    }

    /// The server: counts executions and responds with the key.
    fn run_on_server(&mut self, agent: usize, ticket: Ticket, body: &[u8]) {
        let incarnation = self.agents[agent].0.incarnation;
        let number: u32 = std::str::from_utf8(body).unwrap().parse().unwrap();
        let delay_ms = self.rng.random_range(1..60);
        let fault = self.rng.random_range(0..30);
        if fault > 1 || (fault == 1 && self.rng.random_bool(0.5)) {
            let key = self.keys.get_mut(&number).unwrap();
            key.run_count += 1;
            assert_eq!(key.run_count, 1, "key {number} ran twice");
        }
        if fault <= 1 {
            let part = ResponsePart::Failed {
                sent: fault == 1,
                detail: "broken".to_owned(),
            };
            self.schedule_after(delay_ms, Event::Response(agent, incarnation, ticket, part));
            return;
        }
        let head = ResponseHead {
            status: 200,
            headers: Vec::new(),
        };
        for part in [
            ResponsePart::Head(head),
            ResponsePart::Data(body.to_vec()),
            ResponsePart::End,
        ] {
            self.schedule_after(delay_ms, Event::Response(agent, incarnation, ticket, part));
        }
    }

    /// Sends a call, sometimes through two entries at once.
    fn send_call(&mut self, number: u32, attempt: u32) {
        let sent_concurrently = self.rng.random_bool(0.1);
        self.keys.entry(number).or_default().sent_concurrently |= sent_concurrently;
        for _ in 0..=u32::from(sent_concurrently) {
            self.keys.get_mut(&number).unwrap().requests_sent += 1;
            self.tickets += 1;
            let ticket = Ticket(self.tickets);
            let index = self.rng.random_range(0..ENTRIES);
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
            self.callers.insert((index, ticket), (number, attempt));
            if self.rng.random_bool(0.05) {
                let incarnation = self.entries[index].0.incarnation;
                let delay_ms = self.rng.random_range(0..200);
                self.schedule_after(
                    delay_ms,
                    Event::CallerDisconnects(index, incarnation, ticket),
                );
            }
            self.feed_entry(index, Input::Call { ticket, call });
        }
    }

    /// Records the final response to a caller.
    fn record_response(
        &mut self,
        index: usize,
        ticket: Ticket,
        response: Result<Vec<u8>, RunStatus>,
    ) {
        let Some((number, attempt)) = self.callers.remove(&(index, ticket)) else {
            panic!("a response without a waiting caller");
        };
        let key = self.keys.get_mut(&number).unwrap();
        match response {
            Ok(body) => {
                assert_eq!(
                    body,
                    number.to_string().into_bytes(),
                    "the response of another call"
                );
                assert_eq!(key.run_count, 1);
                key.responses.push(Some(RunStatus::Yes));
            }
            Err(run) => {
                let is_truthful =
                    run != RunStatus::No || key.sent_concurrently || key.run_count == 0;
                assert!(is_truthful, "key {number} ran before `run: no`");
                key.responses.push(Some(run));
                self.maybe_retry(number, attempt);
            }
        }
    }

    /// Lets a caller that got no response body retry, with some probability.
    fn maybe_retry(&mut self, number: u32, attempt: u32) {
        if attempt < ATTEMPTS_MAX && self.rng.random_bool(0.7) {
            let delay_ms = self.rng.random_range(1..1500);
            self.schedule_after(delay_ms, Event::SendCall(number, attempt + 1));
        }
    }

    /// Closes the connection of a caller; returns whether the caller was still waiting.
    fn disconnect_caller(&mut self, index: usize, ticket: Ticket) -> bool {
        let Some((number, attempt)) = self.callers.remove(&(index, ticket)) else {
            return false;
        };
        self.keys.get_mut(&number).unwrap().responses.push(None);
        self.maybe_retry(number, attempt);
        true
    }

    fn restart_entry(&mut self, index: usize) {
        let incarnation = self.entries[index].0.incarnation.0;
        self.entries[index] = new_entry(index, incarnation + 1);
        let callers: Vec<_> = self.callers.keys().copied().collect();
        for (entry, ticket) in callers {
            if entry == index {
                self.disconnect_caller(index, ticket);
            }
        }
        let exchanges: Vec<_> = self.exchanges.keys().copied().collect();
        for (agent, ticket) in exchanges {
            if self.exchanges[&(agent, ticket)].0 == index {
                let incarnation = self.agents[agent].0.incarnation;
                self.exchanges.remove(&(agent, ticket));
                self.schedule_randomly(Event::EntryDisconnects(agent, incarnation, ticket));
            }
        }
        self.send_update(index);
    }

    fn restart_agent(&mut self, index: usize) {
        let incarnation = self.agents[index].0.incarnation.0;
        self.agents[index] = new_agent(index, incarnation + 1);
        self.server_infos[index] = server_info(index, incarnation + 1);
        let exchanges: Vec<_> = self.exchanges.keys().copied().collect();
        for exchange in exchanges {
            if exchange.0 != index {
                continue;
            }
            let (entry, incarnation, attempt, _) = self.exchanges.remove(&exchange).unwrap();
            self.schedule_randomly(Event::ExchangeFailed(entry, incarnation, attempt, true));
        }
    }

    fn deliver_message(&mut self, to: SocketAddr, from: Sender, message: Message) {
        if let (true, Message::ClaimRequest(claim_request)) = (to == control().address, &message) {
            let response = ClaimResponse {
                request: claim_request.request.clone(),
                team_key: claim_request.team_key.clone(),
                result: self.control.apply(claim_request),
            };
            self.send_message(from.address, &control(), &Message::ClaimResponse(response));
            return;
        }
        let entry = usize::from(to.port().wrapping_sub(ENTRY_PORT));
        let agent = usize::from(to.port().wrapping_sub(AGENT_PORT));
        if entry < ENTRIES {
            self.feed_entry(entry, Input::Message { from, message });
        } else if agent < AGENTS {
            self.feed_agent(agent, AgentInput::Message { from, message });
        }
    }

    fn deliver_dispatch(
        &mut self,
        index: usize,
        incarnation: Incarnation,
        dispatch: Box<Dispatch>,
    ) {
        let attempt = dispatch.attempt.clone();
        let entry: usize = attempt.request.entry.as_str()[6..].parse().unwrap();
        let entry_incarnation = attempt.request.incarnation;
        if self.agents[index].0.incarnation != incarnation {
            self.schedule_randomly(Event::ExchangeFailed(
                entry,
                entry_incarnation,
                attempt,
                true,
            ));
            return;
        }
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let exchange = (entry, entry_incarnation, attempt, self.now);
        self.exchanges.insert((index, ticket), exchange);
        self.feed_agent(index, AgentInput::Dispatch { ticket, dispatch });
    }

    fn process_event(&mut self, event: Event) {
        match event {
            Event::Message(to, from, message) => self.deliver_message(to, from, message),
            Event::Dispatch(index, incarnation, dispatch) => {
                self.deliver_dispatch(index, incarnation, dispatch)
            }
            Event::Frame(index, incarnation, attempt, frame)
                if self.entries[index].0.incarnation == incarnation =>
            {
                self.feed_entry(index, Input::Frame { attempt, frame });
            }
            Event::ExchangeFailed(index, incarnation, attempt, sent)
                if self.entries[index].0.incarnation == incarnation =>
            {
                self.feed_entry(index, Input::ExchangeFailed { attempt, sent });
            }
            Event::EntryDisconnects(index, incarnation, ticket)
                if self.agents[index].0.incarnation == incarnation =>
            {
                self.feed_agent(index, AgentInput::DispatchCancelled { ticket });
            }
            Event::Response(index, incarnation, ticket, part)
                if self.agents[index].0.incarnation == incarnation =>
            {
                self.feed_agent(index, AgentInput::Response { ticket, part });
            }
            Event::CallerDisconnects(index, incarnation, ticket)
                if self.entries[index].0.incarnation == incarnation =>
            {
                if self.disconnect_caller(index, ticket) {
                    self.feed_entry(index, Input::CallerGone { ticket });
                }
            }
            Event::SendCall(number, attempt) => self.send_call(number, attempt),
            Event::RestartEntry(index) => self.restart_entry(index),
            Event::RestartAgent(index) => self.restart_agent(index),
            Event::HealthCheck(index, passed) => {
                self.feed_agent(index, AgentInput::HealthCheckResult(passed))
            }
            Event::SendUpdates => (0..ENTRIES).for_each(|index| self.send_update(index)),
            _ => {}
        }
    }

    fn run(&mut self) {
        let end =
            Instant(0) + Duration::from_secs(u64::from(KEYS_PER_SEED) * ARRIVAL_MS / 1000 + 120);
        while self.now < end {
            let due = self
                .events
                .keys()
                .next()
                .map_or(Instant::NEVER, |key| key.0);
            let mut next_time = due;
            for (_, entry) in &self.entries {
                next_time = next_time.min(entry.next_deadline());
            }
            for (_, agent) in &self.agents {
                next_time = next_time.min(agent.next_deadline());
            }
            self.now = self.now.max(next_time);
            if due <= self.now {
                let (_, event) = self.events.pop_first().unwrap();
                self.process_event(event);
            }
            for index in 0..ENTRIES {
                if self.entries[index].1.next_deadline() <= self.now {
                    self.feed_entry(index, Input::Tick);
                }
            }
            for index in 0..AGENTS {
                if self.agents[index].1.next_deadline() <= self.now {
                    self.feed_agent(index, AgentInput::Tick);
                }
            }
        }
    }

    /// Checks at the end that `run: no` was truthful and that no caller, request or attempt is
    /// left.
    fn check(&self, seed: u64) {
        for (number, key) in &self.keys {
            let all_refused = key
                .responses
                .iter()
                .all(|response| *response == Some(RunStatus::No));
            let last_refused =
                key.responses.last() == Some(&Some(RunStatus::No)) && !key.sent_concurrently;
            if all_refused || last_refused {
                assert_eq!(
                    key.run_count, 0,
                    "seed {seed}: key {number} ran after `run: no`"
                );
            }
        }
        assert!(
            self.callers.is_empty(),
            "seed {seed}: a caller got no final response"
        );
        for (_, entry) in &self.entries {
            assert_eq!(
                entry.open_requests(),
                0,
                "seed {seed}: an open request remains"
            );
        }
        for (_, agent) in &self.agents {
            assert_eq!(
                agent.open_attempts(),
                0,
                "seed {seed}: an open attempt remains"
            );
        }
    }
}

fn new_entry(index: usize, incarnation: u64) -> (Sender, Entry) {
    let local = sender("entry", index, incarnation, ENTRY_PORT);
    let options = Options {
        control_addresses: vec![control().address],
        seed: incarnation * 100 + index as u64,
        claim_timeout: Duration::from_millis(700),
        ..Options::default()
    };
    (local.clone(), Entry::new(local, options))
}

fn new_agent(index: usize, incarnation: u64) -> (Sender, Agent) {
    let local = sender("agent", index, incarnation, AGENT_PORT);
    let options = eelgrassdyke_agent::Options {
        control_addresses: vec![control().address],
        server: server_info(index, incarnation).server,
        service: server_info(index, incarnation).service,
        host: server_info(index, incarnation).host,
        data_centre: server_info(index, incarnation).data_centre,
        slots: 4,
        token_rate: TokenRate(0),
        queue_capacity: 8,
        key_capacity: 100_000,
    };
    let mut agent = Agent::new(local.clone(), options);
    agent.handle(
        Instant(0),
        AgentInput::HealthCheckResult(true),
        &mut Vec::new(),
    );
    let update = Update {
        committed_version: Version(0),
        confirmed: true,
        poll_number: poll_number_base(&local),
        config: None,
        directory: None,
        control_addresses: Vec::new(),
        has_quorum: true,
        leader: None,
        slow_engines: Vec::new(),
        entry_count: 1,
        shares: Vec::new(),
        coordinators: Default::default(),
    };
    let input = AgentInput::Message {
        from: control(),
        message: Message::Update(update),
    };
    agent.handle(Instant(0), input, &mut Vec::new());
    (local, agent)
}

#[test]
fn no_key_runs_twice_and_run_no_is_truthful() {
    let mut requests = 0;
    let mut run_count = 0;
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        simulation.check(seed);
        requests += simulation
            .keys
            .values()
            .map(|key| key.requests_sent)
            .sum::<u64>();
        run_count += simulation
            .keys
            .values()
            .map(|key| u64::from(key.run_count))
            .sum::<u64>();
    }
    println!(
        "{requests} requests, {run_count} of {} keys ran",
        SEEDS * u64::from(KEYS_PER_SEED)
    );
    assert!(requests >= 100_000, "only {requests} requests");
    assert!(
        run_count >= u64::from(KEYS_PER_SEED) * SEEDS / 2,
        "only {run_count} keys ran"
    );
}
