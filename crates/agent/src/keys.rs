//! Remembers which idempotency keys this incarnation of the agent has run.
//!
//! A claim is granted to one incarnation of an agent, so the key table of that incarnation decides
//! whether the claimed request ran. A probe for a key whose dispatch has not arrived seals the key:
//! from then on a dispatch under that claim, or an earlier one, is refused.
//!
//! The table is bounded, and the absence of an evicted key proves nothing: for a key that may have
//! been evicted the agent never reports that it did not run. Sealed keys are never evicted; once
//! the limit of sealed keys is reached, a probe seals no further key and reports its status as
//! unknown.

use std::collections::{BTreeMap, VecDeque};

use eelgrassdyke_core::time::WallTime;
use eelgrassdyke_core::wire::claim::{ClaimOutcome, KeyStatus, TeamKey};

/// State of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Claims up to this number are refused, as promised in a probe response.
    Sealed(u32),
    /// Claims up to this number were refused before they ran.
    Released(u32),
    /// Queued or running.
    Running,
    /// Ran, with this outcome.
    Done(ClaimOutcome),
}

/// Whether a claimed dispatch may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may run.
    Granted,
    /// Its claim was sealed or refused: it did not run and never will.
    Sealed,
    /// The key is running or ran, or may have run and been evicted.
    Duplicate,
}

/// The idempotency keys of one incarnation.
#[derive(Clone, Debug)]
pub struct KeyTable {
    states: BTreeMap<TeamKey, State>,
    /// Done and released keys, the next one to evict first.
    eviction_order: VecDeque<TeamKey>,
    sealed_count: usize,
    capacity: usize,
    /// Latest date of an evicted key, among keys that carry a date.
    latest_evicted: Option<WallTime>,
    /// Whether a key without a date was evicted.
    evicted_undated: bool,
}

impl KeyTable {
    /// Creates a table of at most `capacity` finished keys, oldest evicted first, and at most
    /// `capacity` sealed ones.
    pub fn new(capacity: usize) -> Self {
        Self {
            states: BTreeMap::new(),
            eviction_order: VecDeque::new(),
            sealed_count: 0,
            capacity,
            latest_evicted: None,
            evicted_undated: false,
        }
    }

    /// Decides whether a dispatch under `claim` may run, and marks its key as running if so.
    pub fn admit(&mut self, team_key: &TeamKey, claim: u32) -> Admission {
        match self.states.get(team_key) {
            Some(State::Sealed(refused) | State::Released(refused)) if claim <= *refused => {
                return Admission::Sealed;
            }
            Some(State::Running | State::Done(_)) => return Admission::Duplicate,
            Some(State::Sealed(_)) => self.sealed_count -= 1,
            Some(State::Released(_)) => {}
            // A dated key that may have been evicted: the dispatch may be a second copy of one that
            // ran.
            None if team_key.key.date().is_some() && self.may_be_evicted(team_key) => {
                return Admission::Duplicate;
            }
            None => {}
        }
        self.states.insert(team_key.clone(), State::Running);
        Admission::Granted
    }

    /// Records that a dispatch was refused before it was forwarded.
    ///
    /// A key that ran under an earlier dispatch keeps its outcome.
    pub fn release(&mut self, team_key: &TeamKey, claim: u32) {
        match self.states.get_mut(team_key) {
            Some(State::Sealed(refused) | State::Released(refused)) => {
                *refused = claim.max(*refused);
            }
            Some(State::Done(_)) => {}
            Some(State::Running) | None => {
                self.states.insert(team_key.clone(), State::Released(claim));
                self.evict_oldest(team_key);
            }
        }
    }

    /// Records the outcome of an admitted dispatch.
    pub fn finish(&mut self, team_key: &TeamKey, outcome: ClaimOutcome) {
        self.states.insert(team_key.clone(), State::Done(outcome));
        self.evict_oldest(team_key);
    }

    /// Returns the status of a key, and seals the key if its dispatch has not arrived.
    pub fn probe(&mut self, team_key: &TeamKey, claim: u32) -> KeyStatus {
        let refused = match self.states.get(team_key) {
            Some(State::Running) => return KeyStatus::Running,
            Some(State::Done(outcome)) => return KeyStatus::Done(outcome.clone()),
            Some(State::Sealed(refused)) => {
                let refused = claim.max(*refused);
                self.states.insert(team_key.clone(), State::Sealed(refused));
                return KeyStatus::Sealed;
            }
            Some(State::Released(refused)) => *refused,
            None if self.may_be_evicted(team_key) => return KeyStatus::Unknown,
            None => 0,
        };
        if self.sealed_count >= self.capacity {
            return KeyStatus::Unknown;
        }
        self.sealed_count += 1;
        self.states
            .insert(team_key.clone(), State::Sealed(claim.max(refused)));
        KeyStatus::Sealed
    }

    /// Whether a key that is not in the table may have been evicted from it.
    fn may_be_evicted(&self, team_key: &TeamKey) -> bool {
        match team_key.key.date() {
            Some(date) => Some(date) <= self.latest_evicted,
            None => self.evicted_undated,
        }
    }

    /// Appends a finished key to the eviction order, and evicts the oldest keys above the capacity.
    fn evict_oldest(&mut self, team_key: &TeamKey) {
        self.eviction_order.push_back(team_key.clone());
        while self.eviction_order.len() > self.capacity {
            let Some(oldest) = self.eviction_order.pop_front() else {
                return;
            };
            let state = self.states.get(&oldest);
            if !matches!(state, Some(State::Done(_) | State::Released(_))) {
                continue;
            }
            self.states.remove(&oldest);
            match oldest.key.date() {
                Some(date) => self.latest_evicted = self.latest_evicted.max(Some(date)),
                None => self.evicted_undated = true,
            }
        }
    }
}
