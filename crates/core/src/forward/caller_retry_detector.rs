//! Which callers have most likely asked before.
//!
//! Each attempt of a caller is a request of its own, and nothing tells a second one but that it is
//! willing to wait for less: the time since the first attempt is gone. Such a caller's target has
//! passed already.

use crate::decay::DecayingValue;
use crate::units::Millis;

/// Time in which the longest patience seen counts half, so that callers who wait for less from now
/// on are known within seconds.
const HALF_LIFE_MS: f64 = 30_000.0;
/// Part of the longest patience below which a caller has asked before; callers of one kind differ
/// by less.
const RETRY_THRESHOLD_SHARE: f64 = 0.75;

/// Longest patience of the callers of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallerRetryDetector {
    longest_timeout_ms: DecayingValue,
}

impl CallerRetryDetector {
    /// Takes a caller's patience; tells whether the caller has most likely asked before.
    pub fn is_likely_retry(&mut self, now_ms: Millis, caller_timeout_ms: Millis) -> bool {
        let longest_timeout_ms = self.longest_timeout_ms.value(now_ms, HALF_LIFE_MS);
        let caller_timeout_ms = caller_timeout_ms.0 as f64;
        if caller_timeout_ms >= longest_timeout_ms {
            self.longest_timeout_ms.set(now_ms, caller_timeout_ms);
        }
        caller_timeout_ms < longest_timeout_ms * RETRY_THRESHOLD_SHARE
    }
}
