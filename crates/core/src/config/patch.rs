//! Patches against a numbered version, as operators write them, and their dry run.
//!
//! A patch file names the version that it was made against and contains a merge patch (RFC 7386).
//! It can become the next version only if that version is still the newest and the patched document
//! is valid.

use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::config::check::parse_value;
use crate::config::error::{ConfigError, decode_text};
use crate::config::key_path::KeyPath;
use crate::ids::ConfigVersion;

/// Why a patch is refused.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PatchError {
    /// The patch was made against another version.
    #[error(
        "patch refused: it was made against version {patched}, but version {current} is the \
         newest: look at what changed in between, then set base_version to {current}"
    )]
    VersionMismatch {
        /// Version that the patch names.
        patched: ConfigVersion,
        /// Newest version.
        current: ConfigVersion,
    },
    /// The patch changes nothing.
    #[error("patch refused: it changes nothing in version {0}")]
    NoChange(ConfigVersion),
    /// The patch or the patched document is invalid.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
}

/// A merge patch (RFC 7386) and the version that it was made against.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PatchFile {
    /// Version that the patch was made against.
    pub base_version: ConfigVersion,
    /// Merge patch without the key `version`.
    pub patch: Value,
}

impl PatchFile {
    /// Parses the text of a patch file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let file: Self = decode_text(text)?;
        if !file.patch.is_object() {
            let problem = "must hold the keys of the configuration that change";
            return Err(ConfigError::at(KeyPath::new("patch"), problem).in_text(text));
        }
        if file.patch.get("version").is_some() {
            let path = KeyPath::new("patch").join("version");
            let problem = "the platform numbers the versions: remove it here";
            return Err(ConfigError::at(path, problem).in_text(text));
        }
        Ok(file)
    }

    /// The patched document, validated; it keeps the version of `document`.
    pub fn apply_to(&self, document: &Value) -> Result<Value, PatchError> {
        let version = document.get("version").and_then(Value::as_u64);
        let current = ConfigVersion(version.unwrap_or_default());
        if self.base_version != current {
            return Err(PatchError::VersionMismatch { patched: self.base_version, current });
        }
        let mut patched = document.clone();
        json_patch::merge(&mut patched, &self.patch);
        parse_value(&patched)?;
        if patched == *document {
            return Err(PatchError::NoChange(current));
        }
        Ok(patched)
    }
}
