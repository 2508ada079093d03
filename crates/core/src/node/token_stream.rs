//! Reading of an answer's tokens, from the first token to the end, on a new connection whenever the
//! engine falls silent.

use crate::action::{Action, ReadCall};
use crate::error_kind::ErrorKind;
use crate::ids::{RequestId, StreamId};
use crate::node::Node;
use crate::request::Flow;
use crate::units::Millis;

/// Silence after which a stream is read again on a new connection, as a multiple of the per-token
/// target.
const REREAD_SILENCE_TOKENS: u64 = 5;
/// Bounds of the silence before a new read; the upper one applies if the target is not known.
const REREAD_SILENCE_BOUNDS_MS: std::ops::RangeInclusive<u64> = 300..=3_000;
/// Time without a token after which the engine counts as lost, as a multiple of the per-token
/// target.
const LOST_ENGINE_SILENCE_TOKENS: u64 = 120;
/// Bounds of the time until an engine counts as lost; the upper one applies if the target is not
/// known.
const LOST_ENGINE_SILENCE_BOUNDS_MS: std::ops::RangeInclusive<u64> = 6_000..=12_000;
/// Time without a token after which an engine that went silent and then refuses connections counts
/// as lost.
const UNREACHABLE_ENGINE_SILENCE_MS: Millis = Millis(3_000);
/// Consecutive reads without a token and without a preceding silence after which the engine counts
/// as refusing connections.
const MAX_BROKEN_READS: u64 = 3;

impl Node {
    pub(super) fn handle_first_token(&mut self, request: RequestId, stream: &StreamId) {
        let now_ms = self.now.monotonic_ms;
        let Some(flow) = self.flows.get_mut(&request).filter(|flow| flow.stream == *stream) else {
            return;
        };
        flow.first_token_ms.get_or_insert(now_ms);
        let waited_ms = now_ms - flow.arrived_ms;
        self.log("first_token", Some(request), vec![("first_token_ms", waited_ms.0.to_string())]);
    }

    /// Reads a broken stream again while its engine may still hold it, after a delay if the engine
    /// went silent and refuses connections. Otherwise starts another attempt; a stream that was
    /// taken over is computed again.
    pub(super) fn handle_stream_broken(
        &mut self,
        request: RequestId,
        stream: &StreamId,
        next_index: u64,
        is_held: bool,
    ) {
        if !self.is_current_stream(request, stream) {
            return;
        }
        let now_ms = self.now.monotonic_ms;
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        assert!(next_index >= flow.next_index, "token indices went back");
        if next_index > flow.next_index {
            flow.next_index = next_index;
            flow.last_progress_ms = now_ms;
            flow.broken_reads = 0;
            flow.was_silent = false;
        }
        let is_silent = now_ms - flow.last_read_ms >= reread_silence_ms(flow);
        flow.was_silent |= is_silent;
        flow.broken_reads += u64::from(!is_silent);
        if is_held && !is_engine_lost(flow, now_ms) {
            let is_delayed = flow.was_silent && !is_silent;
            flow.next_read_ms = is_delayed.then(|| now_ms + reread_silence_ms(flow));
            if !is_delayed {
                self.start_token_read(request);
            }
            return;
        }
        if flow.is_taken_over {
            self.recompute_request(request, is_held);
            return;
        }
        self.record_engine_failure(request, |flow| flow.decode_server.clone());
        self.exclude_engine(request, |flow| flow.decode_server.clone());
        self.retry_request(request, "stream_broken");
    }

    pub(super) fn handle_stream_ended(&mut self, request: RequestId, stream: &StreamId) {
        if !self.is_current_stream(request, stream) {
            return;
        }
        self.learn_from_tokens(request);
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let total_ms = self.now.monotonic_ms - flow.arrived_ms;
        let (decode, stream) = (flow.decode_server.clone(), flow.stream.clone());
        self.log("completed", Some(request), vec![("total_ms", total_ms.0.to_string())]);
        if let Some(server) = decode {
            self.release_seat(request, server, stream);
        }
        self.flows.remove(&request);
        self.advance_waiting_requests();
    }

    /// Starts the delayed reads of streams whose engine went silent and refused connections.
    pub(super) fn start_due_reads(&mut self) {
        let now_ms = self.now.monotonic_ms;
        let mut due = Vec::new();
        for (request, flow) in &self.flows {
            if flow.next_read_ms.is_some_and(|next_read_ms| next_read_ms <= now_ms) {
                due.push(*request);
            }
        }
        for request in due {
            self.start_token_read(request);
        }
    }

    pub(super) fn start_token_read(&mut self, request: RequestId) {
        let holder = self.members.own_holder();
        let now_ms = self.now.monotonic_ms;
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        if flow.read_count == 0 {
            flow.last_progress_ms = now_ms;
        }
        flow.read_count += 1;
        flow.last_read_ms = now_ms;
        flow.next_read_ms = None;
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let target = flow.decode_server.as_ref().and_then(|server| self.server_endpoint(server));
        let Some(target) = target else {
            self.finish_with_error(request, ErrorKind::StreamBroken);
            return;
        };
        let call = ReadCall {
            request,
            stream: flow.stream.clone(),
            target,
            holder,
            takes_over: flow.is_taken_over && flow.read_count == 1,
            from_index: flow.next_index,
            silence_ms: reread_silence_ms(flow),
            binding: flow.binding.clone(),
        };
        self.actions.push(Action::Read(call));
    }
}

fn reread_silence_ms(flow: &Flow) -> Millis {
    tokens_duration_ms(flow, REREAD_SILENCE_TOKENS, REREAD_SILENCE_BOUNDS_MS)
}

/// Whether the engine of a broken stream counts as lost, though it may still hold the stream. An
/// engine that refuses connections without having been silent has died, and its streams with it.
fn is_engine_lost(flow: &Flow, now_ms: Millis) -> bool {
    let since_ms = now_ms - flow.last_progress_ms;
    let is_refusing = flow.broken_reads > MAX_BROKEN_READS;
    let is_unreachable =
        is_refusing && (!flow.was_silent || since_ms >= UNREACHABLE_ENGINE_SILENCE_MS);
    is_unreachable
        || since_ms
            >= tokens_duration_ms(flow, LOST_ENGINE_SILENCE_TOKENS, LOST_ENGINE_SILENCE_BOUNDS_MS)
}

/// Duration of a number of tokens at the per-token target of a request, clamped to `bounds`.
fn tokens_duration_ms(flow: &Flow, tokens: u64, bounds: std::ops::RangeInclusive<u64>) -> Millis {
    let per_token_ms = flow.targets.per_token_ms.0;
    if per_token_ms == 0 {
        return Millis(*bounds.end());
    }
    Millis((per_token_ms * tokens).clamp(*bounds.start(), *bounds.end()))
}
