//! How slow a server is compared with what was predicted for it.

use crate::decay::DecayingValue;
use crate::units::Millis;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Time in which the distance to the normal pace halves, so that a server that was slow is tried
/// again; some times the time for which a call lasts.
const HALF_LIFE_MS: f64 = 4_000.0;
/// Bounds on one sample, so that a single late answer doesn't shut a server out.
const SAMPLE_BOUNDS: (f64, f64) = (0.5, 10.0);

/// Ratio of measured to predicted times of a server; fades to one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyRatio {
    /// Distance of the ratio to one.
    excess: DecayingValue,
}

impl LatencyRatio {
    /// The present ratio.
    pub fn value(&self, now_ms: Millis) -> f64 {
        1.0 + self.excess.value(now_ms, HALF_LIFE_MS)
    }

    /// Takes a measured time and what was predicted for a server of normal pace.
    pub fn record(&mut self, now_ms: Millis, measured_ms: Millis, baseline_ms: Millis) {
        let (low, high) = SAMPLE_BOUNDS;
        let sample = (measured_ms.0.max(1) as f64 / baseline_ms.0.max(1) as f64).clamp(low, high);
        let mean = self.value(now_ms);
        self.excess.set(now_ms, mean + SAMPLE_WEIGHT * (sample - mean) - 1.0);
    }
}
