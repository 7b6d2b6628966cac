//! Orders to engines and the fencing tokens that they carry.

use crate::config::EngineOrder;
use crate::data;
use crate::id::{Operation, Server, Term};

data! {
    /// The fencing token of an order; a receiver refuses a lower one than it has seen.
    #[derive(Copy, Default, Eq, Hash, PartialOrd, Ord)]
    pub struct FencingToken {
        /// Term of the leader that issued the order.
        pub term: Term,
        /// Sequence number of the order within the term.
        pub sequence: u64,
    }

    /// A message about orders.
    pub enum Message {
        /// From the leader to an agent: an order to carry out.
        #[serde(rename = "Give")]
        Order {
            /// Identifies the order, which is carried out once however often it is sent.
            operation: Operation,
            /// The server of the engine.
            server: Server,
            /// The order.
            order: EngineOrder,
            /// Its fencing token.
            #[serde(rename = "fence")]
            fencing_token: FencingToken,
        },
        /// From an agent to the leader: the outcome of an order.
        #[serde(rename = "Given")]
        OrderResult {
            /// The operation of the order.
            operation: Operation,
            /// The server of the engine.
            server: Server,
            /// The outcome.
            result: OrderOutcome,
        },
        /// From an agent to every control replica: query for the highest known term.
        #[serde(rename = "Confirm")]
        ConfirmTerm {
            /// Number of the agent's query.
            #[serde(rename = "question")]
            query_number: u64,
            /// The server that the order is for.
            server: Server,
        },
        /// From a voting control replica: response to [`Message::ConfirmTerm`].
        #[serde(rename = "Confirmed")]
        TermConfirmed {
            /// Number of the query.
            #[serde(rename = "question")]
            query_number: u64,
            /// The replica.
            replica: crate::id::Replica,
            /// The highest term that it knows.
            term: Term,
            /// Number of voters that it knows, to determine a majority.
            voters: u32,
            /// Sequence number of the last order to the server that is known to have ended.
            #[serde(rename = "ended")]
            last_ended_sequence: u64,
        },
    }

    /// The outcome of an order.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum OrderOutcome {
        /// In progress.
        Running,
        /// Carried out.
        Done,
        /// Refused: a higher fencing token was seen, or the term could not be confirmed.
        Fenced,
        /// Failed on the engine, with the error.
        Failed(String),
    }
}
