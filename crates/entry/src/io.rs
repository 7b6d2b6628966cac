//! Inputs, outputs and options of the entry state machine.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::event::Event;
use eelgrassdyke_core::id::{AttemptId, Ticket};
use eelgrassdyke_core::settings;
use eelgrassdyke_core::wire::dispatch::{Dispatch, Frame, ResponseHead};
use eelgrassdyke_core::wire::refusal::Refusal;
use eelgrassdyke_core::wire::{Message, Sender};

/// A caller's request as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The method, in upper case.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// Header fields, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Call {
    /// The first value of a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        let field = self.headers.iter().find(|(field, _)| field == name);
        field.map(|(_, value)| value.as_str())
    }
}

/// An input to the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request was received.
    Call {
        /// Identifies the waiting caller.
        ticket: Ticket,
        /// The request.
        call: Call,
    },
    /// The caller closed its connection.
    CallerGone {
        /// The caller.
        ticket: Ticket,
    },
    /// An agent sent a frame of its response to a dispatch.
    Frame {
        /// The attempt.
        attempt: AttemptId,
        /// The frame.
        frame: Frame,
    },
    /// The exchange with an agent failed before its last frame.
    ExchangeFailed {
        /// The attempt.
        attempt: AttemptId,
        /// Whether any part of the dispatch may have reached the agent.
        sent: bool,
    },
    /// A message from another process.
    Message {
        /// The sender.
        from: Sender,
        /// The message.
        message: Message,
    },
    /// A deadline has passed; see [`Entry::next_deadline`](crate::Entry::next_deadline).
    Tick,
    /// Begin a graceful shutdown: report not ready, and stop accepting requests after the grace
    /// period.
    Drain,
}

/// An action for the runtime to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a complete response.
    Respond {
        /// The caller.
        ticket: Ticket,
        /// Head of the response.
        head: ResponseHead,
        /// Body of the response.
        body: Vec<u8>,
    },
    /// Start a streamed response.
    StartStream {
        /// The caller.
        ticket: Ticket,
        /// Head of the response.
        head: ResponseHead,
    },
    /// Send the next part of a streamed response, without buffering.
    StreamData {
        /// The caller.
        ticket: Ticket,
        /// The bytes to send.
        data: Vec<u8>,
    },
    /// Complete a streamed response.
    EndStream {
        /// The caller.
        ticket: Ticket,
    },
    /// Refuse a request.
    Refuse {
        /// The caller.
        ticket: Ticket,
        /// The refusal.
        refusal: Refusal,
    },
    /// Send a dispatch to an agent and feed back its frames.
    Dispatch {
        /// Address of the agent.
        address: SocketAddr,
        /// The dispatch.
        dispatch: Box<Dispatch>,
    },
    /// Cancel the exchange of an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send a message to another process.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Record an event.
    Event(Event),
}

/// Options of an entry.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the control processes.
    pub control_addresses: Vec<SocketAddr>,
    /// The entry's data centre.
    pub data_centre: eelgrassdyke_core::id::DataCentre,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Whether to keep serving while no control process can be reached.
    pub serve_without_control: bool,
    /// Time since the last control update after which the configuration is stale.
    pub stale_after: Duration,
    /// Time limit for obtaining a claim.
    pub claim_timeout: Duration,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Maximum size of a response that is not streamed, in bytes.
    pub response_bytes_max: usize,
    /// Time after the start of a graceful shutdown during which new requests are still served.
    pub drain_grace: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            control_addresses: Vec::new(),
            data_centre: "default".parse().expect("the default name is valid"),
            seed: 0,
            serve_without_control: true,
            stale_after: Duration::from_secs(10),
            claim_timeout: Duration::from_secs(2),
            max_attempts: 3,
            response_bytes_max: 8 << 20,
            drain_grace: Duration::from_secs(2),
        }
    }
}

impl Options {
    /// Options from the settings of a process.
    pub fn from_settings(
        settings: &settings::Settings,
        entry: &settings::EntrySettings,
        seed: u64,
    ) -> Self {
        Self {
            control_addresses: settings.control_addresses.clone(),
            data_centre: settings.data_centre.clone(),
            seed,
            serve_without_control: entry.serve_without_control,
            ..Self::default()
        }
    }
}
