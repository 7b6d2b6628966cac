//! The roles of a process: each drives one core and carries out what it decides.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_core::wire::Sender;
use futures_channel::oneshot;

use crate::clock::Clock;
use crate::http::pool::Pool;
use crate::mail::Outboxes;
use crate::timeline::Timeline;

pub mod agent;
pub mod control;
pub mod direct;
pub mod entry;
mod waiting;
pub mod watch;

/// Time after its deadline at which an exchange counts as hung.
const EXCHANGE_GRACE: Duration = Duration::from_secs(30);

/// What the roles of a process share.
#[derive(Clone)]
pub struct Context {
    /// This process.
    pub me: Sender,
    /// Its clock.
    pub clock: Clock,
    /// Its client connections.
    pub pool: Rc<Pool>,
    /// Its outboxes.
    pub outboxes: Rc<Outboxes>,
    /// Its time line.
    pub timeline: Rc<Timeline>,
}

/// Exchanges in progress that can be broken off, by name.
type Cancellers<K> = std::cell::RefCell<HashMap<K, oneshot::Sender<()>>>;
