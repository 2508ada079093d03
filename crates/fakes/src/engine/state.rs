//! State of a fake engine and the switches by which tests make it fail.

use std::collections::BTreeMap;

use turmericrail_core::ids::StreamId;
use turmericrail_core::report::LoadReport;

use crate::engine::stream::EngineStream;
use crate::orders::OrderState;
use crate::text;

/// State of a fake engine, with the switches that tests set.
#[derive(Debug, Default)]
pub struct EngineState {
    /// Streams that occupy memory.
    pub streams: BTreeMap<StreamId, EngineStream>,
    /// Completed streams that can still be read.
    pub completed_streams: BTreeMap<StreamId, EngineStream>,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens whose computed KV cache was discarded.
    pub wasted_tokens: u64,
    /// Prompt tokens that are waiting or being computed.
    pub queued_tokens: u64,
    /// Role and loaded weights, and the orders received.
    pub orders: OrderState,
    /// Whether the engine makes no progress and answers no request.
    pub is_frozen: bool,
    /// Whether every request fails, as if the process had died.
    pub is_down: bool,
    /// Whether token streams are one line without end.
    pub has_endless_lines: bool,
    /// Whether KV transfers to this engine never finish.
    pub is_transfer_stalled: bool,
    /// If set, the answer to every report request.
    pub stale_report: Option<LoadReport>,
    /// Token requests accepted so far; a reader's number is the count at its own request.
    pub reader_count: u64,
    /// Readers with a lower number get no more data; the engine still generates their tokens.
    pub stalled_below: u64,
    /// Readers with a lower number are disconnected.
    pub disconnected_below: u64,
}

impl EngineState {
    /// Stops sending to the current token readers; later readers are served.
    pub fn stall_readers(&mut self) {
        self.stalled_below = self.reader_count + 1;
    }

    /// Closes the connections of the current token readers.
    pub fn disconnect_readers(&mut self) {
        self.disconnected_below = self.reader_count + 1;
    }

    /// Simulates a crash: all memory is lost and every request fails.
    pub fn crash(&mut self) {
        self.is_down = true;
        self.streams.clear();
        self.completed_streams.clear();
    }

    pub(super) fn find_readable(&self, stream: &StreamId) -> Option<&EngineStream> {
        self.streams.get(stream).or_else(|| self.completed_streams.get(stream))
    }

    pub(super) fn discard(&mut self, stream: &StreamId) {
        let Some(dropped) = self.streams.remove(stream) else {
            return;
        };
        if dropped.is_prefill_done {
            self.wasted_tokens += text::prompt_tokens(&dropped.prompt);
        }
    }
}
