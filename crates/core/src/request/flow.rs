//! State of one model request in flight.

use std::collections::BTreeSet;

use crate::config::window::LatencyTargets;
use crate::event::ModelRequest;
use crate::ids::{ServerId, StreamId};
use crate::request::RequestBinding;
use crate::units::{KvPieces, Millis, Streams, Tokens};
use crate::weights::Weights;

/// Progress of a request. Logs print it with `{:?}`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub enum Stage {
    /// Waits to be scheduled.
    Waiting,
    /// Waits for a slot, for which the owner of a prefill engine was asked.
    AskingSlot {
        /// When the owner last answered, or the first request was sent.
        since_ms: Millis,
        /// Whether the owner has answered that the request is queued.
        is_queued: bool,
    },
    /// Waits for a seat, for which the owner of a decode engine was asked.
    Asking { since_ms: Millis },
    /// A prefill engine computes the prompt.
    Prefilling,
    /// The KV cache is being transferred.
    Transferring,
    /// The prompt is computed but its decode engine was lost; asks for a seat at another one.
    Reseating { since_ms: Millis },
    /// The decode engine generates tokens.
    Decoding,
}

/// A model request in flight.
#[derive(Clone, Debug)]
#[expect(missing_docs, reason = "the names say it")]
pub struct Flow {
    /// `None` for an answer that is resumed by its cursor alone.
    pub model_request: Option<ModelRequest>,
    /// Weights that serve the request; `None` for an answer that is resumed by its cursor alone.
    pub weights: Option<Weights>,
    /// Request that its cursors are bound to; `None` where it was resumed by a cursor that an
    /// earlier version of the program issued.
    pub binding: Option<RequestBinding>,
    /// Targets that applied when it arrived; zero where they are not known.
    pub targets: LatencyTargets,
    pub arrived_ms: Millis,
    /// When the time limit for the first token starts: the arrival, or the last retry of an answer
    /// whose caller already has tokens.
    pub due_from_ms: Millis,
    pub stage: Stage,
    pub stage_since_ms: Millis,
    /// Stream of the current attempt.
    pub stream: StreamId,
    /// Number of the current attempt, counted from one.
    pub attempt: u64,
    /// Decode engine; set from the request for its seat on.
    pub decode_server: Option<ServerId>,
    /// Prefill engine; set from the request for its slot on.
    pub prefill_server: Option<ServerId>,
    /// Prompt tokens that the prefill engine is not expected to have cached.
    pub work_tokens: Tokens,
    /// Wait before the prefill as predicted by the owner of the engine.
    pub wait_ms: Millis,
    /// When the computed KV cache expires at the prefill engine.
    pub result_until_ms: Millis,
    /// When the current transfer times out.
    pub transfer_until_ms: Millis,
    /// Whether a transfer of the current KV cache timed out.
    pub has_stalled_transfer: bool,
    /// Prefill engine of the last failed transfer.
    pub failed_source: Option<ServerId>,
    /// Streams on the decode engine when the seat was granted, this one included.
    pub batch_streams: Streams,
    /// Memory reserved at the decode engine.
    pub kv_pieces: KvPieces,
    /// Index of the first token that the caller lacked on arrival; zero unless resumed.
    pub first_index: u64,
    /// Index of the next token that the caller lacks, as of the last broken read.
    pub next_index: u64,
    /// Prefill engines whose owner refused the current attempt.
    pub refused_by: BTreeSet<ServerId>,
    /// Engines that failed this request.
    pub excluded: BTreeSet<ServerId>,
    /// When the first token arrived here.
    pub first_token_ms: Option<Millis>,
    /// Reads of the current stream.
    pub read_count: u64,
    /// When the last read started.
    pub last_read_ms: Millis,
    /// When the current stream was last known to progress: its first read, or a broken read that
    /// had delivered tokens.
    pub last_progress_ms: Millis,
    /// When the stream is read again, if that is delayed.
    pub next_read_ms: Option<Millis>,
    /// Whether the stream fell silent since its last token.
    pub was_silent: bool,
    /// Consecutive reads that broke without a silence or a token.
    pub broken_reads: u64,
    /// Whether the stream was taken over from another holder.
    pub is_taken_over: bool,
}

impl Flow {
    /// When the first token is due.
    pub fn first_token_due_ms(&self) -> Millis {
        self.due_from_ms + self.targets.first_token_ms
    }

    /// Whether the caller received the tokens before [`Flow::first_index`] in an earlier call.
    pub fn is_resumed(&self) -> bool {
        self.first_index > 0
    }

    /// Whether a token was sent to the caller in this call.
    pub fn has_sent_tokens_to_caller(&self) -> bool {
        self.first_token_ms.is_some() || self.next_index > self.first_index
    }

    /// Whether the current attempt may hold memory at a server.
    pub fn may_hold_memory_at(&self, server: &ServerId) -> bool {
        let is_at_prefill =
            self.stage != Stage::Decoding && self.prefill_server.as_ref() == Some(server);
        let is_at_decode =
            self.stage != Stage::Waiting && self.decode_server.as_ref() == Some(server);
        is_at_prefill || is_at_decode
    }
}
