//! Orders to engines, as operators gave them, and how each went.

use std::collections::{BTreeMap, VecDeque};

use eelgrassdyke_core::config::EngineOrder;
use eelgrassdyke_core::data;
use eelgrassdyke_core::id::{Operation, Server};
use eelgrassdyke_core::wire::fence::OrderOutcome;

/// Ended orders whose outcome is remembered.
const ENDED_MAX: usize = 4096;

/// Orders open at once.
const OPEN_MAX: usize = 4096;

data! {
    /// An order and how it went.
    #[derive(Eq)]
    pub struct Standing {
        /// Names the order.
        pub operation: Operation,
        /// The engine.
        pub server: Server,
        /// What to do.
        pub order: EngineOrder,
        /// Rises with each order; an engine carries out its orders in this order.
        pub sequence: u64,
        /// How it went; none while nothing was heard of it.
        pub outcome: Option<OrderOutcome>,
    }

    /// What became of an operator's order.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Taken {
        /// It is durable, and this is how it stands.
        Standing(Standing),
        /// The operation was used before for another order.
        Reused,
        /// Too many orders are open; this one was not taken.
        Full,
    }

    /// All orders that are open, and the last ones that ended.
    #[derive(Default, Eq)]
    #[serde(default)]
    pub struct Orders {
        last: u64,
        open: BTreeMap<u64, Standing>,
        ended: VecDeque<Standing>,
        last_ended: BTreeMap<Server, u64>,
    }
}

impl Orders {
    /// Takes in an order; the same one again gets its present standing.
    pub fn give(&mut self, operation: &Operation, server: &Server, order: &EngineOrder) -> Taken {
        if let Some(held) = self.iter().find(|held| held.operation == *operation) {
            return match held.server == *server && held.order == *order {
                true => Taken::Standing(held.clone()),
                false => Taken::Reused,
            };
        }
        if self.open.len() >= OPEN_MAX {
            return Taken::Full;
        }
        self.last += 1;
        let standing = Standing {
            operation: operation.clone(),
            server: server.clone(),
            order: order.clone(),
            sequence: self.last,
            outcome: None,
        };
        self.open.insert(self.last, standing.clone());
        Taken::Standing(standing)
    }

    /// Notes how an open order ended.
    pub fn end(&mut self, operation: &Operation, outcome: &OrderOutcome) {
        let open = self.open.values().find(|held| held.operation == *operation);
        let Some(sequence) = open.map(|held| held.sequence) else {
            return;
        };
        let Some(mut standing) = self.open.remove(&sequence) else {
            return;
        };
        standing.outcome = Some(outcome.clone());
        self.last_ended.insert(standing.server.clone(), sequence);
        self.ended.push_back(standing);
        if self.ended.len() > ENDED_MAX {
            self.ended.pop_front();
        }
    }

    /// The order that each engine is to carry out now.
    pub fn due(&self) -> Vec<&Standing> {
        let mut first: BTreeMap<&Server, &Standing> = BTreeMap::new();
        for standing in self.open.values() {
            first.entry(&standing.server).or_insert(standing);
        }
        first.into_values().collect()
    }

    /// Sequence of the last order to an engine that ended.
    pub fn last_ended(&self, server: &Server) -> u64 {
        self.last_ended.get(server).copied().unwrap_or(0)
    }

    /// The last `most` orders remembered.
    pub fn recent(&self, most: usize) -> Vec<Standing> {
        let all = self.ended.len() + self.open.len();
        self.iter()
            .skip(all.saturating_sub(most))
            .cloned()
            .collect()
    }

    /// All orders remembered.
    pub fn iter(&self) -> impl Iterator<Item = &Standing> {
        self.ended.iter().chain(self.open.values())
    }
}
