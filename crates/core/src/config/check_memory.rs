//! Checks of the memory that servers have for weights.

use crate::config::document::{Configuration, ServerRole};
use crate::config::error::ConfigError;
use crate::config::key_path::KeyPath;
use crate::units::Bytes;

/// Checks `weights_memory_bytes` of all servers: each version and adapter listed must fit alone.
pub(super) fn check_memory(configuration: &Configuration) -> Result<(), ConfigError> {
    let all = configuration.weights();
    for (id, server) in &configuration.servers {
        let Some(memory) = server.weights_memory_bytes else {
            continue;
        };
        let path = KeyPath::new("servers").then(id).then("weights_memory_bytes");
        if server.role == ServerRole::Plain {
            let problem = "only engines load weights: remove it here";
            return Err(ConfigError::at(path, problem));
        }
        for (weights, placed) in all.iter().filter(|(_, placed)| placed.servers.contains(id)) {
            let served = configuration.served_version(&weights.model, Some(&weights.version));
            let version = served.map_or(Bytes::ZERO, |(_, served)| served.weights_bytes);
            let own = if weights.adapter.is_some() { placed.weights_bytes } else { Bytes::ZERO };
            let needed = version + own;
            if needed > memory {
                let problem = format!(
                    "{weights} needs {} bytes and does not fit: raise it or take the server off \
                     that list",
                    needed.0
                );
                return Err(ConfigError::at(path, problem));
            }
        }
    }
    Ok(())
}
