//! Sends orders to agents while this replica leads, and responds to agents that query the term.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::id::{Replica, Server, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Message;
use eelgrassdyke_core::wire::fence::{self, FencingToken};

use crate::state::order::Orders;

/// Time after which an order that has not ended is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Sends each engine its first open order.
#[derive(Clone, Debug, Default)]
pub struct OrderSender {
    next_send: Instant,
}

impl OrderSender {
    /// The orders to send now, under the leader's `term`; `address_of` looks up an agent's address.
    ///
    /// Called only while the leader holds its lease, by which time any older lease has expired.
    pub fn due_messages(
        &mut self,
        now: Instant,
        term: Term,
        orders: &Orders,
        address_of: impl Fn(&Server) -> Option<SocketAddr>,
    ) -> Vec<(SocketAddr, Message)> {
        if now < self.next_send {
            return Vec::new();
        }
        self.next_send = now + RESEND_INTERVAL;
        let mut messages = Vec::new();
        for status in orders.next_by_server() {
            let Some(to) = address_of(&status.server) else {
                continue;
            };
            let message = fence::Message::Order {
                operation: status.operation.clone(),
                server: status.server.clone(),
                order: status.order.clone(),
                fence: FencingToken {
                    term,
                    sequence: status.sequence,
                },
            };
            messages.push((to, Message::EngineOrder(message)));
        }
        messages
    }

    /// Makes the orders due immediately.
    pub fn make_due(&mut self) {
        self.next_send = Instant(0);
    }
}

/// The response of a voting replica to an agent that queries the term.
pub fn term_response(
    query_number: u64,
    server: &Server,
    replica: Replica,
    term: Term,
    voters: usize,
    orders: &Orders,
) -> Message {
    Message::EngineOrder(fence::Message::TermConfirmed {
        query_number,
        replica,
        term,
        voters: voters as u32,
        last_ended_sequence: orders.last_ended_sequence(server),
    })
}
