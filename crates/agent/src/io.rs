//! Inputs, outputs and options of the agent's state machine.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::config::ServiceKind;
use eelgrassdyke_core::event::Event;
use eelgrassdyke_core::id::{DataCentre, Host, Server, Service, Ticket};
use eelgrassdyke_core::settings;
use eelgrassdyke_core::unit::TokenRate;
use eelgrassdyke_core::wire::dispatch::{Call, Dispatch, Frame, ResponseHead};
use eelgrassdyke_core::wire::{Message, Sender};

/// A part of the server's response to a call, or its failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The response head.
    Head(ResponseHead),
    /// Bytes of the response body.
    Data(Vec<u8>),
    /// The end of the body.
    End,
    /// The call failed before the end of the response.
    Failed {
        /// Whether any part of the call may have reached the server.
        sent: bool,
        /// The error, for the log.
        detail: String,
    },
}

/// An input of the agent.
#[derive(Clone, Debug)]
pub enum Input {
    /// An entry sent a dispatch.
    Dispatch {
        /// Identifies the exchange with the entry.
        ticket: Ticket,
        /// The dispatch.
        dispatch: Box<Dispatch>,
    },
    /// The entry closed the exchange before its end, which cancels the dispatch.
    DispatchCancelled {
        /// Identifies the exchange with the entry.
        ticket: Ticket,
    },
    /// The server responded to a forwarded call.
    Response {
        /// Identifies the call.
        ticket: Ticket,
        /// The part of the response.
        part: ResponsePart,
    },
    /// A health check of the server ended; true if the server passed it.
    HealthCheckResult(bool),
    /// Another process sent a message.
    Message {
        /// The sender.
        from: Sender,
        /// The message.
        message: Message,
    },
    /// A deadline of the agent has passed; see [`Agent::next_deadline`](crate::Agent::next_deadline).
    Tick,
    /// A graceful shutdown begins: complete open attempts and accept no new ones.
    Drain,
}

/// An action for the caller of the agent to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a frame to an entry without delay; a final frame ends the exchange.
    Frame {
        /// Identifies the exchange with the entry.
        ticket: Ticket,
        /// The frame.
        frame: Frame,
    },
    /// Forward a call to the server and feed the response back as [`Input::Response`].
    Forward {
        /// Identifies the call.
        ticket: Ticket,
        /// The call.
        call: Call,
        /// Remaining time until the deadline.
        time_left: Duration,
    },
    /// Abort a call by closing its connection, so that the server stops working on it.
    Abort {
        /// Identifies the call.
        ticket: Ticket,
    },
    /// Check the server's health and feed the result back as [`Input::HealthCheckResult`].
    CheckHealth,
    /// Send a message to another process.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Record an event in the timeline.
    Event(Event),
}

/// Options of an agent.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the control processes.
    pub control_addresses: Vec<SocketAddr>,
    /// Name of the server.
    pub server: Server,
    /// The service that the server provides.
    pub service: Service,
    /// The host.
    pub host: Host,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Tokens per second with all slots busy; zero for a plain service.
    pub token_rate: TokenRate,
    /// Maximum number of queued attempts.
    pub queue_capacity: usize,
    /// Maximum number of finished keys remembered, and of sealed keys.
    pub key_capacity: usize,
}

impl Options {
    /// Creates the options of the agent role from the settings of its process.
    pub fn from_settings(settings: &settings::Settings, agent: &settings::AgentSettings) -> Self {
        Self {
            control_addresses: settings.control_addresses.clone(),
            server: agent.server.clone(),
            service: agent.service.clone(),
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            slots: agent.slots,
            token_rate: agent.token_rate,
            queue_capacity: 1024,
            key_capacity: 100_000,
        }
    }

    /// Kind of the service; only a drafting service has a token rate.
    pub fn service_kind(&self) -> ServiceKind {
        match self.token_rate.0 {
            0 => ServiceKind::Plain,
            _ => ServiceKind::Drafting,
        }
    }
}
