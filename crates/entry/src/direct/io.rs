//! Inputs, outputs and options of the direct path.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::crash::Fingerprint;
use eelgrassdyke_core::event::Event;
use eelgrassdyke_core::id::{Incarnation, PromptPart, Server, Team, Ticket};
use eelgrassdyke_core::settings;
use eelgrassdyke_core::unit::{MilliRequestRate, Permille};
use eelgrassdyke_core::wire::refusal::Refusal;
use eelgrassdyke_core::wire::{Message, Sender};

use super::cold::ColdBound;

/// The properties of a caller's request that decisions depend on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// The caller's id of this call, for logs.
    pub id: String,
    /// The requested host name.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// The API key that identifies the team, if the call has one.
    pub api_key: Option<String>,
    /// The time that the caller waits, if it states one.
    pub time_left: Option<Duration>,
    /// Token counts of the request.
    pub tokens: TokenCounts,
    /// The parts of its prompt that other requests may share, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// Fingerprint of method, path, query and body.
    pub fingerprint: Fingerprint,
}

/// Token counts of a request to an engine; zero for other requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Maximum number of tokens of the response.
    pub response_max: u32,
}

/// What a server says about itself in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerSignal {
    /// Whether it leaves.
    pub is_leaving: bool,
    /// For how long it wants no requests.
    pub pause: Option<Pause>,
    /// What it says about the rate of requests that it takes.
    pub limit: LimitNotice,
}

/// What the head of a response says about the rate of requests that its server takes from all callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// Nothing: the response may be another server's.
    #[default]
    Unknown,
    /// The server names no limit.
    Unlimited,
    /// It takes this rate.
    Limited(MilliRequestRate),
    /// It names a limit that can't be read.
    Unreadable,
}

/// The time for which a server wants no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pause {
    /// This long.
    For(Duration),
    /// It stated a time that can't be read.
    Unreadable,
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
    /// An event of a stream was forwarded to the caller.
    EventForwarded {
        /// The caller.
        ticket: Ticket,
        /// Number of the attempt that produced the event.
        attempt: u32,
    },
    /// A response has begun, and its body waits for memory of this process.
    ResponseWaits {
        /// The caller.
        ticket: Ticket,
        /// Number of the attempt that received it.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The caller.
        ticket: Ticket,
        /// Number of the attempt.
        attempt: u32,
        /// The outcome.
        outcome: AttemptOutcome,
    },
    /// A server said something about itself in a response.
    ServerSignal {
        /// The server.
        server: Server,
        /// Its incarnation.
        incarnation: Incarnation,
        /// What it said.
        signal: ServerSignal,
    },
    /// The result of [`Output::CheckServer`].
    ServerChecked {
        /// The server.
        server: Server,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Whether it has ended, as it refuses connections.
        has_ended: bool,
    },
    /// A message from another process.
    Message {
        /// The sender.
        from: Sender,
        /// The message.
        message: Message,
    },
    /// A deadline has passed; see [`Direct::next_deadline`](super::Direct::next_deadline).
    Tick,
    /// Begin a graceful shutdown.
    Drain,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server's complete response was received with this status, and none of it was forwarded
    /// yet.
    Responded(u16),
    /// A streamed response was forwarded completely.
    Streamed,
    /// The request did not run at this server and never will.
    NotRun(NotRunReason),
    /// The exchange was interrupted or returned no valid response; the request may have run.
    ResponseLost,
}

/// Why a request is known not to have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The server rejected the request because it is full or shutting down.
    Rejected,
    /// The address belongs to another server.
    OtherServer,
}

/// The parameters of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptSpec {
    /// Number of the attempt among those of the call, from 1.
    pub attempt: u32,
    /// The intended server.
    pub server: Server,
    /// Incarnation of the server.
    pub incarnation: Incarnation,
    /// Address for requests.
    pub address: SocketAddr,
    /// Remaining time until the deadline.
    pub time_left: Duration,
    /// The team of the caller; none on an anonymous mount.
    pub team: Option<Team>,
    /// Priority of the request at the server; 0 is served first.
    pub priority: u8,
    /// Whether to open a new connection: a request sent on a reused one may be lost without notice.
    pub new_connection: bool,
    /// Whether the response is a stream of events.
    pub is_stream: bool,
}

/// An action for the runtime to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Make an attempt and feed back its end.
    StartAttempt {
        /// The caller.
        ticket: Ticket,
        /// The parameters of the attempt.
        spec: AttemptSpec,
    },
    /// Open a connection to a server, without sending anything, and feed back whether it refuses.
    CheckServer {
        /// The server.
        server: Server,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Address for requests.
        address: SocketAddr,
    },
    /// Cancel the running attempt.
    Cancel {
        /// The caller.
        ticket: Ticket,
    },
    /// Forward the complete response that was received.
    Deliver {
        /// The caller.
        ticket: Ticket,
    },
    /// Complete the streamed response.
    EndStream {
        /// The caller.
        ticket: Ticket,
    },
    /// Close the caller's connection, because its started stream can't be completed.
    Abort {
        /// The caller.
        ticket: Ticket,
    },
    /// Refuse the request.
    Refuse {
        /// The caller.
        ticket: Ticket,
        /// The refusal.
        refusal: Refusal,
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

/// Fraction of the time before a stopping process is killed during which it still accepts requests:
/// the platform stops sending callers after two failed health checks, one second apart, and
/// accepted requests must still have time to finish.
const DRAIN_GRACE_FRACTION: f64 = 0.3;

/// Fraction of that time after which open requests are answered: the responses must still be written before
/// the process ends, shortly before it is killed.
const SHUTDOWN_FRACTION: f64 = 0.9;

/// Options of the direct path.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the control processes in the settings.
    pub control_addresses: Vec<SocketAddr>,
    /// The entry's data centre.
    pub data_centre: eelgrassdyke_core::id::DataCentre,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Retries allowed per request, in any window.
    pub retry_share: Permille,
    /// Retries that all entries together may make beyond that share, in any window.
    pub retry_slack: u32,
    /// Length of the window over which retries are limited.
    pub retry_window: Duration,
    /// Time after the start of a graceful shutdown during which new requests are still served.
    pub drain_grace: Duration,
    /// Time after the start of a graceful shutdown at which all open requests are answered.
    pub shutdown_time: Duration,
    /// What all entries together may send to a cold server.
    pub cold_bound: ColdBound,
    /// Whether the entries' shares of a server's slots are exact.
    pub exact_slots: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            control_addresses: Vec::new(),
            data_centre: "default".parse().expect("the default name is valid"),
            seed: 0,
            retry_share: Permille(200),
            retry_slack: 0,
            retry_window: Duration::from_secs(10),
            drain_grace: Duration::from_secs(4),
            shutdown_time: Duration::from_secs(12),
            cold_bound: ColdBound::default(),
            exact_slots: false,
        }
    }
}

impl Options {
    /// Options from the settings of a process.
    pub fn from_settings(
        settings: &settings::Settings,
        direct: &settings::DirectSettings,
        seed: u64,
    ) -> Self {
        Self {
            control_addresses: settings.control_addresses.clone(),
            data_centre: settings.data_centre.clone(),
            seed,
            retry_share: direct.retry_share,
            retry_slack: direct.retry_slack,
            retry_window: Duration::from_millis(direct.retry_window_ms),
            drain_grace: Duration::from_millis(direct.grace_ms).mul_f64(DRAIN_GRACE_FRACTION),
            shutdown_time: Duration::from_millis(direct.grace_ms).mul_f64(SHUTDOWN_FRACTION),
            cold_bound: ColdBound {
                overage: direct.cold_overage,
                slack: direct.cold_slack,
            },
            exact_slots: direct.exact_slots,
        }
    }
}
