//! What a stand-in ran, for comparison with what callers were told.

use std::cell::RefCell;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What a stand-in ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Book {
    /// Calls begun.
    pub begun: u64,
    /// Calls that ran to their end.
    pub finished: u64,
    /// Calls cancelled in the middle.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Orders carried out, with their fence.
    pub orders: Vec<(String, String)>,
    /// Orders refused for their fence.
    pub fenced: u64,
    /// How often each idempotency key ran.
    pub keys: BTreeMap<String, u64>,
}

/// A book that several tasks write.
#[derive(Debug, Default)]
pub struct Shared(RefCell<Book>);

impl Shared {
    /// Changes the book.
    pub fn write(&self, change: impl FnOnce(&mut Book)) {
        change(&mut self.0.borrow_mut());
    }

    /// The book as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string(&*self.0.borrow()).unwrap_or_default()
    }
}
