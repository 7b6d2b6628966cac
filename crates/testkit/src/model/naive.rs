//! Naive balancers to compare with: no shares, no credits, first in, first out at each server.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use eelgrassdyke_core::time::Instant;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::engine::{Engine, Options, Sequence};
use super::load::Record;
use super::world::{OWN_TOKENS, Outcome, SHARED_TOKENS};

/// Time between two load reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How a server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Each in turn.
    RoundRobin,
    /// The one with the fewest requests by its last report.
    LeastRequests,
}

enum Event {
    Arrive(usize),
    Step(usize),
    Report,
    Deadline(usize, usize),
}

/// A naive balancer before modelled engines.
pub struct Naive {
    choice: Choice,
    timeout: Duration,
    engines: Vec<Engine>,
    queues: Vec<VecDeque<usize>>,
    reports: Vec<usize>,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    turn: usize,
    rng: ChaCha8Rng,
    records: Vec<Record>,
}

impl Naive {
    /// A balancer before `servers` engines; callers give up after `timeout`.
    pub fn new(choice: Choice, servers: usize, engine: Options, timeout: Duration) -> Self {
        Self {
            choice,
            timeout,
            engines: (0..servers).map(|_| Engine::new(engine)).collect(),
            queues: vec![VecDeque::new(); servers],
            reports: vec![0; servers],
            events: BTreeMap::new(),
            sequence: 0,
            turn: 0,
            rng: ChaCha8Rng::seed_from_u64(1),
            records: Vec::new(),
        }
    }

    /// Runs a load to its end.
    pub fn run(mut self, records: Vec<Record>) -> Outcome {
        self.records = records;
        let first_tries = self.records.len() as u64;
        for at in 0..self.records.len() {
            self.push(self.records[at].since, Event::Arrive(at));
        }
        self.push(Instant(0), Event::Report);
        let last = self.records.last().map_or(Instant(0), |r| r.since) + self.timeout;
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > last {
                break;
            }
            self.handle(now, event);
        }
        Outcome {
            prompt_tokens: self.engines.iter().map(|e| e.prompt_tokens).sum(),
            cached_tokens: self.engines.iter().map(|e| e.cached_tokens).sum(),
            attempts: first_tries,
            records: self.records,
        }
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrive(request) => {
                let server = self.choose();
                self.queues[server].push_back(request);
                self.push(now + self.timeout, Event::Deadline(server, request));
                self.work(now, server);
            }
            Event::Step(server) => {
                for token in self.engines[server].end_step() {
                    let record = &mut self.records[token.name as usize];
                    record.first.get_or_insert(now);
                    if token.last {
                        record.whole = Some(now);
                    }
                }
                self.work(now, server);
            }
            Event::Report => {
                for server in 0..self.engines.len() {
                    self.reports[server] =
                        self.engines[server].running() + self.queues[server].len();
                }
                self.push(now + REPORT_INTERVAL, Event::Report);
            }
            Event::Deadline(server, request) => {
                if self.records[request].whole.is_none() {
                    self.records[request].refused = Some(now);
                    self.queues[server].retain(|r| *r != request);
                    self.engines[server].cancel(request as u64);
                    self.work(now, server);
                }
            }
        }
    }

    fn choose(&mut self) -> usize {
        match self.choice {
            Choice::RoundRobin => {
                self.turn += 1;
                self.turn % self.engines.len()
            }
            Choice::LeastRequests => {
                let least = self.reports.iter().min().copied().unwrap_or(0);
                let ties: Vec<usize> = (0..self.reports.len())
                    .filter(|s| self.reports[*s] == least)
                    .collect();
                ties[self.rng.random_range(0..ties.len())]
            }
        }
    }

    fn work(&mut self, now: Instant, server: usize) {
        while self.engines[server].has_room() {
            let Some(request) = self.queues[server].pop_front() else {
                break;
            };
            let record = &self.records[request];
            let sequence = Sequence {
                session: record.session,
                shared: SHARED_TOKENS,
                own: OWN_TOKENS,
                left: record.tokens,
            };
            self.engines[server].join(request as u64, sequence);
        }
        if let Some(length) = self.engines[server].begin_step() {
            self.push(now + length, Event::Step(server));
        }
    }
}
