//! Remembers which keys this life of the agent has run.
//!
//! A claim is granted to one agent life, so what this life remembers settles whether the claimed
//! request ran. A key that is asked about before its dispatch arrived is sealed: a dispatch under
//! that claim, or an earlier one, is refused from then on.
//!
//! Outcomes take room, so only the latest are kept. Of an older key a digest stays until its window
//! has closed: such a key neither runs again nor is it said not to have run.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::claim::{Name, Outcome, Status};

/// Hexadecimal digits of a digest that are kept.
const MARK_DIGITS: usize = 16;

/// Keys of which a digest is kept for each one whose outcome is kept.
const MARKS_PER_KEY: usize = 10;

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
    /// The key runs, ran, or may have run.
    Taken,
    /// No more keys can be remembered, so none can be admitted.
    Full,
}

/// Keys of one agent life.
#[derive(Clone, Debug)]
pub struct Keys {
    states: BTreeMap<Name, State>,
    finished: VecDeque<Name>,
    most: usize,
    window: Duration,
    marks: BTreeSet<u64>,
    mark_ends: VecDeque<(Instant, u64)>,
}

impl Keys {
    /// Remembers at most `most` finished keys, oldest forgotten first, and that they were there for
    /// `window`.
    pub fn new(most: usize, window: Duration) -> Self {
        Self {
            states: BTreeMap::new(),
            finished: VecDeque::new(),
            most,
            window,
            marks: BTreeSet::new(),
            mark_ends: VecDeque::new(),
        }
    }

    /// Takes in a dispatch under `claim`.
    pub fn admit(&mut self, now: Instant, name: &Name, claim: u32) -> Admission {
        self.drop_marks(now);
        match self.states.get(name) {
            Some(State::Sealed(sealed)) if claim <= *sealed => return Admission::Sealed,
            Some(State::Running | State::Done(_)) => return Admission::Taken,
            Some(State::Sealed(_)) => {}
            None if self.marks.contains(&mark(name)) => return Admission::Taken,
            None if self.is_full() => return Admission::Full,
            None => {}
        }
        self.states.insert(name.clone(), State::Running);
        Admission::Granted
    }

    /// Seals a key against a dispatch that is refused on arrival; tells whether that proves that
    /// it won't run.
    pub fn seal(&mut self, now: Instant, name: &Name, claim: u32) -> bool {
        self.probe(now, name, claim) == Status::Sealed
    }

    /// Notes that an admitted dispatch was not passed on and won't be.
    pub fn release(&mut self, now: Instant, name: &Name, claim: u32) {
        self.states.insert(name.clone(), State::Sealed(claim));
        self.forget(now, name);
    }

    /// Notes how an admitted dispatch ended.
    pub fn finish(&mut self, now: Instant, name: &Name, outcome: Outcome) {
        self.states.insert(name.clone(), State::Done(outcome));
        self.forget(now, name);
    }

    /// Answers what became of a key, and seals it if its dispatch never arrived.
    pub fn probe(&mut self, now: Instant, name: &Name, claim: u32) -> Status {
        self.drop_marks(now);
        let unsure = self.is_full() || self.marks.contains(&mark(name));
        match self.states.get_mut(name) {
            Some(State::Running) => Status::Running,
            Some(State::Done(outcome)) => Status::Done(outcome.clone()),
            Some(State::Sealed(sealed)) => {
                *sealed = claim.max(*sealed);
                Status::Sealed
            }
            None if unsure => Status::Gone,
            None => {
                self.states.insert(name.clone(), State::Sealed(claim));
                self.forget(now, name);
                Status::Sealed
            }
        }
    }

    fn is_full(&self) -> bool {
        self.marks.len() >= self.most.saturating_mul(MARKS_PER_KEY)
    }

    /// Puts a finished key last in the order of forgetting.
    fn forget(&mut self, now: Instant, name: &Name) {
        self.finished.push_back(name.clone());
        while self.finished.len() > self.most {
            let Some(oldest) = self.finished.pop_front() else {
                return;
            };
            if matches!(self.states.get(&oldest), None | Some(State::Running)) {
                continue;
            }
            self.states.remove(&oldest);
            let mark = mark(&oldest);
            if self.marks.insert(mark) {
                self.mark_ends.push_back((now + self.window, mark));
            }
        }
    }

    /// Forgets keys whose window has closed.
    fn drop_marks(&mut self, now: Instant) {
        while let Some((ends, mark)) = self.mark_ends.front().copied() {
            if ends > now {
                return;
            }
            self.mark_ends.pop_front();
            self.marks.remove(&mark);
        }
    }
}

/// The first bits of a key's digest; two keys that share them are both taken for seen.
fn mark(name: &Name) -> u64 {
    let digest = Sha256::of(format!("{}\n{}", name.team, name.key).as_bytes()).to_string();
    u64::from_str_radix(&digest[..MARK_DIGITS], 16).unwrap_or_default()
}
