//! A small deployment of real processes on loopback: control, entries, agents and stand-ins.
//!
//! Every process listens on ports assigned by the operating system and logs them. A relay with a fixed
//! address forwards to each process, so that a restarted process keeps its address.

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
use eelgrassdyke_standin::book::ExecutionLog;
use http::HeaderValue;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

use crate::errors::{Error, Result};
use crate::relay::{LinkRules, Relay, Target};

/// The operator's token.
const OPERATOR_TOKEN: &str = "trial-operator";

/// Longest wait for any condition.
///
/// It only ends a run that hangs: every recovery time that the system must meet is far shorter.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Length of the kernel's clock tick, in milliseconds.
const MS_PER_TICK: u64 = 10;

/// Longest wait for the response to a request to one process.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of processes of each kind, and their settings.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Control processes.
    pub controls: usize,
    /// Entry processes.
    pub entries: usize,
    /// Stand-in engines, each with an agent.
    pub engines: usize,
    /// Stand-in plain services, each with an agent.
    pub plain_services: usize,
    /// Time between an engine's tokens, in milliseconds.
    pub token_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            controls: 3,
            entries: 2,
            engines: 2,
            plain_services: 2,
            token_ms: 10,
        }
    }
}

/// One process of a deployment, running or not.
struct ManagedProcess {
    child: Option<Child>,
    arguments: Vec<String>,
    log: PathBuf,
    /// Address at which the process listens for peers.
    target: Target,
    /// Address at which an entry listens for callers.
    caller_address: Option<SocketAddr>,
    start_count: u32,
}

/// Executables of two builds, of which one may be an earlier landing.
#[derive(Clone, Debug)]
pub struct Builds {
    /// The build that a deployment starts with.
    pub first: PathBuf,
    /// The build that replaces it.
    pub second: PathBuf,
}

impl From<&Path> for Builds {
    fn from(binary: &Path) -> Self {
        Self {
            first: binary.to_owned(),
            second: binary.to_owned(),
        }
    }
}

/// A running deployment.
pub struct Deployment {
    binary: PathBuf,
    folder: PathBuf,
    /// Rules of the links between processes.
    pub link_rules: LinkRules,
    processes: BTreeMap<String, ManagedProcess>,
    control_addresses: Vec<SocketAddr>,
    pool: Pool,
}

impl Deployment {
    /// Starts every process of a deployment; files are written below `folder`.
    pub async fn start(binary: &Path, folder: &Path, options: Options) -> Result<Self> {
        let mut deployment = Self {
            binary: binary.to_owned(),
            folder: folder.to_owned(),
            link_rules: LinkRules::default(),
            processes: BTreeMap::new(),
            control_addresses: Vec::new(),
            pool: Pool::default(),
        };
        deployment.write_file("peer-secret", "trial-secret-of-all-processes")?;
        deployment.write_file(
            "operators",
            &Sha256::of(OPERATOR_TOKEN.as_bytes()).to_string(),
        )?;
        let mut controls = Vec::new();
        for number in 1..=options.controls {
            let name = format!("control-{number}");
            let address = deployment.add_relay(&name)?;
            deployment.control_addresses.push(address);
            controls.push((name, address));
        }
        for (name, address) in controls {
            let start = json!({"found": deployment.control_addresses});
            let role = json!({"data": format!("{name}-data"), "start": start});
            deployment
                .add_process(&name, address, json!({"control_role": role}))
                .await?;
        }
        for number in 1..=options.entries {
            let name = format!("entry-{number}");
            let address = deployment.add_relay(&name)?;
            let role = json!({"entry_role": {"listen": "127.0.0.1:0"}});
            deployment.add_process(&name, address, role).await?;
        }
        for number in 1..=options.engines {
            let token = options.token_ms.to_string();
            let arguments = ["engine", "--token-ms", &token, "--first-token-ms", &token];
            let role = json!({"slots": 64, "token_rate": 4000, "service": "draft"});
            deployment
                .add_server(&format!("engine-{number}"), &arguments, role)
                .await?;
        }
        for number in 1..=options.plain_services {
            let role = json!({"slots": 64, "service": "orders"});
            deployment
                .add_server(&format!("orders-{number}"), &["plain"], role)
                .await?;
        }
        Ok(deployment)
    }

    fn write_file(&self, name: &str, text: &str) -> Result<()> {
        fs::write(self.folder.join(name), text).map_err(Error::harness)
    }

    /// Starts a relay for a process that is started later; returns the relay's address.
    fn add_relay(&mut self, name: &str) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(Error::harness)?;
        let target: Target = Rc::new(Cell::new(None));
        let process: Process = name.parse().map_err(Error::harness)?;
        let address = Relay::start(listener, process, target.clone(), self.link_rules.clone())?;
        let managed = ManagedProcess {
            child: None,
            arguments: Vec::new(),
            log: self.folder.join(format!("{name}.log")),
            target,
            caller_address: None,
            start_count: 0,
        };
        self.processes.insert(name.to_owned(), managed);
        Ok(address)
    }

    async fn add_process(&mut self, name: &str, address: SocketAddr, role: Value) -> Result<()> {
        let mut settings = json!({
            "process": name,
            "host": name, "data_centre": "hobart", "region": "tasmania",
            "listen": "127.0.0.1:0",
            "advertise": address,
            "control": self.control_addresses,
            "peer_secret_file": "peer-secret",
            "operator_tokens_file": "operators",
            "log": {"level": "debug"},
        });
        if let (Some(all), Value::Object(role)) = (settings.as_object_mut(), role) {
            all.extend(role);
        }
        let file = self.folder.join(format!("{name}.jsonc"));
        self.write_file(&format!("{name}.jsonc"), &settings.to_string())?;
        if let Some(managed) = self.processes.get_mut(name) {
            let file = file.to_string_lossy().into_owned();
            managed.arguments = vec!["run".to_owned(), "--settings".to_owned(), file];
        }
        self.spawn(name).await
    }

    /// Starts a stand-in backend server and its agent.
    async fn add_server(&mut self, name: &str, arguments: &[&str], role: Value) -> Result<()> {
        let managed = ManagedProcess {
            child: None,
            arguments: standin_arguments(arguments),
            log: self.folder.join(format!("{name}.log")),
            target: Rc::new(Cell::new(None)),
            caller_address: None,
            start_count: 0,
        };
        self.processes.insert(name.to_owned(), managed);
        self.spawn(name).await?;
        let backend = self.processes[name].target.get();
        let mut role = role;
        role["server"] = json!(name);
        role["backend"] = json!(backend);
        let agent = format!("agent-{name}");
        let address = self.add_relay(&agent)?;
        self.add_process(&agent, address, json!({"agent_role": role}))
            .await
    }

    /// Starts a process that is down, and waits until it has logged its addresses.
    pub async fn spawn(&mut self, name: &str) -> Result<()> {
        let binary = self.binary.clone();
        let managed = self.managed_mut(name)?;
        let log = File::create(&managed.log).map_err(Error::harness)?;
        let child = Command::new(binary)
            .args(&managed.arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(Error::harness)?)
            .stderr(log)
            .spawn()
            .map_err(Error::harness)?;
        managed.child = Some(child);
        managed.start_count += 1;
        let started = Instant::now();
        loop {
            let managed = self.managed_mut(name)?;
            let text = fs::read_to_string(&managed.log).unwrap_or_default();
            if let Some((peer_address, caller_address)) = logged_addresses(&text) {
                managed.target.set(Some(peer_address));
                managed.caller_address = caller_address;
                return Ok(());
            }
            let exit_status = managed
                .child
                .as_mut()
                .and_then(|child| child.try_wait().ok().flatten());
            if exit_status.is_some() || started.elapsed() > CONDITION_TIMEOUT {
                return Err(Error::Timeout(format!("{name} to start; its log:\n{text}")));
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sets the executable of the processes that are started from now on.
    pub fn set_binary(&mut self, binary: &Path) {
        self.binary = binary.to_owned();
    }

    /// Log of a process since its last start.
    pub fn log_text(&self, name: &str) -> Result<String> {
        let managed = self.processes.get(name);
        let managed = managed.ok_or_else(|| Error::Unknown(format!("process {name}")))?;
        fs::read_to_string(&managed.log).map_err(Error::harness)
    }

    /// Sends a signal to a process.
    pub fn signal(&mut self, name: &str, signal: Signal) -> Result<()> {
        let managed = self.managed_mut(name)?;
        let Some(child) = &managed.child else {
            return Err(Error::Unknown(format!("running process {name}")));
        };
        let pid = i32::try_from(child.id()).map_err(Error::harness)?;
        kill(Pid::from_raw(pid), signal).map_err(Error::harness)
    }

    /// Kills a process (SIGKILL).
    pub fn kill(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::SIGKILL)?;
        let managed = self.managed_mut(name)?;
        managed.target.set(None);
        if let Some(mut child) = managed.child.take() {
            child.wait().map_err(Error::harness)?;
        }
        Ok(())
    }

    /// Waits until a process that was asked to stop has exited; returns its exit code.
    pub async fn wait_exit(&mut self, name: &str) -> Result<i32> {
        let started = Instant::now();
        loop {
            let managed = self.managed_mut(name)?;
            let Some(child) = &mut managed.child else {
                return Err(Error::Unknown(format!("running process {name}")));
            };
            if let Some(status) = child.try_wait().map_err(Error::harness)? {
                managed.child = None;
                managed.target.set(None);
                return Ok(status.code().unwrap_or(-1));
            }
            if started.elapsed() > CONDITION_TIMEOUT {
                return Err(Error::Timeout(format!("{name} to exit")));
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Removes the data folder of a process that is down.
    pub fn remove_data(&mut self, name: &str) -> Result<()> {
        if self.managed_mut(name)?.child.is_some() {
            return Err(Error::Unknown(format!("stopped process {name}")));
        }
        fs::remove_dir_all(self.folder.join(format!("{name}-data"))).map_err(Error::harness)
    }

    /// Names of all processes except the stand-ins.
    pub fn system_processes(&self) -> Vec<String> {
        let is_system = |name: &&String| !name.starts_with("engine") && !name.starts_with("orders");
        self.processes.keys().filter(is_system).cloned().collect()
    }

    /// Whether a process is running or frozen.
    pub fn is_running(&self, name: &str) -> bool {
        self.processes
            .get(name)
            .is_some_and(|managed| managed.child.is_some())
    }

    /// Number of times that a process was started.
    pub fn start_count(&self, name: &str) -> u32 {
        self.processes
            .get(name)
            .map_or(0, |managed| managed.start_count)
    }

    /// Operating system's process identifier of a running process.
    pub fn pid(&self, name: &str) -> Option<u32> {
        let child = self.processes.get(name)?.child.as_ref()?;
        Some(child.id())
    }

    /// Address of a control process's relay, at which other processes reach it.
    pub fn control_address(&self, name: &str) -> Result<SocketAddr> {
        let number = name
            .strip_prefix("control-")
            .and_then(|text| text.parse::<usize>().ok());
        let address = number.and_then(|number| self.control_addresses.get(number.checked_sub(1)?));
        address
            .copied()
            .ok_or_else(|| Error::Unknown(format!("control process {name}")))
    }

    /// Address at which a running process itself listens, behind its relay.
    pub fn listen_address(&self, name: &str) -> Result<SocketAddr> {
        let target = self
            .processes
            .get(name)
            .and_then(|managed| managed.target.get());
        target.ok_or_else(|| Error::Unknown(format!("running process {name}")))
    }

    /// Address at which an entry listens for callers.
    pub fn caller_address(&self, name: &str) -> Result<SocketAddr> {
        let managed = self.processes.get(name);
        managed
            .and_then(|managed| managed.caller_address)
            .ok_or_else(|| Error::Unknown(format!("running entry {name}")))
    }

    /// Addresses of the running backend servers whose name begins with `prefix`.
    pub fn backend_addresses(&self, prefix: &str) -> Vec<SocketAddr> {
        let backends = self
            .processes
            .iter()
            .filter(|(name, _)| name.starts_with(prefix));
        backends
            .filter_map(|(_, managed)| managed.target.get())
            .collect()
    }

    /// Processor time and resident memory of each running process, from `/proc`.
    pub fn resource_usage(&self) -> Vec<(String, Duration, String)> {
        let mut rows = Vec::new();
        for name in self.processes.keys() {
            let Some(pid) = self.pid(name) else {
                continue;
            };
            let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
            let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
            let ticks = |index: usize| {
                fields
                    .get(index)
                    .and_then(|t| t.parse::<u64>().ok())
                    .unwrap_or(0)
            };
            let processor_time = Duration::from_millis((ticks(11) + ticks(12)) * MS_PER_TICK);
            let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
            let line = status.lines().find(|line| line.starts_with("VmRSS"));
            let memory = line
                .unwrap_or_default()
                .split_whitespace()
                .collect::<Vec<_>>()
                .join(" ");
            rows.push((name.clone(), processor_time, memory));
        }
        rows
    }

    /// Sends an operator's request to a process directly, without its relay; returns status and body.
    pub async fn send_operator_request(
        &self,
        name: &str,
        path: &str,
        body: Option<String>,
    ) -> Result<(u16, Value)> {
        let managed = self
            .processes
            .get(name)
            .ok_or_else(|| Error::Unknown(name.to_owned()))?;
        let target = managed.target.get();
        let target = target.ok_or_else(|| Error::Unknown(format!("running process {name}")))?;
        let mut request = match body {
            Some(body) => Request::post(path, body),
            None => Request::get(path),
        };
        let bearer = HeaderValue::from_str(&format!("Bearer {OPERATOR_TOKEN}"));
        request
            .headers
            .insert("authorization", bearer.map_err(Error::harness)?);
        let call = self.pool.call(target, request, REQUEST_TIMEOUT).await;
        let (status, body) = call.map_err(Error::harness)?;
        Ok((
            status.as_u16(),
            serde_json::from_slice(&body).unwrap_or(Value::Null),
        ))
    }

    /// Execution logs of all running stand-ins whose name begins with `prefix`.
    pub async fn execution_logs(&self, prefix: &str) -> Result<Vec<ExecutionLog>> {
        let mut logs = Vec::new();
        for (name, managed) in &self.processes {
            let Some(target) = managed.target.get().filter(|_| name.starts_with(prefix)) else {
                continue;
            };
            let call = self
                .pool
                .call(target, Request::get("/book"), REQUEST_TIMEOUT)
                .await;
            let (_, body) = call.map_err(Error::harness)?;
            logs.push(serde_json::from_slice(&body).map_err(Error::harness)?);
        }
        Ok(logs)
    }

    fn managed_mut(&mut self, name: &str) -> Result<&mut ManagedProcess> {
        self.processes
            .get_mut(name)
            .ok_or_else(|| Error::Unknown(format!("process {name}")))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for managed in self.processes.values_mut() {
            if let Some(mut child) = managed.child.take() {
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

/// Addresses in a process's log at which it listens: for peers, and for callers if it is an entry.
fn logged_addresses(log: &str) -> Option<(SocketAddr, Option<SocketAddr>)> {
    if let Some(rest) = log.split("stand-in listens on ").nth(1) {
        return Some((rest.split_whitespace().next()?.parse().ok()?, None));
    }
    let rest = log.split("\"detail\":\"peers ").nth(1)?;
    let (detail, _) = rest.split_once('"')?;
    let mut words = detail.split_whitespace();
    let peer_address = words.next()?.parse().ok()?;
    let caller_address = match words.next() {
        Some("callers") => Some(words.next()?.parse().ok()?),
        _ => None,
    };
    Some((peer_address, caller_address))
}
