//! Notices of servers that leave, until the other control processes hold them.
//!
//! A server that leaves sends its notice once. If the process that accepted it ended before it passed the
//! notice on, entries that follow other processes would use the server until its lease expires. So the
//! notice is acknowledged only when other control processes have confirmed it, and it is sent again to each
//! that has not. A process that can't be reached, or is of a build that doesn't confirm, delays the
//! acknowledgement for a part of the time that a server waits for it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::id::{Server, Ticket};
use eelgrassdyke_core::time::Instant;

/// Number of other control processes that must hold a departure before it is acknowledged, as two processes
/// may be lost; fewer if there are not as many.
const CONFIRMATIONS: usize = 2;

/// Time after which a notice is acknowledged without enough confirmations; servers wait for a second.
const CONFIRMATION_WAIT_MAX: Duration = Duration::from_millis(400);

/// Time between two messages with a notice to a process that has not confirmed it.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);

/// A notice that some control process has not confirmed.
#[derive(Clone, Debug)]
struct Notice {
    server: Server,
    /// The request to respond to, until the response is sent.
    ticket: Option<Ticket>,
    unconfirmed: BTreeSet<SocketAddr>,
    /// Number of further confirmations that the response waits for.
    missing: usize,
    accepted_at: Instant,
    next_send: Instant,
}

/// The notices that some control process has not confirmed.
#[derive(Clone, Debug)]
pub struct Departures {
    notices: Vec<Notice>,
    /// Time for which a notice is sent again: then the server's lease has expired everywhere.
    lease: Duration,
}

impl Departures {
    /// No notices; a server's lease lasts for `lease`.
    pub fn new(lease: Duration) -> Self {
        Self {
            notices: Vec::new(),
            lease,
        }
    }

    /// Adds a notice that was just sent to `peers`; returns its ticket if nobody has to confirm it.
    pub fn add(
        &mut self,
        now: Instant,
        ticket: Ticket,
        server: Server,
        peers: Vec<SocketAddr>,
    ) -> Option<Ticket> {
        if peers.is_empty() {
            return Some(ticket);
        }
        self.notices.push(Notice {
            server,
            ticket: Some(ticket),
            missing: peers.len().min(CONFIRMATIONS),
            unconfirmed: peers.into_iter().collect(),
            accepted_at: now,
            next_send: now + RESEND_INTERVAL,
        });
        None
    }

    /// Records that the process at `from` holds a departure; returns the tickets to respond to.
    pub fn record_confirmation(&mut self, server: &Server, from: SocketAddr) -> Vec<Ticket> {
        let mut tickets = Vec::new();
        for notice in &mut self.notices {
            if notice.server != *server || !notice.unconfirmed.remove(&from) {
                continue;
            }
            notice.missing = notice.missing.saturating_sub(1);
            if notice.missing == 0 {
                tickets.extend(notice.ticket.take());
            }
        }
        self.notices.retain(|notice| !notice.unconfirmed.is_empty());
        tickets
    }

    /// Tickets whose notices have waited long enough for confirmations.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<Ticket> {
        let is_overdue =
            |notice: &&mut Notice| now.since(notice.accepted_at) >= CONFIRMATION_WAIT_MAX;
        let overdue = self.notices.iter_mut().filter(is_overdue);
        overdue.filter_map(|notice| notice.ticket.take()).collect()
    }

    /// Notices that are due to be sent again, with the processes that have not confirmed them.
    pub fn take_due(&mut self, now: Instant) -> Vec<(Server, BTreeSet<SocketAddr>)> {
        let lease = self.lease;
        self.notices
            .retain(|notice| now.since(notice.accepted_at) < lease);
        let mut due = Vec::new();
        for notice in &mut self.notices {
            if now < notice.next_send {
                continue;
            }
            notice.next_send = now + RESEND_INTERVAL;
            due.push((notice.server.clone(), notice.unconfirmed.clone()));
        }
        due
    }

    /// When [`Departures::take_overdue`] or [`Departures::take_due`] next returns something.
    pub fn next_deadline(&self) -> Instant {
        let deadline = |notice: &Notice| match notice.ticket {
            Some(_) => (notice.accepted_at + CONFIRMATION_WAIT_MAX).min(notice.next_send),
            None => notice.next_send,
        };
        let first = self.notices.iter().map(deadline).min();
        first.unwrap_or(Instant::NEVER)
    }
}
