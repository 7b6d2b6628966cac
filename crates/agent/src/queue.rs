//! Queues attempts until the back end has a free slot, and shares the slots among teams.
//!
//! Each team with queued attempts has a [`Line`]. Two clocks decide which line goes next. The work
//! clock counts all cost passed on; a line's guaranteed part is due as long as its tag on that
//! clock, which moves on by cost divided by the guaranteed part, is not ahead of it. What is not
//! due to anyone goes by start-time fair queueing: the line with the least tag on virtual time,
//! which moves on by cost divided by weight. Within a line the highest priority goes first, then
//! the earliest arrival.
//!
//! Lines exist only while a team has something queued or running, or was served ahead of its
//! share; every step takes time in the logarithm of the lines and the items.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use eelgrassdyke_core::config::Share;
use eelgrassdyke_core::id::{Team, Ticket};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::Permille;

/// Units of a tag for one unit of cost.
const TAG_SCALE: u128 = 1 << 20;

/// Units of weight for one of [`Share::weight`], so that a weight of zero still gets the rest.
const WEIGHT_SCALE: u64 = 1000;

/// Priorities, from 0 to 9.
const PRIORITIES: usize = 10;

/// A queued attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Names the attempt.
    pub ticket: Ticket,
    /// Who asks.
    pub team: Team,
    /// Higher goes first within a team, at most 9.
    pub priority: u8,
    /// Tokens expected.
    pub cost: u64,
    /// When its answer is due.
    pub deadline: Instant,
}

/// An attempt that leaves the queue for the back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// The attempt.
    pub item: Item,
    /// Whether the team's guaranteed part paid for it.
    pub guaranteed: bool,
}

/// Order within a line: priority, then arrival.
type Place = (Reverse<u8>, u64);

/// One team's queued attempts and its account.
#[derive(Clone, Debug)]
struct Line {
    share: Share,
    items: BTreeMap<Place, Item>,
    costs: [u64; PRIORITIES],
    running: u32,
    /// Start of the next item on the work clock, by the guaranteed part.
    due: u64,
    /// Start of the next item on virtual time, by weight.
    start: u64,
    /// Queued cost against entitlement, as last indexed.
    excess: u64,
}

impl Line {
    fn cost(&self) -> u64 {
        self.costs.iter().sum()
    }

    fn weight(&self) -> u64 {
        (u64::from(self.share.weight) * WEIGHT_SCALE).max(1)
    }

    /// Slots that the team's cap allows it at once; at least one.
    fn slots_max(&self, slots: u32) -> u32 {
        let capped = u64::from(slots) * self.share.cap.0;
        capped.div_ceil(Permille::WHOLE.0).max(1) as u32
    }
}

/// Attempts that wait for a slot.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    items_max: usize,
    slots: u32,
    lines: BTreeMap<Team, Line>,
    by_due: BTreeSet<(u64, Team)>,
    by_start: BTreeSet<(u64, Team)>,
    by_excess: BTreeSet<(u64, Team)>,
    /// Lines with nothing queued or running whose tags are still ahead.
    resting: BTreeSet<(u64, Team)>,
    places: BTreeMap<Ticket, (Team, Place)>,
    deadlines: BTreeSet<(Instant, Ticket)>,
    arrivals: u64,
    /// The work clock.
    work: u64,
    /// Virtual time.
    time: u64,
    cost: u64,
    running: u32,
    /// Sums over lines with something queued.
    weights: u64,
    guaranteed: u64,
}

impl Queue {
    /// A queue of at most `items_max` before a back end with `slots`.
    pub fn new(items_max: usize, slots: u32) -> Self {
        Self {
            items_max,
            slots,
            ..Self::default()
        }
    }

    /// Attempts queued.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Teams that the queue keeps an account of.
    pub fn lines(&self) -> usize {
        self.lines.len()
    }

    /// Tokens expected of all that is queued.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// The part of the back end that a team gets while all that queue now go on queueing.
    pub fn entitlement(&self, team: &Team, share: &Share) -> f64 {
        let line = self.lines.get(team);
        let queued = line.is_some_and(|line| !line.items.is_empty());
        let own = (u64::from(share.weight) * WEIGHT_SCALE).max(1);
        let (weights, guaranteed) = match queued {
            true => (self.weights, self.guaranteed),
            false => (self.weights + own, self.guaranteed + share.guaranteed.0),
        };
        part(share.guaranteed.0, own, guaranteed, weights).min(share.cap.fraction())
    }

    /// Cost that is served before a new attempt of `team` gets its turn.
    pub fn ahead(&self, team: &Team, share: &Share, priority: u8) -> u64 {
        let Some(line) = self.lines.get(team) else {
            return 0;
        };
        let first = usize::from(priority).min(PRIORITIES - 1);
        let own: u64 = line.costs[first..].iter().sum();
        let shared = own as f64 / self.entitlement(team, share).max(f64::EPSILON);
        let all = self.cost - (line.cost() - own);
        // A cap keeps a team waiting even when nobody else does.
        match share.cap < Permille::WHOLE {
            true => shared as u64,
            false => (shared as u64).min(all),
        }
    }

    /// Adds an attempt; gives the one that is shed when the queue is full, which may be the same.
    ///
    /// Shed is the newest attempt of lowest priority of the team whose queue is longest against
    /// what the team is entitled to.
    pub fn push(&mut self, item: Item, share: Share) -> Option<Item> {
        let team = item.team.clone();
        self.lift(&team);
        let line = self.lines.entry(team.clone()).or_insert_with(|| Line {
            share: share.clone(),
            items: BTreeMap::new(),
            costs: [0; PRIORITIES],
            running: 0,
            due: 0,
            start: 0,
            excess: 0,
        });
        line.share = share;
        if line.items.is_empty() {
            // A team that comes back gets no credit for the time it was away.
            line.due = line.due.max(self.work);
            line.start = line.start.max(self.time);
        }
        let priority = item.priority.min(PRIORITIES as u8 - 1);
        let place = (Reverse(priority), self.arrivals);
        self.arrivals += 1;
        self.cost += item.cost;
        line.costs[usize::from(priority)] += item.cost;
        self.places.insert(item.ticket, (team.clone(), place));
        self.deadlines.insert((item.deadline, item.ticket));
        line.items.insert(place, item);
        self.land(&team);
        match self.places.len() > self.items_max {
            true => self.shed(),
            false => None,
        }
    }

    /// Takes the attempt that goes next.
    pub fn pop(&mut self) -> Option<Turn> {
        let due = self.by_due.first().filter(|(tag, _)| *tag <= self.work);
        let guaranteed = due.is_some();
        let (tag, team) = due.or_else(|| self.by_start.first()).cloned()?;
        if !guaranteed {
            self.time = self.time.max(tag);
        }
        let place = *self.lines.get(&team)?.items.keys().next()?;
        self.lift(&team);
        let item = self.unqueue(&team, place)?;
        self.work += scaled(item.cost);
        self.running += 1;
        if let Some(line) = self.lines.get_mut(&team) {
            line.running += 1;
            charge(line, item.cost, guaranteed);
        }
        self.land(&team);
        self.prune();
        Some(Turn { item, guaranteed })
    }

    /// Notes that an attempt which had its turn has ended, and what it cost in the end.
    pub fn finish(&mut self, turn: &Turn, cost: u64) {
        self.running = self.running.saturating_sub(1);
        let team = &turn.item.team;
        if !self.lines.contains_key(team) {
            return;
        }
        self.lift(team);
        if let Some(line) = self.lines.get_mut(team) {
            line.running = line.running.saturating_sub(1);
            refund(line, turn, cost);
        }
        let estimate = scaled(turn.item.cost);
        self.work = self.work.saturating_sub(estimate) + scaled(cost);
        self.land(team);
        self.prune();
    }

    /// Takes out one attempt.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Item> {
        let (team, place) = self.places.get(&ticket)?.clone();
        self.lift(&team);
        let item = self.unqueue(&team, place);
        self.land(&team);
        item
    }

    /// Takes out every attempt whose deadline has come.
    pub fn expired(&mut self, now: Instant) -> Vec<Item> {
        let mut late = Vec::new();
        while let Some((deadline, ticket)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            late.extend(self.remove(ticket));
        }
        late
    }

    /// The earliest deadline queued.
    pub fn next_deadline(&self) -> Instant {
        self.deadlines
            .first()
            .map_or(Instant::NEVER, |(deadline, _)| *deadline)
    }

    /// Puts changed shares in force for the teams that the queue holds.
    pub fn reshare(&mut self, share: impl Fn(&Team) -> Share) {
        let teams: Vec<Team> = self.lines.keys().cloned().collect();
        for team in teams {
            self.lift(&team);
            if let Some(line) = self.lines.get_mut(&team) {
                line.share = share(&team);
            }
            self.land(&team);
        }
    }

    /// Takes out the attempt with the least claim to be served.
    fn shed(&mut self) -> Option<Item> {
        let (_, team) = self.by_excess.last().cloned()?;
        let place = *self.lines.get(&team)?.items.keys().next_back()?;
        self.lift(&team);
        let item = self.unqueue(&team, place);
        self.land(&team);
        item
    }

    /// Takes an item out of a lifted line.
    fn unqueue(&mut self, team: &Team, place: Place) -> Option<Item> {
        let line = self.lines.get_mut(team)?;
        let item = line.items.remove(&place)?;
        line.costs[usize::from(place.0.0)] -= item.cost;
        self.cost -= item.cost;
        self.places.remove(&item.ticket);
        self.deadlines.remove(&(item.deadline, item.ticket));
        Some(item)
    }

    /// Takes a line out of the indices, to be changed.
    fn lift(&mut self, team: &Team) {
        let Some(line) = self.lines.get(team) else {
            return;
        };
        self.resting.remove(&(line.start, team.clone()));
        if line.items.is_empty() {
            return;
        }
        self.weights -= line.weight();
        self.guaranteed -= line.share.guaranteed.0;
        self.by_due.remove(&(line.due, team.clone()));
        self.by_start.remove(&(line.start, team.clone()));
        self.by_excess.remove(&(line.excess, team.clone()));
    }

    /// Puts a line back into the indices.
    fn land(&mut self, team: &Team) {
        let Some(line) = self.lines.get_mut(team) else {
            return;
        };
        if line.items.is_empty() {
            if line.running == 0 {
                self.resting.insert((line.start, team.clone()));
            }
            return;
        }
        self.weights += line.weight();
        self.guaranteed += line.share.guaranteed.0;
        let part = part(
            line.share.guaranteed.0,
            line.weight(),
            self.guaranteed,
            self.weights,
        );
        line.excess = (line.cost() as f64 / part.max(f64::EPSILON)) as u64;
        self.by_excess.insert((line.excess, team.clone()));
        if line.running >= line.slots_max(self.slots) {
            return;
        }
        self.by_start.insert((line.start, team.clone()));
        if line.share.guaranteed.0 > 0 {
            self.by_due.insert((line.due, team.clone()));
        }
    }

    /// Forgets idle lines that are not ahead of their share.
    fn prune(&mut self) {
        let idle = self.places.is_empty() && self.running == 0;
        while let Some((start, team)) = self.resting.first().cloned() {
            if start > self.time && !idle {
                return;
            }
            self.resting.remove(&(start, team.clone()));
            self.lines.remove(&team);
        }
    }
}

/// The part of the whole that a team with `own` guaranteed and `weight` gets.
fn part(own: u64, weight: u64, guaranteed: u64, weights: u64) -> f64 {
    let whole = Permille::WHOLE.0;
    let rest = whole.saturating_sub(guaranteed) as f64;
    // More may be guaranteed than there is; then all get less in proportion.
    let fixed = own as f64 * whole as f64 / guaranteed.max(whole) as f64;
    (fixed + rest * weight as f64 / weights.max(1) as f64) / whole as f64
}

fn scaled(cost: u64) -> u64 {
    clamp(u128::from(cost) * TAG_SCALE)
}

/// Tag units that `cost` takes of a part of `thousandths`.
fn span(cost: u64, thousandths: u64) -> u64 {
    clamp(u128::from(cost) * TAG_SCALE * 1000 / u128::from(thousandths.max(1)))
}

fn clamp(tag: u128) -> u64 {
    u64::try_from(tag).unwrap_or(u64::MAX)
}

fn charge(line: &mut Line, cost: u64, guaranteed: bool) {
    match guaranteed {
        true => line.due = line.due.saturating_add(span(cost, line.share.guaranteed.0)),
        false => line.start = line.start.saturating_add(span(cost, line.weight())),
    }
}

/// Corrects the charge of a turn from its estimate to its cost.
fn refund(line: &mut Line, turn: &Turn, cost: u64) {
    let (tag, thousandths) = match turn.guaranteed {
        true => (&mut line.due, line.share.guaranteed.0),
        false => (
            &mut line.start,
            (u64::from(line.share.weight) * WEIGHT_SCALE).max(1),
        ),
    };
    let estimate = span(turn.item.cost, thousandths);
    *tag = tag
        .saturating_sub(estimate)
        .saturating_add(span(cost, thousandths));
}
