//! One attempt between its arrival at the agent and its end.

use std::time::Duration;

use eelgrassdyke_core::id::Ticket;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::claim::{ClaimOutcome, TeamKey};
use eelgrassdyke_core::wire::dispatch::{Call, Dispatch, ResponseHead};
use serde::Deserialize;

use crate::events::Splitter;
use crate::pace::Reading;
use crate::queue::{Item, Turn};

/// Largest answer whose outcome or usage is looked at, in bytes.
pub const KEPT_BYTES_MAX: usize = 16 << 10;

/// Time after its deadline at which a started attempt is aborted.
const OVERTIME: Duration = Duration::from_secs(1);

/// Time after its deadline at which a started attempt under a claim is aborted.
const OVERTIME_CLAIMED: Duration = Duration::from_secs(30);

/// One attempt between its arrival and its end.
#[derive(Clone, Debug)]
pub struct Work {
    /// What the entry sent.
    pub dispatch: Dispatch,
    /// When it arrived.
    pub since: Instant,
    /// When its answer is due.
    pub deadline: Instant,
    /// When it was passed on to the back end, and by which turn.
    pub started: Option<(Instant, Turn)>,
    /// When the first part of the answer came.
    pub first: Option<Instant>,
    /// Head of the answer.
    pub head: Option<ResponseHead>,
    /// Body of the answer, up to a little over [`KEPT_BYTES_MAX`].
    pub body: Vec<u8>,
    /// Splits a streamed answer into events.
    pub splitter: Splitter,
    /// Whether the answer is streamed.
    pub streams: bool,
    /// Events passed on, the closing one included.
    pub events: u64,
    /// Tokens expected that have not come yet.
    pub left: u64,
}

impl Work {
    /// An attempt that arrives now.
    pub fn new(now: Instant, dispatch: Dispatch) -> Self {
        Self {
            since: now,
            deadline: now + Duration::from_micros(dispatch.time_left_us),
            started: None,
            first: None,
            head: None,
            body: Vec::new(),
            splitter: Splitter::default(),
            streams: false,
            events: 0,
            left: 0,
            dispatch,
        }
    }

    /// The key under which it runs, and the number of the claim.
    pub fn claim(&self) -> Option<(TeamKey, u32)> {
        let claim = self.dispatch.claim.as_ref()?;
        let name = TeamKey {
            team: self.dispatch.team.clone(),
            key: claim.key.clone(),
        };
        Some((name, claim.number))
    }

    /// Its place in the queue.
    pub fn item(&self, ticket: Ticket) -> Item {
        Item {
            ticket,
            team: self.dispatch.team.clone(),
            priority: self.dispatch.priority,
            cost: self.cost(),
            deadline: self.deadline,
        }
    }

    /// Tokens that are expected of it and that it doesn't have yet.
    pub fn cost(&self) -> u64 {
        let dispatch = &self.dispatch;
        dispatch
            .expected_tokens
            .saturating_sub(dispatch.resume_after)
            .max(1)
    }

    /// When it is aborted if it has not ended.
    pub fn limit(&self) -> Instant {
        match self.dispatch.claim {
            Some(_) => self.deadline + OVERTIME_CLAIMED,
            None => self.deadline + OVERTIME,
        }
    }

    /// Keeps the start of the body.
    pub fn keep(&mut self, data: &[u8]) {
        if self.body.len() <= KEPT_BYTES_MAX {
            self.body.extend_from_slice(data);
        }
    }

    /// The outcome of a claimed attempt whose answer is whole.
    pub fn outcome(&self) -> ClaimOutcome {
        match &self.head {
            Some(head) if self.body.len() <= KEPT_BYTES_MAX => ClaimOutcome::Answered {
                head: head.clone(),
                body: self.body.clone(),
            },
            _ => ClaimOutcome::ResponseLost,
        }
    }

    /// What the whole answer says of its cost.
    pub fn usage(&self) -> Usage {
        let text = match self.streams {
            true => self.splitter.last(),
            false => &self.body,
        };
        let report: Report = serde_json::from_slice(text).unwrap_or_default();
        let usage = report.usage.unwrap_or_default();
        let counted = match self.streams {
            true => Some(self.events.saturating_sub(1)),
            false => usage.completion_tokens,
        };
        Usage {
            tokens: counted.unwrap_or_else(|| self.cost()),
            cached: usage
                .prompt_tokens_details
                .map(|details| details.cached_tokens),
        }
    }

    /// What the ended attempt tells about the back end's pace.
    pub fn reading(&self, now: Instant, tokens: u64) -> Option<Reading> {
        let (started, turn) = self.started.as_ref()?;
        let first = self.first.unwrap_or(now);
        Some(Reading {
            first: first.since(*started),
            whole: now.since(*started),
            expected: turn.item.cost,
            tokens,
        })
    }

    /// The call as the back end gets it.
    pub fn backend_call(&self) -> Call {
        let dispatch = &self.dispatch;
        let mut call = dispatch.call.clone();
        call.headers.push((
            "x-eelgrassdyke-priority".to_owned(),
            dispatch.priority.to_string(),
        ));
        if dispatch.resume_after > 0 {
            let after = dispatch.resume_after.to_string();
            call.headers
                .push(("x-eelgrassdyke-resume-after".to_owned(), after));
        }
        call
    }
}

/// What an answer cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Tokens generated; 1 for a plain call.
    pub tokens: u64,
    /// Tokens of the prompt found in the engine's cache, when it says so.
    pub cached: Option<u64>,
}

/// The part of a completions answer that tells its cost.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Report {
    usage: Option<ReportedUsage>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ReportedUsage {
    completion_tokens: Option<u64>,
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct PromptDetails {
    cached_tokens: u64,
}
