//! Prints the step-time skew and the rebalancing cost of the planner and of two baseline policies.
//!
//! `cargo run --release -p eelgrassdyke-group --example measure`

use std::time::Instant;

use eelgrassdyke_core::config::GroupSpec;
use eelgrassdyke_core::id::{Rank, Version};
use eelgrassdyke_core::unit::{ByteRate, Bytes};
use eelgrassdyke_core::wire::group::{ExpertMap, ExpertPlacement};
use eelgrassdyke_group::load::LoadEstimator;
use eelgrassdyke_group::plan::{Options, Planner, RankLocation, Reason, experts_to_load};
use eelgrassdyke_standin::group::{Group, Pattern};

const STEPS: u64 = 6000;
const INTERVAL_STEPS: u64 = 100;
/// Interval between measured steps.
const SAMPLE_STEPS: u64 = 10;

const RANKS_PER_HOST: usize = 2;
const EXPERT_BYTES: u64 = 20 << 20;

/// Number of steps from a plan until its map is active. The group runs with the old map meanwhile, without a stall.
const SWITCH_STEPS: u64 = 40;

/// How the map is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// The initial placement, unless a rank is lost.
    Static,
    /// A new placement from scratch at every interval, regardless of the weights to load.
    Greedy,
    /// The planner with skew weight 4 and move weight 1.
    Huon,
    /// The planner with skew weight 1 and move weight 4.
    Pauta,
}

/// Dimensions of a group.
#[derive(Clone, Copy)]
struct Dimensions {
    ranks: usize,
    experts: usize,
    layers: usize,
    slots: u32,
}

/// Totals of a run.
#[derive(Default)]
struct Totals {
    slowest: f64,
    mean: f64,
    bytes_loaded: u64,
    plans: u64,
    /// Steps in which the slowest rank took more than 1.5 times the mean time.
    slow_steps: u64,
}

fn spec(size: Dimensions, policy: Policy) -> GroupSpec {
    let (skew_weight, move_weight) = match policy {
        Policy::Pauta => (1, 4),
        _ => (4, 1),
    };
    GroupSpec {
        service: "draft".parse().expect("a valid name"),
        ranks: Default::default(),
        experts: size.experts as u32,
        layers: size.layers as u32,
        slots: size.slots,
        expert_bytes: Bytes(EXPERT_BYTES),
        store_rate: ByteRate(1 << 30),
        skew_weight,
        move_weight,
        frozen: false,
    }
}

fn locations(ranks: usize) -> Vec<RankLocation> {
    let location = |rank: usize| RankLocation {
        data_centre: "hobart".parse().expect("a valid name"),
        host: format!("host-{}", rank / RANKS_PER_HOST)
            .parse()
            .expect("a valid name"),
    };
    (0..ranks).map(location).collect()
}

fn run(size: Dimensions, pattern: Pattern, policy: Policy) -> Totals {
    let planner = Planner::new(
        spec(size, policy),
        locations(size.ranks),
        Options::default(),
    );
    let mut group = Group::new(pattern, size.ranks, size.experts, size.layers, STEPS);
    let mut loads = LoadEstimator::default();
    let mut members: Vec<Rank> = (0..size.ranks as u64).map(Rank).collect();
    let first = planner
        .plan(&loads, None, &members, Reason::RanksChanged)
        .expect("the slots hold all experts");
    let mut map = ExpertMap {
        version: Version(1),
        layers: first.layers,
    };
    // Every policy starts with a placement for the load before the first measured step.
    record_reports(&group, &mut loads, &members, 1, 1, &map);
    let placed = planner.plan(&loads, None, &members, Reason::RanksChanged);
    map.layers = placed.expect("the slots hold all experts").layers;
    let mut totals = Totals::default();
    let mut next: Option<(u64, ExpertPlacement)> = None;
    for step in 1..=STEPS {
        let alive: Vec<Rank> = (0..size.ranks)
            .filter(|rank| group.speed(*rank, step) > 0.0)
            .map(|rank| Rank(rank as u64))
            .collect();
        if alive != members {
            members = alive;
            let plan = planner.plan(&loads, Some(&map.layers), &members, Reason::RanksChanged);
            let plan = plan.expect("the slots hold all experts");
            totals.bytes_loaded += plan.bytes_to_load.0;
            map.layers = plan.layers;
            map.version = map.version.next();
            next = None;
        }
        if let Some((_, layers)) = next.take_if(|(at, _)| *at == step) {
            map.layers = layers;
            map.version = map.version.next();
        }
        if !step.is_multiple_of(SAMPLE_STEPS) {
            continue;
        }
        let time = group.run(step, &map);
        totals.slowest += time.slowest;
        totals.mean += time.mean;
        totals.slow_steps += SAMPLE_STEPS * u64::from(time.slowest > 1.5 * time.mean);
        if !step.is_multiple_of(INTERVAL_STEPS) {
            continue;
        }
        record_reports(
            &group,
            &mut loads,
            &members,
            step - INTERVAL_STEPS + 1,
            step,
            &map,
        );
        let plan = match policy {
            Policy::Static => None,
            Policy::Greedy => planner.plan(&loads, None, &members, Reason::RanksChanged),
            _ => planner.plan(&loads, Some(&map.layers), &members, Reason::Interval),
        };
        if let Some(plan) = plan {
            totals.bytes_loaded += experts_to_load(Some(&map.layers), &plan.layers)
                .iter()
                .sum::<u64>()
                * EXPERT_BYTES;
            totals.plans += 1;
            next = Some((step + SWITCH_STEPS, plan.layers));
        }
    }
    totals
}

fn record_reports(
    group: &Group,
    loads: &mut LoadEstimator,
    members: &[Rank],
    first: u64,
    last: u64,
    map: &ExpertMap,
) {
    for rank in members {
        loads.record_report(*rank, &group.seen(rank.0 as usize, first, last, map));
    }
    loads.close_interval();
}

fn table(title: &str, size: Dimensions) {
    println!("\n{title}");
    println!("pattern    policy   skew   excess  moved GiB  plans  steps over 1.5 mean");
    for pattern in [
        Pattern::Drift,
        Pattern::Burst,
        Pattern::Season,
        Pattern::Straggler,
        Pattern::Lost,
    ] {
        for policy in [Policy::Static, Policy::Greedy, Policy::Huon, Policy::Pauta] {
            let totals = run(size, pattern, policy);
            let skew = totals.slowest / totals.mean;
            println!(
                "{:<10} {:<8} {:.3}  {:.3}  {:>9.1}  {:>5}  {:>5}",
                format!("{pattern:?}"),
                format!("{policy:?}"),
                skew,
                skew - 1.0,
                totals.bytes_loaded as f64 / (1_u64 << 30) as f64,
                totals.plans,
                totals.slow_steps,
            );
        }
    }
}

fn planning_time() {
    let size = Dimensions {
        ranks: 64,
        experts: 64,
        layers: 60,
        slots: 3,
    };
    for pattern in [Pattern::Drift, Pattern::Burst, Pattern::Straggler] {
        let planner = Planner::new(spec(size, Policy::Huon), locations(64), Options::default());
        let group = Group::new(pattern, 64, 64, 60, STEPS);
        let members: Vec<Rank> = (0..64).map(Rank).collect();
        let mut loads = LoadEstimator::default();
        let map = ExpertMap {
            version: Version(1),
            layers: planner
                .plan(&loads, None, &members, Reason::RanksChanged)
                .expect("the slots hold all experts")
                .layers,
        };
        record_reports(&group, &mut loads, &members, 1, 1, &map);
        let started = Instant::now();
        let placed = planner.plan(&loads, None, &members, Reason::RanksChanged);
        let first = started.elapsed();
        let layers = placed.expect("the slots hold all experts").layers;
        record_reports(&group, &mut loads, &members, STEPS - 99, STEPS, &map);
        let started = Instant::now();
        let plan = planner.plan(&loads, Some(&layers), &members, Reason::Interval);
        println!(
            "{pattern:?}: first placement {:.1} ms, next plan {:.1} ms, {} loads",
            first.as_secs_f64() * 1e3,
            started.elapsed().as_secs_f64() * 1e3,
            plan.map_or(0, |plan| plan.bytes_to_load.0 / EXPERT_BYTES),
        );
    }
}

fn main() {
    println!("planning 64 ranks, 64 experts, 60 layers");
    planning_time();
    let medium = Dimensions {
        ranks: 12,
        experts: 24,
        layers: 8,
        slots: 6,
    };
    table("12 ranks, 24 experts, 8 layers, 6 slots", medium);
    let large = Dimensions {
        ranks: 64,
        experts: 64,
        layers: 4,
        slots: 3,
    };
    table("64 ranks, 64 experts, 4 layers, 3 slots", large);
}
