//! Coordinators of rank groups: which control process collects the reports of a group, plans its maps
//! and drives their switches.
//!
//! The leader of the log assigns each group to one control process and keeps the assignments as soft
//! state (`assign`). The coordinator holds a lease on the group (`lease`), which it renews with a
//! poll every [`POLL_INTERVAL`]; without a valid lease it behaves like a deposed leader. The leader
//! polls itself in the same way, without messages. docs/design/coordinators.md has the alternatives
//! and the failures.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassdyke_core::event::Event;
use eelgrassdyke_core::id::{CoordinationTerm, Group, Incarnation, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::Sender;
use eelgrassdyke_core::wire::rank::{self, Assignments, CoordinatorGrant, CoordinatorPoll};

pub use assign::coordination_term;
pub use slow::SlowEngines;

use assign::Assigner;
use lease::Leases;

mod assign;
mod lease;
mod slow;

/// Time for which a grant is valid, counted from the poll.
pub const LEASE: Duration = Duration::from_secs(1);

/// Time between two polls: three in a row may be lost before a lease lapses.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time between the end of a lease and the next assignment of the group, for orders in transit and for
/// clocks of different speed.
pub const LEASE_MARGIN: Duration = Duration::from_millis(250);

/// Time after the last message with assignments after which they count as unknown. It is longer than the
/// time in which a new leader sends its first ones.
const ASSIGNMENTS_AGE_MAX: Duration = Duration::from_secs(4);

/// The role of this process in the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogRole {
    /// Address of the leader, if known.
    pub leader: Option<SocketAddr>,
    /// The term in which this process leads; none if it doesn't.
    pub leads_in: Option<Term>,
    /// Whether it leads and holds the lease of the log.
    pub holds_lease: bool,
}

/// An effect that the caller carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a control process.
    Send(SocketAddr, rank::Message),
    /// Record an event.
    Event(Event),
    /// The assignments changed: push them to the watch processes that follow this process.
    PushAssignments,
}

/// Assignments and leases of one control process.
#[derive(Clone, Debug)]
pub struct Coordination {
    local: Sender,
    role: LogRole,
    /// The leader's side, while this process leads.
    assigner: Option<Assigner>,
    leases: Leases,
    /// The latest assignments, and when a leader last sent them.
    assignments: (Assignments, Instant),
    /// Slow engines announced by the coordinators.
    pub slow_engines: SlowEngines,
}

impl Coordination {
    /// A control process without leases.
    pub fn new(local: Sender) -> Self {
        Self {
            role: LogRole::default(),
            assigner: None,
            leases: Leases::new(local.incarnation),
            assignments: Default::default(),
            slow_engines: SlowEngines::default(),
            local,
        }
    }

    /// Brings leases and assignments up to date and sends what is due. It precedes every use of the
    /// leases, because a process that was suspended must not act on leases that have expired.
    pub fn step(&mut self, now: Instant, role: LogRole, out: &mut Vec<Output>) {
        if role.leader != self.role.leader {
            self.leases.request_poll();
        }
        self.role = role;
        let mut events = Vec::new();
        self.leases.expire(now, &mut events);
        match role.leads_in {
            None => self.assigner = None,
            Some(term) if self.assigner.as_ref().is_none_or(|a| a.term() != term) => {
                self.assigner = Some(Assigner::new(now, self.local.clone(), term));
            }
            Some(_) => {}
        }
        if let Some(assigner) = &mut self.assigner {
            assigner.step(now, role.holds_lease, &mut events);
        }
        out.extend(events.into_iter().map(Output::Event));
        self.send_notice(now, out);
        self.send_poll(now, out);
        if now.since(self.assignments.1) >= ASSIGNMENTS_AGE_MAX {
            self.assignments.0 = Assignments::default();
        }
    }

    /// Polls the leader if a poll is due.
    fn send_poll(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Some(leader) = self.role.leader else {
            self.leases.postpone_poll(now);
            return;
        };
        let Some(poll) = self.leases.next_poll(now, leader) else {
            return;
        };
        if leader != self.local.address {
            out.push(Output::Send(leader, rank::Message::CoordinatorPoll(poll)));
            return;
        }
        let mut events = Vec::new();
        let local = self.local.clone();
        if let Some(assigner) = &mut self.assigner
            && let Some(grant) =
                assigner.handle_poll(now, self.role.holds_lease, &local, &poll, &mut events)
        {
            self.leases
                .apply_grant(now, local.address, &grant, &mut events);
            self.set_assignments(now, grant.assignments, out);
        }
        out.extend(events.into_iter().map(Output::Event));
        self.send_notice(now, out);
    }

    /// Sends changed assignments to the other control processes.
    fn send_notice(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Some(assigner) = &mut self.assigner else {
            return;
        };
        let Some((others, assignments)) = assigner.take_notice(now) else {
            return;
        };
        for to in others {
            let notice = CoordinatorGrant {
                poll_number: None,
                incarnation: Incarnation(0),
                grants: Vec::new(),
                assignments: assignments.clone(),
            };
            out.push(Output::Send(to, rank::Message::CoordinatorGrant(notice)));
        }
        self.set_assignments(now, assignments, out);
    }

    /// Handles a poll of a control process; ignored unless this process leads.
    pub fn handle_poll(
        &mut self,
        now: Instant,
        from: &Sender,
        poll: &CoordinatorPoll,
        out: &mut Vec<Output>,
    ) {
        let Some(assigner) = &mut self.assigner else {
            return;
        };
        let mut events = Vec::new();
        let grant = assigner.handle_poll(now, self.role.holds_lease, from, poll, &mut events);
        out.extend(events.into_iter().map(Output::Event));
        if let Some(grant) = grant {
            let grant = rank::Message::CoordinatorGrant(grant);
            out.push(Output::Send(from.address, grant));
        }
        self.send_notice(now, out);
    }

    /// Handles a grant or a notice of the leader.
    pub fn handle_grant(
        &mut self,
        now: Instant,
        from: &Sender,
        grant: CoordinatorGrant,
        out: &mut Vec<Output>,
    ) {
        let mut events = Vec::new();
        self.leases
            .apply_grant(now, from.address, &grant, &mut events);
        out.extend(events.into_iter().map(Output::Event));
        self.set_assignments(now, grant.assignments, out);
        self.send_poll(now, out);
    }

    /// Stores assignments unless they are outdated. A group that is assigned to this process and that it
    /// does not hold makes it poll at once.
    fn set_assignments(&mut self, now: Instant, assignments: Assignments, out: &mut Vec<Output>) {
        if !assignments.is_current(&self.assignments.0) {
            return;
        }
        let local = self.local.address;
        let is_missing = |(group, address): &(Group, Option<SocketAddr>)| {
            *address == Some(local) && !self.leases.holds(now, group)
        };
        if assignments.groups.iter().any(is_missing) {
            self.leases.request_poll();
        }
        let has_changed = assignments.groups != self.assignments.0.groups;
        self.assignments = (assignments, now);
        if has_changed {
            out.push(Output::PushAssignments);
        }
    }

    /// Records a report that arrived here, before it is handled or relayed. The leader assigns a group
    /// that it hears of for the first time.
    pub fn record_report(&mut self, now: Instant, group: &Group, size: u32, out: &mut Vec<Output>) {
        self.leases.record_report(now, group, size);
        if self.leases.holds(now, group) {
            return;
        }
        if let Some(assigner) = &mut self.assigner {
            assigner.record_report(now, group, size);
            let mut events = Vec::new();
            assigner.step(now, self.role.holds_lease, &mut events);
            out.extend(events.into_iter().map(Output::Event));
            self.send_notice(now, out);
            self.send_poll(now, out);
        }
    }

    /// Where to relay a report of a group that this process does not coordinate: to the coordinator, or
    /// to the leader if none is known.
    pub fn relay_address(&self, group: &Group) -> Option<SocketAddr> {
        let is_other = |address: &SocketAddr| *address != self.local.address;
        let coordinator = self.assignments.0.coordinator(group).filter(is_other);
        coordinator.or(self.role.leader.filter(is_other))
    }

    /// Gives up groups whose engines have seen a higher fencing token than this coordinator's.
    pub fn give_up_fenced(&mut self, now: Instant, groups: &[Group], out: &mut Vec<Output>) {
        let mut events = Vec::new();
        for group in groups {
            self.leases.give_up_fenced(now, group, &mut events);
        }
        out.extend(events.into_iter().map(Output::Event));
    }

    /// Whether this process coordinates a group.
    pub fn holds(&self, now: Instant, group: &Group) -> bool {
        self.leases.holds(now, group)
    }

    /// The groups that this process coordinates at `now`, with their terms.
    pub fn terms(&self, now: Instant) -> BTreeMap<Group, CoordinationTerm> {
        self.leases.terms(now)
    }

    /// The latest assignments, for watch processes.
    pub fn assignments(&self) -> &Assignments {
        &self.assignments.0
    }

    /// When this process next needs [`Coordination::step`].
    pub fn next_deadline(&self) -> Instant {
        self.leases.next_deadline()
    }
}
