//! The desired state of an engine.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::Configuration;
use crate::config::document::ServerRole;
use crate::ids::ServerId;
use crate::units::{Bytes, WallMillis};
use crate::weights::Weights;

/// What an engine should hold and do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DesiredState {
    /// Its role.
    pub role: ServerRole,
    /// Versions and adapters to hold, with their sizes.
    pub weights: BTreeMap<Weights, Bytes>,
    /// Versions without a size, which others load and unload.
    pub externally_managed: BTreeSet<Weights>,
}

/// The desired state of a server, or nothing where the configuration does not name it.
///
/// Versions whose weights have no size in the configuration are loaded by others.
pub fn desired_state(
    configuration: &Configuration,
    server: &ServerId,
    wall_ms: WallMillis,
) -> Option<DesiredState> {
    let role = configuration.servers.get(server)?.role_at(wall_ms);
    let mut weights = BTreeMap::new();
    let mut externally_managed = BTreeSet::new();
    for (weights_id, placement) in configuration.weights() {
        if !placement.servers.contains(server) {
            continue;
        }
        if placement.weights_bytes == Bytes::ZERO {
            externally_managed.insert(weights_id);
            continue;
        }
        weights.insert(weights_id, placement.weights_bytes);
    }
    Some(DesiredState { role, weights, externally_managed })
}
