//! Memory for the bodies of requests and responses.
//!
//! The limit on one body bounds a process only together with the number of bodies. Each body may therefore take
//! [`SMALL_BODY_BYTES`]; before more of it is read, it needs a [`Permit`] from the [`Budget`] of the process. Whoever
//! finds the budget used up waits, without reading, so that the sender is held up by its full socket buffers. Waiting
//! bodies get their permits by peer in turn: a server whose bodies never end delays its own callers most.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
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
    waiting: BTreeMap<SocketAddr, VecDeque<Waiting>>,
    /// The peer that last got a permit after a wait.
    last_peer: Option<SocketAddr>,
}

#[derive(Debug)]
struct Waiting {
    bytes: usize,
    granted: oneshot::Sender<Permit>,
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
        let granted = {
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
            state.waiting.entry(peer).or_default().push_back(waiting);
            granted
        };
        match granted.await {
            Ok(permit) => permit,
            // The budget never drops a sender without a permit.
            Err(oneshot::Canceled) => std::future::pending().await,
        }
    }

    /// Bytes for which there are permits.
    pub fn used_bytes(&self) -> usize {
        self.state.borrow().used_bytes
    }

    fn permit(self: &Rc<Self>, bytes: usize) -> Permit {
        Permit {
            budget: self.clone(),
            bytes,
        }
    }

    /// Returns bytes and grants permits to those that wait.
    fn release(self: &Rc<Self>, bytes: usize) {
        self.state.borrow_mut().used_bytes -= bytes;
        while let Some(waiting) = self.next_waiting() {
            // A receiver that is gone returns the permit at once.
            let _ = waiting.granted.send(self.permit(waiting.bytes));
        }
    }

    /// Takes the next body that waits and whose permit the budget covers.
    fn next_waiting(&self) -> Option<Waiting> {
        let mut state = self.state.borrow_mut();
        let used_bytes = state.used_bytes;
        let after_last = match state.last_peer {
            Some(peer) => (Excluded(peer), Unbounded),
            None => (Unbounded, Unbounded),
        };
        let next = state.waiting.range(after_last).next();
        let peer = *next.or_else(|| state.waiting.first_key_value())?.0;
        let queue = state.waiting.get_mut(&peer)?;
        while queue
            .front()
            .is_some_and(|waiting| waiting.granted.is_canceled())
        {
            queue.pop_front();
        }
        // The others wait for it as well, or larger bodies would never get a permit.
        let fits = |waiting: &Waiting| used_bytes + waiting.bytes <= self.bytes_max;
        let waiting = match queue.front().is_none_or(fits) {
            true => queue.pop_front(),
            false => return None,
        };
        if queue.is_empty() {
            state.waiting.remove(&peer);
        }
        state.last_peer = Some(peer);
        match waiting {
            Some(waiting) => {
                state.used_bytes += waiting.bytes;
                Some(waiting)
            }
            None => {
                drop(state);
                self.next_waiting()
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
