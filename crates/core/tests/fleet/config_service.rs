//! A stand-in for the platform's configuration service and list of leaving servers.

use std::collections::BTreeSet;

use serde_json::Value;
use turmericrail_core::config::Change;
use turmericrail_core::ids::{ConfigVersion, ServerId};

/// The platform's services.
#[derive(Clone, Debug)]
pub struct FakeConfigService {
    pub document: Value,
    pub changes: Vec<Value>,
    pub is_down: bool,
    /// Where set, nothing newer than this version is told.
    pub max_served_version: Option<u64>,
    /// Data centres that can't reach the services.
    pub cut_off: BTreeSet<String>,
    pub leaving_servers: Vec<ServerId>,
    /// Calls counted, a waiting watch as one.
    pub call_count: u64,
}

impl FakeConfigService {
    pub fn version(&self) -> u64 {
        1 + self.changes.len() as u64
    }

    pub fn served_version(&self) -> u64 {
        self.max_served_version.map_or(self.version(), |stale| stale.min(self.version()))
    }

    pub fn document_at(&self, version: u64) -> Value {
        let mut document = self.document.clone();
        for patch in &self.changes[..version as usize - 1] {
            json_patch::merge(&mut document, patch);
        }
        document
    }

    pub fn changes_after(&self, after: u64) -> Vec<Change> {
        let versions = after.max(1) + 1..=self.served_version();
        let change = |version: u64| Change {
            version: ConfigVersion(version),
            patch: self.changes[version as usize - 2].clone(),
        };
        versions.map(change).collect()
    }
}
