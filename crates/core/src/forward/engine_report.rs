//! An engine's own account of its work.

use crate::units::Tokens;

/// An engine's own account of its work; some hundred milliseconds old when it arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// Whether an order is being carried out.
    pub is_changing: bool,
    /// Requests that run or wait.
    pub requests: u32,
    /// Memory in use that can't be freed for others.
    pub kv_used: Tokens,
    /// Memory for KV caches.
    pub kv_total: Tokens,
}
