//! Load reports of backend servers.
//!
//! A report describes the past, so its users combine it with what this system itself has in flight.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::config::document::ServerRole;
use crate::ids::{
    AdapterId, FencingNumber, Incarnation, InstanceId, ModelId, ModelVersion, StreamId,
};
use crate::units::{KvPieces, Streams, Tokens};
use crate::weights::Weights;

/// One run of one instance: the process that holds a lease or a request.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[expect(missing_docs, reason = "the names say it")]
pub struct Holder {
    pub instance: InstanceId,
    /// Distinguishes runs of the instance; a later run has a higher number.
    pub incarnation: Incarnation,
}

/// A stream whose memory an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[expect(missing_docs, reason = "the names say it")]
pub struct HeldStream {
    pub holder: Holder,
    /// Engine memory in use.
    pub kv_pieces: KvPieces,
}

/// A load report of one backend server.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Streams whose memory is held.
    pub held: BTreeMap<StreamId, HeldStream>,
    /// Limit on concurrent streams.
    pub stream_limit_streams: Streams,
    /// Size of the KV memory.
    pub kv_total_pieces: KvPieces,
    /// Unused KV memory.
    pub kv_free_pieces: KvPieces,
    /// Prompt tokens waiting for prefill.
    pub queued_tokens: Tokens,
    /// Current role; `None` from servers that do not report one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<ServerRole>,
    /// Loaded versions of models.
    pub loaded: Vec<(ModelId, ModelVersion)>,
    /// Loaded adapters, each with its model and version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loaded_adapters: Vec<(ModelId, ModelVersion, AdapterId)>,
    /// Highest fencing number accepted.
    pub fencing_number: FencingNumber,
}

impl LoadReport {
    /// All loaded versions and adapters.
    pub fn loaded_weights(&self) -> BTreeSet<Weights> {
        let mut weights = BTreeSet::new();
        for (model, version) in &self.loaded {
            weights.insert(Weights::of_version(model.clone(), version.clone()));
        }
        for (model, version, adapter) in &self.loaded_adapters {
            let base = Weights::of_version(model.clone(), version.clone());
            weights.insert(Weights { adapter: Some(adapter.clone()), ..base });
        }
        weights
    }
}
