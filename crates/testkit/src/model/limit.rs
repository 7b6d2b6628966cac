//! Servers of the [crash simulation](super::crash) that name the rate of requests that they take.

use std::time::Duration;

use eelgrassdyke_core::id::Incarnation;
use eelgrassdyke_core::limit::ServiceShare;
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::MilliRequestRate;
use eelgrassdyke_core::wire::follow::PollRequest;
use eelgrassdyke_entry::direct::{Input, LimitNotice, ServerSignal};

use super::crash::{Outcome, Simulation, entry_sender, server_name};

/// Length of the windows in which the platform counts the requests at a server.
const WINDOW: Duration = Duration::from_secs(4);

/// Factor by which the requests in a window may exceed what the limit allows.
const TOLERANCE_FACTOR: f64 = 1.5;

/// Requests in a window beyond that.
const TOLERANCE_REQUESTS: f64 = 5.0;

/// Time after which an entry that has received a limit must obey it.
const REACTION_TIME: Duration = Duration::from_millis(500);

/// A time during which a server names a limit in every response.
#[derive(Clone, Copy, Debug)]
pub struct LimitPeriod {
    /// The server.
    pub server: usize,
    /// The limit.
    pub limit: MilliRequestRate,
    /// When it begins to name it.
    pub from: Instant,
    /// When it no longer does.
    pub until: Instant,
}

/// A request that reached a server.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When.
    pub at: Instant,
    /// The entry that sent it.
    pub entry: usize,
    /// The server.
    pub server: usize,
    /// When this incarnation of the server first named a limit, if it has.
    pub limit_named_at: Option<Instant>,
    /// When the entry first received a limit from that server, if it has.
    pub limit_seen_at: Option<Instant>,
}

impl Arrival {
    fn is_from_informed_entry(&self) -> bool {
        self.limit_seen_at
            .is_some_and(|seen_at| self.at.since(seen_at) >= REACTION_TIME)
    }
}

impl Outcome {
    /// For each period in which more requests than the platform's rule allows reached the server within
    /// some window, that began `reaction` or later after an incarnation of the server had first named the
    /// limit: the period, the start of the window, and the number of requests. With `all_entries`, requests of entries that have not received the
    /// limit themselves count as well.
    pub fn limit_violations(
        &self,
        periods: &[LimitPeriod],
        reaction: Duration,
        all_entries: bool,
    ) -> Vec<(LimitPeriod, Instant, usize)> {
        let mut violations = Vec::new();
        for period in periods {
            let allowed = TOLERANCE_FACTOR * period.limit.per_second() * WINDOW.as_secs_f64()
                + TOLERANCE_REQUESTS;
            let is_counted = |arrival: &&Arrival| {
                arrival.server == period.server
                    && arrival
                        .limit_named_at
                        .is_some_and(|named_at| arrival.at >= named_at + reaction)
                    && arrival.at < period.until
                    && (all_entries || arrival.is_from_informed_entry())
            };
            let times: Vec<Instant> = (self
                .arrivals
                .iter()
                .filter(is_counted)
                .map(|arrival| arrival.at))
            .collect();
            let count_from = |start: &Instant| {
                let in_window = |at: &&Instant| **at >= *start && **at < *start + WINDOW;
                times.iter().filter(in_window).count()
            };
            let counts = times.iter().map(|start| (count_from(start), *start));
            if let Some((count, start)) = counts.max()
                && count as f64 > allowed
            {
                violations.push((*period, start, count));
            }
        }
        violations
    }

    /// Requests that reached a server within `from..until`.
    pub fn arrivals_at(&self, server: usize, from: Instant, until: Instant) -> usize {
        let is_counted = |arrival: &&Arrival| {
            arrival.server == server && arrival.at >= from && arrival.at < until
        };
        self.arrivals.iter().filter(is_counted).count()
    }
}

impl Simulation {
    /// Records a request that reached a server.
    pub(super) fn record_arrival(&mut self, entry: usize, server: usize) {
        let incarnation = self.servers[server].incarnation;
        let limit_seen_at = &self.outcome.limit_seen_at;
        let seen_by = |entry: usize| limit_seen_at.get(&(entry, server, incarnation)).copied();
        self.outcome.arrivals.push(Arrival {
            at: self.now,
            entry,
            server,
            limit_named_at: self
                .outcome
                .limit_named_at
                .get(&(server, incarnation))
                .copied(),
            limit_seen_at: seen_by(entry),
        });
    }

    /// Passes to an entry what the head of a response says about the limit of its server.
    pub(super) fn signal_limit(&mut self, entry: usize, server: usize) {
        let now = self.now;
        let is_active = |period: &&LimitPeriod| {
            period.server == server && now >= period.from && now < period.until
        };
        let incarnation = self.servers[server].incarnation;
        let name = server_name(server, incarnation);
        let limit = match self.options.limits.iter().find(is_active) {
            Some(period) => {
                let named_at = &mut self.outcome.limit_named_at;
                named_at.entry((server, incarnation)).or_insert(now);
                let seen_at = &mut self.outcome.limit_seen_at;
                seen_at.entry((entry, server, incarnation)).or_insert(now);
                LimitNotice::Limited(period.limit)
            }
            None if !self.entries[entry].is_limited(&name) => return,
            None => LimitNotice::Unlimited,
        };
        let signal = ServerSignal {
            limit,
            ..ServerSignal::default()
        };
        let input = Input::ServerSignal {
            server: name,
            incarnation: Incarnation(incarnation),
            signal,
        };
        self.feed(entry, input);
    }

    /// Records the poll of an entry at a control process.
    pub(super) fn record_poll(&mut self, entry: usize, control: usize, poll: PollRequest) {
        let from = entry_sender(entry, self.entry_incarnations[entry]);
        if poll.wants_directory {
            self.followed_controls[entry] = control;
        }
        self.followers[control].record_poll(self.now, &from, poll);
    }

    /// Control processes tell each other the entries that poll them and the demand there.
    pub(super) fn exchange_demands(&mut self) {
        let now = self.now;
        for control in 0..self.followers.len() {
            let Some(entries) = self.followers[control].entries_to_announce(now) else {
                continue;
            };
            let demands = self.followers[control].local_demands(now);
            for other in (0..self.followers.len()).filter(|other| *other != control) {
                self.followers[other].record_remote_entries(now, entries.clone());
                self.followers[other].record_remote_demands(now, demands.clone());
            }
        }
    }

    /// The shares that an entry is assigned by the control process that it follows.
    pub(super) fn shares(&self, entry: usize) -> Vec<ServiceShare> {
        let control = self.followed_controls[entry];
        let process = entry_sender(entry, self.entry_incarnations[entry]).process;
        self.followers[control].shares(self.now, &process)
    }
}
