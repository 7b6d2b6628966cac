//! Inputs, outputs and options of a replica.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassdyke_core::data;
use eelgrassdyke_core::event::Event;
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::unit::Permille;
use eelgrassdyke_core::wire::log::{Members, Message, Record};

/// Input of a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message from another replica.
    Message {
        /// The sender's listen address.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// All jobs up to and including this one are durable.
    Persisted {
        /// Number of the job.
        job: u64,
    },
    /// The disk failed; any job after the last acknowledged one may or may not be durable.
    DiskFailed {
        /// The failure and its remedy.
        problem: String,
    },
    /// Appends a command, if this replica leads.
    Propose {
        /// Identifies the proposal in the outputs.
        token: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// Changes the membership, if this replica leads.
    ChangeMembers {
        /// Identifies the proposal in the outputs.
        token: u64,
        /// The change.
        change: MembershipChange,
    },
    /// Requests a commit index confirmed by a quorum, for a linearisable read.
    ReadIndex {
        /// Identifies the query in the outputs.
        query_number: u64,
    },
    /// A record that was handed out by [`Output::Apply`] can't be applied; it was proposed by a newer
    /// build.
    ApplyFailed {
        /// Its index.
        index: Index,
        /// Why not.
        problem: String,
    },
    /// The state after all records handed out by [`Output::Apply`]; responds to
    /// [`Output::RequestSnapshot`].
    Snapshot {
        /// The encoded state.
        data: Vec<u8>,
    },
    /// The process is about to stop; see [`Replica::may_stop`](super::Replica::may_stop).
    Leave,
    /// Time passed.
    Tick,
}

/// Action that a replica requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Make the job durable after all earlier ones, then report [`Input::Persisted`].
    Persist(Job),
    /// Apply a committed record to the state.
    Apply {
        /// The record.
        record: Record,
        /// Token of the proposal that created the record, if it was made at this replica.
        token: Option<u64>,
    },
    /// Replace the state by the snapshot's.
    RestoreSnapshot(Snapshot),
    /// Provide the current state as [`Input::Snapshot`].
    RequestSnapshot,
    /// A proposal was refused; it has no effect.
    Refused {
        /// The proposal.
        token: u64,
        /// The reason.
        refusal: Refusal,
    },
    /// A proposal was appended, but this replica lost leadership before the commit: the record may
    /// still be committed.
    OutcomeUnknown {
        /// The proposal.
        token: u64,
    },
    /// A quorum confirmed, after the query was made, that `index` is committed.
    ReadIndexConfirmed {
        /// The query.
        query_number: u64,
        /// The commit index; the read may be served once it is applied.
        index: Index,
    },
    /// Record an event.
    Event(Event),
}

/// Reason for which a proposal was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This replica doesn't lead.
    NotLeader,
    /// This replica leads, but can't apply a record of a newer build.
    Halted,
    /// Too many records are uncommitted.
    Overload,
    /// The membership change is not possible at present.
    MembershipChange {
        /// The obstacle.
        problem: String,
        /// The remedy.
        remedy: &'static str,
    },
}

data! {
    /// A membership change.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum MembershipChange {
        /// Adds an unattached replica as a learner.
        Add(Id),
        /// Makes a learner that has caught up a voter.
        Promote(Id),
        /// Removes a replica.
        Remove(Id),
    }

    /// State that a replica must persist before it acts on it.
    #[derive(Default, Eq)]
    pub struct HardState {
        /// Cluster of the replica; zero if it belongs to none.
        pub cluster: u64,
        /// Highest term that it has seen.
        pub term: Term,
        /// Candidate that received its vote in that term.
        pub vote: Option<Id>,
        /// Members with which it has promised to form a cluster, and no others.
        pub promise: Option<Members>,
    }

    /// The state up to an index of the log.
    #[derive(Eq)]
    pub struct Snapshot {
        /// The last index that it covers.
        pub index: Index,
        /// Term of the record at `index`.
        pub term: Term,
        /// Members as of `index`.
        pub members: Members,
        /// The encoded state.
        pub data: Arc<Vec<u8>>,
    }
}

/// Writes that become durable together.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Rises by one with each job.
    pub number: u64,
    /// The writes, in order.
    pub writes: Vec<Write>,
}

/// One write.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// The hard state.
    HardState(HardState),
    /// Records; they replace all records from the index of the first on.
    Records(Vec<Record>),
    /// A snapshot and the state after it; replaces everything written before.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// The hard state.
        hard_state: HardState,
        /// The records after it.
        records: Vec<Record>,
    },
}

/// Content of a data folder.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredState {
    /// The replica's identity.
    pub replica: Id,
    /// Its hard state.
    pub hard_state: HardState,
    /// The newest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// The records after it.
    pub records: Vec<Record>,
    /// Length of a torn frame that was truncated, in bytes.
    pub truncated_bytes: u64,
}

impl RecoveredState {
    /// State of a new replica with an empty data folder.
    pub fn empty(replica: Id) -> Self {
        Self {
            replica,
            hard_state: HardState::default(),
            snapshot: None,
            records: Vec::new(),
            truncated_bytes: 0,
        }
    }
}

data! {
    /// Status of a replica, for operators.
    pub struct ReplicaStatus {
        /// The replica.
        pub replica: Id,
        /// Its cluster; zero if it belongs to none.
        pub cluster: u64,
        /// Last committed index.
        #[serde(rename = "commit")]
        pub commit_index: Index,
        /// Last index of its log.
        #[serde(rename = "last")]
        pub last_index: Index,
        /// Last index that its snapshot covers.
        #[serde(rename = "snapshot")]
        pub snapshot_index: Index,
        /// The members.
        pub members: Members,
        /// On the leader: the last index that each other member is known to hold durably.
        #[serde(rename = "matched")]
        pub match_indexes: BTreeMap<Id, Index>,
        /// Replicas that have recently asked to be added, and their addresses.
        #[serde(rename = "waiting")]
        pub unattached: BTreeMap<Id, SocketAddr>,
        /// Disk failure that stopped it, if any.
        #[serde(rename = "stopped")]
        pub stop_reason: Option<String>,
    }
}

/// Options of a replica.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the replicas that form the cluster; empty for a replica that is to be added.
    pub founders: Vec<SocketAddr>,
    /// Addresses at which an unattached replica looks for a cluster.
    pub seed_addresses: Vec<SocketAddr>,
    /// Time between a leader's heartbeat rounds.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout; a replica grants no vote within this time after a message from
    /// the leader.
    pub election_timeout_min: Duration,
    /// Longest election timeout.
    pub election_timeout_max: Duration,
    /// Largest relative drift between the clocks of two replicas.
    pub clock_drift_max: Permille,
    /// Time between two `Hello` messages.
    pub hello_interval: Duration,
    /// Most bytes of records in one message.
    pub batch_bytes: usize,
    /// Most unacknowledged messages with records per replica.
    pub in_flight_max: u32,
    /// Most uncommitted records; further proposals are refused.
    pub uncommitted_records_max: usize,
    /// Records applied after which a snapshot is taken.
    pub snapshot_records: u64,
    /// Bytes of records applied after which a snapshot is taken.
    pub snapshot_bytes: usize,
    /// Records before a snapshot that stay in memory for replicas that lag.
    pub retained_records: u64,
    /// Most bytes of a snapshot in one message.
    pub snapshot_part_bytes: usize,
    /// Whether the leader adds, promotes and replaces members automatically.
    pub manages_members: bool,
    /// Time within which a new host must have taken the place of one that is gone for good, if the deployment
    /// states it; it bounds how long the leader waits for a silent voter.
    pub catch_up: Option<Duration>,
    /// Whether a learner that has caught up becomes a sixth voter at once, so that the loss of a host whose
    /// successor runs leaves as many to spare as before.
    pub spare_voter: bool,
    /// Whether voters that all restart at once elect a leader without waiting for an earlier leader's
    /// lease to end.
    pub elects_after_restart: bool,
    /// Seed of the random election timeouts.
    pub timeout_seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            founders: Vec::new(),
            seed_addresses: Vec::new(),
            heartbeat_interval: Duration::from_millis(200),
            election_timeout_min: Duration::from_millis(1000),
            election_timeout_max: Duration::from_millis(2000),
            clock_drift_max: Permille(100),
            hello_interval: Duration::from_millis(500),
            batch_bytes: 256 << 10,
            in_flight_max: 16,
            uncommitted_records_max: 8192,
            snapshot_records: 2000,
            snapshot_bytes: 16 << 20,
            retained_records: 1000,
            snapshot_part_bytes: 256 << 10,
            manages_members: false,
            catch_up: None,
            spare_voter: false,
            elects_after_restart: false,
            timeout_seed: 0,
        }
    }
}
