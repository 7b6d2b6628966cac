//! What goes into the direct path and what comes out.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::event::Event;
use eelgrassdyke_core::id::{Incarnation, Server, Team, Ticket};
use eelgrassdyke_core::settings;
use eelgrassdyke_core::unit::Permille;
use eelgrassdyke_core::wire::refusal::Refusal;
use eelgrassdyke_core::wire::{Message, Sender};

/// A caller's request, as far as decisions need it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// The caller's id of this attempt, for logs.
    pub id: String,
    /// The host name called.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// The key that names the team, if the call bears one.
    pub key: Option<String>,
    /// How long the caller waits; none when it doesn't say.
    pub time_left: Option<Duration>,
    /// What it asks of an engine.
    pub size: Size,
}

/// Tokens of a request to an engine; zero for other requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens of the answer.
    pub answer: u32,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller's request came in.
    Call {
        /// Names the waiting caller.
        ticket: Ticket,
        /// The request.
        call: Call,
    },
    /// The caller went away.
    Gone {
        /// The caller.
        ticket: Ticket,
    },
    /// An event of a stream was passed on to the caller.
    Passed {
        /// The caller.
        ticket: Ticket,
        /// The attempt that brought it.
        attempt: u32,
    },
    /// An attempt ended.
    Ended {
        /// The caller.
        ticket: Ticket,
        /// The attempt.
        attempt: u32,
        /// How.
        outcome: Outcome,
    },
    /// A message came from another process.
    Mail {
        /// Who sent it.
        from: Sender,
        /// The message.
        message: Message,
    },
    /// Nothing but time passed.
    Tick,
    /// A graceful shutdown begins.
    Drain,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server's whole answer is there, with this status, and none of it was passed on yet.
    Answered(u16),
    /// The stream was passed on to its end.
    Streamed,
    /// The request has not run at that server and never will.
    NotRun(Proof),
    /// The exchange broke off or brought something else than an answer; the request may have run.
    Lost,
}

/// Why a request is known not to have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The server said so, as it is full or leaving.
    Rejected,
    /// Another server has the address.
    OtherServer,
}

/// An attempt to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Running number among the attempts of the call, from 1.
    pub attempt: u32,
    /// The server that is meant.
    pub server: Server,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Time that is left for the answer.
    pub left: Duration,
    /// The team that calls; none on an anonymous mount.
    pub team: Option<Team>,
    /// Rank of the request at the server, 0 first.
    pub priority: u8,
    /// Whether a connection of its own is opened: what is sent on a kept one may be lost unseen.
    pub fresh: bool,
    /// Whether the answer is a stream of events.
    pub streams: bool,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Make an attempt and feed back how it ended.
    Send {
        /// The caller.
        ticket: Ticket,
        /// The attempt.
        order: Order,
    },
    /// Break off the attempt that is under way.
    Cancel {
        /// The caller.
        ticket: Ticket,
    },
    /// Pass on the whole answer that is there.
    Deliver {
        /// The caller.
        ticket: Ticket,
    },
    /// End the stream as complete.
    End {
        /// The caller.
        ticket: Ticket,
    },
    /// Close the caller's connection, as a stream can't be completed.
    Abort {
        /// The caller.
        ticket: Ticket,
    },
    /// Refuse the request.
    Refuse {
        /// The caller.
        ticket: Ticket,
        /// Why.
        refusal: Refusal,
    },
    /// Send a message.
    Mail {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Note an event.
    Event(Event),
}

/// Part of the time until a stopping process is killed in which it still takes requests: the
/// platform sends no more callers after two missed health checks, a second apart, and what was taken
/// must still have time to end.
const DRAIN_PART: f64 = 0.3;

/// Options of the direct path.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where the control processes listen, as far as the settings say.
    pub control: Vec<SocketAddr>,
    /// The entry's data centre.
    pub data_centre: eelgrassdyke_core::id::DataCentre,
    /// Seed of the entry's random choices.
    pub seed: u64,
    /// Attempts beyond the first of each request, as a part of the requests.
    pub retry_share: Permille,
    /// Attempts that all entries together may add to that part within the window.
    pub retry_slack: u32,
    /// The window.
    pub retry_window: Duration,
    /// Time after the start of a graceful shutdown in which new requests are still served.
    pub drain_grace: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            control: Vec::new(),
            data_centre: "default".parse().expect("a constant name is valid"),
            seed: 0,
            retry_share: Permille(200),
            retry_slack: 0,
            retry_window: Duration::from_secs(10),
            drain_grace: Duration::from_secs(4),
        }
    }
}

impl Options {
    /// Options from a process's settings.
    pub fn from_settings(
        settings: &settings::Settings,
        direct: &settings::DirectSettings,
        seed: u64,
    ) -> Self {
        Self {
            control: settings.control.clone(),
            data_centre: settings.data_centre.clone(),
            seed,
            retry_share: direct.retry_share,
            retry_slack: direct.retry_slack,
            retry_window: Duration::from_millis(direct.retry_window_ms),
            drain_grace: Duration::from_millis(direct.grace_ms).mul_f64(DRAIN_PART),
        }
    }
}
