//! Events that a node handles: the input of [`crate::node::Node::handle`].

use std::collections::BTreeMap;

use serde_json::Value;

use crate::config::Change;
use crate::error_kind::ErrorKind;
use crate::ids::{
    AdapterId, CallerKind, ConfigVersion, InstanceId, ModelId, ModelVersion, RequestId, ServerId,
    StreamId, WorkspaceId,
};
use crate::membership::ListedInstance;
use crate::message::Envelope;
use crate::report::LoadReport;
use crate::units::{BytesPerSecond, Millis, Tokens, WallMillis};

/// The time at which an event is handled.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Now {
    /// Monotonic clock, for leases and deadlines.
    pub monotonic_ms: Millis,
    /// Wall clock; may jump, so it is used only for time windows and for the priority of prefills.
    pub wall_ms: WallMillis,
}

/// A model request without its prompt, which stays at the caller edge.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct ModelRequest {
    /// Number of the request at this instance.
    pub request: RequestId,
    /// Customer that sent the request.
    pub workspace: WorkspaceId,
    /// Selects the latency targets.
    pub caller_kind: CallerKind,
    pub model: ModelId,
    /// `None` selects the default version.
    pub version: Option<ModelVersion>,
    /// `None` uses the version without an adapter.
    pub adapter: Option<AdapterId>,
    /// Estimated length of the prompt.
    pub prompt_tokens: Tokens,
    /// Limit on the length of the answer.
    pub max_tokens: Tokens,
    /// Hash of each prefix of the prompt, shortest first; each prefix is one block of fixed size
    /// longer than the one before.
    pub prefix_hashes: Vec<u64>,
    /// Hash of the whole request, which a cursor is bound to.
    pub fingerprint: u64,
}

/// A call to a plain service without its body, which stays at the caller edge.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct PlainRequest {
    /// Number of the request at this instance.
    pub request: RequestId,
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Ticket as the caller sent it, not yet verified.
    pub ticket: Option<String>,
    /// Whether another instance forwarded the call.
    pub is_forwarded: bool,
    /// Hash of the method, the whole path and the body.
    pub fingerprint: u64,
}

/// Result of forwarding a call to the instance that issued its ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardResult {
    /// That instance returned the answer of the service.
    Answered(PlainAnswer),
    /// That instance returned an error.
    Failed(ErrorKind),
    /// No answer arrived.
    Lost,
}

/// Answer of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct PlainAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of `content-type`.
    pub content_type: String,
    pub body: Vec<u8>,
}

/// Result of one attempt of a plain call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlainResult {
    /// The server answered.
    Answered(PlainAnswer),
    /// Nothing was written to the server, so the call did not run there.
    NotSent,
    /// Something was written but no whole answer arrived, so the call may have run.
    Lost,
}

/// An input of the node.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub enum Event {
    /// Time passed.
    Tick,
    /// A caller asks for a completion.
    ModelRequest(ModelRequest),
    /// A caller asks to resume an answer.
    ResumeRequest {
        /// Number of the request at this instance.
        request: RequestId,
        /// Cursor as the caller sent it, not yet verified.
        cursor: String,
        /// The original request; `None` where the caller sent only the cursor.
        model_request: Option<ModelRequest>,
    },
    /// A caller asks for tickets.
    TicketRequest {
        /// Number of the request at this instance.
        request: RequestId,
        /// Number of tickets.
        count: usize,
    },
    /// A caller, or another instance on its behalf, calls a plain service.
    PlainRequest(PlainRequest),
    /// An attempt of a plain call ended.
    PlainResult(RequestId, ServerId, PlainResult),
    /// A forwarded plain call ended.
    ForwardResult(RequestId, ForwardResult),
    /// A caller closed its connection.
    CallerGone(RequestId),
    /// A prefill finished; the KV cache is ready for transfer.
    PrefillDone {
        request: RequestId,
        stream: StreamId,
        /// Prompt tokens found in the prefix cache of the engine.
        cached_tokens: Tokens,
    },
    /// A prefill failed or its connection was lost.
    PrefillFailed(RequestId, StreamId),
    /// A KV transfer finished.
    TransferDone(RequestId, StreamId),
    /// A KV transfer failed or timed out.
    TransferFailed(RequestId, StreamId),
    /// The first token of a stream arrived.
    FirstToken(RequestId, StreamId),
    /// A stream sent its end marker.
    StreamEnded(RequestId, StreamId),
    /// A stream broke or went silent before its end marker.
    StreamBroken {
        request: RequestId,
        stream: StreamId,
        /// Index of the first token not yet passed to the caller.
        next_index: u64,
        /// Whether the engine may still hold the stream.
        is_held: bool,
    },
    /// A backend server reported its load.
    Report(ServerId, LoadReport),
    /// A backend server did not answer a poll.
    ReportFailed(ServerId),
    /// A message from another instance arrived.
    Peer(Envelope),
    /// The configuration service sent a whole document.
    ConfigDocument(ConfigVersion, Value),
    /// The configuration service sent patches.
    ConfigChanges(Vec<Change>),
    /// A call to the configuration service ended.
    ConfigService {
        /// Whether it was answered.
        is_answered: bool,
    },
    /// The platform's list of instances that serve callers.
    InstanceList(BTreeMap<InstanceId, ListedInstance>),
    /// The platform's list of backend servers that are leaving.
    LeavingServers(Vec<ServerId>),
    /// The weight store's transfer rate for the whole deployment.
    WeightRate(BytesPerSecond),
    /// The process was asked to end.
    Shutdown,
}
