//! Placeholder.
#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod model;
