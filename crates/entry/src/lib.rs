//! The request path of an entry process, without I/O.
//!
//! [`Entry`] receives callers' requests and passes each through a chain of filters: authenticate,
//! classify, deadline, admit, claim, route, dispatch, account. It is a plain state machine: the
//! node runtime passes it one [`Input`] at a time together with the current time, and executes the
//! [`Output`]s.
#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod affinity;
mod attempt;
mod authenticate;
mod classify;
mod credit;
pub mod direct;
mod entry;
mod evacuation;
mod flight;
mod io;
mod once;
mod retry;
mod route;
mod updates;

pub use affinity::{PrefixAffinity, prompt_blocks};
pub use authenticate::TokenIndex;
pub use classify::{RequestClass, classify};
pub use credit::Credits;
pub use entry::Entry;
pub use evacuation::Evacuation;
pub use io::{Call, Input, Options, Output};
pub use retry::RetryBudget;
pub use route::{AttemptResult, RouteQuery, Router};
