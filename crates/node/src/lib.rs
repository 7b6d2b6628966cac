//! Runtime shell that drives the eelgrassdyke cores.
//!
//! The cores decide; this crate reads sockets and clocks, hands what it read to the cores and
//! carries out what they answer. One thread runs everything on `monoio`'s legacy driver, chosen
//! explicitly, because the library's default may pick io_uring.
#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod adapter;
pub mod clock;
pub mod disk;
pub mod driver;
pub mod errors;
pub mod gauges;
pub mod http;
pub mod latency;
pub mod log;
pub mod mail;
pub mod node;
pub mod operator;
pub mod peer;
pub mod process;
pub mod role;
pub mod runtime;
pub mod secret;
pub mod timeline;

pub use node::Node;
