//! The version in force on one instance and the patches that led to it.
//!
//! The version in force never goes down. A patch applies only to the version just below its own;
//! a gap asks for the whole document. A version that fails its checks leaves the last good one in
//! force and is remembered, so that its number still counts as seen.

use std::collections::VecDeque;

use serde_json::Value;

use crate::config::check::parse_value;
use crate::config::document::Configuration;
use crate::config::entry_patch::apply_by_entry;
use crate::config::error::ConfigError;
use crate::ids::ConfigVersion;

/// Most patches kept for peers.
const KEPT_CHANGES: usize = 256;
/// Most bytes of patches kept for peers, as JSON.
const KEPT_BYTES: usize = 256 * 1024;

/// One accepted patch: a merge patch (RFC 7386) and the number it became.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The number the patch became.
    pub version: ConfigVersion,
    /// The merge patch.
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

    /// The version in force that last named servers, the only one that may have changed them.
    pub fn servers_version(&self) -> ConfigVersion {
        self.servers_version
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
        self.kept_bytes = 0;
        self.document = document;
        self.number_document(version);
        self.install().map(|()| true)
    }

    /// Takes patches in order; returns whether a gap needs the whole document.
    ///
    /// A run of patches is checked once, at its end. Where that version fails its checks, the run
    /// is taken one by one, so that the newest good version comes into force.
    pub fn take_changes(&mut self, changes: Vec<Change>) -> Result<bool, ConfigError> {
        let known = self.document_version;
        let news: Vec<_> = changes.into_iter().filter(|change| change.version > known).collect();
        let expected = (known.0 + 1..).map(ConfigVersion);
        let is_next = |(change, version): &(&Change, ConfigVersion)| change.version == *version;
        let count = news.iter().zip(expected).take_while(is_next).count();
        let has_gap = count < news.len() || (self.document.is_null() && !news.is_empty());
        if count == 0 || self.document.is_null() {
            return Ok(has_gap);
        }
        let run = &news[..count];
        let before = (count > 1).then(|| self.document.clone());
        let result = self.install_run(run);
        let result = match (result, before) {
            (Err(_), Some(before)) => self.install_each(before, run),
            (result, _) => result,
        };
        news.into_iter().take(count).for_each(|change| self.keep(change));
        result.map(|()| has_gap)
    }

    /// The patches after `version`, or nothing where some are no longer kept.
    pub fn changes_after(&self, version: ConfigVersion) -> Option<Vec<Change>> {
        let first = self.changes.front()?.change.version;
        if version.0 + 1 < first.0 {
            return None;
        }
        let changes = self.changes.iter().map(|kept| &kept.change);
        Some(changes.filter(|change| change.version > version).cloned().collect())
    }

    fn install_run(&mut self, run: &[Change]) -> Result<(), ConfigError> {
        let Some(last) = run.last() else {
            return Ok(());
        };
        let is_in_force = self.version() == self.document_version;
        for change in run {
            json_patch::merge(&mut self.document, &change.patch);
        }
        self.number_document(last.version);
        if is_in_force && self.install_by_entry(run, last.version) {
            return Ok(());
        }
        self.install()
    }

    /// Applies a run to the version in force by entry, where that is possible.
    fn install_by_entry(&mut self, run: &[Change], version: ConfigVersion) -> bool {
        let Some(configuration) = &mut self.in_force else {
            return false;
        };
        let patches = run.iter().map(|change| &change.patch);
        if !apply_by_entry(configuration, patches, &self.document) {
            return false;
        }
        assert!(version > configuration.version, "the version in force went down");
        configuration.version = version;
        if run.iter().any(|change| change.patch.get("servers").is_some()) {
            self.servers_version = version;
        }
        self.rejected = None;
        true
    }

    fn install_each(&mut self, before: Value, run: &[Change]) -> Result<(), ConfigError> {
        self.document = before;
        let mut result = Ok(());
        for change in run {
            result = self.install_run(std::slice::from_ref(change));
        }
        result
    }

    fn keep(&mut self, change: Change) {
        let size_bytes = change.patch.to_string().len();
        self.kept_bytes += size_bytes;
        self.changes.push_back(KeptChange { change, size_bytes });
        while self.changes.len() > KEPT_CHANGES || self.kept_bytes > KEPT_BYTES {
            let Some(dropped) = self.changes.pop_front() else {
                return;
            };
            self.kept_bytes -= dropped.size_bytes;
        }
    }

    fn number_document(&mut self, version: ConfigVersion) {
        if let Some(fields) = self.document.as_object_mut() {
            fields.insert("version".to_owned(), Value::from(version.0));
        }
        self.document_version = version;
    }

    /// Decodes and checks the whole document and puts it in force where it is good.
    fn install(&mut self) -> Result<(), ConfigError> {
        match parse_value(&self.document) {
            Ok(configuration) => {
                assert!(configuration.version > self.version(), "the version in force went down");
                self.servers_version = configuration.version;
                self.in_force = Some(configuration);
                self.rejected = None;
                Ok(())
            }
            Err(error) => {
                self.rejected = Some((self.document_version, error.to_string()));
                Err(error)
            }
        }
    }
}
