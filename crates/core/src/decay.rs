//! Exponential decay with a half-life.

use crate::units::Millis;

/// Fraction of a value that remains after `elapsed_ms`.
pub fn remaining_fraction(elapsed_ms: Millis, half_life_ms: f64) -> f64 {
    (-(elapsed_ms.0 as f64) / half_life_ms).exp2()
}

/// A value that decays exponentially from the time at which it was set.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingValue {
    value: f64,
    at_ms: Millis,
}

impl DecayingValue {
    /// The value decayed to `now_ms`.
    pub fn value(&self, now_ms: Millis, half_life_ms: f64) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * remaining_fraction(now_ms.saturating_sub(self.at_ms), half_life_ms)
    }

    /// Replaces the value; decay starts at `now_ms`.
    pub fn set(&mut self, now_ms: Millis, value: f64) {
        *self = Self { value, at_ms: now_ms };
    }
}
