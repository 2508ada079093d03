//! A moving mean in which one outlier has little effect.

/// Weight of a new sample in the mean.
const SAMPLE_WEIGHT: f64 = 0.125;
/// Samples are clamped to the range from the mean divided by this to the mean times this.
const MAX_SAMPLE_RATIO: f64 = 4.0;

/// An exponentially weighted mean of positive samples, each clamped relative to the current mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundedMean {
    mean: f64,
}

impl BoundedMean {
    /// A mean that equals `prior`, a positive value, until samples move it.
    pub fn new(prior: f64) -> Self {
        assert!(prior > 0.0 && prior.is_finite(), "a prior must be positive");
        Self { mean: prior }
    }

    /// Adds a sample; ignores one that is not a positive number.
    pub fn add(&mut self, sample: f64) {
        if !sample.is_finite() || sample <= 0.0 {
            return;
        }
        let bounded = sample.clamp(self.mean / MAX_SAMPLE_RATIO, self.mean * MAX_SAMPLE_RATIO);
        self.mean += (bounded - self.mean) * SAMPLE_WEIGHT;
    }

    /// The mean; equals the prior until the first sample.
    pub fn value(&self) -> f64 {
        self.mean
    }
}
