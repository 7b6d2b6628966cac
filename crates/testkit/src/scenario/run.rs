//! Runs the steps of a scenario.

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
use super::verdict::{Entry, Ledger, check_fences};
use crate::caller::{Ask, Told, ask};
use crate::errors::{Error, Result};
use crate::relay::Rule;
use crate::site::{Options, POLL, Site, WAIT_MAX};

/// The team that scenarios call as unless they name another.
const TEAM: &str = "salons";

/// Tries of one charge in the traffic.
const TRIES: usize = 30;

/// Pause before a charge is tried again.
const TRY_AGAIN: Duration = Duration::from_millis(300);

/// Name under which the traffic is awaited.
const TRAFFIC: &str = "traffic";

/// A scenario under way.
pub struct Runner {
    pub(super) site: Site,
    pub(super) ledger: Rc<RefCell<Ledger>>,
    told: Rc<RefCell<BTreeMap<String, Told>>>,
    pub(super) verdicts: BTreeMap<String, Value>,
    sent: BTreeMap<String, u64>,
    pending: Rc<RefCell<BTreeMap<String, u64>>>,
    old_leader: String,
}

impl Runner {
    /// Starts the site, puts the first configuration in force and waits until all is ready.
    pub async fn start(binary: &Path, folder: &Path, options: Options) -> Result<Self> {
        let site = Site::start(binary, folder, options).await?;
        let mut runner = Self {
            site,
            ledger: Rc::default(),
            told: Rc::default(),
            verdicts: BTreeMap::new(),
            sent: BTreeMap::new(),
            pending: Rc::default(),
            old_leader: String::new(),
        };
        runner.wait_leader().await?;
        let change = json!({"whole": first_document()});
        runner
            .submit("first", "control-1", 0, change, false)
            .await?;
        runner.wait_in_force(1).await?;
        runner.wait_ready("all").await?;
        Ok(runner)
    }

    /// The site.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Runs one step.
    pub async fn step(&mut self, step: &Step) -> Result<()> {
        log::info!("{step:?}");
        match step {
            Step::Start { process } => {
                let name = self.name(process).await?;
                self.site.spawn(&name).await
            }
            Step::Stop { process } => self.signal(process, Signal::SIGTERM).await,
            Step::Ended { process } => self.expect_ended(process).await,
            Step::Kill { process } => {
                let name = self.name(process).await?;
                self.site.kill(&name)
            }
            Step::Freeze { process } => self.signal(process, Signal::SIGSTOP).await,
            Step::Thaw { process } => self.signal(process, Signal::SIGCONT).await,
            Step::LoseDisk { process } => {
                let name = self.name(process).await?;
                self.site.lose_disk(&name)
            }
            Step::Cut { one, other } => self.link(one, other, |rule| rule.cut = true).await,
            Step::Delay { one, other, ms } => {
                let delay = Duration::from_millis(*ms);
                self.link(one, other, |rule| rule.delay = delay).await
            }
            Step::Double { one, other } => self.link(one, other, |rule| rule.double = true).await,
            Step::Heal => {
                self.site.rules.clear();
                Ok(())
            }
            Step::Pause { ms } => {
                monoio::time::sleep(Duration::from_millis(*ms)).await;
                Ok(())
            }
            Step::Ready { process } => self.wait_ready(process).await,
            Step::Leader => self.wait_leader().await.map(|_| ()),
            Step::InForce { version } => self.wait_in_force(*version).await,
            Step::Replace { process } => self.replace(process).await,
            Step::Churn { count } => self.churn(*count).await,
            Step::Order {
                operation,
                server,
                model,
                wait,
            } => self.order(operation, server, model, *wait).await,
            Step::Race { team, base, count } => self.race(team, *base, *count).await,
            Step::Submit {
                operation,
                team,
                base,
                via,
                only,
            } => {
                let change = json!({"patch": {"teams": {team: team_spec(team)}}});
                let via = self.name(via).await?;
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
                let ask = Ask {
                    timeout: *timeout,
                    ..self.ask(team, via, charge.as_deref(), draft.as_deref(), *tokens)?
                };
                self.send(name, ask);
                Ok(())
            }
            Step::Traffic { count, every_ms } => self.traffic(*count, *every_ms),
            Step::Await { name } => self.wait_answered(name).await,
            Step::Expect { name, what } => self.expect(name, what),
        }
    }

    /// The process that a name stands for.
    async fn name(&mut self, text: &str) -> Result<String> {
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
        let name = self.name(process).await?;
        self.site.signal(&name, signal)
    }

    /// Waits for what is open and checks the invariants.
    pub async fn finish(mut self) -> Result<()> {
        let names: Vec<String> = self.pending.borrow().keys().cloned().collect();
        for name in names {
            self.wait_answered(&name).await?;
        }
        self.site.rules.clear();
        self.observe().await;
        check_fences(&self.site.books("engine").await?)?;
        let orders = self.site.books("orders").await?;
        self.ledger.borrow().check(&orders)
    }

    async fn link(&mut self, one: &str, other: &str, change: impl Fn(&mut Rule)) -> Result<()> {
        let one = &self.name(one).await?;
        let others = match other {
            "all" => self.site.processes(),
            _ => vec![other.to_owned()],
        };
        let name = |text: &str| -> Result<Process> { text.parse().map_err(Error::outside) };
        for other in others {
            if other == *one {
                continue;
            }
            self.site.rules.change(&name(one)?, &name(&other)?, &change);
            self.site.rules.change(&name(&other)?, &name(one)?, &change);
        }
        Ok(())
    }

    fn entries(&self) -> Vec<String> {
        let names = self.site.processes().into_iter();
        names.filter(|name| name.starts_with("entry")).collect()
    }

    fn ask(
        &self,
        team: &str,
        via: &str,
        charge: Option<&str>,
        draft: Option<&str>,
        tokens: u64,
    ) -> Result<Ask> {
        let (path, body) = match draft {
            Some(prompt) => ("/v1/completions", draft_body(prompt, tokens)),
            None => ("/orders/charges", json!({"charge": charge}).to_string()),
        };
        Ok(Ask {
            entry: self.site.callers(via)?,
            method: Method::POST,
            path: path.to_owned(),
            token: format!("{team}-token"),
            key: charge.map(str::to_owned),
            timeout: None,
            body,
        })
    }

    fn send(&mut self, name: &str, request: Ask) {
        *self
            .pending
            .borrow_mut()
            .entry(name.to_owned())
            .or_default() += 1;
        *self.sent.entry(name.to_owned()).or_default() += 1;
        let (told, pending) = (self.told.clone(), self.pending.clone());
        let (ledger, name) = (self.ledger.clone(), name.to_owned());
        monoio::spawn(async move {
            let (answer, _) = ask(&request, Instant::now()).await;
            ledger.borrow_mut().note(Entry {
                ask: request,
                told: answer.clone(),
            });
            told.borrow_mut().insert(name.clone(), answer);
            done(&pending, &name);
        });
    }

    /// Starts charges and drafts in the background.
    fn traffic(&mut self, count: u64, every_ms: u64) -> Result<()> {
        let entries = self.entries();
        let mut doors = Vec::new();
        for entry in &entries {
            doors.push(self.site.callers(entry)?);
        }
        *self
            .pending
            .borrow_mut()
            .entry(TRAFFIC.to_owned())
            .or_default() += 2 * count;
        *self.sent.entry(TRAFFIC.to_owned()).or_default() += 2 * count;
        for at in 0..count {
            let via = &entries[at as usize % entries.len()];
            let key = format!("traffic-{at}");
            let charge = self.ask(TEAM, via, Some(&key), None, 0)?;
            let draft = self.ask(TEAM, via, None, Some(&key), 12)?;
            let wait = Duration::from_millis(at * every_ms);
            for (request, doors) in [(charge, doors.clone()), (draft, Vec::new())] {
                let (ledger, pending) = (self.ledger.clone(), self.pending.clone());
                monoio::spawn(async move {
                    monoio::time::sleep(wait).await;
                    persist(request, &doors, &ledger).await;
                    done(&pending, TRAFFIC);
                });
            }
        }
        Ok(())
    }

    async fn wait_answered(&mut self, name: &str) -> Result<()> {
        let pending = self.pending.clone();
        let open = || pending.borrow().get(name).copied().unwrap_or_default();
        // Each answer is due by its deadline; the wait only ends a trial that hangs.
        let begun = Instant::now();
        while open() > 0 {
            if begun.elapsed() > WAIT_MAX * 2 {
                return Err(Error::Wait(format!("{} answers to {name}", open())));
            }
            monoio::time::sleep(POLL).await;
            self.observe().await;
        }
        Ok(())
    }

    /// Submits a change until there is a verdict on it.
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
        let mut order = vec![via.to_owned()];
        if !only {
            let others = self.site.processes();
            order.extend(
                others
                    .into_iter()
                    .filter(|n| n.starts_with("control") && n != via),
            );
        }
        let begun = Instant::now();
        loop {
            for name in &order {
                let body = Some(submission.to_string());
                let answer = self.site.operate(name, "/v1/config", body).await;
                let verdict = verdict_name(&answer);
                self.verdicts.insert(operation.to_owned(), json!(verdict));
                if let Ok((_, body)) = &answer {
                    self.note_accepted(body);
                }
                if only || !matches!(verdict.as_str(), "not_leader" | "unknown" | "unreachable") {
                    return Ok(());
                }
            }
            if begun.elapsed() > WAIT_MAX {
                return Err(Error::Wait(format!("a verdict on {operation}")));
            }
            monoio::time::sleep(POLL).await;
        }
    }

    fn note_accepted(&mut self, body: &Value) {
        if let Some(version) = body["verdict"]["accepted"]["version"].as_u64() {
            let mut ledger = self.ledger.borrow_mut();
            ledger.accepted = ledger.accepted.max(version);
        }
    }

    /// Waits until a control process leads with a quorum; gives its name.
    pub(super) async fn wait_leader(&mut self) -> Result<String> {
        let begun = Instant::now();
        loop {
            for name in self.site.processes() {
                if !name.starts_with("control") || !self.site.runs(&name) {
                    continue;
                }
                if let Ok((200, body)) = self.site.operate(&name, "/v1/status", None).await {
                    let status = &body["status"];
                    if status["leads"] == json!(true) && status["quorum"] == json!(true) {
                        return Ok(name);
                    }
                }
            }
            if begun.elapsed() > WAIT_MAX {
                return Err(Error::Wait("a leader with a quorum".to_owned()));
            }
            monoio::time::sleep(POLL).await;
        }
    }

    async fn wait_ready(&mut self, process: &str) -> Result<()> {
        let names = match process {
            "all" => self.site.processes(),
            _ => vec![process.to_owned()],
        };
        for name in &names {
            if !self.site.runs(name) {
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

    /// Waits until every entry knows a server of each service.
    async fn wait_routes(&mut self) -> Result<()> {
        let entries = self.entries();
        for name in entries.iter().filter(|name| self.site.runs(name)) {
            let begun = Instant::now();
            loop {
                let mut plain = self.ask(TEAM, name, None, None, 0)?;
                plain.method = Method::GET;
                plain.path = "/orders/stock".to_owned();
                let draft = self.ask(TEAM, name, None, Some("ready"), 1)?;
                let now = Instant::now();
                let one = ask(&plain, now).await.0.status();
                let two = ask(&draft, now).await.0.status();
                if one == 200 && two == 200 {
                    break;
                }
                if begun.elapsed() > WAIT_MAX {
                    return Err(Error::Wait(format!("{name} to know servers: {one}, {two}")));
                }
                monoio::time::sleep(POLL).await;
            }
        }
        Ok(())
    }

    pub(super) async fn wait_in_force(&mut self, version: u64) -> Result<()> {
        for name in self.site.processes() {
            if !self.site.runs(&name) {
                continue;
            }
            let what = format!("to have version {version}");
            self.wait_process(&name, &what, |report| {
                let fields = ["entry_version", "agent_version", "control_version"];
                let versions = fields.iter().filter_map(|field| report[field].as_u64());
                versions.min().is_some_and(|held| held >= version)
            })
            .await?;
        }
        Ok(())
    }

    async fn wait_process(
        &mut self,
        name: &str,
        what: &str,
        holds: impl Fn(&Value) -> bool,
    ) -> Result<()> {
        let begun = Instant::now();
        loop {
            let report = self.site.operate(name, "/v1/process", None).await;
            if let Ok((200, report)) = &report {
                self.note_report(name, report)?;
                if holds(report) {
                    return Ok(());
                }
            }
            if begun.elapsed() > WAIT_MAX {
                return Err(Error::Wait(format!("{name} {what}: {report:?}")));
            }
            monoio::time::sleep(POLL).await;
        }
    }

    /// Looks at the versions of all processes that answer.
    async fn observe(&mut self) {
        for name in self.site.processes() {
            if !self.site.runs(&name) {
                continue;
            }
            let report = self.site.operate(&name, "/v1/process", None);
            let report = monoio::time::timeout(POLL, report).await;
            if let Ok(Ok((200, report))) = report {
                // A version that stepped back stays in the ledger and fails the verdict.
                let _ = self.note_report(&name, &report);
            }
        }
    }

    fn note_report(&mut self, name: &str, report: &Value) -> Result<()> {
        let mut ledger = self.ledger.borrow_mut();
        for field in ["entry_version", "agent_version", "control_version"] {
            if let Some(version) = report[field].as_u64() {
                let incarnation = report["incarnation"].as_u64().unwrap_or_default();
                let ready = report["ready"] == json!(true);
                ledger.note_version(name, field, incarnation, version, ready)?;
            }
        }
        Ok(())
    }

    async fn expect_ended(&mut self, process: &str) -> Result<()> {
        let process = &self.name(process).await?;
        let code = self.site.ended(process).await?;
        match code {
            0 => Ok(()),
            _ => Err(Error::expect(
                format!("{process} to end with 0"),
                code.to_string(),
            )),
        }
    }

    fn expect(&self, name: &str, what: &Expectation) -> Result<()> {
        let told = self.told.borrow();
        let told = told.get(name);
        match what {
            Expectation::Status { status } => match told {
                Some(Told::Answer { status: got, .. }) if got == status => Ok(()),
                got => Err(Error::expect(
                    format!("{name}: answer {status}"),
                    format!("{got:?}"),
                )),
            },
            Expectation::Run { run } => match told {
                Some(Told::Refusal { run: got, .. }) if got.as_str() == run => Ok(()),
                got => Err(Error::expect(
                    format!("{name}: run {run}"),
                    format!("{got:?}"),
                )),
            },
            Expectation::Same { other } => {
                let others = self.told.borrow();
                match told.is_some() && told == others.get(other) {
                    true => Ok(()),
                    false => Err(Error::expect(
                        format!("{name} like {other}: {:?}", others.get(other)),
                        format!("{told:?}"),
                    )),
                }
            }
            Expectation::Verdict { verdict } => {
                let got = self.verdicts.get(name).cloned().unwrap_or_default();
                match got == json!(verdict) {
                    true => Ok(()),
                    false => Err(Error::expect(format!("{name}: {verdict}"), got.to_string())),
                }
            }
            Expectation::NotVerdict { verdict } => {
                let got = self.verdicts.get(name).cloned().unwrap_or_default();
                match got != json!(verdict) {
                    true => Ok(()),
                    false => Err(Error::expect(
                        format!("{name}: not {verdict}"),
                        got.to_string(),
                    )),
                }
            }
            Expectation::Answered { share } => self.expect_answered(*share),
        }
    }

    fn expect_answered(&self, share: u64) -> Result<()> {
        let sent = self.sent.get(TRAFFIC).copied().unwrap_or_default();
        let whole = self.ledger.borrow().whole();
        match whole * 100 >= sent * share {
            true => Ok(()),
            false => Err(Error::expect(
                format!("{share} in 100 of the traffic answered whole"),
                format!("{whole} of {sent}"),
            )),
        }
    }
}

fn done(pending: &RefCell<BTreeMap<String, u64>>, name: &str) {
    if let Some(open) = pending.borrow_mut().get_mut(name) {
        *open = open.saturating_sub(1);
    }
}

/// Sends a request until its outcome is certain, each time through the next entry.
async fn persist(mut request: Ask, doors: &[std::net::SocketAddr], ledger: &RefCell<Ledger>) {
    for at in 0..TRIES {
        if let Some(door) = doors.get(at % doors.len().max(1)) {
            request.entry = *door;
        }
        let (told, _) = ask(&request, Instant::now()).await;
        ledger.borrow_mut().note(Entry {
            ask: request.clone(),
            told: told.clone(),
        });
        let again = match &told {
            Told::Answer { .. } => false,
            Told::Nothing(_) => true,
            Told::Refusal {
                run: RunStatus::No, ..
            } => true,
            Told::Refusal { reason, .. } => reason == "still_running" || reason == "deadline",
        };
        if !again {
            return;
        }
        monoio::time::sleep(TRY_AGAIN).await;
    }
}

fn verdict_name(answer: &Result<(u16, Value)>) -> String {
    let Ok((_, body)) = answer else {
        return "unreachable".to_owned();
    };
    match body.get("verdict") {
        Some(verdict) => first_of(verdict).unwrap_or_default(),
        None => first_of(body).unwrap_or_else(|| "unreachable".to_owned()),
    }
}

/// The name of a variant, as JSON gives it.
pub(super) fn first_of(value: &Value) -> Option<String> {
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

fn first_document() -> Value {
    json!({
        "teams": {TEAM: team_spec(TEAM)},
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
