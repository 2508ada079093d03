//! Demand for weights at one engine, as its owner hears it: requests that decay with time.

use std::collections::BTreeMap;

use crate::decay::remaining_fraction;
use crate::ids::StreamId;
use crate::units::Millis;
use crate::weights::Weights;

/// Time in which a request comes to count half.
const HALF_LIFE_MS: f64 = 60_000.0;
/// Time for which a request that asks again is known.
const ASKED_LIFE_MS: Millis = Millis(10_000);
/// Count below which demand is forgotten.
const LEAST_COUNT: f64 = 0.01;

/// Demand for weights at one engine.
#[derive(Clone, Debug, Default)]
pub struct WeightDemand {
    counts: BTreeMap<Weights, f64>,
    asked_ms: BTreeMap<StreamId, Millis>,
    counted_ms: Millis,
}

impl WeightDemand {
    /// Counts a request once, however often it asks; one for an adapter counts for its version too.
    pub fn note(&mut self, now_ms: Millis, stream: &StreamId, weights: &Weights) {
        self.decay(now_ms);
        if self.asked_ms.insert(stream.clone(), now_ms).is_some() {
            return;
        }
        *self.counts.entry(weights.clone()).or_default() += 1.0;
        if weights.adapter.is_some() {
            *self.counts.entry(weights.base()).or_default() += 1.0;
        }
    }

    /// Requests that count at present.
    pub fn count(&self, weights: &Weights) -> f64 {
        self.counts.get(weights).copied().unwrap_or_default()
    }

    /// Lets earlier requests count less.
    pub fn decay(&mut self, now_ms: Millis) {
        let factor = remaining_fraction(now_ms - self.counted_ms, HALF_LIFE_MS);
        self.counted_ms = now_ms;
        for count in self.counts.values_mut() {
            *count *= factor;
        }
        self.asked_ms.retain(|_, asked_ms| now_ms - *asked_ms < ASKED_LIFE_MS);
        self.counts.retain(|_, count| *count >= LEAST_COUNT);
    }
}
