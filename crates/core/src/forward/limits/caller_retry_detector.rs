//! Detection of calls that are most likely retries by their caller.
//!
//! Each attempt of a caller arrives as a separate request. The only sign of a retry is a shorter
//! timeout, since the time since the first attempt is used up. The latency target of such a caller
//! has already passed.

use crate::decay::DecayingValue;
use crate::units::Millis;

/// Half-life of the longest timeout seen, so that callers that use a shorter timeout from now on
/// are accepted as new within seconds.
const HALF_LIFE_MS: f64 = 30_000.0;
/// Share of the longest timeout below which a call counts as a retry; the timeouts of callers of
/// one kind differ by less.
const RETRY_THRESHOLD_SHARE: f64 = 0.75;

/// Decaying maximum of the caller timeouts of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallerRetryDetector {
    longest_timeout_ms: DecayingValue,
}

impl CallerRetryDetector {
    /// Records a caller timeout; returns whether the call is most likely a retry.
    pub fn is_likely_retry(&mut self, now_ms: Millis, caller_timeout_ms: Millis) -> bool {
        let longest_timeout_ms = self.longest_timeout_ms.value(now_ms, HALF_LIFE_MS);
        let caller_timeout_ms = caller_timeout_ms.0 as f64;
        if caller_timeout_ms >= longest_timeout_ms {
            self.longest_timeout_ms.set(now_ms, caller_timeout_ms);
        }
        caller_timeout_ms < longest_timeout_ms * RETRY_THRESHOLD_SHARE
    }
}
