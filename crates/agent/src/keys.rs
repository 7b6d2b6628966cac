//! Remembers which keys this life of the agent has run.
//!
//! A claim is granted to one agent life, so what this life remembers settles whether the claimed
//! request ran. A key that is asked about before its dispatch arrived is sealed: a dispatch under
//! that claim, or an earlier one, is refused from then on.
//!
//! Memory is bounded, and what was forgotten proves nothing: of a key that may have been forgotten
//! the answer is never that it did not run. Sealed keys are never forgotten; when no more fit, a key
//! that never arrived is left open and its state unknown.

use std::collections::{BTreeMap, VecDeque};

use eelgrassdyke_core::time::WallTime;
use eelgrassdyke_core::wire::claim::{ClaimOutcome, KeyStatus, TeamKey};

/// What is remembered of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Claims up to this one are refused, as promised to an entry.
    Sealed(u32),
    /// Claims up to this one were refused before they ran.
    Released(u32),
    /// Waits or runs.
    Running,
    /// Ran.
    Done(ClaimOutcome),
}

/// Whether a claimed dispatch may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is the first under this key.
    Granted,
    /// Its claim was sealed; it never ran and never will.
    Sealed,
    /// The key runs or ran.
    Taken,
}

/// Keys of one agent life.
#[derive(Clone, Debug)]
pub struct Keys {
    states: BTreeMap<TeamKey, State>,
    finished: VecDeque<TeamKey>,
    sealed: usize,
    most: usize,
    /// Latest date of a forgotten key that carries one.
    floor: Option<WallTime>,
    /// Whether a key without a date was forgotten.
    undated_forgotten: bool,
}

impl Keys {
    /// Remembers at most `most` finished keys, oldest forgotten first, and `most` sealed ones.
    pub fn new(most: usize) -> Self {
        Self {
            states: BTreeMap::new(),
            finished: VecDeque::new(),
            sealed: 0,
            most,
            floor: None,
            undated_forgotten: false,
        }
    }

    /// Takes in a dispatch under `claim`.
    pub fn admit(&mut self, name: &TeamKey, claim: u32) -> Admission {
        match self.states.get(name) {
            Some(State::Sealed(refused) | State::Released(refused)) if claim <= *refused => {
                return Admission::Sealed;
            }
            Some(State::Running | State::Done(_)) => return Admission::Taken,
            Some(State::Sealed(_)) => self.sealed -= 1,
            Some(State::Released(_)) => {}
            // A dated key that may have been forgotten may be a second copy of one that ran.
            None if name.key.date().is_some() && self.may_have_forgotten(name) => {
                return Admission::Taken;
            }
            None => {}
        }
        self.states.insert(name.clone(), State::Running);
        Admission::Granted
    }

    /// Notes that a dispatch was not passed on and won't be.
    ///
    /// A key that runs or ran under an earlier dispatch stays as it is.
    pub fn release(&mut self, name: &TeamKey, claim: u32) {
        match self.states.get_mut(name) {
            Some(State::Sealed(refused) | State::Released(refused)) => {
                *refused = claim.max(*refused);
            }
            Some(State::Done(_)) => {}
            Some(State::Running) | None => {
                self.states.insert(name.clone(), State::Released(claim));
                self.forget_oldest(name);
            }
        }
    }

    /// Notes how an admitted dispatch ended.
    pub fn finish(&mut self, name: &TeamKey, outcome: ClaimOutcome) {
        self.states.insert(name.clone(), State::Done(outcome));
        self.forget_oldest(name);
    }

    /// Answers what became of a key, and seals it if its dispatch never arrived.
    pub fn probe(&mut self, name: &TeamKey, claim: u32) -> KeyStatus {
        let refused = match self.states.get(name) {
            Some(State::Running) => return KeyStatus::Running,
            Some(State::Done(outcome)) => return KeyStatus::Done(outcome.clone()),
            Some(State::Sealed(refused)) => {
                let refused = claim.max(*refused);
                self.states.insert(name.clone(), State::Sealed(refused));
                return KeyStatus::Sealed;
            }
            Some(State::Released(refused)) => *refused,
            None if self.may_have_forgotten(name) => return KeyStatus::WrongIncarnation,
            None => 0,
        };
        if self.sealed >= self.most {
            return KeyStatus::WrongIncarnation;
        }
        self.sealed += 1;
        self.states
            .insert(name.clone(), State::Sealed(claim.max(refused)));
        KeyStatus::Sealed
    }

    /// Whether a key without a state may have had one.
    fn may_have_forgotten(&self, name: &TeamKey) -> bool {
        match name.key.date() {
            Some(date) => Some(date) <= self.floor,
            None => self.undated_forgotten,
        }
    }

    /// Puts a finished key last in the order of forgetting, and forgets the first if too many.
    fn forget_oldest(&mut self, name: &TeamKey) {
        self.finished.push_back(name.clone());
        while self.finished.len() > self.most {
            let Some(oldest) = self.finished.pop_front() else {
                return;
            };
            let state = self.states.get(&oldest);
            if !matches!(state, Some(State::Done(_) | State::Released(_))) {
                continue;
            }
            self.states.remove(&oldest);
            match oldest.key.date() {
                Some(date) => self.floor = self.floor.max(Some(date)),
                None => self.undated_forgotten = true,
            }
        }
    }
}
