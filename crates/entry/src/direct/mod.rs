//! The request path to servers without an agent, which entries call directly.
//!
//! Without an agent, the entry does the work of both roles: it finds the mount of a call, its team
//! and a server, queues the call while all slots are in use, and retries only where that is safe.
//! Each call has its own id and reaches one entry once, so the entry's local state is enough to run
//! it at most once.
//!
//! [`Direct`] makes the decisions and never sees a body: the node runtime holds request and
//! response by ticket.

mod body_limit;
mod budget;
mod choice;
mod cold;
mod crash;
mod evacuation;
mod events;
mod flight;
mod health;
mod io;
mod limit;
mod line;
mod path;
mod pool;
mod quarantine;
mod report;
mod retry;
mod return_time;
mod shutdown;
mod signal;
mod slots;
mod slow_start;
mod table;
mod updates;

pub use budget::{RetryLimit, RetryWindow};
pub use cold::ColdBound;
pub use io::{
    AttemptOutcome, AttemptSpec, Call, Input, LimitNotice, NotRunReason, Options, Output, Pause,
    ServerSignal, TokenCounts,
};
pub use path::Direct;
pub use pool::{HealthSignal, ServerPool};
pub use return_time::{Cause, return_time};
pub use slots::Allotment;
pub use table::MountTable;
