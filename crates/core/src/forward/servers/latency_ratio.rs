//! Latency of one server relative to the average server of its service.

use crate::decay::DecayingValue;
use crate::units::Millis;

/// Weight of a new sample in the moving mean.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Half-life of the deviation from one, so that a server that was slow is tried again; a few times
/// the duration of a call.
const HALF_LIFE_MS: f64 = 4_000.0;
/// Least and greatest sample, so that one late answer does not exclude a server.
const SAMPLE_BOUNDS: (f64, f64) = (0.5, 10.0);

/// Moving mean of a server's measured times divided by the times expected of an average server;
/// decays to one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyRatio {
    /// The mean ratio minus one.
    excess: DecayingValue,
}

impl LatencyRatio {
    /// The current ratio.
    pub fn value(&self, now_ms: Millis) -> f64 {
        1.0 + self.excess.value(now_ms, HALF_LIFE_MS)
    }

    /// Records a measured time against the expected time at a server of average latency.
    pub fn record(&mut self, now_ms: Millis, measured_ms: Millis, baseline_latency_ms: Millis) {
        let (low, high) = SAMPLE_BOUNDS;
        let sample =
            (measured_ms.0.max(1) as f64 / baseline_latency_ms.0.max(1) as f64).clamp(low, high);
        let mean = self.value(now_ms);
        self.excess.set(now_ms, mean + SAMPLE_WEIGHT * (sample - mean) - 1.0);
    }
}
