//! The log of requests and orders that a stand-in executed.
//!
//! A stand-in serves it as JSON on `/book`; tests compare it with the responses that callers got.

use std::cell::RefCell;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counters and orders of one stand-in since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionLog {
    /// Requests started.
    #[serde(rename = "begun")]
    pub started: u64,
    /// Requests that ran to completion.
    pub finished: u64,
    /// Requests cancelled while they ran.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Orders executed, as JSON, each with its fencing token.
    pub orders: Vec<(String, String)>,
    /// Orders refused because of a stale fencing token.
    pub fenced: u64,
    /// Number of executions by idempotency key.
    #[serde(rename = "keys")]
    pub executions_by_key: BTreeMap<String, u64>,
}

/// An execution log that several tasks write.
#[derive(Debug, Default)]
pub struct SharedExecutionLog(RefCell<ExecutionLog>);

impl SharedExecutionLog {
    /// Applies a change to the log.
    pub fn update(&self, change: impl FnOnce(&mut ExecutionLog)) {
        change(&mut self.0.borrow_mut());
    }

    /// The log as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&*self.0.borrow()).unwrap_or_default()
    }
}
