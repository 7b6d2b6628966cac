//! Queues attempts until the server has a free slot, and shares the slots among teams.
//!
//! Each team with queued attempts has a [`TeamQueue`]. Two virtual clocks decide which team is
//! served next. The work clock counts the cost of all dequeued attempts. A team's guaranteed share
//! is due as long as its guaranteed tag, which advances by cost divided by that share, is not ahead
//! of the work clock. Capacity that is not due to any team is shared by start-time fair queueing:
//! the team with the lowest start tag is served next, and its tag advances by cost divided by its
//! weight. Within a team, attempts are ordered by priority and then by arrival.
//!
//! The state of a team is kept only while it has queued or running attempts or its start tag is
//! ahead of virtual time. Every operation takes time logarithmic in the number of teams and items.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use eelgrassdyke_core::config::Share;
use eelgrassdyke_core::id::{Team, Ticket};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::Permille;

/// Tag units per unit of cost.
const TAG_SCALE: u128 = 1 << 20;

/// Scale of [`Share::weight`]. A weight of zero counts as 1 on this scale, so that the team still
/// gets the capacity that no other team uses.
const WEIGHT_SCALE: u64 = 1000;

/// Number of priorities, which go from 0 to 9.
const PRIORITIES: usize = 10;

/// A queued attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueItem {
    /// Identifies the attempt.
    pub ticket: Ticket,
    /// The team of the caller.
    pub team: Team,
    /// Priority within the team, at most 9; higher values are served first.
    pub priority: u8,
    /// Number of expected tokens.
    pub cost: u64,
    /// The deadline of the response.
    pub deadline: Instant,
}

/// An attempt that has left the queue to be forwarded to the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DequeuedItem {
    /// The attempt.
    pub item: QueueItem,
    /// Whether it was charged to the team's guaranteed share.
    pub guaranteed: bool,
}

/// Position within a team's queue: by priority, then by arrival.
type Position = (Reverse<u8>, u64);

/// The queued attempts and the scheduling state of one team.
#[derive(Clone, Debug)]
struct TeamQueue {
    share: Share,
    items: BTreeMap<Position, QueueItem>,
    /// Queued cost by priority.
    costs: [u64; PRIORITIES],
    running: u32,
    /// Tag of the next item on the work clock, by the guaranteed share.
    guaranteed_tag: u64,
    /// Tag of the next item on virtual time, by weight.
    start_tag: u64,
    /// Queued cost divided by the team's entitlement, as of the last indexing.
    relative_backlog: u64,
}

impl TeamQueue {
    fn cost(&self) -> u64 {
        self.costs.iter().sum()
    }

    fn weight(&self) -> u64 {
        (u64::from(self.share.weight) * WEIGHT_SCALE).max(1)
    }

    /// Number of slots that the team's cap allows it at a time; at least one.
    fn slots_max(&self, slots: u32) -> u32 {
        let capped = u64::from(slots) * self.share.cap.0;
        capped.div_ceil(Permille::ONE.0).max(1) as u32
    }
}

/// The attempts that wait for a slot, shared fairly among teams.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    capacity: usize,
    slots: u32,
    teams: BTreeMap<Team, TeamQueue>,
    /// Teams with a guaranteed share that may be served, by guaranteed tag.
    by_guaranteed_tag: BTreeSet<(u64, Team)>,
    /// Teams that may be served, by start tag.
    by_start_tag: BTreeSet<(u64, Team)>,
    by_relative_backlog: BTreeSet<(u64, Team)>,
    /// Teams with no queued or running attempts, by start tag.
    idle: BTreeSet<(u64, Team)>,
    positions: BTreeMap<Ticket, (Team, Position)>,
    deadlines: BTreeSet<(Instant, Ticket)>,
    /// Number of attempts pushed so far, which orders attempts of one priority by arrival.
    arrival_count: u64,
    work_clock: u64,
    virtual_time: u64,
    /// Total queued cost.
    cost: u64,
    running: u32,
    /// Sum of the weights of teams with queued attempts.
    weight_sum: u64,
    /// Sum of the guaranteed shares of teams with queued attempts.
    guaranteed_sum: u64,
}

impl FairQueue {
    /// Creates a queue of at most `capacity` attempts in front of a server with `slots` slots.
    pub fn new(capacity: usize, slots: u32) -> Self {
        Self {
            capacity,
            slots,
            ..Self::default()
        }
    }

    /// Number of queued attempts.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no attempt is queued.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Number of teams for which the queue keeps scheduling state.
    pub fn team_count(&self) -> usize {
        self.teams.len()
    }

    /// Expected tokens of all queued attempts.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Fraction of the server that a team gets as long as the same teams have queued attempts.
    pub fn entitlement(&self, team: &Team, share: &Share) -> f64 {
        let team_queue = self.teams.get(team);
        let is_queued = team_queue.is_some_and(|team_queue| !team_queue.items.is_empty());
        let weight = (u64::from(share.weight) * WEIGHT_SCALE).max(1);
        let (weight_sum, guaranteed_sum) = match is_queued {
            true => (self.weight_sum, self.guaranteed_sum),
            false => (
                self.weight_sum + weight,
                self.guaranteed_sum + share.guaranteed.0,
            ),
        };
        entitled_fraction(share.guaranteed.0, weight, guaranteed_sum, weight_sum)
            .min(share.cap.fraction())
    }

    /// Cost that is served before a new attempt of `team` leaves the queue.
    pub fn cost_ahead(&self, team: &Team, share: &Share, priority: u8) -> u64 {
        let Some(team_queue) = self.teams.get(team) else {
            return 0;
        };
        let lowest = usize::from(priority).min(PRIORITIES - 1);
        let team_cost: u64 = team_queue.costs[lowest..].iter().sum();
        let shared_cost = team_cost as f64 / self.entitlement(team, share).max(f64::EPSILON);
        // Everything queued except the lower priorities of the team.
        let cost_max = self.cost - (team_queue.cost() - team_cost);
        // A cap delays a team even if no other team has queued attempts.
        match share.cap < Permille::ONE {
            true => shared_cost as u64,
            false => (shared_cost as u64).min(cost_max),
        }
    }

    /// Adds an attempt. If the queue was full, one attempt, possibly the added one, is shed and
    /// returned.
    ///
    /// Of the team with the largest backlog relative to its entitlement, the newest attempt of the
    /// lowest priority is shed.
    pub fn push(&mut self, item: QueueItem, share: Share) -> Option<QueueItem> {
        let team = item.team.clone();
        self.remove_from_indices(&team);
        let team_queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            share: share.clone(),
            items: BTreeMap::new(),
            costs: [0; PRIORITIES],
            running: 0,
            guaranteed_tag: 0,
            start_tag: 0,
            relative_backlog: 0,
        });
        team_queue.share = share;
        if team_queue.items.is_empty() {
            // A team earns no credit for the time during which it had nothing queued.
            team_queue.guaranteed_tag = team_queue.guaranteed_tag.max(self.work_clock);
            team_queue.start_tag = team_queue.start_tag.max(self.virtual_time);
        }
        let priority = item.priority.min(PRIORITIES as u8 - 1);
        let position = (Reverse(priority), self.arrival_count);
        self.arrival_count += 1;
        self.cost += item.cost;
        team_queue.costs[usize::from(priority)] += item.cost;
        self.positions.insert(item.ticket, (team.clone(), position));
        self.deadlines.insert((item.deadline, item.ticket));
        team_queue.items.insert(position, item);
        self.add_to_indices(&team);
        match self.positions.len() > self.capacity {
            true => self.shed(),
            false => None,
        }
    }

    /// Removes the next attempt to forward and charges its team.
    pub fn pop(&mut self) -> Option<DequeuedItem> {
        let due = self
            .by_guaranteed_tag
            .first()
            .filter(|(tag, _)| *tag <= self.work_clock);
        let guaranteed = due.is_some();
        let (tag, team) = due.or_else(|| self.by_start_tag.first()).cloned()?;
        if !guaranteed {
            self.virtual_time = self.virtual_time.max(tag);
        }
        let position = *self.teams.get(&team)?.items.keys().next()?;
        self.remove_from_indices(&team);
        let item = self.remove_item(&team, position)?;
        self.work_clock += cost_to_tag(item.cost);
        self.running += 1;
        if let Some(team_queue) = self.teams.get_mut(&team) {
            team_queue.running += 1;
            charge(team_queue, item.cost, guaranteed);
        }
        self.add_to_indices(&team);
        self.remove_idle_teams();
        Some(DequeuedItem { item, guaranteed })
    }

    /// Records the end of a dequeued attempt and corrects the charge from its estimated to its
    /// actual cost.
    pub fn finish(&mut self, dequeued: &DequeuedItem, cost: u64) {
        self.running = self.running.saturating_sub(1);
        let team = &dequeued.item.team;
        if !self.teams.contains_key(team) {
            return;
        }
        self.remove_from_indices(team);
        if let Some(team_queue) = self.teams.get_mut(team) {
            team_queue.running = team_queue.running.saturating_sub(1);
            correct_charge(team_queue, dequeued, cost);
        }
        let estimate = cost_to_tag(dequeued.item.cost);
        self.work_clock = self.work_clock.saturating_sub(estimate) + cost_to_tag(cost);
        self.add_to_indices(team);
        self.remove_idle_teams();
    }

    /// Removes one attempt.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueueItem> {
        let (team, position) = self.positions.get(&ticket)?.clone();
        self.remove_from_indices(&team);
        let item = self.remove_item(&team, position);
        self.add_to_indices(&team);
        item
    }

    /// Removes and returns every attempt whose deadline has passed.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<QueueItem> {
        let mut expired = Vec::new();
        while let Some((deadline, ticket)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            expired.extend(self.remove(ticket));
        }
        expired
    }

    /// The earliest deadline of a queued attempt.
    pub fn next_deadline(&self) -> Instant {
        self.deadlines
            .first()
            .map_or(Instant::NEVER, |(deadline, _)| *deadline)
    }

    /// Updates the shares of all teams in the queue, after a change of the configuration.
    pub fn update_shares(&mut self, share_of: impl Fn(&Team) -> Share) {
        let teams: Vec<Team> = self.teams.keys().cloned().collect();
        for team in teams {
            self.remove_from_indices(&team);
            if let Some(team_queue) = self.teams.get_mut(&team) {
                team_queue.share = share_of(&team);
            }
            self.add_to_indices(&team);
        }
    }

    /// Removes one attempt of the team with the largest relative backlog; see [`FairQueue::push`].
    fn shed(&mut self) -> Option<QueueItem> {
        let (_, team) = self.by_relative_backlog.last().cloned()?;
        let position = *self.teams.get(&team)?.items.keys().next_back()?;
        self.remove_from_indices(&team);
        let item = self.remove_item(&team, position);
        self.add_to_indices(&team);
        item
    }

    /// Removes an item from a team that is not in the indices.
    fn remove_item(&mut self, team: &Team, position: Position) -> Option<QueueItem> {
        let team_queue = self.teams.get_mut(team)?;
        let item = team_queue.items.remove(&position)?;
        team_queue.costs[usize::from(position.0.0)] -= item.cost;
        self.cost -= item.cost;
        self.positions.remove(&item.ticket);
        self.deadlines.remove(&(item.deadline, item.ticket));
        Some(item)
    }

    /// Removes a team from the indices and sums, before it is changed.
    fn remove_from_indices(&mut self, team: &Team) {
        let Some(team_queue) = self.teams.get(team) else {
            return;
        };
        self.idle.remove(&(team_queue.start_tag, team.clone()));
        if team_queue.items.is_empty() {
            return;
        }
        self.weight_sum -= team_queue.weight();
        self.guaranteed_sum -= team_queue.share.guaranteed.0;
        self.by_guaranteed_tag
            .remove(&(team_queue.guaranteed_tag, team.clone()));
        self.by_start_tag
            .remove(&(team_queue.start_tag, team.clone()));
        self.by_relative_backlog
            .remove(&(team_queue.relative_backlog, team.clone()));
    }

    /// Adds a team to the indices and sums, after it was changed.
    fn add_to_indices(&mut self, team: &Team) {
        let Some(team_queue) = self.teams.get_mut(team) else {
            return;
        };
        if team_queue.items.is_empty() {
            if team_queue.running == 0 {
                self.idle.insert((team_queue.start_tag, team.clone()));
            }
            return;
        }
        self.weight_sum += team_queue.weight();
        self.guaranteed_sum += team_queue.share.guaranteed.0;
        let fraction = entitled_fraction(
            team_queue.share.guaranteed.0,
            team_queue.weight(),
            self.guaranteed_sum,
            self.weight_sum,
        );
        team_queue.relative_backlog =
            (team_queue.cost() as f64 / fraction.max(f64::EPSILON)) as u64;
        self.by_relative_backlog
            .insert((team_queue.relative_backlog, team.clone()));
        if team_queue.running >= team_queue.slots_max(self.slots) {
            return;
        }
        self.by_start_tag
            .insert((team_queue.start_tag, team.clone()));
        if team_queue.share.guaranteed.0 > 0 {
            self.by_guaranteed_tag
                .insert((team_queue.guaranteed_tag, team.clone()));
        }
    }

    /// Removes idle teams whose start tags are not ahead of virtual time.
    fn remove_idle_teams(&mut self) {
        let all_idle = self.positions.is_empty() && self.running == 0;
        while let Some((start_tag, team)) = self.idle.first().cloned() {
            if start_tag > self.virtual_time && !all_idle {
                return;
            }
            self.idle.remove(&(start_tag, team.clone()));
            self.teams.remove(&team);
        }
    }
}

/// Fraction of the server that a team gets by its guaranteed share and its weight.
fn entitled_fraction(guaranteed: u64, weight: u64, guaranteed_sum: u64, weight_sum: u64) -> f64 {
    let one = Permille::ONE.0;
    let unreserved = one.saturating_sub(guaranteed_sum) as f64;
    // Guaranteed shares that exceed 1 in sum are scaled down in proportion.
    let reserved = guaranteed as f64 * one as f64 / guaranteed_sum.max(one) as f64;
    (reserved + unreserved * weight as f64 / weight_sum.max(1) as f64) / one as f64
}

fn cost_to_tag(cost: u64) -> u64 {
    saturate(u128::from(cost) * TAG_SCALE)
}

/// Advance of a tag for `cost` at a share or weight of `thousandths`.
fn tag_advance(cost: u64, thousandths: u64) -> u64 {
    saturate(u128::from(cost) * TAG_SCALE * 1000 / u128::from(thousandths.max(1)))
}

fn saturate(tag: u128) -> u64 {
    u64::try_from(tag).unwrap_or(u64::MAX)
}

fn charge(team_queue: &mut TeamQueue, cost: u64, guaranteed: bool) {
    match guaranteed {
        true => {
            team_queue.guaranteed_tag = team_queue
                .guaranteed_tag
                .saturating_add(tag_advance(cost, team_queue.share.guaranteed.0));
        }
        false => {
            team_queue.start_tag = team_queue
                .start_tag
                .saturating_add(tag_advance(cost, team_queue.weight()));
        }
    }
}

/// Corrects the charge of a dequeued attempt from its estimated to its actual cost.
fn correct_charge(team_queue: &mut TeamQueue, dequeued: &DequeuedItem, cost: u64) {
    let (tag, thousandths) = match dequeued.guaranteed {
        true => (
            &mut team_queue.guaranteed_tag,
            team_queue.share.guaranteed.0,
        ),
        false => (
            &mut team_queue.start_tag,
            (u64::from(team_queue.share.weight) * WEIGHT_SCALE).max(1),
        ),
    };
    let estimate = tag_advance(dequeued.item.cost, thousandths);
    *tag = tag
        .saturating_sub(estimate)
        .saturating_add(tag_advance(cost, thousandths));
}
