//! Beside an engine that entries call directly: reads what it says, and carries out orders to it.
//!
//! Reading is fresh and free on the engine's own host, and from there its orders come as well. The
//! watch keeps no promise of its own: what it has forgotten, the engine still knows.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::follow::Follower;
use eelgrassdyke_core::id::{Generation, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::rank::{self, EngineReport, RankOrder, RankOrderResult};
use eelgrassdyke_core::wire::{Message, Sender};

/// Time between two readings: a switch waits for the next one at each of its steps.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a reading counts as lost.
const READ_MAX: Duration = Duration::from_secs(1);

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A reading came, or failed.
    Reading(Option<Box<EngineReport>>),
    /// An order came to something.
    Done(RankOrderResult),
    /// A message came from another process.
    Mail {
        /// Who sent it.
        from: Sender,
        /// The message.
        message: Message,
    },
    /// Nothing but time passed.
    Tick,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read what the engine says.
    Read {
        /// The map whose experts are known already, and the life of the group.
        known: Option<(Generation, Version)>,
    },
    /// Have the engine carry out an order.
    Order(RankOrder),
    /// Send a message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
}

/// The state machine of the watch role.
pub struct Watch {
    me: Sender,
    follower: Follower,
    next_read: Instant,
    reading_since: Option<Instant>,
    /// The last order known to be over when the present reading began, and now.
    after: (u64, u64),
    experts: Option<(Generation, Version, Vec<Vec<u32>>)>,
}

impl Watch {
    /// A watch that has read nothing yet.
    pub fn new(me: Sender, control: Vec<SocketAddr>) -> Self {
        Self {
            follower: Follower::new(&me, control, false).without_config(),
            me,
            next_read: Instant(0),
            reading_since: None,
            after: (0, 0),
            experts: None,
        }
    }

    /// Takes in what happened at `now` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Reading(report) => {
                self.reading_since = None;
                if let Some(report) = report {
                    self.report(*report, out);
                }
            }
            Input::Done(done) => {
                self.after.1 = self.after.1.max(done.number);
                // The leader waits for a reading that shows what the order changed.
                self.next_read = now;
                self.tell(rank::Message::OrderResult(done), out);
            }
            Input::Mail { from, message } => match message {
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
        self.read(now, out);
        while let Some((to, follow)) = self.follower.next_poll(now) {
            let message = Message::Poll(follow);
            out.push(Output::Send { to, message });
        }
    }

    /// When the watch next needs [`Input::Tick`].
    pub fn next_deadline(&self) -> Instant {
        let read = match self.reading_since {
            Some(since) => since + READ_MAX,
            None => self.next_read,
        };
        read.min(self.follower.next_deadline())
    }

    fn read(&mut self, now: Instant, out: &mut Vec<Output>) {
        let lost = |since: Instant| now.since(since) >= READ_MAX;
        if self.reading_since.is_some_and(|since| !lost(since)) || now < self.next_read {
            return;
        }
        self.next_read = now + READ_INTERVAL;
        self.reading_since = Some(now);
        self.after.0 = self.after.1;
        let known = self.experts.as_ref();
        let known = known.map(|(generation, version, _)| (*generation, *version));
        out.push(Output::Read { known });
    }

    fn report(&mut self, mut report: EngineReport, out: &mut Vec<Output>) {
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
        report.last_known_order = self.after.0;
        report.incarnation = self.me.incarnation;
        let from = self.me.address;
        let relayed = false;
        let message = rank::Message::Report {
            report,
            relayed,
            from,
        };
        self.tell(message, out);
    }

    fn tell(&self, message: rank::Message, out: &mut Vec<Output>) {
        if let Some(to) = self.follower.leader_address() {
            let message = Message::Rank(Box::new(message));
            out.push(Output::Send { to, message });
        }
    }
}
