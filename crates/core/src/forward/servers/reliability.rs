//! Probability that a server fails a call, from its recent calls and those of its service.

use crate::decay::DecayingValue;
use crate::units::Millis;

/// Half-life of the counts: a few times the interval between two calls of one instance to a server.
const HALF_LIFE_MS: f64 = 6_000.0;
/// Weight of the service's probability, in calls to the server.
const PRIOR_CALLS: f64 = 1.0;

/// Decaying counts of answered and failed calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reliability {
    answered: DecayingValue,
    failed: DecayingValue,
}

impl Reliability {
    /// Counts a call.
    pub fn record(&mut self, now_ms: Millis, is_answered: bool) {
        let count = if is_answered { &mut self.answered } else { &mut self.failed };
        count.set(now_ms, count.value(now_ms, HALF_LIFE_MS) + 1.0);
    }

    /// Probability that the next call fails, given that of a call to any server of the service.
    pub fn failure_probability(&self, now_ms: Millis, prior: f64) -> f64 {
        let answered = self.answered.value(now_ms, HALF_LIFE_MS);
        let failed = self.failed.value(now_ms, HALF_LIFE_MS);
        (failed + PRIOR_CALLS * prior) / (answered + failed + PRIOR_CALLS)
    }
}
