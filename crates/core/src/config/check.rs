//! Parsing and validation of a configuration document.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde_json::Value;

use crate::config::check_adapters::check_adapters;
use crate::config::check_memory::check_memory;
use crate::config::check_routes::check_routes;
use crate::config::check_targets::check_targets;
use crate::config::document::{Configuration, Model, ServerRole};
use crate::config::entry_patch::EntryChanges;
use crate::config::error::{ConfigError, decode_text, decode_value};
use crate::config::key_path::KeyPath;
use crate::config::role_schedule::check_schedule;
use crate::ids::{ModelId, ServerId};

/// Parses and validates a YAML document.
pub fn parse_document(text: &str) -> Result<Configuration, ConfigError> {
    let configuration = decode_text(text)?;
    check(&configuration).map_err(|error| error.in_text(text))?;
    Ok(configuration)
}

/// Parses and validates a document that is already decoded to JSON.
pub fn parse_value(value: &Value) -> Result<Configuration, ConfigError> {
    let configuration = decode_value(value)?;
    check(&configuration)?;
    Ok(configuration)
}

fn check(configuration: &Configuration) -> Result<(), ConfigError> {
    for (kind, targets) in &configuration.caller_kinds {
        check_targets(&KeyPath::new("caller_kinds").join(kind), targets)?;
    }
    check_addresses(configuration)?;
    for (id, server) in &configuration.servers {
        check_schedule(&KeyPath::new("servers").join(id), server)?;
    }
    check_references(configuration)?;
    check_limits(configuration)
}

/// Validates only the entries whose keys are in `before`, which holds their old values. References
/// from other entries to them are validated by [`check_references`].
pub(super) fn check_entries(
    configuration: &Configuration,
    before: &EntryChanges,
) -> Result<(), ConfigError> {
    for kind in before.caller_kinds.keys() {
        let Some(targets) = configuration.caller_kinds.get(kind) else {
            continue;
        };
        check_targets(&KeyPath::new("caller_kinds").join(kind), targets)?;
    }
    for id in before.servers.keys() {
        let Some(server) = configuration.servers.get(id) else {
            continue;
        };
        check_schedule(&KeyPath::new("servers").join(id), server)?;
    }
    check_new_addresses(configuration, before)?;
    if !before.routes.is_empty() {
        check_routes(configuration)?;
    }
    for id in before.models.keys() {
        let Some(model) = configuration.models.get(id) else {
            continue;
        };
        check_model(configuration, id, model)?;
    }
    let mut changed = before.servers.keys().filter_map(|id| configuration.servers.get(id));
    let has_memory = changed.any(|server| server.weights_memory_bytes.is_some());
    if has_memory || !before.models.is_empty() {
        check_memory(configuration)?;
    }
    if !before.links.is_empty() {
        check_links(configuration)?;
    }
    check_limits(configuration)
}

/// Validates the entries that refer to servers.
pub(super) fn check_references(configuration: &Configuration) -> Result<(), ConfigError> {
    check_routes(configuration)?;
    for (id, model) in &configuration.models {
        check_model(configuration, id, model)?;
    }
    check_memory(configuration)?;
    check_links(configuration)
}

fn check_limits(configuration: &Configuration) -> Result<(), ConfigError> {
    if configuration.limits.tokens_per_piece == 0 {
        let path = KeyPath::new("limits").join("tokens_per_piece");
        return Err(ConfigError::at(path, "must be at least 1"));
    }
    Ok(())
}

fn check_addresses(configuration: &Configuration) -> Result<(), ConfigError> {
    let mut seen = BTreeMap::new();
    for (id, server) in &configuration.servers {
        check_address(&mut seen, id, server.address)?;
    }
    Ok(())
}

/// Validates the addresses of the servers whose keys are in `before`, where they differ from the
/// old ones.
fn check_new_addresses(
    configuration: &Configuration,
    before: &EntryChanges,
) -> Result<(), ConfigError> {
    let mut seen = BTreeMap::new();
    for (id, before) in &before.servers {
        let Some(server) = configuration.servers.get(id) else {
            continue;
        };
        if before.as_ref().is_none_or(|before| before.address != server.address) {
            check_address(&mut seen, id, server.address)?;
        }
    }
    if seen.is_empty() {
        return Ok(());
    }
    for (id, server) in &configuration.servers {
        if seen.get(&server.address).is_some_and(|other| *other != id) {
            check_address(&mut seen, id, server.address)?;
        }
    }
    Ok(())
}

fn check_address<'a>(
    seen: &mut BTreeMap<SocketAddr, &'a ServerId>,
    id: &'a ServerId,
    address: SocketAddr,
) -> Result<(), ConfigError> {
    let path = || KeyPath::new("servers").join(id).join("address");
    if address.ip().is_unspecified() || address.port() == 0 {
        let problem = format!("{address} can't be reached: name an IP number and port");
        return Err(ConfigError::at(path(), problem));
    }
    let Some(other) = seen.insert(address, id) else {
        return Ok(());
    };
    let problem =
        format!("duplicate address {address}: server {other} has it too, change one of them");
    Err(ConfigError::at(path(), problem))
}

fn check_model(
    configuration: &Configuration,
    id: &ModelId,
    model: &Model,
) -> Result<(), ConfigError> {
    let path = KeyPath::new("models").join(id);
    if !model.versions.contains_key(&model.default_version) {
        let problem = format!(
            "names version {:?}, which is not served: add it to versions or name another",
            model.default_version.as_str()
        );
        return Err(ConfigError::at(path.join("default_version"), problem));
    }
    for (version, served) in &model.versions {
        let path = path.join("versions").join(version);
        let servers_path = path.join("servers");
        let is_engine = |role| role != ServerRole::Plain;
        let allowed = "prefill or decode";
        check_servers(configuration, &servers_path, &served.servers, allowed, is_engine)?;
        check_adapters(configuration, &path.join("adapters"), served)?;
    }
    Ok(())
}

fn check_links(configuration: &Configuration) -> Result<(), ConfigError> {
    let servers = configuration.servers.values();
    let data_centres: BTreeSet<_> = servers.map(|server| server.data_centre.as_str()).collect();
    for (name, link) in &configuration.links {
        let path = KeyPath::new("links").join(name);
        if link.rate_bytes_per_second.0 == 0 {
            let path = path.join("rate_bytes_per_second");
            return Err(ConfigError::at(path, "must be more than zero"));
        }
        let has_two_data_centres = name.match_indices('.').any(|(dot, _)| {
            data_centres.contains(&name[..dot]) && data_centres.contains(&name[dot + 1..])
        });
        if !has_two_data_centres {
            let problem =
                "does not name two data centres: write <from>.<to> as the servers name them";
            return Err(ConfigError::at(path, problem));
        }
    }
    Ok(())
}

/// Checks that each server exists, is listed once and has an allowed role.
pub(super) fn check_servers(
    configuration: &Configuration,
    path: &KeyPath,
    servers: &[ServerId],
    allowed: &str,
    is_allowed: impl Fn(ServerRole) -> bool,
) -> Result<(), ConfigError> {
    let mut seen = BTreeSet::new();
    for (index, server) in servers.iter().enumerate() {
        let path = || path.join(index);
        let Some(known) = configuration.servers.get(server) else {
            let problem = format!(
                "unknown server {:?}: add it to servers or remove it here",
                server.as_str()
            );
            return Err(ConfigError::at(path(), problem));
        };
        if !is_allowed(known.role) {
            let problem = format!(
                "server {:?} has the wrong role {}: name one whose role is {allowed}",
                server.as_str(),
                known.role
            );
            return Err(ConfigError::at(path(), problem));
        }
        if !seen.insert(server) {
            let problem = format!("duplicate server {:?}: remove it here", server.as_str());
            return Err(ConfigError::at(path(), problem));
        }
    }
    Ok(())
}
