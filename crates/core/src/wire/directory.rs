//! Announcements of servers by their agents, as stored in the directory and sent to entries.

use std::net::SocketAddr;

use crate::config::EngineOrder;
use crate::data;
use crate::id::{DataCentre, Host, Incarnation, Process, Server, Service};
use crate::unit::TokenRate;

data! {
    /// A heartbeat with which an agent announces its server, about once a second.
    pub struct Heartbeat {
        /// Description of the server.
        #[serde(rename = "row")]
        pub info: ServerInfo,
        /// Sequence number of the heartbeat within the incarnation.
        pub sequence: u64,
        /// Load of the server.
        pub load: ServerLoad,
    }

    /// Description of a server in the directory.
    #[derive(Eq)]
    pub struct ServerInfo {
        /// The server.
        pub server: Server,
        /// The service that it serves.
        pub service: Service,
        /// The process of its agent.
        pub agent: Process,
        /// The incarnation of its agent.
        pub incarnation: Incarnation,
        /// Address of its agent, for dispatches and messages.
        pub address: SocketAddr,
        /// The host.
        pub host: Host,
        /// The data centre.
        pub data_centre: DataCentre,
        /// Whether it accepts new requests.
        pub state: ServerState,
        /// Number of requests that it runs concurrently.
        pub slots: u32,
        /// Tokens per second that it generates with all slots busy; zero for a plain service.
        pub token_rate: TokenRate,
        /// Whether it has started recently and takes a lower rate of requests for a while.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub is_cold: bool,
        /// Orders that its engine has carried out.
        #[serde(rename = "holds")]
        pub applied_orders: Vec<EngineOrder>,
    }

    /// Whether a server accepts new requests.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum ServerState {
        /// Accepts new requests.
        Up,
        /// Finishes its requests and accepts no new ones.
        Draining,
        /// Has left; it is removed from the directory.
        Left,
    }

    /// Load of a server as measured by its agent.
    #[derive(Copy, Default, Eq)]
    pub struct ServerLoad {
        /// Number of running requests.
        pub running: u32,
        /// Number of requests queued in the agent.
        pub queued: u32,
        /// Tokens still to be generated for running and queued requests, as estimated at admission.
        pub backlog_tokens: u64,
        /// Smoothed time from dispatch to the first token, in microseconds.
        pub first_token_us: u64,
        /// Smoothed time between tokens, in microseconds.
        pub token_us: u64,
    }
}
