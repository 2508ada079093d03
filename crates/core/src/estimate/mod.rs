//! What is learned from finished work: rates, transfer times, and servers to keep away from.
//!
//! Every estimate starts from a prior, moves by a bounded step with each sample, and so is neither
//! led astray by one outlier nor quick to trust a server that has just appeared.

pub mod bounded_mean;
pub mod ejected_servers;
pub mod estimates;

pub use bounded_mean::BoundedMean;
pub use ejected_servers::EjectedServers;
pub use estimates::{Estimates, uncontended_transfer_ms};
