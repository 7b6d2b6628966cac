//! Execution of the steps of a scenario.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::Process;
use eelgrassdyke_core::wire::refusal::RunStatus;
use http::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

use super::step::{Expectation, Step};
use super::verdict::{CallRecord, Observations, check_fences};
use crate::caller::{self, CallOutcome, CallerRequest};
use crate::errors::{Error, Result};
use crate::relay::LinkRule;
use crate::site::{Builds, CONDITION_TIMEOUT, Deployment, Options, POLL_INTERVAL};

/// The team whose token requests carry unless the step names another.
const DEFAULT_TEAM: &str = "salons";

/// Maximum number of attempts for one request of the traffic.
const TRAFFIC_ATTEMPTS_MAX: usize = 30;

/// Delay before a request of the traffic is retried.
const TRAFFIC_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Name by which steps refer to the traffic.
const TRAFFIC: &str = "traffic";

/// A scenario being executed.
pub struct Runner {
    pub(super) builds: Builds,
    pub(super) deployment: Deployment,
    pub(super) observations: Rc<RefCell<Observations>>,
    /// Outcomes of the requests of `send` steps, by name.
    outcomes: Rc<RefCell<BTreeMap<String, CallOutcome>>>,
    /// Name of the last verdict on each operation.
    pub(super) verdicts: BTreeMap<String, Value>,
    /// Number of requests sent, by name.
    sent_counts: BTreeMap<String, u64>,
    /// Number of requests that have not ended, by name.
    pending_counts: Rc<RefCell<BTreeMap<String, u64>>>,
    /// The process that `leader` last resolved to.
    old_leader: String,
}

impl Runner {
    /// Starts the deployment, applies the initial configuration and waits until every process is
    /// ready.
    pub async fn start(builds: impl Into<Builds>, folder: &Path, options: Options) -> Result<Self> {
        let builds = builds.into();
        let deployment = Deployment::start(&builds.first, folder, options).await?;
        let mut runner = Self {
            builds,
            deployment,
            observations: Rc::default(),
            outcomes: Rc::default(),
            verdicts: BTreeMap::new(),
            sent_counts: BTreeMap::new(),
            pending_counts: Rc::default(),
            old_leader: String::new(),
        };
        runner.wait_leader().await?;
        let change = json!({"whole": initial_document()});
        runner
            .submit("first", "control-1", 0, change, false)
            .await?;
        runner.wait_applied(1).await?;
        runner.wait_ready("all").await?;
        Ok(runner)
    }

    /// The deployment that the scenario runs against.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Runs one step.
    pub async fn step(&mut self, step: &Step) -> Result<()> {
        log::info!("{step:?}");
        match step {
            Step::Start { process } => {
                let name = self.resolve_process(process).await?;
                self.deployment.spawn(&name).await
            }
            Step::Stop { process } => self.signal(process, Signal::SIGTERM).await,
            Step::Ended { process } => self.expect_clean_exit(process).await,
            Step::Kill { process } => {
                let name = self.resolve_process(process).await?;
                self.deployment.kill(&name)
            }
            Step::Freeze { process } => self.signal(process, Signal::SIGSTOP).await,
            Step::Thaw { process } => self.signal(process, Signal::SIGCONT).await,
            Step::LoseDisk { process } => {
                let name = self.resolve_process(process).await?;
                self.deployment.remove_data(&name)
            }
            Step::Cut { one, other } => {
                self.change_link(one, other, |rule| rule.is_cut = true)
                    .await
            }
            Step::Delay { one, other, ms } => {
                let delay = Duration::from_millis(*ms);
                self.change_link(one, other, |rule| rule.delay = delay)
                    .await
            }
            Step::Double { one, other } => {
                self.change_link(one, other, |rule| rule.duplicates_batches = true)
                    .await
            }
            Step::Heal => {
                self.deployment.link_rules.clear();
                Ok(())
            }
            Step::Pause { ms } => {
                monoio::time::sleep(Duration::from_millis(*ms)).await;
                Ok(())
            }
            Step::Ready { process } => self.wait_ready(process).await,
            Step::Leader => self.wait_leader().await.map(|_| ()),
            Step::InForce { version } => self.wait_applied(*version).await,
            Step::Replace { process } => self.replace_replica(process).await,
            Step::Exchange { process, build } => self.exchange(process, *build).await,
            Step::SameConfig => self.check_same_config().await,
            Step::Churn { count } => self.submit_sequence(*count).await,
            Step::Order {
                operation,
                server,
                model,
                wait,
            } => self.submit_order(operation, server, model, *wait).await,
            Step::Race { team, base, count } => self.race_changes(team, *base, *count).await,
            Step::Submit {
                operation,
                team,
                base,
                via,
                only,
            } => {
                let change = json!({"patch": {"teams": {team: team_spec(team)}}});
                let via = self.resolve_process(via).await?;
                self.submit(operation, &via, *base, change, *only).await
            }
            Step::Send {
                name,
                team,
                via,
                charge,
                draft,
                tokens,
                timeout,
            } => {
                let request = CallerRequest {
                    timeout_s: *timeout,
                    ..self.build_request(team, via, charge.as_deref(), draft.as_deref(), *tokens)?
                };
                self.send_in_background(name, request);
                Ok(())
            }
            Step::Traffic { count, every_ms } => self.start_traffic(*count, *every_ms),
            Step::Await { name } => self.wait_ended(name).await,
            Step::Expect { name, expectation } => self.check_expectation(name, expectation),
        }
    }

    /// Resolves `leader` and `old-leader` to process names; other names stay.
    pub(super) async fn resolve_process(&mut self, text: &str) -> Result<String> {
        match text {
            "leader" => {
                self.old_leader = self.wait_leader().await?;
                Ok(self.old_leader.clone())
            }
            "old-leader" => Ok(self.old_leader.clone()),
            _ => Ok(text.to_owned()),
        }
    }

    async fn signal(&mut self, process: &str, signal: Signal) -> Result<()> {
        let name = self.resolve_process(process).await?;
        self.deployment.signal(&name, signal)
    }

    /// Waits for all pending requests and checks the invariants.
    pub async fn finish(mut self) -> Result<()> {
        let names: Vec<String> = self.pending_counts.borrow().keys().cloned().collect();
        for name in names {
            self.wait_ended(&name).await?;
        }
        self.deployment.link_rules.clear();
        self.record_reports().await;
        check_fences(&self.deployment.execution_logs("engine").await?)?;
        let plain_logs = self.deployment.execution_logs("orders").await?;
        self.observations.borrow().check(&plain_logs)
    }

    /// Changes the rules of both directions between a process and another, or all others.
    async fn change_link(
        &mut self,
        one: &str,
        other: &str,
        change: impl Fn(&mut LinkRule),
    ) -> Result<()> {
        let one = &self.resolve_process(one).await?;
        let others = match other {
            "all" => self.deployment.system_processes(),
            _ => vec![other.to_owned()],
        };
        let parse = |text: &str| -> Result<Process> { text.parse().map_err(Error::harness) };
        for other in others {
            if other == *one {
                continue;
            }
            self.deployment
                .link_rules
                .change(&parse(one)?, &parse(&other)?, &change);
            self.deployment
                .link_rules
                .change(&parse(&other)?, &parse(one)?, &change);
        }
        Ok(())
    }

    fn entries(&self) -> Vec<String> {
        let names = self.deployment.system_processes().into_iter();
        names.filter(|name| name.starts_with("entry")).collect()
    }

    /// Builds a streamed completion if `draft` is given, a charge otherwise.
    fn build_request(
        &self,
        team: &str,
        via: &str,
        charge: Option<&str>,
        draft: Option<&str>,
        tokens: u64,
    ) -> Result<CallerRequest> {
        let (path, body) = match draft {
            Some(prompt) => ("/v1/completions", draft_body(prompt, tokens)),
            None => ("/orders/charges", json!({"charge": charge}).to_string()),
        };
        Ok(CallerRequest {
            address: self.deployment.caller_address(via)?,
            method: Method::POST,
            path: path.to_owned(),
            token: format!("{team}-token"),
            idempotency_key: charge.map(str::to_owned),
            timeout_s: None,
            body,
        })
    }

    /// Sends a request in the background and stores its outcome under `name`.
    fn send_in_background(&mut self, name: &str, request: CallerRequest) {
        *self
            .pending_counts
            .borrow_mut()
            .entry(name.to_owned())
            .or_default() += 1;
        *self.sent_counts.entry(name.to_owned()).or_default() += 1;
        let (outcomes, pending) = (self.outcomes.clone(), self.pending_counts.clone());
        let (observations, name) = (self.observations.clone(), name.to_owned());
        monoio::spawn(async move {
            let (outcome, _) = caller::send(&request, Instant::now()).await;
            observations.borrow_mut().record_call(CallRecord {
                request,
                outcome: outcome.clone(),
            });
            outcomes.borrow_mut().insert(name.clone(), outcome);
            decrement_pending(&pending, &name);
        });
    }

    /// Starts charges and streamed completions in the background.
    fn start_traffic(&mut self, count: u64, every_ms: u64) -> Result<()> {
        let entries = self.entries();
        let mut addresses = Vec::new();
        for entry in &entries {
            addresses.push(self.deployment.caller_address(entry)?);
        }
        *self
            .pending_counts
            .borrow_mut()
            .entry(TRAFFIC.to_owned())
            .or_default() += 2 * count;
        *self.sent_counts.entry(TRAFFIC.to_owned()).or_default() += 2 * count;
        for number in 0..count {
            let via = &entries[number as usize % entries.len()];
            let key = format!("traffic-{number}");
            let charge = self.build_request(DEFAULT_TEAM, via, Some(&key), None, 0)?;
            let draft = self.build_request(DEFAULT_TEAM, via, None, Some(&key), 12)?;
            let delay = Duration::from_millis(number * every_ms);
            for (request, retry_addresses) in [(charge, addresses.clone()), (draft, Vec::new())] {
                let observations = self.observations.clone();
                let pending = self.pending_counts.clone();
                monoio::spawn(async move {
                    monoio::time::sleep(delay).await;
                    send_with_retries(request, &retry_addresses, &observations).await;
                    decrement_pending(&pending, TRAFFIC);
                });
            }
        }
        Ok(())
    }

    /// Waits until all requests with a name have ended.
    async fn wait_ended(&mut self, name: &str) -> Result<()> {
        let pending = self.pending_counts.clone();
        let pending_count = || pending.borrow().get(name).copied().unwrap_or_default();
        // Every request ends by its deadline; the timeout only ends a run that hangs.
        let started = Instant::now();
        while pending_count() > 0 {
            if started.elapsed() > CONDITION_TIMEOUT * 2 {
                return Err(Error::Timeout(format!(
                    "{} responses to {name}",
                    pending_count()
                )));
            }
            monoio::time::sleep(POLL_INTERVAL).await;
            self.record_reports().await;
        }
        Ok(())
    }

    /// Submits a change until there is a verdict on it; with `only`, sends it once to `via`.
    pub(super) async fn submit(
        &mut self,
        operation: &str,
        via: &str,
        base: u64,
        change: Value,
        only: bool,
    ) -> Result<()> {
        let submission = json!({
            "operation": operation, "base": base, "author": "trial", "change": change,
        });
        let mut controls = vec![via.to_owned()];
        if !only {
            let others = self.deployment.system_processes();
            controls.extend(
                others
                    .into_iter()
                    .filter(|name| name.starts_with("control") && name != via),
            );
        }
        let started = Instant::now();
        loop {
            for name in &controls {
                let body = Some(submission.to_string());
                let response = self
                    .deployment
                    .send_operator_request(name, "/v1/config", body)
                    .await;
                let verdict = verdict_name(&response);
                self.verdicts.insert(operation.to_owned(), json!(verdict));
                if let Ok((_, body)) = &response {
                    self.record_accepted(body);
                }
                if only || !matches!(verdict.as_str(), "not_leader" | "unknown" | "unreachable") {
                    return Ok(());
                }
            }
            if started.elapsed() > CONDITION_TIMEOUT {
                return Err(Error::Timeout(format!("a verdict on {operation}")));
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Records the version of an accepting verdict.
    fn record_accepted(&mut self, body: &Value) {
        if let Some(version) = body["verdict"]["accepted"]["version"].as_u64() {
            let mut observations = self.observations.borrow_mut();
            observations.accepted_version = observations.accepted_version.max(version);
        }
    }

    /// Waits until a control process is leader and has a quorum; returns its name.
    pub(super) async fn wait_leader(&mut self) -> Result<String> {
        let started = Instant::now();
        loop {
            for name in self.deployment.system_processes() {
                if !name.starts_with("control") || !self.deployment.is_running(&name) {
                    continue;
                }
                if let Ok((200, body)) = self
                    .deployment
                    .send_operator_request(&name, "/v1/status", None)
                    .await
                {
                    let status = &body["status"];
                    if status["leads"] == json!(true) && status["quorum"] == json!(true) {
                        return Ok(name);
                    }
                }
            }
            if started.elapsed() > CONDITION_TIMEOUT {
                return Err(Error::Timeout("a leader with a quorum".to_owned()));
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a process, or every running one, reports that it is ready.
    pub(super) async fn wait_ready(&mut self, process: &str) -> Result<()> {
        let names = match process {
            "all" => self.deployment.system_processes(),
            _ => vec![process.to_owned()],
        };
        for name in &names {
            if !self.deployment.is_running(name) {
                continue;
            }
            self.wait_process(name, "to be ready", |report| report["ready"] == json!(true))
                .await?;
        }
        if process == "all" {
            self.wait_routes().await?;
        }
        Ok(())
    }

    /// Waits until every running entry routes requests of each service to a server.
    async fn wait_routes(&mut self) -> Result<()> {
        let entries = self.entries();
        for name in entries
            .iter()
            .filter(|name| self.deployment.is_running(name))
        {
            let started = Instant::now();
            loop {
                let mut plain = self.build_request(DEFAULT_TEAM, name, None, None, 0)?;
                plain.method = Method::GET;
                plain.path = "/orders/stock".to_owned();
                let draft = self.build_request(DEFAULT_TEAM, name, None, Some("ready"), 1)?;
                let now = Instant::now();
                let plain_status = caller::send(&plain, now).await.0.status();
                let draft_status = caller::send(&draft, now).await.0.status();
                if plain_status == 200 && draft_status == 200 {
                    break;
                }
                if started.elapsed() > CONDITION_TIMEOUT {
                    return Err(Error::Timeout(format!(
                        "{name} to route requests; last statuses: \
                         plain {plain_status}, draft {draft_status}"
                    )));
                }
                monoio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until every running process has applied a configuration version.
    pub(super) async fn wait_applied(&mut self, version: u64) -> Result<()> {
        for name in self.deployment.system_processes() {
            if !self.deployment.is_running(&name) {
                continue;
            }
            let condition = format!("to apply version {version}");
            self.wait_process(&name, &condition, |report| {
                let fields = ["entry_version", "agent_version", "control_version"];
                let versions = fields.iter().filter_map(|field| report[field].as_u64());
                versions.min().is_some_and(|applied| applied >= version)
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until `holds` is true for the report of a process; `condition` describes it in errors.
    async fn wait_process(
        &mut self,
        name: &str,
        condition: &str,
        holds: impl Fn(&Value) -> bool,
    ) -> Result<()> {
        let started = Instant::now();
        loop {
            let report = self
                .deployment
                .send_operator_request(name, "/v1/process", None)
                .await;
            if let Ok((200, report)) = &report {
                self.record_report(name, report)?;
                if holds(report) {
                    return Ok(());
                }
            }
            if started.elapsed() > CONDITION_TIMEOUT {
                return Err(Error::Timeout(format!(
                    "{name} {condition}; last report: {report:?}"
                )));
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Records the versions of all running processes that respond in time.
    async fn record_reports(&mut self) {
        for name in self.deployment.system_processes() {
            if !self.deployment.is_running(&name) {
                continue;
            }
            let report = self
                .deployment
                .send_operator_request(&name, "/v1/process", None);
            let report = monoio::time::timeout(POLL_INTERVAL, report).await;
            if let Ok(Ok((200, report))) = report {
                // A decrease of a version is kept in the observations and fails the final check.
                let _ = self.record_report(&name, &report);
            }
        }
    }

    fn record_report(&mut self, name: &str, report: &Value) -> Result<()> {
        let mut observations = self.observations.borrow_mut();
        for field in ["entry_version", "agent_version", "control_version"] {
            if let Some(version) = report[field].as_u64() {
                let incarnation = report["incarnation"].as_u64().unwrap_or_default();
                let ready = report["ready"] == json!(true);
                observations.record_version(name, field, incarnation, version, ready)?;
            }
        }
        Ok(())
    }

    pub(super) async fn expect_clean_exit(&mut self, process: &str) -> Result<()> {
        let process = &self.resolve_process(process).await?;
        let code = self.deployment.wait_exit(process).await?;
        match code {
            0 => Ok(()),
            _ => Err(Error::expectation_failed(
                format!("{process} to exit with code 0"),
                code.to_string(),
            )),
        }
    }

    fn check_expectation(&self, name: &str, expectation: &Expectation) -> Result<()> {
        let outcomes = self.outcomes.borrow();
        let outcome = outcomes.get(name);
        match expectation {
            Expectation::Status { status } => match outcome {
                Some(CallOutcome::Response { status: actual, .. }) if actual == status => Ok(()),
                actual => Err(Error::expectation_failed(
                    format!("{name}: response with status {status}"),
                    format!("{actual:?}"),
                )),
            },
            Expectation::Run { run } => match outcome {
                Some(CallOutcome::Refusal { run: actual, .. }) if actual.as_str() == run => Ok(()),
                actual => Err(Error::expectation_failed(
                    format!("{name}: run {run}"),
                    format!("{actual:?}"),
                )),
            },
            Expectation::Same { other } => {
                let expected = outcomes.get(other);
                match outcome.is_some() && outcome == expected {
                    true => Ok(()),
                    false => Err(Error::expectation_failed(
                        format!("{name}: same outcome as {other}: {expected:?}"),
                        format!("{outcome:?}"),
                    )),
                }
            }
            Expectation::Verdict { verdict } => {
                let actual = self.verdicts.get(name).cloned().unwrap_or_default();
                match actual == json!(verdict) {
                    true => Ok(()),
                    false => Err(Error::expectation_failed(
                        format!("{name}: {verdict}"),
                        actual.to_string(),
                    )),
                }
            }
            Expectation::NotVerdict { verdict } => {
                let actual = self.verdicts.get(name).cloned().unwrap_or_default();
                match actual != json!(verdict) {
                    true => Ok(()),
                    false => Err(Error::expectation_failed(
                        format!("{name}: not {verdict}"),
                        actual.to_string(),
                    )),
                }
            }
            Expectation::Answered { share } => self.expect_completed_share(*share),
        }
    }

    fn expect_completed_share(&self, percentage: u64) -> Result<()> {
        let sent = self.sent_counts.get(TRAFFIC).copied().unwrap_or_default();
        let completed = self.observations.borrow().completed_calls();
        match completed * 100 >= sent * percentage {
            true => Ok(()),
            false => Err(Error::expectation_failed(
                format!("complete responses to {percentage}% of the traffic"),
                format!("{completed} of {sent}"),
            )),
        }
    }
}

fn decrement_pending(pending: &RefCell<BTreeMap<String, u64>>, name: &str) {
    if let Some(count) = pending.borrow_mut().get_mut(name) {
        *count = count.saturating_sub(1);
    }
}

/// Sends a request, each time to the next address, until it gets a response or a refusal that a retry
/// would not change.
async fn send_with_retries(
    mut request: CallerRequest,
    addresses: &[std::net::SocketAddr],
    observations: &RefCell<Observations>,
) {
    for attempt in 0..TRAFFIC_ATTEMPTS_MAX {
        if let Some(address) = addresses.get(attempt % addresses.len().max(1)) {
            request.address = *address;
        }
        let (outcome, _) = caller::send(&request, Instant::now()).await;
        observations.borrow_mut().record_call(CallRecord {
            request: request.clone(),
            outcome: outcome.clone(),
        });
        let should_retry = match &outcome {
            CallOutcome::Response { .. } => false,
            CallOutcome::ConnectionFailed(_) => true,
            CallOutcome::Refusal {
                run: RunStatus::No, ..
            } => true,
            CallOutcome::Refusal { reason, .. } => {
                reason == "still_running" || reason == "deadline"
            }
        };
        if !should_retry {
            return;
        }
        monoio::time::sleep(TRAFFIC_RETRY_DELAY).await;
    }
}

/// Name of the verdict in a response, or of its error; `unreachable` if there is neither.
fn verdict_name(response: &Result<(u16, Value)>) -> String {
    let Ok((_, body)) = response else {
        return "unreachable".to_owned();
    };
    match body.get("verdict") {
        Some(verdict) => variant_name(verdict).unwrap_or_default(),
        None => variant_name(body).unwrap_or_else(|| "unreachable".to_owned()),
    }
}

/// Name of an enum variant in its JSON form.
pub(super) fn variant_name(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.clone()),
        Value::Object(fields) => fields.keys().next().cloned(),
        _ => None,
    }
}

fn team_spec(name: &str) -> Value {
    let token = Sha256::of(format!("{name}-token").as_bytes()).to_string();
    json!({"tokens": [token]})
}

fn initial_document() -> Value {
    json!({
        "teams": {DEFAULT_TEAM: team_spec(DEFAULT_TEAM)},
        "services": {
            "draft": {"kind": "drafting", "timeout_ms": 20000},
            "orders": {"kind": "plain", "timeout_ms": 8000, "routes": [
                {"method": "POST", "path": "/charges", "idempotent": false},
            ]},
        },
    })
}

fn draft_body(prompt: &str, tokens: u64) -> String {
    json!({"model": "draft", "prompt": prompt, "stream": true, "max_tokens": tokens}).to_string()
}
