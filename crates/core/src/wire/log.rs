//! Messages between replicas of the control log.

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
        /// Its position.
        pub index: Index,
        /// What it holds.
        pub payload: Payload,
    }

    /// Content of a record.
    #[derive(Eq)]
    pub enum Payload {
        /// Nothing; a new leader commits one of these first.
        #[serde(rename = "Blank")]
        NoOp,
        /// A command of the state machine, opaque to the log.
        Command(#[serde(with = "serde_bytes")] Vec<u8>),
        /// The members from here on.
        Members(Members),
    }

    /// Replicas that vote and replicas that only follow.
    #[derive(Default, Eq)]
    pub struct Members {
        /// Voting replicas and where each takes messages.
        pub voters: std::collections::BTreeMap<Replica, SocketAddr>,
        /// Learners and where each takes messages.
        pub learners: std::collections::BTreeMap<Replica, SocketAddr>,
    }

    /// How far a replica has come in forming a cluster.
    #[derive(Eq)]
    pub enum FormationStage {
        /// It belongs to no cluster and has promised nothing.
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
        /// The cluster, drawn at random when it was first made.
        pub cluster: u64,
        /// The sending replica.
        pub from: Replica,
        /// The replica meant.
        pub to: Replica,
        /// The sender's term; of a pre-vote, the term it would start.
        pub term: Term,
        /// What is said.
        pub body: Body,
    }

    /// What one replica says to another.
    #[derive(Eq)]
    pub enum Body {
        /// Asks for a vote, or with `pre` whether a vote would be given.
        #[serde(rename = "Vote")]
        RequestVote {
            /// Whether this only sounds out.
            #[serde(rename = "pre")]
            pre_vote: bool,
            /// Position of the candidate's last record.
            last_index: Index,
            /// Term of the candidate's last record.
            last_term: Term,
        },
        /// Answers [`Body::RequestVote`].
        #[serde(rename = "Voted")]
        VoteResponse {
            /// Whether it sounded out only.
            #[serde(rename = "pre")]
            pre_vote: bool,
            /// Whether the vote is given.
            granted: bool,
        },
        /// Carries records, or none as a heartbeat.
        Append {
            /// Position before the first record.
            previous_index: Index,
            /// Term of the record at `previous_index`.
            previous_term: Term,
            /// Records, in order.
            records: Vec<Record>,
            /// The leader's commit position.
            #[serde(rename = "commit")]
            commit_index: Index,
            /// Numbers the leader's rounds; an answer proves that the round was heard.
            round: u64,
        },
        /// Answers [`Body::Append`] and [`Body::InstallSnapshot`].
        #[serde(rename = "Appended")]
        AppendResponse {
            /// Whether the records followed on from the receiver's log.
            matched: bool,
            /// Last position known to match and to be durable; on a mismatch, a hint where to
            /// go on from.
            index: Index,
            /// The round answered.
            round: u64,
        },
        /// Carries a part of a snapshot.
        #[serde(rename = "Install")]
        InstallSnapshot {
            /// Last position that the snapshot covers.
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
            /// The leader's round.
            round: u64,
        },
        /// Answers a part of a snapshot that is not the last.
        #[serde(rename = "Installing")]
        InstallProgress {
            /// Offset that the receiver wants next, in bytes.
            offset: u64,
            /// The round answered.
            round: u64,
        },
        /// From a replica without a cluster: looks for the other founders, or for a leader that an
        /// operator lets add it. Also the answer to such a message.
        Hello {
            /// Where the sender takes messages.
            address: SocketAddr,
            /// The replicas that form the cluster, by the sender's settings; empty when it joins.
            founders: Vec<SocketAddr>,
            /// How far the sender is.
            stage: FormationStage,
        },
        /// From any replica to the leader: which position is committed now, by a quorum?
        #[serde(rename = "Confirm")]
        ReadIndex {
            /// The sender's question.
            #[serde(rename = "question")]
            query_number: u64,
        },
        /// From the leader: a quorum still followed it after the question arrived.
        #[serde(rename = "Confirmed")]
        ReadIndexResponse {
            /// The question.
            #[serde(rename = "question")]
            query_number: u64,
            /// Position committed when the question arrived.
            index: Index,
        },
    }
}

impl Members {
    /// Where the member `id` takes messages.
    pub fn address(&self, id: Replica) -> Option<SocketAddr> {
        let voter = self.voters.get(&id);
        voter.or_else(|| self.learners.get(&id)).copied()
    }

    /// Whether more than half of the voters fit `holds`.
    pub fn is_quorum(&self, holds: impl Fn(Replica) -> bool) -> bool {
        let count = self.voters.keys().filter(|id| holds(**id)).count();
        count * 2 > self.voters.len()
    }
}

impl fmt::Display for Members {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut between = "";
        for (kind, members) in [("voter", &self.voters), ("learner", &self.learners)] {
            for (id, address) in members {
                write!(f, "{between}{kind} {id} at {address}")?;
                between = ", ";
            }
        }
        Ok(())
    }
}
