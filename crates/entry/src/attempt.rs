//! Attempts of a request: dispatch, response of the agent, retry and resumption of streams.

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{AttemptId, RequestId};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::claim::Holder;
use eelgrassdyke_core::wire::directory::ServerLoad;
use eelgrassdyke_core::wire::dispatch;
use eelgrassdyke_core::wire::dispatch::{Credit, Dispatch, Frame, ResponseHead};
use eelgrassdyke_core::wire::refusal::{Reason, Refusal, RunStatus};
use eelgrassdyke_core::wire::report::UsageCounts;

use crate::entry::Entry;
use crate::flight::{OpenRequest, Stage};
use crate::io::Output;
use crate::once::OUTCOME_BYTES_MAX;
use crate::retry::RetryBudget;
use crate::route::{AttemptResult, RouteQuery};

/// Retry-after time of a refusal after failed attempts.
const RETRY_AFTER_MS: u64 = 1000;

/// Header fields that concern only the hop from the caller to this entry, and are not forwarded.
const HOP_BY_HOP_FIELDS: [&str; 10] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "request-timeout",
    "te",
    "transfer-encoding",
    "upgrade",
];

impl Entry {
    /// Whether this incarnation of this entry issued the request id.
    pub(crate) fn owns(&self, request: &RequestId) -> bool {
        request.entry == self.local.process && request.incarnation == self.local.incarnation
    }

    /// Chooses the server and agent for the next attempt of a request.
    pub(crate) fn choose_holder(&mut self, now: Instant, request: &OpenRequest) -> Option<Holder> {
        let query = RouteQuery {
            service: &request.class.service,
            failed_servers: &request.failed_servers,
            prompt_blocks: &request.class.prompt_blocks,
        };
        let server = self.router.choose_server(now, query, &mut self.rng)?;
        let info = &self.follower.servers().get(&server)?.info;
        Some(Holder {
            server,
            incarnation: info.incarnation,
            address: info.address,
        })
    }

    /// Dispatches an idempotent request to a server on which it has not failed.
    ///
    /// If there is none, the caller gets the refusal of the previous attempt, `last_refusal`.
    pub(crate) fn dispatch_request(
        &mut self,
        now: Instant,
        request: OpenRequest,
        last_refusal: Option<Refusal>,
        out: &mut Vec<Output>,
    ) {
        let Some(holder) = self.choose_holder(now, &request) else {
            let no_server = Refusal::not_run(Reason::NoServer);
            let mut refusal = last_refusal.unwrap_or(no_server);
            refusal.retry_after_ms.get_or_insert(RETRY_AFTER_MS);
            self.refuse(now, request, refusal, out);
            return;
        };
        self.start_attempt(now, request, holder, None, out);
    }

    /// Dispatches a request to one incarnation of an agent, under the given claim if it is not
    /// idempotent.
    pub(crate) fn start_attempt(
        &mut self,
        now: Instant,
        mut request: OpenRequest,
        holder: Holder,
        claim: Option<u32>,
        out: &mut Vec<Output>,
    ) {
        request.attempts += 1;
        let attempt = AttemptId {
            request: request.id.clone(),
            number: request.attempts,
        };
        let dispatch = Dispatch {
            attempt: attempt.clone(),
            server: holder.server.clone(),
            incarnation: holder.incarnation,
            team: request.team.clone(),
            service: request.class.service.clone(),
            claim: key_claim(&request, claim),
            time_left_us: request.deadline.since(now).as_micros() as u64,
            priority: request.class.priority,
            expected_tokens: request.class.expected_tokens,
            call: forwarded_call(&request),
            resume_after: request.events_forwarded,
        };
        let prompt_blocks = &request.class.prompt_blocks;
        self.router.record_start(now, &holder.server, prompt_blocks);
        self.credits
            .reserve(&request.account(), request.class.expected_tokens);
        out.push(Output::Event(
            Event::new(Code::RequestDispatched, attempt.number.to_string())
                .request(&request.id)
                .team(&request.team)
                .server(&holder.server),
        ));
        request.stage = Stage::Running {
            attempt,
            server: holder.server,
            address: holder.address,
            incarnation: holder.incarnation,
            claim,
        };
        request.next_retry = Instant::NEVER;
        self.insert_request(request);
        out.push(Output::Dispatch {
            address: holder.address,
            dispatch: Box::new(dispatch),
        });
    }

    /// Processes a frame of an agent's response.
    pub(crate) fn handle_frame(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        frame: Frame,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.remove_if_current(attempt, out) else {
            return;
        };
        match frame {
            Frame::Head(head) => self.handle_head(now, request, head, out),
            Frame::Data(data) => self.handle_data(now, request, data, out),
            Frame::End {
                tokens,
                load,
                credit,
                cached_tokens,
                ..
            } => {
                self.record_load_and_credit(now, &request, load, credit);
                if let (Stage::Running { server, .. }, Some(cached_tokens)) =
                    (&request.stage, cached_tokens)
                {
                    self.router.record_cached_tokens(
                        server,
                        &request.class.prompt_blocks,
                        cached_tokens,
                    );
                }
                self.complete_request(now, request, tokens, out);
            }
            Frame::Refused {
                refusal,
                load,
                credit,
            } => {
                self.record_load_and_credit(now, &request, load, credit);
                self.handle_agent_refusal(now, request, refusal, out);
            }
            Frame::Failed { .. } => {
                self.end_attempt(now, &request, AttemptResult::Failed);
                self.recover(now, request, true, out);
            }
        }
    }

    /// Processes the failure of the exchange with an agent; `sent` is whether any part of the
    /// dispatch may have reached it.
    pub(crate) fn handle_exchange_failure(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        sent: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.remove_if_current(attempt, out) else {
            return;
        };
        self.end_attempt(now, &request, AttemptResult::Failed);
        self.recover(now, request, sent, out);
    }

    /// Records the server load and the team's credit from the last frame of a response.
    fn record_load_and_credit(
        &mut self,
        now: Instant,
        request: &OpenRequest,
        load: ServerLoad,
        credit: Credit,
    ) {
        if let Stage::Running { server, .. } = &request.stage {
            self.router.record_load(server, load, now);
        }
        let server_count = self.router.server_count(&request.class.service);
        self.credits
            .apply_grant(now, &request.account(), server_count, credit);
    }

    /// Removes the request of an attempt, if this is its current attempt. Otherwise the frame is
    /// late or belongs to an earlier incarnation: it is dropped, and counted if its account is
    /// known.
    fn remove_if_current(
        &mut self,
        attempt: &AttemptId,
        out: &mut Vec<Output>,
    ) -> Option<OpenRequest> {
        let request = self.requests.get(&attempt.request.number);
        let is_current = self.owns(&attempt.request)
            && request.is_some_and(|request| request.is_running(attempt));
        if is_current {
            return self.remove_request(attempt.request.number);
        }
        let account = match self.owns(&attempt.request) {
            true => self.account_by_number.get(&attempt.request.number).cloned(),
            false => None,
        };
        if let Some((team, service)) = account {
            self.usage.counts_mut(&team, &service).dropped += 1;
        }
        let event = Event::new(Code::AnswerDropped, attempt.to_string());
        out.push(Output::Event(event.request(&attempt.request)));
        None
    }

    fn handle_head(
        &mut self,
        now: Instant,
        mut request: OpenRequest,
        head: ResponseHead,
        out: &mut Vec<Output>,
    ) {
        let is_stream = head.status == 200 && is_event_stream(&head);
        let is_unusable = match request.response_started {
            // Only a stream can continue a stream that has started.
            true => !is_stream,
            false => {
                head.status >= 500 && request.class.idempotent && self.may_retry(now, &request)
            }
        };
        if is_unusable {
            self.cancel_attempt_with_result(now, &request, AttemptResult::Failed, out);
            self.recover(now, request, true, out);
            return;
        }
        request.head = Some(head.clone());
        if request.class.stream && is_stream && !request.response_started {
            request.response_started = true;
            if let Some(ticket) = request.ticket {
                out.push(Output::StartStream { ticket, head });
            }
        }
        self.insert_request(request);
    }

    fn handle_data(
        &mut self,
        now: Instant,
        mut request: OpenRequest,
        data: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        if request.response_started {
            // A claimed stream is also stored as the outcome of its key, up to the size limit.
            if !request.class.idempotent && request.body.len() <= OUTCOME_BYTES_MAX {
                request.body.extend_from_slice(&data);
            }
            self.forward_event(now, &mut request, data, out);
            self.insert_request(request);
            return;
        }
        if request.body.len() + data.len() <= self.options.response_bytes_max {
            request.body.extend_from_slice(&data);
            self.insert_request(request);
            return;
        }
        self.cancel_attempt(now, &request, out);
        let refusal = Refusal {
            reason: Reason::ServerFailed,
            run_status: RunStatus::Yes,
            retry_after_ms: None,
        };
        self.refuse(now, request, refusal, out);
    }

    /// Forwards an event of a stream to the caller.
    fn forward_event(
        &mut self,
        now: Instant,
        request: &mut OpenRequest,
        data: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        let Some(ticket) = request.ticket else {
            return;
        };
        request.bytes_forwarded += data.len();
        request.stream_complete |= is_done_event(&data);
        if !request.stream_complete {
            let counts = self.usage.counts_mut(&request.team, &request.class.service);
            counts.tokens += 1;
            if request.events_forwarded == 0 {
                let elapsed_us = now.since(request.received_at).as_micros() as u64;
                UsageCounts::observe(&mut counts.first_byte_us, elapsed_us);
            }
            request.events_forwarded += 1;
            request.run_status = RunStatus::Yes;
        }
        out.push(Output::StreamData { ticket, data });
    }

    /// Finishes a request whose response is complete.
    fn complete_request(
        &mut self,
        now: Instant,
        mut request: OpenRequest,
        tokens: u64,
        out: &mut Vec<Output>,
    ) {
        self.end_attempt(now, &request, AttemptResult::Responded);
        let body = std::mem::take(&mut request.body);
        let head = request.head.clone().unwrap_or(ResponseHead {
            status: 502,
            headers: Vec::new(),
        });
        if let Stage::Running {
            claim: Some(claim), ..
        } = request.stage
        {
            self.settle_claim(&request, claim, Self::claim_outcome(&head, &body), out);
        }
        if request.response_started {
            self.finish_stream(now, &mut request, out);
            return;
        }
        if request.ticket.is_some() {
            self.usage
                .counts_mut(&request.team, &request.class.service)
                .tokens += tokens;
        }
        self.deliver(now, &mut request, head, body, out);
    }

    /// Processes the refusal of an attempt by its agent.
    fn handle_agent_refusal(
        &mut self,
        now: Instant,
        mut request: OpenRequest,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        let result = match refusal.reason {
            Reason::ServerFailed => AttemptResult::Failed,
            _ => AttemptResult::Unknown,
        };
        self.end_attempt(now, &request, result);
        if refusal.run_status != RunStatus::No {
            self.recover(now, request, true, out);
            return;
        }
        let Stage::Running { server, claim, .. } = request.stage.clone() else {
            return;
        };
        request.failed_servers.push(server);
        let is_final = matches!(refusal.reason, Reason::Deadline | Reason::ShareExceeded);
        if is_final || !self.may_retry(now, &request) || !self.spend_retry(&request) {
            self.refuse(now, request, refusal, out);
            return;
        }
        out.push(retry_event(
            Code::RequestRetried,
            &request,
            refusal.reason.as_str(),
        ));
        match claim {
            Some(claim) => self.claim_key(now, request, Some(claim), out),
            None => self.dispatch_request(now, request, Some(refusal), out),
        }
    }

    /// Recovers from a failed attempt: probes the holder of the claim, retries, resumes the stream
    /// or refuses. `sent` is whether any part of the dispatch may have reached the agent.
    fn recover(
        &mut self,
        now: Instant,
        mut request: OpenRequest,
        sent: bool,
        out: &mut Vec<Output>,
    ) {
        let Stage::Running {
            server,
            address,
            incarnation,
            claim,
            ..
        } = request.stage.clone()
        else {
            return;
        };
        if let Some(claim) = claim {
            // Only the agent knows whether the dispatch arrived and ran.
            let holder = Holder {
                server,
                incarnation,
                address,
            };
            request.head = None;
            request.body.clear();
            self.probe_holder(now, request, claim, holder, out);
            return;
        }
        if request.stream_complete {
            // The caller has every event; only the end of the exchange is missing.
            self.finish_stream(now, &mut request, out);
            return;
        }
        request.failed_servers.push(server);
        let run = match sent {
            true => RunStatus::Unknown,
            false => RunStatus::No,
        };
        if sent && request.run_status == RunStatus::No {
            request.run_status = RunStatus::Unknown;
        }
        let refusal = Refusal {
            reason: Reason::ServerFailed,
            run_status: run,
            retry_after_ms: Some(RETRY_AFTER_MS),
        };
        if request.ticket.is_none() || !self.may_retry(now, &request) || !self.spend_retry(&request)
        {
            self.refuse(now, request, refusal, out);
            return;
        }
        let code = match request.response_started {
            true => Code::RequestResumed,
            false => Code::RequestRetried,
        };
        out.push(retry_event(code, &request, "server failed"));
        request.body.clear();
        self.dispatch_request(now, request, Some(refusal), out);
    }

    /// Whether deadline, attempt limit and retry budget allow another attempt.
    fn may_retry(&self, now: Instant, request: &OpenRequest) -> bool {
        if now >= request.deadline || request.attempts >= self.options.max_attempts {
            return false;
        }
        let budget = self.retry_budgets.get(&request.class.service);
        budget.is_some_and(RetryBudget::has_retry)
    }

    /// Charges one retry to the budget of the service.
    fn spend_retry(&mut self, request: &OpenRequest) -> bool {
        let budget = self.retry_budgets.get_mut(&request.class.service);
        budget.is_some_and(RetryBudget::try_spend)
    }

    /// Records the end of the current attempt with the router and the credits.
    fn end_attempt(&mut self, now: Instant, request: &OpenRequest, result: AttemptResult) {
        if let Stage::Running { server, .. } = &request.stage {
            self.router.record_end(now, server, result);
            let tokens = request.class.expected_tokens;
            self.credits.release(now, &request.account(), tokens);
        }
    }

    /// Cancels the running attempt of an abandoned request.
    pub(crate) fn cancel_attempt(
        &mut self,
        now: Instant,
        request: &OpenRequest,
        out: &mut Vec<Output>,
    ) {
        self.cancel_attempt_with_result(now, request, AttemptResult::Unknown, out);
    }

    fn cancel_attempt_with_result(
        &mut self,
        now: Instant,
        request: &OpenRequest,
        result: AttemptResult,
        out: &mut Vec<Output>,
    ) {
        if let Stage::Running { attempt, .. } = &request.stage {
            out.push(Output::Cancel {
                attempt: attempt.clone(),
            });
            self.end_attempt(now, request, result);
        }
    }
}

fn is_event_stream(head: &ResponseHead) -> bool {
    let content_type = head.headers.iter().find(|(name, _)| name == "content-type");
    content_type.is_some_and(|(_, value)| value.starts_with("text/event-stream"))
}

/// Whether an event completes the stream.
fn is_done_event(event: &[u8]) -> bool {
    let data = event.strip_prefix(b"data:").unwrap_or_default();
    data.trim_ascii() == b"[DONE]"
}

fn key_claim(request: &OpenRequest, number: Option<u32>) -> Option<dispatch::KeyClaim> {
    let key = request.class.idempotency_key.clone()?;
    Some(dispatch::KeyClaim {
        key,
        number: number?,
    })
}

/// The call as forwarded to the server.
fn forwarded_call(request: &OpenRequest) -> dispatch::Call {
    let mut headers = Vec::new();
    for (name, value) in &request.call.headers {
        if HOP_BY_HOP_FIELDS.contains(&name.as_str()) {
            continue;
        }
        headers.push((name.clone(), value.clone()));
    }
    dispatch::Call {
        method: request.call.method.clone(),
        path: request.class.path.clone(),
        headers,
        body: request.call.body.clone(),
    }
}

fn retry_event(code: Code, request: &OpenRequest, detail: &str) -> Output {
    Output::Event(
        Event::new(code, detail)
            .request(&request.id)
            .team(&request.team),
    )
}
