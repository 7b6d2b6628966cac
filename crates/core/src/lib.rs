//! Shared types of the eelgrassdyke load balancer.
//!
//! Every other crate of the workspace depends on this one. It defines identifiers, units, clock
//! types, the operators' configuration document, the settings of a process, the messages between
//! processes and the numbered events of the timeline. Apart from reading the settings files, nothing
//! here performs I/O; nothing reads a clock or holds global state.
#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod macros;

pub mod books;
pub mod config;
pub mod crash;
pub mod digest;
pub mod event;
pub mod follow;
pub mod id;
pub mod jsonc;
pub mod limit;
pub mod settings;
pub mod time;
pub mod unit;
pub mod wire;
