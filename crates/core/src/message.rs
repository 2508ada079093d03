//! Messages between instances.
//!
//! A message can be lost, duplicated, delayed or reordered, so receivers handle each one
//! idempotently.

use serde_json::Value;

use crate::config::Change;
use crate::ids::{ConfigVersion, RequestId, ServerId, StreamId};
use crate::membership::{Heartbeat, Members, MembersRequest};
use crate::report::Holder;
use crate::units::{KvPieces, Millis};
use crate::weights::Weights;

/// Units of [`SeatRequest::cost`] in a millisecond.
pub const COST_UNITS_PER_MS: f64 = 1_000.0;

/// A message with its sender.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct Envelope {
    /// Run of the sending instance.
    pub from: Holder,
    /// Highest configuration version whose document the sender knows, even if it failed its checks.
    pub config_version: ConfigVersion,
    pub message: PeerMessage,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Shows that the sender is alive; carries member digests.
    Heartbeat(Box<Heartbeat>),
    /// Shows that the sender is alive to an owner of engines in another data centre.
    Keepalive,
    /// Asks for the member records and data centre summaries that a heartbeat named and the sender
    /// lacks.
    MembersRequest(MembersRequest),
    /// Answers a [`MembersRequest`] with member records and data centre summaries.
    Members(Members),
    /// Asks the owner of an engine for a seat or a prefill slot.
    SeatRequest(SeatRequest),
    /// Answers a [`SeatRequest`], at once or when a queued request is decided on.
    SeatReply(SeatReply),
    /// Returns a seat or a prefill slot to the owner.
    Release(StreamOnServer),
    /// Tells the owner that the sender now holds the stream.
    Claim(StreamOnServer),
    /// Asks the holder of leases which of their requests are still active.
    LeaseCheck(Vec<StreamOnServer>),
    /// Asks for the configuration patches after a version.
    ChangesRequest(ConfigVersion),
    /// Configuration patches.
    Changes(Vec<Change>),
    /// A whole configuration document.
    Document(ConfigVersion, Value),
}

/// A stream on an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct StreamOnServer {
    pub server: ServerId,
    pub stream: StreamId,
}

/// A request for a seat (capacity for one stream) at a decode engine, or for a slot (the turn of
/// one prompt) at a prefill engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeatRequest {
    /// Number of the request at the requesting instance.
    pub request: RequestId,
    /// Engine and stream that the seat is for.
    pub seat: StreamOnServer,
    /// Memory to reserve at a decode engine; the uncached part of the prompt at a prefill engine.
    pub kv_pieces: KvPieces,
    /// Time from now in which the prefill must end; zero asks for a decode seat.
    pub latest_in_ms: Millis,
    /// Cost of serving the request divided by its weight, for a prefill slot; unit: 1/1000 ms of
    /// engine time.
    pub cost: u64,
    /// Weights that serve the request; `None` if the sender runs an earlier version of the
    /// program.
    pub weights: Option<Weights>,
}

/// The answer to a [`SeatRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct SeatReply {
    /// Number of the request at the requesting instance.
    pub request: RequestId,
    /// Engine and stream that the seat is for.
    pub seat: StreamOnServer,
    pub is_granted: bool,
    /// Whether the request waits at a prefill engine for a slot.
    pub is_queued: bool,
    /// Work ahead of the request at a prefill engine; zero in answers about decode seats.
    pub wait_ms: Millis,
    /// Whether the engine has not loaded the weights.
    pub is_lacking: bool,
}
