//! One model request: its stage, its servers and its tries.

use std::collections::BTreeSet;

use crate::config::window::LatencyTargets;
use crate::event::ModelRequest;
use crate::ids::{ServerId, StreamId};
use crate::request::RequestBinding;
use crate::units::{KvPieces, Millis, Streams, Tokens};
use crate::weights::Weights;

/// Where a request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Waiting for its turn.
    Waiting,
    /// An owner was asked for a prefill slot; it was last heard of at this time.
    AskingSlot {
        /// When.
        since_ms: Millis,
    },
    /// An owner was asked for a seat at this time.
    Asking {
        /// When.
        since_ms: Millis,
    },
    /// The prompt is being computed.
    Prefilling,
    /// The KV cache is on its way.
    Transferring,
    /// The prompt is computed, its decode engine is lost, and an owner was asked for another seat.
    Reseating {
        /// When.
        since_ms: Millis,
    },
    /// Tokens are being generated.
    Decoding,
}

/// One model request on its way.
#[derive(Clone, Debug)]
pub struct Flow {
    /// What was asked; nothing for an answer that is continued by its cursor alone.
    pub model_request: Option<ModelRequest>,
    /// The weights that serve it; nothing for an answer that is continued by its cursor alone.
    pub weights: Option<Weights>,
    /// What its cursors are bound to; nothing where they come from an earlier release.
    pub binding: Option<RequestBinding>,
    /// Targets in force when it arrived.
    pub targets: LatencyTargets,
    /// When it arrived.
    pub arrived_ms: Millis,
    /// From when its target for the first token counts.
    pub due_from_ms: Millis,
    /// Where it stands.
    pub stage: Stage,
    /// Since when.
    pub stage_since_ms: Millis,
    /// The stream of the present try.
    pub stream: StreamId,
    /// Number of the present try.
    pub attempt: u64,
    /// The decode engine, from the request for its seat on.
    pub decode_server: Option<ServerId>,
    /// The prefill engine, from the start of the prefill on.
    pub prefill_server: Option<ServerId>,
    /// Prompt tokens that are not expected in the cache of the prefill engine.
    pub work_tokens: Tokens,
    /// Time that the owner of the prefill engine expected to pass before the prefill began.
    pub wait_ms: Millis,
    /// When the result of the prefill expires.
    pub result_until_ms: Millis,
    /// When the present transfer times out.
    pub transfer_until_ms: Millis,
    /// Whether a transfer of the present result timed out.
    pub has_stalled_transfer: bool,
    /// The prefill engine whose result could not be transferred last.
    pub failed_source: Option<ServerId>,
    /// Streams on the decode engine when the seat was granted.
    pub batch_streams: Streams,
    /// Memory set aside at the decode engine.
    pub kv_pieces: KvPieces,
    /// Index of the first token that the caller lacked when it asked here.
    pub first_index: u64,
    /// Index of the next token that the caller lacks.
    pub next_index: u64,
    /// Prefill engines whose owner refused this request.
    pub refused_by: BTreeSet<ServerId>,
    /// Engines that failed this request.
    pub excluded: BTreeSet<ServerId>,
    /// When the first token arrived.
    pub first_token_ms: Option<Millis>,
    /// Readings of the present stream.
    pub read_count: u64,
    /// When the last one was started.
    pub last_read_ms: Millis,
    /// When the present stream was last known to go on.
    pub last_progress_ms: Millis,
    /// When it is read again, where that waits.
    pub next_read_ms: Option<Millis>,
    /// Whether it fell silent since its last token.
    pub was_silent: bool,
    /// Readings in a row that broke without a silence or a token.
    pub broken_reads: u64,
    /// Whether the stream was taken over from another holder.
    pub is_taken_over: bool,
}

impl Flow {
    /// When the first token is due.
    pub fn first_token_due_ms(&self) -> Millis {
        self.due_from_ms + self.targets.first_token_ms
    }

    /// Whether the caller received the tokens before [`Flow::first_index`] elsewhere.
    pub fn is_resumed(&self) -> bool {
        self.first_index > 0
    }

    /// Whether a token was passed on to the caller here.
    pub fn has_passed_tokens(&self) -> bool {
        self.first_token_ms.is_some() || self.next_index > self.first_index
    }

    /// Whether the present try holds, or may hold, memory of its stream at a server.
    pub fn may_hold_memory_at(&self, server: &ServerId) -> bool {
        let is_at_prefill =
            self.stage != Stage::Decoding && self.prefill_server.as_ref() == Some(server);
        let is_at_decode =
            self.stage != Stage::Waiting && self.decode_server.as_ref() == Some(server);
        is_at_prefill || is_at_decode
    }
}
