//! Prints the processor time of `Planner::plan_copies` for two sizes of a group.
//!
//! `cargo run --release -p eelgrassdyke-group --example plan_cost`

use std::fs;
use std::time::Duration;

use eelgrassdyke_core::config::GroupSpec;
use eelgrassdyke_core::id::{Rank, Step};
use eelgrassdyke_core::unit::{ByteRate, Bytes};
use eelgrassdyke_core::wire::group::LoadReport;
use eelgrassdyke_group::cost::{COPYING_FRACTION_MAX, CopyCost};
use eelgrassdyke_group::load::LoadEstimator;
use eelgrassdyke_group::plan::{Options, Planner, RankLocation, Reason};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of random problems of each size.
const PROBLEMS: u64 = 12;

/// Number of plans for each problem.
const REPEATS: u32 = 5;

/// Dimensions of a group, and how long a rank copies an expert.
#[derive(Clone, Copy)]
struct Dimensions {
    ranks: usize,
    layers: usize,
    experts: usize,
    slots: u32,
    max_new_experts: usize,
    copy_time: Duration,
}

/// Processor time of this thread. The wall time would include that of other processes.
fn processor_time() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    Duration::from_nanos(nanos.expect("the kernel reports the processor time of threads"))
}

fn planner(size: Dimensions) -> Planner {
    let spec = GroupSpec {
        service: "draft".parse().expect("a valid name"),
        ranks: Default::default(),
        experts: size.experts as u32,
        layers: size.layers as u32,
        slots: size.slots,
        expert_bytes: Bytes(20 << 20),
        store_rate: ByteRate(1 << 30),
        skew_weight: 1,
        move_weight: 1,
        frozen: false,
    };
    let options = Options {
        max_new_experts: size.max_new_experts,
        min_hosts_per_expert: 1,
        ..Options::default()
    };
    let location = |rank: usize| RankLocation {
        data_centre: "hobart".parse().expect("a valid name"),
        host: format!("host-{rank}").parse().expect("a valid name"),
    };
    Planner::new(spec, (0..size.ranks).map(location).collect(), options)
}

/// Loads in which the popularity of an expert falls with its position in a random order.
fn random_loads(size: Dimensions, rng: &mut ChaCha8Rng) -> LoadEstimator {
    let mut order: Vec<u64> = (1..=size.experts as u64).collect();
    let mut layer = || {
        order.shuffle(rng);
        order.iter().map(|position| 100_000 / position).collect()
    };
    let report = LoadReport {
        steps: (Step(1), Step(1)),
        expert_tokens: (0..size.layers).map(|_| layer()).collect(),
        ..LoadReport::default()
    };
    let mut loads = LoadEstimator::adaptive();
    loads.record_report(Rank(0), &report);
    for rank in 0..size.ranks {
        loads.set_rank_cost(
            Rank(rank as u64),
            f64::from(rng.random_range(980_u32..1020)) / 1e3,
        );
    }
    loads.close_interval();
    loads
}

fn main() {
    let small = Dimensions {
        ranks: 24,
        layers: 16,
        experts: 96,
        slots: 5,
        max_new_experts: 2,
        copy_time: Duration::from_millis(35),
    };
    let large = Dimensions {
        ranks: 129,
        layers: 16,
        experts: 258,
        slots: 3,
        max_new_experts: 2,
        copy_time: Duration::from_millis(3),
    };
    println!("processor time of a plan, {PROBLEMS} random problems, {REPEATS} plans each");
    for size in [small, large] {
        let planner = planner(size);
        let members: Vec<Rank> = (0..size.ranks as u64).map(Rank).collect();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let cost = CopyCost {
            copy_time: size.copy_time,
            switch_time: Duration::from_millis(400),
            demand_life: Duration::from_secs(6),
            slowdown: 0.15,
            price: 1.5 / (size.layers * size.experts) as f64,
            switch_price: 0.2,
            optimism: 0.0,
            rise: 0.2,
            copying_fraction_max: COPYING_FRACTION_MAX,
            usual_life: Duration::from_secs(6),
        };
        let (mut total, mut longest) = (Duration::ZERO, Duration::ZERO);
        let (mut copies, mut saved_seconds) = (0, 0.0);
        for _ in 0..PROBLEMS {
            let placed = planner
                .plan(
                    &random_loads(size, &mut rng),
                    None,
                    &members,
                    Reason::RanksChanged,
                )
                .expect("the slots hold all experts");
            let loads = random_loads(size, &mut rng);
            let started = processor_time();
            let mut last = None;
            for _ in 0..REPEATS {
                last = planner.plan_copies(&loads, &placed.layers, &members, &cost);
            }
            let elapsed = (processor_time() - started) / REPEATS;
            total += elapsed;
            longest = longest.max(elapsed);
            if let Some(plan) = last {
                copies += plan.bytes_to_load.0 >> 20;
                saved_seconds += plan.saved_seconds;
            }
        }
        println!(
            "{} ranks x {} layers x {} experts: mean {:.2} ms, longest {:.2} ms, {:.1} experts copied, {:.3} s saved",
            size.ranks,
            size.layers,
            size.experts,
            total.as_secs_f64() * 1e3 / PROBLEMS as f64,
            longest.as_secs_f64() * 1e3,
            copies as f64 / 20.0 / PROBLEMS as f64,
            saved_seconds / PROBLEMS as f64,
        );
    }
}
