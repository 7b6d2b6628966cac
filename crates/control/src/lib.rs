//! The replicated control state, without I/O.
//!
//! [`Control`] replicates the state that must never be lost or revert: the operators' configuration,
//! the claims on idempotency keys, the orders to engines with their fencing tokens, and the expert
//! maps of rank groups. It also holds soft state, which a restart may lose: the directory of servers,
//! the followers with their versions, and the usage counters of the other processes. It is a state
//! machine without I/O: its caller hands it one [`Input`] at a time, with the current instant, and
//! carries out the [`Output`]s.
#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod confirm;
mod control;
mod evacuation;
mod io;
mod proposals;
mod publish;
mod ranks;
mod reads;

pub mod coordination;
pub mod crashes;
mod departures;
pub mod directory;
pub mod fence;
pub mod followers;
pub mod groups;
pub mod log;
pub mod report;
pub mod state;
pub mod store;

pub use control::Control;
pub use io::{
    EvacuationOrder, FollowerStatus, Input, OperatorResponse, Options, Output, QuarantineStatus,
    Query, ServerNotice, Status, StoredPublication,
};
