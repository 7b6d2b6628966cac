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
    Change {
        /// Names the proposal in the outputs.
        token: u64,
        /// The change.
        change: Change,
    },
    /// Asks for a position that a quorum confirms as committed.
    Confirm {
        /// Names the question in the outputs.
        question: u64,
    },
    /// The state after everything that was handed out to apply, in answer to
    /// [`Output::WantSnapshot`].
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
    Restore(Snapshot),
    /// Hand in the present state as [`Input::Snapshot`].
    WantSnapshot,
    /// A proposal was not taken in and won't be.
    Refused {
        /// The proposal.
        token: u64,
        /// Why.
        refusal: Refusal,
    },
    /// A proposal was appended, but this replica no longer leads: its fate is not known.
    Unknown {
        /// The proposal.
        token: u64,
    },
    /// A quorum confirmed that `index` is committed, after the question was asked.
    Confirmed {
        /// The question.
        question: u64,
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
    /// The change of members is not possible now.
    Members {
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
    pub enum Change {
        /// Lets a waiting replica follow the log without a vote.
        Add(Id),
        /// Gives a learner that has caught up a vote.
        Promote(Id),
        /// Takes a replica out.
        Remove(Id),
    }

    /// What a replica must remember of its promises.
    #[derive(Default, Eq)]
    pub struct Hard {
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
    Hard(Hard),
    /// Records; the first replaces what was at its position and all after it.
    Records(Vec<Record>),
    /// A snapshot and what follows it; replaces everything before.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// The promises.
        hard: Hard,
        /// The records after it.
        records: Vec<Record>,
    },
}

/// What a data folder holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovered {
    /// The replica's identity.
    pub replica: Id,
    /// Its promises.
    pub hard: Hard,
    /// The newest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// The records after it.
    pub records: Vec<Record>,
    /// Bytes of a torn tail that were cut off.
    pub cut: u64,
}

impl Recovered {
    /// An empty data folder of a new replica.
    pub fn blank(replica: Id) -> Self {
        Self {
            replica,
            hard: Hard::default(),
            snapshot: None,
            records: Vec::new(),
            cut: 0,
        }
    }
}

data! {
    /// A replica's view of the log, for operators.
    pub struct Standing {
        /// The replica.
        pub replica: Id,
        /// Its cluster; zero while it belongs to none.
        pub cluster: u64,
        /// Last position committed.
        pub commit: Index,
        /// Last position in its log.
        pub last: Index,
        /// Last position that its snapshot covers.
        pub snapshot: Index,
        /// The members.
        pub members: Members,
        /// On the leader: how far each other member's log is known to match.
        pub matched: BTreeMap<Id, Index>,
        /// Replicas without a cluster that were heard lately, and where they listen.
        pub waiting: BTreeMap<Id, SocketAddr>,
        /// Why it stopped, if it did.
        pub stopped: Option<String>,
    }
}

/// Options of a replica.
#[derive(Clone, Debug)]
pub struct Options {
    /// The replicas that form the cluster; empty for one that waits to be added.
    pub founders: Vec<SocketAddr>,
    /// Where this replica finds others while it belongs to no cluster.
    pub contacts: Vec<SocketAddr>,
    /// Time between a leader's rounds.
    pub heartbeat: Duration,
    /// Shortest time without a leader after which a replica stands for election; nobody votes
    /// within this time after hearing from a leader.
    pub election_min: Duration,
    /// Longest such time.
    pub election_max: Duration,
    /// Most that one replica's clock gains on another's.
    pub drift: Permille,
    /// Time between two messages that look for other replicas.
    pub hello: Duration,
    /// Records of one message, in bytes.
    pub batch_bytes: usize,
    /// Messages with records that may be under way to one replica.
    pub window: u32,
    /// Records that may wait for a quorum.
    pub uncommitted_max: usize,
    /// Records applied after which a snapshot is taken.
    pub snapshot_records: u64,
    /// Bytes of records applied after which a snapshot is taken.
    pub snapshot_bytes: usize,
    /// Records kept in memory behind a snapshot for replicas that lag.
    pub keep_records: u64,
    /// Part of a snapshot in one message, in bytes.
    pub part_bytes: usize,
    /// Whether the leader adds, promotes and replaces members by itself.
    pub keeps_members: bool,
    /// Seed of the election timeouts.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            founders: Vec::new(),
            contacts: Vec::new(),
            heartbeat: Duration::from_millis(200),
            election_min: Duration::from_millis(1000),
            election_max: Duration::from_millis(2000),
            drift: Permille(100),
            hello: Duration::from_millis(500),
            batch_bytes: 256 << 10,
            window: 16,
            uncommitted_max: 8192,
            snapshot_records: 2000,
            snapshot_bytes: 16 << 20,
            keep_records: 1000,
            part_bytes: 256 << 10,
            keeps_members: false,
            seed: 0,
        }
    }
}
