//! Settings of one process, read from a JSON file with comments.
//!
//! Parsing is strict: an unknown or duplicate field is an error. All errors are reported together,
//! each with the file, the position, the path of the field, the value and the remedy.
//! [`Settings::check_files`] checks the files that the settings refer to.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::data;
use crate::id::{DataCentre, Group, Host, Process, Rank, Region, Server, Service};
use crate::jsonc::{self, Fault};
use crate::unit::{Permille, TokenRate};

pub use files::FileFaults;

mod files;
mod read;
mod section;

data! {
    /// Settings of one process.
    #[derive(Eq)]
    pub struct Settings {
        /// The process name, unique in the system.
        pub process: Process,
        /// The host that the process runs on.
        pub host: Host,
        /// The data centre of the host.
        pub data_centre: DataCentre,
        /// The region of the data centre.
        pub region: Region,
        /// Listening address for messages from other processes and for operators.
        pub listen: SocketAddr,
        /// Address at which other processes reach `listen`, if it differs.
        pub advertise: Option<SocketAddr>,
        /// Additional listening address for the metrics page, which `listen` serves too.
        pub metrics: Option<SocketAddr>,
        /// Addresses of the control processes.
        #[serde(rename = "control")]
        pub control_addresses: Vec<SocketAddr>,
        /// File with the secret shared by all processes of the system. Without one every peer is
        /// trusted, which is safe only on an isolated network.
        pub peer_secret_file: Option<PathBuf>,
        /// File with SHA-256 digests of operators' tokens, one per line; without one there are no
        /// tokens.
        pub operator_tokens_file: Option<PathBuf>,
        /// Logging.
        pub log: LogSettings,
        /// Connection limits and timeouts.
        pub limits: LimitSettings,
        /// Entry role: accepts callers' requests.
        pub entry_role: Option<EntrySettings>,
        /// Control role: keeps the replicated log and the system's state.
        pub control_role: Option<ControlSettings>,
        /// Agent role: runs beside one backend server and dispatches to it.
        pub agent_role: Option<AgentSettings>,
        /// Watch role: monitors an engine that entries call directly.
        pub watch_role: Option<WatchSettings>,
    }

    /// Logging.
    #[derive(Eq)]
    pub struct LogSettings {
        /// Log level: error, warn, info, debug or trace.
        pub level: String,
        /// Folder for log files; logs go to standard output if absent.
        pub folder: Option<PathBuf>,
        /// Number of events kept in memory for the timeline.
        #[serde(rename = "ring")]
        pub event_capacity: usize,
    }

    /// Connection limits and timeouts towards callers and peers.
    #[derive(Eq)]
    pub struct LimitSettings {
        /// Maximum of concurrent connections on each port.
        pub connections: usize,
        /// Timeout for receiving the request head and body, and idle timeout between requests, in
        /// milliseconds.
        pub idle_ms: u64,
        /// Longest time that a graceful shutdown waits for in-flight requests, in milliseconds.
        pub drain_ms: u64,
        /// Memory that the process may use, in MiB; bounds what it holds of the bodies of requests and
        /// responses.
        pub memory_mb: u64,
        /// Descriptors that the process may use; the limit of the system if it is not set.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub descriptors: Option<usize>,
    }

    /// The entry role.
    #[derive(Eq)]
    pub struct EntrySettings {
        /// Listening address for callers.
        pub listen: SocketAddr,
        /// Whether to continue serving with the last configuration while all control processes are
        /// unreachable.
        pub serve_without_control: bool,
        /// Settings for servers that are called directly; none where agents are used.
        pub direct: Option<DirectSettings>,
    }

    /// Settings for servers that entries call directly.
    #[derive(Eq)]
    pub struct DirectSettings {
        /// Listening address for the platform's readiness probes.
        pub health: SocketAddr,
        /// Retry budget of a service: attempts beyond the first, in thousandths of its requests.
        pub retry_share: Permille,
        /// Retries that all entries together may add to that budget within the window.
        pub retry_slack: u32,
        /// Window of the retry budget, in milliseconds.
        pub retry_window_ms: u64,
        /// Time between the stop signal and the forced termination of the process, in milliseconds.
        pub grace_ms: u64,
        /// Requests that a cold server may get in any second, in thousandths of its cold rate.
        pub cold_overage: Permille,
        /// Requests that a cold server may get in any second beyond that.
        pub cold_slack: u32,
        /// Whether the entries' shares of a server's slots are exact; otherwise each entry uses an equal
        /// part, rounded up.
        pub exact_slots: bool,
    }

    /// The control role.
    #[derive(Eq)]
    pub struct ControlSettings {
        /// Folder for durable state.
        pub data: PathBuf,
        /// How a replica with an empty data folder becomes a member of a cluster.
        pub start: ClusterStart,
        /// Whether the leader adds, promotes and replaces members automatically.
        #[serde(rename = "keeps_members")]
        pub manages_members: bool,
        /// Time within which a new host must have taken the place of one that is gone for good, in
        /// milliseconds; bounds how long a silent voter is waited for.
        pub catch_up_ms: Option<u64>,
        /// Whether a learner that has caught up becomes a sixth voter at once; the same for all control
        /// processes.
        pub spare_voter: bool,
        /// Time between the stop signal and the forced termination of the process, in milliseconds. If given, a
        /// voter that stops gives its vote to another replica first.
        pub grace_ms: Option<u64>,
        /// Whether control processes that all restart at once elect a leader without waiting for an
        /// earlier leader's lease to end.
        pub elects_after_restart: bool,
        /// Heartbeat interval of servers, in milliseconds; the lease of a server lasts four of them.
        pub heartbeat_ms: u64,
        /// Whether the leader assigns each rank group to a control process instead of coordinating all of
        /// them itself; the same for all control processes.
        pub spreads_groups: bool,
        /// Whether engines refuse orders with a lower fencing token than they have seen. If not, the
        /// coordinators of rank groups guard their orders by other means.
        pub engines_check_fencing: bool,
    }

    /// How a replica with an empty data folder becomes a member of a cluster.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum ClusterStart {
        /// Bootstraps a new cluster formed by the replicas at these addresses.
        #[serde(rename = "found")]
        Bootstrap(Vec<SocketAddr>),
        /// Bootstraps a new cluster formed by the replicas at these addresses; a replica at another
        /// address waits until it is added.
        Seeds(Vec<SocketAddr>),
        /// Bootstraps a new cluster formed by the replicas at the addresses in `control`, as soon as a majority
        /// of them runs; another replica waits until it is added. A process starts with this value only if its
        /// whole system starts for the first time, with empty data folders; later it starts with `Join`.
        FirstStart,
        /// Waits until an operator adds the replica to a cluster.
        Join,
    }

    /// The agent role.
    #[derive(Eq)]
    pub struct AgentSettings {
        /// The server's name.
        pub server: Server,
        /// The service that it serves.
        pub service: Service,
        /// The server's address.
        pub backend: SocketAddr,
        /// Number of requests that it runs concurrently.
        pub slots: u32,
        /// Tokens per second with all slots busy; zero for a plain service.
        pub token_rate: TokenRate,
        /// The rank that the server holds in a group, if any.
        pub rank: Option<RankSettings>,
    }

    /// The watch role.
    #[derive(Eq)]
    pub struct WatchSettings {
        /// The engine's address, for calls and orders.
        pub engine: SocketAddr,
        /// The service that it serves.
        pub service: Service,
    }

    /// The rank of a server in a group.
    #[derive(Eq)]
    pub struct RankSettings {
        /// The group.
        pub group: Group,
        /// The rank.
        pub rank: Rank,
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            folder: None,
            event_capacity: 4096,
        }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            connections: 4096,
            idle_ms: 30_000,
            drain_ms: 120_000,
            memory_mb: 512,
            descriptors: None,
        }
    }
}

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Why settings can't be loaded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{path}: {source}; check the path and the file's permissions")]
    File {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The settings are invalid.
    #[error("{}", FaultList(path, faults))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// All faults found.
        faults: Vec<Fault>,
    },
}

/// The faults of one file, one per line.
struct FaultList<'a>(&'a Path, &'a [Fault]);

impl fmt::Display for FaultList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.1.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            let separator = if fault.position.is_some() { "" } else { " " };
            write!(f, "{}:{separator}{fault}", self.0.display())?;
        }
        Ok(())
    }
}

impl Settings {
    /// Reads the settings in the file at `path`; relative paths in them are resolved against its folder.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::File {
            path: path.to_owned(),
            source,
        })?;
        let mut settings = Self::parse(&text, path)?;
        if let Some(folder) = path.parent() {
            settings.resolve_paths(folder);
        }
        Ok(settings)
    }

    /// Resolves relative paths in the settings against `folder`.
    fn resolve_paths(&mut self, folder: &Path) {
        let paths = [
            self.peer_secret_file.as_mut(),
            self.operator_tokens_file.as_mut(),
            self.log.folder.as_mut(),
            self.control_role.as_mut().map(|control| &mut control.data),
        ];
        for path in paths.into_iter().flatten() {
            *path = folder.join(&*path);
        }
    }

    /// Parses settings from `text`; errors name it as `path`.
    pub fn parse(text: &str, path: &Path) -> Result<Self> {
        let invalid = |faults| Error::Invalid {
            path: path.to_owned(),
            faults,
        };
        let tree = jsonc::parse(text).map_err(invalid)?;
        read::from_tree(&tree).map_err(invalid)
    }
}
