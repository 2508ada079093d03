//! Demand for weights at one engine, as its owner sees it: a count of requests that decays with
//! time.

use std::collections::BTreeMap;

use crate::decay::remaining_fraction;
use crate::ids::StreamId;
use crate::units::Millis;
use crate::weights::Weights;

const DEMAND_HALF_LIFE_MS: f64 = 60_000.0;
/// Time for which a request that asks again is recognised and not counted.
const REPEAT_WINDOW_MS: Millis = Millis(10_000);
/// Counts below this are dropped.
const MIN_COUNT: f64 = 0.01;

/// Demand for weights at one engine.
#[derive(Clone, Debug, Default)]
pub struct WeightDemand {
    counts: BTreeMap<Weights, f64>,
    last_asked_ms: BTreeMap<StreamId, Millis>,
    /// When `counts` last decayed.
    decayed_ms: Millis,
}

impl WeightDemand {
    /// Counts a request once, however often it asks. A request for an adapter counts for its
    /// version too.
    pub fn record_request(&mut self, now_ms: Millis, stream: &StreamId, weights: &Weights) {
        self.decay(now_ms);
        if self.last_asked_ms.insert(stream.clone(), now_ms).is_some() {
            return;
        }
        *self.counts.entry(weights.clone()).or_default() += 1.0;
        if weights.adapter.is_some() {
            *self.counts.entry(weights.base()).or_default() += 1.0;
        }
    }

    /// The decayed number of requests for these weights.
    pub fn count(&self, weights: &Weights) -> f64 {
        self.counts.get(weights).copied().unwrap_or_default()
    }

    /// Decays the counts to `now_ms` and drops what is too old or too small.
    pub fn decay(&mut self, now_ms: Millis) {
        let factor = remaining_fraction(now_ms - self.decayed_ms, DEMAND_HALF_LIFE_MS);
        self.decayed_ms = now_ms;
        for count in self.counts.values_mut() {
            *count *= factor;
        }
        self.last_asked_ms.retain(|_, last_asked_ms| now_ms - *last_asked_ms < REPEAT_WINDOW_MS);
        self.counts.retain(|_, count| *count >= MIN_COUNT);
    }
}
