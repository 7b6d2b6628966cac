//! Orders to engines and the fence that they carry.

use crate::config::EngineOrder;
use crate::data;
use crate::id::{Operation, Server, Term};

data! {
    /// The number that an order carries; a lower one than seen before is refused.
    #[derive(Copy, Default, Eq, Hash, PartialOrd, Ord)]
    pub struct FencingToken {
        /// Term of the leader that gives the order.
        pub term: Term,
        /// Rises with each order of that term.
        pub sequence: u64,
    }

    /// A message about orders.
    pub enum Message {
        /// From the leader to an agent: carry this out.
        #[serde(rename = "Give")]
        Order {
            /// Names the order; the same one is carried out once.
            operation: Operation,
            /// The engine meant.
            server: Server,
            /// What to do.
            order: EngineOrder,
            /// Its fence.
            fence: FencingToken,
        },
        /// From an agent to the leader.
        #[serde(rename = "Given")]
        OrderResult {
            /// The order.
            operation: Operation,
            /// The engine.
            server: Server,
            /// How it went.
            result: OrderOutcome,
        },
        /// From an agent to every control replica: which term is the newest you know?
        #[serde(rename = "Confirm")]
        ConfirmTerm {
            /// The agent's question number.
            #[serde(rename = "question")]
            query_number: u64,
            /// The engine that the order is for.
            server: Server,
        },
        /// From a control replica that votes.
        #[serde(rename = "Confirmed")]
        TermConfirmed {
            /// The question.
            #[serde(rename = "question")]
            query_number: u64,
            /// The replica.
            replica: crate::id::Replica,
            /// The newest term it knows.
            term: Term,
            /// Voters by its knowledge, to count a majority.
            voters: u32,
            /// Sequence of the last order to the engine that is known to have ended.
            #[serde(rename = "ended")]
            last_ended_sequence: u64,
        },
    }

    /// How an order went.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum OrderOutcome {
        /// Under way.
        Running,
        /// Carried out.
        Done,
        /// Refused: a higher fence was seen, or the term could not be confirmed.
        Fenced,
        /// The engine failed it.
        Failed(String),
    }
}
