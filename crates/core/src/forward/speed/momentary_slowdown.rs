//! The momentary slowdown that a server states, and how far it still holds.

use crate::forward::WorkTimePercent;
use crate::units::Millis;

/// Time over which the weight of a figure falls linearly to zero: a server stays slow for about
/// as long.
const FIGURE_LIFETIME_MS: f64 = 600.0;
/// Weight of a figure in the moving mean. Figures that follow each other closely tell the same, so
/// they weigh less.
const MEAN_WEIGHT: f64 = 0.05;

/// The figure that a server stated last, and the mean of its figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MomentarySlowdown {
    ratio: f64,
    at_ms: Millis,
    mean_ratio: f64,
}

impl MomentarySlowdown {
    /// The first figure of a server.
    pub fn new(now_ms: Millis, figure: WorkTimePercent) -> Self {
        let ratio = figure.ratio();
        Self { ratio, at_ms: now_ms, mean_ratio: 1.0 + MEAN_WEIGHT * (ratio - 1.0) }
    }

    /// Replaces the figure; one that is older than the known one is ignored.
    pub fn record(&mut self, now_ms: Millis, figure: WorkTimePercent) {
        if now_ms < self.at_ms {
            return;
        }
        let ratio = figure.ratio();
        let news = ((now_ms - self.at_ms).0 as f64 / FIGURE_LIFETIME_MS).min(1.0);
        self.mean_ratio += MEAN_WEIGHT * news * (ratio - self.mean_ratio);
        (self.ratio, self.at_ms) = (ratio, now_ms);
    }

    /// Expected ratio at a time; goes from the figure to the mean as the figure ages.
    pub fn value(&self, at_ms: Millis) -> f64 {
        let age_ms = at_ms.saturating_sub(self.at_ms).0 as f64;
        let weight = (1.0 - age_ms / FIGURE_LIFETIME_MS).max(0.0);
        self.mean_ratio + weight * (self.ratio - self.mean_ratio)
    }

    /// Time since the last figure.
    pub fn age_ms(&self, now_ms: Millis) -> Millis {
        now_ms.saturating_sub(self.at_ms)
    }
}
