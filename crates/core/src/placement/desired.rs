//! The desired state of an engine.

use std::collections::BTreeMap;

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
    for (placing, placed) in configuration.weights() {
        let is_placed = placed.weights_bytes > Bytes::ZERO && placed.servers.contains(server);
        if !is_placed {
            continue;
        }
        weights.insert(placing, placed.weights_bytes);
    }
    Some(Desired { role, weights })
}
