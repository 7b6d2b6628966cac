//! What agents announce and what entries learn of it.

use std::net::SocketAddr;

use crate::config::EngineOrder;
use crate::data;
use crate::id::{DataCentre, Host, Incarnation, Process, Server, Service};
use crate::unit::TokenRate;

data! {
    /// An agent's announcement of its back end, about once a second.
    pub struct Heartbeat {
        /// The back end as entries see it.
        #[serde(rename = "row")]
        pub info: ServerInfo,
        /// Rises with each beat of one incarnation.
        pub sequence: u64,
        /// The back end's load.
        pub load: ServerLoad,
    }

    /// A back end as entries see it.
    #[derive(Eq)]
    pub struct ServerInfo {
        /// The back end.
        pub server: Server,
        /// The service it serves.
        pub service: Service,
        /// The agent's process.
        pub agent: Process,
        /// The agent's present life.
        pub incarnation: Incarnation,
        /// Where the agent takes dispatches and messages.
        pub address: SocketAddr,
        /// The machine.
        pub host: Host,
        /// The zone.
        pub data_centre: DataCentre,
        /// Whether it takes new work.
        pub state: ServerState,
        /// Requests it runs at once.
        pub slots: u32,
        /// Tokens a second it generates with all slots busy; zero for a plain service.
        pub token_rate: TokenRate,
        /// Orders that the engine has carried out.
        #[serde(rename = "holds")]
        pub applied_orders: Vec<EngineOrder>,
    }

    /// Whether a back end takes new work.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum ServerState {
        /// Takes new work.
        Up,
        /// Finishes what it has and takes no new work.
        Draining,
        /// Gone; the row is removed.
        Left,
    }

    /// Load of a back end as its agent sees it.
    #[derive(Copy, Default, Eq)]
    pub struct ServerLoad {
        /// Requests running.
        pub running: u32,
        /// Requests queued in the agent.
        pub queued: u32,
        /// Tokens still to generate for both, as estimated at admission.
        pub backlog_tokens: u64,
        /// Smoothed time from dispatch to first token, in microseconds.
        pub first_token_us: u64,
        /// Smoothed time between tokens, in microseconds.
        pub token_us: u64,
    }
}
