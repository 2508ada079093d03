//! The desired state of an engine.

use std::collections::BTreeMap;

use crate::config::Configuration;
use crate::config::document::ServerRole;
use crate::ids::{ModelId, ModelVersion, ServerId};
use crate::units::{Bytes, WallMillis};

/// What an engine should hold and do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Desired {
    /// Its role.
    pub role: ServerRole,
    /// Versions to hold, with the size of their weights.
    pub versions: BTreeMap<(ModelId, ModelVersion), Bytes>,
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
    let mut versions = BTreeMap::new();
    for (model, known) in &configuration.models {
        for (version, served) in &known.versions {
            let is_placed = served.weights_bytes > Bytes::ZERO && served.servers.contains(server);
            if !is_placed {
                continue;
            }
            versions.insert((model.clone(), version.clone()), served.weights_bytes);
        }
    }
    Some(Desired { role, versions })
}
