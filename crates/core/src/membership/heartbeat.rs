//! The heartbeat between instances and the digests that it carries.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, DataCentreId, Incarnation, InstanceId, ServerId};
use crate::report::Holder;
use crate::units::{KvPieces, Streams, Tokens};

/// What is known of one member, ordered by incarnation, then beat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberDigest {
    /// The instance.
    pub instance: InstanceId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Counter that rises with each heartbeat of the run.
    pub beat: u64,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// IP number and port of its peer edge.
    pub peer_address: std::net::SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreId,
}

/// Load of one backend server as its owner sees it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerLoad {
    /// Streams that can still be granted.
    pub free_streams: Streams,
    /// KV pieces that can still be granted.
    pub free_pieces: KvPieces,
    /// Prompt tokens waiting for prefill.
    pub queued_tokens: Tokens,
}

/// A heartbeat with digests of members, configuration and load.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: Holder,
    /// Number of the configuration version in force at the sender.
    pub config_version: ConfigVersion,
    /// Members known to the sender, itself included.
    pub members: Vec<MemberDigest>,
    /// Servers owned by the sender.
    pub loads: BTreeMap<ServerId, ServerLoad>,
}
