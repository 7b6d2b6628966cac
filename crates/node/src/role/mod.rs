//! The roles of a process: each drives one core and executes its outputs.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_core::wire::Sender;
use futures_channel::oneshot;

use crate::clock::Clock;
use crate::http::budget::Budget;
use crate::http::pool::Pool;
use crate::mail::Outboxes;
use crate::timeline::Timeline;

pub mod agent;
pub mod control;
pub mod direct;
pub mod entry;
mod waiting;
pub mod watch;

/// Time after its deadline at which an exchange is aborted.
const EXCHANGE_GRACE: Duration = Duration::from_secs(30);

/// Resources shared by the roles of a process.
#[derive(Clone)]
pub struct Context {
    /// Identity and address of this process.
    pub me: Sender,
    /// Its clock.
    pub clock: Clock,
    /// Its client connections.
    pub pool: Rc<Pool>,
    /// Its outboxes.
    pub outboxes: Rc<Outboxes>,
    /// Its timeline.
    pub timeline: Rc<Timeline>,
    /// Memory for the larger responses of servers.
    pub response_memory: Rc<Budget>,
}

/// Senders that cancel the exchanges in progress when they are dropped, by the key of the exchange.
type Cancellers<K> = std::cell::RefCell<HashMap<K, oneshot::Sender<()>>>;
