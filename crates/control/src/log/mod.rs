//! The replicated log.
//!
//! A [`Replica`] keeps a log that a majority of the voting members holds on disk before a record
//! counts. One of them leads a term at a time. It is a plain state machine: disk writes leave it as
//! [`Output::Persist`] and come back as [`Input::Persisted`], and whatever must not be said before a
//! write is durable waits for that. Writes are carried out in the order in which they leave.
//!
//! Which replica this is comes from its data folder, drawn at random when the folder was first made,
//! so that a host that lost its disk is a new replica that has promised nothing and votes for
//! nobody until an operator has added it and it holds the log again.

mod durable;
mod election;
mod entries;
mod found;
mod io;
mod leader;
mod members;
mod replica;
mod replication;

pub use io::{
    HardState, Input, Job, MembershipChange, Options, Output, RecoveredState, Refusal,
    ReplicaStatus, Snapshot, Write,
};
pub use replica::Replica;
