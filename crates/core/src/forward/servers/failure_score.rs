//! Score of the recent failures of a server or data centre.

use crate::decay::DecayingValue;
use crate::units::Millis;

/// Half-life of the score: a few times the interval between two calls of one instance to a
/// server, and well below the time for which a failing server stays broken.
const HALF_LIFE_MS: f64 = 2_500.0;
/// Share of the score that remains after a successful answer.
const ANSWER_RETAINED_SHARE: f64 = 0.6;
/// Upper limit of the score, so that a recovered server is tried again within a few half-lives.
const MAX_SCORE: f64 = 8.0;

/// Weighted recent failures; decays with time and with each successful answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureScore {
    score: DecayingValue,
}

impl FailureScore {
    /// The current score; a failure that has just happened adds its weight.
    pub fn value(&self, now_ms: Millis) -> f64 {
        self.score.value(now_ms, HALF_LIFE_MS)
    }

    /// Adds the weight of a failure, up to [`MAX_SCORE`].
    pub fn record_failure(&mut self, now_ms: Millis, weight: f64) {
        self.score.set(now_ms, (self.value(now_ms) + weight).min(MAX_SCORE));
    }

    /// Lowers the score, because the server answered successfully.
    pub fn record_answer(&mut self, now_ms: Millis) {
        self.score.set(now_ms, self.value(now_ms) * ANSWER_RETAINED_SHARE);
    }
}
