//! Orders from operators to engines, and their outcomes.
//!
//! An engine carries out its orders one at a time, in the order of their sequence numbers.

use std::collections::{BTreeMap, VecDeque};

use eelgrassdyke_core::config::EngineOrder;
use eelgrassdyke_core::data;
use eelgrassdyke_core::id::{Operation, Server};
use eelgrassdyke_core::wire::fence::OrderOutcome;

/// Most ended orders whose outcome is kept.
const ENDED_MAX: usize = 4096;

/// Most orders that may be open at once.
const OPEN_MAX: usize = 4096;

data! {
    /// An order and its status.
    #[derive(Eq)]
    pub struct OrderStatus {
        /// Identifies the order.
        pub operation: Operation,
        /// The engine.
        pub server: Server,
        /// The order.
        pub order: EngineOrder,
        /// Increases with each order; an engine carries out its orders in this sequence.
        pub sequence: u64,
        /// Its outcome; none while it is open.
        pub outcome: Option<OrderOutcome>,
    }

    /// The response to an operator's order.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum OrderResponse {
        /// The order is committed; its present status.
        #[serde(rename = "standing")]
        Accepted(OrderStatus),
        /// The operation was used before for another order.
        #[serde(rename = "reused")]
        OperationReused,
        /// Too many orders are open; this one was not accepted.
        #[serde(rename = "full")]
        TooManyOpen,
    }

    /// All open orders, and the last ones that ended.
    #[derive(Default, Eq)]
    #[serde(default)]
    pub struct Orders {
        #[serde(rename = "last")]
        last_sequence: u64,
        open: BTreeMap<u64, OrderStatus>,
        ended: VecDeque<OrderStatus>,
        #[serde(rename = "last_ended")]
        last_ended_sequence: BTreeMap<Server, u64>,
    }
}

impl Orders {
    /// Opens an order; a resend of the same order returns its present status.
    pub fn open(
        &mut self,
        operation: &Operation,
        server: &Server,
        order: &EngineOrder,
    ) -> OrderResponse {
        if let Some(status) = self.iter().find(|status| status.operation == *operation) {
            return match status.server == *server && status.order == *order {
                true => OrderResponse::Accepted(status.clone()),
                false => OrderResponse::OperationReused,
            };
        }
        if self.open.len() >= OPEN_MAX {
            return OrderResponse::TooManyOpen;
        }
        self.last_sequence += 1;
        let status = OrderStatus {
            operation: operation.clone(),
            server: server.clone(),
            order: order.clone(),
            sequence: self.last_sequence,
            outcome: None,
        };
        self.open.insert(self.last_sequence, status.clone());
        OrderResponse::Accepted(status)
    }

    /// Closes an open order with its outcome.
    pub fn close(&mut self, operation: &Operation, outcome: &OrderOutcome) {
        let order = self
            .open
            .values()
            .find(|status| status.operation == *operation);
        let Some(sequence) = order.map(|status| status.sequence) else {
            return;
        };
        let Some(mut status) = self.open.remove(&sequence) else {
            return;
        };
        status.outcome = Some(outcome.clone());
        self.last_ended_sequence
            .insert(status.server.clone(), sequence);
        self.ended.push_back(status);
        if self.ended.len() > ENDED_MAX {
            self.ended.pop_front();
        }
    }

    /// The first open order of each engine.
    pub fn next_by_server(&self) -> Vec<&OrderStatus> {
        let mut first: BTreeMap<&Server, &OrderStatus> = BTreeMap::new();
        for status in self.open.values() {
            first.entry(&status.server).or_insert(status);
        }
        first.into_values().collect()
    }

    /// Sequence number of the last order to a server that ended; 0 if none did.
    pub fn last_ended_sequence(&self, server: &Server) -> u64 {
        self.last_ended_sequence.get(server).copied().unwrap_or(0)
    }

    /// The last `max` orders kept.
    pub fn recent(&self, max: usize) -> Vec<OrderStatus> {
        let total = self.ended.len() + self.open.len();
        self.iter()
            .skip(total.saturating_sub(max))
            .cloned()
            .collect()
    }

    /// All orders kept, the ended ones first.
    pub fn iter(&self) -> impl Iterator<Item = &OrderStatus> {
        self.ended.iter().chain(self.open.values())
    }
}
