//! What goes into a replica and what comes out.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassdyke_core::data;
use eelgrassdyke_core::event::Event;
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::unit::Permille;
use eelgrassdyke_core::wire::log::{Members, Message, Record};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message came from another replica.
    Message {
        /// Where the sender takes messages.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// All jobs up to this one are durable.
    Persisted {
        /// The job.
        job: u64,
    },
    /// The disk failed; nothing that it was given since the last confirmed job is sure.
    DiskFailed {
        /// What went wrong and what to do about it.
        problem: String,
    },
    /// Appends a command, if this replica leads.
    Propose {
        /// Names the proposal in the outputs.
        token: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// Changes the members, if this replica leads.
    ChangeMembers {
        /// Names the proposal in the outputs.
        token: u64,
        /// The change.
        change: MembershipChange,
    },
    /// Asks for a position that a quorum confirms as committed.
    ReadIndex {
        /// Identifies the query in the outputs.
        query_number: u64,
    },
    /// The state after everything that was handed out to apply, in answer to
    /// [`Output::RequestSnapshot`].
    Snapshot {
        /// The encoded state.
        data: Vec<u8>,
    },
    /// Nothing but time passed.
    Tick,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Make this durable, after all jobs before it, and answer [`Input::Persisted`].
    Persist(Job),
    /// Apply a committed record to the state.
    Apply {
        /// The record.
        record: Record,
        /// The proposal that it answers, if this replica made it.
        token: Option<u64>,
    },
    /// Replace the state by this one.
    RestoreSnapshot(Snapshot),
    /// Hand in the present state as [`Input::Snapshot`].
    RequestSnapshot,
    /// A proposal was not taken in and won't be.
    Refused {
        /// The proposal.
        token: u64,
        /// Why.
        refusal: Refusal,
    },
    /// A proposal was appended, but this replica no longer leads: its fate is not known.
    OutcomeUnknown {
        /// The proposal.
        token: u64,
    },
    /// A quorum confirmed that `index` is committed, after the question was asked.
    ReadIndexConfirmed {
        /// The query.
        query_number: u64,
        /// The position; wait until it is applied.
        index: Index,
    },
    /// Note an event.
    Event(Event),
}

/// Why a proposal was not taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This replica doesn't lead.
    NotLeader,
    /// Too much waits for a quorum already.
    Overload,
    /// The membership change is not possible at present.
    MembershipChange {
        /// What is in the way.
        problem: String,
        /// What to do about it.
        remedy: &'static str,
    },
}

data! {
    /// A change of the members.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum MembershipChange {
        /// Lets a waiting replica follow the log without a vote.
        Add(Id),
        /// Gives a learner that has caught up a vote.
        Promote(Id),
        /// Takes a replica out.
        Remove(Id),
    }

    /// What a replica must remember of its promises.
    #[derive(Default, Eq)]
    pub struct HardState {
        /// The cluster that it belongs to; zero while it belongs to none.
        pub cluster: u64,
        /// The newest term that it knows.
        pub term: Term,
        /// Whom it gave its vote in that term.
        pub vote: Option<Id>,
        /// The members with which it promised to form a cluster.
        pub promise: Option<Members>,
    }

    /// The state up to a position of the log.
    #[derive(Eq)]
    pub struct Snapshot {
        /// The last position that it covers.
        pub index: Index,
        /// Term of the record there.
        pub term: Term,
        /// The members as of that position.
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
    /// The promises.
    HardState(HardState),
    /// Records; the first replaces what was at its position and all after it.
    Records(Vec<Record>),
    /// A snapshot and what follows it; replaces everything before.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// The promises.
        hard: HardState,
        /// The records after it.
        records: Vec<Record>,
    },
}

/// What a data folder holds.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredState {
    /// The replica's identity.
    pub replica: Id,
    /// Its promises.
    pub hard: HardState,
    /// The newest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// The records after it.
    pub records: Vec<Record>,
    /// Bytes of a torn tail that were cut off.
    pub truncated_bytes: u64,
}

impl RecoveredState {
    /// An empty data folder of a new replica.
    pub fn empty(replica: Id) -> Self {
        Self {
            replica,
            hard: HardState::default(),
            snapshot: None,
            records: Vec::new(),
            truncated_bytes: 0,
        }
    }
}

data! {
    /// A replica's view of the log, for operators.
    pub struct ReplicaStatus {
        /// The replica.
        pub replica: Id,
        /// Its cluster; zero while it belongs to none.
        pub cluster: u64,
        /// Last position committed.
        #[serde(rename = "commit")]
        pub commit_index: Index,
        /// Last position in its log.
        #[serde(rename = "last")]
        pub last_index: Index,
        /// Last position that its snapshot covers.
        #[serde(rename = "snapshot")]
        pub snapshot_index: Index,
        /// The members.
        pub members: Members,
        /// On the leader: how far each other member's log is known to match.
        #[serde(rename = "matched")]
        pub match_indexes: BTreeMap<Id, Index>,
        /// Replicas without a cluster that were heard lately, and where they listen.
        #[serde(rename = "waiting")]
        pub unattached: BTreeMap<Id, SocketAddr>,
        /// Why it stopped, if it did.
        #[serde(rename = "stopped")]
        pub stop_reason: Option<String>,
    }
}

/// Options of a replica.
#[derive(Clone, Debug)]
pub struct Options {
    /// The replicas that form the cluster; empty for one that waits to be added.
    pub founders: Vec<SocketAddr>,
    /// Where this replica finds others while it belongs to no cluster.
    pub seed_addresses: Vec<SocketAddr>,
    /// Time between a leader's rounds.
    pub heartbeat_interval: Duration,
    /// Shortest time without a leader after which a replica stands for election; nobody votes
    /// within this time after hearing from a leader.
    pub election_timeout_min: Duration,
    /// Longest such time.
    pub election_timeout_max: Duration,
    /// Most that one replica's clock gains on another's.
    pub clock_drift_max: Permille,
    /// Time between two messages that look for other replicas.
    pub hello_interval: Duration,
    /// Records of one message, in bytes.
    pub batch_bytes: usize,
    /// Messages with records that may be under way to one replica.
    pub in_flight_max: u32,
    /// Records that may wait for a quorum.
    pub uncommitted_records_max: usize,
    /// Records applied after which a snapshot is taken.
    pub snapshot_records: u64,
    /// Bytes of records applied after which a snapshot is taken.
    pub snapshot_bytes: usize,
    /// Records kept in memory behind a snapshot for replicas that lag.
    pub retained_records: u64,
    /// Part of a snapshot in one message, in bytes.
    pub snapshot_part_bytes: usize,
    /// Whether the leader adds, promotes and replaces members by itself.
    pub manages_members: bool,
    /// Seed of the election timeouts.
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
            timeout_seed: 0,
        }
    }
}
