//! A small site of real processes on loopback: control, entries, agents and stand-ins.
//!
//! Every process takes its ports from the system and says in its log which it got; a relay with a
//! fixed address stands before each, so that a restarted process is reached where it was before.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::Process;
use eelgrassdyke_node::http::client::Request;
use eelgrassdyke_node::http::pool::Pool;
use eelgrassdyke_standin::book::Book;
use http::HeaderValue;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

use crate::errors::{Error, Result};
use crate::relay::{Relay, Rules, Target};

/// The operator's token.
const OPERATOR: &str = "trial-operator";

/// Longest wait for any condition.
///
/// It only ends a trial that hangs: every target of the brief is far below it.
pub const WAIT_MAX: Duration = Duration::from_secs(60);

/// Pause between two looks at a condition.
pub const POLL: Duration = Duration::from_millis(50);

/// Length of the kernel's clock tick, in milliseconds.
const MS_PER_TICK: u64 = 10;

/// Longest wait for an operator's question.
const ASK_MAX: Duration = Duration::from_secs(5);

/// How many of each process a site has.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Control processes.
    pub controls: usize,
    /// Entries.
    pub entries: usize,
    /// Engines, each with an agent.
    pub engines: usize,
    /// Plain services, each with an agent.
    pub plains: usize,
    /// Time between an engine's tokens, in milliseconds.
    pub token_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            controls: 3,
            entries: 2,
            engines: 2,
            plains: 2,
            token_ms: 10,
        }
    }
}

/// One process of a site.
struct Member {
    child: Option<Child>,
    arguments: Vec<String>,
    log: PathBuf,
    target: Target,
    callers: Option<SocketAddr>,
    incarnations: u32,
}

/// A running site.
pub struct Site {
    binary: PathBuf,
    folder: PathBuf,
    /// The rules of the links.
    pub rules: Rules,
    members: BTreeMap<String, Member>,
    control: Vec<SocketAddr>,
    pool: Pool,
}

impl Site {
    /// Starts every process of a site; files live below `folder`.
    pub async fn start(binary: &Path, folder: &Path, options: Options) -> Result<Self> {
        let mut site = Self {
            binary: binary.to_owned(),
            folder: folder.to_owned(),
            rules: Rules::default(),
            members: BTreeMap::new(),
            control: Vec::new(),
            pool: Pool::default(),
        };
        site.write("peer-secret", "trial-secret-of-all-processes")?;
        site.write("operators", &Sha256::of(OPERATOR.as_bytes()).to_string())?;
        let mut controls = Vec::new();
        for at in 1..=options.controls {
            let name = format!("control-{at}");
            let address = site.add_relay(&name)?;
            site.control.push(address);
            controls.push((name, address));
        }
        for (name, address) in controls {
            let start = json!({"found": site.control});
            let role = json!({"data": format!("{name}-data"), "start": start});
            site.add_process(&name, address, json!({"control_role": role}))
                .await?;
        }
        for at in 1..=options.entries {
            let name = format!("entry-{at}");
            let address = site.add_relay(&name)?;
            let role = json!({"entry_role": {"listen": "127.0.0.1:0"}});
            site.add_process(&name, address, role).await?;
        }
        for at in 1..=options.engines {
            let token = options.token_ms.to_string();
            let arguments = ["engine", "--token-ms", &token, "--first-token-ms", &token];
            let role = json!({"slots": 64, "token_rate": 4000, "service": "draft"});
            site.add_server(&format!("engine-{at}"), &arguments, role)
                .await?;
        }
        for at in 1..=options.plains {
            let role = json!({"slots": 64, "service": "orders"});
            site.add_server(&format!("orders-{at}"), &["plain"], role)
                .await?;
        }
        Ok(site)
    }

    fn write(&self, name: &str, text: &str) -> Result<()> {
        fs::write(self.folder.join(name), text).map_err(Error::outside)
    }

    /// Starts a relay for a process that is to come; gives the relay's address.
    fn add_relay(&mut self, name: &str) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(Error::outside)?;
        let target: Target = Rc::new(Cell::new(None));
        let process: Process = name.parse().map_err(Error::outside)?;
        let address = Relay::start(listener, process, target.clone(), self.rules.clone())?;
        let member = Member {
            child: None,
            arguments: Vec::new(),
            log: self.folder.join(format!("{name}.log")),
            target,
            callers: None,
            incarnations: 0,
        };
        self.members.insert(name.to_owned(), member);
        Ok(address)
    }

    async fn add_process(&mut self, name: &str, address: SocketAddr, role: Value) -> Result<()> {
        let mut settings = json!({
            "process": name,
            "host": name, "data_centre": "hobart", "region": "tasmania",
            "listen": "127.0.0.1:0",
            "advertise": address,
            "control": self.control,
            "peer_secret_file": "peer-secret",
            "operator_tokens_file": "operators",
            "log": {"level": "debug"},
        });
        if let (Some(all), Value::Object(role)) = (settings.as_object_mut(), role) {
            all.extend(role);
        }
        let file = self.folder.join(format!("{name}.jsonc"));
        self.write(&format!("{name}.jsonc"), &settings.to_string())?;
        if let Some(member) = self.members.get_mut(name) {
            let file = file.to_string_lossy().into_owned();
            member.arguments = vec!["run".to_owned(), "--settings".to_owned(), file];
        }
        self.spawn(name).await
    }

    /// Starts a stand-in back end and the agent beside it.
    async fn add_server(&mut self, name: &str, arguments: &[&str], role: Value) -> Result<()> {
        let member = Member {
            child: None,
            arguments: standin_arguments(arguments),
            log: self.folder.join(format!("{name}.log")),
            target: Rc::new(Cell::new(None)),
            callers: None,
            incarnations: 0,
        };
        self.members.insert(name.to_owned(), member);
        self.spawn(name).await?;
        let backend = self.members[name].target.get();
        let mut role = role;
        role["server"] = json!(name);
        role["backend"] = json!(backend);
        let agent = format!("agent-{name}");
        let address = self.add_relay(&agent)?;
        self.add_process(&agent, address, json!({"agent_role": role}))
            .await
    }

    /// Starts a process that is down, and waits until it says where it listens.
    pub async fn spawn(&mut self, name: &str) -> Result<()> {
        let binary = self.binary.clone();
        let member = self.member(name)?;
        let log = File::create(&member.log).map_err(Error::outside)?;
        let child = Command::new(binary)
            .args(&member.arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(Error::outside)?)
            .stderr(log)
            .spawn()
            .map_err(Error::outside)?;
        member.child = Some(child);
        member.incarnations += 1;
        let begun = Instant::now();
        loop {
            let member = self.member(name)?;
            let text = fs::read_to_string(&member.log).unwrap_or_default();
            if let Some((peers, callers)) = announced(&text) {
                member.target.set(Some(peers));
                member.callers = callers;
                return Ok(());
            }
            let ended = member
                .child
                .as_mut()
                .and_then(|child| child.try_wait().ok().flatten());
            if ended.is_some() || begun.elapsed() > WAIT_MAX {
                return Err(Error::Wait(format!("{name} to start; its log:\n{text}")));
            }
            monoio::time::sleep(POLL).await;
        }
    }

    /// Sends a signal to a process.
    pub fn signal(&mut self, name: &str, signal: Signal) -> Result<()> {
        let member = self.member(name)?;
        let Some(child) = &member.child else {
            return Err(Error::Unknown(format!("running process {name}")));
        };
        let pid = i32::try_from(child.id()).map_err(Error::outside)?;
        kill(Pid::from_raw(pid), signal).map_err(Error::outside)
    }

    /// Kills a process without warning.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::SIGKILL)?;
        let member = self.member(name)?;
        member.target.set(None);
        if let Some(mut child) = member.child.take() {
            child.wait().map_err(Error::outside)?;
        }
        Ok(())
    }

    /// Waits until a process that was asked to stop has ended; gives its exit code.
    pub async fn ended(&mut self, name: &str) -> Result<i32> {
        let begun = Instant::now();
        loop {
            let member = self.member(name)?;
            let Some(child) = &mut member.child else {
                return Err(Error::Unknown(format!("running process {name}")));
            };
            if let Some(status) = child.try_wait().map_err(Error::outside)? {
                member.child = None;
                member.target.set(None);
                return Ok(status.code().unwrap_or(-1));
            }
            if begun.elapsed() > WAIT_MAX {
                return Err(Error::Wait(format!("{name} to end")));
            }
            monoio::time::sleep(POLL).await;
        }
    }

    /// Removes the data folder of a process that is down.
    pub fn lose_disk(&mut self, name: &str) -> Result<()> {
        if self.member(name)?.child.is_some() {
            return Err(Error::Unknown(format!("stopped process {name}")));
        }
        fs::remove_dir_all(self.folder.join(format!("{name}-data"))).map_err(Error::outside)
    }

    /// Names of the processes of the system, without the stand-ins.
    pub fn processes(&self) -> Vec<String> {
        let ours = |name: &&String| !name.starts_with("engine") && !name.starts_with("orders");
        self.members.keys().filter(ours).cloned().collect()
    }

    /// Whether a process runs (or is frozen).
    pub fn runs(&self, name: &str) -> bool {
        self.members
            .get(name)
            .is_some_and(|member| member.child.is_some())
    }

    /// How often a process was started.
    pub fn incarnations(&self, name: &str) -> u32 {
        self.members
            .get(name)
            .map_or(0, |member| member.incarnations)
    }

    /// Process identifier of a running process.
    pub fn pid(&self, name: &str) -> Option<u32> {
        let child = self.members.get(name)?.child.as_ref()?;
        Some(child.id())
    }

    /// Where the others reach a control process.
    pub fn address(&self, name: &str) -> Result<SocketAddr> {
        let number = name
            .strip_prefix("control-")
            .and_then(|text| text.parse::<usize>().ok());
        let address = number.and_then(|number| self.control.get(number.checked_sub(1)?));
        address
            .copied()
            .ok_or_else(|| Error::Unknown(format!("control process {name}")))
    }

    /// Where a running process itself listens, past its relay.
    pub fn process_address(&self, name: &str) -> Result<SocketAddr> {
        let target = self
            .members
            .get(name)
            .and_then(|member| member.target.get());
        target.ok_or_else(|| Error::Unknown(format!("running process {name}")))
    }

    /// Where an entry takes callers.
    pub fn callers(&self, name: &str) -> Result<SocketAddr> {
        let member = self.members.get(name);
        member
            .and_then(|member| member.callers)
            .ok_or_else(|| Error::Unknown(format!("running entry {name}")))
    }

    /// Where the back ends listen whose name begins with `prefix`.
    pub fn backends(&self, prefix: &str) -> Vec<SocketAddr> {
        let ours = self
            .members
            .iter()
            .filter(|(name, _)| name.starts_with(prefix));
        ours.filter_map(|(_, member)| member.target.get()).collect()
    }

    /// Processor time and resident memory of each running process, as the kernel counts them.
    pub fn processor_time(&self) -> Vec<(String, Duration, String)> {
        let mut rows = Vec::new();
        for name in self.members.keys() {
            let Some(pid) = self.pid(name) else {
                continue;
            };
            let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
            let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
            let ticks = |at: usize| {
                fields
                    .get(at)
                    .and_then(|t| t.parse::<u64>().ok())
                    .unwrap_or(0)
            };
            let spent = Duration::from_millis((ticks(11) + ticks(12)) * MS_PER_TICK);
            let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
            let line = status.lines().find(|line| line.starts_with("VmRSS"));
            let memory = line
                .unwrap_or_default()
                .split_whitespace()
                .collect::<Vec<_>>()
                .join(" ");
            rows.push((name.clone(), spent, memory));
        }
        rows
    }

    /// Asks a process as an operator, past all relays.
    pub async fn operate(
        &self,
        name: &str,
        path: &str,
        body: Option<String>,
    ) -> Result<(u16, Value)> {
        let member = self
            .members
            .get(name)
            .ok_or_else(|| Error::Unknown(name.to_owned()))?;
        let target = member.target.get();
        let target = target.ok_or_else(|| Error::Unknown(format!("running process {name}")))?;
        let mut request = match body {
            Some(body) => Request::post(path, body),
            None => Request::get(path),
        };
        let bearer = HeaderValue::from_str(&format!("Bearer {OPERATOR}"));
        request
            .headers
            .insert("authorization", bearer.map_err(Error::outside)?);
        let call = self.pool.call(target, request, ASK_MAX).await;
        let (status, body) = call.map_err(Error::outside)?;
        Ok((
            status.as_u16(),
            serde_json::from_slice(&body).unwrap_or(Value::Null),
        ))
    }

    /// The books of all stand-ins whose name begins with `prefix`.
    pub async fn books(&self, prefix: &str) -> Result<Vec<Book>> {
        let mut books = Vec::new();
        for (name, member) in &self.members {
            let Some(target) = member.target.get().filter(|_| name.starts_with(prefix)) else {
                continue;
            };
            let call = self.pool.call(target, Request::get("/book"), ASK_MAX).await;
            let (_, body) = call.map_err(Error::outside)?;
            books.push(serde_json::from_slice(&body).map_err(Error::outside)?);
        }
        Ok(books)
    }

    fn member(&mut self, name: &str) -> Result<&mut Member> {
        self.members
            .get_mut(name)
            .ok_or_else(|| Error::Unknown(format!("process {name}")))
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for member in self.members.values_mut() {
            if let Some(mut child) = member.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

fn standin_arguments(arguments: &[&str]) -> Vec<String> {
    let mut all = vec!["standin".to_owned()];
    all.extend(arguments.iter().map(|text| (*text).to_owned()));
    all.extend(["--listen".to_owned(), "127.0.0.1:0".to_owned()]);
    all
}

/// The addresses that a log says a process listens on: for peers, and for callers.
fn announced(log: &str) -> Option<(SocketAddr, Option<SocketAddr>)> {
    if let Some(rest) = log.split("stand-in listens on ").nth(1) {
        return Some((rest.split_whitespace().next()?.parse().ok()?, None));
    }
    let rest = log.split("\"detail\":\"peers ").nth(1)?;
    let (detail, _) = rest.split_once('"')?;
    let mut words = detail.split_whitespace();
    let peers = words.next()?.parse().ok()?;
    let callers = match words.next() {
        Some("callers") => Some(words.next()?.parse().ok()?),
        _ => None,
    };
    Some((peers, callers))
}
