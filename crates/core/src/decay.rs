//! Values that fade with time.

use crate::units::Millis;

/// Part of a value that is left after a time in which it fades by a half-life.
pub fn remaining_fraction(passed_ms: Millis, half_life_ms: f64) -> f64 {
    (-(passed_ms.0 as f64) / half_life_ms).exp2()
}

/// A value that loses half of itself in each half-life.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingValue {
    value: f64,
    at_ms: Millis,
}

impl DecayingValue {
    /// What is left of it.
    pub fn value(&self, now_ms: Millis, half_life_ms: f64) -> f64 {
        self.value * remaining_fraction(now_ms.saturating_sub(self.at_ms), half_life_ms)
    }

    /// Sets it.
    pub fn set(&mut self, now_ms: Millis, value: f64) {
        *self = Self { value, at_ms: now_ms };
    }
}
