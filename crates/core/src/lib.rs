//! Decisions and coordination of turmericrail.
//!
//! Every type here is a plain state machine: the time, events and random seeds are arguments, and
//! actions are return values. The crate does no I/O, reads no clock, draws no random numbers and is
//! not async, so a test or another program can drive it one event at a time. [`node::Node`]
//! combines the parts into the coordinator that runs on each instance.

pub mod action;
pub mod admission;
pub mod at_most_once;
pub mod caller_account;
pub mod config;
pub mod decay;
pub mod error_kind;
pub mod estimate;
pub mod event;
pub mod forward;
pub mod ids;
pub mod leases;
pub mod membership;
pub mod message;
pub mod node;
pub mod placement;
pub mod report;
pub mod request;
pub mod route;
pub mod serde_adapters;
pub mod token_reorder;
pub mod units;
pub mod weights;
