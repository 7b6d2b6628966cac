//! Messages between replicas of the control log.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use crate::data;
use crate::id::{Index, Replica, Term};

data! {
    /// One record of the log.
    #[derive(Eq)]
    pub struct Record {
        /// Term of the leader that made it.
        pub term: Term,
        /// Its index.
        pub index: Index,
        /// Its content.
        pub payload: Payload,
    }

    /// Content of a record.
    #[derive(Eq)]
    pub enum Payload {
        /// No operation; the first record that a new leader commits.
        #[serde(rename = "Blank")]
        NoOp,
        /// A command of the state machine, opaque to the log.
        Command(#[serde(with = "serde_bytes")] Vec<u8>),
        /// A membership change, in effect from this record on.
        Members(Members),
    }

    /// Members of the cluster: voters, and learners, which only replicate.
    #[derive(Default, Eq)]
    pub struct Members {
        /// Voters and their addresses.
        pub voters: BTreeMap<Replica, SocketAddr>,
        /// Learners and their addresses.
        pub learners: BTreeMap<Replica, SocketAddr>,
        /// During a change of the voters: the voters before it. Both sets have to agree until it ends.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub outgoing: BTreeMap<Replica, SocketAddr>,
        /// Whether no other set of voters can still decide anything, and every voter runs a build that changes
        /// the voters only by way of `outgoing`.
        #[serde(default, skip_serializing_if = "is_false")]
        pub settled: bool,
    }

    /// Progress of a replica in the formation of a cluster.
    #[derive(Eq)]
    pub enum FormationStage {
        /// It belongs to no cluster and has made no promise.
        #[serde(rename = "Blank")]
        Unformed,
        /// It has durably promised to form a cluster of these members and no other.
        Promised(Members),
        /// It belongs to the cluster that these members formed.
        Formed(Members),
    }

    /// A message from one replica to another.
    #[derive(Eq)]
    pub struct Message {
        /// Identifier of the cluster, drawn at random at its formation.
        pub cluster: u64,
        /// The sending replica.
        pub from: Replica,
        /// The receiving replica.
        pub to: Replica,
        /// The sender's term; of a pre-vote, the term it would start.
        pub term: Term,
        /// The content.
        pub body: Body,
    }

    /// Content of a [`Message`].
    #[derive(Eq)]
    pub enum Body {
        /// Requests a vote, or with `pre_vote` asks whether a vote would be granted.
        #[serde(rename = "Vote")]
        RequestVote {
            /// Whether this is a pre-vote.
            #[serde(rename = "pre")]
            pre_vote: bool,
            /// Index of the candidate's last record.
            last_index: Index,
            /// Term of the candidate's last record.
            last_term: Term,
            /// Whether the candidate has just restarted and, if this is no pre-vote, every voter has
            /// answered that it knows of no leader.
            #[serde(default, skip_serializing_if = "is_false")]
            after_restart: bool,
            /// Whether the candidate's build knows settled members.
            #[serde(default, skip_serializing_if = "is_false")]
            knows_settled: bool,
        },
        /// Response to [`Body::RequestVote`].
        #[serde(rename = "Voted")]
        VoteResponse {
            /// Whether it responds to a pre-vote.
            #[serde(rename = "pre")]
            pre_vote: bool,
            /// Whether the vote is granted.
            granted: bool,
            /// Whether it responds to a request with that mark.
            #[serde(default, skip_serializing_if = "is_false")]
            after_restart: bool,
        },
        /// Replicates records; without records it is a heartbeat.
        Append {
            /// Index before the first record.
            previous_index: Index,
            /// Term of the record at `previous_index`.
            previous_term: Term,
            /// Records, in order.
            records: Vec<Record>,
            /// The leader's commit index.
            #[serde(rename = "commit")]
            commit_index: Index,
            /// Number of the leader's round; a response proves the receipt of the round.
            round: u64,
        },
        /// Response to [`Body::Append`] and [`Body::InstallSnapshot`].
        #[serde(rename = "Appended")]
        AppendResponse {
            /// Whether `previous_index` and `previous_term` matched the receiver's log.
            matched: bool,
            /// Highest index known to match and to be durable; on a mismatch, a hint for the index
            /// to continue from.
            index: Index,
            /// Number of the round that it responds to.
            round: u64,
            /// Whether the sender's build knows settled members.
            #[serde(default, skip_serializing_if = "is_false")]
            knows_settled: bool,
        },
        /// Transfers a part of a snapshot.
        #[serde(rename = "Install")]
        InstallSnapshot {
            /// Last index that the snapshot covers.
            last_index: Index,
            /// Term of the record at `last_index`.
            last_term: Term,
            /// Members as of the snapshot.
            members: Members,
            /// Offset of `data` in the snapshot, in bytes.
            offset: u64,
            /// The part.
            #[serde(with = "serde_bytes")]
            data: Vec<u8>,
            /// Whether this is the last part.
            done: bool,
            /// Number of the leader's round.
            round: u64,
        },
        /// Response to a part of a snapshot that is not the last.
        #[serde(rename = "Installing")]
        InstallProgress {
            /// Offset of the next part, in bytes.
            offset: u64,
            /// Number of the round that it responds to.
            round: u64,
        },
        /// From a replica without a cluster: discovers the other founders, or announces the replica to
        /// a leader, which can add it at an operator's request. Also the response to such a message.
        Hello {
            /// Address of the sender.
            address: SocketAddr,
            /// Addresses of the founders in the sender's settings; empty if it waits to be added.
            founders: Vec<SocketAddr>,
            /// Stage of the sender.
            stage: FormationStage,
            /// From a member: a number that a later `Hello` to it should repeat; 0 if there is none.
            #[serde(default, skip_serializing_if = "is_zero")]
            challenge: u64,
            /// The last challenge of the receiver; 0 if there is none.
            #[serde(default, skip_serializing_if = "is_zero")]
            answer: u64,
        },
        /// From any replica to the leader: request for a commit index confirmed by a quorum.
        #[serde(rename = "Confirm")]
        ReadIndex {
            /// Number of the sender's query.
            #[serde(rename = "question")]
            query_number: u64,
        },
        /// From the leader, after a quorum has confirmed its leadership since the query arrived:
        /// response to [`Body::ReadIndex`].
        #[serde(rename = "Confirmed")]
        ReadIndexResponse {
            /// Number of the query.
            #[serde(rename = "question")]
            query_number: u64,
            /// The commit index when the query arrived.
            index: Index,
        },
        /// From a replica whose process is about to stop, until it is released: asks the leader to give its
        /// vote to another replica.
        Leave,
        /// From the leader: response to [`Body::Leave`].
        LeaveResponse {
            /// Whether the replica is no voter any more, and this is committed.
            released: bool,
        },
    }
}

impl Members {
    /// Address of the member `id`.
    pub fn address(&self, id: Replica) -> Option<SocketAddr> {
        let voter = self.voters.get(&id).or_else(|| self.outgoing.get(&id));
        voter.or_else(|| self.learners.get(&id)).copied()
    }

    /// Whether the voters are being changed.
    pub fn is_changing(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether `id` has a vote, before or after a change of the voters that is in progress.
    pub fn has_vote(&self, id: Replica) -> bool {
        self.voters.contains_key(&id) || self.outgoing.contains_key(&id)
    }

    /// All that have a vote, and their addresses.
    pub fn electorate(&self) -> impl Iterator<Item = (Replica, SocketAddr)> {
        let removed = self.outgoing.iter();
        let removed = removed.filter(|(id, _)| !self.voters.contains_key(id));
        let all = self.voters.iter().chain(removed);
        all.map(|(id, address)| (*id, *address))
    }

    /// All members and their addresses.
    pub fn all(&self) -> impl Iterator<Item = (Replica, SocketAddr)> {
        let learners = self.learners.iter().map(|(id, address)| (*id, *address));
        let learners = learners.filter(|(id, _)| !self.has_vote(*id));
        self.electorate().chain(learners)
    }
}

impl fmt::Display for Members {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        let outgoing = self.outgoing.iter();
        let removed = outgoing.filter(|(id, _)| !self.voters.contains_key(id));
        let removed: BTreeMap<_, _> = removed.map(|(id, address)| (*id, *address)).collect();
        let kinds = [
            ("voter", &self.voters),
            ("outgoing voter", &removed),
            ("learner", &self.learners),
        ];
        for (kind, members) in kinds {
            for (id, address) in members {
                write!(f, "{separator}{kind} {id} at {address}")?;
                separator = ", ";
            }
        }
        Ok(())
    }
}

fn is_false(value: &bool) -> bool {
    !value
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}
