//! How often an instance sends all items to another one.

use crate::units::{Bytes, Millis};

/// A fifth of the slowest links, since callers' requests use them too.
const BYTES_PER_S: u64 = 256 * 1024;
/// Transfers that aren't counted.
const FREE_BYTES: Bytes = Bytes(4 * 1024);

/// Limit on the bytes of whole sets, which can be as large as the configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransferBudget {
    free_at_ms: Millis,
}

impl TransferBudget {
    /// Whether a transfer may begin now; if so, it is counted.
    pub fn try_take(&mut self, now_ms: Millis, bytes: Bytes) -> bool {
        if bytes <= FREE_BYTES {
            return true;
        }
        let is_free = now_ms >= self.free_at_ms;
        if is_free {
            self.free_at_ms = now_ms + Millis(bytes.0 * 1_000 / BYTES_PER_S);
        }
        is_free
    }
}
