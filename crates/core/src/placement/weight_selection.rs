//! The choice of weights that fit into an engine's memory, by demand.

use std::collections::{BTreeMap, BTreeSet};

use crate::units::Bytes;
use crate::weights::Weights;

/// Demand of weights that are loaded counts this many times, so that near-equal demands don't
/// make an engine load in turns.
const LOADED_FACTOR: f64 = 2.0;
/// Demand given to all weights, so that what is loaded stays where nobody asks.
const BASE_DEMAND: f64 = 0.1;

/// The weights to hold, most wanted first, as far as they fit. An adapter takes its version along.
pub fn select_weights(
    listed: &BTreeMap<Weights, Bytes>,
    memory_bytes: Bytes,
    loaded: &BTreeSet<Weights>,
    demand: impl Fn(&Weights) -> f64,
) -> BTreeMap<Weights, Bytes> {
    let mut ranked: Vec<_> = listed.keys().collect();
    let score = |weights: &Weights| {
        let factor = if loaded.contains(weights) { LOADED_FACTOR } else { 1.0 };
        (demand(weights) + BASE_DEMAND) * factor
    };
    ranked.sort_by(|one, other| score(other).total_cmp(&score(one)).then(one.cmp(other)));
    let mut selected = BTreeMap::new();
    let mut free_bytes = memory_bytes;
    for weights in ranked {
        let mut added = BTreeMap::new();
        for part in [weights.base(), weights.clone()] {
            let size_bytes = listed.get(&part).copied().filter(|_| !selected.contains_key(&part));
            added.extend(size_bytes.map(|size_bytes| (part, size_bytes)));
        }
        let needed_bytes: u64 = added.values().map(|size_bytes| size_bytes.0).sum();
        if needed_bytes > free_bytes.0 {
            continue;
        }
        free_bytes = free_bytes - Bytes(needed_bytes);
        selected.extend(added);
    }
    selected
}
