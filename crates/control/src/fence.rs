//! Gives orders to agents while this replica leads, and answers agents that ask for the term.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::id::{Replica, Server, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Message;
use eelgrassdyke_core::wire::fence::{self, FencingToken};

use crate::state::order::Orders;

/// Time after which an order that has not ended is given again.
const GIVE_AGAIN: Duration = Duration::from_secs(1);

/// Gives the orders that are due.
#[derive(Clone, Debug, Default)]
pub struct Giver {
    next: Instant,
}

impl Giver {
    /// The orders to send now, under the leader's `term`; `address_of` tells where agents are.
    ///
    /// Called only while the leader holds its lease, by which time an older lease has run out.
    pub fn give(
        &mut self,
        now: Instant,
        term: Term,
        orders: &Orders,
        address_of: impl Fn(&Server) -> Option<SocketAddr>,
    ) -> Vec<(SocketAddr, Message)> {
        if now < self.next {
            return Vec::new();
        }
        self.next = now + GIVE_AGAIN;
        let mut messages = Vec::new();
        for standing in orders.due() {
            let Some(to) = address_of(&standing.server) else {
                continue;
            };
            let message = fence::Message::Order {
                operation: standing.operation.clone(),
                server: standing.server.clone(),
                order: standing.order.clone(),
                fence: FencingToken {
                    term,
                    sequence: standing.sequence,
                },
            };
            messages.push((to, Message::EngineOrder(message)));
        }
        messages
    }

    /// Makes the orders due at once.
    pub fn hurry(&mut self) {
        self.next = Instant(0);
    }
}

/// What a voting replica answers to an agent that asks for the term.
pub fn answer(
    question: u64,
    server: &Server,
    replica: Replica,
    term: Term,
    voters: usize,
    orders: &Orders,
) -> Message {
    Message::EngineOrder(fence::Message::TermConfirmed {
        query_number: question,
        replica,
        term,
        voters: voters as u32,
        last_ended_sequence: orders.last_ended(server),
    })
}
