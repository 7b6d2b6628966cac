//! End-to-end tests of the whole system: a scenario language, fault-injecting relays, a load tool and
//! a simulation of the request path.
//!
//! Nothing here is shipped. Scenarios run the real binaries on loopback with a [`relay`] in front of
//! each process, and compare the responses that a scripted caller got with the execution logs of the
//! stand-ins. Steps wait for conditions instead of fixed times, so results don't depend on the speed
//! of the machine.
#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod caller;
pub mod errors;
pub mod fleet;
pub mod load;
pub mod model;
pub mod relay;
pub mod scenario;
pub mod site;

/// The examples of docs/EMBEDDING.md, which the doc tests compile and run.
#[cfg(doctest)]
#[doc = include_str!("../../../docs/EMBEDDING.md")]
pub struct Embedding;
