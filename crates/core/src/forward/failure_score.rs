//! How often a server failed of late.

use crate::decay::DecayingValue;
use crate::units::Millis;

/// Time in which a failure loses half of its weight; a few times the time between two calls of one
/// instance to a server, and well below the time for which a failing server stays so.
const HALF_LIFE_MS: f64 = 2_500.0;
/// Part of the score that an answer leaves.
const ANSWER_RETAINED_SHARE: f64 = 0.6;
/// Highest score, so that a server that recovered is tried again within some half-lives.
const MAX_SCORE: f64 = 8.0;

/// Failures of a server, each fading with time and with answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureScore {
    score: DecayingValue,
}

impl FailureScore {
    /// The present score; one failure just now counts as its weight.
    pub fn value(&self, now_ms: Millis) -> f64 {
        self.score.value(now_ms, HALF_LIFE_MS)
    }

    /// Counts a failure.
    pub fn record_failure(&mut self, now_ms: Millis, weight: f64) {
        self.score.set(now_ms, (self.value(now_ms) + weight).min(MAX_SCORE));
    }

    /// Counts an answer.
    pub fn record_answer(&mut self, now_ms: Millis) {
        self.score.set(now_ms, self.value(now_ms) * ANSWER_RETAINED_SHARE);
    }
}
