//! The heartbeat between instances. Each of its parts is bounded, whatever the size of the fleet.

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, MemberKey, ServerId};
use crate::membership::digest::{MemberBeat, MemberDigest};
use crate::membership::summary::{Summary, SummaryHead};
use crate::units::{KvPieces, Millis, Streams, Tokens};

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

/// Load of a backend server on its way between instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadDigest {
    /// The server.
    pub server: ServerId,
    /// Its load.
    pub load: ServerLoad,
    /// Time since its owner learned it.
    pub age_ms: Millis,
}

/// News that a backend server is leaving.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeavingDigest {
    /// The server.
    pub server: ServerId,
    /// Time since an instance read it in the platform's list.
    pub age_ms: Millis,
}

/// What one instance tells another with each beat.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The sender.
    pub own: MemberDigest,
    /// Members that changed lately.
    pub records: Vec<MemberDigest>,
    /// Beats of live members of the sender's data centre.
    pub beats: Vec<MemberBeat>,
    /// Summaries of data centres, by name.
    pub heads: Vec<SummaryHead>,
    /// The sender's data centre, where the receiver stands in another.
    pub summary: Option<Summary>,
    /// Loads of backend servers.
    pub loads: Vec<LoadDigest>,
    /// Time since the newest reading of the platform's list that the sender knows of.
    pub list_age_ms: Option<Millis>,
    /// Backend servers that are leaving.
    pub leaving_servers: Vec<LeavingDigest>,
}

/// Asks for what a digest named and the receiver lacks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MembersRequest {
    /// Members.
    pub keys: Vec<MemberKey>,
    /// Data centres.
    pub data_centres: Vec<DataCentreId>,
}

/// The answer to a [`MembersRequest`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Members {
    /// Members.
    pub records: Vec<MemberDigest>,
    /// Data centres.
    pub summaries: Vec<Summary>,
}
