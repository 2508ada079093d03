//! Token bucket of a usage cap.

use crate::units::Millis;

/// A level that rises with time up to a depth. Usage beyond it makes it negative, so that an
/// overshoot is repaid.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageBucket {
    level: f64,
    refilled_ms: Millis,
}

impl UsageBucket {
    /// A bucket with a level.
    pub fn new(now_ms: Millis, level: f64) -> Self {
        Self { level, refilled_ms: now_ms }
    }

    /// Adds what came in since the last time, and bounds the level by the depth; returns what was
    /// beyond it.
    pub fn refill(&mut self, now_ms: Millis, rate_per_s: f64, depth: f64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = self.refilled_ms.max(now_ms);
        self.level += rate_per_s * elapsed_ms.0 as f64 / 1_000.0;
        let excess = (self.level - depth).max(0.0);
        self.level -= excess;
        excess
    }

    /// Units that may be used at once; negative after an overshoot.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Counts units as used; units that are given back are negative.
    pub fn take(&mut self, units: f64) {
        self.level -= units;
    }

    /// Lowers the level to that of another bucket.
    pub fn lower_to(&mut self, level: f64) {
        self.level = self.level.min(level);
    }

    /// Time until the level is above a least one.
    pub fn rises_in_ms(&self, above: f64, rate_per_s: f64) -> Millis {
        let seconds = (above - self.level).max(0.0) / rate_per_s;
        // A cap near zero would give a time that no clock can hold.
        Millis((seconds * 1_000.0).min(f64::from(u32::MAX)) as u64 + 1)
    }
}
