//! Messages between instances.
//!
//! Delivery is neither certain nor in order nor single: every message can be lost, repeated or
//! late, and each receiver's handling is idempotent.

use serde_json::Value;

use crate::config::Change;
use crate::ids::{ConfigVersion, RequestId, ServerId, StreamId};
use crate::membership::{Heartbeat, Members, MembersRequest};
use crate::report::Holder;
use crate::units::{KvPieces, Millis};
use crate::weights::Weights;

/// Scale of the cost in a [`SeatRequest`].
pub const COST_UNITS_PER_MS: f64 = 1_000.0;

/// A message with its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// The sender.
    pub from: Holder,
    /// Highest configuration version whose document the sender knows, in force or not.
    pub config_version: ConfigVersion,
    /// What is said.
    pub message: PeerMessage,
}

/// What one instance says to another.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Sign of life with digests.
    Heartbeat(Box<Heartbeat>),
    /// Sign of life towards the owner of engines of another data centre.
    Keepalive,
    /// Asks for members that a digest named.
    MembersRequest(MembersRequest),
    /// Members and data centres.
    Members(Members),
    /// Asks the owner of an engine for a seat.
    SeatRequest(SeatRequest),
    /// The owner's answer.
    SeatReply(SeatReply),
    /// Gives a seat back.
    Release(StreamOnServer),
    /// Tells the owner that the sender now holds the stream.
    Claim(StreamOnServer),
    /// Asks the holder of leases whether it still has their requests.
    LeaseCheck(Vec<StreamOnServer>),
    /// Asks for the configuration patches after a version.
    ChangesRequest(ConfigVersion),
    /// Configuration patches.
    Changes(Vec<Change>),
    /// A whole configuration document.
    Document(ConfigVersion, Value),
}

/// One stream on one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamOnServer {
    /// The engine.
    pub server: ServerId,
    /// The stream.
    pub stream: StreamId,
}

/// A request for a seat at a decode engine, or for a prompt's turn at a prefill engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeatRequest {
    /// The request at the asking instance.
    pub request: RequestId,
    /// Where and for which stream.
    pub seat: StreamOnServer,
    /// Memory to set aside; at a prefill engine, the part of the prompt to be computed.
    pub kv_pieces: KvPieces,
    /// At a prefill engine, the time in which the prefill must end; zero asks for a decode seat.
    pub latest_in_ms: Millis,
    /// At a prefill engine, the cost of serving the request for its weight, in thousandths of a
    /// millisecond of engine time.
    pub cost: u64,
    /// The weights that serve the request; older releases don't tell.
    pub weights: Option<Weights>,
}

/// The answer to a request for a seat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeatReply {
    /// The request at the asking instance.
    pub request: RequestId,
    /// Where and for which stream.
    pub seat: StreamOnServer,
    /// Whether the seat was granted.
    pub is_granted: bool,
    /// At a prefill engine, whether the request waits there for its turn.
    pub is_queued: bool,
    /// At a prefill engine, the work that is ahead.
    pub wait_ms: Millis,
    /// Whether it was refused because the engine lacks the weights.
    pub is_lacking: bool,
}
