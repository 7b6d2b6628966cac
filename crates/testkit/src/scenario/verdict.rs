//! The invariants, checked from outside.
//!
//! The caller's book says what it was told; the stand-ins' books say what ran. Versions are looked at
//! all the while.

use std::collections::BTreeMap;

use eelgrassdyke_core::wire::refusal::RunStatus;
use eelgrassdyke_standin::book::Book;
use eelgrassdyke_standin::engine;
use serde_json::Value;

use crate::caller::{Ask, Told};
use crate::errors::{Error, Result};

/// One request and what was told.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The request.
    pub ask: Ask,
    /// What was told.
    pub told: Told,
}

/// The caller's book, and what was seen of versions.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: Vec<Entry>,
    /// Highest version that an operator was told is accepted.
    pub accepted: u64,
    versions: BTreeMap<(String, String, u64), u64>,
    served: BTreeMap<(String, String), u64>,
    reverted: Option<String>,
}

impl Ledger {
    /// Notes what was told.
    pub fn note(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Whole answers told.
    pub fn whole(&self) -> u64 {
        let whole = |entry: &&Entry| matches!(entry.told, Told::Answer { status: 200, .. });
        self.entries.iter().filter(whole).count() as u64
    }

    /// Notes a version in force; it may never go down in one life, nor in one that serves.
    pub fn note_version(
        &mut self,
        process: &str,
        role: &str,
        incarnation: u64,
        version: u64,
        ready: bool,
    ) -> Result<()> {
        let life = (process.to_owned(), role.to_owned(), incarnation);
        let held = self.versions.entry(life).or_default();
        let mut before = *held;
        *held = version.max(before);
        if ready {
            let served = self
                .served
                .entry((process.to_owned(), role.to_owned()))
                .or_default();
            before = before.max(*served);
            *served = version.max(*served);
        }
        if version >= before {
            return Ok(());
        }
        let what = format!("{process} {role} went back from version {before} to {version}");
        self.reverted = Some(what.clone());
        Err(Error::Invariant(what))
    }

    /// Checks what callers were told against what ran.
    pub fn check(&self, orders: &[Book]) -> Result<()> {
        if let Some(what) = &self.reverted {
            return Err(Error::Invariant(what.clone()));
        }
        let mut ran: BTreeMap<&str, u64> = BTreeMap::new();
        for book in orders {
            for (key, times) in &book.keys {
                *ran.entry(key).or_default() += times;
            }
        }
        for (key, times) in &ran {
            if *times > 1 {
                return Err(Error::Invariant(format!("key {key} ran {times} times")));
            }
        }
        self.check_keys(&ran)?;
        self.check_answers()
    }

    /// A key that was answered ran; a key of which only `run: no` was ever said did not.
    fn check_keys(&self, ran: &BTreeMap<&str, u64>) -> Result<()> {
        let mut told: BTreeMap<&str, Vec<&Told>> = BTreeMap::new();
        for entry in &self.entries {
            if let Some(key) = &entry.ask.key {
                told.entry(key).or_default().push(&entry.told);
            }
        }
        for (key, told) in told {
            let times = ran.get(key).copied().unwrap_or_default();
            let answered = told
                .iter()
                .any(|t| matches!(t, Told::Answer { status: 200, .. }));
            let not_run = |t: &&&Told| {
                matches!(
                    t,
                    Told::Refusal {
                        run: RunStatus::No,
                        ..
                    }
                )
            };
            let never = told.iter().filter(not_run).count() == told.len();
            if answered && times != 1 {
                return Err(Error::Invariant(format!(
                    "key {key} was answered, ran {times} times"
                )));
            }
            if never && times != 0 {
                return Err(Error::Invariant(format!("key {key} ran, told {told:?}")));
            }
            check_same(key, &told)?;
        }
        Ok(())
    }

    /// Every streamed answer is the engine's own, byte by byte.
    fn check_answers(&self) -> Result<()> {
        for entry in &self.entries {
            let Told::Answer { status: 200, body } = &entry.told else {
                continue;
            };
            let call: Value = serde_json::from_str(&entry.ask.body).unwrap_or_default();
            let (Some(prompt), Some(tokens)) =
                (call["prompt"].as_str(), call["max_tokens"].as_u64())
            else {
                continue;
            };
            if *body != engine::expected_stream("draft", prompt, tokens) {
                let what = format!("the answer to {prompt:?} is not whole: {body:?}");
                return Err(Error::Invariant(what));
            }
        }
        Ok(())
    }
}

/// Each order that an engine carried out has a higher fence than the one before.
pub fn check_fences(engines: &[Book]) -> Result<()> {
    for book in engines {
        let mut last = (0, 0);
        for (order, text) in &book.orders {
            let fence = fence(text);
            if fence <= last {
                let what = format!("{order} carried fence {text} after {last:?}");
                return Err(Error::Invariant(what));
            }
            last = fence;
        }
    }
    Ok(())
}

/// Term and sequence of a fence as an engine gets it; zeros when it has none.
fn fence(text: &str) -> (u64, u64) {
    let (term, sequence) = text.split_once('.').unwrap_or_default();
    (term.parse().unwrap_or(0), sequence.parse().unwrap_or(0))
}

/// Every whole answer under one key is the same.
fn check_same(key: &str, told: &[&Told]) -> Result<()> {
    let mut first = None;
    for told in told {
        let Told::Answer { status: 200, body } = told else {
            continue;
        };
        let held = first.get_or_insert(body);
        if *held != body {
            let what = format!("key {key} got two answers: {held:?} and {body:?}");
            return Err(Error::Invariant(what));
        }
    }
    Ok(())
}
