//! Replication of the configuration and the directory to entries and agents.
//!
//! A follower polls about once a second, and whenever it has applied an update, with the versions
//! that it holds. Control responds with newer ones and pushes changes for a few seconds after a poll.
//! A follower never applies an update that would go back to an older version.

use std::sync::Arc;

use crate::config::{Document, Patch};
use crate::data;
use crate::digest::Sha256;
use crate::id::{Incarnation, Operation, Server, Version};
use crate::limit::{ServiceDemand, ServiceShare};
use crate::wire::directory::{ServerInfo, ServerLoad};
use crate::wire::rank::Assignments;

data! {
    /// A follower's poll: the versions that it holds and the data that it wants.
    #[derive(Eq)]
    pub struct PollRequest {
        /// Version of the configuration in force at the follower.
        pub version: Version,
        /// Digest of that configuration.
        pub digest: Sha256,
        /// The directory revision that it holds; none at first.
        #[serde(rename = "directory")]
        pub directory_revision: Option<DirectoryRevision>,
        /// Whether it wants the directory; agents don't need it.
        pub wants_directory: bool,
        /// Whether it wants the configuration; a watch process doesn't need it.
        #[serde(default = "PollRequest::default_wants_config")]
        pub wants_config: bool,
        /// Whether it needs a version confirmed by a quorum before it can serve.
        #[serde(rename = "confirm")]
        pub wants_confirmation: bool,
        /// Number of the poll; distinct, with high probability, over the incarnations of the follower.
        #[serde(rename = "question")]
        pub poll_number: u64,
        /// Requests that the follower receives, for the services with limited servers.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub demands: Vec<ServiceDemand>,
    }

    /// A revision of the directory of one control process.
    #[derive(Eq)]
    pub struct DirectoryRevision {
        /// The control process and its incarnation.
        #[serde(rename = "of")]
        pub source: (crate::id::Process, crate::id::Incarnation),
        /// Incremented by each change; earlier builds send 0 while servers have yet to announce themselves.
        pub number: u64,
        /// Incremented by each load report.
        #[serde(rename = "loads")]
        pub load_number: u64,
    }

    /// Response to a poll, or a push: everything newer than the follower holds.
    pub struct Update {
        /// The configuration version that control has committed.
        #[serde(rename = "present")]
        pub committed_version: Version,
        /// Whether the control process has contact with a quorum; if not, `committed_version` may be
        /// outdated.
        #[serde(default = "Update::default_has_quorum")]
        #[serde(rename = "current")]
        pub has_quorum: bool,
        /// Whether a quorum confirmed `committed_version` after it received the poll.
        pub confirmed: bool,
        /// Number of the poll answered; for a push, of the last poll received.
        #[serde(rename = "question")]
        pub poll_number: u64,
        /// The configuration, if the follower's is older.
        pub config: Option<ConfigUpdate>,
        /// The directory, if the follower's is older.
        pub directory: Option<DirectoryUpdate>,
        /// Addresses of the control processes; empty if the sender knows no other than its own.
        #[serde(default)]
        #[serde(rename = "control")]
        pub control_addresses: Vec<std::net::SocketAddr>,
        /// Address of the leader, if known.
        #[serde(default)]
        pub leader: Option<std::net::SocketAddr>,
        /// Engines that are slow or whose group is closed.
        #[serde(default)]
        #[serde(rename = "slow")]
        pub slow_engines: Vec<crate::wire::rank::SlowEngine>,
        /// Number of entries that polled any control process recently, the follower included.
        #[serde(default)]
        #[serde(rename = "entries")]
        pub entry_count: u32,
        /// The follower's shares of the services that it named a demand for.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub shares: Vec<ServiceShare>,
        /// The coordinators of the rank groups, for followers that don't want the configuration; empty if
        /// the leader coordinates all groups.
        #[serde(default, skip_serializing_if = "Assignments::is_unknown")]
        pub coordinators: Assignments,
    }

    /// A newer configuration.
    #[derive(Eq)]
    pub enum ConfigUpdate {
        /// The complete configuration.
        Snapshot {
            /// Its version.
            version: Version,
            /// The document.
            document: Arc<Document>,
        },
        /// Changes that turn version `base` into the new one, applied in the order listed.
        Deltas {
            /// The version that the changes apply to.
            #[serde(rename = "from")]
            base: Version,
            /// The changes, one version each.
            #[serde(rename = "changes")]
            deltas: Vec<Delta>,
            /// Digest of the resulting document.
            digest: Sha256,
        },
    }

    /// One accepted change.
    #[derive(Eq)]
    pub struct Delta {
        /// Version that contains the change.
        pub version: Version,
        /// The operation that made it.
        pub operation: Operation,
        /// Objects put and removed.
        pub patch: Patch,
    }

    /// A newer directory.
    pub struct DirectoryUpdate {
        /// Revision of the directory after the update.
        pub revision: DirectoryRevision,
        /// The revision that `servers` and `removed` apply to; none if `servers` is complete.
        #[serde(rename = "since")]
        pub base_revision: Option<u64>,
        /// Whether all servers have had time to announce themselves; if not, the absence of a server
        /// from a complete list does not mean that it is gone.
        #[serde(rename = "settled")]
        pub warmed_up: bool,
        /// New and changed servers, each with the sequence number of its heartbeat.
        #[serde(rename = "rows")]
        pub servers: Vec<(ServerInfo, u64)>,
        /// Servers that are gone.
        #[serde(rename = "gone")]
        pub removed: Vec<Server>,
        /// Those of `removed` that have left, each with the incarnation and the sequence number up to which
        /// its heartbeats are outdated.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub departed: Vec<(Server, Incarnation, u64)>,
        /// Loads that changed considerably; those not sent for the longest time come first.
        pub loads: Vec<LoadReading>,
        /// Whether `loads` holds all newer loads; if so, the others are unchanged.
        pub loads_complete: bool,
    }

    /// The last reported load of a server.
    #[derive(Eq)]
    #[serde(into = "PackedLoadReading", from = "PackedLoadReading")]
    pub struct LoadReading {
        /// The server.
        pub server: Server,
        /// Its load.
        pub load: ServerLoad,
        /// Time since the report, in milliseconds.
        pub age_ms: u32,
    }
}

/// A [`LoadReading`] without field names, to save space in updates with many of them.
type PackedLoadReading = (Server, u32, u32, u32, u64, u64, u64);

impl From<LoadReading> for PackedLoadReading {
    fn from(reading: LoadReading) -> Self {
        let load = reading.load;
        (
            reading.server,
            reading.age_ms,
            load.running,
            load.queued,
            load.backlog_tokens,
            load.first_token_us,
            load.token_us,
        )
    }
}

impl From<PackedLoadReading> for LoadReading {
    fn from(packed: PackedLoadReading) -> Self {
        let (server, age_ms, running, queued, backlog_tokens, first_token_us, token_us) = packed;
        let load = ServerLoad {
            running,
            queued,
            backlog_tokens,
            first_token_us,
            token_us,
        };
        Self {
            server,
            load,
            age_ms,
        }
    }
}

impl PollRequest {
    fn default_wants_config() -> bool {
        true
    }
}

impl Update {
    fn default_has_quorum() -> bool {
        true
    }
}
