//! Load report of a model engine.

use crate::units::Tokens;

/// Load report of a model engine; a few hundred milliseconds old on arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// Whether the engine is carrying out an order, such as a role change.
    pub is_changing: bool,
    /// Running and waiting requests.
    pub requests: u32,
    /// KV memory in use that cannot be evicted.
    pub kv_used: Tokens,
    /// Total KV memory.
    pub kv_total: Tokens,
}
