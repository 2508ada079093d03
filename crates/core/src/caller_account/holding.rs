//! What one connection holds.

use super::ConnectionPhase;
use crate::units::{Bytes, Millis};

/// What one connection holds.
#[derive(Clone, Debug)]
pub(super) struct Holding {
    pub bytes: Bytes,
    pub phase: ConnectionPhase,
    /// Monotonic time at which the phase began.
    pub since_ms: Millis,
    /// Whether it gives way, and has not been closed yet.
    pub is_leaving: bool,
}

impl Holding {
    /// Bytes times time; the connection with the largest product gives way first.
    pub fn weight(&self, now_ms: Millis, added: Bytes) -> u128 {
        let held_ms = now_ms.saturating_sub(self.since_ms).0 + 1;
        u128::from(self.bytes.0 + added.0) * u128::from(held_ms)
    }

    /// Whether it may be chosen to give way.
    pub fn gives_way(&self) -> bool {
        self.phase.gives_way() && !self.is_leaving
    }
}
