//! The desired state of an engine.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::Configuration;
use crate::config::document::ServerRole;
use crate::ids::ServerId;
use crate::units::{Bytes, WallMillis};
use crate::weights::Weights;

/// The role and weights that an engine should have.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DesiredState {
    pub role: ServerRole,
    /// Versions and adapters to hold, with their sizes.
    pub weights: BTreeMap<Weights, Bytes>,
    /// Versions and adapters without a size in the configuration. They are loaded and unloaded
    /// outside of this system.
    pub externally_managed: BTreeSet<Weights>,
}

/// The desired state of a server at a time; `None` if the configuration does not name the server.
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
