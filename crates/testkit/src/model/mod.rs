//! A discrete-event simulation of the request path, to compare load-balancing policies.
//!
//! [`Simulation`] runs the real state machines of entries and agents in front of simulated engines;
//! [`NaiveBalancer`] runs a simple balancer in front of the same engines, under the same load. The
//! results measure the decisions; they don't include the cost of sockets, disks or processors.

pub mod crash;
mod engine;
pub mod group;
pub mod limit;
mod load;
mod naive;
pub mod policy;
mod world;

pub use engine::{Engine, Options as EngineOptions, Sequence, Token};
pub use load::{Demand, RequestRecord, generate_requests, mean_response_tokens};
pub use naive::{NaiveBalancer, ServerChoice};
pub use world::{Options, Simulation, SimulationOutcome};

use std::time::Duration;

/// Sorts the samples and returns the value at `quantile`, a fraction, in seconds; zero if there are
/// no samples.
pub fn quantile_s(samples: &mut [Duration], quantile: f64) -> f64 {
    if samples.is_empty() {
        return 0.0;
    }
    samples.sort();
    let index = (quantile * (samples.len() - 1) as f64).round() as usize;
    samples[index].as_secs_f64()
}
