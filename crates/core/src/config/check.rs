//! Parsing and checks of a configuration document.

use jiff::tz::TimeZone;
use serde_json::Value;
use thiserror::Error;

use crate::config::document::{CallerTargets, Configuration, ServerRole};
use crate::config::window::MINUTES_PER_DAY;
use crate::ids::ServerId;

/// Why a configuration was refused.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ConfigError {
    /// The text is not a document of the expected shape.
    #[error("{0}")]
    Shape(String),
    /// A value is wrong.
    #[error("{path}: {problem}")]
    Value {
        /// Path of keys, joined by dots.
        path: String,
        /// What is wrong and what to change.
        problem: String,
    },
}

impl ConfigError {
    fn at(path: impl Into<String>, problem: impl Into<String>) -> Self {
        ConfigError::Value { path: path.into(), problem: problem.into() }
    }
}

/// Parses and checks a YAML document.
pub fn parse_document(text: &str) -> Result<Configuration, ConfigError> {
    let configuration: Configuration =
        serde_saphyr::from_str(text).map_err(|error| ConfigError::Shape(error.to_string()))?;
    check(&configuration)?;
    Ok(configuration)
}

/// Parses and checks a document that was already decoded.
pub fn parse_value(value: &Value) -> Result<Configuration, ConfigError> {
    let configuration: Configuration = serde_json::from_value(value.clone())
        .map_err(|error| ConfigError::Shape(error.to_string()))?;
    check(&configuration)?;
    Ok(configuration)
}

fn check(configuration: &Configuration) -> Result<(), ConfigError> {
    for (kind, targets) in &configuration.caller_kinds {
        check_targets(&format!("caller_kinds.{kind}"), targets)?;
    }
    for (id, route) in &configuration.routes {
        let path = format!("routes.{id}.servers");
        check_servers(configuration, &path, &route.servers, |role| role == ServerRole::Plain)?;
    }
    for (id, model) in &configuration.models {
        if !model.versions.contains_key(&model.default_version) {
            let problem =
                format!("names version {:?}, which is not served", model.default_version.as_str());
            return Err(ConfigError::at(format!("models.{id}.default_version"), problem));
        }
        for (version, served) in &model.versions {
            let path = format!("models.{id}.versions.{version}.servers");
            check_servers(configuration, &path, &served.servers, |role| role != ServerRole::Plain)?;
        }
    }
    Ok(())
}

fn check_servers(
    configuration: &Configuration,
    path: &str,
    servers: &[ServerId],
    is_allowed: impl Fn(ServerRole) -> bool,
) -> Result<(), ConfigError> {
    for server in servers {
        let Some(known) = configuration.servers.get(server) else {
            let problem = format!(
                "unknown server {:?}: add it to servers or remove it here",
                server.as_str()
            );
            return Err(ConfigError::at(path, problem));
        };
        if !is_allowed(known.role) {
            let problem =
                format!("server {:?} has the wrong role {:?}", server.as_str(), known.role);
            return Err(ConfigError::at(path, problem));
        }
    }
    Ok(())
}

fn check_targets(path: &str, targets: &CallerTargets) -> Result<(), ConfigError> {
    if TimeZone::get(&targets.time_zone).is_err() {
        let problem = format!("unknown time zone {:?}: use an IANA name", targets.time_zone);
        return Err(ConfigError::at(format!("{path}.time_zone"), problem));
    }
    let weights = [targets.goodput_weight, targets.wasted_prefill_weight];
    if weights.iter().any(|weight| !weight.is_finite() || *weight < 0.0) {
        return Err(ConfigError::at(path, "weights must be zero or more"));
    }
    check_coverage(path, targets)
}

fn check_coverage(path: &str, targets: &CallerTargets) -> Result<(), ConfigError> {
    let mut ranges = Vec::new();
    for (name, window) in &targets.windows {
        let path = format!("{path}.windows.{name}");
        let parts = window.ranges().map_err(|problem| ConfigError::at(path, problem))?;
        ranges.extend(parts.into_iter().map(|(from, until)| (from, until, name)));
    }
    ranges.sort();
    let mut covered_until = 0;
    for (from, until, name) in ranges {
        let path = format!("{path}.windows.{name}");
        if from < covered_until {
            return Err(ConfigError::at(path, "overlaps another window: move its from or until"));
        }
        if from > covered_until {
            let problem =
                format!("leaves {} to {} without a window", clock(covered_until), clock(from));
            return Err(ConfigError::at(path, problem));
        }
        covered_until = until;
    }
    if covered_until < MINUTES_PER_DAY {
        let problem = format!("leave {} to 24:00 without a window", clock(covered_until));
        return Err(ConfigError::at(format!("{path}.windows"), problem));
    }
    Ok(())
}

fn clock(minute: u32) -> String {
    format!("{:02}:{:02}", minute / 60, minute % 60)
}
