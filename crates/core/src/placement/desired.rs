//! The desired state of an engine.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::Configuration;
use crate::config::document::ServerRole;
use crate::ids::ServerId;
use crate::units::{Bytes, WallMillis};
use crate::weights::Weights;

/// What an engine should hold and do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Desired {
    /// Its role.
    pub role: ServerRole,
    /// Versions and adapters to hold, with their sizes.
    pub weights: BTreeMap<Weights, Bytes>,
    /// Versions without a size, which others load and unload.
    pub left_alone: BTreeSet<Weights>,
}

/// The desired state of a server, or nothing where the configuration does not name it.
///
/// Versions whose weights have no size in the configuration are loaded by others.
pub fn desired_state(
    configuration: &Configuration,
    server: &ServerId,
    wall_ms: WallMillis,
) -> Option<Desired> {
    let role = configuration.servers.get(server)?.role_at(wall_ms);
    let mut weights = BTreeMap::new();
    let mut left_alone = BTreeSet::new();
    for (placing, placed) in configuration.weights() {
        if !placed.servers.contains(server) {
            continue;
        }
        if placed.weights_bytes == Bytes::ZERO {
            left_alone.insert(placing);
            continue;
        }
        weights.insert(placing, placed.weights_bytes);
    }
    Some(Desired { role, weights, left_alone })
}
