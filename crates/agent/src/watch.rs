//! The watch beside an engine that entries call directly.
//!
//! The watch runs on the engine's host, where reading the engine's state is fast and cheap. It
//! reports that state to the coordinator of the engine's group, which is the control leader unless the
//! leader assigned the group to another control process, and passes its orders on to the engine. It
//! keeps no durable state: what a restarted watch has lost can be read from the engine again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::follow::Follower;
use eelgrassdyke_core::id::{Generation, Rank, Step, Version};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::rank::{
    self, EngineReport, ExpertCounts, RankAction, RankOrder, RankOrderResult,
};
use eelgrassdyke_core::wire::{Message, Sender};

/// Time between two reads of the engine's state. It is short because each step of a switch of
/// expert maps waits for the next read.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two reads while an order to copy or activate a map takes effect: the leader waits for
/// the last of all ranks.
const AWAITING_READ_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time for which the effect of an order is awaited.
const AWAITING_MAX: Duration = Duration::from_secs(3);

/// Rate, in bytes per second, at which a watch sends expert counts: the control traffic that a node may
/// cause (docs/CAPACITY.md).
const COUNTS_RATE_MAX: f64 = 13_000.0;

/// Maximum number of orders whose senders are remembered until their results are known. An order that is
/// forgotten is answered to the coordinator of the group.
const ORDER_SENDERS_MAX: usize = 64;

/// Time after which the experts are sent again though their map has not changed. A new coordinator, or one
/// that lost a message, gets them with the first report after it, and so within a second.
const EXPERTS_INTERVAL: Duration = Duration::from_millis(900);

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
        /// Whether to read the expert counts.
        reads_counts: bool,
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
    /// When the next read at the usual interval is due.
    next_regular_read_at: Instant,
    /// Whether the read in progress is one at the usual interval.
    is_regular_read: bool,
    /// Highest order whose result was known to the last report.
    reported_order: u64,
    read_started_at: Option<Instant>,
    /// Highest number of an order whose result is known.
    last_known_order: u64,
    /// Value of `last_known_order` when the current read started.
    last_known_order_at_read: u64,
    /// Experts of the rank by layer, with the generation and the version of their map.
    experts: Option<(Generation, Version, Vec<Vec<u32>>)>,
    /// Generation and map of the experts that were last sent, when, and to which receiver.
    experts_sent: Option<(Generation, Version, Instant, SocketAddr)>,
    /// Reads at the usual interval since the start.
    reads: u64,
    /// The number of reads of which one sends counts.
    reads_per_counts: u64,
    /// The rank, which decides which of the reads sends counts.
    rank: Rank,
    /// Cumulative counts of the last read that included them, with the generation of the group.
    last_counts: Option<(Generation, ExpertCounts)>,
    /// The effect of an order that is awaited, and until when.
    awaited: Option<(AwaitedEffect, Instant)>,
    /// The state in the last report that was sent.
    last_state: Option<MapState>,
    /// Senders of the orders whose results are outstanding, by number.
    order_senders: BTreeMap<u64, SocketAddr>,
}

/// The effect of an order that the leader waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AwaitedEffect {
    /// The copies for this map are complete.
    Copied(Version),
    /// This map is active.
    Activated(Version),
}

/// The part of a report that tells how far a switch is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct MapState {
    generation: Generation,
    open: bool,
    active_map: Version,
    prepared_map: Option<Version>,
    armed_map: Option<Version>,
    hold_step: Option<Step>,
}

impl MapState {
    fn new(report: &EngineReport) -> Self {
        Self {
            generation: report.generation,
            open: report.open,
            active_map: report.active_map,
            prepared_map: report.prepared_map,
            armed_map: report.armed_map,
            hold_step: report.hold_step,
        }
    }

    fn shows(&self, effect: AwaitedEffect) -> bool {
        match effect {
            AwaitedEffect::Copied(version) => self.prepared_map == Some(version),
            AwaitedEffect::Activated(version) => self.active_map == version,
        }
    }
}

impl Watch {
    /// Creates a watch that has not read the engine's state yet.
    pub fn new(local: Sender, control_addresses: Vec<SocketAddr>) -> Self {
        Self {
            follower: Follower::new(&local, control_addresses, false).without_config(),
            local,
            next_read_at: Instant(0),
            next_regular_read_at: Instant(0),
            is_regular_read: false,
            reported_order: 0,
            read_started_at: None,
            last_known_order: 0,
            last_known_order_at_read: 0,
            experts: None,
            experts_sent: None,
            reads: 0,
            reads_per_counts: 1,
            rank: Rank(0),
            last_counts: None,
            awaited: None,
            last_state: None,
            order_senders: BTreeMap::new(),
        }
    }

    /// Handles an input at instant `now` and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::ReadResult(report) => {
                self.read_started_at = None;
                if let Some(report) = report {
                    self.report_state(now, *report, out);
                }
            }
            Input::OrderResult(result) => {
                self.last_known_order = self.last_known_order.max(result.number);
                // The leader waits for a report that shows the effect of the order.
                self.next_read_at = now;
                let sender = self.order_senders.remove(&result.number);
                let to = sender.or_else(|| self.follower.coordinator_address(now, &result.group));
                send(to, rank::Message::OrderResult(result), out);
            }
            Input::Message { from, message } => match message {
                Message::Update(update) => {
                    self.follower.apply(now, &from.process, update);
                }
                Message::Rank(message) => {
                    if let rank::Message::Order(order) = *message {
                        self.await_effect(now, &order);
                        self.order_senders.insert(order.number, from.address);
                        while self.order_senders.len() > ORDER_SENDERS_MAX {
                            self.order_senders.pop_first();
                        }
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
        self.awaited = self.awaited.filter(|(_, until)| now < *until);
        let is_regular = now >= self.next_regular_read_at;
        self.is_regular_read = is_regular;
        if is_regular {
            self.next_regular_read_at = now + READ_INTERVAL;
            self.reads += 1;
        }
        self.next_read_at = match self.awaited {
            Some(_) => self.next_regular_read_at.min(now + AWAITING_READ_INTERVAL),
            None => self.next_regular_read_at,
        };
        self.read_started_at = Some(now);
        self.last_known_order_at_read = self.last_known_order;
        let known_map = self.experts.as_ref();
        let known_map = known_map.map(|(generation, version, _)| (*generation, *version));
        // The counts of a period are the difference of two consecutive reads.
        let turn = self.counts_turn();
        let reads_counts = is_regular && (turn == 0 || turn + 1 == self.reads_per_counts);
        out.push(Output::Read {
            known_map,
            reads_counts,
        });
    }

    /// Position of the latest regular read in the cycle of which the first read sends counts.
    fn counts_turn(&self) -> u64 {
        self.reads.wrapping_add(self.rank.0) % self.reads_per_counts
    }

    /// Reads the state more often until it shows the effect of an order.
    fn await_effect(&mut self, now: Instant, order: &RankOrder) {
        let effect = match &order.action {
            RankAction::Prepare { version, .. } => AwaitedEffect::Copied(*version),
            RankAction::Arm { version, .. } => AwaitedEffect::Activated(*version),
            RankAction::Disarm { .. } | RankAction::Hold { .. } | RankAction::Release { .. } => {
                return;
            }
        };
        self.awaited = Some((effect, now + AWAITING_MAX));
    }

    /// Replaces the cumulative counts of a report by those since the previous read, if it is this
    /// rank's turn to send them.
    fn replace_counts(&mut self, report: &mut EngineReport) {
        let Some(counts) = report.counts.take() else {
            return;
        };
        let bytes = counts.selections.len() as f64 / READ_INTERVAL.as_secs_f64();
        self.rank = report.rank;
        self.reads_per_counts = (bytes / COUNTS_RATE_MAX).ceil().max(1.0) as u64;
        let latest = (report.generation, counts.clone());
        let Some((generation, previous)) = self.last_counts.replace(latest) else {
            return;
        };
        let continues = generation == report.generation && counts.step > previous.step;
        if !continues || self.counts_turn() != 0 {
            return;
        }
        let pairs = counts.selections.iter().zip(&previous.selections);
        let selections: Option<Vec<u64>> = pairs
            .map(|(now, before)| now.checked_sub(*before))
            .collect();
        report.counts = selections.map(|selections| ExpertCounts {
            step: counts.step,
            selections,
            since: Some(previous.step),
        });
    }

    /// Completes a report, with remembered experts if they were not read, and sends it to the
    /// coordinator of the group; an additional read is reported only if it shows a change.
    fn report_state(&mut self, now: Instant, mut report: EngineReport, out: &mut Vec<Output>) {
        let state = MapState::new(&report);
        self.awaited = self.awaited.filter(|(effect, _)| !state.shows(*effect));
        let is_new = self.last_state.replace(state) != Some(state);
        let knows_more = self.last_known_order_at_read > self.reported_order;
        if !is_new && !knows_more && !self.is_regular_read {
            return;
        }
        self.reported_order = self.last_known_order_at_read;
        self.replace_counts(&mut report);
        let to = self.follower.coordinator_address(now, &report.group);
        self.complete_experts(now, to, &mut report);
        report.last_known_order = self.last_known_order_at_read;
        report.incarnation = self.local.incarnation;
        let from = self.local.address;
        let relayed = false;
        let message = rank::Message::Report {
            report,
            relayed,
            from,
        };
        send(to, message, out);
    }

    /// Remembers the experts of a report, and leaves them out if they were sent recently for the same map to
    /// the same receiver.
    fn complete_experts(
        &mut self,
        now: Instant,
        to: Option<SocketAddr>,
        report: &mut EngineReport,
    ) {
        let (generation, version) = (report.generation, report.active_map);
        if !report.experts.is_empty() {
            let experts = std::mem::take(&mut report.experts);
            self.experts = Some((generation, version, experts));
        }
        let is_sent = self.experts_sent.is_some_and(|sent| {
            (sent.0, sent.1, Some(sent.3)) == (generation, version, to)
                && now.since(sent.2) < EXPERTS_INTERVAL
        });
        let Some((known_generation, known_version, experts)) = &self.experts else {
            return;
        };
        let is_known = (*known_generation, *known_version) == (generation, version);
        // Without a receiver, the report is not sent.
        let Some(to) = to.filter(|_| is_known && !is_sent) else {
            return;
        };
        report.experts.clone_from(experts);
        self.experts_sent = Some((generation, version, now, to));
    }
}

fn send(to: Option<SocketAddr>, message: rank::Message, out: &mut Vec<Output>) {
    if let Some(to) = to {
        let message = Message::Rank(Box::new(message));
        out.push(Output::Send { to, message });
    }
}
