//! A model engine that batches continuously and caches the beginnings of prompts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How an engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Answers in one batch at most.
    pub slots: usize,
    /// Time of a step, whatever the batch.
    pub step: Duration,
    /// Added to a step by each answer in the batch.
    pub step_per_answer: Duration,
    /// Added to a step by each prompt token that is not cached.
    pub prompt_token: Duration,
    /// Sessions whose common beginning the cache holds.
    pub cached_sessions: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 16,
            step: Duration::from_millis(20),
            step_per_answer: Duration::from_micros(100),
            prompt_token: Duration::from_micros(40),
            cached_sessions: 50,
        }
    }
}

/// An answer in the batch.
#[derive(Clone, Copy, Debug)]
pub struct Sequence {
    /// The session whose prompts begin alike.
    pub session: u64,
    /// Prompt tokens that all prompts of the session share.
    pub shared: u64,
    /// Prompt tokens of its own.
    pub own: u64,
    /// Tokens of the answer that are still to come.
    pub left: u64,
}

/// What a step did for one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// The answer.
    pub name: u64,
    /// Whether it is its last.
    pub last: bool,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    options: Options,
    batch: BTreeMap<u64, Sequence>,
    joined: Vec<u64>,
    cache: VecDeque<u64>,
    /// Whether a step is under way.
    pub is_stepping: bool,
    /// Prompt tokens read, and those of them that were cached.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
}

impl Engine {
    /// An idle engine.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            batch: BTreeMap::new(),
            joined: Vec::new(),
            cache: VecDeque::new(),
            is_stepping: false,
            prompt_tokens: 0,
            cached_tokens: 0,
        }
    }

    /// Answers in the batch.
    pub fn running(&self) -> usize {
        self.batch.len()
    }

    /// Whether another answer fits into the batch.
    pub fn has_room(&self) -> bool {
        self.batch.len() < self.options.slots
    }

    /// Puts an answer into the batch from the next step on.
    pub fn join(&mut self, name: u64, sequence: Sequence) {
        self.batch.insert(name, sequence);
        self.joined.push(name);
    }

    /// Takes an answer out of the batch.
    pub fn cancel(&mut self, name: u64) -> bool {
        self.batch.remove(&name).is_some()
    }

    /// Begins a step over the present batch; gives the time that it takes.
    pub fn begin_step(&mut self) -> Option<Duration> {
        if self.is_stepping || self.batch.is_empty() {
            return None;
        }
        self.is_stepping = true;
        let mut uncached = 0;
        for name in std::mem::take(&mut self.joined) {
            if let Some(sequence) = self.batch.get(&name).copied() {
                uncached += self.read_prompt(sequence);
            }
        }
        let answers = self.batch.len() as u32;
        let prompts = self.options.prompt_token * uncached as u32;
        Some(self.options.step + self.options.step_per_answer * answers + prompts)
    }

    /// Ends the step: each answer of the batch that took part has one more token.
    pub fn end_step(&mut self) -> Vec<Token> {
        self.is_stepping = false;
        let mut tokens = Vec::new();
        for (name, sequence) in &mut self.batch {
            if self.joined.contains(name) {
                continue;
            }
            sequence.left = sequence.left.saturating_sub(1);
            tokens.push(Token {
                name: *name,
                last: sequence.left == 0,
            });
        }
        self.batch.retain(|_, sequence| sequence.left > 0);
        tokens
    }

    /// Reads a prompt; gives its tokens that were not cached.
    fn read_prompt(&mut self, sequence: Sequence) -> u64 {
        let all = sequence.shared + sequence.own;
        self.prompt_tokens += all;
        let found = self.cache.iter().position(|s| *s == sequence.session);
        if let Some(at) = found {
            self.cache.remove(at);
            self.cached_tokens += sequence.shared;
        }
        self.cache.push_back(sequence.session);
        if self.cache.len() > self.options.cached_sessions {
            self.cache.pop_front();
        }
        match found {
            Some(_) => sequence.own,
            None => all,
        }
    }
}
