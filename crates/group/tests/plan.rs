//! Tests of the planner: comparison with exhaustive search, redundancy across hosts, lost ranks, frozen
//! groups, and incomplete load reports.

use std::collections::BTreeSet;

use eelgrassdyke_core::config::GroupSpec;
use eelgrassdyke_core::id::{Rank, Step};
use eelgrassdyke_core::unit::{ByteRate, Bytes};
use eelgrassdyke_core::wire::group::{ExpertPlacement, LoadReport};
use eelgrassdyke_group::load::LoadEstimator;
use eelgrassdyke_group::plan::{Options, Planner, RankLocation, Reason, experts_to_load};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Acceptance criterion: maximum excess of the skew over the optimum in small cases, as a fraction.
const OPTIMUM_EXCESS_MAX: f64 = 0.05;

fn spec(experts: u32, layers: u32, slots: u32) -> GroupSpec {
    GroupSpec {
        service: "draft".parse().unwrap(),
        ranks: Default::default(),
        experts,
        layers,
        slots,
        expert_bytes: Bytes(1 << 20),
        store_rate: ByteRate(1 << 30),
        skew_weight: 4,
        move_weight: 1,
        frozen: false,
    }
}

fn locations(ranks: usize, ranks_per_host: usize) -> Vec<RankLocation> {
    let location = |rank: usize| RankLocation {
        data_centre: "hobart".parse().unwrap(),
        host: format!("host-{}", rank / ranks_per_host).parse().unwrap(),
    };
    (0..ranks).map(location).collect()
}

fn members(ranks: usize) -> Vec<Rank> {
    (0..ranks as u64).map(Rank).collect()
}

fn loads(tokens: &[Vec<u64>], costs: &[u64]) -> LoadEstimator {
    let mut loads = LoadEstimator::default();
    for (rank, cost) in costs.iter().enumerate() {
        let report = LoadReport {
            steps: (Step(1), Step(1)),
            expert_tokens: tokens.to_vec(),
            processed_tokens: 100,
            busy_us: 100 * cost,
            ..LoadReport::default()
        };
        loads.record_report(Rank(rank as u64), &report);
    }
    loads.close_interval();
    loads
}

/// Minimum skew over all placements of one layer that hold every expert, by exhaustive search.
fn optimum_skew(
    planner: &Planner,
    loads: &LoadEstimator,
    experts: u32,
    slots: usize,
    ranks: usize,
) -> f64 {
    let sets: Vec<Vec<u32>> = (0_u32..1 << experts)
        .filter(|set| set.count_ones() as usize == slots)
        .map(|set| (0..experts).filter(|e| set >> e & 1 == 1).collect())
        .collect();
    let mut min_skew = f64::INFINITY;
    let mut chosen_sets = vec![0; ranks];
    loop {
        let layer: Vec<Vec<u32>> = chosen_sets.iter().map(|set| sets[*set].clone()).collect();
        let held: BTreeSet<u32> = layer.iter().flatten().copied().collect();
        if held.len() == experts as usize {
            min_skew = min_skew.min(planner.skew(loads, &vec![layer], &members(ranks)));
        }
        let Some(rank) = (0..ranks).find(|rank| chosen_sets[*rank] + 1 < sets.len()) else {
            return min_skew;
        };
        chosen_sets[..rank].fill(0);
        chosen_sets[rank] += 1;
    }
}

#[test_case(4, 3, 2)]
#[test_case(5, 3, 2)]
#[test_case(6, 3, 3)]
#[test_case(5, 4, 2)]
fn small_placements_are_near_the_optimum(experts: u32, ranks: usize, slots: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(experts));
    // All ranks are on one host, so redundancy across hosts does not restrict the placements.
    let planner = Planner::new(
        spec(experts, 1, slots as u32),
        locations(ranks, ranks),
        Options::default(),
    );
    for _ in 0..12 {
        let tokens = (0..experts).map(|_| rng.random_range(10..1000)).collect();
        // With ranks of equal speed, the lowest skew also gives the shortest step.
        let loads = loads(&[tokens], &vec![10; ranks]);
        let plan = planner
            .plan(&loads, None, &members(ranks), Reason::RanksChanged)
            .unwrap();
        let optimum = optimum_skew(&planner, &loads, experts, slots, ranks);
        assert!(
            plan.skew.1 <= optimum * (1.0 + OPTIMUM_EXCESS_MAX),
            "skew {}, optimum {optimum}",
            plan.skew.1
        );
    }
}

fn holds_all(layers: &ExpertPlacement, experts: u32, lost_ranks: &[usize]) -> bool {
    layers.iter().all(|layer| {
        let ranks = layer.iter().enumerate();
        let held: BTreeSet<u32> = ranks
            .filter(|(rank, _)| !lost_ranks.contains(rank))
            .flat_map(|(_, experts)| experts.iter().copied())
            .collect();
        held.len() == experts as usize
    })
}

#[test]
fn every_expert_has_a_copy_after_the_loss_of_one_host_if_slots_allow() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let planner = Planner::new(spec(12, 4, 5), locations(8, 2), Options::default());
    let mut active: Option<ExpertPlacement> = None;
    for round in 0..20 {
        let mut random_loads = || (0..12).map(|_| rng.random_range(1..1000)).collect();
        let tokens: Vec<Vec<u64>> = (0..4).map(|_| random_loads()).collect();
        let loads = loads(&tokens, &[10; 8]);
        let reason = match round {
            0 => Reason::RanksChanged,
            _ => Reason::Forced,
        };
        if let Some(plan) = planner.plan(&loads, active.as_ref(), &members(8), reason) {
            assert_eq!(plan.under_replicated_experts, 0);
            active = Some(plan.layers);
        }
        for host in 0..4 {
            let lost_ranks = [2 * host, 2 * host + 1];
            assert!(holds_all(active.as_ref().unwrap(), 12, &lost_ranks));
        }
    }
}

#[test]
fn under_replicated_experts_are_reported() {
    let planner = Planner::new(spec(12, 4, 2), locations(8, 2), Options::default());
    let loads = loads(&vec![vec![100; 12]; 4], &[10; 8]);
    let plan = planner
        .plan(&loads, None, &members(8), Reason::RanksChanged)
        .unwrap();
    assert!(plan.under_replicated_experts > 0);
    assert!(
        plan.event(&"draft".parse().unwrap(), None)
            .detail
            .contains("on one host only")
    );
}

#[test]
fn after_the_loss_of_a_rank_only_experts_without_another_copy_are_loaded() {
    let planner = Planner::new(spec(12, 4, 5), locations(8, 2), Options::default());
    let loads = loads(&vec![(1..=12).map(|e| e * 10).collect(); 4], &[10; 8]);
    let all = members(8);
    let first = planner
        .plan(&loads, None, &all, Reason::RanksChanged)
        .unwrap();
    let rest: Vec<Rank> = all.into_iter().filter(|rank| *rank != Rank(3)).collect();
    let next = planner
        .plan(&loads, Some(&first.layers), &rest, Reason::RanksChanged)
        .unwrap();
    assert!(holds_all(&next.layers, 12, &[3]));
    assert!(next.layers.iter().all(|layer| layer[3].is_empty()));
    // Every expert has a second copy, so no rank loads one.
    assert_eq!(
        experts_to_load(Some(&first.layers), &next.layers)
            .iter()
            .sum::<u64>(),
        0
    );
}

#[test]
fn a_frozen_group_is_rebalanced_only_when_forced() {
    let tokens: Vec<Vec<u64>> = vec![vec![100; 12]; 4];
    let mut frozen = spec(12, 4, 5);
    frozen.frozen = true;
    let planner = Planner::new(frozen, locations(8, 2), Options::default());
    let first = planner
        .plan(
            &loads(&tokens, &[10; 8]),
            None,
            &members(8),
            Reason::RanksChanged,
        )
        .unwrap();
    let skewed_tokens: Vec<Vec<u64>> =
        vec![(0..12).map(|e| if e == 5 { 5000 } else { 100 }).collect(); 4];
    let loads = loads(&skewed_tokens, &[10; 8]);
    let plan = |reason| planner.plan(&loads, Some(&first.layers), &members(8), reason);
    assert_eq!(plan(Reason::Interval), None);
    let forced = plan(Reason::Forced).unwrap();
    assert!(forced.skew.1 < forced.skew.0);
}

#[test]
fn late_duplicate_and_missing_reports_do_not_change_the_load() {
    let report = |first: u64, last: u64| LoadReport {
        steps: (Step(first), Step(last)),
        expert_tokens: vec![vec![10 * (last - first + 1); 3]],
        processed_tokens: 10,
        busy_us: 10,
        ..LoadReport::default()
    };
    let mut complete = LoadEstimator::default();
    let mut incomplete = LoadEstimator::default();
    for rank in 0..4 {
        for first in [1, 11, 21] {
            complete.record_report(Rank(rank), &report(first, first + 9));
        }
        if rank == 2 {
            continue;
        }
        incomplete.record_report(Rank(rank), &report(1, 10));
        incomplete.record_report(Rank(rank), &report(21, 30));
        incomplete.record_report(Rank(rank), &report(11, 20));
        incomplete.record_report(Rank(rank), &report(21, 30));
    }
    complete.close_interval();
    incomplete.close_interval();
    assert_eq!(complete.expert_loads(), incomplete.expert_loads());
}
