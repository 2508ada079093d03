//! Actions that a node asks its process to carry out: the output of [`crate::node::Node::handle`].

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

/// A backend server and its address.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct ServerEndpoint {
    pub server: ServerId,
    pub address: SocketAddr,
}

/// A prefill call to a prefill engine.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct PrefillCall {
    pub request: RequestId,
    /// Stream of this attempt; a retry uses a new one.
    pub stream: StreamId,
    pub target: ServerEndpoint,
    pub weights: Weights,
    /// Run of this instance, which holds the stream.
    pub holder: Holder,
    /// Wall-clock time in ms at which the first token is due; lower values run first.
    pub priority: u64,
    /// Time limit of the whole call.
    pub timeout_ms: Millis,
}

/// A transfer of a KV cache from a prefill engine to a decode engine.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct TransferCall {
    pub request: RequestId,
    pub stream: StreamId,
    /// Decode engine, which imports.
    pub target: ServerEndpoint,
    /// Prefill engine, which exports.
    pub source: ServerEndpoint,
    /// Run of this instance, which holds the stream.
    pub holder: Holder,
    /// Memory to reserve for prompt and answer.
    pub kv_pieces: KvPieces,
    /// Limit on the length of the answer.
    pub max_tokens: Tokens,
    /// Time limit of the whole call.
    pub timeout_ms: Millis,
}

/// A read of the token stream of a decode engine.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct ReadCall {
    pub request: RequestId,
    pub stream: StreamId,
    /// Decode engine.
    pub target: ServerEndpoint,
    /// Run of this instance, which holds the stream.
    pub holder: Holder,
    /// Whether this read transfers the stream from another holder to this one.
    pub takes_over: bool,
    /// Index of the first token to read.
    pub from_index: u64,
    /// Silence after which the stream is reported broken.
    pub silence_ms: Millis,
    /// Request that the cursors sent with the tokens are bound to; `None` where the answer was
    /// resumed from an unbound cursor.
    pub binding: Option<RequestBinding>,
}

/// One attempt of a plain call.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct PlainCall {
    pub request: RequestId,
    pub target: ServerEndpoint,
    /// Time limit of this attempt.
    pub timeout_ms: Millis,
}

/// A decision for the log, written as one line of key=value pairs.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Value of the `event` key.
    pub event: &'static str,
    /// `None` where the decision concerns no single request.
    pub request: Option<RequestId>,
    /// Keys and values, in log order.
    pub fields: Vec<(&'static str, String)>,
}

/// An action for the process to carry out.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub enum Action {
    /// Sends a message to another instance.
    Send {
        to: InstanceId,
        /// Peer address of the receiver.
        address: SocketAddr,
        envelope: Envelope,
    },
    /// Starts a prefill.
    Prefill(PrefillCall),
    /// Transfers a KV cache.
    Transfer(TransferCall),
    /// Reads tokens and passes them to the caller.
    Read(ReadCall),
    /// Frees all memory of a stream at an engine.
    Cancel {
        target: ServerEndpoint,
        stream: StreamId,
        /// Holder that cancels; the engine keeps a stream that another holder took over.
        holder: Holder,
    },
    /// Asks a backend server for its load report.
    Poll(ServerEndpoint),
    /// Sends an order to an engine.
    Order { target: ServerEndpoint, order: EngineOrder },
    /// Calls a plain service.
    CallPlain(PlainCall),
    /// Forwards a plain call to the instance that issued its ticket.
    Forward {
        request: RequestId,
        /// Run of the instance that issued the ticket.
        home: Holder,
        /// Peer address of that instance.
        address: SocketAddr,
        /// Time limit of the whole call.
        timeout_ms: Millis,
    },
    /// Answers a caller with new tickets.
    AnswerTickets(RequestId, Vec<String>),
    /// Answers a caller with the response of a plain service.
    AnswerPlain(RequestId, PlainAnswer),
    /// Answers a caller with an error, which ends its request.
    AnswerError {
        request: RequestId,
        kind: ErrorKind,
        /// Value of `retry-after`; `None` where the kind of error has none.
        retry_after_ms: Option<Millis>,
    },
    /// Reads the whole document from the configuration service.
    FetchDocument,
    /// Logs a decision.
    Log(Decision),
    /// Ends the process; all work is done.
    Exit,
}
