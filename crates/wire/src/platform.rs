//! What the platform's services tell over HTTP and JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use turmericrail_core::ids::{ConfigVersion, InstanceId, ServerId};
use turmericrail_core::membership::ListedInstance;
use turmericrail_core::units::BytesPerSecond;

/// Answer to `GET /configuration`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DocumentAnswer {
    /// The newest version.
    pub version: ConfigVersion,
    /// Its document.
    pub document: Value,
}

/// Answer to `GET /configuration/changes?after=…&wait_ms=…`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangesAnswer {
    /// Patches in order; empty where none came in time.
    pub changes: Vec<ChangeAnswer>,
}

/// One accepted patch.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangeAnswer {
    /// The number it became.
    pub version: ConfigVersion,
    /// The merge patch.
    pub patch: Value,
}

/// Answer to `GET /instances`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct InstancesAnswer {
    /// Entry instances.
    pub instances: BTreeMap<InstanceId, ListedInstance>,
    /// Backend servers that are leaving.
    pub leaving_servers: Vec<ServerId>,
}

/// Answer to `GET /weight-store`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct WeightStoreAnswer {
    /// Rate for the whole deployment.
    pub rate_bytes_per_second: BytesPerSecond,
}
