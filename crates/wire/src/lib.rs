//! Messages between turmericrail instances, and the HTTP types of the outer edges.
//!
//! This package translates and decides nothing.

pub mod body;
pub mod caller;
pub mod client;
pub mod convert;
mod convert_members;
pub mod engine;
pub mod http1;
pub mod idempotent_client;
#[allow(missing_docs)]
#[allow(clippy::all)]
#[rustfmt::skip]
#[path = "generated/turmericrail.peer.rs"]
pub mod peer;
pub mod platform;
#[allow(missing_docs)]
#[allow(clippy::all)]
#[rustfmt::skip]
#[path = "generated/turmericrail.relay.rs"]
pub mod relay;
