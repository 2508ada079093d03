//! What is learned from finished work: rates, transfer times, and servers to keep away from.
//!
//! Every estimate starts from a prior, moves by a bounded step with each sample, and so is neither
//! led astray by one outlier nor quick to trust a server that has just appeared.

pub mod bounded_mean;
pub mod estimates;
pub mod suspects;

pub use bounded_mean::BoundedMean;
pub use estimates::{Estimates, alone_transfer_ms};
pub use suspects::Suspects;
