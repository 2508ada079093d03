//! JSON answers of the platform's services: configuration, instance list and weight store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use turmericrail_core::ids::{ConfigVersion, InstanceId, ServerId};
use turmericrail_core::membership::ListedInstance;
use turmericrail_core::units::BytesPerSecond;

/// Answer to `GET /configuration`: the newest version.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DocumentAnswer {
    pub version: ConfigVersion,
    pub document: Value,
}

/// Answer to `GET /configuration/changes?after=…&wait_ms=…`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangesAnswer {
    /// Patches in the order of their versions; empty if none was accepted within `wait_ms`.
    pub changes: Vec<ChangeAnswer>,
}

/// An accepted patch of the configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangeAnswer {
    /// The version that the patch results in.
    pub version: ConfigVersion,
    /// JSON merge patch (RFC 7386).
    pub patch: Value,
}

/// Answer to `GET /instances`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct InstancesAnswer {
    /// Instances of the deployment.
    pub instances: BTreeMap<InstanceId, ListedInstance>,
    /// Backend servers that are leaving.
    pub leaving_servers: Vec<ServerId>,
}

/// Answer to `GET /weight-store`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct WeightStoreAnswer {
    /// Rate at which the weight store serves the whole deployment.
    pub rate_bytes_per_second: BytesPerSecond,
}
