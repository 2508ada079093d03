//! Which services this instance reaches no server of, and which other instances may serve their
//! requests.

mod forwarder_reach;
mod handover_targets;
mod service_reach;
mod shuffled;

pub use handover_targets::{DeclineReason, HandoverTargets};
pub use service_reach::{ReachChange, ServiceReach};
