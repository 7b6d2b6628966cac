//! The request path to back ends that entries call directly.
//!
//! Where no agent stands beside a back end, an entry does by itself what the two do together
//! elsewhere: it finds the mount of a call, its team, and a server, holds the call back while all
//! places are taken, and sends it again only where that is safe. Each call comes under an id of its
//! own and reaches one entry once, so the entry's own memory is enough to run it once at most.
//!
//! [`Direct`] decides and never sees a body: the shell holds the request and the answer by ticket.

mod budget;
mod events;
mod flight;
mod io;
mod line;
mod path;
mod pool;
mod report;
mod retry;
mod table;
mod updates;

pub use budget::{RetryLimit, RetryWindow};
pub use io::{
    AttemptOutcome, AttemptSpec, Call, Input, NotRunReason, Options, Output, TokenCounts,
};
pub use path::Direct;
pub use pool::{HealthSignal, ServerPool};
pub use table::MountTable;
