//! From the first token to the end of an answer, and its continuation at another instance.

use std::collections::BTreeSet;

use crate::action::{Action, ReadCall};
use crate::config::window::Targets;
use crate::error_kind::ErrorKind;
use crate::ids::{RequestId, StreamId};
use crate::message::StreamOnServer;
use crate::node::Node;
use crate::request::{Cursor, Flow, Stage};
use crate::units::{KvPieces, Millis, Streams, Tokens};

/// Longest silence of a token stream.
const TOKEN_SILENCE_MS: Millis = Millis(3_000);
/// Most broken readings of one stream that its engine still holds.
const MAX_BROKEN_READS: u64 = 3;
/// Wait told to callers that resume at an instance without a configuration.
const NOT_READY_MS: Millis = Millis(2_000);

impl Node {
    pub(super) fn take_resume_request(&mut self, request: RequestId, cursor: &str) {
        let Some(cursor) = Cursor::unseal(cursor, &self.seal) else {
            self.answer_error(request, ErrorKind::BadCursor, None);
            return;
        };
        let Some(configuration) = self.config.in_force() else {
            self.answer_error(request, ErrorKind::NotReady, Some(NOT_READY_MS));
            return;
        };
        if !configuration.servers.contains_key(&cursor.server) {
            self.answer_error(request, ErrorKind::CursorExpired, None);
            return;
        }
        let zero = Millis::ZERO;
        let flow = Flow {
            asked: None,
            version: None,
            targets: Targets { first_token_ms: zero, per_token_ms: zero },
            arrived_ms: self.now.mono_ms,
            due_from_ms: self.now.mono_ms,
            stage: Stage::Decoding,
            stage_ms: self.now.mono_ms,
            stream: cursor.stream.clone(),
            attempt: 1,
            decode: Some(cursor.server.clone()),
            prefill: None,
            work_tokens: Tokens::ZERO,
            wait_ms: zero,
            result_until_ms: zero,
            transfer_until_ms: zero,
            has_stalled_transfer: false,
            failed_source: None,
            batch: Streams::ZERO,
            kv_pieces: KvPieces::ZERO,
            next_index: cursor.next_index,
            refused: BTreeSet::new(),
            excluded: BTreeSet::new(),
            first_token_ms: None,
            broken_reads: 0,
            is_taken_over: true,
        };
        self.flows.insert(request, flow);
        let seat = StreamOnServer { server: cursor.server, stream: cursor.stream };
        self.claim(seat);
        self.read_tokens(request);
    }

    pub(super) fn take_first_token(&mut self, request: RequestId, stream: &StreamId) {
        let now_ms = self.now.mono_ms;
        let Some(flow) = self.flows.get_mut(&request).filter(|flow| flow.stream == *stream) else {
            return;
        };
        flow.first_token_ms.get_or_insert(now_ms);
        let waited_ms = now_ms - flow.arrived_ms;
        self.log("first_token", Some(request), vec![("first_token_ms", waited_ms.0.to_string())]);
    }

    pub(super) fn take_stream_broken(
        &mut self,
        request: RequestId,
        stream: &StreamId,
        next_index: u64,
        is_held: bool,
    ) {
        if !self.is_current(request, stream) {
            return;
        }
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        assert!(next_index >= flow.next_index, "token indices went back");
        flow.next_index = next_index;
        flow.broken_reads += 1;
        let can_read_again = is_held && flow.broken_reads <= MAX_BROKEN_READS;
        if can_read_again {
            self.read_tokens(request);
            return;
        }
        if flow.asked.is_none() {
            self.finish_with_error(request, ErrorKind::CursorExpired);
            return;
        }
        self.suspect(request, |flow| flow.decode.clone());
        self.exclude(request, |flow| flow.decode.clone());
        self.retry(request, "stream_broken");
    }

    pub(super) fn take_stream_ended(&mut self, request: RequestId, stream: &StreamId) {
        if !self.is_current(request, stream) {
            return;
        }
        self.learn_tokens(request);
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let total_ms = self.now.mono_ms - flow.arrived_ms;
        let (decode, stream) = (flow.decode.clone(), flow.stream.clone());
        self.log("completed", Some(request), vec![("total_ms", total_ms.0.to_string())]);
        if let Some(server) = decode {
            self.release_seat(request, server, stream);
        }
        self.flows.remove(&request);
        self.advance_waiting();
    }

    pub(super) fn read_tokens(&mut self, request: RequestId) {
        let holder = self.members.own_holder();
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let target = flow.decode.as_ref().and_then(|server| self.target(server));
        let Some(target) = target else {
            self.finish_with_error(request, ErrorKind::StreamBroken);
            return;
        };
        let call = ReadCall {
            request,
            stream: flow.stream.clone(),
            target,
            holder,
            takes_over: flow.is_taken_over && flow.broken_reads == 0,
            from_index: flow.next_index,
            silence_ms: TOKEN_SILENCE_MS,
        };
        self.actions.push(Action::Read(call));
    }
}
