//! What one connection holds.

use super::ConnectionPhase;
use crate::units::{Bytes, Millis};

/// Time for the first bytes of a new connection to arrive.
const FIRST_BYTES_TIME_MS: Millis = Millis(500);

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

    /// Order in which it gives way to a new connection; `None` if it counts as one that reads a request,
    /// as it does until the first bytes of an ordinary caller have had time to arrive.
    pub fn idle_rank(&self, now_ms: Millis) -> Option<u8> {
        let phase_ms = now_ms.saturating_sub(self.since_ms);
        if self.phase == ConnectionPhase::Silent && phase_ms < FIRST_BYTES_TIME_MS {
            return None;
        }
        self.phase.idle_rank()
    }

    /// Whether it may be chosen to give way.
    pub fn gives_way(&self) -> bool {
        self.phase.gives_way() && !self.is_leaving
    }
}
