//! Coordinators of rank groups: lease arithmetic, and control processes that end, freeze or are cut off
//! over a network that loses, delays and duplicates messages.
//!
//! Guarded failures: two processes that hold a lease on one group, so that both drive switches; a step
//! that ranks run with different maps, also where engines don't check fencing tokens; and a group that
//! stays without a coordinator.

mod coordination_world;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use coordination_world::{Fault, World, group, sender};
use eelgrassdyke_control::coordination::{
    Coordination, LEASE, LEASE_MARGIN, LogRole, Output, POLL_INTERVAL, SlowEngines,
    coordination_term,
};
use eelgrassdyke_core::id::{CoordinationTerm, Incarnation, Term};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::wire::rank::{
    Assignments, CoordinatorGrant, CoordinatorPoll, GroupGrant, GroupHolding, LeaseState, Message,
    SlowEngine,
};
use test_case::test_case;

fn ms(milliseconds: u64) -> Instant {
    Instant(milliseconds * 1000)
}

fn follower_role(leader: usize) -> LogRole {
    LogRole {
        leader: Some(sender(leader).address),
        leads_in: None,
        holds_lease: false,
    }
}

fn leader_role(number: usize, term: u64) -> LogRole {
    LogRole {
        leader: Some(sender(number).address),
        leads_in: Some(Term(term)),
        holds_lease: true,
    }
}

/// The polls among outputs.
fn polls(out: &[Output]) -> Vec<CoordinatorPoll> {
    let polls = out.iter().filter_map(|output| match output {
        Output::Send(_, Message::CoordinatorPoll(poll)) => Some(poll.clone()),
        _ => None,
    });
    polls.collect()
}

/// The grants among outputs, with their receivers.
fn grants(out: &[Output]) -> Vec<(SocketAddr, CoordinatorGrant)> {
    let grants = out.iter().filter_map(|output| match output {
        Output::Send(to, Message::CoordinatorGrant(grant)) => Some((*to, grant.clone())),
        _ => None,
    });
    grants.collect()
}

fn grant(poll_number: u64, term: u64) -> CoordinatorGrant {
    CoordinatorGrant {
        poll_number: Some(poll_number),
        incarnation: sender(1).incarnation,
        grants: vec![GroupGrant {
            group: group(0),
            term: CoordinationTerm(term),
        }],
        assignments: Assignments::default(),
    }
}

/// A coordinator that has sent its first poll at 0 ms.
fn coordinator() -> (Coordination, u64) {
    let mut coordination = Coordination::new(sender(1));
    let mut out = Vec::new();
    coordination.step(ms(0), follower_role(0), &mut out);
    let number = polls(&out)[0].poll_number;
    (coordination, number)
}

/// Advances a coordinator and returns its polls.
fn step(coordination: &mut Coordination, now: Instant) -> Vec<CoordinatorPoll> {
    let mut out = Vec::new();
    coordination.step(now, follower_role(0), &mut out);
    polls(&out)
}

/// A grant that was long in transit must not extend the lease beyond the time that the leader assumes.
#[test]
fn a_lease_counts_from_the_poll_and_not_from_the_grant() {
    let (mut coordination, number) = coordinator();
    let mut out = Vec::new();
    coordination.handle_grant(ms(900), &sender(0), grant(number, 70_000), &mut out);
    assert!(coordination.holds(ms(999), &group(0)));
    assert!(!coordination.holds(ms(1000), &group(0)));
    assert!(coordination.terms(ms(1000)).is_empty());

    let (mut late, number) = self::coordinator();
    late.handle_grant(ms(1000), &sender(0), grant(number, 70_000), &mut out);
    assert!(!late.holds(ms(1000), &group(0)));
}

/// A grant counts only as the answer of the polled leader to a poll of this incarnation: the numbers of
/// polls start anew after a restart, and a deposed leader may answer late.
#[test]
fn a_grant_that_answers_no_poll_of_this_process_is_ignored() {
    let (mut coordination, number) = coordinator();
    let mut out = Vec::new();
    let from_other = sender(2);
    coordination.handle_grant(ms(10), &from_other, grant(number, 70_000), &mut out);
    assert!(!coordination.holds(ms(10), &group(0)));
    let mut of_predecessor = grant(number, 70_000);
    of_predecessor.incarnation = Incarnation(0);
    coordination.handle_grant(ms(10), &sender(0), of_predecessor, &mut out);
    assert!(!coordination.holds(ms(10), &group(0)));
    coordination.handle_grant(ms(10), &sender(0), grant(number + 1, 70_000), &mut out);
    assert!(!coordination.holds(ms(10), &group(0)));
    coordination.handle_grant(ms(10), &sender(0), grant(number, 70_000), &mut out);
    assert!(coordination.holds(ms(10), &group(0)));
}

/// The controller of a lapsed lease has stopped, and its tokens count from the start when it begins
/// again, so the same term must not come into force a second time.
#[test]
fn a_lapsed_lease_is_not_renewed_in_the_same_term() {
    let (mut coordination, first) = coordinator();
    let mut out = Vec::new();
    coordination.handle_grant(ms(10), &sender(0), grant(first, 70_000), &mut out);
    let second = step(&mut coordination, ms(900))[0].poll_number;
    // The lease lapses while the answer to the second poll is in transit.
    step(&mut coordination, ms(1100));
    coordination.handle_grant(ms(1110), &sender(0), grant(second, 70_000), &mut out);
    assert!(!coordination.holds(ms(1110), &group(0)));
    let third = &step(&mut coordination, ms(1500))[0];
    assert_eq!(third.groups[0].state, LeaseState::Lapsed);
    let renewed = grant(third.poll_number, 70_001);
    coordination.handle_grant(ms(1510), &sender(0), renewed, &mut out);
    assert!(coordination.holds(ms(1510), &group(0)));
}

/// A coordinator that no rank reports to gives the group up, so that another process gets it.
#[test]
fn a_group_without_reports_is_given_up() {
    let (mut coordination, mut number) = coordinator();
    let mut out = Vec::new();
    for time in (10..3000).step_by(250) {
        coordination.handle_grant(ms(time), &sender(0), grant(number, 70_000), &mut out);
        assert!(coordination.holds(ms(time), &group(0)));
        number = step(&mut coordination, ms(time + 249))[0].poll_number;
    }
    let poll = &step(&mut coordination, ms(3260))[0];
    assert_eq!(poll.groups[0].state, LeaseState::Unused);
    assert!(!coordination.holds(ms(3260), &group(0)));
}

/// Tokens and order numbers need room for a coordination term: 24 and 32 bits count within a term.
#[test]
fn coordination_terms_increase_across_leaders_and_fit_tokens() {
    let last_of_first = coordination_term(Term(1), 65_535).unwrap();
    let first_of_second = coordination_term(Term(2), 0).unwrap();
    assert!(last_of_first < first_of_second);
    let highest = coordination_term(Term(65_535), 65_535).unwrap();
    assert!(highest.0.checked_mul(1 << 32).is_some());
    assert_eq!(coordination_term(Term(65_536), 1), None);
    assert_eq!(coordination_term(Term(1), 65_536), None);
}

/// A leader with one group; returns it after the wait of a new leader, with the process that got the
/// group and its term.
struct Leader {
    coordination: Coordination,
    next_poll_number: u64,
}

impl Leader {
    fn new() -> Self {
        Self {
            coordination: Coordination::new(sender(0)),
            next_poll_number: 1,
        }
    }

    /// Hands in a poll; returns the grant that answers it.
    fn poll(
        &mut self,
        now: Instant,
        from: usize,
        groups: Vec<GroupHolding>,
    ) -> Option<CoordinatorGrant> {
        let mut out = Vec::new();
        self.coordination.step(now, leader_role(0, 2), &mut out);
        out.clear();
        let poll_number = self.next_poll_number;
        self.next_poll_number += 1;
        let poll = CoordinatorPoll {
            poll_number,
            groups,
        };
        let from = sender(from);
        self.coordination.handle_poll(now, &from, &poll, &mut out);
        let answers = grants(&out).into_iter();
        let mut answers =
            answers.filter(|(to, g)| *to == from.address && g.poll_number == Some(poll_number));
        answers.next().map(|(_, grant)| grant)
    }

    fn report(&mut self, now: Instant) {
        let mut out = Vec::new();
        self.coordination.record_report(now, &group(0), 3, &mut out);
    }

    /// Polls of these processes until `until`, without leases; returns when each first got the group.
    fn first_grant(
        &mut self,
        from: Instant,
        until: Instant,
        pollers: &[usize],
    ) -> Option<(Instant, usize)> {
        let mut now = from;
        while now < until {
            self.report(now);
            for poller in pollers {
                let grant = self.poll(now, *poller, Vec::new());
                if grant.is_some_and(|grant| !grant.grants.is_empty()) {
                    return Some((now, *poller));
                }
            }
            now = now + Duration::from_millis(50);
        }
        None
    }
}

fn holding(term: CoordinationTerm, state: LeaseState) -> GroupHolding {
    GroupHolding {
        group: group(0),
        term,
        size: 3,
        state,
    }
}

/// Grants of the previous leader may be valid for a lease after the election.
#[test]
fn a_new_leader_grants_nothing_for_the_length_of_a_lease() {
    let mut leader = Leader::new();
    let (at, _) = leader.first_grant(ms(5), ms(3000), &[1, 2]).unwrap();
    assert!(at >= ms(5) + LEASE, "{at:?}");
    assert!(at <= ms(5) + LEASE + POLL_INTERVAL, "{at:?}");
}

/// The new leader leaves a group with the process that has its recent loads, in a term of its own.
#[test]
fn a_new_leader_leaves_a_group_with_its_coordinator() {
    for previous in [1, 2] {
        let mut leader = Leader::new();
        let term = coordination_term(Term(1), 7).unwrap();
        leader.poll(ms(5), previous, vec![holding(term, LeaseState::Valid)]);
        let older = coordination_term(Term(1), 6).unwrap();
        leader.poll(ms(6), 3, vec![holding(older, LeaseState::Lapsed)]);
        let (_, chosen) = leader.first_grant(ms(10), ms(3000), &[1, 2, 3]).unwrap();
        assert_eq!(chosen, previous);
    }
}

/// The lease of a lost coordinator may still be valid by its own clock until a lease after the last
/// grant; only then, and after a margin for orders in transit, another process gets the group.
#[test]
fn a_group_is_reassigned_only_after_the_lease_has_expired() {
    let mut leader = Leader::new();
    let (mut granted_at, first) = leader.first_grant(ms(0), ms(3000), &[1, 2]).unwrap();
    let second = 3 - first;
    let mut term = None;
    for _ in 0..4 {
        let held = term.map(|term| holding(term, LeaseState::Valid));
        granted_at = granted_at + POLL_INTERVAL;
        let grant = leader.poll(granted_at, first, held.into_iter().collect());
        term = Some(grant.unwrap().grants[0].term);
        leader.poll(granted_at, second, Vec::new());
    }
    let from = granted_at + Duration::from_millis(1);
    let (at, chosen) = leader.first_grant(from, ms(9000), &[second]).unwrap();
    assert_eq!(chosen, second);
    assert!(at >= granted_at + LEASE + LEASE_MARGIN, "{at:?}");
    assert!(at <= granted_at + LEASE + LEASE_MARGIN * 2, "{at:?}");
}

/// A process that polls and never receives a grant holds no lease, but looks alive to the leader. The
/// last of the grants may reach it after all, so its lease is waited for.
#[test]
fn a_group_is_taken_from_a_process_that_grants_do_not_reach() {
    let mut leader = Leader::new();
    let (start, first) = leader.first_grant(ms(0), ms(3000), &[1, 2]).unwrap();
    let second = 3 - first;
    let (mut now, mut last_grant) = (start, start);
    loop {
        now = now + Duration::from_millis(50);
        let grant = leader.poll(now, first, Vec::new());
        if grant.is_some_and(|grant| !grant.grants.is_empty()) {
            last_grant = now;
        }
        let grant = leader.poll(now, second, Vec::new());
        if grant.is_some_and(|grant| !grant.grants.is_empty()) {
            break;
        }
        assert!(now.since(start) <= Duration::from_secs(3), "{now:?}");
    }
    assert!(now >= last_grant + LEASE + LEASE_MARGIN, "{now:?}");
}

/// A fenced coordinator gets a higher term, and its own poll makes that possible without a lease's wait.
#[test]
fn a_fenced_coordinator_is_replaced_in_a_higher_term() {
    let mut leader = Leader::new();
    let (at, first) = leader.first_grant(ms(0), ms(3000), &[1]).unwrap();
    let term = leader.poll(at, first, Vec::new()).unwrap().grants[0].term;
    let fenced = vec![holding(term, LeaseState::Fenced)];
    let grant = leader.poll(at, first, fenced.clone()).unwrap();
    assert!(grant.grants.is_empty());
    let grant = leader.poll(at + LEASE_MARGIN, first, fenced).unwrap();
    assert!(grant.grants[0].term > term);
}

/// A leader that was suspended finds every poll outdated, although the processes are present.
#[test]
fn a_resumed_leader_takes_no_group_away_before_it_has_handled_polls() {
    let mut leader = Leader::new();
    let (at, first) = leader.first_grant(ms(0), ms(3000), &[1]).unwrap();
    let term = leader.poll(at, first, Vec::new()).unwrap().grants[0].term;
    let resumed = at + Duration::from_secs(5);
    let mut out = Vec::new();
    leader
        .coordination
        .step(resumed, leader_role(0, 2), &mut out);
    let lapsed = vec![holding(term, LeaseState::Lapsed)];
    let grant = leader.poll(resumed + POLL_INTERVAL, first, lapsed).unwrap();
    assert!(grant.grants[0].term > term);
}

/// A coordinator that has ended must not leave its engines slow for ever, and two coordinators must not
/// erase each other's announcements.
#[test]
fn slow_engines_of_several_coordinators_are_merged() {
    let engine = |port: u16, slowness_permille| SlowEngine {
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        slowness_permille,
        group_closed: false,
    };
    let mut slow = SlowEngines::default();
    slow.record(ms(0), &sender(1).process, vec![engine(2, 1500)]);
    slow.record(ms(500), &sender(2).process, vec![engine(1, 1400)]);
    assert_eq!(slow.merged(ms(600)), vec![engine(1, 1400), engine(2, 1500)]);
    slow.record(ms(700), &sender(2).process, vec![engine(2, 2000)]);
    assert_eq!(slow.merged(ms(800)), vec![engine(2, 2000)]);
    assert!(slow.merged(ms(2700)).is_empty());
}

/// Runs seeds with one kind of fault each time and checks every tick; returns the switches completed.
fn explore(fault: Fault, checks_fencing: bool, loss: f64) -> u64 {
    explore_worlds(fault, checks_fencing, |seed| {
        World::new(seed, checks_fencing, loss)
    })
}

fn explore_worlds(fault: Fault, checks_fencing: bool, world: impl Fn(u64) -> World) -> u64 {
    let mut switches = 0;
    for seed in 0..40 {
        let mut world = world(seed);
        world.run(fault);
        let name = format!("{fault:?}, seed {seed}, fencing checked: {checks_fencing}");
        assert_eq!(world.double_leases, 0, "two valid leases: {name}");
        assert!(!world.has_mixed_maps, "mixed maps: {name}");
        let longest = world.longest_gap;
        assert!(
            longest <= Duration::from_secs(3),
            "{longest:?} without a coordinator: {name}"
        );
        switches += world.completed_switches();
    }
    switches
}

#[test_case(Fault::None, true)]
#[test_case(Fault::None, false)]
#[test_case(Fault::EndCoordinator, true)]
#[test_case(Fault::EndCoordinator, false)]
#[test_case(Fault::FreezeCoordinator, true)]
#[test_case(Fault::FreezeCoordinator, false)]
#[test_case(Fault::CutCoordinator, true)]
#[test_case(Fault::CutCoordinator, false)]
#[test_case(Fault::EndLeader, true)]
#[test_case(Fault::EndLeader, false)]
#[test_case(Fault::FreezeLeader, true)]
#[test_case(Fault::FreezeLeader, false)]
#[test_case(Fault::CutLeader, true)]
#[test_case(Fault::CutLeader, false)]
fn no_two_coordinators_and_no_mixed_maps(fault: Fault, checks_fencing: bool) {
    let switches = explore(fault, checks_fencing, 0.05);
    assert!(switches > 400, "only {switches} switches");
}

/// Orders are carried out up to 8 s late, after the lease of their sender has ended.
#[test_case(Fault::None)]
#[test_case(Fault::EndCoordinator)]
#[test_case(Fault::FreezeCoordinator)]
#[test_case(Fault::CutCoordinator)]
#[test_case(Fault::EndLeader)]
#[test_case(Fault::FreezeLeader)]
#[test_case(Fault::CutLeader)]
fn late_orders_of_earlier_coordinators_mix_no_maps_where_tokens_are_not_checked(fault: Fault) {
    let switches = explore_worlds(fault, false, |seed| {
        World::new(seed, false, 0.05).with_guarded_orders()
    });
    assert!(switches > 400, "only {switches} switches");
}

/// Without leases two coordinators drive one group, and fencing tokens alone don't help where engines
/// don't check them. This shows that the simulation finds the fault.
#[test]
fn maps_mix_if_coordinators_ignore_their_leases() {
    let found = (0..200).any(|seed| {
        let mut world = World::new(seed, false, 0.05);
        world.ignores_leases = true;
        world.run(Fault::CutCoordinator);
        world.has_mixed_maps
    });
    assert!(
        found,
        "no seed finds mixed maps although leases are ignored"
    );
}

/// The first report of a group must lead to a coordinator soon, or a deployment starts without plans.
#[test]
fn a_new_group_has_a_coordinator_within_300_ms() {
    for seed in 0..40 {
        let mut world = World::new(seed, true, 0.0);
        world.suppress_reports_until(ms(5000));
        world.run(Fault::None);
        let taken = world.first_coordinated_at.unwrap().since(ms(5000));
        assert!(
            taken <= Duration::from_millis(300),
            "seed {seed}: {taken:?}"
        );
    }
}

#[test]
fn groups_that_report_a_huge_size_are_assigned() {
    let mut leader = Leader::new();
    let mut out = Vec::new();
    let mut granted = BTreeSet::new();
    for step in 0..200 {
        let now = ms(step * 50);
        for index in 0..3 {
            (leader.coordination).record_report(now, &group(index), u32::MAX, &mut out);
        }
        let grant = leader.poll(now, 1, Vec::new());
        granted.extend(
            grant
                .into_iter()
                .flat_map(|grant| grant.grants)
                .map(|grant| grant.group),
        );
    }
    assert_eq!(granted.len(), 3);
}
