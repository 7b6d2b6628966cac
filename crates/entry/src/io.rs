//! What goes into an entry and what comes out.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::event::Event;
use eelgrassdyke_core::id::{AttemptId, Ticket};
use eelgrassdyke_core::settings;
use eelgrassdyke_core::wire::dispatch::{Dispatch, Frame, ResponseHead};
use eelgrassdyke_core::wire::refusal::Refusal;
use eelgrassdyke_core::wire::{Message, Sender};

/// A caller's request as it came in.
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
    /// An agent answered a dispatch.
    Frame {
        /// The attempt.
        attempt: AttemptId,
        /// A part of the answer.
        frame: Frame,
    },
    /// The exchange with an agent broke off.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Whether anything of the dispatch may have reached the agent.
        sent: bool,
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
    /// A graceful shutdown begins: count as not ready, and after a grace time take no requests.
    Drain,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer a caller whole.
    Answer {
        /// The caller.
        ticket: Ticket,
        /// Head of the answer.
        head: ResponseHead,
        /// Body of the answer.
        body: Vec<u8>,
    },
    /// Start a streamed answer.
    Head {
        /// The caller.
        ticket: Ticket,
        /// Head of the answer.
        head: ResponseHead,
    },
    /// Stream a part, at once.
    Data {
        /// The caller.
        ticket: Ticket,
        /// The part.
        data: Vec<u8>,
    },
    /// End a streamed answer.
    End {
        /// The caller.
        ticket: Ticket,
    },
    /// Refuse a request.
    Refuse {
        /// The caller.
        ticket: Ticket,
        /// Why.
        refusal: Refusal,
    },
    /// Send a dispatch to an agent and feed back its frames.
    Dispatch {
        /// Where the agent listens.
        address: SocketAddr,
        /// The dispatch.
        dispatch: Box<Dispatch>,
    },
    /// Break off the exchange of an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send a message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Note an event.
    Event(Event),
}

/// Options of an entry.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where the control processes listen.
    pub control: Vec<SocketAddr>,
    /// The entry's data centre.
    pub data_centre: eelgrassdyke_core::id::DataCentre,
    /// Seed of the entry's random choices.
    pub seed: u64,
    /// Serve on when all of control is out of reach.
    pub serve_without_control: bool,
    /// Time without control after which the configuration counts as stale.
    pub freshness: Duration,
    /// Time in which a claim must be granted.
    pub claim_timeout: Duration,
    /// Attempts at a request at most.
    pub attempts: u32,
    /// Largest answer that is not streamed, in bytes.
    pub body_max: usize,
    /// Time after the start of a graceful shutdown in which new requests are still served.
    pub drain_grace: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            control: Vec::new(),
            data_centre: "default".parse().expect("a constant name is valid"),
            seed: 0,
            serve_without_control: true,
            freshness: Duration::from_secs(10),
            claim_timeout: Duration::from_secs(2),
            attempts: 3,
            body_max: 8 << 20,
            drain_grace: Duration::from_secs(2),
        }
    }
}

impl Options {
    /// Options from a process's settings.
    pub fn from_settings(
        settings: &settings::Settings,
        entry: &settings::EntrySettings,
        seed: u64,
    ) -> Self {
        Self {
            control: settings.control.clone(),
            data_centre: settings.data_centre.clone(),
            seed,
            serve_without_control: entry.serve_without_control,
            ..Self::default()
        }
    }
}
