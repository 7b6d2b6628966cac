//! Prints step-time skew and rebalancing cost of the planner beside its baselines.
//!
//! `cargo run --release -p eelgrassdyke-group --example measure`

use std::time::Instant;

use eelgrassdyke_core::config::GroupSpec;
use eelgrassdyke_core::id::{Rank, Version};
use eelgrassdyke_core::unit::{ByteRate, Bytes};
use eelgrassdyke_core::wire::group::{ExpertMap, ExpertPlacement};
use eelgrassdyke_group::load::Loads;
use eelgrassdyke_group::plan::{Options, Planner, Reason, Site, loaded};
use eelgrassdyke_standin::group::{Group, Pattern};

const STEPS: u64 = 6000;
const INTERVAL_STEPS: u64 = 100;
/// Steps between two that are measured.
const SAMPLE_STEPS: u64 = 10;

const RANKS_PER_HOST: usize = 2;
const EXPERT_BYTES: u64 = 20 << 20;

/// Steps from the first answer to a prepare until the switch, during which nothing is lost.
const SWITCH_STEPS: u64 = 40;

/// How the map is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    Static,
    Greedy,
    Huon,
    Pauta,
}

/// Sizes of a group.
#[derive(Clone, Copy)]
struct Size {
    ranks: usize,
    experts: usize,
    layers: usize,
    slots: u32,
}

/// What a run came to.
#[derive(Default)]
struct Sum {
    slowest: f64,
    mean: f64,
    moved: u64,
    plans: u64,
    late: u64,
}

fn spec(size: Size, policy: Policy) -> GroupSpec {
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

fn sites(ranks: usize) -> Vec<Site> {
    let site = |rank: usize| Site {
        data_centre: "hobart".parse().expect("a valid name"),
        host: format!("host-{}", rank / RANKS_PER_HOST)
            .parse()
            .expect("a valid name"),
    };
    (0..ranks).map(site).collect()
}

fn run(size: Size, pattern: Pattern, policy: Policy) -> Sum {
    let planner = Planner::new(spec(size, policy), sites(size.ranks), Options::default());
    let mut group = Group::new(pattern, size.ranks, size.experts, size.layers, STEPS);
    let mut loads = Loads::default();
    let mut members: Vec<Rank> = (0..size.ranks as u64).map(Rank).collect();
    let first = planner
        .plan(&loads, None, &members, Reason::Ranks)
        .expect("the slots hold all experts");
    let mut map = ExpertMap {
        version: Version(1),
        layers: first.layers,
    };
    // Before the first measured step, each policy has seen the load and placed for it.
    report(&group, &mut loads, &members, 1, 1, &map);
    let placed = planner.plan(&loads, None, &members, Reason::Ranks);
    map.layers = placed.expect("the slots hold all experts").layers;
    let mut sum = Sum::default();
    let mut next: Option<(u64, ExpertPlacement)> = None;
    for step in 1..=STEPS {
        let alive: Vec<Rank> = (0..size.ranks)
            .filter(|rank| group.speed(*rank, step) > 0.0)
            .map(|rank| Rank(rank as u64))
            .collect();
        if alive != members {
            members = alive;
            let plan = planner.plan(&loads, Some(&map.layers), &members, Reason::Ranks);
            let plan = plan.expect("the slots hold all experts");
            sum.moved += plan.moved.0;
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
        let time = group.run_step(step, &map);
        sum.slowest += time.slowest;
        sum.mean += time.mean;
        sum.late += SAMPLE_STEPS * u64::from(time.slowest > 1.5 * time.mean);
        if !step.is_multiple_of(INTERVAL_STEPS) {
            continue;
        }
        report(
            &group,
            &mut loads,
            &members,
            step - INTERVAL_STEPS + 1,
            step,
            &map,
        );
        let plan = match policy {
            Policy::Static => None,
            Policy::Greedy => planner.plan(&loads, None, &members, Reason::Ranks),
            _ => planner.plan(&loads, Some(&map.layers), &members, Reason::Interval),
        };
        if let Some(plan) = plan {
            sum.moved += loaded(Some(&map.layers), &plan.layers).iter().sum::<u64>() * EXPERT_BYTES;
            sum.plans += 1;
            next = Some((step + SWITCH_STEPS, plan.layers));
        }
    }
    sum
}

fn report(
    group: &Group,
    loads: &mut Loads,
    members: &[Rank],
    first: u64,
    last: u64,
    map: &ExpertMap,
) {
    for rank in members {
        loads.hear(*rank, &group.load_report(rank.0 as usize, first, last, map));
    }
    loads.roll();
}

fn table(title: &str, size: Size) {
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
            let sum = run(size, pattern, policy);
            let skew = sum.slowest / sum.mean;
            println!(
                "{:<10} {:<8} {:.3}  {:.3}  {:>9.1}  {:>5}  {:>5}",
                format!("{pattern:?}"),
                format!("{policy:?}"),
                skew,
                skew - 1.0,
                sum.moved as f64 / (1_u64 << 30) as f64,
                sum.plans,
                sum.late,
            );
        }
    }
}

fn planning_time() {
    let size = Size {
        ranks: 64,
        experts: 64,
        layers: 60,
        slots: 3,
    };
    for pattern in [Pattern::Drift, Pattern::Burst, Pattern::Straggler] {
        let planner = Planner::new(spec(size, Policy::Huon), sites(64), Options::default());
        let group = Group::new(pattern, 64, 64, 60, STEPS);
        let members: Vec<Rank> = (0..64).map(Rank).collect();
        let mut loads = Loads::default();
        let map = ExpertMap {
            version: Version(1),
            layers: planner
                .plan(&loads, None, &members, Reason::Ranks)
                .expect("the slots hold all experts")
                .layers,
        };
        report(&group, &mut loads, &members, 1, 1, &map);
        let started = Instant::now();
        let placed = planner.plan(&loads, None, &members, Reason::Ranks);
        let first = started.elapsed();
        let layers = placed.expect("the slots hold all experts").layers;
        report(&group, &mut loads, &members, STEPS - 99, STEPS, &map);
        let started = Instant::now();
        let plan = planner.plan(&loads, Some(&layers), &members, Reason::Interval);
        println!(
            "{pattern:?}: first placement {:.1} ms, next plan {:.1} ms, {} loads",
            first.as_secs_f64() * 1e3,
            started.elapsed().as_secs_f64() * 1e3,
            plan.map_or(0, |plan| plan.moved.0 / EXPERT_BYTES),
        );
    }
}

fn main() {
    println!("planning 64 ranks, 64 experts, 60 layers");
    planning_time();
    let today = Size {
        ranks: 12,
        experts: 24,
        layers: 8,
        slots: 6,
    };
    table("12 ranks, 24 experts, 8 layers, 6 slots", today);
    let large = Size {
        ranks: 64,
        experts: 64,
        layers: 4,
        slots: 3,
    };
    table("64 ranks, 64 experts, 4 layers, 3 slots", large);
}
