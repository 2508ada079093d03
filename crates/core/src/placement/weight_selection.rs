//! Selects the weights that fit into an engine's memory, by demand.

use std::collections::{BTreeMap, BTreeSet};

use crate::units::Bytes;
use crate::weights::Weights;

/// The demand for loaded weights counts this many times, so that an engine does not swap between
/// weights of nearly equal demand.
const LOADED_FACTOR: f64 = 2.0;
/// Added to the demand for all weights, so that loaded ones stay while nothing is requested.
const BASE_DEMAND: f64 = 0.1;

/// The weights to hold: those with the highest demand, as far as they fit. An adapter is selected
/// together with its version.
pub fn select_weights(
    listed_weights: &BTreeMap<Weights, Bytes>,
    memory_bytes: Bytes,
    loaded_weights: &BTreeSet<Weights>,
    demand: impl Fn(&Weights) -> f64,
) -> BTreeMap<Weights, Bytes> {
    let mut ranked: Vec<_> = listed_weights.keys().collect();
    let score = |weights: &Weights| {
        let factor = if loaded_weights.contains(weights) { LOADED_FACTOR } else { 1.0 };
        (demand(weights) + BASE_DEMAND) * factor
    };
    ranked.sort_by(|one, other| score(other).total_cmp(&score(one)).then(one.cmp(other)));
    let mut selected = BTreeMap::new();
    let mut free_bytes = memory_bytes;
    for weights in ranked {
        let mut added = BTreeMap::new();
        for part in [weights.base(), weights.clone()] {
            let size_bytes =
                listed_weights.get(&part).copied().filter(|_| !selected.contains_key(&part));
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
