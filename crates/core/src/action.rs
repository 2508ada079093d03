//! What a node wants done: everything that comes out of [`crate::node::Node::handle`].

use std::net::SocketAddr;

use crate::error_kind::ErrorKind;
use crate::event::PlainAnswer;
use crate::ids::{InstanceId, RequestId, ServerId, StreamId};
use crate::message::Envelope;
use crate::placement::EngineOrder;
use crate::report::Holder;
use crate::request::RequestBinding;
use crate::units::{KvPieces, Millis, Tokens};
use crate::weights::Weights;

/// A backend server and where it is reached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerEndpoint {
    /// The server.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
}

/// Work for a prefill engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefillCall {
    /// The request.
    pub request: RequestId,
    /// The stream.
    pub stream: StreamId,
    /// The engine.
    pub target: ServerEndpoint,
    /// The model, version and adapter.
    pub weights: Weights,
    /// Who holds the stream.
    pub holder: Holder,
    /// Lower values go first.
    pub priority: u64,
    /// Longest wait.
    pub timeout_ms: Millis,
}

/// Transfer of a KV cache to a decode engine.
#[derive(Clone, Debug, PartialEq)]
pub struct TransferCall {
    /// The request.
    pub request: RequestId,
    /// The stream.
    pub stream: StreamId,
    /// The decode engine, which imports.
    pub target: ServerEndpoint,
    /// The prefill engine, which exports.
    pub source: ServerEndpoint,
    /// Who holds the stream.
    pub holder: Holder,
    /// Memory to set aside.
    pub kv_pieces: KvPieces,
    /// Most tokens of the answer.
    pub max_tokens: Tokens,
    /// Longest wait.
    pub timeout_ms: Millis,
}

/// Reading of a stream's tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadCall {
    /// The request.
    pub request: RequestId,
    /// The stream.
    pub stream: StreamId,
    /// The decode engine.
    pub target: ServerEndpoint,
    /// Who holds the stream.
    pub holder: Holder,
    /// Whether the reader takes the stream over from another holder.
    pub takes_over: bool,
    /// Index of the first token to read.
    pub from_index: u64,
    /// Longest silence before the stream counts as broken.
    pub silence_ms: Millis,
    /// What the cursors of its tokens are bound to.
    pub binding: Option<RequestBinding>,
}

/// One try of a plain call.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainCall {
    /// The request.
    pub request: RequestId,
    /// The server.
    pub target: ServerEndpoint,
    /// Longest wait.
    pub timeout_ms: Millis,
}

/// A decision to be logged: one line of key=value pairs.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The log event.
    pub event: &'static str,
    /// The request, where there is one.
    pub request: Option<RequestId>,
    /// The pairs.
    pub fields: Vec<(&'static str, String)>,
}

/// What a node wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to another instance.
    Send {
        /// The receiver.
        to: InstanceId,
        /// Its peer edge.
        address: SocketAddr,
        /// The message.
        envelope: Envelope,
    },
    /// Start a prefill.
    Prefill(PrefillCall),
    /// Transfer a KV cache.
    Transfer(TransferCall),
    /// Read tokens and pass them to the caller.
    Read(ReadCall),
    /// Free all memory of a stream at an engine.
    Cancel {
        /// The engine.
        target: ServerEndpoint,
        /// The stream.
        stream: StreamId,
        /// The holder in whose name it is cancelled; a stream that moved to another one stays.
        holder: Holder,
    },
    /// Ask a backend server for its load.
    Poll(ServerEndpoint),
    /// Give an order to an engine.
    Order {
        /// The engine.
        target: ServerEndpoint,
        /// The order.
        order: EngineOrder,
    },
    /// Call a plain service.
    CallPlain(PlainCall),
    /// Forward a plain call to the instance that issued its ticket.
    Forward {
        /// The request.
        request: RequestId,
        /// The run that issued the ticket.
        home: Holder,
        /// Its peer edge.
        address: SocketAddr,
        /// Longest wait.
        timeout_ms: Millis,
    },
    /// Give a caller tickets.
    AnswerTickets(RequestId, Vec<String>),
    /// Give a caller the answer of a plain service.
    AnswerPlain(RequestId, PlainAnswer),
    /// Give a caller its final answer: it failed.
    AnswerError {
        /// The request.
        request: RequestId,
        /// Why.
        kind: ErrorKind,
        /// When to come back.
        retry_after_ms: Option<Millis>,
    },
    /// Read the whole document from the configuration service.
    FetchDocument,
    /// Log a decision.
    Log(Decision),
    /// All work is done and the process may end.
    Exit,
}
