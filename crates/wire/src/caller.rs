//! Requests of callers and the answers to them, as JSON: completions and tickets.

use serde::{Deserialize, Serialize};
use turmericrail_core::error_kind::{ErrorKind, Outcome};
use turmericrail_core::ids::{
    AdapterId, CallerKind, ModelId, ModelVersion, RequestId, WorkspaceId,
};
use turmericrail_core::units::Tokens;

/// Body of `POST /v1/completions`.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionBody {
    pub model: ModelId,
    /// Version of the model; the configuration's default if it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<ModelVersion>,
    /// Adapter of that version; the version alone if it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
    pub prompt: String,
    /// Token limit of the answer.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: Tokens,
    /// Whether tokens are sent as they are generated.
    #[serde(default)]
    pub stream: bool,
    pub workspace: WorkspaceId,
    /// Selects the latency targets.
    pub caller_kind: CallerKind,
}

fn default_max_tokens() -> Tokens {
    Tokens(256)
}

/// One token of a streamed answer: the data of an event whose id is the cursor.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenEvent {
    /// Index within the answer, from zero.
    pub index: u64,
    pub text: String,
}

/// The end of a streamed answer. An answer without it is incomplete.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndEvent {
    /// Always `completed`.
    pub outcome: Outcome,
    /// Number of tokens of the whole answer.
    pub count: u64,
}

/// An answer that is sent as a whole.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CompletionAnswer {
    /// Id of the request, for `turmericctl explain`.
    pub request: RequestId,
    /// Always `completed`.
    pub outcome: Outcome,
    pub text: String,
    /// Number of tokens of the answer.
    pub count: u64,
}

/// The final answer to a request that did not complete.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// Id of the request, for `turmericctl explain`.
    pub request: RequestId,
    pub error: ErrorKind,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Explanation for people, in one sentence.
    pub message: String,
    /// Time after which the caller may retry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Most tickets that one call may request.
pub const MAX_TICKETS: usize = 100;

/// Body of `POST /v1/tickets`; the body may be missing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TicketBody {
    /// Number of tickets, from 1 to [`MAX_TICKETS`].
    #[serde(default = "default_ticket_count")]
    pub count: usize,
}

fn default_ticket_count() -> usize {
    1
}

impl Default for TicketBody {
    fn default() -> Self {
        Self { count: default_ticket_count() }
    }
}

/// Body of the answer to `POST /v1/tickets`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketAnswer {
    /// The first ticket. A ticket is sent in the `idempotency-key` header of one call.
    pub ticket: String,
    /// All tickets, the first one included.
    pub tickets: Vec<String>,
    /// Time for which the tickets are valid.
    pub valid_ms: u64,
}
