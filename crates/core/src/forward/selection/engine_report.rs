//! Load reports that engines send when asked, for conversions between prefill and decode.

use crate::units::Tokens;

/// Load that an engine reports about itself; a few hundred milliseconds old on arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// Whether the engine is carrying out an order, such as a role change.
    pub is_changing: bool,
    /// Number of orders that it has accepted since its start.
    pub accepted_orders: u64,
    /// Running and waiting requests.
    pub requests: u32,
    /// KV memory in use that cannot be evicted.
    pub kv_used: Tokens,
    /// Total KV memory.
    pub kv_total: Tokens,
}
