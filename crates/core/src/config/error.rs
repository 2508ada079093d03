//! Errors in a document: line, key path, problem and remedy.

use std::fmt;

use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;

use crate::config::key_path::KeyPath;
use crate::config::lines::LineTree;

/// Why a document was rejected.
#[derive(Clone, Debug, Error, PartialEq)]
pub struct ConfigError {
    /// Line in the text, counted from one; `None` where the document is not a text.
    pub line: Option<u64>,
    /// Path of the value; empty where it is not known.
    pub path: KeyPath,
    /// What is wrong and what to change.
    pub problem: String,
}

impl ConfigError {
    /// An error at a path whose line is not known.
    pub fn at(path: KeyPath, problem: impl Into<String>) -> Self {
        Self { line: None, path, problem: problem.into() }
    }

    /// Adds the line of the path in `text`.
    pub fn in_text(mut self, text: &str) -> Self {
        self.line = LineTree::of(text).line_of(&self.path).or(Some(1));
        self
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.path.0.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.problem)
    }
}

/// Decodes a YAML text; an error has the line and path of the problem where they are known.
pub fn decode_text<T: DeserializeOwned>(text: &str) -> Result<T, ConfigError> {
    let options = serde_saphyr::options! { with_snippet: false };
    serde_saphyr::from_str_with_options(text, options).map_err(|error| locate(&error, text))
}

fn locate(error: &serde_saphyr::Error, text: &str) -> ConfigError {
    let message = error.to_string();
    let problem = message.rsplit_once(" at line ").map_or(&*message, |(head, _)| head);
    let Some(location) = error.location() else {
        return ConfigError::at(KeyPath::default(), problem);
    };
    let mut path = LineTree::of(text).path_at(location.into());
    if matches!(error, serde_saphyr::Error::SerdeMissingField { .. }) {
        path.0.pop();
        let problem = format!("{problem}: add it here");
        return ConfigError::at(path, problem).in_text(text);
    }
    ConfigError { line: Some(location.line()), path, problem: problem.to_owned() }
}

/// Decodes a JSON value. Decodes it a second time on failure, with path tracking.
pub fn decode_value<T: DeserializeOwned>(value: &Value) -> Result<T, ConfigError> {
    if let Ok(decoded) = T::deserialize(value) {
        return Ok(decoded);
    }
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = KeyPath(error.path().iter().map(|segment| segment.to_string()).collect());
        ConfigError::at(path, error.inner().to_string())
    })
}
