//! Assignment of rank groups to control processes by the leader of the log.
//!
//! The leader grants a lease only in answer to a poll, and counts it from the moment of the answer, so
//! it expires here after it has expired at the coordinator. A group is assigned to another process only
//! then, with a margin for orders that are still in transit. A new leader waits for a lease before its
//! first grant, because grants of its predecessor may still be valid, and learns from the polls in that
//! time which process coordinated which group.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{CoordinationTerm, Group, Process, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Sender;
use eelgrassdyke_core::wire::rank::{
    Assignments, CoordinatorGrant, CoordinatorPoll, GroupGrant, GroupHolding, LeaseState,
};

use super::{LEASE, LEASE_MARGIN, POLL_INTERVAL};

/// Time without a sign of life after which a coordinator counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(1250);

/// Time for which a process that polled but could not coordinate a group gets no further one.
const EXCLUSION: Duration = Duration::from_secs(10);

/// Time without a poll after which a process gets no notices of changed assignments any more.
const POLLER_RETENTION: Duration = Duration::from_secs(60);

/// Time after which a group without a coordinator is forgotten, if no rank of it reports.
const GROUP_RETENTION: Duration = Duration::from_secs(5);

/// Time between two steps from which this process counts as suspended in between: polls may wait
/// unhandled, so no coordinator is taken for lost until they have been handled.
const SUSPENSION_MIN: Duration = Duration::from_millis(600);

/// Number of low bits of a coordination term that count the assignments of one leader; the higher bits
/// are the term of the log.
const COUNTER_BITS: u32 = 16;

/// Number of high bits of the log's term that a coordination term has room for. Order numbers have 32
/// bits for a coordination term (`group::barrier`).
const TERM_BITS: u32 = 16;

/// Combines the leader's term with the number of an assignment; none if one of them is too large.
pub fn coordination_term(term: Term, counter: u64) -> Option<CoordinationTerm> {
    let fits = term.0 >> TERM_BITS == 0 && counter >> COUNTER_BITS == 0;
    fits.then_some(CoordinationTerm(term.0 << COUNTER_BITS | counter))
}

/// A control process that polls.
#[derive(Clone, Debug)]
struct Poller {
    sender: Sender,
    polled_at: Instant,
    /// Until when it gets no further group.
    excluded_until: Instant,
}

/// A group that the leader knows.
#[derive(Clone, Debug)]
struct GroupEntry {
    size: u32,
    /// When a report or a coordinator last showed that it exists.
    heard_at: Instant,
    assignment: Assignment,
}

/// The assignment of a group.
#[derive(Clone, Debug)]
enum Assignment {
    None {
        /// When it may be assigned.
        from: Instant,
        /// The process that coordinated it last, with its term.
        last: Option<(CoordinationTerm, Process)>,
    },
    Coordinator {
        sender: Sender,
        term: CoordinationTerm,
        /// When the last grant was sent, or when the group was assigned.
        granted_at: Instant,
        /// When a poll last showed a valid lease in this term, or when the term was assigned.
        confirmed_at: Instant,
    },
}

/// The assignments of the leader in one term of the log.
#[derive(Clone, Debug)]
pub struct Assigner {
    local: Sender,
    term: Term,
    /// Number of assignments so far.
    counter: u64,
    /// When grants begin; none before the leader has held the lease of the log.
    grants_from: Option<Instant>,
    /// When this process last handled an input, and until when no coordinator counts as lost.
    last_step: Instant,
    suspended_until: Instant,
    pollers: BTreeMap<Process, Poller>,
    groups: BTreeMap<Group, GroupEntry>,
    revision: u64,
    /// Whether the assignments have changed since they were last announced.
    has_changed: bool,
    /// Whether the exhaustion of the numbers has been logged.
    is_exhausted: bool,
}

impl Assigner {
    /// A leader that has won its election at `now` and knows no groups.
    pub fn new(now: Instant, local: Sender, term: Term) -> Self {
        Self {
            local,
            term,
            counter: 0,
            grants_from: None,
            last_step: now,
            suspended_until: now,
            pollers: BTreeMap::new(),
            groups: BTreeMap::new(),
            revision: 0,
            has_changed: false,
            is_exhausted: false,
        }
    }

    /// The leader's term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// All assignments.
    pub fn assignments(&self) -> Assignments {
        let groups = self.groups.iter().map(|(group, entry)| {
            let address = match &entry.assignment {
                Assignment::None { .. } => None,
                Assignment::Coordinator { sender, .. } => Some(sender.address),
            };
            (group.clone(), address)
        });
        Assignments {
            term: self.term,
            revision: self.revision,
            groups: groups.collect(),
        }
    }

    /// The changed assignments as a notice for the other control processes; none if nothing changed
    /// since the last one, or before grants begin.
    pub fn take_notice(&mut self, now: Instant) -> Option<(Vec<SocketAddr>, Assignments)> {
        if !self.may_grant(now) || !std::mem::take(&mut self.has_changed) {
            return None;
        }
        let others = self.pollers.values().map(|poller| poller.sender.address);
        let others = others.filter(|address| *address != self.local.address);
        Some((others.collect(), self.assignments()))
    }

    /// Whether the wait after the election is over.
    fn may_grant(&self, now: Instant) -> bool {
        self.grants_from.is_some_and(|from| now >= from)
    }

    /// Withdraws groups from lost coordinators and assigns groups that have none; `holds_lease` is
    /// whether this process holds the lease of the log.
    pub fn step(&mut self, now: Instant, holds_lease: bool, out: &mut Vec<Event>) {
        if now.since(self.last_step) >= SUSPENSION_MIN {
            self.suspended_until = now + POLL_INTERVAL * 2;
        }
        self.last_step = now;
        if !holds_lease {
            return;
        }
        self.grants_from.get_or_insert(now + LEASE);
        if !self.may_grant(now) || now < self.suspended_until {
            return;
        }
        self.withdraw_lost(now, out);
        self.pollers
            .retain(|_, poller| now.since(poller.polled_at) < POLLER_RETENTION);
        self.groups.retain(|_, entry| {
            let is_assigned = matches!(entry.assignment, Assignment::Coordinator { .. });
            is_assigned || now.since(entry.heard_at) < GROUP_RETENTION
        });
        let assignable = self.groups.iter().filter(
            |(_, entry)| matches!(entry.assignment, Assignment::None { from, .. } if now >= from),
        );
        let assignable: Vec<Group> = assignable.map(|(group, _)| group.clone()).collect();
        for group in assignable {
            self.assign(now, &group, out);
        }
    }

    /// Withdraws the groups of coordinators that are lost, once their leases have expired for certain.
    fn withdraw_lost(&mut self, now: Instant, out: &mut Vec<Event>) {
        let pollers = &mut self.pollers;
        for (group, entry) in &mut self.groups {
            let Assignment::Coordinator {
                sender,
                term,
                granted_at,
                confirmed_at,
            } = &entry.assignment
            else {
                continue;
            };
            if now.since(*granted_at) < LEASE + LEASE_MARGIN {
                continue;
            }
            let poller = pollers.get_mut(&sender.process);
            let poller = poller.filter(|poller| poller.is_present(now, sender));
            let reason = match poller {
                None => "it does not poll",
                Some(_) if now.since(*confirmed_at) < LOST_AFTER => continue,
                Some(poller) => {
                    poller.excluded_until = now + EXCLUSION;
                    "it polls, but grants don't reach it"
                }
            };
            let detail = format!("withdrawn from {}: {reason}", sender.process);
            out.push(Event::new(Code::GroupUnassigned, detail).group(group));
            entry.assignment = Assignment::None {
                from: now,
                last: Some((*term, sender.process.clone())),
            };
            self.has_changed = true;
            self.revision += 1;
        }
    }

    /// Assigns a group: to the process that coordinated it last if it is present, otherwise to the one
    /// with the fewest ranks, and to the leader only if no other polls.
    fn assign(&mut self, now: Instant, group: &Group, out: &mut Vec<Event>) {
        let Some(sender) = self.choose(now, group) else {
            return;
        };
        let Some(term) = self.next_term(group, out) else {
            return;
        };
        let detail = format!("to {} in coordination term {term}", sender.process);
        out.push(Event::new(Code::GroupAssigned, detail).group(group));
        if let Some(entry) = self.groups.get_mut(group) {
            entry.assignment = Assignment::Coordinator {
                sender,
                term,
                granted_at: now,
                confirmed_at: now,
            };
        }
        self.has_changed = true;
        self.revision += 1;
    }

    fn choose(&self, now: Instant, group: &Group) -> Option<Sender> {
        let entry = self.groups.get(group)?;
        let candidates = self.pollers.values().filter(|poller| {
            poller.is_present(now, &poller.sender) && now >= poller.excluded_until
        });
        if let Assignment::None {
            last: Some((_, process)),
            ..
        } = &entry.assignment
            && let Some(last) = candidates.clone().find(|c| c.sender.process == *process)
        {
            return Some(last.sender.clone());
        }
        let others = candidates.filter(|poller| poller.sender.address != self.local.address);
        let fewest = others.min_by_key(|poller| self.ranks_of(&poller.sender));
        let chosen = fewest.map_or(&self.local, |poller| &poller.sender);
        Some(chosen.clone())
    }

    /// Number of ranks that a process coordinates.
    fn ranks_of(&self, coordinator: &Sender) -> u64 {
        let of_coordinator = self.groups.values().filter(|entry| {
            matches!(&entry.assignment, Assignment::Coordinator { sender, .. } if sender == coordinator)
        });
        of_coordinator.map(|entry| u64::from(entry.size)).sum()
    }

    fn next_term(&mut self, group: &Group, out: &mut Vec<Event>) -> Option<CoordinationTerm> {
        let term = coordination_term(self.term, self.counter + 1);
        if term.is_some() {
            self.counter += 1;
        } else if !std::mem::replace(&mut self.is_exhausted, true) {
            let detail = format!(
                "no coordination terms are left in term {}; restart the leader, or from term 65536 on set \
                 spreads_groups to false and restart the watch processes",
                self.term
            );
            out.push(Event::new(Code::GroupUnassigned, detail).group(group));
        }
        term
    }

    /// Records that a rank of a group reported to some control process that does not coordinate it.
    pub fn record_report(&mut self, now: Instant, group: &Group, size: u32) {
        let entry = self
            .groups
            .entry(group.clone())
            .or_insert_with(|| GroupEntry::new(now, size));
        entry.heard_at = now;
        entry.size = size;
    }

    /// Records a poll and answers it with a grant, once grants have begun and while this process holds
    /// the lease of the log.
    pub fn handle_poll(
        &mut self,
        now: Instant,
        holds_lease: bool,
        from: &Sender,
        poll: &CoordinatorPoll,
        out: &mut Vec<Event>,
    ) -> Option<CoordinatorGrant> {
        if !self.record_poller(now, from) {
            return None;
        }
        for holding in &poll.groups {
            self.record_holding(now, holds_lease, from, holding, out);
        }
        self.step(now, holds_lease, out);
        if !holds_lease || !self.may_grant(now) {
            return None;
        }
        Some(CoordinatorGrant {
            poll_number: Some(poll.poll_number),
            incarnation: from.incarnation,
            grants: self.grant(now, from),
            assignments: self.assignments(),
        })
    }

    /// Records the sender of a poll; returns false if a later incarnation of it is known.
    fn record_poller(&mut self, now: Instant, from: &Sender) -> bool {
        let previous = self.pollers.get(&from.process);
        if previous.is_some_and(|poller| poller.sender.incarnation > from.incarnation) {
            return false;
        }
        let excluded_until = previous.map_or(Instant(0), |poller| poller.excluded_until);
        let poller = Poller {
            sender: from.clone(),
            polled_at: now,
            excluded_until,
        };
        self.pollers.insert(from.process.clone(), poller);
        true
    }

    /// Records what a poll says about a group.
    fn record_holding(
        &mut self,
        now: Instant,
        holds_lease: bool,
        from: &Sender,
        holding: &GroupHolding,
        out: &mut Vec<Event>,
    ) {
        let coordinates = matches!(holding.state, LeaseState::Valid | LeaseState::Lapsed);
        let is_of_predecessor = holding.term.0 >> COUNTER_BITS < self.term.0;
        if coordinates && is_of_predecessor {
            self.record_predecessor(now, from, holding);
            return;
        }
        let may_grant = holds_lease && self.may_grant(now);
        let Some(entry) = self.groups.get_mut(&holding.group) else {
            return;
        };
        let Assignment::Coordinator {
            sender,
            term,
            confirmed_at,
            ..
        } = &mut entry.assignment
        else {
            return;
        };
        if sender != from || *term != holding.term {
            return;
        }
        match holding.state {
            LeaseState::Valid => {
                *confirmed_at = now;
                entry.heard_at = now;
                if holding.size > 0 {
                    entry.size = holding.size;
                }
            }
            LeaseState::Lapsed if !may_grant => {}
            // No other process has had the group since: the same one continues in a new term.
            LeaseState::Lapsed => self.assign_again(now, holding, out),
            LeaseState::Fenced => {
                entry.assignment = Assignment::None {
                    from: now + LEASE_MARGIN,
                    last: None,
                };
                self.record_withdrawal(from, holding, "it was fenced", out);
            }
            LeaseState::Unused => {
                self.groups.remove(&holding.group);
                if let Some(poller) = self.pollers.get_mut(&from.process) {
                    poller.excluded_until = now + EXCLUSION;
                }
                self.record_withdrawal(from, holding, "no rank reports to it", out);
            }
        }
    }

    /// Records a group that a process coordinated under an earlier leader, so that the process gets it
    /// again unless another one had it later.
    fn record_predecessor(&mut self, now: Instant, from: &Sender, holding: &GroupHolding) {
        let entry = self
            .groups
            .entry(holding.group.clone())
            .or_insert_with(|| GroupEntry::new(now, holding.size));
        let Assignment::None { last, .. } = &mut entry.assignment else {
            return;
        };
        if last.as_ref().is_none_or(|(term, _)| *term < holding.term) {
            *last = Some((holding.term, from.process.clone()));
            entry.size = holding.size.max(entry.size);
        }
    }

    fn record_withdrawal(
        &mut self,
        from: &Sender,
        holding: &GroupHolding,
        reason: &str,
        out: &mut Vec<Event>,
    ) {
        let detail = format!("withdrawn from {}: {reason}", from.process);
        out.push(Event::new(Code::GroupUnassigned, detail).group(&holding.group));
        self.has_changed = true;
        self.revision += 1;
    }

    /// Gives the coordinator of a group a new term.
    fn assign_again(&mut self, now: Instant, holding: &GroupHolding, out: &mut Vec<Event>) {
        let Some(next) = self.next_term(&holding.group, out) else {
            return;
        };
        let Some(entry) = self.groups.get_mut(&holding.group) else {
            return;
        };
        if let Assignment::Coordinator {
            sender,
            term,
            granted_at,
            confirmed_at,
        } = &mut entry.assignment
        {
            (*term, *granted_at, *confirmed_at) = (next, now, now);
            let detail = format!("to {} again, in coordination term {next}", sender.process);
            out.push(Event::new(Code::GroupAssigned, detail).group(&holding.group));
        }
    }

    /// The groups of a process for which it gets a lease now.
    fn grant(&mut self, now: Instant, to: &Sender) -> Vec<GroupGrant> {
        let mut grants = Vec::new();
        for (group, entry) in &mut self.groups {
            let Assignment::Coordinator {
                sender,
                term,
                granted_at,
                confirmed_at,
            } = &mut entry.assignment
            else {
                continue;
            };
            // A process that never confirms gets no further grants, so that its lease expires.
            if sender != to || now.since(*confirmed_at) >= LOST_AFTER {
                continue;
            }
            *granted_at = now;
            grants.push(GroupGrant {
                group: group.clone(),
                term: *term,
            });
        }
        grants
    }
}

impl GroupEntry {
    fn new(now: Instant, size: u32) -> Self {
        Self {
            size,
            heard_at: now,
            assignment: Assignment::None {
                from: now,
                last: None,
            },
        }
    }
}

impl Poller {
    /// Whether it polled recently in the incarnation of `sender`.
    fn is_present(&self, now: Instant, sender: &Sender) -> bool {
        self.sender == *sender && now.since(self.polled_at) < LOST_AFTER
    }
}
