//! Expert maps of rank groups: planning and switching.
//!
//! The ranks of a group run their steps together, and all of them must use the same expert map in a
//! step. [`standing`] holds the durable state of a group, which only decisions of the replicated log
//! change. [`switch`] runs in the leader of the log and switches a group from one map to the next.
//! [`gate`] runs in the agent of each rank and grants steps to its engine. [`plan`] computes the next
//! map from the smoothed loads of [`load`], layer by layer ([`layer`]);
//! [`copies`] does so for ranks that copy experts while they run.
//!
//! [`barrier`] replaces [`switch`] and [`gate`] for engines that activate a map themselves at a given
//! step.
//!
//! This crate performs no I/O and reads no clock: inputs and times are passed in, and outputs are
//! returned.
#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod barrier;
pub mod copies;
pub mod cost;
pub mod forecast;
pub mod gate;
pub mod layer;
pub mod load;
pub mod plan;
mod problem;
pub mod standing;
pub mod switch;
