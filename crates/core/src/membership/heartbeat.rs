//! The heartbeat between instances, and the request for records that it may lead to.
//!
//! Each list in these messages is bounded, so that a heartbeat does not grow with the number of
//! instances.

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

/// Load of a backend server, as sent between instances.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadDigest {
    pub server: ServerId,
    pub load: ServerLoad,
    /// Time since the server's owner learned the load.
    pub age_ms: Millis,
}

/// Notice that a backend server is leaving.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeavingDigest {
    pub server: ServerId,
    /// Time since an instance last read it in the platform's list.
    pub age_ms: Millis,
}

/// What one instance sends to another at each heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Digest of the sender.
    pub own: MemberDigest,
    /// Members that changed recently.
    pub records: Vec<MemberDigest>,
    /// Heartbeat counters of live members of the sender's data centre; empty if the receiver is in
    /// another one.
    pub beats: Vec<MemberBeat>,
    /// Newest known summaries of data centres, without their members.
    pub heads: Vec<SummaryHead>,
    /// Live members of the sender's data centre, if the receiver is in another one.
    pub summary: Option<Summary>,
    /// Loads of backend servers.
    pub loads: Vec<LoadDigest>,
    /// Age of the platform's newest list of leaving servers that the sender knows of; `None` if it
    /// knows of none.
    pub list_age_ms: Option<Millis>,
    /// Backend servers that are leaving.
    pub leaving_servers: Vec<LeavingDigest>,
}

/// Asks for records and summaries that a heartbeat named and the receiver lacks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MembersRequest {
    /// Members whose records are asked for.
    pub keys: Vec<MemberKey>,
    /// Data centres whose summaries are asked for.
    pub data_centres: Vec<DataCentreId>,
}

/// The answer to a [`MembersRequest`]; what the sender does not know is left out.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Members {
    pub records: Vec<MemberDigest>,
    pub summaries: Vec<Summary>,
}
