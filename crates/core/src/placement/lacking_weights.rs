//! Weights that engines lack, according to their owners.

use std::collections::BTreeMap;

use crate::ids::ServerId;
use crate::units::Millis;
use crate::weights::Weights;

/// Time for which an owner's report that its engine lacks weights counts; after it the owner may be
/// asked again.
const LACKING_TTL_MS: Millis = Millis(1_000);

/// Weights that engines lack, and when this was learned.
#[derive(Clone, Debug, Default)]
pub struct LackingWeights {
    recorded_ms: BTreeMap<ServerId, BTreeMap<Weights, Millis>>,
}

impl LackingWeights {
    /// Records that an owner reported weights as lacking.
    pub fn record(&mut self, now_ms: Millis, server: &ServerId, weights: &Weights) {
        let recorded_ms = self.recorded_ms.entry(server.clone()).or_default();
        recorded_ms.insert(weights.clone(), now_ms);
    }

    /// Whether an owner reported recently that its engine lacks the weights.
    pub fn is_lacking(&self, now_ms: Millis, server: &ServerId, weights: &Weights) -> bool {
        let recorded_ms = self.recorded_ms.get(server).and_then(|known| known.get(weights));
        recorded_ms.is_some_and(|recorded_ms| now_ms - *recorded_ms < LACKING_TTL_MS)
    }

    /// Forgets reports that are too old to count.
    pub fn expire(&mut self, now_ms: Millis) {
        for known in self.recorded_ms.values_mut() {
            known.retain(|_, recorded_ms| now_ms - *recorded_ms < LACKING_TTL_MS);
        }
        self.recorded_ms.retain(|_, known| !known.is_empty());
    }
}
