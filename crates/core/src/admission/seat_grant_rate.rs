//! How fast decode seats came to this instance lately, so that those who wait for one can be
//! planned.
//!
//! A seat is taken for as long as its answer takes, so the pace is counted in tokens of answers.

use crate::decay::DecayingValue;
use crate::units::{Millis, Tokens};

/// Time in which the count of past grants halves.
const HALF_LIFE_MS: f64 = 5_000.0;
/// Pace below which nothing is predicted from it.
const MIN_TOKENS_PER_MS: f64 = 0.01;

/// Tokens of the answers whose seats were granted, fading with time.
#[derive(Clone, Debug, Default)]
pub struct SeatGrantRate {
    tokens: DecayingValue,
}

impl SeatGrantRate {
    /// Takes note of a granted seat.
    pub fn add(&mut self, now_ms: Millis, answer: Tokens) {
        self.tokens.set(now_ms, self.faded(now_ms) + answer.0 as f64);
    }

    /// Time in which seats for an answer of this length come, or nothing where none came lately.
    pub fn wait_ms(&self, now_ms: Millis, answer: Tokens) -> Option<Millis> {
        let tokens_per_ms = self.faded(now_ms) * std::f64::consts::LN_2 / HALF_LIFE_MS;
        let is_known = tokens_per_ms >= MIN_TOKENS_PER_MS;
        is_known.then(|| Millis((answer.0 as f64 / tokens_per_ms).ceil() as u64))
    }

    fn faded(&self, now_ms: Millis) -> f64 {
        self.tokens.value(now_ms, HALF_LIFE_MS)
    }
}
