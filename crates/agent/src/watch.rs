//! The watch beside an engine that entries call directly.
//!
//! The watch runs on the engine's host, where reading the engine's state is fast and cheap. It
//! reports that state to the control leader and passes the leader's orders on to the engine. It
//! keeps no durable state: what a restarted watch has lost can be read from the engine again.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::follow::Follower;
use eelgrassdyke_core::id::{Generation, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::rank::{self, EngineReport, RankOrder, RankOrderResult};
use eelgrassdyke_core::wire::{Message, Sender};

/// Time between two reads of the engine's state. It is short because each step of a switch of
/// expert maps waits for the next read.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a read without a result counts as lost.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// An input of the watch.
#[derive(Clone, Debug)]
pub enum Input {
    /// A read of the engine's state ended; none if it failed.
    ReadResult(Option<Box<EngineReport>>),
    /// An order to the engine ended.
    OrderResult(RankOrderResult),
    /// Another process sent a message.
    Message {
        /// The sender.
        from: Sender,
        /// The message.
        message: Message,
    },
    /// A deadline of the watch has passed; see [`Watch::next_deadline`].
    Tick,
}

/// An action for the caller of the watch to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read the engine's state and feed it back as [`Input::ReadResult`].
    Read {
        /// Generation of the group and version of the map for which the watch already has the
        /// experts.
        known_map: Option<(Generation, Version)>,
    },
    /// Send an order to the engine and feed the result back as [`Input::OrderResult`].
    Order(RankOrder),
    /// Send a message to another process.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
}

/// The state machine of the watch role.
pub struct Watch {
    local: Sender,
    follower: Follower,
    next_read_at: Instant,
    read_started_at: Option<Instant>,
    /// Highest number of an order whose result is known.
    last_known_order: u64,
    /// Value of `last_known_order` when the current read started.
    last_known_order_at_read: u64,
    /// Experts of the rank by layer, with the generation and the version of their map.
    experts: Option<(Generation, Version, Vec<Vec<u32>>)>,
}

impl Watch {
    /// Creates a watch that has not read the engine's state yet.
    pub fn new(local: Sender, control_addresses: Vec<SocketAddr>) -> Self {
        Self {
            follower: Follower::new(&local, control_addresses, false).without_config(),
            local,
            next_read_at: Instant(0),
            read_started_at: None,
            last_known_order: 0,
            last_known_order_at_read: 0,
            experts: None,
        }
    }

    /// Handles an input at instant `now` and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::ReadResult(report) => {
                self.read_started_at = None;
                if let Some(report) = report {
                    self.report_state(*report, out);
                }
            }
            Input::OrderResult(result) => {
                self.last_known_order = self.last_known_order.max(result.number);
                // The leader waits for a report that shows the effect of the order.
                self.next_read_at = now;
                self.send_to_leader(rank::Message::OrderResult(result), out);
            }
            Input::Message { from, message } => match message {
                Message::Update(update) => {
                    self.follower.apply(now, &from.process, update);
                }
                Message::Rank(message) => {
                    if let rank::Message::Order(order) = *message {
                        out.push(Output::Order(order));
                    }
                }
                _ => {}
            },
            Input::Tick => {}
        }
        self.start_due_read(now, out);
        while let Some((to, poll)) = self.follower.next_poll(now) {
            let message = Message::Poll(poll);
            out.push(Output::Send { to, message });
        }
    }

    /// When the watch next needs an [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        let read = match self.read_started_at {
            Some(started_at) => started_at + READ_TIMEOUT,
            None => self.next_read_at,
        };
        read.min(self.follower.next_deadline())
    }

    /// Starts a read if one is due and no other is in progress.
    fn start_due_read(&mut self, now: Instant, out: &mut Vec<Output>) {
        let timed_out = |started_at: Instant| now.since(started_at) >= READ_TIMEOUT;
        let in_progress = |started_at| !timed_out(started_at);
        if self.read_started_at.is_some_and(in_progress) || now < self.next_read_at {
            return;
        }
        self.next_read_at = now + READ_INTERVAL;
        self.read_started_at = Some(now);
        self.last_known_order_at_read = self.last_known_order;
        let known_map = self.experts.as_ref();
        let known_map = known_map.map(|(generation, version, _)| (*generation, *version));
        out.push(Output::Read { known_map });
    }

    /// Completes a report, with remembered experts if they were not read, and sends it to the
    /// leader.
    fn report_state(&mut self, mut report: EngineReport, out: &mut Vec<Output>) {
        if report.experts.is_empty() {
            if let Some((generation, version, experts)) = &self.experts
                && (*generation, *version) == (report.generation, report.active_map)
            {
                report.experts.clone_from(experts);
            }
        } else {
            let experts = report.experts.clone();
            self.experts = Some((report.generation, report.active_map, experts));
        }
        report.last_known_order = self.last_known_order_at_read;
        report.incarnation = self.local.incarnation;
        let from = self.local.address;
        let relayed = false;
        let message = rank::Message::Report {
            report,
            relayed,
            from,
        };
        self.send_to_leader(message, out);
    }

    fn send_to_leader(&self, message: rank::Message, out: &mut Vec<Output>) {
        if let Some(to) = self.follower.leader_address() {
            let message = Message::Rank(Box::new(message));
            out.push(Output::Send { to, message });
        }
    }
}
