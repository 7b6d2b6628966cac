//! Remembers which keys this life of the agent has run.
//!
//! A claim is granted to one agent life, so what this life remembers settles whether the claimed
//! request ran. A key that is asked about before its dispatch arrived is sealed: a dispatch under
//! that claim, or an earlier one, is refused from then on.

use std::collections::{BTreeMap, VecDeque};

use eelgrassdyke_core::wire::claim::{Name, Outcome, Status};

/// What is remembered of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Claims up to this one are refused.
    Sealed(u32),
    /// Waits or runs.
    Running,
    /// Ran.
    Done(Outcome),
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
    states: BTreeMap<Name, State>,
    finished: VecDeque<Name>,
    most: usize,
}

impl Keys {
    /// Remembers at most `most` finished keys, oldest forgotten first.
    pub fn new(most: usize) -> Self {
        Self {
            states: BTreeMap::new(),
            finished: VecDeque::new(),
            most,
        }
    }

    /// Takes in a dispatch under `claim`.
    pub fn admit(&mut self, name: &Name, claim: u32) -> Admission {
        match self.states.get(name) {
            Some(State::Sealed(sealed)) if claim <= *sealed => Admission::Sealed,
            None | Some(State::Sealed(_)) => {
                self.states.insert(name.clone(), State::Running);
                Admission::Granted
            }
            Some(State::Running | State::Done(_)) => Admission::Taken,
        }
    }

    /// Notes that an admitted dispatch was not passed on and won't be.
    pub fn release(&mut self, name: &Name, claim: u32) {
        self.states.insert(name.clone(), State::Sealed(claim));
        self.forget(name);
    }

    /// Notes how an admitted dispatch ended.
    pub fn finish(&mut self, name: &Name, outcome: Outcome) {
        self.states.insert(name.clone(), State::Done(outcome));
        self.forget(name);
    }

    /// Answers what became of a key, and seals it if its dispatch never arrived.
    pub fn probe(&mut self, name: &Name, claim: u32) -> Status {
        match self.states.get_mut(name) {
            Some(State::Running) => Status::Running,
            Some(State::Done(outcome)) => Status::Done(outcome.clone()),
            Some(State::Sealed(sealed)) => {
                *sealed = claim.max(*sealed);
                Status::Sealed
            }
            None => {
                self.states.insert(name.clone(), State::Sealed(claim));
                self.forget(name);
                Status::Sealed
            }
        }
    }

    /// Puts a finished key last in the order of forgetting.
    fn forget(&mut self, name: &Name) {
        self.finished.push_back(name.clone());
        while self.finished.len() > self.most {
            let Some(oldest) = self.finished.pop_front() else {
                return;
            };
            if self.states.get(&oldest) != Some(&State::Running) {
                self.states.remove(&oldest);
            }
        }
    }
}
