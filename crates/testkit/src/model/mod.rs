//! A model of the request path in one process, with injected time.
//!
//! [`World`] drives the real entry and agent cores before modelled engines, or a naive balancer
//! before the same engines, under the same load. It measures decisions; it says nothing about
//! sockets, disks or processors.

mod engine;
mod load;
mod naive;
pub mod policy;
mod world;

pub use engine::{Engine, Options as EngineOptions, Sequence, Token};
pub use load::{Demand, Record, draw, tokens_mean};
pub use naive::{Choice, Naive};
pub use world::{Options, Outcome, World};

use std::time::Duration;

/// The value at `part` of the readings, in seconds; zero when there are none.
pub fn quantile(readings: &mut [Duration], part: f64) -> f64 {
    if readings.is_empty() {
        return 0.0;
    }
    readings.sort();
    let at = (part * (readings.len() - 1) as f64).round() as usize;
    readings[at].as_secs_f64()
}
