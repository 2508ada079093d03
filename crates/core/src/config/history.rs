//! The configuration in force on one instance and the patches that led to it.
//!
//! The version in force never decreases. A patch applies only to the version just below its own;
//! after a gap the whole document is fetched. A version that fails its checks leaves the last valid
//! one in force but counts as known.

use std::collections::VecDeque;

use serde_json::Value;

use crate::config::check::parse_value;
use crate::config::document::Configuration;
use crate::config::entry_patch::apply_by_entry;
use crate::config::error::ConfigError;
use crate::ids::ConfigVersion;

/// Limit on the patches kept for other instances.
const MAX_KEPT_CHANGES: usize = 256;
/// Limit on the JSON size of the patches kept for other instances.
const MAX_KEPT_BYTES: usize = 256 * 1024;

/// An accepted patch.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Version that the patch leads to.
    pub version: ConfigVersion,
    /// Merge patch (RFC 7386).
    pub patch: Value,
}

#[derive(Clone, Debug)]
struct KeptChange {
    change: Change,
    size_bytes: usize,
}

/// Documents and patches known to one instance.
#[derive(Clone, Debug, Default)]
pub struct ConfigHistory {
    in_force: Option<Configuration>,
    servers_version: ConfigVersion,
    document: Value,
    document_version: ConfigVersion,
    changes: VecDeque<KeptChange>,
    kept_bytes: usize,
    rejected_version: Option<(ConfigVersion, String)>,
}

impl ConfigHistory {
    /// The configuration in force.
    pub fn in_force(&self) -> Option<&Configuration> {
        self.in_force.as_ref()
    }

    /// Version in force; zero before the first.
    pub fn version(&self) -> ConfigVersion {
        self.in_force.as_ref().map_or(ConfigVersion(0), |configuration| configuration.version)
    }

    /// Last version in force that may have changed servers.
    pub fn servers_version(&self) -> ConfigVersion {
        self.servers_version
    }

    /// Highest version whose document is known, in force or rejected.
    pub fn known_version(&self) -> ConfigVersion {
        self.document_version
    }

    /// Newest version that failed its checks, with the reason; cleared by the next valid one.
    pub fn rejected_version(&self) -> Option<&(ConfigVersion, String)> {
        self.rejected_version.as_ref()
    }

    /// Document of the highest known version.
    pub fn document(&self) -> &Value {
        &self.document
    }

    /// Takes a whole document. Returns whether it is now in force; older ones are ignored.
    pub fn take_document(
        &mut self,
        version: ConfigVersion,
        document: Value,
    ) -> Result<bool, ConfigError> {
        if version <= self.document_version {
            return Ok(false);
        }
        self.changes.clear();
        self.kept_bytes = 0;
        self.document = document;
        self.set_document_version(version);
        self.install().map(|()| true)
    }

    /// Takes patches in order. Returns whether a gap makes the whole document necessary.
    ///
    /// Consecutive patches are validated once, as a batch. Where the last version of the batch is
    /// invalid, they are applied one by one, so that the newest valid version comes into force.
    pub fn take_changes(&mut self, changes: Vec<Change>) -> Result<bool, ConfigError> {
        let known = self.document_version;
        let new_changes: Vec<_> =
            changes.into_iter().filter(|change| change.version > known).collect();
        let expected = (known.0 + 1..).map(ConfigVersion);
        let is_next = |(change, version): &(&Change, ConfigVersion)| change.version == *version;
        let count = new_changes.iter().zip(expected).take_while(is_next).count();
        let has_gap =
            count < new_changes.len() || (self.document.is_null() && !new_changes.is_empty());
        if count == 0 || self.document.is_null() {
            return Ok(has_gap);
        }
        let batch = &new_changes[..count];
        let before = (count > 1).then(|| self.document.clone());
        let result = self.install_batch(batch);
        let result = match (result, before) {
            (Err(_), Some(before)) => self.install_one_by_one(before, batch),
            (result, _) => result,
        };
        new_changes.into_iter().take(count).for_each(|change| self.keep(change));
        result.map(|()| has_gap)
    }

    /// Patches after `version`; `None` where some are no longer kept.
    pub fn changes_after(&self, version: ConfigVersion) -> Option<Vec<Change>> {
        let first = self.changes.front()?.change.version;
        if version.0 + 1 < first.0 {
            return None;
        }
        let changes = self.changes.iter().map(|kept| &kept.change);
        Some(changes.filter(|change| change.version > version).cloned().collect())
    }

    fn install_batch(&mut self, batch: &[Change]) -> Result<(), ConfigError> {
        let Some(last) = batch.last() else {
            return Ok(());
        };
        let is_in_force = self.version() == self.document_version;
        for change in batch {
            json_patch::merge(&mut self.document, &change.patch);
        }
        self.set_document_version(last.version);
        if is_in_force && self.install_by_entry(batch, last.version) {
            return Ok(());
        }
        self.install()
    }

    /// Applies a batch to single entries of the version in force, where that is possible.
    fn install_by_entry(&mut self, batch: &[Change], version: ConfigVersion) -> bool {
        let Some(configuration) = &mut self.in_force else {
            return false;
        };
        let patches = batch.iter().map(|change| &change.patch);
        if !apply_by_entry(configuration, patches, &self.document) {
            return false;
        }
        assert!(version > configuration.version, "the version in force went down");
        configuration.version = version;
        if batch.iter().any(|change| change.patch.get("servers").is_some()) {
            self.servers_version = version;
        }
        self.rejected_version = None;
        true
    }

    fn install_one_by_one(&mut self, before: Value, batch: &[Change]) -> Result<(), ConfigError> {
        self.document = before;
        let mut result = Ok(());
        for change in batch {
            result = self.install_batch(std::slice::from_ref(change));
        }
        result
    }

    fn keep(&mut self, change: Change) {
        let size_bytes = change.patch.to_string().len();
        self.kept_bytes += size_bytes;
        self.changes.push_back(KeptChange { change, size_bytes });
        while self.changes.len() > MAX_KEPT_CHANGES || self.kept_bytes > MAX_KEPT_BYTES {
            let Some(dropped) = self.changes.pop_front() else {
                return;
            };
            self.kept_bytes -= dropped.size_bytes;
        }
    }

    fn set_document_version(&mut self, version: ConfigVersion) {
        if let Some(fields) = self.document.as_object_mut() {
            fields.insert("version".to_owned(), Value::from(version.0));
        }
        self.document_version = version;
    }

    /// Decodes and validates the whole document and puts it in force if it is valid.
    fn install(&mut self) -> Result<(), ConfigError> {
        match parse_value(&self.document) {
            Ok(configuration) => {
                assert!(configuration.version > self.version(), "the version in force went down");
                self.servers_version = configuration.version;
                self.in_force = Some(configuration);
                self.rejected_version = None;
                Ok(())
            }
            Err(error) => {
                self.rejected_version = Some((self.document_version, error.to_string()));
                Err(error)
            }
        }
    }
}
