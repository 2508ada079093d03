//! The typed document of one configuration version.
//!
//! Collections are maps keyed by id, so that a merge patch (RFC 7386) can change a single entry.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::config::role_schedule::RoleSchedule;
use crate::config::window::TargetWindow;
use crate::ids::{
    AdapterId, CallerKind, ConfigVersion, DataCentreId, ModelId, ModelVersion, RouteId, ServerId,
};
use crate::serde_adapters::{IpAndPort, Quantity};
use crate::units::{Bytes, BytesPerSecond, KvPieces, Millis, Streams, WallMillis};
use crate::weights::Weights;

/// One version of the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "the names say it")]
pub struct Configuration {
    pub version: ConfigVersion,
    /// Latency targets by caller kind.
    #[serde(default)]
    pub caller_kinds: BTreeMap<CallerKind, CallerTargets>,
    /// Calls to plain services.
    #[serde(default)]
    pub routes: BTreeMap<RouteId, Route>,
    #[serde(default)]
    pub models: BTreeMap<ModelId, Model>,
    /// All backend servers.
    #[serde(default)]
    pub servers: BTreeMap<ServerId, Server>,
    /// Links for KV transfers, keyed by `<from>.<to>` data centres.
    #[serde(default)]
    pub links: BTreeMap<String, Link>,
    /// Limits that apply to every instance.
    #[serde(default)]
    pub limits: Limits,
}

/// Latency targets and weights of a caller kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerTargets {
    /// IANA name of the time zone of the windows.
    pub time_zone: String,
    /// Weight of a request completed within its targets.
    pub goodput_weight: f64,
    /// Weight of discarded prefill work.
    pub wasted_prefill_weight: f64,
    /// Windows by name; together they cover the day without overlap.
    pub windows: BTreeMap<String, TargetWindow>,
}

/// A call to plain services.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method.
    pub method: String,
    /// Path pattern; a segment in braces matches any one segment.
    pub path: String,
    /// Whether the call may be executed more than once; other calls need a ticket.
    pub idempotent: bool,
    /// Limit on the time to the whole answer.
    #[serde_as(as = "Quantity")]
    pub timeout_ms: Millis,
    /// Servers that take the call.
    pub servers: Vec<ServerId>,
}

/// A model and its versions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "the names say it")]
pub struct Model {
    /// Version for callers that name none.
    pub default_version: ModelVersion,
    pub versions: BTreeMap<ModelVersion, ServedVersion>,
}

/// A version of a model.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "the names say it")]
pub struct ServedVersion {
    /// Engines that may serve it.
    pub servers: Vec<ServerId>,
    /// Zero, the default, means that the weights are not loaded by orders.
    #[serde_as(as = "Quantity")]
    #[serde(default)]
    pub weights_bytes: Bytes,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub adapters: BTreeMap<AdapterId, ServedAdapter>,
}

/// An adapter: a small addition to the weights of a version.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServedAdapter {
    /// Engines that may serve it; each also serves the version.
    pub servers: Vec<ServerId>,
    /// Size without the weights of the version.
    #[serde_as(as = "Quantity")]
    pub weights_bytes: Bytes,
}

/// The kind of work that a backend server does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerRole {
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates tokens from KV caches.
    Decode,
    /// Answers plain calls.
    Plain,
}

impl std::fmt::Display for ServerRole {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ServerRole::Prefill => "prefill",
            ServerRole::Decode => "decode",
            ServerRole::Plain => "plain",
        })
    }
}

/// A backend server.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "the names say it")]
pub struct Server {
    pub data_centre: DataCentreId,
    #[serde_as(as = "IpAndPort")]
    pub address: std::net::SocketAddr,
    /// Role outside the windows of `role_schedule`; orders can change it.
    pub role: ServerRole,
    /// Roles by time of day. Needs `checks_fencing`, since a late order could change the role back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role_schedule: Option<RoleSchedule>,
    /// Whether the server refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Memory for weights. Without it, all listed weights are loaded and none are unloaded.
    #[serde_as(as = "Option<Quantity>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weights_memory_bytes: Option<Bytes>,
    /// Limit on concurrent streams.
    #[serde_as(as = "Quantity")]
    #[serde(default = "default_stream_limit")]
    pub stream_limit_streams: Streams,
    /// Size of the KV memory.
    #[serde_as(as = "Quantity")]
    #[serde(default = "default_kv_pieces")]
    pub kv_pieces: KvPieces,
}

impl Server {
    /// Scheduled role at a wall-clock time.
    pub fn role_at(&self, wall_ms: WallMillis) -> ServerRole {
        let scheduled = self.role_schedule.as_ref().and_then(|schedule| schedule.role_at(wall_ms));
        scheduled.unwrap_or(self.role)
    }
}

fn default_stream_limit() -> Streams {
    Streams(20)
}

fn default_kv_pieces() -> KvPieces {
    KvPieces(2000)
}

/// A link for KV transfers.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Limit shared by all transfers on the link.
    #[serde_as(as = "Quantity")]
    pub rate_bytes_per_second: BytesPerSecond,
}

/// Limits that apply to every instance.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Size of the KV cache of one token.
    #[serde_as(as = "Quantity")]
    pub kv_bytes_per_token: Bytes,
    /// Tokens in one KV piece.
    pub tokens_per_piece: u64,
    /// Retries allowed per hundred first attempts.
    pub retry_percent: u64,
    /// Limit on the model requests that wait on one instance.
    pub queue_limit_requests: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            kv_bytes_per_token: Bytes(160_000),
            tokens_per_piece: 16,
            retry_percent: 20,
            queue_limit_requests: 500,
        }
    }
}

/// Size of a version or adapter, and the engines that may serve it.
#[derive(Clone, Copy, Debug)]
#[expect(missing_docs, reason = "the names say it")]
pub struct PlacedWeights<'a> {
    pub servers: &'a [ServerId],
    /// Size of the adapter alone, or of the version.
    pub weights_bytes: Bytes,
}

impl Configuration {
    /// KV pieces needed for `tokens`, at least one.
    pub fn pieces_for(&self, tokens: u64) -> KvPieces {
        KvPieces(tokens.div_ceil(self.limits.tokens_per_piece.max(1)).max(1))
    }

    /// The named version of a model, or its default version; `None` where it is not served.
    pub fn served_version(
        &self,
        model: &ModelId,
        version: Option<&ModelVersion>,
    ) -> Option<(ModelVersion, &ServedVersion)> {
        let model = self.models.get(model)?;
        let version = version.unwrap_or(&model.default_version);
        model.versions.get(version).map(|served| (version.clone(), served))
    }

    /// Whether orders load these weights: adapters, and versions with a size.
    pub fn is_loaded_by_orders(&self, weights: &Weights) -> bool {
        let served = self.served_version(&weights.model, Some(&weights.version));
        let is_sized = served.is_some_and(|(_, served)| served.weights_bytes > Bytes::ZERO);
        is_sized || weights.adapter.is_some()
    }

    /// All versions and adapters in order, with the engines that may serve them.
    pub fn weights(&self) -> Vec<(Weights, PlacedWeights<'_>)> {
        let mut all = Vec::new();
        for (model, known) in &self.models {
            for (version, served) in &known.versions {
                let weights = Weights::of_version(model.clone(), version.clone());
                let placed =
                    PlacedWeights { servers: &served.servers, weights_bytes: served.weights_bytes };
                all.push((weights.clone(), placed));
                for (adapter, served) in &served.adapters {
                    let weights = Weights { adapter: Some(adapter.clone()), ..weights.clone() };
                    let weights_bytes = served.weights_bytes;
                    all.push((weights, PlacedWeights { servers: &served.servers, weights_bytes }));
                }
            }
        }
        all
    }
}
