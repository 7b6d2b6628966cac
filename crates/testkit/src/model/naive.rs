//! Naive balancers for comparison: no shares, no credits, and a FIFO queue at each server.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use eelgrassdyke_core::time::Instant;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::engine::{Engine, Options, Sequence};
use super::load::RequestRecord;
use super::world::{OWN_TOKENS, SHARED_TOKENS, SimulationOutcome};

/// Time between two load reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How the balancer chooses a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerChoice {
    /// All servers in turn.
    RoundRobin,
    /// A server with the fewest requests according to its last load report, ties at random.
    LeastRequests,
}

enum Event {
    /// A request arrives.
    Arrival(usize),
    /// A step of a server's engine ends.
    StepEnd(usize),
    /// All servers report their load.
    LoadReport,
    /// The deadline of a request passes; server and request.
    Deadline(usize, usize),
}

/// A naive balancer in front of simulated engines.
pub struct NaiveBalancer {
    choice: ServerChoice,
    timeout: Duration,
    engines: Vec<Engine>,
    queues: Vec<VecDeque<usize>>,
    /// Requests of each server, queued and running, at the last load report.
    reported_requests: Vec<usize>,
    events: BTreeMap<(Instant, u64), Event>,
    event_sequence: u64,
    round_robin_turn: usize,
    rng: ChaCha8Rng,
    records: Vec<RequestRecord>,
}

impl NaiveBalancer {
    /// Creates a balancer in front of `servers` engines; requests time out after `timeout`.
    pub fn new(choice: ServerChoice, servers: usize, engine: Options, timeout: Duration) -> Self {
        Self {
            choice,
            timeout,
            engines: (0..servers).map(|_| Engine::new(engine)).collect(),
            queues: vec![VecDeque::new(); servers],
            reported_requests: vec![0; servers],
            events: BTreeMap::new(),
            event_sequence: 0,
            round_robin_turn: 0,
            rng: ChaCha8Rng::seed_from_u64(1),
            records: Vec::new(),
        }
    }

    /// Runs a load to its end and returns the outcome of every request.
    pub fn run(mut self, records: Vec<RequestRecord>) -> SimulationOutcome {
        self.records = records;
        let request_count = self.records.len() as u64;
        for request in 0..self.records.len() {
            self.schedule(self.records[request].arrived_at, Event::Arrival(request));
        }
        self.schedule(Instant(0), Event::LoadReport);
        let end = self
            .records
            .last()
            .map_or(Instant(0), |record| record.arrived_at)
            + self.timeout;
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > end {
                break;
            }
            self.handle(now, event);
        }
        SimulationOutcome {
            prompt_tokens: self.engines.iter().map(|engine| engine.prompt_tokens).sum(),
            cached_tokens: self.engines.iter().map(|engine| engine.cached_tokens).sum(),
            attempts: request_count,
            records: self.records,
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.event_sequence += 1;
        self.events.insert((at, self.event_sequence), event);
    }

    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrival(request) => {
                let server = self.choose_server();
                self.queues[server].push_back(request);
                self.schedule(now + self.timeout, Event::Deadline(server, request));
                self.fill_batch(now, server);
            }
            Event::StepEnd(server) => {
                for token in self.engines[server].end_step() {
                    let record = &mut self.records[token.sequence_id as usize];
                    record.first_token_at.get_or_insert(now);
                    if token.is_last {
                        record.completed_at = Some(now);
                    }
                }
                self.fill_batch(now, server);
            }
            Event::LoadReport => {
                for server in 0..self.engines.len() {
                    self.reported_requests[server] =
                        self.engines[server].batch_size() + self.queues[server].len();
                }
                self.schedule(now + REPORT_INTERVAL, Event::LoadReport);
            }
            Event::Deadline(server, request) => {
                if self.records[request].completed_at.is_none() {
                    self.records[request].failed_at = Some(now);
                    self.queues[server].retain(|queued| *queued != request);
                    self.engines[server].cancel(request as u64);
                    self.fill_batch(now, server);
                }
            }
        }
    }

    fn choose_server(&mut self) -> usize {
        match self.choice {
            ServerChoice::RoundRobin => {
                self.round_robin_turn += 1;
                self.round_robin_turn % self.engines.len()
            }
            ServerChoice::LeastRequests => {
                let least = self.reported_requests.iter().min().copied().unwrap_or(0);
                let ties: Vec<usize> = (0..self.reported_requests.len())
                    .filter(|server| self.reported_requests[*server] == least)
                    .collect();
                ties[self.rng.random_range(0..ties.len())]
            }
        }
    }

    /// Moves queued requests into free slots and begins a step if the engine is idle.
    fn fill_batch(&mut self, now: Instant, server: usize) {
        while self.engines[server].has_free_slot() {
            let Some(request) = self.queues[server].pop_front() else {
                break;
            };
            let record = &self.records[request];
            let sequence = Sequence {
                session: record.session,
                shared_tokens: SHARED_TOKENS,
                own_tokens: OWN_TOKENS,
                remaining_tokens: record.response_tokens,
            };
            self.engines[server].add(request as u64, sequence);
        }
        if let Some(duration) = self.engines[server].begin_step() {
            self.schedule(now + duration, Event::StepEnd(server));
        }
    }
}
