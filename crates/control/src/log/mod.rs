//! The replicated log.
//!
//! A consensus log in the manner of Raft, with pre-votes, learners and one membership change at a
//! time: a record is committed once a majority of the voters holds it durably, and each term has at
//! most one leader. A [`Replica`] is a deterministic state machine without I/O. Disk writes leave
//! it as [`Output::Persist`], are carried out in order, and are acknowledged by
//! [`Input::Persisted`]; messages that depend on a write are held back until then.
//!
//! A replica's identity is drawn at random when its data folder is created, except that of a founder at the
//! first start of a system (see [`founder_id`]). A host that lost its
//! disk is therefore a new replica: it has granted no votes and made no promises, and it gets no
//! vote until it has been added again and has caught up with the log.

mod durable;
mod election;
mod entries;
mod found;
mod halt;
mod io;
mod leader;
mod leave;
mod members;
mod progress;
mod quorum;
mod replica;
mod replication;
mod restart;

pub use found::founder_id;
pub use io::{
    HardState, Input, Job, MembershipChange, Options, Output, RecoveredState, Refusal,
    ReplicaStatus, Snapshot, Write,
};
pub use progress::{Activity, Progress};
pub use replica::Replica;
