//! Demand for weights at one engine, as its owner sees it: a count of requests that decays with
//! time.

use std::collections::BTreeMap;

use crate::decay::remaining_fraction;
use crate::ids::StreamId;
use crate::units::Millis;
use crate::weights::Weights;

const DEMAND_HALF_LIFE_MS: f64 = 60_000.0;
/// Time for which a repeated request of a stream is recognised and not counted again.
const REPEAT_WINDOW_MS: Millis = Millis(10_000);
/// Counts below this are dropped.
const MIN_COUNT: f64 = 0.01;

/// Demand for weights at one engine.
#[derive(Clone, Debug, Default)]
pub struct WeightDemand {
    decayed_request_counts: BTreeMap<Weights, f64>,
    last_request_ms: BTreeMap<StreamId, Millis>,
    /// When `decayed_request_counts` last decayed.
    decayed_ms: Millis,
}

impl WeightDemand {
    /// Counts the request of a stream once, however often it is repeated. A request for an adapter
    /// counts for its version too.
    pub fn record_request(&mut self, now_ms: Millis, stream: &StreamId, weights: &Weights) {
        self.decay(now_ms);
        if self.last_request_ms.insert(stream.clone(), now_ms).is_some() {
            return;
        }
        *self.decayed_request_counts.entry(weights.clone()).or_default() += 1.0;
        if weights.adapter.is_some() {
            *self.decayed_request_counts.entry(weights.base()).or_default() += 1.0;
        }
    }

    /// Requests for these weights, of which older ones count less.
    pub fn decayed_request_count(&self, weights: &Weights) -> f64 {
        self.decayed_request_counts.get(weights).copied().unwrap_or_default()
    }

    /// Decays the counts to `now_ms` and drops what is too old or too small.
    pub fn decay(&mut self, now_ms: Millis) {
        let factor = remaining_fraction(now_ms - self.decayed_ms, DEMAND_HALF_LIFE_MS);
        self.decayed_ms = now_ms;
        for count in self.decayed_request_counts.values_mut() {
            *count *= factor;
        }
        self.last_request_ms
            .retain(|_, last_request_ms| now_ms - *last_request_ms < REPEAT_WINDOW_MS);
        self.decayed_request_counts.retain(|_, count| *count >= MIN_COUNT);
    }
}
