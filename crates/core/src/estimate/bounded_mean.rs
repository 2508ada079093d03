//! A moving mean with bounded steps.

/// Weight of a new sample.
const SAMPLE_SHARE: f64 = 0.125;
/// Samples are clamped to this ratio above or below the mean.
const MAX_RATIO: f64 = 4.0;

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
        let bounded = sample.clamp(self.mean / MAX_RATIO, self.mean * MAX_RATIO);
        self.mean += (bounded - self.mean) * SAMPLE_SHARE;
    }

    /// The current mean.
    pub fn value(&self) -> f64 {
        self.mean
    }
}
