//! The fair queue against exact sharing.

use std::collections::BTreeMap;

use eelgrassdyke_agent::{Item, Queue, Turn};
use eelgrassdyke_core::config::Share;
use eelgrassdyke_core::id::{Team, Ticket};
use eelgrassdyke_core::time::Instant;
use eelgrassdyke_core::unit::Permille;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Largest cost of an attempt.
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

fn item(ticket: u64, team: &Team, priority: u8, cost: u64) -> Item {
    Item {
        ticket: Ticket(ticket),
        team: team.clone(),
        priority,
        cost,
        deadline: Instant(u64::MAX - 1),
    }
}

/// Exact sharing: divides each unit of work among the teams that have any left.
fn fluid(shares: &[Share], queued: &[f64], work: f64) -> Vec<f64> {
    let mut left = queued.to_vec();
    let mut served = vec![0.0; queued.len()];
    let mut rest = work;
    while rest > 1e-9 {
        let active: Vec<usize> = (0..left.len()).filter(|i| left[*i] > 1e-9).collect();
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
        let empty = active.iter().map(|i| left[*i] / rate(*i));
        let step = empty.fold(rest, f64::min);
        for i in active {
            served[i] += step * rate(i);
            left[i] -= step * rate(i);
        }
        rest -= step;
    }
    served
}

/// Bound on how far a team's service may differ from exact sharing: one attempt of each kind of
/// turn, and what the others' attempts in one round take of it.
fn bound(share: &Share, weights: u64, teams: usize) -> f64 {
    let part = f64::from(share.weight) / weights as f64;
    COST_MAX as f64 * (2.0 + 2.0 * part * teams as f64)
}

#[test]
fn backlogged_teams_get_what_exact_sharing_gives_them() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let teams = rng.random_range(2..8);
        let mut shares = Vec::new();
        for _ in 0..teams {
            let guaranteed = match rng.random_bool(0.5) {
                true => rng.random_range(0..1000 / teams as u64),
                false => 0,
            };
            shares.push(share(guaranteed, rng.random_range(1..6), 1000));
        }
        let mut queue = Queue::new(100_000, 1);
        let mut queued = vec![0.0; teams];
        let mut ticket = 0;
        for (number, share) in shares.iter().enumerate() {
            for _ in 0..rng.random_range(20..200) {
                ticket += 1;
                let cost = rng.random_range(1..=COST_MAX);
                queued[number] += cost as f64;
                queue.push(item(ticket, &team(number), 5, cost), share.clone());
            }
        }
        let weights = shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut served = vec![0.0; teams];
        let mut work = 0.0;
        while let Some(turn) = queue.pop() {
            let number: usize = turn.item.team.as_str()[5..].parse().unwrap();
            served[number] += turn.item.cost as f64;
            work += turn.item.cost as f64;
            queue.finish(&turn, turn.item.cost);
            let exact = fluid(&shares, &queued, work);
            for number in 0..teams {
                let gap = (served[number] - exact[number]).abs();
                let most = bound(&shares[number], weights, teams);
                assert!(
                    gap <= most,
                    "seed {seed}: {} is {gap} off, bound {most}",
                    team(number)
                );
            }
        }
        let all: f64 = queued.iter().sum();
        assert_eq!(work, all, "seed {seed}: something was never served");
    }
}

#[test]
fn a_charge_by_estimate_is_corrected_to_the_cost() {
    // One team expects ten times what it uses; in the end both get the same service.
    let mut queue = Queue::new(100_000, 1);
    let mut served = BTreeMap::new();
    for ticket in 0..4000 {
        let (team, cost) = match ticket % 2 {
            0 => (team(0), 100),
            _ => (team(1), 10),
        };
        queue.push(item(ticket, &team, 5, cost), Share::default());
    }
    for _ in 0..2000 {
        let turn = queue.pop().unwrap();
        queue.finish(&turn, 10);
        *served.entry(turn.item.team).or_insert(0_i64) += 10;
    }
    let gap = (served[&team(0)] - served[&team(1)]).abs();
    assert!(gap <= 200, "{served:?}");
}

#[test]
fn higher_priority_goes_first_within_a_team_only() {
    let mut queue = Queue::new(100, 4);
    queue.push(item(1, &team(0), 1, 10), Share::default());
    queue.push(item(2, &team(0), 9, 10), Share::default());
    queue.push(item(3, &team(1), 0, 10), Share::default());
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop())
        .map(|turn| turn.item.ticket.0)
        .collect();
    assert_eq!(order, [2, 3, 1]);
}

#[test]
fn a_full_queue_sheds_the_team_furthest_over_its_share_and_its_lowest_priority() {
    let mut queue = Queue::new(10, 1);
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
fn a_cap_holds_even_when_nobody_else_asks() {
    let mut queue = Queue::new(100, 8);
    for ticket in 0..10 {
        queue.push(item(ticket, &team(0), 5, 10), share(0, 1, 250));
    }
    let turns: Vec<Turn> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(turns.len(), 2);
    assert_eq!(queue.pop(), None);
    queue.finish(&turns[0], 10);
    assert!(queue.pop().is_some());
    assert_eq!(queue.pop(), None);
}

#[test]
fn a_team_that_comes_back_has_saved_nothing() {
    let mut queue = Queue::new(1000, 1);
    for ticket in 0..200 {
        queue.push(item(ticket, &team(0), 5, 10), Share::default());
    }
    for _ in 0..100 {
        let turn = queue.pop().unwrap();
        queue.finish(&turn, 10);
    }
    for ticket in 200..300 {
        queue.push(item(ticket, &team(1), 5, 10), Share::default());
    }
    let mut own = 0;
    for _ in 0..20 {
        let turn = queue.pop().unwrap();
        own += u32::from(turn.item.team == team(1));
        queue.finish(&turn, 10);
    }
    assert!((9..=11).contains(&own), "{own} of 20");
}

#[test]
fn idle_teams_cost_nothing() {
    let mut queue = Queue::new(100_000, 4);
    for number in 0..38_000 {
        queue.push(item(number as u64, &team(number), 5, 10), Share::default());
        let turn = queue.pop().unwrap();
        queue.finish(&turn, 10);
    }
    assert!(queue.lines() <= 1, "{} lines", queue.lines());
}
