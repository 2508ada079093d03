//! State and switches of an engine.

use std::collections::BTreeMap;

use turmericrail_core::ids::StreamId;
use turmericrail_core::report::LoadReport;

use crate::engine::stream::EngineStream;
use crate::orders::OrderState;
use crate::text;

/// State and switches of an engine.
#[derive(Debug, Default)]
pub struct EngineState {
    /// Streams whose memory is held.
    pub streams: BTreeMap<StreamId, EngineStream>,
    /// Streams that came to their end and can still be read.
    pub ended: BTreeMap<StreamId, EngineStream>,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens computed and discarded before use.
    pub wasted_tokens: u64,
    /// Prompt tokens waiting.
    pub queued_tokens: u64,
    /// What orders did.
    pub orders: OrderState,
    /// Whether the engine does nothing and answers nothing.
    pub is_frozen: bool,
    /// Whether the process is gone: every call fails.
    pub is_down: bool,
    /// Whether KV transfers to this engine never finish.
    pub is_transfer_stalled: bool,
    /// Where set, every report tells this.
    pub stale_report: Option<LoadReport>,
    /// Token readings opened so far.
    pub reader_count: u64,
    /// Readers numbered below this hear nothing more while generation goes on.
    pub stalled_below: u64,
    /// Readers numbered below this lose their connections.
    pub disconnected_below: u64,
}

impl EngineState {
    /// Silences the present token readers; new ones are heard.
    pub fn stall_readers(&mut self) {
        self.stalled_below = self.reader_count + 1;
    }

    /// Cuts the connections of the present token readers.
    pub fn disconnect_readers(&mut self) {
        self.disconnected_below = self.reader_count + 1;
    }

    /// Ends the engine as a crash does: all memory is lost and calls fail.
    pub fn crash(&mut self) {
        self.is_down = true;
        self.streams.clear();
        self.ended.clear();
    }

    pub(super) fn find(&self, stream: &StreamId) -> Option<&EngineStream> {
        self.streams.get(stream).or_else(|| self.ended.get(stream))
    }

    pub(super) fn waste(&mut self, stream: &StreamId) {
        let Some(dropped) = self.streams.remove(stream) else {
            return;
        };
        if dropped.is_computed {
            self.wasted_tokens += text::prompt_tokens(&dropped.prompt);
        }
    }
}
