//! What the configuration tells of a service.

use crate::ids::ServiceId;
use crate::units::{Millis, Tokens};

/// What the model engines of a service can hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineLimits {
    /// Requests in one batch.
    pub slots: u32,
    /// Memory for the KV cache.
    pub kv_tokens: Tokens,
    /// Time for which the result of a prefill is kept.
    pub handle_ttl_ms: Millis,
    /// Longest time of a reservation; zero where its engines take none.
    pub reservation_ms: Millis,
}

/// A service that calls are forwarded to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// The service.
    pub name: ServiceId,
    /// Connections that each of its servers takes from all callers together.
    pub max_connections: u32,
    /// What its engines hold, where it serves models.
    pub engine: Option<EngineLimits>,
}
