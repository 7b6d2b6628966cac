//! Tests of the estimated loads while demand changes: a plan for a mixture of two demands fits neither, and
//! noise that passes for a change makes maps switch for nothing.

use eelgrassdyke_core::id::{Rank, Step};
use eelgrassdyke_core::wire::group::LoadReport;
use eelgrassdyke_group::load::{Demand, LoadEstimator};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const EXPERTS: usize = 96;

/// Tokens of a rank in an interval.
const TOKENS: f64 = 100_000.0;

/// Largest difference between the share of an expert in an interval and in the demand.
const NOISE: f64 = 0.003;

/// Shares of experts of which the first positions of `order` are chosen most.
fn shares(order: &[usize]) -> Vec<f64> {
    let weight = |position: usize| ((position + 1) as f64).powf(-1.3);
    let sum: f64 = (0..EXPERTS).map(weight).sum();
    let mut shares = vec![0.0; EXPERTS];
    for (position, expert) in order.iter().enumerate() {
        shares[*expert] = weight(position) / sum;
    }
    shares
}

fn first_demand() -> Vec<f64> {
    shares(&(0..EXPERTS).collect::<Vec<_>>())
}

/// A demand in which other experts are chosen most, but the third keeps its place.
fn second_demand() -> Vec<f64> {
    let mut order: Vec<usize> = (0..EXPERTS).rev().collect();
    let position = order.iter().position(|expert| *expert == 2).unwrap();
    order.swap(2, position);
    shares(&order)
}

struct Group {
    loads: LoadEstimator,
    step: Step,
    rng: ChaCha8Rng,
}

impl Group {
    /// A group that has run 20 intervals with the first demand.
    fn new(seed: u64) -> Self {
        let mut group = Self {
            loads: LoadEstimator::adaptive(),
            step: Step(0),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for _ in 0..20 {
            assert_eq!(group.run(&first_demand()), Demand::Steady);
        }
        group
    }

    /// Runs an interval whose shares differ from these by up to [`NOISE`].
    fn run(&mut self, shares: &[f64]) -> Demand {
        self.step = self.step.next();
        let mut tokens = Vec::new();
        for share in shares {
            let noise = self.rng.random_range(-NOISE..NOISE);
            tokens.push(((share + noise).max(0.0) * TOKENS) as u64);
        }
        let report = LoadReport {
            steps: (self.step, self.step),
            expert_tokens: vec![tokens],
            ..LoadReport::default()
        };
        self.loads.record_report(Rank(0), &report);
        self.loads.close_interval()
    }

    /// Largest difference between the estimated shares and these.
    fn error(&self, shares: &[f64]) -> f64 {
        let loads = &self.loads.expert_loads()[0];
        let sum: f64 = loads.iter().sum();
        let errors = loads.iter().zip(shares);
        let errors = errors.map(|(load, share)| (load / sum - share).abs());
        errors.fold(0.0, f64::max)
    }
}

fn mixture(former: f64) -> Vec<f64> {
    let (first, second) = (first_demand(), second_demand());
    let pairs = first.iter().zip(&second);
    pairs
        .map(|(first, second)| former * first + (1.0 - former) * second)
        .collect()
}

/// An interval that shows a bit of the former demand shows the new one nevertheless.
#[test_case(0.0)]
#[test_case(0.2)]
#[test_case(0.4)]
fn the_rest_of_the_former_demand_is_left_out(former: f64) {
    for seed in 0..20 {
        let mut group = Group::new(seed);
        assert_eq!(group.run(&mixture(former)), Demand::Changed, "seed {seed}");
        let error = group.error(&second_demand());
        assert!(error < 0.04, "seed {seed}: {error}");
    }
}

/// An interval that shows mostly the former demand leaves the loads alone; the next one shows the change.
#[test_case(0.6)]
#[test_case(0.8)]
fn a_mixture_with_mostly_the_former_demand_is_not_planned_for(former: f64) {
    for seed in 0..20 {
        let mut group = Group::new(seed);
        assert_eq!(group.run(&mixture(former)), Demand::Changing, "seed {seed}");
        assert!(group.error(&first_demand()) < 0.02, "seed {seed}");
        assert_eq!(group.run(&second_demand()), Demand::Changed, "seed {seed}");
        assert!(group.error(&second_demand()) < 0.04, "seed {seed}");
    }
}

/// Demand that moves in part, and stays so, is taken over with the second interval.
#[test]
fn a_demand_between_the_two_is_taken_over_in_the_second_interval() {
    let mut group = Group::new(1);
    let between = mixture(0.7);
    assert_eq!(group.run(&between), Demand::Changing);
    assert_eq!(group.run(&between), Demand::Changed);
    assert!(group.error(&between) < 0.02);
}

/// A single interval in which some requests chose other experts does not shift the loads by a quarter of
/// that any more once many intervals are known.
#[test]
fn a_burst_hardly_shifts_the_loads_of_a_steady_demand() {
    let mut group = Group::new(1);
    let mut burst = first_demand();
    burst[50] += 0.01;
    assert_eq!(group.run(&burst), Demand::Steady);
    assert!(group.error(&first_demand()) < 0.005);
}
