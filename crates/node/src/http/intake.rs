//! What the connections of a port may hold together.
//!
//! A limit on one connection bounds a process only together with the number of connections. A connection may hold
//! [`FREE_BYTES`] of a request without asking; their sum is bounded by the number of connections. Beyond that it needs
//! permits, from one [`Budget`] for small requests and another one for large requests, so that the large ones don't delay
//! the small ones.
//!
//! Whoever asks in vain doesn't wait for those that make no progress: connections that hold memory of a request and have
//! sent next to nothing of it for [`STALL_MIN`] are closed for it, the longest stalled first. A new connection takes the place
//! of the longest idle one, of those that have sent no request yet if there are any, or else of the longest without
//! progress. Connections whose request has been handed over are never closed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use futures_channel::oneshot;

use super::budget::{Budget, Permit, SMALL_BODY_BYTES};

/// Bytes of a request that a connection may hold without a permit.
pub const FREE_BYTES: usize = 4 << 10;

/// Time without progress after which a connection may be closed for others.
pub const STALL_MIN: Duration = Duration::from_millis(250);

/// Bytes in [`STALL_MIN`] that count as progress.
const PROGRESS_BYTES: usize = 4 << 10;

/// Interval in which those that wait for memory look for connections without progress.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(50);

/// Limits of an [`Intake`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of concurrent connections.
    pub connections_max: usize,
    /// Memory of all requests of at most [`SMALL_BODY_BYTES`], in bytes.
    pub small_bytes_max: usize,
    /// Memory of all larger requests, in bytes.
    pub large_bytes_max: usize,
}

/// Connections of a port and the memory that their requests share.
#[derive(Debug)]
pub struct Intake {
    connections_max: usize,
    small: Rc<Budget>,
    large: Rc<Budget>,
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    last_id: u64,
    open: BTreeMap<u64, Open>,
    /// Number of those that close for others.
    closing: usize,
}

/// An open connection.
#[derive(Debug)]
struct Open {
    phase: Phase,
    /// Whether a request of it has been answered.
    has_served: bool,
    /// Whether it holds a permit.
    holds_memory: bool,
    /// Whether it waits for a permit, and so can't make progress.
    waits: bool,
    /// Begin of the phase, or the last progress.
    since: Instant,
    /// Bytes since then.
    bytes: usize,
    /// Closes it; none if it closes already.
    close: Option<oneshot::Sender<()>>,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing of a request has arrived.
    Idle,
    /// A request is being received.
    Receiving,
    /// A request has been handed over and is not answered yet.
    Handling,
}

/// A connection of an [`Intake`], until it is dropped.
#[derive(Debug)]
pub struct Registration {
    intake: Rc<Intake>,
    id: u64,
    peer: SocketAddr,
    /// Whether a part of the next request has arrived.
    has_part: Cell<bool>,
    /// Told when the request that is handed over has been answered.
    answered: RefCell<Option<oneshot::Sender<()>>>,
}

/// No memory became free in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable;

impl Intake {
    /// An intake without connections.
    pub fn new(limits: Limits) -> Rc<Self> {
        Rc::new(Self {
            connections_max: limits.connections_max,
            small: Budget::new(limits.small_bytes_max),
            large: Budget::new(limits.large_bytes_max),
            state: RefCell::default(),
        })
    }

    /// Largest request that fits into the memory, in bytes.
    pub fn request_bytes_max(&self) -> usize {
        self.large.bytes_max()
    }

    /// Bytes for which there are permits.
    pub fn used_bytes(&self) -> usize {
        self.small.used_bytes() + self.large.used_bytes()
    }

    /// Number of open connections, without those that close for others.
    pub fn open_connections(&self) -> usize {
        let state = self.state.borrow();
        state.open.len() - state.closing
    }

    /// Admits a new connection, in place of one without a complete request if there are too many; none if all have one.
    /// The receiver resolves when the connection has to close for others.
    pub async fn register(
        self: &Rc<Self>,
        peer: SocketAddr,
    ) -> Option<(Registration, oneshot::Receiver<()>)> {
        if self.open_connections() >= self.connections_max {
            self.replace()?;
            // The task of the other one closes it first.
            yield_now().await;
        }
        let (close, closed) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        state.last_id += 1;
        let id = state.last_id;
        let open = Open {
            phase: Phase::Idle,
            has_served: false,
            holds_memory: false,
            waits: false,
            since: Instant::now(),
            bytes: 0,
            close: Some(close),
        };
        state.open.insert(id, open);
        let registration = Registration {
            intake: self.clone(),
            id,
            peer,
            has_part: Cell::new(false),
            answered: RefCell::default(),
        };
        Some((registration, closed))
    }

    /// Closes the longest idle connection, first of those without a request so far, or else the one whose request made no
    /// progress for the longest; none if all requests have been handed over.
    fn replace(&self) -> Option<()> {
        let is_idle = |open: &Open| open.phase == Phase::Idle;
        self.close_oldest(|open| is_idle(open) && !open.has_served)
            .or_else(|| self.close_oldest(is_idle))
            .or_else(|| self.close_oldest(|open| open.phase == Phase::Receiving))
    }

    /// Closes the longest stalled connection that holds memory; none if there is none.
    fn reclaim(&self, now: Instant) -> Option<()> {
        self.close_oldest(|open| open.holds_memory && !open.waits && open.is_stalled(now))
    }

    fn close_oldest(&self, may_close: impl Fn(&Open) -> bool) -> Option<()> {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let open = state.open.values_mut();
        let candidates = open.filter(|open| open.close.is_some() && may_close(open));
        let oldest = candidates.min_by_key(|open| open.since)?;
        // The connection may have ended meanwhile.
        let _ = oldest.close.take()?.send(());
        state.closing += 1;
        Some(())
    }
}

/// Lets the other tasks that are ready run first. The runtime would run a task that wakes itself before all others.
pub async fn yield_now() {
    monoio::spawn(async {}).await;
}

impl Open {
    fn is_stalled(&self, now: Instant) -> bool {
        self.phase == Phase::Receiving && now.duration_since(self.since) >= STALL_MIN
    }
}

impl Registration {
    fn update(&self, change: impl FnOnce(&mut Open)) {
        if let Some(open) = self.intake.state.borrow_mut().open.get_mut(&self.id) {
            change(open);
        }
    }

    fn set_phase(&self, phase: Phase) {
        self.update(|open| {
            if open.phase != phase {
                (open.phase, open.since, open.bytes) = (phase, Instant::now(), 0);
            }
        });
    }

    /// Records that a request is complete and is handed over with its permits.
    pub fn start_handling(&self) {
        self.has_part.set(false);
        self.set_holds_memory(false);
        self.set_phase(Phase::Handling);
    }

    /// Waits until no request of the connection is handed over and unanswered.
    pub async fn until_answered(&self) {
        if self.phase() != Some(Phase::Handling) {
            return;
        }
        let (sender, receiver) = oneshot::channel();
        *self.answered.borrow_mut() = Some(sender);
        let _ = receiver.await;
    }

    /// Records that a response is complete.
    pub fn end_handling(&self) {
        if let Some(answered) = self.answered.take() {
            let _ = answered.send(());
        }
        self.update(|open| open.has_served = true);
        self.set_phase(match self.has_part.get() {
            true => Phase::Receiving,
            false => Phase::Idle,
        });
    }

    /// Records that a part of the next request has arrived, unless the last one is still being answered.
    pub fn start_receiving(&self) {
        self.has_part.set(true);
        if self.is_idle() {
            self.set_phase(Phase::Receiving);
        }
    }

    /// Whether nothing of a request has arrived.
    pub fn is_idle(&self) -> bool {
        self.phase() == Some(Phase::Idle)
    }

    fn phase(&self) -> Option<Phase> {
        let state = self.intake.state.borrow();
        state.open.get(&self.id).map(|open| open.phase)
    }

    /// Records whether the connection holds a permit for a request that is being received.
    pub fn set_holds_memory(&self, holds_memory: bool) {
        self.update(|open| open.holds_memory = holds_memory);
    }

    /// Records that bytes of a request have arrived.
    pub fn record_progress(&self, bytes: usize) {
        self.update(|open| {
            open.bytes += bytes;
            if open.bytes >= PROGRESS_BYTES {
                (open.since, open.bytes) = (Instant::now(), 0);
            }
        });
    }

    /// Waits for the memory of `additional` bytes of a request that has `total` then; at most for `wait_max`, if that
    /// is limited.
    pub async fn acquire(
        &self,
        total: usize,
        additional: usize,
        wait_max: Option<Duration>,
    ) -> Result<Permit, Unavailable> {
        let budget = match total <= SMALL_BODY_BYTES {
            true => &self.intake.small,
            false => &self.intake.large,
        };
        // A client takes one turn, however many connections it has.
        let client = SocketAddr::new(self.peer.ip(), 0);
        let mut acquiring = pin!(budget.acquire(client, additional));
        if let Poll::Ready(permit) = futures_util::poll!(acquiring.as_mut()) {
            return Ok(permit);
        }
        let begun = Instant::now();
        self.update(|open| open.waits = true);
        let result = loop {
            let now = Instant::now();
            if wait_max.is_some_and(|wait_max| now.duration_since(begun) >= wait_max) {
                break Err(Unavailable);
            }
            let _ = self.intake.reclaim(now);
            match monoio::time::timeout(RECLAIM_INTERVAL, acquiring.as_mut()).await {
                Ok(permit) => break Ok(permit),
                Err(_) => continue,
            }
        };
        self.update(|open| (open.waits, open.since, open.bytes) = (false, Instant::now(), 0));
        result
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut state = self.intake.state.borrow_mut();
        let open = state.open.remove(&self.id);
        if open.is_some_and(|open| open.close.is_none()) {
            state.closing -= 1;
        }
    }
}
