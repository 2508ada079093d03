//! What engines take and give over HTTP and JSON.

use serde::{Deserialize, Serialize};
use turmericrail_core::ids::{AdapterId, ModelId, ModelVersion, StreamId};
use turmericrail_core::report::Holder;
use turmericrail_core::units::{KvPieces, Tokens};
use turmericrail_core::weights::Weights;

/// Body of `POST /prefill`; the answer comes when the prompt is computed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PrefillBody {
    /// The stream.
    pub stream: StreamId,
    /// Who holds it.
    pub holder: Holder,
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: ModelVersion,
    /// The adapter of that version, where one is to be used.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
    /// The prompt.
    pub prompt: String,
    /// Lower values go first.
    pub priority: u64,
}

/// Answer to a prefill.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PrefillAnswer {
    /// Prompt tokens found in the cache.
    pub cached_tokens: Tokens,
    /// Size of the result.
    pub kv_pieces: KvPieces,
}

/// Body of `POST /import` at a decode engine; the answer comes when the KV cache has arrived.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ImportBody {
    /// The stream.
    pub stream: StreamId,
    /// Who holds it.
    pub holder: Holder,
    /// IP number and port of the prefill engine.
    pub source: std::net::SocketAddr,
    /// Memory to set aside.
    pub kv_pieces: KvPieces,
    /// Most tokens of the answer.
    pub max_tokens: Tokens,
}

/// Body of `POST /cancel`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CancelBody {
    /// The stream.
    pub stream: StreamId,
    /// The holder in whose name it is cancelled; a stream of another holder stays.
    pub holder: Holder,
}

/// A line of `GET /tokens?stream=…&from=…&instance=…&incarnation=…&takes_over=…`, where instance
/// and incarnation name the reader. One that is not the holder is refused with status 409 unless
/// it takes the stream over.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TokenLine {
    /// One token.
    Token {
        /// Index within the answer, from zero.
        index: u64,
        /// The token's text.
        text: String,
    },
    /// The explicit end.
    End {
        /// Tokens of the whole answer.
        count: u64,
    },
}

/// Body of `POST /export` at a prefill engine, sent by the importing engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExportBody {
    /// The stream.
    pub stream: StreamId,
}

/// Answer to an export.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExportAnswer {
    /// The prompt, which stands for the KV cache.
    pub prompt: String,
    /// What it was computed with.
    pub weights: Weights,
}
