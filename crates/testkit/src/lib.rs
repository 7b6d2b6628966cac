//! Trials of the whole system: relay links, a scenario language and a load tool.
//!
//! Nothing here is shipped. Scenarios run the real binaries on loopback, put a [`relay`] before each
//! process, and compare what a scripted caller was told with what the stand-ins ran. Verdicts wait
//! for conditions and never depend on how fast the machine is.
#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod caller;
pub mod errors;
pub mod load;
pub mod model;
pub mod relay;
pub mod scenario;
pub mod site;

/// The examples of docs/EMBEDDING.md, which the documentation tests compile and run.
#[cfg(doctest)]
#[doc = include_str!("../../../docs/EMBEDDING.md")]
pub struct Embedding;
