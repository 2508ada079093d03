//! JSON bodies of the HTTP interface of engines.

use serde::{Deserialize, Serialize};
use turmericrail_core::ids::{AdapterId, ModelId, ModelVersion, StreamId};
use turmericrail_core::report::Holder;
use turmericrail_core::units::{KvPieces, Tokens};
use turmericrail_core::weights::Weights;

/// Body of `POST /prefill`; the answer is sent when the KV cache of the prompt is computed.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PrefillBody {
    pub stream: StreamId,
    pub holder: Holder,
    pub model: ModelId,
    pub version: ModelVersion,
    /// Adapter of that version; the version alone if it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
    pub prompt: String,
    /// Requests with lower values are served first.
    pub priority: u64,
}

/// Answer to a prefill.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PrefillAnswer {
    /// Prompt tokens found in the cache.
    pub cached_tokens: Tokens,
    /// Size of the computed KV cache.
    pub kv_pieces: KvPieces,
}

/// Body of `POST /import` at a decode engine; the answer is sent when the KV cache has arrived.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ImportBody {
    pub stream: StreamId,
    pub holder: Holder,
    /// Address of the prefill engine.
    pub source: std::net::SocketAddr,
    /// KV memory to reserve.
    pub kv_pieces: KvPieces,
    /// Token limit of the answer.
    pub max_tokens: Tokens,
}

/// Body of `POST /cancel`.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CancelBody {
    pub stream: StreamId,
    /// The holder that cancels the stream; a stream of another holder is not cancelled.
    pub holder: Holder,
}

/// A line of the answer to
/// `GET /tokens?stream=…&from=…&instance=…&incarnation=…&takes_over=…`, where `instance` and
/// `incarnation` identify the reader. A reader that is not the holder is refused with status 409
/// unless it takes the stream over.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TokenLine {
    /// One token.
    #[expect(missing_docs, reason = "the names say it")]
    Token {
        /// Index within the answer, from zero.
        index: u64,
        text: String,
    },
    /// The end of the answer. An answer without it is incomplete.
    End {
        /// Number of tokens of the whole answer.
        count: u64,
    },
}

/// Body of `POST /export` at a prefill engine, sent by the importing engine.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExportBody {
    pub stream: StreamId,
}

/// Answer to an export.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExportAnswer {
    /// The prompt, which represents the KV cache.
    pub prompt: String,
    /// Weights with which the KV cache was computed.
    pub weights: Weights,
}
