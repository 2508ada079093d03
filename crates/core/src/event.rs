//! What happens to a node: everything that goes into [`crate::node::Node::handle`].

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
    /// Monotonic time, for leases and deadlines.
    pub monotonic_ms: Millis,
    /// Wall-clock time, for time windows alone.
    pub wall_ms: WallMillis,
}

/// A model call as the decisions see it; the prompt itself stays at the caller edge.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRequest {
    /// Number at this instance.
    pub request: RequestId,
    /// The caller's workspace.
    pub workspace: WorkspaceId,
    /// Whose targets apply.
    pub caller_kind: CallerKind,
    /// The model asked for.
    pub model: ModelId,
    /// The version asked for.
    pub version: Option<ModelVersion>,
    /// The adapter asked for.
    pub adapter: Option<AdapterId>,
    /// Estimated length of the prompt.
    pub prompt_tokens: Tokens,
    /// Most tokens of the answer.
    pub max_tokens: Tokens,
    /// Hash of each prefix of the prompt, shortest first, a fixed block apart.
    pub prefix_hashes: Vec<u64>,
    /// Hash of the whole request, by which a cursor is tied to it.
    pub fingerprint: u64,
}

/// A call to a plain service; its body stays at the caller edge.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainRequest {
    /// Number at this instance.
    pub request: RequestId,
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// The ticket, as the caller sent it.
    pub ticket: Option<String>,
    /// Whether another instance forwarded the call.
    pub is_forwarded: bool,
    /// Hash of the method, the whole path and the body.
    pub fingerprint: u64,
}

/// How the forwarding of a call to its ticket's home ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardResult {
    /// The home answered with the service's answer.
    Answered(PlainAnswer),
    /// The home answered with an error.
    Failed(ErrorKind),
    /// No answer came.
    Lost,
}

/// An answer of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlainAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// How one try of a plain call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlainResult {
    /// The server answered.
    Answered(PlainAnswer),
    /// Nothing was written to the server.
    NotSent,
    /// Something was written and no whole answer came.
    Lost,
}

/// What happens to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A caller asks for a completion.
    ModelRequest(ModelRequest),
    /// A caller asks to continue an answer.
    ResumeRequest {
        /// Number at this instance.
        request: RequestId,
        /// The cursor, as the caller sent it.
        cursor: String,
        /// The request whose answer it continues, where the caller sent it along.
        asked: Option<ModelRequest>,
    },
    /// A caller asks for tickets.
    TicketRequest {
        /// Number at this instance.
        request: RequestId,
        /// How many.
        count: usize,
    },
    /// A caller, or another instance on its behalf, calls a plain service.
    PlainRequest(PlainRequest),
    /// One try of a plain call ended.
    PlainResult(RequestId, ServerId, PlainResult),
    /// The forwarding of a plain call ended.
    ForwardResult(RequestId, ForwardResult),
    /// A caller closed its connection.
    CallerGone(RequestId),
    /// A prefill finished; its result waits for export.
    PrefillDone {
        /// The request.
        request: RequestId,
        /// The stream.
        stream: StreamId,
        /// Prompt tokens found in the engine's cache.
        cached_tokens: Tokens,
    },
    /// A prefill failed or its connection was lost.
    PrefillFailed(RequestId, StreamId),
    /// A KV transfer finished.
    TransferDone(RequestId, StreamId),
    /// A KV transfer failed or stalled.
    TransferFailed(RequestId, StreamId),
    /// The first token of a stream arrived.
    FirstToken(RequestId, StreamId),
    /// A stream came to its explicit end.
    StreamEnded(RequestId, StreamId),
    /// A stream broke or went silent before its end.
    StreamBroken {
        /// The request.
        request: RequestId,
        /// The stream.
        stream: StreamId,
        /// Index of the next token that the caller lacks.
        next_index: u64,
        /// Whether the engine still knows the stream.
        is_held: bool,
    },
    /// A backend server reported its load.
    Report(ServerId, LoadReport),
    /// A backend server did not answer.
    ReportFailed(ServerId),
    /// Another instance said something.
    Peer(Envelope),
    /// The configuration service told a whole document.
    ConfigDocument(ConfigVersion, Value),
    /// The configuration service told patches.
    ConfigChanges(Vec<Change>),
    /// A call of the configuration service was answered or failed.
    ConfigService {
        /// Whether an answer came.
        is_answered: bool,
    },
    /// The platform's list of entry instances.
    InstanceList(BTreeMap<InstanceId, ListedInstance>),
    /// The platform's list of backend servers that are leaving.
    LeavingServers(Vec<ServerId>),
    /// The rate that the weight store gives to the whole deployment.
    WeightRate(BytesPerSecond),
    /// The process was told to end.
    Shutdown,
}
