//! `check`: settings and configuration files.

use std::path::Path;

use serde::Serialize;
use turmericrail::forward::settings::ForwardSettings;
use turmericrail::settings::Settings;
use turmericrail_core::config::{ConfigError, parse_document};

use super::read_file;
use crate::error::ControlError;
use crate::options::{Checked, Format};
use crate::output::to_json;

#[derive(Serialize)]
struct CheckShown {
    ok: bool,
    checked: Vec<String>,
}

/// Checks files; the first wrong one is the error.
pub fn check(files: &[Checked], format: Format) -> Result<String, ControlError> {
    let mut summaries = Vec::new();
    let mut checked = Vec::new();
    for file in files {
        let (path, summary) = match file {
            Checked::Settings(path) => (path, check_file(path, summarise_settings)?),
            Checked::Forward(path) => (path, check_file(path, summarise_forward)?),
            Checked::Configuration(path) => (path, check_file(path, summarise_configuration)?),
        };
        summaries.push(format!("{}: {summary}", path.display()));
        checked.push(path.display().to_string());
    }
    Ok(match format {
        Format::Text => summaries.join("\n"),
        Format::Json => to_json(&CheckShown { ok: true, checked }),
    })
}

fn check_file(
    path: &Path,
    summarise: impl Fn(&str) -> Result<String, ConfigError>,
) -> Result<String, ControlError> {
    let text = read_file(path)?;
    let name = path.display().to_string();
    summarise(&text).map_err(|problem| ControlError::Wrong { name, problem })
}

fn summarise_settings(text: &str) -> Result<String, ConfigError> {
    let settings = Settings::parse(text)?;
    Ok(format!(
        "good settings of instance {} in data centre {}",
        settings.instance, settings.data_centre
    ))
}

fn summarise_forward(text: &str) -> Result<String, ConfigError> {
    let settings = ForwardSettings::parse(text)?;
    Ok(format!(
        "good settings of forwarding instance {} in data centre {}",
        settings.instance, settings.data_centre
    ))
}

fn summarise_configuration(text: &str) -> Result<String, ConfigError> {
    let configuration = parse_document(text)?;
    Ok(format!(
        "good configuration, version {}: {} caller kinds, {} routes, {} models, {} servers",
        configuration.version,
        configuration.caller_kinds.len(),
        configuration.routes.len(),
        configuration.models.len(),
        configuration.servers.len()
    ))
}
