//! A deployment of the size of a real one: processes with rendered settings, each at its own address.
//!
//! [`Fleet`] starts the processes of the roles in `deploy/`, with settings rendered from the templates there,
//! and stops them by signals. [`recovery`] plays a loss of disks and processes right after a confirmed
//! configuration and measures how long the operator and the entries wait. Engines, servers
//! and callers are those of [`clients`]. All names on the wire come from `deploy/loopback.json`.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

use crate::errors::{Error, Result};

pub mod clients;
pub mod disturbance;
pub mod recovery;
pub mod template;

/// Data centres over which the processes are distributed in turn.
const DATA_CENTRES: [&str; 5] = ["hobart", "launceston", "devonport", "burnie", "kingston"];

/// Number of control processes whose addresses every process is told.
const SEEDS: usize = 3;

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Keeps the configuration.
    Control,
    /// Accepts callers' requests.
    Entry,
    /// Reads the state of an engine.
    Watch,
}

impl Role {
    /// Name of the role in `deploy/`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Entry => "entry",
            Self::Watch => "watch",
        }
    }
}

/// Number of processes of each role.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Control processes.
    pub controls: usize,
    /// Entries.
    pub entries: usize,
    /// Watch processes, each with an engine.
    pub watches: usize,
    /// Servers that announce themselves.
    pub servers: usize,
}

/// Ids of the running processes, shared with the threads that suspend them.
pub type Pids = Arc<Mutex<BTreeMap<String, Pid>>>;

/// Locks the ids; a process is not reaped while they are locked, so that no other process has its id.
pub fn lock(pids: &Pids) -> MutexGuard<'_, BTreeMap<String, Pid>> {
    pids.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Milliseconds since 1970.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// One process of a fleet, running or not.
#[derive(Debug)]
pub struct Member {
    /// Name of the process and its host.
    pub name: String,
    /// Role of the process.
    pub role: Role,
    ip: Ipv4Addr,
    settings: Value,
    child: Option<Child>,
}

/// One event of a log of a control process.
#[derive(Clone, Debug)]
pub struct Event {
    /// Name of the process.
    pub process: String,
    /// Time, in milliseconds since 1970.
    pub at_ms: u64,
    /// Number in `docs/EVENTS.md`.
    pub code: u64,
    /// The event as it was logged, with its detail and facts.
    pub logged: Value,
}

/// The processes of a deployment.
pub struct Fleet {
    binary: PathBuf,
    folder: PathBuf,
    templates: BTreeMap<Role, String>,
    /// Sample messages of `deploy/loopback.json`.
    pub samples: Value,
    /// All members, control processes first.
    pub members: Vec<Member>,
    /// Ids of the running processes.
    pub pids: Pids,
    /// Control processes whose output nobody reads.
    pub unread_outputs: usize,
    size: Size,
}

impl Fleet {
    /// A fleet without running processes; settings, data and logs are written below `folder`.
    ///
    /// `network` is the second byte of all addresses, so that several fleets can run at a time.
    pub fn new(
        binary: &Path,
        deploy: &Path,
        folder: &Path,
        network: u8,
        size: Size,
    ) -> Result<Self> {
        let read = |name: &str| fs::read_to_string(deploy.join(name)).map_err(Error::harness);
        let samples: Value =
            serde_json::from_str(&read("loopback.json")?).map_err(Error::harness)?;
        let mut fleet = Self {
            binary: binary.to_owned(),
            folder: folder.to_owned(),
            templates: BTreeMap::new(),
            samples,
            members: Vec::new(),
            pids: Pids::default(),
            unread_outputs: 0,
            size,
        };
        let roles = [
            (Role::Control, size.controls),
            (Role::Entry, size.entries),
            (Role::Watch, size.watches),
        ];
        for (third, (role, count)) in (1..).zip(roles) {
            let template = read(&format!("{}.jsonc", role.as_str()))?;
            fleet.templates.insert(role, template);
            for number in 0..count {
                let zone = DATA_CENTRES[number % DATA_CENTRES.len()];
                fleet.members.push(Member {
                    name: format!(
                        "{}-{zone}-{}",
                        role.as_str(),
                        number / DATA_CENTRES.len() + 1
                    ),
                    role,
                    ip: Ipv4Addr::new(127, network, third, number as u8 + 1),
                    settings: json!({ "zone": zone }),
                    child: None,
                });
            }
        }
        for index in 0..fleet.members.len() {
            let member = &fleet.members[index];
            let fields = json!({
                "name": member.name, "ip": member.ip.to_string(), "zone": member.settings["zone"],
                "data": fleet.data(index), "seeds": null,
            });
            let sample = &fleet.samples["settings"][member.role.as_str()];
            let settings = template::fill(sample, &fields);
            fleet.members[index].settings = settings;
        }
        let seeds: Vec<String> = fleet
            .control_addresses()
            .iter()
            .take(SEEDS)
            .map(SocketAddr::to_string)
            .collect();
        for member in &mut fleet.members {
            member.settings["seeds"] = json!(seeds);
        }
        Ok(fleet)
    }

    /// Folder of a member's durable data.
    fn data(&self, index: usize) -> PathBuf {
        self.folder
            .join("data")
            .join(self.members[index].name.as_str())
    }

    fn log(&self, index: usize) -> PathBuf {
        self.folder
            .join(format!("{}.log", self.members[index].name))
    }

    /// Numbers of the members of a role.
    pub fn with_role(&self, role: Role) -> Vec<usize> {
        let numbers = 0..self.members.len();
        numbers
            .filter(|index| self.members[*index].role == role)
            .collect()
    }

    fn addresses(&self, role: Role, setting: &str) -> Vec<SocketAddr> {
        let members = self.with_role(role);
        members
            .iter()
            .filter_map(|index| {
                let setting = self.members[*index].settings.pointer(setting)?;
                setting.as_str()?.parse().ok()
            })
            .collect()
    }

    /// Addresses of the control processes.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.addresses(Role::Control, "/listen/control")
    }

    /// Addresses at which entries answer whether they are ready.
    pub fn readiness_addresses(&self) -> Vec<SocketAddr> {
        self.addresses(Role::Entry, "/listen/readiness_address")
    }

    /// Addresses at which entries take callers' requests.
    pub fn front_addresses(&self) -> Vec<SocketAddr> {
        self.addresses(Role::Entry, "/listen/front")
    }

    /// Addresses of the engines that the watch processes read.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        self.addresses(Role::Watch, "/app")
    }

    /// Name, address and data centre of each server that announces itself.
    pub fn servers(&self) -> Vec<(String, SocketAddr, &'static str)> {
        let engines = self.engine_addresses();
        let server = |number: usize| {
            let network = self.members[0].ip.octets()[1];
            let own = IpAddr::V4(Ipv4Addr::new(127, network, 4, number as u8 + 1));
            let address = engines.get(number).copied();
            (
                format!("i-{number:04}"),
                address.unwrap_or(SocketAddr::new(own, 8607)),
                DATA_CENTRES[number % DATA_CENTRES.len()],
            )
        };
        (0..self.size.servers).map(server).collect()
    }

    /// Name of the service whose requests the engines serve, or of the one that has none, in the sample
    /// configuration.
    pub fn service(&self, has_engines: bool) -> String {
        let number = usize::from(!has_engines);
        let name = &self.samples["configuration"]["services"][number]["name"];
        name.as_str().unwrap_or_default().to_owned()
    }

    /// Starts a member; `bootstrap` only if the whole deployment starts for the first time.
    pub fn start(&mut self, index: usize, bootstrap: bool) -> Result<()> {
        let data = self.data(index);
        fs::create_dir_all(&data).map_err(Error::harness)?;
        let member = &self.members[index];
        let mut settings = member.settings.clone();
        settings["bootstrap"] = json!(bootstrap);
        let text = template::render(&self.templates[&member.role], &settings)?;
        let path = self.folder.join(format!("{}.jsonc", member.name));
        fs::write(&path, text).map_err(Error::harness)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log(index))
            .map_err(Error::harness)?;
        let errors = log.try_clone().map_err(Error::harness)?;
        let output = match !bootstrap && index < self.unread_outputs {
            true => Stdio::piped(),
            false => Stdio::from(log),
        };
        let child = Command::new(&self.binary)
            .env("EELGRASSDYKE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(Error::harness)?;
        let pid = Pid::from_raw(child.id() as i32);
        lock(&self.pids).insert(member.name.clone(), pid);
        self.members[index].child = Some(child);
        Ok(())
    }

    /// Sends a signal to a running member.
    pub fn signal(&self, index: usize, signal: Signal) {
        if let Some(pid) = lock(&self.pids).get(&self.members[index].name) {
            let _ = kill(*pid, signal);
        }
    }

    /// Kills members at one moment and waits until they are gone.
    pub fn kill(&mut self, indices: &[usize]) {
        for index in indices {
            self.signal(*index, Signal::SIGKILL);
        }
        for index in indices {
            self.reap(*index, Duration::ZERO);
        }
    }

    /// Waits until a member has ended; kills it after `grace`.
    pub fn reap(&mut self, index: usize, grace: Duration) {
        let member = &mut self.members[index];
        let Some(mut child) = member.child.take() else {
            return;
        };
        let deadline = Instant::now() + grace;
        loop {
            let mut pids = lock(&self.pids);
            if Instant::now() >= deadline {
                let _ = child.kill();
                let _ = child.wait();
            }
            if !matches!(child.try_wait(), Ok(None)) {
                pids.remove(&member.name);
                return;
            }
            drop(pids);
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Whether a member has ended without being killed.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let child = self.members[index].child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Removes a member's durable data.
    pub fn remove_data(&self, index: usize) -> Result<()> {
        fs::remove_dir_all(self.data(index)).map_err(Error::harness)
    }

    /// Events of the control processes since a time, in order of time.
    pub fn events_since(&self, since_ms: u64) -> Vec<Event> {
        let mut events = Vec::new();
        for index in self.with_role(Role::Control) {
            let log = fs::read_to_string(self.log(index)).unwrap_or_default();
            for line in log.lines() {
                let Ok(line) = serde_json::from_str::<Value>(line) else {
                    continue;
                };
                let event = Event {
                    process: self.members[index].name.clone(),
                    at_ms: line["stamp"]["wall"].as_u64().unwrap_or(0),
                    code: line["event"]["code"].as_u64().unwrap_or(0),
                    logged: line["event"].clone(),
                };
                if event.at_ms >= since_ms {
                    events.push(event);
                }
            }
        }
        events.sort_by_key(|event| event.at_ms);
        events
    }

    /// Processor time of a running member and the time for which it waited for a processor.
    pub fn processor_time(&self, index: usize) -> Option<(Duration, Duration)> {
        let pid = *lock(&self.pids).get(&self.members[index].name)?;
        let text = fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
        let mut fields = text.split_whitespace().map(str::parse::<u64>);
        let mut next = || Some(Duration::from_nanos(fields.next()?.ok()?));
        Some((next()?, next()?))
    }

    /// Resident memory of all running processes and their highest sum, in MB.
    pub fn memory_mb(&self) -> (u64, u64) {
        let mut sums = (0, 0);
        for pid in lock(&self.pids).values() {
            let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
            let kilobytes = |key: &str| {
                let line = status.lines().find(|line| line.starts_with(key));
                let field = line.and_then(|line| line.split_whitespace().nth(1));
                field
                    .and_then(|field| field.parse::<u64>().ok())
                    .unwrap_or(0)
            };
            sums.0 += kilobytes("VmRSS:");
            sums.1 += kilobytes("VmHWM:");
        }
        (sums.0 >> 10, sums.1 >> 10)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let all: Vec<usize> = (0..self.members.len()).collect();
        self.kill(&all);
    }
}
