//! How far a replica has got, for events and metrics about requests that it can't serve.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::event::Event;
use eelgrassdyke_core::id::{Index, Term};
use eelgrassdyke_core::time::Instant;

use super::replica::{Replica, Role};

/// What a replica does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Has stopped because of a failure.
    Stopped,
    /// Belongs to no cluster.
    Unattached,
    /// Follows a leader or waits for one.
    Follower,
    /// Requests pre-votes.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads.
    Leader,
}

impl fmt::Display for Activity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stopped => "stopped",
            Self::Unattached => "unattached",
            Self::Follower => "follower",
            Self::PreCandidate => "pre_candidate",
            Self::Candidate => "candidate",
            Self::Leader => "leader",
        })
    }
}

/// State of a replica at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// What it does.
    pub activity: Activity,
    /// Highest term that it has seen.
    pub term: Term,
    /// Address of the leader, if known.
    pub leader: Option<SocketAddr>,
    /// Time since the last message of a leader, or on a leader since its last contact with a quorum.
    pub contact_age: Duration,
    /// Index up to which it knows records to be committed.
    pub commit_index: Index,
    /// Index up to which it has applied records.
    pub applied_index: Index,
    /// Last index of its log.
    pub last_index: Index,
    /// Last index of its log that is durable.
    pub durable_index: Index,
    /// Age of the oldest write that is not durable; zero if there is none.
    pub write_age: Duration,
}

impl Progress {
    /// Adds the progress to the facts of an event.
    pub fn add_to(self, event: Event) -> Event {
        let leader = self.leader.map(|leader| leader.to_string());
        event
            .with_fact("role", self.activity.to_string())
            .with_fact("term", self.term.0)
            .with_fact("leader", leader.unwrap_or_else(|| "unknown".to_owned()))
            .with_fact("contact_age_ms", self.contact_age)
            .with_fact("commit_index", self.commit_index.0)
            .with_fact("applied_index", self.applied_index.0)
            .with_fact("last_index", self.last_index.0)
            .with_fact("durable_index", self.durable_index.0)
            .with_fact("write_age_ms", self.write_age)
    }
}

impl Replica {
    /// How far this replica has got.
    pub fn progress(&self, now: Instant) -> Progress {
        let last_contact = match &self.role {
            Role::Leader(leader) => self.quorum_contact(leader).min(now),
            _ => self.last_leader_contact,
        };
        let activity = match &self.role {
            _ if self.is_stopped() => Activity::Stopped,
            Role::Unattached => Activity::Unattached,
            Role::Follower => Activity::Follower,
            Role::Candidate(candidacy) if candidacy.pre_votes.is_some() => Activity::PreCandidate,
            Role::Candidate(_) => Activity::Candidate,
            Role::Leader(_) => Activity::Leader,
        };
        Progress {
            activity,
            term: self.hard_state.term,
            leader: self.leader_address(),
            contact_age: now.since(last_contact),
            commit_index: self.commit_index,
            applied_index: self.applied_index,
            last_index: self.log.last_index(),
            durable_index: self.durable_index,
            write_age: self.write_age(now),
        }
    }
}
