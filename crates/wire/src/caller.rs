//! What callers send and get: the completion request and its answers.

use serde::{Deserialize, Serialize};
use turmericrail_core::error_kind::{ErrorKind, Outcome};
use turmericrail_core::ids::{
    AdapterId, CallerKind, ModelId, ModelVersion, RequestId, WorkspaceId,
};
use turmericrail_core::units::Tokens;

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionBody {
    /// The model.
    pub model: ModelId,
    /// Its version; the configuration's default where it is missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<ModelVersion>,
    /// An adapter of that version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
    /// The prompt.
    pub prompt: String,
    /// Most tokens of the answer.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: Tokens,
    /// Whether to send tokens as they come.
    #[serde(default)]
    pub stream: bool,
    /// The caller's workspace.
    pub workspace: WorkspaceId,
    /// Whose targets apply.
    pub caller_kind: CallerKind,
}

fn default_max_tokens() -> Tokens {
    Tokens(256)
}

/// One token of a streamed answer, the data of an event whose id is the cursor.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenEvent {
    /// Index within the answer, from zero.
    pub index: u64,
    /// The token's text.
    pub text: String,
}

/// The explicit end of a streamed answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndEvent {
    /// Always `completed`.
    pub outcome: Outcome,
    /// Tokens of the whole answer.
    pub count: u64,
}

/// A whole answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CompletionAnswer {
    /// The request, for `turmericctl explain`.
    pub request: RequestId,
    /// Always `completed`.
    pub outcome: Outcome,
    /// The text.
    pub text: String,
    /// Tokens of the answer.
    pub count: u64,
}

/// The final answer of a request that did not complete.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// The request, for `turmericctl explain`.
    pub request: RequestId,
    /// Why.
    pub error: ErrorKind,
    /// What the caller may conclude.
    pub outcome: Outcome,
    /// One sentence for people.
    pub message: String,
    /// When to come back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Most tickets of one call.
pub const MAX_TICKETS: usize = 100;

/// Body of `POST /v1/tickets`; may be missing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TicketBody {
    /// How many tickets, from 1 to [`MAX_TICKETS`].
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
    /// The first ticket; goes into the `idempotency-key` header of one call.
    pub ticket: String,
    /// All tickets, one for each call.
    pub tickets: Vec<String>,
    /// Time that they can be spent.
    pub valid_ms: u64,
}
