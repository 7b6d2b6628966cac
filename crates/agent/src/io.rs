//! What goes into an agent and what comes out.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::config::ServiceKind;
use eelgrassdyke_core::event::Event;
use eelgrassdyke_core::id::{DataCentre, Host, Server, Service, Ticket};
use eelgrassdyke_core::settings;
use eelgrassdyke_core::unit::TokenRate;
use eelgrassdyke_core::wire::dispatch::{Call, Dispatch, Frame, ResponseHead};
use eelgrassdyke_core::wire::{Message, Sender};

/// What a back end answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The head of its answer.
    Head(ResponseHead),
    /// Bytes of its body.
    Data(Vec<u8>),
    /// The body is whole.
    End,
    /// The exchange broke off.
    Failed {
        /// Whether anything of the call may have reached the back end.
        sent: bool,
        /// What happened, for the log.
        detail: String,
    },
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// An entry sent a dispatch.
    Dispatch {
        /// Names the waiting entry.
        ticket: Ticket,
        /// The dispatch.
        dispatch: Box<Dispatch>,
    },
    /// The entry broke off the exchange.
    Gone {
        /// The entry.
        ticket: Ticket,
    },
    /// The back end answered a call.
    Reply {
        /// The call.
        ticket: Ticket,
        /// A part of the answer.
        reply: Reply,
    },
    /// Whether the back end passed its last health check.
    Health(bool),
    /// A message came from another process.
    Mail {
        /// Who sent it.
        from: Sender,
        /// The message.
        message: Message,
    },
    /// Nothing but time passed.
    Tick,
    /// A graceful shutdown begins: finish what is in progress, take nothing new.
    Drain,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a part of an answer to an entry, at once; the last one ends the exchange.
    Frame {
        /// The entry.
        ticket: Ticket,
        /// The part.
        frame: Frame,
    },
    /// Pass a call on to the back end and feed back its replies.
    Run {
        /// Names the call.
        ticket: Ticket,
        /// The call.
        call: Call,
        /// Time until its deadline.
        left: Duration,
    },
    /// Break off a call, so that the back end stops working on it.
    Abort {
        /// The call.
        ticket: Ticket,
    },
    /// Check the back end's health and feed back the result.
    CheckHealth,
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

/// Options of an agent.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where the control processes listen.
    pub control: Vec<SocketAddr>,
    /// The back end's name.
    pub server: Server,
    /// The service it serves.
    pub service: Service,
    /// The machine.
    pub host: Host,
    /// The zone.
    pub data_centre: DataCentre,
    /// Requests that the back end runs at once.
    pub slots: u32,
    /// Tokens a second with all slots busy; zero for a plain service.
    pub token_rate: TokenRate,
    /// Requests queued at most.
    pub queue: usize,
    /// Keys remembered at most.
    pub keys: usize,
}

impl Options {
    /// Options from a process's settings.
    pub fn from_settings(settings: &settings::Settings, agent: &settings::AgentSettings) -> Self {
        Self {
            control: settings.control.clone(),
            server: agent.server.clone(),
            service: agent.service.clone(),
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            slots: agent.slots,
            token_rate: agent.token_rate,
            queue: 1024,
            keys: 100_000,
        }
    }

    /// Kind of the back end, as its token rate tells.
    pub fn kind(&self) -> ServiceKind {
        match self.token_rate.0 {
            0 => ServiceKind::Plain,
            _ => ServiceKind::Drafting,
        }
    }
}
