//! Services of the configuration, and the capacity of their engines.

use crate::ids::ServiceId;
use crate::units::{Millis, Tokens};

/// Capacity and time limits of each engine of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineLimits {
    /// Number of requests that an engine processes in one batch.
    pub max_batch_requests: u32,
    /// Capacity of the KV cache of one engine.
    pub kv_tokens: Tokens,
    /// Time for which an engine keeps the result of a prefill.
    pub handle_ttl_ms: Millis,
    /// Longest duration of a reservation; zero if the engines support none.
    pub max_reservation_ms: Millis,
}

/// A service that calls are forwarded to.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct Service {
    pub name: ServiceId,
    /// Connections that each server accepts from all callers together.
    pub max_connections: u32,
    /// Limits of its model engines; `None` if it serves plain calls only.
    pub engine: Option<EngineLimits>,
}
