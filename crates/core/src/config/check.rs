//! Parsing and checks of a configuration document.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::Value;

use crate::config::check_adapters::check_adapters;
use crate::config::check_memory::check_memory;
use crate::config::check_routes::check_routes;
use crate::config::check_targets::check_targets;
use crate::config::document::{Configuration, ServerRole};
use crate::config::error::{ConfigError, decode_text, decode_value};
use crate::config::key_path::KeyPath;
use crate::config::role_schedule::check_schedule;
use crate::ids::ServerId;

/// Parses and checks a YAML document.
pub fn parse_document(text: &str) -> Result<Configuration, ConfigError> {
    let configuration = decode_text(text)?;
    check(&configuration).map_err(|error| error.in_text(text))?;
    Ok(configuration)
}

/// Parses and checks a document that was already decoded.
pub fn parse_value(value: &Value) -> Result<Configuration, ConfigError> {
    let configuration = decode_value(value)?;
    check(&configuration)?;
    Ok(configuration)
}

fn check(configuration: &Configuration) -> Result<(), ConfigError> {
    for (kind, targets) in &configuration.caller_kinds {
        check_targets(&KeyPath::new("caller_kinds").then(kind), targets)?;
    }
    check_addresses(configuration)?;
    for (id, server) in &configuration.servers {
        check_schedule(&KeyPath::new("servers").then(id), server)?;
    }
    check_routes(configuration)?;
    check_models(configuration)?;
    check_memory(configuration)?;
    check_links(configuration)?;
    if configuration.limits.tokens_per_piece == 0 {
        let path = KeyPath::new("limits").then("tokens_per_piece");
        return Err(ConfigError::at(path, "must be at least 1"));
    }
    Ok(())
}

fn check_addresses(configuration: &Configuration) -> Result<(), ConfigError> {
    let mut seen: BTreeMap<SocketAddr, &ServerId> = BTreeMap::new();
    for (id, server) in &configuration.servers {
        let path = || KeyPath::new("servers").then(id).then("address");
        if server.address.ip().is_unspecified() || server.address.port() == 0 {
            let problem =
                format!("{} can't be reached: name an IP number and port", server.address);
            return Err(ConfigError::at(path(), problem));
        }
        if let Some(other) = seen.insert(server.address, id) {
            let problem = format!(
                "duplicate address {}: server {other} has it too, change one of them",
                server.address
            );
            return Err(ConfigError::at(path(), problem));
        }
    }
    Ok(())
}

fn check_models(configuration: &Configuration) -> Result<(), ConfigError> {
    for (id, model) in &configuration.models {
        let path = KeyPath::new("models").then(id);
        if !model.versions.contains_key(&model.default_version) {
            let problem = format!(
                "names version {:?}, which is not served: add it to versions or name another",
                model.default_version.as_str()
            );
            return Err(ConfigError::at(path.then("default_version"), problem));
        }
        for (version, served) in &model.versions {
            let path = path.then("versions").then(version);
            let servers_path = path.then("servers");
            let is_engine = |role| role != ServerRole::Plain;
            let allowed = "prefill or decode";
            check_servers(configuration, &servers_path, &served.servers, allowed, is_engine)?;
            check_adapters(configuration, &path.then("adapters"), served)?;
        }
    }
    Ok(())
}

fn check_links(configuration: &Configuration) -> Result<(), ConfigError> {
    for (name, link) in &configuration.links {
        let path = KeyPath::new("links").then(name);
        if link.rate_bytes_per_second.0 == 0 {
            let path = path.then("rate_bytes_per_second");
            return Err(ConfigError::at(path, "must be more than zero"));
        }
        let names_two = name.match_indices('.').any(|(dot, _)| {
            is_data_centre(configuration, &name[..dot])
                && is_data_centre(configuration, &name[dot + 1..])
        });
        if !names_two {
            let problem = "names no two data centres: write <from>.<to> as the servers name them";
            return Err(ConfigError::at(path, problem));
        }
    }
    Ok(())
}

fn is_data_centre(configuration: &Configuration, name: &str) -> bool {
    configuration.servers.values().any(|server| server.data_centre.as_str() == name)
}

/// Checks that each server is known, stands once in the list and has an allowed role.
pub(super) fn check_servers(
    configuration: &Configuration,
    path: &KeyPath,
    servers: &[ServerId],
    allowed: &str,
    is_allowed: impl Fn(ServerRole) -> bool,
) -> Result<(), ConfigError> {
    for (index, server) in servers.iter().enumerate() {
        let path = path.then(index);
        let Some(known) = configuration.servers.get(server) else {
            let problem = format!(
                "unknown server {:?}: add it to servers or remove it here",
                server.as_str()
            );
            return Err(ConfigError::at(path, problem));
        };
        if !is_allowed(known.role) {
            let problem = format!(
                "server {:?} has the wrong role {}: name one whose role is {allowed}",
                server.as_str(),
                known.role
            );
            return Err(ConfigError::at(path, problem));
        }
        if servers[..index].contains(server) {
            let problem = format!("duplicate server {:?}: remove it here", server.as_str());
            return Err(ConfigError::at(path, problem));
        }
    }
    Ok(())
}
