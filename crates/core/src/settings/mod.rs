//! Settings of one process, read from a JSON file with comments.
//!
//! Reading is strict: an unknown or duplicate field is an error. All errors are found at once, and
//! each names the file, the place, the path, the value and the remedy. [`Settings::check_files`]
//! looks at the files that the settings name.

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
        /// The process's name, unique over the system.
        pub process: Process,
        /// The machine it runs on.
        pub host: Host,
        /// The zone.
        pub data_centre: DataCentre,
        /// The region.
        pub region: Region,
        /// Where it takes messages from other processes and from operators.
        pub listen: SocketAddr,
        /// Where others reach `listen`, when that is another address.
        pub advertise: Option<SocketAddr>,
        /// Where the scrape page is served, besides `listen`.
        pub metrics: Option<SocketAddr>,
        /// Where the control processes listen.
        pub control: Vec<SocketAddr>,
        /// File with the secret that all processes of the system share; without one every peer is
        /// trusted, which only a network of its own allows.
        pub peer_secret_file: Option<PathBuf>,
        /// File with SHA-256 digests of operators' tokens, one a line; without one there are none.
        pub operator_tokens_file: Option<PathBuf>,
        /// Logging.
        pub log: LogSettings,
        /// Bounds on callers and peers.
        pub limits: LimitSettings,
        /// Role: takes callers' requests.
        pub entry_role: Option<EntrySettings>,
        /// Role: keeps the system's state.
        pub control_role: Option<ControlSettings>,
        /// Role: stands beside one back end.
        pub agent_role: Option<AgentSettings>,
        /// Role: watches an engine that entries call directly.
        pub watch_role: Option<WatchSettings>,
    }

    /// Logging.
    #[derive(Eq)]
    pub struct LogSettings {
        /// Level: error, warn, info, debug or trace.
        pub level: String,
        /// Folder for log files; standard output when absent.
        pub folder: Option<PathBuf>,
        /// Events kept in memory for the time line.
        #[serde(rename = "ring")]
        pub event_capacity: usize,
    }

    /// Bounds on callers and peers.
    #[derive(Eq)]
    pub struct LimitSettings {
        /// Connections at once on each port.
        pub connections: usize,
        /// Time to send a whole head and body, and idle time between calls, in milliseconds.
        pub idle_ms: u64,
        /// Longest time a graceful shutdown waits for requests in progress, in milliseconds.
        pub drain_ms: u64,
    }

    /// The entry role.
    #[derive(Eq)]
    pub struct EntrySettings {
        /// Where callers connect.
        pub listen: SocketAddr,
        /// Serve on with the last configuration when all of control is out of reach.
        pub serve_without_control: bool,
        /// Bounds on the way to back ends that are called directly; none where agents are used.
        pub direct: Option<DirectSettings>,
    }

    /// Bounds on the way to back ends that are called directly.
    #[derive(Eq)]
    pub struct DirectSettings {
        /// Where the platform asks whether the process takes callers.
        pub health: SocketAddr,
        /// Attempts beyond the first of each request that a service gets, in thousandths of its
        /// requests.
        pub retry_share: Permille,
        /// Attempts that all entries together may add to that share within the window.
        pub retry_slack: u32,
        /// The window, in milliseconds.
        pub retry_window_ms: u64,
        /// Time from the signal to stop until the process is killed, in milliseconds.
        pub grace_ms: u64,
    }

    /// The control role.
    #[derive(Eq)]
    pub struct ControlSettings {
        /// Folder for durable state.
        pub data: PathBuf,
        /// How this replica's membership begins.
        pub start: ClusterStart,
        /// Whether the leader adds, promotes and replaces members by itself.
        #[serde(rename = "keeps_members")]
        pub manages_members: bool,
        /// Time between two announcements of a back end, in milliseconds; it counts as gone after
        /// four without one.
        pub heartbeat_ms: u64,
    }

    /// How a replica with an empty folder begins.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum ClusterStart {
        /// First start of a new system: the replicas at these addresses form it together.
        Found(Vec<SocketAddr>),
        /// First start of a new system: the replicas at these addresses form it together, and all
        /// others wait until they are added.
        Seeds(Vec<SocketAddr>),
        /// Waits until an operator adds it.
        Join,
    }

    /// The agent role.
    #[derive(Eq)]
    pub struct AgentSettings {
        /// The back end's name.
        pub server: Server,
        /// The service it serves.
        pub service: Service,
        /// Where the back end takes calls.
        pub backend: SocketAddr,
        /// Requests it runs at once.
        pub slots: u32,
        /// Tokens a second with all slots busy; zero for a plain service.
        pub token_rate: TokenRate,
        /// The rank that the back end holds, if any.
        pub rank: Option<RankSettings>,
    }

    /// The watch role.
    #[derive(Eq)]
    pub struct WatchSettings {
        /// Where the engine takes calls and orders.
        pub engine: SocketAddr,
        /// The service that it serves.
        pub service: Service,
    }

    /// A rank of a group.
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
        }
    }
}

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Why settings can't be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{path}: {source}; check the path and the file's rights")]
    File {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The file doesn't hold good settings.
    #[error("{}", Listing(path, faults))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Every fault found.
        faults: Vec<Fault>,
    },
}

/// Faults of one file, a line each.
struct Listing<'a>(&'a Path, &'a [Fault]);

impl fmt::Display for Listing<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in self.1.iter().enumerate() {
            if at > 0 {
                writeln!(f)?;
            }
            let separator = if fault.position.is_some() { "" } else { " " };
            write!(f, "{}:{separator}{fault}", self.0.display())?;
        }
        Ok(())
    }
}

impl Settings {
    /// Reads the settings in the file at `path`; relative paths in them start at its folder.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::File {
            path: path.to_owned(),
            source,
        })?;
        let mut settings = Self::parse(&text, path)?;
        if let Some(folder) = path.parent() {
            settings.rebase(folder);
        }
        Ok(settings)
    }

    /// Takes relative paths in the settings as relative to `folder`.
    fn rebase(&mut self, folder: &Path) {
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

    /// Reads settings from `text`; `path` names it in errors.
    pub fn parse(text: &str, path: &Path) -> Result<Self> {
        let fail = |faults| Error::Invalid {
            path: path.to_owned(),
            faults,
        };
        let tree = jsonc::parse(text).map_err(fail)?;
        read::settings(&tree).map_err(fail)
    }
}
