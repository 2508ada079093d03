//! The version in force on one instance and the patches that led to it.
//!
//! The version in force never goes down. A patch applies only to the version just below its own;
//! a gap asks for the whole document. A version that fails its checks leaves the last good one in
//! force and is remembered, so that its number still counts as seen.

use std::collections::VecDeque;

use serde_json::Value;

use crate::config::check::parse_value;
use crate::config::document::Configuration;
use crate::config::error::ConfigError;
use crate::ids::ConfigVersion;

/// Patches kept for peers.
const KEPT_CHANGES: usize = 256;

/// One accepted patch: a merge patch (RFC 7386) and the number it became.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The number the patch became.
    pub version: ConfigVersion,
    /// The merge patch.
    pub patch: Value,
}

/// Documents and patches known to one instance.
#[derive(Clone, Debug, Default)]
pub struct ConfigHistory {
    in_force: Option<Configuration>,
    document: Value,
    document_version: ConfigVersion,
    changes: VecDeque<Change>,
    rejected: Option<(ConfigVersion, String)>,
}

impl ConfigHistory {
    /// The configuration in force.
    pub fn in_force(&self) -> Option<&Configuration> {
        self.in_force.as_ref()
    }

    /// Number of the version in force, zero before the first.
    pub fn version(&self) -> ConfigVersion {
        self.in_force.as_ref().map_or(ConfigVersion(0), |configuration| configuration.version)
    }

    /// Highest version whose document is known, applied or not.
    pub fn known_version(&self) -> ConfigVersion {
        self.document_version
    }

    /// The newest version that failed its checks, with the reason.
    pub fn rejected(&self) -> Option<&(ConfigVersion, String)> {
        self.rejected.as_ref()
    }

    /// The document of the highest known version.
    pub fn document(&self) -> &Value {
        &self.document
    }

    /// Takes a whole document; older ones are ignored.
    pub fn take_document(
        &mut self,
        version: ConfigVersion,
        document: Value,
    ) -> Result<bool, ConfigError> {
        if version <= self.document_version {
            return Ok(false);
        }
        self.changes.clear();
        self.install(version, document)
    }

    /// Takes patches in order; returns whether a gap needs the whole document.
    pub fn take_changes(&mut self, changes: Vec<Change>) -> Result<bool, ConfigError> {
        let mut problem = Ok(());
        for change in changes {
            if change.version <= self.document_version {
                continue;
            }
            if change.version.0 != self.document_version.0 + 1 || self.document.is_null() {
                return Ok(true);
            }
            let mut document = self.document.clone();
            json_patch::merge(&mut document, &change.patch);
            self.changes.push_back(change.clone());
            if self.changes.len() > KEPT_CHANGES {
                self.changes.pop_front();
            }
            problem = self.install(change.version, document).map(|_| ());
        }
        problem.map(|()| false)
    }

    /// The patches after `version`, or nothing where some are no longer kept.
    pub fn changes_after(&self, version: ConfigVersion) -> Option<Vec<Change>> {
        let first = self.changes.front()?.version;
        if version.0 + 1 < first.0 {
            return None;
        }
        Some(self.changes.iter().filter(|change| change.version > version).cloned().collect())
    }

    fn install(
        &mut self,
        version: ConfigVersion,
        mut document: Value,
    ) -> Result<bool, ConfigError> {
        if let Some(fields) = document.as_object_mut() {
            fields.insert("version".to_owned(), Value::from(version.0));
        }
        self.document_version = version;
        self.document = document;
        match parse_value(&self.document) {
            Ok(configuration) => {
                assert!(configuration.version > self.version(), "the version in force went down");
                self.in_force = Some(configuration);
                self.rejected = None;
                Ok(true)
            }
            Err(error) => {
                self.rejected = Some((version, error.to_string()));
                Err(error)
            }
        }
    }
}
