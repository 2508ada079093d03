//! A line through measured times: a part that each call takes, and a part by size.

/// Part of the older samples' weight that a new one leaves.
const KEPT_WEIGHT: f64 = 0.98;
/// Samples that the first guess counts for.
const FIRST_WEIGHT: f64 = 8.0;

/// Exponentially weighted linear regression.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    weight: f64,
    mean_x: f64,
    mean_y: f64,
    variance_x: f64,
    covariance: f64,
}

impl LinearFit {
    /// A line through `(mean_x, mean_y)` with a first guess of its slope.
    pub fn new(mean_x: f64, mean_y: f64, slope: f64) -> Self {
        let variance_x = mean_x * mean_x / 4.0;
        let covariance = slope * variance_x;
        Self { weight: FIRST_WEIGHT, mean_x, mean_y, variance_x, covariance }
    }

    /// Takes a sample.
    pub fn note(&mut self, x: f64, y: f64) {
        self.weight = self.weight * KEPT_WEIGHT + 1.0;
        let part = 1.0 / self.weight;
        let (dx, dy) = (x - self.mean_x, y - self.mean_y);
        self.mean_x += part * dx;
        self.mean_y += part * dy;
        self.variance_x = (1.0 - part) * (self.variance_x + part * dx * dx);
        self.covariance = (1.0 - part) * (self.covariance + part * dx * dy);
    }

    /// How much each unit of size adds, never less than nothing.
    pub fn slope(&self) -> f64 {
        if self.variance_x > 0.0 { (self.covariance / self.variance_x).max(0.0) } else { 0.0 }
    }

    /// The value for a size, never less than nothing.
    pub fn value(&self, x: f64) -> f64 {
        (self.mean_y + self.slope() * (x - self.mean_x)).max(0.0)
    }

    /// Mean size.
    pub fn mean_x(&self) -> f64 {
        self.mean_x
    }
}
