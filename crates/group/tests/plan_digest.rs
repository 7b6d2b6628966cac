//! Plans for random problems, compared with recorded digests.
//!
//! The planner is optimised under the condition that its plans stay the same, bit for bit. A digest
//! covers the placement, in the order of the slots, and the exact values of the predicted skew and of
//! the time saved, so a different order of summation or of candidates shows as well.

use std::fmt::Write as _;
use std::time::Duration;

use eelgrassdyke_core::config::GroupSpec;
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::{Rank, Step};
use eelgrassdyke_core::unit::{ByteRate, Bytes};
use eelgrassdyke_core::wire::group::{ExpertPlacement, LoadReport};
use eelgrassdyke_group::cost::CopyCost;
use eelgrassdyke_group::load::LoadEstimator;
use eelgrassdyke_group::plan::{Options, Plan, Planner, RankLocation, Reason};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One line for each problem: its name, and the digest of its plans.
const RECORDED: &str = include_str!("plan_digest.txt");

/// Consecutive plans for each problem, each from the placement of the one before.
const ROUNDS: usize = 4;

#[derive(Clone, Copy)]
struct Dimensions {
    ranks: usize,
    layers: usize,
    experts: usize,
    slots: u32,
    max_new_experts: usize,
    min_hosts_per_expert: usize,
    ranks_per_host: usize,
    copy_time: Duration,
}

const SMALL: Dimensions = Dimensions {
    ranks: 12,
    layers: 8,
    experts: 24,
    slots: 4,
    max_new_experts: 3,
    min_hosts_per_expert: 1,
    ranks_per_host: 1,
    copy_time: Duration::from_millis(50),
};

const MEDIUM: Dimensions = Dimensions {
    ranks: 24,
    layers: 16,
    experts: 96,
    slots: 5,
    max_new_experts: 2,
    copy_time: Duration::from_millis(20),
    ..SMALL
};

const LARGE: Dimensions = Dimensions {
    ranks: 129,
    layers: 16,
    experts: 258,
    slots: 3,
    max_new_experts: 2,
    copy_time: Duration::from_millis(3),
    ..SMALL
};

fn planner(size: Dimensions) -> Planner {
    let spec = GroupSpec {
        service: "draft".parse().unwrap(),
        ranks: Default::default(),
        experts: size.experts as u32,
        layers: size.layers as u32,
        slots: size.slots,
        expert_bytes: Bytes(1 << 20),
        store_rate: ByteRate(1 << 25),
        skew_weight: 4,
        move_weight: 1,
        frozen: false,
    };
    let options = Options {
        max_new_experts: size.max_new_experts,
        min_hosts_per_expert: size.min_hosts_per_expert,
        ..Options::default()
    };
    let location = |rank: usize| RankLocation {
        data_centre: "hobart".parse().unwrap(),
        host: format!("host-{}", rank / size.ranks_per_host)
            .parse()
            .unwrap(),
    };
    Planner::new(spec, (0..size.ranks).map(location).collect(), options)
}

/// Reports loads in which the popularity of an expert falls with its position in a random order.
fn record_random_loads(size: Dimensions, round: u64, rng: &mut ChaCha8Rng, to: &mut LoadEstimator) {
    let mut order: Vec<u64> = (1..=size.experts as u64).collect();
    let flatness = rng.random_range(0..20);
    let mut layer = || {
        order.shuffle(rng);
        let tokens = |position: &u64| 100_000 / (position + flatness);
        order.iter().map(tokens).collect()
    };
    let report = LoadReport {
        steps: (Step(2 * round + 1), Step(2 * round + 2)),
        expert_tokens: (0..size.layers).map(|_| layer()).collect(),
        ..LoadReport::default()
    };
    to.record_report(Rank(0), &report);
    for rank in 0..size.ranks {
        let permille = match rng.random_range(0..8) {
            0 => rng.random_range(1000_u32..2000),
            _ => 1000,
        };
        to.set_rank_cost(Rank(rank as u64), f64::from(permille) / 1e3);
    }
    to.close_interval();
}

fn random_cost(size: Dimensions, rng: &mut ChaCha8Rng) -> CopyCost {
    let prices = [0.0, 0.5, 1.5, 6.0];
    CopyCost {
        copy_time: size.copy_time,
        switch_time: Duration::from_millis(400),
        demand_life: Duration::from_millis(rng.random_range(1500..12_000)),
        slowdown: 0.15,
        price: prices[rng.random_range(0..prices.len())] / (size.layers * size.experts) as f64,
        switch_price: 0.2,
        optimism: 0.02,
        rise: 0.2,
        usual_life: Duration::from_secs(6),
        copying_fraction_max: 0.3,
    }
}

fn describe(plan: Option<&Plan>, text: &mut String) {
    let Some(plan) = plan else {
        text.push_str("none\n");
        return;
    };
    writeln!(
        text,
        "{:?} {:x} {:x} {:x} {} {} {} {} {}",
        plan.layers,
        plan.skew.0.to_bits(),
        plan.skew.1.to_bits(),
        plan.saved_seconds.to_bits(),
        plan.bytes_to_load.0,
        plan.loading_ranks,
        plan.copies_of_busiest_rank,
        plan.under_replicated_experts,
        plan.truncated,
    )
    .unwrap();
}

/// Describes the plans for a random problem: placed at first, improved by copies while ranks run, at an
/// interval and by force, and placed again after a rank is lost.
fn describe_problem(size: Dimensions, seed: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let planner = planner(size);
    let all: Vec<Rank> = (0..size.ranks as u64).map(Rank).collect();
    let mut text = String::new();
    let mut loads = LoadEstimator::new(0.7);
    record_random_loads(size, 0, &mut rng, &mut loads);
    let first = planner.plan(&loads, None, &all, Reason::RanksChanged);
    describe(first.as_ref(), &mut text);
    let mut active: ExpertPlacement = first.unwrap().layers;
    for round in 1..=ROUNDS {
        record_random_loads(size, round as u64, &mut rng, &mut loads);
        let cost = random_cost(size, &mut rng);
        let copied = planner.plan_copies(&loads, &active, &all, &cost);
        describe(copied.as_ref(), &mut text);
        let improved = planner.plan(&loads, Some(&active), &all, Reason::Interval);
        describe(improved.as_ref(), &mut text);
        let forced = planner.plan(&loads, Some(&active), &all, Reason::Forced);
        describe(forced.as_ref(), &mut text);
        let lost = Rank(rng.random_range(0..size.ranks as u64));
        let rest: Vec<Rank> = all.iter().copied().filter(|rank| *rank != lost).collect();
        let repaired = planner.plan(&loads, Some(&active), &rest, Reason::RanksChanged);
        describe(repaired.as_ref(), &mut text);
        if let Some(repaired) = repaired {
            let copied = planner.plan_copies(&loads, &repaired.layers, &rest, &cost);
            describe(copied.as_ref(), &mut text);
        }
        writeln!(
            text,
            "{:x} {:x}",
            planner.skew(&loads, &active, &all).to_bits(),
            planner.latest_skew(&loads, &active, &all).to_bits(),
        )
        .unwrap();
        let next = [copied, improved, forced].into_iter().flatten().next();
        if let Some(plan) = next {
            active = plan.layers;
        }
    }
    text
}

fn assert_recorded(name: &str, sizes: &[Dimensions], seeds: std::ops::Range<u64>) {
    let mut actual = String::new();
    for seed in seeds {
        let size = sizes[seed as usize % sizes.len()];
        let digest = Sha256::of(describe_problem(size, seed).as_bytes());
        writeln!(actual, "{name} {seed} {digest}").unwrap();
    }
    let is_of_name = |line: &&str| line.split(' ').next() == Some(name);
    let recorded: Vec<&str> = RECORDED.lines().filter(is_of_name).collect();
    assert_eq!(recorded.join("\n"), actual.trim_end());
}

#[test]
fn plans_of_small_groups_match_the_recorded_digests() {
    let two_hosts = Dimensions {
        slots: 5,
        min_hosts_per_expert: 2,
        ranks_per_host: 2,
        ..SMALL
    };
    let unlimited = Dimensions {
        slots: 3,
        max_new_experts: usize::MAX >> 8,
        ..SMALL
    };
    let small = Dimensions {
        ranks: 5,
        layers: 3,
        experts: 7,
        slots: 2,
        ..SMALL
    };
    assert_recorded("small", &[SMALL, two_hosts, unlimited, small], 0..40);
}

#[test]
fn plans_of_medium_groups_match_the_recorded_digests() {
    let two_hosts = Dimensions {
        slots: 9,
        min_hosts_per_expert: 2,
        ranks_per_host: 3,
        ..MEDIUM
    };
    assert_recorded("medium", &[MEDIUM, MEDIUM, two_hosts], 0..12);
}

#[test]
fn plans_of_a_large_group_match_the_recorded_digest() {
    assert_recorded("large", &[LARGE], 0..1);
}
