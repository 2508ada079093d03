//! What a fleet admitted and refused, against the bound of its cap.

/// Length of the windows in which usage is bounded.
const WINDOW_MS: u64 = 8_000;
/// Part of the cap by which usage may exceed it, and the units beyond that.
const OVERAGE: f64 = 0.25;
const SLACK: f64 = 190_000.0;

#[derive(Clone, Copy, Debug)]
pub struct Decision {
    pub sent_ms: u64,
    pub decided_ms: u64,
    pub cost: f64,
    pub is_admitted: bool,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub decisions: Vec<Decision>,
    pub start_ms: u64,
    /// Messages between instances.
    pub messages: u64,
    /// Requests that were decided without a coordinator.
    pub alone: u64,
    /// Times that a member became coordinator.
    pub starts: u64,
}

impl Outcome {
    /// Highest usage in a window, as a share of the bound.
    pub fn worst_window(&self, rate_per_s: f64) -> f64 {
        let burst = rate_per_s;
        let bound = (rate_per_s * WINDOW_MS as f64 / 1e3 + burst) * (1.0 + OVERAGE) + SLACK;
        let admitted: Vec<_> = self.decisions.iter().filter(|it| it.is_admitted).collect();
        let mut worst: f64 = 0.0;
        for first in &admitted {
            let is_inside = |it: &&&Decision| {
                it.sent_ms >= first.sent_ms && it.decided_ms < first.sent_ms + WINDOW_MS
            };
            worst = worst.max(admitted.iter().filter(is_inside).map(|it| it.cost).sum());
        }
        worst / bound
    }

    /// Share of the requests that were refused.
    pub fn refused_share(&self) -> f64 {
        let refused = self.decisions.iter().filter(|it| !it.is_admitted).count();
        refused as f64 / self.decisions.len() as f64
    }

    /// Requests that were decided later than `delay_ms` after they were sent.
    pub fn slow_share(&self, delay_ms: u64) -> f64 {
        let is_slow = |it: &&Decision| it.decided_ms > it.sent_ms + delay_ms;
        self.decisions.iter().filter(is_slow).count() as f64 / self.decisions.len() as f64
    }
}
