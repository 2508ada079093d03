//! Which weights the streams of an engine use, as its owner recorded it when it granted them.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::StreamId;
use crate::units::Millis;
use crate::weights::Weights;

/// Time for which a granted stream counts as using its weights even if no report names it.
const UNREPORTED_GRANT_TTL_MS: Millis = Millis(30_000);

/// Weights used by the streams of one engine.
#[derive(Clone, Debug, Default)]
pub struct StreamWeights {
    grants: BTreeMap<StreamId, (Weights, Millis)>,
}

impl StreamWeights {
    /// Records the weights of a stream that may start.
    pub fn record_grant(&mut self, now_ms: Millis, stream: &StreamId, weights: &Weights) {
        self.grants.insert(stream.clone(), (weights.clone(), now_ms));
    }

    /// Forgets streams that are neither held nor recently granted.
    pub fn retain(&mut self, now_ms: Millis, is_held: impl Fn(&StreamId) -> bool) {
        self.grants.retain(|stream, (_, granted_ms)| {
            is_held(stream) || now_ms - *granted_ms < UNREPORTED_GRANT_TTL_MS
        });
    }

    /// Whether the weights of a stream are known.
    pub fn contains(&self, stream: &StreamId) -> bool {
        self.grants.contains_key(stream)
    }

    /// Weights in use, including the versions of adapters in use.
    pub fn weights_in_use(&self) -> BTreeSet<Weights> {
        let mut in_use = BTreeSet::new();
        for (weights, _) in self.grants.values() {
            in_use.insert(weights.base());
            in_use.insert(weights.clone());
        }
        in_use
    }
}
