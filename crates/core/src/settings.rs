//! Settings of one process, read from a JSON file with comments.
//!
//! Reading is strict: an unknown or doubled field is an error, and every error names the file, the
//! path within it, the value and the remedy.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::data;
use crate::id::{DataCentre, Group, Host, Process, Rank, Region, Server, Service};
use crate::unit::TokenRate;

data! {
    /// Settings of one process.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
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
        #[serde(default)]
        pub advertise: Option<SocketAddr>,
        /// Where the control processes listen.
        pub control: Vec<SocketAddr>,
        /// File with the secret that all processes of the system share.
        pub peer_secret_file: PathBuf,
        /// File with SHA-256 digests of operators' tokens, one a line.
        pub operator_tokens_file: PathBuf,
        /// Logging.
        #[serde(default)]
        pub log: Log,
        /// Bounds on callers and peers.
        #[serde(default)]
        pub limits: Limits,
        /// Role: takes callers' requests.
        #[serde(default)]
        pub entry_role: Option<Entry>,
        /// Role: keeps the system's state.
        #[serde(default)]
        pub control_role: Option<Control>,
        /// Role: stands beside one back end.
        #[serde(default)]
        pub agent_role: Option<Agent>,
    }

    /// Logging.
    #[derive(Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct Log {
        /// Level: error, warn, info, debug or trace.
        pub level: String,
        /// Folder for log files; standard error when absent.
        pub folder: Option<PathBuf>,
        /// Events kept in memory for the time line.
        pub ring: usize,
    }

    /// Bounds on callers and peers.
    #[derive(Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct Limits {
        /// Connections at once on each port.
        pub connections: usize,
        /// Time to send a whole head and body, and idle time between calls, in milliseconds.
        pub idle_ms: u64,
        /// Longest time a graceful shutdown waits for requests in progress, in milliseconds.
        pub drain_ms: u64,
    }

    /// The entry role.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Entry {
        /// Where callers connect.
        pub listen: SocketAddr,
        /// Serve on with the last configuration when all of control is out of reach.
        #[serde(default = "yes")]
        pub serve_without_control: bool,
    }

    /// The control role.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Control {
        /// Folder for durable state.
        pub data: PathBuf,
        /// How this replica's membership begins.
        pub start: Start,
    }

    /// How a replica with an empty folder begins.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Start {
        /// First start of a new system: the replicas at these addresses form it together.
        Found(Vec<SocketAddr>),
        /// Waits until an operator adds it.
        Join,
    }

    /// The agent role.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Agent {
        /// The back end's name.
        pub server: Server,
        /// The service it serves.
        pub service: Service,
        /// Where the back end takes calls.
        pub backend: SocketAddr,
        /// Requests it runs at once.
        pub slots: u32,
        /// Tokens a second with all slots busy; zero for a plain service.
        #[serde(default)]
        pub token_rate: TokenRate,
        /// The rank that the back end holds, if any.
        #[serde(default)]
        pub rank: Option<Seat>,
    }

    /// A rank of a group.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Seat {
        /// The group.
        pub group: Group,
        /// The rank.
        pub rank: Rank,
    }
}

fn yes() -> bool {
    true
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            folder: None,
            ring: 4096,
        }
    }
}

impl Default for Limits {
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
    /// The text is not JSON with comments.
    #[error("{path}: {problem}; correct the syntax")]
    Syntax {
        /// The file.
        path: PathBuf,
        /// What is wrong, and where.
        problem: String,
    },
    /// A value is wrong.
    #[error("{path}: at {at}: {problem}; correct the value")]
    Value {
        /// The file.
        path: PathBuf,
        /// Path within the file.
        at: String,
        /// What is wrong.
        problem: String,
    },
}

impl Settings {
    /// Reads the settings in the file at `path`.
    pub fn read(path: &std::path::Path) -> Result<Self> {
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
    fn rebase(&mut self, folder: &std::path::Path) {
        let paths = [
            Some(&mut self.peer_secret_file),
            Some(&mut self.operator_tokens_file),
            self.log.folder.as_mut(),
            self.control_role.as_mut().map(|control| &mut control.data),
        ];
        for path in paths.into_iter().flatten() {
            *path = folder.join(&*path);
        }
    }

    /// Reads settings from `text`; `path` names it in errors.
    pub fn parse(text: &str, path: &std::path::Path) -> Result<Self> {
        let options = jsonc_parser::ParseOptions::default();
        let value: serde_json::Value =
            jsonc_parser::parse_to_serde_value(text, &options).map_err(|error| Error::Syntax {
                path: path.to_owned(),
                problem: error.to_string(),
            })?;
        serde_path_to_error::deserialize(value).map_err(|error| Error::Value {
            path: path.to_owned(),
            at: error.path().to_string(),
            problem: error.inner().to_string(),
        })
    }
}
