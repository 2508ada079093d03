//! What backend servers report about themselves, as this package sees it.
//!
//! Reports lag: they tell what was true some time ago. Callers of this module pair them with what
//! this system itself has in flight.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::config::document::ServerRole;
use crate::ids::{
    AdapterId, FencingNumber, Incarnation, InstanceId, ModelId, ModelVersion, StreamId,
};
use crate::units::{KvPieces, Streams, Tokens};
use crate::weights::Weights;

/// The process that holds a lease or a request: one run of one instance.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Holder {
    /// The instance.
    pub instance: InstanceId,
    /// Its run.
    pub incarnation: Incarnation,
}

/// One stream whose memory an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldStream {
    /// Who holds it.
    pub holder: Holder,
    /// Engine memory in use.
    pub kv_pieces: KvPieces,
}

/// A load report of one backend server.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Streams whose memory is held.
    pub held: BTreeMap<StreamId, HeldStream>,
    /// Most streams at a time.
    pub stream_limit_streams: Streams,
    /// All KV pieces.
    pub kv_total_pieces: KvPieces,
    /// KV pieces not in use.
    pub kv_free_pieces: KvPieces,
    /// Prompt tokens waiting for prefill.
    pub queued_tokens: Tokens,
    /// Its role, where it tells one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<ServerRole>,
    /// Models and versions loaded.
    pub loaded: Vec<(ModelId, ModelVersion)>,
    /// Adapters loaded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loaded_adapters: Vec<(ModelId, ModelVersion, AdapterId)>,
    /// Highest fencing number accepted.
    pub fencing_number: FencingNumber,
}

impl LoadReport {
    /// Everything that is loaded.
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
