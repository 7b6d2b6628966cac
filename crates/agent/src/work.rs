//! State of one attempt from its arrival at the agent to its end.

use std::time::Duration;

use eelgrassdyke_core::id::Ticket;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::claim::{ClaimOutcome, TeamKey};
use eelgrassdyke_core::wire::dispatch::{Call, Dispatch, ResponseHead};
use serde::Deserialize;

use crate::events::EventSplitter;
use crate::pace::AttemptSample;
use crate::queue::{DequeuedItem, QueueItem};

/// Maximum size in bytes of a response body from which the claim outcome or the usage is read.
pub const BUFFERED_BODY_BYTES_MAX: usize = 16 << 10;

/// Time from the deadline of a running attempt to its abort.
const ABORT_GRACE: Duration = Duration::from_secs(1);

/// Time from the deadline of a running attempt under a claim to its abort.
const CLAIMED_ABORT_GRACE: Duration = Duration::from_secs(30);

/// One queued or running attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The dispatch from the entry.
    pub dispatch: Dispatch,
    /// When the dispatch arrived.
    pub arrived_at: Instant,
    /// The deadline of the response.
    pub deadline: Instant,
    /// When the call was forwarded to the server, and the queue item that it had.
    pub started: Option<(Instant, DequeuedItem)>,
    /// When the first event or, if not streamed, the first part of the response body arrived.
    pub first_token_at: Option<Instant>,
    /// The response head.
    pub head: Option<ResponseHead>,
    /// The response body, truncated a little above [`BUFFERED_BODY_BYTES_MAX`].
    pub body: Vec<u8>,
    /// Splits a streamed response into events.
    pub splitter: EventSplitter,
    /// Whether the response is a stream of events.
    pub is_stream: bool,
    /// Number of events relayed to the entry, including the one that ends the stream.
    pub event_count: u64,
    /// Expected tokens that have not been generated yet.
    pub remaining_tokens: u64,
}

impl Attempt {
    /// Creates the state of an attempt that arrives at `now`.
    pub fn new(now: Instant, dispatch: Dispatch) -> Self {
        Self {
            arrived_at: now,
            deadline: now + Duration::from_micros(dispatch.time_left_us),
            started: None,
            first_token_at: None,
            head: None,
            body: Vec::new(),
            splitter: EventSplitter::default(),
            is_stream: false,
            event_count: 0,
            remaining_tokens: 0,
            dispatch,
        }
    }

    /// The idempotency key of a claimed attempt and the number of its claim.
    pub fn claim(&self) -> Option<(TeamKey, u32)> {
        let claim = self.dispatch.claim.as_ref()?;
        let team_key = TeamKey {
            team: self.dispatch.team.clone(),
            key: claim.key.clone(),
        };
        Some((team_key, claim.number))
    }

    /// The attempt as an item of the queue.
    pub fn queue_item(&self, ticket: Ticket) -> QueueItem {
        QueueItem {
            ticket,
            team: self.dispatch.team.clone(),
            priority: self.dispatch.priority,
            cost: self.expected_cost(),
            deadline: self.deadline,
        }
    }

    /// Expected number of tokens, less those that a resumed stream has already delivered; at least
    /// 1.
    pub fn expected_cost(&self) -> u64 {
        let dispatch = &self.dispatch;
        dispatch
            .expected_tokens
            .saturating_sub(dispatch.resume_after)
            .max(1)
    }

    /// When the attempt is aborted if it is still running.
    pub fn abort_at(&self) -> Instant {
        match self.dispatch.claim {
            Some(_) => self.deadline + CLAIMED_ABORT_GRACE,
            None => self.deadline + ABORT_GRACE,
        }
    }

    /// Appends to the buffered body, unless it already exceeds [`BUFFERED_BODY_BYTES_MAX`].
    pub fn buffer_body(&mut self, data: &[u8]) {
        if self.body.len() <= BUFFERED_BODY_BYTES_MAX {
            self.body.extend_from_slice(data);
        }
    }

    /// The outcome of a claimed attempt whose response is complete.
    pub fn claim_outcome(&self) -> ClaimOutcome {
        match &self.head {
            Some(head) if self.body.len() <= BUFFERED_BODY_BYTES_MAX => ClaimOutcome::Answered {
                head: head.clone(),
                body: self.body.clone(),
            },
            _ => ClaimOutcome::ResponseLost,
        }
    }

    /// Token usage of an attempt whose response is complete.
    pub fn usage(&self) -> TokenUsage {
        let json = match self.is_stream {
            true => self.splitter.last_data(),
            false => &self.body,
        };
        let response: CompletionsResponse = serde_json::from_slice(json).unwrap_or_default();
        let usage = response.usage.unwrap_or_default();
        let generated = match self.is_stream {
            true => Some(self.event_count.saturating_sub(1)),
            false => usage.completion_tokens,
        };
        TokenUsage {
            generated: generated.unwrap_or_else(|| self.expected_cost()),
            cached: usage
                .prompt_tokens_details
                .map(|details| details.cached_tokens),
        }
    }

    /// Measurements of an attempt that ends at `now`; none if it was not started.
    pub fn sample(&self, now: Instant, generated_tokens: u64) -> Option<AttemptSample> {
        let (started_at, dequeued) = self.started.as_ref()?;
        let first_token_at = self.first_token_at.unwrap_or(now);
        Some(AttemptSample {
            time_to_first_token: first_token_at.since(*started_at),
            service_time: now.since(*started_at),
            expected_tokens: dequeued.item.cost,
            generated_tokens,
        })
    }

    /// The call to forward to the server, with the headers that the agent adds.
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

/// Token usage of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenUsage {
    /// Number of generated tokens; 1 for a plain call.
    pub generated: u64,
    /// Number of prompt tokens found in the engine's cache, if reported.
    pub cached: Option<u64>,
}

/// The part of a completions response that reports usage.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CompletionsResponse {
    usage: Option<CompletionsUsage>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CompletionsUsage {
    completion_tokens: Option<u64>,
    prompt_tokens_details: Option<PromptTokensDetails>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct PromptTokensDetails {
    cached_tokens: u64,
}
