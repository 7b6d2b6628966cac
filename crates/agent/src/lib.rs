//! The agent beside a backend server, without I/O.
//!
//! Every dispatch to a server passes through its [`Agent`]. The agent refuses dispatches that were
//! meant for an earlier incarnation, runs each claimed idempotency key at most once, queues the
//! attempts that can still meet their deadline, and shares the server's slots among teams. It is a
//! deterministic state machine: its caller passes in one [`Input`] at a time with the current
//! instant, and performs the [`Output`]s.
#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod agent;
mod answer;
mod events;
mod gate;
mod io;
mod keys;
mod orders;
mod pace;
mod queue;
pub mod watch;
mod work;

pub use agent::Agent;
pub use events::EventSplitter;
pub use io::{Input, Options, Output, ResponsePart};
pub use keys::{Admission, KeyTable};
pub use orders::{ORDER_TICKET, OrderExecutor};
pub use pace::{AttemptSample, ServiceTimeEstimator};
pub use queue::{DequeuedItem, FairQueue, QueueItem};
