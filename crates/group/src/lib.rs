//! Expert maps of rank groups: planning and switching.
//!
//! The ranks of a group run in lock-step, and in every step all of them must use one and the same
//! expert map. [`standing`] is the durable state of a group, changed by decisions of the replicated
//! log only. [`switch`] runs in the control leader and brings a group from one map to the next;
//! [`gate`] runs in the agent of each rank and grants its engine steps in short runs. [`plan`]
//! decides which map comes next, from the smoothed [`load`] and layer by layer ([`layer`]).
//!
//! [`barrier`] takes the place of [`switch`] and [`gate`] for engines that go over to a map by
//! themselves at a step that they were told.
//!
//! Nothing here performs I/O or reads a clock: inputs and instants come in, outputs go out.
#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod barrier;
pub mod gate;
pub mod layer;
pub mod load;
pub mod plan;
pub mod standing;
pub mod switch;
