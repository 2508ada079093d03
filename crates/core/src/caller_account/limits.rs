//! Limits on what callers make a process hold.

use crate::units::Bytes;

/// Part of the memory, in quarters, that connections with much to hold may fill.
const LARGE_HOLDING_QUARTERS: u64 = 3;

/// Limits on what callers make a process hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AccountLimits {
    /// Memory of all connections together.
    pub max_bytes: Bytes,
    /// Connections at the same time.
    pub max_connections: u64,
}

impl AccountLimits {
    /// Most that one connection may hold and still use all of the memory. The last quarter is kept
    /// for such connections, so that a few long requests don't keep out the others.
    pub const MAX_SMALL_HOLDING: Bytes = Bytes(64 << 10);

    /// Memory that may be in use once a connection holds so much.
    pub fn max_bytes_at(&self, holding: Bytes) -> Bytes {
        match holding <= Self::MAX_SMALL_HOLDING {
            true => self.max_bytes,
            false => Bytes(self.max_bytes.0 / 4 * LARGE_HOLDING_QUARTERS),
        }
    }
}
