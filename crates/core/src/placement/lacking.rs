//! Weights that engines lack, as their owners told.

use std::collections::BTreeMap;

use crate::ids::ServerId;
use crate::units::Millis;
use crate::weights::Weights;

/// Time after which an owner is asked again.
const LACKING_LIFE_MS: Millis = Millis(1_000);

/// Weights that engines lack.
#[derive(Clone, Debug, Default)]
pub struct LackingWeights {
    learned_ms: BTreeMap<ServerId, BTreeMap<Weights, Millis>>,
}

impl LackingWeights {
    /// Takes note of what an owner told.
    pub fn learn(&mut self, now_ms: Millis, server: &ServerId, weights: &Weights) {
        let learned_ms = self.learned_ms.entry(server.clone()).or_default();
        learned_ms.insert(weights.clone(), now_ms);
    }

    /// Whether an engine counts as lacking weights.
    pub fn is_lacking(&self, now_ms: Millis, server: &ServerId, weights: &Weights) -> bool {
        let learned_ms = self.learned_ms.get(server).and_then(|known| known.get(weights));
        learned_ms.is_some_and(|learned_ms| now_ms - *learned_ms < LACKING_LIFE_MS)
    }

    /// Forgets what is too old to count.
    pub fn expire(&mut self, now_ms: Millis) {
        for known in self.learned_ms.values_mut() {
            known.retain(|_, learned_ms| now_ms - *learned_ms < LACKING_LIFE_MS);
        }
        self.learned_ms.retain(|_, known| !known.is_empty());
    }
}
