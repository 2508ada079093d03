//! Health of one plain server, judged by this instance's own calls.
//!
//! Consecutive failures eject a server for a time that doubles with each further failure.
//! Afterwards the server is on probation: it gets one idempotent call at a time until one is
//! answered.

use crate::units::Millis;

/// Number of consecutive failures at which a server is ejected.
const EJECTION_FAILURE_COUNT: u32 = 3;
const FIRST_EJECTION_MS: Millis = Millis(1_000);
const MAX_EJECTION_MS: Millis = Millis(30_000);
/// Limits the shift that doubles the ejection time; [`MAX_EJECTION_MS`] is reached by then.
const MAX_DOUBLINGS: u32 = 5;
/// Time on probation after which the server also gets calls that are not idempotent.
const PROBATION_MS: Millis = Millis(30_000);

/// Number of calls in flight from which on a server counts as busy.
const BUSY_IN_FLIGHT_CALLS: u64 = 8;

/// Change of health caused by the end of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// The server is ejected or in use as before.
    None,
    /// The server was ejected for this time.
    Ejected(Millis),
    /// The server answered after an ejection and is in use again.
    Readmitted,
}

/// Calls in flight and recent failures of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    in_flight_calls: u64,
    consecutive_failures: u32,
    last_failure_ms: Millis,
    ejected_until_ms: Option<Millis>,
}

impl ServerHealth {
    /// Counts a call that starts.
    pub fn record_call_start(&mut self) {
        self.in_flight_calls += 1;
    }

    /// Counts a call that ended; returns how it changed the health.
    pub fn record_call_end(&mut self, now_ms: Millis, is_answered: bool) -> HealthChange {
        self.in_flight_calls =
            self.in_flight_calls.checked_sub(1).expect("a call that ends was started");
        if is_answered {
            self.consecutive_failures = 0;
            return match self.ejected_until_ms.take() {
                Some(_) => HealthChange::Readmitted,
                None => HealthChange::None,
            };
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.last_failure_ms = now_ms;
        let Some(doublings) = self.consecutive_failures.checked_sub(EJECTION_FAILURE_COUNT) else {
            return HealthChange::None;
        };
        let factor = 1 << doublings.min(MAX_DOUBLINGS);
        let ejection_ms = Millis(FIRST_EJECTION_MS.0 * factor).min(MAX_EJECTION_MS);
        self.ejected_until_ms = Some(now_ms + ejection_ms);
        HealthChange::Ejected(ejection_ms)
    }

    /// Whether the server was ejected and has answered no call since.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until_ms.is_some()
    }

    /// Whether the server may get a call while others are healthy.
    pub fn is_usable(&self, now_ms: Millis, is_idempotent: bool) -> bool {
        let Some(until_ms) = self.ejected_until_ms else {
            return true;
        };
        let from_ms = if is_idempotent { until_ms } else { until_ms + PROBATION_MS };
        now_ms >= from_ms && self.in_flight_calls == 0
    }

    /// Whether the last call failed recently, so that a call that must not be repeated should use
    /// another server.
    pub fn is_suspect(&self, now_ms: Millis) -> bool {
        self.consecutive_failures > 0 && now_ms - self.last_failure_ms < PROBATION_MS
    }

    /// Whether so many calls are in flight that other servers are preferred.
    pub fn is_busy(&self) -> bool {
        self.in_flight_calls >= BUSY_IN_FLIGHT_CALLS
    }

    /// Calls that this instance has started and that have not ended.
    pub fn in_flight_calls(&self) -> u64 {
        self.in_flight_calls
    }
}
