//! Validation of the adapters of a version.

use std::collections::BTreeSet;

use crate::config::check::check_servers;
use crate::config::document::{Configuration, ServedAdapter, ServedVersion, ServerRole};
use crate::config::error::ConfigError;
use crate::config::key_path::KeyPath;
use crate::ids::ServerId;
use crate::units::Bytes;

/// Validates the `adapters` field at `path`.
pub(super) fn check_adapters(
    configuration: &Configuration,
    path: &KeyPath,
    served: &ServedVersion,
) -> Result<(), ConfigError> {
    let serving: BTreeSet<_> = served.servers.iter().collect();
    for (id, adapter) in &served.adapters {
        let path = path.join(id);
        check_adapter_size(&path, adapter.weights_bytes, served.weights_bytes)?;
        let servers_path = path.join("servers");
        let is_engine = |role| role != ServerRole::Plain;
        let allowed = "prefill or decode";
        check_servers(configuration, &servers_path, &adapter.servers, allowed, is_engine)?;
        check_version_servers(&servers_path, adapter, &serving)?;
    }
    Ok(())
}

fn check_adapter_size(
    path: &KeyPath,
    adapter_bytes: Bytes,
    version_bytes: Bytes,
) -> Result<(), ConfigError> {
    let path = path.join("weights_bytes");
    if adapter_bytes == Bytes::ZERO {
        let problem = "must be more than zero: write the size of the adapter, such as 50MB";
        return Err(ConfigError::at(path, problem));
    }
    if version_bytes > Bytes::ZERO && adapter_bytes > version_bytes {
        let problem = format!(
            "is larger than the {} bytes of its version: correct one of the two sizes",
            version_bytes.0
        );
        return Err(ConfigError::at(path, problem));
    }
    Ok(())
}

fn check_version_servers(
    path: &KeyPath,
    adapter: &ServedAdapter,
    serving: &BTreeSet<&ServerId>,
) -> Result<(), ConfigError> {
    for (index, server) in adapter.servers.iter().enumerate() {
        if serving.contains(server) {
            continue;
        }
        let problem = format!(
            "server {:?} does not serve the version: add it to the version's servers or remove it \
             here",
            server.as_str()
        );
        return Err(ConfigError::at(path.join(index), problem));
    }
    Ok(())
}
