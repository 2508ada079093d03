//! A mean that no single sample can move far.

/// Share of a new sample in the mean.
const SAMPLE_SHARE: f64 = 0.125;
/// Largest ratio of a sample to the mean, either way, before it is cut.
const MAX_RATIO: f64 = 4.0;

/// An exponentially weighted mean of positive samples, each bounded against the mean so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundedMean {
    mean: f64,
}

impl BoundedMean {
    /// A mean that stands at `prior`, a positive value, until samples move it.
    pub fn new(prior: f64) -> Self {
        assert!(prior > 0.0 && prior.is_finite(), "a prior must be positive");
        Self { mean: prior }
    }

    /// Takes a sample; one that is not a positive number is passed over.
    pub fn add(&mut self, sample: f64) {
        if !sample.is_finite() || sample <= 0.0 {
            return;
        }
        let bounded = sample.clamp(self.mean / MAX_RATIO, self.mean * MAX_RATIO);
        self.mean += (bounded - self.mean) * SAMPLE_SHARE;
    }

    /// The mean.
    pub fn value(&self) -> f64 {
        self.mean
    }
}
