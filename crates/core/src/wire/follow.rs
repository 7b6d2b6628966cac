//! How entries and agents follow the configuration and the directory.
//!
//! A follower says what it holds about once a second and whenever it has applied an update; control
//! answers with what is newer and pushes changes for a few seconds after. Nothing is applied that
//! would step back.

use std::sync::Arc;

use crate::config::{Document, Patch};
use crate::data;
use crate::digest::Sha256;
use crate::id::{Operation, Server, Version};
use crate::wire::directory::{ServerInfo, ServerLoad};

data! {
    /// What a follower holds and wants.
    #[derive(Eq)]
    pub struct PollRequest {
        /// Version of the configuration it has in force.
        pub version: Version,
        /// Digest of that configuration.
        pub digest: Sha256,
        /// The control process whose directory it holds and the revision of it; none at first.
        #[serde(rename = "directory")]
        pub directory_revision: Option<DirectoryRevision>,
        /// Whether it wants the directory; agents don't.
        pub wants_directory: bool,
        /// Whether it wants the configuration; who only watches an engine doesn't.
        #[serde(default = "PollRequest::default_wants_config")]
        pub wants_config: bool,
        /// Whether it asks for a version that a quorum has confirmed before it serves.
        #[serde(rename = "confirm")]
        pub wants_confirmation: bool,
        /// Names this question; no other life of the follower uses the same number.
        #[serde(rename = "question")]
        pub poll_number: u64,
    }

    /// A revision of one control process's directory.
    #[derive(Eq)]
    pub struct DirectoryRevision {
        /// The control process and life.
        #[serde(rename = "of")]
        pub source: (crate::id::Process, crate::id::Incarnation),
        /// Rises with each change; 0 while back ends have yet to announce themselves.
        pub number: u64,
        /// Rises with each load noted.
        #[serde(rename = "loads")]
        pub load_number: u64,
    }

    /// What is newer than a follower holds.
    pub struct Update {
        /// The version that control has committed.
        #[serde(rename = "present")]
        pub committed_version: Version,
        /// Whether this process is in touch with a quorum; if not, `present` may be overtaken.
        #[serde(default = "Update::default_has_quorum")]
        #[serde(rename = "current")]
        pub has_quorum: bool,
        /// Whether a quorum confirmed `present` after the follower asked.
        pub confirmed: bool,
        /// The question answered; of a push, the last one heard.
        #[serde(rename = "question")]
        pub poll_number: u64,
        /// The configuration, when the follower's is older.
        pub config: Option<ConfigUpdate>,
        /// The directory, when the follower's is older.
        pub directory: Option<DirectoryUpdate>,
        /// Where the control processes take messages; empty when this one knows only itself.
        #[serde(default)]
        pub control: Vec<std::net::SocketAddr>,
        /// Where the leader takes messages, as far as this process knows.
        #[serde(default)]
        pub leader: Option<std::net::SocketAddr>,
        /// Engines that are slow now.
        #[serde(default)]
        #[serde(rename = "slow")]
        pub slow_engines: Vec<crate::wire::rank::SlowEngine>,
        /// Entries heard lately by any control process, the follower among them.
        #[serde(default)]
        #[serde(rename = "entries")]
        pub entry_count: u32,
    }

    /// A newer configuration.
    #[derive(Eq)]
    pub enum ConfigUpdate {
        /// Everything.
        Snapshot {
            /// Its version.
            version: Version,
            /// The document.
            document: Arc<Document>,
        },
        /// Changes to apply in order to version `from`.
        Deltas {
            /// The version they apply to.
            #[serde(rename = "from")]
            base: Version,
            /// Each change, one version apart.
            #[serde(rename = "changes")]
            deltas: Vec<Delta>,
            /// Digest of the result.
            digest: Sha256,
        },
    }

    /// One accepted change.
    #[derive(Eq)]
    pub struct Delta {
        /// Version that holds it.
        pub version: Version,
        /// The operation that made it.
        pub operation: Operation,
        /// Objects put and removed.
        pub patch: Patch,
    }

    /// A newer directory.
    pub struct DirectoryUpdate {
        /// Its revision.
        pub revision: DirectoryRevision,
        /// The revision that `rows` and `gone` apply to; none when `rows` is everything.
        #[serde(rename = "since")]
        pub base_revision: Option<u64>,
        /// Whether every back end had time to announce itself; if not, absent rows are not gone.
        #[serde(rename = "settled")]
        pub warmed_up: bool,
        /// Back ends that are new or changed, with the number of the beat that said so.
        #[serde(rename = "rows")]
        pub servers: Vec<(ServerInfo, u64)>,
        /// Back ends that are gone.
        #[serde(rename = "gone")]
        pub removed: Vec<Server>,
        /// Loads that changed by much, the longest unsent first.
        pub loads: Vec<LoadReading>,
        /// Whether `loads` holds all that is newer; the other loads are then as they were.
        pub loads_complete: bool,
    }

    /// A back end's load as last reported.
    #[derive(Eq)]
    #[serde(into = "PackedLoadReading", from = "PackedLoadReading")]
    pub struct LoadReading {
        /// The back end.
        pub server: Server,
        /// Its load.
        pub load: ServerLoad,
        /// Time since it was reported, in milliseconds.
        pub age_ms: u32,
    }
}

/// A reading without field names, since many of them travel.
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
