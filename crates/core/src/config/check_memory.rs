//! Validation of the memory that servers have for weights.

use crate::config::document::{Configuration, ServerRole};
use crate::config::error::ConfigError;
use crate::config::key_path::KeyPath;
use crate::ids::ServerId;
use crate::units::Bytes;

/// Validates `weights_memory_bytes` of all servers: a server must have room for each version or
/// adapter listed for it, taken alone. An adapter needs its version loaded too.
pub(super) fn check_memory(configuration: &Configuration) -> Result<(), ConfigError> {
    for (id, server) in &configuration.servers {
        if server.role == ServerRole::Plain && server.weights_memory_bytes.is_some() {
            return Err(ConfigError::at(
                memory_path(id),
                "only engines load weights: remove it here",
            ));
        }
    }
    for (weights, placed) in configuration.weights() {
        let served = configuration.served_version(&weights.model, Some(&weights.version));
        let version_bytes = served.map_or(Bytes::ZERO, |(_, served)| served.weights_bytes);
        let adapter_bytes =
            if weights.adapter.is_some() { placed.weights_bytes } else { Bytes::ZERO };
        let needed_bytes = version_bytes + adapter_bytes;
        for id in placed.servers {
            let server = configuration.servers.get(id);
            let memory = server.and_then(|server| server.weights_memory_bytes);
            if memory.is_none_or(|memory| needed_bytes <= memory) {
                continue;
            }
            let problem = format!(
                "{weights} needs {} bytes and does not fit: raise it or take the server off that \
                 list",
                needed_bytes.0
            );
            return Err(ConfigError::at(memory_path(id), problem));
        }
    }
    Ok(())
}

fn memory_path(id: &ServerId) -> KeyPath {
    KeyPath::new("servers").join(id).join("weights_memory_bytes")
}
