//! `check`: validates settings and configuration files.

use std::path::Path;

use serde::Serialize;
use turmericrail::forward::settings::ForwardSettings;
use turmericrail::settings::Settings;
use turmericrail_core::config::{ConfigError, parse_document};

use super::read_file;
use crate::error::CommandError;
use crate::options::{FileToCheck, Format};
use crate::output::to_json;

#[derive(Serialize)]
struct CheckOutput {
    ok: bool,
    checked: Vec<String>,
}

/// Checks files in their order and fails at the first invalid one.
pub fn check(files: &[FileToCheck], format: Format) -> Result<String, CommandError> {
    let mut summaries = Vec::new();
    let mut checked = Vec::new();
    for file in files {
        let (path, summary) = match file {
            FileToCheck::Settings(path) => (path, check_file(path, summarise_settings)?),
            FileToCheck::Forward(path) => (path, check_file(path, summarise_forward)?),
            FileToCheck::Configuration(path) => (path, check_file(path, summarise_configuration)?),
        };
        summaries.push(format!("{}: {summary}", path.display()));
        checked.push(path.display().to_string());
    }
    Ok(match format {
        Format::Text => summaries.join("\n"),
        Format::Json => to_json(&CheckOutput { ok: true, checked }),
    })
}

fn check_file(
    path: &Path,
    parse_and_summarise: impl Fn(&str) -> Result<String, ConfigError>,
) -> Result<String, CommandError> {
    let text = read_file(path)?;
    let name = path.display().to_string();
    parse_and_summarise(&text).map_err(|problem| CommandError::Invalid { name, problem })
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
