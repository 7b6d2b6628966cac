//! The agent beside a back end, without I/O.
//!
//! Every dispatch to a back end passes its [`Agent`], which refuses what was meant for an earlier
//! life, runs each claimed key at most once, queues what can still be answered in time and shares
//! the back end among teams. It is a plain state machine: the shell hands it one [`Input`] at a time
//! together with the present instant, and carries out the [`Output`]s.
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
pub use io::{Input, Options, Output, Reply};
pub use keys::{Admission, KeyTable};
pub use orders::{ORDER_TICKET, OrderExecutor};
pub use pace::{AttemptSample, ServiceTimeEstimator};
pub use queue::{DequeuedItem, FairQueue, QueueItem};
