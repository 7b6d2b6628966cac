//! Memory for the bodies of requests and responses.
//!
//! The limit on one body bounds a process only together with the number of bodies. Each body may therefore take
//! [`SMALL_BODY_BYTES`]; before more of it is read, it needs a [`Permit`] from the [`Budget`] of the process. Whoever
//! finds the budget used up waits, without reading, so that the sender is held up by its full socket buffers. Smaller
//! bodies get their permits first, and those of like size by peer in turn: a server whose bodies never end delays its own
//! callers most.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound::{Excluded, Unbounded};
use std::rc::Rc;

use futures_channel::oneshot;

/// Bytes of a body that need no permit.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// Memory that the larger bodies of a process may take together.
#[derive(Debug)]
pub struct Budget {
    bytes_max: usize,
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    used_bytes: usize,
    last_id: u64,
    /// Those that wait, by the logarithm of their size.
    waiting: BTreeMap<u32, Turns>,
}

/// Bodies of like size that wait.
#[derive(Debug, Default)]
struct Turns {
    queues: BTreeMap<SocketAddr, BTreeMap<u64, Waiting>>,
    /// The peer that last got a permit after a wait.
    last_peer: Option<SocketAddr>,
}

#[derive(Debug)]
struct Waiting {
    bytes: usize,
    granted: oneshot::Sender<Permit>,
}

/// The place of a body that waits; nothing waits any more once it is dropped.
struct Place {
    budget: Rc<Budget>,
    class: u32,
    peer: SocketAddr,
    id: u64,
}

/// Part of a budget, until it is dropped.
#[derive(Debug)]
pub struct Permit {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Budget {
    /// A budget of this many bytes.
    pub fn new(bytes_max: usize) -> Rc<Self> {
        Rc::new(Self {
            bytes_max,
            state: RefCell::default(),
        })
    }

    /// Waits for `bytes` of the budget, or for all of it if it has less, on behalf of a body from `peer`.
    pub async fn acquire(self: &Rc<Self>, peer: SocketAddr, bytes: usize) -> Permit {
        let bytes = bytes.min(self.bytes_max);
        let (place, granted) = {
            let mut state = self.state.borrow_mut();
            if state.waiting.is_empty() && state.used_bytes + bytes <= self.bytes_max {
                state.used_bytes += bytes;
                return self.permit(bytes);
            }
            let (sender, granted) = oneshot::channel();
            let waiting = Waiting {
                bytes,
                granted: sender,
            };
            state.last_id += 1;
            let (class, id) = (bytes.max(1).ilog2(), state.last_id);
            let turns = state.waiting.entry(class).or_default();
            turns.queues.entry(peer).or_default().insert(id, waiting);
            let budget = self.clone();
            let place = Place {
                budget,
                class,
                peer,
                id,
            };
            (place, granted)
        };
        // A smaller body than the ones that wait may fit.
        self.grant();
        let granted = granted.await;
        drop(place);
        match granted {
            Ok(permit) => permit,
            // The budget never drops a sender without a permit.
            Err(oneshot::Canceled) => std::future::pending().await,
        }
    }

    /// Size of the budget, in bytes.
    pub fn bytes_max(&self) -> usize {
        self.bytes_max
    }

    /// Bytes for which there are permits.
    pub fn used_bytes(&self) -> usize {
        self.state.borrow().used_bytes
    }

    /// Number of bodies that wait.
    pub fn waiting(&self) -> usize {
        let state = self.state.borrow();
        let queues = state
            .waiting
            .values()
            .flat_map(|turns| turns.queues.values());
        queues.map(BTreeMap::len).sum()
    }

    fn permit(self: &Rc<Self>, bytes: usize) -> Permit {
        Permit {
            budget: self.clone(),
            bytes,
        }
    }

    /// Grants permits to those that wait, as far as they fit.
    fn grant(self: &Rc<Self>) {
        while let Some(waiting) = self.next_waiting() {
            // A receiver that is gone returns the permit at once.
            let _ = waiting.granted.send(self.permit(waiting.bytes));
        }
    }

    /// Takes the next body that waits and whose permit the budget covers.
    fn next_waiting(&self) -> Option<Waiting> {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let (class, turns) = state.waiting.iter_mut().next()?;
        let (class, peer) = (*class, turns.next_peer()?);
        let (id, waiting) = turns.queues.get(&peer)?.first_key_value()?;
        // The others wait for it as well: they are larger, or would take its turn.
        if state.used_bytes + waiting.bytes > self.bytes_max {
            return None;
        }
        let id = *id;
        state.used_bytes += waiting.bytes;
        turns.last_peer = Some(peer);
        state.remove(class, peer, id)
    }
}

impl State {
    /// Removes a body that waits, and what is empty then.
    fn remove(&mut self, class: u32, peer: SocketAddr, id: u64) -> Option<Waiting> {
        let turns = self.waiting.get_mut(&class)?;
        let queue = turns.queues.get_mut(&peer)?;
        let waiting = queue.remove(&id);
        if queue.is_empty() {
            turns.queues.remove(&peer);
        }
        if turns.queues.is_empty() {
            self.waiting.remove(&class);
        }
        waiting
    }
}

impl Turns {
    /// The peer after the last one that got a permit; none if nobody waits.
    fn next_peer(&self) -> Option<SocketAddr> {
        let after_last = match self.last_peer {
            Some(peer) => (Excluded(peer), Unbounded),
            None => (Unbounded, Unbounded),
        };
        let next = self.queues.range(after_last).next();
        let (peer, _) = next.or_else(|| self.queues.first_key_value())?;
        Some(*peer)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let waited = self
            .budget
            .state
            .borrow_mut()
            .remove(self.class, self.peer, self.id);
        if waited.is_some() {
            // Those behind it may fit.
            self.budget.grant();
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.budget.state.borrow_mut().used_bytes -= self.bytes;
        self.budget.grant();
    }
}
