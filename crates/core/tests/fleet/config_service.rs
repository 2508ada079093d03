//! Fake of the platform's configuration service and of its list of leaving servers.

use std::collections::BTreeSet;

use serde_json::Value;
use turmericrail_core::config::Change;
use turmericrail_core::ids::{ConfigVersion, ServerId};

/// State of the fake services. The first version is `document`; each change makes a new one.
#[derive(Clone, Debug)]
pub struct FakeConfigService {
    pub document: Value,
    pub changes: Vec<Value>,
    pub is_down: bool,
    /// If set, no newer version is served.
    pub max_served_version: Option<u64>,
    /// Data centres that cannot reach the services.
    pub cut_off_data_centres: BTreeSet<String>,
    pub leaving_servers: Vec<ServerId>,
    /// Number of calls; a watch counts once for the whole time that it waits.
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
