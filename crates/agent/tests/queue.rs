//! The fair queue compared with ideal fluid sharing.

use std::collections::BTreeMap;

use eelgrassdyke_agent::{DequeuedItem, FairQueue, QueueItem};
use eelgrassdyke_core::config::Share;
use eelgrassdyke_core::id::{Team, Ticket};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::Permille;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Maximum cost of an attempt.
const COST_MAX: u64 = 400;

fn team(number: usize) -> Team {
    format!("team-{number}").parse().unwrap()
}

fn share(guaranteed: u64, weight: u32, cap: u64) -> Share {
    Share {
        guaranteed: Permille(guaranteed),
        weight,
        cap: Permille(cap),
    }
}

fn item(ticket: u64, team: &Team, priority: u8, cost: u64) -> QueueItem {
    QueueItem {
        ticket: Ticket(ticket),
        team: team.clone(),
        priority,
        cost,
        deadline: Instant(u64::MAX - 1),
    }
}

/// Service per team under ideal fluid sharing, which divides each unit of work among all teams that
/// still have cost queued.
fn fluid_service(shares: &[Share], queued: &[f64], work: f64) -> Vec<f64> {
    let mut remaining = queued.to_vec();
    let mut served = vec![0.0; queued.len()];
    let mut remaining_work = work;
    while remaining_work > 1e-9 {
        let active: Vec<usize> = (0..remaining.len())
            .filter(|i| remaining[*i] > 1e-9)
            .collect();
        if active.is_empty() {
            break;
        }
        let guaranteed: f64 = active
            .iter()
            .map(|i| shares[*i].guaranteed.fraction())
            .sum();
        let weights: f64 = active.iter().map(|i| f64::from(shares[*i].weight)).sum();
        let rate = |i: usize| {
            shares[i].guaranteed.fraction()
                + (1.0 - guaranteed) * f64::from(shares[i].weight) / weights
        };
        let work_until_empty = active.iter().map(|i| remaining[*i] / rate(*i));
        let step = work_until_empty.fold(remaining_work, f64::min);
        for i in active {
            served[i] += step * rate(i);
            remaining[i] -= step * rate(i);
        }
        remaining_work -= step;
    }
    served
}

/// Bound on the difference between a team's service and its fluid service.
///
/// It allows for one attempt charged to the guaranteed share, one charged by weight, and the team's
/// part of one round of attempts of the other teams.
fn deviation_bound(share: &Share, weight_sum: u64, team_count: usize) -> f64 {
    let weight_fraction = f64::from(share.weight) / weight_sum as f64;
    COST_MAX as f64 * (2.0 + 2.0 * weight_fraction * team_count as f64)
}

#[test]
fn service_of_backlogged_teams_stays_close_to_fluid_sharing() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let team_count = rng.random_range(2..8);
        let mut shares = Vec::new();
        for _ in 0..team_count {
            let guaranteed = match rng.random_bool(0.5) {
                true => rng.random_range(0..1000 / team_count as u64),
                false => 0,
            };
            shares.push(share(guaranteed, rng.random_range(1..6), 1000));
        }
        let mut queue = FairQueue::new(100_000, 1);
        let mut queued = vec![0.0; team_count];
        let mut ticket = 0;
        for (number, share) in shares.iter().enumerate() {
            for _ in 0..rng.random_range(20..200) {
                ticket += 1;
                let cost = rng.random_range(1..=COST_MAX);
                queued[number] += cost as f64;
                queue.push(item(ticket, &team(number), 5, cost), share.clone());
            }
        }
        let weight_sum = shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut served = vec![0.0; team_count];
        let mut work = 0.0;
        while let Some(dequeued) = queue.pop() {
            let number: usize = dequeued.item.team.as_str()[5..].parse().unwrap();
            served[number] += dequeued.item.cost as f64;
            work += dequeued.item.cost as f64;
            queue.finish(&dequeued, dequeued.item.cost);
            let fluid = fluid_service(&shares, &queued, work);
            for number in 0..team_count {
                let deviation = (served[number] - fluid[number]).abs();
                let bound = deviation_bound(&shares[number], weight_sum, team_count);
                assert!(
                    deviation <= bound,
                    "seed {seed}: {} deviates by {deviation}, bound {bound}",
                    team(number)
                );
            }
        }
        let total: f64 = queued.iter().sum();
        assert_eq!(work, total, "seed {seed}: not every attempt was served");
    }
}

#[test]
fn charges_are_corrected_from_estimated_to_actual_cost() {
    // One team overestimates its cost tenfold; both teams must get the same service.
    let mut queue = FairQueue::new(100_000, 1);
    let mut served = BTreeMap::new();
    for ticket in 0..4000 {
        let (team, cost) = match ticket % 2 {
            0 => (team(0), 100),
            _ => (team(1), 10),
        };
        queue.push(item(ticket, &team, 5, cost), Share::default());
    }
    for _ in 0..2000 {
        let dequeued = queue.pop().unwrap();
        queue.finish(&dequeued, 10);
        *served.entry(dequeued.item.team).or_insert(0_i64) += 10;
    }
    let gap = (served[&team(0)] - served[&team(1)]).abs();
    assert!(gap <= 200, "{served:?}");
}

#[test]
fn priority_orders_attempts_only_within_a_team() {
    let mut queue = FairQueue::new(100, 4);
    queue.push(item(1, &team(0), 1, 10), Share::default());
    queue.push(item(2, &team(0), 9, 10), Share::default());
    queue.push(item(3, &team(1), 0, 10), Share::default());
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop())
        .map(|dequeued| dequeued.item.ticket.0)
        .collect();
    assert_eq!(order, [2, 3, 1]);
}

#[test]
fn a_full_queue_sheds_the_lowest_priority_of_the_team_with_the_largest_relative_backlog() {
    let mut queue = FairQueue::new(10, 1);
    for ticket in 0..9 {
        let priority = if ticket == 4 { 0 } else { 5 };
        assert_eq!(
            queue.push(item(ticket, &team(0), priority, 10), Share::default()),
            None
        );
    }
    queue.push(item(9, &team(1), 5, 10), Share::default());
    let shed = queue.push(item(10, &team(1), 5, 10), Share::default());
    assert_eq!(shed.map(|item| item.ticket), Some(Ticket(4)));
    let shed = queue.push(item(11, &team(0), 5, 10), Share::default());
    assert_eq!(shed.map(|item| item.ticket), Some(Ticket(11)));
}

#[test]
fn a_cap_holds_when_no_other_team_has_queued_attempts() {
    let mut queue = FairQueue::new(100, 8);
    for ticket in 0..10 {
        queue.push(item(ticket, &team(0), 5, 10), share(0, 1, 250));
    }
    let dequeued: Vec<DequeuedItem> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(dequeued.len(), 2);
    assert_eq!(queue.pop(), None);
    queue.finish(&dequeued[0], 10);
    assert!(queue.pop().is_some());
    assert_eq!(queue.pop(), None);
}

#[test]
fn an_idle_team_accumulates_no_credit() {
    let mut queue = FairQueue::new(1000, 1);
    for ticket in 0..200 {
        queue.push(item(ticket, &team(0), 5, 10), Share::default());
    }
    for _ in 0..100 {
        let dequeued = queue.pop().unwrap();
        queue.finish(&dequeued, 10);
    }
    for ticket in 200..300 {
        queue.push(item(ticket, &team(1), 5, 10), Share::default());
    }
    let mut served = 0;
    for _ in 0..20 {
        let dequeued = queue.pop().unwrap();
        served += u32::from(dequeued.item.team == team(1));
        queue.finish(&dequeued, 10);
    }
    assert!((9..=11).contains(&served), "{served} of 20");
}

#[test]
fn state_of_idle_teams_is_removed() {
    let mut queue = FairQueue::new(100_000, 4);
    for number in 0..38_000 {
        queue.push(item(number as u64, &team(number), 5, 10), Share::default());
        let dequeued = queue.pop().unwrap();
        queue.finish(&dequeued, 10);
    }
    assert!(queue.team_count() <= 1, "{} teams", queue.team_count());
}
