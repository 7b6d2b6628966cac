//! Runtime that drives the eelgrassdyke state machines.
//!
//! The state machines (cores) make all decisions and do no I/O. This crate does the I/O: it reads
//! sockets, files and clocks, passes the inputs to the cores and executes their outputs. All tasks
//! run on one thread on `monoio`'s legacy driver, which is selected explicitly because the
//! library's default may choose io_uring.
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
pub mod shares;
pub mod timeline;

pub use node::Node;
