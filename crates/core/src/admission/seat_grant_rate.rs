//! The recent rate at which this instance was granted decode seats, used to plan the requests that
//! wait for one.
//!
//! A seat is occupied for as long as its answer takes, so the rate counts tokens of answers.

use crate::decay::DecayingValue;
use crate::units::{Millis, Tokens};

/// Time in which the count of past grants halves.
const HALF_LIFE_MS: f64 = 5_000.0;
/// Rate below which no wait is predicted.
const MIN_TOKENS_PER_MS: f64 = 0.01;

/// Answer tokens of the granted seats, with exponential decay.
#[derive(Clone, Debug, Default)]
pub struct SeatGrantRate {
    tokens: DecayingValue,
}

impl SeatGrantRate {
    /// Records a granted seat, with the longest answer that it may serve.
    pub fn record_grant(&mut self, now_ms: Millis, answer: Tokens) {
        self.tokens.set(now_ms, self.decayed(now_ms) + answer.0 as f64);
    }

    /// Predicted wait for seats worth an answer of this length; `None` where too few were granted
    /// lately.
    pub fn wait_ms(&self, now_ms: Millis, answer: Tokens) -> Option<Millis> {
        let tokens_per_ms = self.decayed(now_ms) * std::f64::consts::LN_2 / HALF_LIFE_MS;
        let is_known = tokens_per_ms >= MIN_TOKENS_PER_MS;
        is_known.then(|| Millis((answer.0 as f64 / tokens_per_ms).ceil() as u64))
    }

    fn decayed(&self, now_ms: Millis) -> f64 {
        self.tokens.value(now_ms, HALF_LIFE_MS)
    }
}
