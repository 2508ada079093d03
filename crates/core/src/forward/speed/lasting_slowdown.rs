//! The lasting slowdown of a run of a server, learned from measured times.
//!
//! The mean is taken over logarithms, so that half and double the expected time balance and a few
//! waits in a queue weigh little.

use crate::decay::DecayingValue;
use crate::units::Millis;

/// Half-life of the deviation from one, so that a server that is avoided is tried again.
const HALF_LIFE_MS: f64 = 300_000.0;
/// Weight of a sample once many are known.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
/// Samples that the assumption of an average server counts for.
const PRIOR_SAMPLES: f64 = 0.5;
/// Most samples that are counted; with these the weight of a new one is at its minimum.
const MAX_SAMPLES: u8 = 10;
/// Least and greatest ratio of one sample.
const RATIO_BOUNDS: (f64, f64) = (0.25, 4.0);

/// Mean ratio of measured to expected times, without the momentary slowdown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LastingSlowdown {
    log2_ratio: DecayingValue,
    samples: u8,
}

impl LastingSlowdown {
    /// The current ratio; one without samples.
    pub fn value(&self, now_ms: Millis) -> f64 {
        self.log2_ratio.value(now_ms, HALF_LIFE_MS).exp2()
    }

    /// Number of samples, up to [`MAX_SAMPLES`].
    pub fn samples(&self) -> u8 {
        self.samples
    }

    /// Adds the ratio of a measured time to the time expected at an average server.
    pub fn record(&mut self, now_ms: Millis, ratio: f64) {
        let weight = (1.0 / (f64::from(self.samples) + 1.0 + PRIOR_SAMPLES)).max(MIN_SAMPLE_WEIGHT);
        self.move_towards(now_ms, ratio, weight);
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
    }

    /// Takes the mean with what another instance has learned from so many samples.
    pub fn merge(&mut self, now_ms: Millis, ratio: f64, samples: u8) {
        let samples = samples.min(MAX_SAMPLES);
        let all = f64::from(samples) + f64::from(self.samples) + PRIOR_SAMPLES;
        self.move_towards(now_ms, ratio, f64::from(samples) / all);
        // Both may have learned from the same samples, so the counts are not added.
        self.samples = self.samples.max(samples);
    }

    fn move_towards(&mut self, now_ms: Millis, ratio: f64, weight: f64) {
        let (low, high) = RATIO_BOUNDS;
        let mean = self.log2_ratio.value(now_ms, HALF_LIFE_MS);
        self.log2_ratio.set(now_ms, mean + weight * (ratio.clamp(low, high).log2() - mean));
    }
}
