//! Estimates learned from finished work: processing rates, transfer times and failing servers.
//!
//! Rates and transfer times start from a prior and move by a bounded step with each sample, so that
//! a single outlier has little effect and a server that has just appeared is not trusted quickly.

pub mod bounded_mean;
pub mod ejected_servers;
pub mod estimates;

pub use bounded_mean::BoundedMean;
pub use ejected_servers::EjectedServers;
pub use estimates::{Estimates, uncontended_transfer_ms};
