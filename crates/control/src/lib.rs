//! The replicated control state, without I/O.
//!
//! [`Control`] keeps what must never be lost or revert: the operators' configuration, the claims on
//! idempotency keys, the fence of orders and the expert maps of rank groups. Beside that it keeps
//! soft state, which a restart may lose: the directory of back ends, who follows which version, and
//! the books of the other processes. It is a plain state machine: the shell hands it one [`Input`] at
//! a time together with the present instant, and carries out the [`Output`]s.
#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod confirm;
mod control;
mod io;
mod proposals;
mod publish;
mod ranks;
mod reads;

pub mod directory;
pub mod fence;
pub mod followers;
pub mod groups;
pub mod log;
pub mod report;
pub mod state;
pub mod store;

pub use control::Control;
pub use io::{Answer, FollowerStatus, Input, Notice, Options, Output, Published, Query, Status};
